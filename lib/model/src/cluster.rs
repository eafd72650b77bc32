//! What the platform's host list tells of hosts.

use std::net::SocketAddr;

use crate::id;

/// Whether the platform counts a host in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostPhase {
    /// The host serves.
    Live,
    /// The host is on its way out and takes no new work.
    Leaving,
}

/// A backend server as the host list describes it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct BackendServerInfo {
    /// Its id, stable over restarts.
    pub id: id::BackendServerId,
    /// The availability zone it stands in.
    pub zone: id::ZoneName,
    /// The rack it stands in.
    pub rack: id::RackName,
    /// Where its task interface listens.
    pub address: SocketAddr,
    /// Accelerators it has, numbered from 0; neighbours in number are adjacent.
    pub accelerators: u32,
    /// Tasks it can run at once.
    pub slots: u32,
    /// Speed relative to a server of speed 1.0.
    pub speed_ratio: f64,
    /// Whether it serves or leaves.
    pub phase: HostPhase,
}

/// An entry host as the host list describes it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EntryHostInfo {
    /// Its id; a replaced process has a new one.
    pub id: id::HostId,
    /// The availability zone it stands in.
    pub zone: id::ZoneName,
    /// Where it listens for other entry hosts.
    pub peer_address: SocketAddr,
    /// Whether it serves or leaves.
    pub phase: HostPhase,
}

/// The platform's lagging list of hosts.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct HostList {
    /// Rises with each change of the list.
    pub version: u64,
    /// Entry hosts of all availability zones.
    pub entry_hosts: Vec<EntryHostInfo>,
    /// Backend servers of all availability zones.
    pub backend_servers: Vec<BackendServerInfo>,
}

impl HostList {
    /// The most accelerators that one gang can have in `zone`.
    ///
    /// A gang stays within one availability zone and takes one or more backend servers.
    pub fn max_gang_accelerators(&self, zone: &id::ZoneName) -> u32 {
        self.backend_servers
            .iter()
            .filter(|server| server.zone == *zone)
            .map(|server| server.accelerators)
            .sum()
    }

    /// The availability zones that have backend servers.
    pub fn zones(&self) -> std::collections::BTreeSet<id::ZoneName> {
        self.backend_servers
            .iter()
            .map(|server| server.zone.clone())
            .collect()
    }
}
