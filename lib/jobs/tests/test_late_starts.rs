//! Start orders without a reply, and servers that start anew: for how long their tasks wait, and that
//! none runs twice. Each test names the failure it guards against.

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, Simulation, STEP_MS};
use camphorbeam_model::{id, job};
use rstest::rstest;

/// Time for which the platform allows a long-running task to have no run on a calm service. Counted
/// from when the server is back, since there is no evidence before.
const RESTART_MAX_MS: u64 = 3_000;

/// The longest time after which an order without a reply can still be carried out.
const ORDER_DELAY_MAX_MS: u64 = 14_000;

fn lasting(step: job::StepSpec) -> job::StepSpec {
    job::StepSpec {
        is_long_running: true,
        ..step
    }
}

/// A job that is submitted as `s0-0` goes down for `down_ms`, so that starts there get no reply.
/// Returns the simulation when the server is back.
fn sim_with_lost_starts(steps: Vec<job::StepSpec>, down_ms: u64) -> (Simulation, id::JobId) {
    let mut sim = Simulation::new(1, 4, 0);
    sim.hold_interval_ms = 500;
    sim.run(1_000);
    let job = sim.submit("j1", support::NORMAL, "a", steps);
    sim.let_stay("j1");
    sim.server("s0-0").is_unreachable = true;
    sim.crash("s0-0");
    sim.run(down_ms);
    sim.server("s0-0").is_unreachable = false;
    (sim, job)
}

fn open_runs(sim: &Simulation) -> usize {
    sim.open_runs("j1").count()
}

/// Guards against review/13: a task waited 14 s for a start that its restarted server would refuse.
#[rstest]
fn test_task_of_a_start_without_a_reply_runs_soon_after_its_server_is_back(
    #[values(false, true)] is_gang: bool,
    #[values(800, 1_500, 2_500, 3_500, 5_500)] down_ms: u64,
) {
    let step = match is_gang {
        true => gang(24, 1, 1_000),
        false => step(24, 1, 1_000),
    };
    let (mut sim, _) = sim_with_lost_starts(vec![lasting(step)], down_ms);
    assert!(
        sim.run_until(RESTART_MAX_MS, |sim| open_runs(sim) == 24),
        "{} of 24 tasks run",
        open_runs(&sim)
    );
    sim.assert_no_duplicate_runs();
}

/// Guards against a stop that is lost and never sent again, so that only time ends the wait.
#[test]
fn test_lost_stop_of_a_late_start_is_sent_again() {
    let (mut sim, _) = sim_with_lost_starts(vec![lasting(step(24, 1, 1_000))], 3_000);
    // The hold that names the new life is answered, what follows is not.
    while sim.now_ms % sim.hold_interval_ms != 0 {
        sim.run(STEP_MS);
    }
    sim.server("s0-0").is_unreachable = true;
    sim.run(1_000);
    sim.server("s0-0").is_unreachable = false;
    assert!(sim.run_until(RESTART_MAX_MS, |sim| open_runs(sim) == 24));
    sim.assert_no_duplicate_runs();
}

/// Guards against two runs of a task: the order is carried out by the life that comes next, or by the
/// one after it, while the task runs again.
#[rstest]
fn test_late_start_in_a_new_life_runs_no_task_twice(
    #[values(1, 2, 8)] lives: u32,
    #[values(0, 50, 400, 900, 2_500)] up_ms: u64,
    #[values(0, 3_000)] cut_ms: u64,
) {
    for shift in 1..=30 {
        let mut sim = Simulation::new(1, 4, 0);
        sim.hold_interval_ms = 200;
        sim.delayed_starts_outlive_servers = true;
        // Each start takes a random number, so that the delays differ.
        sim.submit("j0", support::NORMAL, "a", vec![step(shift, 1, 500)]);
        sim.run(3_000);
        sim.delayed_start_ratio = 0.5;
        sim.submit(
            "j1",
            support::NORMAL,
            "a",
            vec![lasting(step(12, 1, 1_000)), step(12, 1, 3_000)],
        );
        sim.run(4 * STEP_MS);
        sim.delayed_start_ratio = 0.0;
        sim.server("s0-0").is_unreachable = cut_ms > 0;
        sim.run(cut_ms);
        sim.server("s0-0").is_unreachable = false;
        for _ in 0..lives {
            sim.crash("s0-0");
            sim.run(up_ms + STEP_MS);
        }
        sim.run(2 * ORDER_DELAY_MAX_MS);
        sim.assert_no_duplicate_runs();
    }
}

/// A server that never comes back holds up its tasks no longer than its orders may be late.
#[test]
fn test_task_of_a_start_without_a_reply_runs_though_its_server_is_lost() {
    let (mut sim, _) = sim_with_lost_starts(vec![lasting(step(24, 1, 1_000))], 0);
    sim.server("s0-0").is_unreachable = true;
    assert!(sim.run_until(ORDER_DELAY_MAX_MS, |sim| open_runs(sim) == 24));
    sim.assert_no_duplicate_runs();
}
