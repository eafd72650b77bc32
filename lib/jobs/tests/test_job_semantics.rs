//! What a job may rely on: attempts, placement, schedules and long-running tasks.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, Seen, TaskBehavior, World};
use camphorbeam_jobs::orders::EndKind;
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::{id, job};

/// Number of attempts that the simulated queues allow.
const ATTEMPTS_MAX: usize = 3;

fn runs_of_job<'a>(world: &'a World, job: &'a id::JobId) -> impl Iterator<Item = &'a Seen> + 'a {
    world
        .seen
        .iter()
        .filter(move |seen| &seen.name.task.job == job)
}

/// Makes each run of the job fail.
fn make_always_fail(world: &mut World, name: &str) {
    let behavior = TaskBehavior {
        always_fails: true,
        ..TaskBehavior::default()
    };
    world
        .task_behaviors
        .insert(id::JobId::new(name).unwrap(), behavior);
}

#[test]
fn test_job_semantics_gang_attempts_do_not_depend_on_its_width() {
    let mut world = World::new(1, 6, 0);
    make_always_fail(&mut world, "j1");
    let job = world.submit("j1", support::NORMAL, "b", vec![gang(3, 8, 500)]);
    world.run(15_000);
    assert_eq!(world.state(&job), JobState::Failed);
    let runs: BTreeSet<_> = runs_of_job(&world, &job)
        .map(|seen| seen.name.run)
        .collect();
    assert_eq!(runs.len(), ATTEMPTS_MAX);
}

#[test]
fn test_job_semantics_attempt_count_survives_scheduler_takeover() {
    let mut world = World::new(1, 6, 0);
    make_always_fail(&mut world, "j1");
    let job = world.submit("j1", support::NORMAL, "b", vec![step(1, 8, 500)]);
    for _ in 0..12 {
        world.run(700);
        world.take_over();
    }
    world.run(15_000);
    assert_eq!(world.state(&job), JobState::Failed);
    let failed = runs_of_job(&world, &job).filter(|seen| seen.end == Some(EndKind::Failed));
    assert_eq!(failed.count(), ATTEMPTS_MAX);
}

#[test]
fn test_job_semantics_tasks_run_only_on_servers_with_the_required_label() {
    let mut world = World::new(2, 3, 0);
    let labelled = job::StepSpec {
        required_label: Some("r1".into()),
        ..step(30, 2, 500)
    };
    let job = world.submit("j1", support::NORMAL, "b", vec![labelled]);
    assert!(world.run_until(20_000, |world| world.state(&job) == JobState::Completed));
    assert!(runs_of_job(&world, &job).all(|seen| seen.server.starts_with("s1-")));
}

#[test]
fn test_job_semantics_per_server_task_limit_holds() {
    let mut world = World::new(1, 4, 0);
    let spread = job::StepSpec {
        tasks_per_server_max: 2,
        ..step(12, 1, 900)
    };
    let job = world.submit("j1", support::NORMAL, "b", vec![spread]);
    assert!(world.run_until(20_000, |world| world.state(&job) == JobState::Completed));
    let runs: Vec<&Seen> = runs_of_job(&world, &job).collect();
    for run in &runs {
        let concurrent = runs.iter().filter(|other| {
            other.server == run.server
                && other.from_ms <= run.from_ms
                && other.to_ms.is_none_or(|to_ms| to_ms > run.from_ms)
        });
        assert!(concurrent.count() <= 2, "{runs:?}");
    }
}

#[test]
fn test_job_semantics_each_occurrence_starts_once_and_not_before_it_is_due() {
    let mut world = World::new(1, 2, 0);
    let first_unix_ms = world.now_ms + 2_000;
    let schedule = job::Schedule {
        first_unix_ms,
        interval_ms: 3_000,
        occurrences: 3,
    };
    let job = world.submit_scheduled("j1", support::NORMAL, "b", vec![step(2, 1, 500)], schedule);
    world.run(5_000);
    world.take_over();
    assert!(world.run_until(10_000, |world| world.state(&job) == JobState::Completed));
    let mut starts: BTreeMap<u32, usize> = BTreeMap::new();
    for seen in runs_of_job(&world, &job) {
        let occurrence = seen.name.task.index.occurrence;
        let due_ms = first_unix_ms + 3_000 * u64::from(occurrence);
        assert!(seen.from_ms >= due_ms, "{seen:?} is due at {due_ms}");
        *starts.entry(occurrence).or_default() += 1;
    }
    assert_eq!(starts, [(0, 2), (1, 2), (2, 2)].into());
}

#[test]
fn test_job_semantics_long_running_tasks_are_restarted_until_cancelled() {
    let mut world = World::new(1, 3, 0);
    let long_running = job::StepSpec {
        is_long_running: true,
        ..step(2, 8, 1_000)
    };
    let job = world.submit("j1", support::NORMAL, "b", vec![long_running]);
    world.run(1_000);
    world.crash("s0-0");
    world.crash("s0-1");
    world.crash("s0-2");
    world.run(20_000);
    assert_eq!(world.state(&job), JobState::Running);
    assert!(runs_of_job(&world, &job).count() > 4, "{:?}", world.seen);
    world.cancel(&job);
    world.run(2_000);
    assert_eq!(world.state(&job), JobState::Cancelled);
    assert!(runs_of_job(&world, &job).all(|seen| seen.to_ms.is_some()));
}

#[test]
fn test_job_semantics_urgent_work_does_not_preempt_long_running_tasks() {
    let mut world = World::new(1, 2, 16);
    let long_running = job::StepSpec {
        is_long_running: true,
        disrupted_tasks_max: 0,
        ..step(1, 8, 60_000)
    };
    let job = world.submit("j1", support::BATCH, "b", vec![long_running]);
    world.run(1_000);
    world.submit("urgent", support::URGENT, "a", vec![gang(2, 8, 1_000)]);
    world.run(5_000);
    assert!(runs_of_job(&world, &job).all(|seen| seen.to_ms.is_none()));
}
