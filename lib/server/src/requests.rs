//! Reads the state and the answer of a request that was submitted before, and cancels it.

use std::sync::Arc;

use camphorbeam_model::{id, record, verdict};
use camphorbeam_platform::{commit_retry, committer, keys, table};
use camphorbeam_protocol::messages;

use crate::accept::{self, SchedulerHandle};
use crate::entry_host::Core;

/// All that is known about the state of a request.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Explanation {
    pub id: id::RequestId,
    pub client_account: id::ClientAccountName,
    pub zone: id::ZoneName,
    /// The state of the request in one sentence.
    pub summary: String,
    /// Whether the request is pending or has ended.
    pub standing: record::Standing,
    /// Name of the recorded state.
    pub state: String,
    /// The recorded steps, oldest first.
    pub steps: Vec<record::HistoryEntry>,
    /// Number of steps that were dropped from the middle of the record.
    pub steps_dropped: u64,
    /// What the scheduler reports about a pending request.
    pub live: Option<messages::LiveStatus>,
    /// The sources that could not be asked. If there are any, the explanation may be out of date.
    pub unasked: Vec<String>,
    /// Digest of the complete answer; `None` if the request has no answer.
    pub answer_digest: Option<String>,
    /// Length of the complete answer; `None` if the request has no answer.
    pub answer_bytes: Option<u64>,
}

/// Explains the state of a request from its record and, while it is pending, from its scheduler.
///
/// # Errors
///
/// Refuses an unknown request, and one whose record can't be read from the platform while no
/// reachable scheduler has it in memory.
pub async fn explain(
    core: &Core,
    request: &id::RequestId,
) -> Result<(Explanation, record::RequestRecord), verdict::Refusal> {
    let record = match require_record(core, request).await {
        Ok(record) => record,
        Err(refusal) if refusal.code == verdict::RefusalCode::Unavailable => {
            return explain_from_memory(core, request).await.ok_or(refusal);
        }
        Err(refusal) => return Err(refusal),
    };
    let (live, unasked) = match record.state.standing() {
        record::Standing::Pending => live_status(core, &record).await,
        record::Standing::Ended(_) => (None, Vec::new()),
    };
    Ok((build_explanation(&record, live, unasked), record))
}

/// Explains a request from the memory of a scheduler, for when the platform is unreachable.
async fn explain_from_memory(
    core: &Core,
    request: &id::RequestId,
) -> Option<(Explanation, record::RequestRecord)> {
    for scheduler in core.known_schedulers().await {
        let live = match scheduler {
            SchedulerHandle::Local(local) => local.live(request),
            SchedulerHandle::Peer(peer) => {
                let response = peer.live(core.context(), request.clone()).await;
                response.ok().flatten()
            }
        };
        if let Some(live) = live {
            let record = live.record.clone();
            let unasked = vec!["the platform".to_owned()];
            return Some((build_explanation(&record, Some(live), unasked), record));
        }
    }
    None
}

async fn require_record(
    core: &Core,
    request: &id::RequestId,
) -> Result<record::RequestRecord, verdict::Refusal> {
    match core.read_record(request).await {
        Ok(Some((record, _))) => Ok(record),
        Ok(None) => Err(not_found(request)),
        Err(error) => Err(accept::unavailable(&format!(
            "the record of request {request} can't be read: {error}"
        ))
        .with_verdict(verdict::Verdict::MayHaveRun)),
    }
}

/// Returns the refusal for a request that does not exist.
pub fn not_found(request: &id::RequestId) -> verdict::Refusal {
    verdict::Refusal::new(
        verdict::RefusalCode::NotFound,
        format!("there is no request {request}"),
        "check the id; a request is known from the moment its acceptance was answered",
    )
}

/// Returns what the scheduler reports about the request, and the sources that could not be asked.
async fn live_status(
    core: &Core,
    record: &record::RequestRecord,
) -> (Option<messages::LiveStatus>, Vec<String>) {
    let unasked = vec![format!("zone {}", record.zone)];
    match core.scheduler_of(&record.zone).await {
        Some(SchedulerHandle::Local(local)) => (local.live(&record.id), Vec::new()),
        Some(SchedulerHandle::Peer(peer)) => {
            match peer.live(core.context(), record.id.clone()).await {
                Ok(live) => (live, Vec::new()),
                Err(_) => (None, unasked),
            }
        }
        None => (None, unasked),
    }
}

