//! Random faults of every kind, chosen from a seed: the outcome of every request is known and the
//! journals of the backend servers show that every invariant holds.

use async_std::task;
use camphorbeam_testing::{environment, mixed_faults};
use rstest::rstest;

/// Longest time that a gang may run with only part of its members, in milliseconds: the task lease
/// and the timeouts of two orders.
const PARTIAL_GANG_MAX_MS: u64 = environment::TASK_LEASE_MS + 1_000;

/// Environment variable with an inclusive range of extra seeds, as FIRST-LAST. If it is not set,
/// the test of extra seeds does nothing.
const EXTRA_SEEDS_ENV: &str = "CAMPHORBEAM_TEST_SEEDS";

fn run_seed(seed: u64) -> mixed_faults::Report {
    let report = task::block_on(mixed_faults::run(seed, PARTIAL_GANG_MAX_MS));
    let report = report.expect("the environment can be repaired");
    println!("seed {seed}: {report:?}");
    report
}

#[rstest]
fn test_mixed_faults_break_no_invariant(#[values(1, 2, 3)] seed: u64) {
    let report = run_seed(seed);
    assert!(
        report.findings.violations.is_empty(),
        "seed {seed}: {report:#?}"
    );
}

#[rstest]
fn test_mixed_faults_of_extra_seeds_break_no_invariant() {
    let seeds = std::env::var(EXTRA_SEEDS_ENV).unwrap_or_default();
    let Some((first, last)) = seeds.split_once('-') else {
        return;
    };
    let first: u64 = first.parse().expect("the seed is a number");
    let last: u64 = last.parse().expect("the seed is a number");
    let reports: Vec<mixed_faults::Report> = (first..=last).map(run_seed).collect();
    let violations = reports
        .iter()
        .map(|report| report.findings.violations.len());
    let request_count: usize = reports.iter().map(|report| report.request_count).sum();
    let fault_count: usize = reports.iter().map(|report| report.fault_count).sum();
    let violation_count: usize = violations.sum();
    println!(
        "{} seeds: {request_count} requests, {fault_count} faults, {violation_count} violations",
        reports.len()
    );
    assert_eq!(violation_count, 0);
}
