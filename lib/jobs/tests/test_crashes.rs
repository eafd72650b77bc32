//! Backend servers that crash, and tasks that crash the servers that start them.

use camphorbeam_fleet_model as support;

use camphorbeam_fleet_model::crashes::{CrashTrigger, RESTART_MS};
use camphorbeam_fleet_model::{step, Simulation};
use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::id;
use rstest::rstest;

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

/// Time after which all leases of a silent server have expired, with a margin.
const LAPSE_MS: u64 = 10_000;

fn crash_events(sim: &Simulation, is_wanted: fn(&Event) -> bool) -> usize {
    let events = sim.events.iter().filter(|(_, event)| is_wanted(event));
    events.count()
}

// Guards against a successor that waits for the lease of a server that has crashed before the
// takeover, because it doesn't know the server's address.
#[test]
fn test_crashes_before_a_takeover_are_proven_to_the_successor() {
    let mut sim = Simulation::new(2, 4, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(2, 8, 4_000)]);
    sim.run(1_000);
    let server = sim.run_records[0].server.clone();
    sim.crash_for_good_or(&server, Some(RESTART_MS));
    sim.run(500);
    sim.take_over();
    let limit_ms = RESTART_MS + RESTART_MARGIN_MS + 4_000;
    assert!(sim.run_until(limit_ms, |sim| sim.state(&job) == JobState::Completed));
    sim.assert_no_duplicate_runs();
}

// Guards against a cut link that counts as a crash of the servers behind it.
#[test]
fn test_crashes_are_withdrawn_when_the_server_was_only_out_of_reach() {
    let mut sim = Simulation::new(2, 4, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(1, 8, 60_000)]);
    for _ in 0..6 {
        let is_running = |sim: &Simulation| sim.open_runs("j1").count() == 1;
        assert!(sim.run_until(20_000, is_running));
        sim.run(500);
        let server = sim.open_runs("j1").last().unwrap().server.clone();
        sim.server(&server).is_unreachable = true;
        sim.run(LAPSE_MS);
        sim.server(&server).is_unreachable = false;
        sim.run(500);
    }
    assert_eq!(sim.state(&job), JobState::Running);
    let progress = &sim.stored[&job].0;
    assert_eq!(progress.crashes, Vec::new());
}

// Guards against crashes that are forgotten because the server came back only after its lease.
#[test]
fn test_crashes_count_when_the_server_is_back_only_after_its_lease() {
    let mut sim = Simulation::new(2, 4, 0);
    sim.restart_ms = LAPSE_MS + 2_000;
    sim.make_deadly("deadly", CrashTrigger::default());
    let job = sim.submit("deadly", support::NORMAL, "b", vec![step(1, 1, 6_000)]);
    sim.run(120_000);
    sim.assert_crash_budget();
    assert_eq!(sim.state(&job), JobState::Failed);
    assert!(crash_events(&sim, |event| matches!(event, Event::GivenUp { .. })) == 1);
}

// Guards against crashes that are forgotten in a takeover or in an outage of the store.
#[rstest]
fn test_crashes_are_counted_through_takeovers_and_store_outages(
    #[values(false, true)] is_taken_over: bool,
    #[values(false, true)] is_store_away: bool,
) {
    let mut sim = Simulation::new(4, 4, 0);
    let others = submit_background(&mut sim, 8);
    sim.make_deadly("deadly", CrashTrigger::default());
    let job = sim.submit("deadly", support::NORMAL, "b", vec![step(1, 1, 6_000)]);
    for _ in 0..4 {
        let crashes = sim.crash_records.len();
        sim.run_until(20_000, |sim| sim.crash_records.len() > crashes);
        sim.run(RESTART_MS + 300);
        sim.is_store_unavailable = is_store_away;
        sim.run(1_000);
        if is_taken_over && !is_store_away {
            sim.take_over();
        }
        sim.is_store_unavailable = false;
        sim.run(200);
        if is_taken_over && is_store_away {
            sim.take_over();
        }
    }
    sim.run(60_000);
    sim.assert_crash_budget();
    assert_eq!(sim.state(&job), JobState::Failed);
    for job in others {
        assert_eq!(sim.state(&job), JobState::Completed);
    }
    sim.assert_no_duplicate_runs();
}
