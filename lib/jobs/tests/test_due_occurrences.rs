//! Jobs with many due occurrences: the cost of a decision, of a takeover and of the stored progress
//! follows what can start, not what is due.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, RunRecord, Simulation};
use camphorbeam_jobs::open_job::{OpenJob, PlacementUnit};
use camphorbeam_jobs::orders::EndKind;
use camphorbeam_jobs::progress::{JobState, Progress, TaskRecord, TaskState};
use camphorbeam_jobs::ready_units::OPEN_TASKS_MAX;
use camphorbeam_model::{id, job};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// The scheduler decides at least every 100 ms.
const DECISION_TIME_MAX: Duration = Duration::from_millis(100);

/// Size limit of a row in the store, in bytes; set by the platform.
const ROW_MAX_BYTES: usize = 65_536;

/// More accelerators than any simulated server has.
const UNAVAILABLE_ACCELERATORS: u64 = 64;

/// A schedule of which all occurrences are due at the start of the simulation.
fn all_due(occurrences: u32) -> job::Schedule {
    job::Schedule {
        first_unix_ms: 0,
        interval_ms: 0,
        occurrences,
    }
}

fn row_bytes(progress: &Progress) -> usize {
    serde_json::to_string(progress).unwrap().len()
}

fn ends_of<'a>(sim: &'a Simulation, job: &'a id::JobId) -> impl Iterator<Item = &'a RunRecord> {
    sim.run_records
        .iter()
        .filter(move |record| &record.name.task.job == job && record.end == Some(EndKind::Done))
}

/// Guards against review/11: a job whose due occurrences can't start made each decision as long as
/// their number, so that no job of any account was started.
#[rstest]
#[case::single_tasks(vec![step(1, UNAVAILABLE_ACCELERATORS, 500)], 2_000_000)]
#[case::gangs(vec![gang(2, UNAVAILABLE_ACCELERATORS, 500)], 2_000_000)]
#[case::wide_steps(vec![step(1_000, UNAVAILABLE_ACCELERATORS, 500)], 10_000)]
#[case::many_steps(vec![step(15, UNAVAILABLE_ACCELERATORS, 500); 64], 100_000)]
#[case::largest_count(vec![step(1_000, UNAVAILABLE_ACCELERATORS, 500)], u32::MAX)]
fn test_due_occurrences_that_cannot_start_hold_up_no_other_job(
    #[case] steps: Vec<job::StepSpec>,
    #[case] occurrences: u32,
) {
    let mut sim = Simulation::new(2, 4, 0);
    for account in ["a", "b", "c"] {
        let name = format!("past-{account}");
        sim.submit_scheduled(
            &name,
            support::NORMAL,
            account,
            steps.clone(),
            all_due(occurrences),
        );
    }
    sim.run(1_000);
    let others: Vec<_> = (0..8)
        .map(|number| {
            let queue = [support::URGENT, support::NORMAL][number % 2];
            sim.submit(
                &format!("other-{number}"),
                queue,
                "d",
                vec![step(2, 4, 500)],
            )
        })
        .collect();
    assert!(sim.run_until(5_000, |sim| others
        .iter()
        .all(|job| sim.state(job) == JobState::Completed)));
    sim.take_over();
    sim.run(1_000);
    let longest = sim.decision_times.longest;
    assert!(longest < DECISION_TIME_MAX, "{longest:?}");
}

/// Guards against a job that starves itself: its first step can't start in any occurrence, its second
/// one can.
#[test]
fn test_due_occurrences_of_a_step_that_cannot_start_hold_up_no_other_step() {
    let mut sim = Simulation::new(1, 4, 0);
    let steps = vec![step(1, UNAVAILABLE_ACCELERATORS, 500), step(1, 8, 500)];
    let job = sim.submit_scheduled("j1", support::NORMAL, "a", steps, all_due(1_000_000));
    sim.run(10_000);
    let ends = ends_of(&sim, &job).count();
    assert!(ends > 4 * 10, "{ends} tasks have finished");
}

