//! Reservations: blocks that are drained for waiting jobs, so that smaller jobs can't starve them.
//!
//! Jobs beyond the guarantees may start on reserved accelerators only if the 90th percentile of
//! their learned run times is not longer than the time until the block has drained (backfill).
//! Once the job that the block is reserved for has waited for `backfill_limit_ms`, jobs that were
//! themselves backfilled no longer count in that time. Or, at any time, they may if they can be
//! checkpointed and are smaller than that job, while a job on the block that can't be preempted
//! keeps it from starting. None starts there while a job is being stopped on the block. Jobs within
//! guarantees ignore reservations, except that a shape is not moved to reserved accelerators for
//! them; urgent claims ignore those of jobs that are not urgent, and no urgent job is stopped for
//! these. Declared run times are not used.

use std::collections::BTreeSet;

use camphorbeam_model::{id, task};

use crate::cluster::{Block, Cluster, Criteria, Piece, ServerState};
use crate::default_policy::{DefaultPolicy, RunningJob};
use crate::policy;
use crate::queue::EquivalenceClass;

/// Fixed cost of a preemption in milliseconds: the checkpoint if any, the stop and the restart.
pub(crate) const PREEMPTION_COST_MS: u64 = 2_000;

/// Time in milliseconds after which a reservation expires and its block is chosen again.
const RESERVATION_LIFETIME_MS: u64 = 60_000;

/// Time in milliseconds after which a stop no longer keeps other jobs from the rest of a reserved
/// block, and a job no longer waits for it without trying other servers.
pub(crate) const STOP_MAX_MS: u64 = RESERVATION_LIFETIME_MS;

/// A block of accelerators that is being drained for the oldest waiting job of a class.
///
/// It belongs to the class, since an older job of it may be queued after the block was chosen.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) class: EquivalenceClass,
    pub(crate) block: Block,
    pub(crate) chosen_at_ms: u64,
}

/// The pieces of all blocks.
pub(crate) fn pieces<'a>(reservations: impl IntoIterator<Item = &'a Reservation>) -> Vec<Piece> {
    let blocks = reservations
        .into_iter()
        .map(|reservation| &reservation.block);
    blocks.flatten().copied().collect()
}

impl DefaultPolicy {
    /// The reservation of the job's class.
    pub(crate) fn reservation_for(&self, job: &policy::Job) -> Option<&Reservation> {
        let class = EquivalenceClass::of(job);
        self.reservations
            .iter()
            .find(|reservation| reservation.class == class)
    }

    /// The job that the block is being drained for. `None` once no job of the class waits.
    pub(crate) fn reserving_job(&self, reservation: &Reservation) -> Option<&policy::Job> {
        self.queue.head(&reservation.class)
    }

    /// Removes all reservations before the servers are numbered anew. Returns them with their members,
    /// for [`DefaultPolicy::restore_reservations`].
    pub(crate) fn release_reservations(&mut self) -> Vec<(Reservation, Vec<task::Member>)> {
        let released = std::mem::take(&mut self.reservations);
        let with_members = released.into_iter().map(|reservation| {
            self.clear_reserved(&reservation.block);
            let members = self.cluster.members_of(&reservation.block);
            (reservation, members)
        });
        with_members.collect()
    }

    /// Puts reservations back whose jobs could still start there once the block has drained. Without
    /// them, the jobs that are being stopped for a waiting job would start again in its place.
    pub(crate) fn restore_reservations(&mut self, released: Vec<(Reservation, Vec<task::Member>)>) {
        for (reservation, members) in released {
            let Some(job) = self.reserving_job(&reservation) else {
                continue;
            };
            let block = self.cluster.block_of(&members);
            let size: u32 = block.iter().map(|piece| piece.mask.count_ones()).sum();
            let criteria = ReservationCriteria {
                may_take_assigned: job.is_preemptible(),
                drain_ms: Vec::new(),
            };
            let is_open = |piece: &Piece| {
                let available = criteria.available(&self.cluster.servers[piece.server]);
                piece.mask & !available == 0
            };
            let is_whole = size == job.accelerators && self.cluster.is_adjacent(&block);
            if is_whole && block.iter().all(is_open) {
                self.add_reservation(Reservation {
                    block,
                    ..reservation
                });
            }
        }
    }

