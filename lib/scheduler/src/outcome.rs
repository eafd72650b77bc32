//! Determines the outcome of an attempt from the states of its members.

use std::sync::Arc;

use camphorbeam_backend::task as backend_task;
use camphorbeam_model::{id, record, verdict};

use crate::failures;
use crate::job::{self, EndReason, MemberState};
use crate::records::NewStep;
use crate::zone::ZoneScheduler;

/// The outcome of an attempt.
pub(crate) enum Outcome {
    /// Not known yet: a backend server that does not respond may still report how its member ended.
    /// The sync loop brings the report.
    Undetermined,
    /// All members have finished.
    Finish,
    /// The request ends in this state, without an answer.
    End(record::RequestState, NewStep),
    /// The request waits for another attempt.
    Retry(Retry),
}

/// What to record before the next attempt.
pub(crate) struct Retry {
    /// The step that ends this attempt.
    pub(crate) step: NewStep,
    /// Checkpoint that the next attempt resumes from, if this one left any.
    pub(crate) checkpoint: Option<Arc<str>>,
}

/// Returns the outcome of an attempt none of whose members holds resources any more.
///
/// The first rule that matches decides. A complete answer thus wins over a cancellation. A request
/// that is not idempotent waits for the status of each member that may have started. A cancellation
/// wins over a further attempt. An attempt that never started is repeated in any case, a preempted
/// one if it left a checkpoint or is idempotent. Failed and lost attempts of an idempotent request
/// are repeated up to their limits, lost ones with a limit of their own for crashes; after that, or if the request is not idempotent, it fails if
/// a member has reported a failure, and its outcome is unknown otherwise.
pub(crate) fn determine(zone: &ZoneScheduler, job: &job::Job, reason: &EndReason) -> Outcome {
    let has_members = !job.members.is_empty();
    let is_finished = has_members && job.members.iter().all(job::TrackedMember::is_finished);
    let may_have_started = job.members.iter().any(|tracked| tracked.may_have_started);
    let is_cancelled = job.is_cancel_requested || *reason == EndReason::Cancelled;
    let failure = job.members.iter().find_map(failures::failure_reason);
    let checkpoint = gang_checkpoint(job);
    let spec = &job.record.spec;
    let settings = &zone.deps.settings;
    let record = &job.record;
    let may_fail_again =
        record.count_events(record::HistoryEvent::AttemptFailed) + 1 < settings.failed_attempts_max;
    let may_be_lost_again =
        record.count_events(record::HistoryEvent::AttemptLost) + 1 < settings.lost_attempts_max;
    let crashes = crashed_attempts(zone, job).len();
    let may_crash_again = crashes < settings.crashed_attempts_max;
    match failure {
        _ if is_finished => Outcome::Finish,
        _ if !spec.idempotent && is_awaiting_status(zone, job) => Outcome::Undetermined,
        _ if is_cancelled => cancelled(zone, job, may_have_started),
        _ if !may_have_started => not_started(job, reason),
        None if checkpoint.is_some() => preempted(job, reason, checkpoint),
        None if spec.idempotent && is_preempted(reason) => preempted(job, reason, None),
        Some(failure) if spec.idempotent && may_fail_again => attempt_failed(job, failure),
        None if spec.idempotent && may_be_lost_again && may_crash_again => {
            attempt_lost(job, &reason_text(reason))
        }
        Some(failure) => failed(job, failure),
        None if spec.idempotent && !may_crash_again => {
            let reason = format!("given up: backend servers have crashed in {crashes} attempts");
            unknown(job, &reason, reason.clone())
        }
        None => {
            let reason = reason_text(reason);
            let detail = match spec.idempotent {
                true => format!("{reason}; too many attempts were lost"),
                false => format!("{reason}; not idempotent, so it is not started again"),
            };
            unknown(job, &reason, detail)
        }
    }
}

/// Returns the attempts during which a server crashed that was running a member, with this one: the
/// server replies again and has lost the member.
pub(crate) fn crashed_attempts(zone: &ZoneScheduler, job: &job::Job) -> Vec<id::Attempt> {
    let servers = zone.tables.servers();
    let is_listed =
        |server: &id::BackendServerId| servers.get(server).is_some_and(|entry| entry.is_listed);
    let has_crashed = job.members.iter().any(|tracked| {
        tracked.state == MemberState::Gone
            && tracked.may_have_started
            && is_listed(&tracked.member.server)
    });
    let mut attempts = job.record.crashed_attempts.clone();
    if has_crashed && !attempts.contains(&job.attempt) {
        attempts.push(job.attempt);
    }
    attempts
}

/// Returns whether a server that does not respond now may still report what became of its member.
fn is_awaiting_status(zone: &ZoneScheduler, job: &job::Job) -> bool {
    let servers = zone.tables.servers();
    let is_listed =
        |server: &id::BackendServerId| servers.get(server).is_some_and(|entry| entry.is_listed);
    job.members
        .iter()
        .any(|tracked| tracked.awaits_status() && is_listed(&tracked.member.server))
}

