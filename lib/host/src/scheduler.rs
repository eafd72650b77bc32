//! Runs the scheduler while this host holds the scheduler lease.
//!
//! The [`Scheduler`] passes jobs, cancellations, server registrations and replies to the engine,
//! sends the orders that the engine decides on, and stores the progress of jobs. Separate
//! background tasks watch the inbox, watch the server registry, decide, and store progress. One
//! more per backend server renews that server's lease, and short-lived ones send orders.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_jobs::advice::{AdviceOutcome, Adviser, Ask};
use camphorbeam_jobs::engine::{self, Engine};
use camphorbeam_jobs::interference;
use camphorbeam_jobs::orders::{self, BackendServers};
use camphorbeam_jobs::progress;
use camphorbeam_jobs::settings as job_settings;
use camphorbeam_model::{fleet, id};
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;

use crate::inbox_reader::InboxReader;
use crate::stored_state::{StateReader, StoredState};
use crate::{
    advisor, event_log, feed_pacing, leadership, learned_state, machines, metrics,
    operator_requests, partition_reader, platform_schema, relay, rows, terms_watcher, wakeup,
};

/// Maximum time that the decision loop waits for a wakeup while there are open jobs.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time that the decision loop waits for a wakeup while there are no open jobs, and that
/// the loop that stores progress waits while there is none to store.
pub(crate) const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before a decision, so that one decision handles several events.
const EVENT_BATCH_DELAY: Duration = Duration::from_millis(8);

/// Pause after a decision, as a multiple of the decision's duration. A host that is too slow for
/// its fleet decides less often, and still has time to renew leases and process the servers'
/// reports on runs.
const DECISION_PAUSE_RATIO: u32 = 3;

/// Long-poll timeout of a request for inbox changes. Short, since an urgent job that is accepted
/// while the feed is silent waits until the next request.
const INBOX_POLL_TIMEOUT: Duration = Duration::from_millis(300);

/// Long-poll timeout of a request for changes to the server registry.
const REGISTRY_POLL_TIMEOUT: Duration = Duration::from_millis(900);

/// Time between two full reads of the server registry, which find changes that the feed missed.
const REGISTRY_READ_INTERVAL: Duration = Duration::from_millis(4_000);

/// Delay before retrying a failed call to the store.
pub(crate) const STORE_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Delay before the next renewal of a backend server's lease when the last one failed or none may
/// be sent.
const SERVER_LEASE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Interval of the checks whether the outcomes of runs that a server reported as ended are stored,
/// so that the next renewal can acknowledge them. Also the pause after an immediate reply.
const RUN_END_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum time that a renewal is delayed until the outcomes of ended runs are stored. After that,
/// renewing the lease matters more than acknowledging the ends.
const RUN_END_WAIT_MAX: Duration = Duration::from_millis(900);

/// What the scheduler needs from the rest of the host.
#[derive(Clone)]
pub struct Dependencies {
    /// Holds the inbox, the progress of jobs and the server registry.
    pub store: Arc<relay::RelayedStore>,
    /// Sends orders to backend servers.
    pub servers: Arc<dyn BackendServers>,
    /// Asks which backend servers may run a step, if there is a service for that.
    pub adviser: Option<Arc<dyn Adviser>>,
    /// Locates and decodes the server registry.
    pub schema: Arc<dyn platform_schema::PlatformSchema>,
    /// Terms that jobs are scheduled by.
    pub current_terms: Arc<terms_watcher::CurrentTerms>,
    /// Measures leases and pauses.
    pub clock: clock::Clock,
    /// Time limits and thresholds of the engine.
    pub settings: job_settings::Settings,
    /// Records orders, runs and decision times.
    pub metrics: Arc<metrics::Metrics>,
    /// What maintenance needs; `None` if the platform has no API of machines.
    pub maintenance: Option<machines::Dependencies>,
}

/// The decoded rows of the server registry, by key, with the version of the row. A full read
/// returns all rows, of which few have changed. `None` for a row that can't be used.
type RegistryEntries = BTreeMap<String, (u64, Option<fleet::ServerEntry>)>;

