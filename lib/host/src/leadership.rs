//! Leader election: the entry host that holds the lease row runs the scheduler.
//!
//! A [`Standby`] checks the row periodically and becomes a [`LeaseHolder`] once it has written the
//! row. The epoch row is written only when the lease is taken. Every write of the scheduler to
//! [`rows::SCHEDULER_PART`] is conditional on the version of that row, so that a former holder
//! can't write there.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::id;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;

use crate::rows;

/// Time between two checks of the lease by a standby, and between two renewals by the holder.
pub const SCHEDULER_LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(800);

/// How long a standby considers the lease valid after it first observed its newest write.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_000);

/// How long the holder considers its own lease valid, counted from before it sent the last
/// confirmed renewal. Shorter than [`LEASE_DURATION`], so that the lease expires at the holder
/// first even if the clocks of the hosts run at different speeds.
pub const HOLDER_LEASE_DURATION: Duration = Duration::from_millis(2_800);

/// Fractions of the largest processor capacity of any registered host. A host below the first
/// fraction waits one renewal interval longer before it takes a free lease, a host below the second
/// one waits two.
const TAKEOVER_DELAY_RATIOS: [f64; 2] = [0.67, 0.34];

/// Time after its first check for which a host doesn't take a lease that was never held, so that
/// all hosts of a new cluster can register their processor capacity.
const FIRST_LEASE_DELAY: Duration = Duration::from_millis(600);

/// A host that competes for the lease.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Id of this host.
    pub host: id::HostId,
    /// Id of this process; differs after a restart.
    pub process: Arc<str>,
    /// Processor capacity available to this host, in cores.
    pub processor_cores: f64,
}

impl Candidate {
    /// Additional time that this host waits before it takes a free lease, if the largest processor
    /// capacity of any host is `largest_cores`. Scheduling needs more processor capacity
    /// than the weakest hosts have.
    fn takeover_delay(&self, largest_cores: f64) -> Duration {
        let ratio = self.processor_cores / largest_cores.max(self.processor_cores);
        let intervals = TAKEOVER_DELAY_RATIOS
            .iter()
            .filter(|threshold| ratio < **threshold)
            .count();
        SCHEDULER_LEASE_RENEWAL_INTERVAL * u32::try_from(intervals).unwrap_or(0)
    }
}

/// Largest processor capacity of any registered host, in cores; zero if the hosts can't be read.
async fn largest_cores<S: Store + ?Sized>(store: &S) -> f64 {
    let registered = match store
        .rows(rows::HOSTS_TABLE, rows::HOSTS_PART, "", "")
        .await
    {
        Ok(registered) => registered,
        Err(error) => {
            let reason = error.to_string();
            spdlog::warn!("failed to read the registered hosts before taking the lease", kv: {
                reason = reason.as_str()
            });
            return 0.0;
        }
    };
    let hosts = registered
        .rows
        .iter()
        .filter_map(|row| parse_row::<rows::HostRow>(Some(row)));
    let fresh_hosts = hosts.filter(|host| host.is_fresh(registered.store_ms));
    fresh_hosts
        .map(|host| host.processor_share)
        .fold(0.0, f64::max)
}

/// A version of the lease row, and when it was first observed.
#[derive(Clone, Debug)]
struct ObservedLease {
    version: u64,
    observed_at: clock::Monotonic,
}

/// A host that doesn't hold the lease.
#[derive(Debug)]
pub struct Standby {
    candidate: Candidate,
    clock: clock::Clock,
    observed: Option<ObservedLease>,
}

/// A host that holds the lease.
#[derive(Debug)]
pub struct LeaseHolder {
    candidate: Candidate,
    clock: clock::Clock,
    epoch: id::Epoch,
    epoch_version: u64,
    lease_version: u64,
    renewed_at: clock::Monotonic,
    /// Estimated time by the store's clock at `renewed_at`.
    store_ms: u64,
}

/// Result of a check of the lease by a standby.
#[derive(Debug)]
pub enum LeaseCheck {
    /// Another host holds the lease or has just taken it, or this host still has to wait.
    Standby(Standby),
    /// This host has taken the lease.
    Holder(LeaseHolder),
}

/// Result of a renewal or a release of the lease.
#[derive(Debug, PartialEq, Eq)]
pub enum LeaseWriteOutcome {
    /// The renewal or release was applied. The name of the variant is logged, also for a release.
    Renewed,
    /// The write was not confirmed: it failed, its outcome is unknown, or it conflicted with an
    /// earlier write of this process in this epoch. It can be retried.
    Unconfirmed(PlatformError),
    /// The lease row was written by another process or in another epoch, is gone, or can't be
    /// parsed.
    Lost,
}

