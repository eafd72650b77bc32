//! A discrete-time simulation of backend servers, for testing the engine's decisions over
//! simulated time without I/O.

pub mod advice;
pub mod crashes;
pub mod load;
mod orders;
pub mod report;
mod run_progress;
pub mod start_promise;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_jobs::engine::{Engine, Now};
use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::orders::{
    EndEntry, EndKind, HoldReply, PaceOrder, PaceOutcome, RunName, RunningEntry,
};
use camphorbeam_jobs::progress::{JobState, Progress};
use camphorbeam_jobs::settings::Settings;
use camphorbeam_model::{fleet, id, job, terms};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

/// Length of one simulation step.
pub const STEP_MS: u64 = 50;

/// Time on the engine's clock at which the simulation starts.
pub const ORIGIN_MS: u64 = 1_000_000;

/// Name of the service that all simulated servers belong to.
pub const SERVICE: &str = "svc";
/// Queue of priority 0, the highest.
pub const URGENT: &str = "urgent";
/// Queue of priority 1.
pub const NORMAL: &str = "normal";
/// Queue of priority 2, the lowest.
pub const BATCH: &str = "batch";

/// Time that a run needs to resume from a checkpoint.
const RESTORE_MS: u64 = 600;

/// Interval between the checkpoints of a run.
const CHECKPOINT_INTERVAL_MS: f64 = 1_000.0;

/// Factor by which a task runs longer outside the rack of its data, or in a gang that spans several
/// racks although it prefers one.
const REMOTE_SLOWDOWN: f64 = 3.0;

/// Number of cores that one accelerator counts as when lost work is added up.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// Time after a reduction of a server's capacity in which starts may still exceed it: `contact_ms`
/// and one heartbeat of the users' smallest sites.
pub const SHRUNK_GRACE_MS: u64 = 3_000 + 1_000;

/// State of a run on a server.
struct Run {
    percent: f64,
    checkpoint_percent: f64,
    resumes_at_ms: u64,
    run_time_ms: f64,
    since_checkpoint_ms: f64,
    stop_at_ms: Option<u64>,
}

/// Actual behavior of a job's tasks, as opposed to what the caller declares.
#[derive(Clone, Debug, Default)]
pub struct TaskBehavior {
    /// Run time of each task on a server of speed 1 near its data. The caller's estimate applies to
    /// tasks without an entry.
    pub work_ms: BTreeMap<job::TaskIndex, u64>,
    /// Whether the tasks fail on every server.
    pub always_fails: bool,
    /// Whether every server refuses to start the tasks, as an order that it doesn't understand.
    pub is_refused: bool,
    /// Whether tasks that have reached 100 percent run on.
    pub stays: bool,
    /// Ranks of the tasks that crash their servers, and when.
    pub deadly: BTreeMap<u32, crashes::CrashTrigger>,
}

/// A simulated backend server.
pub struct ModelServer {
    /// Entry of the server in the registry.
    pub entry: fleet::ServerEntry,
    /// Rises with each crash.
    pub incarnation: u64,
    /// Whether a process listens at the address.
    pub life: crashes::Life,
    /// Whether the server refuses what exceeds its capacity.
    pub enforces_capacity: bool,
    /// Earlier capacities, and until when starts that fit them are accepted.
    earlier_capacities: Vec<(job::Resources, u64)>,
    /// Whether the scheduler can't reach the server. Its runs continue.
    pub is_unreachable: bool,
    /// Whether every run fails at once.
    pub fails_all: bool,
    /// Whether runs make no progress.
    pub hangs: bool,
    /// Whether replies to start orders are lost after the orders were carried out.
    pub loses_start_replies: bool,
    /// Speed relative to the declared run times.
    pub speed_ratio: f64,
    running: BTreeMap<RunName, Run>,
    /// Highest scheduler epoch seen. Delayed start orders of older epochs are dropped.
    highest_epoch: u64,
    /// Highest run number of each task that ended or was ruled out by a stop order. Starts up to it
    /// are refused as outdated.
    highest_ended_runs: BTreeMap<job::TaskName, id::Run>,
    unacknowledged_ends: Vec<EndEntry>,
    next_end_number: u64,
    /// Simulated time at which the server's clock began.
    clock_origin_ms: u64,
    /// On the server's clock.
    lease_until_ms: u64,
}