    fn add_reservation(&mut self, reservation: Reservation) {
        for piece in &reservation.block {
            let state = &mut self.cluster.servers[piece.server];
            state.reserved |= piece.mask;
        }
        self.reservations.push(reservation);
    }

    /// Drops the reservation of a class, if it has one.
    pub(crate) fn drop_reservation(&mut self, class: &EquivalenceClass) {
        let is_for_class = |reservation: &Reservation| reservation.class == *class;
        if let Some(position) = self.reservations.iter().position(is_for_class) {
            let reservation = self.reservations.remove(position);
            self.clear_reserved(&reservation.block);
        }
    }

    /// Drops the reservation of a class after one of its jobs was placed on `block`, if that takes part
    /// of the reserved block or no other job of the class waits.
    pub(crate) fn drop_used_reservation(&mut self, job: &policy::Job, block: &[Piece]) {
        let overlaps = |reserved: &Piece| {
            let is_same =
                |piece: &Piece| piece.server == reserved.server && piece.mask & reserved.mask != 0;
            block.iter().any(is_same)
        };
        let reservation = self.reservation_for(job);
        let is_used = reservation.is_some_and(|reserved| reserved.block.iter().any(overlaps));
        let class = EquivalenceClass::of(job);
        match is_used {
            true => self.drop_reservation(&class),
            false => self.drop_reservation_without_job(&class),
        }
    }

    /// Drops the reservation of a class of which no job waits any more.
    pub(crate) fn drop_reservation_without_job(&mut self, class: &EquivalenceClass) {
        if self.queue.head(class).is_none() {
            self.drop_reservation(class);
        }
    }

    fn clear_reserved(&mut self, block: &[Piece]) {
        for piece in block {
            let state = &mut self.cluster.servers[piece.server];
            state.reserved &= !piece.mask;
        }
    }

    /// Reserves a block for a job that could not be placed, unless the maximum number of
    /// reservations is reached.
    pub(crate) fn reserve(&mut self, job: &policy::Job, now_ms: u64) {
        let is_full = self.reservations.len() >= self.weights.reservations_max;
        if is_full || self.reservation_for(job).is_some() {
            return;
        }
        // Prefers accelerators outside of guaranteed shapes. Jobs within a guarantee may start on a
        // shape at any time, so a block there might not stay drained.
        let mut criteria = ReservationCriteria {
            may_take_assigned: false,
            drain_ms: self.drain_times_ms(job, now_ms),
        };
        let mut found = self.cluster.find(job.accelerators, &criteria);
        if found.is_none() && job.is_preemptible() {
            criteria.may_take_assigned = true;
            found = self.cluster.find(job.accelerators, &criteria);
        }
        let Some(block) = found else {
            return;
        };
        self.add_reservation(Reservation {
            class: EquivalenceClass::of(job),
            block,
            chosen_at_ms: now_ms,
        });
    }

    /// Drops expired reservations so that their blocks are chosen again.
    ///
    /// A job past the aging limit keeps its block, so that its wait is bounded by the run times of
    /// the jobs that run there and is not prolonged by choosing new blocks. There is no bound if a new
    /// assignment of guaranteed shapes takes the block, or if jobs within guarantees or urgent claims
    /// start there.
    pub(crate) fn drop_expired_reservations(&mut self, now_ms: u64) {
        let is_aged = |reservation: &Reservation| {
            let job = self.reserving_job(reservation);
            job.is_some_and(|job| {
                now_ms.saturating_sub(job.arrived_at_ms) >= self.weights.aging_limit_ms
            })
        };
        let is_expired = |reservation: &&Reservation| {
            let kept_ms = now_ms.saturating_sub(reservation.chosen_at_ms);
            kept_ms >= RESERVATION_LIFETIME_MS && !is_aged(reservation)
        };
        let expired = self.reservations.iter().filter(is_expired);
        let expired = expired.map(|expired| expired.class.clone()).collect();
        self.drop_reservations_of(expired);
    }

