//! The decisions that time or a change of state calls for.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, job};

use crate::engine::{self, Engine, Now, Order, ORDER_RETRY_MS};
use crate::live::{LiveRun, Phase};
use crate::note::Note;
use crate::open_job::{OpenJob, Unit};
use crate::placement::{Board, Demand, Slot};
use crate::preemption::{self, Claim, Victim};
use crate::progress::{JobState, TaskState};
use crate::server::{self, Server};

/// Time between two looks at all runs: what they wait for takes longer by far.
const SCAN_INTERVAL_MS: u64 = 50;

/// Longest time that a start order without an answer is sent again before the run is stopped.
const START_TRIES_MS: u64 = 1_600;

/// Silence of a task's progress after which it counts as stalled. A sound task of the longest
/// kind makes a percent of progress within a third of this.
const STALL_MS: u64 = 3_000;

/// The same for tasks with an estimate below [`SHORT_TASK_MS`].
const SHORT_STALL_MS: u64 = 2_200;

/// Estimate below which a task counts as short.
const SHORT_TASK_MS: u64 = 5_000;

/// Allowance for estimates that are too short when the speed is chosen that a job needs.
const ESTIMATE_MARGIN_RATIO: f64 = 1.15;

/// Highest speed, relative to the median, that a job waits for.
const NEEDED_SPEED_MAX_RATIO: f64 = 0.95;

/// Needed speed, relative to the median, above which no server brings a job in time.
const HOPELESS_SPEED_RATIO: f64 = 1.6;

/// Needed speed below which a job leaves the fast servers to others.
const PATIENT_SPEED_RATIO: f64 = 0.6;

/// Speed below which a server is avoided by all work, and left if that pays.
const CRAWLING_RATIO: f64 = 0.3;

/// Time of work after which a run on a crawling server may be moved.
const CRAWL_MIN_MS: u64 = 2_500;

/// A run is moved if what is left takes that many times its whole work elsewhere.
const CRAWL_MOVE_RATIO: f64 = 1.5;

/// How long a server on which a task stalls gets no work.
const STALL_PAUSE_MS: u64 = 6_000;

/// Distinct servers on which a job may fail before its failures no longer rule servers out.
const AVOIDED_MAX: usize = 6;

/// How long an urgent unit waits for room before it preempts.
const PREEMPT_PATIENCE_MS: u64 = 100;

/// How long a claim on servers holds beyond the time that stops take.
const CLAIM_MARGIN_MS: u64 = 700;

/// Share of a job's objective after which a gang that does not fit gets servers reserved.
const RESERVE_AFTER_RATIO: f64 = 0.25;

/// How long a reservation holds before it is made anew where the gang then fits soonest.
const RESERVATION_MS: u64 = 4_000;

