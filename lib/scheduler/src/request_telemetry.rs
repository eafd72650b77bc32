//! Traces, metrics and logs of the work on a request: spans for the phases that workers process,
//! and counts and log lines for recorded steps.

use camphorbeam_model::{id, record};
use camphorbeam_telemetry::{metrics, traces};

use crate::zone::ZoneScheduler;
use crate::{attempt, job};

/// Begins the span for the processing of a phase, in the trace that began when the request was
/// accepted.
///
/// The trace context of a request that was loaded from its row is not in memory. The first span
/// here then begins a new trace, which is related to the old one only by the request id.
pub(crate) fn start_phase_span(
    zone: &ZoneScheduler,
    request: &id::RequestId,
    phase: &job::Phase,
) -> traces::Span {
    let Some(name) = span_name(phase) else {
        return traces::Span::noop();
    };
    let mut jobs = zone.tables.jobs();
    let Some(job) = jobs.get_mut(request) else {
        return traces::Span::noop();
    };
    let attempt = job.attempt;
    let span = traces::start_or_continue_trace(name, job.trace).with_properties(|| {
        [
            (traces::REQUEST, request.to_string()),
            (traces::ZONE, zone.deps.settings.zone.to_string()),
            (traces::EPOCH, zone.epoch.to_string()),
            (traces::ATTEMPT, attempt.to_string()),
        ]
    });
    job.trace = job.trace.or(traces::SpanContext::from_span(&span));
    span
}

/// Returns the name of the span; `None` for a phase that calls no other process.
fn span_name(phase: &job::Phase) -> Option<&'static str> {
    match phase {
        job::Phase::Launching | job::Phase::Resuming => Some("scheduler.launch"),
        job::Phase::Ending(_) => Some("scheduler.end"),
        job::Phase::Refusing { .. } => Some("scheduler.refuse"),
        job::Phase::Waiting | job::Phase::Running | job::Phase::BackingOff => None,
    }
}

/// Counts and logs a recorded step. Its detail is not logged, because a backend server may have
/// supplied the text.
pub(crate) fn report_step(
    zone: &ZoneScheduler,
    request: &id::RequestId,
    step: &record::HistoryEntry,
) {
    let event = step.event.name();
    let client = &*zone.deps.metrics;
    metrics::count_by(client, metrics::STEP_RECORDED, "event", event);
    let zone_name = zone.deps.settings.zone.as_str();
    let attempt = step.attempt.0;
    match step.event {
        record::HistoryEvent::StartRecorded | record::HistoryEvent::Finished => spdlog::debug!(
            "{event}",
            kv: { request = request.as_str(), zone = zone_name, epoch = zone.epoch.0, attempt }
        ),
        _ => spdlog::info!(
            "{event}",
            kv: { request = request.as_str(), zone = zone_name, epoch = zone.epoch.0, attempt }
        ),
    }
}

/// Records the time from the acceptance of a request to its start, if it runs at attempt number 1.
///
/// Nothing is recorded if that attempt failed to start, or if attempts are numbered from a higher
/// number after a move or takeover.
pub(crate) fn record_start_delay(
    zone: &ZoneScheduler,
    running: &attempt::Attempt<attempt::Running>,
) {
    if running.number() != id::Attempt(1) {
        return;
    }
    let accepted_at_unix_ms = match zone.tables.jobs().get(running.request()) {
        Some(job) => job.record.accepted_at_unix_ms,
        None => return,
    };
    // The clock of the entry host that accepted the request may be ahead of this one.
    let delay_ms = zone
        .deps
        .clock
        .unix_ms()
        .saturating_sub(accepted_at_unix_ms);
    metrics::time_ms(&zone.deps.metrics, metrics::START_DELAY_MS, delay_ms);
}
