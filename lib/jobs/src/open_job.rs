//! Open jobs: jobs that have not ended, or that still have runs or progress that isn't stored.

use std::collections::BTreeMap;

use camphorbeam_model::{id, job};

use crate::start_check::{self, StartObstacle};
use crate::{live_run, progress, ready_units};

/// Tasks that are placed and started together: all members of a gang, or a single task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementUnit {
    /// The first task.
    pub first: job::TaskIndex,
    /// Number of tasks; their ranks are consecutive.
    pub count: u32,
}

impl PlacementUnit {
    /// The indexes of the unit's tasks.
    pub fn members(self) -> impl Iterator<Item = job::TaskIndex> {
        (0..self.count).map(move |offset| job::TaskIndex {
            rank: self.first.rank + offset,
            ..self.first
        })
    }
}

/// A job that has not ended, or that still has runs or progress that isn't stored.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// Id of the job.
    pub id: id::JobId,
    /// The job as accepted.
    pub accepted: job::AcceptedJob,
    /// Current progress, which may be newer than the stored one.
    pub progress: progress::Progress,
    /// Runs that may exist on backend servers.
    pub runs: BTreeMap<job::TaskIndex, live_run::LiveRun>,
    /// When the job was accepted, on the monotonic clock of this host.
    pub accepted_ms: u64,
    /// Generation of `progress`; incremented by each change.
    pub generation: u64,
    /// Newest generation that is stored.
    pub stored_generation: u64,
    /// Version of the stored row; zero if there is none.
    pub row_version: u64,
    /// Whether the last attempt to reserve servers for a gang of the job has found none.
    pub is_unreservable: bool,
    /// Earliest time of the next attempt to reserve servers for a gang of the job.
    pub next_reservation_ms: u64,
    /// Earliest time of the next attempt to preempt other work for this job.
    pub next_preemption_ms: u64,
    /// Number of fresh tasks that may still get a record before `ready` is computed again.
    fresh_tasks_left: u32,
    ready: Option<ready_units::ReadyUnits>,
}

impl OpenJob {
    /// Creates a job whose `progress` is stored as `row_version`.
    pub fn new(
        id: id::JobId,
        accepted: job::AcceptedJob,
        mut progress: progress::Progress,
        row_version: u64,
        accepted_ms: u64,
    ) -> Self {
        progress.account = Some(accepted.account.clone());
        Self {
            id,
            accepted,
            progress,
            runs: BTreeMap::new(),
            accepted_ms,
            generation: 0,
            stored_generation: 0,
            row_version,
            is_unreservable: false,
            next_reservation_ms: 0,
            next_preemption_ms: 0,
            fresh_tasks_left: ready_units::OPEN_TASKS_MAX,
            ready: None,
        }
    }

    /// The specification of the step that a task belongs to.
    pub fn step(&self, index: job::TaskIndex) -> &job::StepSpec {
        &self.accepted.spec.steps[index.step as usize]
    }

    /// Whether `index` names a task of this job.
    pub fn has_task(&self, index: job::TaskIndex) -> bool {
        let step = self.accepted.spec.steps.get(index.step as usize);
        step.is_some_and(|step| index.rank < step.task_count)
            && index.occurrence < self.accepted.spec.occurrence_count()
    }

    /// The placement unit that a task belongs to.
    pub fn unit_of(&self, index: job::TaskIndex) -> PlacementUnit {
        let step = self.step(index);
        match step.is_gang {
            true => PlacementUnit {
                first: job::TaskIndex { rank: 0, ..index },
                count: step.task_count,
            },
            false => PlacementUnit {
                first: index,
                count: 1,
            },
        }
    }

    /// Records that the progress has changed, so that it has to be stored and the ready units have
    /// to be computed again.
    pub fn mark_changed(&mut self) {
        self.generation += 1;
        self.ready = None;
    }

    /// Drops the cached ready units after a change of the runs or the terms, which may make more
    /// units ready, or units unstartable.
    pub fn invalidate_ready(&mut self) {
        self.ready = None;
    }

    /// Whether the progress has changes that aren't stored yet.
    pub fn has_unstored_progress(&self) -> bool {
        self.generation > self.stored_generation
    }

    /// Whether all tasks of a step are recorded as finished.
    pub fn is_step_finished(&self, occurrence: u32, step: u32) -> bool {
        self.progress.is_step_finished(occurrence, step)
    }

    /// Records a step as finished if all of its tasks are done.
    pub fn finish_step_if_tasks_done(&mut self, occurrence: u32, step: u32) {
        let count = self.accepted.spec.steps[step as usize].task_count;
        let are_tasks_done = (0..count).all(|rank| {
            let index = job::TaskIndex {
                occurrence,
                step,
                rank,
            };
            self.progress.task_state(index) == progress::TaskState::Done
        });
        if are_tasks_done {
            self.progress.finish_step(occurrence, step);
        }
    }

