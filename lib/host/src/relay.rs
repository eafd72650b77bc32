//! Access to the store through this host's own connection or, while that fails, through other entry
//! hosts.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_clock::transfer;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future;
use prometheus_client::metrics::gauge::Gauge;

use crate::{metrics, partition_reader, peers, store_path, terms_parts};

/// How long calls skip this host's own connection to the store after it failed.
const DIRECT_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Maximum number of other hosts that one call tries.
const PEERS_TRIED_MAX: usize = 3;

/// Time since a commit began to try other hosts after which it tries no further ones.
pub(crate) const RELAY_TIME_LIMIT: Duration = Duration::from_millis(600);

/// Delay before reporting that the change feed can't be reached, so that its reader doesn't
/// busy-loop.
pub(crate) const FEED_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time after the end of its long poll at which a feed without a reply counts as silent. The store
/// may take a third of a second to reply.
const FEED_SILENCE_MARGIN: Duration = Duration::from_millis(500);

/// Time without any reply from the store after which it counts as unreachable.
pub(crate) const UNREACHABLE_AFTER: Duration = Duration::from_millis(2_000);

/// A store that falls back to other entry hosts while this host's own connection fails.
pub struct RelayedStore {
    direct: Arc<dyn Store>,
    peers: Arc<peers::Peers>,
    clock: clock::Clock,
    metrics: Arc<metrics::Metrics>,
    connectivity: Mutex<Connectivity>,
    page_budget: partition_reader::PageBudget,
    /// Takes the place of the fields above with the option `probed`.
    path: Option<Arc<store_path::StorePath>>,
}

#[derive(Debug, Default)]
struct Connectivity {
    direct_failed_at: Option<clock::Monotonic>,
    direct_succeeded_at: Option<clock::Monotonic>,
    reached_at: Option<clock::Monotonic>,
    /// The store's clock in its newest reply, and when that arrived.
    store_clock: Option<(u64, clock::Monotonic)>,
}

impl RelayedStore {
    /// Creates a store that tries `direct` first, then `peers`.
    pub fn new(
        direct: Arc<dyn Store>,
        peers: Arc<peers::Peers>,
        clock: clock::Clock,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        Self {
            direct,
            peers,
            page_budget: partition_reader::PageBudget::new(clock.clone(), None),
            clock,
            metrics,
            connectivity: Mutex::default(),
            path: None,
        }
    }

    /// Creates a store that calls by `path`.
    pub fn with_path(path: Arc<store_path::StorePath>) -> Self {
        Self {
            path: Some(Arc::clone(&path)),
            ..Self::new(
                Arc::clone(&path.direct),
                Arc::clone(&path.peers),
                path.clock.clone(),
                Arc::clone(&path.metrics),
            )
        }
    }

    /// Sets the bandwidth of this host's link, in Mbit/s; not known if not set.
    pub fn with_link_mbps(self, link_mbps: Option<f64>) -> Self {
        Self {
            page_budget: partition_reader::PageBudget::new(self.clock.clone(), link_mbps),
            ..self
        }
    }

    /// How much of this host's link the reads of partitions may occupy.
    pub fn page_budget(&self) -> &partition_reader::PageBudget {
        &self.page_budget
    }

