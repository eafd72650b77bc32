//! Trial placement: whether a unit fits once certain runs have ended, computed incrementally on a
//! copy of the free resources.

use camphorbeam_model::job;

use crate::placement::{Assignment, CapacitySnapshot, Demand};

/// A trial placement of one demand, which has to fit within one of the groups of servers.
pub struct Trial<'a> {
    snapshot: &'a CapacitySnapshot,
    demand: &'a Demand<'a>,
    groups: Vec<Vec<usize>>,
    /// The group of each position; `None` if the server is in no group.
    group_of: Vec<Option<usize>>,
    free: Vec<job::Resources>,
    /// Number of tasks that fit at each position.
    fit_counts: Vec<u32>,
    /// Number of tasks that fit in each group.
    group_totals: Vec<u64>,
}

impl<'a> Trial<'a> {
    /// Creates a trial with the resources that are free in `snapshot`.
    pub fn new(snapshot: &'a CapacitySnapshot, demand: &'a Demand<'a>) -> Self {
        let groups = snapshot.claimable_groups(demand);
        let free = snapshot.free();
        let mut group_of = vec![None; free.len()];
        let mut fit_counts = vec![0; free.len()];
        let mut group_totals = vec![0; groups.len()];
        for (group_index, group) in groups.iter().enumerate() {
            for &position in group {
                group_of[position] = Some(group_index);
                fit_counts[position] = snapshot.tasks_that_fit(&free[position], position, demand);
                group_totals[group_index] += u64::from(fit_counts[position]);
            }
        }
        Self {
            snapshot,
            demand,
            groups,
            group_of,
            free,
            fit_counts,
            group_totals,
        }
    }

    /// The groups of servers, each a list of positions.
    pub fn groups(&self) -> &[Vec<usize>] {
        &self.groups
    }

    /// The group of the server at `position`; `None` if it is in no group.
    pub fn group_of(&self, position: usize) -> Option<usize> {
        self.group_of[position]
    }

    /// Releases `need` on the server at `position`.
    pub fn release(&mut self, position: usize, need: &job::Resources) {
        self.set_free(position, self.free[position].plus(need));
    }

    /// Allocates `need` on the server at `position`.
    pub fn allocate(&mut self, position: usize, need: &job::Resources) {
        self.set_free(position, self.free[position].minus(need));
    }

    fn set_free(&mut self, position: usize, free: job::Resources) {
        self.free[position] = free;
        let Some(group) = self.group_of[position] else {
            return;
        };
        let fit_count = self.snapshot.tasks_that_fit(&free, position, self.demand);
        self.group_totals[group] += u64::from(fit_count);
        self.group_totals[group] -= u64::from(self.fit_counts[position]);
        self.fit_counts[position] = fit_count;
    }

    /// Whether the demand fits within `group`.
    pub fn fits(&self, group: usize) -> bool {
        self.group_totals[group] >= u64::from(self.demand.count)
    }

    /// The assignment of the demand within `group`; `None` if it doesn't fit.
    pub fn assignment(&self, group: usize) -> Option<Assignment> {
        let free = |position: usize| self.free[position];
        self.snapshot
            .assign_with_free(&self.groups[group], self.demand, free)
    }
}
