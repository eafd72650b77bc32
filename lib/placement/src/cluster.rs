//! Accelerators of the backend servers as bit masks, and the search for blocks of adjacent ones.
//!
//! A block that fits on one backend server is a run of accelerators that starts at a multiple of
//! its size rounded up to a power of two, as in a buddy allocator. A larger block takes whole
//! backend servers of one rack, and the last of them in part.

use std::collections::BTreeMap;

use camphorbeam_model::{id, task};

use crate::policy;

/// Maximum number of accelerators used on one backend server; each is one bit of a mask.
pub const SERVER_ACCELERATORS_MAX: u32 = u64::BITS;

/// The part of a [`Block`] that lies on one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Index in [`Cluster::servers`].
    pub server: usize,
    /// One bit for each accelerator; zero for a job that takes only a slot.
    pub mask: u64,
}

/// A block of adjacent accelerators, for one guaranteed shape or one gang.
pub type Block = Vec<Piece>;

/// A backend server and the state of its accelerators and slots. Masks have one bit for each
/// accelerator.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// Index in [`Cluster::servers`].
    pub index: usize,
    pub server: policy::Server,
    /// Whether the server is still part of the cluster.
    pub is_present: bool,
    /// All accelerators, up to [`SERVER_ACCELERATORS_MAX`].
    pub all: u64,
    /// Accelerators allocated to running jobs.
    pub allocated: u64,
    /// Accelerators that no other job may preempt: those of jobs that can't be preempted, of jobs
    /// charged to a guaranteed shape, and of claims.
    pub protected: u64,
    /// Accelerators claimed for a job whose start waits for preempted borrowers to stop.
    pub claimed: u64,
    /// Accelerators assigned to guaranteed shapes.
    pub assigned: u64,
    /// Accelerators reserved for waiting jobs, which are being drained.
    pub reserved: u64,
    /// Slots of running jobs and claims.
    pub slots_used: u32,
    /// Slots that no other job may preempt, as in `protected`.
    pub slots_protected: u32,
    /// Number of shapes with assigned accelerators here that no job uses on this server yet; each
    /// needs a slot.
    pub unused_shapes: u32,
}

impl ServerState {
    fn new(index: usize, server: policy::Server) -> Self {
        Self {
            index,
            is_present: true,
            all: low_bits(server.accelerators.min(SERVER_ACCELERATORS_MAX)),
            allocated: 0,
            protected: 0,
            claimed: 0,
            assigned: 0,
            reserved: 0,
            slots_used: 0,
            slots_protected: 0,
            unused_shapes: 0,
            server,
        }
    }

    /// Whether the server accepts any job.
    pub fn is_usable(&self) -> bool {
        self.is_present && self.server.health == policy::Health::Usable
    }

    /// Whether the server accepts only one idempotent job at a time, as a probe.
    pub fn is_suspect(&self) -> bool {
        self.is_present && self.server.health == policy::Health::Suspect
    }

    /// Accelerators that are neither allocated nor claimed.
    pub fn free(&self) -> u64 {
        self.all & !self.allocated & !self.claimed
    }

    /// Whether a slot is free for one more job.
    pub fn has_free_slot(&self) -> bool {
        self.slots_used < self.server.slots
    }

    /// Whether a slot is left for one more shape, claim or job that can't be preempted.
    pub fn has_protected_slot(&self) -> bool {
        self.slots_protected + self.unused_shapes < self.server.slots
    }

    /// Size of the largest free buddy block that contains the run of `size` accelerators at
    /// `start`; at least `size`, even if the run itself is not free.
    fn free_buddy_size(&self, start: u32, size: u32) -> u32 {
        let accelerators = self.all.count_ones();
        let mut best = size;
        let mut wider = size * 2;
        while wider <= accelerators {
            let mask = run_mask(start / wider * wider, wider);
            if mask & !self.free() != 0 {
                break;
            }
            best = wider;
            wider *= 2;
        }
        best
    }
}

/// A mask of the lowest `count` bits.
pub fn low_bits(count: u32) -> u64 {
    match count {
        0 => 0,
        count => u64::MAX >> (u64::BITS - count.min(u64::BITS)),
    }
}

/// A mask of `count` bits from bit `start` on.
pub fn run_mask(start: u32, count: u32) -> u64 {
    low_bits(count).checked_shl(start).unwrap_or(0)
}

/// Size of the smallest buddy block that holds `count` accelerators.
fn buddy_size(count: u32) -> u32 {
    count.max(1).next_power_of_two()
}

/// Start positions of runs of `wanted` accelerators within `available`, aligned to buddy blocks.
pub fn run_starts(available: u64, wanted: u32) -> impl Iterator<Item = u32> {
    let step = buddy_size(wanted);
    (0..u64::BITS)
        .step_by(step as usize)
        .take_while(move |start| start + wanted <= u64::BITS)
        .filter(move |start| run_mask(*start, wanted) & !available == 0)
}

