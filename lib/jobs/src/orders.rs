//! The orders that a scheduler sends to backend servers, and their replies.
//!
//! A scheduler sends start and stop orders, and sends each backend server one hold request after
//! another. A hold is a long poll that renews the lease of all runs on the server; its reply lists
//! the runs there and their ends.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use camphorbeam_model::{fleet, id, job};

/// The destination of an order, and the epoch by which servers refuse the order if its sender is
/// deposed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The backend server.
    pub server: id::BackendServerId,
    /// Address of the backend server.
    pub address: SocketAddr,
    /// Epoch of the sender. A backend server refuses orders with a lower epoch than the highest
    /// that it has seen.
    pub epoch: id::Epoch,
}

/// Identifies one run of a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunName {
    /// The task.
    pub task: job::TaskName,
    /// Number of the run among the runs of the task.
    pub run: id::Run,
}

/// An order to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The run.
    pub name: RunName,
    /// Input of the task.
    pub payload: Arc<str>,
    /// When the lease of all runs on the server expires, on the server's clock.
    pub lease_until_server_ms: u64,
    /// Checkpoint to resume from; empty to start from the beginning.
    pub checkpoint: Arc<str>,
    /// Ticket for the step and the server, if the job's queue needs one; see [`crate::advice`].
    pub ticket: Option<Arc<str>>,
}

/// A hold: an order that renews the lease of all runs on a backend server and asks for a list of
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldOrder {
    /// When the lease of all runs on the server expires, on the server's clock; `None` while that
    /// clock is unknown, or the server may have started anew.
    pub lease_until_server_ms: Option<u64>,
    /// Ends up to this number are stored, so the server can drop them.
    pub ends_acknowledged: u64,
    /// How long the server may delay its reply while no run ends.
    pub wait_ms: u64,
}

/// The outcome of a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run exists on the server.
    Present,
    /// The backend server hasn't carried out this copy of the order and will not.
    Refused(StartRefusal),
    /// The order was not sent, since the zone of the server is evacuated, the requests to evacuate
    /// zones aren't confirmed, or a ticket has ended; see
    /// [`Engine::sendable_start`](crate::engine::Engine::sendable_start).
    Withheld,
    /// The order has not reached the server, so it can't be carried out.
    NotSent {
        /// Why it was not sent.
        reason: String,
    },
    /// There was no usable reply: the order may have been carried out or may still be.
    Unknown {
        /// Why there is no usable reply.
        reason: String,
    },
}

impl StartOutcome {
    /// The value of the `outcome` label in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::Refused(StartRefusal::Fenced) => "fenced",
            Self::Refused(StartRefusal::Outdated) => "outdated",
            Self::Refused(StartRefusal::Late) => "late",
            Self::Refused(StartRefusal::NoRoom) => "no_room",
            Self::Refused(StartRefusal::Unhealthy) => "unhealthy",
            Self::Refused(StartRefusal::OtherServer) => "other_server",
            Self::Refused(StartRefusal::Ticket) => "ticket",
            Self::Refused(StartRefusal::Invalid) => "invalid",
            Self::Withheld => "withheld",
            Self::NotSent { .. } => "not_sent",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// Why a backend server refused to start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// The server has seen a higher epoch: the sender is deposed.
    Fenced,
    /// This run or a newer one of the task has already been stopped or has ended there.
    Outdated,
    /// The lease in the order had expired when the order arrived.
    Late,
    /// The server has too few free resources for the task.
    NoRoom,
    /// The server reports itself as unhealthy.
    Unhealthy,
    /// A different backend server replied at the address.
    OtherServer,
    /// The ticket of the order isn't valid, or the order has none and needs one.
    Ticket,
    /// The server doesn't understand the order.
    Invalid,
}

/// The outcome of a stop order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run is being stopped, or it doesn't exist and will not be started.
    Accepted,
    /// The server has seen a higher epoch: the sender is deposed.
    Fenced,
    /// A different backend server replied at the address.
    OtherServer,
    /// There was no usable reply: the order may have been carried out or may still be.
    Unknown {
        /// Why there is no usable reply.
        reason: String,
    },
}

impl StopOutcome {
    /// The value of the `outcome` label in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Fenced => "fenced",
            Self::OtherServer => "other_server",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// A run in the list of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningEntry {
    /// The run.
    pub name: RunName,
    /// Newest checkpoint of the run; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Share of the work that is done, 0 to 100.
    pub percent: u32,
    /// For a task that serves, the tail of its response times in milliseconds, else the cores in
    /// use; `None` if the server reports no number.
    pub load: Option<f64>,
}

