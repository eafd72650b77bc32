//! Interfaces to the services of the platform: transactional storage, object store and host list.
//!
//! [`table`], [`objects`] and [`hosts`] each define a small trait, implemented by an HTTP client
//! ([`http::HttpPlatform`]) and in memory ([`memory::MemoryPlatform`]). They serve the scheduler of
//! requests.
//!
//! [`store`] defines a second storage interface, with partitioned tables and a change feed, which
//! serves the scheduler of jobs. [`memory_store::MemoryStore`] implements it in memory; its HTTP
//! client is `HttpStore` in the crate `camphorbeam-platform-adapter`.

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
