//! Decisions of the engine, as on-call engineers read them in the logs.

use camphorbeam_model::{id, job};

use crate::progress;

/// One decision about a job, with what decided it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A unit of tasks was given backend servers.
    Placed {
        /// The job.
        job: id::JobId,
        /// The first task of the unit.
        first: job::TaskIndex,
        /// Tasks in it.
        tasks: u32,
        /// Number of the run.
        run: id::Run,
        /// The backend server of the first task.
        server: id::BackendServerId,
        /// How long the job had been waiting since it was accepted.
        waited_ms: u64,
    },
    /// A run came to an end.
    Ended {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// The run.
        run: id::Run,
        /// Where.
        server: id::BackendServerId,
        /// How, or `lost`.
        how: &'static str,
        /// Runs of the task that have failed so far.
        failures: u32,
    },
    /// A run is stopped so that other work can run, or for another reason of ours.
    Stopping {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// The run.
        run: id::Run,
        /// Where.
        server: id::BackendServerId,
        /// Why.
        reason: &'static str,
    },
    /// A job has changed its state.
    State {
        /// The job.
        job: id::JobId,
        /// The new state.
        state: progress::JobState,
        /// Time since it was accepted.
        age_ms: u64,
    },
    /// A backend server is believed differently of.
    Server {
        /// The backend server.
        server: id::BackendServerId,
        /// What is believed now.
        belief: &'static str,
        /// Runs that this touches.
        runs: usize,
    },
}
