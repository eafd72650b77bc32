//! Ends an attempt: stops the members that still run, then records the outcome.
//!
//! The accelerators of an attempt become available to the placement policy only after every member
//! has ended, has a lease that counts as expired, or is gone ([`job::MemberState`]).

use std::sync::Arc;

use camphorbeam_backend::{orders, task as backend_task};
use camphorbeam_model::{id, record, task, verdict};
use camphorbeam_placement::policy;
use camphorbeam_platform::keys;
use camphorbeam_telemetry::metrics;
use futures::future;

use crate::failures;
use crate::job::{self, EndReason, MemberState};
use crate::outcome::{self, Outcome, Retry};
use crate::records::{self, NewStep, RecordResult};
use crate::zone::ZoneScheduler;

/// Ends an attempt as far as is possible now; schedules a retry for what remains to be done.
pub async fn run(zone: &Arc<ZoneScheduler>, request: &id::RequestId, reason: &EndReason) {
    stop_members(zone, request, reason).await;
    mark_unreachable_members(zone, request);
    let Some(job) = zone.tables.jobs().get(request).cloned() else {
        return;
    };
    if !job.members.iter().all(job::TrackedMember::is_inactive) {
        records::schedule_lease_check(zone, request);
        return;
    }
    release_accelerators(zone, request, &job);
    // Another write has ended the request or moved it to another zone.
    if !records::is_pending_here(zone, &job.record) {
        allow_task_deletions(zone, &job);
        records::remove_request(zone, request, policy::EndCause::Stopped);
        return;
    }
    match outcome::determine(zone, &job, reason) {
        Outcome::Undetermined => records::schedule_retry(zone, request),
        Outcome::Finish => finish(zone, request, &job).await,
        Outcome::End(state, step) => record_end(zone, request, &job, state, step).await,
        Outcome::Retry(retry) => requeue(zone, request, &job, retry).await,
    }
}

async fn stop_members(zone: &ZoneScheduler, request: &id::RequestId, reason: &EndReason) {
    let (keys, with_checkpoint) = match zone.tables.jobs().get(request) {
        Some(job) => {
            let is_preempted = matches!(reason, EndReason::Preempted { .. });
            (
                tasks_to_stop(job),
                is_preempted && job.record.spec.checkpointable,
            )
        }
        None => return,
    };
    let stops = keys
        .into_iter()
        .map(|(key, server)| stop_member(zone, key, server, with_checkpoint));
    future::join_all(stops).await;
}

fn tasks_to_stop(job: &job::Job) -> Vec<(task::TaskKey, id::BackendServerId)> {
    job.tasks()
        .filter(|(_, tracked)| !tracked.is_inactive())
        .map(|(key, tracked)| (key, tracked.member.server.clone()))
        .collect()
}

async fn stop_member(
    zone: &ZoneScheduler,
    key: task::TaskKey,
    server: id::BackendServerId,
    with_checkpoint: bool,
) {
    let Ok(target) = zone.order_target(&server) else {
        return;
    };
    let request = orders::StopRequest {
        epoch: zone.epoch,
        lease_until_server_ms: target.lease_until_server_ms,
        key,
        with_checkpoint,
    };
    match target.orders.stop(&request).await {
        Ok(status) => zone.update_member_status(&server, &status),
        Err(error) => zone.handle_order_error(&server, &error),
    }
}

/// Marks members whose server can't be reached as expired or gone, once their leases count as
/// expired.
///
/// Members on a server that is not in the table are gone at once. After a takeover, such a task may
/// still be running under a lease of the previous scheduler.
fn mark_unreachable_members(zone: &ZoneScheduler, request: &id::RequestId) {
    let mut jobs = zone.tables.jobs();
    let servers = zone.tables.servers();
    let Some(job) = jobs.get_mut(request) else {
        return;
    };
    for tracked in &mut job.members {
        tracked.state = match servers.get(&tracked.member.server) {
            None => ended_or_gone(&tracked.state),
            Some(entry) if !zone.all_leases_expired(entry) => continue,
            Some(entry) if !entry.is_listed => ended_or_gone(&tracked.state),
            Some(_) if !tracked.is_inactive() => MemberState::LeaseExpired,
            Some(_) => continue,
        };
    }
}

fn ended_or_gone(state: &MemberState) -> MemberState {
    match state {
        MemberState::Ended(state) => MemberState::Ended(state.clone()),
        _ => MemberState::Gone,
    }
}

/// Reports to the placement policy that an attempt no longer holds accelerators, and updates the
/// failure history of its servers.
fn release_accelerators(zone: &ZoneScheduler, request: &id::RequestId, job: &job::Job) {
    if !job.has_allocation {
        return;
    }
    let now = zone.now();
    let is_failed = job.members.iter().any(failures::is_failure);
    let is_finished = job.members.iter().all(job::TrackedMember::is_finished);
    let cause = match job.started_at {
        Some(started_at) if is_finished => policy::EndCause::Finished {
            run_time_ms: camphorbeam_clock::as_ms(now.since(started_at)),
        },
        _ if is_failed => policy::EndCause::Failed,
        // Not finished, or finished with unknown run time because a previous scheduler started it.
        _ => policy::EndCause::Stopped,
    };
    let mut policy = zone.tables.policy();
    policy.record_end(request, cause, zone.policy_now_ms());
    if let Some(job) = zone.tables.jobs().get_mut(request) {
        job.has_allocation = false;
    }
    drop(policy);
    failures::count_server_results(zone, job);
    zone.wake_decisions();
}

