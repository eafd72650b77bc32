//! Settles writes whose answer was lost.
//!
//! A write without an answer may have taken effect, may take effect later, or may never do so.
//! Reading alone can't tell the last two apart. Every transaction here puts a condition on each
//! row that it writes, so sending it again is safe: it either takes effect now, which breaks the
//! conditions of the delayed copy, or meets a conflict, and then the row tells whose write won.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;

use crate::table;

/// First pause between two tries.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(50);

/// Longest pause between two tries.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(800);

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is in effect.
    Committed,
    /// It is not in effect and never will be: these keys broke a condition.
    Conflict {
        /// The keys of the broken conditions.
        keys: Vec<Arc<str>>,
    },
    /// The platform could not be asked in time. `may_be_applied` tells whether it may be in
    /// effect.
    Unresolved {
        /// False if no byte of it has reached the platform.
        may_be_applied: bool,
        /// The last failure.
        reason: String,
    },
}

impl Outcome {
    /// Its name, for metrics.
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

/// Tells from a row whether the transaction being settled wrote it.
pub type IsOurs<'a> = &'a (dyn Fn(&table::Row) -> bool + Send + Sync);

/// Commits `transaction` and settles it within `limit` if its answer is lost.
///
/// `witness` is a row that the transaction writes, and `is_ours` tells whether that row carries
/// the transaction's unique token. Every written row must have a condition.
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
