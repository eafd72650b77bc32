//! Which runs are stopped so that urgent work can start, at the least work lost.

use std::collections::BTreeMap;

use camphorbeam_model::{id, job};

use crate::trial::Trial;
use crate::{open_job, placement};

/// Cores that one accelerator counts for when lost work is weighed; the operators' price.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// Work that a stopped run with checkpoints loses: the time since the last one, and the restart.
const CHECKPOINT_LOSS_MS: u64 = 1_500;

/// A unit that may be stopped.
#[derive(Clone, Debug)]
pub struct Victim {
    /// Its job.
    pub job: id::JobId,
    /// The unit.
    pub unit: open_job::PlacementUnit,
    /// Where its tasks run and what they take there, by place on the board.
    pub holds: Vec<(usize, job::Resources)>,
    /// Core-seconds that its stop loses.
    pub lost_core_s: f64,
}

/// Core-seconds of `need` over `duration_ms`.
pub fn core_seconds(need: &job::Resources, duration_ms: u64) -> f64 {
    let cores = need.cpu_millicores as f64 / 1_000.0;
    let weight = cores + CORES_PER_ACCELERATOR * need.accelerators as f64;
    weight * duration_ms as f64 / 1_000.0
}

/// Work that is lost if a run of `work_ms` so far is stopped.
pub fn lost_ms(work_ms: u64, is_checkpointing: bool) -> u64 {
    match is_checkpointing {
        true => work_ms.min(CHECKPOINT_LOSS_MS),
        false => work_ms,
    }
}

/// What is stopped and where the unit goes then.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The victims, by their place in the list.
    pub victims: Vec<usize>,
    /// Where the tasks go.
    pub choice: placement::Choice,
    /// Core-seconds lost in all.
    pub lost_core_s: f64,
}

/// Units that may be stopped, found by the places that they are on.
#[derive(Clone, Debug, Default)]
pub struct Victims {
    all: Vec<Victim>,
    is_stopped: Vec<bool>,
    at: Vec<Vec<usize>>,
}

impl Victims {
    /// Indexes `all` for a board of `places` servers.
    pub fn new(all: Vec<Victim>, places: usize) -> Self {
        let mut at = vec![Vec::new(); places];
        for (number, victim) in all.iter().enumerate() {
            for &(place, _) in &victim.holds {
                at[place].push(number);
            }
        }
        Self {
            is_stopped: vec![false; all.len()],
            at,
            all,
        }
    }

    /// Takes a victim out, to be stopped.
    pub fn stop(&mut self, number: usize) -> &Victim {
        self.is_stopped[number] = true;
        &self.all[number]
    }

    /// Victims on the places of `group`, those first that lose least for what they free there.
    fn on(&self, group: &[usize]) -> Vec<usize> {
        let mut freed: BTreeMap<usize, u64> = BTreeMap::new();
        for &place in group {
            for &number in self.at[place].iter().filter(|&&at| !self.is_stopped[at]) {
                let victim = &self.all[number];
                let held = victim.holds.iter().find(|(at, _)| *at == place);
                let accelerators = held.map_or(0, |(_, need)| need.accelerators);
                *freed.entry(number).or_default() += 1 + accelerators;
            }
        }
        let mut useful: Vec<(f64, usize)> = freed
            .into_iter()
            .map(|(number, freed)| (self.all[number].lost_core_s / freed as f64, number))
            .collect();
        useful.sort_by(|a, b| a.0.total_cmp(&b.0));
        useful.into_iter().map(|(_, number)| number).collect()
    }

    fn lost_core_s(&self, numbers: &[usize]) -> f64 {
        numbers
            .iter()
            .map(|&number| self.all[number].lost_core_s)
            .sum()
    }

    fn give_back(&self, number: usize, trial: &mut Trial<'_>) {
        for (place, need) in &self.all[number].holds {
            trial.give(*place, need);
        }
    }

    fn take_again(&self, number: usize, trial: &mut Trial<'_>) {
        for (place, need) in &self.all[number].holds {
            trial.take(*place, need);
        }
    }
}

/// The cheapest plan by which `demand` fits.
pub fn plan(
    board: &placement::Board,
    demand: &placement::Demand<'_>,
    victims: &Victims,
) -> Option<Plan> {
    let mut trial = Trial::new(board, demand);
    let groups = 0..trial.groups().len();
    let plans: Vec<Plan> = groups
        .filter_map(|group| plan_in(&mut trial, group, victims))
        .collect();
    plans
        .into_iter()
        .min_by(|a, b| a.lost_core_s.total_cmp(&b.lost_core_s))
}

/// The plan within one group; leaves the trial as it was.
fn plan_in(trial: &mut Trial<'_>, group: usize, victims: &Victims) -> Option<Plan> {
    let mut chosen = Vec::new();
    if !trial.is_enough(group) {
        for number in victims.on(&trial.groups()[group]) {
            victims.give_back(number, trial);
            chosen.push(number);
            if trial.is_enough(group) {
                break;
            }
        }
    }
    let plan = match trial.is_enough(group) {
        true => {
            leave_out_needless(trial, group, victims, &mut chosen);
            trial.choice(group).map(|choice| Plan {
                lost_core_s: victims.lost_core_s(&chosen),
                victims: chosen.clone(),
                choice,
            })
        }
        false => None,
    };
    for number in chosen {
        victims.take_again(number, trial);
    }
    plan
}

/// Leaves out victims without which the unit fits as well, the dearest first.
fn leave_out_needless(
    trial: &mut Trial<'_>,
    group: usize,
    victims: &Victims,
    chosen: &mut Vec<usize>,
) {
    let mut by_loss = chosen.clone();
    by_loss.sort_by(|&a, &b| {
        let (a, b) = (&victims.all[a], &victims.all[b]);
        b.lost_core_s.total_cmp(&a.lost_core_s)
    });
    for number in by_loss {
        victims.take_again(number, trial);
        match trial.is_enough(group) {
            true => chosen.retain(|&other| other != number),
            false => victims.give_back(number, trial),
        }
    }
}

/// When a run is expected to end, and what it frees.
#[derive(Clone, Copy, Debug)]
pub struct ExpectedEnd {
    /// Time until then.
    pub in_ms: u64,
    /// Where, by place on the board.
    pub place: usize,
    /// What it takes there.
    pub need: job::Resources,
}

/// The servers on which `demand` fits soonest, as the runs in `ends` end; `ends` is in order.
pub fn soonest(
    board: &placement::Board,
    demand: &placement::Demand<'_>,
    ends: &[ExpectedEnd],
) -> Option<placement::Choice> {
    let mut trial = Trial::new(board, demand);
    for end in ends {
        trial.give(end.place, &end.need);
        match trial.group_of(end.place) {
            Some(group) if trial.is_enough(group) => return trial.choice(group),
            _ => {}
        }
    }
    None
}

/// Servers promised to a unit until what runs there has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The server of each task.
    pub servers: Vec<id::BackendServerId>,
    /// What each task takes.
    pub need: job::Resources,
    /// When the promise ends.
    pub until_ms: u64,
}

/// Claims by job and unit.
pub type Claims = BTreeMap<(id::JobId, open_job::PlacementUnit), Claim>;