fn build_explanation(
    record: &record::RequestRecord,
    live: Option<messages::LiveStatus>,
    unasked: Vec<String>,
) -> Explanation {
    let (answer_digest, answer_bytes) = match &record.state {
        record::RequestState::Finished {
            answer_digest,
            answer_bytes,
            ..
        } => (Some(answer_digest.to_string()), Some(*answer_bytes)),
        _ => (None, None),
    };
    Explanation {
        id: record.id.clone(),
        client_account: record.spec.client_account.clone(),
        zone: record.zone.clone(),
        summary: summary(record, live.as_ref(), &unasked),
        standing: record.state.standing(),
        state: record.state.name().to_owned(),
        steps: record.steps.clone(),
        steps_dropped: record.steps_dropped,
        live,
        unasked,
        answer_digest,
        answer_bytes,
    }
}

fn summary(
    record: &record::RequestRecord,
    live: Option<&messages::LiveStatus>,
    unasked: &[String],
) -> String {
    let state_text = match (&record.state, live) {
        (record::RequestState::Finished { attempt, .. }, _) => {
            format!("ran: attempt {attempt} finished and its answer is stored")
        }
        (record::RequestState::Failed { reason, .. }, _) => format!("ran and failed: {reason}"),
        (record::RequestState::Refused { reason }, _) => {
            format!("did not run and will not: {reason}")
        }
        (record::RequestState::Cancelled { verdict }, _) => format!("cancelled; it {verdict}"),
        (record::RequestState::Unknown { reason, .. }, _) => {
            format!("may have run, and will not be started again: {reason}")
        }
        (_, Some(live)) => format!("still pending: {} {}", live.phase, live.detail),
        (record::RequestState::Started { attempt, .. }, None) => {
            format!("still pending: attempt {attempt} may be running")
        }
        (record::RequestState::Waiting, None) => "still pending: waiting".to_owned(),
    };
    match unasked {
        [] => state_text.trim_end().to_owned(),
        names => format!("{}; not asked: {}", state_text.trim_end(), names.join(", ")),
    }
}

/// Renders an explanation as text with one line per step.
pub fn render_text(explanation: &Explanation) -> String {
    let mut lines = vec![
        format!("request         {}", explanation.id),
        format!("client account  {}", explanation.client_account),
        format!("zone            {}", explanation.zone),
        format!("answer          {}", explanation.summary),
    ];
    lines.extend(explanation.steps.iter().map(|step| step_line(step, "")));
    if let Some(live) = &explanation.live {
        let unrecorded = live.unrecorded_steps.iter();
        lines.extend(unrecorded.map(|step| step_line(step, " (not recorded yet)")));
        lines.push(format!(
            "now             {} on {} in epoch {}, attempt {}",
            live.phase, live.host, live.epoch, live.attempt
        ));
    }
    if explanation.steps_dropped > 0 {
        lines.push(format!(
            "left out        {} steps from the middle",
            explanation.steps_dropped
        ));
    }
    for name in &explanation.unasked {
        lines.push(format!("not asked       {name}; it may know more"));
    }
    lines.push(String::new());
    lines.join("\n")
}

fn step_line(step: &record::HistoryEntry, note: &str) -> String {
    let event = serde_json::to_value(step.event);
    let event = event.as_ref().ok().and_then(|value| value.as_str());
    format!(
        "  {} ms  {:<20} host {}  attempt {}  epoch {}  {}: {}{note}",
        step.at_unix_ms,
        event.unwrap_or("?"),
        step.host,
        step.attempt,
        step.epoch,
        step.verdict,
        step.detail
    )
}

/// Reads the complete answer of a finished request.
///
/// # Errors
///
/// Refuses a request that has no answer, and one whose stored answer is missing, damaged or can't
/// be read. A pending request may have an answer later, so its refusal states when to retry.
pub async fn read_answer(
    core: &Core,
    record: &record::RequestRecord,
) -> Result<Vec<u8>, verdict::Refusal> {
    let record::RequestState::Finished {
        attempt,
        answer_digest,
        ..
    } = &record.state
    else {
        return Err(no_answer(record));
    };
    let name = keys::answer(&record.id, *attempt, answer_digest);
    match core.deps.objects.get(&name).await {
        Ok(Some(content)) if camphorbeam_scheduler::ending::digest(&content) == *answer_digest => {
            Ok(content)
        }
        Ok(_) => Err(accept::unavailable(&format!(
            "the stored answer of request {} is missing or damaged",
            record.id
        ))
        .with_verdict(verdict::Verdict::Ran)),
        Err(error) => Err(accept::unavailable(&format!(
            "the answer of request {} can't be read: {error}",
            record.id
        ))
        .with_verdict(verdict::Verdict::Ran)),
    }
}

