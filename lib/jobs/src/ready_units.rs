//! The units of a job that may start: a bounded window of them, and how many tasks wait in all.
//!
//! The work of a decision must not follow the number of occurrences that are due. Tasks of a step
//! that have no record and no run have the same needs: if those of the window can't start, the ones
//! behind it can't either. See docs/design/ready-units.md.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use camphorbeam_model::job;

use crate::open_job::{OpenJob, PlacementUnit};
use crate::progress::TaskState;
use crate::start_check::{self, StartObstacle};

/// Number of fresh units of a step that a decision looks at.
const FRESH_UNITS_MAX: usize = 128;

/// The same for a step whose occurrences differ from one another: each may have other servers.
const FRESH_UNITS_OF_APART_MAX: usize = 512;

/// Number of fresh tasks of one occurrence of such a step, so that one that can't start leaves room
/// for the others.
const FRESH_TASKS_OF_OCCURRENCE_MAX: usize = 64;

/// Number of fresh units of all steps of a job that a decision looks at.
const FRESH_UNITS_OF_JOB_MAX: usize = 1_024;

/// Number of tasks of a job that have a record and haven't finished. More could make its progress
/// larger than a row of the store. Binds only jobs with several occurrences.
pub const OPEN_TASKS_MAX: u32 = job::TASKS_MAX;

/// What may start of a job at some time. A task is fresh if it has no record and no run.
#[derive(Clone, Debug)]
pub(crate) struct ReadyUnits {
    /// All units that aren't fresh, and the first fresh ones of each step, in ascending order.
    pub units: Vec<PlacementUnit>,
    /// The last fresh unit of each step that has more of them than `units` holds.
    pub window_ends: Vec<PlacementUnit>,
    /// Number of tasks of each step that may start, also beyond `units`.
    pub waiting_tasks: Vec<u64>,
    /// When the next occurrence adds more.
    pub next_due_unix_ms: Option<u64>,
    /// The first of `units` that has a final obstacle.
    pub unstartable: Option<(PlacementUnit, StartObstacle)>,
    /// Number of fresh tasks that may get a record, see [`OPEN_TASKS_MAX`].
    pub fresh_tasks_left: u32,
}

/// Ranks of the tasks that aren't fresh, by step and occurrence.
type BegunRanks = BTreeMap<(u32, u32), BTreeSet<u32>>;

impl ReadyUnits {
    /// Computes the units of `job` that may start at `unix_ms`.
    pub fn compute(job: &OpenJob, unix_ms: u64) -> Self {
        let steps = &job.accepted.spec.steps;
        let mut ready = Self {
            units: Vec::new(),
            window_ends: Vec::new(),
            waiting_tasks: vec![0; steps.len()],
            next_due_unix_ms: None,
            unstartable: None,
            fresh_tasks_left: 0,
        };
        if job.progress.state.is_final() {
            return ready;
        }
        let due_count = job.accepted.spec.due_count(unix_ms);
        ready.next_due_unix_ms = (due_count < job.accepted.spec.occurrence_count())
            .then(|| job.accepted.spec.due_unix_ms(due_count))
            .flatten();
        let Some(last_due) = due_count.checked_sub(1) else {
            return ready;
        };
        let open_tasks = job
            .progress
            .tasks
            .values()
            .filter(|record| record.state != TaskState::Done)
            .count();
        ready.fresh_tasks_left = OPEN_TASKS_MAX.saturating_sub(open_tasks as u32);
        let begun = begun_ranks(job);
        for step in 0..steps.len() as u32 {
            ready.add_step(job, step, 0..=last_due, &begun);
        }
        ready.units.sort_unstable();
        let final_obstacle = |&unit: &PlacementUnit| {
            let obstacle = start_check::unit_obstacle(job, unit)?;
            obstacle.is_final().then_some((unit, obstacle))
        };
        ready.unstartable = ready.units.iter().find_map(final_obstacle);
        ready
    }

    /// Whether tasks may start that `units` doesn't hold.
    pub fn has_more(&self) -> bool {
        let held: u64 = self.units.iter().map(|unit| u64::from(unit.count)).sum();
        self.waiting_tasks.iter().sum::<u64>() > held
    }

    fn add_step(&mut self, job: &OpenJob, step: u32, due: RangeInclusive<u32>, begun: &BegunRanks) {
        let spec = &job.accepted.spec.steps[step as usize];
        let ranges = open_occurrences(job, step, due);
        let count = |range: &RangeInclusive<u32>| u64::from(range.end() - range.start()) + 1;
        let open_count: u64 = ranges.iter().map(count).sum();
        let mut waiting_tasks = open_count.saturating_mul(u64::from(spec.task_count));
        let mut window = FreshWindow::new(job, spec, self.fresh_tasks_left);
        let mut begun_occurrences = BTreeSet::new();
        let of_step = begun.range((step, 0)..=(step, u32::MAX));
        for (&(_, occurrence), ranks) in
            of_step.filter(|((_, occurrence), _)| is_within(&ranges, *occurrence))
        {
            begun_occurrences.insert(occurrence);
            let first = job::TaskIndex {
                occurrence,
                step,
                rank: 0,
            };
            let busy_tasks = match spec.is_gang {
                true => self.add_begun_gang(job, first),
                false => self.add_begun_tasks(job, first, ranks, &mut window),
            };
            waiting_tasks = waiting_tasks.saturating_sub(busy_tasks);
        }
        let mut fresh = ranges
            .into_iter()
            .flatten()
            .filter(|occurrence| !begun_occurrences.contains(occurrence));
        while !window.is_full() {
            let Some(occurrence) = fresh.next() else {
                break;
            };
            self.add_fresh_occurrence(job, occurrence, step, &mut window);
        }
        if window.is_full() || window.is_cut {
            self.window_ends.extend(window.last);
        }
        self.waiting_tasks[step as usize] = waiting_tasks;
    }

