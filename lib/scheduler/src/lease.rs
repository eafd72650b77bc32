//! The scheduler lease of an availability zone.
//!
//! A lease consists of two rows: each renewal changes `lease/ZONE`, but only a new holder changes
//! `epoch/ZONE`. When the scheduler of a zone writes the record of one of its requests, the write
//! is conditional on the version of the epoch row, so that a deposed scheduler can't write it.
//! Three kinds of writes have no such condition: writes of the lease row require only that row, the
//! transaction that moves a request from another zone ([`crate::relocation`]) requires only the
//! rows of the request, and answers are put into the object store unconditionally.
//!
//! A holder measures the lease from the time before it sent the renewal, a standby from the time at
//! which it observed the changed row. The lease therefore always expires at the holder first.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::id;
use camphorbeam_platform::{commit_retry, keys, table};
use camphorbeam_protocol::messages;

use crate::settings;

/// Time that a standby waits after the lease has expired before it acquires the lease, to allow
/// for clock drift.
const TAKEOVER_MARGIN: Duration = Duration::from_millis(200);

/// The value of the lease row.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LeaseRow {
    /// The holder; `None` if the last one has released the lease.
    pub holder: Option<id::HostId>,
    /// Address at which other entry hosts reach the holder.
    pub address: SocketAddr,
    /// Epoch of the holder.
    pub epoch: id::Epoch,
    /// Unique token that identifies the write.
    pub token: Arc<str>,
}

/// The value of the epoch row.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct EpochRow {
    /// The newest epoch of the zone.
    pub epoch: id::Epoch,
    /// The entry host that acquired the lease for this epoch.
    pub holder: id::HostId,
    /// Unique token that identifies the write.
    pub token: Arc<str>,
}

/// Generates unique tokens.
pub trait WriteTokenSource: Send + Sync {
    /// Returns a token that no other write uses.
    fn next(&self) -> Arc<str>;
}

/// The external services and settings that a lease depends on.
#[derive(Clone)]
pub struct LeaseDependencies {
    /// The platform's table, which holds the lease rows.
    pub table: Arc<dyn table::Table>,
    /// Clock by which leases expire.
    pub clock: clock::Clock,
    /// Generates the tokens that identify writes.
    pub write_tokens: Arc<dyn WriteTokenSource>,
    /// Settings of the scheduler.
    pub settings: Arc<settings::Settings>,
}

/// An entry host that watches the lease without holding it.
pub struct Standby {
    deps: LeaseDependencies,
    seen: Option<SeenLease>,
}

/// The newest version of the lease row that was read, and when it was first read.
struct SeenLease {
    row: LeaseRow,
    row_version: u64,
    changed_at: clock::Monotonic,
}

/// An entry host that holds the lease.
pub struct Holder {
    deps: LeaseDependencies,
    row: LeaseRow,
    row_version: u64,
    epoch_row_version: u64,
    valid_until: clock::Monotonic,
    was_released: bool,
}

/// Result of checking the lease once.
pub enum WatchResult {
    /// The lease was not acquired: another host may hold it, or the platform can't be reached.
    StillStandby(Standby),
    /// This host now holds the lease.
    Acquired(Holder),
}

/// Result of one renewal.
pub enum RenewResult {
    /// The lease is extended.
    Renewed(Holder),
    /// The renewal is not known to have taken effect, and the lease may expire.
    ///
    /// Usually the platform is unreachable; no other host can then acquire the lease either. The
    /// result is the same if the platform rejects the write, or if the row shows an earlier renewal
    /// of this holder whose response was lost; the next renewal can then succeed.
    /// [`Holder::valid_until`] is unchanged. Should another host acquire the lease, backend servers
    /// obey only the higher of the two epochs.
    Unconfirmed(Holder),
    /// This host no longer holds the lease: the lease row shows another holder or epoch or none, is
    /// missing or can't be parsed.
    Deposed(Standby),
}

impl Standby {
    /// Returns a standby that has not read the lease yet.
    pub fn new(deps: LeaseDependencies) -> Self {
        Self { deps, seen: None }
    }

    /// Returns the holder according to the last read of the lease row.
    pub fn scheduler(&self) -> Option<messages::SchedulerInfo> {
        let seen = self.seen.as_ref()?;
        scheduler_info(&seen.row)
    }

