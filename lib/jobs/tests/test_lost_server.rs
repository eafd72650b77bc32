//! Backend servers that become unreachable or crash without leaving.

use camphorbeam_fleet_model as support;

use camphorbeam_fleet_model::{step, World};
use camphorbeam_jobs::orders::EndKind;
use camphorbeam_jobs::progress::JobState;

/// Longest time from the loss of a server until its tasks start elsewhere: 2 s in which the
/// scheduler still renews the lease of the silent server, the longest lease of 6 s on a clock that
/// is 2% slow (6.13 s), and 0.5 s for the lease margin of 0.3 s (`LEASE_EXPIRY_MARGIN_MS`), the
/// scan and the placement.
const RESTART_LIMIT_MS: u64 = 2_000 + 6_130 + 500;

#[test]
fn test_lost_server_tasks_run_elsewhere_once_its_lease_has_expired() {
    let mut world = World::new(1, 4, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(2, 8, 4_000)]);
    world.run(1_000);
    world.server("s0-0").is_cut = true;
    let on_time = world.run_until(RESTART_LIMIT_MS + 4_000, |world| {
        world.state(&job) == JobState::Completed
    });
    assert!(on_time, "{:?}", world.seen);
    world.assert_no_task_twice();
}

#[test]
fn test_lost_server_that_comes_back_in_time_keeps_its_tasks() {
    let mut world = World::new(1, 4, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(2, 8, 8_000)]);
    world.run(1_000);
    world.server("s0-0").is_cut = true;
    world.run(4_500);
    world.server("s0-0").is_cut = false;
    assert!(world.run_until(4_000, |world| world.state(&job) == JobState::Completed));
    assert_eq!(world.seen.len(), 2, "{:?}", world.seen);
}

#[test]
fn test_lost_server_that_restarts_loses_its_tasks() {
    let mut world = World::new(1, 4, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(2, 8, 4_000)]);
    world.run(1_000);
    world.crash("s0-0");
    assert!(world.run_until(5_000, |world| world.state(&job) == JobState::Completed));
    world.assert_no_task_twice();
}

#[test]
fn test_lost_server_that_restarts_unnoticed_keeps_the_ends_of_its_new_incarnation() {
    let mut world = World::new(1, 1, 0);
    let first = world.submit("j1", support::NORMAL, "b", vec![step(4, 2, 500)]);
    assert!(world.run_until(3_000, |world| world.state(&first) == JobState::Completed));
    world.run(200);
    // The server crashes behind a partition, and a delayed start order reaches its new incarnation.
    let second = world.submit("j2", support::NORMAL, "b", vec![step(1, 2, 500)]);
    world.run(100);
    world.server("s0-0").is_cut = true;
    world.crash("s0-0");
    world.start_again("s0-0", &second);
    world.run(1_000);
    world.server("s0-0").is_cut = false;
    assert!(world.run_until(5_000, |world| world.state(&second) == JobState::Completed));
    world.assert_no_task_twice();
    let runs = world
        .seen
        .iter()
        .filter(|seen| seen.name.task.job == second);
    let done = runs.filter(|seen| seen.end == Some(EndKind::Done)).count();
    assert_eq!(done, 1, "{:?}", world.seen);
}
