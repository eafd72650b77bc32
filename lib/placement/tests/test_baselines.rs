//! Baseline policies: invariants that all of them keep (gangs are whole and adjacent, and no
//! accelerator is allocated twice), and how they differ.

mod support;

use camphorbeam_placement::policy::{self, Policy};
use camphorbeam_placement::{fifo, fifo_backfill, quota_count};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use support::harness::PolicyHarness;

fn by_name(name: &str) -> Box<dyn Policy> {
    match name {
        "fifo" => Box::new(fifo::Fifo::new()),
        "fifo-backfill" => Box::new(fifo_backfill::FifoBackfill::new()),
        _ => Box::new(quota_count::QuotaCount::new()),
    }
}

fn harness(name: &str) -> PolicyHarness {
    let mut harness = PolicyHarness::new(by_name(name));
    harness.has_guarantees = false;
    for (server, rack) in [("a1", "rack-a"), ("a2", "rack-a"), ("b1", "rack-b")] {
        harness.set_server(support::server(server, rack, 8, 8));
    }
    harness.set_sheet(support::sheet(&[("guaranteed-account", 1, 8)]));
    harness
}

#[rstest]
fn test_baselines_allocate_gangs_whole_and_accelerators_once(
    #[values("fifo", "fifo-backfill", "quota-count")] name: &str,
    #[values(1, 2, 3, 4, 5)] seed: u64,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut harness = harness(name);
    for number in 0..400 {
        let size = [0, 1, 1, 2, 3, 4, 8, 16, 40][rng.random_range(0..9)];
        let account = ["guaranteed-account", "other-account"][rng.random_range(0..2)];
        let mut job = support::job(number, account, size);
        job.idempotent = rng.random_bool(0.5);
        job.checkpointable = rng.random_bool(0.5);
        job.declared_run_time_ms = rng.random_range(0..100_000);
        harness.submit(job);
        harness.now_ms += rng.random_range(0..10_000);
        harness.decide(policy::StartScope::Any);
        harness.end_preempted();
        for _ in 0..rng.random_range(0..3) {
            let running = harness.started.len().max(1);
            let request = harness.started.keys().nth(rng.random_range(0..running));
            if let Some(request) = request.cloned() {
                harness.end(&request);
            }
        }
    }
    assert!(
        !harness.refused.is_empty(),
        "jobs of 40 accelerators must be refused"
    );
}

#[rstest]
#[case::fifo("fifo", false)]
#[case::fifo_backfill("fifo-backfill", true)]
fn test_baselines_only_fifo_backfill_starts_jobs_behind_a_waiting_gang(
    #[case] name: &str,
    #[case] is_started: bool,
) {
    let mut harness = harness(name);
    harness.submit(support::job(0, "other-account", 8));
    harness.submit(support::job(1, "other-account", 16));
    harness.decide(policy::StartScope::Any);
    harness.submit(support::job(2, "other-account", 1));
    harness.decide(policy::StartScope::Any);
    assert_eq!(
        harness.started.contains_key(&support::request(2)),
        is_started
    );
}

#[test]
fn test_baselines_quota_count_reclaims_by_count() {
    let mut harness = harness("quota-count");
    for number in 0..24 {
        harness.submit(support::checkpointable(number, "other-account", 1));
    }
    harness.decide(policy::StartScope::Any);
    harness.submit(support::job(100, "guaranteed-account", 8));
    let decisions = harness.decide(policy::StartScope::Any);
    assert_eq!(decisions.len(), 8, "{decisions:?}");
}