    /// Time after which a call of [`Store::changes`] with a long poll of `wait` counts as silent.
    pub fn feed_silence_limit(&self, wait: Duration) -> Duration {
        match &self.path {
            Some(_) => wait + store_path::FEED_FALLBACK_MARGIN,
            None => wait + FEED_SILENCE_MARGIN,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Connectivity> {
        self.connectivity
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a call should try this host's own connection.
    fn is_direct_usable(&self) -> bool {
        let now = self.clock.now();
        self.lock()
            .direct_failed_at
            .is_none_or(|failed_at| now.since(failed_at) >= DIRECT_RETRY_DELAY)
    }

    /// Whether the last call through this host's own connection succeeded or was rejected by the
    /// store. Calls on behalf of other hosts are recorded only with the option `probed`.
    pub fn is_direct_working(&self) -> bool {
        if let Some(path) = &self.path {
            return path.is_own_working();
        }
        let connectivity = self.lock();
        connectivity.direct_failed_at.is_none() && connectivity.direct_succeeded_at.is_some()
    }

    /// The store's clock now, estimated from its newest reply; `None` before the first one.
    pub fn store_ms(&self) -> Option<u64> {
        if let Some(path) = &self.path {
            return path.store_ms();
        }
        let now = self.clock.now();
        self.lock().store_clock.map(|(store_ms, received_at)| {
            store_ms.saturating_add(clock::as_ms(now.since(received_at)))
        })
    }

    fn record_store_clock(&self, rows: &store::Rows) {
        let now = self.clock.now();
        self.lock().store_clock = Some((rows.store_ms, now));
    }

    /// Whether the store was recently reached, directly or through another host.
    pub fn is_reachable(&self) -> bool {
        if let Some(path) = &self.path {
            return path.is_reachable();
        }
        let now = self.clock.now();
        self.lock()
            .reached_at
            .is_some_and(|reached_at| now.since(reached_at) < UNREACHABLE_AFTER)
    }

    fn record_call_metrics<T>(
        &self,
        way: &'static str,
        result: &Result<T, PlatformError>,
        sent_at: clock::Monotonic,
    ) {
        let duration = self.clock.now().since(sent_at);
        self.metrics
            .record_store_call(way, outcome_name(result), duration);
    }

    fn record_direct<T>(&self, result: &Result<T, PlatformError>) {
        let now = self.clock.now();
        let mut connectivity = self.lock();
        match result {
            Ok(_) | Err(PlatformError::Rejected { .. }) => {
                if connectivity.direct_failed_at.take().is_some() {
                    spdlog::info!("store regained", kv: { way = "direct" });
                }
                connectivity.direct_succeeded_at = Some(now);
                connectivity.reached_at = Some(now);
            }
            Err(error) => {
                if connectivity.direct_failed_at.is_none() {
                    let reason = error.to_string();
                    spdlog::warn!("store lost", kv: { way = "direct", reason = reason.as_str() });
                }
                connectivity.direct_failed_at = Some(now);
            }
        }
    }

    fn record_relayed<T>(&self, address: SocketAddr, result: &Result<T, PlatformError>) {
        match result {
            Ok(_) | Err(PlatformError::Rejected { .. }) => {
                self.lock().reached_at = Some(self.clock.now());
            }
            Err(_) => self.peers.demote(address),
        }
    }

    /// Reads only through this host's own connection, even while other calls skip it.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::rows`].
    pub async fn direct_rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        if let Some(path) = &self.path {
            return path.own_rows(table, part, from, to).await;
        }
        let sent_at = self.clock.now();
        let result = self.direct.rows(table, part, from, to).await;
        self.record_call_metrics("direct", &result, sent_at);
        self.record_direct(&result);
        result
    }

    /// Returns the changes of a table like [`Store::changes`], but only through this host's own
    /// connection. For a table with large rows: what is read through another host passes over two
    /// links, as a whole.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::changes`], and at once while the own connection is lost.
    pub async fn direct_changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        match &self.path {
            Some(path) => path.own_changes(table, version, wait).await,
            // Without the option `probed`, the feed has no other way.
            None => self.changes(table, version, wait).await,
        }
    }

    /// Returns a part of the terms of the host at `address`; see [`peers::PeerLink::terms_part`].
    ///
    /// # Errors
    ///
    /// Fails if the host doesn't reply.
    pub async fn peer_terms(
        &self,
        address: SocketAddr,
        position: terms_parts::TermsPosition,
    ) -> Result<Option<terms_parts::TermsPart>, PlatformError> {
        match &self.path {
            Some(path) => path.links.terms_part(address, position).await,
            None => peers::PeerLink::terms_part(&*self.peers, address, position).await,
        }
    }

    /// Reads through several other hosts concurrently and returns the first result. Asking one
    /// after the other would take many seconds if hosts don't respond.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::rows`] if no host could read.
    pub async fn relayed_rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        if let Some(path) = &self.path {
            return path.relayed_rows(table, part, from, to).await;
        }
        let reads = self.relay_addresses().into_iter().map(|address| {
            Box::pin(async move {
                let sent_at = self.clock.now();
                let result = self.peers.rows(address, table, part, from, to).await;
                self.record_call_metrics("relay", &result, sent_at);
                self.record_relayed(address, &result);
                result
            })
        });
        let reads: Vec<_> = reads.collect();
        match reads.is_empty() {
            true => Err(unreachable_error()),
            false => future::select_ok(reads).await.map(|(rows, _)| rows),
        }
    }

