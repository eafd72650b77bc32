//! What every placement policy is told and asked.

use std::collections::BTreeSet;

use camphorbeam_model::{id, sheet, task};

/// A waiting request, as far as placement is concerned.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The request.
    pub id: id::RequestId,
    /// Who pays for it.
    pub client_account: id::ClientAccountName,
    /// The kind of work.
    pub kind: id::KindName,
    /// Adjacent accelerators; zero takes one slot and no accelerator.
    pub accelerators: u32,
    /// Whether it may run twice.
    pub idempotent: bool,
    /// Whether it can be checkpointed and resumed.
    pub checkpointable: bool,
    /// How long the caller believes that it runs.
    pub declared_run_time_ms: u64,
    /// Backend servers on which it has failed; it is not placed there again.
    pub avoided_servers: BTreeSet<id::BackendServerId>,
    /// When it began to wait, on the clock of [`Policy::decide`].
    pub arrived_at_ms: u64,
}

impl Job {
    /// Whether it may be stopped to give its accelerators back.
    pub fn is_reclaimable(&self) -> bool {
        self.idempotent || self.checkpointable
    }
}

/// Whether a backend server may get new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It may get any work.
    Usable,
    /// Its tasks fail: it gets only idempotent work, one job at a time, to find out whether it
    /// has recovered.
    Suspect,
    /// It gets no new work: it is leaving, drained or not reached.
    Closed,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct Server {
    /// Its id.
    pub id: id::BackendServerId,
    /// Its rack.
    pub rack: id::RackName,
    /// Accelerators, numbered from 0; neighbours in number are adjacent.
    pub accelerators: u32,
    /// Tasks it can run at once.
    pub slots: u32,
    /// Speed relative to 1.0.
    pub speed_ratio: f64,
    /// Whether it may get new work.
    pub health: Health,
}

/// Why an attempt is over, for what a policy learns from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndCause {
    /// Ran to its end.
    Finished {
        /// How long it ran.
        run_time_ms: u64,
    },
    /// Failed by itself.
    Failed,
    /// Stopped, cancelled or lost.
    Stopped,
}

/// A decision that the scheduler carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Start the job on these members. The policy counts their accelerators as held from now on,
    /// until [`Policy::record_end`].
    Start {
        /// The job.
        request: id::RequestId,
        /// Its gang in the order of the ranks.
        members: Vec<task::Member>,
        /// Whether it runs on accelerators that others can reclaim.
        is_borrowing: bool,
    },
    /// Checkpoint if possible, then stop the job, and submit it again once it has ended.
    Preempt {
        /// The job.
        request: id::RequestId,
        /// Why, for people.
        reason: String,
    },
    /// Never start the job.
    Refuse {
        /// The job.
        request: id::RequestId,
        /// Why, for people.
        reason: String,
    },
}

/// Which starts are allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartScope {
    /// Any start.
    Any,
    /// Only jobs that may be stopped again: the sheet in hand may no longer be the newest, and a
    /// newer one could give their accelerators to others.
    ReclaimableOnly,
}

/// A placement policy for one availability zone.
///
/// Times are milliseconds on one monotonic clock that the caller passes in.
pub trait Policy: Send {
    /// Puts a sheet in force.
    fn set_sheet(&mut self, zone: &id::ZoneName, sheet: &sheet::Sheet);

    /// Adds a backend server or replaces what is known of it; jobs on it stay.
    fn set_server(&mut self, server: Server);

    /// Forgets a backend server. Jobs on it stay until [`Policy::record_end`].
    fn remove_server(&mut self, server: &id::BackendServerId);

    /// Adds a waiting job.
    fn submit(&mut self, job: Job);

    /// Takes a waiting job back. Does nothing for a job that is not waiting.
    fn withdraw(&mut self, request: &id::RequestId);

    /// Tells of a job that is found running there, on these members.
    fn adopt(&mut self, job: Job, members: Vec<task::Member>, now_ms: u64);

    /// Tells that a started or adopted job holds nothing any more.
    fn record_end(&mut self, request: &id::RequestId, cause: EndCause, now_ms: u64);

    /// Decides on what to do now.
    fn decide(&mut self, now_ms: u64, scope: StartScope) -> Vec<Decision>;

    /// What holds a waiting job up, for people.
    fn explain(&self, request: &id::RequestId) -> Option<String>;

    /// Guarantees that the backend servers at hand can't hold at present, for people.
    fn unmet_guarantees(&self) -> Vec<String>;
}
