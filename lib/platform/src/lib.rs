//! Interfaces to the services of the platform: transactional storage, object store and host list.
//!
//! [`table`], [`objects`] and [`hosts`] each define a small trait, implemented by an HTTP client
//! ([`http::HttpPlatform`]) and in memory ([`memory::MemoryPlatform`]). [`store`] defines a second
//! storage interface, with partitioned tables and a change feed; [`memory_store::MemoryStore`]
//! implements it in memory.

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
