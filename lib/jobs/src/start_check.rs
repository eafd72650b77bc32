//! The last check before a unit starts, whatever has proposed its servers: a search, a claim, or a
//! start that is overdue.
//!
//! Each proposal respects the limits of a step by itself. Proposals for other tasks of the step, for
//! other work on the servers, and changes since a claim was made can make it break them.

use std::collections::BTreeMap;

use camphorbeam_model::{id, job};

use crate::engine::Engine;
use crate::event::Event;
use crate::open_job::{OpenJob, PlacementUnit};
use crate::server::Server;

/// Why a unit must not start on the servers that were proposed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartObstacle {
    /// The job has ended, or a task of the unit is done or has a run.
    NotWaiting,
    /// A step that the unit depends on hasn't finished.
    Dependency,
    /// A task has failed as often as it may.
    Attempts,
    /// The job has as many unfinished tasks with a record as it may.
    OpenTasks,
    /// A server is of another service than the job's, or isn't known.
    Service,
    /// A server lacks the label that the step requires.
    Label,
    /// What is registered of a server is of an earlier life.
    OutdatedEntry,
    /// A server would have more tasks of the step than it may.
    TasksPerServer,
    /// What is free on a server, without runs that are being stopped, is too little.
    Room,
}

impl StartObstacle {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotWaiting => "not waiting",
            Self::Dependency => "dependency",
            Self::Attempts => "attempts",
            Self::OpenTasks => "open tasks",
            Self::Service => "service",
            Self::Label => "label",
            Self::OutdatedEntry => "outdated entry",
            Self::TasksPerServer => "tasks per server",
            Self::Room => "room",
        }
    }

    /// Whether the job has to end: no event of the fleet or of other work can remove the obstacle.
    /// New terms could, but callers are not made to wait for them.
    pub fn is_final(self) -> bool {
        match self {
            Self::Attempts => true,
            Self::NotWaiting
            | Self::Dependency
            | Self::OpenTasks
            | Self::Service
            | Self::Label
            | Self::OutdatedEntry
            | Self::TasksPerServer
            | Self::Room => false,
        }
    }
}

/// The step of one occurrence that a task belongs to.
fn step_of(index: job::TaskIndex) -> (u32, u32) {
    (index.occurrence, index.step)
}

impl Engine {
    /// Number of tasks of the step of `unit` on each server that has any: of runs that may exist,
    /// and of claims for other units. Empty if the step has no limit for a server.
    pub(crate) fn same_step_tasks(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
    ) -> BTreeMap<id::BackendServerId, u32> {
        let job = &self.jobs[id];
        let mut tasks = BTreeMap::new();
        if job.step(unit.first).tasks_per_server_max == 0 {
            return tasks;
        }
        let step = step_of(unit.first);
        let runs = job
            .runs
            .iter()
            .filter(|(index, _)| step_of(**index) == step);
        let claims = self.claims.iter().filter(|((claimant, other), _)| {
            claimant == id && *other != unit && step_of(other.first) == step
        });
        let claimed = claims.flat_map(|(_, claim)| &claim.servers);
        for server in runs.map(|(_, live)| &live.server).chain(claimed) {
            *tasks.entry(server.clone()).or_default() += 1;
        }
        tasks
    }

    /// Why `unit` must not start on `servers`, one for each of its tasks; `None` if it may.
    pub(crate) fn start_obstacle(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        servers: &[id::BackendServerId],
    ) -> Option<StartObstacle> {
        let Some(job) = self.jobs.get(id) else {
            return Some(StartObstacle::NotWaiting);
        };
        let step = job.step(unit.first);
        let mut tasks: BTreeMap<&id::BackendServerId, u64> = BTreeMap::new();
        for server in servers {
            *tasks.entry(server).or_default() += 1;
        }
        unit_obstacle(job, unit).or_else(|| {
            tasks
                .into_iter()
                .find_map(|(server, count)| match self.servers.get(server) {
                    Some(server) => server_obstacle(job, unit, step, server, count),
                    None => Some(StartObstacle::Service),
                })
        })
    }

    /// Reports a start that the check has prevented.
    pub(crate) fn report_blocked_start(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        obstacle: StartObstacle,
    ) {
        self.events.push(Event::StartBlocked {
            job: id.clone(),
            first: unit.first,
            tasks: unit.count,
            obstacle: obstacle.name(),
        });
    }
}

/// Why `unit` must not start on any server; `None` if it may on some.
pub(crate) fn unit_obstacle(job: &OpenJob, unit: PlacementUnit) -> Option<StartObstacle> {
    match () {
        () if !is_waiting(job, unit) => Some(StartObstacle::NotWaiting),
        () if !are_dependencies_finished(job, unit) => Some(StartObstacle::Dependency),
        () if !has_attempts_left(job, unit) => Some(StartObstacle::Attempts),
        () if !job.may_open(unit) => Some(StartObstacle::OpenTasks),
        () => None,
    }
}

/// Whether a unit waits and the steps that it depends on have finished.
pub(crate) fn is_waiting_for_start(job: &OpenJob, unit: PlacementUnit) -> bool {
    is_waiting(job, unit) && are_dependencies_finished(job, unit)
}

fn is_waiting(job: &OpenJob, unit: PlacementUnit) -> bool {
    !job.progress.state.is_final() && unit.members().all(|index| job.is_waiting(index))
}

fn are_dependencies_finished(job: &OpenJob, unit: PlacementUnit) -> bool {
    let mut dependencies = job.step(unit.first).depends_on.iter();
    dependencies.all(|&step| job.is_step_finished(unit.first.occurrence, step))
}

/// Whether the terms allow a further run of each task of `unit`. Long-running tasks have no limit.
pub(crate) fn has_attempts_left(job: &OpenJob, unit: PlacementUnit) -> bool {
    let failures = |index| {
        job.progress
            .tasks
            .get(&index)
            .map_or(0, |task| task.failures)
    };
    job.step(unit.first).is_long_running
        || unit
            .members()
            .all(|index| failures(index) < job.accepted.terms.attempts_max)
}

/// Why `count` tasks of `unit` must not start on `server`.
fn server_obstacle(
    job: &OpenJob,
    unit: PlacementUnit,
    step: &job::StepSpec,
    server: &Server,
    count: u64,
) -> Option<StartObstacle> {
    let is_same_step = |(index, live): &(&job::TaskIndex, &crate::live_run::LiveRun)| {
        step_of(**index) == step_of(unit.first) && live.server == server.entry.id
    };
    let has_label = |label: &std::sync::Arc<str>| server.entry.labels.contains(label);
    let need = step.counted_need();
    match step.tasks_per_server_max {
        _ if server.has_outdated_entry() => Some(StartObstacle::OutdatedEntry),
        _ if server.entry.service != job.accepted.terms.service => Some(StartObstacle::Service),
        _ if !step.required_label.as_ref().is_none_or(has_label) => Some(StartObstacle::Label),
        limit
            if limit > 0
                && job.runs.iter().filter(is_same_step).count() as u64 + count
                    > u64::from(limit) =>
        {
            Some(StartObstacle::TasksPerServer)
        }
        _ if !server.free().can_fit(&need.times(count)) => Some(StartObstacle::Room),
        _ => None,
    }
}
