//! Ends of runs that were given up while their server was silent. Each test names the failure it guards
//! against.

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, Simulation, STEP_MS};
use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::orders::EndKind;
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::job;
use rstest::rstest;

/// Longer than a lease.
const CUT_MS: u64 = 7_000;

/// Short enough that the runs end while their server is cut off, and long enough that the runs in their
/// place are still at work when it is back.
const RUN_TIME_MS: u64 = 4_000;

/// A simulation in which a server was cut off while the tasks of step 0 ended there, and these were
/// started elsewhere. Step 1 needs them.
fn sim_after_a_cut(first: job::StepSpec) -> (Simulation, camphorbeam_model::id::JobId) {
    let mut sim = Simulation::new(2, 1, 0);
    sim.server("s1-0").is_unreachable = true;
    sim.run(500);
    let second = job::StepSpec {
        depends_on: vec![0],
        ..step(1, 1, 500)
    };
    let job = sim.submit("j1", support::NORMAL, "b", vec![first, second]);
    sim.run(1_000);
    sim.server("s1-0").is_unreachable = false;
    sim.server("s0-0").is_unreachable = true;
    sim.run(CUT_MS);
    let given_up = |(_, event): &&(u64, Event)| matches!(event, Event::Server { belief: "gone or lapsed", runs, .. } if *runs > 0);
    assert_eq!(sim.events.iter().filter(given_up).count(), 1);
    (sim, job)
}

/// Guards against finished work that is done again, while the next step waits for it: the end `done` of a
/// run that was given up was dropped and acknowledged (review of issue 53, case 6).
#[rstest]
fn test_task_that_an_earlier_run_has_finished_is_done(
    #[values(step(3, 1, RUN_TIME_MS), gang(3, 1, RUN_TIME_MS))] first: job::StepSpec,
    #[values(false, true)] has_takeover: bool,
) {
    let (mut sim, job) = sim_after_a_cut(first);
    if has_takeover {
        sim.take_over();
    }
    let runs_before = sim.run_records.len();
    sim.server("s0-0").is_unreachable = false;
    sim.register();
    sim.run(1_500);
    assert_eq!(sim.state(&job), JobState::Completed);
    // Only the second step has started since.
    assert_eq!(sim.run_records.len(), runs_before + 1);
    sim.run(RUN_TIME_MS);
    sim.assert_no_duplicate_runs();
    let at_work = sim
        .run_records
        .iter()
        .filter(|record| record.ended_at_ms.is_none());
    assert_eq!(at_work.count(), 0);
}

/// Guards against a waiting task that is started although its last run has finished it: no later run was
/// placed yet.
#[test]
fn test_waiting_task_that_its_last_run_has_finished_is_done() {
    let (mut sim, job) = {
        let mut sim = Simulation::new(1, 1, 0);
        let job = sim.submit(
            "j1",
            support::NORMAL,
            "b",
            vec![step(2, 8, RUN_TIME_MS / 2)],
        );
        sim.run(1_000);
        sim.server("s0-0").is_unreachable = true;
        sim.run(CUT_MS);
        (sim, job)
    };
    let done = |sim: &Simulation| {
        let records = sim.run_records.iter();
        records
            .filter(|record| record.end == Some(EndKind::Done))
            .count()
    };
    assert_eq!((done(&sim), sim.run_records.len()), (1, 1));
    sim.server("s0-0").is_unreachable = false;
    sim.register();
    sim.run(RUN_TIME_MS + 20 * STEP_MS);
    assert_eq!(sim.state(&job), JobState::Completed);
    assert_eq!((done(&sim), sim.run_records.len()), (2, 2));
}