/// An order to set the pace of a filler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PaceOrder {
    /// The run.
    pub name: RunName,
    /// Share of its processor time that the run may use, 0 to 100.
    pub percent: u32,
}

/// The outcome of a pace order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PaceOutcome {
    /// The pace is set.
    Accepted,
    /// The server has not changed the pace of the run.
    Refused,
    /// The server has seen a higher epoch: the sender is deposed.
    Fenced,
    /// There was no usable reply: the order may have been carried out or may still be.
    Unknown {
        /// Why there is no usable reply.
        reason: String,
    },
}

impl PaceOutcome {
    /// The value of the `outcome` label in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Refused => "refused",
            Self::Fenced => "fenced",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task finished.
    Done,
    /// The task or the backend server failed.
    Failed,
    /// A stop order ended it.
    Stopped,
    /// The lease of the server expired.
    Lapsed,
    /// The run of another member of the gang ended.
    Broken,
    /// The other members of the gang did not start in time.
    Alone,
}

impl EndKind {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// The end of a run, which a backend server lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct EndEntry {
    /// Sequence number; a server numbers its ends from 1 again after a restart.
    pub number: u64,
    /// The run.
    pub name: RunName,
    /// How the run ended.
    pub kind: EndKind,
    /// Newest checkpoint of the run; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// The reply of a backend server to a hold.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldReply {
    /// Which incarnation of the server replies. Has to increase with each restart: replies of an
    /// incarnation older than the newest known one are ignored.
    pub incarnation: fleet::Incarnation,
    /// The time on the server's clock.
    pub server_ms: u64,
    /// Runs that exist on the server.
    pub running: Vec<RunningEntry>,
    /// Ends that are not acknowledged yet, those with the lowest numbers first.
    pub ended: Vec<EndEntry>,
    /// Whether the server may have further ends that are not acknowledged yet: it lists a limited
    /// number at a time. A run that isn't listed may be one of them.
    pub may_have_more_ends: bool,
    /// Whether the server lists runs, or ends of runs, that can't be identified. A run that isn't
    /// listed may be one of them.
    pub has_unreadable_runs: bool,
    /// Up to this number all listed ends can be read; `u64::MAX` if all of them can. Higher ones
    /// must not be acknowledged, since that includes an end that can't be read.
    pub ends_readable_upto: u64,
}

impl HoldReply {
    /// Whether a run that is neither running nor among the ends is known not to exist.
    pub fn lists_all_runs(&self) -> bool {
        !self.may_have_more_ends && !self.has_unreadable_runs
    }
}

/// The outcome of a hold.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldOutcome {
    /// The server has accepted the hold and replied.
    Renewed(HoldReply),
    /// The server has seen a higher epoch: the sender is deposed.
    Fenced,
    /// A different backend server replied at the address.
    OtherServer,
    /// The hold has not reached the server, so it can't be carried out.
    NotSent {
        /// Why it was not sent.
        reason: String,
    },
    /// There was no usable reply: the order may have been carried out or may still be.
    Unknown {
        /// Why there is no usable reply.
        reason: String,
    },
}

impl HoldOutcome {
    /// The value of the `outcome` label in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Renewed(_) => "renewed",
            Self::Fenced => "fenced",
            Self::OtherServer => "other_server",
            Self::NotSent { .. } => "not_sent",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// The outcome of an order, with what its reply says of the server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer<O> {
    /// The outcome.
    pub outcome: O,
    /// The time on the server's clock when it replied; `None` if there is no reply, or it doesn't say.
    pub server_ms: Option<u64>,
}

impl<O> From<O> for Answer<O> {
    fn from(outcome: O) -> Self {
        Self {
            outcome,
            server_ms: None,
        }
    }
}

/// The interface for orders to backend servers.
#[async_trait]
pub trait BackendServers: Send + Sync {
    /// Starts a run.
    async fn start(&self, target: &Target, order: &StartOrder) -> Answer<StartOutcome>;

    /// Stops a run. If the run doesn't exist, this makes sure that a delayed start order can't
    /// start it until the server restarts.
    async fn stop(&self, target: &Target, run: &RunName) -> Answer<StopOutcome>;

    /// Sets the pace of a filler.
    async fn pace(&self, target: &Target, order: &PaceOrder) -> Answer<PaceOutcome>;

    /// Renews the lease and returns the runs and ends on the server.
    async fn hold(&self, target: &Target, order: &HoldOrder) -> HoldOutcome;
}
