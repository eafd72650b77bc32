//! Placement: which backend servers a unit of tasks fits on, and which of them cost least.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use camphorbeam_model::{fleet, id, job};

use crate::fit_index::{self, FitIndex};
use crate::{advice, soundness};

/// Number of failed searches that a snapshot keeps, so that a look-up stays cheaper than a search.
const FAILED_SEARCHES_MAX: usize = 256;

/// Speed, relative to the median, below which a server belongs to the slow class.
const SLOW_CLASS_SPEED_RATIO: f64 = 0.78;

/// Speed, relative to the median, from which on a server belongs to the fast class.
const FAST_CLASS_SPEED_RATIO: f64 = 1.4;

/// Cost per unit of a server's relative speed of placing work there that doesn't prefer fast
/// servers. Expressed in idle accelerators, so that it can be weighed against dense packing.
const FAST_SERVER_COST: f64 = 10.0;

/// Cost, in idle accelerators, of a server of median speed for an urgent task that prefers fast
/// servers; on others it is divided by their relative speed. Above the cost of racks: an urgent job
/// can wait for a preemption and still be in time if it then runs on fast servers.
const URGENT_SLOWNESS_COST: f64 = 60.0;

/// The part of that cost that grows with the accelerators of the task, for each.
const URGENT_ACCELERATOR_SLOWNESS_COST: f64 = 4.0;

/// Cost, in idle accelerators, of the rack that is farthest from the end from which a unit's kind
/// of work is placed: urgent work from the first rack, other work from the last one. Keeps them
/// apart, so that urgent gangs find whole servers in one rack without preempting other work.
const RACK_ORDER_COST: f64 = 16.0;

/// Cost, in idle accelerators, of a proven server for work that leaves those to last attempts.
/// Above the other costs, and below that of a suspect server.
const PROVEN_SERVER_COST: f64 = 100.0;

/// Cost, in idle accelerators, of a server near the target of a serving task, for fillers. Above
/// the costs of racks and of busy servers, and below that of a suspect server.
const NEAR_TARGET_COST: f64 = 200.0;

/// Cost, in idle accelerators, for fillers: once for a server without idle processors, and once for
/// one without free memory. As high as the cost of racks, since fillers on one server slow one
/// another.
const BUSY_SERVER_COST: f64 = 16.0;

/// Number of searches whose groups a snapshot keeps; each takes 8 bytes for each server.
const KNOWN_GROUPS_MAX: usize = 16;

/// Number of servers for which room is reserved in the list of a rack.
const RACK_SERVERS_EXPECTED: usize = 24;

/// A backend server on which units can be placed.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The server's registration.
    pub entry: Arc<fleet::ServerEntry>,
    /// Resources that are free. Claims are deducted when `place_claims` allocates them.
    pub free: job::Resources,
    /// Speed relative to the median of all servers.
    pub speed_ratio: f64,
    /// Whether a failure counts against the server.
    pub is_suspect: bool,
    /// Whether the server has run a task since the current wave of failures began.
    pub is_proven: bool,
}

/// The requirements of a unit.
#[derive(Clone, Debug)]
pub struct Demand<'a> {
    /// The step that the unit belongs to.
    pub step: &'a job::StepSpec,
    /// The service whose servers may run the unit.
    pub service: &'a id::ServiceName,
    /// Number of tasks.
    pub count: u32,
    /// Whether fast servers are preferred; otherwise they are left to other work.
    pub prefers_fast: bool,
    /// Lowest acceptable speed, relative to the median.
    pub speed_min_ratio: f64,
    /// Servers to avoid because the job has failed on them.
    pub excluded: BTreeSet<id::BackendServerId>,
    /// Whether proven servers are required or left to others.
    pub soundness: soundness::Need,
    /// Number of tasks of the same step that each server already runs.
    pub same_step_tasks: BTreeMap<id::BackendServerId, u32>,
    /// Whether a gang that prefers one rack may be placed across racks, where it runs slower.
    pub may_span_racks: bool,
    /// Whether the unit is urgent work.
    pub is_urgent: bool,
    /// Whether the unit may be placed on servers that are kept for urgent work.
    pub may_use_kept: bool,
    /// Cost of servers because of tasks there that slow down the unit's tasks or are slowed down by
    /// them.
    pub interference_costs: BTreeMap<id::BackendServerId, f64>,
    /// What is known about the servers if the unit needs advice.
    pub advice: Option<Arc<advice::AdvisedServers>>,
}

