//! How many tasks fit on each server, by what a task needs, kept up to date by change.

use camphorbeam_model::job;

use crate::placement::{self, Candidate};

/// Number of different needs that are kept. Each takes 4 bytes for each server.
const NEEDS_MAX: usize = 256;

/// The servers that are counted, by position.
pub struct Servers<'a> {
    pub candidates: &'a [Candidate],
    pub service_of: &'a [usize],
    pub rack_of: &'a [usize],
    pub rack_count: usize,
    pub is_kept: &'a [bool],
}

/// Sums over the servers of one service, with or without those that are kept for urgent work.
#[derive(Clone, Debug, Default)]
pub struct Totals {
    /// On all servers together, with the resources that are free now.
    pub total: u64,
    rack_free: Vec<u64>,
    /// On the rack on which most would fit if nothing ran there.
    pub empty_rack_max: u64,
    /// On all servers together if nothing ran there.
    pub empty_total: u64,
}

impl Totals {
    /// On the rack on which most fit, with the resources that are free now.
    pub fn rack_max(&self) -> u64 {
        self.rack_free.iter().copied().max().unwrap_or(0)
    }

    fn replace(&mut self, rack: usize, before: u32, after: u32) {
        self.total = self.total - u64::from(before) + u64::from(after);
        self.rack_free[rack] = self.rack_free[rack] - u64::from(before) + u64::from(after);
    }
}

/// How many tasks with the same needs fit on the servers of one service.
#[derive(Clone, Debug)]
pub struct FitCounts {
    need: job::Resources,
    service: usize,
    /// By position, with the resources that are free now; zero for servers of other services.
    pub free: Vec<u32>,
    outside_kept: Totals,
    anywhere: Totals,
    /// Number of changes of the index that are included.
    changes_seen: usize,
}

impl FitCounts {
    /// The sums over all servers of the service, or only those that are not kept.
    pub fn totals(&self, may_use_kept: bool) -> &Totals {
        match may_use_kept {
            true => &self.anywhere,
            false => &self.outside_kept,
        }
    }

    fn compute(servers: &Servers<'_>, need: &job::Resources, service: usize) -> Self {
        let mut counts = Self {
            need: *need,
            service,
            free: Vec::with_capacity(servers.candidates.len()),
            outside_kept: Totals::default(),
            anywhere: Totals::default(),
            changes_seen: 0,
        };
        let mut racks = vec![[(0, 0); 2]; servers.rack_count];
        for (position, candidate) in servers.candidates.iter().enumerate() {
            let is_of_service = servers.service_of[position] == service;
            let free = match is_of_service {
                true => fit(&candidate.free, need),
                false => 0,
            };
            counts.free.push(free);
            if is_of_service {
                let empty = u64::from(fit(&candidate.entry.capacity, need));
                let rack = &mut racks[servers.rack_of[position]];
                let from = usize::from(servers.is_kept[position]);
                for sums in &mut rack[from..] {
                    *sums = (sums.0 + u64::from(free), sums.1 + empty);
                }
            }
        }
        for (kind, totals) in [&mut counts.outside_kept, &mut counts.anywhere]
            .into_iter()
            .enumerate()
        {
            totals.rack_free = racks.iter().map(|rack| rack[kind].0).collect();
            totals.total = totals.rack_free.iter().sum();
            totals.empty_rack_max = racks.iter().map(|rack| rack[kind].1).max().unwrap_or(0);
            totals.empty_total = racks.iter().map(|rack| rack[kind].1).sum();
        }
        counts
    }

    fn apply_change(&mut self, servers: &Servers<'_>, position: usize) {
        if servers.service_of[position] != self.service {
            return;
        }
        let after = fit(&servers.candidates[position].free, &self.need);
        let before = std::mem::replace(&mut self.free[position], after);
        let rack = servers.rack_of[position];
        self.anywhere.replace(rack, before, after);
        if !servers.is_kept[position] {
            self.outside_kept.replace(rack, before, after);
        }
    }
}

fn fit(free: &job::Resources, need: &job::Resources) -> u32 {
    u32::try_from(placement::fit_count(free, need)).unwrap_or(u32::MAX)
}

/// The fit counts of all needs that were asked for.
#[derive(Clone, Debug, Default)]
pub struct FitIndex {
    counts: Vec<FitCounts>,
    /// Positions whose free resources have changed, oldest first.
    changes: Vec<usize>,
}

impl FitIndex {
    /// Records that the free resources at `position` have changed.
    pub fn note_change(&mut self, position: usize) {
        self.changes.push(position);
    }

    /// The counts that `update` has returned.
    pub fn counts(&self, number: usize) -> &FitCounts {
        &self.counts[number]
    }

    /// Brings the counts for `need` up to date and returns their number. The number is valid until
    /// the next update.
    pub fn update(
        &mut self,
        servers: &Servers<'_>,
        need: &job::Resources,
        service: usize,
    ) -> usize {
        let is_same = |counts: &FitCounts| &counts.need == need && counts.service == service;
        let known = self.counts.iter().position(is_same);
        let number = match known {
            Some(number) => number,
            None => {
                if self.counts.len() >= NEEDS_MAX {
                    self.counts.remove(0);
                }
                let mut counts = FitCounts::compute(servers, need, service);
                counts.changes_seen = self.changes.len();
                self.counts.push(counts);
                self.counts.len() - 1
            }
        };
        let counts = &mut self.counts[number];
        match self.changes.len() - counts.changes_seen > servers.candidates.len() {
            true => *counts = FitCounts::compute(servers, need, service),
            false => {
                for &position in &self.changes[counts.changes_seen..] {
                    counts.apply_change(servers, position);
                }
            }
        }
        counts.changes_seen = self.changes.len();
        number
    }
}
