//! The interface of every placement policy.

use std::collections::BTreeSet;

use camphorbeam_model::{id, sheet, task};

/// A request that is queued or running, as a placement policy sees it.
///
/// Its members, one on each of its backend servers, start together and form a gang.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    pub id: id::RequestId,
    /// The account that the job is charged to, for guarantees and fair share.
    pub client_account: id::ClientAccountName,
    pub kind: id::KindName,
    /// Number of adjacent accelerators; may be zero. A job also takes one task slot on each of its
    /// servers.
    pub accelerators: u32,
    /// Whether the job may run more than once.
    pub idempotent: bool,
    /// Whether the job can be checkpointed and resumed.
    pub checkpointable: bool,
    /// Run time that the caller declared, in milliseconds; only [`FifoBackfill`] uses it.
    ///
    /// [`FifoBackfill`]: crate::fifo_backfill::FifoBackfill
    pub declared_run_time_ms: u64,
    /// Backend servers on which the job has failed and should not be placed again.
    ///
    /// The default policy skips them when it searches for a free block or a block within a
    /// guaranteed shape, also if a shape is moved for a job within it. It doesn't check them for
    /// urgent claims, for reserved blocks, and for a part of a shape's block that is vacated for a
    /// job beyond the guarantees. The baseline policies ignore them.
    pub avoided_servers: BTreeSet<id::BackendServerId>,
    /// When the job was queued, on the clock of [`Policy::decide`].
    pub arrived_at_ms: u64,
}

impl Job {
    /// Whether the job can be preempted once it runs: it can run again, or resume from a
    /// checkpoint.
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
    /// Number of accelerators, which are numbered from 0; consecutive numbers are adjacent. At most
    /// [`SERVER_ACCELERATORS_MAX`] are used.
    ///
    /// [`SERVER_ACCELERATORS_MAX`]: crate::cluster::SERVER_ACCELERATORS_MAX
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
    /// The job ran to completion. The run time is the actual one on the job's servers, not
    /// normalized to speed 1.0.
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
        /// Whether the job runs beyond its account's guarantees and may be preempted for
        /// guarantees, urgent jobs or waiting gangs.
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
    /// Replaces the sheet in force; its guarantees for `zone` apply.
    fn set_sheet(&mut self, zone: &id::ZoneName, sheet: &sheet::Sheet);

    /// Adds a backend server or updates its description. Jobs on it keep running.
    fn set_server(&mut self, server: Server);

    /// Removes a backend server. Jobs on it count as running until [`Policy::record_end`].
    fn remove_server(&mut self, server: &id::BackendServerId);

    /// Queues a job that is neither queued nor running. The default policy ignores any other job,
    /// and keeps the first arrival time of a job that it has preempted.
    fn submit(&mut self, job: Job);

    /// Removes a job that has not started, also one for which accelerators are claimed. Does
    /// nothing for a running or unknown job.
    fn withdraw(&mut self, request: &id::RequestId);

    /// Registers a job that is already running on these members.
    fn adopt(&mut self, job: Job, members: Vec<task::Member>, now_ms: u64);

    /// Releases the accelerators of a started or adopted job.
    fn record_end(&mut self, request: &id::RequestId, cause: EndCause, now_ms: u64);

    /// Runs one scheduling round and returns its decisions.
    fn decide(&mut self, now_ms: u64, scope: StartScope) -> Vec<Decision>;

    /// Human-readable reason why a job has not started; `None` if it is not waiting.
    fn explain(&self, request: &id::RequestId) -> Option<String>;

    /// Human-readable list of the guarantees that no block is assigned to now. Accurate only after
    /// a round: [`Policy::set_sheet`] unassigns all of them, so that they are all listed until the
    /// next round, and changes of the servers count from the next round on. Empty for policies
    /// without guaranteed shapes.
    fn unmet_guarantees(&self) -> Vec<String>;
}
