//! The interface through which a scheduler runs tasks on backend servers.
//!
//! [`orders::BackendServer`] is the trait; [`http::HttpBackendServer`] implements it over HTTP.

pub mod http;
pub mod orders;
pub mod sync;
pub mod task;
