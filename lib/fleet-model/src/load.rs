//! Days of jobs like those of the users, drawn from a seed.

use camphorbeam_model::{id, job};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::{Simulation, TaskBehavior, BATCH, NORMAL, STEP_MS, URGENT};

/// A kind of job.
#[derive(Clone, Debug)]
pub struct JobKind {
    /// Its queue.
    pub queue: &'static str,
    /// Jobs a second.
    pub arrivals_per_s: f64,
    /// Mean and longest run time of a task.
    pub work_ms: (f64, f64),
    /// Spread of the run time, as the deviation of its logarithm.
    pub work_log_deviation: f64,
    /// Mean and largest number of tasks.
    pub width: (f64, f64),
    /// Accelerators of a task, one of these.
    pub accelerators: &'static [u64],
    /// Processor share of a task.
    pub cpu_millicores: u64,
    /// Memory of a task.
    pub memory_mb: u64,
    /// Whether tasks run as gangs.
    pub is_gang: bool,
    /// Share of gangs that should be in one rack.
    pub one_rack_ratio: f64,
    /// Share of jobs that checkpoint.
    pub checkpoint_ratio: f64,
    /// Factor by which estimates are off at most, less one.
    pub estimate_error_max: f64,
    /// The objective: multiple of the work, and what is added.
    pub objective: (f64, u64),
    /// What a job is worth in time, and late.
    pub value: (f64, f64),
    /// Share of jobs that can never be done.
    pub always_fails_ratio: f64,
}

/// The kinds of a festival printer.
pub fn festival() -> Vec<JobKind> {
    let gate = JobKind {
        queue: URGENT,
        arrivals_per_s: 1.92,
        work_ms: (2_500.0, 8_000.0),
        work_log_deviation: 0.5,
        width: (3.0, 18.0),
        accelerators: &[1, 2, 4, 8, 8],
        cpu_millicores: 7_500,
        memory_mb: 15_000,
        is_gang: true,
        one_rack_ratio: 0.8,
        checkpoint_ratio: 0.0,
        estimate_error_max: 0.9,
        objective: (1.5, 250),
        value: (4.0, 0.8),
        always_fails_ratio: 0.0,
    };
    let artwork = JobKind {
        queue: NORMAL,
        arrivals_per_s: 1.08,
        work_ms: (6_800.0, 11_000.0),
        work_log_deviation: 0.3,
        width: (4.0, 24.0),
        cpu_millicores: 26_000,
        memory_mb: 53_000,
        one_rack_ratio: 0.6,
        checkpoint_ratio: 0.45,
        objective: (3.0, 1_000),
        value: (3.0, 1.5),
        ..gate.clone()
    };
    let reprint = JobKind {
        queue: BATCH,
        arrivals_per_s: 1.06,
        work_ms: (6_100.0, 11_000.0),
        width: (15.0, 72.0),
        accelerators: &[1],
        cpu_millicores: 5_600,
        memory_mb: 11_000,
        is_gang: false,
        estimate_error_max: 0.5,
        objective: (3.0, 3_000),
        value: (1.0, 0.5),
        always_fails_ratio: 0.01,
        ..artwork.clone()
    };
    vec![gate, artwork, reprint]
}

/// The kinds of a pool of meter benches.
pub fn laboratory() -> Vec<JobKind> {
    let kinds = festival();
    let seal = JobKind {
        arrivals_per_s: 2.38,
        width: (3.4, 21.0),
        memory_mb: 11_000,
        estimate_error_max: 0.5,
        ..kinds[0].clone()
    };
    let fit = JobKind {
        arrivals_per_s: 0.628,
        work_ms: (8_500.0, 11_000.0),
        width: (5.0, 30.0),
        memory_mb: 38_000,
        value: (3.0, 0.9),
        ..kinds[1].clone()
    };
    let drift = JobKind {
        arrivals_per_s: 0.472,
        work_ms: (9_500.0, 11_000.0),
        width: (20.0, 94.0),
        estimate_error_max: 0.9,
        value: (1.0, 0.3),
        always_fails_ratio: 0.03,
        ..kinds[2].clone()
    };
    vec![seal, fit, drift]
}

/// The kinds of a large pool of meter benches.
pub fn large_laboratory() -> Vec<JobKind> {
    let kinds = laboratory();
    let seal = JobKind {
        arrivals_per_s: 11.0,
        width: (5.4, 32.0),
        ..kinds[0].clone()
    };
    let fit = JobKind {
        arrivals_per_s: 2.07,
        width: (13.0, 78.0),
        ..kinds[1].clone()
    };
    let drift = JobKind {
        arrivals_per_s: 1.63,
        width: (39.0, 230.0),
        ..kinds[2].clone()
    };
    vec![seal, fit, drift]
}

/// The kinds of a large festival printer.
pub fn large_festival() -> Vec<JobKind> {
    let kinds = festival();
    let gate = JobKind {
        arrivals_per_s: 7.28,
        width: (5.0, 32.0),
        objective: (1.5, 300),
        ..kinds[0].clone()
    };
    let artwork = JobKind {
        arrivals_per_s: 1.95,
        work_ms: (11_000.0, 14_000.0),
        width: (10.0, 60.0),
        ..kinds[1].clone()
    };
    let reprint = JobKind {
        arrivals_per_s: 3.0,
        width: (30.0, 180.0),
        ..kinds[2].clone()
    };
    vec![gate, artwork, reprint]
}

