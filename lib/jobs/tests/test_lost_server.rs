//! Backend servers that become unreachable or crash without leaving.

use camphorbeam_fleet_model as support;

use camphorbeam_fleet_model::{step, Simulation};
use camphorbeam_jobs::orders::EndKind;
use camphorbeam_jobs::progress::JobState;

/// Longest time from the loss of a server until its tasks start elsewhere: 2 s in which the
/// scheduler still renews the lease of the silent server, the longest lease of 6 s on a clock that
/// is 2% slow (6.13 s), and 0.5 s for the lease margin of 0.3 s (`LEASE_EXPIRY_MARGIN_MS`), the
/// scan and the placement.
const RESTART_LIMIT_MS: u64 = 2_000 + 6_130 + 500;

#[test]
fn test_lost_server_tasks_run_elsewhere_once_its_lease_has_expired() {
    let mut sim = Simulation::new(1, 4, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(2, 8, 4_000)]);
    sim.run(1_000);
    sim.server("s0-0").is_unreachable = true;
    let on_time = sim.run_until(RESTART_LIMIT_MS + 4_000, |sim| {
        sim.state(&job) == JobState::Completed
    });
    assert!(on_time, "{:?}", sim.run_records);
    sim.assert_no_duplicate_runs();
}

#[test]
fn test_lost_server_that_comes_back_in_time_keeps_its_tasks() {
    let mut sim = Simulation::new(1, 4, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(2, 8, 8_000)]);
    sim.run(1_000);
    sim.server("s0-0").is_unreachable = true;
    sim.run(4_500);
    sim.server("s0-0").is_unreachable = false;
    assert!(sim.run_until(4_000, |sim| sim.state(&job) == JobState::Completed));
    assert_eq!(sim.run_records.len(), 2, "{:?}", sim.run_records);
}

#[test]
fn test_lost_server_that_restarts_has_its_tasks_rerun() {
    let mut sim = Simulation::new(1, 4, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(2, 8, 4_000)]);
    sim.run(1_000);
    sim.crash("s0-0");
    assert!(sim.run_until(5_000, |sim| sim.state(&job) == JobState::Completed));
    sim.assert_no_duplicate_runs();
}

#[test]
fn test_lost_server_that_restarts_unnoticed_keeps_the_ends_of_its_new_incarnation() {
    let mut sim = Simulation::new(1, 1, 0);
    let first = sim.submit("j1", support::NORMAL, "b", vec![step(4, 2, 500)]);
    assert!(sim.run_until(3_000, |sim| sim.state(&first) == JobState::Completed));
    sim.run(200);
    // The server crashes behind a partition, and a delayed start order reaches its new incarnation.
    let second = sim.submit("j2", support::NORMAL, "b", vec![step(1, 2, 500)]);
    sim.run(100);
    sim.server("s0-0").is_unreachable = true;
    sim.crash("s0-0");
    sim.redeliver_starts("s0-0", &second);
    sim.run(1_000);
    sim.server("s0-0").is_unreachable = false;
    assert!(sim.run_until(5_000, |sim| sim.state(&second) == JobState::Completed));
    sim.assert_no_duplicate_runs();
    let runs = sim
        .run_records
        .iter()
        .filter(|record| record.name.task.job == second);
    let done = runs
        .filter(|record| record.end == Some(EndKind::Done))
        .count();
    assert_eq!(done, 1, "{:?}", sim.run_records);
}
