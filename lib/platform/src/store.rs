//! Rows of tables with versions, conditional transactions and a feed of changes.

use std::time::Duration;

use async_trait::async_trait;

use crate::table;

/// Most entries of one transaction: conditions, writes and removals together.
pub const TRANSACTION_ENTRIES_MAX: usize = 100;

/// Names a row.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize)]
pub struct RowKey {
    /// The table.
    pub table: String,
    /// The partition; rows of one transaction share it.
    pub part: String,
    /// The key within the partition.
    pub key: String,
}

impl RowKey {
    /// The row `key` of `table` in the partition `part`.
    pub fn new(table: &str, part: &str, key: &str) -> Self {
        Self {
            table: table.to_owned(),
            part: part.to_owned(),
            key: key.to_owned(),
        }
    }
}

/// A row that exists, or one whose removal the feed tells of.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// Its name.
    pub key: RowKey,
    /// What it holds; `None` in a feed if it was removed.
    pub value: Option<String>,
    /// The version of the transaction that wrote it.
    pub version: u64,
}

/// Rows as of one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Rows {
    /// The rows, ascending by key.
    pub rows: Vec<Row>,
    /// The newest version of the store at that moment.
    pub version: u64,
    /// The store's own steady clock, in milliseconds.
    pub store_ms: u64,
}

/// A condition on one row.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Condition {
    /// The row.
    pub key: RowKey,
    /// The version it must have; zero demands that there is no such row.
    pub version: u64,
}

/// Writes that take effect all at once, if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Transaction {
    /// What must hold.
    pub conditions: Vec<Condition>,
    /// Rows and their new values.
    pub writes: Vec<(RowKey, String)>,
    /// Rows that go.
    pub removals: Vec<RowKey>,
}

/// What the store made of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Commit {
    /// Applied, under this version.
    Applied {
        /// The version of the written rows.
        version: u64,
    },
    /// Not applied: a condition does not hold.
    Conflict {
        /// The rows of the conditions as they are; absent ones are left out.
        rows: Vec<Row>,
    },
}

/// Changes after a version.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Changes {
    /// The changed rows in order, and the version to go on from.
    Rows(Rows),
    /// The history does not reach back that far: read the whole table.
    HistoryGone,
}

/// The platform's store of rows.
#[async_trait]
pub trait Store: Send + Sync {
    /// All rows of a partition of `table` whose keys are at least `from` and, unless `to` is
    /// empty, below `to`.
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<Rows, table::PlatformError>;

    /// Applies `transaction` whole or not at all.
    async fn commit(&self, transaction: &Transaction) -> Result<Commit, table::PlatformError>;

    /// Changes of `table` after `version`; waits up to `wait` for the first.
    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<Changes, table::PlatformError>;
}

/// Reads the row `key`, if there is one.
///
/// # Errors
///
/// As [`Store::rows`].
pub async fn read_row<S: Store + ?Sized>(
    store: &S,
    key: &RowKey,
) -> Result<(Option<Row>, Rows), table::PlatformError> {
    let end = format!("{}\0", key.key);
    let mut rows = store.rows(&key.table, &key.part, &key.key, &end).await?;
    let row = rows.rows.pop();
    Ok((row, rows))
}