    /// Adds a gang that has begun if all of its members wait. Returns the number of tasks that
    /// don't.
    fn add_begun_gang(&mut self, job: &OpenJob, first: job::TaskIndex) -> u64 {
        let unit = job.unit_of(first);
        match unit.members().all(|index| job.is_waiting(index)) {
            true => {
                self.units.push(unit);
                0
            }
            false => u64::from(unit.count),
        }
    }

    /// Adds the tasks of an occurrence that has begun: those of `ranks` that wait, and fresh ones.
    /// Returns the number of tasks that don't wait.
    fn add_begun_tasks(
        &mut self,
        job: &OpenJob,
        first: job::TaskIndex,
        ranks: &BTreeSet<u32>,
        window: &mut FreshWindow,
    ) -> u64 {
        let mut busy_tasks = 0;
        for &rank in ranks {
            let first = job::TaskIndex { rank, ..first };
            match job.is_waiting(first) {
                true => self.units.push(PlacementUnit { first, count: 1 }),
                false => busy_tasks += 1,
            }
        }
        let fresh = (0..job.step(first).task_count).filter(|rank| !ranks.contains(rank));
        self.add_fresh_tasks(first, fresh, window, true);
        busy_tasks
    }

    fn add_fresh_occurrence(
        &mut self,
        job: &OpenJob,
        occurrence: u32,
        step: u32,
        window: &mut FreshWindow,
    ) {
        let first = job::TaskIndex {
            occurrence,
            step,
            rank: 0,
        };
        match job.step(first).is_gang {
            true => {
                let unit = job.unit_of(first);
                window.take(unit);
                self.units.push(unit);
            }
            false => self.add_fresh_tasks(first, 0..job.step(first).task_count, window, false),
        }
    }

    /// Adds the first of `ranks`, as many as the window allows.
    fn add_fresh_tasks(
        &mut self,
        first: job::TaskIndex,
        ranks: impl Iterator<Item = u32>,
        window: &mut FreshWindow,
        has_begun: bool,
    ) {
        let units = ranks.map(|rank| PlacementUnit {
            first: job::TaskIndex { rank, ..first },
            count: 1,
        });
        let limit = window.limit_of_occurrence(has_begun);
        for (number, unit) in units.enumerate() {
            if number >= limit {
                window.is_cut = true;
                break;
            }
            match window.is_apart && has_begun {
                true => window.last = Some(unit),
                false => window.take(unit),
            }
            self.units.push(unit);
        }
    }
}

/// How many fresh units of a step are still to be added.
struct FreshWindow {
    units_left: usize,
    /// Whether one occurrence may be able to start while another can't: each has its own servers, by
    /// a limit of tasks for each server or by advice.
    is_apart: bool,
    /// Whether an occurrence has more fresh tasks than were added.
    is_cut: bool,
    last: Option<PlacementUnit>,
}

impl FreshWindow {
    fn new(job: &OpenJob, spec: &job::StepSpec, fresh_tasks_left: u32) -> Self {
        let is_apart = job.has_apart_occurrences(spec);
        let units_max = match is_apart {
            true => FRESH_UNITS_OF_APART_MAX,
            false => FRESH_UNITS_MAX,
        };
        let of_job = FRESH_UNITS_OF_JOB_MAX / job.accepted.spec.steps.len().max(1);
        let allowed = match spec.is_gang {
            true => fresh_tasks_left / spec.task_count.max(1),
            false => fresh_tasks_left,
        };
        Self {
            units_left: units_max.min(of_job).min(allowed as usize),
            is_apart,
            is_cut: false,
            last: None,
        }
    }

    fn is_full(&self) -> bool {
        self.units_left == 0
    }

    fn limit_of_occurrence(&self, has_begun: bool) -> usize {
        match (self.is_apart, has_begun) {
            (true, true) => FRESH_TASKS_OF_OCCURRENCE_MAX,
            (true, false) => FRESH_TASKS_OF_OCCURRENCE_MAX.min(self.units_left),
            (false, _) => self.units_left,
        }
    }

    fn take(&mut self, unit: PlacementUnit) {
        self.units_left = self.units_left.saturating_sub(1);
        self.last = Some(unit);
    }
}

fn begun_ranks(job: &OpenJob) -> BegunRanks {
    let mut begun = BegunRanks::new();
    for index in job.progress.tasks.keys().chain(job.runs.keys()) {
        let ranks = begun.entry((index.step, index.occurrence)).or_default();
        ranks.insert(index.rank);
    }
    begun
}

/// Whether one of `ranges`, which are in ascending order, contains `occurrence`.
fn is_within(ranges: &[RangeInclusive<u32>], occurrence: u32) -> bool {
    let next = ranges.partition_point(|range| *range.end() < occurrence);
    ranges
        .get(next)
        .is_some_and(|range| range.contains(&occurrence))
}

/// The occurrences of `due` in which a step hasn't finished and all steps that it depends on have,
/// in ascending order.
fn open_occurrences(
    job: &OpenJob,
    step: u32,
    due: RangeInclusive<u32>,
) -> Vec<RangeInclusive<u32>> {
    let finished = &job.progress.finished_steps;
    let mut ranges = vec![due];
    for &dependency in &job.accepted.spec.steps[step as usize].depends_on {
        let within = |range: &RangeInclusive<u32>| finished.within(dependency, range);
        ranges = ranges.iter().flat_map(within).collect();
    }
    let missing = |range: &RangeInclusive<u32>| finished.missing_within(step, range);
    ranges.iter().flat_map(missing).collect()
}