impl ModelServer {
    /// Creates a server that runs nothing.
    pub fn new(entry: fleet::ServerEntry) -> Self {
        Self {
            entry,
            incarnation: 1,
            life: crashes::Life::Up,
            enforces_capacity: true,
            earlier_capacities: Vec::new(),
            is_unreachable: false,
            fails_all: false,
            hangs: false,
            loses_start_replies: false,
            highest_epoch: 0,
            highest_ended_runs: BTreeMap::new(),
            speed_ratio: 1.0,
            running: BTreeMap::new(),
            unacknowledged_ends: Vec::new(),
            next_end_number: 1,
            clock_origin_ms: 0,
            lease_until_ms: 0,
        }
    }

    /// The time on the server's clock.
    pub fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.clock_origin_ms
    }

    /// Extends the lease as an order says; a longer one is cut to `lease_max_ms` from now on.
    fn extend_lease(&mut self, until_ms: u64, lease_max_ms: u64, now_ms: u64) {
        let longest_ms = self.clock_ms(now_ms) + lease_max_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(longest_ms));
    }

    /// Whether the scheduler reaches a process at the address.
    pub fn is_reached(&self) -> bool {
        !self.is_unreachable && !matches!(self.life, crashes::Life::Down { .. })
    }
}

/// One run of a task, as observed on the servers.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Task and number of the run.
    pub name: RunName,
    /// Server that the run was started on.
    pub server: String,
    /// Simulated time of the start.
    pub started_at_ms: u64,
    /// Simulated time of the end; `None` while running.
    pub ended_at_ms: Option<u64>,
    /// How the run ended; `None` while running and after a crash of the server.
    pub end: Option<EndKind>,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Whether the scheduler acknowledged the end.
    pub is_acknowledged: bool,
}

/// Processor time spent on the engine's decisions.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecisionTimes {
    /// Number of decisions.
    pub count: u32,
    /// Sum over all decisions.
    pub total: std::time::Duration,
    /// Maximum of a single decision.
    pub longest: std::time::Duration,
}

/// Returns the processor time of this thread, which doesn't depend on other load on the machine.
pub fn processor_time() -> std::time::Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    std::time::Duration::new(seconds, nanoseconds)
}

impl DecisionTimes {
    fn record(&mut self, duration: std::time::Duration) {
        self.count += 1;
        self.total += duration;
        self.longest = self.longest.max(duration);
    }
}

