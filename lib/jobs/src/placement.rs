//! Which backend servers a unit of tasks fits on, and which of them serve it best.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::{id, job};

/// Speeds within this ratio of each other count as the same for a gang.
const SAME_SPEED_RATIO: f64 = 0.78;

/// What leaving a fast server idle for urgent work is worth against packing, for each unit of
/// speed, in accelerators.
const FAST_SERVER_COST: f64 = 4.0;

/// What is free on one backend server.
#[derive(Clone, Debug)]
pub struct Slot {
    /// The server.
    pub server: id::BackendServerId,
    /// Its service.
    pub service: id::ServiceName,
    /// Its labels.
    pub labels: Vec<Arc<str>>,
    /// Its rack.
    pub rack: Option<Arc<str>>,
    /// All that it has.
    pub capacity: job::Resources,
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
    pub takes_fast: bool,
    /// Slowest speed, relative to the median, that it takes.
    pub speed_min_ratio: f64,
    /// Servers on which the job has failed.
    pub avoided: BTreeSet<id::BackendServerId>,
    /// Tasks of the same step that each server has already.
    pub present: BTreeMap<id::BackendServerId, u32>,
    /// Whether it may be spread over racks although it is slower then.
    pub may_spread: bool,
}

/// The servers of one decision.
#[derive(Clone, Debug, Default)]
pub struct Board {
    /// The servers that take work.
    pub slots: Vec<Slot>,
}

/// The chosen server of each task, by its place on the board.
pub type Choice = Vec<usize>;

impl Board {
    /// Takes `need` off the server at `place`.
    pub fn take(&mut self, place: usize, need: &job::Resources) {
        let slot = &mut self.slots[place];
        slot.free = slot.free.minus(need);
    }

    /// The place of a server.
    pub fn place_of(&self, server: &id::BackendServerId) -> Option<usize> {
        self.slots.iter().position(|slot| &slot.server == server)
    }

    /// The best servers for `demand`, if it fits.
    pub fn choose(&self, demand: &Demand<'_>) -> Option<Choice> {
        let groups = self.groups(demand);
        groups
            .into_iter()
            .flat_map(|group| self.fits(&group, demand))
            .min_by(|a, b| {
                let (a, b) = (self.cost(a, demand), self.cost(b, demand));
                a.total_cmp(&b)
            })
    }

    /// Sets of servers within which a unit can be placed: racks where that matters, else all.
    pub fn groups(&self, demand: &Demand<'_>) -> Vec<Vec<usize>> {
        let allowed: Vec<usize> = (0..self.slots.len())
            .filter(|&place| self.is_allowed(place, demand))
            .collect();
        let near: Vec<usize> = match &demand.step.data_rack {
            Some(rack) => {
                let is_near = |place: &usize| self.slots[*place].rack.as_ref() == Some(rack);
                allowed.iter().copied().filter(is_near).collect()
            }
            None => Vec::new(),
        };
        let allowed = match near.is_empty() {
            true => allowed,
            false => near,
        };
        let wants_rack = demand.step.is_gang && demand.step.wants_one_rack && demand.count > 1;
        if !wants_rack {
            return vec![allowed];
        }
        let mut racks: BTreeMap<Option<&Arc<str>>, Vec<usize>> = BTreeMap::new();
        for &place in &allowed {
            racks
                .entry(self.slots[place].rack.as_ref())
                .or_default()
                .push(place);
        }
        let wide_enough: Vec<Vec<usize>> = racks
            .into_values()
            .filter(|group| self.could_hold(group, demand))
            .collect();
        match wide_enough.is_empty() || demand.may_spread {
            true => vec![allowed],
            false => wide_enough,
        }
    }

    fn is_allowed(&self, place: usize, demand: &Demand<'_>) -> bool {
        let slot = &self.slots[place];
        let has_label = match &demand.step.required_label {
            Some(label) => slot.labels.contains(label),
            None => true,
        };
        &slot.service == demand.service
            && has_label
            && slot.speed_ratio >= demand.speed_min_ratio
            && !demand.avoided.contains(&slot.server)
    }

    /// Whether the servers of `group`, all empty, would hold the unit.
    fn could_hold(&self, group: &[usize], demand: &Demand<'_>) -> bool {
        let each = group
            .iter()
            .map(|&place| self.tasks_that_fit(&self.slots[place].capacity, place, demand));
        each.sum::<u32>() >= demand.count
    }

