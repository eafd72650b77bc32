//! The scheduling decision: the order in which units are placed, and the servers that each gets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::{id, job};

use crate::claims::ClaimOrder;
use crate::crash_evidence::Isolation;
use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::fair_share;
use crate::live_run::LiveRun;
use crate::open_job::{OpenJob, PlacementUnit};
use crate::placement::{Candidate, CapacitySnapshot, Demand};
use crate::preemption::PreemptibleUnits;
use crate::progress::TaskState;
use crate::server::Server;
use crate::soundness;
use crate::start_check::StartObstacle;

/// Interval between scans of all runs. The timeouts that a scan checks are much longer.
const SCAN_INTERVAL_MS: u64 = 50;

/// Factor applied to run time estimates when the required speed is computed, since estimates may be
/// too short.
pub(crate) const ESTIMATE_ERROR_ALLOWANCE: f64 = 1.15;

/// Highest speed, relative to the median, that a job insists on. A higher requirement is lowered to
/// this, so that a job doesn't wait for rare servers.
const REQUIRED_SPEED_MAX_RATIO: f64 = 0.95;

/// Required speed, relative to the median, above which a job is expected to miss its objective on
/// any server.
pub(crate) const UNATTAINABLE_SPEED_RATIO: f64 = 1.6;

/// Required speed, relative to the median, up to which a job leaves fast servers to others.
const SLACK_SPEED_RATIO: f64 = 0.6;

/// Speed, relative to the median, below which a server gets no work; a run there is stopped if it
/// would finish sooner elsewhere.
pub(crate) const DEGRADED_SPEED_RATIO: f64 = 0.3;

/// Number of distinct servers that a job's failures may exclude. If it has failed on more, none is
/// excluded.
const EXCLUDED_SERVERS_MAX: usize = 6;

/// Free share of a service above which it counts as mostly free. Then urgent work finds room anyway,
/// and a wide gang may need all of it.
pub(crate) const MOSTLY_FREE_SHARE: f64 = 0.5;

/// Free share of a service above which servers may be reserved for several gangs at once.
const PARTLY_FREE_SHARE: f64 = 1.0 / 3.0;

/// Age of a waiting urgent job from which on no reservation comes before urgent work of its service.
/// Below it, the job may just not have been placed yet.
pub(crate) const URGENT_WAIT_MS: u64 = 100;

/// Number of preemptions planned in one decision; further ones wait for the next decision.
const PREEMPTION_PLANS_MAX: u32 = 8;

/// A job that is older than this many times its objective is worth nothing to its caller.
pub(crate) const NO_VALUE_AFTER_OBJECTIVES: u64 = 3;

impl Engine {
    /// Starts and stops runs as the current state requires; orders and events are queued.
    pub fn decide(&mut self, now: Now) {
        self.report_start_pause(now);
        self.apply_evacuation_change(now);
        if now.ms >= self.next_scan_ms {
            self.next_scan_ms = now.ms + SCAN_INTERVAL_MS;
            self.update_median_speed();
            self.crashes.expire(now.ms);
            self.give_up_waiting(now);
            self.late_starts.expire(now.ms);
            self.stop_late_starts(now);
            self.leave_evacuated_zones(now);
            self.update_reach(now);
            self.update_soundness(now);
            self.retry_orders(now);
            self.remove_lapsed_runs(now);
            self.stop_stalled(now);
            self.stop_on_slow_servers(now);
        }
        self.end_unstartable_jobs(now);
        self.update_advice(now);
        let renews_last = self.renews_last();
        if !renews_last {
            self.plan_renewal(now);
        }
        self.place_all(now);
        if renews_last {
            self.plan_renewal(now);
        }
    }

    fn capacity_snapshot(&self, now: Now) -> CapacitySnapshot {
        self.snapshot_of(now, |server| self.accepts_work(server, now))
    }