/// An engine, the simulated servers that it controls, and the stored progress of its jobs.
pub struct Simulation {
    /// The engine under test.
    pub engine: Engine,
    /// Current simulated time.
    pub now_ms: u64,
    /// Simulated servers by id.
    pub servers: BTreeMap<String, ModelServer>,
    /// Names of the servers in the registry.
    registered: BTreeSet<String>,
    /// All submitted jobs.
    pub accepted: BTreeMap<id::JobId, job::AcceptedJob>,
    /// Progress of jobs in the store, with the version of the row.
    pub stored: BTreeMap<id::JobId, (Progress, u64)>,
    /// All runs in the order in which they started.
    pub run_records: Vec<RunRecord>,
    /// Whether the store accepts no writes.
    pub is_store_unavailable: bool,
    /// Whether registry entries name the incarnation of their server.
    pub registers_lives: bool,
    /// Whether servers that tasks crash are back at once, under their ids.
    pub keeps_ids: bool,
    /// Time until a server that a task has crashed is back under a new id.
    pub restart_ms: u64,
    /// Starts beyond the capacity of a server that doesn't enforce it, and when they were.
    pub starts_over_capacity: Vec<(u64, String, RunName)>,
    /// Crashes of servers that came back as others.
    pub crash_records: Vec<crashes::CrashRecord>,
    /// Zones that operators have asked to evacuate.
    pub evacuated_zones: BTreeSet<id::ZoneName>,
    /// Whether the scheduler can't read the operators' requests. It can't either while the store is
    /// unavailable.
    pub is_operator_feed_lost: bool,
    /// The service that gives placement advice, if a queue needs it.
    pub adviser: Option<advice::ModelAdviser>,
    /// Share of start orders that get no reply and are carried out 2 to 12 s later.
    pub delayed_start_ratio: f64,
    /// Servers to which no start order can be sent. Holds reach them.
    pub refuses_connections: BTreeSet<String>,
    /// Whether an order that an earlier life of a server has received may be carried out by a later
    /// one, within its lease.
    pub delayed_starts_outlive_servers: bool,
    delayed_starts: Vec<orders::DelayedStart>,
    epoch: u64,
    random: ChaCha8Rng,
    /// Events that the engine reported, with the simulated time of each.
    pub events: Vec<(u64, Event)>,
    /// Load that each run reports.
    pub loads: BTreeMap<RunName, f64>,
    /// Pace orders that were sent, in their order.
    pub pace_orders: Vec<(u64, PaceOrder)>,
    /// Pace that each run has by the orders that were carried out; 100 without an entry.
    pub paces: BTreeMap<RunName, u32>,
    /// Outcome of pace orders in place of `Accepted`. They are not carried out then.
    pub pace_outcome: Option<PaceOutcome>,
    /// Time between two holds.
    pub hold_interval_ms: u64,
    /// Whether hold orders are sent to the servers.
    pub sends_holds: bool,
    /// Number of ends that a server lists at a time.
    pub ends_listed_max: usize,
    /// Simulated time at which the completion of each job was stored.
    pub completed_at_ms: BTreeMap<id::JobId, u64>,
    /// Actual behavior of jobs; jobs without an entry run as their callers estimate.
    pub task_behaviors: BTreeMap<id::JobId, TaskBehavior>,
    /// Factor by which tasks with the first image run longer while a task with the second image
    /// runs on the same server.
    pub neighbour_slowdowns: BTreeMap<(Arc<str>, Arc<str>), f64>,
    /// Core-seconds of work lost by runs that ended unfinished. Work saved in checkpoints and runs
    /// on crashed servers don't count.
    pub lost_core_s: f64,
    /// Processor time spent on the engine's decisions.
    pub decision_times: DecisionTimes,
    /// Zone of the callers of jobs that are submitted from now on.
    pub caller_zone: Option<id::ZoneName>,
    terms: Arc<terms::Terms>,
    /// The settings that apply to each job. Those of a removed queue stay as they were until a
    /// takeover, and then are those at the acceptance.
    job_terms: BTreeMap<id::JobId, job::QueueJobSettings>,
    settings: Settings,
    version: u64,
}

/// Returns the validated name of a client account.
///
/// # Panics
///
/// Panics if the name is invalid.
pub fn account(name: &str) -> id::ClientAccountName {
    id::ClientAccountName::new(name).unwrap()
}

fn job_settings(priority: u32) -> job::QueueJobSettings {
    job::QueueJobSettings {
        service: id::ServiceName::new(SERVICE).unwrap(),
        priority,
        attempts_max: 3,
        objective_ratio: if priority == 0 { 1.5 } else { 3.0 },
        objective_extra_ms: [250, 1_000, 3_000][priority as usize],
        advice: None,
    }
}

fn queue(name: &str, priority: u32) -> terms::Queue {
    terms::Queue {
        name: id::QueueName::new(name).unwrap(),
        host: "h".into(),
        path_prefix: "/".into(),
        is_public: false,
        call_timeout_ms: 3_000,
        job_settings: job_settings(priority),
    }
}

/// Returns terms with three queues, and a guarantee of `accelerators` for account `a`.
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

/// Returns a step of `count` independent tasks.
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

/// Number of ends that the servers of the users' platform list at a time.
pub const ENDS_LISTED_MAX: usize = 500;

