//! Single decisions of the default policy.

mod support;

use camphorbeam_placement::default_policy::DefaultPolicy;
use camphorbeam_placement::policy::{self, Policy};
use camphorbeam_placement::weights::Weights;
use rstest::rstest;
use support::harness::PolicyHarness;

/// A harness of the default policy with two racks, each of two servers with 8 accelerators and 8
/// slots.
fn harness(guarantees: &[(&str, u32, u32)]) -> PolicyHarness {
    let mut harness = PolicyHarness::new(Box::new(DefaultPolicy::new(Weights::default())));
    for (name, rack) in [
        ("a1", "rack-a"),
        ("a2", "rack-a"),
        ("b1", "rack-b"),
        ("b2", "rack-b"),
    ] {
        harness.set_server(support::server(name, rack, 8, 8));
    }
    harness.set_sheet(support::sheet(guarantees));
    harness
}

fn starts(decisions: &[policy::Decision]) -> usize {
    let is_start =
        |decision: &&policy::Decision| matches!(decision, policy::Decision::Start { .. });
    decisions.iter().filter(is_start).count()
}

#[rstest]
#[case::whole_server(8)]
#[case::two_servers(16)]
fn test_default_policy_reclaims_guarantee_from_borrowers(#[case] accelerators: u32) {
    let mut harness = harness(&[("guaranteed-account", 1, accelerators)]);
    for number in 0..32 {
        harness.submit(support::checkpointable(number, "other-account", 1));
    }
    assert_eq!(starts(&harness.decide(policy::StartScope::Any)), 32);
    let mut urgent = support::job(100, "guaranteed-account", accelerators);
    urgent.kind = camphorbeam_model::id::KindName::new("quick-check").unwrap();
    harness.submit(urgent);
    let decisions = harness.decide(policy::StartScope::Any);
    assert_eq!(decisions.len(), accelerators as usize, "{decisions:?}");
    assert_eq!(starts(&decisions), 0);
    harness.end_preempted();
    harness.decide(policy::StartScope::Any);
    assert!(harness.started.contains_key(&support::request(100)));
}

#[test]
fn test_default_policy_never_starts_non_preemptible_jobs_on_guaranteed_accelerators() {
    let mut harness = harness(&[("guaranteed-account", 4, 8)]);
    harness.submit(support::job(0, "other-account", 1));
    harness.submit(support::idempotent(1, "other-account", 1));
    harness.decide(policy::StartScope::Any);
    assert!(!harness.started.contains_key(&support::request(0)));
    assert!(harness.started.contains_key(&support::request(1)));
    let reason = harness.policy.explain(&support::request(0)).unwrap();
    assert!(reason.contains("guaranteed to others"), "{reason}");
    harness.submit(support::idempotent(2, "other-account", 16));
    let reason = harness.policy.explain(&support::request(2)).unwrap();
    assert!(reason.contains("beyond the guarantees"), "{reason}");
}

#[test]
fn test_default_policy_preempts_the_cheapest_borrower_first() {
    let mut harness = harness(&[("guaranteed-account", 1, 8)]);
    harness.submit(support::idempotent(0, "other-account", 16));
    harness.submit(support::idempotent(1, "other-account", 8));
    harness.decide(policy::StartScope::Any);
    harness.now_ms += 60_000;
    harness.submit(support::checkpointable(2, "other-account", 8));
    harness.decide(policy::StartScope::Any);
    harness.submit(support::job(3, "guaranteed-account", 8));
    harness.decide(policy::StartScope::Any);
    let stopping: Vec<bool> = harness.started.values().map(|s| s.is_stopping).collect();
    assert_eq!(stopping, [false, false, true]);
}

#[test]
fn test_default_policy_refuses_oversized_gang_immediately() {
    let mut harness = harness(&[]);
    harness.submit(support::job(0, "other-account", 17));
    harness.decide(policy::StartScope::Any);
    assert!(harness.refused.contains(&support::request(0)));
}

#[test]
fn test_default_policy_keeps_gang_waiting_while_a_server_is_replaced() {
    let mut harness = harness(&[]);
    let names = ["a2", "b2"].map(|name| support::server(name, "rack-a", 8, 8).id);
    for name in &names {
        harness.remove_server(name);
    }
    harness.submit(support::job(0, "other-account", 16));
    harness.decide(policy::StartScope::Any);
    assert!(harness.refused.is_empty());
    harness.set_server(support::server("a3", "rack-a", 8, 8));
    harness.decide(policy::StartScope::Any);
    assert!(harness.started.contains_key(&support::request(0)));
}

