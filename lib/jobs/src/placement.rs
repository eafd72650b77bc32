//! Which backend servers a unit of tasks fits on, and which of them serve it best.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::{fleet, id, job};

/// Speeds within this ratio of each other count as the same for a gang.
const SLOW_CLASS_SPEED_RATIO: f64 = 0.78;

/// What leaving a fast server idle for urgent work is worth against packing, for each unit of
/// speed, in accelerators.
const FAST_SERVER_COST: f64 = 4.0;

/// What is free on one backend server.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The server.
    pub entry: Arc<fleet::ServerEntry>,
    /// What is free and not promised to another unit.
    pub free: job::Resources,
    /// Speed relative to the median of all servers.
    pub speed_ratio: f64,
    /// Whether a failure stands against it.
    pub is_suspect: bool,
}

/// What a unit asks for.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// Its step.
    pub step: &'a job::StepSpec,
    /// Its service.
    pub service: &'a id::ServiceName,
    /// How many tasks.
    pub count: u32,
    /// Whether it takes a fast server rather than leave it to others.
    pub prefers_fast: bool,
    /// Slowest speed, relative to the median, that it takes.
    pub speed_min_ratio: f64,
    /// Servers on which the job has failed.
    pub excluded: BTreeSet<id::BackendServerId>,
    /// Tasks of the same step that each server has already.
    pub same_step_tasks: BTreeMap<id::BackendServerId, u32>,
    /// Whether it may be spread over racks although it is slower then.
    pub may_span_racks: bool,
}

impl Demand<'_> {
    /// Whether the unit is a gang that is slower on several racks.
    fn prefers_one_rack(&self) -> bool {
        self.step.is_gang && self.step.wants_one_rack && self.count > 1
    }
}

/// How often `need` fits into `room`; what needs nothing fits without end.
fn fit_count(free: &job::Resources, need: &job::Resources) -> u64 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(UNBOUNDED_FIT);
    ratio(free.cpu_millicores, need.cpu_millicores)
        .min(ratio(free.memory_mb, need.memory_mb))
        .min(ratio(free.accelerators, need.accelerators))
}

/// Tasks that fit where they need nothing of a kind; more than a job may have.
const UNBOUNDED_FIT: u64 = job::TASKS_MAX as u64;

/// How often a task of one shape fits on the board.
#[derive(Clone, Debug)]
struct FitCounts {
    need: job::Resources,
    service: id::ServiceName,
    /// On all servers together, as they are.
    total: u64,
    /// On the rack that has most room now.
    roomiest_rack: u64,
    /// On the rack that has most room when all are empty.
    roomiest_empty_rack: u64,
}

/// The servers of one decision.
#[derive(Clone, Debug, Default)]
pub struct CapacitySnapshot {
    candidates: Vec<Candidate>,
    positions: BTreeMap<id::BackendServerId, usize>,
    /// Number of each slot's rack.
    rack_of: Vec<usize>,
    rack_count: usize,
    /// Fits that were worked out since something was last taken or given back.
    fit_cache: Vec<FitCounts>,
}

/// The chosen server of each task, by its place on the board.
pub type Assignment = Vec<usize>;

impl CapacitySnapshot {
    /// A board of the servers that take work.
    pub fn new(candidates: Vec<Candidate>) -> Self {
        let mut numbers: BTreeMap<Option<&Arc<str>>, usize> = BTreeMap::new();
        let mut rack_of = Vec::with_capacity(candidates.len());
        for candidate in &candidates {
            let next = numbers.len();
            rack_of.push(*numbers.entry(candidate.entry.rack()).or_insert(next));
        }
        let rack_count = numbers.len();
        let ids = candidates
            .iter()
            .map(|candidate| candidate.entry.id.clone());
        Self {
            positions: ids.zip(0..).collect(),
            rack_of,
            rack_count,
            fit_cache: Vec::new(),
            candidates,
        }
    }

    /// The servers, by place.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// What is free on each server, by place.
    pub fn free(&self) -> Vec<job::Resources> {
        self.candidates
            .iter()
            .map(|candidate| candidate.free)
            .collect()
    }

    /// Takes `need` off the server at `place`.
    pub fn allocate(&mut self, position: usize, need: &job::Resources) {
        let candidate = &mut self.candidates[position];
        candidate.free = candidate.free.minus(need);
        self.fit_cache.clear();
    }

