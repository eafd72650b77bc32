//! Placement of jobs within the guaranteed shapes of their client account.

use std::collections::BTreeSet;

use camphorbeam_model::id;

use crate::beyond_guarantee::{ReservedPieces, StartCriteria, StartKind};
use crate::cluster::{self, Block, Piece, ServerState};
use crate::default_policy::{DefaultPolicy, RunningJob};
use crate::policy;
use crate::reservation::{self, PREEMPTION_COST_MS};
use crate::round::Round;

/// A possible placement within a guaranteed shape.
pub(crate) struct Placement {
    /// Index of the shape. [`DefaultPolicy::best_in_block`] doesn't know it and returns
    /// `usize::MAX`, which its callers replace.
    pub(crate) shape: usize,
    /// The change to the shape's assignment that has to be made first.
    pub(crate) change: AssignmentChange,
    /// Accelerators for the job: a part of the shape's block after `change`.
    pub(crate) block: Block,
    /// Loss by preempting borrowers: the work lost and the fixed cost of each preemption, in
    /// accelerator-milliseconds.
    pub(crate) loss_accelerator_ms: u64,
    /// Placement cost, as in `Costs::protected`; decides among placements with the same loss.
    pub(crate) cost: f64,
}

/// A change to the block assigned to a shape.
pub(crate) enum AssignmentChange {
    None,
    /// New block of the shape.
    Move(Block),
    /// Index of the shape to swap blocks with.
    Swap(usize),
}

impl DefaultPolicy {
    /// The placement within a guaranteed shape of the account that has the smallest loss.
    pub(crate) fn place_within_guarantee(
        &self,
        job: &policy::Job,
        round: &Round,
    ) -> Option<Placement> {
        if job.accelerators == 0 {
            return None;
        }
        let shapes = self.guarantees.of_account(&job.client_account);
        let mut best: Option<Placement> = None;
        let mut unpinned_sizes_tried = BTreeSet::new();
        for index in shapes.iter().rev() {
            let shape = &self.guarantees.shapes[*index];
            if shape.accelerators < job.accelerators || shape.block.is_none() {
                continue;
            }
            // Unpinned shapes of one size are interchangeable, so one of each size is tried.
            let should_try = shape.is_pinned() || unpinned_sizes_tried.insert(shape.accelerators);
            let placement = match shape.is_pinned() {
                true => self.place_in_block(job, *index, *index, round),
                false if should_try => self.place_in_any_block(job, *index, round),
                false => None,
            };
            best = better_placement(best, placement);
        }
        best
    }

    /// The best placement in a shape that no job uses, which may take the block of another unused
    /// shape of its size. If there is none without loss, returns one that moves the shape to free
    /// accelerators, if possible.
    fn place_in_any_block(
        &self,
        job: &policy::Job,
        index: usize,
        round: &Round,
    ) -> Option<Placement> {
        let accelerators = self.guarantees.shapes[index].accelerators;
        let mut best = self.place_in_block(job, index, index, round);
        for other in self.guarantees.of_size(accelerators) {
            let shape = &self.guarantees.shapes[*other];
            if !shape.is_pinned() && *other != index {
                best = better_placement(best, self.place_in_block(job, index, *other, round));
            }
        }
        if best
            .as_ref()
            .is_some_and(|best| best.loss_accelerator_ms == 0)
        {
            return best;
        }
        self.place_in_free_block(job, index, round).or(best)
    }

    /// A placement that first moves the shape to free accelerators outside of all shapes.
    fn place_in_free_block(
        &self,
        job: &policy::Job,
        index: usize,
        round: &Round,
    ) -> Option<Placement> {
        let accelerators = self.guarantees.shapes[index].accelerators;
        // A shape moves only to free accelerators of usable servers, as a job that is neither
        // preemptible nor idempotent would be placed.
        let reserved = ReservedPieces {
            open: Vec::new(),
            closed: reservation::pieces(&self.reservations),
        };
        let criteria = StartCriteria {
            costs: &round.costs,
            kind: StartKind::NonPreemptible,
            is_idempotent: false,
            speed_benefit: self.speed_benefit(job),
            reserved: &reserved,
            avoided_servers: &job.avoided_servers,
        };
        let new_block = self.cluster.find(accelerators, &criteria)?;
        let placement = self.best_in_block(job, &new_block, round)?;
        Some(Placement {
            shape: index,
            change: AssignmentChange::Move(new_block),
            ..placement
        })
    }

    /// The best placement in shape `index` on the block now assigned to shape `block_owner`.
    fn place_in_block(
        &self,
        job: &policy::Job,
        index: usize,
        block_owner: usize,
        round: &Round,
    ) -> Option<Placement> {
        let block = self.guarantees.shapes[block_owner].block.as_ref()?;
        let change = match index == block_owner {
            true => AssignmentChange::None,
            false => AssignmentChange::Swap(block_owner),
        };
        let placement = self.best_in_block(job, block, round)?;
        Some(Placement {
            shape: index,
            change,
            ..placement
        })
    }

