//! Calls that entry hosts serve for each other.

use camphorbeam_model::{id, sheet, verdict};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use crate::messages;

/// JSON-RPC code of errors whose data is a [`verdict::Refusal`].
pub const REFUSAL_ERROR_CODE: i32 = -32050;

/// JSON-RPC interface of an entry host for its peers.
///
/// Every call is refused without the token of an entry host. `admit`, `enqueue`, `live`, `cancel`
/// and `drain_server` are refused as unavailable unless this host runs the scheduler of its zone.
///
/// The client sends parameters by position, but the server also accepts them by name, so the names
/// of the parameters are part of the protocol.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Takes the caller's status and returns the status of this host.
    #[method(name = "hello")]
    async fn hello(
        &self,
        caller: messages::CallContext,
        hello: messages::Hello,
    ) -> Result<messages::Hello, ErrorObjectOwned>;

    /// Returns the sheet with the highest version that this host has.
    #[method(name = "sheet")]
    async fn sheet(
        &self,
        caller: messages::CallContext,
    ) -> Result<Option<sheet::SheetDocument>, ErrorObjectOwned>;

    /// Takes an accepted sheet and returns the highest version that this host then has.
    #[method(name = "offer_sheet")]
    async fn offer_sheet(
        &self,
        caller: messages::CallContext,
        offer: messages::SheetOffer,
    ) -> Result<id::SheetVersion, ErrorObjectOwned>;

    /// Reserves a place in the queue of a client account, or refuses the request.
    #[method(name = "admit")]
    async fn admit(
        &self,
        caller: messages::CallContext,
        admission: messages::Admission,
    ) -> Result<(), ErrorObjectOwned>;

    /// Adds a recorded request to the scheduler's queue.
    #[method(name = "enqueue")]
    async fn enqueue(
        &self,
        caller: messages::CallContext,
        enqueue: messages::Enqueue,
    ) -> Result<(), ErrorObjectOwned>;

    /// Returns the scheduler's status of a request, or `None` if the scheduler doesn't have the
    /// request.
    #[method(name = "live")]
    async fn live(
        &self,
        caller: messages::CallContext,
        request: id::RequestId,
    ) -> Result<Option<messages::LiveStatus>, ErrorObjectOwned>;

    /// Begins to cancel a request and waits for its end, up to a time limit.
    #[method(name = "cancel")]
    async fn cancel(
        &self,
        caller: messages::CallContext,
        request: id::RequestId,
    ) -> Result<messages::CancelOutcome, ErrorObjectOwned>;

    /// Takes over a scheduler lease. Returns false if this host can't.
    #[method(name = "take_over")]
    async fn take_over(
        &self,
        caller: messages::CallContext,
        hand_over: messages::LeaseHandover,
    ) -> Result<bool, ErrorObjectOwned>;

    /// Starts or ends the drain of a backend server. Returns the requests that still run on it.
    #[method(name = "drain_server")]
    async fn drain_server(
        &self,
        caller: messages::CallContext,
        drain: messages::DrainServer,
    ) -> Result<messages::DrainProgress, ErrorObjectOwned>;
}

/// Converts `refusal` to a JSON-RPC error that carries it as data.
pub fn to_rpc_error(refusal: &verdict::Refusal) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSAL_ERROR_CODE, refusal.message.clone(), Some(refusal))
}
