//! Guaranteed shapes and the blocks assigned to them.
//!
//! Invariant, restored by `DefaultPolicy::rebuild_assignment` at the start of a round if jobs were
//! adopted or servers changed: the blocks of assigned shapes are disjoint. Each contains only free
//! accelerators, borrowers, and jobs or claims charged to that shape. Therefore, all assigned
//! shapes can be made available at the same time by preempting only borrowers. A shape that no job
//! is charged to can move to another block at any time.

use std::collections::BTreeMap;

use camphorbeam_model::{id, sheet};

use crate::cluster::{Block, Cluster, Criteria, Piece, ServerState};

/// One guaranteed shape of a client account: a number of adjacent accelerators.
#[derive(Clone, Debug)]
pub struct Shape {
    pub client_account: id::ClientAccountName,
    /// Number of adjacent accelerators.
    pub accelerators: u32,
    /// The assigned block; `None` if the current backend servers have no room for the shape.
    pub block: Option<Block>,
    /// Jobs of the account that run in the shape or have claimed a part of it, and their blocks.
    pub charged: BTreeMap<id::RequestId, Block>,
}

impl Shape {
    /// Whether a job is charged to the shape, so that it can't move.
    pub fn is_pinned(&self) -> bool {
        !self.charged.is_empty()
    }

    fn uses(&self, server: usize) -> bool {
        let mut pieces = self.charged.values().flatten();
        pieces.any(|piece| piece.server == server)
    }
}

/// The guaranteed shapes of one availability zone.
#[derive(Debug, Default)]
pub struct Guarantees {
    /// All shapes, largest first.
    pub shapes: Vec<Shape>,
    by_account: BTreeMap<id::ClientAccountName, Vec<usize>>,
    by_size: BTreeMap<u32, Vec<usize>>,
}

impl Guarantees {
    /// The shapes that `sheet` guarantees in `zone`, all unassigned.
    pub fn new(zone: &id::ZoneName, sheet: &sheet::Sheet) -> Self {
        let mut shapes = Vec::new();
        for (account, guarantee) in sheet.guarantees_in(zone) {
            for _ in 0..guarantee.count {
                shapes.push(Shape {
                    client_account: account.clone(),
                    accelerators: guarantee.accelerators,
                    block: None,
                    charged: BTreeMap::new(),
                });
            }
        }
        shapes.sort_by_key(|shape| std::cmp::Reverse(shape.accelerators));
        let mut guarantees = Self {
            shapes,
            ..Self::default()
        };
        for (index, shape) in guarantees.shapes.iter().enumerate() {
            let of_account = guarantees.by_account.entry(shape.client_account.clone());
            of_account.or_default().push(index);
            let of_size = guarantees.by_size.entry(shape.accelerators);
            of_size.or_default().push(index);
        }
        guarantees
    }

    /// Indexes of the shapes of an account, largest first.
    pub fn of_account(&self, account: &id::ClientAccountName) -> &[usize] {
        self.by_account.get(account).map_or(&[], Vec::as_slice)
    }

    /// Indexes of the shapes of one size.
    pub fn of_size(&self, accelerators: u32) -> &[usize] {
        self.by_size.get(&accelerators).map_or(&[], Vec::as_slice)
    }

