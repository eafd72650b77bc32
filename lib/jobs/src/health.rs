//! Tells backend servers that fail everything from jobs that fail everywhere.
//!
//! A failure counts against the server until the same job has failed on a second one; a success
//! clears it. A server against which several jobs stand gets no work for a while, twice as long
//! each time.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;

/// Jobs that must have failed on a server before it is set aside.
const JOBS_MIN: usize = 2;

/// How long a server is set aside the first time.
const FIRST_PAUSE_MS: u64 = 6_000;

/// Longest time that a server is set aside.
const PAUSE_MAX_MS: u64 = 24_000;

/// What stands against one server.
#[derive(Clone, Debug, Default)]
struct Standing {
    jobs: BTreeSet<id::JobId>,
    pause_ms: u64,
    paused_until_ms: u64,
}

/// What stands against the servers and the jobs.
#[derive(Clone, Debug, Default)]
pub struct Health {
    servers: BTreeMap<id::BackendServerId, Standing>,
    failed_on: BTreeMap<id::JobId, BTreeSet<id::BackendServerId>>,
}

impl Health {
    /// Notes that a run of `job` failed on `server`.
    pub fn failed(&mut self, job: &id::JobId, server: &id::BackendServerId, now_ms: u64) {
        let on = self.failed_on.entry(job.clone()).or_default();
        on.insert(server.clone());
        if on.len() >= JOBS_MIN {
            for other in on.clone() {
                self.clear_failure(job, &other);
            }
            return;
        }
        let standing = self.servers.entry(server.clone()).or_default();
        standing.jobs.insert(job.clone());
        if standing.jobs.len() >= JOBS_MIN || standing.pause_ms > 0 {
            standing.pause_ms = (standing.pause_ms * 2).clamp(FIRST_PAUSE_MS, PAUSE_MAX_MS);
            standing.paused_until_ms = now_ms + standing.pause_ms;
        }
    }

    fn clear_failure(&mut self, job: &id::JobId, server: &id::BackendServerId) {
        if let Some(standing) = self.servers.get_mut(server) {
            standing.jobs.remove(job);
            if standing.jobs.is_empty() {
                standing.pause_ms = 0;
                standing.paused_until_ms = 0;
            }
        }
    }

    /// Notes that a run finished on `server`.
    pub fn finished(&mut self, server: &id::BackendServerId) {
        self.servers.remove(server);
    }

    /// Notes that `server` itself says it is unwell, or does not make progress.
    pub fn set_aside(&mut self, server: &id::BackendServerId, until_ms: u64) {
        let standing = self.servers.entry(server.clone()).or_default();
        standing.paused_until_ms = standing.paused_until_ms.max(until_ms);
    }

    /// Whether `server` is to get no work.
    pub fn is_set_aside(&self, server: &id::BackendServerId, now_ms: u64) -> bool {
        self.servers
            .get(server)
            .is_some_and(|standing| standing.paused_until_ms > now_ms)
    }

    /// Whether a failure stands against `server`.
    pub fn is_suspect(&self, server: &id::BackendServerId) -> bool {
        self.servers
            .get(server)
            .is_some_and(|standing| !standing.jobs.is_empty() || standing.pause_ms > 0)
    }

    /// Servers on which a run of `job` failed.
    pub fn failed_on(&self, job: &id::JobId) -> BTreeSet<id::BackendServerId> {
        self.failed_on.get(job).cloned().unwrap_or_default()
    }

    /// Forgets `job` after its end.
    pub fn forget(&mut self, job: &id::JobId) {
        self.failed_on.remove(job);
    }
}