    pub(crate) fn drop_reservations_of(&mut self, classes: Vec<EquivalenceClass>) {
        for class in classes {
            self.drop_reservation(&class);
        }
    }

    /// By server index: (mask, expected time until release in milliseconds) of each running job.
    /// For jobs that are being stopped, and for checkpointable borrowers smaller than
    /// `waiting_job`, that is [`PREEMPTION_COST_MS`], or as long as the stop has taken so far.
    fn drain_times_ms(&self, waiting_job: &policy::Job, now_ms: u64) -> Vec<Vec<(u64, u64)>> {
        let mut times = vec![Vec::new(); self.cluster.servers.len()];
        for running in self.running.values() {
            let may_be_preempted_for_job = running.is_borrowing()
                && running.job.checkpointable
                && running.job.accelerators < waiting_job.accelerators;
            let remaining_ms = match running.stopping_since_ms {
                // A stop that takes long may take as long again.
                Some(since_ms) => now_ms.saturating_sub(since_ms).max(PREEMPTION_COST_MS),
                None if may_be_preempted_for_job => PREEMPTION_COST_MS,
                None => {
                    self.remaining_ms(&running.job, &running.block, running.started_at_ms, now_ms)
                }
            };
            for piece in &running.block {
                times[piece.server].push((piece.mask, remaining_ms));
            }
        }
        times
    }

    /// Expected remaining run time of a job.
    ///
    /// A job that has run for longer than the median is expected to take up to the 90th percentile,
    /// and a job past that, as long again as it has already run.
    pub(crate) fn remaining_ms(
        &self,
        job: &policy::Job,
        block: &[Piece],
        started_at_ms: u64,
        now_ms: u64,
    ) -> u64 {
        let speed = self.speed_ratio(block);
        let expected = self.expected(job);
        let elapsed_ms = now_ms.saturating_sub(started_at_ms);
        let median_ms = (expected.median_ms as f64 / speed) as u64;
        let p90_ms = (expected.p90_ms as f64 / speed) as u64;
        match elapsed_ms {
            elapsed_ms if elapsed_ms < median_ms => median_ms - elapsed_ms,
            elapsed_ms if elapsed_ms < p90_ms => p90_ms - elapsed_ms,
            elapsed_ms => elapsed_ms,
        }
    }

    /// Whether a job beyond the guarantees may start on the reserved block now, although the block is
    /// being drained for another one: it ends in time, or it makes way in time.
    ///
    /// Not while a job is being stopped there, or about to be, unless the stop takes very long. A job
    /// started meanwhile would be stopped in its turn, and as one job on the block always ended later
    /// than the others, the block would never drain.
    pub(crate) fn may_use_reserved(
        &self,
        job: &policy::Job,
        reservation: &Reservation,
        now_ms: u64,
    ) -> bool {
        let is_stopping = |running: &RunningJob| {
            running
                .stopping_since_ms
                .is_some_and(|since_ms| now_ms < since_ms + STOP_MAX_MS)
        };
        if self.is_idle_but_unusable(reservation) {
            return true;
        }
        !self.jobs_on(&reservation.block).any(is_stopping)
            && self.jobs_to_stop(reservation, now_ms).is_empty()
            && (self.ends_before_block_drains(job, reservation, now_ms)
                || self.makes_way_for_reservation(job, reservation, now_ms))
    }

