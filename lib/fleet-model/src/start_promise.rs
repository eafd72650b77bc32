//! The platform's promise of progress: work for which a service has room starts. Judged by what the
//! simulated servers really run, not by what the engine knows.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::orders::EndKind;
use camphorbeam_jobs::settings::{LEASE_EXPIRY_MARGIN_MS, SERVER_CLOCK_DRIFT_RATIO};
use camphorbeam_model::{id, job};

use crate::{crashes, ModelServer, Simulation, STEP_MS};

/// Time for which a start may be withheld, in milliseconds, as the platform states it.
pub const START_MAX_MS: u64 = 3_000;

/// Time without faults before a span counts, in milliseconds, as the platform states it.
pub const CALM_BEFORE_MS: u64 = 4_000;

/// Time after the last run of a long-running task from which on the promise holds for it, in
/// milliseconds, as the platform states it.
pub const LONG_RUNNING_DELAY_MS: u64 = 6_000;

/// How many times a unit has to fit.
const FITS_MIN: u64 = 2;

/// The promise holds while less than one in this many parts of a service is in use.
const IN_USE_PARTS: u64 = 2;

/// When the promise is judged. For long-running tasks the platform judges any calm time, however
/// much of the service is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Judged {
    /// From [`StartPromise::begin_end_phase`] on, as the platform does.
    EndPhase,
    /// At any calm time, which is stricter than the platform.
    AnyCalmTime,
}

/// What has to start at once.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Unit {
    /// The job.
    pub job: id::JobId,
    /// Index of the step, from 0.
    pub step: u32,
    /// The task, if it is judged for itself; otherwise a whole gang, or any task of the step.
    pub rank: Option<u32>,
}

/// A unit that didn't start although the promise held.
#[derive(Clone, Debug)]
pub struct Breach {
    /// The unit.
    pub unit: Unit,
    /// Number of tasks that have to start at once.
    pub tasks: u32,
    /// Number of such tasks for which there was room at the end of the span.
    pub room: u64,
    /// Whether less than half of the service was in use then.
    pub is_mostly_free: bool,
    /// Simulated time at which the span began.
    pub since_ms: u64,
    /// The engine's last [`Event::StartWithheld`] of the job, and its simulated time.
    pub withheld: Option<(u64, Event)>,
    /// Whether the rack of the step's data is in evacuated zones only. The task would run elsewhere,
    /// for longer.
    pub is_data_evacuated: bool,
}

impl Breach {
    /// What the engine says that the unit waited for.
    pub fn cause(&self) -> &'static str {
        match &self.withheld {
            _ if self.is_data_evacuated => "data rack evacuated",
            Some((_, Event::StartWithheld { cause, .. })) => cause,
            _ => "not said",
        }
    }
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Unit { job, step, rank } = &self.unit;
        write!(f, "{job}.{step}")?;
        if let Some(rank) = rank {
            write!(f, " rank {rank}")?;
        }
        let Self {
            tasks,
            room,
            is_mostly_free,
            since_ms,
            withheld,
            ..
        } = self;
        write!(
            f,
            " ({tasks} tasks, room {room}, mostly free {is_mostly_free}) since {since_ms}, {}: {withheld:?}",
            self.cause()
        )
    }
}

/// A server that may take work by the rules of the platform.
struct OpenServer<'a> {
    server: &'a ModelServer,
    free: job::Resources,
}

/// Watches a simulation for breaches of the promise. Jobs with a schedule aren't judged.
#[derive(Debug)]
pub struct StartPromise {
    judged: Judged,
    is_end_phase: bool,
    last_fault_ms: u64,
    /// Tasks whose success the scheduler has acknowledged.
    done: BTreeSet<job::TaskName>,
    /// Simulated time of the last end of each task.
    last_end_ms: BTreeMap<job::TaskName, u64>,
    /// The servers of the runs of each task that have been placed, until the end of the run or of a
    /// later one is acknowledged. A server may not have got the order, and a successor may know only
    /// an earlier run.
    placed: BTreeMap<job::TaskName, BTreeMap<id::Run, String>>,
    events_read: usize,
    /// Positions of the run records that may still change.
    unsettled: BTreeSet<usize>,
    records_read: usize,
    /// Since when each unit could have started, in simulated time.
    could_start_since: BTreeMap<Unit, u64>,
    /// Breaches so far, one for each span.
    pub breaches: Vec<Breach>,
}

