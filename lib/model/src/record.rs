//! The durable record of a request, as it stands in the platform's table.

use std::sync::Arc;

use crate::{id, request, task, verdict};

/// Steps that a record keeps. The first and the newest survive; the middle is counted.
pub const STEPS_MAX: usize = 64;

/// Where a request stands.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RequestState {
    /// Accepted and not started.
    Waiting,
    /// An attempt may be running: its start record stands.
    Started {
        /// The attempt.
        attempt: id::Attempt,
        /// Epoch of the scheduler that started it.
        epoch: id::Epoch,
        /// Its gang, in the order of the ranks.
        members: Vec<task::Member>,
    },
    /// Ran to its end; the answer is in the object store.
    Finished {
        /// The attempt whose answer counts.
        attempt: id::Attempt,
        /// Digest of the whole answer, in hexadecimal.
        answer_digest: Arc<str>,
        /// Length of the whole answer.
        answer_bytes: u64,
    },
    /// Ran and failed.
    Failed {
        /// The last attempt.
        attempt: id::Attempt,
        /// What the backend server said.
        reason: String,
    },
    /// Will not be started, by decision of the scheduler.
    Refused {
        /// Why.
        reason: String,
    },
    /// Taken back by its caller.
    Cancelled {
        /// Whether it may have run before.
        verdict: verdict::Verdict,
    },
    /// Non-idempotent, started, and its outcome can't be known. Never started again.
    Unknown {
        /// The attempt whose outcome is unknown.
        attempt: id::Attempt,
        /// What is known.
        reason: String,
    },
}

/// What a record says to the question of what became of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// Not at its end.
    Pending,
    /// At its end, with this verdict.
    Ended(verdict::Verdict),
}

impl RequestState {
    /// The answer to what became of the request.
    pub fn standing(&self) -> Standing {
        match self {
            Self::Waiting | Self::Started { .. } => Standing::Pending,
            Self::Finished { .. } | Self::Failed { .. } => Standing::Ended(verdict::Verdict::Ran),
            Self::Refused { .. } => Standing::Ended(verdict::Verdict::NotRun),
            Self::Cancelled { verdict } => Standing::Ended(*verdict),
            Self::Unknown { .. } => Standing::Ended(verdict::Verdict::MayHaveRun),
        }
    }

    /// A short name for people.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Started { .. } => "started",
            Self::Finished { .. } => "finished",
            Self::Failed { .. } => "failed",
            Self::Refused { .. } => "refused",
            Self::Cancelled { .. } => "cancelled",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// What happened to a request in one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepEvent {
    /// The request was recorded.
    Accepted,
    /// The start record of an attempt was written.
    StartRecorded,
    /// An attempt ended before any member had started.
    AttemptNotStarted,
    /// An attempt ended after members had started, without an answer.
    AttemptLost,
    /// An attempt ended because a member failed by itself.
    AttemptFailed,
    /// An attempt was stopped to give accelerators back.
    Preempted,
    /// A successor found the attempt running and went on with it.
    Adopted,
    /// The whole answer is stored.
    Finished,
    /// The last attempt failed.
    Failed,
    /// The scheduler gave a final refusal.
    Refused,
    /// Another availability zone took the waiting request over.
    Moved,
    /// The caller asked to cancel.
    CancelRequested,
    /// The request is cancelled.
    Cancelled,
    /// The outcome can't be known.
    OutcomeUnknown,
}

impl StepEvent {
    /// Its name, as in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::StartRecorded => "start_recorded",
            Self::AttemptNotStarted => "attempt_not_started",
            Self::AttemptLost => "attempt_lost",
            Self::Preempted => "preempted",
            Self::Adopted => "adopted",
            Self::Finished => "finished",
            Self::Failed => "failed",
            Self::Refused => "refused",
            Self::Moved => "moved",
            Self::CancelRequested => "cancel_requested",
            Self::Cancelled => "cancelled",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::AttemptFailed => "attempt_failed",
        }
    }
}

/// One step in the life of a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Step {
    /// Unique token of the write that recorded this step.
    pub token: Arc<str>,
    /// When, in milliseconds since the Unix epoch by the clock of `host`.
    pub at_unix_ms: u64,
    /// The entry host that recorded it.
    pub host: id::HostId,
    /// What happened.
    pub event: StepEvent,
    /// The attempt concerned; zero before the first.
    pub attempt: id::Attempt,
    /// Epoch of the recording scheduler; zero where none was involved.
    pub epoch: id::Epoch,
    /// What this step says of whether the request ran.
    pub verdict: verdict::Verdict,
    /// Details for people.
    pub detail: String,
}

/// The whole record of a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RequestRecord {
    /// Its id.
    pub id: id::RequestId,
    /// What was asked for.
    pub spec: request::RequestSpec,
    /// The availability zone that runs it.
    pub zone: id::ZoneName,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_at_unix_ms: u64,
    /// Where it stands.
    #[serde(flatten)]
    pub state: RequestState,
    /// The number of the latest attempt; zero before the first.
    pub last_attempt: id::Attempt,
    /// Checkpoint that the next attempt resumes from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<Arc<str>>,
    /// What happened so far, oldest first.
    pub steps: Vec<Step>,
    /// Steps that were dropped from the middle to bound the record.
    #[serde(default)]
    pub steps_dropped: u64,
}

impl RequestRecord {
    /// The record after `step` led to `state`.
    pub fn with_step(&self, state: RequestState, step: Step) -> Self {
        let mut next = self.clone();
        next.last_attempt = next.last_attempt.max(step.attempt);
        next.state = state;
        next.push_step(step);
        next
    }

    /// Appends `step`; drops the second-oldest beyond [`STEPS_MAX`].
    pub fn push_step(&mut self, step: Step) {
        self.steps.push(step);
        if self.steps.len() > STEPS_MAX {
            self.steps.remove(1);
            self.steps_dropped += 1;
        }
    }

    /// How many attempts have ended in this way.
    pub fn count_events(&self, event: StepEvent) -> usize {
        self.steps.iter().filter(|step| step.event == event).count()
    }

    /// Whether the write with `token` has been applied to this record.
    pub fn has_token(&self, token: &str) -> bool {
        self.steps.iter().any(|step| &*step.token == token)
    }
}
