//! Generates jobs like those of the users from a seed.
//!
//! A "day" is a sequence of arrivals that stands for a day's mix of jobs.

use camphorbeam_model::{id, job};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

use crate::{Simulation, TaskBehavior, BATCH, NORMAL, STEP_MS, URGENT};

/// Statistical description of one kind of job.
#[derive(Clone, Debug)]
pub struct JobKind {
    /// Queue that the jobs are submitted to.
    pub queue: &'static str,
    /// Mean number of arrivals per second.
    pub arrivals_per_s: f64,
    /// Mean and maximum of the run time of a task.
    pub work_ms: (f64, f64),
    /// Standard deviation of the logarithm of the run time.
    pub work_log_deviation: f64,
    /// Mean and maximum of the number of tasks.
    pub width: (f64, f64),
    /// Accelerators of a task, drawn uniformly from these.
    pub accelerators: &'static [u64],
    /// Processor share that a task needs.
    pub cpu_millicores: u64,
    /// Memory that a task needs.
    pub memory_mb: u64,
    /// Whether tasks run as gangs.
    pub is_gang: bool,
    /// Share of jobs that prefer one rack.
    pub one_rack_ratio: f64,
    /// Share of jobs that support checkpoints.
    pub checkpoint_ratio: f64,
    /// Largest factor between the estimated and the actual run time, minus one.
    pub estimate_error_max: f64,
    /// Completion objective: multiple of the longest run time, and milliseconds added to it.
    pub objective: (f64, u64),
    /// Value of a job of average size that completes within its objective, and of a late one.
    pub value: (f64, f64),
    /// Share of jobs whose tasks always fail.
    pub always_fails_ratio: f64,
}

/// Returns the kinds of jobs of a printer of festival passes and artwork.
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

/// Returns the kinds of jobs of a laboratory that tests meters.
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

/// Returns the kinds of [`laboratory`] at the size of the large deployment.
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

/// Returns the kinds of [`festival`] at the size of the large deployment.
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

/// One arriving job.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of arrival since the start of the day.
    pub at_ms: u64,
    /// Index of the kind.
    pub kind: usize,
    /// Client account: `a` to `d`.
    pub account: &'static str,
    /// The only step of the job.
    pub step: job::StepSpec,
    /// Actual behavior of the tasks.
    pub behavior: TaskBehavior,
    /// Completion objective, counted from the arrival.
    pub objective_ms: u64,
    /// Work of all tasks in core-seconds, where an accelerator counts as 8 cores.
    pub core_s: f64,
}

/// Client accounts that jobs are drawn for.
const ACCOUNTS: [&str; 4] = ["a", "b", "c", "d"];

/// Draws a log-normal number with this mean. The normal number is approximated by the sum of twelve
/// uniform ones.
fn log_normal(random: &mut ChaCha8Rng, mean: f64, spread: f64) -> f64 {
    let normal: f64 = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    mean * (spread * normal - spread * spread / 2.0).exp()
}

fn draw_arrival(kinds: &[JobKind], number: usize, at_ms: u64, random: &mut ChaCha8Rng) -> Arrival {
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

/// Generates the arrivals of `length_ms`, with the arrival rate of every kind multiplied by
/// `load_ratio`. From `burst.0` to `burst.1` (in milliseconds) the first kind arrives `burst.2`
/// times as often.
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
                arrivals.push(draw_arrival(kinds, number, at_ms, &mut random));
            }
        }
    }
    arrivals
}

/// Submits `arrivals` at their times and continues for `COMPLETION_TAIL_MS` after the last one.
/// Returns the ids of the jobs in the order of arrival.
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

/// Time after the last arrival in which jobs may still complete.
const COMPLETION_TAIL_MS: u64 = 14_000;
