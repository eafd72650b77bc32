//! Overdue starts: bounds the time for which a start is withheld on a calm service. See
//! docs/design/start-promise.md for the promise and its reasons.

use std::collections::BTreeSet;

use camphorbeam_model::{id, job};

use crate::advice::StepName;
use crate::crash_evidence::Isolation;
use crate::decide::{PlacementRound, ReadyJob, DEGRADED_SPEED_RATIO};
use crate::engine::{Engine, Now};
use crate::open_job::PlacementUnit;
use crate::placement::{Assignment, CapacitySnapshot, Demand};
use crate::soundness;

/// Time with room after which a unit may use servers that are reserved for other units or kept for
/// urgent work.
const CLAIMS_RESPECTED_MS: u64 = 1_000;

/// Time with room after which a unit may use any server that the platform allows, also where it
/// runs slower. Leaves a second of the platform's three for storing and sending the start.
const PREFERENCES_RESPECTED_MS: u64 = 2_000;

/// Number of units in one decision for which no servers are found, since each takes several
/// searches.
const FAILED_SEARCHES_MAX: u32 = 16;

impl Engine {
    /// Places the units of `ready_jobs` whose start has been withheld for too long. Comes before
    /// reservations are applied to the snapshot of `round`, but after the claims of urgent work,
    /// which are short.
    pub(crate) fn place_overdue(
        &mut self,
        ready_jobs: &[ReadyJob],
        round: &mut PlacementRound,
        now: Now,
    ) {
        if self.withheld.is_empty() {
            return;
        }
        let mut searches_left = FAILED_SEARCHES_MAX;
        let step = |unit: &PlacementUnit| (unit.first.occurrence, unit.first.step);
        for ready_job in ready_jobs {
            for units in ready_job.units.chunk_by(|a, b| step(a) == step(b)) {
                let name = StepName::of(&ready_job.job, units[0].first);
                match self.withheld.withheld_ms(&name, now) {
                    Some(withheld_ms) if withheld_ms >= CLAIMS_RESPECTED_MS => {
                        let id = &ready_job.job;
                        let left = &mut searches_left;
                        self.place_overdue_step(id, units, withheld_ms, round, left, now);
                    }
                    _ => {}
                }
                if searches_left == 0 {
                    return;
                }
            }
        }
    }

    /// Places units of one step, until one that needs nothing special doesn't fit.
    fn place_overdue_step(
        &mut self,
        id: &id::JobId,
        units: &[PlacementUnit],
        withheld_ms: u64,
        round: &mut PlacementRound,
        searches_left: &mut u32,
        now: Now,
    ) {
        let is_urgent = self.jobs[id].accepted.terms.priority == 0;
        let may_use_any = withheld_ms >= PREFERENCES_RESPECTED_MS;
        for &unit in units {
            // The claim of an urgent unit means that a preemption is under way for it.
            let is_preempting = is_urgent && self.claims.contains_key(&(id.clone(), unit));
            let may_start = !is_preempting
                && self.is_startable(id, unit, now)
                && !self.waits_for_advice(id, unit)
                && (may_use_any || !self.waits_for_evacuation_end(id, unit));
            if !may_start {
                continue;
            }
            let mut assignment = self.assignment_without_claims(id, unit, round, now);
            if may_use_any && assignment.is_none() {
                let (snapshot, accounts) = (&mut round.snapshot, &round.guaranteed_accounts);
                assignment = self.assignment_anywhere(id, unit, snapshot, accounts, now);
            }
            let is_started = match assignment {
                Some(assignment) => {
                    self.claims.remove(&(id.clone(), unit));
                    let snapshot = &mut round.snapshot;
                    self.start_unit(id, unit, &assignment, snapshot, now)
                        .is_ok()
                }
                None => may_use_any && self.start_on_closed(id, unit, round, now),
            };
            if is_started {
                continue;
            }
            *searches_left -= 1;
            let has_special_needs = self.soundness_need(id, unit, now) == soundness::Need::Proven
                || self.restarts.has_quick_end(id, unit)
                || self.isolation(id, unit) != Isolation::None;
            if !has_special_needs || *searches_left == 0 {
                return;
            }
        }
    }

