//! Preemption of borrowers for urgent requests beyond the guarantees.

use camphorbeam_model::id;

use crate::cluster::{Criteria, ServerState};
use crate::costs::{Costs, SpeedBenefit};
use crate::default_policy::DefaultPolicy;
use crate::policy;
use crate::queue::EquivalenceClass;
use crate::reservation::Reservation;
use crate::round::Round;

impl DefaultPolicy {
    /// Claims a block for an urgent job that takes accelerators and has waited for at least its
    /// expected run time. Returns `false` if the job is not eligible, if no block is found, or if
    /// the cheapest block found can't be freed by preempting borrowers.
    ///
    /// The block consists of free accelerators and those of checkpointable borrowers that are not
    /// urgent; accelerators assigned to guaranteed shapes, or reserved for another urgent job, are
    /// never claimed this way. If a server has no free slot, the cheapest other borrowers there are
    /// preempted too, whether they are checkpointable or not; if one of them is urgent, nothing is
    /// claimed.
    pub(crate) fn claim_for_urgent(&mut self, job: &policy::Job, round: &mut Round) -> bool {
        let waited_ms = round.now_ms.saturating_sub(job.arrived_at_ms);
        let is_urgent = self.terms(&job.kind).urgent && job.accelerators > 0;
        if !is_urgent || waited_ms < self.expected(job).median_ms {
            return false;
        }
        let victims_for_urgent = match round.victims_for_urgent.take() {
            Some(victims_for_urgent) => victims_for_urgent,
            None => self.find_victims_for_urgent(),
        };
        let criteria = UrgentCriteria {
            costs: &round.costs,
            victims_for_urgent: &victims_for_urgent,
            reserved: self.reserved_for_other_urgent(job),
            speed_benefit: self.speed_benefit(job),
        };
        let found = self.cluster.find(job.accelerators, &criteria);
        // An urgent borrower would claim its slot back.
        let is_urgent = |request: &id::RequestId| {
            let kind = &self.running[request].job.kind;
            self.terms(kind).urgent
        };
        let found = found.filter(|block| {
            let victims = self.victims(block, round.now_ms);
            victims.is_some_and(|(victims, _)| !victims.iter().any(is_urgent))
        });
        round.victims_for_urgent = Some(victims_for_urgent);
        let Some(block) = found else {
            return false;
        };
        let reason = format!("makes way for urgent request {}", job.id);
        self.claim(job, block, None, &reason, round);
        true
    }

    /// By server index: accelerators that are reserved for other urgent jobs. A job that took them
    /// could be stopped for the other one, claim them again, and so on.
    fn reserved_for_other_urgent(&self, job: &policy::Job) -> Vec<u64> {
        let class = EquivalenceClass::of(job);
        let mut reserved = vec![0; self.cluster.servers.len()];
        let is_of_other_urgent = |reservation: &&Reservation| {
            let waiting_job = self.reserving_job(reservation);
            reservation.class != class
                && waiting_job.is_some_and(|other| self.terms(&other.kind).urgent)
        };
        let others = self.reservations.iter().filter(is_of_other_urgent);
        for piece in others.flat_map(|reservation| &reservation.block) {
            reserved[piece.server] |= piece.mask;
        }
        reserved
    }

    /// By server index: (mask on the server, accelerators of the whole gang) of each checkpointable
    /// borrower that is not urgent.
    fn find_victims_for_urgent(&self) -> Vec<Vec<(u64, u32)>> {
        let mut victims_for_urgent = vec![Vec::new(); self.cluster.servers.len()];
        for running in self.running.values() {
            let is_urgent = self.terms(&running.job.kind).urgent;
            let is_candidate = running.is_borrowing() && running.job.checkpointable && !is_urgent;
            for piece in running.block.iter().filter(|_| is_candidate) {
                victims_for_urgent[piece.server].push((piece.mask, running.job.accelerators));
            }
        }
        victims_for_urgent
    }
}

/// Accelerators that are free or that can be preempted for an urgent job.
struct UrgentCriteria<'a> {
    costs: &'a Costs,
    /// By server index: (mask on the server, accelerators of the whole gang) of each borrower that
    /// can be preempted.
    victims_for_urgent: &'a [Vec<(u64, u32)>],
    /// By server index: accelerators that are reserved for other urgent jobs.
    reserved: Vec<u64>,
    speed_benefit: SpeedBenefit,
}

impl Criteria for UrgentCriteria<'_> {
    fn available(&self, state: &ServerState) -> u64 {
        let is_open = state.is_usable() && state.has_protected_slot();
        let victims_for_urgent = self.victims_for_urgent[state.index].iter();
        let victims_for_urgent = victims_for_urgent.fold(0, |all, (mask, _)| all | mask);
        let open = state.free() | (victims_for_urgent & !state.claimed);
        match is_open {
            true => open & !state.protected & !state.assigned & !self.reserved[state.index],
            false => 0,
        }
    }

    fn cost(&self, state: &ServerState, mask: u64) -> f64 {
        let victims = self.victims_for_urgent[state.index].iter();
        let victims = victims.filter(|(victim, _)| victim & mask != 0);
        let stopped: u32 = victims.map(|(_, accelerators)| accelerators).sum();
        f64::from(stopped) + self.costs.protected(state, mask, self.speed_benefit)
    }
}
