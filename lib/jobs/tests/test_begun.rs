//! What is stored and published about the begin of a job rests on what servers have shown, not on
//! placements and orders. Each test names the failure it guards against.

use std::collections::BTreeSet;

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, Simulation, TaskBehavior, STEP_MS};
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::{id, job};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn queue(name: &str) -> id::QueueName {
    id::QueueName::new(name).unwrap()
}

fn waiting(sim: &Simulation) -> u64 {
    sim.engine.waiting_jobs().values().sum()
}

fn has_stored_begin(sim: &Simulation, job: &id::JobId) -> bool {
    let stored = sim.stored.get(job);
    stored.is_some_and(|(progress, _)| progress.has_begun)
}

/// Guards against jobs that don't count as waiting since their tasks were placed, although every start
/// was refused: by the scheduler that has placed them, in the store, and by its successor (review of
/// issue 53, case 9).
#[rstest]
fn test_jobs_whose_starts_are_refused_count_as_waiting_also_after_a_takeover(
    #[values(step(1, 1, 2_000), gang(2, 1, 2_000))] spec: job::StepSpec,
) {
    let mut sim = Simulation::new(1, 3, 0);
    let mut jobs = Vec::new();
    for number in 0..8 {
        let name = format!("j{number}");
        let behavior = TaskBehavior {
            is_refused: true,
            ..TaskBehavior::default()
        };
        sim.task_behaviors
            .insert(id::JobId::new(&name).unwrap(), behavior);
        jobs.push(sim.submit(&name, support::NORMAL, "b", vec![spec.clone()]));
    }
    sim.run(3_300);
    assert_eq!(sim.engine.waiting_jobs()[&queue(support::NORMAL)], 8);
    assert!(jobs.iter().all(|job| !has_stored_begin(&sim, job)));
    assert!(jobs.iter().all(|job| sim.state(job) == JobState::Queued));
    sim.take_over();
    assert_eq!(waiting(&sim), 8);
    sim.run(1_000);
    assert_eq!(waiting(&sim), 8);
    sim.task_behaviors.clear();
    sim.run(10_000);
    assert_eq!(waiting(&sim), 0);
    assert!(jobs.iter().all(|job| has_stored_begin(&sim, job)));
}

/// Guards against a job that counts as begun since its start order was sent to a server that can't be
/// reached.
#[test]
fn test_job_whose_start_order_is_unanswered_counts_as_waiting() {
    let mut sim = Simulation::new(1, 1, 0);
    sim.server("s0-0").is_unreachable = true;
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(1, 1, 2_000)]);
    sim.run(200);
    assert_eq!((waiting(&sim), has_stored_begin(&sim, &job)), (1, false));
    sim.take_over();
    assert_eq!(waiting(&sim), 1);
}

/// Guards against the opposite fault: jobs at work that count as waiting after a takeover, since the
/// successor doesn't reach their servers, or since nothing was written after their placement.
#[rstest]
#[case::server_is_reached(false)]
#[case::server_is_cut_off(true)]
fn test_job_at_work_counts_as_begun_after_a_takeover(#[case] is_unreachable: bool) {
    let mut sim = Simulation::new(1, 1, 0);
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(1, 1, 20_000)]);
    sim.run(300);
    assert!(has_stored_begin(&sim, &job));
    assert_eq!(sim.state(&job), JobState::Running);
    sim.server("s0-0").is_unreachable = is_unreachable;
    sim.take_over();
    assert_eq!(waiting(&sim), 0);
    sim.run(500);
    assert_eq!(waiting(&sim), 0);
}

/// Guards against a run that only the successor's hold shows, or whose start reply was lost, and that
/// never counts as begun.
#[rstest]
fn test_run_that_only_a_hold_shows_counts_as_begun(#[values(false, true)] has_takeover: bool) {
    let mut sim = Simulation::new(1, 1, 0);
    sim.server("s0-0").loses_start_replies = true;
    sim.sends_holds = false;
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(1, 1, 20_000)]);
    sim.run(2 * STEP_MS);
    assert_eq!(sim.run_records.len(), 1);
    assert!(!has_stored_begin(&sim, &job));
    if has_takeover {
        sim.take_over();
    }
    sim.sends_holds = true;
    sim.run(3 * STEP_MS);
    assert!(has_stored_begin(&sim, &job));
    assert_eq!(waiting(&sim), 0);
}

/// Guards against a job that ends within one hold, and never counts as begun while its other tasks
/// wait.
#[test]
fn test_end_of_a_run_that_was_never_seen_at_work_counts_as_begun() {
    let mut sim = Simulation::new(1, 1, 0);
    sim.server("s0-0").loses_start_replies = true;
    sim.sends_holds = false;
    let job = sim.submit("j1", support::NORMAL, "b", vec![step(9, 1, 100)]);
    sim.run(8 * STEP_MS);
    sim.sends_holds = true;
    sim.run(STEP_MS);
    assert!(sim.stored.contains_key(&job));
    assert!(sim.engine.job(&job).unwrap().progress.has_begun);
}

/// Guards against a begin on record without a run on any server, and against a run at work that never
/// comes on record, in any order of faults and takeovers.
#[test]
fn test_recorded_begin_matches_what_servers_ran_after_random_faults() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut sim = Simulation::new(2, 4, 0);
        sim.delayed_start_ratio = [0.0, 0.2][random.random_range(0..2)];
        let names: Vec<String> = sim.servers.keys().cloned().collect();
        let mut jobs = Vec::new();
        for tick in 0..240 {
            let name = &names[random.random_range(0..names.len())];
            match random.random_range(0..40) {
                0 => {
                    let server = sim.server(name);
                    server.is_unreachable = !server.is_unreachable;
                }
                1 => {
                    let server = sim.server(name);
                    server.loses_start_replies = !server.loses_start_replies;
                }
                2 => sim.crash(name),
                3 => sim.is_store_unavailable = !sim.is_store_unavailable,
                4 => sim.take_over(),
                5..=9 => {
                    let job = format!("{tick:016x}");
                    if random.random_bool(0.3) {
                        let behavior = TaskBehavior {
                            is_refused: true,
                            ..TaskBehavior::default()
                        };
                        let id = id::JobId::new(&job).unwrap();
                        sim.task_behaviors.insert(id, behavior);
                    }
                    let spec = match random.random_bool(0.5) {
                        true => gang(3, 4, 1_500),
                        false => step(5, 2, 1_500),
                    };
                    jobs.push(sim.submit(&job, support::NORMAL, "b", vec![spec]));
                }
                _ => {}
            }
            sim.run(STEP_MS);
            let ran: BTreeSet<&id::JobId> = sim
                .run_records
                .iter()
                .map(|record| &record.name.task.job)
                .collect();
            for job in &jobs {
                assert!(
                    !has_stored_begin(&sim, job) || ran.contains(job),
                    "seed {seed}: {job} is on record as begun, and no server ran it"
                );
            }
        }
        for name in &names {
            let server = sim.server(name);
            server.is_unreachable = false;
            server.loses_start_replies = false;
        }
        sim.is_store_unavailable = false;
        sim.task_behaviors.clear();
        sim.register();
        sim.run(40_000);
        for job in &jobs {
            assert_eq!(sim.state(job), JobState::Completed, "seed {seed}: {job}");
        }
        assert_eq!(waiting(&sim), 0, "seed {seed}");
    }
}
