//! Calls to the gateway and the replies to them.

use std::sync::Arc;

use camphorbeam_jobs::progress;
use camphorbeam_model::job;

/// The operation that a caller asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Operation {
    /// Submit a job.
    Submit {
        /// Length of the request body, in bytes.
        body_bytes: u64,
        /// The job, or why it is invalid.
        spec: Result<job::JobSpec, String>,
    },
    /// Read the state of a job, or the number of waiting jobs of a queue.
    Read,
    /// Cancel a job.
    Cancel,
    /// An unsupported method; holds its name as the transport gave it.
    Unsupported(String),
}

/// A call, independent of its transport.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Host name that the call was addressed to.
    pub host: Arc<str>,
    /// Path prefix of a queue, followed by a job id or nothing.
    pub path: Arc<str>,
    /// API key of the caller.
    pub key: Option<Arc<str>>,
    /// Time in ms, from the start of the call, that the caller waits for the reply; `None` for the
    /// gateway's default.
    pub deadline_ms: Option<u64>,
    /// Requested operation.
    pub operation: Operation,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// State of the job as read; always `Queued` for a stored submission, also a repeated one, and
    /// always `Cancelled` for a stored cancellation.
    State(progress::JobState),
    /// The job has failed; says why.
    Failed(Arc<str>),
    /// Number of waiting jobs of the queue.
    Waiting(u64),
    /// The API key is missing or unknown.
    Unauthenticated,
    /// No queue has this host name and path.
    NoSuchQueue,
    /// The caller's account has no job with this id, or the job row can't be parsed when a job
    /// without stored progress is read or a job is cancelled. A cancellation of a job that is not
    /// stored, or whose row can't be parsed, gets this reply although the cancellation is stored.
    NoSuchJob,
    /// The request body exceeds the limit.
    TooLarge,
    /// The call is not valid; says why.
    Invalid(String),
    /// A job of another client account has this id.
    IdConflict,
    /// The method is not supported.
    Unsupported,
    /// It is not known whether the operation took effect, or a stored row can't be parsed: the
    /// progress row for a read, the job row for a submission. Repeating the same call is safe, but
    /// doesn't help if the row can't be parsed.
    OutcomeUnknown(String),
    /// The operation has not taken effect and will not; for a read, nothing could be read.
    Unavailable {
        /// Why the operation is not possible now.
        reason: String,
        /// Time after which to repeat the call.
        retry_after_s: u64,
    },
}

impl Reply {
    /// Name of the reply in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::State(state) => state.name(),
            Self::Failed(_) => progress::JobState::Failed.name(),
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