/// Constraints and costs of a search for a block.
pub trait Criteria {
    /// Accelerators of the server that may be used; zero if the server may not be used at all.
    fn available(&self, state: &ServerState) -> u64;

    /// Cost of using `mask` on the server. The search adds it up over the block's servers and
    /// prefers the lowest sum; blocks of several servers are chosen greedily.
    fn cost(&self, state: &ServerState, mask: u64) -> f64;
}

/// All backend servers of one availability zone.
#[derive(Debug, Default)]
pub struct Cluster {
    /// Indexes are stable until [`Cluster::drop_absent`].
    pub servers: Vec<ServerState>,
    index: BTreeMap<id::BackendServerId, usize>,
    racks: BTreeMap<id::RackName, Vec<usize>>,
}

impl Cluster {
    /// Adds a backend server or updates its description.
    pub fn set_server(&mut self, server: policy::Server) {
        let index = match self.index.get(&server.id) {
            Some(index) => *index,
            None => {
                self.index.insert(server.id.clone(), self.servers.len());
                let index = self.servers.len();
                self.servers.push(ServerState::new(index, server.clone()));
                index
            }
        };
        let state = &mut self.servers[index];
        state.all = low_bits(server.accelerators.min(SERVER_ACCELERATORS_MAX));
        state.is_present = true;
        state.server = server;
        self.index_racks();
    }

    /// Marks a backend server as absent. Its entry stays so that indexes remain valid.
    pub fn remove_server(&mut self, server: &id::BackendServerId) {
        if let Some(index) = self.index.get(server) {
            self.servers[*index].is_present = false;
        }
        self.index_racks();
    }

    /// Drops the entries of absent servers, which changes the indexes. No jobs, claims,
    /// reservations or assigned shapes may exist at this point; all state of the servers is reset.
    pub fn drop_absent(&mut self) {
        if self.servers.iter().all(|state| state.is_present) {
            return;
        }
        let servers = std::mem::take(self).servers;
        for state in servers.into_iter().filter(|state| state.is_present) {
            self.set_server(state.server);
        }
    }

    fn index_racks(&mut self) {
        self.racks.clear();
        for (index, state) in self.servers.iter().enumerate() {
            if state.is_present {
                let rack = self.racks.entry(state.server.rack.clone()).or_default();
                rack.push(index);
            }
        }
    }

    /// Indexes of the present backend servers, by rack.
    pub fn racks(&self) -> impl Iterator<Item = &Vec<usize>> {
        self.racks.values()
    }

    /// Number of accelerators on all present backend servers.
    pub fn capacity(&self) -> u32 {
        let present = self.servers.iter().filter(|state| state.is_present);
        present.map(|state| state.all.count_ones()).sum()
    }

    /// Number of accelerators in the largest rack, whatever the health of its servers.
    pub fn largest_rack_size(&self) -> u32 {
        let size = |rack: &Vec<usize>| {
            let sizes = rack.iter().map(|index| self.servers[*index].all);
            sizes.map(u64::count_ones).sum()
        };
        self.racks.values().map(size).max().unwrap_or(0)
    }

    /// The block that these members occupy. Members on unknown servers are left out.
    pub fn block_of(&self, members: &[task::Member]) -> Block {
        let piece = |member: &task::Member| {
            let server = *self.index.get(&member.server)?;
            let bits = member
                .accelerators
                .iter()
                .map(|number| run_mask(*number, 1));
            let mask = bits.fold(0, |mask, bit| mask | bit);
            Some(Piece { server, mask })
        };
        members.iter().filter_map(piece).collect()
    }

    /// Whether a block lies on one server, or on servers of one rack of which it takes all but the last
    /// one whole.
    pub fn is_adjacent(&self, block: &[Piece]) -> bool {
        let Some((last, whole)) = block.split_last() else {
            return false;
        };
        let rack = &self.servers[last.server].server.rack;
        whole.iter().all(|piece| {
            let state = &self.servers[piece.server];
            state.server.rack == *rack && piece.mask == state.all
        })
    }

    /// The gang members on `block`, in order of rank.
    pub fn members_of(&self, block: &[Piece]) -> Vec<task::Member> {
        let member = |piece: &Piece| task::Member {
            server: self.servers[piece.server].server.id.clone(),
            accelerators: (0..u64::BITS)
                .filter(|number| piece.mask & run_mask(*number, 1) != 0)
                .collect(),
        };
        block.iter().map(member).collect()
    }

    /// The cheapest of the blocks of `wanted` adjacent accelerators that
    /// [`Cluster::find_in_rack`] finds, one per rack. For a block of several servers, that is not
    /// always the cheapest possible one.
    pub fn find<C: Criteria>(&self, wanted: u32, criteria: &C) -> Option<Block> {
        let racks = self.racks.values();
        let candidates = racks.filter_map(|rack| self.find_in_rack(rack, wanted, criteria));
        cheapest(candidates)
    }