    /// Whether all steps of all occurrences have finished.
    pub fn has_finished_all_steps(&self) -> bool {
        let Some(last) = self.accepted.spec.occurrence_count().checked_sub(1) else {
            return true;
        };
        let finished = &self.progress.finished_steps;
        let mut steps = 0..self.accepted.spec.steps.len() as u32;
        steps.all(|step| finished.missing_within(step, &(0..=last)).is_empty())
    }

    /// Units that may start at the wall clock time `unix_ms`: their occurrence is due, the steps
    /// that they depend on have finished, and none of their tasks is done or has a run. Of the tasks
    /// that have no record yet, only the first ones are included.
    pub fn ready_units(&mut self, unix_ms: u64) -> &[PlacementUnit] {
        &self.ready(unix_ms).units
    }

    /// A ready unit with an obstacle that nothing can remove, see [`StartObstacle::is_final`].
    pub(crate) fn unstartable_unit(
        &mut self,
        unix_ms: u64,
    ) -> Option<(PlacementUnit, StartObstacle)> {
        self.ready(unix_ms).unstartable
    }

    /// What may start at the wall clock time `unix_ms`.
    pub(crate) fn ready(&mut self, unix_ms: u64) -> &ready_units::ReadyUnits {
        let is_current = self.ready.as_ref().is_some_and(|ready| {
            ready
                .next_due_unix_ms
                .is_none_or(|due_unix_ms| unix_ms < due_unix_ms)
        });
        let ready = match self.ready.take() {
            Some(ready) if is_current => ready,
            _ => {
                let ready = ready_units::ReadyUnits::compute(self, unix_ms);
                self.fresh_tasks_left = ready.fresh_tasks_left;
                ready
            }
        };
        self.ready.insert(ready)
    }

    /// Whether a unit may start at the wall clock time `unix_ms`, also one that
    /// [`OpenJob::ready_units`] doesn't include.
    pub(crate) fn is_ready(&self, unit: PlacementUnit, unix_ms: u64) -> bool {
        let is_due = unit.first.occurrence < self.accepted.spec.due_count(unix_ms);
        is_due && start_check::is_waiting_for_start(self, unit)
    }

    /// Whether none of `units` has a record: nothing is known of them that isn't of their step.
    pub(crate) fn is_fresh(&self, units: &[PlacementUnit]) -> bool {
        let has_record = |unit: &PlacementUnit| self.progress.tasks.contains_key(&unit.first);
        !units.iter().any(has_record)
    }

    /// Counts the fresh tasks of a unit that gets records now.
    pub(crate) fn note_opened(&mut self, unit: PlacementUnit) {
        if !self.progress.tasks.contains_key(&unit.first) {
            self.fresh_tasks_left = self.fresh_tasks_left.saturating_sub(unit.count);
        }
    }

    /// Whether the job may give records to the fresh tasks of `unit`, see
    /// [`ready_units::OPEN_TASKS_MAX`].
    pub(crate) fn may_open(&self, unit: PlacementUnit) -> bool {
        self.progress.tasks.contains_key(&unit.first) || unit.count <= self.fresh_tasks_left
    }

    /// Whether one occurrence of a step may be able to start on servers on which another can't.
    pub(crate) fn has_apart_occurrences(&self, step: &job::StepSpec) -> bool {
        step.tasks_per_server_max > 0 || self.accepted.terms.advice.is_some()
    }

    /// Whether a task waits for a run and has none.
    pub(crate) fn is_waiting(&self, index: job::TaskIndex) -> bool {
        self.progress.task_state(index) == progress::TaskState::Waiting
            && !self.runs.contains_key(&index)
    }

    /// Accelerators that all tasks of one step take together, for the step that takes the most.
    pub fn max_step_accelerators(&self) -> u64 {
        let step_accelerators = |step: &job::StepSpec| {
            let tasks = u64::from(step.task_count);
            step.need.accelerators.saturating_mul(tasks)
        };
        self.accepted
            .spec
            .steps
            .iter()
            .map(step_accelerators)
            .max()
            .unwrap_or(0)
    }

    /// Estimated run time of the longest chain of dependent steps.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::new();
        for step in &self.accepted.spec.steps {
            let earlier = step
                .depends_on
                .iter()
                .filter_map(|&dependency| ends.get(dependency as usize));
            let start_ms = earlier.copied().max().unwrap_or(0);
            ends.push(start_ms.saturating_add(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Time from acceptance within which the job should be completed: its service level objective.
    pub fn objective_ms(&self) -> u64 {
        let terms = &self.accepted.terms;
        let critical_path_ms = self.critical_path_ms() as f64;
        let path_ms = (critical_path_ms * terms.objective_ratio) as u64;
        path_ms.saturating_add(terms.objective_extra_ms)
    }
}
