//! What the scheduler knows about a backend server.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_backend::orders;
use camphorbeam_clock as clock;
use camphorbeam_model::{cluster, id, task};
use camphorbeam_placement::policy;

/// A backend server of the zone.
pub struct Server {
    /// The server's entry in the platform's host list.
    pub info: cluster::BackendServerInfo,
    /// Client for orders to the server.
    pub orders: Arc<dyn orders::BackendServer>,
    /// State of the connection to the server.
    pub link: Link,
    /// When the newest reply to a fence or sync arrived; kept when `link` is reset. Leases that the
    /// server was granted end at a time counted from here.
    pub last_reply_at: Option<clock::Monotonic>,
    /// Whether an operator has drained the server.
    pub is_drained: bool,
    /// Whether the server reports that it is leaving.
    pub is_leaving: bool,
    /// Whether the server has refused an order because it is leaving, since it was last fenced. Its
    /// sync replies may not report that it is leaving.
    pub has_refused_as_leaving: bool,
    /// Whether the server is in the newest host list.
    pub is_listed: bool,
    /// When an order first went unanswered since the last reply to a fence or sync; `None` if none
    /// has.
    pub silent_since: Option<clock::Monotonic>,
    /// Ended tasks that the server may delete; sent with the next sync.
    pub deletable_tasks: Vec<task::TaskKey>,
    /// Requests whose tasks have failed on this server since a task last finished on it.
    pub failed_requests: BTreeSet<id::RequestId>,
}

/// State of the connection to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Link {
    /// The server has not been fenced with this scheduler's epoch, or has to be fenced again.
    Unfenced,
    /// Fenced and responding.
    Up(LastReply),
    /// Fenced but no longer responding.
    Down(LastReply),
}

/// The last reply of a backend server to a fence or sync.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LastReply {
    /// Identifies the run of the server process; changes with each restart.
    pub incarnation: u64,
    /// The server's clock when it replied.
    pub server_now_ms: u64,
    /// When the reply arrived, on this host's clock.
    pub received_at: clock::Monotonic,
    /// Number of the newest event in the reply; see
    /// [`SyncRequest::after_event`](camphorbeam_backend::sync::SyncRequest::after_event).
    pub last_event: u64,
}

impl Link {
    /// Returns the last reply, unless the server has yet to be fenced.
    pub fn last_reply(&self) -> Option<&LastReply> {
        match self {
            Self::Unfenced => None,
            Self::Up(last_reply) | Self::Down(last_reply) => Some(last_reply),
        }
    }
}

/// Number of requests that must fail on a backend server, with none finishing in between, before
/// the server is suspect.
const SUSPECT_AFTER_REQUESTS: usize = 3;

impl Server {
    /// Records a reply to a fence or sync as the state of the link.
    pub fn set_up(&mut self, last_reply: LastReply) {
        self.link = Link::Up(last_reply);
        self.last_reply_at = Some(last_reply.received_at);
    }

    /// Returns the time from which the lease time of the server's tasks is counted when the server
    /// doesn't respond, or `None` while it does. `started_at` is the start of this scheduler, to
    /// which the leases count that an earlier scheduler has granted.
    pub fn lease_time_begins_at(&self, started_at: clock::Monotonic) -> Option<clock::Monotonic> {
        match &self.link {
            Link::Up(_) => None,
            Link::Down(last_reply) => Some(last_reply.received_at),
            Link::Unfenced => Some(self.last_reply_at.unwrap_or(started_at).max(started_at)),
        }
    }

    /// Returns whether the server may get new work.
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

    /// Returns the server in the form that placement uses.
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

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.info.address
    }
}