/// The scheduler of one epoch: runs from the time this host takes the lease until it loses or
/// releases it.
pub struct Scheduler {
    pub(crate) deps: Dependencies,
    pub(crate) epoch: id::Epoch,
    pub(crate) epoch_condition: store::Condition,
    /// How long the scheduler lease is valid after a confirmed renewal was sent.
    lease_duration: Duration,
    engine: Mutex<Engine>,
    learned_writer: Mutex<learned_state::Writer>,
    servers_with_renewal_task: Mutex<BTreeSet<id::BackendServerId>>,
    registry_entries: Mutex<RegistryEntries>,
    is_stopped: AtomicBool,
    scheduler_lease_renewed_at_ms: AtomicU64,
    /// When the scheduler last knew all accepted jobs.
    inbox_known_at_ms: AtomicU64,
    pub(crate) decide_wakeup: wakeup::Wakeup,
    pub(crate) commit_wakeup: wakeup::Wakeup,
    pub(crate) waves: machines::RequestedWaves,
    advice_wakeup: wakeup::Wakeup,
}

impl Scheduler {
    /// Loads the server registry, the inbox, the stored progress and the learned state, and starts
    /// the background tasks.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read.
    pub async fn start(
        deps: Dependencies,
        holder: &leadership::LeaseHolder,
    ) -> Result<Arc<Self>, PlatformError> {
        let mut reader = StateReader::new(&deps);
        reader.read(&deps).await?;
        Ok(Self::start_with(deps, holder, reader.into_state()))
    }

    /// Starts the background tasks with what was read from the store under the lease of `holder`.
    pub fn start_with(
        deps: Dependencies,
        holder: &leadership::LeaseHolder,
        state: StoredState,
    ) -> Arc<Self> {
        let StoredState {
            registry,
            inbox,
            inbox_changes,
            progress: stored,
            learned,
            requests,
            first_requests,
        } = state;
        let engine = Mutex::new(Engine::new(deps.settings));
        let scheduler = Arc::new(Self {
            epoch: holder.epoch(),
            epoch_condition: holder.epoch_condition(),
            lease_duration: holder.lease_duration(),
            learned_writer: Mutex::default(),
            engine,
            servers_with_renewal_task: Mutex::default(),
            registry_entries: Mutex::default(),
            is_stopped: AtomicBool::new(false),
            scheduler_lease_renewed_at_ms: AtomicU64::new(holder.renewed_at().since_origin_ms),
            inbox_known_at_ms: AtomicU64::new(deps.clock.now().since_origin_ms),
            decide_wakeup: wakeup::Wakeup::default(),
            commit_wakeup: wakeup::Wakeup::default(),
            waves: machines::RequestedWaves::default(),
            advice_wakeup: wakeup::Wakeup::default(),
            deps,
        });
        spdlog::info!("scheduling begins", kv: {
            epoch = scheduler.epoch.0, servers = registry.rows.len(), inbox = inbox.rows.len(),
            progress = stored.rows.len()
        });
        scheduler
            .lock()
            .set_terms(scheduler.deps.current_terms.terms());
        scheduler.restore_learned_state(&learned);
        scheduler.apply_server_registry(&registry.rows);
        scheduler.apply_requests(first_requests);
        scheduler.apply_inbox(&inbox, &stored.rows);
        for changes in &inbox_changes {
            scheduler.apply_inbox(changes, &[]);
        }
        scheduler
            .deps
            .current_terms
            .subscribe(scheduler.decide_wakeup.clone());
        task::spawn(Arc::clone(&scheduler).watch_inbox(inbox.version));
        task::spawn(Arc::clone(&scheduler).watch_server_registry(registry.version));
        task::spawn(Arc::clone(&scheduler).watch_requests(requests));
        task::spawn(Arc::clone(&scheduler).store_progress());
        if let Some(adviser) = scheduler.deps.adviser.clone() {
            let wakeup = scheduler.advice_wakeup.clone();
            let clock = scheduler.deps.clock.clone();
            let planner = Arc::clone(&scheduler) as _;
            task::spawn(advisor::run(planner, adviser, wakeup, clock));
        }
        task::spawn(Arc::clone(&scheduler).run_decisions());
        if let Some(maintenance) = &scheduler.deps.maintenance {
            task::spawn(machines::run(Arc::clone(&scheduler), maintenance.clone()));
        }
        scheduler
    }