    fn tasks_that_fit(&self, room: &job::Resources, place: usize, demand: &Demand<'_>) -> u32 {
        let need = &demand.step.need;
        let ratio = |have: u64, need: u64| match need {
            0 => u64::from(demand.count),
            need => have / need,
        };
        let by_resources = ratio(room.cpu_millicores, need.cpu_millicores)
            .min(ratio(room.memory_mb, need.memory_mb))
            .min(ratio(room.accelerators, need.accelerators));
        let by_spread = match demand.step.per_server_max {
            0 => u32::MAX,
            most => {
                let server = &self.slots[place].server;
                most.saturating_sub(demand.present.get(server).copied().unwrap_or(0))
            }
        };
        u32::try_from(by_resources)
            .unwrap_or(u32::MAX)
            .min(by_spread)
            .min(demand.count)
    }

    /// Ways to place the unit in `group`: of a gang, also on servers of like speed alone, since the
    /// slowest of them sets the pace of all.
    fn fits(&self, group: &[usize], demand: &Demand<'_>) -> Vec<Choice> {
        let mut choices: Vec<Choice> = self.fit(group, demand).into_iter().collect();
        if !demand.step.is_gang || demand.count == 1 {
            return choices;
        }
        let speed = |place: usize| self.slots[place].speed_ratio;
        let (slow, fast): (Vec<usize>, Vec<usize>) = group
            .iter()
            .partition(|&&place| speed(place) < SAME_SPEED_RATIO);
        choices.extend(self.fit(&slow, demand));
        choices.extend(self.fit(&fast, demand));
        choices
    }

    /// Servers of `group` for each task, filling those first that serve best.
    pub fn fit(&self, group: &[usize], demand: &Demand<'_>) -> Option<Choice> {
        let mut order: Vec<(usize, u32)> = group
            .iter()
            .map(|&place| {
                (
                    place,
                    self.tasks_that_fit(&self.slots[place].free, place, demand),
                )
            })
            .filter(|&(_, tasks)| tasks > 0)
            .collect();
        let mut total: u32 = 0;
        for (_, tasks) in &order {
            total = total.saturating_add(*tasks);
        }
        if total < demand.count {
            return None;
        }
        order.sort_by(|a, b| {
            let (a, b) = (self.slot_cost(a.0, demand), self.slot_cost(b.0, demand));
            a.total_cmp(&b)
        });
        let mut choice = Choice::with_capacity(demand.count as usize);
        for (place, tasks) in order {
            let left = demand.count as usize - choice.len();
            choice.extend(std::iter::repeat_n(place, left.min(tasks as usize)));
        }
        (choice.len() == demand.count as usize).then_some(choice)
    }

    /// How badly a server serves a task: suspects last, then by speed, then the fullest first.
    fn slot_cost(&self, place: usize, demand: &Demand<'_>) -> f64 {
        let slot = &self.slots[place];
        let suspect = if slot.is_suspect { 1_000.0 } else { 0.0 };
        let speed = match demand.takes_fast {
            true => 0.0,
            // Work with time to spare leaves the fast servers to the urgent.
            false => FAST_SERVER_COST * slot.speed_ratio.min(2.0),
        };
        let left = slot
            .free
            .accelerators
            .saturating_sub(demand.step.need.accelerators);
        suspect + speed + left as f64
    }

    /// What a choice costs: how badly its worst server serves, and how long it holds the others.
    fn cost(&self, choice: &Choice, demand: &Demand<'_>) -> f64 {
        let worst = choice
            .iter()
            .map(|&place| self.slot_cost(place, demand))
            .fold(0.0, f64::max);
        let speeds = || choice.iter().map(|&place| self.slots[place].speed_ratio);
        let slowest = speeds().fold(f64::INFINITY, f64::min);
        let held_for_nothing: f64 = speeds().map(|speed| speed / slowest - 1.0).sum();
        let mixed = held_for_nothing * demand.step.need.accelerators.max(1) as f64;
        let slow = match demand.takes_fast {
            true => demand.step.need.accelerators as f64 / slowest,
            false => 0.0,
        };
        worst + mixed + slow
    }
}