    /// Reads the lease and, if `may_acquire` is set, acquires it once it is released or expired.
    pub async fn watch(mut self, may_acquire: bool) -> WatchResult {
        let key = keys::lease(&self.deps.settings.zone);
        let Ok(rows) = self.deps.table.read(std::slice::from_ref(&key)).await else {
            return WatchResult::StillStandby(self);
        };
        let lease = rows.first();
        self.observe(lease);
        match may_acquire && self.is_acquirable() {
            true => self.read_epoch_and_acquire(lease).await,
            false => WatchResult::StillStandby(self),
        }
    }

    /// Reads the epoch row and tries to acquire the lease.
    ///
    /// The epoch is read separately because only a takeover needs it. If another host takes over
    /// between the two reads, the version of the lease row changes and the transaction fails.
    async fn read_epoch_and_acquire(self, lease: Option<&table::Row>) -> WatchResult {
        let key = keys::epoch(&self.deps.settings.zone);
        match self.deps.table.read(std::slice::from_ref(&key)).await {
            Ok(rows) => self.acquire(lease, rows.first()).await,
            Err(_) => WatchResult::StillStandby(self),
        }
    }

    fn observe(&mut self, lease: Option<&table::Row>) {
        let seen_version = self.seen.as_ref().map(|seen| seen.row_version);
        let parsed = lease.and_then(|row| {
            let value = serde_json::from_value::<LeaseRow>(row.value.clone()).ok()?;
            Some((value, row.version))
        });
        match parsed {
            Some((_, version)) if Some(version) == seen_version => {}
            Some((row, row_version)) => {
                self.seen = Some(SeenLease {
                    row,
                    row_version,
                    changed_at: self.deps.clock.now(),
                });
            }
            None => self.seen = None,
        }
    }

    /// Returns whether the lease has expired or was released. If the lease row is missing or can't
    /// be parsed, the lease can be acquired at once.
    fn is_acquirable(&self) -> bool {
        let limit = self.deps.settings.scheduler_lease + TAKEOVER_MARGIN;
        match &self.seen {
            None => true,
            Some(seen) if seen.row.holder.is_none() => true,
            Some(seen) => self.deps.clock.now().since(seen.changed_at) > limit,
        }
    }

    async fn acquire(self, lease: Option<&table::Row>, epoch: Option<&table::Row>) -> WatchResult {
        let settings = &self.deps.settings;
        let last_epoch = epoch
            .and_then(|row| serde_json::from_value::<EpochRow>(row.value.clone()).ok())
            .map_or(id::Epoch(0), |row| row.epoch);
        let token = self.deps.write_tokens.next();
        let row = LeaseRow {
            holder: Some(settings.host.clone()),
            address: settings.peer_address,
            epoch: last_epoch.next(),
            token: Arc::clone(&token),
        };
        let epoch_row = EpochRow {
            epoch: row.epoch,
            holder: settings.host.clone(),
            token,
        };
        let lease_version = lease.map_or(0, |row| row.version);
        let epoch_version = epoch.map_or(0, |row| row.version);
        let mut transaction = table::Transaction::default();
        let lease_key = keys::lease(&settings.zone);
        let epoch_key = keys::epoch(&settings.zone);
        transaction.require(&lease_key, lease_version);
        transaction.require(&epoch_key, epoch_version);
        transaction.put(&lease_key, serde_json::json!(row));
        transaction.put(&epoch_key, serde_json::json!(epoch_row));
        let sent_at = self.deps.clock.now();
        let was_released = match &self.seen {
            None => epoch.is_none(),
            Some(seen) => seen.row.holder.is_none(),
        };
        match commit(&self.deps, &transaction, &epoch_key, &row.token).await {
            commit_retry::Outcome::Committed => WatchResult::Acquired(Holder {
                valid_until: sent_at.plus(settings.scheduler_lease),
                row,
                row_version: lease_version + 1,
                epoch_row_version: epoch_version + 1,
                was_released,
                deps: self.deps,
            }),
            _ => WatchResult::StillStandby(self),
        }
    }
}

impl Holder {
    /// Continues the lease of another entry host that has handed the zone over to this one.
    ///
    /// The lease counts as expired until a renewal succeeds, so that this host makes no decision
    /// before it has asked the platform.
    pub fn from_handover(deps: LeaseDependencies, handover: &messages::LeaseHandover) -> Self {
        let row = LeaseRow {
            holder: Some(deps.settings.host.clone()),
            address: deps.settings.peer_address,
            epoch: handover.epoch,
            token: deps.write_tokens.next(),
        };
        Self {
            valid_until: deps.clock.now(),
            row,
            row_version: handover.lease_row_version,
            epoch_row_version: handover.epoch_row_version,
            was_released: false,
            deps,
        }
    }

