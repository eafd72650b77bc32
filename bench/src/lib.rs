//! Benchmarks placement policies: replays a list of jobs on simulated backend servers with a manual
//! clock, and reports completion times, fragmentation and violated guarantees.

pub mod backend_servers;
pub mod clusters;
pub mod entitlement;
pub mod fragmentation;
pub mod generate;
pub mod jobs;
pub mod policies;
pub mod replay;
pub mod report;
pub mod summary;
pub mod table;