/// Stores the complete answer, then records that the request has finished.
async fn finish(zone: &ZoneScheduler, request: &id::RequestId, job: &job::Job) {
    let Some(answer) = collect_answer(zone, job).await else {
        records::schedule_retry(zone, request);
        return;
    };
    let answer_digest = digest(&answer);
    let name = keys::answer(request, job.attempt, &answer_digest);
    if zone.deps.objects.put(&name, &answer).await.is_err() {
        records::schedule_retry(zone, request);
        return;
    }
    let state = record::RequestState::Finished {
        attempt: job.attempt,
        answer_digest,
        answer_bytes: answer.len() as u64,
    };
    let step = NewStep {
        event: record::HistoryEvent::Finished,
        attempt: job.attempt,
        verdict: verdict::Verdict::Ran,
        detail: format!("answer of {} bytes stored", answer.len()),
    };
    record_end(zone, request, job, state, step).await;
}

/// Returns the parts of all members in rank order, after verifying the length and digest of each.
/// Returns `None` if a part is not available now or does not match.
async fn collect_answer(zone: &ZoneScheduler, job: &job::Job) -> Option<Vec<u8>> {
    let mut answer = Vec::new();
    for (key, tracked) in job.tasks() {
        let MemberState::Ended(backend_task::TaskState::Finished {
            digest: expected_digest,
            bytes,
        }) = &tracked.state
        else {
            return None;
        };
        let target = zone.order_target(&tracked.member.server).ok()?;
        let part = match target.orders.answer(&key).await {
            Ok(part) => part,
            Err(error) => {
                zone.handle_order_error(&tracked.member.server, &error);
                // A server that has restarted has lost the answer, so a retry can't succeed.
                if error == orders::OrderError::Refused(orders::OrderRefusal::UnknownTask) {
                    zone.mark_member_gone(&key);
                }
                return None;
            }
        };
        if part.len() as u64 != *bytes || digest(&part) != *expected_digest {
            zone.deps.count(metrics::ANSWER_DAMAGED);
            return None;
        }
        answer.extend_from_slice(&part);
    }
    Some(answer)
}

/// Returns the hexadecimal digest of an answer.
pub fn digest(content: &[u8]) -> Arc<str> {
    Arc::from(blake3::hash(content).to_hex().as_str())
}

/// Records the final state of a request and removes it from the tables.
async fn record_end(
    zone: &ZoneScheduler,
    request: &id::RequestId,
    job: &job::Job,
    state: record::RequestState,
    step: NewStep,
) {
    match records::record_step(zone, request, state, step).await {
        RecordResult::Written => {
            zone.deps.count(metrics::REQUEST_CLOSED);
            allow_task_deletions(zone, job);
            records::remove_request(zone, request, policy::EndCause::Stopped);
        }
        RecordResult::Superseded => records::remove_or_retry(zone, request),
        RecordResult::Unconfirmed => records::schedule_retry(zone, request),
        RecordResult::Deposed => {}
    }
}

/// Allows the backend servers to delete the tasks of an attempt.
fn allow_task_deletions(zone: &ZoneScheduler, job: &job::Job) {
    for (key, tracked) in job.tasks() {
        zone.allow_task_deletion(&tracked.member.server, key);
    }
}

/// Prepares the request for another attempt.
///
/// `retry.step` is recorded first, together with the state of waiting, if there is a checkpoint, if
/// the start record may be committed, or if there are unrecorded steps and a backend server may
/// still list a task of the attempt, from where a successor could take it over. Otherwise the
/// step is kept in memory until the next write of the record.
async fn requeue(zone: &ZoneScheduler, request: &id::RequestId, job: &job::Job, retry: Retry) {
    let is_launch_failure = matches!(
        job.phase,
        job::Phase::Ending(EndReason::LaunchFailed { .. })
    );
    let crashed_attempts = outcome::crashed_attempts(zone, job);
    if let Some(job) = zone.tables.jobs().get_mut(request) {
        job.record.crashed_attempts = crashed_attempts;
    }
    let may_be_listed = job
        .members
        .iter()
        .any(|tracked| tracked.state != MemberState::Gone);
    // If the outcome of writing the start record is unknown, the row may show this attempt as
    // started.
    let may_be_recorded = job.is_start_recorded || job.row_version.is_none();
    let has_unrecorded_tasks = may_be_listed && !job.unrecorded_steps.is_empty();
    if may_be_recorded || has_unrecorded_tasks || retry.checkpoint.is_some() {
        let state = record::RequestState::Waiting;
        let checkpoint = retry.checkpoint;
        match records::record_step_with_checkpoint(zone, request, state, retry.step, checkpoint)
            .await
        {
            RecordResult::Written => {}
            RecordResult::Superseded => return records::remove_or_retry(zone, request),
            RecordResult::Unconfirmed => return records::schedule_retry(zone, request),
            RecordResult::Deposed => return,
        }
    } else {
        zone.add_unrecorded_step(request, retry.step);
    }
    allow_task_deletions(zone, job);
    failures::allow_failed_servers_if_needed(zone, request);
    back_off(zone, request, is_launch_failure);
}

/// Resets a request for its next attempt, or ends it as cancelled if cancellation was requested.
/// Either happens after a delay, which grows with each consecutive failed launch.
fn back_off(zone: &ZoneScheduler, request: &id::RequestId, is_launch_failure: bool) {
    if let Some(job) = zone.tables.jobs().get_mut(request) {
        job.failed_launches = match is_launch_failure {
            true => job.failed_launches + 1,
            false => 0,
        };
        job.retry_count = job.failed_launches;
        job.members.clear();
        job.is_start_recorded = false;
        job.started_at = None;
        job.phase = match job.is_cancel_requested {
            true => job::Phase::Ending(EndReason::Cancelled),
            false => job::Phase::BackingOff,
        };
    }
    records::schedule_retry(zone, request);
}