impl Demand<'_> {
    /// Whether the unit is a gang that runs slower across several racks. Such a gang is placed
    /// within one rack unless `may_span_racks` is set or no rack is large enough.
    fn prefers_one_rack(&self) -> bool {
        self.step.is_gang && self.step.prefers_one_rack && self.count > 1
    }

    fn interference_cost(&self, server: &id::BackendServerId) -> f64 {
        self.interference_costs.get(server).copied().unwrap_or(0.0)
    }
}

/// How many times `need` fits into `free`. A resource of which nothing is needed allows
/// [`UNBOUNDED_FIT`].
pub(crate) fn fit_count(free: &job::Resources, need: &job::Resources) -> u64 {
    let ratio = |have: u64, need: u64| have.checked_div(need).unwrap_or(UNBOUNDED_FIT);
    ratio(free.cpu_millicores, need.cpu_millicores)
        .min(ratio(free.memory_mb, need.memory_mb))
        .min(ratio(free.accelerators, need.accelerators))
}

/// Number of tasks that a resource allows if they need none of it. No job has more tasks.
const UNBOUNDED_FIT: u64 = job::TASKS_MAX as u64;

/// Numbers in place of the names by which servers are grouped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerNumbers {
    /// Position of the service among all services, by name.
    pub service: usize,
    /// Position of the rack among all racks, by name.
    pub rack: usize,
}

/// The numbers of `entries`, in their order, and the names of the services by number.
pub fn number_servers<'a>(
    entries: impl Iterator<Item = &'a fleet::ServerEntry> + Clone,
) -> (Vec<ServerNumbers>, Arc<[id::ServiceName]>) {
    let services: BTreeSet<&id::ServiceName> =
        entries.clone().map(|entry| &entry.service).collect();
    let racks: BTreeSet<Option<&Arc<str>>> = entries.clone().map(|entry| entry.rack()).collect();
    let names = services.iter().map(|service| (*service).clone()).collect();
    let services: BTreeMap<_, usize> = services.into_iter().zip(0..).collect();
    let racks: BTreeMap<_, usize> = racks.into_iter().zip(0..).collect();
    let numbers = entries.map(|entry| ServerNumbers {
        service: services[&entry.service],
        rack: racks[&entry.rack()],
    });
    (numbers.collect(), names)
}

/// The servers that can take work in one decision, and what is free on each. A decision updates its
/// snapshot as it allocates resources.
#[derive(Clone, Debug, Default)]
pub struct CapacitySnapshot {
    /// In the order of the servers' ids.
    candidates: Vec<Candidate>,
    services: Arc<[id::ServiceName]>,
    /// The number of each candidate's service.
    service_of: Vec<usize>,
    /// The number of each candidate's rack among the racks of all candidates, in the order of their
    /// names.
    rack_of: Vec<usize>,
    rack_count: usize,
    /// Whether each candidate is kept for urgent work.
    is_kept: Vec<bool>,
    /// Candidates that fillers avoid, since a serving task there is near its target.
    near_target: BTreeSet<usize>,
    fit_index: FitIndex,
    /// The speeds of all candidates, in ascending order.
    speed_ratios: Vec<f64>,
    /// Searches that found no assignment. Until resources are released, equal ones need not be
    /// repeated.
    failed_searches: Vec<SearchClass>,
    /// The groups of the newest searches, which don't depend on what is free.
    known_groups: Vec<(SearchClass, Arc<[Vec<usize>]>)>,
}

/// What a search depends on besides the free resources.
#[derive(Clone, Debug, PartialEq)]
struct SearchClass {
    need: job::Resources,
    service: usize,
    count: u32,
    /// Number of candidates that are too slow. In place of the lowest speed, which differs between
    /// jobs with the same needs.
    too_slow: usize,
    may_use_kept: bool,
    prefers_one_rack: bool,
    requires_proven: bool,
}

/// The server of each task of a unit, by position in the snapshot.
pub type Assignment = Vec<usize>;

impl CapacitySnapshot {
    /// Creates a snapshot of the servers that can take work. `candidates` are in the order of their
    /// ids.
    pub fn new(candidates: Vec<Candidate>) -> Self {
        let entries = candidates.iter().map(|candidate| &*candidate.entry);
        let (numbers, services) = number_servers(entries);
        Self::with_numbers(candidates, &numbers, services)
    }

