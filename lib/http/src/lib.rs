//! HTTP/1.1 on async-h1: a bounded server and a client that tells what may have been received.

pub mod client;
pub mod meter;
pub mod server;
mod stream_timeout;
