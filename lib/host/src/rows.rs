//! Keys and values of the rows that camphorbeam keeps in the platform's store.
//!
//! The rows that the scheduler writes are in one partition, so that each of these writes can
//! be conditional on the epoch row. Its removals of expired inbox rows are in other partitions and
//! have no condition. The rows that any host writes are spread over other partitions, since a
//! partition applies one transaction at a time, and a slow store only a few per second.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use camphorbeam_model::{id, job};
use camphorbeam_platform::store;

/// Partition of the lease, the epoch and the progress of jobs.
pub const SCHEDULER_PART: &str = "main";

/// Partitions of the inbox.
pub const INBOX_PARTS: [&str; 8] = [
    "inbox-0", "inbox-1", "inbox-2", "inbox-3", "inbox-4", "inbox-5", "inbox-6", "inbox-7",
];

/// Partition of the rows of entry hosts.
pub const HOSTS_PART: &str = "hosts";

/// Returns the inbox partition that holds the rows of a job. The mapping must not change, since
/// stored rows are found by it.
pub fn inbox_part(id: &id::JobId) -> &'static str {
    let sum: usize = id.as_str().bytes().map(usize::from).sum();
    INBOX_PARTS[sum % INBOX_PARTS.len()]
}

/// Table of accepted jobs and cancellations; the scheduler follows it by its change feed.
pub const INBOX_TABLE: &str = "inbox";

/// Table of the progress of jobs; only the scheduler writes it.
pub const PROGRESS_TABLE: &str = "progress";

/// Table of the lease row and the epoch row.
pub const CONTROL_TABLE: &str = "control";

/// Table in which entry hosts register.
pub const HOSTS_TABLE: &str = "hosts";

/// Key prefix of cancellations; the job id follows. Sorts before [`JOB_PREFIX`]; nothing depends on
/// that order, since the engine accepts cancellations before or after their job.
pub const CANCEL_PREFIX: &str = "cancel.";

/// Key prefix of accepted jobs; the job id follows.
pub const JOB_PREFIX: &str = "job.";

/// Key of the row that holds an accepted job.
pub fn job_key(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(INBOX_TABLE, inbox_part(id), &format!("{JOB_PREFIX}{id}"))
}

/// Key of the row that cancels a job.
pub fn cancel_key(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(INBOX_TABLE, inbox_part(id), &format!("{CANCEL_PREFIX}{id}"))
}

/// Key of the row that holds the progress of a job.
pub fn progress_key(id: &id::JobId) -> store::RowKey {
    store::RowKey::new(PROGRESS_TABLE, SCHEDULER_PART, id.as_str())
}

/// Key of the lease row, which changes with each renewal.
pub fn lease_key() -> store::RowKey {
    store::RowKey::new(CONTROL_TABLE, SCHEDULER_PART, "lease")
}

/// Key of the epoch row, which changes only when the lease is taken.
pub fn epoch_key() -> store::RowKey {
    store::RowKey::new(CONTROL_TABLE, SCHEDULER_PART, "epoch")
}

/// Key of the row that holds the scheduler's learned state.
pub fn learned_key() -> store::RowKey {
    store::RowKey::new(CONTROL_TABLE, SCHEDULER_PART, "learned")
}

/// Key of the row that records which machines have had their upkeep in the requested waves.
pub fn maintenance_key() -> store::RowKey {
    store::RowKey::new(CONTROL_TABLE, SCHEDULER_PART, "maintenance")
}

/// Key of the row in which an entry host registers.
pub fn host_key(id: &id::HostId) -> store::RowKey {
    store::RowKey::new(HOSTS_TABLE, HOSTS_PART, id.as_str())
}

/// Content of an inbox row.
#[derive(Clone, Debug, PartialEq)]
pub enum InboxEntry {
    /// An accepted job.
    Job(id::JobId, Box<job::AcceptedJob>),
    /// The cancellation of a job.
    Cancel(id::JobId),
}

/// Parses an inbox row; returns `None` for a removed row.
///
/// # Errors
///
/// Fails if this version of the program can't parse the row.
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

