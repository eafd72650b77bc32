//! Processor time of the engine's operations with 350, 1,000 and 3,000 backend servers.
//!
//! Ten jobs a second arrive for each 100 servers, in turn of three kinds: gangs of 13 tasks with
//! 52 cores each, urgent gangs of 5 tasks, and steps of 39 single tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::time::Duration;

use camphorbeam_fleet_model as fleet_model;
use camphorbeam_jobs::engine::{Engine, Now, Order};
use camphorbeam_jobs::orders::{HoldReply, RunName, RunningEntry, StartOutcome};
use camphorbeam_jobs::settings::Settings;
use camphorbeam_model::{fleet, id, job};
use criterion::measurement::{Measurement, ValueFormatter, WallTime};
use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion, SamplingMode};

/// Number of backend servers, and of tasks that wait.
const SIZES: [(usize, usize); 3] = [(350, 3_000), (1_000, 6_000), (3_000, 10_000)];

const RACK_SERVERS: usize = 12;

/// Tasks of the three kinds together.
const TASKS_OF_KINDS: usize = 13 + 5 + 39;

#[derive(Clone)]
struct Fleet {
    engine: Engine,
    entries: Vec<fleet::ServerEntry>,
    running: BTreeMap<id::BackendServerId, Vec<RunName>>,
    now_ms: u64,
    job_count: usize,
    row_version: u64,
}

impl Fleet {
    fn new(servers: usize) -> Self {
        let entries: Vec<_> = (0..servers).map(server_entry).collect();
        let mut fleet = Self {
            engine: Engine::new(Settings::default()),
            entries,
            running: BTreeMap::new(),
            now_ms: 1_000_000,
            job_count: 0,
            row_version: 0,
        };
        let terms = fleet_model::standard_terms(300);
        fleet.engine.set_terms(std::sync::Arc::new(terms));
        let now = fleet.now();
        fleet.engine.set_servers(fleet.entries.clone(), now);
        fleet.reply_to_holds();
        fleet
    }

    fn now(&self) -> Now {
        Now {
            ms: self.now_ms,
            unix_ms: self.now_ms,
        }
    }

    fn reply_to_holds(&mut self) {
        let now = self.now();
        // Without a recent confirmation nothing is placed.
        self.engine.set_evacuated_zones(BTreeSet::new(), now.ms);
        for entry in &self.entries {
            let _ = self.engine.next_hold(&entry.id, now);
            let reply = hold_reply(now, &entry.id, &self.running);
            self.engine.hold_reply(&entry.id, now.ms, &reply, now);
        }
    }

    /// Submits jobs until `tasks` more tasks wait, at the rate of the load.
    fn submit(&mut self, tasks: usize) {
        let jobs = tasks * 3 / TASKS_OF_KINDS;
        let jobs_per_s = self.entries.len() / 10;
        for number in 0..jobs {
            let (queue, step) = match self.job_count % 3 {
                0 => (fleet_model::NORMAL, wide_gang()),
                1 => (fleet_model::URGENT, fleet_model::gang(5, 4, 1_500)),
                _ => (fleet_model::BATCH, fleet_model::step(39, 1, 6_000)),
            };
            let id = id::JobId::new(&format!("job-{:06}", self.job_count)).expect("a valid id");
            let terms = fleet_model::standard_terms(300);
            let queue = id::QueueName::new(queue).expect("a valid name");
            let accepted = job::AcceptedJob {
                account: fleet_model::account("a"),
                terms: terms.queue(&queue).expect("a queue").job_settings.clone(),
                queue,
                accepted_unix_ms: self.now_ms,
                accepted_store_ms: Some(self.now_ms),
                caller_zone: None,
                spec: job::JobSpec {
                    payload: "p".into(),
                    steps: vec![step],
                    schedule: None,
                },
            };
            let age_ms = (jobs - number) as u64 * 1_000 / jobs_per_s as u64;
            let now = self.now();
            self.engine.submit(id, accepted, None, age_ms, now);
            self.job_count += 1;
        }
    }

    /// Stores all progress and confirms all starts; returns the number of starts.
    fn settle(&mut self) -> usize {
        let now = self.now();
        for write in self.engine.unstored_progress(usize::MAX) {
            self.row_version += 1;
            self.engine
                .mark_stored(&write.job, write.generation, self.row_version, now);
        }
        let mut starts = 0;
        for order in self.engine.take_orders() {
            if let Order::Start(server, start) = order {
                self.engine
                    .start_reply(&start.name, &StartOutcome::Present, now);
                self.running.entry(server).or_default().push(start.name);
                starts += 1;
            }
        }
        let _ = self.engine.take_events();
        starts
    }

    /// A fleet without room, and `tasks` waiting tasks.
    fn full(servers: usize, tasks: usize) -> Self {
        let mut fleet = Self::new(servers);
        loop {
            fleet.submit(servers * 4);
            fleet.now_ms += 10;
            let now = fleet.now();
            fleet.engine.decide(now);
            let starts = fleet.settle();
            fleet.reply_to_holds();
            if starts < servers / 10 {
                break;
            }
        }
        fleet.submit(tasks);
        fleet.now_ms += 50;
        fleet.reply_to_holds();
        fleet
    }

