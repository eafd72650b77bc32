//! What starts where: the order of units, and the servers that each gets.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;

use crate::engine::{Engine, Now};
use crate::live::LiveRun;
use crate::note::Note;
use crate::open_job::{OpenJob, Unit};
use crate::placement::{Board, Demand, Slot};
use crate::preemption::Victim;
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

/// Objectives after which a job earns its caller nothing.
const WORTHLESS_AFTER_OBJECTIVES: u64 = 3;

impl Engine {
    /// Decides what to start and to stop.
    pub fn decide(&mut self, now: Now) {
        if now.ms >= self.next_scan_ms {
            self.next_scan_ms = now.ms + SCAN_INTERVAL_MS;
            self.retry_orders(now);
            self.lose_lapsed(now);
            self.stop_stalled(now);
            self.move_crawling(now);
        }
        self.place_all(now);
    }

    fn board(&self, now: Now) -> Board {
        let median = self.speeds.median(self.servers.keys());
        let slots = self
            .servers
            .values()
            .filter(|server| self.takes_work(server, now))
            .map(|server| Slot {
                server: server.entry.id.clone(),
                service: server.entry.service.clone(),
                labels: server.entry.labels.clone(),
                rack: server.entry.rack().cloned(),
                capacity: server.entry.capacity,
                free: server.free(),
                speed_ratio: self.speeds.ratio(&server.entry.id) / median,
                is_suspect: self.health.is_suspect(&server.entry.id),
            })
            .collect();
        Board { slots }
    }

    fn takes_work(&self, server: &Server, now: Now) -> bool {
        server.is_usable(now.ms) && !self.health.is_set_aside(&server.entry.id, now.ms)
    }

    /// Units that may start, the most pressing first.
    fn queue(&mut self, now: Now) -> Vec<(id::JobId, Unit)> {
        let mut queue: Vec<(Rank, id::JobId, Unit)> = Vec::new();
        for job in self.jobs.values_mut() {
            let units = job.ready_units(now.unix_ms).to_vec();
            if units.is_empty() {
                continue;
            }
            let age_ms = now.ms.saturating_sub(job.accepted_ms);
            let is_worthless = age_ms > WORTHLESS_AFTER_OBJECTIVES * job.objective_ms();
            let is_late = needed_speed_ratio(job, units[0], now) > HOPELESS_SPEED_RATIO;
            let priority = job.accepted.terms.priority;
            let key = (is_worthless, priority, is_late, job.accepted_ms);
            queue.extend(units.into_iter().map(|unit| (key, job.id.clone(), unit)));
        }
        queue.sort_by_key(|a| a.0);
        queue.into_iter().map(|(_, id, unit)| (id, unit)).collect()
    }

    fn place_all(&mut self, now: Now) {
        let queue = self.queue(now);
        let urgent = self.urgent_accelerators(&queue);
        self.headroom.update(now.ms, urgent);
        self.drop_claims(&queue, now);
        if queue.is_empty() {
            return;
        }
        let mut board = self.board(now);
        self.place_claims(&mut board, true, now);
        let mut are_claims_placed = false;
        let mut has_reserved = self.has_reservation();
        let mut hopeless: BTreeSet<(id::JobId, u32, u32)> = BTreeSet::new();
        let guaranteed = self.guaranteed_accounts();
        let total: u64 = board
            .slots
            .iter()
            .map(|slot| slot.capacity.accelerators)
            .sum();
        let free_min = self.headroom.free_min(urgent, total);
        let mut victims: Option<Vec<Victim>> = None;
        for (id, unit) in queue {
            let step = (id.clone(), unit.first.occurrence, unit.first.step);
            if self.jobs[&id].accepted.terms.priority > 0 && !are_claims_placed {
                self.place_claims(&mut board, false, now);
                are_claims_placed = true;
            }
            let is_claimed = self.claims.contains_key(&(id.clone(), unit));
            if is_claimed || hopeless.contains(&step) || !self.is_waiting(&id, unit) {
                continue;
            }
            let choice = {
                let demand = self.demand(&id, unit, &guaranteed, now);
                board.choose(&demand)
            };
            if choice.is_some() && self.takes_headroom(&id, unit, &board, free_min) {
                hopeless.insert(step);
                continue;
            }
            if let Some(choice) = choice {
                self.start_unit(&id, unit, &choice, &mut board, now);
                continue;
            }
            let job = &self.jobs[&id];
            let is_urgent = job.accepted.terms.priority == 0;
            let is_late = needed_speed_ratio(job, unit, now) > HOPELESS_SPEED_RATIO;
            let waited_ms = now.ms.saturating_sub(job.accepted_ms);
            if is_urgent && waited_ms >= PREEMPT_PATIENCE_MS {
                let known = victims.get_or_insert_with(|| self.victims(&board, now));
                let known = std::mem::take(known);
                let kept = self.preempt(&id, unit, &mut board, known, &guaranteed, now);
                victims = Some(kept);
            }
            // An urgent job that can still be in time waits for a server that is fast enough.
            let is_claimed = self.claims.contains_key(&(id.clone(), unit));
            let any_speed = match is_claimed || (is_urgent && !is_late) {
                true => None,
                false => {
                    let mut demand = self.demand(&id, unit, &guaranteed, now);
                    demand.speed_min_ratio = CRAWLING_RATIO;
                    board.choose(&demand)
                }
            };
            match any_speed {
                Some(choice) => self.start_unit(&id, unit, &choice, &mut board, now),
                None => {
                    hopeless.insert(step);
                    if !is_claimed && !has_reserved {
                        has_reserved = self.reserve(&id, unit, &mut board, &guaranteed, now);
                    }
                }
            }
        }
    }

