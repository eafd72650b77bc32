//! Measures the memory, processor time and traffic of an entry host at a given size.
//!
//! Each entry host runs as a separate process. The platform, the backend servers and the peers are
//! fakes in this process. All sockets are on loopback.

pub mod cluster;
pub mod daemon;
pub mod forwarder;
pub mod peers;
pub mod ports;
pub mod probe;
pub mod process;
pub mod report;
pub mod scenario;
pub mod sheet;
pub mod size;
