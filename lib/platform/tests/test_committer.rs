//! Group commit: each entry gets the outcome of its own writes, and of several entries that create
//! the same row only one is committed.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_platform::{commit_retry, committer};
use rstest::rstest;

mod common;

const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

fn entry(key: &str, version: u64, token: &str) -> committer::Entry {
    let key: Arc<str> = Arc::from(key);
    committer::Entry {
        transaction: common::put(&key, version, token),
        token_row_key: key,
        token: Arc::from(token),
    }
}

/// Commits `first` and queues `others` meanwhile. For these to be committed as a group, the plan of
/// `faulty` must let the first commit fail: the delay before its retry leaves time to queue them.
fn commit_as_group(
    faulty: &Arc<common::FaultyTable>,
    first: committer::Entry,
    others: Vec<committer::Entry>,
) -> Vec<commit_retry::Outcome> {
    common::run_with_manual_clock(|clock| {
        let table = Arc::clone(faulty);
        async move {
            let committer = committer::Committer::start(table, clock, COMMIT_TIMEOUT);
            let entries = std::iter::once(first).chain(others);
            let commits = entries.map(|entry| committer.commit(entry));
            futures::future::join_all(commits).await
        }
    })
}

#[rstest]
fn test_committer_commits_one_of_two_entries_for_the_same_key() {
    let faulty = common::FaultyTable::with_plan(&[common::Fault::Unreachable]);
    let others = vec![
        entry("request/r1", 0, "t1"),
        entry("request/r2", 0, "t2"),
        entry("request/r1", 0, "t3"),
    ];

    let outcomes = commit_as_group(&faulty, entry("request/r0", 0, "t0"), others);

    let keys = vec![Arc::from("request/r1")];
    assert_eq!(outcomes[1], commit_retry::Outcome::Committed);
    assert_eq!(outcomes[2], commit_retry::Outcome::Committed);
    assert_eq!(outcomes[3], commit_retry::Outcome::Conflict { keys });
    assert_eq!(faulty.applied_count("t3"), 0);
    let row = faulty
        .row(&Arc::from("request/r1"))
        .expect("the row exists");
    assert_eq!((row.version, row.value["token"].as_str()), (1, Some("t1")));
}

#[rstest]
fn test_committer_conflicting_entry_does_not_block_its_group() {
    let faulty = common::FaultyTable::with_plan(&[common::Fault::Unreachable]);
    let others = vec![
        entry("request/r1", 7, "t1"),
        entry("request/r2", 0, "t2"),
        entry("request/r3", 0, "t3"),
    ];

    let outcomes = commit_as_group(&faulty, entry("request/r0", 0, "t0"), others);

    let keys = vec![Arc::from("request/r1")];
    assert_eq!(outcomes[1], commit_retry::Outcome::Conflict { keys });
    assert_eq!(outcomes[2], commit_retry::Outcome::Committed);
    assert_eq!(outcomes[3], commit_retry::Outcome::Committed);
    let has_group = faulty.received().iter().any(|sent| sent.writes.len() > 1);
    assert!(has_group, "no group was formed");
}

#[rstest]
fn test_committer_entries_that_expect_different_versions_of_a_row_do_not_share_a_group() {
    let faulty = common::FaultyTable::with_plan(&[common::Fault::Unreachable]);
    let epoch: Arc<str> = Arc::from("epoch/z1");
    let entry_with_epoch = |key: &str, epoch_version: u64, token: &str| {
        let mut entry = entry(key, 0, token);
        entry.transaction.require(&epoch, epoch_version);
        entry
    };
    let others = vec![
        entry_with_epoch("request/r1", 1, "t1"),
        entry_with_epoch("request/r2", 0, "t2"),
        entry_with_epoch("request/r3", 0, "t3"),
    ];

    let outcomes = commit_as_group(&faulty, entry("request/r0", 0, "t0"), others);

    let keys = vec![Arc::clone(&epoch)];
    assert_eq!(outcomes[1], commit_retry::Outcome::Conflict { keys });
    assert_eq!(outcomes[2], commit_retry::Outcome::Committed);
    assert_eq!(outcomes[3], commit_retry::Outcome::Committed);
}

#[rstest]
fn test_committer_outcomes_match_writes_under_random_faults() {
    for seed in 0..200 {
        let faulty = common::FaultyTable::with_seed(seed);
        let others = (1..24)
            .map(|number| {
                entry(
                    &format!("request/r{}", number % 7),
                    0,
                    &format!("t{number}"),
                )
            })
            .collect();

        let outcomes = commit_as_group(&faulty, entry("request/r0", 0, "t0"), others);
        faulty.deliver_delayed();

        for (number, outcome) in outcomes.iter().enumerate() {
            let applied_count = faulty.applied_count(&format!("t{number}"));
            let is_consistent = match outcome {
                commit_retry::Outcome::Committed => applied_count == 1,
                commit_retry::Outcome::Conflict { .. } => applied_count == 0,
                commit_retry::Outcome::Unresolved { may_be_applied, .. } => {
                    applied_count <= usize::from(*may_be_applied)
                }
            };
            assert!(
                is_consistent,
                "seed {seed}, t{number}: {outcome:?}, applied {applied_count} times"
            );
        }
    }
}
