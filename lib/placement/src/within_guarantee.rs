//! Places within the guaranteed shapes of a client account.

use std::collections::BTreeSet;

use camphorbeam_model::id;

use crate::beyond_guarantee::{StartCriteria, StartKind};
use crate::camphorbeam::{Camphorbeam, RunningJob};
use crate::cluster::{self, Block, Piece, ServerState};
use crate::policy;
use crate::reservation::CHECKPOINT_COST_MS;
use crate::round::Round;

/// A place within a guaranteed shape.
pub(crate) struct Place {
    pub(crate) shape: usize,
    /// Region that the shape moves to first, or the shape that it exchanges regions with.
    pub(crate) change: AssignmentChange,
    pub(crate) block: Block,
    pub(crate) loss_ms: u64,
    /// Cost among places of the same loss.
    pub(crate) cost: f64,
}

pub(crate) enum AssignmentChange {
    None,
    Move(Block),
    Swap(usize),
}

impl Camphorbeam {
    /// The place within a guaranteed shape of the account that stops the least work.
    pub(crate) fn place_within_guarantee(&self, job: &policy::Job, round: &Round) -> Option<Place> {
        if job.accelerators == 0 {
            return None;
        }
        let shapes = self.guarantees.of_account(&job.client_account);
        let mut best: Option<Place> = None;
        let mut sizes_seen = BTreeSet::new();
        for index in shapes.iter().rev() {
            let shape = &self.guarantees.shapes[*index];
            if shape.accelerators < job.accelerators || shape.block.is_none() {
                continue;
            }
            let is_new_size = shape.is_pinned() || sizes_seen.insert(shape.accelerators);
            let place = match shape.is_pinned() {
                true => self.place_in_block(job, *index, *index, round),
                false if is_new_size => self.place_in_any_block(job, *index, round),
                false => None,
            };
            best = cheaper(best, place);
        }
        best
    }

    /// The best place if the shape, which no job uses, may take any region of its size.
    fn place_in_any_block(&self, job: &policy::Job, index: usize, round: &Round) -> Option<Place> {
        let accelerators = self.guarantees.shapes[index].accelerators;
        let mut best = self.place_in_block(job, index, index, round);
        for other in self.guarantees.of_size(accelerators) {
            let shape = &self.guarantees.shapes[*other];
            if !shape.is_pinned() && *other != index {
                best = cheaper(best, self.place_in_block(job, index, *other, round));
            }
        }
        if best.as_ref().is_some_and(|best| best.loss_ms == 0) {
            return best;
        }
        self.place_in_free_block(job, index, round).or(best)
    }

    /// A place after a move of the shape to free cells that no shape is assigned to.
    fn place_in_free_block(&self, job: &policy::Job, index: usize, round: &Round) -> Option<Place> {
        let accelerators = self.guarantees.shapes[index].accelerators;
        let criteria = StartCriteria {
            costs: &round.costs,
            kind: StartKind::NonPreemptible,
            is_idempotent: false,
            speed_benefit: self.speed_benefit(job),
            backfill_servers: &[],
            avoided_servers: &job.avoided_servers,
        };
        let wide = self.cluster.find(accelerators, &criteria)?;
        let place = self.best_in_block(job, &wide, round)?;
        Some(Place {
            shape: index,
            change: AssignmentChange::Move(wide),
            ..place
        })
    }

    fn place_in_block(
        &self,
        job: &policy::Job,
        index: usize,
        other: usize,
        round: &Round,
    ) -> Option<Place> {
        let block = self.guarantees.shapes[other].block.as_ref()?;
        let change = match index == other {
            true => AssignmentChange::None,
            false => AssignmentChange::Swap(other),
        };
        let place = self.best_in_block(job, block, round)?;
        Some(Place {
            shape: index,
            change,
            ..place
        })
    }

