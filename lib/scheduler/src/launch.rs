//! Launches an attempt: reserves all members, writes the start record, then starts all members.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_backend::{orders, task as backend_task};
use camphorbeam_model::{id, record, task, verdict};
use camphorbeam_telemetry::metrics;
use futures::future;

use crate::records::{self, RecordResult};
use crate::zone::ZoneScheduler;
use crate::{attempt, job, request_telemetry};

/// Maximum number of times that a start order is sent if there is no reply.
const START_TRIES_MAX: u32 = 3;

/// Delay before a start order without a reply is sent again.
const START_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Launches a request. If reserving, recording or starting fails, the job enters
/// [`job::Phase::Ending`].
pub async fn run(zone: &Arc<ZoneScheduler>, request: &id::RequestId) {
    let Some(placed) = begin_attempt(zone, request) else {
        return;
    };
    match launch(zone, placed).await {
        Ok(running) => confirm_running(zone, &running),
        Err(detail) => {
            zone.deps.count(metrics::LAUNCH_FAILED);
            set_phase(
                zone,
                request,
                job::Phase::Ending(job::EndReason::LaunchFailed { detail }),
            );
        }
    }
}

/// Completes a launch that a previous scheduler began.
///
/// If the job was loaded as started, the start record is committed and every member had reserved
/// its accelerators, so start orders can be sent to all members. If the attempt was taken
/// over from an inventory, there is no start record, and a backend server whose member has no
/// reservation refuses its start order, which ends the attempt. A start order has no effect on a
/// task that has already started.
pub async fn resume(zone: &Arc<ZoneScheduler>, request: &id::RequestId) {
    let recorded = match zone.tables.jobs().get(request) {
        Some(job) if job.is_cancel_requested => None,
        Some(job) => Some(attempt::Attempt::recovered(
            request.clone(),
            job.attempt,
            job.task_members(),
        )),
        None => return,
    };
    let Some(recorded) = recorded else {
        abort_resume(zone, request, job::EndReason::Cancelled);
        return;
    };
    // A new scheduler may not have fenced all backend servers yet.
    let may_wait = zone.now().since(zone.started_at) < zone.deps.settings.member_silence_limit;
    let are_members_reachable = recorded
        .members()
        .iter()
        .all(|member| zone.order_target(&member.server).is_ok());
    if !are_members_reachable && may_wait {
        records::schedule_retry(zone, request);
        return;
    }
    match start(zone, recorded).await {
        Ok(running) => confirm_running(zone, &running),
        Err(detail) => {
            zone.deps.count(metrics::LAUNCH_FAILED);
            abort_resume(zone, request, job::EndReason::LaunchFailed { detail });
        }
    }
}

fn abort_resume(zone: &ZoneScheduler, request: &id::RequestId, reason: job::EndReason) {
    if let Some(job) = zone.tables.jobs().get_mut(request) {
        job.begin_ending(reason);
    }
}

async fn launch(
    zone: &ZoneScheduler,
    placed: attempt::Attempt<attempt::Placed>,
) -> Result<attempt::Attempt<attempt::Running>, String> {
    let reserved = reserve(zone, placed).await?;
    let recorded = record_start(zone, reserved).await?;
    start(zone, recorded).await
}

fn begin_attempt(
    zone: &ZoneScheduler,
    request: &id::RequestId,
) -> Option<attempt::Attempt<attempt::Placed>> {
    let mut jobs = zone.tables.jobs();
    let job = jobs.get_mut(request)?;
    job.is_start_recorded = false;
    job.has_allocation = true;
    Some(attempt::Attempt::new(
        request.clone(),
        job.attempt,
        job.task_members(),
    ))
}

async fn reserve(
    zone: &ZoneScheduler,
    placed: attempt::Attempt<attempt::Placed>,
) -> Result<attempt::Attempt<attempt::Reserved>, String> {
    let record = match zone.tables.jobs().get(placed.request()) {
        Some(job) => job.record.clone(),
        None => return Err("the request is gone".to_owned()),
    };
    let payload: Arc<str> = Arc::from(record.spec.payload.as_str());
    let reservations = placed.tasks().map(|(key, member)| {
        let task = backend_task::TaskSpec {
            key,
            accelerators: member.accelerators.clone(),
            members: placed.members().to_vec(),
            client_account: record.spec.client_account.clone(),
            kind: record.spec.kind.clone(),
            idempotent: record.spec.idempotent,
            checkpointable: record.spec.checkpointable,
            payload: Arc::clone(&payload),
            resume_from: record.resume_from.clone(),
        };
        reserve_member(zone, &member.server, task)
    });
    combine_results(future::join_all(reservations).await)?;
    Ok(placed.into_reserved())
}

async fn reserve_member(
    zone: &ZoneScheduler,
    server: &id::BackendServerId,
    task: backend_task::TaskSpec,
) -> Result<(), String> {
    let target = zone.order_target(server)?;
    let key = task.key.clone();
    let request = orders::ReserveRequest {
        epoch: zone.epoch,
        lease_until_server_ms: target.lease_until_server_ms,
        task,
    };
    match target.orders.reserve(&request).await {
        Ok(status) => {
            zone.update_member_status(server, &status);
            Ok(())
        }
        Err(error) => {
            zone.handle_order_error(server, &error);
            if matches!(error, orders::OrderError::Refused(_)) {
                zone.mark_member_gone(&key);
            }
            if error == orders::OrderError::Refused(orders::OrderRefusal::UnknownTask) {
                zone.mark_possibly_started_before(&key);
            }
            Err(format!("backend server {server} did not reserve: {error}"))
        }
    }
}