/// A job of a day.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it comes, from the start of the day.
    pub at_ms: u64,
    /// Place of its kind.
    pub kind: usize,
    /// Its client account: `a` to `d`.
    pub account: &'static str,
    /// Its steps.
    pub step: job::StepSpec,
    /// What it really is.
    pub behavior: TaskBehavior,
    /// The objective: time from its arrival.
    pub objective_ms: u64,
    /// Its work, in core-seconds.
    pub core_s: f64,
}

/// Client accounts of a day.
const ACCOUNTS: [&str; 4] = ["a", "b", "c", "d"];

/// A number whose logarithm is normal, with this mean; by the sum of twelve uniform ones.
fn log_normal(random: &mut ChaCha8Rng, mean: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    mean * (spread * normal - spread * spread / 2.0).exp()
}

fn draw(kinds: &[JobKind], number: usize, at_ms: u64, random: &mut ChaCha8Rng) -> Arrival {
    let kind = &kinds[number];
    let work_ms = log_normal(random, kind.work_ms.0, kind.work_log_deviation).min(kind.work_ms.1);
    let width = log_normal(random, kind.width.0, 0.8)
        .clamp(1.0, kind.width.1)
        .round() as u32;
    let accelerators = kind.accelerators[random.random_range(0..kind.accelerators.len())];
    let error_factor = 1.0 + random.random::<f64>() * kind.estimate_error_max;
    let estimate_ms = match random.random_bool(0.5) {
        true => work_ms * error_factor,
        false => work_ms / error_factor,
    };
    let step = job::StepSpec {
        task_count: width,
        need: job::Resources {
            cpu_millicores: kind.cpu_millicores,
            memory_mb: kind.memory_mb,
            accelerators,
        },
        estimate_ms: estimate_ms as u64,
        is_gang: kind.is_gang,
        prefers_one_rack: random.random_bool(kind.one_rack_ratio),
        supports_checkpoints: random.random_bool(kind.checkpoint_ratio),
        ..job::StepSpec::default()
    };
    let mut behavior = TaskBehavior {
        always_fails: random.random_bool(kind.always_fails_ratio),
        ..TaskBehavior::default()
    };
    let mut longest_ms = 0.0_f64;
    for rank in 0..width {
        let own_ms = work_ms * (1.0 + 0.15 * (2.0 * random.random::<f64>() - 1.0));
        longest_ms = longest_ms.max(own_ms);
        let index = job::TaskIndex {
            occurrence: 0,
            step: 0,
            rank,
        };
        behavior.work_ms.insert(index, own_ms as u64);
    }
    let cores = kind.cpu_millicores as f64 / 1_000.0 + 8.0 * accelerators as f64;
    Arrival {
        at_ms,
        kind: number,
        account: ACCOUNTS[random.random_range(0..ACCOUNTS.len())],
        step,
        behavior,
        objective_ms: (longest_ms * kind.objective.0) as u64 + kind.objective.1,
        core_s: cores * f64::from(width) * work_ms / 1_000.0,
    }
}

/// The arrivals of `length_ms`, with each kind `load_ratio` times as frequent; between the times of
/// `burst` the first kind comes `burst.2` times as often.
pub fn day(
    kinds: &[JobKind],
    seed: u64,
    length_ms: u64,
    load_ratio: f64,
    burst: (u64, u64, f64),
) -> Vec<Arrival> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for at_ms in (0..length_ms).step_by(STEP_MS as usize) {
        for (number, kind) in kinds.iter().enumerate() {
            let is_burst = number == 0 && (burst.0..burst.1).contains(&at_ms);
            let factor = if is_burst { burst.2 } else { 1.0 };
            let chance = kind.arrivals_per_s * load_ratio * factor * STEP_MS as f64 / 1_000.0;
            if random.random_bool(chance.min(1.0)) {
                arrivals.push(draw(kinds, number, at_ms, &mut random));
            }
        }
    }
    arrivals
}

/// Plays `arrivals` and the time after them until all objectives are long past.
pub fn run_day(sim: &mut Simulation, kinds: &[JobKind], arrivals: &[Arrival]) -> Vec<id::JobId> {
    let start_ms = sim.now_ms;
    let mut ids = Vec::new();
    for (number, arrival) in arrivals.iter().enumerate() {
        let at_ms = start_ms + arrival.at_ms;
        if sim.now_ms < at_ms {
            sim.run(at_ms - sim.now_ms);
        }
        let name = format!("{number:016x}");
        let queue = kinds[arrival.kind].queue;
        let id = id::JobId::new(&name).unwrap();
        sim.task_behaviors.insert(id, arrival.behavior.clone());
        ids.push(sim.submit(&name, queue, arrival.account, vec![arrival.step.clone()]));
    }
    sim.run(COMPLETION_TAIL_MS);
    ids
}

/// Time after the last arrival in which late jobs may still be completed.
const COMPLETION_TAIL_MS: u64 = 14_000;
