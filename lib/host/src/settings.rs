//! What an entry host is told at its start.

use std::net::SocketAddr;

use camphorbeam_jobs::settings as job_settings;
use camphorbeam_model::id;

/// Settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Its name.
    pub host: id::HostId,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where it is asked whether it is ready.
    pub readiness_address: SocketAddr,
    /// Where other hosts connect.
    pub peer_address: SocketAddr,
    /// Some other hosts; they may be gone.
    pub peer_seeds: Vec<SocketAddr>,
    /// Processor time that it has, in cores.
    pub processor_share: f64,
    /// Time between the order to stop and the kill.
    pub shutdown_grace_ms: u64,
    /// Where the store is.
    pub store_address: SocketAddr,
    /// Bounds of the decisions about jobs.
    pub jobs: job_settings::Settings,
}