    /// The servers that could take an overdue unit, also those that are closed to ordinary work, with
    /// what is free there. No claim is allocated. A unit that `is_suspected` itself gets none that is kept
    /// to another: a crash of both would count against each.
    pub(crate) fn snapshot_for_overdue(&self, is_suspected: bool, now: Now) -> CapacitySnapshot {
        self.snapshot_of(now, |server| {
            self.could_accept_work(server, now)
                && !(is_suspected && self.is_kept_to_suspect(&server.entry.id, now))
        })
    }

    fn snapshot_of(&self, now: Now, is_included: impl Fn(&Server) -> bool) -> CapacitySnapshot {
        let median = self.median_speed();
        let included = || self.servers.values().filter(|server| is_included(server));
        let candidates = included().map(|server| Candidate {
            entry: Arc::clone(&server.entry),
            free: server.free(),
            speed_ratio: self.placement_speed_ratio(server, server.speed_ratio / median, now),
            is_suspect: self.health.is_suspect(&server.entry.id)
                || self.is_closed_to_ordinary_work(server, now)
                || self.crashes.is_doubtful(&server.entry.address),
            is_proven: self.soundness.is_proven(&server.entry.id, now.ms),
        });
        let numbers: Vec<_> = included().map(|server| server.numbers).collect();
        let services = Arc::clone(&self.services);
        CapacitySnapshot::with_numbers(candidates.collect(), &numbers, services)
    }

    pub(crate) fn accepts_work(&self, server: &Server, now: Now) -> bool {
        !self.is_closed_to_ordinary_work(server, now) && self.could_accept_work(server, now)
    }

    /// Whether a server is quarantined or kept to a suspected run.
    pub(crate) fn is_closed_to_ordinary_work(&self, server: &Server, now: Now) -> bool {
        self.health.is_quarantined(&server.entry.id, now.ms)
            || self.is_kept_to_suspect(&server.entry.id, now)
    }

    /// Whether a server accepts work, or would if it weren't closed to ordinary work.
    fn could_accept_work(&self, server: &Server, now: Now) -> bool {
        server.is_usable(now.ms)
            && !self.is_evacuated(server)
            && !self.is_closed_for_maintenance(server)
            && self.reachability.is_open(&server.entry.id, now.ms)
    }

    /// Jobs with units that may start, in the order of [`SortKey`].
    fn ready_jobs(&mut self, now: Now) -> Vec<ReadyJob> {
        let mut ready_jobs: Vec<(SortKey, ReadyJob)> = Vec::new();
        let has_shares = self.fair_share.is_on();
        let guaranteed_accounts = match has_shares {
            true => self.guaranteed_accounts(),
            false => BTreeSet::new(),
        };
        for job in self.jobs.values_mut() {
            let ready = job.ready(now.unix_ms);
            if ready.units.is_empty() {
                continue;
            }
            let units = ready.units.clone();
            let window_ends = ready.window_ends.clone();
            let has_more = ready.has_more();
            let waiting_tasks = ready.waiting_tasks.clone();
            let age_ms = now.ms.saturating_sub(job.accepted_ms);
            let has_no_value =
                age_ms > job.objective_ms().saturating_mul(NO_VALUE_AFTER_OBJECTIVES);
            let will_miss_objective =
                required_speed_ratio(job, units[0], now) > UNATTAINABLE_SPEED_RATIO;
            let priority = job.accepted.terms.priority;
            let accepted = &job.accepted;
            let credit_ms = match has_shares {
                true => self.fair_share.credit_ms(
                    &accepted.terms.service,
                    &accepted.account,
                    accepted.caller_zone.as_ref(),
                    job.objective_ms(),
                    priority == 0 && guaranteed_accounts.contains(&accepted.account),
                ),
                false => 0,
            };
            let place_ms = (job.accepted_ms + fair_share::CREDIT_MAX_MS).saturating_sub(credit_ms);
            let sort_key = (has_no_value, priority, will_miss_objective, place_ms);
            let ready_job = ReadyJob {
                job: job.id.clone(),
                priority,
                units,
                window_ends,
                has_more,
                waiting_tasks,
            };
            ready_jobs.push((sort_key, ready_job));
        }
        ready_jobs.sort_by_key(|(sort_key, _)| *sort_key);
        if has_shares {
            self.report_share_order(&ready_jobs, now);
        }
        ready_jobs
            .into_iter()
            .map(|(_, ready_job)| ready_job)
            .collect()
    }

