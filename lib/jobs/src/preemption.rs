//! Preemption planning: a greedy search for the runs to stop for urgent work so that little work is
//! lost.

use std::cmp::{Ordering, Reverse};
use std::collections::{BTreeMap, BinaryHeap};

use camphorbeam_model::{id, job};

use crate::trial::Trial;
use crate::{open_job, placement};

/// Cores that one accelerator counts as when lost work is measured. Taken from the price that the
/// operators set for an accelerator relative to a core.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// Work that a stopped run with checkpoints loses: the time since the last checkpoint, and the
/// restart.
const CHECKPOINT_LOSS_MS: u64 = 1_500;

/// A unit that may be preempted.
#[derive(Clone, Debug)]
pub struct PreemptibleUnit {
    /// The job of the unit.
    pub job: id::JobId,
    /// The tasks that are stopped together.
    pub unit: open_job::PlacementUnit,
    /// The resources that the unit's tasks use, by position in the snapshot.
    pub allocations: Vec<(usize, job::Resources)>,
    /// Core-seconds of work that are lost if the unit is stopped.
    pub lost_core_s: f64,
}

/// Core-seconds that `need` amounts to over `duration_ms`; accelerators count as
/// `CORES_PER_ACCELERATOR` cores each.
pub fn core_seconds(need: &job::Resources, duration_ms: u64) -> f64 {
    let cores = need.cpu_millicores as f64 / 1_000.0;
    let weight = cores + CORES_PER_ACCELERATOR * need.accelerators as f64;
    weight * duration_ms as f64 / 1_000.0
}

/// Milliseconds of work that are lost if a run that has worked for `work_ms` is stopped; at most
/// `CHECKPOINT_LOSS_MS` if the run makes checkpoints.
pub fn lost_ms(work_ms: u64, is_checkpointing: bool) -> u64 {
    match is_checkpointing {
        true => work_ms.min(CHECKPOINT_LOSS_MS),
        false => work_ms,
    }
}

/// The victims of a preemption, that is, the units that it stops, and the servers on which the
/// urgent unit starts then.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Indexes of the victims among the [`PreemptibleUnits`].
    pub victims: Vec<usize>,
    /// The servers of the urgent unit.
    pub assignment: placement::Assignment,
    /// Core-seconds of work that the plan loses in total.
    pub lost_core_s: f64,
}

/// Units that may be preempted, indexed by the servers that they run on.
#[derive(Clone, Debug, Default)]
pub struct PreemptibleUnits {
    all: Vec<PreemptibleUnit>,
    is_stopped: Vec<bool>,
    /// The units at each position, once for each of their tasks there, with the accelerators of the
    /// task.
    by_position: Vec<Vec<(usize, u64)>>,
}

impl PreemptibleUnits {
    /// Indexes `all` by position, for a snapshot of `positions` servers.
    pub fn new(all: Vec<PreemptibleUnit>, positions: usize) -> Self {
        let mut by_position = vec![Vec::new(); positions];
        for (index, unit) in all.iter().enumerate() {
            for (position, need) in &unit.allocations {
                by_position[*position].push((index, need.accelerators));
            }
        }
        Self {
            is_stopped: vec![false; all.len()],
            by_position,
            all,
        }
    }

    /// Excludes a unit from further plans and returns it, for the caller to stop.
    pub fn mark_stopped(&mut self, index: usize) -> &PreemptibleUnit {
        self.is_stopped[index] = true;
        &self.all[index]
    }

    /// The units on the servers of `group`, by the work lost relative to what stopping the unit
    /// releases there, where each task counts as one plus its accelerators, so that tasks without
    /// accelerators count too. A heap, since a plan takes only the first few.
    fn in_group(&self, group: &[usize]) -> BinaryHeap<Reverse<RelativeLoss>> {
        let mut freed: Vec<(usize, u64)> = group
            .iter()
            .flat_map(|&position| &self.by_position[position])
            .filter(|(index, _)| !self.is_stopped[*index])
            .map(|&(index, accelerators)| (index, 1 + accelerators))
            .collect();
        freed.sort_unstable();
        let of_units = freed.chunk_by(|a, b| a.0 == b.0).map(|tasks| {
            let (index, freed) = (tasks[0].0, tasks.iter().map(|task| task.1).sum::<u64>());
            let ratio = self.all[index].lost_core_s / freed as f64;
            Reverse(RelativeLoss { ratio, index })
        });
        of_units.collect()
    }

    fn lost_core_s(&self, indexes: &[usize]) -> f64 {
        indexes
            .iter()
            .map(|&index| self.all[index].lost_core_s)
            .sum()
    }

    fn release_unit(&self, index: usize, trial: &mut Trial<'_>) {
        for (position, need) in &self.all[index].allocations {
            trial.release(*position, need);
        }
    }

    fn restore_unit(&self, index: usize, trial: &mut Trial<'_>) {
        for (position, need) in &self.all[index].allocations {
            trial.allocate(*position, need);
        }
    }
}

