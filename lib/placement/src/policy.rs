//! The interface of every placement policy.

use std::collections::BTreeSet;

use camphorbeam_model::{id, sheet, task};

/// A request as a placement policy sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub id: id::RequestId,
    /// The account whose guarantees the job may use.
    pub client_account: id::ClientAccountName,
    pub kind: id::KindName,
    /// Number of adjacent accelerators. A job with zero takes one task slot and no accelerator.
    pub accelerators: u32,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Whether the job can be checkpointed and resumed.
    pub checkpointable: bool,
    /// Run time that the caller declared.
    pub declared_run_time_ms: u64,
    /// Backend servers on which the job has failed; it is not placed there again.
    pub avoided_servers: BTreeSet<id::BackendServerId>,
    /// When the job was queued, on the clock of [`Policy::decide`].
    pub arrived_at_ms: u64,
}

impl Job {
    /// Whether the job can be preempted to reclaim its accelerators.
    pub fn is_preemptible(&self) -> bool {
        self.idempotent || self.checkpointable
    }
}

/// Whether a backend server may be given new jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It accepts any job.
    Usable,
    /// Tasks have failed on it. It accepts one idempotent job at a time, as a probe that shows
    /// whether it has recovered.
    Suspect,
    /// It accepts no new jobs because it is leaving, drained or unreachable.
    Closed,
}

/// A backend server as a placement policy sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    pub id: id::BackendServerId,
    pub rack: id::RackName,
    /// Accelerators are numbered from 0; consecutive numbers are adjacent.
    pub accelerators: u32,
    /// Number of tasks that can run at once.
    pub slots: u32,
    /// Speed relative to a reference server of 1.0.
    pub speed_ratio: f64,
    pub health: Health,
}

/// Why an attempt ended. A policy learns run times from attempts that finished.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// The job ran to completion.
    Finished { run_time_ms: u64 },
    /// The job itself failed.
    Failed,
    /// The job was stopped, cancelled or lost.
    Stopped,
}

/// A decision for the scheduler to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the job on these members. The policy counts their accelerators as allocated until
    /// [`Policy::record_end`].
    Start {
        request: id::RequestId,
        /// The members of the gang in order of rank.
        members: Vec<task::Member>,
        /// Whether the job runs beyond its account's guarantees and may be preempted by a
        /// guarantee.
        is_borrowing: bool,
    },
    /// Stop the job, after a checkpoint if it supports one, and queue it again once it has ended.
    Preempt {
        request: id::RequestId,
        /// Human-readable reason.
        reason: String,
    },
    /// Refuse the job permanently.
    Refuse {
        request: id::RequestId,
        /// Human-readable reason.
        reason: String,
    },
}

/// Which jobs may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartScope {
    Any,
    /// Only jobs that can be preempted later. Used while the local sheet may be outdated: a newer
    /// one could guarantee the same accelerators to another account.
    PreemptibleOnly,
}

/// A placement policy for one availability zone.
///
/// All times are in milliseconds on one monotonic clock that the caller supplies.
pub trait Policy: Send {
    /// Replaces the sheet in force.
    fn set_sheet(&mut self, zone: &id::ZoneName, sheet: &sheet::Sheet);

    /// Adds a backend server or updates its description. Jobs on it keep running.
    fn set_server(&mut self, server: Server);

    /// Removes a backend server. Jobs on it stay allocated until [`Policy::record_end`].
    fn remove_server(&mut self, server: &id::BackendServerId);

    /// Queues a job.
    fn submit(&mut self, job: Job);

    /// Removes a job from the queue. Does nothing if the job is not queued.
    fn withdraw(&mut self, request: &id::RequestId);

    /// Registers a job that is already running on these members.
    fn adopt(&mut self, job: Job, members: Vec<task::Member>, now_ms: u64);

    /// Releases the accelerators of a started or adopted job.
    fn record_end(&mut self, request: &id::RequestId, cause: EndCause, now_ms: u64);

    /// Runs one scheduling round and returns its decisions.
    fn decide(&mut self, now_ms: u64, scope: StartScope) -> Vec<Decision>;

    /// Human-readable reason why a queued job has not started.
    fn explain(&self, request: &id::RequestId) -> Option<String>;

    /// Human-readable list of the guarantees that the current backend servers can't satisfy.
    fn unmet_guarantees(&self) -> Vec<String>;
}
