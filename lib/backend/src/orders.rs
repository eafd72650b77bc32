//! Orders from a scheduler to a backend server.
//!
//! Every order but [`answer`](BackendServer::answer), which changes nothing, carries the epoch of
//! its scheduler as a fencing token: a backend server refuses an epoch lower than the highest that
//! it has seen. Every order that could let a task run also carries the expiry of the task's lease,
//! on the clock of the backend server, so that an order that arrives late, or twice, can't start a
//! task after its lease has expired.

use async_trait::async_trait;
use camphorbeam_model::{id, task as task_model};

use crate::{sync, task};

/// Fences the backend server: from now on it obeys only this epoch and higher ones.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct FenceRequest {
    /// The new epoch. Orders with lower ones are refused from now on.
    pub epoch: id::Epoch,
}

/// The state of a backend server, sent to a scheduler that has fenced it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Inventory {
    /// Identifies one run of the backend server's process; changes at each restart.
    pub incarnation: u64,
    /// Current time on the clock of the backend server.
    pub server_now_ms: u64,
    /// Number of the newest event in this incarnation; syncs continue from there.
    pub last_event: u64,
    /// Whether the backend server is shutting down and accepts no new tasks.
    pub is_leaving: bool,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Number of tasks that can run at the same time.
    pub slots: u32,
    /// All tasks whose deletion no scheduler has allowed yet.
    pub tasks: Vec<task::ListedTask>,
}

/// Reserves accelerators for a task without starting it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ReserveRequest {
    /// Epoch of the sending scheduler.
    pub epoch: id::Epoch,
    /// When the task's lease expires, on the clock of the backend server.
    pub lease_until_server_ms: u64,
    /// The task to reserve for.
    pub task: task::TaskSpec,
}

/// Starts a reserved task. Idempotent: a repeated order does not start the task again.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StartRequest {
    /// Epoch of the sending scheduler.
    pub epoch: id::Epoch,
    /// When the task's lease expires, on the clock of the backend server.
    pub lease_until_server_ms: u64,
    /// The task to start.
    pub key: task_model::TaskKey,
}

/// Stops a task.
///
/// A task that the backend server doesn't know can't be reserved until `lease_until_server_ms`, so
/// that a delayed [`ReserveRequest`] has no effect. One that arrives later still has expired
/// itself.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StopRequest {
    /// Epoch of the sending scheduler.
    pub epoch: id::Epoch,
    /// Until when a task that is not known can't be reserved, on the clock of the backend server.
    pub lease_until_server_ms: u64,
    /// The task to stop.
    pub key: task_model::TaskKey,
    /// Whether to take a checkpoint first.
    pub with_checkpoint: bool,
}

/// Limits the speed of a task.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ThrottleRequest {
    /// Epoch of the sending scheduler.
    pub epoch: id::Epoch,
    /// The task to slow down.
    pub key: task_model::TaskKey,
    /// Fraction of full speed, in thousandths.
    pub speed_permille: u32,
}

/// Why a backend server refused an order. A refused order had no effect.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize, thiserror::Error)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum OrderRefusal {
    /// A scheduler with a higher epoch has fenced the backend server.
    #[error("epoch is below {highest}")]
    StaleEpoch {
        /// The highest epoch that the backend server has seen.
        highest: id::Epoch,
    },
    /// A requested accelerator is in use, or no slot is free.
    #[error("the accelerators or slots are not free")]
    Occupied,
    /// The backend server is shutting down and accepts no new tasks.
    #[error("the backend server is leaving")]
    Leaving,
    /// The lease in the order has already expired.
    #[error("the lease in the order has run out")]
    Expired,
    /// The task is unknown or has ended. A reservation is refused with this if the task has ended
    /// or was stopped before it was reserved.
    #[error("the task is not known or has ended")]
    UnknownTask,
    /// The order is malformed or inconsistent.
    #[error("invalid order: {reason}")]
    Invalid {
        /// What is wrong with the order.
        reason: String,
    },
}

/// How an order failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// No byte of the order was sent, so it had no effect.
    #[error("not sent: {reason}")]
    NotSent {
        /// What went wrong.
        reason: String,
    },
    /// The order may have been sent, but there was no usable reply, so it may have had an effect.
    #[error("no answer: {reason}")]
    OutcomeUnknown {
        /// What went wrong.
        reason: String,
    },
    /// The backend server refused the order, which had no effect.
    #[error("refused: {0}")]
    Refused(OrderRefusal),
}

/// The orders that one backend server accepts.
///
/// Besides the refusals listed for each order, a malformed order is refused with
/// [`OrderRefusal::Invalid`], and all orders but [`answer`](Self::answer) with
/// [`OrderRefusal::StaleEpoch`]. Any order may fail with [`OrderError::NotSent`] or
/// [`OrderError::OutcomeUnknown`].
#[async_trait]
pub trait BackendServer: Send + Sync {
    /// Fences off lower epochs and returns the state of the backend server.
    ///
    /// # Errors
    ///
    /// Gives no further refusals.
    async fn fence(&self, request: &FenceRequest) -> Result<Inventory, OrderError>;

    /// Reserves accelerators for a task. If the task is already reserved or running, returns its
    /// status.
    ///
    /// # Errors
    ///
    /// Refused as expired, leaving, occupied or invalid, and as an unknown task if the task has
    /// ended or was stopped before it was reserved.
    async fn reserve(&self, request: &ReserveRequest) -> Result<task::TaskStatus, OrderError>;

    /// Starts a reserved task. If the task is already running, returns its status.
    ///
    /// # Errors
    ///
    /// Refused as expired, and as an unknown task if the task is not reserved or has ended.
    async fn start(&self, request: &StartRequest) -> Result<task::TaskStatus, OrderError>;

    /// Stops a task and returns the state in which it ended, also if it had ended before.
    ///
    /// # Errors
    ///
    /// Gives no further refusals.
    async fn stop(&self, request: &StopRequest) -> Result<task::TaskStatus, OrderError>;

    /// Limits the speed of a task.
    ///
    /// # Errors
    ///
    /// Refused as an unknown task if the task is not running.
    async fn throttle(&self, request: &ThrottleRequest) -> Result<task::TaskStatus, OrderError>;

    /// Renews task leases and waits for task changes.
    ///
    /// # Errors
    ///
    /// Gives no further refusals. The epoch is checked again after the wait.
    async fn sync(&self, request: &sync::SyncRequest) -> Result<sync::SyncReply, OrderError>;

    /// Fetches a finished task's part of the answer.
    ///
    /// The answer of a task whose deletion was allowed may be gone or empty.
    ///
    /// # Errors
    ///
    /// Refused as an unknown task if the task is not known, for example after a restart of the
    /// backend server, or has not finished.
    async fn answer(&self, key: &task_model::TaskKey) -> Result<Vec<u8>, OrderError>;
}
