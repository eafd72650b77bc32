//! Start orders whose replies are lost.

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{step, Simulation};
use camphorbeam_jobs::progress::JobState;

#[test]
fn test_orders_resent_after_the_end_do_not_rerun_the_task() {
    let mut sim = Simulation::new(1, 1, 0);
    sim.server("s0-0").loses_start_replies = true;
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(1, 1, 400)]);
    // Without holds, the scheduler doesn't learn of the end and sends the order again.
    sim.sends_holds = false;
    sim.run(1_400);
    sim.sends_holds = true;
    sim.run(1_000);
    assert_eq!(sim.state(&job), JobState::Completed);
    assert_eq!(sim.run_records.len(), 1, "{:?}", sim.run_records);
}

#[test]
fn test_orders_without_a_reply_are_recovered_from_the_running_list() {
    let mut sim = Simulation::new(1, 2, 0);
    sim.server("s0-0").loses_start_replies = true;
    sim.server("s0-1").loses_start_replies = true;
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(4, 4, 3_000)]);
    sim.run(4_500);
    assert_eq!(sim.state(&job), JobState::Completed);
    assert_eq!(sim.run_records.len(), 4, "{:?}", sim.run_records);
}

/// Guards against a task that waits for the lease of its server although its start was never sent.
#[test]
fn test_run_whose_start_was_not_sent_is_placed_elsewhere_at_once() {
    let mut sim = Simulation::new(1, 2, 0);
    sim.refuses_connections.insert("s0-0".to_owned());
    sim.refuses_connections.insert("s0-1".to_owned());
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(1, 1, 1_000)]);
    sim.run(100);
    assert!(sim.run_records.is_empty());
    sim.refuses_connections.clear();
    sim.run(1_500);
    assert_eq!(sim.state(&job), JobState::Completed);
    assert_eq!(sim.run_records.len(), 1, "{:?}", sim.run_records);
}