/// Returns a step of `count` tasks that run as a gang and prefer one rack.
pub fn gang(count: u32, accelerators: u64, work_ms: u64) -> job::StepSpec {
    job::StepSpec {
        is_gang: true,
        prefers_one_rack: true,
        ..step(count, accelerators, work_ms)
    }
}

impl Simulation {
    /// Creates `racks` racks of `servers_per_rack` servers with 8 accelerators each, and guarantees
    /// `guaranteed` accelerators to account `a`.
    pub fn new(racks: usize, servers_per_rack: usize, guaranteed: u64) -> Self {
        Self::with_settings(racks, servers_per_rack, guaranteed, Settings::default())
    }

    /// Like [`Simulation::new`], with other settings of the engine.
    pub fn with_settings(
        racks: usize,
        servers_per_rack: usize,
        guaranteed: u64,
        settings: Settings,
    ) -> Self {
        let mut sim = Self {
            engine: Engine::new(settings),
            now_ms: ORIGIN_MS,
            servers: BTreeMap::new(),
            registered: BTreeSet::new(),
            accepted: BTreeMap::new(),
            stored: BTreeMap::new(),
            run_records: Vec::new(),
            is_store_unavailable: false,
            registers_lives: false,
            keeps_ids: false,
            restart_ms: crashes::RESTART_MS,
            starts_over_capacity: Vec::new(),
            crash_records: Vec::new(),
            evacuated_zones: BTreeSet::new(),
            is_operator_feed_lost: false,
            adviser: None,
            delayed_start_ratio: 0.0,
            refuses_connections: BTreeSet::new(),
            delayed_starts_outlive_servers: true,
            delayed_starts: Vec::new(),
            epoch: 1,
            random: ChaCha8Rng::seed_from_u64(0),
            events: Vec::new(),
            sends_holds: true,
            ends_listed_max: ENDS_LISTED_MAX,
            loads: BTreeMap::new(),
            pace_orders: Vec::new(),
            paces: BTreeMap::new(),
            pace_outcome: None,
            hold_interval_ms: STEP_MS,
            completed_at_ms: BTreeMap::new(),
            task_behaviors: BTreeMap::new(),
            neighbour_slowdowns: BTreeMap::new(),
            lost_core_s: 0.0,
            decision_times: DecisionTimes::default(),
            caller_zone: None,
            terms: Arc::new(standard_terms(guaranteed)),
            job_terms: BTreeMap::new(),
            settings,
            version: 0,
        };
        for rack in 0..racks {
            for place in 0..servers_per_rack {
                sim.add_server(&format!("s{rack}-{place}"), &format!("r{rack}"));
            }
        }
        sim.engine.set_terms(Arc::clone(&sim.terms));
        sim.register();
        sim.run(200);
        sim
    }

    fn add_server(&mut self, name: &str, rack: &str) {
        let entry = fleet::ServerEntry {
            id: id::BackendServerId::new(name).unwrap(),
            service: id::ServiceName::new(SERVICE).unwrap(),
            address: ([127, 0, 0, 1], 1 + self.servers.len() as u16).into(),
            zone: id::ZoneName::new("z").unwrap(),
            is_draining: false,
            cold_ms: 0,
            capacity: job::Resources {
                cpu_millicores: 64_000,
                memory_mb: 128_000,
                accelerators: 8,
            },
            labels: vec!["kind".into(), rack.into()],
            incarnation: None,
        };
        let server = ModelServer::new(entry);
        self.servers.insert(name.to_owned(), server);
    }

    /// Returns the current simulated time in the form that the engine takes.
    pub fn now(&self) -> Now {
        Now {
            ms: self.now_ms,
            unix_ms: self.now_ms,
        }
    }

