//! JSON-RPC protocol between entry hosts, over HTTP with `jsonrpsee`.

pub mod client;
pub mod messages;
pub mod peer;