    /// A block of `wanted` adjacent accelerators within one rack, with its cost: the cheapest on a
    /// single server, or one of several servers if none has enough accelerators.
    pub fn find_in_rack<C: Criteria>(
        &self,
        rack: &[usize],
        wanted: u32,
        criteria: &C,
    ) -> Option<(f64, Block)> {
        let sizes = rack
            .iter()
            .map(|index| self.servers[*index].all.count_ones());
        match sizes.max().unwrap_or(0) {
            largest if wanted <= largest => self.find_run(rack, wanted, criteria),
            _ => self.find_servers(rack, wanted, criteria),
        }
    }

    fn find_run<C: Criteria>(
        &self,
        rack: &[usize],
        wanted: u32,
        criteria: &C,
    ) -> Option<(f64, Block)> {
        let mut best: Option<(f64, Piece)> = None;
        for server in rack {
            let state = &self.servers[*server];
            let available = criteria.available(state);
            if available.count_ones() < wanted {
                continue;
            }
            for start in run_starts(available, wanted) {
                let mask = run_mask(start, wanted);
                let cost = criteria.cost(state, mask);
                if best.is_none_or(|(least, _)| cost < least) {
                    let server = *server;
                    best = Some((cost, Piece { server, mask }));
                }
            }
        }
        best.map(|(cost, piece)| (cost, vec![piece]))
    }

    /// Takes whole servers of a rack, the largest and then the cheapest first, and one more server
    /// in part for the remainder.
    fn find_servers<C: Criteria>(
        &self,
        rack: &[usize],
        wanted: u32,
        criteria: &C,
    ) -> Option<(f64, Block)> {
        let mut whole: Vec<(u32, f64, usize)> = Vec::new();
        for server in rack {
            let state = &self.servers[*server];
            if state.all != 0 && criteria.available(state) & state.all == state.all {
                let cost = criteria.cost(state, state.all);
                whole.push((state.all.count_ones(), cost, *server));
            }
        }
        whole.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(&b.2)));
        let mut block = Block::new();
        let mut total = 0.0;
        let mut left = wanted;
        for (size, cost, server) in &whole {
            if *size <= left {
                let mask = self.servers[*server].all;
                block.push(Piece {
                    server: *server,
                    mask,
                });
                total += cost;
                left -= size;
            }
        }
        if left > 0 {
            let (cost, piece) = self.find_prefix(rack, &block, left, criteria)?;
            block.push(piece);
            total += cost;
        }
        // Favors the tighter fit: each entirely available server of the rack that the block doesn't
        // use costs 1. A partly used server is subtracted as well, even if it wasn't entirely
        // available.
        let spare = whole.len().saturating_sub(block.len());
        Some((total + spare as f64, block))
    }

    fn find_prefix<C: Criteria>(
        &self,
        rack: &[usize],
        taken: &[Piece],
        wanted: u32,
        criteria: &C,
    ) -> Option<(f64, Piece)> {
        let mask = low_bits(wanted);
        let mut best: Option<(f64, Piece)> = None;
        for server in rack {
            let state = &self.servers[*server];
            let is_taken = taken.iter().any(|piece| piece.server == *server);
            if is_taken || mask & !state.all != 0 || mask & !criteria.available(state) != 0 {
                continue;
            }
            let cost = criteria.cost(state, mask);
            if best.is_none_or(|(least, _)| cost < least) {
                let server = *server;
                best = Some((cost, Piece { server, mask }));
            }
        }
        best
    }

    /// Fragmentation caused by taking `mask`: the number of buddy tree levels that are split, plus
    /// the share of [`SERVER_ACCELERATORS_MAX`] that stays free on the server, at most 1, so that
    /// fuller servers are preferred.
    pub fn split_cost(state: &ServerState, mask: u64) -> f64 {
        let size = buddy_size(mask.count_ones());
        let start = mask.trailing_zeros().min(u64::BITS - 1);
        let around = state.free_buddy_size(start / size * size, size);
        let levels = f64::from((around / size).max(1).ilog2());
        let left = f64::from((state.free() & !mask).count_ones());
        levels + left / f64::from(SERVER_ACCELERATORS_MAX)
    }
}

/// The cheapest candidate; the first one on a tie.
fn cheapest(candidates: impl Iterator<Item = (f64, Block)>) -> Option<Block> {
    let mut best: Option<(f64, Block)> = None;
    for (cost, block) in candidates {
        if best.as_ref().is_none_or(|(least, _)| cost < *least) {
            best = Some((cost, block));
        }
    }
    best.map(|(_, block)| block)
}
