//! The RPC service for other entry hosts.

use std::net::TcpListener;
use std::sync::Arc;

use async_trait::async_trait;
use camphorbeam_model::{id, sheet, verdict};
use camphorbeam_platform::{keys, table};
use camphorbeam_protocol::{client, messages, peer};
use camphorbeam_scheduler::zone;
use camphorbeam_telemetry::traces::{self, FutureExt as _};
use jsonrpsee::server::{ServerBuilder, ServerConfig, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;

use crate::entry_host::Core;
use crate::{accept, auth};

/// Maximum number of concurrent connections from other entry hosts.
const CONNECTIONS_MAX: u32 = 256;

/// Maximum number of attempts to change the row that lists the draining backend servers, when
/// concurrent changes conflict.
const DRAIN_ATTEMPTS_MAX: u32 = 5;

/// A handle that stops the RPC server.
pub struct PeerServerHandle {
    handle: ServerHandle,
}

impl PeerServerHandle {
    /// Stops the server.
    pub fn stop(&self) {
        // An error means that the server has stopped already.
        let _ = self.handle.stop();
    }
}

/// Serves other entry hosts on `listener`.
///
/// # Errors
///
/// Fails if the server can't be created on `listener`.
pub fn serve(core: Arc<Core>, listener: TcpListener) -> anyhow::Result<PeerServerHandle> {
    use camphorbeam_protocol::peer::PeerServer as _;

    let config = ServerConfig::builder()
        .http_only()
        .max_connections(CONNECTIONS_MAX)
        .max_request_body_size(client::MESSAGE_MAX_BYTES)
        .max_response_body_size(client::MESSAGE_MAX_BYTES)
        .build();
    listener.set_nonblocking(true)?;
    let service = PeerService { core };
    let server = ServerBuilder::with_config(config).build_from_tcp(listener)?;
    Ok(PeerServerHandle {
        handle: server.start(service.into_rpc()),
    })
}

struct PeerService {
    core: Arc<Core>,
}

impl PeerService {
    fn require_peer(&self, context: &messages::CallContext) -> Result<(), ErrorObjectOwned> {
        match self.core.settings.keyring.identify(&context.token) {
            Some(auth::Identity::Peer) => Ok(()),
            _ => Err(peer::to_rpc_error(&auth::unauthenticated())),
        }
    }

    /// Starts the span of a call about `request`, in the trace of the calling host.
    fn start_call_span(
        &self,
        name: &'static str,
        context: &messages::CallContext,
        request: &id::RequestId,
    ) -> traces::Span {
        let zone = &self.core.settings.zone;
        let span = traces::continue_trace(name, context.parent_span()).with_properties(|| {
            [
                (traces::REQUEST, request.to_string()),
                (traces::ZONE, zone.to_string()),
            ]
        });
        if let Some(scheduler) = self.core.election.local_scheduler() {
            span.add_property(|| (traces::EPOCH, scheduler.epoch().to_string()));
        }
        span
    }

    fn local_scheduler(&self) -> Result<Arc<zone::ZoneScheduler>, ErrorObjectOwned> {
        self.core
            .election
            .local_scheduler()
            .ok_or_else(|| peer::to_rpc_error(&accept::no_scheduler(&self.core.settings.zone)))
    }
}

#[async_trait]
impl peer::PeerServer for PeerService {
    async fn hello(
        &self,
        context: messages::CallContext,
        hello: messages::Hello,
    ) -> Result<messages::Hello, ErrorObjectOwned> {
        self.require_peer(&context)?;
        self.core.membership.record_hello(hello);
        Ok(self.core.membership.hello())
    }

    async fn sheet(
        &self,
        context: messages::CallContext,
    ) -> Result<Option<sheet::SheetDocument>, ErrorObjectOwned> {
        self.require_peer(&context)?;
        Ok(self.core.sheets.document())
    }

    async fn offer_sheet(
        &self,
        context: messages::CallContext,
        offer: messages::SheetOffer,
    ) -> Result<id::SheetVersion, ErrorObjectOwned> {
        self.require_peer(&context)?;
        self.core.sheets.install_if_newer(offer);
        Ok(self.core.sheets.version())
    }

    async fn admit(
        &self,
        context: messages::CallContext,
        admission: messages::Admission,
    ) -> Result<(), ErrorObjectOwned> {
        self.require_peer(&context)?;
        let _span = self.start_call_span("peer.serve_admit", &context, &admission.id);
        let admitted = self.local_scheduler()?.admit(&admission);
        admitted.map_err(|refusal| peer::to_rpc_error(&refusal))
    }

    async fn enqueue(
        &self,
        context: messages::CallContext,
        enqueue: messages::Enqueue,
    ) -> Result<(), ErrorObjectOwned> {
        self.require_peer(&context)?;
        let span = self.start_call_span("peer.serve_enqueue", &context, &enqueue.record.id);
        let _parent = span.set_local_parent();
        self.local_scheduler()?.enqueue(enqueue);
        Ok(())
    }

    async fn live(
        &self,
        context: messages::CallContext,
        request: id::RequestId,
    ) -> Result<Option<messages::LiveStatus>, ErrorObjectOwned> {
        self.require_peer(&context)?;
        let _span = self.start_call_span("peer.serve_live", &context, &request);
        Ok(self.local_scheduler()?.live(&request))
    }

    async fn cancel(
        &self,
        context: messages::CallContext,
        request: id::RequestId,
    ) -> Result<messages::CancelOutcome, ErrorObjectOwned> {
        self.require_peer(&context)?;
        let span = self.start_call_span("peer.serve_cancel", &context, &request);
        let scheduler = self.local_scheduler()?;
        let cancellation = self.core.cancel_locally(&scheduler, &request);
        Ok(cancellation.in_span(span).await)
    }

    async fn take_over(
        &self,
        context: messages::CallContext,
        handover: messages::LeaseHandover,
    ) -> Result<bool, ErrorObjectOwned> {
        self.require_peer(&context)?;
        Ok(self.core.election.take_over(handover))
    }

    async fn drain_server(
        &self,
        context: messages::CallContext,
        drain: messages::DrainServer,
    ) -> Result<messages::DrainProgress, ErrorObjectOwned> {
        self.require_peer(&context)?;
        let scheduler = self.local_scheduler()?;
        let span = traces::continue_trace("peer.serve_drain_server", context.parent_span());
        drain_locally(&self.core, &scheduler, &drain)
            .in_span(span)
            .await
            .map_err(|refusal| peer::to_rpc_error(&refusal))
    }
}

/// Starts or ends the drain of a backend server: records the change on the platform, then passes it
/// to the scheduler in this process.
///
/// # Errors
///
/// Refuses, with the verdict `NotRun`, if the change isn't known to be recorded. The scheduler in
/// this process then doesn't apply it. If only the response of the platform was lost, the change
/// may be recorded all the same; the next scheduler then applies it.
pub async fn drain_locally(
    core: &Core,
    scheduler: &zone::ZoneScheduler,
    drain: &messages::DrainServer,
) -> Result<messages::DrainProgress, verdict::Refusal> {
    for _ in 0..DRAIN_ATTEMPTS_MAX {
        let recorded = record_drain(core, drain)
            .await
            .map_err(|error| accept::unavailable(&error.to_string()))?;
        if recorded == table::Commit::Committed {
            let running = scheduler.set_drained(&drain.server, drain.is_drained);
            return Ok(messages::DrainProgress { running });
        }
    }
    Err(accept::unavailable(
        "other changes of drained servers came first each time",
    ))
}

/// Adds the backend server to the row of the zone's draining servers, or removes it.
async fn record_drain(
    core: &Core,
    drain: &messages::DrainServer,
) -> Result<table::Commit, table::PlatformError> {
    let key = keys::drained(&core.settings.zone);
    let rows = core.deps.table.read(std::slice::from_ref(&key)).await?;
    let version = rows.first().map_or(0, |row| row.version);
    // A row that can't be parsed counts as empty, and is overwritten.
    let mut servers: std::collections::BTreeSet<id::BackendServerId> = rows
        .into_iter()
        .next()
        .and_then(|row| serde_json::from_value(row.value).ok())
        .unwrap_or_default();
    match drain.is_drained {
        true => servers.insert(drain.server.clone()),
        false => servers.remove(&drain.server),
    };
    let mut transaction = table::Transaction::default();
    transaction.require(&key, version);
    transaction.put(&key, serde_json::json!(servers));
    core.deps.table.commit(&transaction).await
}