/// Value of the row in which an entry host registers.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct HostRow {
    /// Address for calls from other entry hosts.
    pub peer_address: SocketAddr,
    /// Availability zone of the host.
    pub zone: id::ZoneName,
    /// Processor capacity available to the host, in cores.
    #[serde(default)]
    pub processor_share: f64,
    /// Time of the write by the store's clock.
    pub store_ms: u64,
}

/// Age beyond which the row of a host means that the host is gone.
pub const HOST_ROW_MAX_AGE_MS: u64 = 60_000;

impl HostRow {
    /// Whether the row is recent enough at `store_ms`, a time by the store's clock.
    pub fn is_fresh(&self, store_ms: u64) -> bool {
        self.store_ms.saturating_add(HOST_ROW_MAX_AGE_MS) >= store_ms
    }
}

/// Number of waiting jobs per queue: open jobs without a schedule of which no task has started.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJobs {
    /// Queues without an entry have none.
    pub by_queue: BTreeMap<id::QueueName, u64>,
    /// Time by the store's clock, as the holder estimates it, at which the scheduler knew all
    /// accepted jobs.
    pub store_ms: u64,
}

/// Value of the lease row.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(from = "LeaseRowText", into = "LeaseRowText")]
pub struct LeaseRow {
    /// Host that holds the lease; `None` if the last holder has released it.
    pub holder: Option<id::HostId>,
    /// Id of the process that holds the lease; a restarted host has a new one.
    pub process: Arc<str>,
    /// Epoch of the holder.
    pub epoch: id::Epoch,
    /// Unique id of this write.
    pub token: Arc<str>,
    /// Time of the write by the store's clock, as the holder estimates it. A release keeps the time
    /// of the last confirmed renewal.
    pub store_ms: u64,
    /// The newest count of a scheduler, of this or an earlier holder; `None` if none is known.
    pub waiting: Option<WaitingJobs>,
    /// How long a standby has to consider the lease valid after it first observed this write, in
    /// milliseconds; `None` in rows of builds that always had
    /// [`LEASE_DURATION`](crate::leadership::LEASE_DURATION).
    pub lease_ms: Option<u64>,
}

/// The lease row as it is stored. Earlier builds require `waiting`, and write an empty map there
/// also if the numbers aren't known.
#[derive(serde::Serialize, serde::Deserialize)]
struct LeaseRowText {
    holder: Option<id::HostId>,
    process: Arc<str>,
    epoch: id::Epoch,
    token: Arc<str>,
    store_ms: u64,
    waiting: BTreeMap<id::QueueName, u64>,
    /// Absent if `waiting` says nothing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    waiting_store_ms: Option<u64>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    lease_ms: Option<u64>,
}

impl From<LeaseRowText> for LeaseRow {
    fn from(text: LeaseRowText) -> Self {
        let by_queue = text.waiting;
        Self {
            holder: text.holder,
            process: text.process,
            epoch: text.epoch,
            token: text.token,
            store_ms: text.store_ms,
            waiting: text
                .waiting_store_ms
                .map(|store_ms| WaitingJobs { by_queue, store_ms }),
            lease_ms: text.lease_ms,
        }
    }
}

impl From<LeaseRow> for LeaseRowText {
    fn from(row: LeaseRow) -> Self {
        let waiting_store_ms = row.waiting.as_ref().map(|waiting| waiting.store_ms);
        Self {
            holder: row.holder,
            process: row.process,
            epoch: row.epoch,
            token: row.token,
            store_ms: row.store_ms,
            waiting: row
                .waiting
                .map(|waiting| waiting.by_queue)
                .unwrap_or_default(),
            waiting_store_ms,
            lease_ms: row.lease_ms,
        }
    }
}

/// Value of the epoch row.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct EpochRow {
    /// Increases each time the lease is taken, also by the same host. Begins at 1 again if the row
    /// is lost or can't be parsed.
    pub epoch: id::Epoch,
    /// Host that holds the lease in this epoch.
    pub holder: id::HostId,
}
