//! Maintenance waves: which machine has its upkeep next, and what happens to the work on it.
//!
//! [`WaveState`] decides for one wave; its caller lists the machines, stores the record and sends
//! the calls. The engine's part closes servers to new work and ends the work on them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::id;

use crate::engine::{Engine, Now};
use crate::open_job::{OpenJob, PlacementUnit};
use crate::progress;
use crate::server::Server;

/// Why a run is stopped; also a label value in metrics.
pub(crate) const MAINTENANCE_REASON: &str = "maintenance";

/// Part of the duration of a wave over which the upkeeps begin. The rest is for the upkeep of the
/// last machines, and for machines that had to wait.
const SPREAD_RATIO: f64 = 0.6;

/// Time from the stop of the runs on a machine until its upkeep begins even if some are left. A
/// stop takes less than a second, and its order is repeated after 500 ms.
const VACATE_LIMIT_MS: u64 = 3_000;

/// Number of successive lists without a machine after which it counts as gone. The pages of one
/// list are read at different times, so that one list may miss a machine.
const ABSENT_LISTS_MIN: u32 = 2;

/// Delay until a machine is asked again if nothing says that it can't have its upkeep.
const RETRY_MS: u64 = 1_000;

/// Delay until a machine is asked again that the platform doesn't know, or not in this wave.
const REFUSED_RETRY_MS: u64 = 5_000;

/// Number of refusals after which the server of a machine that the platform doesn't know, or not in
/// this wave, is no longer drained. The platform may learn of a wave later than the scheduler.
const REFUSALS_MAX: u32 = 3;

/// Part of the work of a task that is lost by a stop if it has checkpoints. How often it writes
/// them isn't known.
const CHECKPOINT_LOSS_RATIO: f64 = 0.25;

/// Name of a machine.
pub type MachineName = Arc<str>;

/// Name of a wave, as the operator wrote it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(untagged)]
pub enum WaveName {
    /// A number.
    Number(u64),
    /// A text.
    Text(Arc<str>),
}

/// An operator's request that each of some machines has its upkeep.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Wave {
    /// Key of the row.
    pub key: Arc<str>,
    /// Version of the row.
    pub version: u64,
    /// Name of the wave.
    pub name: WaveName,
    /// The machines.
    pub machines: BTreeSet<MachineName>,
    /// Time within which the upkeeps should be over.
    pub duration_ms: u64,
    /// Largest number of machines in upkeep at a time, at least 1.
    pub concurrency_max: usize,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It runs.
    Up,
    /// It is being moved.
    Moving,
    /// It has its upkeep.
    Upkeep,
    /// It doesn't run.
    Down,
}

/// A listed machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// What the machine does.
    pub state: MachineState,
    /// The backend server on it.
    pub server: Option<id::BackendServerId>,
}

/// All machines, by name.
pub type Machines = BTreeMap<MachineName, Machine>;

/// Outcome of a call that begins the upkeep of a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpkeepOutcome {
    /// The upkeep of this wave has begun or is over.
    Begun,
    /// Not now.
    Busy,
    /// The epoch is outdated.
    Fenced,
    /// The machine isn't part of the wave.
    NotOfWave,
    /// There is no such machine.
    UnknownMachine,
    /// Too many calls.
    RateLimited,
    /// Certainly not received.
    NotSent,
    /// The call may have had its effect.
    Unknown {
        /// Why there is no usable reply.
        reason: String,
    },
}

impl UpkeepOutcome {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Busy => "busy",
            Self::Fenced => "fenced",
            Self::NotOfWave => "not of wave",
            Self::UnknownMachine => "unknown machine",
            Self::RateLimited => "rate limited",
            Self::NotSent => "not sent",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// The stored record of a wave. It is written before each call, so that a successor knows of every
/// machine that may have begun its upkeep.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WaveRecord {
    /// Version of the wave's row that the record is about.
    pub version: u64,
    /// Name of the wave.
    pub name: WaveName,
    /// When this version was first seen, by the store's clock.
    pub began_store_ms: u64,
    /// Machines whose upkeep may have begun: a call may have been sent, and none was confirmed.
    pub asked: BTreeSet<MachineName>,
    /// Machines whose upkeep in this wave has begun, as a reply confirmed.
    pub confirmed: BTreeSet<MachineName>,
    /// Machines that were confirmed for an earlier version of the row, and not for this one.
    #[serde(default)]
    pub formerly_confirmed: BTreeSet<MachineName>,
}

