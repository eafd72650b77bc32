//! Tests the statistics of durations.

use std::time::Duration;

use camphorbeam_capacity::probe;

#[test]
fn test_probe_times_state_longest_and_mean() {
    let times = probe::DurationStats::new(&[Duration::from_millis(10), Duration::from_millis(30)]);
    assert_eq!(times.max_ms, 30);
    assert!((times.mean_ms - 20.0).abs() < 1e-9);
    assert_eq!(times.count, 2);
}

#[test]
fn test_probe_times_of_nothing_are_zero() {
    let times = probe::DurationStats::new(&[]);
    assert_eq!(times.max_ms, 0);
    assert!(times.mean_ms.abs() < f64::EPSILON);
}