    /// Servers on which a unit fits if neither reservations nor servers kept for urgent work count.
    /// Those without a reservation come first, and reserved ones on which another gang can start
    /// now are left to it.
    fn assignment_without_claims(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        round: &mut PlacementRound,
        now: Now,
    ) -> Option<Assignment> {
        let snapshot = &mut round.snapshot;
        let mut demand = self.demand(id, unit, &round.guaranteed_accounts, now);
        snapshot.relax_speed(&mut demand, DEGRADED_SPEED_RATIO);
        demand.may_use_kept = true;
        let mut beside_reservations = demand.clone();
        beside_reservations
            .excluded
            .extend(self.reserved_servers(id));
        demand.excluded.extend(self.claims_that_fit(id, snapshot));
        let assignment = snapshot.choose(&beside_reservations);
        assignment.or_else(|| snapshot.choose(&demand))
    }

    /// Servers of `snapshot` on which a unit fits if its preferences don't count: for speed, one
    /// rack, the rack of its data, and against servers on which its job has failed.
    fn assignment_anywhere(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        snapshot: &mut CapacitySnapshot,
        guaranteed_accounts: &BTreeSet<id::ClientAccountName>,
        now: Now,
    ) -> Option<Assignment> {
        let demand = self.demand(id, unit, guaranteed_accounts, now);
        let step = step_anywhere(demand.step);
        snapshot.choose(&self.demand_anywhere(id, unit, demand, &step, now))
    }

    /// `demand` without the preferences of the unit. `step` is its step by [`step_anywhere`].
    pub(crate) fn demand_anywhere<'a>(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        demand: Demand<'a>,
        step: &'a job::StepSpec,
        now: Now,
    ) -> Demand<'a> {
        Demand {
            step,
            speed_min_ratio: 0.0,
            may_use_kept: true,
            may_span_racks: true,
            excluded: self.with_unsafe_servers(id, unit, BTreeSet::new(), now),
            ..demand
        }
    }

    /// Whether a step has been withheld for so long that it may use any server before long.
    pub(crate) fn is_overdue_soon(&self, step: &StepName, now: Now) -> bool {
        let withheld_ms = self.withheld.withheld_ms(step, now);
        withheld_ms.is_some_and(|withheld_ms| withheld_ms >= CLAIMS_RESPECTED_MS)
    }

    /// Starts a unit on servers that are closed to ordinary work, beside others, if only these have room
    /// for it. No other unit gets them. A last attempt isn't risked there.
    fn start_on_closed(
        &mut self,
        id: &id::JobId,
        unit: PlacementUnit,
        round: &mut PlacementRound,
        now: Now,
    ) -> bool {
        let mut closed = self
            .servers
            .values()
            .filter(|server| self.is_closed_to_ordinary_work(server, now));
        if closed.next().is_none() || self.soundness_need(id, unit, now) == soundness::Need::Proven
        {
            return false;
        }
        let is_suspected = self.isolation(id, unit) != Isolation::None;
        let mut snapshot = self.snapshot_for_overdue(is_suspected, now);
        let accounts = &round.guaranteed_accounts;
        let Some(assignment) = self.assignment_anywhere(id, unit, &mut snapshot, accounts, now)
        else {
            return false;
        };
        let need = self.jobs[id].step(unit.first).counted_need();
        for &position in &assignment {
            let server = &snapshot.candidates()[position].entry.id;
            match round.snapshot.position_of(server) {
                Some(position) if is_suspected => round.snapshot.close(position),
                Some(position) => round.snapshot.allocate(position, &need),
                None => {}
            }
        }
        self.claims.remove(&(id.clone(), unit));
        self.start_unit(id, unit, &assignment, &mut snapshot, now)
            .is_ok()
    }

    /// The servers of reservations of other jobs than `job` that have room for the whole gang.
    fn claims_that_fit(
        &self,
        job: &id::JobId,
        snapshot: &CapacitySnapshot,
    ) -> BTreeSet<id::BackendServerId> {
        let claims = self.claims.iter();
        let of_others =
            claims.filter(|((id, _), _)| id != job && self.jobs[id].accepted.terms.priority > 0);
        of_others
            .filter(|(_, claim)| claim.fits(snapshot))
            .flat_map(|(_, claim)| claim.servers.iter().cloned())
            .collect()
    }
}

/// A step without the preference for the rack of its data.
pub(crate) fn step_anywhere(step: &job::StepSpec) -> job::StepSpec {
    job::StepSpec {
        data_rack: None,
        ..step.clone()
    }
}
