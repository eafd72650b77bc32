//! Settings that an entry host reads at its start.

use std::net::SocketAddr;

use camphorbeam_jobs::settings as job_settings;
use camphorbeam_model::id;

/// Which connection a call to the store uses first, and how a lost one is noticed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StorePathMode {
    /// Each call tries this host's own connection, except for 700 ms after a failure.
    #[default]
    DirectFirst,
    /// While a probe finds this host's own connection lost, all calls go through other hosts.
    Probed,
}

/// Address and limits of the machines' API. The limits are those of all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachinesSettings {
    /// Address of the API.
    pub address: SocketAddr,
    /// Number of reads allowed in a second.
    pub reads_per_s: f64,
    /// Number of upkeeps that may be requested in a second.
    pub upkeeps_per_s: f64,
}

/// Identity, addresses and limits of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of this host.
    pub host: id::HostId,
    /// Availability zone of this host.
    pub zone: id::ZoneName,
    /// Listen address for callers.
    pub caller_address: SocketAddr,
    /// Listen address for readiness checks.
    pub readiness_address: SocketAddr,
    /// Listen address for other entry hosts.
    pub peer_address: SocketAddr,
    /// Addresses of some other entry hosts, to find more; these may be gone.
    pub peer_seeds: Vec<SocketAddr>,
    /// Processor capacity available to this host, in cores.
    pub processor_cores: f64,
    /// Bandwidth of this host's link in Mbit/s, if it is known.
    pub link_mbps: Option<f64>,
    /// Time between the signal to terminate and the kill, in which the process has to shut down by
    /// itself.
    pub shutdown_grace_ms: u64,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// Address of the service that gives placement advice, if there is one.
    pub advice_address: Option<SocketAddr>,
    /// Which connection a call to the store uses first.
    pub store_path: StorePathMode,
    /// The machines' API; `None` if the platform has none.
    pub machines: Option<MachinesSettings>,
    /// Time limits and thresholds of the scheduling engine.
    pub jobs: job_settings::Settings,
}