    /// Registers all servers that are reachable.
    pub fn register(&mut self) {
        let reachable = self
            .servers
            .iter()
            .filter(|(_, server)| !server.is_unreachable && server.life == crashes::Life::Up);
        let (registered, entries) = reachable
            .map(|(name, server)| {
                let incarnation = fleet::Incarnation {
                    started_unix_ms: server.incarnation,
                };
                let entry = fleet::ServerEntry {
                    incarnation: self.registers_lives.then_some(incarnation),
                    ..server.entry.clone()
                };
                (name.clone(), entry)
            })
            .unzip();
        self.registered = registered;
        let now = self.now();
        self.engine.set_servers(entries, now);
    }

    /// Sets the number of attempts of tasks in all queues.
    pub fn set_attempts_max(&mut self, attempts_max: u32) {
        self.change_terms(|terms| {
            for queue in &mut terms.queues {
                queue.job_settings.attempts_max = attempts_max;
            }
        });
    }

    /// Puts a new version of the terms into force.
    pub fn change_terms(&mut self, change: impl FnOnce(&mut terms::Terms)) {
        let terms = Arc::make_mut(&mut self.terms);
        terms.version.0 += 1;
        change(terms);
        self.engine.set_terms(Arc::clone(&self.terms));
        self.update_job_terms();
    }

    /// The names of the queues that take jobs.
    pub fn open_queues(&self) -> Vec<String> {
        let queues = self.terms.queues.iter();
        queues.map(|queue| queue.name.as_str().to_owned()).collect()
    }

    /// Gives all jobs the settings of their queue, unless it is removed.
    fn update_job_terms(&mut self) {
        for (id, accepted) in &self.accepted {
            if let Some(queue) = self.terms.queue(&accepted.queue) {
                self.job_terms
                    .insert(id.clone(), queue.job_settings.clone());
            }
        }
    }

    /// Lets the tasks of a job that is submitted afterwards run on once they have reached 100
    /// percent.
    pub fn let_stay(&mut self, name: &str) {
        let id = id::JobId::new(name).unwrap();
        self.task_behaviors.entry(id).or_default().stays = true;
    }

