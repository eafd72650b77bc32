//! A transactional table of JSON rows.

use std::sync::Arc;

use async_trait::async_trait;
use serde_json::Value;

/// Maximum number of writes in one transaction. The platform rejects larger ones; the in-memory
/// implementation doesn't check.
pub const TRANSACTION_WRITES_MAX: usize = 256;

/// Maximum number of rows in one page of a scan.
pub const SCAN_PAGE_MAX: usize = 512;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Row {
    /// The key that identifies the row.
    pub key: Arc<str>,
    /// Increases by one with each write of the row. A row that is created again after its deletion
    /// starts at 1.
    pub version: u64,
    /// The content.
    pub value: Value,
}

/// A condition on one row.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: Arc<str>,
    /// The version that the row must have; 0 requires that the row does not exist.
    pub version: u64,
}

/// A write or deletion of one row.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// Writes that take effect atomically if every condition holds.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Transaction {
    /// The conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// The writes to apply.
    pub writes: Vec<Write>,
}

impl Transaction {
    /// Adds the condition that the row `key` has `version`.
    pub fn require(&mut self, key: &Arc<str>, version: u64) {
        self.conditions.push(Condition {
            key: Arc::clone(key),
            version,
        });
    }

    /// Adds a write of `value` to the row `key`.
    pub fn put(&mut self, key: &Arc<str>, value: Value) {
        self.writes.push(Write {
            key: Arc::clone(key),
            value: Some(value),
        });
    }

    /// Adds the deletion of the row `key`.
    pub fn delete(&mut self, key: &Arc<str>) {
        self.writes.push(Write {
            key: Arc::clone(key),
            value: None,
        });
    }
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Commit {
    /// All writes took effect.
    Committed,
    /// No write took effect because a condition does not hold.
    Conflict {
        /// The keys of the rows whose conditions do not hold.
        keys: Vec<Arc<str>>,
    },
}

/// A failed call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// The call had no effect: it was not sent, or the platform declined it. The message says "not
    /// reached" in both cases.
    #[error("the platform was not reached: {reason}")]
    NotApplied {
        /// The cause of the failure.
        reason: String,
    },
    /// No valid response arrived. A write may have taken effect or may still do so.
    #[error("the platform gave no answer, a write may have taken effect: {reason}")]
    Unknown {
        /// The cause of the failure.
        reason: String,
    },
    /// The platform rejected the call as invalid.
    #[error("the platform refused the call: {reason}")]
    Rejected {
        /// The reason that the platform gave.
        reason: String,
    },
}

/// The transactional table of the platform.
#[async_trait]
pub trait Table: Send + Sync {
    /// Reads the rows with the given keys; rows that do not exist are omitted.
    ///
    /// # Errors
    ///
    /// Any [`PlatformError`] can be returned. As a read has no effect, all mean that it failed.
    async fn read(&self, keys: &[Arc<str>]) -> Result<Vec<Row>, PlatformError>;

    /// Reads up to `limit` rows whose keys start with `prefix` and are greater than `after`, in
    /// ascending order of their keys. Returns at most [`SCAN_PAGE_MAX`] rows.
    ///
    /// # Errors
    ///
    /// As [`Self::read`].
    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<Row>, PlatformError>;

    /// Applies `transaction` atomically.
    ///
    /// # Errors
    ///
    /// After [`PlatformError::Unknown`], the transaction may have taken effect or may still do so.
    async fn commit(&self, transaction: &Transaction) -> Result<Commit, PlatformError>;
}

/// Reads all rows whose keys start with `prefix`, page by page.
///
/// # Errors
///
/// Returns the error of the first page that can't be read.
pub async fn scan_all<T: Table + ?Sized>(
    table: &T,
    prefix: &str,
) -> Result<Vec<Row>, PlatformError> {
    let mut rows: Vec<Row> = Vec::new();
    loop {
        let after = rows
            .last()
            .map_or_else(|| Arc::from(""), |row| Arc::clone(&row.key));
        let page = table.scan(prefix, &after, SCAN_PAGE_MAX).await?;
        let is_last = page.len() < SCAN_PAGE_MAX;
        rows.extend(page);
        if is_last {
            return Ok(rows);
        }
    }
}
