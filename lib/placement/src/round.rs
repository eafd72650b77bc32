//! One scheduling round: starts claims that are ready, refuses impossible jobs, places waiting jobs
//! in order of tier and score, and reserves blocks for jobs that still have to wait.

use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap};

use camphorbeam_model::{id, sheet};

use crate::cluster::{Block, Piece};
use crate::costs::{Costs, SpeedBenefit};
use crate::default_policy::{Claim, DefaultPolicy, RunningJob};
use crate::policy;
use crate::queue::EquivalenceClass;
use crate::reservation::{OutsideShapesCriteria, STOP_MAX_MS};
use crate::within_guarantee::{AssignmentChange, Placement};

/// Lower bound of the run time in response ratios, in milliseconds.
const RUN_TIME_MIN_MS: u64 = 100;

/// Primary sort key of waiting jobs; later variants go first. Within a tier, jobs are ordered by
/// score, except for aged jobs, which are ordered by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    Normal,
    Aged,
    Guaranteed,
    UrgentGuaranteed,
}

/// The oldest job of a class, with its sort key for this round.
struct Candidate {
    tier: Tier,
    score: f64,
    arrived_at_ms: u64,
    class: EquivalenceClass,
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_age = other.arrived_at_ms.cmp(&self.arrived_at_ms);
        let by_score = self.score.total_cmp(&other.score);
        let within_tier = match self.tier {
            Tier::Aged => by_age,
            _ => by_score.then(by_age),
        };
        let by_class = other.class.cmp(&self.class);
        self.tier.cmp(&other.tier).then(within_tier).then(by_class)
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}

/// The state of one scheduling round.
pub(crate) struct Round {
    pub(crate) now_ms: u64,
    scope: policy::StartScope,
    pub(crate) costs: Costs,
    decisions: Vec<policy::Decision>,
    /// Properties (accelerators, idempotent, preemptible, avoided servers) of jobs for which no
    /// free block beyond the guarantees was found. The search is not repeated in this round for
    /// jobs with the same properties, unless they can be backfilled. Accelerators that a dropped
    /// reservation or a moved shape makes available meanwhile become available to these jobs only
    /// in the next round.
    pub(crate) unplaceable: BTreeSet<(u32, bool, bool, BTreeSet<id::BackendServerId>)>,
    /// By server index: (mask on the server, accelerators of the whole gang) of each borrower that
    /// can be preempted for urgent jobs. Computed at most once per round.
    pub(crate) victims_for_urgent: Option<Vec<Vec<(u64, u32)>>>,
}

impl DefaultPolicy {
    pub(crate) fn run_round(
        &mut self,
        now_ms: u64,
        scope: policy::StartScope,
    ) -> Vec<policy::Decision> {
        let mut round = Round {
            now_ms,
            scope,
            costs: Costs::new(&self.weights, &self.cluster),
            decisions: Vec::new(),
            unplaceable: BTreeSet::new(),
            victims_for_urgent: None,
        };
        self.start_claims(&mut round);
        self.refuse_impossible(&mut round);
        let blocked = self.start_waiting(&mut round);
        self.reserve_for_blocked(&blocked, &mut round);
        round.decisions
    }

    /// Starts the jobs whose claimed blocks are free. Returns those outside the start scope to the
    /// queue, since their accelerators would stay idle until the scope widens; a guarantee can be
    /// reclaimed from the borrowers that start there meanwhile. Returns also those that have waited for
    /// [`STOP_MAX_MS`], since other accelerators may be free now.
    fn start_claims(&mut self, round: &mut Round) {
        let is_ready = |claim: &&Claim| {
            claim.block.iter().all(|piece| {
                let state = &self.cluster.servers[piece.server];
                state.allocated & piece.mask == 0 && state.slots_used <= state.server.slots
            })
        };
        let claims = self.claims.values().filter(is_ready);
        let ready: Vec<id::RequestId> = claims.map(|claim| claim.job.id.clone()).collect();
        let now_ms = round.now_ms;
        let is_late = |claim: &&Claim| now_ms >= claim.claimed_at_ms + STOP_MAX_MS;
        let late = self.claims.values().filter(|claim| !is_ready(claim));
        let late = late.filter(is_late).map(|claim| claim.job.id.clone());
        let late: Vec<id::RequestId> = late.collect();
        for request in late {
            if let Some(claim) = self.remove_claim(&request) {
                self.queue.push(claim.job);
            }
        }
        for request in ready {
            match self.remove_claim(&request) {
                Some(claim) if round.is_in_scope(&claim.job) => {
                    self.start(claim.job, claim.block, claim.shape, round);
                }
                Some(claim) => self.queue.push(claim.job),
                None => {}
            }
        }
    }

