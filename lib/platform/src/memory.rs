//! In-memory implementation of the platform, for tests and the fake platform.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use camphorbeam_model::cluster;

use crate::{hosts, objects, table};

/// A table, an object store and a host list in memory.
#[derive(Debug, Default)]
pub struct MemoryPlatform {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<Arc<str>, table::Row>,
    objects: BTreeMap<String, Vec<u8>>,
    hosts: cluster::HostList,
    commit_count: u64,
    written_row_count: u64,
    read_count: u64,
}

/// Counts of the table operations of a platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Usage {
    /// Number of transactions received, committed or not.
    pub commits: u64,
    /// Number of rows written or deleted by committed transactions.
    pub written_rows: u64,
    /// Number of reads and of scanned pages.
    pub reads: u64,
}

impl MemoryPlatform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the host list and increments its version.
    pub fn set_hosts(&self, mut hosts: cluster::HostList) {
        let mut state = self.lock();
        hosts.version = state.hosts.version + 1;
        state.hosts = hosts;
    }

    /// Returns the current host list.
    pub fn hosts(&self) -> cluster::HostList {
        self.lock().hosts.clone()
    }

    /// Returns the counts of table operations so far.
    pub fn usage(&self) -> Usage {
        let state = self.lock();
        Usage {
            commits: state.commit_count,
            written_rows: state.written_row_count,
            reads: state.read_count,
        }
    }

    /// Reads the rows with the given keys; rows that do not exist are omitted.
    pub fn read_rows(&self, keys: &[Arc<str>]) -> Vec<table::Row> {
        let mut state = self.lock();
        state.read_count += 1;
        keys.iter()
            .filter_map(|key| state.rows.get(key).cloned())
            .collect()
    }

    /// Reads up to `limit` rows whose keys start with `prefix` and are greater than `after`.
    pub fn scan_rows(&self, prefix: &str, after: &str, limit: usize) -> Vec<table::Row> {
        let mut state = self.lock();
        state.read_count += 1;
        let start: Arc<str> = Arc::from(prefix.max(after));
        state
            .rows
            .range(start..)
            .map(|(_, row)| row)
            .skip_while(|row| &*row.key <= after)
            .take_while(|row| row.key.starts_with(prefix))
            .take(limit.min(table::SCAN_PAGE_MAX))
            .cloned()
            .collect()
    }

    /// Applies a transaction atomically. Doesn't check [`table::TRANSACTION_WRITES_MAX`].
    pub fn apply(&self, transaction: &table::Transaction) -> table::Commit {
        let mut state = self.lock();
        state.commit_count += 1;
        let keys: Vec<Arc<str>> = transaction
            .conditions
            .iter()
            .filter(|condition| state.version_of(&condition.key) != condition.version)
            .map(|condition| Arc::clone(&condition.key))
            .collect();
        if !keys.is_empty() {
            return table::Commit::Conflict { keys };
        }
        for write in &transaction.writes {
            state.write(write);
        }
        table::Commit::Committed
    }

    /// Stores `content` as the object `name`, replacing an existing one.
    pub fn put_object(&self, name: &str, content: &[u8]) {
        self.lock()
            .objects
            .insert(name.to_owned(), content.to_vec());
    }

    /// Returns the content of the object `name`, if it exists.
    pub fn object(&self, name: &str) -> Option<Vec<u8>> {
        self.lock().objects.get(name).cloned()
    }
}

impl State {
    fn version_of(&self, key: &Arc<str>) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn write(&mut self, write: &table::Write) {
        self.written_row_count += 1;
        match &write.value {
            Some(value) => {
                let row = table::Row {
                    key: Arc::clone(&write.key),
                    version: self.version_of(&write.key) + 1,
                    value: value.clone(),
                };
                self.rows.insert(Arc::clone(&write.key), row);
            }
            None => {
                self.rows.remove(&write.key);
            }
        }
    }
}

#[async_trait]
impl table::Table for MemoryPlatform {
    async fn read(&self, keys: &[Arc<str>]) -> Result<Vec<table::Row>, table::PlatformError> {
        Ok(self.read_rows(keys))
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<table::Row>, table::PlatformError> {
        Ok(self.scan_rows(prefix, after, limit))
    }

    async fn commit(
        &self,
        transaction: &table::Transaction,
    ) -> Result<table::Commit, table::PlatformError> {
        Ok(self.apply(transaction))
    }
}

#[async_trait]
impl objects::ObjectStore for MemoryPlatform {
    async fn put(&self, name: &str, content: &[u8]) -> Result<(), table::PlatformError> {
        self.put_object(name, content);
        Ok(())
    }

    async fn get(&self, name: &str) -> Result<Option<Vec<u8>>, table::PlatformError> {
        Ok(self.object(name))
    }
}

#[async_trait]
impl hosts::Hosts for MemoryPlatform {
    async fn list(
        &self,
        known_version: u64,
    ) -> Result<Option<cluster::HostList>, table::PlatformError> {
        let hosts = self.hosts();
        Ok((known_version == 0 || hosts.version != known_version).then_some(hosts))
    }
}