    /// Whether the block is free of other jobs and claims and still can't be used, because a server or a
    /// slot isn't available or a shape has been assigned there. Nothing that ends would change that.
    fn is_idle_but_unusable(&self, reservation: &Reservation) -> bool {
        let is_claimed = |piece: &Piece| {
            let state = &self.cluster.servers[piece.server];
            piece.mask & state.claimed != 0
        };
        let is_in_use = self.jobs_on(&reservation.block).next().is_some()
            || reservation.block.iter().any(is_claimed);
        let waiting_job = self.reserving_job(reservation);
        !is_in_use && waiting_job.is_some_and(|job| self.free_reserved_block(job).is_none())
    }

    /// Whether a job started now on the reserved block can be preempted, without loss of its work,
    /// once the block has drained otherwise. Only on a block with a job that can't be preempted: on
    /// any other, it could be preempted at once. Without this rule, the free part of such a block
    /// stays idle for as long as that job runs.
    fn makes_way_for_reservation(
        &self,
        job: &policy::Job,
        reservation: &Reservation,
        now_ms: u64,
    ) -> bool {
        let waiting_job = self.reserving_job(reservation);
        job.checkpointable
            && waiting_job.is_some_and(|waiting_job| job.accelerators < waiting_job.accelerators)
            && self.victims(&reservation.block, now_ms).is_none()
            && self.longest_remaining_ms(self.jobs_on(&reservation.block), now_ms)
                > PREEMPTION_COST_MS
    }

    /// Whether a job started now on the reserved block is expected (90th percentile) to end before
    /// the block has drained, that is, no later than the last job that runs there. Preemptions are
    /// not taken into account here, unlike in [`DefaultPolicy::drain_times_ms`].
    ///
    /// Once the job that the block is reserved for has waited for `backfill_limit_ms`, backfilled jobs
    /// don't count as running there: a chain of them, each started beside one that takes longer than
    /// expected, could go on for ever.
    fn ends_before_block_drains(
        &self,
        job: &policy::Job,
        reservation: &Reservation,
        now_ms: u64,
    ) -> bool {
        let waiting_job = self.reserving_job(reservation);
        let waited_ms = waiting_job.map_or(0, |waiting_job| {
            now_ms.saturating_sub(waiting_job.arrived_at_ms)
        });
        let counts_backfilled = waited_ms < self.weights.backfill_limit_ms;
        let counts = |running: &&RunningJob| counts_backfilled || !running.is_backfilled;
        let running = self.jobs_on(&reservation.block).filter(counts);
        let speed = self.speed_ratio(&reservation.block);
        let p90_ms = self.expected(job).p90_ms as f64 / speed;
        p90_ms <= self.longest_remaining_ms(running, now_ms) as f64
    }

