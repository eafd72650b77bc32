//! Fragmentation: the share of open accelerators that can't serve the largest waiting shape.
//!
//! Open accelerators are the free ones on usable backend servers, and, in the measure that the
//! design note defines, also the borrowed ones. The share is weighted by time: the
//! accelerator-milliseconds that can't serve the shape, divided by the open
//! accelerator-milliseconds, over the time in which a request for accelerators waits.

use std::collections::BTreeMap;

use camphorbeam_model::{id, task};
use camphorbeam_placement::policy;

/// Open and unusable accelerators, summed over time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FragmentationIntegral {
    open_ms: f64,
    unusable_ms: f64,
}

impl FragmentationIntegral {
    /// Adds a time span in which `open` accelerators were open, of which `usable` could serve the
    /// largest waiting shape.
    pub fn add(&mut self, open: u32, usable: u32, span_ms: u64) {
        let span_ms = span_ms as f64;
        self.open_ms += f64::from(open) * span_ms;
        self.unusable_ms += f64::from(open.saturating_sub(usable)) * span_ms;
    }

    /// Returns the share over all spans, from 0.0 to 1.0; zero if no accelerator was ever open.
    pub fn ratio(&self) -> f64 {
        match self.open_ms > 0.0 {
            true => self.unusable_ms / self.open_ms,
            false => 0.0,
        }
    }
}

/// Tracks which accelerators are open, independently of the policy.
#[derive(Debug, Default)]
pub struct OpenAccelerators {
    servers: BTreeMap<id::BackendServerId, ServerState>,
}

#[derive(Debug)]
struct ServerState {
    rack: id::RackName,
    accelerators: u32,
    is_usable: bool,
    /// Allocation of each accelerator.
    allocations: Vec<Allocation>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Allocation {
    Free,
    Borrowed,
    Regular,
}

impl OpenAccelerators {
    /// Adds a backend server or updates its health.
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

    /// Marks the accelerators of a started attempt as allocated.
    pub fn allocate(&mut self, members: &[task::Member], is_borrowing: bool) {
        let allocation = match is_borrowing {
            true => Allocation::Borrowed,
            false => Allocation::Regular,
        };
        self.mark(members, allocation);
    }

    /// Marks the accelerators of an ended attempt as free.
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

    /// Returns the number of open accelerators, and how many of them can be used by shapes of
    /// `wanted` accelerators. Borrowed accelerators count as open if `with_borrowed` is set.
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

/// Returns how many accelerators of one server can be used by shapes of `wanted` adjacent ones.
fn contiguous_coverage(flags: &[bool], wanted: u32) -> u32 {
    let wanted_len = wanted.max(1) as usize;
    let runs = flags.split(|is_open| !is_open);
    let shapes: usize = runs.map(|run| run.len() / wanted_len).sum();
    u32::try_from(shapes).unwrap_or(u32::MAX) * wanted.max(1)
}

/// Returns how many accelerators of one rack can be used by shapes that are larger than its largest
/// server and take whole open servers. Each server is given as its size and its open accelerators.
fn whole_server_coverage(servers: &[(u32, u32)], wanted: u32) -> u32 {
    let largest = servers.iter().map(|(size, _)| *size).max().unwrap_or(0);
    if wanted <= largest {
        return 0;
    }
    let whole = servers.iter().filter(|(size, open)| size == open);
    let whole: u32 = whole.map(|(size, _)| *size).sum();
    whole / wanted * wanted
}