    fn refuse_impossible(&mut self, round: &mut Round) {
        let largest = self.largest_rack_size;
        if largest == 0 {
            return;
        }
        let is_impossible = |job: &&policy::Job| job.accelerators > largest;
        let impossible: Vec<policy::Job> = match self.queue.heads().any(|job| is_impossible(&job)) {
            true => self.queue.jobs().filter(is_impossible).cloned().collect(),
            false => return,
        };
        for job in impossible {
            self.queue.remove(&job.id);
            round.decisions.push(policy::Decision::Refuse {
                request: job.id,
                reason: format!(
                    "asks for {} adjacent accelerators; no rack of the availability zone has had \
                     more than {largest}",
                    job.accelerators
                ),
            });
        }
    }

    /// Starts or claims accelerators for waiting jobs in order of tier and score. Returns the
    /// classes of the jobs that have to wait, in the same order.
    fn start_waiting(&mut self, round: &mut Round) -> Vec<EquivalenceClass> {
        let heads = self
            .queue
            .heads()
            .map(|job| self.candidate(job, round.now_ms));
        let mut order: BinaryHeap<Candidate> = heads.collect();
        let mut blocked = Vec::new();
        while let Some(head) = order.pop() {
            let Some(job) = self.queue.head(&head.class).cloned() else {
                continue;
            };
            match self.start_or_claim(&job, round) {
                true => {
                    let next = self.queue.head(&head.class);
                    order.extend(next.map(|job| self.candidate(job, round.now_ms)));
                }
                false => blocked.push(head.class),
            }
        }
        blocked
    }

    fn candidate(&self, job: &policy::Job, now_ms: u64) -> Candidate {
        let terms = self.terms(&job.kind);
        let waited_ms = now_ms.saturating_sub(job.arrived_at_ms);
        let median_ms = self.expected(job).median_ms.max(RUN_TIME_MIN_MS);
        let response_ratio = (waited_ms + median_ms) as f64 / median_ms as f64;
        let priority = f64::from(terms.priority) / f64::from(sheet::PRIORITY_MAX);
        let accelerators_beyond = self
            .accelerators_beyond_guarantee
            .get(&job.client_account)
            .copied()
            .unwrap_or(0);
        let share = f64::from(accelerators_beyond) / f64::from(self.cluster.capacity().max(1));
        let tier = match self.has_open_shape(job) {
            true if terms.urgent => Tier::UrgentGuaranteed,
            true => Tier::Guaranteed,
            false if waited_ms >= self.weights.aging_limit_ms => Tier::Aged,
            false => Tier::Normal,
        };
        let urgency = match terms.urgent {
            true => self.weights.urgency,
            false => 1.0,
        };
        let size = f64::from(job.accelerators.max(1)).powf(self.weights.size_exponent);
        Candidate {
            tier,
            score: response_ratio * (1.0 + self.weights.priority * priority) * urgency
                / (1.0 + self.weights.fair_share * share)
                / size,
            arrived_at_ms: job.arrived_at_ms,
            class: EquivalenceClass::of(job),
        }
    }

