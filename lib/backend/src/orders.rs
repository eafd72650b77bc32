//! Orders to a backend server.
//!
//! Every order carries the epoch of its scheduler; a backend server refuses one that is lower
//! than the highest it has seen. Every order that could let a task run carries the end of its
//! lease on the clock of the backend server, so that a delayed copy does no harm.

use async_trait::async_trait;
use camphorbeam_model::{id, task as task_model};

use crate::{sync, task};

/// Takes the backend server over for an epoch.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FenceRequest {
    /// The new epoch; lower ones are refused from now on.
    pub epoch: id::Epoch,
}

/// What a backend server has, told to a new scheduler.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Inventory {
    /// Changes with each start of the backend server.
    pub incarnation: u64,
    /// The clock of the backend server.
    pub server_now_ms: u64,
    /// The newest event.
    pub last_event: u64,
    /// Whether the backend server is leaving.
    pub is_leaving: bool,
    /// Accelerators that it has.
    pub accelerators: u32,
    /// Tasks that it can run at once.
    pub slots: u32,
    /// All tasks that have not been released.
    pub tasks: Vec<task::ListedTask>,
}

/// Holds accelerators for a task without starting it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReserveRequest {
    /// Epoch of the scheduler.
    pub epoch: id::Epoch,
    /// End of the lease on the clock of the backend server.
    pub lease_until_server_ms: u64,
    /// The task.
    pub task: task::TaskSpec,
}

/// Starts a reserved task. Doing so twice starts it once.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StartRequest {
    /// Epoch of the scheduler.
    pub epoch: id::Epoch,
    /// End of the lease on the clock of the backend server.
    pub lease_until_server_ms: u64,
    /// The task.
    pub key: task_model::TaskKey,
}

/// Ends a task. One that is not known can't be reserved afterwards.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StopRequest {
    /// Epoch of the scheduler.
    pub epoch: id::Epoch,
    /// Until when, on the clock of the backend server, the task must not be reserved anew.
    pub lease_until_server_ms: u64,
    /// The task.
    pub key: task_model::TaskKey,
    /// Whether to take a checkpoint first.
    pub with_checkpoint: bool,
}

/// Slows a task down.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ThrottleRequest {
    /// Epoch of the scheduler.
    pub epoch: id::Epoch,
    /// The task.
    pub key: task_model::TaskKey,
    /// Share of full speed, in thousandths.
    pub speed_permille: u32,
}

/// Why a backend server refuses an order. A refused order has had no effect.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum OrderRefusal {
    /// A higher epoch has fenced the sender off.
    #[error("epoch is below {highest}")]
    StaleEpoch {
        /// The highest epoch seen.
        highest: id::Epoch,
    },
    /// An accelerator or slot is not free.
    #[error("the accelerators or slots are not free")]
    Occupied,
    /// The backend server is leaving and takes no new work.
    #[error("the backend server is leaving")]
    Leaving,
    /// The lease in the order has already run out.
    #[error("the lease in the order has run out")]
    Expired,
    /// No such task, or it has ended.
    #[error("the task is not known or has ended")]
    UnknownTask,
    /// The order makes no sense to the backend server.
    #[error("invalid order: {reason}")]
    Invalid {
        /// What is wrong.
        reason: String,
    },
}

/// How an order failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// No byte of it has left.
    #[error("not sent: {reason}")]
    NotSent {
        /// What failed.
        reason: String,
    },
    /// It may have taken effect.
    #[error("no answer: {reason}")]
    OutcomeUnknown {
        /// What failed.
        reason: String,
    },
    /// It was refused and had no effect.
    #[error("refused: {0}")]
    Refused(OrderRefusal),
}

/// The task interface of one backend server.
#[async_trait]
pub trait BackendServer: Send + Sync {
    /// Fences off lower epochs and lists what is there.
    async fn fence(&self, request: &FenceRequest) -> Result<Inventory, OrderError>;

    /// Holds accelerators for a task.
    async fn reserve(&self, request: &ReserveRequest) -> Result<task::TaskStatus, OrderError>;

    /// Starts a reserved task.
    async fn start(&self, request: &StartRequest) -> Result<task::TaskStatus, OrderError>;

    /// Ends a task, with the state it ended in.
    async fn stop(&self, request: &StopRequest) -> Result<task::TaskStatus, OrderError>;

    /// Slows a task down.
    async fn throttle(&self, request: &ThrottleRequest) -> Result<task::TaskStatus, OrderError>;

    /// Renews leases and waits for changes.
    async fn sync(&self, request: &sync::SyncRequest) -> Result<sync::SyncReply, OrderError>;

    /// The part of the answer that a finished task has left.
    async fn answer(&self, key: &task_model::TaskKey) -> Result<Vec<u8>, OrderError>;
}
