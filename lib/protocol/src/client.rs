//! Calls to another entry host, with errors that tell what may have happened.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_model::{id, sheet, verdict};
use camphorbeam_telemetry::traces::{self, FutureExt as _};
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};

use crate::messages;
use crate::peer::{self, PeerClient as _};

/// Largest message between entry hosts, in bytes.
pub const MESSAGE_MAX_BYTES: u32 = 4 * 1024 * 1024;

/// How a call to a peer failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeerError {
    /// The peer may have acted on the call.
    #[error("no answer from entry host at {address}: {reason}")]
    NoAnswer {
        /// The peer.
        address: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The peer has refused.
    #[error(transparent)]
    Refused(#[from] verdict::Refusal),
}

/// A connection to one peer.
#[derive(Clone, Debug)]
pub struct PeerHandle {
    address: SocketAddr,
    client: HttpClient,
}

impl PeerHandle {
    /// A handle on the peer at `address`, with a limit for each call.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::NoAnswer`] if no client can be built for the address.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, PeerError> {
        let client = HttpClientBuilder::default()
            .request_timeout(timeout)
            .max_request_size(MESSAGE_MAX_BYTES)
            .max_response_size(MESSAGE_MAX_BYTES)
            .build(format!("http://{address}"))
            .map_err(|error| peer_error(address, error))?;
        Ok(Self { address, client })
    }

    /// Where the peer listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Exchanges what both know of themselves.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
    pub async fn hello(
        &self,
        context: messages::CallContext,
        hello: messages::Hello,
    ) -> Result<messages::Hello, PeerError> {
        self.map_error(self.client.hello(context, hello).await)
    }

    /// The highest sheet that the peer has.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
    pub async fn sheet(
        &self,
        context: messages::CallContext,
    ) -> Result<Option<sheet::SheetDocument>, PeerError> {
        self.map_error(self.client.sheet(context).await)
    }

    /// Offers an accepted sheet.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
    pub async fn offer_sheet(
        &self,
        context: messages::CallContext,
        offer: messages::SheetOffer,
    ) -> Result<id::SheetVersion, PeerError> {
        self.map_error(self.client.offer_sheet(context, offer).await)
    }

    /// Reserves a place in a queue.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
    pub async fn admit(
        &self,
        context: messages::CallContext,
        admission: messages::Admission,
    ) -> Result<(), PeerError> {
        let (span, context) = start_call_span("peer.admit", context);
        let call = self.client.admit(context, admission);
        self.map_error(call.in_span(span).await)
    }

    /// Hands over a recorded request.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
    pub async fn enqueue(
        &self,
        context: messages::CallContext,
        enqueue: messages::Enqueue,
    ) -> Result<(), PeerError> {
        let (span, context) = start_call_span("peer.enqueue", context);
        let call = self.client.enqueue(context, enqueue);
        self.map_error(call.in_span(span).await)
    }

    /// What the scheduler knows of a request.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
    pub async fn live(
        &self,
        context: messages::CallContext,
        request: id::RequestId,
    ) -> Result<Option<messages::LiveStatus>, PeerError> {
        let (span, context) = start_call_span("peer.live", context);
        let call = self.client.live(context, request);
        self.map_error(call.in_span(span).await)
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
    pub async fn cancel(
        &self,
        context: messages::CallContext,
        request: id::RequestId,
    ) -> Result<messages::CancelOutcome, PeerError> {
        let (span, context) = start_call_span("peer.cancel", context);
        let call = self.client.cancel(context, request);
        self.map_error(call.in_span(span).await)
    }

    /// Hands a scheduler lease over.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
    pub async fn take_over(
        &self,
        context: messages::CallContext,
        hand_over: messages::LeaseHandover,
    ) -> Result<bool, PeerError> {
        self.map_error(self.client.take_over(context, hand_over).await)
    }

    /// Drains a backend server.
    ///
    /// # Errors
    ///
    /// As all calls: [`PeerError`].
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

/// The span of a call about a request, and the context that carries it to the peer.
///
/// Periodic calls are sent without one.
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