    /// Accelerators that urgent jobs use or wait for.
    fn urgent_accelerators(&self, queue: &[(id::JobId, Unit)]) -> u64 {
        let urgent = |job: &&OpenJob| job.accepted.terms.priority == 0;
        let used = self
            .jobs
            .values()
            .filter(urgent)
            .flat_map(|job| job.runs.values());
        let waiting = queue.iter().filter_map(|(id, unit)| {
            let job = self.jobs.get(id).filter(urgent)?;
            Some(u64::from(unit.count) * job.step(unit.first).need.accelerators)
        });
        used.map(|live| live.need.accelerators).sum::<u64>() + waiting.sum::<u64>()
    }

    /// Whether a unit would take room that is kept for urgent work. What loses little when it is
    /// stopped may have it.
    fn takes_headroom(&self, id: &id::JobId, unit: Unit, board: &Board, free_min: u64) -> bool {
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        if job.accepted.terms.priority == 0 || step.is_checkpointing {
            return false;
        }
        let free: u64 = board.slots.iter().map(|slot| slot.free.accelerators).sum();
        free < free_min + u64::from(unit.count) * step.need.accelerators
    }

    fn is_waiting(&self, id: &id::JobId, unit: Unit) -> bool {
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
                *wanted.entry(&job.accepted.account).or_default() += job.widest_accelerators();
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
        unit: Unit,
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
        unit: Unit,
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
        job.touch();
        let generation = job.generation;
        job.progress.state = JobState::Running;
        job.progress.has_begun = true;
        for (index, &place) in unit.members().zip(choice) {
            let server = board.slots[place].server.clone();
            let record = job.progress.task_mut(index);
            record.run = run;
            record.state = TaskState::Started;
            record.server = Some(server.clone());
            if let Some(known) = self.servers.get_mut(&server) {
                known.used = known.used.plus(&need);
            }
            let located = self.located.entry(server.clone()).or_default();
            located.insert((id.clone(), index));
            let mut live = LiveRun::recorded(server, run, need, generation);
            live.is_resumed = !job.progress.task(index).checkpoint.is_empty();
            job.runs.insert(index, live);
            board.take(place, &need);
        }
        self.notes.push(Note::Placed {
            job: id.clone(),
            first: unit.first,
            tasks: unit.count,
            run,
            server: board.slots[choice[0]].server.clone(),
            waited_ms: now.ms.saturating_sub(job.accepted_ms),
        });
    }
}

/// The order of units: what can earn nothing last, then by priority, what is late anyway after
/// what can be in time, and the oldest first.
type Rank = (bool, u32, bool, u64);

/// Speed, relative to the median, that brings a job in time if the unit starts now.
pub(crate) fn needed_speed_ratio(job: &OpenJob, unit: Unit, now: Now) -> f64 {
    let waited_ms = now.ms.saturating_sub(job.accepted_ms);
    let left_ms = job.objective_ms().saturating_sub(waited_ms).max(1);
    let estimate_ms = job.step(unit.first).estimate_ms as f64;
    ESTIMATE_MARGIN_RATIO * estimate_ms / left_ms as f64
}