impl WaveRecord {
    /// The record of `wave`, given the stored one. After a change of the row all machines that were
    /// confirmed have to be confirmed again, which has no effect on those whose upkeep is over.
    pub fn of_wave(wave: &Wave, stored: Option<&Self>, store_ms: u64) -> Self {
        match stored {
            Some(stored) if stored.version == wave.version && stored.name == wave.name => {
                stored.clone()
            }
            _ => {
                let same = stored.filter(|stored| stored.name == wave.name);
                let (mut asked, mut formerly) = (BTreeSet::new(), BTreeSet::new());
                if let Some(same) = same {
                    asked = same.asked.intersection(&wave.machines).cloned().collect();
                    let confirmed = same.confirmed.union(&same.formerly_confirmed);
                    formerly = confirmed.cloned().collect();
                    formerly.retain(|machine| wave.machines.contains(machine));
                }
                Self {
                    version: wave.version,
                    name: wave.name.clone(),
                    began_store_ms: store_ms,
                    asked,
                    confirmed: BTreeSet::new(),
                    formerly_confirmed: formerly,
                }
            }
        }
    }
}

/// What the upkeep of a machine would interrupt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Number of runs that may exist on the machine.
    pub runs: usize,
    /// Work that a stop loses, as the product of cores and milliseconds.
    pub lost_core_ms: u64,
}

/// What to do next for a wave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Servers that take no new work.
    pub closed: BTreeSet<id::BackendServerId>,
    /// Machine whose runs have to be stopped. At most one, since the stop changes the budgets.
    pub vacate: Option<(MachineName, id::BackendServerId)>,
    /// Machines whose upkeep has to begin, with their servers.
    pub ask: Vec<(MachineName, Option<id::BackendServerId>)>,
    /// Machines that are due, but whose long-running tasks must not be stopped now.
    pub blocked: Vec<MachineName>,
    /// Whether the list shows that all upkeeps are over.
    pub is_complete: bool,
}

/// The scheduler's state of a wave.
#[derive(Clone, Debug)]
pub struct WaveState {
    /// The request.
    pub wave: Wave,
    /// The stored record.
    pub record: WaveRecord,
    /// Machines that are drained to have their upkeep next.
    chosen: BTreeSet<MachineName>,
    /// When the runs on a machine were stopped.
    vacated_ms: BTreeMap<MachineName, u64>,
    /// Earliest time of the next call for a machine.
    not_before_ms: BTreeMap<MachineName, u64>,
    /// Number of successive lists without a machine.
    absent_lists: BTreeMap<MachineName, u32>,
    /// Machines with a call that got no reply, of this or an earlier scheduler.
    unanswered: BTreeSet<MachineName>,
    /// Number of refusals of machines that the platform doesn't know, or not in this wave.
    refusals: BTreeMap<MachineName, u32>,
}

impl WaveState {
    /// Creates the state of a wave with this record.
    pub fn new(wave: Wave, record: WaveRecord) -> Self {
        Self {
            wave,
            unanswered: record.asked.clone(),
            record,
            refusals: BTreeMap::new(),
            chosen: BTreeSet::new(),
            vacated_ms: BTreeMap::new(),
            not_before_ms: BTreeMap::new(),
            absent_lists: BTreeMap::new(),
        }
    }

    /// Takes note of a complete list, and returns the machines that count as gone from now on.
    pub fn record_list(&mut self, machines: &Machines) -> Vec<MachineName> {
        let mut gone = Vec::new();
        for name in &self.wave.machines {
            match machines.contains_key(name) {
                true => {
                    self.absent_lists.remove(name);
                }
                false => {
                    let lists = self.absent_lists.entry(name.clone()).or_default();
                    *lists = lists.saturating_add(1);
                    if *lists == ABSENT_LISTS_MIN {
                        gone.push(name.clone());
                    }
                }
            }
        }
        gone
    }

