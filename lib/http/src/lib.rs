//! HTTP/1.1 based on async-h1: a server with limits on its resources, and a client whose errors
//! tell whether the server may have received the request.

pub mod client;
pub mod meter;
pub mod server;
mod stream_timeout;
