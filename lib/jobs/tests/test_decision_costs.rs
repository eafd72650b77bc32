//! What a decision costs on a large fleet under more load than it can carry.

use std::time::Duration;

use camphorbeam_fleet_model::{load, World};

/// The scheduler decides at least each 100 ms; a decision that takes more than a quarter of that
/// leaves too little time for leases and lists.
const DECISION_MEAN_MAX: Duration = Duration::from_millis(25);

#[test]
fn test_decisions_stay_short_while_hundreds_of_gangs_wait() {
    let kinds = load::large_laboratory();
    let mut world = World::new(29, 12, 300);
    let day = load::day(&kinds, 1, 12_000, 1.25, (2_000, 8_000, 2.2));
    load::play(&mut world, &kinds, &day);
    let decisions = world.decisions;
    let mean = decisions.total / decisions.count;
    assert!(mean < DECISION_MEAN_MAX, "{decisions:?}");
}
