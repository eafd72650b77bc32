//! Limits that depend on other tasks of a step hold at each start, whatever has proposed its
//! servers. Each test names the failure it guards against.

use std::collections::BTreeMap;

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, RunRecord, Simulation};
use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::progress::JobState;
use camphorbeam_model::{id, job};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

fn is_of_step(record: &RunRecord, other: &RunRecord) -> bool {
    let step = |record: &RunRecord| {
        let index = record.name.task.index;
        (index.occurrence, index.step)
    };
    record.name.task.job == other.name.task.job && step(record) == step(other)
}

/// Panics if a run has started on a server beside as many of its step as may be there.
fn assert_spread(sim: &Simulation) {
    for (number, started) in sim.run_records.iter().enumerate() {
        let index = started.name.task.index;
        let spec = &sim.accepted[&started.name.task.job].spec.steps[index.step as usize];
        let limit = spec.tasks_per_server_max as usize;
        if limit == 0 {
            continue;
        }
        let is_beside = |other: &&RunRecord| {
            let has_ended = other
                .ended_at_ms
                .is_some_and(|ended_at_ms| ended_at_ms <= started.started_at_ms);
            is_of_step(other, started) && other.server == started.server && !has_ended
        };
        let beside = sim.run_records[..number].iter().filter(is_beside).count();
        assert!(
            beside < limit,
            "{started:?} beside {beside} of at most {limit}"
        );
    }
}

fn blocked_starts(sim: &Simulation) -> BTreeMap<&'static str, usize> {
    let mut blocked = BTreeMap::new();
    for (_, event) in &sim.events {
        if let Event::StartBlocked { obstacle, .. } = event {
            *blocked.entry(*obstacle).or_default() += 1;
        }
    }
    blocked
}

fn spread(limit: u32, tasks: job::StepSpec) -> job::StepSpec {
    job::StepSpec {
        tasks_per_server_max: limit,
        ..tasks
    }
}

/// Guards against urgent tasks that a preemption starts on one server beyond their limit there,
/// since each task's servers were claimed without regard to the others.
#[rstest]
#[case::six_tasks_each_on_its_own(1, 6)]
#[case::as_many_as_servers(1, 8)]
#[case::two_on_a_server(2, 12)]
#[case::three_on_a_server(3, 24)]
fn test_start_limits_hold_for_tasks_that_preempt_others(#[case] limit: u32, #[case] tasks: u32) {
    let mut sim = Simulation::new(1, 8, 0);
    for number in 0..5 {
        let name = format!("batch{number}");
        sim.submit(&name, support::BATCH, "b", vec![step(16, 1, 9_500)]);
    }
    sim.run(2_000);
    let mut urgent = Vec::new();
    for number in 0..4 {
        let steps = vec![spread(limit, step(tasks, 1, 2_500))];
        urgent.push(sim.submit(&format!("urgent{number}"), support::URGENT, "a", steps));
        sim.run(4_000);
    }
    assert_spread(&sim);
    for job in &urgent {
        assert!(sim.run_until(10_000, |sim| sim.state(job) == JobState::Completed));
    }
    assert_spread(&sim);
    sim.assert_no_duplicate_runs();
}

/// Guards against starts beyond a limit by any other way in which servers are proposed: preemptions
/// by gangs, reservations, overdue starts, restarts after crashes, and takeovers.
#[test]
fn test_start_limits_hold_under_random_load() {
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut sim = Simulation::new(2, 4, 16);
        let mut jobs: Vec<id::JobId> = Vec::new();
        for number in 0..14 {
            let limit = random.random_range(0..4_u32);
            let tasks = match limit {
                0 => random.random_range(1..12),
                limit => random.random_range(1..=4 * limit),
            };
            let accelerators = random.random_range(1..=8_u64);
            let work_ms = random.random_range(800..5_000);
            let tasks = match random.random_bool(0.3) {
                true => gang(tasks.min(6), accelerators, work_ms),
                false => step(tasks, accelerators, work_ms),
            };
            let queue =
                [support::URGENT, support::NORMAL, support::BATCH][random.random_range(0..3_usize)];
            let account = ["a", "b"][random.random_range(0..2_usize)];
            let steps = vec![spread(limit, tasks)];
            jobs.push(sim.submit(&format!("j{number}"), queue, account, steps));
            sim.run(random.random_range(50..1_500));
            match random.random_range(0..12_u32) {
                0 => sim.take_over(),
                1 => sim.crash(&format!("s{}-{}", seed % 2, number % 4)),
                _ => {}
            }
        }
        sim.run(60_000);
        assert_spread(&sim);
        let left: Vec<_> = jobs
            .iter()
            .filter(|job| sim.state(job) != JobState::Completed)
            .collect();
        assert!(
            left.is_empty(),
            "seed {seed}: {left:?}, {:?}",
            blocked_starts(&sim)
        );
    }
}

/// Guards against an urgent task that starts on a server that has been given another label, or
/// belongs to another service, since its preemption was planned.
#[rstest]
#[case::label(true)]
#[case::service(false)]
fn test_start_limits_hold_for_a_claimed_server_that_has_changed(#[case] is_label: bool) {
    let mut sim = Simulation::new(1, 2, 16);
    sim.submit("batch", support::BATCH, "b", vec![step(16, 1, 60_000)]);
    sim.run(2_000);
    let labelled = job::StepSpec {
        required_label: is_label.then(|| "r0".into()),
        ..step(2, 8, 1_000)
    };
    let urgent = sim.submit("urgent", support::URGENT, "a", vec![labelled]);
    // The preemption is planned and its victims are being stopped.
    while !sim
        .events
        .iter()
        .any(|(_, event)| matches!(event, Event::Preemption { .. }))
    {
        sim.run(support::STEP_MS);
    }
    let entry = &mut sim.server("s0-0").entry;
    match is_label {
        true => entry.labels.clear(),
        false => entry.service = id::ServiceName::new("other").unwrap(),
    }
    let changed_ms = sim.now_ms;
    sim.register();
    sim.run(10_000);
    let is_wrong = |record: &&RunRecord| {
        record.name.task.job == urgent
            && record.server == "s0-0"
            && record.started_at_ms > changed_ms
    };
    let wrong = sim.run_records.iter().find(is_wrong);
    assert!(wrong.is_none(), "{wrong:?}");
    assert!(sim.run_until(10_000, |sim| sim.state(&urgent) == JobState::Completed));
}
