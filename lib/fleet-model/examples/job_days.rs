//! Simulates days of both users' loads, and prints the value of the completed jobs and the work
//! lost.

use camphorbeam_fleet_model::{load, report, Simulation};

/// Number of days that are averaged, each generated from its own seed.
const SEEDS: u64 = 12;

/// Length of a day.
const DAY_MS: u64 = 34_000;

fn main() {
    let sites = [
        ("festival", load::festival(), [0.6, 1.0, 1.6].as_slice()),
        (
            "laboratory",
            load::laboratory(),
            [0.55, 1.2, 1.2, 1.2].as_slice(),
        ),
    ];
    for (name, kinds, speeds) in &sites {
        for (load_ratio, burst) in [(0.6, 2.0), (1.0, 1.9), (1.25, 2.2)] {
            let mut net = 0.0;
            let mut value = 0.0;
            let mut lost = 0.0;
            let mut by_kind = vec![(0, 0, 0); kinds.len()];
            let mut largest = by_kind.clone();
            let simulate = |seed: u64| {
                let mut sim = Simulation::new(6, 8, 60);
                for (index, server) in sim.servers.values_mut().enumerate() {
                    server.speed_ratio = speeds[(index * 7 + seed as usize) % speeds.len()];
                }
                let burst = (4_000, 10_000, burst);
                let day = load::day(kinds, seed, DAY_MS, load_ratio, burst);
                let ids = load::run_day(&mut sim, kinds, &day);
                sim.assert_no_duplicate_runs();
                report::evaluate(&sim, kinds, &day, &ids)
            };
            let reports: Vec<report::Report> = std::thread::scope(|scope| {
                let handles: Vec<_> = (0..SEEDS)
                    .map(|seed| scope.spawn(move || simulate(seed)))
                    .collect();
                let joined = handles.into_iter().map(|day| day.join());
                joined
                    .map(|report| report.expect("the simulation did not panic"))
                    .collect()
            });
            for report in &reports {
                net += report.net_ratio() / SEEDS as f64;
                value += report.value_ratio() / SEEDS as f64;
                lost += report.lost_core_s / SEEDS as f64;
                for (sum, kind) in largest.iter_mut().zip(&report.largest) {
                    sum.0 += kind.feasible;
                    sum.1 += kind.in_time;
                    sum.2 += kind.late;
                }
                for (sum, kind) in by_kind.iter_mut().zip(&report.kinds) {
                    sum.0 += kind.feasible;
                    sum.1 += kind.in_time;
                    sum.2 += kind.late;
                }
            }
            println!(
                "{name:10} load {load_ratio:4}: net {net:.3} worth {value:.3} lost {lost:7.0} \
                 core-s; owed/in time/late {by_kind:?} largest {largest:?}"
            );
        }
    }
}
