//! Which backend servers a unit of tasks fits on, and which of them serve it best.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::{fleet, id, job};

/// Speeds within this ratio of each other count as the same for a gang.
const SAME_SPEED_RATIO: f64 = 0.78;

/// What leaving a fast server idle for urgent work is worth against packing, for each unit of
/// speed, in accelerators.
const FAST_SERVER_COST: f64 = 4.0;

/// What is free on one backend server.
#[derive(Clone, Debug)]
pub struct Slot {
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

impl Demand<'_> {
    /// Whether the unit is a gang that is slower on several racks.
    fn wants_rack(&self) -> bool {
        self.step.is_gang && self.step.wants_one_rack && self.count > 1
    }
}

/// How often `need` fits into `room`; what needs nothing fits without end.
fn times(room: &job::Resources, need: &job::Resources) -> u64 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(UNBOUNDED_FIT);
    ratio(room.cpu_millicores, need.cpu_millicores)
        .min(ratio(room.memory_mb, need.memory_mb))
        .min(ratio(room.accelerators, need.accelerators))
}

/// Tasks that fit where they need nothing of a kind; more than a job may have.
const UNBOUNDED_FIT: u64 = job::TASKS_MAX as u64;

/// How often a task of one shape fits on the board.
#[derive(Clone, Debug)]
struct ShapeFit {
    need: job::Resources,
    service: id::ServiceName,
    /// On all servers together, as they are.
    total: u64,
    /// On the rack that has most room now.
    widest_rack: u64,
    /// On the rack that has most room when all are empty.
    widest_empty_rack: u64,
}

/// The servers of one decision.
#[derive(Clone, Debug, Default)]
pub struct Board {
    slots: Vec<Slot>,
    places: BTreeMap<id::BackendServerId, usize>,
    /// Number of each slot's rack.
    racks: Vec<usize>,
    rack_count: usize,
    /// Fits that were worked out since something was last taken or given back.
    shapes: Vec<ShapeFit>,
}

/// The chosen server of each task, by its place on the board.
pub type Choice = Vec<usize>;

impl Board {
    /// A board of the servers that take work.
    pub fn new(slots: Vec<Slot>) -> Self {
        let mut numbers: BTreeMap<Option<&Arc<str>>, usize> = BTreeMap::new();
        let mut racks = Vec::with_capacity(slots.len());
        for slot in &slots {
            let next = numbers.len();
            racks.push(*numbers.entry(slot.entry.rack()).or_insert(next));
        }
        let rack_count = numbers.len();
        let ids = slots.iter().map(|slot| slot.entry.id.clone());
        Self {
            places: ids.zip(0..).collect(),
            racks,
            rack_count,
            shapes: Vec::new(),
            slots,
        }
    }

    /// The servers, by place.
    pub fn slots(&self) -> &[Slot] {
        &self.slots
    }

    /// What is free on each server, by place.
    pub fn free(&self) -> Vec<job::Resources> {
        self.slots.iter().map(|slot| slot.free).collect()
    }

    /// Takes `need` off the server at `place`.
    pub fn take(&mut self, place: usize, need: &job::Resources) {
        let slot = &mut self.slots[place];
        slot.free = slot.free.minus(need);
        self.shapes.clear();
    }

    /// Gives `need` back to the server at `place`.
    pub fn give(&mut self, place: usize, need: &job::Resources) {
        let slot = &mut self.slots[place];
        slot.free = slot.free.plus(need);
        self.shapes.clear();
    }

    /// The place of a server.
    pub fn place_of(&self, server: &id::BackendServerId) -> Option<usize> {
        self.places.get(server).copied()
    }

