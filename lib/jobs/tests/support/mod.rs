//! A model of backend servers that is driven by hand, so that the engine's decisions can be
//! watched over a simulated time without any I/O.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_jobs::engine::{Engine, Now, Order};
use camphorbeam_jobs::orders::{
    EndEntry, EndKind, HoldReply, RunName, RunningEntry, StartOutcome, StartRefusal, StopOutcome,
};
use camphorbeam_jobs::progress::{JobState, Progress};
use camphorbeam_jobs::settings::Settings;
use camphorbeam_model::{fleet, id, job, terms};

/// Length of a step of the simulated time.
pub const STEP_MS: u64 = 50;

/// Where the simulated time begins on the engine's clock.
pub const ORIGIN_MS: u64 = 1_000_000;

/// Time that a modelled server takes to end a stopped run.
const STOP_TAKES_MS: u64 = 400;

pub const SERVICE: &str = "svc";
pub const URGENT: &str = "urgent";
pub const NORMAL: &str = "normal";
pub const BATCH: &str = "batch";

struct Run {
    percent: f64,
    stop_at_ms: Option<u64>,
}

pub struct ModelServer {
    pub entry: fleet::ServerEntry,
    pub life: u64,
    /// Unreachable from the scheduler; it runs on.
    pub is_cut: bool,
    /// Ends every run as failed at once.
    pub fails_all: bool,
    /// Its runs make no progress.
    pub hangs: bool,
    /// Work done per millisecond, relative to estimates.
    pub speed_ratio: f64,
    running: BTreeMap<RunName, Run>,
    ended: Vec<EndEntry>,
    next_end: u64,
    lease_until_ms: u64,
}

/// One run of a task, as the servers saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    pub name: RunName,
    pub server: String,
    pub from_ms: u64,
    pub to_ms: Option<u64>,
    pub end: Option<EndKind>,
}

pub struct World {
    pub engine: Engine,
    pub now_ms: u64,
    pub servers: BTreeMap<String, ModelServer>,
    pub accepted: BTreeMap<id::JobId, job::AcceptedJob>,
    pub stored: BTreeMap<id::JobId, (Progress, u64)>,
    pub seen: Vec<Seen>,
    pub is_store_away: bool,
    pub completed_ms: BTreeMap<id::JobId, u64>,
    terms: Arc<terms::Terms>,
    settings: Settings,
    version: u64,
}

pub fn account(name: &str) -> id::ClientAccountName {
    id::ClientAccountName::new(name).unwrap()
}

fn job_terms(priority: u32) -> job::JobTerms {
    job::JobTerms {
        service: id::ServiceName::new(SERVICE).unwrap(),
        priority,
        attempts_max: 3,
        objective_ratio: 3.0,
        objective_extra_ms: 1_000,
    }
}

fn queue(name: &str, priority: u32) -> terms::Queue {
    terms::Queue {
        name: id::QueueName::new(name).unwrap(),
        host: "h".into(),
        path_prefix: "/".into(),
        is_public: false,
        call_timeout_ms: 3_000,
        needs_tickets: false,
        job_terms: job_terms(priority),
    }
}

/// Terms with three queues, and a guarantee of `accelerators` for account `a`.
pub fn standard_terms(accelerators: u64) -> terms::Terms {
    let accounts = [("a", accelerators), ("b", 0)].map(|(name, guaranteed_accelerators)| {
        let name = account(name);
        let entry = terms::Account {
            name: name.clone(),
            guaranteed_accelerators,
        };
        (name, entry)
    });
    terms::Terms {
        version: id::TermsVersion(1),
        queues: vec![queue(URGENT, 0), queue(NORMAL, 1), queue(BATCH, 2)],
        accounts: accounts.into_iter().collect(),
        ..terms::Terms::default()
    }
}

pub fn step(count: u32, accelerators: u64, work_ms: u64) -> job::StepSpec {
    job::StepSpec {
        task_count: count,
        need: job::Resources {
            cpu_millicores: 1_000,
            memory_mb: 1_000,
            accelerators,
        },
        estimate_ms: work_ms,
        ..job::StepSpec::default()
    }
}