    fn decide(&mut self) {
        let now = self.now();
        self.engine.decide(now);
    }
}

fn wide_gang() -> job::StepSpec {
    let need = job::Resources {
        cpu_millicores: 52_000,
        memory_mb: 32_000,
        accelerators: 0,
    };
    job::StepSpec {
        need,
        ..fleet_model::gang(13, 0, 8_000)
    }
}

fn server_entry(number: usize) -> fleet::ServerEntry {
    let rack = format!("r{:04}", number / RACK_SERVERS);
    fleet::ServerEntry {
        id: id::BackendServerId::new(&format!("server-{number:05}")).expect("a valid id"),
        service: id::ServiceName::new(fleet_model::SERVICE).expect("a valid name"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: id::ZoneName::new("z").expect("a valid name"),
        is_draining: false,
        capacity: job::Resources {
            cpu_millicores: 64_000,
            memory_mb: 128_000,
            accelerators: 8,
        },
        cold_ms: 0,
        labels: vec!["kind".into(), rack.as_str().into()],
        incarnation: None,
    }
}

fn hold_reply(
    now: Now,
    server: &id::BackendServerId,
    running: &BTreeMap<id::BackendServerId, Vec<RunName>>,
) -> HoldReply {
    let running = running.get(server).into_iter().flatten();
    HoldReply {
        incarnation: fleet::Incarnation { started_unix_ms: 1 },
        server_ms: now.ms,
        running: running
            .map(|name| RunningEntry {
                name: name.clone(),
                checkpoint: "".into(),
                percent: 10,
                load: None,
            })
            .collect(),
        ended: Vec::new(),
        may_have_more_ends: false,
        has_unreadable_runs: false,
        ends_readable_upto: u64::MAX,
    }
}

fn bench_operations(criterion: &mut Criterion<ProcessorTime>) {
    let mut group = criterion.benchmark_group("engine");
    group
        .sample_size(10)
        .sampling_mode(SamplingMode::Flat)
        .warm_up_time(Duration::from_millis(100))
        .measurement_time(Duration::from_millis(500));
    for (servers, tasks) in SIZES {
        let mut free = Fleet::new(servers);
        free.submit(tasks);
        let mut measure = |name: &str, state: &Fleet, operation: &dyn Fn(&mut Fleet)| {
            group.bench_function(BenchmarkId::new(name, servers), |bencher| {
                bencher.iter_batched_ref(
                    || state.clone(),
                    |fleet| operation(black_box(fleet)),
                    BatchSize::PerIteration,
                );
            });
        };
        measure("decision, free fleet", &free, &Fleet::decide);
        let full = Fleet::full(servers, tasks);
        measure("decision, full fleet", &full, &Fleet::decide);
        let mut scan = Fleet::full(servers, 0);
        scan.decide();
        scan.settle();
        measure("decision without scan, full fleet", &scan, &Fleet::decide);
        scan.now_ms += 50;
        measure("decision with scan, full fleet", &scan, &Fleet::decide);
        let server = &full.entries[servers / 2].id;
        let reply = hold_reply(full.now(), server, &full.running);
        measure("hold reply", &full, &|fleet| {
            let now = fleet.now();
            fleet.engine.hold_reply(server, now.ms, &reply, now);
        });
        let mut unstored = free.clone();
        unstored.engine.decide(free.now());
        measure("45 rows to store", &unstored, &|fleet| {
            black_box(fleet.engine.unstored_progress(45));
        });
        let writes = unstored.engine.unstored_progress(45);
        measure("45 stored rows", &unstored, &|fleet| {
            let now = fleet.now();
            for write in &writes {
                fleet
                    .engine
                    .mark_stored(&write.job, write.generation, 1, now);
            }
        });
        measure("registry", &full, &|fleet| {
            let now = fleet.now();
            fleet.engine.set_servers(fleet.entries.clone(), now);
        });
    }
    group.finish();
}

/// Measures the processor time of the thread, which depends less on other load on the machine than
/// the time that passes.
struct ProcessorTime;

impl Measurement for ProcessorTime {
    type Intermediate = Duration;
    type Value = Duration;

    fn start(&self) -> Duration {
        fleet_model::processor_time()
    }

    fn end(&self, before: Duration) -> Duration {
        fleet_model::processor_time().saturating_sub(before)
    }

    fn add(&self, a: &Duration, b: &Duration) -> Duration {
        *a + *b
    }

    fn zero(&self) -> Duration {
        Duration::ZERO
    }

    fn to_f64(&self, value: &Duration) -> f64 {
        value.as_nanos() as f64
    }

    fn formatter(&self) -> &dyn ValueFormatter {
        WallTime.formatter()
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().with_measurement(ProcessorTime);
    targets = bench_operations
}
criterion_main!(benches);