#[test]
fn test_default_policy_refuses_nothing_before_any_server_is_known() {
    let mut harness = PolicyHarness::new(Box::new(DefaultPolicy::new(Weights::default())));
    harness.submit(support::job(0, "other-account", 8));
    assert!(harness.decide(policy::StartScope::Any).is_empty());
}

#[test]
fn test_default_policy_reports_unmet_guarantees() {
    let mut harness = harness(&[("guaranteed-account", 4, 8)]);
    harness.decide(policy::StartScope::Any);
    assert!(harness.policy.unmet_guarantees().is_empty());
    let mut closed = support::server("a1", "rack-a", 8, 8);
    closed.health = policy::Health::Closed;
    harness.set_server(closed);
    harness.decide(policy::StartScope::Any);
    let unmet = harness.policy.unmet_guarantees();
    assert_eq!(unmet.len(), 1);
    assert!(
        unmet[0].contains("guaranteed-account: 1 guaranteed shapes of 8"),
        "{unmet:?}"
    );
}

#[test]
fn test_default_policy_adopts_jobs_before_their_server_is_known() {
    let mut policy = DefaultPolicy::new(Weights::default());
    let members = vec![camphorbeam_model::task::Member {
        server: support::server("a1", "rack-a", 8, 8).id,
        accelerators: (0..8).collect(),
    }];
    policy.adopt(support::job(0, "other-account", 8), members, 0);
    policy.set_server(support::server("a1", "rack-a", 8, 8));
    policy.submit(support::job(1, "other-account", 1));
    assert!(policy.decide(0, policy::StartScope::Any).is_empty());
    policy.record_end(&support::request(0), policy::EndCause::Stopped, 1);
    assert_eq!(starts(&policy.decide(1, policy::StartScope::Any)), 1);
}

/// Guards against starvation: small jobs of 20 minutes each keep the cluster full, and without a
/// reservation the gang would never find a free block.
#[test]
fn test_default_policy_drains_servers_for_a_waiting_gang() {
    const RUN_TIME_MINUTES: u64 = 20;
    let mut harness = harness(&[]);
    for number in 0..32 {
        harness.submit(support::job(number, "account-2", 1));
    }
    harness.decide(policy::StartScope::Any);
    harness.submit(support::job(100, "account-2", 16));
    for minute in 1..=2 * RUN_TIME_MINUTES {
        harness.now_ms += 60_000;
        let is_over = |started: &support::harness::StartedJob| {
            let ran_ms = harness.now_ms - started.started_at_ms;
            // The first jobs end staggered, in the first 20 minutes, so that accelerators never
            // become free all at once.
            let is_first_job_due = started.started_at_ms == 0
                && started.job.id.as_str()[1..].parse::<u64>().unwrap() % RUN_TIME_MINUTES < minute;
            ran_ms >= RUN_TIME_MINUTES * 60_000 || is_first_job_due
        };
        let over = harness.started.values().filter(|started| is_over(started));
        let over: Vec<_> = over.map(|started| started.job.id.clone()).collect();
        for request in over {
            harness.end(&request);
        }
        for number in 0..4 {
            harness.submit(support::job(
                1_000 + 4 * minute as usize + number,
                "account-1",
                1,
            ));
        }
        harness.decide(policy::StartScope::Any);
        if harness.started.contains_key(&support::request(100)) {
            return;
        }
    }
    panic!("the gang has not started within two run times of the small jobs");
}

#[test]
fn test_default_policy_is_deterministic() {
    let run = || {
        let mut harness = harness(&[("account-1", 2, 4), ("account-2", 1, 8)]);
        let mut log = Vec::new();
        for number in 0..60 {
            let size = [1, 2, 4, 8, 16, 3][number % 6];
            harness.submit(support::checkpointable(
                number,
                ["account-1", "account-2"][number % 2],
                size,
            ));
            harness.now_ms += 500;
            log.extend(harness.decide(policy::StartScope::Any));
            harness.end_preempted();
        }
        log
    };
    assert_eq!(run(), run());
}