impl StartPromise {
    /// Creates a watch that begins with a simulation.
    pub fn new(judged: Judged) -> Self {
        Self {
            judged,
            is_end_phase: false,
            last_fault_ms: 0,
            done: BTreeSet::new(),
            last_end_ms: BTreeMap::new(),
            placed: BTreeMap::new(),
            events_read: 0,
            unsettled: BTreeSet::new(),
            records_read: 0,
            could_start_since: BTreeMap::new(),
            breaches: Vec::new(),
        }
    }

    /// Notes that a fault begins or ends now.
    pub fn note_fault(&mut self, sim: &Simulation) {
        self.last_fault_ms = sim.now_ms;
    }

    /// Notes that from now on there are neither new faults nor new jobs.
    pub fn begin_end_phase(&mut self) {
        self.is_end_phase = true;
    }

    /// Advances the simulation by `duration_ms` and judges each step.
    pub fn run(&mut self, sim: &mut Simulation, duration_ms: u64) {
        let end_ms = sim.now_ms + duration_ms;
        while sim.now_ms < end_ms {
            sim.run(STEP_MS);
            self.observe(sim);
        }
    }

    /// Judges the state after a step. To be called after each.
    pub fn observe(&mut self, sim: &Simulation) {
        self.read_records(sim);
        if sim.is_store_unavailable || !sim.sends_holds || sim.is_operator_feed_lost {
            self.last_fault_ms = sim.now_ms;
        }
        if sim.now_ms < self.last_fault_ms + CALM_BEFORE_MS {
            self.could_start_since.clear();
            return;
        }
        let startable = self.startable_units(sim);
        self.could_start_since
            .retain(|unit, _| startable.contains_key(unit));
        for (unit, (tasks, room, is_mostly_free)) in startable {
            let since_ms = *self
                .could_start_since
                .entry(unit.clone())
                .or_insert(sim.now_ms);
            // The step at which the time is over, so that each span is reported once.
            if sim.now_ms == since_ms + START_MAX_MS {
                let withheld = last_withheld(sim, &unit.job);
                let step = &sim.accepted[&unit.job].spec.steps[unit.step as usize];
                let is_data_evacuated = step
                    .data_rack
                    .as_ref()
                    .is_some_and(|rack| is_evacuated(sim, rack));
                self.breaches.push(Breach {
                    unit,
                    tasks,
                    room,
                    is_mostly_free,
                    since_ms,
                    withheld,
                    is_data_evacuated,
                });
            }
        }
    }

    fn read_records(&mut self, sim: &Simulation) {
        for (_, event) in &sim.events[self.events_read..] {
            // The members of a gang have several servers; their records name them.
            if let Event::Placed {
                job,
                first,
                tasks: 1,
                run,
                server,
                ..
            } = event
            {
                let task = job::TaskName {
                    job: job.clone(),
                    index: *first,
                };
                let runs = self.placed.entry(task).or_default();
                runs.insert(*run, server.as_str().to_owned());
            }
        }
        self.events_read = sim.events.len();
        for record in &sim.run_records[self.records_read..] {
            let runs = self.placed.entry(record.name.task.clone()).or_default();
            runs.insert(record.name.run, record.server.clone());
        }
        self.unsettled
            .extend(self.records_read..sim.run_records.len());
        self.records_read = sim.run_records.len();
        let (done, last_end_ms) = (&mut self.done, &mut self.last_end_ms);
        let placed = &mut self.placed;
        self.unsettled.retain(|position| {
            let record = &sim.run_records[*position];
            let Some(ended_at_ms) = record.ended_at_ms else {
                return true;
            };
            let task = &record.name.task;
            last_end_ms.insert(task.clone(), ended_at_ms);
            if !record.is_acknowledged {
                // A server that has crashed since can't report the end any more.
                let incarnation = sim.servers[&record.server].incarnation;
                return record.end.is_some() && incarnation == record.incarnation;
            }
            if let Some(runs) = placed.get_mut(task) {
                runs.retain(|run, _| *run > record.name.run);
            }
            if record.end == Some(EndKind::Done) {
                done.insert(task.clone());
            }
            false
        });
    }

