//! Cost of a placement: fragmentation, server speed, and use of accelerators that are assigned to
//! guaranteed shapes.

use std::collections::BTreeMap;

use camphorbeam_model::id;

use crate::cluster::{Cluster, ServerState};
use crate::weights::Weights;

/// Cost of placing a job on a suspect backend server. [`Costs::speed`] uses the same value as the
/// maximum of the relative slowness of a server, which it then multiplies by a preference and by
/// [`Weights::completion`].
const SUSPECT_COST: f64 = 8.0;

/// Inputs of the placement costs, computed once at the start of a scheduling round.
#[derive(Debug)]
pub(crate) struct Costs {
    weights: Weights,
    max_speed_ratio: f64,
    /// Share of the accelerators of usable servers that are allocated or claimed.
    busy_ratio: f64,
    /// By server index: the share of the accelerators of usable servers in its rack that are not
    /// protected; 0.0 if there are none.
    unprotected_ratios: Vec<f64>,
}

/// How much a job gains from a fast server, compared with other jobs: 0.0 to 1.0.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct SpeedBenefit(pub(crate) f64);

impl Costs {
    pub(crate) fn new(weights: &Weights, cluster: &Cluster) -> Self {
        let usable = || cluster.servers.iter().filter(|state| state.is_usable());
        let mut racks: BTreeMap<&id::RackName, (u32, u32)> = BTreeMap::new();
        let mut busy = 0;
        for server in usable() {
            let (all, protected) = racks.entry(&server.server.rack).or_default();
            *all += server.all.count_ones();
            *protected += (server.protected & server.all).count_ones();
            busy += (server.allocated | server.claimed).count_ones();
        }
        let all: u32 = racks.values().map(|(all, _)| all).sum();
        let unprotected_ratio = |server: &ServerState| match racks.get(&server.server.rack) {
            Some((all, protected)) if *all > 0 => 1.0 - f64::from(*protected) / f64::from(*all),
            _ => 0.0,
        };
        Self {
            weights: weights.clone(),
            max_speed_ratio: usable()
                .map(|server| server.server.speed_ratio)
                .fold(0.0, f64::max),
            busy_ratio: f64::from(busy) / f64::from(all.max(1)),
            unprotected_ratios: cluster.servers.iter().map(unprotected_ratio).collect(),
        }
    }

    /// Cost of a slow server.
    ///
    /// The busier the cluster, the lower the cost for jobs that gain little from a fast server. In
    /// a busy cluster it is negative, so that they leave the fast servers to others.
    pub(crate) fn speed(&self, state: &ServerState, speed_benefit: SpeedBenefit) -> f64 {
        let speed = state.server.speed_ratio.max(f64::MIN_POSITIVE);
        let relative_slowness = (self.max_speed_ratio / speed - 1.0).clamp(0.0, SUSPECT_COST);
        let preference = 1.0 - 2.0 * self.busy_ratio * (1.0 - speed_benefit.0);
        relative_slowness * preference * self.weights.completion
    }

    /// Cost of placing a job whose accelerators are protected: it isn't preemptible, is charged to
    /// a guaranteed shape, or gets a claim. Such jobs are packed onto the same servers and racks so
    /// that whole servers and racks stay free of them.
    pub(crate) fn protected(
        &self,
        state: &ServerState,
        mask: u64,
        speed_benefit: SpeedBenefit,
    ) -> f64 {
        let unprotected_server_penalty = match state.protected == 0 {
            true => 1.0,
            false => 0.0,
        };
        let packing_penalty = unprotected_server_penalty + self.unprotected_ratios[state.index];
        self.weights.fragmentation * (Cluster::split_cost(state, mask) + packing_penalty)
            + self.speed(state, speed_benefit)
            + self.suspect_cost(state)
    }

    /// Cost of placing a borrower, which can be preempted.
    pub(crate) fn borrowing(
        &self,
        state: &ServerState,
        mask: u64,
        speed_benefit: SpeedBenefit,
    ) -> f64 {
        let assigned = f64::from((state.assigned & mask).count_ones());
        self.weights.fragmentation * Cluster::split_cost(state, mask)
            + self.weights.borrowing * assigned / f64::from(mask.count_ones().max(1))
            + self.speed(state, speed_benefit)
            + self.suspect_cost(state)
    }

    fn suspect_cost(&self, state: &ServerState) -> f64 {
        match state.is_suspect() {
            true => SUSPECT_COST,
            false => 0.0,
        }
    }
}