    /// Gives `need` back to the server at `place`.
    pub fn release(&mut self, position: usize, need: &job::Resources) {
        let candidate = &mut self.candidates[position];
        candidate.free = candidate.free.plus(need);
        self.fit_cache.clear();
    }

    /// The place of a server.
    pub fn position_of(&self, server: &id::BackendServerId) -> Option<usize> {
        self.positions.get(server).copied()
    }

    /// The best servers for `demand`, if it fits.
    pub fn choose(&mut self, demand: &Demand<'_>) -> Option<Assignment> {
        if !self.may_fit(demand) {
            return None;
        }
        let groups = self.groups(demand);
        groups
            .into_iter()
            .flat_map(|group| self.candidate_assignments(&group, demand))
            .map(|assignment| (self.assignment_cost(&assignment, demand), assignment))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, assignment)| assignment)
    }

    /// A quick look at whether `demand` may fit: false is sure.
    fn may_fit(&mut self, demand: &Demand<'_>) -> bool {
        let fit = self.fit_counts(demand);
        let holds_unit = |most: u64| most >= u64::from(demand.count);
        let needs_one_rack = demand.prefers_one_rack()
            && !demand.may_span_racks
            && demand.step.required_label.is_none()
            && holds_unit(fit.roomiest_empty_rack);
        holds_unit(fit.total) && (!needs_one_rack || holds_unit(fit.roomiest_rack))
    }

    fn fit_counts(&mut self, demand: &Demand<'_>) -> FitCounts {
        let need = &demand.step.need;
        let known = self
            .fit_cache
            .iter()
            .find(|fit| &fit.need == need && &fit.service == demand.service);
        if let Some(known) = known {
            return known.clone();
        }
        let mut total = 0;
        let mut racks = vec![(0, 0); self.rack_count];
        for (position, candidate) in self.candidates.iter().enumerate() {
            if &candidate.entry.service == demand.service {
                let fits = fit_count(&candidate.free, need);
                let rack = &mut racks[self.rack_of[position]];
                total += fits;
                rack.0 += fits;
                rack.1 += fit_count(&candidate.entry.capacity, need);
            }
        }
        let fit = FitCounts {
            need: *need,
            service: demand.service.clone(),
            total,
            roomiest_rack: racks.iter().map(|rack| rack.0).max().unwrap_or(0),
            roomiest_empty_rack: racks.iter().map(|rack| rack.1).max().unwrap_or(0),
        };
        self.fit_cache.push(fit.clone());
        fit
    }

    /// Sets of servers within which a unit can be placed: racks where that matters, else all. No
    /// server is in two of them.
    pub fn groups(&self, demand: &Demand<'_>) -> Vec<Vec<usize>> {
        let allowed: Vec<usize> = (0..self.candidates.len())
            .filter(|&position| self.is_allowed(position, demand))
            .collect();
        let near_data: Vec<usize> = match &demand.step.data_rack {
            Some(rack) => {
                let is_near_data =
                    |position: &usize| self.candidates[*position].entry.rack() == Some(rack);
                allowed.iter().copied().filter(is_near_data).collect()
            }
            None => Vec::new(),
        };
        let allowed = match near_data.is_empty() {
            true => allowed,
            false => near_data,
        };
        if !demand.prefers_one_rack() || demand.may_span_racks {
            return vec![allowed];
        }
        let mut racks: Vec<Vec<usize>> = vec![Vec::new(); self.rack_count];
        for &position in &allowed {
            racks[self.rack_of[position]].push(position);
        }
        racks.retain(|group| self.fits_when_empty(group, demand));
        match racks.is_empty() {
            true => vec![allowed],
            false => racks,
        }
    }

    fn is_allowed(&self, position: usize, demand: &Demand<'_>) -> bool {
        let candidate = &self.candidates[position];
        let has_label = match &demand.step.required_label {
            Some(label) => candidate.entry.labels.contains(label),
            None => true,
        };
        &candidate.entry.service == demand.service
            && has_label
            && candidate.speed_ratio >= demand.speed_min_ratio
            && !demand.excluded.contains(&candidate.entry.id)
    }

    /// Whether the servers of `group`, all empty, would hold the unit.
    fn fits_when_empty(&self, group: &[usize], demand: &Demand<'_>) -> bool {
        let each = group
            .iter()
            .map(|&at| self.tasks_that_fit(&self.candidates[at].entry.capacity, at, demand));
        each.sum::<u32>() >= demand.count
    }

    /// How many tasks of `demand` the server at `place` takes if `room` is free there.
    pub fn tasks_that_fit(
        &self,
        free: &job::Resources,
        position: usize,
        demand: &Demand<'_>,
    ) -> u32 {
        let by_resources = fit_count(free, &demand.step.need);
        let by_spread = match demand.step.per_server_max {
            0 => u32::MAX,
            most => {
                let server = &self.candidates[position].entry.id;
                most.saturating_sub(demand.same_step_tasks.get(server).copied().unwrap_or(0))
            }
        };
        u32::try_from(by_resources)
            .unwrap_or(u32::MAX)
            .min(by_spread)
            .min(demand.count)
    }

    /// Ways to place the unit in `group`: of a gang, also on servers of like speed alone, since the
    /// slowest of them sets the pace of all.
    fn candidate_assignments(&self, group: &[usize], demand: &Demand<'_>) -> Vec<Assignment> {
        let mut assignments: Vec<Assignment> = self.assign(group, demand).into_iter().collect();
        if !demand.step.is_gang || demand.count == 1 {
            return assignments;
        }
        let speed = |position: usize| self.candidates[position].speed_ratio;
        let (slow, fast): (Vec<usize>, Vec<usize>) = group
            .iter()
            .partition(|&&position| speed(position) < SLOW_CLASS_SPEED_RATIO);
        assignments.extend(self.assign(&slow, demand));
        assignments.extend(self.assign(&fast, demand));
        assignments
    }

    /// Servers of `group` for each task, filling those first that serve best.
    fn assign(&self, group: &[usize], demand: &Demand<'_>) -> Option<Assignment> {
        self.assign_with_free(group, demand, |position| self.candidates[position].free)
    }

    /// As if `free` were free on each server.
    pub fn assign_with_free(
        &self,
        group: &[usize],
        demand: &Demand<'_>,
        free_at: impl Fn(usize) -> job::Resources,
    ) -> Option<Assignment> {
        let mut order: Vec<(f64, usize, u32)> = Vec::with_capacity(group.len());
        let mut total: u64 = 0;
        for &position in group {
            let free = free_at(position);
            let tasks = self.tasks_that_fit(&free, position, demand);
            if tasks > 0 {
                total += u64::from(tasks);
                order.push((self.server_cost(position, &free, demand), position, tasks));
            }
        }
        if total < u64::from(demand.count) {
            return None;
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut assignment = Assignment::with_capacity(demand.count as usize);
        for (_, position, tasks) in order {
            let left = demand.count as usize - assignment.len();
            assignment.extend(std::iter::repeat_n(position, left.min(tasks as usize)));
        }
        Some(assignment)
    }

    /// How badly a server serves a task: suspects last, then by speed, then the fullest first.
    fn server_cost(&self, position: usize, free: &job::Resources, demand: &Demand<'_>) -> f64 {
        let candidate = &self.candidates[position];
        let suspect_cost = if candidate.is_suspect { 1_000.0 } else { 0.0 };
        let speed_cost = match demand.prefers_fast {
            true => 0.0,
            // Work with time to spare leaves the fast servers to the urgent.
            false => FAST_SERVER_COST * candidate.speed_ratio.min(2.0),
        };
        let idle = free
            .accelerators
            .saturating_sub(demand.step.need.accelerators);
        suspect_cost + speed_cost + idle as f64
    }

    /// What a choice costs: how badly its worst server serves, and how long it holds the others.
    fn assignment_cost(&self, assignment: &Assignment, demand: &Demand<'_>) -> f64 {
        let worst_server_cost = assignment
            .iter()
            .map(|&position| self.server_cost(position, &self.candidates[position].free, demand))
            .fold(0.0, f64::max);
        let speeds = || assignment.iter().map(|&at| self.candidates[at].speed_ratio);
        let slowest = speeds().fold(f64::INFINITY, f64::min);
        let idle_ratio: f64 = speeds().map(|speed| speed / slowest - 1.0).sum();
        let mixed_speed_cost = idle_ratio * demand.step.need.accelerators.max(1) as f64;
        let slow_cost = match demand.prefers_fast {
            true => demand.step.need.accelerators as f64 / slowest,
            false => 0.0,
        };
        worst_server_cost + mixed_speed_cost + slow_cost
    }
}