    /// Plans the next actions by a list that was requested after the last action. `taken` are
    /// machines that another wave has asked or will ask now. `may_interrupt` says whether the
    /// disruption budgets allow a stop of the long-running tasks on a server. It looks at all tasks
    /// of their steps, so that it is called only for machines with runs that have a place.
    pub fn plan(
        &mut self,
        machines: &Machines,
        taken: &BTreeSet<MachineName>,
        work_of: &dyn Fn(&id::BackendServerId) -> Work,
        may_interrupt: &dyn Fn(&id::BackendServerId) -> bool,
        elapsed_ms: u64,
        now_ms: u64,
    ) -> Plan {
        let mut plan = Plan::default();
        let wave = &self.wave;
        let is_gone = |name: &MachineName| {
            let lists = self.absent_lists.get(name);
            lists.is_some_and(|lists| *lists >= ABSENT_LISTS_MIN)
        };
        let is_in_upkeep = |name: &MachineName| {
            let machine = machines.get(name);
            machine.is_some_and(|machine| machine.state == MachineState::Upkeep)
        };
        let confirmed = &self.record.confirmed;
        let names = wave.machines.iter();
        let open: Vec<_> = names
            .clone()
            .filter(|name| !confirmed.contains(*name) && !is_gone(name))
            .collect();
        plan.is_complete = open.is_empty() && !names.clone().any(&is_in_upkeep);
        let may_be_in_upkeep =
            |name: &&MachineName| is_in_upkeep(name) || self.record.asked.contains(*name);
        let present = names.filter(|name| machines.contains_key(*name));
        let occupied: Vec<_> = present.filter(may_be_in_upkeep).collect();
        let mut slots = wave.concurrency_max.saturating_sub(occupied.len());
        // Repeated calls for machines that are not in upkeep are limited by the list alone.
        let listed = occupied.iter().filter(|name| is_in_upkeep(name)).count();
        let mut repeats = wave.concurrency_max.saturating_sub(listed);
        let server_of = |name: &MachineName| machines.get(name)?.server.clone();
        plan.closed
            .extend(occupied.iter().filter_map(|name| server_of(name)));

        let mut candidates: BTreeMap<_, _> = open
            .into_iter()
            .filter(|name| machines.contains_key(*name) && !taken.contains(*name))
            .map(|name| {
                let server = server_of(name);
                let work = server.as_ref().map_or(Work::default(), work_of);
                let is_asked = self.record.asked.contains(name);
                let is_refused = self.refusals.contains_key(name);
                let is_vacated = self.vacated_ms.contains_key(name);
                let is_chosen = self.chosen.contains(name);
                // Those that turn out to be blocked are put back behind the others.
                let order = (!is_asked, is_refused, false, !is_vacated, !is_chosen);
                ((order, work.lost_core_ms, name), (server, work))
            })
            .collect();
        let begun = confirmed.len() + self.record.asked.len();
        let vacated = self.vacated_ms.keys();
        let begun = begun
            + vacated
                .filter(|name| !self.record.asked.contains(*name))
                .count();
        let spread_ms = (wave.duration_ms as f64 * SPREAD_RATIO).max(1.0);
        let due_ratio = (elapsed_ms as f64 / spread_ms).min(1.0);
        let due_total = (wave.machines.len() as f64 * due_ratio) as usize;
        let mut due = due_total.saturating_sub(begun);

        let mut chosen = BTreeSet::new();
        let mut is_one_with_runs_asked = false;
        while let Some((rank, (server, work))) = candidates.pop_first() {
            let ((is_new, is_refused, is_blocked, not_vacated, not_chosen), lost, name) = rank;
            let is_ready = now_ms >= self.not_before_ms.get(name).copied().unwrap_or(0);
            let is_formerly_confirmed = self.record.formerly_confirmed.contains(name);
            let is_occupied = is_in_upkeep(name);
            let has_place = if is_new { slots > 0 } else { repeats > 0 };
            let is_up = !is_occupied && machines[name].state != MachineState::Moving;
            let is_checked = work.runs > 0 && is_up && has_place && !is_blocked;
            let checked = server.as_ref().filter(|_| is_checked);
            if checked.is_some_and(|server| !may_interrupt(server)) {
                let order = (is_new, is_refused, true, not_vacated, not_chosen);
                candidates.insert((order, lost, name), (server, work));
                continue;
            }
            match () {
                () if is_occupied => {
                    // The upkeep may be that of another wave, unless this one has asked.
                    if !is_new && is_ready {
                        plan.ask.push((name.clone(), server));
                    }
                    continue;
                }
                () if machines[name].state == MachineState::Moving => continue,
                // The call has no effect unless the operator began the wave anew. So the work on
                // the machine isn't stopped, and the call waits for a free place all the same. Each
                // budget check counts one machine, so that at most one with runs is called.
                () if is_formerly_confirmed => {
                    let has_runs = work.runs > 0;
                    match is_blocked {
                        true => plan.blocked.push(name.clone()),
                        false if has_runs && is_one_with_runs_asked => {}
                        false if is_ready && repeats > 0 && (!is_new || slots > 0) => {
                            repeats -= 1;
                            // One that was asked already has its place.
                            slots -= usize::from(is_new);
                            is_one_with_runs_asked |= has_runs;
                            plan.ask.push((name.clone(), server));
                        }
                        false => {}
                    }
                    continue;
                }
                () if is_new && slots == 0 => continue,
                () if self.refusals.get(name) >= Some(&REFUSALS_MAX) => {
                    if is_ready && work.runs == 0 {
                        slots = slots.saturating_sub(1);
                        plan.ask.push((name.clone(), server));
                    }
                    continue;
                }
                () if !is_new && repeats == 0 => continue,
                () if is_new => slots -= 1,
                () => repeats -= 1,
            }
            chosen.insert(name.clone());
            plan.closed.extend(server.clone());
            let vacated_ms = self.vacated_ms.get(name).copied();
            let is_vacated = vacated_ms.is_some_and(|at_ms| now_ms >= at_ms + VACATE_LIMIT_MS);
            let is_blocked = is_blocked && !is_vacated;
            match server {
                server if is_ready && (work.runs == 0 || is_vacated) => {
                    plan.ask.push((name.clone(), server));
                }
                Some(server) if vacated_ms.is_none() && is_ready && (!is_new || due > 0) => {
                    due = due.saturating_sub(1);
                    match is_blocked {
                        true => plan.blocked.push(name.clone()),
                        false if plan.vacate.is_none() => {
                            plan.vacate = Some((name.clone(), server));
                        }
                        false => {}
                    }
                }
                _ => {}
            }
        }
        // The work on a machine that is not drained any more has to be stopped again.
        self.vacated_ms.retain(|name, _| chosen.contains(name));
        self.chosen = chosen;
        plan
    }

