//! What a job may rely on: attempts, placement, schedules and long-running tasks.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, RunRecord, Simulation, TaskBehavior};
use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::orders::EndKind;
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::{id, job};

/// Number of attempts that the simulated queues allow.
const ATTEMPTS_MAX: usize = 3;

fn runs_of_job<'a>(
    sim: &'a Simulation,
    job: &'a id::JobId,
) -> impl Iterator<Item = &'a RunRecord> + 'a {
    sim.run_records
        .iter()
        .filter(move |record| &record.name.task.job == job)
}

/// Makes each run of the job fail.
fn make_always_fail(sim: &mut Simulation, name: &str) {
    let behavior = TaskBehavior {
        always_fails: true,
        ..TaskBehavior::default()
    };
    sim.task_behaviors
        .insert(id::JobId::new(name).unwrap(), behavior);
}

#[test]
fn test_job_semantics_gang_attempts_do_not_depend_on_its_width() {
    let mut sim = Simulation::new(1, 6, 0);
    make_always_fail(&mut sim, "j1");
    let job = sim.submit("j1", support::NORMAL, "b", vec![gang(3, 8, 500)]);
    sim.run(15_000);
    assert_eq!(sim.state(&job), JobState::Failed);
    let runs: BTreeSet<_> = runs_of_job(&sim, &job)
        .map(|record| record.name.run)
        .collect();
    assert_eq!(runs.len(), ATTEMPTS_MAX);
}

/// A wide gang may have members on several faulty servers, each of which reports a failure of the
/// same run.
#[test]
fn test_job_semantics_run_that_fails_on_several_servers_counts_as_one_attempt() {
    let mut sim = Simulation::new(1, 3, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![gang(3, 8, 1_000)]);
    sim.run(500);
    for name in ["s0-0", "s0-1", "s0-2"] {
        sim.server(name).fails_all = true;
    }
    sim.run(100);
    for name in ["s0-0", "s0-1", "s0-2"] {
        sim.server(name).fails_all = false;
    }
    sim.run(10_000);
    assert_eq!(sim.state(&job), JobState::Completed);
}

#[test]
fn test_job_semantics_run_that_fails_on_several_servers_counts_once_after_a_takeover() {
    let mut sim = Simulation::new(1, 3, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![gang(3, 8, 1_000)]);
    sim.run(500);
    sim.server("s0-1").is_unreachable = true;
    sim.server("s0-2").is_unreachable = true;
    for name in ["s0-0", "s0-1", "s0-2"] {
        sim.server(name).fails_all = true;
    }
    sim.run(100);
    sim.take_over();
    for name in ["s0-0", "s0-1", "s0-2"] {
        sim.server(name).fails_all = false;
        sim.server(name).is_unreachable = false;
    }
    sim.register();
    sim.run(15_000);
    assert_eq!(sim.state(&job), JobState::Completed);
}

#[test]
fn test_job_semantics_attempt_count_survives_scheduler_takeover() {
    let mut sim = Simulation::new(1, 6, 0);
    make_always_fail(&mut sim, "j1");
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(1, 8, 500)]);
    for _ in 0..12 {
        sim.run(700);
        sim.take_over();
    }
    sim.run(15_000);
    assert_eq!(sim.state(&job), JobState::Failed);
    let failed = runs_of_job(&sim, &job).filter(|record| record.end == Some(EndKind::Failed));
    assert_eq!(failed.count(), ATTEMPTS_MAX);
}

#[test]
fn test_job_semantics_tasks_run_only_on_servers_with_the_required_label() {
    let mut sim = Simulation::new(2, 3, 0);
    let labelled = job::StepSpec {
        required_label: Some("r1".into()),
        ..step(30, 2, 500)
    };
    let job = sim.submit("j1", support::NORMAL, "b", vec![labelled]);
    assert!(sim.run_until(20_000, |sim| sim.state(&job) == JobState::Completed));
    assert!(runs_of_job(&sim, &job).all(|record| record.server.starts_with("s1-")));
}

