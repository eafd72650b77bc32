//! Commits transactions, and retries after a lost response to find out whether the transaction took
//! effect.
//!
//! A transaction without a response may have taken effect, may take effect later, or may never take
//! effect. A read can't distinguish the last two cases. Every transaction here has a condition on
//! each row that it writes, so a retry is safe. Either the retry takes effect, and a delayed copy
//! of the transaction then fails its conditions, or the retry gets a conflict, and the row shows
//! which transaction wrote it.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;

use crate::table;

/// Delay before the first retry; it doubles with each further retry.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);

/// Maximum delay between two retries.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The transaction took effect.
    Committed,
    /// The transaction did not and never will take effect because a condition does not hold.
    Conflict {
        /// The keys of the rows whose conditions do not hold. After a group commit, they include
        /// rows that only other transactions of the group have conditions on.
        keys: Vec<Arc<str>>,
    },
    /// The platform rejected the transaction or did not confirm its outcome in time, or the
    /// committer has ended.
    Unresolved {
        /// Whether the transaction may have taken effect or may still do so. False if every attempt
        /// is known to have had no effect.
        may_be_applied: bool,
        /// The cause of the last failure.
        reason: String,
    },
}

impl Outcome {
    /// Returns the name of the outcome in metrics. There, `unsettled` stands for an unresolved
    /// outcome that may be applied.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Committed => "committed",
            Self::Conflict { .. } => "conflict",
            Self::Unresolved {
                may_be_applied: false,
                ..
            } => "not_applied",
            Self::Unresolved {
                may_be_applied: true,
                ..
            } => "unsettled",
        }
    }
}

/// Tells whether the given row was written by the transaction that is being committed.
pub type IsOurs<'a> = &'a (dyn Fn(&table::Row) -> bool + Send + Sync);

/// Commits `transaction` and retries it for up to `limit` if the call fails.
///
/// `token_row_key` is the key of a row that the transaction writes. `is_ours` returns whether that
/// row carries the unique token of the transaction. The transaction must have a condition on each
/// row that it writes.
pub async fn commit<T: table::Table + ?Sized>(
    table: &T,
    clock: &clock::Clock,
    limit: Duration,
    transaction: &table::Transaction,
    token_row_key: &Arc<str>,
    is_ours: IsOurs<'_>,
) -> Outcome {
    let deadline = clock.now().plus(limit);
    let mut may_be_applied = false;
    let mut delay = RETRY_DELAY_MIN;
    loop {
        let reason = match table.commit(transaction).await {
            Ok(table::Commit::Committed) => return Outcome::Committed,
            Ok(table::Commit::Conflict { keys }) if !may_be_applied => {
                return Outcome::Conflict { keys }
            }
            Ok(table::Commit::Conflict { keys }) => {
                match table.read(std::slice::from_ref(token_row_key)).await {
                    Ok(rows) if rows.iter().any(is_ours) => return Outcome::Committed,
                    Ok(_) => return Outcome::Conflict { keys },
                    Err(error) => error.to_string(),
                }
            }
            Err(table::PlatformError::NotApplied { reason }) => reason,
            Err(table::PlatformError::Rejected { reason }) if !may_be_applied => {
                return Outcome::Unresolved {
                    may_be_applied,
                    reason,
                }
            }
            Err(error) => {
                may_be_applied = true;
                error.to_string()
            }
        };
        if clock.now() >= deadline {
            return Outcome::Unresolved {
                may_be_applied,
                reason,
            };
        }
        clock.sleep(delay).await;
        delay = (delay * 2).min(RETRY_DELAY_MAX);
    }
}
