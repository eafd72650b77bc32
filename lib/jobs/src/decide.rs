//! What starts where: the order of units, and the servers that each gets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::id;

use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::live_run::LiveRun;
use crate::open_job::{OpenJob, PlacementUnit};
use crate::placement::{Board, Demand, Slot};
use crate::preemption::Victims;
use crate::progress::{JobState, TaskState};
use crate::server::Server;

/// Time between two looks at all runs: what they wait for takes longer by far.
const SCAN_INTERVAL_MS: u64 = 50;

/// Allowance for estimates that are too short when the speed is chosen that a job needs.
const ESTIMATE_MARGIN_RATIO: f64 = 1.15;

/// Highest speed, relative to the median, that a job waits for.
const NEEDED_SPEED_MAX_RATIO: f64 = 0.95;

/// Needed speed, relative to the median, above which no server brings a job in time.
pub(crate) const HOPELESS_SPEED_RATIO: f64 = 1.6;

/// Needed speed below which a job leaves the fast servers to others.
const PATIENT_SPEED_RATIO: f64 = 0.6;

/// Speed below which a server is avoided by all work, and left if that pays.
pub(crate) const CRAWLING_RATIO: f64 = 0.3;

/// Distinct servers on which a job may fail before its failures no longer rule servers out.
const AVOIDED_MAX: usize = 6;

/// How long an urgent unit waits for room before it preempts.
const PREEMPT_PATIENCE_MS: u64 = 100;

/// Preemptions that one decision works out; the others wait for the next decision.
const PLANS_MAX: u32 = 8;

/// Objectives after which a job earns its caller nothing.
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

impl Engine {
    /// Decides what to start and to stop.
    pub fn decide(&mut self, now: Now) {
        if now.ms >= self.next_scan_ms {
            self.next_scan_ms = now.ms + SCAN_INTERVAL_MS;
            self.median_speed_ratio = Some(self.speeds.median(self.servers.keys()));
            self.retry_orders(now);
            self.mark_lapsed_runs_lost(now);
            self.stop_stalled(now);
            self.stop_on_slow_servers(now);
        }
        self.place_all(now);
    }

    fn board(&self, now: Now) -> Board {
        let median = self.median_speed();
        let slots = self
            .servers
            .values()
            .filter(|server| self.takes_work(server, now))
            .map(|server| Slot {
                entry: Arc::clone(&server.entry),
                free: server.free(),
                speed_ratio: self.speeds.ratio(&server.entry.id) / median,
                is_suspect: self.health.is_suspect(&server.entry.id),
            });
        Board::new(slots.collect())
    }

    fn takes_work(&self, server: &Server, now: Now) -> bool {
        server.is_usable(now.ms) && !self.health.is_set_aside(&server.entry.id, now.ms)
    }

    /// Jobs with units that may start, the most pressing first.
    fn queue(&mut self, now: Now) -> Vec<Waiting> {
        let mut queue: Vec<(Rank, Waiting)> = Vec::new();
        for job in self.jobs.values_mut() {
            let units = job.ready_units(now.unix_ms).to_vec();
            if units.is_empty() {
                continue;
            }
            let age_ms = now.ms.saturating_sub(job.accepted_ms);
            let is_worthless = age_ms > WORTHLESS_AFTER_OBJECTIVES * job.objective_ms();
            let is_late = needed_speed_ratio(job, units[0], now) > HOPELESS_SPEED_RATIO;
            let priority = job.accepted.terms.priority;
            let rank = (is_worthless, priority, is_late, job.accepted_ms);
            let waiting = Waiting {
                job: job.id.clone(),
                priority,
                units,
            };
            queue.push((rank, waiting));
        }
        queue.sort_by_key(|(rank, _)| *rank);
        queue.into_iter().map(|(_, waiting)| waiting).collect()
    }

    fn place_all(&mut self, now: Now) {
        let queue = self.queue(now);
        let urgent = self.urgent_accelerators(&queue);
        self.headroom.update(now.ms, urgent);
        self.drop_claims(now);
        if queue.is_empty() {
            return;
        }
        let board = self.board(now);
        let capacities = board.slots().iter().map(|slot| slot.entry.capacity);
        let total = capacities.map(|capacity| capacity.accelerators).sum();
        let mut placing = Placing {
            guaranteed: self.guaranteed_accounts(),
            free_min: self.headroom.free_min(urgent, total),
            victims: None,
            plans_left: PLANS_MAX,
            board,
        };
        self.place_claims(&mut placing.board, true, now);
        let mut are_claims_placed = false;
        for waiting in &queue {
            if waiting.priority > 0 && !are_claims_placed {
                self.place_claims(&mut placing.board, false, now);
                are_claims_placed = true;
            }
            self.place_job(waiting, &mut placing, now);
        }
    }