fn parse_row<T: serde::de::DeserializeOwned>(row: Option<&store::Row>) -> Option<T> {
    let value = row?.value.as_deref()?;
    match serde_json::from_str(value) {
        Ok(parsed) => Some(parsed),
        Err(error) => {
            spdlog::error!("failed to parse a row", kv: { error = error.to_string().as_str() });
            None
        }
    }
}

fn encode<T: serde::Serialize>(value: &T) -> Result<String, PlatformError> {
    serde_json::to_string(value).map_err(|error| PlatformError::Rejected {
        reason: format!("failed to serialize a row: {error}"),
    })
}

impl Standby {
    /// Creates a standby that has not checked the lease yet.
    pub fn new(candidate: Candidate, clock: clock::Clock) -> Self {
        Self {
            candidate,
            clock,
            observed: None,
        }
    }

    /// Reads the lease row and takes the lease if it is free.
    ///
    /// The lease is free if it was released, is held by an earlier process of this host, or has not
    /// been renewed for [`LEASE_DURATION`]. A lease that was never held is free a short time after
    /// the first check. A lease row that can't be parsed counts as released. A host with little
    /// processor capacity waits longer.
    ///
    /// # Errors
    ///
    /// Returns the standby with the error of the store.
    pub async fn check_lease<S: Store + ?Sized>(
        mut self,
        store: &S,
    ) -> Result<LeaseCheck, (Self, PlatformError)> {
        let control = match store
            .rows(rows::CONTROL_TABLE, rows::SCHEDULER_PART, "", "")
            .await
        {
            Ok(control) => control,
            Err(error) => return Err((self, error)),
        };
        let now = self.clock.now();
        let find = |key: &store::RowKey| control.rows.iter().find(|row| &row.key == key);
        let lease_row = find(&rows::lease_key());
        let version = lease_row.map_or(0, |row| row.version);
        let row: Option<rows::LeaseRow> = parse_row(lease_row);
        let first_observed_at = match &self.observed {
            Some(observed) if observed.version == version => observed.observed_at,
            _ => now,
        };
        let is_released = row.as_ref().is_none_or(|row| row.holder.is_none());
        let is_our_earlier_process = row.as_ref().is_some_and(|row| {
            row.holder.as_ref() == Some(&self.candidate.host)
                && row.process != self.candidate.process
        });
        let free_after = match () {
            () if lease_row.is_none() => FIRST_LEASE_DELAY,
            () if is_released || is_our_earlier_process => Duration::ZERO,
            () => LEASE_DURATION,
        };
        let free_for = now.since(first_observed_at).checked_sub(free_after);
        self.observed = Some(ObservedLease {
            version,
            observed_at: first_observed_at,
        });
        let is_free = match free_for {
            Some(free_for) => free_for >= self.candidate.takeover_delay(largest_cores(store).await),
            None => false,
        };
        match is_free {
            true => self.take(store, &control, find(&rows::epoch_key())).await,
            false => Ok(LeaseCheck::Standby(self)),
        }
    }

    /// Writes the lease row and the next epoch, unless either row has changed. If the epoch row is
    /// missing or can't be parsed, the epoch begins at 1 again.
    async fn take<S: Store + ?Sized>(
        self,
        store: &S,
        control: &store::Rows,
        epoch_row: Option<&store::Row>,
    ) -> Result<LeaseCheck, (Self, PlatformError)> {
        let previous: Option<rows::EpochRow> = parse_row(epoch_row);
        let epoch = previous
            .map_or(id::Epoch(0), |previous| previous.epoch)
            .next();
        let row = new_lease_row(&self.candidate, epoch, control.store_ms, BTreeMap::new());
        let epoch_value = rows::EpochRow {
            epoch,
            holder: self.candidate.host.clone(),
        };
        let (lease_text, epoch_text) = match (encode(&row), encode(&epoch_value)) {
            (Ok(lease), Ok(epoch)) => (lease, epoch),
            (Err(error), _) | (_, Err(error)) => return Err((self, error)),
        };
        let transaction = store::Transaction {
            conditions: vec![
                store::Condition {
                    key: rows::lease_key(),
                    version: self
                        .observed
                        .as_ref()
                        .map_or(0, |observed| observed.version),
                },
                store::Condition {
                    key: rows::epoch_key(),
                    version: epoch_row.map_or(0, |row| row.version),
                },
            ],
            writes: vec![
                (rows::lease_key(), lease_text),
                (rows::epoch_key(), epoch_text),
            ],
            removals: Vec::new(),
        };
        let sent_at = self.clock.now();
        match store.commit(&transaction).await {
            Ok(store::Commit::Applied { version }) => Ok(LeaseCheck::Holder(LeaseHolder {
                candidate: self.candidate,
                clock: self.clock,
                epoch,
                epoch_version: version,
                lease_version: version,
                renewed_at: sent_at,
                store_ms: control.store_ms,
            })),
            Ok(store::Commit::Conflict { .. }) => Ok(LeaseCheck::Standby(self)),
            // If the write was applied, the row names this process as the holder. As nobody renews
            // the lease, it expires.
            Err(error) => Err((self, error)),
        }
    }
}

