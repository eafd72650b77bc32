//! The decision loop: runs the placement policy and passes its decisions to the workers.

use std::sync::Arc;

use camphorbeam_clock as clock;
use camphorbeam_model::{id, task};
use camphorbeam_placement::policy;
use camphorbeam_telemetry::metrics;

use crate::zone::ZoneScheduler;
use crate::{failures, job};

/// Runs the decision loop until this scheduler's epoch has ended.
pub async fn run(zone: Arc<ZoneScheduler>, wake_receiver: async_channel::Receiver<()>) {
    let mut sheet_version = id::SheetVersion(0);
    while !zone.has_ended() {
        let wait = zone.deps.settings.decision_interval;
        // Both a wake-up and the end of the interval are reasons to decide. Only a closed channel
        // ends the loop.
        if let Ok(Err(async_channel::RecvError)) =
            zone.deps.clock.timeout(wait, wake_receiver.recv()).await
        {
            return;
        }
        queue_due_jobs(&zone);
        if zone.may_decide() && !zone.is_closing() {
            decide(&zone, &mut sheet_version);
        }
    }
}

/// Queues the jobs that need a worker now: those whose retry delay has passed, and those that did
/// not fit into the work queue before.
fn queue_due_jobs(zone: &ZoneScheduler) {
    let now = zone.now();
    let is_due = |job: &job::Job| {
        let needs_worker = !matches!(job.phase, job::Phase::Waiting | job::Phase::Running);
        needs_worker && !job.has_worker && job.due_at.is_none_or(|due_at| due_at <= now)
    };
    let due: Vec<id::RequestId> = {
        let jobs = zone.tables.jobs();
        let due_jobs = jobs.values().filter(|job| is_due(job));
        due_jobs.map(|job| job.record.id.clone()).collect()
    };
    for request in due {
        zone.queue_work(&request);
    }
}

fn decide(zone: &ZoneScheduler, sheet_version: &mut id::SheetVersion) {
    let Some(current) = zone.deps.sheets.sheet() else {
        return;
    };
    let now = zone.now();
    // With an outdated sheet or after a takeover by another host, the accelerators may be
    // guaranteed or given to others. Only what can be preempted later is started then.
    let scope = match current.is_confirmed && zone.is_lease_valid() {
        true => policy::StartScope::Any,
        false => policy::StartScope::PreemptibleOnly,
    };
    failures::allow_failed_servers_to_waiting(zone);
    let decisions = {
        let mut policy = zone.tables.policy();
        if current.version != *sheet_version {
            policy.set_sheet(&zone.deps.settings.zone, &current.sheet);
            *sheet_version = current.version;
        }
        policy.decide(zone.policy_now_ms(), scope)
    };
    let duration_ms = clock::as_ms(zone.now().since(now));
    // A run that took no measurable time and decided nothing is not worth a metrics datagram.
    if duration_ms > 0 || !decisions.is_empty() {
        let name = metrics::DECISION_DURATION_MS;
        metrics::time_ms(&zone.deps.metrics, name, duration_ms);
    }
    for decision in decisions {
        apply(zone, decision, now);
    }
}

fn apply(zone: &ZoneScheduler, decision: policy::Decision, now: clock::Monotonic) {
    match decision {
        policy::Decision::Start {
            request, members, ..
        } => apply_start(zone, &request, members, now),
        policy::Decision::Preempt { request, reason } => {
            if let Some(job) = zone.tables.jobs().get_mut(&request) {
                job.preempt(reason);
            }
            zone.queue_work(&request);
        }
        policy::Decision::Refuse { request, reason } => {
            if let Some(job) = zone.tables.jobs().get_mut(&request) {
                job.phase = job::Phase::Refusing { reason };
            }
            zone.queue_work(&request);
        }
    }
}

fn apply_start(
    zone: &ZoneScheduler,
    request: &id::RequestId,
    members: Vec<task::Member>,
    _now: clock::Monotonic,
) {
    let mut policy = zone.tables.policy();
    let mut jobs = zone.tables.jobs();
    match jobs.get_mut(request) {
        Some(job) if job.phase == job::Phase::Waiting => {
            job.attempt = job.attempt.max(job.attempt_floor).next();
            job.members = members.into_iter().map(job::TrackedMember::new).collect();
            job.preemption_reason = None;
            job.phase = job::Phase::Launching;
        }
        // The request was cancelled after the policy had decided.
        _ => policy.record_end(request, policy::EndCause::Stopped, zone.policy_now_ms()),
    }
    drop((policy, jobs));
    zone.queue_work(request);
}
