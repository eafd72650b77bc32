//! The placement search against the rule that it implements: try every group of servers, sort all
//! servers of each by cost, and take the cheapest assignment. Guards against a search that leaves
//! out a cheaper server, or one that holds on to counts of resources that have changed since.

use std::collections::BTreeMap;
use std::sync::Arc;

use camphorbeam_jobs::placement::{Candidate, CapacitySnapshot, Demand};
use camphorbeam_jobs::soundness::Need;
use camphorbeam_model::{fleet, id, job};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// Number of random fleets.
const FLEETS: u64 = 150;

/// Number of steps that are placed one after the other in each fleet.
const STEPS: usize = 24;

fn service(number: usize) -> id::ServiceName {
    id::ServiceName::new(["a", "b"][number]).unwrap()
}

fn random_fleet(random: &mut ChaCha8Rng) -> Vec<Candidate> {
    let count = random.random_range(1..40);
    let racks = random.random_range(1..6);
    let mut candidates = Vec::new();
    for number in 0..count {
        let capacity = job::Resources {
            cpu_millicores: 1_000 * random.random_range(4..12),
            memory_mb: 1_000 * random.random_range(4..12),
            accelerators: random.random_range(0..9),
        };
        let rack = format!("r{}", random.random_range(0..racks));
        let label = ["x", "y"][random.random_range(0..2)];
        let entry = fleet::ServerEntry {
            id: id::BackendServerId::new(&format!("s{number:02}")).unwrap(),
            service: service(usize::from(random.random_bool(0.2))),
            address: ([127, 0, 0, 1], 1).into(),
            zone: id::ZoneName::new("z").unwrap(),
            is_draining: false,
            capacity,
            cold_ms: 0,
            labels: vec![label.into(), rack.as_str().into()],
            incarnation: None,
        };
        candidates.push(Candidate {
            entry: Arc::new(entry),
            free: capacity,
            speed_ratio: [0.4, 0.7, 1.0, 1.0, 1.3][random.random_range(0..5)],
            is_proven: random.random_bool(0.5),
            is_suspect: random.random_bool(0.1),
        });
    }
    candidates
}

fn random_step(random: &mut ChaCha8Rng) -> job::StepSpec {
    let is_gang = random.random_bool(0.5);
    job::StepSpec {
        task_count: random.random_range(1..9),
        need: job::Resources {
            cpu_millicores: 1_000 * random.random_range(0..4),
            memory_mb: 1_000 * random.random_range(1..4),
            accelerators: random.random_range(0..3),
        },
        is_gang,
        prefers_one_rack: random.random_bool(0.6),
        required_label: random.random_bool(0.2).then(|| "x".into()),
        data_rack: random.random_bool(0.2).then(|| "r1".into()),
        tasks_per_server_max: random.random_range(0..3),
        ..job::StepSpec::default()
    }
}

/// The cost of each server, and of an assignment, as docs/design/decision-cost.md states them.
struct Rule<'a> {
    servers: &'a [Candidate],
    is_kept: &'a [bool],
    demand: &'a Demand<'a>,
}

