//! The platform's services: transactional table, object store and host list.
//!
//! Each stands behind a narrow trait with one HTTP adapter ([`http::HttpPlatform`]) and one
//! simple implementation in memory ([`memory::MemoryPlatform`]).

pub mod commit_retry;
pub mod committer;
pub mod hosts;
pub mod http;
pub mod keys;
pub mod memory;
pub mod memory_store;
pub mod objects;
pub mod store;
pub mod table;