    /// The distinct sizes of all shapes, in ascending order.
    pub fn sizes(&self) -> impl Iterator<Item = u32> + '_ {
        self.by_size.keys().copied()
    }

    /// Assigns `block` to a shape that has neither a block nor a job.
    pub fn assign(&mut self, cluster: &mut Cluster, index: usize, block: Block) {
        for piece in &block {
            let server = &mut cluster.servers[piece.server];
            server.assigned |= piece.mask;
            server.unused_shapes += 1;
        }
        self.shapes[index].block = Some(block);
    }

    /// Takes the block from a shape that has no job, and returns it.
    pub fn unassign(&mut self, cluster: &mut Cluster, index: usize) -> Option<Block> {
        let block = self.shapes[index].block.take()?;
        for piece in &block {
            let server = &mut cluster.servers[piece.server];
            server.assigned &= !piece.mask;
            server.unused_shapes -= 1;
        }
        Some(block)
    }

    /// Swaps the blocks of two shapes of the same size, neither of which has a job.
    pub fn swap(&mut self, one: usize, other: usize) {
        if one != other {
            let block = self.shapes[one].block.take();
            let taken = std::mem::replace(&mut self.shapes[other].block, block);
            self.shapes[one].block = taken;
        }
    }

    /// Charges a job on `block` to a shape.
    pub fn charge(
        &mut self,
        cluster: &mut Cluster,
        index: usize,
        request: &id::RequestId,
        block: &[Piece],
    ) {
        let shape = &mut self.shapes[index];
        for piece in block {
            if !shape.uses(piece.server) {
                cluster.servers[piece.server].unused_shapes -= 1;
            }
        }
        shape.charged.insert(request.clone(), block.to_vec());
    }

    /// Removes a job from a shape that it is charged to, if it is.
    pub fn uncharge(&mut self, cluster: &mut Cluster, index: usize, request: &id::RequestId) {
        let shape = &mut self.shapes[index];
        let Some(block) = shape.charged.remove(request) else {
            return;
        };
        for piece in &block {
            if !shape.uses(piece.server) {
                cluster.servers[piece.server].unused_shapes += 1;
            }
        }
    }

    /// Assigns a block to every shape that has none. Returns whether all shapes have one now.
    ///
    /// The largest shapes come first. If each size divides every larger one, this finds an
    /// assignment of buddy blocks whenever one exists, as far as slots don't limit it.
    pub fn assign_all(&mut self, cluster: &mut Cluster) -> bool {
        let mut is_complete = true;
        let mut unassignable_size = u32::MAX;
        for index in 0..self.shapes.len() {
            let wanted = self.shapes[index].accelerators;
            if self.shapes[index].block.is_some() {
                continue;
            }
            let found = match wanted {
                wanted if wanted == unassignable_size => None,
                wanted => cluster.find(wanted, &ShapeCriteria),
            };
            match found {
                Some(block) => self.assign(cluster, index, block),
                None => {
                    unassignable_size = wanted;
                    is_complete = false;
                }
            }
        }
        is_complete
    }

    /// Number of shapes without a block, by account and size.
    pub fn unmet(&self) -> BTreeMap<(id::ClientAccountName, u32), u32> {
        let mut unmet = BTreeMap::new();
        for shape in self.shapes.iter().filter(|shape| shape.block.is_none()) {
            let key = (shape.client_account.clone(), shape.accelerators);
            *unmet.entry(key).or_insert(0) += 1;
        }
        unmet
    }
}

/// Accelerators that may be assigned to a guaranteed shape: those that are free or borrowed, on
/// usable servers with a slot left for the shape.
#[derive(Debug)]
pub struct ShapeCriteria;

impl Criteria for ShapeCriteria {
    fn available(&self, state: &ServerState) -> u64 {
        match state.is_usable() && state.has_protected_slot() {
            true => state.all & !state.protected & !state.assigned,
            false => 0,
        }
    }

    fn cost(&self, state: &ServerState, mask: u64) -> f64 {
        let left = (self.available(state) & !mask).count_ones();
        let borrowed = (state.allocated & mask).count_ones();
        let speed = state.server.speed_ratio.max(f64::MIN_POSITIVE);
        f64::from(left)
            + f64::from(borrowed) / f64::from(mask.count_ones().max(1))
            + (1.0 / speed).min(SLOWNESS_MAX)
    }
}

/// Maximum cost of a slow backend server. `Costs::speed` limits the relative slowness to the same
/// value.
const SLOWNESS_MAX: f64 = 8.0;

/// Reduction of the cost for each covered accelerator of the job itself; outweighs all other costs.
const OWN_ACCELERATOR_BONUS: f64 = 1e6;

/// Like [`ShapeCriteria`], but for a shape that is to contain the block of a running job. The cost
/// only favors the job's accelerators; the caller checks that the block found contains them.
#[derive(Debug)]
pub struct AroundJobCriteria<'a> {
    /// The block of the job.
    pub block: &'a [Piece],
    /// Accelerators that the shape may cover although they are protected: those of the account's
    /// jobs that are not charged to another shape, by index of the backend server.
    pub account_masks: &'a BTreeMap<usize, u64>,
}

impl AroundJobCriteria<'_> {
    fn own_mask(&self, state: &ServerState) -> Option<u64> {
        let mut pieces = self.block.iter();
        let own = pieces.find(|piece| piece.server == state.index)?;
        Some(own.mask & state.all)
    }
}

impl Criteria for AroundJobCriteria<'_> {
    fn available(&self, state: &ServerState) -> u64 {
        let own = self.own_mask(state);
        let has_slot = own.is_some() || state.has_protected_slot();
        let account_masks = self.account_masks.get(&state.index).copied().unwrap_or(0);
        match state.is_usable() && has_slot {
            true => state.all & (!state.protected | account_masks) & !state.assigned,
            false => 0,
        }
    }

    fn cost(&self, state: &ServerState, mask: u64) -> f64 {
        let inside = self.own_mask(state).unwrap_or(0) & mask;
        ShapeCriteria.cost(state, mask) - OWN_ACCELERATOR_BONUS * f64::from(inside.count_ones())
    }
}

/// Whether every piece of `inner` lies within `outer`.
pub fn is_within(inner: &[Piece], outer: &[Piece]) -> bool {
    inner.iter().all(|piece| {
        let same = outer.iter().find(|other| other.server == piece.server);
        same.is_some_and(|other| piece.mask & !other.mask == 0)
    })
}