    /// Expected time until the last of the jobs has ended, without preemptions.
    fn longest_remaining_ms<'a>(
        &self,
        jobs: impl Iterator<Item = &'a RunningJob>,
        now_ms: u64,
    ) -> u64 {
        let remaining_ms = jobs.map(|running| {
            self.remaining_ms(&running.job, &running.block, running.started_at_ms, now_ms)
        });
        remaining_ms.max().unwrap_or(0)
    }

    /// The jobs with accelerators of the block, and all those on its servers without a free slot. A job
    /// on several servers of the block is returned once for each.
    fn jobs_on<'a>(&'a self, block: &'a [Piece]) -> impl Iterator<Item = &'a RunningJob> {
        block.iter().flat_map(|piece| {
            let has_free_slot = self.cluster.servers[piece.server].has_free_slot();
            let requests = self.requests_by_server.get(&piece.server);
            let jobs = requests.into_iter().flatten();
            jobs.filter_map(|request| self.running.get(request))
                .filter(move |running| {
                    let overlaps = |other: &Piece| {
                        other.server == piece.server && other.mask & piece.mask != 0
                    };
                    !has_free_slot || running.block.iter().any(overlaps)
                })
        })
    }

    /// The borrowers to preempt now so that a waiting job can start on its reserved block. Empty if the
    /// job has not waited for `gang_patience_ms`, if a job there can't be preempted, if a borrower is
    /// not smaller than the waiting job or is urgent and that job isn't, or if the loss exceeds the
    /// waiting time × accelerators of that job. Borrowers that are expected to end no later than a preemption would end them are left
    /// to do so, but not past the 90th percentile of their run times, after which nothing is known.
    pub(crate) fn jobs_to_stop(
        &self,
        reservation: &Reservation,
        now_ms: u64,
    ) -> BTreeSet<id::RequestId> {
        let none = BTreeSet::new();
        let Some(waiting_job) = self.reserving_job(reservation) else {
            return none;
        };
        let Some((victims, loss_accelerator_ms)) = self.victims(&reservation.block, now_ms) else {
            return none;
        };
        let waited_ms = now_ms.saturating_sub(waiting_job.arrived_at_ms);
        if waited_ms < self.weights.gang_patience_ms {
            return none;
        }
        // No other is stopped in vain beside a stop that takes very long.
        let is_stuck = |request: &id::RequestId| {
            let since_ms = self.running[request].stopping_since_ms;
            since_ms.is_some_and(|since_ms| now_ms >= since_ms + STOP_MAX_MS)
        };
        if victims.iter().any(is_stuck) {
            return none;
        }
        let is_urgent = |job: &policy::Job| self.terms(&job.kind).urgent;
        // An urgent one would claim the accelerators again.
        let may_be_stopped = |request: &id::RequestId| {
            let job = &self.running[request].job;
            job.accelerators < waiting_job.accelerators
                && (is_urgent(waiting_job) || !is_urgent(job))
        };
        let is_worth_it = loss_accelerator_ms <= waited_ms * u64::from(waiting_job.accelerators);
        let mut victims = match is_worth_it && victims.iter().all(may_be_stopped) {
            true => victims,
            false => return none,
        };
        victims.retain(|request| {
            let running = &self.running[request];
            let (job, block) = (&running.job, &running.block);
            let elapsed_ms = now_ms.saturating_sub(running.started_at_ms);
            let p90_ms = self.expected(job).p90_ms as f64 / self.speed_ratio(block);
            let ends_soon =
                self.remaining_ms(job, block, running.started_at_ms, now_ms) <= PREEMPTION_COST_MS;
            running.stopping_since_ms.is_none() && !(ends_soon && (elapsed_ms as f64) < p90_ms)
        });
        victims
    }
}

/// Accelerators of usable servers outside of the guaranteed shapes, whether they are free or not.
pub(crate) struct OutsideShapesCriteria;

impl Criteria for OutsideShapesCriteria {
    fn available(&self, state: &ServerState) -> u64 {
        match state.is_usable() {
            true => state.all & !state.assigned,
            false => 0,
        }
    }

    fn cost(&self, _state: &ServerState, _mask: u64) -> f64 {
        0.0
    }
}

/// Accelerators that can be reserved for a waiting job, including those that are allocated now.
struct ReservationCriteria {
    /// Whether accelerators assigned to guaranteed shapes may be reserved.
    may_take_assigned: bool,
    /// By server index: (mask, milliseconds until it is released) of each running job.
    drain_ms: Vec<Vec<(u64, u64)>>,
}

impl Criteria for ReservationCriteria {
    fn available(&self, state: &ServerState) -> u64 {
        let kept = match self.may_take_assigned {
            true => 0,
            false => state.assigned,
        };
        match state.is_usable() {
            true => state.all & !state.claimed & !state.reserved & !kept,
            false => 0,
        }
    }

    fn cost(&self, state: &ServerState, mask: u64) -> f64 {
        let drain_times = self.drain_ms[state.index].iter();
        let times = drain_times.filter(|(occupied, _)| occupied & mask != 0);
        let longest = times
            .map(|(_, remaining_ms)| *remaining_ms)
            .max()
            .unwrap_or(0);
        longest as f64 + Cluster::split_cost(state, mask)
    }
}
