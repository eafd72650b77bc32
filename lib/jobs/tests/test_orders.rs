//! Start orders whose replies are lost.

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{step, World};
use camphorbeam_jobs::progress::JobState;

#[test]
fn test_orders_resent_after_the_end_do_not_rerun_the_task() {
    let mut world = World::new(1, 1, 0);
    world.server("s0-0").loses_start_answers = true;
    let job = world.submit("j1", support::NORMAL, "b", vec![step(1, 1, 400)]);
    // Without holds, the scheduler doesn't learn of the end and sends the order again.
    world.is_holding = false;
    world.run(1_400);
    world.is_holding = true;
    world.run(1_000);
    assert_eq!(world.state(&job), JobState::Completed);
    assert_eq!(world.seen.len(), 1, "{:?}", world.seen);
}

#[test]
fn test_orders_without_a_reply_are_recovered_from_the_running_list() {
    let mut world = World::new(1, 2, 0);
    world.server("s0-0").loses_start_answers = true;
    world.server("s0-1").loses_start_answers = true;
    let job = world.submit("j1", support::NORMAL, "b", vec![step(4, 4, 3_000)]);
    world.run(4_500);
    assert_eq!(world.state(&job), JobState::Completed);
    assert_eq!(world.seen.len(), 4, "{:?}", world.seen);
}
