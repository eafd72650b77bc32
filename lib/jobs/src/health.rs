//! Distinguishes faulty backend servers from faulty jobs.
//!
//! A failed run counts against its server until the same job fails on a second server or another
//! run succeeds on the first. While servers fail at several places (see [`crate::soundness`]), a
//! sound job may fail on two of them, and its failures go on counting. A server on which several
//! jobs have failed is quarantined: it gets no work for a time that doubles with each further
//! failure, up to `QUARANTINE_MAX_MS`. A server that reports itself as unhealthy or makes no
//! progress is quarantined for a fixed time. Either quarantine ends early when a run succeeds on
//! the server, or when the last failure that counts against it is cleared.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, job};

/// Number of distinct jobs that must fail on a server before it is quarantined, and of distinct
/// servers on which a job must fail before its failures no longer count against servers.
const DISTINCT_FAILURES_MIN: usize = 2;

/// Duration of a server's first quarantine.
const QUARANTINE_MIN_MS: u64 = 6_000;

/// Upper bound on the duration of a quarantine.
const QUARANTINE_MAX_MS: u64 = 24_000;

/// How long a job avoids a server on which it has failed. A wide gang may fail on so many servers
/// at once that the others have no room for it.
const AVOIDANCE_DURATION_MS: u64 = 6_000;

/// The failures that count against one server, and its quarantine.
#[derive(Clone, Debug, Default)]
struct FailureRecord {
    failed_jobs: BTreeSet<id::JobId>,
    quarantine_ms: u64,
    quarantined_until_ms: u64,
}

/// The failures of all servers and jobs.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: BTreeMap<id::BackendServerId, FailureRecord>,
    /// Servers on which each job has failed, and when it last did.
    failed_servers: BTreeMap<id::JobId, BTreeMap<id::BackendServerId, u64>>,
    /// Failed runs of each job, by the first task of their unit.
    failed_runs: BTreeMap<id::JobId, BTreeSet<(job::TaskIndex, id::Run)>>,
}

impl Health {
    /// Counts a failed run of `job` against `server`; `run` is the first task of the run's unit and
    /// the number of the run. If `DISTINCT_FAILURES_MIN` runs of the job have failed on as many
    /// servers, the job counts as faulty, and its failures are cleared from all of them. A single
    /// run of a gang that fails on several servers isn't enough: a wide gang may meet several
    /// faulty servers at once. While `has_wave`, servers fail at several places, and a sound job
    /// may fail on two of them; its failures go on counting against the servers.
    pub fn record_failure(
        &mut self,
        job: &id::JobId,
        run: (job::TaskIndex, id::Run),
        server: &id::BackendServerId,
        has_wave: bool,
        now_ms: u64,
    ) {
        let runs = self.failed_runs.entry(job.clone()).or_default();
        runs.insert(run);
        let servers = self.failed_servers.entry(job.clone()).or_default();
        servers.insert(server.clone(), now_ms);
        if !has_wave && servers.len().min(runs.len()) >= DISTINCT_FAILURES_MIN {
            for other in servers.clone().into_keys() {
                self.clear_failure(job, &other);
            }
            return;
        }
        let record = self.servers.entry(server.clone()).or_default();
        record.failed_jobs.insert(job.clone());
        if record.failed_jobs.len() >= DISTINCT_FAILURES_MIN || record.quarantine_ms > 0 {
            record.quarantine_ms =
                (record.quarantine_ms * 2).clamp(QUARANTINE_MIN_MS, QUARANTINE_MAX_MS);
            record.quarantined_until_ms = now_ms + record.quarantine_ms;
        }
    }

    fn clear_failure(&mut self, job: &id::JobId, server: &id::BackendServerId) {
        if let Some(record) = self.servers.get_mut(server) {
            record.failed_jobs.remove(job);
            if record.failed_jobs.is_empty() {
                record.quarantine_ms = 0;
                record.quarantined_until_ms = 0;
            }
        }
    }

    /// Clears the failures and the quarantine of `server` after a run succeeded there.
    pub fn record_success(&mut self, server: &id::BackendServerId) {
        self.servers.remove(server);
    }

    /// Quarantines `server` until `until_ms` at least, because it reports itself as unhealthy or
    /// makes no progress.
    pub fn quarantine(&mut self, server: &id::BackendServerId, until_ms: u64) {
        let record = self.servers.entry(server.clone()).or_default();
        record.quarantined_until_ms = record.quarantined_until_ms.max(until_ms);
    }

    /// Whether `server` gets no work at `now_ms`.
    pub fn is_quarantined(&self, server: &id::BackendServerId, now_ms: u64) -> bool {
        self.servers
            .get(server)
            .is_some_and(|record| record.quarantined_until_ms > now_ms)
    }

    /// Whether a failure counts against `server`.
    pub fn is_suspect(&self, server: &id::BackendServerId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|record| !record.failed_jobs.is_empty() || record.quarantine_ms > 0)
    }

    /// Servers that `job` avoids at `now_ms`, because it has failed there within
    /// `AVOIDANCE_DURATION_MS`.
    pub fn avoided_servers(&self, job: &id::JobId, now_ms: u64) -> BTreeSet<id::BackendServerId> {
        let servers = self.failed_servers.get(job).into_iter().flatten();
        servers
            .filter(|(_, failed_ms)| now_ms < **failed_ms + AVOIDANCE_DURATION_MS)
            .map(|(server, _)| server.clone())
            .collect()
    }

    /// Removes the failures of an ended job; those that count against servers stay.
    pub fn forget(&mut self, job: &id::JobId) {
        self.failed_servers.remove(job);
        self.failed_runs.remove(job);
    }
}
