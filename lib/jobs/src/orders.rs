//! Orders to backend servers and what comes back.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use camphorbeam_model::{fleet, id, job};

/// Where an order goes and under which fence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The backend server.
    pub server: id::BackendServerId,
    /// Its address.
    pub address: SocketAddr,
    /// Epoch of the sender; a backend server refuses a lower one than it has seen.
    pub epoch: id::Epoch,
}

/// One run of one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RunName {
    /// The task.
    pub task: job::TaskName,
    /// Number of the run.
    pub run: id::Run,
}

/// Starts a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The run.
    pub name: RunName,
    /// Input of the task.
    pub payload: Arc<str>,
    /// Until when everything on the server may run, on its own clock.
    pub lease_until_server_ms: u64,
    /// From where it goes on; empty for the beginning.
    pub checkpoint: Arc<str>,
}

/// Renews the lease of a backend server and asks what happens there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldOrder {
    /// Until when everything on the server may run, on its own clock; `None` if that is unknown.
    pub lease_until_server_ms: Option<u64>,
    /// Ends up to this number are recorded and may be forgotten.
    pub ends_acknowledged: u64,
    /// How long the answer may wait for an end.
    pub wait_ms: u64,
}

/// What became of a start order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartOutcome {
    /// The run is there.
    Present,
    /// The backend server has done nothing and will not.
    Refused(StartRefusal),
    /// Nobody knows; the order may be carried out later.
    Unknown {
        /// What failed.
        reason: String,
    },
}

impl StartOutcome {
    /// Its name, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Present => "present",
            Self::Refused(StartRefusal::Fenced) => "fenced",
            Self::Refused(StartRefusal::Outdated) => "outdated",
            Self::Refused(StartRefusal::Late) => "late",
            Self::Refused(StartRefusal::NoRoom) => "no_room",
            Self::Refused(StartRefusal::Unhealthy) => "unhealthy",
            Self::Refused(StartRefusal::OtherServer) => "other_server",
            Self::Refused(StartRefusal::Invalid) => "invalid",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// Why a backend server did not start a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher epoch: the sender is deposed.
    Fenced,
    /// A run that is as new has been stopped or has ended there.
    Outdated,
    /// The lease in the order had passed.
    Late,
    /// The task does not fit.
    NoRoom,
    /// It is unhealthy.
    Unhealthy,
    /// Another server answers at the address.
    OtherServer,
    /// It does not understand the order.
    Invalid,
}

/// What became of a stop order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The run ends, or it is not there and will not be.
    Accepted,
    /// It has seen a higher epoch: the sender is deposed.
    Fenced,
    /// Another server answers at the address.
    OtherServer,
    /// Nobody knows.
    Unknown {
        /// What failed.
        reason: String,
    },
}

impl StopOutcome {
    /// Its name, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::Fenced => "fenced",
            Self::OtherServer => "other_server",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// A run that a backend server lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningEntry {
    /// The run.
    pub name: RunName,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
    /// Share of the work that is done, 0 to 100.
    pub percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndKind {
    /// The task has finished.
    Done,
    /// It failed, by itself or by the backend server.
    Failed,
    /// It was stopped by order.
    Stopped,
    /// The lease of the server passed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come in time.
    Alone,
}

impl EndKind {
    /// Its name, for logs.
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

/// An end that a backend server lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct EndEntry {
    /// Its number within the life of the server.
    pub number: u64,
    /// The run.
    pub name: RunName,
    /// How it ended.
    pub kind: EndKind,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: Arc<str>,
}

/// What a backend server says to a hold.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldReply {
    /// Its life.
    pub incarnation: fleet::Life,
    /// Its clock.
    pub server_ms: u64,
    /// What runs.
    pub running: Vec<RunningEntry>,
    /// What has ended and is not acknowledged.
    pub ended: Vec<EndEntry>,
}

/// What became of a hold.
#[derive(Clone, Debug, PartialEq)]
pub enum HoldOutcome {
    /// It was renewed.
    Renewed(HoldReply),
    /// It has seen a higher epoch: the sender is deposed.
    Fenced,
    /// Another server answers at the address.
    OtherServer,
    /// Nobody knows.
    Unknown {
        /// What failed.
        reason: String,
    },
}

impl HoldOutcome {
    /// Its name, for metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Renewed(_) => "renewed",
            Self::Fenced => "fenced",
            Self::OtherServer => "other_server",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// The task interface of backend servers.
#[async_trait]
pub trait BackendServers: Send + Sync {
    /// Starts a run.
    async fn start(&self, target: &Target, order: &StartOrder) -> StartOutcome;

    /// Stops a run, or rules out that it starts.
    async fn stop(&self, target: &Target, run: &RunName) -> StopOutcome;

    /// Renews the lease and lists what runs and what has ended.
    async fn hold(&self, target: &Target, order: &HoldOrder) -> HoldOutcome;
}
