//! Placement of jobs beyond the guarantees of their client account.

use std::collections::BTreeSet;

use camphorbeam_model::id;

use crate::cluster::{Block, Criteria, Piece, ServerState};
use crate::costs::{Costs, SpeedBenefit};
use crate::default_policy::DefaultPolicy;
use crate::guarantee;
use crate::policy;
use crate::queue::EquivalenceClass;
use crate::reservation;
use crate::round::Round;
use crate::within_guarantee;

impl DefaultPolicy {
    /// Finds a free block for a job beyond its account's guarantees: the block reserved for the job
    /// if it is free, or else the cheapest one, which may overlap the reserved block. If there is
    /// none for a job that can't be preempted, this moves an unused guaranteed shape to make room.
    pub(crate) fn place_beyond_guarantee(
        &mut self,
        job: &policy::Job,
        round: &mut Round,
    ) -> Option<Block> {
        if let Some(block) = self.free_reserved_block(job) {
            return Some(block);
        }
        let key = (
            job.accelerators,
            job.idempotent,
            job.is_preemptible(),
            job.avoided_servers.clone(),
        );
        let reserved = self.reserved_for_start(job, round.now_ms);
        if reserved.open.is_empty() && round.unplaceable.contains(&key) {
            return None;
        }
        let kind = match job.is_preemptible() {
            true => StartKind::Borrowing,
            false => StartKind::NonPreemptible,
        };
        let criteria = StartCriteria {
            costs: &round.costs,
            kind,
            is_idempotent: job.idempotent,
            speed_benefit: self.speed_benefit(job),
            reserved: &reserved,
            avoided_servers: &job.avoided_servers,
        };
        let found = match job.accelerators {
            0 => self.find_slot(&criteria),
            wanted => self.cluster.find(wanted, &criteria),
        };
        let is_non_preemptible = kind == StartKind::NonPreemptible && job.accelerators > 0;
        let found = match found {
            None if is_non_preemptible => self.place_after_moving_shape(job.accelerators),
            found => found,
        };
        if found.is_none() {
            round.unplaceable.insert(key);
        }
        found
    }

    /// The block reserved for a job, once it is free.
    pub(crate) fn free_reserved_block(&self, job: &policy::Job) -> Option<Block> {
        let block = &self.reservation_for(job)?.block;
        let is_open = block.iter().all(|piece| {
            let state = &self.cluster.servers[piece.server];
            let kept = match job.is_preemptible() {
                true => 0,
                false => state.assigned,
            };
            let has_slot = job.is_preemptible() || state.has_protected_slot();
            state.is_usable() && has_slot && piece.mask & kept == 0
        });
        (is_open && self.is_free(block)).then(|| block.clone())
    }

    /// Divides the reserved blocks by whether the job may start there. It may on that of its own
    /// class, and on those that it doesn't delay, because it ends before the block is expected to
    /// drain or makes way then.
    fn reserved_for_start(&self, job: &policy::Job, now_ms: u64) -> ReservedPieces {
        let class = EquivalenceClass::of(job);
        let (open, closed): (Vec<_>, Vec<_>) = self.reservations.iter().partition(|reservation| {
            reservation.class == class || self.may_use_reserved(job, reservation, now_ms)
        });
        ReservedPieces {
            open: reservation::pieces(open),
            closed: reservation::pieces(closed),
        }
    }