    fn place_job(&mut self, waiting: &Waiting, placing: &mut Placing, now: Now) {
        // Units of a step are alike: where one does not fit, no other does.
        let mut full: Option<(u32, u32)> = None;
        for &unit in &waiting.units {
            let step = (unit.first.occurrence, unit.first.step);
            if full == Some(step) || !self.is_waiting(&waiting.job, unit) {
                continue;
            }
            if self.claims.contains_key(&(waiting.job.clone(), unit)) {
                continue;
            }
            if !self.place_unit(&waiting.job, unit, placing, now) {
                full = Some(step);
            }
        }
    }

    /// Starts a unit, or makes room for it; false if it does not fit.
    fn place_unit(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        placing: &mut Placing,
        now: Now,
    ) -> bool {
        let choice = {
            let demand = self.demand(id, unit, &placing.guaranteed, now);
            placing.board.choose(&demand)
        };
        if choice.is_some() && self.takes_headroom(id, unit, placing) {
            return false;
        }
        if let Some(choice) = choice {
            self.start_unit(id, unit, &choice, &mut placing.board, now);
            return true;
        }
        let job = &self.jobs[id];
        let is_urgent = job.accepted.terms.priority == 0;
        let is_late = needed_speed_ratio(job, unit, now) > HOPELESS_SPEED_RATIO;
        if is_urgent {
            self.make_room(id, unit, placing, now);
        }
        // An urgent job that can still be in time waits for a server that is fast enough.
        let is_claimed = self.claims.contains_key(&(id.clone(), unit));
        let any_speed = match is_claimed || (is_urgent && !is_late) {
            true => None,
            false => {
                let mut demand = self.demand(id, unit, &placing.guaranteed, now);
                demand.speed_min_ratio = CRAWLING_RATIO;
                placing.board.choose(&demand)
            }
        };
        if let Some(choice) = any_speed {
            self.start_unit(id, unit, &choice, &mut placing.board, now);
            return true;
        }
        if !is_claimed && !self.has_reservation() {
            self.reserve(id, unit, &mut placing.board, &placing.guaranteed, now);
        }
        false
    }

    /// Stops lower work for an urgent unit that has waited a moment.
    fn make_room(&mut self, id: &id::JobId, unit: PlacementUnit, placing: &mut Placing, now: Now) {
        let job = &self.jobs[id];
        let waited_ms = now.ms.saturating_sub(job.accepted_ms);
        let is_due = waited_ms >= PREEMPT_PATIENCE_MS && now.ms >= job.next_preemption_ms;
        if !is_due || placing.plans_left == 0 {
            return;
        }
        placing.plans_left -= 1;
        let mut victims = match placing.victims.take() {
            Some(victims) => victims,
            None => self.victims(&placing.board, now),
        };
        let (board, guaranteed) = (&mut placing.board, &placing.guaranteed);
        self.preempt(id, unit, board, &mut victims, guaranteed, now);
        placing.victims = Some(victims);
    }

    /// Accelerators that urgent jobs use or wait for.
    fn urgent_accelerators(&self, queue: &[Waiting]) -> u64 {
        let urgent = |job: &&OpenJob| job.accepted.terms.priority == 0;
        let used = self
            .jobs
            .values()
            .filter(urgent)
            .flat_map(|job| job.runs.values());
        let waiting = queue.iter().filter(|waiting| waiting.priority == 0);
        let waiting = waiting.flat_map(|waiting| {
            let job = &self.jobs[&waiting.job];
            let of_unit = |unit: &PlacementUnit| {
                u64::from(unit.count) * job.step(unit.first).need.accelerators
            };
            waiting.units.iter().map(of_unit)
        });
        used.map(|live| live.need.accelerators).sum::<u64>() + waiting.sum::<u64>()
    }

    /// Whether a unit would take room that is kept for urgent work. What loses little when it is
    /// stopped may have it.
    fn takes_headroom(&self, id: &id::JobId, unit: PlacementUnit, placing: &Placing) -> bool {
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        if job.accepted.terms.priority == 0 || step.is_checkpointing {
            return false;
        }
        let slots = placing.board.slots();
        let free: u64 = slots.iter().map(|slot| slot.free.accelerators).sum();
        free < placing.free_min + u64::from(unit.count) * step.need.accelerators
    }

    fn is_waiting(&self, id: &id::JobId, unit: PlacementUnit) -> bool {
        self.jobs.get(id).is_some_and(|job| {
            unit.members().all(|index| {
                job.progress.task_state(index) == TaskState::Waiting
                    && !job.runs.contains_key(&index)
            })
        })
    }

