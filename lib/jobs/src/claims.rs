//! Claims: servers that are set apart for a placement unit until it can start there.
//!
//! A preemption claims the servers of the runs that it stops until those runs have ended. A
//! reservation claims servers for a gang whose job has been open for a long time.

use std::collections::BTreeSet;

use camphorbeam_model::{id, job};

use crate::decide::{self, PlacementRound, DEGRADED_SPEED_RATIO, UNATTAINABLE_SPEED_RATIO};
use crate::disruption_budget;
use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::live_run::LiveRun;
use crate::open_job::{OpenJob, PlacementUnit};
use crate::placement::{self, CapacitySnapshot};
use crate::preemption::{self, Claim, PreemptibleUnit, PreemptibleUnits};
use crate::soundness;
use crate::start_check::StartObstacle;

/// Time for which the claim of a preemption is valid beyond the longest time that a stop takes.
const CLAIM_MARGIN_MS: u64 = 700;

/// Age of a job, as a fraction of its objective, from which servers of a service with little room are
/// reserved for a gang of the job that doesn't fit.
const RESERVATION_DELAY_RATIO: f64 = 0.25;

/// Shortest lifetime of a reservation. After it, a new reservation is made on the servers where the
/// gang then fits earliest.
const RESERVATION_MIN_MS: u64 = 4_000;

/// Lifetime of a reservation relative to the time until the runs in its way should have ended. A
/// reservation that expires before is made anew elsewhere, and the gang may never start.
const RESERVATION_TIME_RATIO: f64 = 1.5;

/// Interval between preemption attempts for one job. Neither a missing plan nor one that loses too
/// much work is likely to change sooner.
const PREEMPTION_RETRY_MS: u64 = 150;

/// Interval between attempts to reserve servers, of all jobs. Each looks at all servers and runs.
const RESERVATION_INTERVAL_MS: u64 = 250;

/// Interval after an attempt that has found none. Short, so that gangs that never fit don't take the
/// time of those behind them.
const FAILED_RESERVATION_INTERVAL_MS: u64 = 50;

/// Time until the next attempt for a gang for which no servers could be reserved, so that it doesn't
/// take the turns of those behind it.
const RESERVATION_RETRY_MS: u64 = 1_000;

/// Core-seconds that a preemption without a guarantee may lose per core-second of urgent work that
/// it lets start. In the simulation, urgent work earns about three times the value of the work lost
/// for it plus the price of that work.
const PREEMPTION_LOSS_MAX_RATIO: f64 = 1.5;

/// When claims are placed within a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimOrder {
    BeforeAll,
    BeforeUrgentWork,
    AfterUrgentWork,
}

impl Engine {
    /// Drops claims that have expired or whose unit is no longer ready to start.
    pub(crate) fn drop_claims(&mut self, now: Now) {
        let jobs = &self.jobs;
        self.claims.retain(|(id, unit), claim| {
            let job = jobs.get(id);
            let is_waiting = job.is_some_and(|job| job.is_ready(*unit, now.unix_ms));
            is_waiting && now.ms < claim.until_ms
        });
    }

    /// Whether servers may be reserved for another non-urgent gang of `service`. While the service
    /// has little room, there is at most one such reservation at a time, since reserved servers stay
    /// idle. Once a third of it is free, all gangs may have one: then mostly small units spread over
    /// all racks are in their way, and these have room elsewhere.
    pub(crate) fn may_reserve_for_gang(&self, service: &id::ServiceName) -> bool {
        let mut claims = self.claims.keys();
        let has_reservation = claims.any(|(id, _)| self.jobs[id].accepted.terms.priority > 0);
        !has_reservation || self.partly_free.contains(service)
    }