impl Rule<'_> {
    fn rack_ratio(&self, at: usize) -> f64 {
        let mut racks: Vec<_> = self.servers.iter().map(|s| s.entry.rack()).collect();
        racks.sort();
        racks.dedup();
        let number = racks.binary_search(&self.servers[at].entry.rack()).unwrap();
        number as f64 / racks.len() as f64
    }

    fn fit(&self, at: usize, free: &job::Resources) -> u32 {
        let step = self.demand.step;
        let id = &self.servers[at].entry.id;
        let used = self.demand.same_step_tasks.get(id).copied().unwrap_or(0);
        let limit = match step.tasks_per_server_max {
            0 => self.demand.count,
            limit => limit.saturating_sub(used).min(self.demand.count),
        };
        self.fit_up_to(limit, free)
    }

    fn fit_up_to(&self, limit: u32, free: &job::Resources) -> u32 {
        let need = &self.demand.step.need;
        let mut left = *free;
        let mut fits = 0;
        while fits < limit && left.can_fit(need) {
            left = left.minus(need);
            fits += 1;
        }
        fits
    }

    /// Whether the unit is rejected without a search: by the resources of the service alone there
    /// is no room, or none in one rack although a rack is large enough.
    fn is_rejected_early(&self) -> bool {
        let (step, demand) = (self.demand.step, self.demand);
        let (mut free, mut empty) = (BTreeMap::new(), BTreeMap::new());
        for (at, server) in self.servers.iter().enumerate() {
            if &server.entry.service == demand.service && (demand.may_use_kept || !self.is_kept[at])
            {
                let rack = server.entry.rack();
                *free.entry(rack).or_default() += self.fit_up_to(demand.count, &server.free);
                *empty.entry(rack).or_default() +=
                    self.fit_up_to(demand.count, &server.entry.capacity);
            }
        }
        let has_rack = |fits: &BTreeMap<_, u32>| fits.values().any(|&fits| fits >= demand.count);
        let prefers_one_rack = step.is_gang && step.prefers_one_rack && demand.count > 1;
        let needs_one_rack = prefers_one_rack
            && !demand.may_span_racks
            && step.required_label.is_none()
            && has_rack(&empty);
        free.values().sum::<u32>() < demand.count || (needs_one_rack && !has_rack(&free))
    }

    fn server_cost(&self, at: usize) -> f64 {
        let (server, demand) = (&self.servers[at], self.demand);
        let idle = server.free.minus(&demand.step.need).accelerators as f64;
        let speed = if demand.prefers_fast {
            0.0
        } else {
            10.0 * server.speed_ratio.min(2.0)
        };
        let rack = match demand.is_urgent {
            true => self.rack_ratio(at),
            false => 1.0 - self.rack_ratio(at),
        };
        let is_left_to_others = server.is_proven && demand.soundness == Need::UnprovenFirst;
        let soundness = match (server.is_suspect, is_left_to_others) {
            (true, true) => 1_100.0,
            (true, false) => 1_000.0,
            (false, true) => 100.0,
            (false, false) => 0.0,
        };
        soundness + speed + 16.0 * rack + idle
    }

    fn assign(&self, group: &[usize]) -> Option<Vec<usize>> {
        let mut order = group.to_vec();
        order.sort_by(|&a, &b| self.server_cost(a).total_cmp(&self.server_cost(b)));
        let each = order
            .into_iter()
            .flat_map(|at| vec![at; self.fit(at, &self.servers[at].free) as usize]);
        let assignment: Vec<usize> = each.take(self.demand.count as usize).collect();
        (assignment.len() == self.demand.count as usize).then_some(assignment)
    }

    fn cost(&self, assignment: &[usize]) -> f64 {
        let speeds = || assignment.iter().map(|&at| self.servers[at].speed_ratio);
        let slowest = speeds().fold(f64::INFINITY, f64::min);
        let worst = assignment
            .iter()
            .map(|&at| self.server_cost(at))
            .fold(0.0, f64::max);
        let accelerators = self.demand.step.need.accelerators;
        let mixed: f64 = speeds().map(|speed| speed / slowest - 1.0).sum();
        let slow = if self.demand.prefers_fast && self.demand.is_urgent {
            (60.0 + 4.0 * accelerators as f64) / slowest
        } else if self.demand.prefers_fast {
            accelerators as f64 / slowest
        } else {
            0.0
        };
        worst + mixed * accelerators.max(1) as f64 + slow
    }

    /// The least cost of an assignment; `None` if there is none.
    fn least_cost(&self) -> Option<f64> {
        if self.is_rejected_early() {
            return None;
        }
        let (step, demand) = (self.demand.step, self.demand);
        let is_allowed = |at: &usize| {
            let server = &self.servers[*at];
            &server.entry.service == demand.service
                && step
                    .required_label
                    .as_ref()
                    .is_none_or(|label| server.entry.labels.contains(label))
                && server.speed_ratio >= demand.speed_min_ratio
                && (server.is_proven || demand.soundness != Need::Proven)
                && (demand.may_use_kept || !self.is_kept[*at])
        };
        let mut allowed: Vec<usize> = (0..self.servers.len()).filter(is_allowed).collect();
        let is_near = |at: &usize| self.servers[*at].entry.rack() == step.data_rack.as_ref();
        if allowed.iter().any(is_near) {
            allowed.retain(is_near);
        }
        let mut groups: Vec<Vec<usize>> = Vec::new();
        if step.is_gang && step.prefers_one_rack && demand.count > 1 && !demand.may_span_racks {
            let mut racks: BTreeMap<_, Vec<usize>> = BTreeMap::new();
            for &at in &allowed {
                racks
                    .entry(self.servers[at].entry.rack())
                    .or_default()
                    .push(at);
            }
            let empty = |at: &usize| self.fit(*at, &self.servers[*at].entry.capacity);
            racks.retain(|_, group| group.iter().map(empty).sum::<u32>() >= demand.count);
            groups.extend(racks.into_values());
        }
        if groups.is_empty() {
            groups.push(allowed);
        }
        let by_speed = |group: &Vec<usize>, bound: f64, is_slow: bool| -> Vec<usize> {
            let of_class = |at: &usize| (self.servers[*at].speed_ratio < bound) == is_slow;
            group.iter().copied().filter(of_class).collect()
        };
        if step.is_gang && demand.count > 1 {
            let classes = groups.iter().flat_map(|group| {
                [(0.78, true), (0.78, false), (1.4, true), (1.4, false)]
                    .map(|(bound, is_slow)| by_speed(group, bound, is_slow))
            });
            let classes: Vec<_> = classes.collect();
            groups.extend(classes);
        }
        let assignments = groups.iter().filter_map(|group| self.assign(group));
        assignments
            .map(|found| self.cost(&found))
            .min_by(f64::total_cmp)
    }
}

