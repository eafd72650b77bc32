//! Many random faults at once: no task runs twice, and every job ends.

use std::collections::BTreeMap;

use camphorbeam_fleet_model as support;
use camphorbeam_fleet_model::{gang, step, Simulation, STEP_MS};
use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::progress::JobState;
use camphorbeam_jobs::settings::{ReachabilityMode, Settings};
use camphorbeam_model::{id, job};
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Simulated time during which faults are injected.
const FAULT_PHASE_MS: u64 = 20_000;

/// Simulated time without faults within which all remaining jobs must end. It covers delayed orders
/// (12 s), leases (8 s) and the remaining work, which may run one job after another.
const RECOVERY_MS: u64 = 45_000;

/// Number of crashes under a task at which its job is given up in any case: the users' rules allow
/// two starts after the third crash.
const GIVE_UP_CRASHES: usize = 5;

struct Faults {
    random: ChaCha8Rng,
    names: Vec<String>,
}

impl Faults {
    /// Returns `true` at random, on average once in `mean_ms` of simulated time.
    fn happens_every(&mut self, mean_ms: u64) -> bool {
        self.random.random_range(0..mean_ms / STEP_MS) == 0
    }

    fn random_server_name(&mut self) -> String {
        let position = self.random.random_range(0..self.names.len());
        self.names[position].clone()
    }

    fn inject(&mut self, sim: &mut Simulation) {
        if self.happens_every(2_000) {
            let name = self.random_server_name();
            let server = sim.server(&name);
            server.is_unreachable = !server.is_unreachable;
        }
        if self.happens_every(3_000) {
            let name = self.random_server_name();
            sim.crash(&name);
        }
        if self.happens_every(1_000) {
            let name = self.random_server_name();
            let server = sim.server(&name);
            server.loses_start_replies = !server.loses_start_replies;
        }
        if self.happens_every(4_000) {
            let name = self.random_server_name();
            let server = sim.server(&name);
            server.hangs = !server.hangs;
        }
        if self.happens_every(3_000) {
            sim.is_store_unavailable = !sim.is_store_unavailable;
        }
        if self.happens_every(3_000) {
            sim.sends_holds = !sim.sends_holds;
        }
        if self.happens_every(2_000) {
            sim.register();
        }
        if self.happens_every(4_000) {
            sim.take_over();
        }
    }
}

fn clear_faults(sim: &mut Simulation, names: &[String]) {
    sim.is_store_unavailable = false;
    sim.sends_holds = true;
    sim.delayed_start_ratio = 0.0;
    for name in names {
        let server = sim.server(name);
        server.is_unreachable = false;
        server.hangs = false;
        server.loses_start_replies = false;
    }
    sim.register();
}

fn run_seed(seed: u64, reachability: ReachabilityMode) {
    let settings = Settings {
        reachability,
        ..Settings::default()
    };
    let mut sim = Simulation::with_settings(2, 4, 16, settings);
    sim.delayed_start_ratio = if seed.is_multiple_of(3) { 0.1 } else { 0.0 };
    let names: Vec<String> = sim.servers.keys().cloned().collect();
    let mut faults = Faults {
        random: ChaCha8Rng::seed_from_u64(seed),
        names: names.clone(),
    };
    let mut jobs: Vec<id::JobId> = Vec::new();
    let mut cancelled: Vec<id::JobId> = Vec::new();
    for number in 0..FAULT_PHASE_MS / STEP_MS {
        faults.inject(&mut sim);
        if faults.happens_every(900) {
            let work_ms = faults.random.random_range(500..4_000);
            let width = faults.random.random_range(1..6);
            let accelerators = [1, 2, 4, 8][faults.random.random_range(0..4)];
            let (queue, steps) = match faults.random.random_range(0..3) {
                0 => (support::URGENT, vec![gang(width, accelerators, work_ms)]),
                1 => (support::NORMAL, vec![gang(width, accelerators, work_ms)]),
                _ => (support::BATCH, vec![step(width * 2, 1, work_ms)]),
            };
            jobs.push(sim.submit(&format!("{number:016x}"), queue, "a", steps));
        }
        if faults.happens_every(5_000) && !jobs.is_empty() {
            let job = jobs[faults.random.random_range(0..jobs.len())].clone();
            sim.cancel(&job);
            cancelled.push(job);
        }
        sim.run(STEP_MS);
    }
    clear_faults(&mut sim, &names);
    sim.run(RECOVERY_MS);
    sim.assert_no_duplicate_runs();
    for job in &jobs {
        let state = sim.state(job);
        // The fleet model doesn't store cancellations, so a takeover may have lost one. A cancelled
        // job may therefore also complete.
        let is_over = state == JobState::Completed
            || (cancelled.contains(job) && state.is_final())
            || (state == JobState::Failed && crashes_max(&sim, job) >= GIVE_UP_CRASHES);
        assert!(
            is_over,
            "seed {seed}: {job} is {state:?}: {:?}\n{}",
            sim.engine.job(job),
            crash_log(&sim, job)
        );
    }
}

/// The largest number of runs of one task of a job that went with a crashed server.
fn crashes_max(sim: &Simulation, id: &id::JobId) -> usize {
    let mut crashes: BTreeMap<&job::TaskName, usize> = BTreeMap::new();
    let of_job = sim.run_records.iter();
    let of_job = of_job.filter(|record| &record.name.task.job == id);
    for record in of_job.filter(|record| record.ended_at_ms.is_some() && record.end.is_none()) {
        *crashes.entry(&record.name.task).or_default() += 1;
    }
    crashes.into_values().max().unwrap_or(0)
}

fn crash_log(sim: &Simulation, id: &id::JobId) -> String {
    let is_crash =
        |event: &&(u64, Event)| matches!(&event.1, Event::Crash { job, .. } if job == id);
    let crashes = sim.events.iter().filter(is_crash);
    crashes.map(|event| format!("{event:?}\n")).collect()
}

#[rstest]
fn test_random_faults_run_no_task_twice_and_lose_no_job(
    #[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64,
    #[values(ReachabilityMode::Server, ReachabilityMode::Zones)] reachability: ReachabilityMode,
) {
    for seed in block * 25..(block + 1) * 25 {
        run_seed(seed, reachability);
    }
}

/// Runs the seeds `FIRST-LAST` of CAMPHORBEAM_TEST_SEEDS; if it is unset, one random seed.
#[test]
fn test_random_faults_with_extra_seeds() {
    let random_seed = rand::rng().random_range(0..u64::from(u32::MAX));
    let seeds =
        std::env::var("CAMPHORBEAM_TEST_SEEDS").unwrap_or(format!("{random_seed}-{random_seed}"));
    let (first, last) = seeds.split_once('-').expect("FIRST-LAST");
    let (first, last): (u64, u64) = (first.parse().unwrap(), last.parse().unwrap());
    for seed in first..=last {
        println!("seed {seed}");
        run_seed(seed, ReachabilityMode::Server);
        run_seed(seed, ReachabilityMode::Zones);
    }
}
