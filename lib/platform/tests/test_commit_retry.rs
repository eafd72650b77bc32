//! Outcomes of commits against a table that injects faults.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_platform::{commit_retry, committer, table};
use rstest::rstest;

mod common;

const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

async fn commit(
    faulty: &common::FaultyTable,
    clock: &camphorbeam_clock::Clock,
    key: &Arc<str>,
    token: &str,
) -> commit_retry::Outcome {
    let transaction = common::put(key, 0, token);
    let is_ours = |row: &table::Row| committer::carries_token(row, token);
    commit_retry::commit(faulty, clock, COMMIT_TIMEOUT, &transaction, key, &is_ours).await
}

/// Asserts that `outcome` agrees with how often the write took effect, delayed copies included.
fn assert_consistent(outcome: &commit_retry::Outcome, applied_count: usize) {
    let is_consistent = match outcome {
        commit_retry::Outcome::Committed => applied_count == 1,
        commit_retry::Outcome::Conflict { .. } => applied_count == 0,
        commit_retry::Outcome::Unresolved { may_be_applied, .. } => {
            applied_count <= usize::from(*may_be_applied)
        }
    };
    assert!(
        is_consistent,
        "{outcome:?}, but took effect {applied_count} times"
    );
}

#[rstest]
#[case::no_fault(&[common::Fault::None])]
#[case::response_lost(&[common::Fault::ResponseLost])]
#[case::request_lost(&[common::Fault::RequestLost])]
#[case::copy_arrives_after_the_retry(&[common::Fault::Delayed])]
#[case::unreachable_at_first(&[common::Fault::Unreachable, common::Fault::Unreachable])]
#[case::response_lost_then_unreachable(&[common::Fault::ResponseLost, common::Fault::Unreachable])]
#[case::response_lost_then_read_lost(
    &[common::Fault::ResponseLost, common::Fault::None, common::Fault::RequestLost]
)]
fn test_commit_retry_commits_once(#[case] plan: &[common::Fault]) {
    let faulty = common::FaultyTable::with_plan(plan);
    let key: Arc<str> = Arc::from("request/r1");

    let outcome = common::run_with_manual_clock(|clock| {
        let (faulty, key) = (Arc::clone(&faulty), Arc::clone(&key));
        async move { commit(&faulty, &clock, &key, "t1").await }
    });
    faulty.deliver_delayed();

    assert_eq!(outcome, commit_retry::Outcome::Committed);
    assert_eq!(faulty.applied_count("t1"), 1);
    assert_eq!(faulty.row(&key).map(|row| row.version), Some(1));
}

#[rstest]
#[case::unreachable(common::Fault::Unreachable, false)]
#[case::responses_lost(common::Fault::ResponseLost, true)]
#[case::requests_lost(common::Fault::RequestLost, true)]
fn test_commit_retry_reports_whether_an_unresolved_write_may_be_applied(
    #[case] fault: common::Fault,
    #[case] expected: bool,
) {
    let faulty = common::FaultyTable::with_plan(&[fault; 100]);
    let key: Arc<str> = Arc::from("request/r1");

    let outcome = common::run_with_manual_clock(|clock| {
        let (faulty, key) = (Arc::clone(&faulty), Arc::clone(&key));
        async move { commit(&faulty, &clock, &key, "t1").await }
    });

    assert_consistent(&outcome, faulty.applied_count("t1"));
    assert!(faulty.received().len() > 1, "the write was not retried");
    match outcome {
        commit_retry::Outcome::Unresolved { may_be_applied, .. } => {
            assert_eq!(may_be_applied, expected)
        }
        other => panic!("resolved against a table that never responds: {other:?}"),
    }
}

#[rstest]
fn test_commit_retry_outcomes_match_writes_under_random_faults() {
    let key: Arc<str> = Arc::from("request/r1");
    for seed in 0..500 {
        let faulty = common::FaultyTable::with_seed(seed);
        let (first, second) = common::run_with_manual_clock(|clock| {
            let (faulty, key) = (Arc::clone(&faulty), Arc::clone(&key));
            async move {
                futures::join!(
                    commit(&faulty, &clock, &key, "t1"),
                    commit(&faulty, &clock, &key, "t2"),
                )
            }
        });
        faulty.deliver_delayed();

        println!("seed {seed}: {first:?}, {second:?}");
        assert_consistent(&first, faulty.applied_count("t1"));
        assert_consistent(&second, faulty.applied_count("t2"));
        assert!(faulty.applied_count("t1") + faulty.applied_count("t2") <= 1);
    }
}