    /// A slot for a job that takes no accelerators.
    fn find_slot(&self, criteria: &StartCriteria<'_>) -> Option<Block> {
        let mut best: Option<(f64, usize)> = None;
        for state in &self.cluster.servers {
            let free_slots = state.server.slots.saturating_sub(state.slots_used);
            let accelerators = state.all.count_ones();
            // Besides speed, prefers servers with few accelerators and then a large share of free
            // slots, so that slots next to accelerators are left to jobs that take some.
            let cost = criteria.costs.speed(state, criteria.speed_benefit)
                + f64::from(accelerators)
                - f64::from(free_slots) / f64::from(state.server.slots.max(1));
            if criteria.is_open(state) && best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, state.index));
            }
        }
        best.map(|(_, server)| vec![Piece { server, mask: 0 }])
    }

    /// Makes room for a non-preemptible job: moves an unused shape to a block of free or borrowed
    /// accelerators, and returns a free part of the block that the shape had before.
    fn place_after_moving_shape(&mut self, wanted: u32) -> Option<Block> {
        let sizes: Vec<u32> = self
            .guarantees
            .sizes()
            .filter(|size| *size >= wanted)
            .collect();
        for size in sizes {
            let Some(target) = self.cluster.find(size, &guarantee::ShapeCriteria) else {
                continue;
            };
            for index in self.guarantees.of_size(size).to_vec() {
                if let Some(block) = self.free_part_of_shape(index, wanted) {
                    self.guarantees.unassign(&mut self.cluster, index);
                    self.guarantees.assign(&mut self.cluster, index, target);
                    return Some(block);
                }
            }
        }
        None
    }

    /// A free and unreserved part of the block of a shape that no job uses.
    fn free_part_of_shape(&self, index: usize, wanted: u32) -> Option<Block> {
        let shape = &self.guarantees.shapes[index];
        let block = shape.block.as_ref().filter(|_| !shape.is_pinned())?;
        let largest = block.iter().map(|piece| piece.mask.count_ones()).max()?;
        let is_open = |part: &Block| {
            let is_unreserved = part
                .iter()
                .all(|piece| self.cluster.servers[piece.server].reserved & piece.mask == 0);
            is_unreserved && self.is_free(part)
        };
        within_guarantee::parts_of_block(block, wanted, largest)
            .into_iter()
            .find(is_open)
    }
}

/// Whether a job can be preempted after its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartKind {
    /// The job can be preempted.
    Borrowing,
    /// The job keeps its accelerators until it ends.
    NonPreemptible,
}

/// Reserved blocks, as a job sees them that is about to start.
pub(crate) struct ReservedPieces {
    /// Those on which the job may start all the same.
    pub(crate) open: Vec<Piece>,
    /// Those on which it may not.
    pub(crate) closed: Vec<Piece>,
}

impl ReservedPieces {
    /// Slots that must stay free on a server for the jobs that closed blocks are reserved for. A block
    /// on which another job runs needs none: that job's slot is free once the block has drained.
    fn slots_kept(&self, state: &ServerState) -> u32 {
        let closed = self.closed.iter();
        let needs_slot =
            |piece: &&Piece| piece.server == state.index && state.allocated & piece.mask == 0;
        closed.filter(needs_slot).map(|_| 1).sum()
    }
}

/// Accelerators on which a job may start now.
pub(crate) struct StartCriteria<'a> {
    pub(crate) costs: &'a Costs,
    pub(crate) kind: StartKind,
    pub(crate) is_idempotent: bool,
    pub(crate) speed_benefit: SpeedBenefit,
    pub(crate) reserved: &'a ReservedPieces,
    /// Servers on which the job has failed.
    pub(crate) avoided_servers: &'a BTreeSet<id::BackendServerId>,
}

impl StartCriteria<'_> {
    fn is_open(&self, state: &ServerState) -> bool {
        let has_free_slot = state.slots_used + self.reserved.slots_kept(state) < state.server.slots;
        let has_slot = match self.kind {
            StartKind::Borrowing => has_free_slot,
            StartKind::NonPreemptible => has_free_slot && state.has_protected_slot(),
        };
        let is_probe = state.is_suspect() && self.is_idempotent && state.slots_used == 0;
        let is_avoided = self.avoided_servers.contains(&state.server.id);
        has_slot && !is_avoided && (state.is_usable() || is_probe)
    }
}

impl Criteria for StartCriteria<'_> {
    fn available(&self, state: &ServerState) -> u64 {
        if !self.is_open(state) {
            return 0;
        }
        let assigned = match self.kind {
            StartKind::Borrowing => 0,
            StartKind::NonPreemptible => state.assigned,
        };
        let open = self.reserved.open.iter();
        let open = open.filter(|piece| piece.server == state.index);
        let reserved = open.fold(state.reserved, |reserved, piece| reserved & !piece.mask);
        state.free() & !assigned & !reserved
    }

    fn cost(&self, state: &ServerState, mask: u64) -> f64 {
        match self.kind {
            StartKind::Borrowing => self.costs.borrowing(state, mask, self.speed_benefit),
            StartKind::NonPreemptible => self.costs.protected(state, mask, self.speed_benefit),
        }
    }
}