    fn report_share_order(&mut self, ready_jobs: &[(SortKey, ReadyJob)], now: Now) {
        let jobs = &self.jobs;
        let ordered = ready_jobs.iter().map(|(sort_key, ready_job)| {
            let job = &jobs[&ready_job.job];
            fair_share::OrderedJob {
                id: &job.id,
                service: &job.accepted.terms.service,
                class: (sort_key.0, sort_key.1, sort_key.2),
                accepted_ms: job.accepted_ms,
            }
        });
        let event = self.fair_share.report(ordered, now.ms);
        self.events.extend(event);
    }

    /// Records for which services ready work is left over by this decision.
    fn update_shortage(&mut self, ready_jobs: &[ReadyJob]) {
        let is_left = |ready_job: &&ReadyJob| {
            let units = ready_job.units.iter().rev();
            ready_job.has_more
                || units
                    .copied()
                    .any(|unit| self.is_waiting(&ready_job.job, unit))
        };
        let short: BTreeSet<id::ServiceName> = ready_jobs
            .iter()
            .filter(is_left)
            .map(|ready_job| self.jobs[&ready_job.job].accepted.terms.service.clone())
            .collect();
        self.fair_share
            .set_shortage(|service| short.contains(service));
    }

    /// Whether a decision has started the last unit of a window, which shows that it was too small.
    fn has_used_up_a_window(&self, ready_jobs: &[ReadyJob]) -> bool {
        ready_jobs.iter().any(|ready_job| {
            let mut ends = ready_job.window_ends.iter();
            ends.any(|&unit| !self.is_waiting(&ready_job.job, unit))
        })
    }

    fn place_all(&mut self, now: Now) {
        self.has_more_to_place = false;
        self.update_fair_share(now);
        let ready_jobs = self.ready_jobs(now);
        self.update_headroom(&ready_jobs, now);
        self.drop_claims(now);
        self.report_unmet_needs(&ready_jobs, now);
        if ready_jobs.is_empty() || !self.has_confirmed_evacuations(now) {
            self.check_withheld(&ready_jobs, None, now);
            return;
        }
        let mut snapshot = self.capacity_snapshot(now);
        snapshot.mark_near_target(&self.pacing.servers_near_target(now.ms));
        self.update_free_shares(&snapshot);
        self.update_urgent_waits(&ready_jobs, now);
        self.keep_servers_for_urgent(&mut snapshot);
        let mut round = PlacementRound {
            guaranteed_accounts: self.guaranteed_accounts(),
            preemptible: None,
            plans_left: PREEMPTION_PLANS_MAX,
            promised: BTreeMap::new(),
            snapshot,
        };
        // Overdue units may use servers that are reserved for other gangs, so they come before
        // reservations. Urgent jobs may too, unless their service is mostly free, so the claims of
        // other work are applied only when the first job of other work is reached. Urgent jobs that
        // have no value any more may come later.
        self.place_claims(&mut round.snapshot, ClaimOrder::BeforeAll, now);
        self.place_overdue(&ready_jobs, &mut round, now);
        self.place_claims(&mut round.snapshot, ClaimOrder::BeforeUrgentWork, now);
        let mut are_claims_placed = false;
        for ready_job in &ready_jobs {
            if ready_job.priority > 0 && !are_claims_placed {
                self.place_claims(&mut round.snapshot, ClaimOrder::AfterUrgentWork, now);
                are_claims_placed = true;
            }
            self.place_job(ready_job, &mut round, now);
        }
        self.has_more_to_place = self.has_used_up_a_window(&ready_jobs);
        if self.fair_share.is_on() {
            self.update_shortage(&ready_jobs);
        }
        self.check_withheld(&ready_jobs, Some(&round.snapshot), now);
        let waiting = ready_jobs.iter().map(|job| (&job.job, &job.units[..]));
        let (snapshot, accounts) = (&mut round.snapshot, &round.guaranteed_accounts);
        self.plan_ask(waiting, snapshot, accounts, now);
    }

