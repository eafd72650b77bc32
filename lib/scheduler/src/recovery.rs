//! Rebuilds a zone's tables after takeover, from the platform's table and the backend servers.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{cluster, id, record, verdict};
use camphorbeam_platform::{keys, table};
use camphorbeam_telemetry::metrics;

use crate::zone::Zone;
use crate::{attempt, job, records, server};

/// Rows read with one call.
const READ_BATCH: usize = 64;

/// Pause before a failed read is tried again.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time between two looks at whether the backend servers have answered.
const FENCE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Backend servers that do not answer within this time join later, one by one.
const FENCE_TIMEOUT: Duration = Duration::from_millis(1000);

/// Rebuilds the tables, then lets decisions begin.
///
/// No decision is made before all rows are read and each backend server has been fenced or has
/// had its time to answer. One that has not is not used until it is fenced.
pub async fn run(zone: Arc<Zone>, hosts: cluster::HostList) {
    while let Err(error) = load(&zone, LoadScope::Open).await {
        spdlog::warn!(
            "recovery waits: {error}",
            kv: { zone = zone.deps.settings.zone.as_str(), epoch = zone.epoch.0 }
        );
        // Until the rows can be read, the leases of running tasks are at least renewed.
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

fn report_recovery(zone: &Zone) {
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

async fn await_fences(zone: &Zone) {
    let deadline = zone.now().plus(FENCE_TIMEOUT);
    let is_unfenced = |entry: &server::Server| entry.link == server::Link::Unfenced;
    while zone.now() < deadline && zone.tables.servers().values().any(is_unfenced) {
        zone.deps.clock.sleep(FENCE_POLL_INTERVAL).await;
    }
}

/// Which rows to take in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadScope {
    /// All that are not at their end.
    Open,
    /// Only those that wait. What this scheduler has started has a job, or had one that ended
    /// while the rows were read.
    Waiting,
}

async fn load(zone: &Zone, scope: LoadScope) -> Result<(), table::PlatformError> {
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
    zone: &Zone,
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

async fn load_drained(zone: &Zone) -> Result<(), table::PlatformError> {
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

fn add_row(zone: &Zone, row: &table::Row, scope: LoadScope) {
    let record: record::RequestRecord = match serde_json::from_value(row.value.clone()) {
        Ok(record) => record,
        Err(error) => {
            // The text of the error may quote the row, and with it a payload.
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
            zone.add_waiting(mark_inherited(zone, job));
        }
        record::RequestState::Started { members, .. } if scope == LoadScope::Open => {
            let members = members.clone();
            let job = job::Job::started(record, row.version, &members);
            add_started(zone, mark_inherited(zone, job));
        }
        _ => {}
    }
}

/// A job that an earlier scheduler had.
fn mark_inherited(zone: &Zone, mut job: job::Job) -> job::Job {
    job.is_inherited = true;
    if job.record.spec.idempotent && !zone.is_clean_start {
        job.attempt_floor = attempt::floor_after_takeover(job.attempt, zone.epoch);
    }
    job
}

fn add_started(zone: &Zone, job: job::Job) {
    let now_ms = zone.policy_now_ms();
    let mut policy = zone.tables.policy();
    let mut jobs = zone.tables.jobs();
    if jobs.contains_key(&job.record.id) {
        return;
    }
    policy.adopt(job.to_policy_job(now_ms), job.task_members(), now_ms);
    let request = job.record.id.clone();
    let adopted = records::NewStep {
        event: record::StepEvent::Adopted,
        attempt: job.attempt,
        verdict: verdict::Verdict::MayHaveRun,
        detail: "by the successor of its scheduler".to_owned(),
    };
    jobs.insert(request.clone(), job);
    drop((policy, jobs));
    zone.add_unrecorded_step(&request, adopted);
}

/// Takes in waiting requests that were recorded but never handed over.
///
/// # Errors
///
/// Returns the error of the first read that fails.
pub async fn load_missed_requests(zone: &Zone) -> Result<(), table::PlatformError> {
    load(zone, LoadScope::Waiting).await
}

/// Takes in admitted requests whose entry host was gone before it could hand them over.
///
/// # Errors
///
/// Returns the error of the first read that fails.
pub async fn load_overdue_admissions(zone: &Zone) -> Result<(), table::PlatformError> {
    let overdue = zone.overdue_admissions();
    load_rows(zone, overdue.iter().cloned(), LoadScope::Waiting).await?;
    zone.mark_looked_up(&overdue);
    Ok(())
}
