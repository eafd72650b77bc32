//! Which runs are stopped so that urgent work can start, at the least work lost.

use std::collections::BTreeMap;

use camphorbeam_model::{id, job};

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
    pub unit: open_job::Unit,
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

/// The cheapest plan by which `demand` fits.
pub fn plan(
    board: &placement::Board,
    demand: &placement::Demand<'_>,
    victims: &[Victim],
) -> Option<Plan> {
    board
        .groups(demand)
        .into_iter()
        .filter_map(|group| plan_in(board, demand, victims, &group))
        .min_by(|a, b| a.lost_core_s.total_cmp(&b.lost_core_s))
}

fn plan_in(
    board: &placement::Board,
    demand: &placement::Demand<'_>,
    victims: &[Victim],
    group: &[usize],
) -> Option<Plan> {
    let mut useful: Vec<(usize, f64)> = victims
        .iter()
        .enumerate()
        .filter_map(|(number, victim)| {
            let freed: u64 = victim
                .holds
                .iter()
                .filter(|(place, _)| group.contains(place))
                .map(|(_, need)| 1 + need.accelerators)
                .sum();
            (freed > 0).then(|| (number, victim.lost_core_s / freed as f64))
        })
        .collect();
    useful.sort_by(|a, b| a.1.total_cmp(&b.1));
    let mut freed = board.clone();
    let mut chosen = Vec::new();
    let mut choice = freed.fit(group, demand);
    for (number, _) in useful {
        if choice.is_some() {
            break;
        }
        give_back(&mut freed, &victims[number]);
        chosen.push(number);
        choice = freed.fit(group, demand);
    }
    choice?;
    let (chosen, choice) = without_needless(board, demand, victims, group, chosen)?;
    let lost_core_s = chosen
        .iter()
        .map(|&number| victims[number].lost_core_s)
        .sum();
    Some(Plan {
        victims: chosen,
        choice,
        lost_core_s,
    })
}

/// Leaves out victims without which the unit fits as well, the dearest first.
fn without_needless(
    board: &placement::Board,
    demand: &placement::Demand<'_>,
    victims: &[Victim],
    group: &[usize],
    mut chosen: Vec<usize>,
) -> Option<(Vec<usize>, placement::Choice)> {
    let fit_with = |kept: &[usize]| {
        let mut freed = board.clone();
        for &number in kept {
            give_back(&mut freed, &victims[number]);
        }
        freed.fit(group, demand)
    };
    let mut by_loss = chosen.clone();
    by_loss.sort_by(|&a, &b| victims[b].lost_core_s.total_cmp(&victims[a].lost_core_s));
    for number in by_loss {
        let kept: Vec<usize> = chosen
            .iter()
            .copied()
            .filter(|&other| other != number)
            .collect();
        if fit_with(&kept).is_some() {
            chosen = kept;
        }
    }
    let choice = fit_with(&chosen)?;
    Some((chosen, choice))
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
    let groups = board.groups(demand).into_iter();
    let fits = groups.filter_map(|group| {
        let mut freed = board.clone();
        for end in ends.iter().filter(|end| group.contains(&end.place)) {
            let slot = &mut freed.slots[end.place];
            slot.free = slot.free.plus(&end.need);
            if let Some(choice) = freed.fit(&group, demand) {
                return Some((end.in_ms, choice));
            }
        }
        None
    });
    let soonest = fits.min_by_key(|(in_ms, _)| *in_ms);
    soonest.map(|(_, choice)| choice)
}

fn give_back(board: &mut placement::Board, victim: &Victim) {
    for (place, need) in &victim.holds {
        let slot = &mut board.slots[*place];
        slot.free = slot.free.plus(need);
    }
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
pub type Claims = BTreeMap<(id::JobId, open_job::Unit), Claim>;
