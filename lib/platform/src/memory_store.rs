//! In-memory implementation of the row store, with fault injection, for tests.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_clock as clock;

use crate::store::{self, RowKey};
use crate::table::PlatformError;

/// The fault that the store injects into calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Calls succeed.
    #[default]
    None,
    /// Reads and writes are refused without effect, and the change feed gives no response.
    Busy,
    /// Writes take effect, but no call gets a response.
    ResponsesLost,
    /// No call gets a response; writes are held back until [`MemoryStore::apply_delayed`].
    Delayed,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<RowKey, (String, u64)>,
    history: Vec<store::Row>,
    version: u64,
    now_ms: u64,
    fault: Fault,
    delayed: Vec<store::Transaction>,
    /// The history has the changes after this version.
    history_start_version: u64,
}

/// An in-memory row store. Clones share the same rows.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    state: Arc<Mutex<State>>,
    /// Notified after every change of the state.
    has_changed: Arc<event_listener::Event>,
    feed_clock: Option<clock::Clock>,
}

fn no_response(call: &str) -> PlatformError {
    PlatformError::Unknown {
        reason: format!("{call} without an answer"),
    }
}

impl State {
    fn row(&self, key: &RowKey) -> Option<store::Row> {
        self.rows.get(key).map(|(value, version)| store::Row {
            key: key.clone(),
            value: Some(value.clone()),
            version: *version,
        })
    }

    fn apply(&mut self, transaction: &store::Transaction) -> store::Commit {
        let version_of = |key: &RowKey| self.rows.get(key).map_or(0, |(_, version)| *version);
        let holds = |condition: &store::Condition| version_of(&condition.key) == condition.version;
        if !transaction.conditions.iter().all(holds) {
            let conditions = transaction.conditions.iter();
            let rows = conditions.filter_map(|condition| self.row(&condition.key));
            return store::Commit::Conflict {
                rows: rows.collect(),
            };
        }
        self.version += 1;
        let version = self.version;
        for (key, value) in &transaction.writes {
            self.rows.insert(key.clone(), (value.clone(), version));
            self.history.extend(self.row(key));
        }
        for key in &transaction.removals {
            self.rows.remove(key);
            self.history.push(store::Row {
                key: key.clone(),
                value: None,
                version,
            });
        }
        store::Commit::Applied { version }
    }
}

impl MemoryStore {
    /// Creates an empty store whose change feed waits on `clock`. The feed of the default store
    /// replies at once.
    pub fn with_feed_clock(clock: clock::Clock) -> Self {
        Self {
            feed_clock: Some(clock),
            ..Self::default()
        }
    }

    fn update<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let output = change(&mut self.lock());
        self.has_changed.notify(usize::MAX);
        output
    }

    fn changes_after(&self, table: &str, version: u64) -> Result<store::Changes, PlatformError> {
        let state = self.lock();
        if state.fault != Fault::None {
            return Err(no_response("a feed"));
        }
        if version < state.history_start_version {
            return Ok(store::Changes::HistoryGone);
        }
        let is_new = |row: &&store::Row| row.key.table == table && row.version > version;
        Ok(store::Changes::Rows(store::Rows {
            rows: state.history.iter().filter(is_new).cloned().collect(),
            version: state.version,
            store_ms: state.now_ms,
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the fault that is injected into all further calls.
    pub fn set_fault(&self, fault: Fault) {
        self.update(|state| state.fault = fault);
    }

    /// Advances the store's clock.
    pub fn advance(&self, duration: Duration) {
        let duration_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        self.lock().now_ms += duration_ms;
    }

    /// Applies the writes held back by [`Fault::Delayed`] whose conditions still hold.
    pub fn apply_delayed(&self) {
        self.update(|state| {
            for transaction in std::mem::take(&mut state.delayed) {
                state.apply(&transaction);
            }
        });
    }

    /// Discards the history of changes.
    pub fn forget_history(&self) {
        self.update(|state| {
            state.history_start_version = state.version;
            state.history.clear();
        });
    }

    /// Returns the value of a row, if it exists.
    pub fn value(&self, key: &RowKey) -> Option<String> {
        self.lock().rows.get(key).map(|(value, _)| value.clone())
    }

    /// Writes a row unconditionally, like another client of the store.
    pub fn put(&self, key: &RowKey, value: &str) {
        let transaction = store::Transaction {
            writes: vec![(key.clone(), value.to_owned())],
            ..store::Transaction::default()
        };
        self.update(|state| state.apply(&transaction));
    }

    /// Removes a row unconditionally, like another client of the store.
    pub fn remove(&self, key: &RowKey) {
        let transaction = store::Transaction {
            removals: vec![key.clone()],
            ..store::Transaction::default()
        };
        self.update(|state| state.apply(&transaction));
    }
}

#[async_trait]
impl store::Store for MemoryStore {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        let state = self.lock();
        match state.fault {
            Fault::None => {}
            Fault::Busy => {
                return Err(PlatformError::NotApplied {
                    reason: "busy".to_owned(),
                })
            }
            Fault::ResponsesLost | Fault::Delayed => return Err(no_response("a read")),
        }
        let is_in_range = |key: &&RowKey| {
            key.table == table
                && key.part == part
                && key.key.as_str() >= from
                && (to.is_empty() || key.key.as_str() < to)
        };
        let keys: Vec<RowKey> = state.rows.keys().filter(is_in_range).cloned().collect();
        Ok(store::Rows {
            rows: keys.iter().filter_map(|key| state.row(key)).collect(),
            version: state.version,
            store_ms: state.now_ms,
        })
    }

    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        self.update(|state| match state.fault {
            Fault::None => Ok(state.apply(transaction)),
            Fault::Busy => Err(PlatformError::NotApplied {
                reason: "busy".to_owned(),
            }),
            Fault::ResponsesLost => {
                state.apply(transaction);
                Err(no_response("a write"))
            }
            Fault::Delayed => {
                state.delayed.push(transaction.clone());
                Err(no_response("a write"))
            }
        })
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        let Some(clock) = &self.feed_clock else {
            return self.changes_after(table, version);
        };
        let deadline = clock.now().plus(wait);
        loop {
            let changed = self.has_changed.listen();
            let changes = self.changes_after(table, version)?;
            let left = deadline.since(clock.now());
            match &changes {
                store::Changes::Rows(rows) if rows.rows.is_empty() && !left.is_zero() => {
                    // After the timeout, the loop ends by its deadline.
                    let _ = clock.timeout(left, changed).await;
                }
                store::Changes::Rows(_) | store::Changes::HistoryGone => return Ok(changes),
            }
        }
    }
}
