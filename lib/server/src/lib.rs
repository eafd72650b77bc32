//! The entry host: serves callers, operators and other entry hosts, and runs the scheduler of its
//! availability zone while it holds the scheduler lease.

pub mod accept;
pub mod api;
pub mod auth;
pub mod election;
pub mod entry_host;
pub mod gauges;
pub mod host_list;
pub mod membership;
pub mod peer_service;
pub mod requests;
pub mod settings;
pub mod sheets;
pub mod shutdown;
pub mod write_tokens;