    /// Records the accelerators that urgent jobs use or wait for, by service.
    fn update_headroom(&mut self, ready_jobs: &[ReadyJob], now: Now) {
        let mut urgent = self.urgent_accelerators(ready_jobs);
        for service in urgent.keys() {
            self.headroom.entry(service.clone()).or_default();
        }
        for (service, headroom) in &mut self.headroom {
            headroom.update(now.ms, urgent.remove(service).unwrap_or(0));
        }
    }

    /// Records how much of each service is free.
    fn update_free_shares(&mut self, snapshot: &CapacitySnapshot) {
        let services: BTreeSet<_> = self
            .jobs
            .values()
            .map(|job| &job.accepted.terms.service)
            .chain(self.headroom.keys())
            .cloned()
            .collect();
        self.partly_free.clear();
        self.mostly_free.clear();
        for service in services {
            let (capacity, free) = snapshot.service_resources(&service);
            let share = free_share(&capacity, &free);
            if share > MOSTLY_FREE_SHARE {
                self.mostly_free.insert(service.clone());
            }
            if share > PARTLY_FREE_SHARE {
                self.partly_free.insert(service);
            }
        }
    }

    fn update_urgent_waits(&mut self, ready_jobs: &[ReadyJob], now: Now) {
        let waiting = ready_jobs.iter().filter_map(|ready_job| {
            let job = &self.jobs[&ready_job.job];
            let age_ms = now.ms.saturating_sub(job.accepted_ms);
            let is_waiting = ready_job.priority == 0 && age_ms > URGENT_WAIT_MS;
            is_waiting.then(|| job.accepted.terms.service.clone())
        });
        self.short_of_urgent_room = waiting.collect();
    }

    /// Keeps servers of each service for its urgent work, unless the service is mostly free.
    fn keep_servers_for_urgent(&self, snapshot: &mut CapacitySnapshot) {
        for (service, headroom) in &self.headroom {
            if !self.mostly_free.contains(service) {
                let (capacity, _) = snapshot.service_resources(service);
                let kept = headroom.accelerators_to_keep(capacity.accelerators);
                snapshot.keep_for_urgent(service, kept);
            }
        }
    }

    fn place_job(&mut self, ready_job: &ReadyJob, round: &mut PlacementRound, now: Now) {
        let step = |unit: &PlacementUnit| (unit.first.occurrence, unit.first.step);
        // Steps of which a unit without needs of its own found no servers. The same units of later
        // occurrences need not be tried.
        let mut full_steps = BTreeSet::new();
        for units in ready_job.units.chunk_by(|a, b| step(a) == step(b)) {
            let id = &ready_job.job;
            let step_index = units[0].first.step;
            let is_full = full_steps.contains(&step_index);
            if is_full && self.jobs[id].is_fresh(units) {
                continue;
            }
            let has_losses = !self.jobs[id].progress.crashes.is_empty();
            let startable = units.iter().copied().filter(|&unit| {
                let is_claimed =
                    !self.claims.is_empty() && self.claims.contains_key(&(id.clone(), unit));
                !is_claimed && self.is_startable(id, unit, now)
            });
            let startable: Vec<PlacementUnit> = startable.collect();
            let waits = startable
                .first()
                .is_some_and(|&unit| self.waits_for_evacuation_end(id, unit));
            let waits_for_advice =
                |&unit: &PlacementUnit| self.waits_for_advice(&ready_job.job, unit);
            if waits || startable.first().is_some_and(waits_for_advice) {
                continue;
            }
            // Each avoids servers of its own, while the units of one search share theirs.
            let (restarted, startable): (Vec<_>, Vec<_>) =
                startable.into_iter().partition(|&unit| {
                    self.restarts.has_quick_end(id, unit)
                        || (has_losses && self.isolation(id, unit) != Isolation::None)
                });
            for unit in restarted {
                self.place_step(id, &[unit], round, now);
            }
            // Tasks of one step may have different numbers of attempts left.
            let (last_attempts, others): (Vec<_>, Vec<_>) = startable
                .into_iter()
                .partition(|&unit| self.soundness_need(id, unit, now) == soundness::Need::Proven);
            self.place_step(id, &last_attempts, round, now);
            if !is_full && !self.place_step(id, &others, round, now) {
                let job = &self.jobs[id];
                if !job.has_apart_occurrences(job.step(units[0].first)) {
                    full_steps.insert(step_index);
                }
            }
        }
    }