fn new_lease_row(
    candidate: &Candidate,
    epoch: id::Epoch,
    store_ms: u64,
    waiting: BTreeMap<id::QueueName, u64>,
) -> rows::LeaseRow {
    rows::LeaseRow {
        holder: Some(candidate.host.clone()),
        process: Arc::clone(&candidate.process),
        epoch,
        token: Arc::from(ulid::Ulid::new().to_string()),
        store_ms,
        waiting,
    }
}

impl LeaseHolder {
    /// Epoch of this lease, sent with every order.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Condition on every write to [`rows::SCHEDULER_PART`] under this lease: the epoch row is
    /// unchanged.
    pub fn epoch_condition(&self) -> store::Condition {
        store::Condition {
            key: rows::epoch_key(),
            version: self.epoch_version,
        }
    }

    /// When the last confirmed renewal was sent.
    pub fn renewed_at(&self) -> clock::Monotonic {
        self.renewed_at
    }

    /// Renews the lease and publishes the number of waiting jobs of each queue. An unconfirmed
    /// renewal can be repeated; once the lease is lost, the holder must not be used any more.
    pub async fn renew<S: Store + ?Sized>(
        &mut self,
        store: &S,
        waiting: BTreeMap<id::QueueName, u64>,
    ) -> LeaseWriteOutcome {
        let elapsed = self.clock.now().since(self.renewed_at);
        let store_ms = self.store_ms + clock::as_ms(elapsed);
        let row = new_lease_row(&self.candidate, self.epoch, store_ms, waiting);
        self.write_lease(store, &row).await
    }

    /// Releases the lease, so that another host can take it at once. If the release is not
    /// confirmed, the lease expires.
    pub async fn release<S: Store + ?Sized>(&mut self, store: &S) -> LeaseWriteOutcome {
        let mut row = new_lease_row(&self.candidate, self.epoch, self.store_ms, BTreeMap::new());
        row.holder = None;
        self.write_lease(store, &row).await
    }

    async fn write_lease<S: Store + ?Sized>(
        &mut self,
        store: &S,
        row: &rows::LeaseRow,
    ) -> LeaseWriteOutcome {
        let text = match encode(row) {
            Ok(text) => text,
            Err(error) => return LeaseWriteOutcome::Unconfirmed(error),
        };
        let sent_at = self.clock.now();
        let transaction = store::Transaction {
            conditions: vec![
                store::Condition {
                    key: rows::lease_key(),
                    version: self.lease_version,
                },
                self.epoch_condition(),
            ],
            writes: vec![(rows::lease_key(), text)],
            removals: Vec::new(),
        };
        match store.commit(&transaction).await {
            Ok(store::Commit::Applied { version }) => {
                self.lease_version = version;
                self.renewed_at = sent_at;
                self.store_ms = row.store_ms;
                LeaseWriteOutcome::Renewed
            }
            Ok(store::Commit::Conflict { rows: current }) => self.resolve_conflict(&current),
            Err(error) => LeaseWriteOutcome::Unconfirmed(error),
        }
    }

    /// Handles a conflict: the row may hold an earlier write of this process whose reply was lost.
    /// Then the next renewal continues from its version.
    fn resolve_conflict(&mut self, current: &[store::Row]) -> LeaseWriteOutcome {
        let lease_row = current.iter().find(|row| row.key == rows::lease_key());
        let lease: Option<rows::LeaseRow> = parse_row(lease_row);
        match (lease_row, lease) {
            (Some(row), Some(lease))
                if lease.process == self.candidate.process && lease.epoch == self.epoch =>
            {
                self.lease_version = row.version;
                LeaseWriteOutcome::Unconfirmed(PlatformError::Unknown {
                    reason: "an earlier write of the lease was applied, but its reply was lost"
                        .to_owned(),
                })
            }
            _ => LeaseWriteOutcome::Lost,
        }
    }
}
