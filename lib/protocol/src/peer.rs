//! The calls that an entry host answers.

use camphorbeam_model::{id, sheet, verdict};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;

use crate::messages;

/// JSON-RPC error code that carries a [`verdict::Refusal`] as data.
pub const REFUSAL_ERROR_CODE: i32 = -32050;

/// Calls between entry hosts.
#[rpc(server, client, namespace = "peer")]
pub trait Peer {
    /// Exchanges what both know of themselves.
    #[method(name = "hello")]
    async fn hello(
        &self,
        caller: messages::CallContext,
        hello: messages::Hello,
    ) -> Result<messages::Hello, ErrorObjectOwned>;

    /// The highest sheet that the host has.
    #[method(name = "sheet")]
    async fn sheet(
        &self,
        caller: messages::CallContext,
    ) -> Result<Option<sheet::SheetDocument>, ErrorObjectOwned>;

    /// Takes a sheet that was accepted; returns the highest version that the host has now.
    #[method(name = "offer_sheet")]
    async fn offer_sheet(
        &self,
        caller: messages::CallContext,
        offer: messages::SheetOffer,
    ) -> Result<id::SheetVersion, ErrorObjectOwned>;

    /// Reserves a place in the queue of a client account.
    #[method(name = "admit")]
    async fn admit(
        &self,
        caller: messages::CallContext,
        admission: messages::Admission,
    ) -> Result<(), ErrorObjectOwned>;

    /// Hands over a recorded request.
    #[method(name = "enqueue")]
    async fn enqueue(
        &self,
        caller: messages::CallContext,
        enqueue: messages::Enqueue,
    ) -> Result<(), ErrorObjectOwned>;

    /// What the scheduler knows of a request; nothing if it does not have it.
    #[method(name = "live")]
    async fn live(
        &self,
        caller: messages::CallContext,
        request: id::RequestId,
    ) -> Result<Option<messages::LiveStatus>, ErrorObjectOwned>;

    /// Cancels a request.
    #[method(name = "cancel")]
    async fn cancel(
        &self,
        caller: messages::CallContext,
        request: id::RequestId,
    ) -> Result<messages::CancelOutcome, ErrorObjectOwned>;

    /// Takes a scheduler lease over. Returns whether the host has taken it.
    #[method(name = "take_over")]
    async fn take_over(
        &self,
        caller: messages::CallContext,
        hand_over: messages::LeaseHandover,
    ) -> Result<bool, ErrorObjectOwned>;

    /// Drains a backend server.
    #[method(name = "drain_server")]
    async fn drain_server(
        &self,
        caller: messages::CallContext,
        drain: messages::DrainServer,
    ) -> Result<messages::DrainProgress, ErrorObjectOwned>;
}

/// `refusal` as a JSON-RPC error.
pub fn to_rpc_error(refusal: &verdict::Refusal) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSAL_ERROR_CODE, refusal.message.clone(), Some(refusal))
}