    /// Whether a scheduler may have to suppose that a task still runs. A server that is gone can't be
    /// told from one that is out of reach, so that rule TWICE forbids a start until its lease has
    /// run out; a successor doesn't know when it was renewed last.
    fn may_run(&self, sim: &Simulation, task: &job::TaskName) -> bool {
        let mut runs = self.placed.get(task).into_iter().flatten();
        let is_gone = |(_, server): (_, &String)| !sim.servers[server].is_reached();
        let settings = &sim.settings;
        let lease_ms = settings.lease_max_ms as f64 * (1.0 + SERVER_CLOCK_DRIFT_RATIO);
        let wait_ms = lease_ms as u64 + settings.renewal_grace_ms + LEASE_EXPIRY_MARGIN_MS;
        sim.now_ms < self.last_fault_ms + wait_ms && runs.any(is_gone)
    }

    /// Units whose turn has come, that don't run and fit [`FITS_MIN`] times: how many tasks each
    /// has, for how many there is room, and whether the service is mostly free.
    fn startable_units(&self, sim: &Simulation) -> BTreeMap<Unit, (u32, u64, bool)> {
        let runs = || {
            sim.servers
                .values()
                .flat_map(|server| server.running.keys())
        };
        let running: BTreeSet<&job::TaskName> = runs().map(|run| &run.task).collect();
        let running_jobs: BTreeSet<&id::JobId> = runs().map(|run| &run.task.job).collect();
        let reported: BTreeSet<&job::TaskName> = sim
            .servers
            .values()
            .flat_map(|server| &server.unacknowledged_ends)
            .filter(|end| end.kind == EndKind::Done)
            .map(|end| &end.name.task)
            .collect();
        let used = used_by_server(sim);
        let open = open_servers(sim, &used);
        let mostly_free = mostly_free_services(sim, &used);
        let mut units = BTreeMap::new();
        for (job, accepted) in &sim.accepted {
            // A job that was put into the simulation by hand has only the terms of its acceptance.
            let terms = sim.job_terms.get(job).unwrap_or(&accepted.terms);
            let service = &terms.service;
            let is_mostly_free = mostly_free.contains(service);
            let is_judged = (self.is_end_phase || self.judged == Judged::AnyCalmTime)
                && !running_jobs.contains(job)
                && is_mostly_free;
            if accepted.spec.schedule.is_some() || sim.state(job).is_final() {
                continue;
            }
            for (number, step) in (0..).zip(&accepted.spec.steps) {
                if !is_judged && !step.is_long_running {
                    continue;
                }
                let tasks = if step.is_gang { step.task_count } else { 1 };
                let room = room(&open, service, job, number, step);
                if room < FITS_MIN * u64::from(tasks) {
                    continue;
                }
                let is_finished = |earlier: &u32| {
                    let count = accepted.spec.steps[*earlier as usize].task_count;
                    (0..count).all(|rank| self.done.contains(&task_name(job, *earlier, rank)))
                };
                if !step.depends_on.iter().all(is_finished) {
                    continue;
                }
                let waits = |rank: &u32| {
                    let task = task_name(job, number, *rank);
                    !self.done.contains(&task)
                        && !running.contains(&task)
                        && !reported.contains(&task)
                        && !self.may_run(sim, &task)
                };
                let is_due = |rank: &u32| {
                    let last_ms = self.last_end_ms.get(&task_name(job, number, *rank));
                    last_ms.is_none_or(|last_ms| sim.now_ms >= last_ms + LONG_RUNNING_DELAY_MS)
                };
                let waiting: Vec<u32> = (0..step.task_count).filter(waits).collect();
                let is_whole = waiting.len() == step.task_count as usize;
                // The members of a gang start together.
                let ranks: Vec<Option<u32>> = match step.is_long_running {
                    true if !step.is_gang => waiting
                        .into_iter()
                        .filter(is_due)
                        .map(Option::Some)
                        .collect(),
                    _ if step.is_gang && !is_whole => Vec::new(),
                    true if !waiting.iter().all(is_due) => Vec::new(),
                    _ if waiting.is_empty() => Vec::new(),
                    _ => vec![None],
                };
                for rank in ranks {
                    let unit = Unit {
                        job: job.clone(),
                        step: number,
                        rank,
                    };
                    units.insert(unit, (tasks, room, is_mostly_free));
                }
            }
        }
        units
    }
}

fn task_name(job: &id::JobId, step: u32, rank: u32) -> job::TaskName {
    job::TaskName {
        job: job.clone(),
        index: job::TaskIndex {
            occurrence: 0,
            step,
            rank,
        },
    }
}