    /// The best servers for `demand`, if it fits.
    pub fn choose(&mut self, demand: &Demand<'_>) -> Option<Choice> {
        if !self.may_fit(demand) {
            return None;
        }
        let groups = self.groups(demand);
        groups
            .into_iter()
            .flat_map(|group| self.fits(&group, demand))
            .map(|choice| (self.cost(&choice, demand), choice))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, choice)| choice)
    }

    /// A quick look at whether `demand` may fit: false is sure.
    fn may_fit(&mut self, demand: &Demand<'_>) -> bool {
        let fit = self.shape_fit(demand);
        let is_wide = |most: u64| most >= u64::from(demand.count);
        let stays_in_rack = demand.wants_rack()
            && !demand.may_spread
            && demand.step.required_label.is_none()
            && is_wide(fit.widest_empty_rack);
        is_wide(fit.total) && (!stays_in_rack || is_wide(fit.widest_rack))
    }

    fn shape_fit(&mut self, demand: &Demand<'_>) -> ShapeFit {
        let need = &demand.step.need;
        let known = self
            .shapes
            .iter()
            .find(|fit| &fit.need == need && &fit.service == demand.service);
        if let Some(known) = known {
            return known.clone();
        }
        let mut total = 0;
        let mut racks = vec![(0, 0); self.rack_count];
        for (place, slot) in self.slots.iter().enumerate() {
            if &slot.entry.service == demand.service {
                let fits = times(&slot.free, need);
                let rack = &mut racks[self.racks[place]];
                total += fits;
                rack.0 += fits;
                rack.1 += times(&slot.entry.capacity, need);
            }
        }
        let fit = ShapeFit {
            need: *need,
            service: demand.service.clone(),
            total,
            widest_rack: racks.iter().map(|rack| rack.0).max().unwrap_or(0),
            widest_empty_rack: racks.iter().map(|rack| rack.1).max().unwrap_or(0),
        };
        self.shapes.push(fit.clone());
        fit
    }

    /// Sets of servers within which a unit can be placed: racks where that matters, else all. No
    /// server is in two of them.
    pub fn groups(&self, demand: &Demand<'_>) -> Vec<Vec<usize>> {
        let allowed: Vec<usize> = (0..self.slots.len())
            .filter(|&place| self.is_allowed(place, demand))
            .collect();
        let near: Vec<usize> = match &demand.step.data_rack {
            Some(rack) => {
                let is_near = |place: &usize| self.slots[*place].entry.rack() == Some(rack);
                allowed.iter().copied().filter(is_near).collect()
            }
            None => Vec::new(),
        };
        let allowed = match near.is_empty() {
            true => allowed,
            false => near,
        };
        if !demand.wants_rack() || demand.may_spread {
            return vec![allowed];
        }
        let mut racks: Vec<Vec<usize>> = vec![Vec::new(); self.rack_count];
        for &place in &allowed {
            racks[self.racks[place]].push(place);
        }
        racks.retain(|group| self.could_hold(group, demand));
        match racks.is_empty() {
            true => vec![allowed],
            false => racks,
        }
    }

    fn is_allowed(&self, place: usize, demand: &Demand<'_>) -> bool {
        let slot = &self.slots[place];
        let has_label = match &demand.step.required_label {
            Some(label) => slot.entry.labels.contains(label),
            None => true,
        };
        &slot.entry.service == demand.service
            && has_label
            && slot.speed_ratio >= demand.speed_min_ratio
            && !demand.avoided.contains(&slot.entry.id)
    }

    /// Whether the servers of `group`, all empty, would hold the unit.
    fn could_hold(&self, group: &[usize], demand: &Demand<'_>) -> bool {
        let each = group
            .iter()
            .map(|&place| self.tasks_that_fit(&self.slots[place].entry.capacity, place, demand));
        each.sum::<u32>() >= demand.count
    }

    /// How many tasks of `demand` the server at `place` takes if `room` is free there.
    pub fn tasks_that_fit(&self, room: &job::Resources, place: usize, demand: &Demand<'_>) -> u32 {
        let by_resources = times(room, &demand.step.need);
        let by_spread = match demand.step.per_server_max {
            0 => u32::MAX,
            most => {
                let server = &self.slots[place].entry.id;
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
    fn fit(&self, group: &[usize], demand: &Demand<'_>) -> Option<Choice> {
        self.fit_into(group, demand, |place| self.slots[place].free)
    }

    /// As if `free` were free on each server.
    pub fn fit_into(
        &self,
        group: &[usize],
        demand: &Demand<'_>,
        free: impl Fn(usize) -> job::Resources,
    ) -> Option<Choice> {
        let mut order: Vec<(f64, usize, u32)> = Vec::with_capacity(group.len());
        let mut total: u64 = 0;
        for &place in group {
            let room = free(place);
            let tasks = self.tasks_that_fit(&room, place, demand);
            if tasks > 0 {
                total += u64::from(tasks);
                order.push((self.slot_cost(place, &room, demand), place, tasks));
            }
        }
        if total < u64::from(demand.count) {
            return None;
        }
        order.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut choice = Choice::with_capacity(demand.count as usize);
        for (_, place, tasks) in order {
            let left = demand.count as usize - choice.len();
            choice.extend(std::iter::repeat_n(place, left.min(tasks as usize)));
        }
        Some(choice)
    }

    /// How badly a server serves a task: suspects last, then by speed, then the fullest first.
    fn slot_cost(&self, place: usize, free: &job::Resources, demand: &Demand<'_>) -> f64 {
        let slot = &self.slots[place];
        let suspect = if slot.is_suspect { 1_000.0 } else { 0.0 };
        let speed = match demand.takes_fast {
            true => 0.0,
            // Work with time to spare leaves the fast servers to the urgent.
            false => FAST_SERVER_COST * slot.speed_ratio.min(2.0),
        };
        let left = free
            .accelerators
            .saturating_sub(demand.step.need.accelerators);
        suspect + speed + left as f64
    }

    /// What a choice costs: how badly its worst server serves, and how long it holds the others.
    fn cost(&self, choice: &Choice, demand: &Demand<'_>) -> f64 {
        let worst = choice
            .iter()
            .map(|&place| self.slot_cost(place, &self.slots[place].free, demand))
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