    /// Places units of one step. They have the same needs, so if one isn't started, the others wait
    /// for the next decision. Returns whether all were started.
    fn place_step(
        &mut self,
        id: &id::JobId,
        units: &[PlacementUnit],
        round: &mut PlacementRound,
        now: Now,
    ) -> bool {
        let mut left = units;
        if units.iter().all(|unit| unit.count == 1) {
            left = self.place_single_tasks(id, left, None, round, now);
            let is_urgent = self.jobs[id].accepted.terms.priority == 0;
            if !is_urgent {
                let any_speed = Some(DEGRADED_SPEED_RATIO);
                left = self.place_single_tasks(id, left, any_speed, round, now);
                if let Some(&unit) = left.first() {
                    self.report_wait_for_proven(id, unit, now);
                }
                return left.is_empty();
            }
        }
        left.iter()
            .all(|&unit| self.place_unit(id, unit, round, now))
    }

    /// Starts as many of the units as fit, each of one task of the same step, on servers of at
    /// least `speed_min_ratio`, or as fast as the job requires. Returns the others.
    fn place_single_tasks<'a>(
        &mut self,
        id: &id::JobId,
        units: &'a [PlacementUnit],
        speed_min_ratio: Option<f64>,
        round: &mut PlacementRound,
        now: Now,
    ) -> &'a [PlacementUnit] {
        let Some(&first) = units.first() else {
            return units;
        };
        let assignment = {
            let mut demand = self.demand(id, first, &round.guaranteed_accounts, now);
            demand.speed_min_ratio = speed_min_ratio.unwrap_or(demand.speed_min_ratio);
            round.snapshot.relax_kept(&mut demand);
            round.snapshot.choose_each(&demand, units.len())
        };
        for (&unit, &position) in units.iter().zip(&assignment) {
            // One that the last check prevents waits for the next decision.
            let _ = self.start_unit(id, unit, &[position], &mut round.snapshot, now);
        }
        &units[assignment.len()..]
    }

    /// Starts a unit if it fits. If it doesn't fit, preempts other work for an urgent unit, starts
    /// the unit on slower servers, or reserves servers for a gang, where that is allowed. Returns
    /// whether the unit was started.
    fn place_unit(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        round: &mut PlacementRound,
        now: Now,
    ) -> bool {
        let assignment = {
            let mut demand = self.demand(id, unit, &round.guaranteed_accounts, now);
            round.snapshot.relax_kept(&mut demand);
            round.snapshot.choose(&demand)
        };
        if let Some(assignment) = assignment {
            let snapshot = &mut round.snapshot;
            return self
                .start_unit(id, unit, &assignment, snapshot, now)
                .is_ok();
        }
        let job = &self.jobs[id];
        let is_urgent = job.accepted.terms.priority == 0;
        let will_miss_objective = required_speed_ratio(job, unit, now) > UNATTAINABLE_SPEED_RATIO;
        if is_urgent && !self.claim_promised_room(id, unit, round, now) {
            self.preempt_if_due(id, unit, round, now);
        }
        // An urgent job that can still meet its objective waits for a server that is fast enough.
        let is_claimed = self.claims.contains_key(&(id.clone(), unit));
        let slower_assignment = match is_claimed || (is_urgent && !will_miss_objective) {
            true => None,
            false => {
                let mut demand = self.demand(id, unit, &round.guaranteed_accounts, now);
                round
                    .snapshot
                    .relax_speed(&mut demand, DEGRADED_SPEED_RATIO);
                round.snapshot.relax_kept(&mut demand);
                round.snapshot.choose(&demand)
            }
        };
        if let Some(assignment) = slower_assignment {
            let snapshot = &mut round.snapshot;
            return self
                .start_unit(id, unit, &assignment, snapshot, now)
                .is_ok();
        }
        self.report_wait_for_proven(id, unit, now);
        let service = &self.jobs[id].accepted.terms.service;
        if !is_claimed && self.may_reserve_for_gang(service) {
            self.reserve_for_gang(
                id,
                unit,
                &mut round.snapshot,
                &round.guaranteed_accounts,
                now,
            );
        }
        false
    }

    /// Tries to preempt lower-priority work for an urgent unit, if the time of its job's next attempt
    /// has come. The first attempt is made at once: a stop takes most of the time that an urgent job
    /// can spare.
    fn preempt_if_due(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        round: &mut PlacementRound,
        now: Now,
    ) {
        if now.ms < self.jobs[id].next_preemption_ms || round.plans_left == 0 {
            return;
        }
        round.plans_left -= 1;
        let mut preemptible = match round.preemptible.take() {
            Some(preemptible) => preemptible,
            None => self.preemptible_units(&round.snapshot, now),
        };
        self.preempt(id, unit, round, &mut preemptible, now);
        round.preemptible = Some(preemptible);
    }

    /// Accelerators that urgent jobs use or wait for, by service.
    fn urgent_accelerators(&self, ready_jobs: &[ReadyJob]) -> BTreeMap<id::ServiceName, u64> {
        let mut urgent: BTreeMap<id::ServiceName, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.accepted.terms.priority == 0 {
                let used = job.runs.values().map(|live| live.need.accelerators);
                let of_service = urgent.entry(job.accepted.terms.service.clone());
                let of_service = of_service.or_default();
                *of_service = used.fold(*of_service, u64::saturating_add);
            }
        }
        for ready_job in ready_jobs {
            if ready_job.priority == 0 {
                let job = &self.jobs[&ready_job.job];
                let steps = job.accepted.spec.steps.iter();
                let waiting = steps
                    .zip(&ready_job.waiting_tasks)
                    .map(|(step, tasks)| step.need.accelerators.saturating_mul(*tasks));
                let of_service = urgent.entry(job.accepted.terms.service.clone());
                let of_service = of_service.or_default();
                *of_service = waiting.fold(*of_service, u64::saturating_add);
            }
        }
        urgent
    }

    pub(crate) fn is_waiting(&self, id: &id::JobId, unit: PlacementUnit) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| unit.members().all(|index| job.is_waiting(index)))
    }

    /// Whether nothing but room is missing for a unit to start.
    pub(crate) fn is_startable(&self, id: &id::JobId, unit: PlacementUnit, now: Now) -> bool {
        // Few jobs have any.
        let has_losses = !self.jobs[id].progress.crashes.is_empty();
        self.is_waiting(id, unit)
            && !self.may_start_late(id, unit)
            && self.restarts.is_due(id, unit, now.ms)
            && !(has_losses && self.waits_after_losses(id, unit, now))
    }

    /// Accounts whose open urgent jobs together need no more accelerators than are guaranteed to
    /// the account.
    pub(crate) fn guaranteed_accounts(&self) -> BTreeSet<id::ClientAccountName> {
        let mut wanted: BTreeMap<&id::ClientAccountName, u64> = BTreeMap::new();
        for job in self.jobs.values() {
            if job.accepted.terms.priority == 0 && !job.progress.state.is_final() {
                let of_account = wanted.entry(&job.accepted.account).or_default();
                *of_account = of_account.saturating_add(job.max_step_accelerators());
            }
        }
        wanted
            .into_iter()
            .filter(|(account, accelerators)| *accelerators <= self.terms.guaranteed(account))
            .map(|(account, _)| account.clone())
            .collect()
    }

    /// The requirements of a unit at `now`, including the lowest acceptable speed: the one that the
    /// job's objective requires, at least `DEGRADED_SPEED_RATIO` and at most
    /// `REQUIRED_SPEED_MAX_RATIO`, or `DEGRADED_SPEED_RATIO` if the objective can't be met. Callers
    /// lower `speed_min_ratio` to accept slower servers.
    pub(crate) fn demand<'a>(
        &'a self,
        id: &id::JobId,
        unit: PlacementUnit,
        guaranteed_accounts: &BTreeSet<id::ClientAccountName>,
        now: Now,
    ) -> Demand<'a> {
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        let excluded = self.health.avoided_servers(id, now.ms);
        let excluded = match excluded.len() > EXCLUDED_SERVERS_MAX {
            true => BTreeSet::new(),
            false => excluded,
        };
        let excluded = self
            .restarts
            .with_failed_servers(id, unit, excluded, now.ms);
        let excluded = self.with_unsafe_servers(id, unit, excluded, now);
        let excluded = self.with_all_but_late_server(id, unit, excluded);
        // Starting within the guaranteed time, `reclaim_ms`, takes precedence over the speed of a
        // gang once half of that time has passed.
        let waited_ms = now.ms.saturating_sub(job.accepted_ms);
        let is_urgent = job.accepted.terms.priority == 0;
        let may_span_racks = is_urgent
            && guaranteed_accounts.contains(&job.accepted.account)
            && 2 * waited_ms > self.settings.reclaim_ms;
        let required_speed = required_speed_ratio(job, unit, now);
        Demand {
            step,
            service: &job.accepted.terms.service,
            count: unit.count,
            prefers_fast: required_speed > SLACK_SPEED_RATIO,
            speed_min_ratio: match required_speed > UNATTAINABLE_SPEED_RATIO {
                true => DEGRADED_SPEED_RATIO,
                false => required_speed.clamp(DEGRADED_SPEED_RATIO, REQUIRED_SPEED_MAX_RATIO),
            },
            excluded,
            soundness: self.soundness_need(id, unit, now),
            same_step_tasks: self.same_step_tasks(id, unit),
            may_span_racks: may_span_racks || self.may_span_racks_by_advice(id, unit.first),
            is_urgent,
            // Work that is bound to a rack or a label may have no other server.
            may_use_kept: is_urgent || step.data_rack.is_some() || step.required_label.is_some(),
            interference_costs: self.interference_costs(&job.accepted, unit.first.step),
            advice: self.advised_servers(id, unit.first),
        }
    }

    /// Places a unit on the servers of `assignment`: creates its runs, whose start orders are sent
    /// once the placement is stored, and allocates its resources in `snapshot`.
    ///
    /// # Errors
    ///
    /// Changes nothing and says why if a limit of the step or the state of a server forbids the
    /// start. The unit then waits for the next decision.
    pub(crate) fn start_unit(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        assignment: &[usize],
        snapshot: &mut CapacitySnapshot,
        now: Now,
    ) -> Result<(), StartObstacle> {
        let servers = snapshot.server_ids(assignment);
        if let Some(obstacle) = self.start_obstacle(id, unit, &servers) {
            self.report_blocked_start(id, unit, obstacle);
            return Err(obstacle);
        }
        let is_isolated = self.isolation(id, unit) != Isolation::None;
        let lives: Vec<_> = servers
            .iter()
            .filter_map(|server| Some((server.clone(), self.life_of(server)?)))
            .collect();
        let Some(job) = self.jobs.get_mut(id) else {
            return Err(StartObstacle::NotWaiting);
        };
        let need = job.step(unit.first).counted_need();
        job.note_opened(unit);
        let latest_run = unit
            .members()
            .map(|index| job.progress.task(index).run)
            .max();
        let run = latest_run.unwrap_or_default().next();
        job.mark_changed();
        let generation = job.generation;
        job.progress.lives.extend(lives);
        for (index, &position) in unit.members().zip(assignment) {
            let server = snapshot.candidates()[position].entry.id.clone();
            let task = job.progress.task_mut(index);
            task.run = run;
            task.state = TaskState::Started;
            task.server = Some(server.clone());
            if let Some(registered) = self.servers.get_mut(&server) {
                registered.used = registered.used.plus(&need);
                registered.last_start_ms = now.ms;
            }
            let server_runs = self.runs_by_server.entry(server.clone()).or_default();
            server_runs.insert((id.clone(), index));
            let mut live = LiveRun::placed(server, run, need, generation);
            live.is_resumed = !job.progress.task(index).checkpoint.is_empty();
            job.runs.insert(index, live);
            snapshot.allocate(position, &need);
        }
        self.events.push(Event::Placed {
            job: id.clone(),
            first: unit.first,
            tasks: unit.count,
            run,
            server: snapshot.candidates()[assignment[0]].entry.id.clone(),
            waited_ms: now.ms.saturating_sub(job.accepted_ms),
        });
        if is_isolated {
            for (index, &position) in unit.members().zip(assignment) {
                let server = snapshot.candidates()[position].entry.id.clone();
                self.watch_run(&server, id, index);
                snapshot.close(position);
            }
        }
        self.track_placed(id, unit, now);
        Ok(())
    }
}