    /// Returns what another entry host needs to continue this lease.
    pub fn to_handover(&self) -> messages::LeaseHandover {
        messages::LeaseHandover {
            zone: self.deps.settings.zone.clone(),
            epoch: self.row.epoch,
            lease_row_version: self.row_version,
            epoch_row_version: self.epoch_row_version,
        }
    }

    /// Returns the epoch of the lease.
    pub fn epoch(&self) -> id::Epoch {
        self.row.epoch
    }

    /// Returns the version of the epoch row, on which the scheduler's writes of request records are
    /// conditional.
    pub fn epoch_row_version(&self) -> u64 {
        self.epoch_row_version
    }

    /// Returns whether the predecessor had released the lease or there was no predecessor. False if
    /// the lease had expired or was handed over, or if its row was missing or could not be parsed
    /// although the zone has an epoch row.
    pub fn was_released(&self) -> bool {
        self.was_released
    }

    /// Returns the time until which no other host can hold the lease.
    pub fn valid_until(&self) -> clock::Monotonic {
        self.valid_until
    }

    /// Returns the id, address and epoch of this entry host for messages to other hosts. Never
    /// `None` for a holder.
    pub fn scheduler(&self) -> Option<messages::SchedulerInfo> {
        scheduler_info(&self.row)
    }

    /// Renews the lease once.
    pub async fn renew(mut self) -> RenewResult {
        let next = LeaseRow {
            token: self.deps.write_tokens.next(),
            ..self.row.clone()
        };
        let sent_at = self.deps.clock.now();
        match self.write_lease_row(&next).await {
            commit_retry::Outcome::Committed => {
                self.row = next;
                self.row_version += 1;
                self.valid_until = sent_at.plus(self.deps.settings.scheduler_lease);
                RenewResult::Renewed(self)
            }
            commit_retry::Outcome::Conflict { .. } => self.reload_lease_row().await,
            commit_retry::Outcome::Unresolved { .. } => RenewResult::Unconfirmed(self),
        }
    }

    /// Releases the lease, so that a successor need not wait until it expires.
    ///
    /// Returns false if the platform did not confirm the write, also if it is certain that the
    /// write had no effect. Returns true also if another write has changed the lease row first, in
    /// which case this call releases nothing.
    pub async fn release(&self) -> bool {
        let next = LeaseRow {
            holder: None,
            token: self.deps.write_tokens.next(),
            ..self.row.clone()
        };
        !matches!(
            self.write_lease_row(&next).await,
            commit_retry::Outcome::Unresolved { .. }
        )
    }

    async fn write_lease_row(&self, row: &LeaseRow) -> commit_retry::Outcome {
        let key = keys::lease(&self.deps.settings.zone);
        let mut transaction = table::Transaction::default();
        transaction.require(&key, self.row_version);
        transaction.put(&key, serde_json::json!(row));
        commit(&self.deps, &transaction, &key, &row.token).await
    }

    /// Reads the lease row again after a conflict.
    ///
    /// The cause may be an earlier renewal of this holder whose response was lost. The next renewal
    /// then builds on the row that was read.
    async fn reload_lease_row(mut self) -> RenewResult {
        let key = keys::lease(&self.deps.settings.zone);
        let Ok(rows) = self.deps.table.read(std::slice::from_ref(&key)).await else {
            return RenewResult::Unconfirmed(self);
        };
        let current = rows.first().and_then(|row| {
            let value = serde_json::from_value::<LeaseRow>(row.value.clone()).ok()?;
            Some((value, row.version))
        });
        match current {
            Some((row, version))
                if row.holder == self.row.holder && row.epoch == self.row.epoch =>
            {
                self.row_version = version;
                self.row = row;
                RenewResult::Unconfirmed(self)
            }
            _ => RenewResult::Deposed(Standby::new(self.deps)),
        }
    }
}

/// Commits a transaction, with retries for up to the time between two renewals.
async fn commit(
    deps: &LeaseDependencies,
    transaction: &table::Transaction,
    token_row_key: &Arc<str>,
    token: &Arc<str>,
) -> commit_retry::Outcome {
    let wrote_row = |row: &table::Row| camphorbeam_platform::committer::carries_token(row, token);
    commit_retry::commit(
        &*deps.table,
        &deps.clock,
        deps.settings.scheduler_renewal,
        transaction,
        token_row_key,
        &wrote_row,
    )
    .await
}

fn scheduler_info(row: &LeaseRow) -> Option<messages::SchedulerInfo> {
    Some(messages::SchedulerInfo {
        host: row.holder.clone()?,
        address: row.address,
        epoch: row.epoch,
    })
}
