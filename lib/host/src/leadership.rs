//! Leader election: the entry host that holds the lease row runs the scheduler.
//!
//! A [`Standby`] checks the row periodically and becomes a [`LeaseHolder`] once it has written the
//! row. The epoch row is written only when the lease is taken. Every write of the scheduler to
//! [`rows::SCHEDULER_PART`] is conditional on the version of that row, so that a former holder
//! can't write there.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_jobs::settings::Takeover;
use camphorbeam_model::id;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future::{self, Either};

use crate::{rows, standby_rank};

/// With uniform standbys, time between two checks of the lease by a standby, and between two
/// renewals by the holder.
pub const SCHEDULER_LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(800);

/// How long a standby considers the lease valid after it first observed its newest write.
pub const LEASE_DURATION: Duration = Duration::from_millis(3_000);

/// How long the holder considers its own lease valid, counted from before it sent the last
/// confirmed renewal. Shorter than [`LEASE_DURATION`], so that the lease expires at the holder
/// first even if the clocks of the hosts run at different speeds.
pub const HOLDER_LEASE_DURATION: Duration = Duration::from_millis(2_800);

/// Time between two renewals of [`Takeover::Ranked`], counted from when the first was sent.
const RANKED_RENEWAL_INTERVAL: Duration = Duration::from_millis(500);

/// [`LEASE_DURATION`] of [`Takeover::Ranked`].
pub const RANKED_LEASE_DURATION: Duration = Duration::from_millis(2_300);

/// [`HOLDER_LEASE_DURATION`] of [`Takeover::Ranked`].
pub const RANKED_HOLDER_LEASE_DURATION: Duration = Duration::from_millis(2_100);

/// Shortest pause between the reply to a write of the lease and the next one with
/// [`Takeover::Ranked`].
const RANKED_RENEWAL_PAUSE_MIN: Duration = Duration::from_millis(20);

/// Longest lease that a standby lets a row claim, so that a wrong value doesn't prevent takeovers
/// for good.
const CLAIMED_LEASE_MAX: Duration = Duration::from_secs(30);

/// Delay before retrying a failed check or renewal of the lease.
pub const LEASE_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Durations that follow from how hosts compete for the lease.
#[derive(Clone, Copy, Debug)]
struct LeaseTimes {
    lease: Duration,
    holder_lease: Duration,
}

impl LeaseTimes {
    fn of(takeover: Takeover) -> Self {
        match takeover {
            Takeover::Uniform => Self {
                lease: LEASE_DURATION,
                holder_lease: HOLDER_LEASE_DURATION,
            },
            Takeover::Ranked => Self {
                lease: RANKED_LEASE_DURATION,
                holder_lease: RANKED_HOLDER_LEASE_DURATION,
            },
        }
    }
}

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
    takeover: Takeover,
    observed: Option<ObservedLease>,
    hosts: standby_rank::HostList,
    /// When the next check is due, and when the lease is expected to be free for this host; used
    /// with [`Takeover::Ranked`].
    next_check_delay: Duration,
    free_at: Option<clock::Monotonic>,
    /// Position among the hosts; `None` before the first check and with [`Takeover::Uniform`].
    position: Option<standby_rank::Position>,
}

