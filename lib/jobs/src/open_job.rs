//! A job that has not come to its end.

use std::collections::BTreeMap;

use camphorbeam_model::{id, job};

use crate::{live_run, progress};

/// Tasks that start together: a whole gang, or one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PlacementUnit {
    /// The first task.
    pub first: job::TaskIndex,
    /// How many tasks, with ranks in a row.
    pub count: u32,
}

impl PlacementUnit {
    /// Its tasks.
    pub fn members(self) -> impl Iterator<Item = job::TaskIndex> {
        (0..self.count).map(move |offset| job::TaskIndex {
            rank: self.first.rank + offset,
            ..self.first
        })
    }
}

/// A job that has not come to its end, or whose runs have not.
#[derive(Clone, Debug)]
pub struct OpenJob {
    /// Its id.
    pub id: id::JobId,
    /// The job as accepted.
    pub accepted: job::AcceptedJob,
    /// What is to be stored of it.
    pub progress: progress::Progress,
    /// Runs that may exist.
    pub runs: BTreeMap<job::TaskIndex, live_run::LiveRun>,
    /// When it was accepted, on our clock.
    pub accepted_ms: u64,
    /// Generation of `progress`; rises with each change.
    pub generation: u64,
    /// Generation that is stored.
    pub stored_generation: u64,
    /// Version of the stored row; zero if there is none.
    pub row_version: u64,
    /// Whether a task has been seen at work.
    pub has_begun: bool,
    /// When other work may be considered again to be stopped for it.
    pub next_preemption_ms: u64,
    ready: Option<Ready>,
}

/// Units that wait, and when a further occurrence is due.
#[derive(Clone, Debug)]
struct Ready {
    units: Vec<PlacementUnit>,
    next_due_unix_ms: Option<u64>,
}

impl OpenJob {
    /// A job of which `progress` is stored under `row_version`.
    pub fn new(
        id: id::JobId,
        accepted: job::AcceptedJob,
        progress: progress::Progress,
        row_version: u64,
        accepted_ms: u64,
    ) -> Self {
        let has_begun = progress.has_begun;
        Self {
            id,
            accepted,
            progress,
            runs: BTreeMap::new(),
            accepted_ms,
            generation: 0,
            stored_generation: 0,
            row_version,
            has_begun,
            next_preemption_ms: 0,
            ready: None,
        }
    }

    /// The step of a task.
    pub fn step(&self, index: job::TaskIndex) -> &job::StepSpec {
        &self.accepted.spec.steps[index.step as usize]
    }

    /// Whether `index` names a task of this job.
    pub fn has_task(&self, index: job::TaskIndex) -> bool {
        let step = self.accepted.spec.steps.get(index.step as usize);
        step.is_some_and(|step| index.rank < step.task_count)
            && index.occurrence < self.accepted.spec.occurrence_count()
    }

    /// The unit that a task belongs to.
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

    /// Notes a change of the progress.
    pub fn mark_changed(&mut self) {
        self.generation += 1;
        self.ready = None;
    }

    /// Notes that the runs have changed, which may make units ready.
    pub fn invalidate_ready(&mut self) {
        self.ready = None;
    }

    /// Whether a change is not stored.
    pub fn has_unstored_progress(&self) -> bool {
        self.generation > self.stored_generation
    }

    /// Whether all tasks of a step have finished.
    pub fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        self.progress.is_step_finished(occurrence, step)
    }

    /// Notes a step as finished if all of its tasks are.
    pub fn finish_step_if_done(&mut self, occurrence: u32, step: u32) {
        let count = self.accepted.spec.steps[step as usize].task_count;
        let is_done = (0..count).all(|rank| {
            let index = job::TaskIndex {
                occurrence,
                step,
                rank,
            };
            self.progress.task_state(index) == progress::TaskState::Done
        });
        if is_done {
            self.progress.finish_step(occurrence, step);
        }
    }

    /// Whether all tasks of all occurrences have finished.
    pub fn is_all_done(&self) -> bool {
        let steps = self.accepted.spec.steps.len() as u32;
        (0..self.accepted.spec.occurrence_count())
            .all(|occurrence| (0..steps).all(|step| self.is_step_done(occurrence, step)))
    }

    /// Units that may start now, by the wall clock `unix_ms`.
    pub fn ready_units(&mut self, unix_ms: u64) -> &[PlacementUnit] {
        let is_current = self.ready.as_ref().is_some_and(|ready| {
            ready
                .next_due_unix_ms
                .is_none_or(|due_unix_ms| unix_ms < due_unix_ms)
        });
        if !is_current {
            self.ready = Some(self.compute_ready(unix_ms));
        }
        self.ready.as_ref().map_or(&[], |ready| &ready.units)
    }

    fn compute_ready(&self, unix_ms: u64) -> Ready {
        let mut ready = Ready {
            units: Vec::new(),
            next_due_unix_ms: None,
        };
        if self.progress.state.is_final() {
            return ready;
        }
        for occurrence in 0..self.accepted.spec.occurrence_count() {
            match self.accepted.spec.due_unix_ms(occurrence) {
                Some(due_unix_ms) if due_unix_ms > unix_ms => {
                    ready.next_due_unix_ms = Some(due_unix_ms);
                    return ready;
                }
                _ => self.add_ready_units(occurrence, &mut ready.units),
            }
        }
        ready
    }

    fn add_ready_units(&self, occurrence: u32, units: &mut Vec<PlacementUnit>) {
        for (step, spec) in self.accepted.spec.steps.iter().enumerate() {
            let step = step as u32;
            let is_due = spec
                .depends_on
                .iter()
                .all(|&dependency| self.is_step_done(occurrence, dependency));
            if !is_due {
                continue;
            }
            let first = job::TaskIndex {
                occurrence,
                step,
                rank: 0,
            };
            match spec.is_gang {
                true => {
                    let unit = PlacementUnit {
                        first,
                        count: spec.task_count,
                    };
                    units.extend(
                        unit.members()
                            .all(|index| self.is_waiting(index))
                            .then_some(unit),
                    );
                }
                false => units.extend((0..spec.task_count).filter_map(|rank| {
                    let first = job::TaskIndex { rank, ..first };
                    self.is_waiting(first)
                        .then_some(PlacementUnit { first, count: 1 })
                })),
            }
        }
    }

    fn is_waiting(&self, index: job::TaskIndex) -> bool {
        self.progress.task_state(index) == progress::TaskState::Waiting
            && !self.runs.contains_key(&index)
    }

    /// Accelerators that its widest step takes.
    pub fn max_step_accelerators(&self) -> u64 {
        let of_step = |step: &job::StepSpec| step.need.accelerators * u64::from(step.task_count);
        self.accepted
            .spec
            .steps
            .iter()
            .map(of_step)
            .max()
            .unwrap_or(0)
    }

    /// Estimate of its longest chain of steps.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::new();
        for step in &self.accepted.spec.steps {
            let earlier = step
                .depends_on
                .iter()
                .filter_map(|&at| ends.get(at as usize));
            let start_ms = earlier.copied().max().unwrap_or(0);
            ends.push(start_ms + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Time from its acceptance in which it should be completed.
    pub fn objective_ms(&self) -> u64 {
        let terms = &self.accepted.terms;
        let chain_ms = self.critical_path_ms() as f64;
        (chain_ms * terms.objective_ratio) as u64 + terms.objective_extra_ms
    }
}
