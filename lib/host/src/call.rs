//! Calls of callers and what is answered.

use std::sync::Arc;

use camphorbeam_jobs::progress;
use camphorbeam_model::job;

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Run a job.
    Submit {
        /// Length of the body.
        body_bytes: u64,
        /// The job, or what is wrong with it.
        spec: Result<job::JobSpec, String>,
    },
    /// Tell the state of a job, or the length of a queue.
    Read,
    /// Cancel a job.
    Cancel,
    /// Something that is not offered.
    Unsupported(String),
}

/// A call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The host name that was called.
    pub host: Arc<str>,
    /// The path: prefix of a queue, then the id of a job or nothing.
    pub path: Arc<str>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline_ms: Option<u64>,
    /// What it wants.
    pub operation: Operation,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job stands so; a submitted one is stored.
    State(progress::JobState),
    /// That many jobs of the queue wait.
    Waiting(u64),
    /// The key is missing or unknown.
    Unauthenticated,
    /// No queue is called so.
    NoSuchQueue,
    /// No job of the caller is called so.
    NoSuchJob,
    /// The body is over the limit.
    TooLarge,
    /// The job breaks a rule.
    Invalid(String),
    /// Another job has this id.
    IdConflict,
    /// There is no such call.
    Unsupported,
    /// Nobody knows whether it was done: the same call may be made again.
    OutcomeUnknown(String),
    /// It was not done and will not be.
    Unavailable {
        /// Why.
        reason: String,
        /// When to come back.
        retry_after_s: u64,
    },
}

impl Reply {
    /// Its name, for logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::State(state) => state.name(),
            Self::Waiting(_) => "waiting",
            Self::Unauthenticated => "unauthenticated",
            Self::NoSuchQueue => "no_such_queue",
            Self::NoSuchJob => "no_such_job",
            Self::TooLarge => "too_large",
            Self::Invalid(_) => "invalid",
            Self::IdConflict => "taken_id",
            Self::Unsupported => "unsupported",
            Self::OutcomeUnknown(_) => "unclear",
            Self::Unavailable { .. } => "not_now",
        }
    }
}