    /// Like `new`, with the numbers of each candidate, which may come from a larger set of servers,
    /// and the names of the services.
    pub fn with_numbers(
        candidates: Vec<Candidate>,
        numbers: &[ServerNumbers],
        services: Arc<[id::ServiceName]>,
    ) -> Self {
        // The cost of a rack depends on its position among the racks of the candidates.
        let racks = numbers.iter().map(|numbers| numbers.rack + 1).max();
        let mut rack_numbers = vec![0; racks.unwrap_or(0)];
        for numbers in numbers {
            rack_numbers[numbers.rack] = 1;
        }
        let speeds = candidates.iter().map(|candidate| candidate.speed_ratio);
        let mut speed_ratios: Vec<f64> = speeds.collect();
        speed_ratios.sort_unstable_by(f64::total_cmp);
        let mut rack_count = 0;
        for number in &mut rack_numbers {
            let is_present = std::mem::replace(number, rack_count);
            rack_count += is_present;
        }
        Self {
            services,
            service_of: numbers.iter().map(|numbers| numbers.service).collect(),
            rack_of: numbers
                .iter()
                .map(|numbers| rack_numbers[numbers.rack])
                .collect(),
            rack_count,
            is_kept: vec![false; candidates.len()],
            near_target: BTreeSet::new(),
            fit_index: FitIndex::default(),
            speed_ratios,
            failed_searches: Vec::new(),
            known_groups: Vec::new(),
            candidates,
        }
    }

    /// The number of a service; `None` if no server is of this service.
    fn service_number(&self, service: &id::ServiceName) -> Option<usize> {
        self.services.iter().position(|known| known == service)
    }

    /// The sum of the capacity, and of the free resources, of the servers of `service`.
    pub fn service_resources(&self, service: &id::ServiceName) -> (job::Resources, job::Resources) {
        let (mut capacity, mut free) = (job::Resources::default(), job::Resources::default());
        let number = self.service_number(service);
        for (candidate, service) in self.candidates.iter().zip(&self.service_of) {
            if Some(*service) == number {
                capacity = capacity.plus(&candidate.entry.capacity);
                free = free.plus(&candidate.free);
            }
        }
        (capacity, free)
    }

    /// Keeps servers of `service` with at least `accelerators` for urgent work: those of the fast
    /// class first, then those of the first racks, and none of the slow class.
    pub fn keep_for_urgent(&mut self, service: &id::ServiceName, accelerators: u64) {
        let service = self.service_number(service);
        let mut positions: Vec<usize> = (0..self.candidates.len())
            .filter(|&position| {
                let candidate = &self.candidates[position];
                Some(self.service_of[position]) == service
                    && candidate.speed_ratio >= SLOW_CLASS_SPEED_RATIO
            })
            .collect();
        let is_fast =
            |position: usize| self.candidates[position].speed_ratio >= FAST_CLASS_SPEED_RATIO;
        positions.sort_by_key(|&position| (!is_fast(position), self.rack_of[position]));
        let mut kept = 0;
        for position in positions {
            if kept >= accelerators {
                break;
            }
            let capacity = &self.candidates[position].entry.capacity;
            kept = u64::saturating_add(kept, capacity.accelerators);
            self.is_kept[position] = true;
        }
        self.fit_index = FitIndex::default();
        self.failed_searches.clear();
        self.known_groups.clear();
    }

    /// Lets fillers avoid `servers`, where a serving task is near its target.
    pub fn mark_near_target(&mut self, servers: &[&id::BackendServerId]) {
        let positions = servers.iter().filter_map(|server| self.position_of(server));
        self.near_target = positions.collect();
    }

    /// Whether the server at `position` is kept for urgent work.
    pub fn is_kept(&self, position: usize) -> bool {
        self.is_kept[position]
    }

    /// The servers, by position.
    pub fn candidates(&self) -> &[Candidate] {
        &self.candidates
    }

    /// The ids of the servers of `assignment`.
    pub fn server_ids(&self, assignment: &[usize]) -> Vec<id::BackendServerId> {
        let ids = assignment.iter();
        ids.map(|&position| self.candidates[position].entry.id.clone())
            .collect()
    }

    /// The free resources of each server, by position.
    pub fn free(&self) -> Vec<job::Resources> {
        self.candidates
            .iter()
            .map(|candidate| candidate.free)
            .collect()
    }