    /// The part of a shape's region, as wide as the job, that stops the least work.
    fn best_in_block(&self, job: &policy::Job, block: &[Piece], round: &Round) -> Option<Place> {
        let largest = block.iter().map(|piece| piece.mask.count_ones()).max()?;
        let speed_benefit = self.speed_benefit(job);
        let mut best: Option<Place> = None;
        for part in parts(block, job.accelerators, largest) {
            let is_open = part.iter().all(|piece| {
                let state = &self.cluster.servers[piece.server];
                let is_avoided = job.avoided_servers.contains(&state.server.id);
                !is_avoided
                    && piece.mask & state.non_preemptible == 0
                    && self.leaves_slots(state, block)
            });
            let victims = is_open.then(|| self.victims(&part, round.now_ms)).flatten();
            let Some((_, loss_ms)) = victims else {
                continue;
            };
            let cost = part.iter().map(|piece| {
                let state = &self.cluster.servers[piece.server];
                round
                    .costs
                    .non_preemptible(state, piece.mask, speed_benefit)
            });
            let place = Place {
                shape: usize::MAX,
                change: AssignmentChange::None,
                loss_ms,
                cost: cost.sum(),
                block: part,
            };
            best = cheaper(best, Some(place));
        }
        best
    }

    /// Whether one more job in the shape leaves a slot to each other shape on the server.
    fn leaves_slots(&self, state: &ServerState, block: &[Piece]) -> bool {
        let is_open = block
            .iter()
            .any(|piece| piece.server == state.index && piece.mask & state.non_preemptible == 0);
        let own = u32::from(is_open);
        state.slots_non_preemptible + state.unused_shapes < state.server.slots + own
    }

    /// The borrowers that have to stop before a job can run on `region`, and the work that is
    /// lost, in accelerator-milliseconds. None if that is not enough.
    pub(crate) fn victims(
        &self,
        block: &[Piece],
        now_ms: u64,
    ) -> Option<(BTreeSet<id::RequestId>, u64)> {
        let mut victims: BTreeSet<id::RequestId> = BTreeSet::new();
        let nobody = BTreeSet::new();
        for piece in block {
            let state = &self.cluster.servers[piece.server];
            let on_server = self
                .requests_by_server
                .get(&piece.server)
                .unwrap_or(&nobody);
            let mut others: Vec<(u64, &id::RequestId)> = Vec::new();
            let mut stopped = 0;
            for request in on_server {
                let running = &self.running[request];
                let is_inside =
                    |held: &Piece| held.server == piece.server && held.mask & piece.mask != 0;
                match running.block.iter().any(is_inside) {
                    _ if victims.contains(request) => stopped += 1,
                    true if !running.is_borrowing() => return None,
                    true => {
                        victims.insert(request.clone());
                        stopped += 1;
                    }
                    false if running.is_borrowing() => {
                        others.push((loss_ms(running, now_ms), request))
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
            .map(|request| loss_ms(&self.running[request], now_ms));
        let lost = lost.sum();
        Some((victims, lost))
    }
}

/// What stopping a borrower costs, in accelerator-milliseconds: its work so far, unless that is
/// kept in a checkpoint.
fn loss_ms(running: &RunningJob, now_ms: u64) -> u64 {
    let lost_ms = match running.job.checkpointable {
        _ if running.is_stopping => 0,
        true => CHECKPOINT_COST_MS,
        false => CHECKPOINT_COST_MS + now_ms.saturating_sub(running.started_at_ms),
    };
    lost_ms * u64::from(running.job.accelerators.max(1))
}

/// The parts of a region that are `wanted` accelerators wide.
pub(crate) fn parts(block: &[Piece], wanted: u32, largest: u32) -> Vec<Block> {
    if wanted > largest {
        return prefix(block, wanted).into_iter().collect();
    }
    let runs = block.iter().flat_map(|piece| {
        let server = piece.server;
        cluster::run_starts(piece.mask, wanted).map(move |start| {
            let mask = cluster::run(start, wanted);
            vec![Piece { server, mask }]
        })
    });
    runs.collect()
}

/// The first `wanted` accelerators of a region; whole pieces, and the last one in part.
fn prefix(block: &[Piece], wanted: u32) -> Option<Block> {
    let mut left = wanted;
    let mut part = Block::new();
    for piece in block {
        if left == 0 {
            break;
        }
        let taken = left.min(piece.mask.count_ones());
        let start = piece.mask.trailing_zeros();
        let mask = cluster::run(start, taken);
        part.push(Piece {
            server: piece.server,
            mask,
        });
        left -= taken;
    }
    (left == 0).then_some(part)
}

/// The place that loses less work, then the one that costs less; the first of equals.
fn cheaper(best: Option<Place>, place: Option<Place>) -> Option<Place> {
    let rank = |place: &Place| (place.loss_ms, place.cost);
    match (best, place) {
        (Some(best), Some(place)) if rank(&place) < rank(&best) => Some(place),
        (Some(best), _) => Some(best),
        (None, place) => place,
    }
}
