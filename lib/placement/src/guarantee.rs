//! Guaranteed shapes and the cells that they are assigned to.
//!
//! Invariant: the regions of assigned shapes are disjoint, and each holds nothing but free
//! accelerators, borrowers that can be stopped, and jobs that are charged to that shape. So all
//! assigned shapes can be had at once by stopping only borrowers. A shape that no job is charged
//! to may move to other cells at any time.

use std::collections::BTreeMap;

use camphorbeam_model::{id, sheet};

use crate::cluster::{Block, Cluster, Criteria, Piece, ServerState};

/// One guaranteed shape of a client account.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Whose it is.
    pub client_account: id::ClientAccountName,
    /// Adjacent accelerators.
    pub accelerators: u32,
    /// Where it is assigned; none if the backend servers at hand can't hold it.
    pub block: Option<Block>,
    /// Jobs of the account that use it, and where.
    pub charged: BTreeMap<id::RequestId, Block>,
}

impl Shape {
    /// Whether a job uses it, so that it can't move.
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
    /// All shapes, the largest first.
    pub shapes: Vec<Shape>,
    by_account: BTreeMap<id::ClientAccountName, Vec<usize>>,
    by_size: BTreeMap<u32, Vec<usize>>,
}

impl Guarantees {
    /// The shapes that `sheet` states for `zone`, none of them assigned.
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

    /// Shapes of an account, the largest first.
    pub fn of_account(&self, account: &id::ClientAccountName) -> &[usize] {
        self.by_account.get(account).map_or(&[], Vec::as_slice)
    }

    /// Shapes of one size.
    pub fn of_size(&self, accelerators: u32) -> &[usize] {
        self.by_size.get(&accelerators).map_or(&[], Vec::as_slice)
    }

    /// The sizes of shapes that there are.
    pub fn sizes(&self) -> impl Iterator<Item = u32> + '_ {
        self.by_size.keys().copied()
    }

    /// Assigns a shape that has no region and no job.
    pub fn assign(&mut self, cluster: &mut Cluster, index: usize, block: Block) {
        for piece in &block {
            let server = &mut cluster.servers[piece.server];
            server.assigned |= piece.mask;
            server.unused_shapes += 1;
        }
        self.shapes[index].block = Some(block);
    }

    /// Takes the region from a shape that has no job.
    pub fn unassign(&mut self, cluster: &mut Cluster, index: usize) -> Option<Block> {
        let block = self.shapes[index].block.take()?;
        for piece in &block {
            let server = &mut cluster.servers[piece.server];
            server.assigned &= !piece.mask;
            server.unused_shapes -= 1;
        }
        Some(block)
    }

    /// Exchanges the regions of two shapes of the same size, neither of which has a job.
    pub fn swap(&mut self, one: usize, other: usize) {
        if one != other {
            let block = self.shapes[one].block.take();
            let taken = std::mem::replace(&mut self.shapes[other].block, block);
            self.shapes[one].block = taken;
        }
    }

    /// Notes that a job on `region` uses a shape.
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

    /// Notes that a job does not use a shape any more.
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

    /// Assigns every shape that has no region. Returns whether all have one now.
    ///
    /// The largest go first: for sizes that divide one another this finds an assignment wherever
    /// there is one on buddy cells.
    pub fn assign_all(&mut self, cluster: &mut Cluster) -> bool {
        let mut is_complete = true;
        let mut too_large = u32::MAX;
        for index in 0..self.shapes.len() {
            let wanted = self.shapes[index].accelerators;
            if self.shapes[index].block.is_some() {
                continue;
            }
            let found = match wanted {
                wanted if wanted == too_large => None,
                wanted => cluster.find(wanted, &ShapeCriteria),
            };
            match found {
                Some(block) => self.assign(cluster, index, block),
                None => {
                    too_large = wanted;
                    is_complete = false;
                }
            }
        }
        is_complete
    }

    /// Shapes without a region, counted by account and size.
    pub fn unmet(&self) -> BTreeMap<(id::ClientAccountName, u32), u32> {
        let mut unmet = BTreeMap::new();
        for shape in self.shapes.iter().filter(|shape| shape.block.is_none()) {
            let key = (shape.client_account.clone(), shape.accelerators);
            *unmet.entry(key).or_insert(0) += 1;
        }
        unmet
    }
}

/// Where a guaranteed shape may be assigned: cells that are free or borrowed.
#[derive(Debug)]
pub struct ShapeCriteria;

impl Criteria for ShapeCriteria {
    fn available(&self, state: &ServerState) -> u64 {
        match state.is_usable() && state.has_non_preemptible_slot() {
            true => state.all & !state.non_preemptible & !state.assigned,
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

/// The most that a slow backend server costs.
const SLOWNESS_MAX: f64 = 8.0;

/// Gain of a cell of the job itself; outweighs every other cost.
const OWN_CELL_GAIN: f64 = 1e6;

/// Like [`ShapeCriteria`], but only around the cells of one job.
#[derive(Debug)]
pub struct AroundJobCriteria<'a> {
    /// The cells of the job.
    pub block: &'a [Piece],
    /// Cells that the region may cover: those of all jobs of the account that are not charged to
    /// another shape, by index of the backend server.
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
        let has_slot = own.is_some() || state.has_non_preemptible_slot();
        let account_masks = self.account_masks.get(&state.index).copied().unwrap_or(0);
        match state.is_usable() && has_slot {
            true => state.all & (!state.non_preemptible | account_masks) & !state.assigned,
            false => 0,
        }
    }

    fn cost(&self, state: &ServerState, mask: u64) -> f64 {
        let inside = self.own_mask(state).unwrap_or(0) & mask;
        ShapeCriteria.cost(state, mask) - OWN_CELL_GAIN * f64::from(inside.count_ones())
    }
}

/// Whether every piece of `inner` lies within `outer`.
pub fn is_within(inner: &[Piece], outer: &[Piece]) -> bool {
    inner.iter().all(|piece| {
        let same = outer.iter().find(|other| other.server == piece.server);
        same.is_some_and(|other| piece.mask & !other.mask == 0)
    })
}
