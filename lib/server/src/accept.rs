//! Accepts requests: validates them, chooses their availability zone, records them on the platform
//! and enqueues them at the scheduler.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{id, record, request, verdict};
use camphorbeam_platform::{commit_retry, committer, keys, table};
use camphorbeam_protocol::{client, messages};
use camphorbeam_telemetry::metrics;
use camphorbeam_telemetry::traces::{self, FutureExt as _};

use crate::entry_host::Core;

/// The version that a row has after its first write.
const FIRST_ROW_VERSION: u64 = 1;

/// Delay between two attempts to enqueue a recorded request.
const ENQUEUE_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of attempts to enqueue a recorded request. After these, the scheduler finds the
/// request: by its id if the scheduler admitted it, otherwise by its periodic scan of the index of
/// open requests.
const ENQUEUE_ATTEMPTS_MAX: u32 = 40;

/// Time in milliseconds after which a caller should retry a call that can't be served now.
pub const RETRY_AFTER_MS: u64 = 3_000;

/// An accepted request.
#[derive(Clone, Debug)]
pub struct Accepted {
    pub record: record::RequestRecord,
    /// True if this submission created the request, false if an earlier one did.
    pub is_new: bool,
}

/// Accepts `spec`, or returns the identical request that was submitted before under the same key.
///
/// # Errors
///
/// Returns a refusal. Its verdict is `MayHaveRun` if this submission may have been recorded, or if
/// the request's record can't be read after a conflict. If the admission is refused and no record
/// can be read, the refusal is that of the admission, with its verdict `NotRun`, even if an earlier
/// submission of the request was recorded.
pub async fn accept(
    core: &Arc<Core>,
    spec: request::RequestSpec,
) -> Result<Accepted, verdict::Refusal> {
    let request = spec.id();
    traces::add_property(traces::REQUEST, &request);
    let result = accept_without_metrics(core, spec).await;
    report(core, &request, &result);
    result
}

/// Counts and logs the result of a submission.
fn report(core: &Core, request: &id::RequestId, result: &Result<Accepted, verdict::Refusal>) {
    let client = &*core.deps.metrics;
    let request = request.as_str();
    match result {
        Ok(accepted) if accepted.is_new => {
            metrics::count(client, metrics::REQUEST_ACCEPTED);
            spdlog::debug!("accepted", kv: { request, zone = accepted.record.zone.as_str() });
        }
        Ok(_) => metrics::count(client, metrics::REQUEST_REPEATED),
        Err(refusal) => {
            let code = refusal.code.name();
            metrics::count_by(client, metrics::REQUEST_REFUSED, "code", code);
            spdlog::debug!("refused", kv: { request, code });
        }
    }
}

async fn accept_without_metrics(
    core: &Arc<Core>,
    spec: request::RequestSpec,
) -> Result<Accepted, verdict::Refusal> {
    validate(core, &spec)?;
    let zone = choose_zone(core, &spec)?;
    let request = spec.id();
    traces::add_property(traces::ZONE, &zone);
    if let Err(refusal) = admit(core, &zone, &request, &spec).await {
        // A full queue must not refuse the repetition of a submission that was accepted before.
        return match find_record(core, &request).await {
            Ok(Some(existing)) => existing_or_conflict(core, existing, &spec),
            _ => Err(refusal),
        };
    }
    let record = new_record(core, zone, spec);
    match core.deps.committer.commit(creation_commit(&record)).await {
        commit_retry::Outcome::Committed => {
            spawn_enqueue(core, record.clone(), FIRST_ROW_VERSION);
            Ok(Accepted {
                record,
                is_new: true,
            })
        }
        commit_retry::Outcome::Conflict { .. } => match find_record(core, &request).await? {
            Some(existing) => existing_or_conflict(core, existing, &record.spec),
            None => Err(unavailable("the record was changed while it was read")
                .with_verdict(verdict::Verdict::MayHaveRun)),
        },
        commit_retry::Outcome::Unresolved {
            may_be_applied,
            reason,
        } => Err(not_recorded(may_be_applied, &reason)),
    }
}

fn validate(core: &Core, spec: &request::RequestSpec) -> Result<(), verdict::Refusal> {
    spec.validate()
        .map_err(|error| invalid(error.to_string(), "make the request smaller"))?;
    let Some(current) = core.sheet() else {
        return Err(unavailable("this entry host has read no sheet yet"));
    };
    if !current.sheet.accounts.contains_key(&spec.client_account) {
        return Err(invalid(
            format!(
                "client account {} is not in sheet {}",
                spec.client_account, current.version
            ),
            "have the planners add it to the sheet",
        ));
    }
    if !current.sheet.kinds.contains_key(&spec.kind) {
        return Err(invalid(
            format!("kind {} is not in sheet {}", spec.kind, current.version),
            "use a kind of the sheet; `camphorbeam sheet show` prints it",
        ));
    }
    Ok(())
}

