//! Rebuilds a zone's in-memory tables after a takeover, from the platform's table and the backend
//! servers.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{cluster, id, record, verdict};
use camphorbeam_platform::{keys, table};
use camphorbeam_telemetry::metrics;

use crate::zone::ZoneScheduler;
use crate::{attempt, job, records, server};

/// Maximum number of rows per read.
const READ_BATCH: usize = 64;

/// Delay before a failed read is retried.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Interval at which recovery checks whether all backend servers are fenced.
const FENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long recovery waits for backend servers to be fenced. A server that takes longer is used as
/// soon as it is fenced.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Rebuilds the tables, then lets decisions begin.
///
/// No decision is made before all rows are read and each backend server is fenced or
/// [`FENCE_TIMEOUT`] has passed. A server that has never been fenced by then is not used until it
/// is. One that was fenced while the rows could not be read may be used before it is fenced again
/// (`ZoneScheduler::set_loaded`); a launch on it fails until then.
pub async fn run(zone: Arc<ZoneScheduler>, hosts: cluster::HostList) {
    while let Err(error) = load(&zone, LoadScope::Pending).await {
        spdlog::warn!(
            "recovery waits: {error}",
            kv: { zone = zone.deps.settings.zone.as_str(), epoch = zone.epoch.0 }
        );
        // Starts the sync loops, which renew the leases of running tasks while the rows can't be
        // read.
        zone.apply_hosts(&hosts);
        zone.deps.clock.sleep(READ_RETRY_DELAY).await;
        if zone.has_ended() {
            return;
        }
    }
    zone.set_loaded();
    zone.apply_hosts(&hosts);
    await_fences(&zone).await;
    report_recovery(&zone);
    zone.set_recovered();
}

fn report_recovery(zone: &ZoneScheduler) {
    let duration_ms = clock::as_ms(zone.now().since(zone.started_at));
    metrics::time_ms(
        &zone.deps.metrics,
        metrics::TAKEOVER_DURATION_MS,
        duration_ms,
    );
    let counts = zone.counts();
    spdlog::info!(
        "decisions begin",
        kv: {
            zone = zone.deps.settings.zone.as_str(),
            epoch = zone.epoch.0,
            duration_ms,
            waiting = counts.waiting,
            running = counts.running,
        }
    );
}

async fn await_fences(zone: &ZoneScheduler) {
    let deadline = zone.now().plus(FENCE_TIMEOUT);
    let is_unfenced = |entry: &server::Server| entry.link == server::Link::Unfenced;
    while zone.now() < deadline && zone.tables.servers().values().any(is_unfenced) {
        zone.deps.clock.sleep(FENCE_POLL_INTERVAL).await;
    }
}

/// Which requests to load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadScope {
    /// All pending requests.
    Pending,
    /// Only waiting requests. A request that this scheduler has started either has a job already,
    /// or its job ended while the rows were read.
    Waiting,
}

async fn load(zone: &ZoneScheduler, scope: LoadScope) -> Result<(), table::PlatformError> {
    load_drained(zone).await?;
    let prefix = keys::open_prefix(&zone.deps.settings.zone);
    let index = table::scan_all(&*zone.deps.table, &prefix).await?;
    let requests = index
        .iter()
        .filter_map(|row| row.key.strip_prefix(&prefix))
        .filter_map(|text| id::RequestId::new(text).ok());
    load_rows(zone, requests, scope).await
}

async fn load_rows(
    zone: &ZoneScheduler,
    requests: impl Iterator<Item = id::RequestId>,
    scope: LoadScope,
) -> Result<(), table::PlatformError> {
    let row_keys: Vec<Arc<str>> = requests
        .filter(|request| !zone.has_job(request))
        .map(|request| keys::request(&request))
        .collect();
    for batch in row_keys.chunks(READ_BATCH) {
        for row in zone.deps.table.read(batch).await? {
            add_row(zone, &row, scope);
        }
    }
    Ok(())
}

async fn load_drained(zone: &ZoneScheduler) -> Result<(), table::PlatformError> {
    let key = keys::drained(&zone.deps.settings.zone);
    let rows = zone.deps.table.read(std::slice::from_ref(&key)).await?;
    for row in rows {
        let servers: Vec<id::BackendServerId> =
            serde_json::from_value(row.value).unwrap_or_default();
        for server in servers {
            zone.set_drained(&server, true);
        }
    }
    Ok(())
}

fn add_row(zone: &ZoneScheduler, row: &table::Row, scope: LoadScope) {
    let record: record::RequestRecord = match serde_json::from_value(row.value.clone()) {
        Ok(record) => record,
        Err(error) => {
            // The error text is not logged, because it may quote a payload from the row.
            let (line, column) = (error.line(), error.column());
            spdlog::error!(
                "a row is not a request record",
                kv: { row = &*row.key, line, column, epoch = zone.epoch.0 }
            );
            return;
        }
    };
    match &record.state {
        _ if !records::is_pending_here(zone, &record) => {}
        record::RequestState::Waiting => {
            let job = job::Job::waiting(record, row.version);
            zone.add_waiting(mark_loaded_from_row(zone, job));
        }
        record::RequestState::Started { members, .. } if scope == LoadScope::Pending => {
            let members = members.clone();
            let job = job::Job::started(record, row.version, &members);
            add_started(zone, mark_loaded_from_row(zone, job));
        }
        _ => {}
    }
}

/// Marks a job as loaded from its row, and raises its attempt numbers if a predecessor may have
/// used some without recording them.
fn mark_loaded_from_row(zone: &ZoneScheduler, mut job: job::Job) -> job::Job {
    job.is_loaded_from_row = true;
    if job.record.spec.idempotent && !zone.is_clean_start {
        job.attempt_floor = attempt::floor_after_takeover(job.attempt, zone.epoch);
    }
    job
}

fn add_started(zone: &ZoneScheduler, job: job::Job) {
    let now_ms = zone.policy_now_ms();
    let mut policy = zone.tables.policy();
    let mut jobs = zone.tables.jobs();
    if jobs.contains_key(&job.record.id) {
        return;
    }
    policy.adopt(job.to_policy_job(now_ms), job.task_members(), now_ms);
    let request = job.record.id.clone();
    let adopted = records::NewStep {
        event: record::HistoryEvent::Adopted,
        attempt: job.attempt,
        verdict: verdict::Verdict::MayHaveRun,
        detail: "by the successor of its scheduler".to_owned(),
    };
    jobs.insert(request.clone(), job);
    drop((policy, jobs));
    zone.add_unrecorded_step(&request, adopted);
}

/// Loads waiting requests that were recorded but never handed over to this scheduler.
///
/// # Errors
///
/// Returns the error of the first read that fails.
pub async fn load_missed_requests(zone: &ZoneScheduler) -> Result<(), table::PlatformError> {
    load(zone, LoadScope::Waiting).await
}

/// Loads admitted requests whose hand-over is overdue, for example because their entry host has
/// failed.
///
/// # Errors
///
/// Returns the error of the first read that fails.
pub async fn load_overdue_admissions(zone: &ZoneScheduler) -> Result<(), table::PlatformError> {
    let overdue = zone.overdue_admissions();
    load_rows(zone, overdue.iter().cloned(), LoadScope::Waiting).await?;
    zone.mark_looked_up(&overdue);
    Ok(())
}