#[test]
fn test_job_semantics_per_server_task_limit_holds() {
    let mut sim = Simulation::new(1, 4, 0);
    let spread = job::StepSpec {
        tasks_per_server_max: 2,
        ..step(12, 1, 900)
    };
    let job = sim.submit("j1", support::NORMAL, "b", vec![spread]);
    assert!(sim.run_until(20_000, |sim| sim.state(&job) == JobState::Completed));
    let runs: Vec<&RunRecord> = runs_of_job(&sim, &job).collect();
    for run in &runs {
        let concurrent = runs.iter().filter(|other| {
            other.server == run.server
                && other.started_at_ms <= run.started_at_ms
                && other
                    .ended_at_ms
                    .is_none_or(|ended_at_ms| ended_at_ms > run.started_at_ms)
        });
        assert!(concurrent.count() <= 2, "{runs:?}");
    }
}

#[test]
fn test_job_semantics_each_occurrence_starts_once_and_not_before_it_is_due() {
    let mut sim = Simulation::new(1, 2, 0);
    let first_unix_ms = sim.now_ms + 2_000;
    let schedule = job::Schedule {
        first_unix_ms,
        interval_ms: 3_000,
        occurrences: 3,
    };
    let job = sim.submit_scheduled("j1", support::NORMAL, "b", vec![step(2, 1, 500)], schedule);
    sim.run(5_000);
    sim.take_over();
    assert!(sim.run_until(10_000, |sim| sim.state(&job) == JobState::Completed));
    let mut starts: BTreeMap<u32, usize> = BTreeMap::new();
    for record in runs_of_job(&sim, &job) {
        let occurrence = record.name.task.index.occurrence;
        let due_ms = first_unix_ms + 3_000 * u64::from(occurrence);
        assert!(
            record.started_at_ms >= due_ms,
            "{record:?} is due at {due_ms}"
        );
        *starts.entry(occurrence).or_default() += 1;
    }
    assert_eq!(starts, [(0, 2), (1, 2), (2, 2)].into());
}

#[test]
fn test_job_semantics_long_running_tasks_are_restarted_until_cancelled() {
    let mut sim = Simulation::new(1, 3, 0);
    let long_running = job::StepSpec {
        is_long_running: true,
        ..step(2, 8, 1_000)
    };
    let job = sim.submit("j1", support::NORMAL, "b", vec![long_running]);
    sim.run(1_000);
    sim.crash("s0-0");
    sim.crash("s0-1");
    sim.crash("s0-2");
    sim.run(20_000);
    assert_eq!(sim.state(&job), JobState::Running);
    assert!(runs_of_job(&sim, &job).count() > 4, "{:?}", sim.run_records);
    sim.cancel(&job);
    sim.run(2_000);
    assert_eq!(sim.state(&job), JobState::Cancelled);
    assert!(runs_of_job(&sim, &job).all(|record| record.ended_at_ms.is_some()));
}

#[test]
fn test_job_semantics_urgent_work_does_not_preempt_long_running_tasks() {
    let mut sim = Simulation::new(1, 2, 16);
    let long_running = job::StepSpec {
        is_long_running: true,
        disrupted_tasks_max: 0,
        ..step(1, 8, 60_000)
    };
    let job = sim.submit("j1", support::BATCH, "b", vec![long_running]);
    sim.run(1_000);
    sim.submit("urgent", support::URGENT, "a", vec![gang(2, 8, 1_000)]);
    sim.run(5_000);
    assert!(runs_of_job(&sim, &job).all(|record| record.ended_at_ms.is_none()));
}

// Guards against one job whose starts every server refuses, and that takes server after server out
// of use.
#[test]
fn test_refused_job_does_not_close_the_servers_that_refuse_it() {
    let mut sim = Simulation::new(1, 4, 0);
    let id = id::JobId::new("refused").unwrap();
    sim.task_behaviors.entry(id).or_default().is_refused = true;
    sim.submit("refused", support::NORMAL, "b", vec![step(1, 1, 1_000)]);
    sim.run(10_000);
    let placed = |event: &&(u64, Event)| matches!(&event.1, Event::Placed { job, .. } if job.as_str() == "refused");
    let starts = sim.events.iter().filter(placed).count();
    assert!(starts <= 8, "{starts} starts");
    let sound = sim.submit("sound", support::NORMAL, "b", vec![step(4, 8, 1_000)]);
    assert!(sim.run_until(3_000, |sim| sim.state(&sound) == JobState::Completed));
}
