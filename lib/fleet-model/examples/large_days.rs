//! Simulates days at the size of the large deployments, and prints the value of the completed jobs,
//! the work lost and the longest decision of the engine.

use camphorbeam_fleet_model::{load, report, Simulation};

/// Number of racks, and of servers in each rack.
const FLEET: (usize, usize) = (29, 12);

/// Accelerators that are guaranteed to the first account.
const GUARANTEED: u64 = 300;

/// Number of days that are averaged for each load, each generated from its own seed.
const SEEDS: u64 = 4;

/// Length of a day.
const DAY_MS: u64 = 34_000;

fn main() {
    let sites = [
        (
            "festival",
            load::large_festival(),
            [0.6, 1.0, 1.6].as_slice(),
        ),
        (
            "laboratory",
            load::large_laboratory(),
            [0.55, 1.2, 1.2, 1.2].as_slice(),
        ),
    ];
    for (name, kinds, speeds) in &sites {
        for (load_ratio, burst) in [(0.6, 2.0), (1.0, 2.2), (1.25, 2.2)] {
            let simulate = |seed: u64| {
                let mut sim = Simulation::new(FLEET.0, FLEET.1, GUARANTEED);
                for (index, server) in sim.servers.values_mut().enumerate() {
                    server.speed_ratio = speeds[(index * 7 + seed as usize) % speeds.len()];
                }
                let day = load::day(kinds, seed, DAY_MS, load_ratio, (4_000, 10_000, burst));
                let ids = load::run_day(&mut sim, kinds, &day);
                sim.assert_no_duplicate_runs();
                let report = report::evaluate(&sim, kinds, &day, &ids);
                (report, sim.decision_times)
            };
            let days: Vec<_> = std::thread::scope(|scope| {
                let handles: Vec<_> = (0..SEEDS)
                    .map(|seed| scope.spawn(move || simulate(seed)))
                    .collect();
                let joined = handles.into_iter().map(|day| day.join());
                joined
                    .map(|day| day.expect("the simulation did not panic"))
                    .collect()
            });
            let mean = |value_of: &dyn Fn(&report::Report) -> f64| {
                days.iter().map(|(report, _)| value_of(report)).sum::<f64>() / SEEDS as f64
            };
            let longest = days
                .iter()
                .map(|(_, decision_times)| decision_times.longest)
                .max();
            println!(
                "{name:10} load {load_ratio}: net {:.3} worth {:.3} lost {:.0} core-s; longest decision {:.1} ms",
                mean(&report::Report::net_ratio),
                mean(&report::Report::value_ratio),
                mean(&|report| report.lost_core_s),
                longest.unwrap_or_default().as_secs_f64() * 1e3,
            );
            for (number, kind) in kinds.iter().enumerate() {
                let share =
                    |count: &dyn Fn(&report::KindReport) -> usize,
                     group: &dyn Fn(&report::Report) -> report::KindReport| {
                        mean(&|day| count(&group(day)) as f64 / group(day).feasible.max(1) as f64)
                    };
                let all = |report: &report::Report| report.kinds[number].clone();
                let largest = |report: &report::Report| report.largest[number].clone();
                println!(
                    "    {:8} in time {:.2} late {:.2}; largest tenth in time {:.2} late {:.2}",
                    kind.queue,
                    share(&|served| served.in_time, &all),
                    share(&|served| served.late, &all),
                    share(&|served| served.in_time, &largest),
                    share(&|served| served.late, &largest),
                );
            }
        }
    }
}