/// The free share of the scarcest of the resources that `capacity` has; 1 if it has none.
pub(crate) fn free_share(capacity: &job::Resources, free: &job::Resources) -> f64 {
    let share = |free: u64, capacity: u64| match capacity {
        0 => 1.0,
        _ => free as f64 / capacity as f64,
    };
    share(free.cpu_millicores, capacity.cpu_millicores)
        .min(share(free.memory_mb, capacity.memory_mb))
        .min(share(free.accelerators, capacity.accelerators))
}

/// A job with units that may start.
pub(crate) struct ReadyJob {
    pub job: id::JobId,
    pub priority: u32,
    /// See [`crate::ready_units::ReadyUnits`], also for the other fields.
    pub units: Vec<PlacementUnit>,
    pub window_ends: Vec<PlacementUnit>,
    /// Whether tasks may start that `units` doesn't hold.
    pub has_more: bool,
    pub waiting_tasks: Vec<u64>,
}

/// The state of one scheduling decision.
pub(crate) struct PlacementRound {
    pub snapshot: CapacitySnapshot,
    /// What the runs that this decision preempts will release beyond the claims on it, by position.
    /// Not part of `snapshot`: nothing can start there before they have ended.
    pub promised: BTreeMap<usize, job::Resources>,
    pub guaranteed_accounts: BTreeSet<id::ClientAccountName>,
    /// Units that may be preempted; collected when the first preemption is planned.
    preemptible: Option<PreemptibleUnits>,
    /// Preemptions that may still be planned.
    plans_left: u32,
}