/// Returns the checkpoint of the gang: that of its first member, if every member has one.
///
/// The record has room for one checkpoint, from which every member of the next attempt resumes.
fn gang_checkpoint(job: &job::Job) -> Option<Arc<str>> {
    let checkpoints: Option<Vec<Arc<str>>> = job
        .members
        .iter()
        .map(|tracked| match &tracked.state {
            MemberState::Ended(backend_task::TaskState::Stopped { checkpoint }) => {
                checkpoint.clone()
            }
            _ => None,
        })
        .collect();
    checkpoints?.into_iter().next()
}

fn reason_text(reason: &EndReason) -> String {
    match reason {
        // Reached only if a server lost its part of the answer before it was fetched.
        EndReason::Finished => "the answer is no longer at hand".to_owned(),
        EndReason::LaunchFailed { detail } | EndReason::MemberLost { detail } => detail.clone(),
        EndReason::Preempted { reason } => reason.clone(),
        EndReason::Cancelled => "cancelled".to_owned(),
    }
}

fn cancelled(zone: &ZoneScheduler, job: &job::Job, may_have_started: bool) -> Outcome {
    let may_have_run = may_have_started || may_have_run_before(zone, job);
    let (verdict, detail) = match may_have_run {
        true => (
            verdict::Verdict::MayHaveRun,
            "stopped after it may have started",
        ),
        false => (verdict::Verdict::NotRun, "never started"),
    };
    let step = NewStep {
        event: record::HistoryEvent::Cancelled,
        attempt: job.attempt,
        verdict,
        detail: detail.to_owned(),
    };
    Outcome::End(record::RequestState::Cancelled { verdict }, step)
}

/// Returns whether an earlier attempt may have run part of the request.
///
/// A predecessor that did not release the lease may have started an idempotent request without a
/// start record, while the platform was unreachable. Every idempotent request that was loaded from
/// its row therefore counts as possibly run, also if it was accepted after the takeover.
fn may_have_run_before(zone: &ZoneScheduler, job: &job::Job) -> bool {
    let record = &job.record;
    let implies_possible_run = |step: &record::HistoryEntry| {
        matches!(
            step.event,
            record::HistoryEvent::AttemptLost
                | record::HistoryEvent::Moved
                | record::HistoryEvent::AttemptFailed
                | record::HistoryEvent::Preempted
        )
    };
    let predecessor_may_have_started_it = job.is_loaded_from_row && !zone.is_clean_start;
    job.has_possible_run_in_memory
        || record.steps_dropped > 0
        || record.steps.iter().any(implies_possible_run)
        || (record.spec.idempotent && predecessor_may_have_started_it)
}

fn not_started(job: &job::Job, reason: &EndReason) -> Outcome {
    Outcome::Retry(Retry {
        step: NewStep {
            event: record::HistoryEvent::AttemptNotStarted,
            attempt: job.attempt,
            verdict: verdict::Verdict::NotRun,
            detail: reason_text(reason),
        },
        checkpoint: None,
    })
}

fn is_preempted(reason: &EndReason) -> bool {
    matches!(reason, EndReason::Preempted { .. })
}

fn preempted(job: &job::Job, reason: &EndReason, checkpoint: Option<Arc<str>>) -> Outcome {
    Outcome::Retry(Retry {
        step: NewStep {
            event: record::HistoryEvent::Preempted,
            attempt: job.attempt,
            verdict: verdict::Verdict::MayHaveRun,
            detail: match checkpoint.is_some() {
                true => format!("checkpointed: {}", reason_text(reason)),
                false => format!("stopped: {}", reason_text(reason)),
            },
        },
        checkpoint,
    })
}

fn attempt_failed(job: &job::Job, reason: &str) -> Outcome {
    Outcome::Retry(Retry {
        step: NewStep {
            event: record::HistoryEvent::AttemptFailed,
            attempt: job.attempt,
            verdict: verdict::Verdict::MayHaveRun,
            detail: reason.to_owned(),
        },
        checkpoint: None,
    })
}

fn attempt_lost(job: &job::Job, reason: &str) -> Outcome {
    Outcome::Retry(Retry {
        step: NewStep {
            event: record::HistoryEvent::AttemptLost,
            attempt: job.attempt,
            verdict: verdict::Verdict::MayHaveRun,
            detail: reason.to_owned(),
        },
        checkpoint: None,
    })
}

fn failed(job: &job::Job, reason: &str) -> Outcome {
    let state = record::RequestState::Failed {
        attempt: job.attempt,
        reason: reason.to_owned(),
    };
    let step = NewStep {
        event: record::HistoryEvent::Failed,
        attempt: job.attempt,
        verdict: verdict::Verdict::Ran,
        detail: reason.to_owned(),
    };
    Outcome::End(state, step)
}

fn unknown(job: &job::Job, reason: &str, detail: String) -> Outcome {
    let state = record::RequestState::Unknown {
        attempt: job.attempt,
        reason: reason.to_owned(),
    };
    let step = NewStep {
        event: record::HistoryEvent::OutcomeUnknown,
        attempt: job.attempt,
        verdict: verdict::Verdict::MayHaveRun,
        detail,
    };
    Outcome::End(state, step)
}