/// What the runs on each server use.
fn used_by_server(sim: &Simulation) -> BTreeMap<&String, job::Resources> {
    let used = sim.servers.iter().map(|(name, server)| {
        let needs = server.running.keys().map(|run| sim.need(run));
        let used = needs.fold(job::Resources::default(), |sum, need| sum.plus(&need));
        (name, used)
    });
    used.collect()
}

fn open_servers<'a>(
    sim: &'a Simulation,
    used: &BTreeMap<&String, job::Resources>,
) -> Vec<OpenServer<'a>> {
    let is_open = |(name, server): &(&String, &ModelServer)| {
        server.is_reached()
            && server.life == crashes::Life::Up
            && sim.registered.contains(*name)
            && !server.entry.is_draining
            && !server.fails_all
            && !server.hangs
            && !sim.evacuated_zones.contains(&server.entry.zone)
    };
    let open = sim.servers.iter().filter(is_open);
    open.map(|(name, server)| OpenServer {
        server,
        free: server.entry.capacity.minus(&used[name]),
    })
    .collect()
}

/// Services of whose registered servers less than half of each resource is in use.
fn mostly_free_services<'a>(
    sim: &'a Simulation,
    used: &BTreeMap<&String, job::Resources>,
) -> BTreeSet<&'a id::ServiceName> {
    let mut totals: BTreeMap<&id::ServiceName, (job::Resources, job::Resources)> = BTreeMap::new();
    for name in &sim.registered {
        let entry = &sim.servers[name].entry;
        let (capacity, in_use) = totals.entry(&entry.service).or_default();
        *capacity = capacity.plus(&entry.capacity);
        *in_use = in_use.plus(&used[name]);
    }
    let is_free = |capacity: u64, used: u64| capacity == 0 || IN_USE_PARTS * used < capacity;
    let is_mostly_free = |(capacity, used): &(job::Resources, job::Resources)| {
        is_free(capacity.cpu_millicores, used.cpu_millicores)
            && is_free(capacity.memory_mb, used.memory_mb)
            && is_free(capacity.accelerators, used.accelerators)
    };
    let free = totals
        .into_iter()
        .filter(|(_, total)| is_mostly_free(total));
    free.map(|(service, _)| service).collect()
}

/// For how many more tasks of a step the open servers have room.
fn room(
    open: &[OpenServer<'_>],
    service: &id::ServiceName,
    job: &id::JobId,
    number: u32,
    step: &job::StepSpec,
) -> u64 {
    let need = step.counted_need();
    let label = step.required_label.as_ref();
    let allowed = open.iter().filter(|open| {
        &open.server.entry.service == service
            && label.is_none_or(|label| open.server.entry.labels.contains(label))
    });
    let on_server = |open: &OpenServer<'_>| {
        let fits = fit_count(&open.free, &need);
        let of_step = open
            .server
            .running
            .keys()
            .filter(|run| &run.task.job == job && run.task.index.step == number);
        match step.tasks_per_server_max {
            0 => fits,
            limit => fits.min(u64::from(limit).saturating_sub(of_step.count() as u64)),
        }
    };
    allowed.map(on_server).sum()
}

/// How many times `need` fits into `free`; at most the number of tasks that a job may have.
fn fit_count(free: &job::Resources, need: &job::Resources) -> u64 {
    let ratio = |free: u64, need: u64| free.checked_div(need).unwrap_or(job::TASKS_MAX as u64);
    ratio(free.cpu_millicores, need.cpu_millicores)
        .min(ratio(free.memory_mb, need.memory_mb))
        .min(ratio(free.accelerators, need.accelerators))
}

/// Whether all registered servers of a rack are in evacuated zones.
fn is_evacuated(sim: &Simulation, rack: &Arc<str>) -> bool {
    let entries = sim.registered.iter().map(|name| &sim.servers[name].entry);
    let mut of_rack = entries.filter(|entry| entry.rack() == Some(rack));
    of_rack.all(|entry| sim.evacuated_zones.contains(&entry.zone))
}

fn last_withheld(sim: &Simulation, id: &id::JobId) -> Option<(u64, Event)> {
    let of_job =
        |(_, event): &&(u64, Event)| matches!(event, Event::StartWithheld { job, .. } if job == id);
    sim.events.iter().rev().find(of_job).cloned()
}