    /// Records that the runs on a machine were stopped.
    pub fn record_vacated(&mut self, machine: &MachineName, now_ms: u64) {
        self.vacated_ms.insert(machine.clone(), now_ms);
    }

    /// Records that the call for a machine that is recorded as asked was not sent or had no effect.
    /// The machine stays asked if an earlier call got no reply, which may still have its effect.
    pub fn record_no_effect(&mut self, machine: &MachineName) {
        if !self.unanswered.contains(machine) {
            self.record.asked.remove(machine);
        }
    }

    /// Records the outcome of a call.
    pub fn record_outcome(&mut self, machine: &MachineName, outcome: &UpkeepOutcome, now_ms: u64) {
        let is_refused = matches!(
            outcome,
            UpkeepOutcome::NotOfWave | UpkeepOutcome::UnknownMachine
        );
        match outcome {
            UpkeepOutcome::Begun => {
                self.record.asked.remove(machine);
                self.record.formerly_confirmed.remove(machine);
                self.record.confirmed.insert(machine.clone());
                self.vacated_ms.remove(machine);
                self.refusals.remove(machine);
                return;
            }
            UpkeepOutcome::Unknown { .. } => {
                self.unanswered.insert(machine.clone());
            }
            _ if is_refused => {
                *self.refusals.entry(machine.clone()).or_default() += 1;
                self.unanswered.remove(machine);
                self.record.asked.remove(machine);
            }
            _ => self.record_no_effect(machine),
        }
        let delay_ms = match is_refused {
            true => REFUSED_RETRY_MS,
            false => RETRY_MS,
        };
        self.not_before_ms
            .insert(machine.clone(), now_ms + delay_ms);
    }
}

