//! Plays days at the size of the large deployments and prints what they earn and how long the
//! engine's decisions take.

use camphorbeam_fleet_model::{load, report, World};

/// Racks and servers of each.
const FLEET: (usize, usize) = (29, 12);

/// Accelerators that are guaranteed to the first account.
const GUARANTEED: u64 = 300;

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
        for (load_ratio, burst) in [(0.6, 2.0), (1.0, 2.2)] {
            for seed in 0..2 {
                let mut world = World::new(FLEET.0, FLEET.1, GUARANTEED);
                for (place, server) in world.servers.values_mut().enumerate() {
                    server.speed_ratio = speeds[(place * 7 + seed as usize) % speeds.len()];
                }
                let day = load::day(kinds, seed, DAY_MS, load_ratio, (4_000, 10_000, burst));
                let ids = load::play(&mut world, kinds, &day);
                world.assert_no_task_twice();
                let report = report::count(&world, kinds, &day, &ids);
                let decisions = &world.decisions;
                println!(
                    "{name:10} load {load_ratio} seed {seed}: net {:.3} worth {:.3} lost {:.0} core-s; \
                     decisions {} mean {:.0} us, longest {:.0} us",
                    report.net_ratio(),
                    report.worth_ratio(),
                    report.lost_core_s,
                    decisions.count,
                    decisions.total.as_secs_f64() * 1e6 / f64::from(decisions.count.max(1)),
                    decisions.longest.as_secs_f64() * 1e6,
                );
            }
        }
    }
}