/// Guards against a row that outgrows the store's limit with the number of finished occurrences, and
/// against occurrences that run twice or never after a takeover.
#[test]
fn test_due_occurrences_run_in_order_and_once_with_small_rows_over_takeovers() {
    let mut sim = Simulation::new(2, 6, 0);
    let steps = vec![
        step(2, 1, 100),
        job::StepSpec {
            depends_on: vec![0],
            ..step(1, 1, 100)
        },
    ];
    let job = sim.submit_scheduled("j1", support::NORMAL, "a", steps, all_due(1_000_000));
    let other = sim.submit("j2", support::NORMAL, "b", vec![step(4, 2, 500)]);
    for _ in 0..4 {
        sim.run(10_000);
        sim.take_over();
    }
    assert_eq!(sim.state(&other), JobState::Completed);
    let mut done: BTreeMap<job::TaskIndex, usize> = BTreeMap::new();
    for record in ends_of(&sim, &job) {
        *done.entry(record.name.task.index).or_default() += 1;
    }
    assert!(done.len() > 5_000, "{} tasks have finished", done.len());
    assert!(done.values().all(|ends| *ends == 1));
    let last = done.keys().map(|index| index.occurrence).max().unwrap();
    assert!(
        done.len() as u32 > 2 * last,
        "gaps: {} of {last}",
        done.len()
    );
    let progress = &sim.engine.job(&job).unwrap().progress;
    assert!(
        row_bytes(progress) < ROW_MAX_BYTES,
        "{}",
        row_bytes(progress)
    );
    assert!(sim.decision_times.longest < DECISION_TIME_MAX);
}

#[test]
fn test_due_occurrences_of_a_job_all_complete() {
    let mut sim = Simulation::new(1, 4, 0);
    let steps = vec![
        gang(2, 2, 100),
        job::StepSpec {
            depends_on: vec![0],
            ..step(3, 1, 100)
        },
    ];
    let job = sim.submit_scheduled("j1", support::NORMAL, "a", steps, all_due(400));
    assert!(sim.run_until(60_000, |sim| sim.state(&job) == JobState::Completed));
    assert_eq!(sim.engine.jobs().count(), 0);
}

/// Guards against an occurrence whose tasks can't start, since its limit for each server is reached,
/// in front of occurrences that can.
#[test]
fn test_due_occurrences_behind_one_at_its_limit_for_each_server_start() {
    let mut sim = Simulation::new(1, 4, 0);
    let lasting = job::StepSpec {
        is_long_running: true,
        tasks_per_server_max: 1,
        ..step(200, 1, 1_000)
    };
    sim.submit_scheduled("j1", support::NORMAL, "a", vec![lasting], all_due(100_000));
    sim.let_stay("j1");
    sim.run(5_000);
    let running = sim.open_runs("j1").count();
    assert_eq!(running, 4 * 8);
}

/// Guards against progress that outgrows a row because many occurrences run at the same time.
#[test]
fn test_due_occurrences_that_run_at_once_fit_in_a_row() {
    let mut sim = Simulation::new(40, 10, 0);
    let small = job::StepSpec {
        need: job::Resources {
            cpu_millicores: 100,
            memory_mb: 10,
            accelerators: 0,
        },
        ..step(3, 0, 60_000)
    };
    let job = sim.submit_scheduled("j1", support::NORMAL, "a", vec![small], all_due(100_000));
    sim.run(10_000);
    let running = sim.open_runs("j1").count();
    assert_eq!(running, OPEN_TASKS_MAX as usize);
    let progress = &sim.engine.job(&job).unwrap().progress;
    assert!(
        row_bytes(progress) < ROW_MAX_BYTES,
        "{}",
        row_bytes(progress)
    );
}

/// Sums and products of the largest counts and times must not overflow.
#[rstest]
#[case(0, 0, u32::MAX)]
#[case(0, u64::MAX, u32::MAX)]
#[case(u64::MAX, u64::MAX, u32::MAX)]
#[case(0, 1, u32::MAX)]
#[case(1, u64::MAX / 2, 3)]
fn test_due_occurrences_by_the_largest_numbers(
    #[case] first_unix_ms: u64,
    #[case] interval_ms: u64,
    #[case] occurrences: u32,
) {
    let schedule = job::Schedule {
        first_unix_ms,
        interval_ms,
        occurrences,
    };
    let needs = job::Resources {
        cpu_millicores: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
    };
    let mut sim = Simulation::new(1, 2, 300);
    for queue in [support::URGENT, support::NORMAL] {
        let steps = vec![
            step(500, 1, u64::MAX),
            job::StepSpec {
                need: needs,
                ..gang(500, 1, u64::MAX)
            },
        ];
        sim.submit_scheduled(&format!("j-{queue}"), queue, "a", steps, schedule);
    }
    sim.run(1_000);
    sim.take_over();
    sim.run(1_000);
    for unix_ms in [0, 1, u64::MAX - 1] {
        let due_count = schedule.due_count(unix_ms);
        assert!(due_count <= occurrences);
        let is_due = |occurrence: u32| schedule.due_unix_ms(occurrence) <= unix_ms;
        assert!(due_count == 0 || is_due(due_count - 1));
        assert!(due_count == occurrences || !is_due(due_count));
    }
}