pub fn gang(count: u32, accelerators: u64, work_ms: u64) -> job::StepSpec {
    job::StepSpec {
        is_gang: true,
        wants_one_rack: true,
        ..step(count, accelerators, work_ms)
    }
}

impl World {
    /// `racks` racks of `per_rack` servers with 8 accelerators each.
    pub fn new(racks: usize, per_rack: usize, guaranteed: u64) -> Self {
        let settings = Settings::default();
        let mut world = Self {
            engine: Engine::new(settings),
            now_ms: ORIGIN_MS,
            servers: BTreeMap::new(),
            accepted: BTreeMap::new(),
            stored: BTreeMap::new(),
            seen: Vec::new(),
            is_store_away: false,
            completed_ms: BTreeMap::new(),
            terms: Arc::new(standard_terms(guaranteed)),
            settings,
            version: 0,
        };
        for rack in 0..racks {
            for place in 0..per_rack {
                world.add_server(&format!("s{rack}-{place}"), &format!("r{rack}"));
            }
        }
        world.engine.set_terms(Arc::clone(&world.terms));
        world.register();
        world.run(200);
        world
    }

    fn add_server(&mut self, name: &str, rack: &str) {
        let entry = fleet::ServerEntry {
            id: id::BackendServerId::new(name).unwrap(),
            service: id::ServiceName::new(SERVICE).unwrap(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: id::ZoneName::new("z").unwrap(),
            is_draining: false,
            capacity: job::Resources {
                cpu_millicores: 64_000,
                memory_mb: 128_000,
                accelerators: 8,
            },
            labels: vec!["kind".into(), rack.into()],
        };
        let server = ModelServer {
            entry,
            life: 1,
            is_cut: false,
            fails_all: false,
            hangs: false,
            speed_ratio: 1.0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            lease_until_ms: 0,
        };
        self.servers.insert(name.to_owned(), server);
    }

    pub fn now(&self) -> Now {
        Now {
            ms: self.now_ms,
            unix_ms: self.now_ms,
        }
    }

    /// Registers all servers but those that are cut off.
    pub fn register(&mut self) {
        let reachable = self.servers.values().filter(|server| !server.is_cut);
        let entries = reachable.map(|server| server.entry.clone()).collect();
        let now = self.now();
        self.engine.set_servers(entries, now);
    }

    pub fn submit(
        &mut self,
        name: &str,
        queue: &str,
        of: &str,
        steps: Vec<job::StepSpec>,
    ) -> id::JobId {
        let id = id::JobId::new(name).unwrap();
        let priority = self.terms.queue(&id::QueueName::new(queue).unwrap());
        let accepted = job::AcceptedJob {
            account: account(of),
            queue: id::QueueName::new(queue).unwrap(),
            terms: priority.unwrap().job_terms.clone(),
            accepted_unix_ms: self.now_ms,
            spec: job::JobSpec {
                payload: "p".into(),
                steps,
                schedule: None,
            },
        };
        self.accepted.insert(id.clone(), accepted.clone());
        let now = self.now();
        self.engine.submit(id.clone(), accepted, None, now);
        id
    }

    pub fn cancel(&mut self, id: &id::JobId) {
        let now = self.now();
        self.engine.cancel(id, now);
    }

    /// Another scheduler takes over with what is stored and registered.
    pub fn take_over(&mut self) {
        self.engine = Engine::new(self.settings);
        self.engine.set_terms(Arc::clone(&self.terms));
        self.register();
        let now = self.now();
        for (id, accepted) in &self.accepted {
            let stored = self.stored.get(id).cloned();
            self.engine
                .submit(id.clone(), accepted.clone(), stored, now);
        }
    }

    /// A server crashes and starts anew under its id.
    pub fn crash(&mut self, name: &str) {
        let now_ms = self.now_ms;
        let server = self.servers.get_mut(name).unwrap();
        for run in std::mem::take(&mut server.running).into_keys() {
            close(&mut self.seen, &run, name, now_ms, None);
        }
        server.ended.clear();
        server.next_end = 1;
        server.life += 1;
    }

    pub fn state(&self, id: &id::JobId) -> JobState {
        self.stored
            .get(id)
            .map_or(JobState::Queued, |(progress, _)| progress.state)
    }

    pub fn server(&mut self, name: &str) -> &mut ModelServer {
        self.servers.get_mut(name).unwrap()
    }

    pub fn running_on(&self, name: &str) -> usize {
        self.servers[name].running.len()
    }

    /// Lets `duration_ms` pass.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.work();
            self.hold_all();
            let now = self.now();
            self.engine.decide(now);
            self.store();
            self.deliver();
        }
    }

    /// Runs until `done` or `limit_ms` has passed; whether it came to that.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end_ms = self.now_ms + limit_ms;
        while self.now_ms < end_ms && !done(self) {
            self.run(STEP_MS);
        }
        done(self)
    }

    fn store(&mut self) {
        if self.is_store_away {
            return;
        }
        for change in self.engine.unstored(100) {
            self.version += 1;
            if change.progress.state == JobState::Completed {
                self.completed_ms
                    .entry(change.job.clone())
                    .or_insert(self.now_ms);
            }
            self.stored
                .insert(change.job.clone(), (change.progress.clone(), self.version));
            let now = self.now();
            self.engine
                .stored(&change.job, change.generation, self.version, now);
        }
    }

    fn hold_all(&mut self) {
        let now = self.now();
        let names: Vec<String> = self.servers.keys().cloned().collect();
        for name in names {
            let id = id::BackendServerId::new(&name).unwrap();
            let Some(order) = self.engine.next_hold(&id, now) else {
                continue;
            };
            let server = self.servers.get_mut(&name).unwrap();
            if server.is_cut {
                continue;
            }
            server
                .ended
                .retain(|end| end.number > order.ends_acknowledged);
            server.lease_until_ms = server
                .lease_until_ms
                .max(order.lease_until_server_ms.unwrap_or(0));
            let running = server.running.iter().map(|(name, run)| RunningEntry {
                name: name.clone(),
                checkpoint: "".into(),
                percent: run.percent as u32,
            });
            let reply = HoldReply {
                life: fleet::Life {
                    started_unix_ms: server.life,
                },
                server_ms: now.ms,
                running: running.collect(),
                ended: server.ended.clone(),
            };
            self.engine.hold_reply(&id, now.ms, &reply, now);
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        for order in self.engine.take_orders() {
            match order {
                Order::Start(on, start) => {
                    let outcome = self.start(on.as_str(), &start.name);
                    self.engine.start_reply(&start.name, &outcome, now);
                }
                Order::Stop(on, name) => {
                    let server = self.servers.get_mut(on.as_str()).unwrap();
                    let outcome = match server.is_cut {
                        true => StopOutcome::Unknown {
                            reason: "cut".to_owned(),
                        },
                        false => {
                            if let Some(run) = server.running.get_mut(&name) {
                                run.stop_at_ms.get_or_insert(now.ms + STOP_TAKES_MS);
                            }
                            StopOutcome::Accepted
                        }
                    };
                    self.engine.stop_reply(&name, &outcome, now);
                }
            }
        }
    }

    fn start(&mut self, on: &str, name: &RunName) -> StartOutcome {
        let need = self.need(name);
        let used = self.servers[on]
            .running
            .keys()
            .fold(job::Resources::default(), |sum, run| {
                sum.plus(&self.need(run))
            });
        let server = self.servers.get_mut(on).unwrap();
        if server.is_cut {
            return StartOutcome::Unknown {
                reason: "cut".to_owned(),
            };
        }
        if !server.entry.capacity.minus(&used).holds(&need) {
            return StartOutcome::Refused(StartRefusal::NoRoom);
        }
        server.running.insert(
            name.clone(),
            Run {
                percent: 0.0,
                stop_at_ms: None,
            },
        );
        self.seen.push(Seen {
            name: name.clone(),
            server: on.to_owned(),
            from_ms: self.now_ms,
            to_ms: None,
            end: None,
        });
        StartOutcome::Present
    }

    fn spec(&self, name: &RunName) -> &job::StepSpec {
        &self.accepted[&name.task.job].spec.steps[name.task.index.step as usize]
    }

    fn need(&self, name: &RunName) -> job::Resources {
        self.spec(name).need
    }

    /// Lets tasks progress and ends those that are finished, stopped or lapsed.
    fn work(&mut self) {
        let present: BTreeSet<RunName> = self
            .servers
            .values()
            .flat_map(|server| server.running.keys().cloned())
            .collect();
        let now_ms = self.now_ms;
        let mut ends: Vec<(String, RunName, EndKind)> = Vec::new();
        let mut finished_gangs: BTreeSet<(id::JobId, u32)> = BTreeSet::new();
        let names: Vec<String> = self.servers.keys().cloned().collect();
        for on in &names {
            let runs: Vec<RunName> = self.servers[on].running.keys().cloned().collect();
            for run in runs {
                let spec = self.spec(&run).clone();
                let is_whole = !spec.is_gang
                    || (0..spec.task_count).all(|rank| {
                        let mut member = run.clone();
                        member.task.index.rank = rank;
                        present.contains(&member)
                    });
                let server = self.servers.get_mut(on).unwrap();
                let lapsed = now_ms > server.lease_until_ms;
                let rate = server.speed_ratio * STEP_MS as f64 * 100.0 / spec.estimate_ms as f64;
                let (hangs, fails) = (server.hangs, server.fails_all);
                let state = server.running.get_mut(&run).unwrap();
                if is_whole && !hangs {
                    state.percent += rate;
                }
                let kind = match () {
                    () if lapsed => Some(EndKind::Lapsed),
                    () if state.stop_at_ms.is_some_and(|at_ms| now_ms >= at_ms) => {
                        Some(EndKind::Stopped)
                    }
                    () if fails => Some(EndKind::Failed),
                    () if state.percent >= 100.0 => Some(EndKind::Done),
                    () => None,
                };
                if kind == Some(EndKind::Done) && spec.is_gang {
                    finished_gangs.insert((run.task.job.clone(), run.task.index.step));
                }
                if let Some(kind) = kind {
                    ends.push((on.clone(), run, kind));
                }
            }
        }
        for on in &names {
            for run in self.servers[on].running.keys() {
                let gang = (run.task.job.clone(), run.task.index.step);
                let is_listed = ends.iter().any(|(_, ended, _)| ended == run);
                if finished_gangs.contains(&gang) && !is_listed {
                    ends.push((on.clone(), run.clone(), EndKind::Done));
                }
            }
        }
        let mut broken = Vec::new();
        for (on, run, kind) in &ends {
            if self.spec(run).is_gang && *kind != EndKind::Done {
                for other in &names {
                    for member in self.servers[other].running.keys() {
                        let is_same = member.task.job == run.task.job
                            && member.task.index.step == run.task.index.step
                            && member != run;
                        let is_listed = ends.iter().any(|(_, ended, _)| ended == member);
                        if is_same && !is_listed {
                            broken.push((other.clone(), member.clone(), EndKind::Broken));
                        }
                    }
                }
            }
            let _ = on;
        }
        ends.extend(broken);
        for (on, run, kind) in ends {
            let server = self.servers.get_mut(&on).unwrap();
            if server.running.remove(&run).is_none() {
                continue;
            }
            let number = server.next_end;
            server.next_end += 1;
            server.ended.push(EndEntry {
                number,
                name: run.clone(),
                kind,
                checkpoint: "".into(),
            });
            close(&mut self.seen, &run, &on, now_ms, Some(kind));
        }
    }

    /// Fails if two runs of one task overlapped, or one started after a finished one was stored.
    pub fn assert_no_task_twice(&self) {
        for (number, one) in self.seen.iter().enumerate() {
            for other in &self.seen[number + 1..] {
                if one.name.task != other.name.task {
                    continue;
                }
                let end_ms = one.to_ms.unwrap_or(u64::MAX);
                assert!(
                    other.from_ms >= end_ms,
                    "two runs at the same time: {one:?} and {other:?}"
                );
                assert!(
                    other.name.run > one.name.run,
                    "run numbers went back: {one:?}, {other:?}"
                );
            }
        }
    }
}

fn close(seen: &mut [Seen], run: &RunName, on: &str, now_ms: u64, end: Option<EndKind>) {
    let open = seen
        .iter_mut()
        .find(|seen| &seen.name == run && seen.server == on && seen.to_ms.is_none());
    if let Some(open) = open {
        open.to_ms = Some(now_ms);
        open.end = end;
    }
}
