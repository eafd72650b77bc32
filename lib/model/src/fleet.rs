//! Backend servers as they register themselves.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::{id, job};

/// Which life of a backend server: changes whenever it starts anew under the same id.
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
    /// When it started, in milliseconds since the Unix epoch.
    pub started_unix_ms: u64,
}

/// A registered backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its id.
    pub id: id::BackendServerId,
    /// The service it belongs to.
    pub service: id::ServiceName,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// Whether it leaves and takes no new work.
    pub is_draining: bool,
    /// What it has in all.
    pub capacity: job::Resources,
    /// Its labels: kind and rack.
    pub labels: Vec<Arc<str>>,
}

impl ServerEntry {
    /// The rack: the last label by convention of the fleet.
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}
