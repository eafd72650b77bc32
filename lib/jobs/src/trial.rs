//! What would fit if runs ended or were stopped, worked out step by step on a copy of what is free.

use camphorbeam_model::job;

use crate::placement::{Assignment, CapacitySnapshot, Demand};

/// A demand and the groups of servers within one of which it has to fit.
pub struct Trial<'a> {
    snapshot: &'a CapacitySnapshot,
    demand: &'a Demand<'a>,
    groups: Vec<Vec<usize>>,
    /// Group of each place, if it is in one.
    group_of: Vec<Option<usize>>,
    free: Vec<job::Resources>,
    /// Tasks that fit on each place.
    fit_counts: Vec<u32>,
    /// Tasks that fit in each group.
    group_totals: Vec<u64>,
}

impl<'a> Trial<'a> {
    /// Begins with what is free on the board.
    pub fn new(snapshot: &'a CapacitySnapshot, demand: &'a Demand<'a>) -> Self {
        let groups = snapshot.groups(demand);
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

    /// The groups of servers.
    pub fn groups(&self) -> &[Vec<usize>] {
        &self.groups
    }

    /// The group of a place.
    pub fn group_of(&self, position: usize) -> Option<usize> {
        self.group_of[position]
    }

    /// Frees `need` at `place`.
    pub fn release(&mut self, position: usize, need: &job::Resources) {
        self.set(position, self.free[position].plus(need));
    }

    /// Takes `need` at `place`.
    pub fn allocate(&mut self, position: usize, need: &job::Resources) {
        self.set(position, self.free[position].minus(need));
    }

    fn set(&mut self, position: usize, free: job::Resources) {
        self.free[position] = free;
        let Some(group) = self.group_of[position] else {
            return;
        };
        let fit_count = self.snapshot.tasks_that_fit(&free, position, self.demand);
        self.group_totals[group] += u64::from(fit_count);
        self.group_totals[group] -= u64::from(self.fit_counts[position]);
        self.fit_counts[position] = fit_count;
    }

    /// Whether the demand fit_counts within a group.
    pub fn fits(&self, group: usize) -> bool {
        self.group_totals[group] >= u64::from(self.demand.count)
    }

    /// Where it would go within a group.
    pub fn assignment(&self, group: usize) -> Option<Assignment> {
        let free = |position: usize| self.free[position];
        self.snapshot
            .assign_with_free(&self.groups[group], self.demand, free)
    }
}
