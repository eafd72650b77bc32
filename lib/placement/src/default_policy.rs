//! The default policy. Jobs that fit into a guaranteed shape go first, urgent ones ahead, and
//! preempt borrowers; then come aged jobs in order of arrival, then all others. Apart from aged
//! ones, jobs are ordered by a score from response ratio, priority, urgency, fair share and size.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, sheet, task};

use crate::cluster::{Block, Cluster, Piece};
use crate::guarantee::Guarantees;
use crate::history::{ExpectedRunTime, RunTimeHistory};
use crate::policy;
use crate::queue::{EquivalenceClass, Queue};
use crate::reservation::Reservation;
use crate::weights::Weights;

/// The default placement policy.
#[derive(Debug)]
pub struct DefaultPolicy {
    pub(crate) weights: Weights,
    pub(crate) cluster: Cluster,
    pub(crate) guarantees: Guarantees,
    pub(crate) kinds: BTreeMap<id::KindName, sheet::KindSettings>,
    pub(crate) queue: Queue,
    pub(crate) history: RunTimeHistory,
    pub(crate) running: BTreeMap<id::RequestId, RunningJob>,
    /// Running requests by index of the backend server.
    pub(crate) requests_by_server: BTreeMap<usize, BTreeSet<id::RequestId>>,
    pub(crate) claims: BTreeMap<id::RequestId, Claim>,
    pub(crate) reservations: Vec<Reservation>,
    /// Number of accelerators that the running jobs of each account hold beyond its guarantees.
    pub(crate) accelerators_beyond_guarantee: BTreeMap<id::ClientAccountName, u32>,
    /// First arrival times of preempted requests, kept until they are queued again.
    preempted_arrivals_ms: BTreeMap<id::RequestId, u64>,
    /// Number of accelerators in the largest rack seen so far. A maximum over time, so that a
    /// server that is being replaced doesn't cause a permanent refusal.
    pub(crate) largest_rack_size: u32,
    /// Whether the assignment of guaranteed shapes has to be recomputed.
    pub(crate) is_assignment_stale: bool,
}

/// A job that holds accelerators or a slot.
#[derive(Clone, Debug)]
pub(crate) struct RunningJob {
    pub(crate) job: policy::Job,
    pub(crate) members: Vec<task::Member>,
    pub(crate) block: Block,
    /// Index of the guaranteed shape that it is charged to.
    pub(crate) shape: Option<usize>,
    /// Whether it was charged to a shape at its start or by the last recomputation. Unlike `shape`,
    /// this survives a change of the sheet, so that the job is charged first in the new assignment.
    pub(crate) was_charged: bool,
    /// Whether it was started on accelerators that were reserved for another job.
    pub(crate) is_backfilled: bool,
    pub(crate) started_at_ms: u64,
    /// When the policy decided to preempt the job; `None` if it hasn't.
    pub(crate) stopping_since_ms: Option<u64>,
}

impl RunningJob {
    /// Whether the job runs beyond the guarantees and can be preempted.
    pub(crate) fn is_borrowing(&self) -> bool {
        self.shape.is_none() && self.job.is_preemptible()
    }

    /// Whether shapes must be assigned around the job's block: it was charged to a shape or can't
    /// be preempted.
    pub(crate) fn must_assign_around(&self) -> bool {
        self.was_charged || !self.job.is_preemptible()
    }
}

/// A job that has been given a block but can't start until the borrowers there have stopped.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) job: policy::Job,
    pub(crate) block: Block,
    /// Index of the guaranteed shape that it will use; `None` beyond the guarantees.
    pub(crate) shape: Option<usize>,
    pub(crate) claimed_at_ms: u64,
}