/// Chooses the zone that the caller names. If it names none, chooses this host's own zone if the
/// request fits there, or else the zone that can hold the largest gang.
///
/// Refuses an unknown zone, a request that doesn't fit in the chosen zone, and any request before
/// the host list is first read.
fn choose_zone(core: &Core, spec: &request::RequestSpec) -> Result<id::ZoneName, verdict::Refusal> {
    let host_list = core.host_list.current();
    if host_list.version == 0 {
        return Err(unavailable("this entry host has read no host list yet"));
    }
    let accelerators_wanted = spec.accelerators;
    let can_hold =
        |zone: &id::ZoneName| host_list.max_gang_accelerators(zone) >= accelerators_wanted;
    let zones = host_list.zones();
    let own_zone = &core.settings.zone;
    let largest = zones
        .iter()
        .max_by_key(|zone| host_list.max_gang_accelerators(zone));
    match &spec.zone {
        Some(named) if !zones.contains(named) => Err(invalid(
            format!("availability zone {named} is not known"),
            "name one of the zones of the host list, or none",
        )),
        Some(named) if can_hold(named) => Ok(named.clone()),
        None if zones.contains(own_zone) && can_hold(own_zone) => Ok(own_zone.clone()),
        None if largest.is_some_and(can_hold) => Ok(largest.unwrap_or(own_zone).clone()),
        _ => {
            let accelerators_max = largest.map_or(0, |zone| host_list.max_gang_accelerators(zone));
            Err(invalid(
                format!(
                    "no zone allowed can ever hold a gang of {accelerators_wanted} accelerators"
                ),
                &format!("the largest zone has {accelerators_max}; ask for fewer"),
            ))
        }
    }
}

/// Reserves a place in the queue at the scheduler of `zone`. If that scheduler is unavailable, this
/// host admits the request itself, up to a limit per client account.
async fn admit(
    core: &Core,
    zone: &id::ZoneName,
    request: &id::RequestId,
    spec: &request::RequestSpec,
) -> Result<(), verdict::Refusal> {
    let admission = messages::Admission {
        id: request.clone(),
        spec: request::RequestSpec {
            payload: String::new(),
            ..spec.clone()
        },
    };
    let admitted = match core.scheduler_of(zone).await {
        Some(SchedulerHandle::Local(local)) => local.admit(&admission),
        Some(SchedulerHandle::Peer(peer)) => match peer.admit(core.context(), admission).await {
            Ok(()) => Ok(()),
            Err(client::PeerError::Refused(refusal)) => Err(refusal),
            Err(client::PeerError::NoAnswer { .. }) => Err(no_scheduler(zone)),
        },
        None => Err(no_scheduler(zone)),
    };
    match admitted {
        Err(refusal) if refusal.code == verdict::RefusalCode::Unavailable => {
            core.admit_without_scheduler(&spec.client_account)
        }
        admitted => admitted,
    }
}

/// Gives access to the scheduler of a zone.
pub enum SchedulerHandle {
    /// The scheduler runs in this process.
    Local(Arc<camphorbeam_scheduler::zone::ZoneScheduler>),
    /// The scheduler runs on another entry host.
    Peer(client::PeerHandle),
}

async fn find_record(
    core: &Core,
    request: &id::RequestId,
) -> Result<Option<(record::RequestRecord, u64)>, verdict::Refusal> {
    match core.read_record(request).await {
        Ok(found) => Ok(found),
        Err(error) => {
            Err(unavailable(&error.to_string()).with_verdict(verdict::Verdict::MayHaveRun))
        }
    }
}

/// Returns the existing request if its spec is the same, or else a conflict.
///
/// A request that still waits is enqueued again, because the host that accepted the first
/// submission may have stopped before it could enqueue the request.
fn existing_or_conflict(
    core: &Arc<Core>,
    (existing, row_version): (record::RequestRecord, u64),
    spec: &request::RequestSpec,
) -> Result<Accepted, verdict::Refusal> {
    match existing.spec == *spec {
        true => {
            if existing.state == record::RequestState::Waiting {
                spawn_enqueue(core, existing.clone(), row_version);
            }
            Ok(Accepted {
                record: existing,
                is_new: false,
            })
        }
        false => Err(verdict::Refusal::new(
            verdict::RefusalCode::Conflict,
            format!(
                "key {} of client account {} already names request {} with another body",
                spec.key, spec.client_account, existing.id
            ),
            "use a new key for a new request; nothing of this submission has run",
        )),
    }
}

fn new_record(
    core: &Core,
    zone: id::ZoneName,
    spec: request::RequestSpec,
) -> record::RequestRecord {
    let now_unix_ms = core.deps.clock.unix_ms();
    let step = record::HistoryEntry {
        token: core.deps.write_tokens.next(),
        at_unix_ms: now_unix_ms,
        host: core.settings.host.clone(),
        event: record::HistoryEvent::Accepted,
        attempt: id::Attempt(0),
        epoch: id::Epoch(0),
        verdict: verdict::Verdict::NotRun,
        detail: format!("for zone {zone}"),
    };
    record::RequestRecord {
        id: spec.id(),
        spec,
        zone,
        accepted_at_unix_ms: now_unix_ms,
        state: record::RequestState::Waiting,
        last_attempt: id::Attempt(0),
        crashed_attempts: Vec::new(),
        resume_from: None,
        steps: vec![step],
        steps_dropped: 0,
    }
}

