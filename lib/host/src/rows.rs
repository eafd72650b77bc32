//! Rows that camphorbeam keeps in the platform's store.
//!
//! What a scheduler writes is in one partition, so that each of its writes can have a condition on
//! the row of its epoch. What any host writes is spread over others: a partition takes one
//! transaction after the other, and a slow store only a few a second.

use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_model::{id, job};
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;

/// The partition of the lease, the epoch and the progress of jobs.
pub const SCHEDULER_PART: &str = "main";

/// The partitions of the inbox.
pub const INBOX_PARTS: [&str; 8] = [
    "inbox-0", "inbox-1", "inbox-2", "inbox-3", "inbox-4", "inbox-5", "inbox-6", "inbox-7",
];

/// The partition of the entry hosts.
pub const HOSTS_PART: &str = "hosts";

/// The partition of the inbox that a job is in.
pub fn inbox_part(id: &id::JobId) -> &'static str {
    let sum: usize = id.as_str().bytes().map(usize::from).sum();
    INBOX_PARTS[sum % INBOX_PARTS.len()]
}

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
pub fn job_key(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(INBOX_TABLE, inbox_part(id), &format!("{JOB_PREFIX}{id}"))
}

/// The row that cancels a job.
pub fn cancel_key(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(INBOX_TABLE, inbox_part(id), &format!("{CANCEL_PREFIX}{id}"))
}

/// The row of a job's progress.
pub fn progress_key(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(PROGRESS_TABLE, SCHEDULER_PART, id.as_str())
}

/// The row of the lease; changes with each renewal.
pub fn lease_key() -> store::RowKey {
    store::RowKey::new(CONTROL_TABLE, SCHEDULER_PART, "lease")
}

/// The row of the epoch; changes only with the holder.
pub fn epoch_key() -> store::RowKey {
    store::RowKey::new(CONTROL_TABLE, SCHEDULER_PART, "epoch")
}

/// The row of an entry host.
pub fn host_key(id: &id::HostId) -> store::RowKey {
    store::RowKey::new(HOSTS_TABLE, HOSTS_PART, id.as_str())
}

/// Reads the whole inbox.
///
/// # Errors
///
/// Returns the first error of the store.
pub async fn read_inbox<S: Store + ?Sized>(store: &S) -> Result<store::Rows, PlatformError> {
    let reads = INBOX_PARTS.map(|part| store.rows(INBOX_TABLE, part, "", ""));
    let mut inbox = store::Rows::default();
    for part in futures::future::try_join_all(reads).await? {
        // Changes are followed from the oldest of the answers.
        inbox.version = match inbox.version {
            0 => part.version,
            known => known.min(part.version),
        };
        inbox.store_ms = inbox.store_ms.max(part.store_ms);
        inbox.rows.extend(part.rows);
    }
    Ok(inbox)
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
pub fn parse_inbox_entry(row: &store::Row) -> anyhow::Result<Option<InboxEntry>> {
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
    /// Processor time that it has, in cores.
    #[serde(default)]
    pub processor_share: f64,
    /// The store's clock when it was written.
    pub store_ms: u64,
}

/// Age from which a host's row belongs to a host that is gone.
pub const HOST_ROW_MAX_AGE_MS: u64 = 60_000;

impl HostRow {
    /// Whether the host has written it lately, by the store's clock.
    pub fn is_fresh(&self, store_ms: u64) -> bool {
        self.store_ms + HOST_ROW_MAX_AGE_MS >= store_ms
    }
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