/// The ready units by the definition, one by one.
fn expected_units(job: &OpenJob, unix_ms: u64) -> BTreeSet<PlacementUnit> {
    let spec = &job.accepted.spec;
    let due = (0..spec.occurrence_count()).filter(|occurrence| {
        spec.due_unix_ms(*occurrence)
            .is_none_or(|due| due <= unix_ms)
    });
    let mut units = BTreeSet::new();
    for occurrence in due {
        for (step, step_spec) in (0_u32..).zip(&spec.steps) {
            let mut dependencies = step_spec.depends_on.iter();
            if !dependencies.all(|dependency| job.is_step_finished(occurrence, *dependency)) {
                continue;
            }
            let units_of_step = (0..step_spec.task_count).map(|rank| {
                job.unit_of(job::TaskIndex {
                    occurrence,
                    step,
                    rank,
                })
            });
            let is_waiting = |index| job.progress.task_state(index) == TaskState::Waiting;
            units.extend(units_of_step.filter(|unit| unit.members().all(is_waiting)));
        }
    }
    units
}

fn random_job(rng: &mut ChaCha8Rng) -> OpenJob {
    let steps: Vec<_> = (0..rng.random_range(1..4_u32))
        .map(|number| job::StepSpec {
            is_gang: rng.random_bool(0.3),
            depends_on: (0..number).filter(|_| rng.random_bool(0.4)).collect(),
            tasks_per_server_max: rng.random_range(0..2),
            ..step(rng.random_range(1..4), 1, 100)
        })
        .collect();
    let mut sim = Simulation::new(1, 1, 0);
    let schedule = job::Schedule {
        first_unix_ms: sim.now_ms,
        interval_ms: rng.random_range(0..3),
        occurrences: rng.random_range(1..30),
    };
    let id = sim.submit_scheduled("j1", support::NORMAL, "a", steps, schedule);
    let mut job = sim.engine.job(&id).unwrap().clone();
    let steps = job.accepted.spec.steps.clone();
    for occurrence in 0..schedule.occurrences {
        for (step, spec) in (0_u32..).zip(&steps) {
            if rng.random_bool(0.4) {
                job.progress.finish_step(occurrence, step);
            }
            for rank in 0..spec.task_count {
                let index = job::TaskIndex {
                    occurrence,
                    step,
                    rank,
                };
                if rng.random_bool(0.3) && !job.is_step_finished(occurrence, step) {
                    let states = [TaskState::Waiting, TaskState::Started, TaskState::Done];
                    let record = TaskRecord {
                        state: states[rng.random_range(0..3)],
                        ..TaskRecord::default()
                    };
                    job.progress.tasks.insert(index, record);
                }
            }
        }
    }
    job.mark_changed();
    job
}

/// The units of a small job are those of the definition, whatever has finished or runs.
#[test]
fn test_due_occurrences_of_small_jobs_are_ready_as_defined() {
    let mut rng = ChaCha8Rng::seed_from_u64(62);
    for _ in 0..500 {
        let mut job = random_job(&mut rng);
        let schedule = job.accepted.spec.schedule.unwrap();
        for after_ms in [0, 1, 20, 100] {
            let unix_ms = schedule.first_unix_ms + after_ms;
            let expected = expected_units(&job, unix_ms);
            let units: BTreeSet<_> = job.ready_units(unix_ms).iter().copied().collect();
            assert_eq!(units, expected, "{:?}", job.progress);
        }
        let is_finished = |occurrence| {
            let mut steps = 0..job.accepted.spec.steps.len() as u32;
            steps.all(|step| job.is_step_finished(occurrence, step))
        };
        let are_finished = (0..schedule.occurrences).all(is_finished);
        assert_eq!(job.has_finished_all_steps(), are_finished);
    }
}