    /// Allocates `need` on the server at `position`.
    pub fn allocate(&mut self, position: usize, need: &job::Resources) {
        let candidate = &mut self.candidates[position];
        candidate.free = candidate.free.minus(need);
        self.fit_index.note_change(position);
    }

    /// Lets nothing more be placed on the server at `position`.
    pub fn close(&mut self, position: usize) {
        let free = self.candidates[position].free;
        self.allocate(position, &free);
    }

    /// Releases `need` on the server at `position`.
    pub fn release(&mut self, position: usize, need: &job::Resources) {
        let candidate = &mut self.candidates[position];
        candidate.free = candidate.free.plus(need);
        self.fit_index.note_change(position);
        self.failed_searches.clear();
    }

    /// The position of a server; `None` if it can't take work.
    pub fn position_of(&self, server: &id::BackendServerId) -> Option<usize> {
        let by_id = |candidate: &Candidate| candidate.entry.id.cmp(server);
        self.candidates.binary_search_by(by_id).ok()
    }

    /// The assignment for `demand` that costs least; `None` if it doesn't fit.
    pub fn choose(&mut self, demand: &Demand<'_>) -> Option<Assignment> {
        if !self.may_fit(demand) {
            return None;
        }
        let class = self.search_class(demand);
        let has_failed = |class: &SearchClass| self.failed_searches.contains(class);
        if class.as_ref().is_some_and(has_failed) {
            return None;
        }
        let assignment = self.search(demand);
        match (&assignment, class) {
            (None, Some(class)) if self.failed_searches.len() < FAILED_SEARCHES_MAX => {
                self.failed_searches.push(class);
            }
            _ => {}
        }
        assignment
    }

    /// The class of a search; `None` for demands that few others equal.
    fn search_class(&self, demand: &Demand<'_>) -> Option<SearchClass> {
        let step = demand.step;
        let is_plain = demand.excluded.is_empty()
            && step.required_label.is_none()
            && step.data_rack.is_none()
            && step.tasks_per_server_max == 0
            && demand.advice.is_none();
        let is_too_slow = |speed_ratio: &f64| *speed_ratio < demand.speed_min_ratio;
        is_plain.then(|| SearchClass {
            need: step.counted_need(),
            service: self.service_number(demand.service).unwrap_or(usize::MAX),
            count: demand.count,
            too_slow: self.speed_ratios.partition_point(is_too_slow),
            may_use_kept: demand.may_use_kept,
            prefers_one_rack: demand.prefers_one_rack() && !demand.may_span_racks,
            requires_proven: demand.soundness == soundness::Need::Proven,
        })
    }

    /// Like `groups`, but remembers the groups of the newest searches.
    fn shared_groups(&mut self, demand: &Demand<'_>) -> Arc<[Vec<usize>]> {
        let class = self.search_class(demand);
        let known = self
            .known_groups
            .iter()
            .find(|(known, _)| Some(known) == class.as_ref());
        if let Some((_, groups)) = known {
            return Arc::clone(groups);
        }
        let groups: Arc<[Vec<usize>]> = self.groups(demand).into();
        if let Some(class) = class {
            if self.known_groups.len() >= KNOWN_GROUPS_MAX {
                self.known_groups.remove(0);
            }
            self.known_groups.push((class, Arc::clone(&groups)));
        }
        groups
    }

    /// Searches the groups in the order of the lower bounds of their costs, until no other group
    /// can cost less. Among equal costs, the first group is chosen.
    fn search(&mut self, demand: &Demand<'_>) -> Option<Assignment> {
        let all_groups = self.shared_groups(demand);
        let fits = self.fit_counts(demand)?;
        let (fits, this) = (&self.fit_index.counts(fits).free, &*self);
        let mut groups: Vec<(f64, usize, Vec<usize>)> = Vec::new();
        for (number, group) in all_groups.iter().enumerate() {
            let total: u64 = group.iter().map(|&at| u64::from(fits[at])).sum();
            if total >= u64::from(demand.count) {
                let has_room = |&at: &usize| fits[at] > 0;
                let group: Vec<usize> = group.iter().copied().filter(has_room).collect();
                let costs = group
                    .iter()
                    .map(|&at| this.server_cost(at, &this.candidates[at].free, demand));
                groups.push((costs.fold(f64::INFINITY, f64::min), number, group));
            }
        }
        groups.sort_by(|a, b| a.0.total_cmp(&b.0));
        let mut best: Option<(f64, usize, Assignment)> = None;
        for (cost_min, number, group) in groups {
            if best.as_ref().is_some_and(|best| best.0 < cost_min) {
                break;
            }
            for assignment in this.candidate_assignments(&group, demand) {
                let cost = this.assignment_cost(&assignment, demand);
                let is_better = best
                    .as_ref()
                    .is_none_or(|best| cost < best.0 || (cost == best.0 && number < best.1));
                if is_better {
                    best = Some((cost, number, assignment));
                }
            }
        }
        best.map(|(_, _, assignment)| assignment)
    }

