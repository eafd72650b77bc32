//! Entry hosts and backend servers, as the platform lists them for the scheduler of requests.

use std::net::SocketAddr;

use crate::id;

/// Whether a host accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostPhase {
    Live,
    /// The host is shutting down and accepts no new work.
    Leaving,
}

/// A backend server in the platform's host list. Backend servers that register themselves in the
/// row store are described by [`ServerEntry`](crate::fleet::ServerEntry).
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct BackendServerInfo {
    /// Stays the same across restarts.
    pub id: id::BackendServerId,
    pub zone: id::ZoneName,
    pub rack: id::RackName,
    /// Address on which the server listens for task orders.
    pub address: SocketAddr,
    /// Number of accelerators. They are numbered from 0, and consecutive numbers are adjacent.
    pub accelerators: u32,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Speed relative to a reference server with speed 1.0.
    pub speed_ratio: f64,
    pub phase: HostPhase,
}

/// An entry host in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EntryHostInfo {
    /// Identifies one process; the process that replaces it has another id.
    pub id: id::HostId,
    pub zone: id::ZoneName,
    /// Address on which the host listens for other entry hosts.
    pub peer_address: SocketAddr,
    pub phase: HostPhase,
}

/// The platform's list of hosts. It lags behind the actual state of the cluster.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct HostList {
    /// Increases with each change of the list, from 1; 0 if no list is known yet.
    pub version: u64,
    /// Entry hosts in all availability zones.
    pub entry_hosts: Vec<EntryHostInfo>,
    /// Backend servers in all availability zones.
    pub backend_servers: Vec<BackendServerInfo>,
}

impl HostList {
    /// Returns the maximum number of accelerators of a gang in `zone`.
    ///
    /// A gang can span several backend servers but not several availability zones.
    pub fn max_gang_accelerators(&self, zone: &id::ZoneName) -> u32 {
        self.backend_servers
            .iter()
            .filter(|server| server.zone == *zone)
            .map(|server| server.accelerators)
            .sum()
    }

    /// Returns the availability zones that have at least one backend server.
    pub fn zones(&self) -> std::collections::BTreeSet<id::ZoneName> {
        self.backend_servers
            .iter()
            .map(|server| server.zone.clone())
            .collect()
    }
}
