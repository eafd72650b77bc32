//! Calls between entry hosts by JSON-RPC. Hosts find each other through the store.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_model::id;
use camphorbeam_platform::store;
use camphorbeam_platform::table::PlatformError;
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::server::{ServerBuilder, ServerConfig, ServerHandle};
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned};

use crate::terms_parts;

/// Timeout of a call to another host; longer than that of the direct call to the store that the
/// other host makes meanwhile.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Maximum size of a message between hosts.
const MESSAGE_MAX_BYTES: u32 = 8 * 1024 * 1024;

/// Maximum number of concurrent connections from other hosts.
const CONNECTIONS_MAX: u32 = 128;

/// Error code of a call that certainly had no effect.
const NOT_APPLIED_CODE: i32 = 1;

/// Error code of a call that the store rejected.
const REJECTED_CODE: i32 = 2;

/// Error code of a call that may have had an effect.
const UNKNOWN_CODE: i32 = 3;

/// Calls between entry hosts, by which a host that can't reach the store uses another host's
/// connection.
#[rpc(server, client)]
pub trait Peer {
    /// Reads rows of a table through the callee's own connection.
    #[method(name = "rows")]
    async fn rows(
        &self,
        table: String,
        part: String,
        from: String,
        to: String,
    ) -> Result<store::Rows, ErrorObjectOwned>;

    /// Reads at most `rows_max` rows of a partition from the key `from` on, through the callee's own
    /// connection.
    #[method(name = "page")]
    async fn page(
        &self,
        table: String,
        part: String,
        from: String,
        rows_max: usize,
    ) -> Result<store::Page, ErrorObjectOwned>;

    /// Applies a transaction through the callee's own connection.
    #[method(name = "commit")]
    async fn commit(
        &self,
        transaction: store::Transaction,
    ) -> Result<store::Commit, ErrorObjectOwned>;

    /// Returns the part of the callee's terms that continues `position`.
    #[method(name = "terms_part")]
    async fn terms_part(
        &self,
        position: terms_parts::TermsPosition,
    ) -> Result<terms_parts::TermsPart, ErrorObjectOwned>;

    /// Returns the callee's current terms in the operators' original text, or `None` before it has
    /// received any. Hosts of earlier builds call it.
    #[method(name = "terms")]
    async fn terms(&self) -> Result<Option<Arc<str>>, ErrorObjectOwned>;

    /// Returns the changes of a table after `version` through the callee's own connection, and
    /// waits up to `wait_ms` for one.
    #[method(name = "changes")]
    async fn changes(
        &self,
        table: String,
        version: u64,
        wait_ms: u64,
    ) -> Result<store::Changes, ErrorObjectOwned>;

    /// Returns whether the callee's own connection to the store works, as far as it knows.
    #[method(name = "reaches_store")]
    async fn reaches_store(&self) -> Result<bool, ErrorObjectOwned>;
}

fn rpc_error(error: &PlatformError) -> ErrorObjectOwned {
    let code = match error {
        PlatformError::NotApplied { .. } => NOT_APPLIED_CODE,
        PlatformError::Rejected { .. } => REJECTED_CODE,
        PlatformError::Unknown { .. } => UNKNOWN_CODE,
    };
    ErrorObjectOwned::owned(code, error.to_string(), None::<()>)
}

fn platform_error(address: SocketAddr, error: &RpcError) -> PlatformError {
    let reason = format!("relay by entry host at {address}: {error}");
    match error {
        RpcError::Call(object) if object.code() == NOT_APPLIED_CODE => {
            PlatformError::NotApplied { reason }
        }
        RpcError::Call(object) if object.code() == REJECTED_CODE => {
            PlatformError::Rejected { reason }
        }
        _ => PlatformError::Unknown { reason },
    }
}

/// Handles calls from other hosts.
#[async_trait]
pub trait PeerHandler: Send + Sync {
    /// Reads rows through this host's own connection to the store.
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError>;

    /// Reads at most `rows_max` rows of a partition from the key `from` on, through this host's own
    /// connection to the store.
    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
    ) -> Result<store::Page, PlatformError>;

    /// Applies a transaction through this host's own connection to the store.
    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError>;

    /// Returns this host's current terms, or `None` before any are received.
    fn terms(&self) -> Option<terms_parts::SourceTerms>;

    /// Returns the changes of `table` after `version` through this host's own connection to the
    /// store, and waits up to `wait` for one.
    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError>;

    /// Whether this host's own connection to the store works, as far as it knows.
    fn reaches_store(&self) -> bool;
}