#[test]
fn test_placement_search_costs_as_much_as_the_full_search() {
    let (mut placed, mut unplaced) = (0, 0);
    for seed in 0..FLEETS {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut snapshot = CapacitySnapshot::new(random_fleet(&mut random));
        let kept = random.random_range(0..20);
        snapshot.keep_for_urgent(&service(0), kept);
        let is_kept = kept_servers(&snapshot, kept);
        for _ in 0..STEPS {
            let step = random_step(&mut random);
            let service = service(usize::from(random.random_bool(0.1)));
            let mut demand = Demand {
                count: if step.is_gang { step.task_count } else { 1 },
                step: &step,
                service: &service,
                prefers_fast: random.random_bool(0.5),
                speed_min_ratio: [0.3, 0.6, 0.95][random.random_range(0..3)],
                excluded: Default::default(),
                interference_costs: BTreeMap::new(),
                soundness: [Need::Any, Need::UnprovenFirst, Need::Proven]
                    [random.random_range(0..3)],
                same_step_tasks: BTreeMap::new(),
                may_span_racks: random.random_bool(0.2),
                is_urgent: random.random_bool(0.5),
                may_use_kept: random.random_bool(0.5),
                advice: None,
            };
            let units = if step.is_gang { 1 } else { step.task_count };
            let each = match step.is_gang {
                true => Vec::new(),
                false => snapshot.choose_each(&demand, units as usize),
            };
            for unit in 0..units as usize {
                let servers = snapshot.candidates().to_vec();
                let rule = Rule {
                    servers: &servers,
                    is_kept: &is_kept,
                    demand: &demand,
                };
                let expected = rule.least_cost();
                let found = match step.is_gang {
                    true => snapshot.choose(&demand),
                    false => each.get(unit).map(|&at| vec![at]),
                };
                let cost = found.as_deref().map(|found| rule.cost(found));
                assert_eq!(cost, expected, "seed {seed}, {demand:?}, {found:?}");
                let fits = |at: &usize| rule.fit(*at, &servers[*at].free) > 0;
                assert!(found.iter().flatten().all(fits), "seed {seed}, {demand:?}");
                *(if found.is_some() {
                    &mut placed
                } else {
                    &mut unplaced
                }) += 1;
                for at in found.into_iter().flatten() {
                    snapshot.allocate(at, &step.need);
                    let id = servers[at].entry.id.clone();
                    *demand.same_step_tasks.entry(id).or_default() += 1;
                }
            }
            if random.random_bool(0.2) {
                let at = random.random_range(0..snapshot.candidates().len());
                let candidate = &snapshot.candidates()[at];
                let used = candidate.entry.capacity.minus(&candidate.free);
                snapshot.release(at, &used);
            }
        }
    }
    assert!(placed > 3_000 && unplaced > 2_000, "{placed} {unplaced}");
}

/// The fast servers, then those of the first racks, with at least `accelerators`, of the first service.
/// None is of the slow class.
fn kept_servers(snapshot: &CapacitySnapshot, accelerators: u64) -> Vec<bool> {
    let servers = snapshot.candidates();
    let mut order: Vec<usize> = (0..servers.len())
        .filter(|&at| servers[at].entry.service == service(0) && servers[at].speed_ratio >= 0.78)
        .collect();
    order.sort_by_key(|&at| (servers[at].speed_ratio < 1.4, servers[at].entry.rack()));
    let (mut kept, mut is_kept) = (0, vec![false; servers.len()]);
    for at in order {
        if kept >= accelerators {
            break;
        }
        kept += servers[at].entry.capacity.accelerators;
        is_kept[at] = true;
    }
    is_kept
}
