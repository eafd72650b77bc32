//! A scheduler takes over from another one.

use camphorbeam_fleet_model as support;

use camphorbeam_fleet_model::{step, World};
use camphorbeam_jobs::progress::JobState;
use rstest::rstest;

#[rstest]
#[case::server_is_still_registered(true)]
#[case::registry_has_dropped_the_server(false)]
fn test_takeover_waits_for_the_leases_of_servers_behind_a_partition(
    #[case] stays_registered: bool,
) {
    let mut world = World::new(2, 2, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(4, 4, 9_000)]);
    world.run(1_000);
    assert!(world.running_on("s0-0") > 0);
    if stays_registered {
        world.register();
    }
    world.server("s0-0").is_cut = true;
    world.server("s0-1").is_cut = true;
    // Registering after the cut drops the unreachable servers from the registry that the first
    // scheduler sees.
    if !stays_registered {
        world.register();
    }
    world.run(3_000);
    world.take_over();
    world.run(30_000);
    assert_eq!(world.state(&job), JobState::Completed);
    world.assert_no_task_twice();
}

#[test]
fn test_takeover_keeps_running_tasks() {
    let mut world = World::new(1, 2, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(4, 4, 5_000)]);
    world.run(2_000);
    world.take_over();
    world.run(4_000);
    assert_eq!(world.state(&job), JobState::Completed);
    assert_eq!(world.seen.len(), 4, "{:?}", world.seen);
}

#[test]
fn test_takeover_reruns_tasks_lost_in_a_crash() {
    let mut world = World::new(1, 2, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(4, 4, 5_000)]);
    world.run(2_000);
    world.crash("s0-0");
    world.take_over();
    assert!(world.run_until(9_000, |world| world.state(&job) == JobState::Completed));
    world.assert_no_task_twice();
}

#[test]
fn test_takeover_stops_a_cancelled_job() {
    let mut world = World::new(1, 2, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(4, 4, 50_000)]);
    world.run(1_000);
    world.take_over();
    world.cancel(&job);
    world.run(1_500);
    assert_eq!(world.state(&job), JobState::Cancelled);
    assert_eq!(world.running_on("s0-0") + world.running_on("s0-1"), 0);
}

#[test]
fn test_takeover_honors_leases_renewed_by_its_predecessor() {
    let mut world = World::new(2, 2, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(4, 4, 5_000)]);
    world.run(2_000);
    world.take_over();
    world.run(support::STEP_MS);
    // The new scheduler sends no holds for 1.5 s. Runs whose leases its predecessor renewed must
    // not count as lost in that time.
    world.is_holding = false;
    world.run(1_500);
    world.is_holding = true;
    world.run(4_000);
    assert_eq!(world.state(&job), JobState::Completed);
    assert_eq!(world.seen.len(), 4, "{:?}", world.seen);
}

#[test]
fn test_takeover_stops_a_cancelled_job_on_a_server_that_registers_later() {
    let mut world = World::new(1, 2, 0);
    let job = world.submit("j1", support::NORMAL, "b", vec![step(4, 4, 50_000)]);
    world.run(1_000);
    world.server("s0-0").is_cut = true;
    world.take_over();
    world.run(500);
    world.cancel(&job);
    world.run(1_000);
    assert_eq!(world.running_on("s0-0"), 2, "the server is unreachable");
    world.server("s0-0").is_cut = false;
    world.register();
    // A stop takes 0.4 s; stop orders without a usable reply are sent again every 0.5 s.
    world.run(1_500);
    assert_eq!(world.running_on("s0-0"), 0);
}