/// The calls to one other host that the path to the store and the watcher of the terms need.
#[async_trait]
pub trait PeerLink: Send + Sync {
    /// Reads rows through the host at `address`.
    async fn rows(
        &self,
        address: SocketAddr,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError>;

    /// Reads at most `rows_max` rows of a partition from the key `from` on, through the host at
    /// `address`. One of an earlier build sends the whole partition.
    async fn page(
        &self,
        address: SocketAddr,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
    ) -> Result<store::Page, PlatformError> {
        let reading = self.rows(address, table, part, from, "");
        Ok(store::Page::first_of(reading.await?, rows_max))
    }

    /// Applies a transaction through the host at `address`.
    async fn commit(
        &self,
        address: SocketAddr,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError>;

    /// Reads the change feed through the host at `address`. Returns `None` if that host is of an
    /// earlier build without this method.
    async fn changes(
        &self,
        address: SocketAddr,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<store::Changes>, PlatformError>;

    /// Returns whether the host at `address` reaches the store itself, or `None` if it is of an
    /// earlier build without this method.
    async fn reaches_store(&self, address: SocketAddr) -> Result<Option<bool>, PlatformError>;

    /// Returns the part of the terms of the host at `address` that continues `position`, or `None`
    /// if that host is of an earlier build without this method.
    async fn terms_part(
        &self,
        _address: SocketAddr,
        _position: terms_parts::TermsPosition,
    ) -> Result<Option<terms_parts::TermsPart>, PlatformError> {
        Ok(None)
    }
}

struct PeerService {
    handler: Arc<dyn PeerHandler>,
}

#[async_trait]
impl PeerServer for PeerService {
    async fn rows(
        &self,
        table: String,
        part: String,
        from: String,
        to: String,
    ) -> Result<store::Rows, ErrorObjectOwned> {
        let rows = self.handler.rows(&table, &part, &from, &to).await;
        rows.map_err(|error| rpc_error(&error))
    }

    async fn page(
        &self,
        table: String,
        part: String,
        from: String,
        rows_max: usize,
    ) -> Result<store::Page, ErrorObjectOwned> {
        let page = self.handler.page(&table, &part, &from, rows_max).await;
        page.map_err(|error| rpc_error(&error))
    }

    async fn commit(
        &self,
        transaction: store::Transaction,
    ) -> Result<store::Commit, ErrorObjectOwned> {
        let commit = self.handler.commit(&transaction).await;
        commit.map_err(|error| rpc_error(&error))
    }

    async fn terms_part(
        &self,
        position: terms_parts::TermsPosition,
    ) -> Result<terms_parts::TermsPart, ErrorObjectOwned> {
        let terms = self.handler.terms();
        let reaches_store = self.handler.reaches_store();
        Ok(terms_parts::TermsPart::after(
            position,
            terms.as_ref(),
            reaches_store,
        ))
    }

    async fn terms(&self) -> Result<Option<Arc<str>>, ErrorObjectOwned> {
        Ok(self.handler.terms().map(|terms| terms.text))
    }

    async fn changes(
        &self,
        table: String,
        version: u64,
        wait_ms: u64,
    ) -> Result<store::Changes, ErrorObjectOwned> {
        let wait = Duration::from_millis(wait_ms);
        let changes = self.handler.changes(&table, version, wait).await;
        changes.map_err(|error| rpc_error(&error))
    }

    async fn reaches_store(&self) -> Result<bool, ErrorObjectOwned> {
        Ok(self.handler.reaches_store())
    }
}

/// Serves other hosts on `address` until the handle is dropped.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn serve(address: SocketAddr, handler: Arc<dyn PeerHandler>) -> anyhow::Result<ServerHandle> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let config = ServerConfig::builder()
        .http_only()
        .max_connections(CONNECTIONS_MAX)
        .max_request_body_size(MESSAGE_MAX_BYTES)
        .max_response_body_size(MESSAGE_MAX_BYTES)
        .build();
    let server = ServerBuilder::with_config(config).build_from_tcp(listener)?;
    Ok(server.start(PeerService { handler }.into_rpc()))
}

/// The known other hosts, in the order in which to try them: hosts that failed a call come last.
#[derive(Debug)]
pub struct Peers {
    own_address: SocketAddr,
    seeds: Vec<SocketAddr>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    order: Vec<SocketAddr>,
    zones: BTreeMap<SocketAddr, id::ZoneName>,
    clients: BTreeMap<SocketAddr, HttpClient>,
}

impl Peers {
    /// Creates the list with the configured addresses `seeds`, except `own_address`, the address of
    /// this host.
    pub fn new(own_address: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let peers = Self {
            own_address,
            seeds: seeds.to_vec(),
            state: Mutex::default(),
        };
        peers.update_addresses(&[]);
        peers
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the registered addresses. Known ones keep their position in the order. The seeds
    /// always stay, since the host that registers first reads an empty list.
    pub fn update_addresses(&self, addresses: &[SocketAddr]) {
        let mut state = self.lock();
        let is_known =
            |address: &SocketAddr| addresses.contains(address) || self.seeds.contains(address);
        state.order.retain(is_known);
        for address in addresses.iter().chain(&self.seeds) {
            if *address != self.own_address && !state.order.contains(address) {
                state.order.push(*address);
            }
        }
        let State { order, clients, .. } = &mut *state;
        clients.retain(|address, _| order.contains(address));
    }

    /// Replaces the known availability zones of hosts, also of this one.
    pub fn update_zones(&self, zones: BTreeMap<SocketAddr, id::ZoneName>) {
        self.lock().zones = zones;
    }

    /// Returns the known availability zones of hosts.
    pub fn zones(&self) -> BTreeMap<SocketAddr, id::ZoneName> {
        self.lock().zones.clone()
    }

    /// Address of this host.
    pub fn own_address(&self) -> SocketAddr {
        self.own_address
    }

    /// Returns the addresses in the order in which to try them.
    pub fn preferred_order(&self) -> Vec<SocketAddr> {
        self.lock().order.clone()
    }

    /// Moves a host that failed a call to the end of the order.
    pub fn demote(&self, address: SocketAddr) {
        let mut state = self.lock();
        if let Some(position) = state.order.iter().position(|known| *known == address) {
            state.order.remove(position);
            state.order.push(address);
        }
    }

    fn client(&self, address: SocketAddr) -> Result<HttpClient, PlatformError> {
        let mut state = self.lock();
        if let Some(client) = state.clients.get(&address) {
            return Ok(client.clone());
        }
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_request_size(MESSAGE_MAX_BYTES)
            .max_response_size(MESSAGE_MAX_BYTES)
            .build(format!("http://{address}"))
            .map_err(|error| PlatformError::NotApplied {
                reason: format!("no client for entry host at {address}: {error}"),
            })?;
        state.clients.insert(address, client.clone());
        Ok(client)
    }

    /// Reads rows through the host at `address`.
    ///
    /// # Errors
    ///
    /// Fails like that host's call to the store, and with [`PlatformError::Unknown`] if the host
    /// doesn't reply.
    pub async fn rows(
        &self,
        address: SocketAddr,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        let client = self.client(address)?;
        let call = client.rows(table.into(), part.into(), from.into(), to.into());
        call.await.map_err(|error| platform_error(address, &error))
    }

    /// Applies a transaction through the host at `address`.
    ///
    /// # Errors
    ///
    /// Fails like that host's call to the store, and with [`PlatformError::Unknown`] if the host
    /// doesn't reply.
    pub async fn commit(
        &self,
        address: SocketAddr,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        let client = self.client(address)?;
        let call = client.commit(transaction.clone());
        call.await.map_err(|error| platform_error(address, &error))
    }
}

/// Returns `None` for the error of a host that doesn't know the method.
fn optional<T>(
    address: SocketAddr,
    result: Result<T, RpcError>,
) -> Result<Option<T>, PlatformError> {
    match result {
        Ok(value) => Ok(Some(value)),
        Err(RpcError::Call(object)) if object.code() == ErrorCode::MethodNotFound.code() => {
            Ok(None)
        }
        Err(error) => Err(platform_error(address, &error)),
    }
}

#[async_trait]
impl PeerLink for Peers {
    async fn rows(
        &self,
        address: SocketAddr,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        Peers::rows(self, address, table, part, from, to).await
    }

    async fn page(
        &self,
        address: SocketAddr,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
    ) -> Result<store::Page, PlatformError> {
        let client = self.client(address)?;
        let result = client.page(table.into(), part.into(), from.into(), rows_max);
        match optional(address, result.await)? {
            Some(page) => Ok(page),
            None => {
                let reading = Peers::rows(self, address, table, part, from, "");
                Ok(store::Page::first_of(reading.await?, rows_max))
            }
        }
    }

    async fn commit(
        &self,
        address: SocketAddr,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        Peers::commit(self, address, transaction).await
    }

    async fn changes(
        &self,
        address: SocketAddr,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Option<store::Changes>, PlatformError> {
        let client = self.client(address)?;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let result = client.changes(table.into(), version, wait_ms).await;
        optional(address, result)
    }

    async fn reaches_store(&self, address: SocketAddr) -> Result<Option<bool>, PlatformError> {
        let client = self.client(address)?;
        let result = client.reaches_store().await;
        optional(address, result)
    }

    async fn terms_part(
        &self,
        address: SocketAddr,
        position: terms_parts::TermsPosition,
    ) -> Result<Option<terms_parts::TermsPart>, PlatformError> {
        let client = self.client(address)?;
        let result = client.terms_part(position).await;
        optional(address, result)
    }
}
