//! First-fit allocation, shared by the baseline policies.

use std::collections::BTreeMap;

use camphorbeam_model::{id, task};

use crate::cluster::{Block, Cluster, Criteria, Piece, ServerState};
use crate::policy;

/// Accelerators allocated to a running job.
#[derive(Clone, Debug)]
pub struct Allocation {
    pub job: policy::Job,
    pub members: Vec<task::Member>,
    pub block: Block,
    pub started_at_ms: u64,
    /// Whether the policy has decided to preempt the job.
    pub is_stopping: bool,
}

/// Backend servers and the allocations on them.
#[derive(Debug, Default)]
pub struct FirstFitAllocator {
    pub cluster: Cluster,
    pub allocations: BTreeMap<id::RequestId, Allocation>,
}

impl FirstFitAllocator {
    /// Adds a backend server or updates its description. Allocations on it stay.
    pub fn set_server(&mut self, server: policy::Server) {
        // Recomputes the blocks: members on a server that was unknown until now get their pieces.
        let allocations = std::mem::take(&mut self.allocations);
        for allocation in allocations.values() {
            self.mark(&allocation.block, false);
        }
        self.cluster.set_server(server);
        for (request, mut allocation) in allocations {
            allocation.block = self.cluster.block_of(&allocation.members);
            self.mark(&allocation.block, true);
            self.allocations.insert(request, allocation);
        }
    }

    pub fn remove_server(&mut self, server: &id::BackendServerId) {
        self.cluster.remove_server(server);
    }

    /// The first block that fits, in order of racks and servers; a block of several servers comes
    /// from the rack with the tightest fit. Also uses servers that the job should avoid.
    pub fn first_fit(&self, job: &policy::Job) -> Option<Block> {
        let criteria = FirstFitCriteria {
            is_idempotent: job.idempotent,
        };
        match job.accelerators {
            0 => self.first_slot(&criteria),
            wanted => self.cluster.find(wanted, &criteria),
        }
    }

    fn first_slot(&self, criteria: &FirstFitCriteria) -> Option<Block> {
        let mut servers = self.cluster.servers.iter();
        let state = servers.find(|state| criteria.is_open(state))?;
        Some(vec![Piece {
            server: state.index,
            mask: 0,
        }])
    }

    /// Allocates `block` to a job and returns the decision to start it.
    pub fn start(
        &mut self,
        job: policy::Job,
        block: &[Piece],
        is_borrowing: bool,
        now_ms: u64,
    ) -> policy::Decision {
        let members = self.cluster.members_of(block);
        let request = job.id.clone();
        self.adopt(job, members.clone(), now_ms);
        policy::Decision::Start {
            request,
            members,
            is_borrowing,
        }
    }

    /// Registers a job that is already running on these members.
    pub fn adopt(&mut self, job: policy::Job, members: Vec<task::Member>, now_ms: u64) {
        let block = self.cluster.block_of(&members);
        self.mark(&block, true);
        let allocation = Allocation {
            members,
            block,
            started_at_ms: now_ms,
            is_stopping: false,
            job,
        };
        self.allocations
            .insert(allocation.job.id.clone(), allocation);
    }

    /// Releases the accelerators of a job.
    pub fn end(&mut self, request: &id::RequestId) -> Option<Allocation> {
        let allocation = self.allocations.remove(request)?;
        self.mark(&allocation.block, false);
        Some(allocation)
    }

    /// A decision to refuse the job if it needs more accelerators than the largest rack has.
    pub fn refusal(&self, job: &policy::Job) -> Option<policy::Decision> {
        let largest = self.cluster.largest_rack_size();
        let is_impossible = largest > 0 && job.accelerators > largest;
        is_impossible.then(|| policy::Decision::Refuse {
            request: job.id.clone(),
            reason: format!(
                "asks for {} adjacent accelerators; the largest rack has {largest}",
                job.accelerators
            ),
        })
    }

    /// Marks the accelerators of `block` as allocated or free, and takes or returns a slot on each
    /// of its servers.
    pub fn mark(&mut self, block: &[Piece], is_allocated: bool) {
        for piece in block {
            let state = &mut self.cluster.servers[piece.server];
            match is_allocated {
                true => {
                    state.allocated |= piece.mask;
                    state.slots_used += 1;
                }
                false => {
                    state.allocated &= !piece.mask;
                    state.slots_used -= 1;
                }
            }
        }
    }
}

struct FirstFitCriteria {
    is_idempotent: bool,
}

impl FirstFitCriteria {
    fn is_open(&self, state: &ServerState) -> bool {
        let is_probe = state.is_suspect() && self.is_idempotent && state.slots_used == 0;
        state.has_free_slot() && (state.is_usable() || is_probe)
    }
}

impl Criteria for FirstFitCriteria {
    fn available(&self, state: &ServerState) -> u64 {
        match self.is_open(state) {
            true => state.free(),
            false => 0,
        }
    }

    fn cost(&self, _state: &ServerState, _mask: u64) -> f64 {
        0.0
    }
}