    /// Servers for up to `units` units of one task each, as `choose` would choose them one after
    /// the other. Fewer if not all fit. Allocates nothing.
    pub fn choose_each(&mut self, demand: &Demand<'_>, units: usize) -> Assignment {
        let mut assignment = Assignment::new();
        if !self.may_fit(demand) {
            return assignment;
        }
        let groups = self.shared_groups(demand);
        let Some(fits) = self.fit_counts(demand) else {
            return assignment;
        };
        let fits = &self.fit_index.counts(fits).free;
        let need = &demand.step.counted_need();
        let mut open: Vec<OpenServer> = Vec::with_capacity(self.candidates.len());
        for &position in groups.iter().flatten() {
            let tasks_left = self.server_limit(position, demand);
            if fits[position] > 0 && tasks_left > 0 {
                let free = self.candidates[position].free;
                let cost = self.server_cost(position, &free, demand);
                open.push(OpenServer {
                    cost,
                    position,
                    free,
                    tasks_left,
                });
            }
        }
        // Each unit takes at most one server that has none of the others.
        if units > 0 && units < open.len() {
            open.select_nth_unstable_by(units - 1, |a, b| b.cmp(a));
            open.truncate(units);
        }
        let mut open = BinaryHeap::from(open);
        while assignment.len() < units {
            let Some(mut server) = open.pop() else {
                break;
            };
            assignment.push(server.position);
            server.free = server.free.minus(need);
            server.tasks_left -= 1;
            if server.tasks_left > 0 && server.free.can_fit(need) {
                server.cost = self.server_cost(server.position, &server.free, demand);
                open.push(server);
            }
        }
        assignment
    }

    /// A cheap check before the search. It ignores labels, the data rack, excluded and slow servers
    /// and limits per server; not all racks may be large enough without these. It can therefore
    /// pass a demand that doesn't fit, and reject a gang that `groups` would let span racks.
    fn may_fit(&mut self, demand: &Demand<'_>) -> bool {
        let Some(fits) = self.fit_counts(demand) else {
            return false;
        };
        let fit = self.fit_index.counts(fits).totals(demand.may_use_kept);
        let is_enough = |count: u64| count >= u64::from(demand.count);
        let needs_one_rack = demand.prefers_one_rack()
            && !demand.may_span_racks
            && demand.step.required_label.is_none()
            && demand.advice.is_none()
            && demand.soundness != soundness::Need::Proven
            && is_enough(fit.empty_rack_max);
        is_enough(fit.total) && (!needs_one_rack || is_enough(fit.rack_max()))
    }

    /// Accepts servers of any speed above `speed_min_ratio`, or of any speed at all if the unit
    /// wouldn't fit on those even if nothing ran there: no new measurement would ever show that the
    /// others are faster by now.
    pub fn relax_speed(&self, demand: &mut Demand<'_>, speed_min_ratio: f64) {
        demand.speed_min_ratio = speed_min_ratio;
        let slowest = self.speed_ratios.first();
        if slowest.is_none_or(|slowest| *slowest >= speed_min_ratio) {
            return;
        }
        let groups = self.possible_groups(demand);
        let fits = groups.iter().flatten().map(|&position| {
            let capacity = &self.candidates[position].entry.capacity;
            u64::from(self.tasks_that_fit(capacity, position, demand))
        });
        if fits.sum::<u64>() < u64::from(demand.count) {
            demand.speed_min_ratio = 0.0;
        }
    }

