//! Records the steps of requests in the platform's table.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_model::{id, record, verdict};
use camphorbeam_placement::policy;
use camphorbeam_platform::{commit_retry, committer, keys, table};

use crate::request_telemetry;
use crate::zone::ZoneScheduler;

/// Delay before the first retry of the work of a phase, without jitter; doubles with each retry.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);

/// Interval at which a worker checks whether task leases have expired.
const EXPIRY_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum delay before a retry, without jitter.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(5);

/// Maximum number of doublings. Six are enough to reach [`RETRY_DELAY_MAX`].
const RETRY_DOUBLINGS_MAX: u32 = 6;

/// Result of recording a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordResult {
    /// The step is recorded.
    Written,
    /// Another write changed the record first, or the request is no longer pending in this zone or
    /// has no job. The job, if any, has the record as last written or read.
    Superseded,
    /// The step is not known to be recorded: the platform did not confirm the write, or the row
    /// could not be read.
    Unconfirmed,
    /// This scheduler has been deposed.
    Deposed,
}

/// A step to be recorded, before it gets its time, host, epoch and token.
#[derive(Clone, Debug)]
pub struct NewStep {
    /// What happened.
    pub event: record::HistoryEvent,
    /// The attempt to which it happened.
    pub attempt: id::Attempt,
    /// Whether the request has run, as far as this step tells.
    pub verdict: verdict::Verdict,
    /// Explanation for operators and callers.
    pub detail: String,
}

impl ZoneScheduler {
    /// Completes a step with the time, the host, the epoch and a new token.
    pub(crate) fn stamp(&self, new: NewStep) -> record::HistoryEntry {
        record::HistoryEntry {
            token: self.deps.write_tokens.next(),
            at_unix_ms: self.deps.clock.unix_ms(),
            host: self.deps.settings.host.clone(),
            event: new.event,
            attempt: new.attempt,
            epoch: self.epoch,
            verdict: new.verdict,
            detail: new.detail,
        }
    }

    /// Keeps a step in memory until the next write of the record includes it. Marks the job as
    /// possibly run if the step says so.
    pub(crate) fn add_unrecorded_step(&self, request: &id::RequestId, new: NewStep) {
        let may_have_run = new.verdict != verdict::Verdict::NotRun;
        let step = self.stamp(new);
        if let Some(job) = self.tables.jobs().get_mut(request) {
            job.has_possible_run_in_memory |= may_have_run;
            job.unrecorded_steps.push(step);
        }
    }
}

/// Records `step` and changes the state of the request to `state`.
///
/// The same write records the job's unrecorded steps. If it succeeds, the job gets the new record.
/// If it conflicts with a write of another host to the epoch row, this scheduler's epoch ends.
pub async fn record_step(
    zone: &ZoneScheduler,
    request: &id::RequestId,
    state: record::RequestState,
    step: NewStep,
) -> RecordResult {
    record_step_with_checkpoint(zone, request, state, step, None).await
}

/// Like [`record_step`]; `checkpoint`, if any, replaces the one that the next attempt resumes from.
pub async fn record_step_with_checkpoint(
    zone: &ZoneScheduler,
    request: &id::RequestId,
    state: record::RequestState,
    step: NewStep,
    checkpoint: Option<Arc<str>>,
) -> RecordResult {
    let step = zone.stamp(step);
    let (current, row_version, unrecorded) = match current_row(zone, request).await {
        Ok(row) => row,
        Err(result) => return result,
    };
    if !is_pending_here(zone, &current) {
        return RecordResult::Superseded;
    }
    let mut next = current.clone();
    for earlier in &unrecorded {
        next.push_entry(earlier.clone());
    }
    let mut next = next.with_entry(state, step.clone());
    next.resume_from = checkpoint.or(next.resume_from);
    let entry = commit_entry(zone, &next, row_version, &step.token);
    match zone.deps.committer.commit(entry).await {
        commit_retry::Outcome::Committed => {
            update_job_record(zone, request, next, row_version + 1);
            request_telemetry::report_step(zone, request, &step);
            RecordResult::Written
        }
        commit_retry::Outcome::Conflict { keys } => resolve_conflict(zone, request, &keys).await,
        commit_retry::Outcome::Unresolved { may_be_applied, .. } => {
            if may_be_applied {
                clear_row_version(zone, request);
            }
            RecordResult::Unconfirmed
        }
    }
}

type CurrentRow = (record::RequestRecord, u64, Vec<record::HistoryEntry>);

/// Returns the current record, its row version and the unrecorded steps. Reads the row if the
/// outcome of an earlier write is unknown.
async fn current_row(
    zone: &ZoneScheduler,
    request: &id::RequestId,
) -> Result<CurrentRow, RecordResult> {
    let known = {
        let jobs = zone.tables.jobs();
        let job = jobs.get(request).ok_or(RecordResult::Superseded)?;
        job.row_version
            .map(|version| (job.record.clone(), version, job.unrecorded_steps.clone()))
    };
    match known {
        Some(row) => Ok(row),
        None => {
            reload_row(zone, request).await?;
            let jobs = zone.tables.jobs();
            let job = jobs.get(request).ok_or(RecordResult::Superseded)?;
            let version = job.row_version.ok_or(RecordResult::Unconfirmed)?;
            Ok((job.record.clone(), version, job.unrecorded_steps.clone()))
        }
    }
}