/// Work that is lost if a unit is stopped, relative to what that releases. Ordered by it, then by
/// the index of the unit.
struct RelativeLoss {
    ratio: f64,
    index: usize,
}

impl Ord for RelativeLoss {
    fn cmp(&self, other: &Self) -> Ordering {
        let by_ratio = self.ratio.total_cmp(&other.ratio);
        by_ratio.then(self.index.cmp(&other.index))
    }
}

impl PartialOrd for RelativeLoss {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RelativeLoss {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for RelativeLoss {}

/// The plan that loses the least work among those that a greedy search finds, one in each group;
/// `None` if no preemption makes `demand` fit.
pub fn plan(
    snapshot: &placement::CapacitySnapshot,
    demand: &placement::Demand<'_>,
    preemptible: &PreemptibleUnits,
) -> Option<Plan> {
    let mut trial = Trial::new(snapshot, demand);
    let groups = 0..trial.groups().len();
    let plans: Vec<Plan> = groups
        .filter_map(|group| plan_in_group(&mut trial, group, preemptible))
        .collect();
    plans
        .into_iter()
        .min_by(|a, b| a.lost_core_s.total_cmp(&b.lost_core_s))
}

/// The plan within one group: chooses units, those with the least loss for what they release first,
/// until the demand fits. `trial` is unchanged on return.
fn plan_in_group(
    trial: &mut Trial<'_>,
    group: usize,
    preemptible: &PreemptibleUnits,
) -> Option<Plan> {
    let mut chosen = Vec::new();
    if !trial.fits(group) {
        let mut by_loss = preemptible.in_group(&trial.groups()[group]);
        while let Some(Reverse(RelativeLoss { index, .. })) = by_loss.pop() {
            preemptible.release_unit(index, trial);
            chosen.push(index);
            if trial.fits(group) {
                break;
            }
        }
    }
    let plan = match trial.fits(group) {
        true => {
            drop_unneeded_victims(trial, group, preemptible, &mut chosen);
            trial.assignment(group).map(|assignment| Plan {
                lost_core_s: preemptible.lost_core_s(&chosen),
                victims: chosen.clone(),
                assignment,
            })
        }
        false => None,
    };
    for victim_index in chosen {
        preemptible.restore_unit(victim_index, trial);
    }
    plan
}

/// Removes victims without which the unit fits as well, those that lose most work first.
fn drop_unneeded_victims(
    trial: &mut Trial<'_>,
    group: usize,
    preemptible: &PreemptibleUnits,
    chosen: &mut Vec<usize>,
) {
    let mut by_loss = chosen.clone();
    by_loss.sort_by(|&a, &b| {
        let (a, b) = (&preemptible.all[a], &preemptible.all[b]);
        b.lost_core_s.total_cmp(&a.lost_core_s)
    });
    for victim_index in by_loss {
        preemptible.restore_unit(victim_index, trial);
        match trial.fits(group) {
            true => chosen.retain(|&other| other != victim_index),
            false => preemptible.release_unit(victim_index, trial),
        }
    }
}

/// The expected end of a run.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedEnd {
    /// Time until the end.
    pub remaining_ms: u64,
    /// Position of the run's server in the snapshot.
    pub position: usize,
    /// Resources that the run releases.
    pub need: job::Resources,
}

/// The servers on which `demand` fits earliest as runs end, and the time until then in
/// milliseconds; `None` if it doesn't fit even after all of `ends`, which must be sorted by
/// `remaining_ms`. Whether it fits is only tested after an end, so callers first check that it
/// doesn't fit yet.
pub fn earliest_assignment(
    snapshot: &placement::CapacitySnapshot,
    demand: &placement::Demand<'_>,
    ends: &[ExpectedEnd],
) -> Option<(placement::Assignment, u64)> {
    let mut trial = Trial::new(snapshot, demand);
    for end in ends {
        trial.release(end.position, &end.need);
        match trial.group_of(end.position) {
            Some(group) if trial.fits(group) => {
                let assignment = trial.assignment(group)?;
                return Some((assignment, end.remaining_ms));
            }
            _ => {}
        }
    }
    None
}

/// Servers that are set apart for a unit until it can start there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The server of each task.
    pub servers: Vec<id::BackendServerId>,
    /// Resources that each task needs.
    pub need: job::Resources,
    /// When the claim expires.
    pub until_ms: u64,
}

impl Claim {
    /// Whether all tasks fit on the claimed servers in `snapshot`.
    pub fn fits(&self, snapshot: &placement::CapacitySnapshot) -> bool {
        let mut free_after: BTreeMap<usize, job::Resources> = BTreeMap::new();
        self.servers.iter().all(|server| {
            let Some(position) = snapshot.position_of(server) else {
                return false;
            };
            let free = free_after
                .entry(position)
                .or_insert(snapshot.candidates()[position].free);
            let fits = free.can_fit(&self.need);
            *free = free.minus(&self.need);
            fits
        })
    }
}

/// Claims by job and unit.
pub type Claims = BTreeMap<(id::JobId, open_job::PlacementUnit), Claim>;