    /// Lets a unit use the servers that are kept for urgent work if it would not fit on the others
    /// even if nothing ran there, or not in one rack although it prefers that.
    pub fn relax_kept(&mut self, demand: &mut Demand<'_>) {
        if demand.may_use_kept {
            return;
        }
        let Some(fits) = self.fit_counts(demand) else {
            return;
        };
        let fits = self.fit_index.counts(fits);
        let (outside, anywhere) = (fits.totals(false), fits.totals(true));
        let count = u64::from(demand.count);
        let wants_one_rack = demand.prefers_one_rack() && anywhere.empty_rack_max >= count;
        demand.may_use_kept = match wants_one_rack {
            true => outside.empty_rack_max < count,
            false => outside.empty_total < count,
        };
    }

    /// The position in the index of the fit counts for the needs of `demand`; `None` if there is no
    /// server of its service.
    fn fit_counts(&mut self, demand: &Demand<'_>) -> Option<usize> {
        let service = self.service_number(demand.service)?;
        let servers = fit_index::Servers {
            candidates: &self.candidates,
            service_of: &self.service_of,
            rack_of: &self.rack_of,
            rack_count: self.rack_count,
            is_kept: &self.is_kept,
        };
        let need = demand.step.counted_need();
        Some(self.fit_index.update(&servers, &need, service))
    }

    /// The groups of [`CapacitySnapshot::possible_groups`], without servers for which the unit
    /// needs a ticket and has none.
    pub fn groups(&self, demand: &Demand<'_>) -> Vec<Vec<usize>> {
        let advised = demand.advice.as_deref().map(|advice| &advice.ready);
        self.groups_within(demand, advised)
    }

    /// Like `groups`, with servers of which only the ticket has ended.
    pub fn claimable_groups(&self, demand: &Demand<'_>) -> Vec<Vec<usize>> {
        let advised = demand.advice.as_deref().map(|advice| &advice.good);
        self.groups_within(demand, advised)
    }

    fn groups_within(
        &self,
        demand: &Demand<'_>,
        advised: Option<&BTreeSet<id::BackendServerId>>,
    ) -> Vec<Vec<usize>> {
        let mut groups = self.possible_groups(demand);
        if let Some(advised) = advised {
            for group in &mut groups {
                group.retain(|&position| advised.contains(&self.candidates[position].entry.id));
            }
        }
        groups
    }