/// Updates the job of a request from the request's row.
async fn reload_row(zone: &ZoneScheduler, request: &id::RequestId) -> Result<(), RecordResult> {
    let key = keys::request(request);
    let rows = zone
        .deps
        .table
        .read(std::slice::from_ref(&key))
        .await
        .map_err(|_| RecordResult::Unconfirmed)?;
    let row = rows.first().ok_or(RecordResult::Unconfirmed)?;
    let record: record::RequestRecord =
        serde_json::from_value(row.value.clone()).map_err(|_| RecordResult::Unconfirmed)?;
    let mut jobs = zone.tables.jobs();
    if let Some(job) = jobs.get_mut(request) {
        job.unrecorded_steps
            .retain(|step| !record.has_token(&step.token));
        job.record = record;
        job.row_version = Some(row.version);
    }
    Ok(())
}

/// Returns the commit entry that replaces a record, conditional on this scheduler's epoch.
fn commit_entry(
    zone: &ZoneScheduler,
    next: &record::RequestRecord,
    row_version: u64,
    token: &Arc<str>,
) -> committer::Entry {
    let row_key = keys::request(&next.id);
    let epoch_key = keys::epoch(&zone.deps.settings.zone);
    let mut transaction = table::Transaction::default();
    transaction.require(&row_key, row_version);
    transaction.require(&epoch_key, zone.epoch_row_version);
    transaction.put(&row_key, serde_json::json!(next));
    if has_ended(&next.state) {
        let open_key = keys::open_request(&next.zone, &next.id);
        // An open-request row is written once and never updated, so its version is 1.
        transaction.require(&open_key, 1);
        transaction.delete(&open_key);
    }
    committer::Entry {
        transaction,
        token_row_key: row_key,
        token: Arc::clone(token),
    }
}

/// Returns whether a request is pending in this scheduler's zone.
pub fn is_pending_here(zone: &ZoneScheduler, record: &record::RequestRecord) -> bool {
    let is_pending = record.state.standing() == record::Standing::Pending;
    is_pending && record.zone == zone.deps.settings.zone
}

fn has_ended(state: &record::RequestState) -> bool {
    state.standing() != record::Standing::Pending
}

fn update_job_record(
    zone: &ZoneScheduler,
    request: &id::RequestId,
    next: record::RequestRecord,
    row_version: u64,
) {
    let mut jobs = zone.tables.jobs();
    if let Some(job) = jobs.get_mut(request) {
        job.unrecorded_steps
            .retain(|step| !next.has_token(&step.token));
        job.record = next;
        job.row_version = Some(row_version);
    }
}

fn clear_row_version(zone: &ZoneScheduler, request: &id::RequestId) {
    if let Some(job) = zone.tables.jobs().get_mut(request) {
        job.row_version = None;
    }
}

async fn resolve_conflict(
    zone: &ZoneScheduler,
    request: &id::RequestId,
    keys: &[Arc<str>],
) -> RecordResult {
    let epoch_key = keys::epoch(&zone.deps.settings.zone);
    if keys.contains(&epoch_key) {
        zone.end_epoch();
        return RecordResult::Deposed;
    }
    match reload_row(zone, request).await {
        Ok(()) => RecordResult::Superseded,
        Err(result) => {
            clear_row_version(zone, request);
            result
        }
    }
}

/// Has a worker process a request again after a short delay, to check whether task leases have
/// expired.
pub fn schedule_lease_check(zone: &ZoneScheduler, request: &id::RequestId) {
    let due_at = zone.now().plus(EXPIRY_POLL_INTERVAL);
    if let Some(job) = zone.tables.jobs().get_mut(request) {
        job.due_at = Some(due_at);
    }
}

/// Has a worker process a request again after a delay that doubles with each consecutive retry.
pub fn schedule_retry(zone: &ZoneScheduler, request: &id::RequestId) {
    let now = zone.now();
    if let Some(job) = zone.tables.jobs().get_mut(request) {
        let doublings = job.retry_count.min(RETRY_DOUBLINGS_MAX);
        let delay = (RETRY_DELAY_MIN * 2_u32.pow(doublings)).min(RETRY_DELAY_MAX);
        // Jitter of 25 % keeps requests that failed together from being retried together.
        let jittered = delay.mul_f64(rand::random_range(0.75..1.25));
        job.retry_count += 1;
        job.due_at = Some(now.plus(jittered));
    }
}

/// Removes a request from the tables and the policy.
pub fn remove_request(zone: &ZoneScheduler, request: &id::RequestId, cause: policy::EndCause) {
    let now_ms = zone.policy_now_ms();
    let mut policy = zone.tables.policy();
    policy.withdraw(request);
    policy.record_end(request, cause, now_ms);
    zone.tables.jobs().remove(request);
    drop(policy);
    zone.wake_decisions();
}

/// Records that the policy has refused a request.
pub async fn refuse(zone: &ZoneScheduler, request: &id::RequestId, reason: &str) {
    let attempt = match zone.tables.jobs().get(request) {
        Some(job) => job.attempt,
        None => return,
    };
    let state = record::RequestState::Refused {
        reason: reason.to_owned(),
    };
    let step = NewStep {
        event: record::HistoryEvent::Refused,
        attempt,
        verdict: verdict::Verdict::NotRun,
        detail: reason.to_owned(),
    };
    match record_step(zone, request, state, step).await {
        RecordResult::Written => remove_request(zone, request, policy::EndCause::Stopped),
        RecordResult::Superseded => remove_or_retry(zone, request),
        RecordResult::Unconfirmed => schedule_retry(zone, request),
        RecordResult::Deposed => {}
    }
}

/// Handles a conflict with another write: removes the request if that write has ended or moved it,
/// and retries otherwise.
pub fn remove_or_retry(zone: &ZoneScheduler, request: &id::RequestId) {
    let is_pending_here = match zone.tables.jobs().get(request) {
        Some(job) => is_pending_here(zone, &job.record),
        None => return,
    };
    match is_pending_here {
        false => remove_request(zone, request, policy::EndCause::Stopped),
        true => schedule_retry(zone, request),
    }
}