    /// Returns the runs of a job that have not ended.
    pub fn open_runs<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a RunRecord> + 'a {
        let is_open = move |record: &&RunRecord| {
            record.name.task.job.as_str() == job && record.ended_at_ms.is_none()
        };
        self.run_records.iter().filter(is_open)
    }

    /// Submits a job with the given steps.
    pub fn submit(
        &mut self,
        name: &str,
        queue: &str,
        account_name: &str,
        steps: Vec<job::StepSpec>,
    ) -> id::JobId {
        self.submit_job(name, queue, account_name, steps, None)
    }

    /// Submits a job whose steps run repeatedly on a schedule.
    pub fn submit_scheduled(
        &mut self,
        name: &str,
        queue: &str,
        account_name: &str,
        steps: Vec<job::StepSpec>,
        schedule: job::Schedule,
    ) -> id::JobId {
        self.submit_job(name, queue, account_name, steps, Some(schedule))
    }

    fn submit_job(
        &mut self,
        name: &str,
        queue: &str,
        account_name: &str,
        steps: Vec<job::StepSpec>,
        schedule: Option<job::Schedule>,
    ) -> id::JobId {
        let id = id::JobId::new(name).unwrap();
        let priority = self.terms.queue(&id::QueueName::new(queue).unwrap());
        let accepted = job::AcceptedJob {
            account: account(account_name),
            queue: id::QueueName::new(queue).unwrap(),
            terms: priority.unwrap().job_settings.clone(),
            accepted_unix_ms: self.now_ms,
            accepted_store_ms: Some(self.now_ms),
            caller_zone: self.caller_zone.clone(),
            spec: job::JobSpec {
                payload: "p".into(),
                steps,
                schedule,
            },
        };
        self.accepted.insert(id.clone(), accepted.clone());
        self.job_terms.insert(id.clone(), accepted.terms.clone());
        let now = self.now();
        self.engine.submit(id.clone(), accepted, None, 0, now);
        id
    }

    pub fn cancel(&mut self, id: &id::JobId) {
        let now = self.now();
        self.engine.cancel(id, now);
    }

    /// Replaces the engine as a scheduler takeover does: the new one knows only what is stored and
    /// registered.
    pub fn take_over(&mut self) {
        self.engine = Engine::new(self.settings);
        if let Some(adviser) = &mut self.adviser {
            adviser.open = None;
        }
        self.epoch += 1;
        self.engine.set_terms(Arc::clone(&self.terms));
        self.register();
        let now = self.now();
        for (id, accepted) in &self.accepted {
            let stored = self.stored.get(id).cloned();
            let age_ms = accepted.age_ms(now.ms, now.unix_ms);
            self.engine
                .submit(id.clone(), accepted.clone(), stored, age_ms, now);
            self.job_terms.insert(id.clone(), accepted.terms.clone());
        }
        self.update_job_terms();
    }

    /// Crashes a server, which restarts under the same id.
    pub fn crash(&mut self, name: &str) {
        let now_ms = self.now_ms;
        let server = self.servers.get_mut(name).unwrap();
        for run in std::mem::take(&mut server.running).into_keys() {
            close_record(&mut self.run_records, &run, name, now_ms, None);
        }
        server.unacknowledged_ends.clear();
        server.highest_ended_runs.clear();
        server.highest_epoch = 0;
        server.clock_origin_ms = now_ms;
        server.lease_until_ms = 0;
        server.next_end_number = 1;
        server.incarnation += 1;
    }

    /// Carries out all start orders of `job` again on one server, even if it is unreachable, as if
    /// they were delivered twice.
    pub fn redeliver_starts(&mut self, server_name: &str, job: &id::JobId) {
        let of_job = self
            .run_records
            .iter()
            .filter(|record| &record.name.task.job == job);
        let names: Vec<RunName> = of_job.map(|record| record.name.clone()).collect();
        let (now_ms, lease_max_ms) = (self.now_ms, self.settings.lease_max_ms);
        for name in names {
            let server = self.server(server_name);
            let is_unreachable = std::mem::replace(&mut server.is_unreachable, false);
            server.extend_lease(u64::MAX, lease_max_ms, now_ms);
            self.start(server_name, &name, "");
            self.server(server_name).is_unreachable = is_unreachable;
        }
    }

    /// Returns the stored state of a job; `Queued` if nothing is stored.
    pub fn state(&self, id: &id::JobId) -> JobState {
        self.stored
            .get(id)
            .map_or(JobState::Queued, |(progress, _)| progress.state)
    }

    /// Returns a server for modification.
    ///
    /// # Panics
    ///
    /// Panics if there is no such server.
    pub fn server(&mut self, name: &str) -> &mut ModelServer {
        self.servers.get_mut(name).unwrap()
    }

    /// Changes the capacity of a server. The registry shows it after the next
    /// [`Simulation::register`].
    pub fn set_capacity(&mut self, name: &str, capacity: job::Resources) {
        let until_ms = self.now_ms + SHRUNK_GRACE_MS;
        let server = self.server(name);
        let before = std::mem::replace(&mut server.entry.capacity, capacity);
        server.earlier_capacities.push((before, until_ms));
    }

    /// Returns the number of runs on a server.
    pub fn running_on(&self, name: &str) -> usize {
        self.servers[name].running.len()
    }

    /// Advances the simulation by `duration_ms`.
    pub fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            self.advance_runs();
            self.advance_lives();
            self.start_delayed();
            if self.sends_holds && self.now_ms.is_multiple_of(self.hold_interval_ms) {
                self.send_holds();
            }
            if !self.is_operator_feed_lost && !self.is_store_unavailable {
                let zones = self.evacuated_zones.clone();
                self.engine.set_evacuated_zones(zones, self.now_ms);
            }
            let now = self.now();
            let before = processor_time();
            self.engine.decide(now);
            self.decision_times
                .record(processor_time().saturating_sub(before));
            self.advise();
            self.store();
            self.deliver_orders();
            let now_ms = self.now_ms;
            let events = self.engine.take_events().into_iter();
            self.events.extend(events.map(|event| (now_ms, event)));
        }
    }

    /// Advances the simulation until `done` holds or `limit_ms` has passed. Returns whether `done`
    /// holds.
    pub fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end_ms = self.now_ms + limit_ms;
        while self.now_ms < end_ms && !done(self) {
            self.run(STEP_MS);
        }
        done(self)
    }

    fn store(&mut self) {
        if self.is_store_unavailable {
            return;
        }
        for change in self.engine.unstored_progress(100) {
            self.version += 1;
            if change.progress.state == JobState::Completed {
                self.completed_at_ms
                    .entry(change.job.clone())
                    .or_insert(self.now_ms);
            }
            self.stored
                .insert(change.job.clone(), (change.progress.clone(), self.version));
            let now = self.now();
            self.engine
                .mark_stored(&change.job, change.generation, self.version, now);
        }
    }

    fn send_holds(&mut self) {
        let now = self.now();
        let names: Vec<String> = self.servers.keys().cloned().collect();
        for name in names {
            let id = id::BackendServerId::new(&name).unwrap();
            let Some(order) = self.engine.next_hold(&id, now) else {
                continue;
            };
            let server = self.servers.get_mut(&name).unwrap();
            if !server.is_reached() {
                if order.lease_until_server_ms.is_some() {
                    self.engine.lease_unanswered(&id, now.ms, now);
                }
                self.engine.order_unanswered(&id, now.ms, now);
                continue;
            }
            if server.life == crashes::Life::Replaced {
                self.engine.doubt_life(&id, now);
                let address = server.entry.address;
                self.engine.server_replaced(&id, address, now);
                continue;
            }
            for end in &server.unacknowledged_ends {
                let is_same_run = |record: &&mut RunRecord| {
                    record.name == end.name
                        && record.server == name
                        && record.incarnation == server.incarnation
                };
                if end.number <= order.ends_acknowledged {
                    if let Some(record) = self.run_records.iter_mut().find(is_same_run) {
                        record.is_acknowledged = true;
                    }
                }
            }
            server
                .unacknowledged_ends
                .retain(|end| end.number > order.ends_acknowledged);
            server.highest_epoch = server.highest_epoch.max(self.epoch);
            let until_ms = order.lease_until_server_ms.unwrap_or(0);
            server.extend_lease(until_ms, self.settings.lease_max_ms, now.ms);
            let running = server.running.iter().map(|(name, run)| RunningEntry {
                name: name.clone(),
                checkpoint: checkpoint_text(run).into(),
                percent: run.percent as u32,
                load: self.loads.get(name).copied(),
            });
            let ends = server.unacknowledged_ends.iter();
            let ended: Vec<_> = ends.take(self.ends_listed_max).cloned().collect();
            let reply = HoldReply {
                incarnation: fleet::Incarnation {
                    started_unix_ms: server.incarnation,
                },
                server_ms: server.clock_ms(now.ms),
                running: running.collect(),
                may_have_more_ends: ended.len() >= self.ends_listed_max,
                ended,
                has_unreadable_runs: false,
                ends_readable_upto: u64::MAX,
            };
            self.engine.hold_reply(&id, now.ms, &reply, now);
        }
    }

    fn spec(&self, name: &RunName) -> &job::StepSpec {
        &self.accepted[&name.task.job].spec.steps[name.task.index.step as usize]
    }

    fn need(&self, name: &RunName) -> job::Resources {
        self.spec(name).counted_need()
    }
}

fn close_record(
    records: &mut [RunRecord],
    run: &RunName,
    server: &str,
    now_ms: u64,
    end: Option<EndKind>,
) {
    let open = records
        .iter_mut()
        .find(|open| &open.name == run && open.server == server && open.ended_at_ms.is_none());
    if let Some(open) = open {
        open.ended_at_ms = Some(now_ms);
        open.end = end;
    }
}

fn checkpoint_text(run: &Run) -> String {
    match run.checkpoint_percent > 0.0 {
        true => format!("{:.2}", run.checkpoint_percent),
        false => String::new(),
    }
}
