//! The pool of workers that process the phases of requests: launches, endings and refusals.

use std::sync::Arc;

use camphorbeam_model::id;
use camphorbeam_telemetry::traces::FutureExt as _;

use crate::zone::ZoneScheduler;
use crate::{ending, job, launch, records, request_telemetry};

/// Runs one worker until this scheduler's epoch has ended.
pub(crate) async fn run(
    zone: Arc<ZoneScheduler>,
    requests: async_channel::Receiver<id::RequestId>,
) {
    while let Ok(request) = requests.recv().await {
        if zone.has_ended() {
            return;
        }
        process_request(&zone, &request).await;
    }
}

/// Does the work of the request's current phase, unless another worker is processing the request.
async fn process_request(zone: &Arc<ZoneScheduler>, request: &id::RequestId) {
    let phase = {
        let mut jobs = zone.tables.jobs();
        let Some(job) = jobs.get_mut(request).filter(|job| !job.has_worker) else {
            return;
        };
        job.has_worker = true;
        job.due_at = None;
        job.phase.clone()
    };
    let span = request_telemetry::start_phase_span(zone, request, &phase);
    run_phase(zone, request, &phase).in_span(span).await;
    let has_more_work = {
        let mut jobs = zone.tables.jobs();
        jobs.get_mut(request).is_some_and(|job| {
            job.has_worker = false;
            let is_idle = matches!(job.phase, job::Phase::Waiting | job::Phase::Running);
            job.due_at.is_none() && !is_idle
        })
    };
    if has_more_work {
        zone.queue_work(request);
    }
}

async fn run_phase(zone: &Arc<ZoneScheduler>, request: &id::RequestId, phase: &job::Phase) {
    match phase {
        job::Phase::Launching => launch::run(zone, request).await,
        job::Phase::Resuming => launch::resume(zone, request).await,
        job::Phase::Ending(reason) => ending::run(zone, request, reason).await,
        job::Phase::Refusing { reason } => records::refuse(zone, request, reason).await,
        job::Phase::BackingOff => zone.resubmit(request),
        job::Phase::Waiting | job::Phase::Running => {}
    }
}