    pub(crate) fn terms(&self, kind: &id::KindName) -> sheet::KindSettings {
        let default_terms = sheet::KindSettings {
            priority: 0,
            urgent: false,
        };
        self.kinds.get(kind).copied().unwrap_or(default_terms)
    }

    /// Whether an assigned shape of the account has enough uncharged accelerators for the job, by
    /// number; whether they are adjacent is not checked.
    fn has_open_shape(&self, job: &policy::Job) -> bool {
        let shapes = self.guarantees.of_account(&job.client_account);
        let has_room = |index: &usize| {
            let shape = &self.guarantees.shapes[*index];
            let used = shape.charged.values().flatten();
            let used: u32 = used.map(|piece| piece.mask.count_ones()).sum();
            shape.block.is_some() && shape.accelerators.saturating_sub(used) >= job.accelerators
        };
        job.accelerators > 0 && shapes.iter().any(has_room)
    }

    /// Starts a job or claims accelerators for it. Returns `false` if it has to wait.
    fn start_or_claim(&mut self, job: &policy::Job, round: &mut Round) -> bool {
        if !round.is_in_scope(job) {
            return false;
        }
        match self.place_within_guarantee(job, round) {
            Some(placement) if self.prefers_guarantee(job, &placement) => {
                self.apply_placement(job, placement, round)
            }
            Some(placement) => {
                self.start_beyond_guarantee(job, round)
                    || self.apply_placement(job, placement, round)
            }
            None => self.start_beyond_guarantee(job, round) || self.claim_for_urgent(job, round),
        }
    }

    /// Whether a placement within the guarantee is preferred to one beyond it.
    ///
    /// Every job prefers free accelerators beyond the guarantee to preempting borrowers. A job that
    /// can be preempted also prefers them to moving a shape, since moves scatter the shapes; it can
    /// still reclaim its guarantee later.
    fn prefers_guarantee(&self, job: &policy::Job, placement: &Placement) -> bool {
        let is_move = matches!(placement.change, AssignmentChange::Move(_));
        let is_move_acceptable = !is_move || !job.is_preemptible();
        is_move_acceptable && placement.loss_accelerator_ms == 0 && self.is_free(&placement.block)
    }

    /// How much a job gains from a fast server. Urgent jobs gain most (1.0); of the others, jobs
    /// that need less accelerator time gain more.
    pub(crate) fn speed_benefit(&self, job: &policy::Job) -> SpeedBenefit {
        let expected_ms = self.expected(job).median_ms * u64::from(job.accelerators.max(1));
        let large_ms = self.history.large_accelerator_ms() as f64;
        match self.terms(&job.kind).urgent {
            true => SpeedBenefit(1.0),
            false => SpeedBenefit(large_ms / (large_ms + expected_ms as f64)),
        }
    }

    pub(crate) fn is_free(&self, block: &[Piece]) -> bool {
        block.iter().all(|piece| {
            let state = &self.cluster.servers[piece.server];
            piece.mask & !state.free() == 0 && state.has_free_slot()
        })
    }

    fn start_beyond_guarantee(&mut self, job: &policy::Job, round: &mut Round) -> bool {
        match self.place_beyond_guarantee(job, round) {
            Some(block) => {
                self.start(job.clone(), block, None, round);
                true
            }
            None => false,
        }
    }

    fn start(&mut self, job: policy::Job, block: Block, shape: Option<usize>, round: &mut Round) {
        self.queue.remove(&job.id);
        self.drop_used_reservation(&job, &block);
        let members = self.cluster.members_of(&block);
        let is_reserved =
            |piece: &Piece| self.cluster.servers[piece.server].reserved & piece.mask != 0;
        let is_backfilled = block.iter().any(is_reserved);
        if let Some(shape) = shape {
            self.guarantees
                .charge(&mut self.cluster, shape, &job.id, &block);
        }
        let running = RunningJob {
            members: members.clone(),
            block,
            shape,
            was_charged: shape.is_some(),
            is_backfilled,
            started_at_ms: round.now_ms,
            stopping_since_ms: None,
            job,
        };
        let request = running.job.id.clone();
        round.decisions.push(policy::Decision::Start {
            request: request.clone(),
            members,
            is_borrowing: running.is_borrowing(),
        });
        self.add_running(request, running);
    }

