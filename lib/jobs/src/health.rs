//! Distinguishes faulty backend servers from faulty jobs.
//!
//! A failed run counts against its server until the same job fails on a second server or another
//! run succeeds on the first. A server on which several jobs have failed is quarantined: it gets no
//! work for a time that doubles with each further failure, up to `QUARANTINE_MAX_MS`. A server that
//! reports itself as unhealthy or makes no progress is quarantined for a fixed time. Either
//! quarantine ends early when a run succeeds on the server, or when the last failure that counts
//! against it is cleared.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;

/// Number of distinct jobs that must fail on a server before it is quarantined, and of distinct
/// servers on which a job must fail before its failures no longer count against servers.
const DISTINCT_FAILURES_MIN: usize = 2;

/// Duration of a server's first quarantine.
const QUARANTINE_MIN_MS: u64 = 6_000;

/// Upper bound on the duration of a quarantine.
const QUARANTINE_MAX_MS: u64 = 24_000;

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
    /// Servers on which each job has failed.
    failed_servers: BTreeMap<id::JobId, BTreeSet<id::BackendServerId>>,
}

impl Health {
    /// Counts a failed run of `job` against `server`. If the job has failed on
    /// `DISTINCT_FAILURES_MIN` servers, the job counts as faulty, and its failures are cleared from
    /// all of them.
    pub fn record_failure(&mut self, job: &id::JobId, server: &id::BackendServerId, now_ms: u64) {
        let servers = self.failed_servers.entry(job.clone()).or_default();
        servers.insert(server.clone());
        if servers.len() >= DISTINCT_FAILURES_MIN {
            for other in servers.clone() {
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

    /// Servers on which a run of `job` failed.
    pub fn failed_servers(&self, job: &id::JobId) -> BTreeSet<id::BackendServerId> {
        self.failed_servers.get(job).cloned().unwrap_or_default()
    }

    /// Removes the failures of an ended job; those that count against servers stay.
    pub fn forget(&mut self, job: &id::JobId) {
        self.failed_servers.remove(job);
    }
}
