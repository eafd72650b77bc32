//! Tasks in the orders to a backend server and in its replies.

use std::sync::Arc;

use camphorbeam_model::{id, task};

/// Everything that a backend server needs to run a task.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskSpec {
    /// Identifies the task by request, attempt and rank.
    pub key: task::TaskKey,
    /// Indexes of the accelerators to reserve.
    pub accelerators: Vec<u32>,
    /// All members of the gang in rank order. A scheduler that takes over the gang from a
    /// previous scheduler reads them from the inventory.
    pub members: Vec<task::Member>,
    /// The client account that submitted the request.
    pub client_account: id::ClientAccountName,
    /// Kind of the request, as listed in the operators' sheet.
    pub kind: id::KindName,
    /// Whether the task may run more than once.
    pub idempotent: bool,
    /// Whether the task can be checkpointed.
    pub checkpointable: bool,
    /// Input from the request.
    pub payload: Arc<str>,
    /// Checkpoint to resume from, if any: the text that a backend server returned when it stopped
    /// an earlier attempt, which the scheduler does not interpret.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<Arc<str>>,
}

/// State of a task on its backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TaskState {
    /// Reserved its accelerators and has not started.
    Reserved,
    /// Has started and not ended.
    Running,
    /// Ended with an answer. The backend server keeps the answer until the scheduler allows the
    /// deletion of the task.
    Finished {
        /// Hexadecimal digest of this member's part of the answer.
        digest: Arc<str>,
        /// Length of this member's part, in bytes.
        bytes: u64,
    },
    /// Ended without an answer.
    Failed {
        /// Why the task failed.
        reason: String,
    },
    /// Stopped by a [`StopRequest`](crate::orders::StopRequest).
    Stopped {
        /// The checkpoint, if one was taken; only the backend server interprets the text.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<Arc<str>>,
    },
    /// Stopped by the backend server because the task's lease expired.
    Lapsed,
}

impl TaskState {
    /// Returns whether the task has ended, and thus holds no accelerators any more.
    pub fn is_ended(&self) -> bool {
        !matches!(self, Self::Reserved | Self::Running)
    }
}

/// Status of a task as reported by its backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskStatus {
    /// The task that this is the status of.
    pub key: task::TaskKey,
    /// How far the task has got, or how it ended.
    #[serde(flatten)]
    pub state: TaskState,
    /// Whether the task has ever started.
    pub has_started: bool,
}

/// A task in an [`Inventory`](crate::orders::Inventory), with what a new scheduler needs to
/// take it over.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedTask {
    /// Its status when the inventory was taken.
    pub status: TaskStatus,
    /// All members of the gang in rank order.
    pub members: Vec<task::Member>,
}