    /// Changes the assignment of the shape as needed, preempts borrowers, and starts the job or
    /// claims its block. Returns `false` if the block can't be freed by preempting borrowers;
    /// nothing is changed then.
    fn apply_placement(
        &mut self,
        job: &policy::Job,
        placement: Placement,
        round: &mut Round,
    ) -> bool {
        let Some((victims, _)) = self.victims(&placement.block, round.now_ms) else {
            return false;
        };
        match placement.change {
            AssignmentChange::None => {}
            AssignmentChange::Swap(other) => self.guarantees.swap(placement.shape, other),
            AssignmentChange::Move(block) => {
                self.guarantees.unassign(&mut self.cluster, placement.shape);
                self.guarantees
                    .assign(&mut self.cluster, placement.shape, block);
            }
        }
        if victims.is_empty() {
            self.start(job.clone(), placement.block, Some(placement.shape), round);
            return true;
        }
        let reason = format!(
            "client account {} reclaims its guarantee for request {}",
            job.client_account, job.id
        );
        self.claim(job, placement.block, Some(placement.shape), &reason, round);
        true
    }

    /// Preempts the borrowers on `block`, removes the job from the queue, charges it to the shape
    /// if any, and claims the block for it.
    pub(crate) fn claim(
        &mut self,
        job: &policy::Job,
        block: Block,
        shape: Option<usize>,
        reason: &str,
        round: &mut Round,
    ) {
        let victims = self.victims(&block, round.now_ms);
        for request in victims.map(|(victims, _)| victims).unwrap_or_default() {
            self.preempt(&request, reason.to_owned(), round);
        }
        self.queue.remove(&job.id);
        self.drop_used_reservation(job, &block);
        if let Some(shape) = shape {
            self.guarantees
                .charge(&mut self.cluster, shape, &job.id, &block);
        }
        self.add_claim(Claim {
            job: job.clone(),
            block,
            shape,
            claimed_at_ms: round.now_ms,
        });
    }

    fn preempt(&mut self, request: &id::RequestId, reason: String, round: &mut Round) {
        match self.running.get_mut(request) {
            Some(running) if running.stopping_since_ms.is_none() => {
                running.stopping_since_ms = Some(round.now_ms);
                round.decisions.push(policy::Decision::Preempt {
                    request: request.clone(),
                    reason,
                });
            }
            _ => {}
        }
    }

    /// Reserves blocks for waiting jobs that need at least as many accelerators as the largest
    /// server has, or that are past the aging limit. Preempts borrowers on the blocks of jobs that
    /// have waited for `gang_patience_ms`. Jobs outside the start scope lose their reservations: they
    /// could not start there.
    fn reserve_for_blocked(&mut self, blocked: &[EquivalenceClass], round: &mut Round) {
        let servers = self.cluster.servers.iter();
        let largest_server = servers.map(|state| state.all.count_ones()).max();
        // At least 2, so that blocks of a single accelerator are reserved only for aged jobs.
        let reservation_size_min = largest_server.unwrap_or(0).max(2);
        self.drop_expired_reservations(round.now_ms);
        self.drop_reservations_outside_scope(round);
        for class in blocked {
            let Some(job) = self.queue.head(class).cloned() else {
                continue;
            };
            let waited_ms = round.now_ms.saturating_sub(job.arrived_at_ms);
            let is_aged = waited_ms >= self.weights.aging_limit_ms && job.accelerators > 0;
            if round.is_in_scope(&job) && (job.accelerators >= reservation_size_min || is_aged) {
                self.reserve(&job, round.now_ms);
            }
        }
        let reservations = self.reservations.clone();
        for reservation in reservations {
            let waiting_job = self.reserving_job(&reservation);
            let Some(waiting) = waiting_job.map(|job| job.id.clone()) else {
                continue;
            };
            for request in self.jobs_to_stop(&reservation, round.now_ms) {
                let reason = format!("makes way for the gang of request {waiting}");
                self.preempt(&request, reason, round);
            }
        }
    }