fn no_answer(record: &record::RequestRecord) -> verdict::Refusal {
    let name = record.state.name();
    let refusal = verdict::Refusal::new(
        verdict::RefusalCode::Conflict,
        format!("request {} is {name} and has no answer", record.id),
        "`camphorbeam explain` tells what became of it",
    );
    match record.state.standing() {
        record::Standing::Ended(verdict) => refusal.with_verdict(verdict),
        record::Standing::Pending => refusal
            .with_verdict(verdict::Verdict::MayHaveRun)
            .with_retry_after_ms(accept::RETRY_AFTER_MS),
    }
}

/// Cancels a request through the scheduler of its zone. If no scheduler is known or the call to it
/// fails, cancels a request that is still waiting by a write to its record. For a request that has
/// ended, returns its end.
///
/// # Errors
///
/// Refuses with the verdict `MayHaveRun` if the request can't be cancelled in either way, and as
/// not found if it has no record.
pub async fn cancel(
    core: &Core,
    record: &record::RequestRecord,
) -> Result<messages::CancelOutcome, verdict::Refusal> {
    if let record::Standing::Ended(verdict) = record.state.standing() {
        return Ok(messages::CancelOutcome::Ended {
            verdict,
            state: record.state.name().to_owned(),
        });
    }
    match core.scheduler_of(&record.zone).await {
        Some(SchedulerHandle::Local(local)) => Ok(core.cancel_locally(&local, &record.id).await),
        Some(SchedulerHandle::Peer(peer)) => {
            match peer.cancel(core.context(), record.id.clone()).await {
                Ok(outcome) => Ok(outcome),
                Err(_) => cancel_without_scheduler(core, &record.id).await,
            }
        }
        None => cancel_without_scheduler(core, &record.id).await,
    }
}

/// Cancels a waiting request without its scheduler. After the write, no start can be recorded.
///
/// The verdict is `MayHaveRun` if an attempt was recorded before. It is `MayHaveRun` for an
/// idempotent request too, because such a request may have been started without a record while the
/// platform was unreachable.
async fn cancel_without_scheduler(
    core: &Core,
    request: &id::RequestId,
) -> Result<messages::CancelOutcome, verdict::Refusal> {
    let read = core.read_record(request).await;
    let (record, row_version) = match read {
        Ok(Some(found)) => found,
        Ok(None) => return Err(not_found(request)),
        Err(error) => {
            let refusal = accept::unavailable(&error.to_string());
            return Err(refusal.with_verdict(verdict::Verdict::MayHaveRun));
        }
    };
    if record.state != record::RequestState::Waiting {
        return Err(cancel_unavailable(&record));
    }
    let verdict = match record.spec.idempotent || record.last_attempt != id::Attempt(0) {
        true => verdict::Verdict::MayHaveRun,
        false => verdict::Verdict::NotRun,
    };
    let commit = cancel_commit(core, &record, row_version, verdict);
    match core.deps.committer.commit(commit).await {
        commit_retry::Outcome::Committed => Ok(messages::CancelOutcome::Ended {
            verdict,
            state: "cancelled".to_owned(),
        }),
        _ => Err(cancel_unavailable(&record)),
    }
}

fn cancel_commit(
    core: &Core,
    record: &record::RequestRecord,
    row_version: u64,
    verdict: verdict::Verdict,
) -> committer::Entry {
    let step = record::HistoryEntry {
        token: core.deps.write_tokens.next(),
        at_unix_ms: core.deps.clock.unix_ms(),
        host: core.settings.host.clone(),
        event: record::HistoryEvent::Cancelled,
        attempt: record.last_attempt,
        epoch: id::Epoch(0),
        verdict,
        detail: "without the scheduler, which can't be asked".to_owned(),
    };
    let token = Arc::clone(&step.token);
    let next = record.with_entry(record::RequestState::Cancelled { verdict }, step);
    let row_key = keys::request(&record.id);
    let open_key = keys::open_request(&record.zone, &record.id);
    let mut transaction = table::Transaction::default();
    transaction.require(&row_key, row_version);
    // The index row is written only once, with the record, so its version is 1.
    transaction.require(&open_key, 1);
    transaction.put(&row_key, serde_json::json!(next));
    transaction.delete(&open_key);
    committer::Entry {
        transaction,
        token_row_key: row_key,
        token,
    }
}

fn cancel_unavailable(record: &record::RequestRecord) -> verdict::Refusal {
    accept::no_scheduler(&record.zone).with_verdict(verdict::Verdict::MayHaveRun)
}