    /// Reads a page through one other host after the other, since each reply would take its time on
    /// this host's link.
    async fn relayed_page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
    ) -> Result<store::Page, PlatformError> {
        let mut last_error = unreachable_error();
        for address in self.relay_addresses() {
            let sent_at = self.clock.now();
            let reading = peers::PeerLink::page(&*self.peers, address, table, part, from, rows_max);
            let result = reading.await;
            self.record_call_metrics("relay", &result, sent_at);
            self.record_relayed(address, &result);
            match result {
                Err(error) if !matches!(error, PlatformError::Rejected { .. }) => {
                    last_error = error;
                }
                result => return result,
            }
        }
        Err(last_error)
    }

    fn relay_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.peers.preferred_order();
        addresses.truncate(PEERS_TRIED_MAX);
        addresses
    }
}

/// Name of the outcome of a call in metrics.
pub(crate) fn outcome_name<T>(result: &Result<T, PlatformError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(PlatformError::NotApplied { .. }) => "not_applied",
        Err(PlatformError::Rejected { .. }) => "rejected",
        Err(PlatformError::Unknown { .. }) => "unknown",
    }
}

/// The error of a call that is not sent because this host's own connection has failed and no other
/// host is known. Calls that may use only the own connection fail with it too, although they ask no
/// other host.
pub(crate) fn unreachable_error() -> PlatformError {
    PlatformError::NotApplied {
        reason: "neither the own connection nor another host reaches the store".to_owned(),
    }
}

#[async_trait]
impl Store for RelayedStore {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        if let Some(path) = &self.path {
            return path.rows(table, part, from, to).await;
        }
        if self.is_direct_usable() {
            match self.direct_rows(table, part, from, to).await {
                Ok(rows) => {
                    self.record_store_clock(&rows);
                    return Ok(rows);
                }
                Err(error @ PlatformError::Rejected { .. }) => return Err(error),
                // The failure is already logged and counted; another host may reach the store.
                Err(_) => {}
            }
        }
        let relayed = self.relayed_rows(table, part, from, to).await;
        if let Ok(rows) = &relayed {
            self.record_store_clock(rows);
        }
        relayed
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
        progress: &transfer::Progress,
    ) -> Result<store::Page, PlatformError> {
        if let Some(path) = &self.path {
            return path.page(table, part, from, rows_max, progress).await;
        }
        if self.is_direct_usable() {
            let sent_at = self.clock.now();
            let reading = self.direct.page(table, part, from, rows_max, progress);
            let result = reading.await;
            self.record_call_metrics("direct", &result, sent_at);
            self.record_direct(&result);
            match result {
                Ok(page) => {
                    self.record_store_clock(&page.rows);
                    return Ok(page);
                }
                Err(error @ PlatformError::Rejected { .. }) => return Err(error),
                // The failure is already logged and counted; another host may reach the store.
                Err(_) => {}
            }
        }
        let relayed = self.relayed_page(table, part, from, rows_max).await;
        if let Ok(page) = &relayed {
            self.record_store_clock(&page.rows);
        }
        relayed
    }

    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        if let Some(path) = &self.path {
            return path.commit(transaction).await;
        }
        let mut last_error = unreachable_error();
        if self.is_direct_usable() {
            let sent_at = self.clock.now();
            let result = self.direct.commit(transaction).await;
            self.record_call_metrics("direct", &result, sent_at);
            self.record_direct(&result);
            match result {
                // Only a transaction that was certainly not applied may be sent again through
                // another host.
                Err(error @ PlatformError::NotApplied { .. }) => last_error = error,
                other => return other,
            }
        }
        let started_at = self.clock.now();
        for address in self.relay_addresses() {
            let sent_at = self.clock.now();
            if sent_at.since(started_at) > RELAY_TIME_LIMIT {
                break;
            }
            let result = self.peers.commit(address, transaction).await;
            self.record_call_metrics("relay", &result, sent_at);
            self.record_relayed(address, &result);
            match result {
                Err(error @ PlatformError::NotApplied { .. }) => last_error = error,
                other => return other,
            }
        }
        Err(last_error)
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        if let Some(path) = &self.path {
            return path.changes(table, version, wait).await;
        }
        if !self.is_direct_usable() {
            self.clock.sleep(FEED_RETRY_DELAY).await;
            return Err(unreachable_error());
        }
        // Not recorded in the metrics, since the duration of a long poll is not a latency.
        let result = self.direct.changes(table, version, wait).await;
        self.record_direct(&result);
        if let Ok(store::Changes::Rows(rows)) = &result {
            self.record_store_clock(rows);
        }
        result
    }
}

