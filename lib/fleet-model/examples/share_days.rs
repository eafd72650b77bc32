//! Simulates days of both users' loads with and without fair shares, and prints the value of the
//! completed jobs by client account. On skewed days, one account submits two thirds of the jobs and
//! the callers of one zone half of them.

use camphorbeam_fleet_model::{load, report, Simulation, STEP_MS};
use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::settings::{FairShares, Settings};
use camphorbeam_model::id;

/// Number of days that are summed, each generated from its own seed.
const SEEDS: u64 = 36;

/// Length of a day, and time after it in which jobs may still complete.
const DAY_MS: u64 = 34_000;
const TAIL_MS: u64 = 14_000;

/// Value and highest value of each account, and decisions with a changed order.
#[derive(Default)]
struct Outcome {
    accounts: [(f64, f64); 4],
    net: f64,
    decisions: u64,
}

fn simulate(
    kinds: &[load::JobKind],
    speeds: &[f64],
    (load_ratio, is_skewed): (f64, bool),
    seed: u64,
    fair_shares: FairShares,
) -> Outcome {
    let settings = Settings {
        fair_shares,
        ..Settings::default()
    };
    let mut sim = Simulation::with_settings(6, 8, 60, settings);
    for (index, server) in sim.servers.values_mut().enumerate() {
        server.speed_ratio = speeds[(index * 7 + seed as usize) % speeds.len()];
    }
    let mut day = load::day(kinds, seed, DAY_MS, load_ratio, (4_000, 10_000, 2.0));
    if is_skewed {
        for (number, arrival) in day.iter_mut().enumerate() {
            if number % 9 < 5 {
                arrival.account = "c";
            }
        }
    }
    let start_ms = sim.now_ms;
    let mut ids = Vec::new();
    for (number, arrival) in day.iter().enumerate() {
        while sim.now_ms < start_ms + arrival.at_ms {
            sim.run(STEP_MS);
        }
        let zone = match (is_skewed, number % 6) {
            (true, 0..3) => "z1",
            (_, place) => ["z1", "z2", "z3"][place % 3],
        };
        sim.caller_zone = id::ZoneName::new(zone).ok();
        let name = format!("{number:016x}");
        let id = id::JobId::new(&name).expect("a valid id");
        sim.task_behaviors.insert(id, arrival.behavior.clone());
        let queue = kinds[arrival.kind].queue;
        ids.push(sim.submit(&name, queue, arrival.account, vec![arrival.step.clone()]));
    }
    sim.run(TAIL_MS);
    sim.assert_no_duplicate_runs();
    let mut outcome = Outcome {
        net: report::evaluate(&sim, kinds, &day, &ids).net_ratio(),
        ..Outcome::default()
    };
    for (number, account) in ["a", "b", "c", "d"].into_iter().enumerate() {
        let of_account = day.iter().zip(&ids).filter(|(it, _)| it.account == account);
        let (arrivals, ids): (Vec<_>, Vec<_>) =
            of_account.map(|(it, id)| (it.clone(), id.clone())).unzip();
        for kind in report::evaluate(&sim, kinds, &arrivals, &ids).kinds {
            outcome.accounts[number].0 += kind.value;
            outcome.accounts[number].1 += kind.value_total;
        }
    }
    for (_, event) in &sim.events {
        if let Event::ShareOrder { decisions, .. } = event {
            outcome.decisions += decisions;
        }
    }
    outcome
}

fn main() {
    let sites = [
        ("festival", load::festival(), [0.6, 1.0, 1.6].as_slice()),
        (
            "laboratory",
            load::laboratory(),
            [0.55, 1.2, 1.2, 1.2].as_slice(),
        ),
    ];
    let days = [(1.0, false), (1.6, false), (1.0, true), (1.6, true)];
    for (site, (name, kinds, speeds)) in (0..days.len()).flat_map(|day| {
        let sites = sites.iter();
        sites.map(move |site| (days[day], site))
    }) {
        for fair_shares in [FairShares::Off, FairShares::On] {
            let mut outcomes: Vec<Outcome> = Vec::new();
            // Three at a time, since the machine is shared.
            for first in (0..SEEDS).step_by(3) {
                std::thread::scope(|scope| {
                    let run = |seed| {
                        scope.spawn(move || simulate(kinds, speeds, site, seed, fair_shares))
                    };
                    let handles = [first, first + 1, first + 2].map(run);
                    outcomes.extend(handles.map(|day| day.join().expect("no panic")));
                });
            }
            let shares: Vec<String> = (0..4)
                .map(|account| {
                    let sum = |of: &dyn Fn(&(f64, f64)) -> f64| {
                        outcomes
                            .iter()
                            .map(|it| of(&it.accounts[account]))
                            .sum::<f64>()
                    };
                    format!("{:.3}", sum(&|it| it.0) / sum(&|it| it.1))
                })
                .collect();
            let net = outcomes.iter().map(|it| it.net).sum::<f64>() / SEEDS as f64;
            let worst = outcomes.iter().map(|it| it.net).fold(f64::MAX, f64::min);
            let decisions: u64 = outcomes.iter().map(|it| it.decisions).sum();
            println!(
                "{name:10} load {}, skewed {:5}, {fair_shares:?}: net {net:.3}, worst day {worst:.3}, accounts {}, changed orders {decisions}",
                site.0, site.1, shares.join(" "),
            );
        }
    }
}
