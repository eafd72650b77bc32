//! Backend servers that crash, and tasks that crash the servers that start them.

use camphorbeam_fleet_model as support;

use camphorbeam_fleet_model::crashes::{CrashTrigger, RESTART_MS};
use camphorbeam_fleet_model::{step, Simulation};
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::id;

/// Time for a hold, a decision and a start after a server is known to be back.
const RESTART_MARGIN_MS: u64 = 500;

/// Submits jobs that take about half of the fleet for a minute.
fn submit_background(sim: &mut Simulation, jobs: usize) -> Vec<id::JobId> {
    let submit = |number| {
        let steps = vec![step(4, 2, 6_000)];
        sim.submit(&format!("background-{number}"), support::NORMAL, "b", steps)
    };
    (0..jobs).map(submit).collect()
}

// Guards against a task that crashes one server after the other for as long as its job exists.
#[test]
fn test_crashes_deadly_task_is_given_up_within_its_budget() {
    let mut sim = Simulation::new(4, 4, 0);
    let others = submit_background(&mut sim, 12);
    sim.make_deadly("deadly", CrashTrigger::default());
    let deadly = sim.submit("deadly", support::NORMAL, "b", vec![step(1, 1, 6_000)]);
    sim.run(60_000);
    sim.assert_crash_budget();
    assert_eq!(sim.state(&deadly), JobState::Failed);
    for job in others {
        assert_eq!(sim.state(&job), JobState::Completed);
    }
    sim.assert_no_duplicate_runs();
}

// Guards against runs that wait for a lease although another server replies at the address.
#[test]
fn test_crashes_replaced_server_has_its_tasks_rerun_at_once() {
    let mut sim = Simulation::new(1, 4, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(2, 8, 4_000)]);
    sim.run(1_000);
    let server = sim.run_records[0].server.clone();
    sim.crash_for_good_or(&server, Some(RESTART_MS));
    let limit_ms = RESTART_MS + RESTART_MARGIN_MS + 4_000;
    assert!(sim.run_until(limit_ms, |sim| sim.state(&job) == JobState::Completed));
    sim.assert_no_duplicate_runs();
}
