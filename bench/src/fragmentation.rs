//! Fragmentation: the share of open accelerators that can't serve the largest waiting shape.
//!
//! Open accelerators are those free on usable backend servers, and, in the measure of the design
//! note, those that borrowers hold. The share is taken over time: accelerator-milliseconds that
//! can't serve the shape, divided by open accelerator-milliseconds, while something waits.

use std::collections::BTreeMap;

use camphorbeam_model::{id, task};
use camphorbeam_placement::policy;

/// Sums over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FragmentationIntegral {
    open_ms: f64,
    unusable_ms: f64,
}

impl FragmentationIntegral {
    /// Adds a span in which `open` accelerators were open and `useful` of them could serve.
    pub fn add(&mut self, open: u32, usable: u32, span_ms: u64) {
        let span_ms = span_ms as f64;
        self.open_ms += f64::from(open) * span_ms;
        self.unusable_ms += f64::from(open.saturating_sub(usable)) * span_ms;
    }

    /// The share over all spans, 0.0 to 1.0; zero if nothing was ever open.
    pub fn ratio(&self) -> f64 {
        match self.open_ms > 0.0 {
            true => self.unusable_ms / self.open_ms,
            false => 0.0,
        }
    }
}

/// Which accelerators are open, apart from any policy.
#[derive(Debug, Default)]
pub struct OpenAccelerators {
    servers: BTreeMap<id::BackendServerId, ServerState>,
}

#[derive(Debug)]
struct ServerState {
    rack: id::RackName,
    accelerators: u32,
    is_usable: bool,
    /// Whether each accelerator is held by a job that stays, and by a borrower.
    allocations: Vec<Allocation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Allocation {
    Free,
    Borrowed,
    Regular,
}

impl OpenAccelerators {
    /// Adds a backend server or notes its health.
    pub fn set_server(&mut self, server: &policy::Server) {
        let is_usable = server.health == policy::Health::Usable;
        let entry = self.servers.entry(server.id.clone());
        let entry = entry.or_insert_with(|| ServerState {
            rack: server.rack.clone(),
            accelerators: server.accelerators,
            is_usable,
            allocations: vec![Allocation::Free; server.accelerators as usize],
        });
        entry.is_usable = is_usable;
    }

    /// Notes a start.
    pub fn allocate(&mut self, members: &[task::Member], is_borrowing: bool) {
        let allocation = match is_borrowing {
            true => Allocation::Borrowed,
            false => Allocation::Regular,
        };
        self.mark(members, allocation);
    }

    /// Notes an end.
    pub fn release(&mut self, members: &[task::Member]) {
        self.mark(members, Allocation::Free);
    }

    fn mark(&mut self, members: &[task::Member], allocation: Allocation) {
        for member in members {
            let Some(server) = self.servers.get_mut(&member.server) else {
                continue;
            };
            for number in &member.accelerators {
                server.allocations[*number as usize] = allocation;
            }
        }
    }

    /// Open accelerators, and how many of them shapes of `wanted` can cover.
    pub fn measure(&self, wanted: u32, with_borrowed: bool) -> (u32, u32) {
        let is_open = |allocation: &Allocation| match allocation {
            Allocation::Free => true,
            Allocation::Borrowed => with_borrowed,
            Allocation::Regular => false,
        };
        let mut open = 0;
        let mut usable = 0;
        let mut racks: BTreeMap<&id::RackName, Vec<(u32, u32)>> = BTreeMap::new();
        for server in self.servers.values().filter(|server| server.is_usable) {
            let flags: Vec<bool> = server.allocations.iter().map(is_open).collect();
            let open_here = count(&flags);
            open += open_here;
            let rack = racks.entry(&server.rack).or_default();
            rack.push((server.accelerators, open_here));
            usable += contiguous_coverage(&flags, wanted);
        }
        for servers in racks.values() {
            usable += whole_server_coverage(servers, wanted);
        }
        (open, usable)
    }
}

fn count(flags: &[bool]) -> u32 {
    u32::try_from(flags.iter().filter(|flag| **flag).count()).unwrap_or(u32::MAX)
}

/// Accelerators of one server that disjoint runs of `wanted` cover.
fn contiguous_coverage(flags: &[bool], wanted: u32) -> u32 {
    let wanted_len = wanted.max(1) as usize;
    let runs = flags.split(|is_open| !is_open);
    let shapes: usize = runs.map(|run| run.len() / wanted_len).sum();
    u32::try_from(shapes).unwrap_or(u32::MAX) * wanted.max(1)
}

/// Accelerators of one rack that shapes larger than a server cover with whole open servers.
fn whole_server_coverage(servers: &[(u32, u32)], wanted: u32) -> u32 {
    let largest = servers.iter().map(|(size, _)| *size).max().unwrap_or(0);
    if wanted <= largest {
        return 0;
    }
    let whole = servers.iter().filter(|(size, open)| size == open);
    let whole: u32 = whole.map(|(size, _)| *size).sum();
    whole / wanted * wanted
}