impl PlacementRound {
    /// The snapshot as it will be once the preempted runs have ended.
    pub(crate) fn snapshot_with_promised(&self) -> CapacitySnapshot {
        let mut snapshot = self.snapshot.clone();
        for (position, need) in &self.promised {
            snapshot.release(*position, need);
        }
        snapshot
    }

    /// Allocates `need` for a claim on the server at `position`, of what is promised there first.
    pub(crate) fn allocate_claim(&mut self, position: usize, need: &job::Resources) {
        let promised = self.promised.entry(position).or_default();
        let rest = need.minus(promised);
        *promised = promised.minus(need);
        self.snapshot.allocate(position, &rest);
    }
}

/// The order in which jobs are placed. Jobs whose completion is worth nothing any more come last.
/// Within both groups, lower priority numbers go first (priority 0 is urgent work), then jobs that
/// can still meet their objective before those that can't, then the oldest job. The last entry is
/// the time of acceptance plus [`fair_share::CREDIT_MAX_MS`], less the credit of the job.
type SortKey = (bool, u32, bool, u64);

/// Speed, relative to the median, at which the unit ends within the job's objective if it starts
/// now. Includes `ESTIMATE_ERROR_ALLOWANCE`. Later steps of the job are not counted.
pub(crate) fn required_speed_ratio(job: &OpenJob, unit: PlacementUnit, now: Now) -> f64 {
    let waited_ms = now.ms.saturating_sub(job.accepted_ms);
    let left_ms = job.objective_ms().saturating_sub(waited_ms).max(1);
    let estimate_ms = job.step(unit.first).estimate_ms as f64;
    ESTIMATE_ERROR_ALLOWANCE * estimate_ms / left_ms as f64
}
