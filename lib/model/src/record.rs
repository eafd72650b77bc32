//! The durable record of a request, as stored in the platform's table.

use std::sync::Arc;

use crate::{id, request, task, verdict};

/// Maximum number of history entries in a record. The first and the newest entries are kept; the
/// record only counts those that it drops in between.
pub const HISTORY_ENTRIES_MAX: usize = 64;

/// State of a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum RequestState {
    /// The request is accepted but not started.
    Waiting,
    /// The start of an attempt is recorded, so that the attempt may be running.
    Started {
        attempt: id::Attempt,
        /// Epoch of the scheduler that started the attempt.
        epoch: id::Epoch,
        /// Members of the gang, in the order of their ranks.
        members: Vec<task::Member>,
    },
    /// The request ran to completion, and its answer is in the object store.
    Finished {
        /// The attempt that produced the stored answer.
        attempt: id::Attempt,
        /// Hexadecimal digest of the complete answer.
        answer_digest: Arc<str>,
        /// Length of the complete answer.
        answer_bytes: u64,
    },
    /// The request ran and failed.
    Failed {
        /// The last attempt.
        attempt: id::Attempt,
        /// The reason that the backend server gave.
        reason: String,
    },
    /// The scheduler has decided not to start the request.
    Refused {
        /// Explanation from the scheduler.
        reason: String,
    },
    /// The caller cancelled the request.
    Cancelled {
        /// Whether the request may have run before it was cancelled.
        verdict: verdict::Verdict,
    },
    /// A non-idempotent request was started, and its outcome can't be determined. It is never
    /// started again.
    Unknown {
        /// The attempt whose outcome is unknown.
        attempt: id::Attempt,
        /// What is known about the last attempt, for display.
        reason: String,
    },
}

/// Whether a request has ended and, if so, whether it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The request has not ended.
    Pending,
    /// The request has ended with this verdict.
    Ended(verdict::Verdict),
}

impl RequestState {
    /// Returns whether the request has ended and, if so, its verdict.
    pub fn standing(&self) -> Standing {
        match self {
            Self::Waiting | Self::Started { .. } => Standing::Pending,
            Self::Finished { .. } | Self::Failed { .. } => Standing::Ended(verdict::Verdict::Ran),
            Self::Refused { .. } => Standing::Ended(verdict::Verdict::NotRun),
            Self::Cancelled { verdict } => Standing::Ended(*verdict),
            Self::Unknown { .. } => Standing::Ended(verdict::Verdict::MayHaveRun),
        }
    }

    /// Returns a short name for display.
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

/// Kind of event in the history of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HistoryEvent {
    /// The request was accepted and recorded.
    Accepted,
    /// The start record of an attempt was written.
    StartRecorded,
    /// An attempt ended before any of its members had started.
    AttemptNotStarted,
    /// An attempt ended without an answer after some of its members had started.
    AttemptLost,
    /// An attempt ended because one of its members failed on its own.
    AttemptFailed,
    /// An attempt was stopped because its accelerators were reclaimed.
    Preempted,
    /// A new scheduler found the attempt running and took it over.
    Adopted,
    /// The complete answer is stored.
    Finished,
    /// The last attempt failed.
    Failed,
    /// The scheduler refused the request for good.
    Refused,
    /// Another availability zone took over the waiting request.
    Moved,
    /// The caller asked for cancellation.
    CancelRequested,
    Cancelled,
    /// The outcome can't be determined.
    OutcomeUnknown,
}

impl HistoryEvent {
    /// Returns the name used in JSON.
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

/// An event in the history of a request.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct HistoryEntry {
    /// Unique token of the write that recorded the event.
    pub token: Arc<str>,
    /// Time of the event by the clock of `host`, in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// The entry host that recorded the event.
    pub host: id::HostId,
    pub event: HistoryEvent,
    /// The attempt that the event concerns; 0 before the first attempt.
    pub attempt: id::Attempt,
    /// Epoch of the scheduler that recorded the event; 0 if no scheduler was involved.
    pub epoch: id::Epoch,
    /// Whether the request may have run, as known at the time of the event.
    pub verdict: verdict::Verdict,
    /// Details for display.
    pub detail: String,
}

/// A request together with its state and history.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RequestRecord {
    pub id: id::RequestId,
    pub spec: request::RequestSpec,
    /// The availability zone that runs the request.
    pub zone: id::ZoneName,
    /// Time of acceptance, in milliseconds since the Unix epoch.
    pub accepted_at_unix_ms: u64,
    #[serde(flatten)]
    pub state: RequestState,
    /// Number of the latest attempt; 0 before the first.
    pub last_attempt: id::Attempt,
    /// Attempts during which a backend server crashed that was running a member. Unlike the history,
    /// never shortened.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashed_attempts: Vec<id::Attempt>,
    /// Checkpoint from which the next attempt resumes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_from: Option<Arc<str>>,
    /// The history, oldest entry first. Entries after the first one are dropped beyond
    /// [`HISTORY_ENTRIES_MAX`].
    pub steps: Vec<HistoryEntry>,
    /// Number of history entries dropped after the first one to limit the size of the record.
    #[serde(default)]
    pub steps_dropped: u64,
}

impl RequestRecord {
    /// Returns a copy of the record with `entry` appended and the new `state`.
    pub fn with_entry(&self, state: RequestState, entry: HistoryEntry) -> Self {
        let mut next = self.clone();
        next.last_attempt = next.last_attempt.max(entry.attempt);
        next.state = state;
        next.push_entry(entry);
        next
    }

    /// Appends `entry`. Beyond [`HISTORY_ENTRIES_MAX`] entries, the second oldest is dropped.
    pub fn push_entry(&mut self, entry: HistoryEntry) {
        self.steps.push(entry);
        if self.steps.len() > HISTORY_ENTRIES_MAX {
            self.steps.remove(1);
            self.steps_dropped += 1;
        }
    }

    /// Returns the number of kept history entries with this event. Entries that were dropped aren't
    /// counted, so a limit on attempts that relies on this number can be exceeded.
    pub fn count_events(&self, event: HistoryEvent) -> usize {
        self.steps
            .iter()
            .filter(|entry| entry.event == event)
            .count()
    }

    /// Returns whether a kept history entry has `token`, which shows that the write with this token
    /// was applied. The tokens of entries that were dropped aren't found.
    pub fn has_token(&self, token: &str) -> bool {
        self.steps.iter().any(|entry| &*entry.token == token)
    }
}
