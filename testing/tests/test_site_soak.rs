//! `camphorbeam host` as real processes under faults by a seeded plan.

use async_std::task;
use camphorbeam_testing::site_soak;
use rstest::rstest;

/// Environment variable with further seeds, as FIRST-LAST; none if it is not set.
const SEEDS_ENV: &str = "CAMPHORBEAM_SOAK_SEEDS";

fn check(seed: u64) {
    let report = task::block_on(site_soak::run(seed)).expect("the environment starts");
    println!("seed {seed}: {:?}, {} starts", report.jobs, report.starts);
    assert!(report.starts > 0, "seed {seed} has started nothing");
    assert!(report.violations.is_empty(), "seed {seed}: {report:#?}");
}

#[rstest]
fn test_site_soak_breaks_no_promise(#[values(1, 2)] seed: u64) {
    check(seed);
}

#[test]
fn test_site_soak_of_further_seeds_breaks_no_promise() {
    let seeds = std::env::var(SEEDS_ENV).unwrap_or_default();
    let Some((first, last)) = seeds.split_once('-') else {
        return;
    };
    let first: u64 = first.parse().expect("a seed");
    let last: u64 = last.parse().expect("a seed");
    (first..=last).for_each(check);
}