    /// Drops the reservations of jobs that may not start in this round's scope.
    fn drop_reservations_outside_scope(&mut self, round: &Round) {
        let waiting_jobs = self
            .reservations
            .iter()
            .filter_map(|reservation| self.reserving_job(reservation));
        let outside = waiting_jobs.filter(|job| !round.is_in_scope(job));
        let outside = outside.map(EquivalenceClass::of).collect();
        self.drop_reservations_of(outside);
    }

    /// Human-readable reason why a job has not started; `None` if it is not waiting.
    ///
    /// Each text names only some of the causes that lead to it:
    ///
    /// - Every claim is said to wait for borrowers on guaranteed accelerators, also the claim of an
    ///   urgent job beyond the guarantees.
    /// - A non-preemptible job without an open shape is told about guarantees whenever no usable
    ///   server or rack has enough adjacent accelerators outside of assigned shapes. The cause can
    ///   also be that servers are not usable, or that free shapes of its own account are too small.
    /// - Any other job is told that the free accelerators are not adjacent or are kept for others.
    ///   The cause can also be a missing slot, an avoided server, the start scope, or that no round
    ///   has run since the job was queued.
    pub(crate) fn wait_reason(&self, request: &id::RequestId) -> Option<String> {
        if self.claims.contains_key(request) {
            return Some("waits for borrowers on its guaranteed accelerators to stop".to_owned());
        }
        let job = self.queue.get(request)?;
        let accelerators = job.accelerators;
        let is_impossible_now = accelerators > 0
            && !job.is_preemptible()
            && !self.has_open_shape(job)
            && self
                .cluster
                .find(accelerators, &OutsideShapesCriteria)
                .is_none();
        if is_impossible_now {
            return Some(format!(
                "can't be stopped once it runs, and all runs of {accelerators} adjacent \
                 accelerators are guaranteed to others or in use within its own guarantee"
            ));
        }
        let free: u32 = self
            .cluster
            .servers
            .iter()
            .filter(|state| state.is_usable())
            .map(|state| state.free().count_ones())
            .sum();
        let guarantee_relation = match self.has_open_shape(job) {
            true => "within the guarantee of its client account",
            false => "beyond the guarantees of its client account",
        };
        let reserving_job = self
            .reservation_for(job)
            .and_then(|reservation| self.reserving_job(reservation));
        let reserved = match reserving_job {
            Some(head) if head.id == *request => "; accelerators are being drained for it",
            _ => "",
        };
        Some(format!(
            "waits for {accelerators} adjacent accelerators, {guarantee_relation}; {free} are free \
             but not adjacent, or kept for guarantees and reservations; {} requests wait{reserved}{}",
            self.queue.count(),
            self.reserved_for_others(request)
        ))
    }

    /// Names the other requests that free accelerators are reserved for, as a continuation of the
    /// reason for a wait. Empty if there are none.
    fn reserved_for_others(&self, request: &id::RequestId) -> String {
        let texts = self.reservations.iter().filter_map(|reservation| {
            let waiting_job = self.reserving_job(reservation);
            let waiting_job = waiting_job.filter(|job| job.id != *request)?;
            let free = reservation.block.iter().map(|piece| {
                let free = self.cluster.servers[piece.server].free() & piece.mask;
                free.count_ones()
            });
            match free.sum::<u32>() {
                0 => None,
                count => Some(format!(
                    "; {count} of the free ones are reserved for request {}",
                    waiting_job.id
                )),
            }
        });
        texts.collect()
    }
}

impl Round {
    fn is_in_scope(&self, job: &policy::Job) -> bool {
        self.scope == policy::StartScope::Any || job.is_preemptible()
    }
}