/// Writes the start record. If the write is not confirmed, or is not tried because the last renewal
/// of the lease was not confirmed, an idempotent request starts without one; others fail.
async fn record_start(
    zone: &ZoneScheduler,
    reserved: attempt::Attempt<attempt::Reserved>,
) -> Result<attempt::Attempt<attempt::Recorded>, String> {
    let request = reserved.request().clone();
    let idempotent = match zone.tables.jobs().get(&request) {
        Some(job) if job.is_cancel_requested => return Err("the request is cancelled".to_owned()),
        Some(job) => job.record.spec.idempotent,
        None => return Err("the request is gone".to_owned()),
    };
    let state = record::RequestState::Started {
        attempt: reserved.number(),
        epoch: zone.epoch,
        members: reserved.members().to_vec(),
    };
    let step = start_record_step(&reserved);
    let write_result = match idempotent && zone.is_renewal_unconfirmed() {
        // Nothing is written, since the write would only delay the start until it timed out. The
        // step stays unrecorded.
        true => RecordResult::Unconfirmed,
        false => records::record_step(zone, &request, state, step.clone()).await,
    };
    let mut jobs = zone.tables.jobs();
    let job = jobs.get_mut(&request).ok_or("the request is gone")?;
    match write_result {
        RecordResult::Written => {
            job.is_start_recorded = true;
            Ok(reserved.into_recorded())
        }
        RecordResult::Unconfirmed if idempotent => {
            job.unrecorded_steps.push(zone.stamp(step));
            Ok(reserved.into_recorded())
        }
        RecordResult::Unconfirmed => Err("the start record could not be written".to_owned()),
        RecordResult::Superseded => Err("the record was changed by another write".to_owned()),
        RecordResult::Deposed => Err("this scheduler has been deposed".to_owned()),
    }
}

fn start_record_step(reserved: &attempt::Attempt<attempt::Reserved>) -> records::NewStep {
    let placements: Vec<String> = reserved
        .members()
        .iter()
        .map(|member| format!("{}{:?}", member.server, member.accelerators))
        .collect();
    records::NewStep {
        event: record::HistoryEvent::StartRecorded,
        attempt: reserved.number(),
        verdict: verdict::Verdict::MayHaveRun,
        detail: format!("on {}", placements.join(" ")),
    }
}

async fn start(
    zone: &ZoneScheduler,
    recorded: attempt::Attempt<attempt::Recorded>,
) -> Result<attempt::Attempt<attempt::Running>, String> {
    zone.mark_starting(recorded.request());
    let starts = recorded
        .tasks()
        .map(|(key, member)| start_member(zone, &member.server, key));
    combine_results(future::join_all(starts).await)?;
    Ok(recorded.into_running())
}

async fn start_member(
    zone: &ZoneScheduler,
    server: &id::BackendServerId,
    key: task::TaskKey,
) -> Result<(), String> {
    let mut last_error = String::new();
    for _ in 0..START_TRIES_MAX {
        // A missing reply to the previous start order has marked the server as unreachable, but the
        // reservation is still valid.
        let target = zone.fenced_order_target(server)?;
        let request = orders::StartRequest {
            epoch: zone.epoch,
            lease_until_server_ms: target.lease_until_server_ms,
            key: key.clone(),
        };
        match target.orders.start(&request).await {
            Ok(status) => {
                zone.update_member_status(server, &status);
                return Ok(());
            }
            Err(error) => {
                zone.handle_order_error(server, &error);
                last_error = error.to_string();
                if matches!(error, orders::OrderError::Refused(_)) {
                    break;
                }
                zone.deps.clock.sleep(START_RETRY_DELAY).await;
            }
        }
    }
    Err(format!(
        "backend server {server} did not start: {last_error}"
    ))
}

fn combine_results(results: Vec<Result<(), String>>) -> Result<(), String> {
    let errors: Vec<String> = results.into_iter().filter_map(Result::err).collect();
    match errors.is_empty() {
        true => Ok(()),
        false => Err(errors.join("; ")),
    }
}

fn confirm_running(zone: &ZoneScheduler, running: &attempt::Attempt<attempt::Running>) {
    zone.deps.count(metrics::LAUNCH_RUNNING);
    request_telemetry::record_start_delay(zone, running);
    let now = zone.now();
    let mut jobs = zone.tables.jobs();
    if let Some(job) = jobs.get_mut(running.request()) {
        let is_resumed = job.phase == job::Phase::Resuming;
        if !is_resumed && job.phase != job::Phase::Launching {
            return;
        }
        job.phase = job::Phase::Running;
        // For a resumed launch, the time at which its tasks started is unknown.
        job.started_at = (!is_resumed).then_some(now);
        job.retry_count = 0;
        job.failed_launches = 0;
        if job.is_cancel_requested {
            job.begin_ending(job::EndReason::Cancelled);
        }
        if let Some(reason) = job.preemption_reason.take() {
            job.begin_ending(job::EndReason::Preempted { reason });
        }
        job.update_phase_from_members();
    }
}

fn set_phase(zone: &ZoneScheduler, request: &id::RequestId, phase: job::Phase) {
    if let Some(job) = zone.tables.jobs().get_mut(request) {
        job.phase = phase;
    }
}