/// A host that holds the lease.
#[derive(Debug)]
pub struct LeaseHolder {
    candidate: Candidate,
    clock: clock::Clock,
    takeover: Takeover,
    /// When the newest write of the lease was sent, confirmed or not.
    sent_at: clock::Monotonic,
    epoch: id::Epoch,
    epoch_version: u64,
    lease_version: u64,
    renewed_at: clock::Monotonic,
    /// Estimated time by the store's clock at `renewed_at`.
    store_ms: u64,
    /// The newest known count of waiting jobs, which each write publishes.
    waiting: Option<rows::WaitingJobs>,
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
            takeover: Takeover::Uniform,
            observed: None,
            hosts: standby_rank::HostList::default(),
            next_check_delay: SCHEDULER_LEASE_RENEWAL_INTERVAL,
            free_at: None,
            position: None,
        }
    }

    /// Sets how this host competes for the lease; [`Takeover::Uniform`] if not set.
    pub fn with_takeover(self, takeover: Takeover) -> Self {
        Self { takeover, ..self }
    }

    /// Time after a successful check until the next one is due.
    pub fn next_check_delay(&self) -> Duration {
        self.next_check_delay
    }

    /// Reads the lease row and takes the lease if it is free.
    ///
    /// The lease is free if it was released, is held by an earlier process of this host, or has not
    /// been renewed for as long as its row and this host's [`Takeover`] require, whichever is
    /// longer. A lease that was never held is free a short time after the first check. A lease row
    /// that can't be parsed counts as released with [`Takeover::Uniform`], and as held for
    /// [`LEASE_DURATION`] with [`Takeover::Ranked`]. A host with little processor capacity waits
    /// longer.
    ///
    /// # Errors
    ///
    /// Returns the standby with the error of the store.
    pub async fn check_lease<S: Store + ?Sized>(
        mut self,
        store: &S,
    ) -> Result<LeaseCheck, (Self, PlatformError)> {
        let is_ranked = self.takeover == Takeover::Ranked;
        let is_expected_free = self.free_at.is_some_and(|at| self.clock.now() >= at);
        // The partition also has the learned state, which is much larger than the lease row. All of
        // it is read only if the epoch row is likely to be needed too.
        let (from, to) = match is_ranked && !is_expected_free {
            true => (
                rows::lease_key().key,
                format!("{}\0", rows::lease_key().key),
            ),
            false => (String::new(), String::new()),
        };
        let reading = store.rows(rows::CONTROL_TABLE, rows::SCHEDULER_PART, &from, &to);
        let control = match reading.await {
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
        let free_after = self.lease_wait(lease_row.is_some(), row.as_ref());
        self.observed = Some(ObservedLease {
            version,
            observed_at: first_observed_at,
        });
        let is_free = match is_ranked {
            true => {
                let holder = row.as_ref().and_then(|row| row.holder.as_ref());
                let is_new_cluster = lease_row.is_none();
                self.hosts.refresh(store, &self.clock, is_new_cluster).await;
                let (host, cores) = (&self.candidate.host, self.candidate.processor_cores);
                let position = self.hosts.position(host, cores, holder);
                self.is_free_for(position, first_observed_at.plus(free_after))
            }
            false => match now.since(first_observed_at).checked_sub(free_after) {
                Some(free_for) => {
                    let largest_cores = largest_cores(store).await;
                    free_for >= self.candidate.takeover_delay(largest_cores)
                }
                None => false,
            },
        };
        match is_free {
            true if from.is_empty() => {
                let epoch_row = find(&rows::epoch_key());
                self.take(store, &control, row, epoch_row).await
            }
            true => match store::read_row(store, &rows::epoch_key()).await {
                Ok((epoch_row, _)) => self.take(store, &control, row, epoch_row.as_ref()).await,
                Err(error) => Err((self, error)),
            },
            false => Ok(LeaseCheck::Standby(self)),
        }
    }

    /// Time for which the lease isn't free after the newest version of its row was first observed.
    fn lease_wait(&self, has_row: bool, row: Option<&rows::LeaseRow>) -> Duration {
        let Some(row) = row else {
            return match has_row {
                false => FIRST_LEASE_DELAY,
                // The row may be of a later build.
                true if self.takeover == Takeover::Ranked => LEASE_DURATION,
                true => Duration::ZERO,
            };
        };
        let is_our_earlier_process = row.holder.as_ref() == Some(&self.candidate.host)
            && row.process != self.candidate.process;
        let claimed = row.lease_ms.map_or(LEASE_DURATION, Duration::from_millis);
        match row.holder {
            None => Duration::ZERO,
            Some(_) if is_our_earlier_process => Duration::ZERO,
            Some(_) => claimed
                .min(CLAIMED_LEASE_MAX)
                .max(LeaseTimes::of(self.takeover).lease),
        }
    }

    /// Whether a lease that expires at `expires_at` is free for a host at `position`. Also sets
    /// when the next check is due: at the latest when the lease is expected to be free for this
    /// host.
    fn is_free_for(
        &mut self,
        position: standby_rank::Position,
        expires_at: clock::Monotonic,
    ) -> bool {
        if self
            .position
            .is_none_or(|known| known.rank != position.rank)
        {
            spdlog::info!("standby rank", kv: {
                rank = position.rank, capacity_ratio = position.capacity_ratio
            });
        }
        self.position = Some(position);
        let now = self.clock.now();
        let free_at = expires_at.plus(position.takeover_delay());
        self.free_at = Some(free_at);
        self.next_check_delay = match free_at.since(now) {
            Duration::ZERO => position.check_interval(),
            remaining => remaining.min(position.check_interval()),
        };
        now >= free_at
    }

    /// Writes the lease row and the next epoch, unless either row has changed. If the epoch row is
    /// missing or can't be parsed, the epoch begins at 1 again. The new row keeps the count of
    /// waiting jobs of `lease`, the row so far.
    async fn take<S: Store + ?Sized>(
        self,
        store: &S,
        control: &store::Rows,
        lease: Option<rows::LeaseRow>,
        epoch_row: Option<&store::Row>,
    ) -> Result<LeaseCheck, (Self, PlatformError)> {
        let previous: Option<rows::EpochRow> = parse_row(epoch_row);
        let epoch = previous
            .map_or(id::Epoch(0), |previous| previous.epoch)
            .next();
        let waiting = lease.and_then(|lease| lease.waiting);
        let row = new_lease_row(
            &self.candidate,
            self.takeover,
            epoch,
            control.store_ms,
            waiting.clone(),
        );
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
            Ok(store::Commit::Applied { version }) => {
                if let Some(position) = self.position {
                    spdlog::info!("lease taken", kv: {
                        epoch = epoch.0, rank = position.rank,
                        commit_ms = clock::as_ms(self.clock.now().since(sent_at))
                    });
                }
                Ok(LeaseCheck::Holder(LeaseHolder {
                    candidate: self.candidate,
                    clock: self.clock,
                    takeover: self.takeover,
                    sent_at,
                    epoch,
                    epoch_version: version,
                    lease_version: version,
                    renewed_at: sent_at,
                    store_ms: control.store_ms,
                    waiting,
                }))
            }
            Ok(store::Commit::Conflict { .. }) => Ok(LeaseCheck::Standby(self)),
            // If the write was applied, the row names this process as the holder. As nobody renews
            // the lease, it expires.
            Err(error) => Err((self, error)),
        }
    }
}

