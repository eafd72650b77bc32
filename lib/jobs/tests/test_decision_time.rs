//! The duration of a scheduling decision on a large, overloaded cluster.

use std::time::Duration;

use camphorbeam_fleet_model::{load, Simulation};

/// The scheduler decides at least every 100 ms. A longer decision delays the next one, and with it
/// lease renewals and the processing of hold replies.
const DECISION_TIME_MAX: Duration = Duration::from_millis(100);

#[test]
fn test_decision_time_is_bounded_while_hundreds_of_gangs_wait() {
    let kinds = load::large_laboratory();
    let mut sim = Simulation::new(29, 12, 300);
    // 1.25 times the usual load for 12 s; from 2 s to 8 s, urgent gangs arrive 2.2 times as often.
    let day = load::day(&kinds, 1, 12_000, 1.25, (2_000, 8_000, 2.2));
    load::run_day(&mut sim, &kinds, &day);
    let decisions = sim.decision_times;
    assert!(decisions.longest < DECISION_TIME_MAX, "{decisions:?}");
}
