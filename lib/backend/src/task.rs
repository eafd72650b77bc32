//! Tasks as a backend server sees them.

use std::sync::Arc;

use camphorbeam_model::{id, task};

/// Everything that a backend server has to know of a task.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskSpec {
    /// The task.
    pub key: task::TaskKey,
    /// Accelerators to hold, by number.
    pub accelerators: Vec<u32>,
    /// The whole gang in the order of the ranks, for whoever has to adopt it.
    pub members: Vec<task::Member>,
    /// The client account that it runs for.
    pub client_account: id::ClientAccountName,
    /// The kind of work.
    pub kind: id::KindName,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it can be checkpointed.
    pub checkpointable: bool,
    /// Input of the request.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<Arc<str>>,
}

/// Where a task stands on its backend server.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum TaskState {
    /// Holds its accelerators and has not started.
    Reserved,
    /// Runs.
    Running,
    /// Ended with an answer, which the backend server keeps until the task is released.
    Finished {
        /// Digest of this member's part of the answer, in hexadecimal.
        digest: Arc<str>,
        /// Length of the part.
        bytes: u64,
    },
    /// Ended without an answer.
    Failed {
        /// Why.
        reason: String,
    },
    /// Was stopped by order.
    Stopped {
        /// The checkpoint, if one was taken.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        checkpoint: Option<Arc<str>>,
    },
    /// Was stopped by the backend server since its lease ran out.
    Lapsed,
}

impl TaskState {
    /// Whether the task no longer holds its accelerators and never will again.
    pub fn is_ended(&self) -> bool {
        !matches!(self, Self::Reserved | Self::Running)
    }
}

/// What a backend server tells of a task.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TaskStatus {
    /// The task.
    pub key: task::TaskKey,
    /// Where it stands.
    #[serde(flatten)]
    pub state: TaskState,
    /// Whether it has ever begun to run.
    pub has_started: bool,
}

/// A task as listed to a new scheduler, with what is needed to adopt it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedTask {
    /// Where it stands.
    pub status: TaskStatus,
    /// The whole gang in the order of the ranks.
    pub members: Vec<task::Member>,
}