    fn restore_learned_state(&self, restored: &learned_state::Restored) {
        match restored {
            learned_state::Restored::State(learned, age_ms) => {
                spdlog::info!("learned state restored", kv: {
                    epoch = self.epoch.0, speeds = learned.speeds.len(),
                    services = learned.headroom.len(), age_ms = *age_ms
                });
                self.deps.metrics.record_learned_state("restored");
                let now = self.now();
                self.lock().restore_learned_state(learned, *age_ms, now);
                let now = self.deps.clock.now();
                self.lock_learned_writer()
                    .record_restored(learned.clone(), *age_ms, now);
            }
            learned_state::Restored::Ignored(reason) => {
                spdlog::warn!("learned state ignored", kv: {
                    epoch = self.epoch.0, reason = reason.as_str()
                });
                self.deps.metrics.record_learned_state("ignored");
            }
            learned_state::Restored::Missing => {}
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// To be locked before the engine.
    pub(crate) fn lock_learned_writer(&self) -> MutexGuard<'_, learned_state::Writer> {
        self.learned_writer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> engine::Now {
        engine::Now {
            ms: self.deps.clock.now().since_origin_ms,
            unix_ms: self.deps.clock.unix_ms(),
        }
    }

    /// Tells all background tasks of this scheduler to stop.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        self.decide_wakeup.wake();
        self.commit_wakeup.wake();
        self.waves.wake();
        self.advice_wakeup.wake();
    }

    /// Whether the scheduler was stopped, or a backend server or the store has shown that another
    /// host has taken over.
    pub fn is_stopped(&self) -> bool {
        self.is_stopped.load(Ordering::Relaxed) || self.lock().is_deposed()
    }

    /// Records that the store confirmed a renewal of the scheduler lease, which was sent at
    /// `sent_at`.
    pub fn record_scheduler_lease_renewal(&self, sent_at: clock::Monotonic) {
        self.scheduler_lease_renewed_at_ms
            .store(sent_at.since_origin_ms, Ordering::Relaxed);
    }

    fn since_scheduler_lease_renewal(&self) -> Duration {
        let renewed_at = clock::Monotonic {
            since_origin_ms: self.scheduler_lease_renewed_at_ms.load(Ordering::Relaxed),
        };
        self.deps.clock.now().since(renewed_at)
    }

    /// Whether this scheduler runs and the scheduler lease is valid, so that no other host
    /// schedules.
    pub(crate) fn is_leader(&self) -> bool {
        !self.is_stopped() && self.is_scheduler_lease_valid()
    }

    /// Number of waiting jobs per queue: open jobs without a schedule of which no task has started.
    pub fn waiting_jobs(&self) -> BTreeMap<id::QueueName, u64> {
        self.lock().waiting_jobs()
    }

    /// Time since the scheduler knew all accepted jobs: grows while it can't follow the inbox.
    pub fn inbox_age(&self) -> Duration {
        let known_at = clock::Monotonic {
            since_origin_ms: self.inbox_known_at_ms.load(Ordering::Relaxed),
        };
        self.deps.clock.now().since(known_at)
    }

    fn record_inbox_known(&self, at: clock::Monotonic) {
        self.inbox_known_at_ms
            .fetch_max(at.since_origin_ms, Ordering::Relaxed);
    }

    /// Number of kinds of tasks that the detection of interference knows, and of pairs of them that
    /// count.
    pub fn interference_counts(&self) -> (usize, usize) {
        self.lock().interference_counts()
    }

    /// The evidence for interference between kinds of tasks.
    pub fn interference_report(&self) -> Vec<interference::PairReport> {
        let now = self.now();
        self.lock().interference_report(now)
    }

    fn apply_server_registry(self: &Arc<Self>, registry_rows: &[store::Row]) {
        let mut known = self
            .registry_entries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut newest = RegistryEntries::new();
        for row in registry_rows {
            let unchanged = known
                .remove(&row.key.key)
                .filter(|(version, _)| *version == row.version);
            let entry = match unchanged {
                Some((_, entry)) => entry,
                None => match self.deps.schema.decode_server(row) {
                    Ok(entry) => Some(entry),
                    Err(error) => {
                        let reason = error.to_string();
                        spdlog::warn!("ignored an invalid server registry entry", kv: {
                            key = row.key.key.as_str(), reason = reason.as_str()
                        });
                        None
                    }
                },
            };
            newest.insert(row.key.key.clone(), (row.version, entry));
        }
        let entries: Vec<fleet::ServerEntry> = newest
            .values()
            .filter_map(|(_, entry)| entry.clone())
            .collect();
        *known = newest;
        drop(known);
        let ids: Vec<_> = entries.iter().map(|entry| entry.id.clone()).collect();
        let now = self.now();
        self.lock().set_servers(entries, now);
        let mut servers_with_renewal_task = self
            .servers_with_renewal_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for id in ids {
            if servers_with_renewal_task.insert(id.clone()) {
                task::spawn(Arc::clone(self).renew_server_lease(id));
            }
        }
    }

    fn apply_inbox(&self, inbox: &store::Rows, progress_rows: &[store::Row]) {
        let mut progress: BTreeMap<&str, (progress::Progress, u64)> = BTreeMap::new();
        for row in progress_rows {
            let text = row.value.as_deref().unwrap_or_default();
            match serde_json::from_str(text) {
                Ok(parsed) => {
                    progress.insert(&row.key.key, (parsed, row.version));
                }
                Err(error) => log_unreadable_row(row, &error.to_string()),
            }
        }
        let now = self.now();
        let mut engine = self.lock();
        for row in &inbox.rows {
            match rows::parse_inbox_entry(row) {
                Ok(Some(rows::InboxEntry::Job(id, accepted))) => {
                    let stored = progress.remove(id.as_str());
                    let age_ms = accepted.age_ms(inbox.store_ms, now.unix_ms);
                    engine.submit(id, *accepted, stored, age_ms, now);
                }
                Ok(Some(rows::InboxEntry::Cancel(id))) => engine.cancel(&id, now),
                Ok(None) => {}
                Err(error) => log_unreadable_row(row, &error.to_string()),
            }
        }
    }

    async fn watch_inbox(self: Arc<Self>, mut version: u64) {
        let mut pacing = feed_pacing::FeedPacing::new(self.deps.clock.clone());
        let mut unread: Option<InboxReader> = None;
        while !self.is_stopped() {
            let polling = self
                .deps
                .store
                .changes(rows::INBOX_TABLE, version, INBOX_POLL_TIMEOUT);
            // When the feed is silent, the inbox is read instead.
            let limit = self.deps.store.feed_silence_limit(INBOX_POLL_TIMEOUT);
            let changes = match self.deps.clock.timeout(limit, polling).await {
                Ok(changes) => changes,
                Err(elapsed) => Err(PlatformError::Unknown {
                    reason: format!("the feed of the inbox is silent: {elapsed}"),
                }),
            };
            match changes {
                Ok(store::Changes::Rows(changes)) if changes.version >= version => {
                    version = changes.version;
                    // The feed has missed nothing, so the inbox needn't be read.
                    unread = None;
                    self.record_inbox_known(self.deps.clock.now());
                    match changes.rows.is_empty() {
                        true => pacing.record_unproductive().await,
                        false => {
                            pacing.record_productive();
                            self.apply_inbox(&changes, &[]);
                        }
                    }
                }
                // The reply is older than what is known, so it holds nothing new.
                Ok(store::Changes::Rows(_)) => self.deps.clock.sleep(STORE_RETRY_DELAY).await,
                Ok(store::Changes::HistoryGone) | Err(_) => {
                    // Continues from the pages that an earlier attempt has read.
                    let mut reader = unread.take().unwrap_or_default();
                    let began_at = self.deps.clock.now();
                    match self.read_inbox(&mut reader).await {
                        Ok(()) => {
                            let inbox = reader.into_rows();
                            self.apply_inbox(&inbox, &[]);
                            self.record_inbox_known(began_at);
                            version = inbox.version.max(version);
                            pacing.record_unproductive().await;
                        }
                        Err(_) => {
                            unread = Some(reader);
                            self.deps.clock.sleep(STORE_RETRY_DELAY).await;
                        }
                    }
                }
            }
            self.decide_wakeup.wake();
        }
    }

    /// Reads the whole inbox. Applies the changes that the feed brings meanwhile at once; entries
    /// that are already known have no effect.
    async fn read_inbox(&self, reader: &mut InboxReader) -> Result<(), PlatformError> {
        let store = &*self.deps.store;
        let apply = |changes: store::Rows| {
            self.apply_inbox(&changes, &[]);
            self.decide_wakeup.wake();
        };
        let reading = reader.read(store, store.page_budget(), &self.deps.clock, apply);
        reading.await
    }

    async fn watch_server_registry(self: Arc<Self>, mut version: u64) {
        let table = self.deps.schema.server_registry_table();
        let mut read_at = self.deps.clock.now();
        let mut pacing = feed_pacing::FeedPacing::new(self.deps.clock.clone());
        while !self.is_stopped() {
            let is_due = self.deps.clock.now().since(read_at) >= REGISTRY_READ_INTERVAL;
            let has_changed = match is_due {
                true => true,
                false => match self
                    .deps
                    .store
                    .changes(table, version, REGISTRY_POLL_TIMEOUT)
                    .await
                {
                    Ok(store::Changes::Rows(changes)) => !changes.rows.is_empty(),
                    Ok(store::Changes::HistoryGone) | Err(_) => true,
                },
            };
            if !has_changed {
                pacing.record_unproductive().await;
                continue;
            }
            let store = &*self.deps.store;
            let reading = partition_reader::read_partition(store, store.page_budget(), table, "");
            match reading.await {
                Ok(registry) if registry.version >= version => {
                    match registry.version > version {
                        true => pacing.record_productive(),
                        false => pacing.record_unproductive().await,
                    }
                    version = registry.version;
                    read_at = self.deps.clock.now();
                    self.apply_server_registry(&registry.rows);
                    self.decide_wakeup.wake();
                }
                Ok(_) | Err(_) => self.deps.clock.sleep(STORE_RETRY_DELAY).await,
            }
        }
    }

    fn apply_requests(&self, requests: Option<operator_requests::Requests>) {
        if let Some(requests) = requests {
            self.waves.set(&requests);
            let mut engine = self.lock();
            engine.set_evacuated_zones(requests.zones, requests.confirmed_ms);
        }
    }

    async fn watch_requests(self: Arc<Self>, mut reader: operator_requests::RequestReader) {
        while !self.is_stopped() {
            let requests = reader.next().await;
            self.apply_requests(requests);
            self.decide_wakeup.wake();
        }
    }

    pub(crate) fn target(&self, server: &id::BackendServerId) -> Option<orders::Target> {
        let address = self.lock().address(server)?;
        Some(orders::Target {
            server: server.clone(),
            address,
            epoch: self.epoch,
        })
    }

    /// Sends hold orders to one backend server, until the engine drops the server or the scheduler
    /// stops. A hold order renews the server's lease; its reply reports the server's runs. Pauses
    /// while the scheduler lease has been expired for longer than the renewal grace.
    async fn renew_server_lease(self: Arc<Self>, server: id::BackendServerId) {
        while !self.is_stopped() {
            let renewal_grace = Duration::from_millis(self.deps.settings.renewal_grace_ms);
            if self.since_scheduler_lease_renewal() > self.lease_duration + renewal_grace {
                self.deps.clock.sleep(SERVER_LEASE_RETRY_DELAY).await;
                continue;
            }
            let sent_at = self.now();
            let order = self.lock().next_hold(&server, sent_at);
            let (Some(order), Some(target)) = (order, self.target(&server)) else {
                break;
            };
            let outcome = self.deps.servers.hold(&target, &order).await;
            self.deps.metrics.record_order("hold", outcome.name());
            match outcome {
                orders::HoldOutcome::Renewed(reply) => {
                    self.apply_renewal_reply(&server, sent_at.ms, &reply, &order)
                        .await;
                }
                orders::HoldOutcome::Fenced => {
                    spdlog::warn!("deposed", kv: {
                        server = server.as_str(), epoch = self.epoch.0, by = "backend server"
                    });
                    self.stop();
                }
                orders::HoldOutcome::OtherServer
                | orders::HoldOutcome::NotSent { .. }
                | orders::HoldOutcome::Unknown { .. } => {
                    let now = self.now();
                    {
                        let mut engine = self.lock();
                        match outcome {
                            orders::HoldOutcome::OtherServer => {
                                engine.doubt_life(&server, now);
                                engine.server_replaced(&server, target.address, now);
                            }
                            orders::HoldOutcome::Unknown { .. }
                                if order.lease_until_server_ms.is_some() =>
                            {
                                engine.lease_unanswered(&server, sent_at.ms, now);
                                engine.order_unanswered(&server, sent_at.ms, now);
                            }
                            _ => engine.order_unanswered(&server, sent_at.ms, now),
                        }
                    }
                    self.decide_wakeup.wake();
                    self.deps.clock.sleep(SERVER_LEASE_RETRY_DELAY).await;
                }
            }
        }
        let mut servers_with_renewal_task = self
            .servers_with_renewal_task
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        servers_with_renewal_task.remove(&server);
    }

    async fn apply_renewal_reply(
        &self,
        server: &id::BackendServerId,
        sent_at_ms: u64,
        reply: &orders::HoldReply,
        order: &orders::HoldOrder,
    ) {
        let now = self.now();
        self.lock().hold_reply(server, sent_at_ms, reply, now);
        self.decide_wakeup.wake();
        let started_at = self.deps.clock.now();
        while self.lock().has_unstored_ends(server) {
            self.commit_wakeup.wake();
            if self.deps.clock.now().since(started_at) > RUN_END_WAIT_MAX || self.is_stopped() {
                break;
            }
            self.deps.clock.sleep(RUN_END_POLL_INTERVAL).await;
        }
        // The server replies at once to an order without a wait time; the pause keeps the renewals
        // from following each other without any delay. The first order has no lease end, since the
        // server's clock isn't known yet; the next one follows at once, since it sets the lease.
        let is_first = order.lease_until_server_ms.is_none();
        let was_immediate = order.wait_ms == 0 && !is_first;
        if reply.has_unreadable_runs && !was_immediate {
            spdlog::warn!("a server lists runs that can't be identified; no run counts as gone", kv: {
                server = server.as_str(), ends_readable_upto = reply.ends_readable_upto
            });
        }
        if was_immediate {
            self.deps.clock.sleep(RUN_END_POLL_INTERVAL).await;
        }
    }

    async fn run_decisions(self: Arc<Self>) {
        while !self.is_stopped() {
            let now = self.now();
            let started_at = self.deps.clock.now();
            let (events, has_jobs) = {
                let mut engine = self.lock();
                let terms = self.deps.current_terms.terms();
                engine.set_terms(terms);
                if self.is_scheduler_lease_valid() {
                    engine.decide(now);
                    if engine.has_more_to_place() {
                        self.decide_wakeup.wake();
                    }
                }
                let zones = i64::try_from(engine.evacuated_zones());
                let gauge = &self.deps.metrics.evacuated_zones;
                gauge.set(zones.unwrap_or(i64::MAX));
                if engine.has_planned_ask() {
                    self.advice_wakeup.wake();
                }
                let has_jobs = engine.jobs().next().is_some();
                (engine.take_events(), has_jobs)
            };
            self.send_orders();
            self.commit_wakeup.wake();
            // Logged without the lock: a decision may place thousands of units.
            for event in &events {
                event_log::log_event(self.epoch, event);
                self.deps.metrics.record_event(event);
            }
            let interval = match has_jobs {
                true => DECISION_INTERVAL,
                false => IDLE_INTERVAL,
            };
            let decided_at = self.deps.clock.now();
            let duration = decided_at.since(started_at);
            self.deps.metrics.record_decision(duration);
            self.decide_wakeup.wait(&self.deps.clock, interval).await;
            let pause = EVENT_BATCH_DELAY.max(duration * DECISION_PAUSE_RATIO);
            let waited = self.deps.clock.now().since(decided_at);
            let remaining = EVENT_BATCH_DELAY.max(pause.saturating_sub(waited));
            self.deps.clock.sleep(remaining).await;
        }
        self.stop();
        self.deps.metrics.evacuated_zones.set(0);
    }

    /// Whether the scheduler lease is valid. Unlike [`Self::is_leader`], doesn't lock the engine,
    /// so it can be called while the engine is locked.
    pub(crate) fn is_scheduler_lease_valid(&self) -> bool {
        self.since_scheduler_lease_renewal() < self.lease_duration
    }
}

impl advisor::AdvicePlanner for Scheduler {
    fn is_stopped(&self) -> bool {
        Self::is_stopped(self)
    }

    fn next_ask(&self) -> Option<Ask> {
        let now = self.now();
        self.lock().next_ask(now)
    }

    fn advice_reply(&self, ask: &Ask, outcome: &AdviceOutcome, spread_ratio: f64) {
        let now = self.now();
        self.lock().advice_reply(ask, outcome, spread_ratio, now);
        self.decide_wakeup.wake();
    }
}

fn log_unreadable_row(row: &store::Row, reason: &str) {
    spdlog::error!("failed to parse a row", kv: { key = row.key.key.as_str(), reason });
}
