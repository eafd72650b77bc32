//! Simulates an eighth of 350 servers that fail everything for some seconds, and prints how many
//! jobs fail for good and how many end in time, with and without proven servers for last attempts.

use camphorbeam_fleet_model::{gang, step, Simulation, BATCH, NORMAL, ORIGIN_MS, URGENT};
use camphorbeam_jobs::progress::JobState;
use camphorbeam_jobs::settings::{LastAttempt, Settings};
use camphorbeam_model::{id, job};
use rand::seq::SliceRandom as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Number of fleets that are simulated for each load.
const SEEDS: u64 = 8;

/// Time of the fault, and of its end.
const FAULT_MS: (u64, u64) = (4_000, 10_500);

/// Last arrival, and end of the simulation.
const DAY_MS: (u64, u64) = (16_000, 45_000);

/// Jobs of a kind that failed, ended in time, ended late but with a value, and their sum.
type Counts = [usize; 4];

fn simulate(seed: u64, interval_ms: u64, last_attempt: LastAttempt) -> [Counts; 3] {
    let settings = Settings {
        last_attempt,
        ..Settings::default()
    };
    let mut sim = Simulation::with_settings(44, 8, 100, settings);
    sim.set_attempts_max(2);
    let mut names: Vec<String> = sim.servers.keys().cloned().collect();
    names.shuffle(&mut ChaCha8Rng::seed_from_u64(seed));
    for name in names.split_off(350) {
        sim.servers.remove(&name);
    }
    sim.register();
    let faulty: Vec<String> = names.into_iter().take(350 / 8).collect();
    let mut jobs: [Vec<id::JobId>; 3] = Default::default();
    let one_each = |step: job::StepSpec| job::StepSpec {
        prefers_one_rack: false,
        tasks_per_server_max: 1,
        ..step
    };
    let start_ms = sim.now_ms;
    while sim.now_ms < start_ms + DAY_MS.1 {
        let at_ms = sim.now_ms - start_ms;
        if at_ms == FAULT_MS.0 || at_ms == FAULT_MS.1 {
            for name in &faulty {
                sim.server(name).fails_all = at_ms == FAULT_MS.0;
            }
        }
        if at_ms < DAY_MS.0 {
            let mut submit = |kind: usize, queue, step| {
                let name = format!("j{kind}-{at_ms}");
                jobs[kind].push(sim.submit(&name, queue, "a", vec![step]));
            };
            if at_ms.is_multiple_of(4 * interval_ms) {
                submit(0, NORMAL, one_each(gang(13, 4, 6_000)));
                submit(2, BATCH, step(20, 1, 4_000));
            }
            if at_ms.is_multiple_of(interval_ms) {
                submit(1, URGENT, one_each(gang(5, 4, 2_100)));
            }
        }
        sim.run(50);
    }
    sim.assert_no_duplicate_runs();
    jobs.map(|ids| {
        let mut counts = [0, 0, 0, ids.len()];
        for id in &ids {
            let job = &sim.accepted[id];
            let estimate_ms = job.spec.steps[0].estimate_ms as f64;
            let terms = &job.terms;
            let objective_ms =
                (estimate_ms * terms.objective_ratio) as u64 + terms.objective_extra_ms;
            let took_ms = sim.completed_at_ms.get(id);
            let took_ms = took_ms.map(|at_ms| at_ms - job.accepted_unix_ms);
            counts[0] += usize::from(sim.state(id) == JobState::Failed);
            counts[1] += usize::from(took_ms.is_some_and(|took_ms| took_ms <= objective_ms));
            counts[2] += usize::from(
                took_ms
                    .is_some_and(|took_ms| took_ms > objective_ms && took_ms <= 3 * objective_ms),
            );
        }
        counts
    })
}

fn main() {
    assert_eq!(
        ORIGIN_MS % 50,
        0,
        "arrivals fall on steps of the simulation"
    );
    println!("failed, in time, late, all: gangs of 13, urgent gangs of 5, batch jobs of 20");
    for interval_ms in [800, 200, 100] {
        for last_attempt in [LastAttempt::Any, LastAttempt::Proven] {
            let days: Vec<[Counts; 3]> = std::thread::scope(|scope| {
                let run = |seed| scope.spawn(move || simulate(seed, interval_ms, last_attempt));
                // Two at a time, since the machine is shared.
                let mut days = Vec::new();
                for first in (0..SEEDS).step_by(2) {
                    let pair = [run(first), run(first + 1)];
                    days.extend(pair.map(|day| day.join().expect("the simulation did not panic")));
                }
                days
            });
            let mut sums: [Counts; 3] = Default::default();
            for day in &days {
                for (sum, counts) in sums.iter_mut().zip(day) {
                    sum.iter_mut()
                        .zip(counts)
                        .for_each(|(sum, count)| *sum += count);
                }
            }
            let failed: Vec<usize> = days.iter().map(|day| day[0][0]).collect();
            println!("interval {interval_ms} ms, {last_attempt:?}: {sums:?}; gangs of 13 failed by seed {failed:?}");
        }
    }
}