    /// Servers that are reserved for non-urgent gangs of other jobs than `job`.
    pub(crate) fn reserved_servers<'a>(
        &'a self,
        job: &'a id::JobId,
    ) -> impl Iterator<Item = id::BackendServerId> + 'a {
        let claims = self.claims.iter();
        claims
            .filter(move |((id, _), _)| id != job && self.jobs[id].accepted.terms.priority > 0)
            .flat_map(|(_, claim)| claim.servers.iter().cloned())
    }

    /// When the claims of a job are placed. Reservations of a service that is mostly free come
    /// before urgent work, unless urgent work waits there: urgent work usually has room elsewhere
    /// then, and would hold up a gang that needs a whole rack without end.
    fn claim_order(&self, id: &id::JobId) -> ClaimOrder {
        let terms = &self.jobs[id].accepted.terms;
        match () {
            () if terms.priority == 0 => ClaimOrder::BeforeAll,
            () if self.mostly_free.contains(&terms.service)
                && !self.short_of_urgent_room.contains(&terms.service) =>
            {
                ClaimOrder::BeforeUrgentWork
            }
            () => ClaimOrder::AfterUrgentWork,
        }
    }

    /// Reserves the servers on which a gang fits earliest: at once if a third of its service is free,
    /// else once the age of its job exceeds `RESERVATION_DELAY_RATIO` of the job's objective. Returns
    /// whether servers were reserved.
    /// Without reservations, small units take each server as it becomes free and starve a wide
    /// gang.
    pub(crate) fn reserve_for_gang(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        snapshot: &mut CapacitySnapshot,
        guaranteed_accounts: &BTreeSet<id::ClientAccountName>,
        now: Now,
    ) -> bool {
        let job = &self.jobs[id];
        let waited_ms = now.ms.saturating_sub(job.accepted_ms);
        let delay_ms = match self.partly_free.contains(&job.accepted.terms.service) {
            true => 0,
            false => (job.objective_ms() as f64 * RESERVATION_DELAY_RATIO) as u64,
        };
        if unit.count == 1
            || job.accepted.terms.priority == 0
            || waited_ms < delay_ms
            || now.ms < self.next_reservation_ms.max(job.next_reservation_ms)
        {
            return false;
        }
        let need = job.step(unit.first).counted_need();
        let (assignment, allowed) = {
            let mut demand = self.demand(id, unit, guaranteed_accounts, now);
            snapshot.relax_speed(&mut demand, DEGRADED_SPEED_RATIO);
            // What ends on servers that are reserved for another gang is not for this one.
            demand.excluded.extend(self.reserved_servers(id));
            snapshot.relax_kept(&mut demand);
            let ends = self.expected_ends(snapshot);
            let assignment = preemption::earliest_assignment(snapshot, &demand, &ends);
            let groups = snapshot.claimable_groups(&demand);
            (assignment, groups.iter().map(Vec::len).sum())
        };
        self.next_reservation_ms = now.ms
            + match assignment.is_some() {
                true => RESERVATION_INTERVAL_MS,
                false => FAILED_RESERVATION_INTERVAL_MS,
            };
        let was_impossible = match self.jobs.get_mut(id) {
            Some(job) => {
                if assignment.is_none() {
                    job.next_reservation_ms = now.ms + RESERVATION_RETRY_MS;
                }
                std::mem::replace(&mut job.is_unreservable, assignment.is_none())
            }
            None => false,
        };
        // That nothing can be reserved is reported once, not with each attempt.
        if assignment.is_some() || !was_impossible {
            let (servers, remaining_ms) = match &assignment {
                Some((servers, remaining_ms)) => {
                    let distinct: BTreeSet<_> = servers.iter().collect();
                    (distinct.len(), *remaining_ms)
                }
                None => (0, 0),
            };
            self.events.push(Event::Reservation {
                job: id.clone(),
                first: unit.first,
                tasks: unit.count,
                servers,
                remaining_ms,
                allowed,
                waited_ms,
            });
        }
        let Some((assignment, remaining_ms)) = assignment else {
            return false;
        };
        let servers = assignment
            .iter()
            .map(|&position| snapshot.candidates()[position].entry.id.clone());
        let reservation_ms = (remaining_ms as f64 * RESERVATION_TIME_RATIO) as u64;
        let claim = Claim {
            servers: servers.collect(),
            need,
            until_ms: now.ms + reservation_ms.max(RESERVATION_MIN_MS),
        };
        for &position in &assignment {
            snapshot.allocate(position, &need);
        }
        self.claims.insert((id.clone(), unit), claim);
        true
    }

    /// The expected end of each run and the resources that it then releases, earliest first.
    pub(crate) fn expected_ends(
        &self,
        snapshot: &CapacitySnapshot,
    ) -> Vec<preemption::ExpectedEnd> {
        let mut ends = Vec::new();
        for job in self.jobs.values() {
            for (index, live) in &job.runs {
                let Some(position) = snapshot.position_of(&live.server) else {
                    continue;
                };
                if job.step(*index).is_long_running {
                    continue;
                }
                let left = f64::from(100_u32.saturating_sub(live.percent)) / 100.0;
                let estimate_ms = job.step(*index).estimate_ms as f64;
                let speed_ratio = snapshot.candidates()[position]
                    .speed_ratio
                    .max(DEGRADED_SPEED_RATIO);
                ends.push(preemption::ExpectedEnd {
                    remaining_ms: (left * estimate_ms / speed_ratio) as u64,
                    position,
                    need: live.need,
                });
            }
        }
        ends.sort_by_key(|end| end.remaining_ms);
        ends
    }

    /// Starts units whose claimed servers have room, and allocates the other claims in `snapshot`
    /// so that no other unit is placed there. Drops claims on servers that can't take work. Handles
    /// only the claims of `order`.
    pub(crate) fn place_claims(
        &mut self,
        snapshot: &mut CapacitySnapshot,
        order: ClaimOrder,
        now: Now,
    ) {
        let claims: Vec<_> = self
            .claims
            .iter()
            .filter(|((id, _), _)| order == self.claim_order(id))
            .map(|(unit, claim)| (unit.clone(), claim.clone()))
            .collect();
        let mut waiting_gangs = Vec::new();
        for ((id, unit), claim) in claims {
            let positions: Option<Vec<usize>> = claim
                .servers
                .iter()
                .map(|server| snapshot.position_of(server))
                .collect();
            let Some(positions) = positions else {
                self.claims.remove(&(id, unit));
                continue;
            };
            let needs_proven = self.soundness_need(&id, unit, now) == soundness::Need::Proven;
            let is_proven = |&position: &usize| snapshot.candidates()[position].is_proven;
            if needs_proven && !positions.iter().all(is_proven) {
                self.claims.remove(&(id, unit));
                continue;
            }
            let fits = claim.fits(snapshot) && self.is_startable(&id, unit, now);
            let is_urgent = self.jobs[&id].accepted.terms.priority == 0;
            let may_start = fits && self.has_tickets(&id, unit, &claim.servers);
            let started = match may_start {
                true => self.start_unit(&id, unit, &positions, snapshot, now),
                false => Err(StartObstacle::Room),
            };
            match started {
                Ok(()) => {
                    self.claims.remove(&(id, unit));
                }
                Err(obstacle) if obstacle != StartObstacle::Room => {
                    // These servers can't be used, so others have to be found.
                    self.claims.remove(&(id, unit));
                }
                Err(_) if is_urgent => {
                    for &position in &positions {
                        snapshot.allocate(position, &claim.need);
                    }
                }
                Err(_) => waiting_gangs.push((id, unit, positions, claim.need)),
            }
        }
        // After the claims of urgent work, whose servers are not for gangs.
        for (id, unit, positions, need) in waiting_gangs {
            match self.assignment_beside_reservation(&id, unit, snapshot, now) {
                Some(assignment)
                    if self
                        .start_unit(&id, unit, &assignment, snapshot, now)
                        .is_ok() =>
                {
                    self.claims.remove(&(id, unit));
                }
                Some(_) | None => {
                    for &position in &positions {
                        snapshot.allocate(position, &need);
                    }
                }
            }
        }
    }

    /// Claims servers for an urgent unit that fits on what this decision's preemptions for other
    /// units leave over. Returns whether it does.
    pub(crate) fn claim_promised_room(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        round: &mut PlacementRound,
        now: Now,
    ) -> bool {
        if round.promised.is_empty() {
            return false;
        }
        let assignment = {
            let mut snapshot = round.snapshot_with_promised();
            let mut demand = self.demand(id, unit, &round.guaranteed_accounts, now);
            snapshot.relax_kept(&mut demand);
            snapshot.choose(&demand)
        };
        match assignment {
            Some(assignment) => {
                self.claim_after_stops(id, unit, &assignment, round, now);
                true
            }
            None => false,
        }
    }

    /// Claims the servers of `assignment` for a unit until the runs that are being stopped there
    /// have ended.
    fn claim_after_stops(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        assignment: &[usize],
        round: &mut PlacementRound,
        now: Now,
    ) {
        let need = self.jobs[id].step(unit.first).counted_need();
        for &position in assignment {
            round.allocate_claim(position, &need);
        }
        let claim = Claim {
            servers: round.snapshot.server_ids(assignment),
            need,
            until_ms: now.ms + self.settings.stop_ms + CLAIM_MARGIN_MS,
        };
        self.claims.insert((id.clone(), unit), claim);
    }

    /// Servers on which a gang with a reservation fits now, since others than the reserved ones have
    /// become free sooner. None of them is reserved for another gang.
    fn assignment_beside_reservation(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Option<placement::Assignment> {
        if !self.is_startable(id, unit, now) {
            return None;
        }
        let mut demand = self.demand(id, unit, &BTreeSet::new(), now);
        snapshot.relax_speed(&mut demand, DEGRADED_SPEED_RATIO);
        demand.excluded.extend(self.reserved_servers(id));
        snapshot.relax_kept(&mut demand);
        snapshot.choose(&demand)
    }

    /// Units that urgent work may preempt: those of lower priority with active runs. Of
    /// long-running steps, no more than all of them together may be stopped.
    pub(crate) fn preemptible_units(
        &self,
        snapshot: &CapacitySnapshot,
        now: Now,
    ) -> PreemptibleUnits {
        let mut units: Vec<PreemptibleUnit> = Vec::new();
        let lower_priority = self
            .jobs
            .values()
            .filter(|job| job.accepted.terms.priority > 0);
        for job in lower_priority {
            let mut steps = job.accepted.spec.steps.iter();
            let has_budget = steps.any(|step| step.is_long_running && step.disrupted_tasks_max > 0);
            let stoppable = match has_budget {
                true => self.stoppable_long_running(job, now),
                false => BTreeSet::new(),
            };
            for (index, live) in &job.runs {
                let step = job.step(*index);
                if !live.is_active() || (step.is_long_running && !stoppable.contains(index)) {
                    continue;
                }
                let Some(position) = snapshot.position_of(&live.server) else {
                    continue;
                };
                let unit = job.unit_of(*index);
                // The runs of a unit follow each other.
                let is_known = units
                    .last()
                    .is_some_and(|last| last.unit == unit && last.job == job.id);
                if !is_known {
                    units.push(PreemptibleUnit {
                        job: job.id.clone(),
                        unit,
                        allocations: Vec::new(),
                        lost_core_s: 0.0,
                    });
                }
                let Some(preemptible) = units.last_mut() else {
                    continue;
                };
                preemptible.allocations.push((position, live.need));
                preemptible.lost_core_s += stop_cost_core_s(job, *index, live, now);
            }
        }
        PreemptibleUnits::new(units, snapshot.candidates().len())
    }

    /// Preempts lower-priority work for an urgent unit, if its guarantee is due or the work lost is
    /// small enough. A guarantee is due if the account is within its guarantee and half of
    /// `reclaim_ms` has passed since the job was accepted, which leaves the other half for stopping
    /// runs.
    pub(crate) fn preempt(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        round: &mut PlacementRound,
        preemptible: &mut PreemptibleUnits,
        now: Now,
    ) {
        let guaranteed_accounts = &round.guaranteed_accounts;
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        let need = step.counted_need();
        let unit_core_s = preemption::core_seconds(&need, step.estimate_ms) * f64::from(unit.count);
        let waited_ms = now.ms.saturating_sub(job.accepted_ms);
        let is_guarantee_due = guaranteed_accounts.contains(&job.accepted.account)
            && 2 * waited_ms > self.settings.reclaim_ms;
        let plan = {
            let demand = self.demand(id, unit, guaranteed_accounts, now);
            match round.promised.is_empty() {
                true => preemption::plan(&round.snapshot, &demand, preemptible),
                false => {
                    let snapshot = round.snapshot_with_promised();
                    preemption::plan(&snapshot, &demand, preemptible)
                }
            }
        };
        // Without a guarantee, no work is stopped for a job that will miss its objective anyway.
        let will_miss_objective =
            decide::required_speed_ratio(job, unit, now) > UNATTAINABLE_SPEED_RATIO;
        let plan = plan.filter(|plan| {
            let is_loss_acceptable = plan.lost_core_s <= PREEMPTION_LOSS_MAX_RATIO * unit_core_s;
            is_guarantee_due || (is_loss_acceptable && !will_miss_objective)
        });
        let Some(plan) = plan else {
            if let Some(job) = self.jobs.get_mut(id) {
                job.next_preemption_ms = now.ms + PREEMPTION_RETRY_MS;
            }
            return;
        };
        self.events.push(Event::Preemption {
            job: id.clone(),
            first: unit.first,
            tasks: unit.count,
            victims: plan.victims.len(),
            lost_core_s: plan.lost_core_s,
            waited_ms,
        });
        for &victim_index in &plan.victims {
            let victim = preemptible.mark_stopped(victim_index);
            for (position, allocated) in &victim.allocations {
                let promised = round.promised.entry(*position).or_default();
                *promised = promised.plus(allocated);
            }
            for index in victim.unit.members() {
                self.request_stop(&victim.job, index, "preempted", now);
            }
        }
        self.claim_after_stops(id, unit, &plan.assignment, round, now);
    }
}

/// Core-seconds that stopping `live` costs: the work that it loses or, of a long-running task, the
/// time until it has started again.
fn stop_cost_core_s(job: &OpenJob, index: job::TaskIndex, live: &LiveRun, now: Now) -> f64 {
    let step = job.step(index);
    match step.is_long_running {
        true => preemption::core_seconds(&live.need, disruption_budget::RESTART_LOSS_MS),
        false => live.lost_core_s(step, now.ms),
    }
}