    /// The servers of `group` with room for tasks of `demand`, and for how many, in the order of
    /// their costs. Servers in use count as free with `counts_busy`.
    pub fn rank(
        &self,
        group: &[usize],
        demand: &Demand<'_>,
        counts_busy: bool,
    ) -> Vec<(usize, u64)> {
        let mut ranked: Vec<(f64, usize, u64)> = Vec::new();
        for &position in group {
            let candidate = &self.candidates[position];
            let room = match counts_busy {
                true => &candidate.entry.capacity,
                false => &candidate.free,
            };
            let limit = u64::from(self.server_limit(position, demand));
            let tasks = fit_count(room, &demand.step.counted_need()).min(limit);
            if tasks > 0 {
                let cost = self.server_cost(position, &candidate.free, demand);
                ranked.push((cost, position, tasks));
            }
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let without_cost = ranked.into_iter();
        without_cost
            .map(|(_, position, tasks)| (position, tasks))
            .collect()
    }

    /// Disjoint groups of servers; the unit has to be placed within one of them. A gang that
    /// prefers one rack and may not span racks gets one group for each rack that is large enough.
    /// If there is no such rack, and for all other units, there is a single group. If any allowed
    /// server is in the data rack, only the allowed servers in that rack are used. If the unit
    /// needs advice, all servers are allowed that may turn out to be good.
    pub fn possible_groups(&self, demand: &Demand<'_>) -> Vec<Vec<usize>> {
        let service = self.service_number(demand.service);
        let mut allowed: Vec<usize> = Vec::with_capacity(self.candidates.len());
        allowed.extend((0..self.candidates.len()).filter(|&position| {
            Some(self.service_of[position]) == service && self.is_allowed(position, demand)
        }));
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
        let mut fits_in_rack: Vec<u64> = vec![0; self.rack_count];
        let mut fits: (Option<job::Resources>, u32) = (None, 0);
        for &position in &allowed {
            let capacity = self.candidates[position].entry.capacity;
            // Most servers have the capacity of the one before, and no task of the step yet.
            if fits.0 != Some(capacity) || demand.step.tasks_per_server_max > 0 {
                let tasks = self.tasks_that_fit(&capacity, position, demand);
                fits = (Some(capacity), tasks);
            }
            fits_in_rack[self.rack_of[position]] += u64::from(fits.1);
        }
        let mut numbers: Vec<Option<usize>> = vec![None; self.rack_count];
        let mut racks: Vec<Vec<usize>> = Vec::new();
        for (number, fits) in numbers.iter_mut().zip(fits_in_rack) {
            if fits >= u64::from(demand.count) {
                *number = Some(racks.len());
                racks.push(Vec::with_capacity(RACK_SERVERS_EXPECTED));
            }
        }
        if racks.is_empty() {
            return vec![allowed];
        }
        for position in allowed {
            if let Some(number) = numbers[self.rack_of[position]] {
                racks[number].push(position);
            }
        }
        racks
    }

    /// Whether `demand` may use the server at `position`, which is of its service.
    fn is_allowed(&self, position: usize, demand: &Demand<'_>) -> bool {
        let candidate = &self.candidates[position];
        let has_label = || match &demand.step.required_label {
            Some(label) => candidate.entry.labels.contains(label),
            None => true,
        };
        candidate.speed_ratio >= demand.speed_min_ratio
            && (demand.may_use_kept || !self.is_kept[position])
            && (candidate.is_proven || demand.soundness != soundness::Need::Proven)
            && has_label()
            && !demand
                .advice
                .as_ref()
                .is_some_and(|advice| advice.bad.contains(&candidate.entry.id))
            && (demand.excluded.is_empty() || !demand.excluded.contains(&candidate.entry.id))
    }

    /// How many tasks of `demand` fit on the server at `position` if `free` is free there.
    pub fn tasks_that_fit(
        &self,
        free: &job::Resources,
        position: usize,
        demand: &Demand<'_>,
    ) -> u32 {
        u32::try_from(fit_count(free, &demand.step.counted_need()))
            .unwrap_or(u32::MAX)
            .min(self.server_limit(position, demand))
            .min(demand.count)
    }

    /// How many more tasks of the step of `demand` the server at `position` may run.
    fn server_limit(&self, position: usize, demand: &Demand<'_>) -> u32 {
        match demand.step.tasks_per_server_max {
            0 => u32::MAX,
            limit => {
                let server = &self.candidates[position].entry.id;
                limit.saturating_sub(demand.same_step_tasks.get(server).copied().unwrap_or(0))
            }
        }
    }

    /// Possible assignments within `group`. A gang is also tried on the servers below and above each
    /// bound of a speed class alone, since it runs at the speed of its slowest server.
    fn candidate_assignments(&self, group: &[usize], demand: &Demand<'_>) -> Vec<Assignment> {
        let mut assignments: Vec<Assignment> = self.assign(group, demand).into_iter().collect();
        if !demand.step.is_gang || demand.count == 1 {
            return assignments;
        }
        let speed = |position: usize| self.candidates[position].speed_ratio;
        for bound in [SLOW_CLASS_SPEED_RATIO, FAST_CLASS_SPEED_RATIO] {
            let (slow, fast): (Vec<usize>, Vec<usize>) =
                group.iter().partition(|&&position| speed(position) < bound);
            // If all servers are on one side, that side alone gives the same assignment.
            if !slow.is_empty() && !fast.is_empty() {
                assignments.extend(self.assign(&slow, demand));
                assignments.extend(self.assign(&fast, demand));
            }
        }
        assignments
    }

    /// Assigns the tasks to servers of `group`, those of least cost first.
    fn assign(&self, group: &[usize], demand: &Demand<'_>) -> Option<Assignment> {
        self.assign_with_free(group, demand, |position| self.candidates[position].free)
    }

    /// Like `assign`, but takes the free resources of each server from `free_at` instead of the
    /// snapshot.
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
        // Each server takes at least one task, so only the first `count` of them are needed.
        let by_cost =
            |a: &(f64, usize, u32), b: &(f64, usize, u32)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
        let needed = demand.count as usize;
        if needed > 0 && needed < order.len() {
            order.select_nth_unstable_by(needed - 1, by_cost);
            order.truncate(needed);
        }
        order.sort_unstable_by(by_cost);
        let mut assignment = Assignment::with_capacity(demand.count as usize);
        for (_, position, tasks) in order {
            let left = demand.count as usize - assignment.len();
            assignment.extend(std::iter::repeat_n(position, left.min(tasks as usize)));
        }
        Some(assignment)
    }