    /// Accounts whose open urgent jobs are within their guarantee.
    fn guaranteed_accounts(&self) -> BTreeSet<id::ClientAccountName> {
        let mut wanted: BTreeMap<&id::ClientAccountName, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.accepted.terms.priority == 0 && !job.progress.state.is_final() {
                *wanted.entry(&job.accepted.account).or_default() += job.max_step_accelerators();
            }
        }
        wanted
            .into_iter()
            .filter(|(account, accelerators)| *accelerators <= self.terms.guaranteed(account))
            .map(|(account, _)| account.clone())
            .collect()
    }

    pub(crate) fn demand<'a>(
        &'a self,
        id: &id::JobId,
        unit: PlacementUnit,
        guaranteed: &BTreeSet<id::ClientAccountName>,
        now: Now,
    ) -> Demand<'a> {
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        let avoided = self.health.failed_on(id);
        let avoided = match avoided.len() > AVOIDED_MAX {
            true => BTreeSet::new(),
            false => avoided,
        };
        let mut present = BTreeMap::new();
        if step.per_server_max > 0 {
            for (index, live) in &job.runs {
                let is_same =
                    index.step == unit.first.step && index.occurrence == unit.first.occurrence;
                if is_same {
                    *present.entry(live.server.clone()).or_default() += 1;
                }
            }
        }
        // The bound of a guarantee goes before the speed of a gang.
        let waited_ms = now.ms.saturating_sub(job.accepted_ms);
        let may_spread = job.accepted.terms.priority == 0
            && guaranteed.contains(&job.accepted.account)
            && 2 * waited_ms > self.settings.reclaim_ms;
        let needed = needed_speed_ratio(job, unit, now);
        Demand {
            step,
            service: &job.accepted.terms.service,
            count: unit.count,
            takes_fast: needed > PATIENT_SPEED_RATIO,
            speed_min_ratio: match needed > HOPELESS_SPEED_RATIO {
                true => CRAWLING_RATIO,
                false => needed.clamp(CRAWLING_RATIO, NEEDED_SPEED_MAX_RATIO),
            },
            avoided,
            present,
            may_spread,
        }
    }

    pub(crate) fn start_unit(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        choice: &[usize],
        board: &mut Board,
        now: Now,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let need = job.step(unit.first).need;
        let newest = unit
            .members()
            .map(|index| job.progress.task(index).run)
            .max();
        let run = newest.unwrap_or_default().next();
        job.mark_changed();
        let generation = job.generation;
        job.progress.state = JobState::Running;
        job.progress.has_begun = true;
        for (index, &place) in unit.members().zip(choice) {
            let server = board.slots()[place].entry.id.clone();
            let record = job.progress.task_mut(index);
            record.run = run;
            record.state = TaskState::Started;
            record.server = Some(server.clone());
            if let Some(known) = self.servers.get_mut(&server) {
                known.used = known.used.plus(&need);
            }
            let located = self.runs_by_server.entry(server.clone()).or_default();
            located.insert((id.clone(), index));
            let mut live = LiveRun::placed(server, run, need, generation);
            live.is_resumed = !job.progress.task(index).checkpoint.is_empty();
            job.runs.insert(index, live);
            board.take(place, &need);
        }
        self.events.push(Event::Placed {
            job: id.clone(),
            first: unit.first,
            tasks: unit.count,
            run,
            server: board.slots()[choice[0]].entry.id.clone(),
            waited_ms: now.ms.saturating_sub(job.accepted_ms),
        });
    }
}

/// A job with units that may start.
struct Waiting {
    job: id::JobId,
    priority: u32,
    units: Vec<PlacementUnit>,
}

/// What one decision works with.
struct Placing {
    board: Board,
    guaranteed: BTreeSet<id::ClientAccountName>,
    /// Accelerators that are kept free for urgent work.
    free_min: u64,
    /// Units that may be stopped, once they were needed.
    victims: Option<Victims>,
    plans_left: u32,
}

/// The order of units: what can earn nothing last, then by priority, what is late anyway after
/// what can be in time, and the oldest first.
type Rank = (bool, u32, bool, u64);

/// Speed, relative to the median, that brings a job in time if the unit starts now.
pub(crate) fn needed_speed_ratio(job: &OpenJob, unit: PlacementUnit, now: Now) -> f64 {
    let waited_ms = now.ms.saturating_sub(job.accepted_ms);
    let left_ms = job.objective_ms().saturating_sub(waited_ms).max(1);
    let estimate_ms = job.step(unit.first).estimate_ms as f64;
    ESTIMATE_MARGIN_RATIO * estimate_ms / left_ms as f64
}
