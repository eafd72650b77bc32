//! Tells backend servers that fail everything from jobs that fail everywhere.
//!
//! A failure counts against the server until the same job has failed on a second one; a success
//! clears it. A server against which several jobs stand gets no work for a while, twice as long
//! each time.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;

/// Jobs that must have failed on a server before it is set aside.
const FAILURES_MIN: usize = 2;

/// How long a server is set aside the first time.
const QUARANTINE_MIN_MS: u64 = 6_000;

/// Longest time that a server is set aside.
const QUARANTINE_MAX_MS: u64 = 24_000;

/// What stands against one server.
#[derive(Clone, Debug, Default)]
struct FailureRecord {
    failed_jobs: BTreeSet<id::JobId>,
    quarantine_ms: u64,
    quarantined_until_ms: u64,
}

/// What stands against the servers and the jobs.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: BTreeMap<id::BackendServerId, FailureRecord>,
    failed_servers: BTreeMap<id::JobId, BTreeSet<id::BackendServerId>>,
}

impl Health {
    /// Notes that a run of `job` failed on `server`.
    pub fn record_failure(&mut self, job: &id::JobId, server: &id::BackendServerId, now_ms: u64) {
        let servers = self.failed_servers.entry(job.clone()).or_default();
        servers.insert(server.clone());
        if servers.len() >= FAILURES_MIN {
            for other in servers.clone() {
                self.clear_failure(job, &other);
            }
            return;
        }
        let record = self.servers.entry(server.clone()).or_default();
        record.failed_jobs.insert(job.clone());
        if record.failed_jobs.len() >= FAILURES_MIN || record.quarantine_ms > 0 {
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

    /// Notes that a run finished on `server`.
    pub fn record_success(&mut self, server: &id::BackendServerId) {
        self.servers.remove(server);
    }

    /// Notes that `server` itself says it is unwell, or does not make progress.
    pub fn quarantine(&mut self, server: &id::BackendServerId, until_ms: u64) {
        let record = self.servers.entry(server.clone()).or_default();
        record.quarantined_until_ms = record.quarantined_until_ms.max(until_ms);
    }

    /// Whether `server` is to get no work.
    pub fn is_quarantined(&self, server: &id::BackendServerId, now_ms: u64) -> bool {
        self.servers
            .get(server)
            .is_some_and(|record| record.quarantined_until_ms > now_ms)
    }

    /// Whether a failure stands against `server`.
    pub fn is_suspect(&self, server: &id::BackendServerId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|record| !record.failed_jobs.is_empty() || record.quarantine_ms > 0)
    }

    /// Servers on which a run of `job` failed.
    pub fn failed_servers(&self, job: &id::JobId) -> BTreeSet<id::BackendServerId> {
        self.failed_servers.get(job).cloned().unwrap_or_default()
    }

    /// Forgets `job` after its end.
    pub fn forget(&mut self, job: &id::JobId) {
        self.failed_servers.remove(job);
    }
}
