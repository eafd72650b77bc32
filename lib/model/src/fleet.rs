//! Registration of backend servers.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{id, job};

/// Identifies the process lifetime of a backend server. It changes with every restart, while the
/// server id stays the same.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation {
    /// Start time of the server, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// A registered backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub id: id::BackendServerId,
    /// The service that the server belongs to.
    pub service: id::ServiceName,
    /// Address on which the server accepts orders.
    pub address: SocketAddr,
    pub zone: id::ZoneName,
    /// Whether the server is shutting down and accepts no new work.
    pub is_draining: bool,
    /// Total resources, including those in use.
    pub capacity: job::Resources,
    /// The kind of the server, followed by its rack.
    pub labels: Vec<Arc<str>>,
}

impl ServerEntry {
    /// Returns the rack, which by convention of the fleet is the last label.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}
