//! An independent matcher that checks by exhaustive search whether all guaranteed shapes can be
//! satisfied at once. It shares no code with the policy, and also accepts runs of accelerators that
//! are not aligned to buddy blocks.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;
use camphorbeam_placement::policy;

/// One accelerator: its backend server and its number there.
pub type AcceleratorId = (id::BackendServerId, u32);

/// A running job that only guaranteed shapes of its own account may cover.
#[derive(Clone, Debug)]
pub struct ProtectedJob {
    pub account: id::ClientAccountName,
    pub servers: BTreeSet<id::BackendServerId>,
    pub accelerators: BTreeSet<AcceleratorId>,
}

/// The cluster as the matcher sees it.
#[derive(Debug, Default)]
pub struct Matcher {
    /// Servers that accept any job.
    pub servers: Vec<policy::Server>,
    /// Running jobs that only shapes of their own account may cover.
    pub protected: Vec<ProtectedJob>,
}

impl Matcher {
    /// Whether all shapes (account, number of accelerators) fit at once if every job that is not in
    /// `protected` is preempted. Tries all combinations of blocks.
    pub fn fits_all(&self, shapes: &[(id::ClientAccountName, u32)]) -> bool {
        let mut shapes = shapes.to_vec();
        shapes.sort_by_key(|(_, accelerators)| std::cmp::Reverse(*accelerators));
        self.fits(&shapes, &mut BTreeSet::new(), &mut BTreeMap::new())
    }

    fn fits(
        &self,
        shapes: &[(id::ClientAccountName, u32)],
        taken: &mut BTreeSet<AcceleratorId>,
        slots: &mut BTreeMap<id::BackendServerId, u32>,
    ) -> bool {
        let Some(((account, accelerators), rest)) = shapes.split_first() else {
            return true;
        };
        for block in self.blocks(*accelerators) {
            if !self.is_open(&block, account, taken) {
                continue;
            }
            let new_slots = self.new_slots(&block, account);
            let has_slots = new_slots.iter().all(|server| {
                let used = slots.get(server).copied().unwrap_or(0) + self.protected_on(server);
                used < self.slots_of(server)
            });
            if !has_slots {
                continue;
            }
            taken.extend(block.iter().cloned());
            for server in &new_slots {
                *slots.entry(server.clone()).or_insert(0) += 1;
            }
            if self.fits(rest, taken, slots) {
                return true;
            }
            for accelerator in &block {
                taken.remove(accelerator);
            }
            for server in &new_slots {
                *slots.entry(server.clone()).or_insert(0) -= 1;
            }
        }
        false
    }

    fn is_open(
        &self,
        block: &BTreeSet<AcceleratorId>,
        account: &id::ClientAccountName,
        taken: &BTreeSet<AcceleratorId>,
    ) -> bool {
        let belongs_to_others = |accelerator: &AcceleratorId| {
            self.protected
                .iter()
                .any(|job| job.account != *account && job.accelerators.contains(accelerator))
        };
        block
            .iter()
            .all(|accelerator| !taken.contains(accelerator) && !belongs_to_others(accelerator))
    }

    /// Servers of a block on which the shape needs a slot of its own: those where the account has
    /// no job within the block whose slot is already counted.
    fn new_slots(
        &self,
        block: &BTreeSet<AcceleratorId>,
        account: &id::ClientAccountName,
    ) -> BTreeSet<id::BackendServerId> {
        let servers: BTreeSet<_> = block.iter().map(|(server, _)| server.clone()).collect();
        let has_own = |server: &id::BackendServerId| {
            self.protected.iter().any(|job| {
                let mut own = job
                    .accelerators
                    .iter()
                    .filter(|accelerator| block.contains(accelerator));
                job.account == *account && own.any(|(on, _)| on == server)
            })
        };
        servers.into_iter().filter(|s| !has_own(s)).collect()
    }

    fn protected_on(&self, server: &id::BackendServerId) -> u32 {
        let jobs = self.protected.iter();
        let here = jobs.filter(|job| job.servers.contains(server)).count();
        u32::try_from(here).unwrap()
    }

    fn slots_of(&self, server: &id::BackendServerId) -> u32 {
        let found = self.servers.iter().find(|known| known.id == *server);
        found.map_or(0, |server| server.slots)
    }

    /// Every set of `wanted` adjacent accelerators: a run on one server, or whole servers of a rack
    /// and the first accelerators of one more.
    fn blocks(&self, wanted: u32) -> Vec<BTreeSet<AcceleratorId>> {
        let mut blocks = Vec::new();
        for server in &self.servers {
            for start in 0..=server.accelerators {
                if start + wanted <= server.accelerators {
                    blocks.push(accelerator_run(server, start, wanted));
                }
            }
        }
        for server_mask in 1u32..1 << self.servers.len() {
            self.add_blocks_on(server_mask, wanted, &mut blocks);
        }
        blocks
    }

    /// Adds the blocks that use each of the chosen servers, all but one of them whole. Each bit of
    /// `server_mask` chooses the server of that position in `servers`.
    fn add_blocks_on(
        &self,
        server_mask: u32,
        wanted: u32,
        blocks: &mut Vec<BTreeSet<AcceleratorId>>,
    ) {
        let chosen: Vec<&policy::Server> = self
            .servers
            .iter()
            .enumerate()
            .filter(|(number, _)| server_mask & 1 << number != 0)
            .map(|(_, server)| server)
            .collect();
        let racks: BTreeSet<_> = chosen.iter().map(|server| &server.rack).collect();
        if racks.len() != 1 || chosen.len() < 2 {
            return;
        }
        for last in &chosen {
            let others = chosen.iter().filter(|server| server.id != last.id);
            let whole: u32 = others.clone().map(|server| server.accelerators).sum();
            if whole < wanted && wanted - whole <= last.accelerators {
                let mut block = accelerator_run(last, 0, wanted - whole);
                block.extend(
                    others.flat_map(|server| accelerator_run(server, 0, server.accelerators)),
                );
                blocks.push(block);
            }
        }
    }
}

fn accelerator_run(server: &policy::Server, start: u32, count: u32) -> BTreeSet<AcceleratorId> {
    (start..start + count)
        .map(|number| (server.id.clone(), number))
        .collect()
}
