//! Latency of a scheduling decision in a full cluster with a deep queue, for 50 to 800 backend
//! servers.
//!
//! One step is what follows an event: a running job ends, another one arrives, and the policy
//! decides.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;

use camphorbeam_model::{id, sheet};
use camphorbeam_placement::default_policy::DefaultPolicy;
use camphorbeam_placement::policy::{self, Policy};
use camphorbeam_placement::weights::Weights;
use criterion::{criterion_group, criterion_main, BenchmarkId, Criterion};

const SERVER_COUNTS: [usize; 5] = [50, 100, 200, 400, 800];

/// Number of requests submitted at the start, running and queued, in a cluster of 800 backend
/// servers; smaller clusters have proportionally fewer.
const REQUESTS_AT_800_SERVERS: usize = 4_700;

/// Number of client accounts in a cluster of 800 backend servers; smaller clusters have
/// proportionally fewer.
const ACCOUNTS_AT_800_SERVERS: usize = 240;

/// Number of steps measured for the quantiles.
const QUANTILE_STEPS: usize = 5_000;

struct Simulation {
    policy: DefaultPolicy,
    running: VecDeque<id::RequestId>,
    next: usize,
    accounts: usize,
    now_ms: u64,
}

impl Simulation {
    fn new(servers: usize) -> Self {
        let accounts = servers * ACCOUNTS_AT_800_SERVERS / 800;
        let mut policy = DefaultPolicy::new(Weights::default());
        for number in 0..servers {
            policy.set_server(server(number));
        }
        policy.set_sheet(&zone(), &sheet(accounts));
        let mut simulation = Self {
            policy,
            running: VecDeque::new(),
            next: 0,
            accounts,
            now_ms: 0,
        };
        for _ in 0..servers * REQUESTS_AT_800_SERVERS / 800 {
            simulation.submit();
        }
        // Warm up until the queue has settled and run times have been learned.
        for _ in 0..2_000 {
            simulation.step();
        }
        simulation
    }

    fn submit(&mut self) {
        let number = self.next;
        self.next += 1;
        self.policy.submit(policy::Job {
            id: id::RequestId::new(&format!("r{number}")).unwrap(),
            client_account: account(number * 7 % self.accounts),
            kind: id::KindName::new(["check", "fit", "study"][number % 3]).unwrap(),
            accelerators: [0, 1, 2, 0, 4, 1, 8, 0, 2, 16][number % 10],
            idempotent: !number.is_multiple_of(3),
            checkpointable: number % 3 == 2,
            declared_run_time_ms: 60_000,
            avoided_servers: Default::default(),
            arrived_at_ms: self.now_ms,
        });
    }

    fn step(&mut self) -> usize {
        self.now_ms += 250;
        if let Some(request) = self.running.pop_front() {
            let cause = policy::EndCause::Finished {
                run_time_ms: 30_000,
            };
            self.policy.record_end(&request, cause, self.now_ms);
            self.submit();
        }
        let decisions = self.policy.decide(self.now_ms, policy::StartScope::Any);
        let count = decisions.len();
        self.apply(decisions);
        count
    }

    /// Counts started jobs as running. Preempted jobs end at once and are replaced by new ones.
    fn apply(&mut self, decisions: Vec<policy::Decision>) {
        for decision in decisions {
            match decision {
                policy::Decision::Start { request, .. } => self.running.push_back(request),
                policy::Decision::Preempt { request, .. } => {
                    self.running.retain(|running| *running != request);
                    let cause = policy::EndCause::Stopped;
                    self.policy.record_end(&request, cause, self.now_ms);
                    self.submit();
                }
                policy::Decision::Refuse { .. } => self.submit(),
            }
        }
    }
}

fn zone() -> id::ZoneName {
    id::ZoneName::new("cluster").unwrap()
}

fn account(number: usize) -> id::ClientAccountName {
    id::ClientAccountName::new(&format!("team-{number:03}")).unwrap()
}

/// Of 8 racks, one has servers with 8 accelerators and one with 4: one and a half accelerators per
/// server on average.
fn server(number: usize) -> policy::Server {
    let rack = number / 8;
    policy::Server {
        id: id::BackendServerId::new(&format!("server-{number:04}")).unwrap(),
        rack: id::RackName::new(&format!("rack-{rack:03}")).unwrap(),
        accelerators: [8, 0, 0, 4, 0, 0, 0, 0][rack % 8],
        slots: 8,
        speed_ratio: [1.0, 1.5, 0.7][rack % 3],
        health: policy::Health::Usable,
    }
}

/// One guaranteed shape of 1, 2 or 4 accelerators per account: nearly half of the cluster.
fn sheet(accounts: usize) -> sheet::Sheet {
    let mut sheet = sheet::Sheet::default();
    for number in 0..accounts {
        let guarantee = sheet::Guarantee {
            zone: zone(),
            count: 1,
            accelerators: [1, 2, 4][number % 3],
        };
        sheet.accounts.insert(account(number), vec![guarantee]);
    }
    let terms = sheet::KindSettings {
        priority: 90,
        urgent: true,
    };
    let check = id::KindName::new("check").unwrap();
    sheet.kinds.insert(check, terms);
    sheet
}

fn print_quantiles(servers: usize, simulation: &mut Simulation) {
    let mut times_us: Vec<f64> = (0..QUANTILE_STEPS)
        .map(|_| {
            let started = Instant::now();
            black_box(simulation.step());
            started.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    times_us.sort_by(f64::total_cmp);
    let median_us = times_us[QUANTILE_STEPS / 2];
    let p99_us = times_us[QUANTILE_STEPS * 99 / 100];
    let running = simulation.running.len();
    println!("{servers} servers, {running} running: median {median_us:.1} us, p99 {p99_us:.1} us");
}

fn bench_decisions(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    group.sample_size(20);
    for servers in SERVER_COUNTS {
        let mut simulation = Simulation::new(servers);
        print_quantiles(servers, &mut simulation);
        group.bench_with_input(BenchmarkId::from_parameter(servers), &servers, |b, _| {
            b.iter(|| black_box(simulation.step()));
        });
    }
    group.finish();
}

criterion_group!(benches, bench_decisions);
criterion_main!(benches);
