//! A backend server of the zone, as the scheduler knows it.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_backend::orders;
use camphorbeam_clock as clock;
use camphorbeam_model::{cluster, id, task};
use camphorbeam_placement::policy;

/// A backend server of the zone.
pub struct Server {
    /// What the host list says.
    pub info: cluster::BackendServerInfo,
    /// Its task interface.
    pub orders: Arc<dyn orders::BackendServer>,
    /// The connection to it.
    pub link: Link,
    /// Whether operators have drained it.
    pub is_drained: bool,
    /// Whether it says that it is leaving.
    pub is_leaving: bool,
    /// Whether it has refused work because it is leaving. Its syncs need not say so.
    pub has_refused_as_leaving: bool,
    /// Whether the host list has it.
    pub is_listed: bool,
    /// Since when it has not answered.
    pub silent_since: Option<clock::Monotonic>,
    /// Ended tasks that it may forget.
    pub released: Vec<task::TaskKey>,
    /// Requests whose tasks have failed here since the last one that finished.
    pub failed_requests: BTreeSet<id::RequestId>,
}

/// How a backend server stands to this scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Link {
    /// Not yet taken over for this epoch.
    Unfenced,
    /// Taken over and answering.
    Up(LastReply),
    /// Taken over but not answering.
    Down(LastReply),
}

/// The last answer of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastReply {
    /// Changes with each start of the backend server.
    pub incarnation: u64,
    /// Its clock at that answer.
    pub server_now_ms: u64,
    /// When the answer came.
    pub received_at: clock::Monotonic,
    /// The newest event in it.
    pub last_event: u64,
}

impl Link {
    /// The last reply, if there was one in this epoch.
    pub fn last_reply(&self) -> Option<&LastReply> {
        match self {
            Self::Unfenced => None,
            Self::Up(last_reply) | Self::Down(last_reply) => Some(last_reply),
        }
    }
}

/// Failures of different requests in a row after which a backend server is suspect.
const SUSPECT_AFTER_REQUESTS: usize = 3;

impl Server {
    /// Whether it may get new work.
    pub fn health(&self) -> policy::Health {
        let is_closed = self.is_drained
            || self.is_leaving
            || self.has_refused_as_leaving
            || self.info.phase == cluster::HostPhase::Leaving
            || !matches!(self.link, Link::Up(_));
        match () {
            () if is_closed => policy::Health::Closed,
            () if self.failed_requests.len() >= SUSPECT_AFTER_REQUESTS => policy::Health::Suspect,
            () => policy::Health::Usable,
        }
    }

    /// The server as placement sees it.
    pub fn to_policy_server(&self) -> policy::Server {
        policy::Server {
            id: self.info.id.clone(),
            rack: self.info.rack.clone(),
            accelerators: self.info.accelerators,
            slots: self.info.slots,
            speed_ratio: self.info.speed_ratio,
            health: self.health(),
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.info.address
    }
}