/// Builds the commit that writes the record of a request and its row in the index of open requests.
/// It takes effect only if neither row exists.
fn creation_commit(record: &record::RequestRecord) -> committer::Entry {
    let row_key = keys::request(&record.id);
    let open_key = keys::open_request(&record.zone, &record.id);
    let mut transaction = table::Transaction::default();
    transaction.require(&row_key, 0);
    transaction.require(&open_key, 0);
    transaction.put(&row_key, serde_json::json!(record));
    transaction.put(&open_key, serde_json::json!({}));
    let token = record.steps.first().map(|step| Arc::clone(&step.token));
    committer::Entry {
        transaction,
        token_row_key: row_key,
        token: token.unwrap_or_else(|| Arc::from("")),
    }
}

/// Enqueues a recorded request at the scheduler of its zone in the background, with a limited
/// number of retries. A shutdown waits for it.
fn spawn_enqueue(core: &Arc<Core>, record: record::RequestRecord, row_version: u64) {
    let core = Arc::clone(core);
    let call_guard = core.shutdown.track_call();
    let span = traces::continue_trace("request.hand_over", traces::current_context())
        .with_property(|| (traces::REQUEST, record.id.to_string()));
    let enqueueing = async move {
        let _call_guard = call_guard;
        let enqueue = messages::Enqueue {
            record,
            row_version,
        };
        for _ in 0..ENQUEUE_ATTEMPTS_MAX {
            if try_enqueue(&core, &enqueue).await {
                return;
            }
            core.deps.clock.sleep(ENQUEUE_RETRY_INTERVAL).await;
        }
    };
    async_std::task::spawn(enqueueing.in_span(span));
}

/// Returns whether the scheduler confirmed that it has the request. After false, it may still have
/// received it.
async fn try_enqueue(core: &Core, enqueue: &messages::Enqueue) -> bool {
    match core.scheduler_of(&enqueue.record.zone).await {
        Some(SchedulerHandle::Local(local)) => {
            local.enqueue(enqueue.clone());
            true
        }
        Some(SchedulerHandle::Peer(peer)) => {
            peer.enqueue(core.context(), enqueue.clone()).await.is_ok()
        }
        None => false,
    }
}

fn invalid(message: String, hint: &str) -> verdict::Refusal {
    verdict::Refusal::new(verdict::RefusalCode::Invalid, message, hint)
}

/// Returns the refusal for a call that can't be served now but may be retried. Its verdict is
/// `NotRun`.
pub fn unavailable(message: &str) -> verdict::Refusal {
    verdict::Refusal::new(
        verdict::RefusalCode::Unavailable,
        message,
        "come back after the stated time, under the same key",
    )
    .with_retry_after_ms(RETRY_AFTER_MS)
}

/// Returns the refusal for a call that needs the scheduler of `zone` while none can be reached.
pub fn no_scheduler(zone: &id::ZoneName) -> verdict::Refusal {
    unavailable(&format!(
        "the scheduler of availability zone {zone} can't be asked"
    ))
}

fn not_recorded(may_be_applied: bool, reason: &str) -> verdict::Refusal {
    match may_be_applied {
        false => unavailable(&format!("the request was not recorded: {reason}")),
        true => verdict::Refusal {
            hint: "submit it again under the same key: it will be the same request".to_owned(),
            ..unavailable(&format!("the request may have been recorded: {reason}"))
        }
        .with_verdict(verdict::Verdict::MayHaveRun),
    }
}

/// Maximum number of requests per client account that a host admits without a scheduler within
/// [`FALLBACK_ADMISSION_WINDOW`].
pub const FALLBACK_ADMISSIONS_MAX: usize = 100;

/// Time after which a request that was admitted without a scheduler no longer counts towards
/// [`FALLBACK_ADMISSIONS_MAX`].
pub const FALLBACK_ADMISSION_WINDOW: Duration = Duration::from_secs(30);

/// Limits the requests per client account that a host admits while a scheduler is unreachable.
#[derive(Debug, Default)]
pub struct FallbackAdmissions {
    times: std::collections::BTreeMap<id::ClientAccountName, Vec<clock::Monotonic>>,
}

impl FallbackAdmissions {
    /// Admits and counts one more request. Returns false if the limit is reached.
    pub fn admit(&mut self, account: &id::ClientAccountName, now: clock::Monotonic) -> bool {
        let times = self.times.entry(account.clone()).or_default();
        times.retain(|at| now.since(*at) < FALLBACK_ADMISSION_WINDOW);
        let is_admitted = times.len() < FALLBACK_ADMISSIONS_MAX;
        if is_admitted {
            times.push(now);
        }
        is_admitted
    }
}