fn new_lease_row(
    candidate: &Candidate,
    takeover: Takeover,
    epoch: id::Epoch,
    store_ms: u64,
    waiting: Option<rows::WaitingJobs>,
) -> rows::LeaseRow {
    rows::LeaseRow {
        holder: Some(candidate.host.clone()),
        process: Arc::clone(&candidate.process),
        epoch,
        token: Arc::from(ulid::Ulid::new().to_string()),
        store_ms,
        waiting,
        lease_ms: Some(clock::as_ms(LeaseTimes::of(takeover).lease)),
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

    /// How long this holder considers its lease valid, counted from [`Self::renewed_at`].
    pub fn lease_duration(&self) -> Duration {
        LeaseTimes::of(self.takeover).holder_lease
    }

    /// Time until the next renewal is due, after one that was confirmed or not.
    pub fn next_renewal_delay(&self, is_confirmed: bool) -> Duration {
        let uniform_delay = match is_confirmed {
            true => SCHEDULER_LEASE_RENEWAL_INTERVAL,
            false => LEASE_RETRY_DELAY,
        };
        let ranked_delay = match is_confirmed {
            true => RANKED_RENEWAL_INTERVAL,
            false => LEASE_RETRY_DELAY,
        };
        let since_sent = self.clock.now().since(self.sent_at);
        match self.takeover {
            Takeover::Uniform => uniform_delay,
            Takeover::Ranked => ranked_delay
                .saturating_sub(since_sent)
                .max(RANKED_RENEWAL_PAUSE_MIN),
        }
    }

    /// Time now by the store's clock, estimated from the last confirmed renewal.
    fn store_ms(&self) -> u64 {
        let elapsed = self.clock.now().since(self.renewed_at);
        self.store_ms + clock::as_ms(elapsed)
    }

    /// Sets the number of waiting jobs of each queue, which the scheduler knew `age` ago, for the
    /// next renewals. Until then, those of the former holder are published with their own time.
    pub fn set_waiting_jobs(&mut self, by_queue: BTreeMap<id::QueueName, u64>, age: Duration) {
        self.waiting = Some(rows::WaitingJobs {
            by_queue,
            store_ms: self.store_ms().saturating_sub(clock::as_ms(age)),
        });
    }

    /// Renews the lease. An unconfirmed renewal can be repeated; once the lease is lost, the holder
    /// must not be used any more.
    pub async fn renew<S: Store + ?Sized>(&mut self, store: &S) -> LeaseWriteOutcome {
        let row = new_lease_row(
            &self.candidate,
            self.takeover,
            self.epoch,
            self.store_ms(),
            self.waiting.clone(),
        );
        self.write_lease(store, &row).await
    }

    /// Awaits `work`, which takes its time before the first renewal by the scheduler. With
    /// [`Takeover::Ranked`], renews the lease meanwhile, since a slow store may need longer for the
    /// reads than the lease lasts. Returns `None` if the lease is lost.
    pub async fn renew_while<S: Store + ?Sized, T>(
        &mut self,
        store: &S,
        work: impl Future<Output = T>,
    ) -> Option<T> {
        let mut work = pin!(work);
        if self.takeover == Takeover::Uniform {
            return Some(work.await);
        }
        let clock = self.clock.clone();
        let mut is_confirmed = true;
        loop {
            let sleeping = pin!(clock.sleep(self.next_renewal_delay(is_confirmed)));
            if let Either::Left((output, _)) = future::select(work.as_mut(), sleeping).await {
                return Some(output);
            }
            let renewing = pin!(self.renew(store));
            // A renewal that has been sent is awaited, so that its outcome is known.
            let (output, outcome) = match future::select(work.as_mut(), renewing).await {
                Either::Left((output, renewing)) => (Some(output), renewing.await),
                Either::Right((outcome, _)) => (None, outcome),
            };
            is_confirmed = outcome == LeaseWriteOutcome::Renewed;
            match (outcome, output) {
                (LeaseWriteOutcome::Lost, _) => return None,
                (_, Some(output)) => return Some(output),
                (_, None) => {}
            }
        }
    }

    /// Releases the lease, so that another host can take it at once. If the release is not
    /// confirmed, the lease expires.
    pub async fn release<S: Store + ?Sized>(&mut self, store: &S) -> LeaseWriteOutcome {
        let (candidate, takeover) = (&self.candidate, self.takeover);
        let (epoch, store_ms) = (self.epoch, self.store_ms);
        let waiting = self.waiting.clone();
        let mut row = new_lease_row(candidate, takeover, epoch, store_ms, waiting);
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
        self.sent_at = sent_at;
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
