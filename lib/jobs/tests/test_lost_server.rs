//! Backend servers that become unreachable or crash without leaving.

use camphorbeam_fleet_model as support;

use camphorbeam_fleet_model::{step, Simulation};
use camphorbeam_jobs::orders::{EndEntry, EndKind, HoldReply, RunName, StopOutcome};
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::{fleet, id, job};
use rstest::rstest;

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

/// The reply to a hold in which an entry can't be read, with the given ends.
fn odd_reply(sim: &Simulation, ends: &[EndEntry], ends_readable_upto: u64) -> HoldReply {
    let started_unix_ms = sim.servers["s0-0"].incarnation;
    HoldReply {
        incarnation: fleet::Incarnation { started_unix_ms },
        server_ms: sim.now().ms,
        running: Vec::new(),
        ended: ends.to_vec(),
        may_have_more_ends: false,
        has_unreadable_runs: ends_readable_upto < 9,
        ends_readable_upto,
    }
}

/// Guards against tasks that run twice because a list of runs has an entry that can't be read, and
/// against runs that stay for ever once it can be read again.
#[test]
fn test_lost_server_with_an_unreadable_run_keeps_its_runs() {
    let mut sim = Simulation::new(1, 1, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(2, 2, 60_000)]);
    sim.run(1_000);
    let server = id::BackendServerId::new("s0-0").unwrap();
    for (ends_readable_upto, runs) in [(0, 2), (9, 0)] {
        let (now, reply) = (sim.now(), odd_reply(&sim, &[], ends_readable_upto));
        (sim.engine).hold_reply(&server, now.ms, &reply, now);
        assert_eq!(sim.engine.job(&job).unwrap().runs.len(), runs);
    }
}

/// Guards against ends that are acknowledged unread, or that are processed twice.
#[test]
fn test_lost_server_with_an_unreadable_end_has_it_acknowledged_once_it_is_read() {
    let mut sim = Simulation::new(1, 1, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(3, 1, 60_000)]);
    sim.run(1_000);
    let runs = sim.engine.job(&job).unwrap().runs.clone();
    let ends = runs
        .iter()
        .zip(1..)
        .map(|((index, live), number)| EndEntry {
            number,
            name: RunName {
                task: job::TaskName {
                    job: job.clone(),
                    index: *index,
                },
                run: live.run,
            },
            kind: EndKind::Done,
            checkpoint: "".into(),
        });
    let ends: Vec<_> = ends.collect();
    let server = id::BackendServerId::new("s0-0").unwrap();
    let unread = [ends[0].clone(), ends[2].clone()];
    for (ends, readable_upto, runs, acknowledged) in [
        (&unread[..], 1, 1, 1),
        (&unread[..], 1, 1, 1),
        (&ends[..], u64::MAX, 0, 3),
    ] {
        let (now, reply) = (sim.now(), odd_reply(&sim, ends, readable_upto));
        (sim.engine).hold_reply(&server, now.ms, &reply, now);
        let open = sim.engine.job(&job).unwrap();
        assert_eq!(open.runs.len(), runs);
        let (generation, version) = (open.generation, open.row_version + 1);
        sim.engine.mark_stored(&job, generation, version, now);
        let order = sim.engine.next_hold(&server, now).unwrap();
        assert_eq!(order.ends_acknowledged, acknowledged);
    }
}

/// A step of small tasks, as many of which as there are fit on one server.
fn small_step(count: u32, work_ms: u64) -> job::StepSpec {
    job::StepSpec {
        need: job::Resources {
            cpu_millicores: 10,
            memory_mb: 10,
            accelerators: 0,
        },
        ..step(count, 0, work_ms)
    }
}

/// Why more ends wait on a server than it lists at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndsWaitFor {
    Takeover,
    Store,
    StoreAndTakeover,
}

/// Guards against tasks that run again after their end, since a server lists a limited number of
/// ends and the others count as gone.
#[rstest]
fn test_lost_server_is_not_concluded_from_a_list_of_ends_that_goes_on(
    #[values(
        EndsWaitFor::Takeover,
        EndsWaitFor::Store,
        EndsWaitFor::StoreAndTakeover
    )]
    cause: EndsWaitFor,
    #[values((500, 620), (500, 1_000), (3, 100), (1, 10))] (listed_max, tasks): (usize, u32),
) {
    let mut sim = Simulation::new(1, 1, 0);
    sim.ends_listed_max = listed_max;
    let job = sim.submit("j1", support::NORMAL, "b", vec![small_step(tasks, 2_000)]);
    sim.run(1_000);
    assert_eq!(sim.running_on("s0-0"), tasks as usize);
    sim.is_store_unavailable = cause != EndsWaitFor::Takeover;
    sim.sends_holds = cause == EndsWaitFor::Store;
    sim.run(2_000);
    assert_eq!(sim.running_on("s0-0"), 0);
    sim.is_store_unavailable = false;
    if cause != EndsWaitFor::Store {
        sim.take_over();
        sim.sends_holds = true;
    }
    assert!(sim.run_until(20_000, |sim| sim.state(&job) == JobState::Completed));
    assert_eq!(sim.run_records.len(), tasks as usize);
}

/// Guards against a task that runs again after its end, since its stop was awaited and its end is
/// beyond those that its server lists at a time.
#[test]
fn test_lost_server_is_not_concluded_for_a_stopped_run_whose_end_is_not_listed_yet() {
    let mut sim = Simulation::new(1, 1, 0);
    sim.ends_listed_max = 2;
    let many = sim.submit("j1", support::NORMAL, "b", vec![small_step(10, 2_000)]);
    sim.run(1_000);
    let stopped = sim.submit("j2", support::NORMAL, "b", vec![small_step(1, 1_500)]);
    sim.run(1_000);
    // From now on the server's replies don't arrive, and all tasks end.
    sim.sends_holds = false;
    sim.run(2_000);
    let open = sim.engine.job(&stopped).unwrap();
    let (index, run) = open
        .runs
        .iter()
        .map(|(at, live)| (*at, live.run))
        .next()
        .unwrap();
    let name = RunName {
        task: job::TaskName {
            job: stopped.clone(),
            index,
        },
        run,
    };
    // The stop is accepted, as of a run that has ended.
    let now = sim.now();
    sim.engine.stop_reply(&name, &StopOutcome::Accepted, now);
    sim.sends_holds = true;
    assert!(sim.run_until(20_000, |sim| {
        sim.state(&many) == JobState::Completed && sim.state(&stopped) == JobState::Completed
    }));
    assert_eq!(sim.run_records.len(), 11);
}
