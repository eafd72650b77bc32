//! What would fit if runs ended or were stopped, worked out step by step on a copy of what is free.

use camphorbeam_model::job;

use crate::placement::{Board, Choice, Demand};

/// A demand and the groups of servers within one of which it has to fit.
pub struct Trial<'a> {
    board: &'a Board,
    demand: &'a Demand<'a>,
    groups: Vec<Vec<usize>>,
    /// Group of each place, if it is in one.
    group_of: Vec<Option<usize>>,
    free: Vec<job::Resources>,
    /// Tasks that fit on each place.
    fits: Vec<u32>,
    /// Tasks that fit in each group.
    totals: Vec<u64>,
}

impl<'a> Trial<'a> {
    /// Begins with what is free on the board.
    pub fn new(board: &'a Board, demand: &'a Demand<'a>) -> Self {
        let groups = board.groups(demand);
        let free = board.free();
        let mut group_of = vec![None; free.len()];
        let mut fits = vec![0; free.len()];
        let mut totals = vec![0; groups.len()];
        for (number, group) in groups.iter().enumerate() {
            for &place in group {
                group_of[place] = Some(number);
                fits[place] = board.tasks_that_fit(&free[place], place, demand);
                totals[number] += u64::from(fits[place]);
            }
        }
        Self {
            board,
            demand,
            groups,
            group_of,
            free,
            fits,
            totals,
        }
    }

    /// The groups of servers.
    pub fn groups(&self) -> &[Vec<usize>] {
        &self.groups
    }

    /// The group of a place.
    pub fn group_of(&self, place: usize) -> Option<usize> {
        self.group_of[place]
    }

    /// Frees `need` at `place`.
    pub fn give(&mut self, place: usize, need: &job::Resources) {
        self.set(place, self.free[place].plus(need));
    }

    /// Takes `need` at `place`.
    pub fn take(&mut self, place: usize, need: &job::Resources) {
        self.set(place, self.free[place].minus(need));
    }

    fn set(&mut self, place: usize, free: job::Resources) {
        self.free[place] = free;
        let Some(group) = self.group_of[place] else {
            return;
        };
        let fits = self.board.tasks_that_fit(&free, place, self.demand);
        self.totals[group] += u64::from(fits);
        self.totals[group] -= u64::from(self.fits[place]);
        self.fits[place] = fits;
    }

    /// Whether the demand fits within a group.
    pub fn is_enough(&self, group: usize) -> bool {
        self.totals[group] >= u64::from(self.demand.count)
    }

    /// Where it would go within a group.
    pub fn choice(&self, group: usize) -> Option<Choice> {
        let free = |place: usize| self.free[place];
        self.board.fit_into(&self.groups[group], self.demand, free)
    }
}
