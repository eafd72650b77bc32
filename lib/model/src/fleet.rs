//! Backend servers that register themselves in the row store, as the scheduler of jobs reads them.
//! The scheduler of requests takes its backend servers from [`crate::cluster`].

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

/// A backend server, as it has registered itself in the row store.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    pub id: id::BackendServerId,
    /// The service that the server belongs to.
    pub service: id::ServiceName,
    /// Address on which the server accepts orders.
    pub address: SocketAddr,
    pub zone: id::ZoneName,
    /// Whether the server has registered the state `draining`: it is shutting down and accepts no
    /// new work, as with [`HostPhase::Leaving`](crate::cluster::HostPhase::Leaving).
    pub is_draining: bool,
    /// For how long the server is slow, in milliseconds, for example after an evacuation of its
    /// zone; zero if it isn't.
    pub cold_ms: u64,
    /// Total resources, including those in use.
    pub capacity: job::Resources,
    /// The hardware type of the server, followed by its rack.
    pub labels: Vec<Arc<str>>,
    /// The incarnation that has registered this; `None` if it doesn't say.
    pub incarnation: Option<Incarnation>,
}

impl ServerEntry {
    /// Returns the rack, which by convention of the fleet is the last label.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}