/// Says whether the long-running tasks on a server may be stopped now.
pub type MayInterrupt = dyn Fn(&Engine, &id::BackendServerId, Now) -> bool + Send + Sync;

/// Servers that are closed to new work for their machine's upkeep.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClosedServers {
    closed: BTreeSet<id::BackendServerId>,
    /// The closed ones whose runs were stopped, so that no start order may be sent either.
    vacated: BTreeSet<id::BackendServerId>,
}

impl Engine {
    /// Replaces the set of servers that take no new work.
    pub fn close_for_maintenance(&mut self, closed: BTreeSet<id::BackendServerId>) {
        let maintenance = &mut self.maintenance;
        maintenance.vacated.retain(|id| closed.contains(id));
        maintenance.closed = closed;
        let closed = &self.maintenance.closed;
        self.claims.retain(|_, claim| {
            let mut servers = claim.servers.iter();
            !servers.any(|server| closed.contains(server))
        });
    }

    pub(crate) fn is_closed_for_maintenance(&self, server: &Server) -> bool {
        self.maintenance.closed.contains(&server.entry.id)
    }

    pub(crate) fn is_vacated(&self, id: &id::BackendServerId) -> bool {
        self.maintenance.vacated.contains(id)
    }

    /// What a stop of all runs on a server would interrupt.
    pub fn work_on(&self, id: &id::BackendServerId) -> Work {
        let runs = self.runs_on(id);
        let units = runs.iter().map(|(job, index)| {
            let unit = self.jobs[job].unit_of(*index);
            (job, unit)
        });
        let units: BTreeSet<(&id::JobId, PlacementUnit)> = units.collect();
        let lost = units.iter().map(|(id, unit)| {
            let job = &self.jobs[*id];
            lost_core_ms(job, *unit)
        });
        Work {
            runs: runs.len(),
            lost_core_ms: lost.sum(),
        }
    }

    /// Stops all runs on a server and their gangs, if the disruption budgets allow it, so that they
    /// are placed elsewhere once they are known to have ended. Returns whether it was done.
    pub fn vacate(
        &mut self,
        id: &id::BackendServerId,
        may_interrupt: &MayInterrupt,
        now: Now,
    ) -> bool {
        if !may_interrupt(self, id, now) {
            return false;
        }
        self.maintenance.closed.insert(id.clone());
        self.maintenance.vacated.insert(id.clone());
        for (job, index) in self.runs_on(id) {
            let unit = self.jobs.get(&job).map(|job| job.unit_of(index));
            for member in unit.into_iter().flat_map(PlacementUnit::members) {
                self.request_stop(&job, member, MAINTENANCE_REASON, now);
            }
        }
        true
    }
}

/// Work of a unit that its stop loses. Long-running tasks lose none.
fn lost_core_ms(job: &OpenJob, unit: PlacementUnit) -> u64 {
    let step = job.step(unit.first);
    let is_done = job.progress.task_state(unit.first) == progress::TaskState::Done;
    if step.is_long_running || is_done {
        return 0;
    }
    let lives = unit.members().filter_map(|index| job.runs.get(&index));
    let active = lives.filter(|live| live.is_active());
    let done_ratio: f64 = active.map(|live| f64::from(live.percent) / 100.0).sum();
    let loss_ratio = match step.supports_checkpoints {
        true => CHECKPOINT_LOSS_RATIO,
        false => 1.0,
    };
    let cores = step.need.cpu_millicores as f64 / 1_000.0;
    (done_ratio * loss_ratio * step.estimate_ms as f64 * cores) as u64
}