    /// The cost of placing a task on a server: the sum of a large cost for suspect servers, a cost
    /// that grows with speed unless fast servers are preferred, a cost for the order of the racks,
    /// the number of accelerators that stay idle, and the cost of interference.
    fn server_cost(&self, position: usize, free: &job::Resources, demand: &Demand<'_>) -> f64 {
        let candidate = &self.candidates[position];
        let suspect_cost = if candidate.is_suspect { 1_000.0 } else { 0.0 };
        let is_left_to_others =
            candidate.is_proven && demand.soundness == soundness::Need::UnprovenFirst;
        let proven_cost = if is_left_to_others {
            PROVEN_SERVER_COST
        } else {
            0.0
        };
        let speed_cost = match demand.prefers_fast {
            true => 0.0,
            // Work that doesn't need a fast server leaves it to urgent work.
            false => FAST_SERVER_COST * candidate.speed_ratio.min(2.0),
        };
        let idle = free
            .accelerators
            .saturating_sub(demand.step.need.accelerators);
        let rack_ratio = self.rack_of[position] as f64 / self.rack_count as f64;
        let rack_cost = match demand.is_urgent {
            true => RACK_ORDER_COST * rack_ratio,
            false => RACK_ORDER_COST * (1.0 - rack_ratio),
        };
        let interference_cost = match demand.interference_costs.is_empty() {
            true => 0.0,
            false => demand.interference_cost(&candidate.entry.id),
        };
        let filler_cost = match demand.step.ignores_cpu_capacity {
            true => self.filler_cost(position, free),
            false => 0.0,
        };
        let health_cost = suspect_cost + proven_cost;
        health_cost + speed_cost + rack_cost + filler_cost + idle as f64 + interference_cost
    }

    /// The cost of a filler on a server: high beside a serving task that is near its target, else
    /// growing with the processor time and memory in use.
    fn filler_cost(&self, position: usize, free: &job::Resources) -> f64 {
        let capacity = &self.candidates[position].entry.capacity;
        let used_ratio = |free: u64, capacity: u64| 1.0 - free as f64 / capacity.max(1) as f64;
        let used = used_ratio(free.cpu_millicores, capacity.cpu_millicores)
            + used_ratio(free.memory_mb, capacity.memory_mb);
        let near_target_cost = match self.near_target.contains(&position) {
            true => NEAR_TARGET_COST,
            false => 0.0,
        };
        near_target_cost + BUSY_SERVER_COST * used
    }

    /// The cost of an assignment, in accelerators: the sum of the cost of its most expensive
    /// server, the accelerators that wait for the slowest server, and, if fast servers are
    /// preferred, a cost divided by the relative speed of the slowest server.
    fn assignment_cost(&self, assignment: &Assignment, demand: &Demand<'_>) -> f64 {
        let worst_server_cost = assignment
            .iter()
            .map(|&position| self.server_cost(position, &self.candidates[position].free, demand))
            .fold(0.0, f64::max);
        let speeds = || assignment.iter().map(|&at| self.candidates[at].speed_ratio);
        let slowest = speeds().fold(f64::INFINITY, f64::min);
        let idle_ratio: f64 = speeds().map(|speed| speed / slowest - 1.0).sum();
        let mixed_speed_cost = idle_ratio * demand.step.need.accelerators.max(1) as f64;
        let accelerators = demand.step.need.accelerators as f64;
        let slowness_cost = match demand.prefers_fast {
            true if demand.is_urgent => {
                URGENT_SLOWNESS_COST + URGENT_ACCELERATOR_SLOWNESS_COST * accelerators
            }
            true => accelerators,
            false => 0.0,
        };
        worst_server_cost + mixed_speed_cost + slowness_cost / slowest
    }
}

/// A server with room for at least one more task of a step.
struct OpenServer {
    cost: f64,
    position: usize,
    free: job::Resources,
    /// Tasks that the step's limit per server leaves.
    tasks_left: u32,
}

impl Ord for OpenServer {
    /// The greatest is the one that costs least, and among equal costs the first.
    fn cmp(&self, other: &Self) -> Ordering {
        let by_cost = other.cost.total_cmp(&self.cost);
        by_cost.then(other.position.cmp(&self.position))
    }
}

impl PartialOrd for OpenServer {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for OpenServer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for OpenServer {}