impl DefaultPolicy {
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            cluster: Cluster::default(),
            guarantees: Guarantees::default(),
            kinds: BTreeMap::new(),
            queue: Queue::default(),
            history: RunTimeHistory::default(),
            running: BTreeMap::new(),
            requests_by_server: BTreeMap::new(),
            claims: BTreeMap::new(),
            reservations: Vec::new(),
            accelerators_beyond_guarantee: BTreeMap::new(),
            preempted_arrivals_ms: BTreeMap::new(),
            largest_rack_size: 0,
            is_assignment_stale: false,
        }
    }

    /// Expected run time of a job on a backend server of speed 1.0.
    pub(crate) fn expected(&self, job: &policy::Job) -> ExpectedRunTime {
        self.history.expected(&job.client_account, &job.kind)
    }

    /// The lowest speed among the backend servers of a block, which determines the speed of a gang.
    /// 1.0 if the block is empty or the speed is not positive.
    pub(crate) fn speed_ratio(&self, block: &[Piece]) -> f64 {
        let speeds = block
            .iter()
            .map(|piece| self.cluster.servers[piece.server].server.speed_ratio);
        let lowest = speeds.fold(f64::INFINITY, f64::min);
        match lowest {
            speed if speed.is_finite() && speed > 0.0 => speed,
            _ => 1.0,
        }
    }

    /// Allocates the block of a job that starts or is already running.
    pub(crate) fn add_running(&mut self, request: id::RequestId, running: RunningJob) {
        let is_protected = !running.is_borrowing();
        for piece in &running.block {
            let state = &mut self.cluster.servers[piece.server];
            state.allocated |= piece.mask;
            state.slots_used += 1;
            if is_protected {
                state.protected |= piece.mask;
                state.slots_protected += 1;
            }
            let requests = self.requests_by_server.entry(piece.server).or_default();
            requests.insert(request.clone());
        }
        if running.shape.is_none() {
            let account = running.job.client_account.clone();
            *self
                .accelerators_beyond_guarantee
                .entry(account)
                .or_insert(0) += running.job.accelerators;
        }
        self.running.insert(request, running);
    }

    pub(crate) fn remove_running(&mut self, request: &id::RequestId) -> Option<RunningJob> {
        let running = self.running.remove(request)?;
        if let Some(shape) = running.shape {
            self.guarantees.uncharge(&mut self.cluster, shape, request);
        }
        let is_protected = !running.is_borrowing();
        for piece in &running.block {
            let state = &mut self.cluster.servers[piece.server];
            state.allocated &= !piece.mask;
            state.slots_used -= 1;
            if is_protected {
                state.protected &= !piece.mask;
                state.slots_protected -= 1;
            }
            if let Some(requests) = self.requests_by_server.get_mut(&piece.server) {
                requests.remove(request);
            }
        }
        let account = &running.job.client_account;
        match self.accelerators_beyond_guarantee.get_mut(account) {
            Some(beyond) if running.shape.is_none() && *beyond > running.job.accelerators => {
                *beyond -= running.job.accelerators;
            }
            Some(_) if running.shape.is_none() => {
                self.accelerators_beyond_guarantee.remove(account);
            }
            _ => {}
        }
        Some(running)
    }

    /// Marks the block of a claim, so that no other job starts there.
    pub(crate) fn add_claim(&mut self, claim: Claim) {
        for piece in &claim.block {
            let state = &mut self.cluster.servers[piece.server];
            state.claimed |= piece.mask;
            state.protected |= piece.mask;
            state.slots_used += 1;
            state.slots_protected += 1;
        }
        self.claims.insert(claim.job.id.clone(), claim);
    }

    pub(crate) fn remove_claim(&mut self, request: &id::RequestId) -> Option<Claim> {
        let claim = self.claims.remove(request)?;
        for piece in &claim.block {
            let state = &mut self.cluster.servers[piece.server];
            state.claimed &= !piece.mask;
            state.protected &= !piece.mask;
            state.slots_used -= 1;
            state.slots_protected -= 1;
        }
        if let Some(shape) = claim.shape {
            self.guarantees.uncharge(&mut self.cluster, shape, request);
        }
        Some(claim)
    }
}

impl policy::Policy for DefaultPolicy {
    fn set_sheet(&mut self, zone: &id::ZoneName, sheet: &sheet::Sheet) {
        // No job may stay charged to a shape of the previous sheet.
        self.clear_assignment();
        self.guarantees = Guarantees::new(zone, sheet);
        self.kinds = sheet.kinds.clone();
        self.is_assignment_stale = true;
    }

    fn set_server(&mut self, server: policy::Server) {
        self.cluster.set_server(server);
        self.largest_rack_size = self.largest_rack_size.max(self.cluster.largest_rack_size());
        self.is_assignment_stale = true;
    }

    fn remove_server(&mut self, server: &id::BackendServerId) {
        self.cluster.remove_server(server);
        self.is_assignment_stale = true;
    }

    fn submit(&mut self, mut job: policy::Job) {
        let first_arrival_ms = self.preempted_arrivals_ms.remove(&job.id);
        job.arrived_at_ms = first_arrival_ms.unwrap_or(job.arrived_at_ms);
        if !self.running.contains_key(&job.id) && !self.claims.contains_key(&job.id) {
            self.queue.push(job);
        }
    }

    fn withdraw(&mut self, request: &id::RequestId) {
        self.preempted_arrivals_ms.remove(request);
        if let Some(job) = self.queue.remove(request) {
            self.drop_reservation_without_job(&EquivalenceClass::of(&job));
        }
        self.remove_claim(request);
    }

    fn adopt(&mut self, job: policy::Job, members: Vec<task::Member>, now_ms: u64) {
        self.withdraw(&job.id);
        self.remove_running(&job.id);
        let running = RunningJob {
            block: self.cluster.block_of(&members),
            members,
            shape: None,
            was_charged: false,
            is_backfilled: false,
            started_at_ms: now_ms,
            stopping_since_ms: None,
            job,
        };
        self.add_running(running.job.id.clone(), running);
        self.is_assignment_stale = true;
    }

    fn record_end(&mut self, request: &id::RequestId, cause: policy::EndCause, _now_ms: u64) {
        let Some(running) = self.remove_running(request) else {
            return;
        };
        let job = &running.job;
        match cause {
            policy::EndCause::Finished { run_time_ms } => {
                let scaled = run_time_ms as f64 * self.speed_ratio(&running.block);
                self.history.record(
                    &job.client_account,
                    &job.kind,
                    job.accelerators,
                    scaled as u64,
                );
            }
            policy::EndCause::Stopped if running.stopping_since_ms.is_some() => {
                self.preempted_arrivals_ms
                    .insert(request.clone(), job.arrived_at_ms);
            }
            _ => {}
        }
        let has_unmet = self
            .guarantees
            .shapes
            .iter()
            .any(|shape| shape.block.is_none());
        self.is_assignment_stale |= has_unmet;
    }

    fn decide(&mut self, now_ms: u64, scope: policy::StartScope) -> Vec<policy::Decision> {
        if self.is_assignment_stale {
            self.rebuild_assignment();
        }
        self.run_round(now_ms, scope)
    }

    fn explain(&self, request: &id::RequestId) -> Option<String> {
        self.wait_reason(request)
    }

    fn unmet_guarantees(&self) -> Vec<String> {
        let unmet = self.guarantees.unmet();
        unmet
            .into_iter()
            .map(|((account, accelerators), count)| {
                format!(
                    "client account {account}: {count} guaranteed shapes of {accelerators} \
                     adjacent accelerators don't fit on the current backend servers"
                )
            })
            .collect()
    }
}