/// Core-seconds that a preemption without a guarantee may lose for each core-second it serves.
const PREEMPT_LOSS_RATIO: f64 = 0.7;

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

    fn retry_orders(&mut self, now: Now) {
        let mut starts = Vec::new();
        let mut given_up = Vec::new();
        for job in self.jobs.values_mut() {
            for (index, live) in &mut job.runs {
                match live.phase {
                    Phase::Ordered {
                        since_ms,
                        retry_ms: Some(_),
                    } if now.ms > since_ms + START_TRIES_MS => {
                        given_up.push((job.id.clone(), *index));
                    }
                    Phase::Ordered {
                        since_ms,
                        retry_ms: Some(retry_ms),
                    } if now.ms >= retry_ms => {
                        live.phase = Phase::Ordered {
                            since_ms,
                            retry_ms: Some(now.ms + 4 * ORDER_RETRY_MS),
                        };
                        starts.push((job.id.clone(), *index));
                    }
                    Phase::Stopping {
                        next_ms: Some(next_ms),
                    } if now.ms >= next_ms => {
                        live.phase = Phase::Stopping { next_ms: None };
                        let name = engine::run_name(&job.id, *index, live.run);
                        self.orders.push(Order::Stop(live.server.clone(), name));
                    }
                    _ => {}
                }
            }
        }
        for (id, index) in starts {
            self.order_start(&id, index, now);
        }
        for (id, index) in given_up {
            // The other members of a gang would wait for it in vain.
            let members: Vec<_> = self.jobs[&id].unit_of(index).members().collect();
            for member in members {
                self.want_stop(&id, member, "start without an answer", now);
            }
        }
    }

    /// Counts runs as gone on servers that are silent and whose leases have passed.
    fn lose_lapsed(&mut self, now: Now) {
        let settings = self.settings;
        let mut lapsed: Vec<id::BackendServerId> = self
            .servers
            .values()
            .filter(|server| {
                let is_occupied = server.used != job::Resources::default();
                is_occupied && now.ms > server.lapse_ms(&settings)
            })
            .map(|server| server.entry.id.clone())
            .collect();
        let unheard: Vec<id::BackendServerId> = self
            .unregistered
            .iter()
            .filter(|(_, since_ms)| now.ms > server::unheard_lapse_ms(**since_ms, &settings))
            .map(|(id, _)| id.clone())
            .collect();
        for id in unheard {
            self.unregistered.remove(&id);
            lapsed.push(id);
        }
        for id in lapsed {
            let runs = self.runs_on(&id);
            self.notes.push(Note::Server {
                server: id.clone(),
                belief: "gone or lapsed",
                runs: runs.len(),
            });
            for (job, index) in runs {
                self.lose(&job, index, now);
            }
        }
    }

    /// Stops runs without progress on servers that answer, so that they run elsewhere.
    fn stop_stalled(&mut self, now: Now) {
        let mut stalled: Vec<(id::JobId, job::TaskIndex, id::BackendServerId)> = Vec::new();
        for job in self.jobs.values() {
            for (index, live) in &job.runs {
                let step = job.step(*index);
                let limit_ms = match step.estimate_ms < SHORT_TASK_MS {
                    true => SHORT_STALL_MS,
                    false => STALL_MS,
                };
                let heard_ms = self
                    .servers
                    .get(&live.server)
                    .and_then(|server| server.replied_ms)
                    .unwrap_or(0);
                let is_stalled = matches!(live.phase, Phase::Present { .. })
                    && !step.is_lasting
                    && heard_ms.saturating_sub(live.progress_ms) > limit_ms;
                let is_lowest = || {
                    let members = job.unit_of(*index).members();
                    let mut others = members.filter_map(|member| job.runs.get(&member));
                    others.all(|other| other.percent >= live.percent)
                };
                if is_stalled && is_lowest() {
                    stalled.push((job.id.clone(), *index, live.server.clone()));
                }
            }
        }
        for (id, index, server) in stalled {
            self.health.set_aside(&server, now.ms + STALL_PAUSE_MS);
            let members: Vec<_> = self.jobs[&id].unit_of(index).members().collect();
            for member in members {
                self.want_stop(&id, member, "no progress", now);
            }
        }
    }

    /// Stops runs on servers that have turned slow, if they finish sooner elsewhere.
    fn move_crawling(&mut self, now: Now) {
        let median = self.speeds.median(self.servers.keys());
        let mut moved: Vec<(id::JobId, job::TaskIndex)> = Vec::new();
        for job in self.jobs.values() {
            for (index, live) in &job.runs {
                let Phase::Present { since_ms } = live.phase else {
                    continue;
                };
                let step = job.step(*index);
                let speed_ratio = self.speeds.ratio(&live.server) / median;
                let worked_ms = now.ms.saturating_sub(since_ms);
                let is_crawling = speed_ratio < CRAWLING_RATIO && worked_ms > CRAWL_MIN_MS;
                if !is_crawling || step.is_lasting {
                    continue;
                }
                let left = f64::from(100_u32.saturating_sub(live.percent)) / 100.0;
                if left / speed_ratio > CRAWL_MOVE_RATIO {
                    moved.push((job.id.clone(), *index));
                }
            }
        }
        for (id, index) in moved {
            let members: Vec<_> = self.jobs[&id].unit_of(index).members().collect();
            for member in members {
                self.want_stop(&id, member, "server has turned slow", now);
            }
        }
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

    /// Drops claims whose unit no longer waits or whose time is over.
    fn drop_claims(&mut self, queue: &[(id::JobId, Unit)], now: Now) {
        if self.claims.is_empty() {
            return;
        }
        let waiting: BTreeSet<_> = queue.iter().cloned().collect();
        self.claims
            .retain(|unit, claim| waiting.contains(unit) && now.ms < claim.until_ms);
    }

    /// Whether a gang that is not urgent has servers reserved.
    fn has_reservation(&self) -> bool {
        let mut claims = self.claims.keys();
        claims.any(|(id, _)| self.jobs[id].accepted.terms.priority > 0)
    }

    /// Reserves servers for a gang that has waited long, where it fits soonest. Without that, small
    /// units take each server as it becomes free, and a wide gang never starts.
    fn reserve(
        &mut self,
        id: &id::JobId,
        unit: Unit,
        board: &mut Board,
        guaranteed: &BTreeSet<id::ClientAccountName>,
        now: Now,
    ) -> bool {
        let job = &self.jobs[id];
        let waited_ms = now.ms.saturating_sub(job.accepted_ms);
        let patience_ms = (job.objective_ms() as f64 * RESERVE_AFTER_RATIO) as u64;
        if unit.count == 1 || job.accepted.terms.priority == 0 || waited_ms < patience_ms {
            return false;
        }
        let need = job.step(unit.first).need;
        let choice = {
            let mut demand = self.demand(id, unit, guaranteed, now);
            demand.speed_min_ratio = CRAWLING_RATIO;
            preemption::soonest(board, &demand, &self.expected_ends(board))
        };
        let Some(choice) = choice else {
            return false;
        };
        let servers = choice
            .iter()
            .map(|&place| board.slots[place].server.clone());
        let claim = Claim {
            servers: servers.collect(),
            need,
            until_ms: now.ms + RESERVATION_MS,
        };
        for &place in &choice {
            board.take(place, &need);
        }
        self.claims.insert((id.clone(), unit), claim);
        true
    }

    /// When each run is expected to end, from now, and what it frees where.
    fn expected_ends(&self, board: &Board) -> Vec<preemption::ExpectedEnd> {
        let mut ends = Vec::new();
        for job in self.jobs.values() {
            for (index, live) in &job.runs {
                let Some(place) = board.place_of(&live.server) else {
                    continue;
                };
                let left = f64::from(100_u32.saturating_sub(live.percent)) / 100.0;
                let estimate_ms = job.step(*index).estimate_ms as f64;
                let speed_ratio = board.slots[place].speed_ratio.max(CRAWLING_RATIO);
                ends.push(preemption::ExpectedEnd {
                    in_ms: (left * estimate_ms / speed_ratio) as u64,
                    place,
                    need: live.need,
                });
            }
        }
        ends.sort_by_key(|end| end.in_ms);
        ends
    }

    /// Starts claimants whose servers are free and keeps the others' servers for them.
    fn place_claims(&mut self, board: &mut Board, is_urgent: bool, now: Now) {
        let claims: Vec<_> = self
            .claims
            .iter()
            .filter(|((id, _), _)| is_urgent == (self.jobs[id].accepted.terms.priority == 0))
            .map(|(unit, claim)| (unit.clone(), claim.clone()))
            .collect();
        for ((id, unit), claim) in claims {
            let places: Option<Vec<usize>> = claim
                .servers
                .iter()
                .map(|server| board.place_of(server))
                .collect();
            let Some(places) = places else {
                self.claims.remove(&(id, unit));
                continue;
            };
            let mut after = board.clone();
            let mut fits = true;
            for &place in &places {
                fits &= after.slots[place].free.holds(&claim.need);
                after.take(place, &claim.need);
            }
            match fits {
                true => {
                    self.claims.remove(&(id.clone(), unit));
                    self.start_unit(&id, unit, &places, board, now);
                }
                false => *board = after,
            }
        }
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

    fn demand<'a>(
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

    fn start_unit(
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

    /// Units that urgent work may stop: of lower priority, at work, and not lasting.
    fn victims(&self, board: &Board, now: Now) -> Vec<Victim> {
        let places: BTreeMap<&id::BackendServerId, usize> = board
            .slots
            .iter()
            .enumerate()
            .map(|(place, slot)| (&slot.server, place))
            .collect();
        let mut victims: BTreeMap<(id::JobId, Unit), Victim> = BTreeMap::new();
        let lower = self
            .jobs
            .values()
            .filter(|job| job.accepted.terms.priority > 0);
        for job in lower {
            for (index, live) in &job.runs {
                let step = job.step(*index);
                if !live.is_wanted() || step.is_lasting {
                    continue;
                }
                let Some(&place) = places.get(&live.server) else {
                    continue;
                };
                let unit = job.unit_of(*index);
                let victim = victims
                    .entry((job.id.clone(), unit))
                    .or_insert_with(|| Victim {
                        job: job.id.clone(),
                        unit,
                        holds: Vec::new(),
                        lost_core_s: 0.0,
                    });
                victim.holds.push((place, live.need));
                victim.lost_core_s += lost_core_s(job, live, now);
            }
        }
        victims.into_values().collect()
    }

    /// Stops lower work so that an urgent unit can start, if that is owed or worth it.
    fn preempt(
        &mut self,
        id: &id::JobId,
        unit: Unit,
        board: &mut Board,
        mut victims: Vec<Victim>,
        guaranteed: &BTreeSet<id::ClientAccountName>,
        now: Now,
    ) -> Vec<Victim> {
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        let need = step.need;
        let served_core_s =
            preemption::core_seconds(&need, step.estimate_ms) * f64::from(unit.count);
        let waited_ms = now.ms.saturating_sub(job.accepted_ms);
        let is_owed =
            guaranteed.contains(&job.accepted.account) && 2 * waited_ms > self.settings.reclaim_ms;
        let plan = {
            let demand = self.demand(id, unit, guaranteed, now);
            preemption::plan(board, &demand, &victims)
        };
        let plan =
            plan.filter(|plan| is_owed || plan.lost_core_s <= PREEMPT_LOSS_RATIO * served_core_s);
        let Some(plan) = plan else {
            return victims;
        };
        let servers: Vec<_> = plan
            .choice
            .iter()
            .map(|&place| board.slots[place].server.clone())
            .collect();
        let mut chosen = plan.victims;
        chosen.sort_unstable();
        for &number in chosen.iter().rev() {
            let victim = victims.swap_remove(number);
            for (place, held) in &victim.holds {
                let slot = &mut board.slots[*place];
                slot.free = slot.free.plus(held);
            }
            for index in victim.unit.members() {
                self.want_stop(&victim.job, index, "preempted", now);
            }
        }
        for &place in &plan.choice {
            board.take(place, &need);
        }
        let until_ms = now.ms + self.settings.stop_ms + CLAIM_MARGIN_MS;
        let claim = Claim {
            servers,
            need,
            until_ms,
        };
        self.claims.insert((id.clone(), unit), claim);
        victims
    }
}

/// The order of units: what can earn nothing last, then by priority, what is late anyway after
/// what can be in time, and the oldest first.
type Rank = (bool, u32, bool, u64);

/// Speed, relative to the median, that brings a job in time if the unit starts now.
fn needed_speed_ratio(job: &OpenJob, unit: Unit, now: Now) -> f64 {
    let waited_ms = now.ms.saturating_sub(job.accepted_ms);
    let left_ms = job.objective_ms().saturating_sub(waited_ms).max(1);
    let estimate_ms = job.step(unit.first).estimate_ms as f64;
    ESTIMATE_MARGIN_RATIO * estimate_ms / left_ms as f64
}

fn lost_core_s(job: &OpenJob, live: &LiveRun, now: Now) -> f64 {
    let worked_ms = match live.phase {
        Phase::Present { since_ms } => now.ms.saturating_sub(since_ms),
        _ => 0,
    };
    let is_checkpointing = job
        .accepted
        .spec
        .steps
        .iter()
        .any(|step| step.is_checkpointing);
    preemption::core_seconds(&live.need, preemption::lost_ms(worked_ms, is_checkpointing))
}