    /// The placement with the smallest loss on a part of `block` that has the size of the job.
    fn best_in_block(
        &self,
        job: &policy::Job,
        block: &[Piece],
        round: &Round,
    ) -> Option<Placement> {
        let largest = block.iter().map(|piece| piece.mask.count_ones()).max()?;
        let speed_benefit = self.speed_benefit(job);
        let mut best: Option<Placement> = None;
        for part in parts_of_block(block, job.accelerators, largest) {
            let is_open = part.iter().all(|piece| {
                let state = &self.cluster.servers[piece.server];
                let is_avoided = job.avoided_servers.contains(&state.server.id);
                !is_avoided && piece.mask & state.protected == 0 && self.leaves_slots(state, block)
            });
            let victims = is_open.then(|| self.victims(&part, round.now_ms)).flatten();
            let Some((_, loss_accelerator_ms)) = victims else {
                continue;
            };
            let cost = part.iter().map(|piece| {
                let state = &self.cluster.servers[piece.server];
                round.costs.protected(state, piece.mask, speed_benefit)
            });
            let placement = Placement {
                shape: usize::MAX,
                change: AssignmentChange::None,
                loss_accelerator_ms,
                cost: cost.sum(),
                block: part,
            };
            best = better_placement(best, Some(placement));
        }
        best
    }

    /// Whether every other shape on the server still has a slot if the shape on `block` takes one
    /// more job.
    fn leaves_slots(&self, state: &ServerState, block: &[Piece]) -> bool {
        let has_unused_slot = block
            .iter()
            .any(|piece| piece.server == state.index && piece.mask & state.protected == 0);
        // A slot already counted in `unused_shapes` for this shape.
        let shape_slot = u32::from(has_unused_slot);
        state.slots_protected + state.unused_shapes < state.server.slots + shape_slot
    }

    /// The borrowers to preempt before a job can start on `block`, including the cheapest others
    /// on a server where a slot is missing, and borrowers that are already being stopped. Also
    /// returns the loss in accelerator-milliseconds. `None` if preempting borrowers is not enough.
    pub(crate) fn victims(
        &self,
        block: &[Piece],
        now_ms: u64,
    ) -> Option<(BTreeSet<id::RequestId>, u64)> {
        let mut victims: BTreeSet<id::RequestId> = BTreeSet::new();
        let no_requests = BTreeSet::new();
        for piece in block {
            let state = &self.cluster.servers[piece.server];
            let requests = self
                .requests_by_server
                .get(&piece.server)
                .unwrap_or(&no_requests);
            let mut others: Vec<(u64, &id::RequestId)> = Vec::new();
            let mut stopped = 0;
            for request in requests {
                let running = &self.running[request];
                let overlaps =
                    |other: &Piece| other.server == piece.server && other.mask & piece.mask != 0;
                match running.block.iter().any(overlaps) {
                    _ if victims.contains(request) => stopped += 1,
                    true if !running.is_borrowing() => return None,
                    true => {
                        victims.insert(request.clone());
                        stopped += 1;
                    }
                    false if running.is_borrowing() => {
                        others.push((preemption_loss(running, now_ms), request))
                    }
                    false => {}
                }
            }
            others.sort();
            let mut cheapest = others.into_iter();
            while state.slots_used + 1 > state.server.slots + stopped {
                let (_, request) = cheapest.next()?;
                victims.insert(request.clone());
                stopped += 1;
            }
        }
        let lost = victims
            .iter()
            .map(|request| preemption_loss(&self.running[request], now_ms));
        let lost = lost.sum();
        Some((victims, lost))
    }
}

/// Loss by preempting a borrower, in accelerator-milliseconds: its work since its last start,
/// unless a checkpoint keeps it, and the fixed cost of a preemption. Zero for a borrower that is
/// already being stopped.
fn preemption_loss(running: &RunningJob, now_ms: u64) -> u64 {
    let lost_ms = match running.job.checkpointable {
        _ if running.stopping_since_ms.is_some() => 0,
        true => PREEMPTION_COST_MS,
        false => PREEMPTION_COST_MS + now_ms.saturating_sub(running.started_at_ms),
    };
    lost_ms * u64::from(running.job.accelerators.max(1))
}

/// Parts of `block` with `wanted` accelerators: every aligned run within a piece, or only the
/// prefix if no piece is large enough. `largest` is the size of the largest piece.
pub(crate) fn parts_of_block(block: &[Piece], wanted: u32, largest: u32) -> Vec<Block> {
    if wanted > largest {
        return block_prefix(block, wanted).into_iter().collect();
    }
    let runs = block.iter().flat_map(|piece| {
        let server = piece.server;
        cluster::run_starts(piece.mask, wanted).map(move |start| {
            let mask = cluster::run_mask(start, wanted);
            vec![Piece { server, mask }]
        })
    });
    runs.collect()
}

/// The first `wanted` accelerators of a block: whole pieces, and the last one in part.
fn block_prefix(block: &[Piece], wanted: u32) -> Option<Block> {
    let mut left = wanted;
    let mut part = Block::new();
    for piece in block {
        if left == 0 {
            break;
        }
        let taken = left.min(piece.mask.count_ones());
        let start = piece.mask.trailing_zeros();
        let mask = cluster::run_mask(start, taken);
        part.push(Piece {
            server: piece.server,
            mask,
        });
        left -= taken;
    }
    (left == 0).then_some(part)
}

/// The placement with the smaller loss or, on a tie, the lower cost; the first one if both are
/// equal.
fn better_placement(best: Option<Placement>, placement: Option<Placement>) -> Option<Placement> {
    let rank = |placement: &Placement| (placement.loss_accelerator_ms, placement.cost);
    match (best, placement) {
        (Some(best), Some(placement)) if rank(&placement) < rank(&best) => Some(placement),
        (Some(best), _) => Some(best),
        (None, placement) => placement,
    }
}
