//! Rows that camphorbeam keeps in the platform's store.
//!
//! All are in one partition, so that every write of a scheduler can have a condition on the row of
//! its epoch.

use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_model::{id, job};
use camphorbeam_platform::store;

/// The partition.
pub const PART: &str = "main";

/// Table of accepted jobs and of cancellations; its feed tells the scheduler of both.
pub const INBOX_TABLE: &str = "inbox";

/// Table of the progress of jobs; written by the scheduler alone.
pub const PROGRESS_TABLE: &str = "progress";

/// Table of the scheduler lease.
pub const CONTROL_TABLE: &str = "control";

/// Table of entry hosts.
pub const HOSTS_TABLE: &str = "hosts";

/// What keys of cancellations begin with; ids of jobs follow. Sorts before [`JOB_PREFIX`].
pub const CANCEL_PREFIX: &str = "cancel.";

/// What keys of accepted jobs begin with.
pub const JOB_PREFIX: &str = "job.";

/// The row of an accepted job.
pub fn job(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(INBOX_TABLE, PART, &format!("{JOB_PREFIX}{id}"))
}

/// The row that cancels a job.
pub fn cancel(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(INBOX_TABLE, PART, &format!("{CANCEL_PREFIX}{id}"))
}

/// The row of a job's progress.
pub fn progress(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(PROGRESS_TABLE, PART, id.as_str())
}

/// The row of the lease; changes with each renewal.
pub fn lease() -> store::RowKey {
    store::RowKey::new(CONTROL_TABLE, PART, "lease")
}

/// The row of the epoch; changes only with the holder.
pub fn epoch() -> store::RowKey {
    store::RowKey::new(CONTROL_TABLE, PART, "epoch")
}

/// The row of an entry host.
pub fn host(id: &id::HostId) -> store::RowKey {
    store::RowKey::new(HOSTS_TABLE, PART, id.as_str())
}

/// What a row of the inbox is about.
#[derive(Clone, Debug, PartialEq)]
pub enum InboxEntry {
    /// A job was accepted.
    Job(id::JobId, Box<job::AcceptedJob>),
    /// A job was cancelled.
    Cancel(id::JobId),
}

/// Reads a row of the inbox; `None` for one that was removed.
///
/// # Errors
///
/// Fails for a row that this build can't read.
pub fn inbox_entry(row: &store::Row) -> anyhow::Result<Option<InboxEntry>> {
    let Some(value) = &row.value else {
        return Ok(None);
    };
    match row.key.key.strip_prefix(CANCEL_PREFIX) {
        Some(id) => Ok(Some(InboxEntry::Cancel(id::JobId::new(id)?))),
        None => {
            let id = row.key.key.strip_prefix(JOB_PREFIX).unwrap_or_default();
            let accepted = serde_json::from_str(value)?;
            Ok(Some(InboxEntry::Job(
                id::JobId::new(id)?,
                Box::new(accepted),
            )))
        }
    }
}

/// The value of a host's row.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct HostRow {
    /// Where other hosts reach it.
    pub peer_address: SocketAddr,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// The store's clock when it was written.
    pub store_ms: u64,
}

/// The value of the lease row.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRow {
    /// Who holds it; nobody if the last holder has handed it back.
    pub holder: Option<id::HostId>,
    /// The process that holds it: a restarted host is another one.
    pub process: Arc<str>,
    /// Epoch of the holder.
    pub epoch: id::Epoch,
    /// Tells this write from all others.
    pub token: Arc<str>,
    /// The store's clock, as the holder last read it.
    pub store_ms: u64,
    /// Jobs of each queue of which no task has started.
    pub waiting: std::collections::BTreeMap<id::QueueName, u64>,
}

/// The value of the epoch row.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EpochRow {
    /// The epoch.
    pub epoch: id::Epoch,
    /// Its holder.
    pub holder: id::HostId,
}
