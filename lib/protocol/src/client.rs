//! Client for calls to another entry host. Its errors state whether the peer may have acted on the
//! call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_model::{id, sheet, verdict};
use camphorbeam_telemetry::traces::{self, FutureExt as _};
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use crate::messages;
use crate::peer::{self, PeerClient as _};

/// Largest request or response between entry hosts, in bytes.
pub const MESSAGE_MAX_BYTES: u32 = 4 * 1024 * 1024;

/// Failure of a call to a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// No valid answer arrived, or the HTTP client could not be built. Unless it could not be
    /// built, the peer may have acted on the call.
    #[error("no answer from entry host at {address}: {reason}")]
    NoAnswer {
        /// Address of the peer.
        address: SocketAddr,
        /// Cause of the failure.
        reason: String,
    },
    /// The peer refused the call.
    #[error(transparent)]
    Refused(#[from] verdict::Refusal),
}

/// Typed client for the calls to one peer. Its errors are [`PeerError`]s.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    address: SocketAddr,
    client: HttpClient,
}

impl PeerHandle {
    /// Creates a client for the peer at `address`. Each call fails after `timeout`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NoAnswer`] if the HTTP client can't be built.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, PeerError> {
        let client = HttpClientBuilder::default()
            .request_timeout(timeout)
            .max_request_size(MESSAGE_MAX_BYTES)
            .max_response_size(MESSAGE_MAX_BYTES)
            .build(format!("http://{address}"))
            .map_err(|error| peer_error(address, error))?;
        Ok(Self { address, client })
    }

    /// Returns the address on which the peer serves calls of other entry hosts.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends the status of this host and returns the status of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn hello(
        &self,
        context: messages::CallContext,
        hello: messages::Hello,
    ) -> Result<messages::Hello, PeerError> {
        self.map_error(self.client.hello(context, hello).await)
    }

    /// Returns the sheet with the highest version that the peer has.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn sheet(
        &self,
        context: messages::CallContext,
    ) -> Result<Option<sheet::SheetDocument>, PeerError> {
        self.map_error(self.client.sheet(context).await)
    }

    /// Sends an accepted sheet and returns the highest version that the peer then has.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn offer_sheet(
        &self,
        context: messages::CallContext,
        offer: messages::SheetOffer,
    ) -> Result<id::SheetVersion, PeerError> {
        self.map_error(self.client.offer_sheet(context, offer).await)
    }

    /// Reserves a place in the queue of a client account.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn admit(
        &self,
        context: messages::CallContext,
        admission: messages::Admission,
    ) -> Result<(), PeerError> {
        let (span, context) = start_call_span("peer.admit", context);
        let call = self.client.admit(context, admission);
        self.map_error(call.in_span(span).await)
    }

    /// Adds a recorded request to the queue of the peer's scheduler.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn enqueue(
        &self,
        context: messages::CallContext,
        enqueue: messages::Enqueue,
    ) -> Result<(), PeerError> {
        let (span, context) = start_call_span("peer.enqueue", context);
        let call = self.client.enqueue(context, enqueue);
        self.map_error(call.in_span(span).await)
    }

    /// Returns the status of a request in the peer's scheduler, or `None` if that scheduler doesn't
    /// have the request. A peer without a scheduler refuses the call.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn live(
        &self,
        context: messages::CallContext,
        request: id::RequestId,
    ) -> Result<Option<messages::LiveStatus>, PeerError> {
        let (span, context) = start_call_span("peer.live", context);
        let call = self.client.live(context, request);
        self.map_error(call.in_span(span).await)
    }

    /// Begins to cancel a request. Returns how it ended, or [`messages::CancelOutcome::Stopping`]
    /// if it hasn't ended within a time limit of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn cancel(
        &self,
        context: messages::CallContext,
        request: id::RequestId,
    ) -> Result<messages::CancelOutcome, PeerError> {
        let (span, context) = start_call_span("peer.cancel", context);
        let call = self.client.cancel(context, request);
        self.map_error(call.in_span(span).await)
    }

    /// Passes a scheduler lease to the peer. Returns false if the peer can't take it.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn take_over(
        &self,
        context: messages::CallContext,
        handover: messages::LeaseHandover,
    ) -> Result<bool, PeerError> {
        self.map_error(self.client.take_over(context, handover).await)
    }

    /// Starts or ends the drain of a backend server. Returns the requests that still run on it; the
    /// drain doesn't stop them.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if the peer refuses the call or sends no valid answer.
    pub async fn drain_server(
        &self,
        context: messages::CallContext,
        drain: messages::DrainServer,
    ) -> Result<messages::DrainProgress, PeerError> {
        let (span, context) = start_call_span("peer.drain_server", context);
        let call = self.client.drain_server(context, drain);
        self.map_error(call.in_span(span).await)
    }

    fn map_error<T>(&self, result: Result<T, RpcError>) -> Result<T, PeerError> {
        result.map_err(|error| peer_error(self.address, error))
    }
}

/// Starts the span of a call, and returns it with a call context that passes it to the peer.
///
/// The calls `hello`, `sheet`, `offer_sheet` and `take_over` are sent without a span.
fn start_call_span(
    name: &'static str,
    context: messages::CallContext,
) -> (traces::Span, messages::CallContext) {
    let span = traces::child_span(name);
    let traceparent = traces::SpanContext::from_span(&span)
        .map(|context| Arc::from(context.encode_w3c_traceparent()));
    let context = messages::CallContext {
        traceparent,
        ..context
    };
    (span, context)
}

fn peer_error(address: SocketAddr, error: RpcError) -> PeerError {
    let refusal = match &error {
        RpcError::Call(object) if object.code() == peer::REFUSAL_ERROR_CODE => object
            .data()
            .and_then(|data| serde_json::from_str(data.get()).ok()),
        _ => None,
    };
    match refusal {
        Some(refusal) => PeerError::Refused(refusal),
        None => PeerError::NoAnswer {
            address,
            reason: error.to_string(),
        },
    }
}