/// Maximum number of concurrent long polls on behalf of other hosts. Each holds a connection to the
/// store and up to [`RELAYED_FEED_BYTES_MAX`] of a reply.
const RELAYED_POLLS_MAX: i64 = 16;

/// Maximum long-poll timeout on behalf of another host. If that host is cut off, the end of its
/// poll can only be noticed by this.
const RELAYED_WAIT_MAX: Duration = Duration::from_millis(1_000);

/// Maximum bytes of values in a relayed reply of the change feed, unless one version has more.
const RELAYED_FEED_BYTES_MAX: usize = 32 * 1024;

/// Handles the calls of other hosts. Calls to the store go only through this host's own connection,
/// so that they are relayed at most once.
pub struct DirectRelay {
    /// Provides this host's own connection and its state.
    pub store: Arc<RelayedStore>,
    /// Returns this host's current terms, or `None` before any are received.
    pub terms: Arc<dyn Fn() -> Option<terms_parts::SourceTerms> + Send + Sync>,
}

/// Counts a long poll until it ends or is dropped, because its caller is gone.
struct OpenPoll<'a>(&'a Gauge);

impl<'a> OpenPoll<'a> {
    /// Returns `None` if there are too many already.
    fn begin(open_polls: &'a Gauge) -> Option<Self> {
        let poll = Self(open_polls);
        let others = open_polls.inc();
        (others < RELAYED_POLLS_MAX).then_some(poll)
    }
}

impl Drop for OpenPoll<'_> {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Cuts a reply of the change feed between two versions, so that its reader can continue from the
/// version of the last row.
fn truncate_feed(rows: &mut store::Rows) {
    let mut bytes = 0;
    let mut rows_kept = rows.rows.len();
    for (position, row) in rows.rows.iter().enumerate() {
        bytes += row.key.key.len() + row.value.as_ref().map_or(0, String::len);
        let previous = position.checked_sub(1).and_then(|at| rows.rows.get(at));
        if bytes > RELAYED_FEED_BYTES_MAX && previous.is_some_and(|at| at.version < row.version) {
            rows_kept = position;
            break;
        }
    }
    if rows_kept < rows.rows.len() {
        rows.rows.truncate(rows_kept);
        rows.version = rows.rows.last().map_or(rows.version, |row| row.version);
    }
}

#[async_trait]
impl peers::PeerHandler for DirectRelay {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        match (self.store.is_direct_working(), &self.store.path) {
            (true, Some(path)) => path.own_rows(table, part, from, to).await,
            (true, None) => self.store.direct.rows(table, part, from, to).await,
            (false, _) => Err(unreachable_error()),
        }
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
    ) -> Result<store::Page, PlatformError> {
        match (self.store.is_direct_working(), &self.store.path) {
            (true, Some(path)) => path.own_page(table, part, from, rows_max).await,
            (true, None) => {
                let progress = transfer::Progress::default();
                let reading = self
                    .store
                    .direct
                    .page(table, part, from, rows_max, &progress);
                reading.await
            }
            (false, _) => Err(unreachable_error()),
        }
    }

    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        match (self.store.is_direct_working(), &self.store.path) {
            (true, Some(path)) => path.own_commit(transaction).await,
            (true, None) => self.store.direct.commit(transaction).await,
            (false, _) => Err(unreachable_error()),
        }
    }

    fn terms(&self) -> Option<terms_parts::SourceTerms> {
        (self.terms)()
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        let Some(_open) = OpenPoll::begin(&self.store.metrics.relayed_polls) else {
            return Err(PlatformError::NotApplied {
                reason: "too many long polls on behalf of other hosts".to_owned(),
            });
        };
        let wait = wait.min(RELAYED_WAIT_MAX);
        let mut changes = match (self.store.is_direct_working(), &self.store.path) {
            (true, Some(path)) => path.own_changes(table, version, wait).await?,
            (true, None) => self.store.direct.changes(table, version, wait).await?,
            (false, _) => return Err(unreachable_error()),
        };
        if let store::Changes::Rows(rows) = &mut changes {
            truncate_feed(rows);
        }
        Ok(changes)
    }

    fn reaches_store(&self) -> bool {
        self.store.is_direct_working()
    }
}
