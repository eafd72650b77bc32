//! Schedules while this host holds the lease: feeds the engine with events and carries out what it
//! decides.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_jobs::engine::{self, Engine};
use camphorbeam_jobs::orders::{self, BackendServers};
use camphorbeam_jobs::progress;
use camphorbeam_jobs::settings as job_settings;
use camphorbeam_model::{fleet, id};
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;

use crate::{
    decision_log, leadership, metrics, platform_schema, relay, rows, terms_watcher, wakeup,
};

/// Longest time between two decisions while jobs are open.
const TICK: Duration = Duration::from_millis(100);

/// The same while there are none.
const IDLE_TICK: Duration = Duration::from_millis(500);

/// Time for which further events are gathered before a decision.
const GATHER: Duration = Duration::from_millis(8);

/// Pause after a decision, as a multiple of the time that it took: a host that is too weak for its
/// fleet decides less often, and still has time for leases and lists.
const DECISION_PAUSE_RATIO: u32 = 3;

/// How long one call for changes of the inbox waits.
const INBOX_WAIT: Duration = Duration::from_millis(800);

/// How long one call for changes of the registry waits.
const REGISTRY_WAIT: Duration = Duration::from_millis(900);

/// Time between two whole reads of the registry, which find what a feed has missed.
const REGISTRY_READ: Duration = Duration::from_millis(4_000);

/// Wait after a failed call to the store.
const STORE_RETRY: Duration = Duration::from_millis(120);

/// Wait after a hold without an answer.
const HOLD_RETRY: Duration = Duration::from_millis(250);

/// Time between two looks at whether ends are stored, before the next hold acknowledges them.
const END_POLL: Duration = Duration::from_millis(20);

/// Longest wait for ends to be stored; then the lease goes before the acknowledgement.
const END_WAIT: Duration = Duration::from_millis(900);

/// Jobs stored by one transaction: each takes a condition and a write.
const JOBS_PER_COMMIT: usize = 45;

/// Bytes of progress in one transaction; the store takes a megabyte in base64.
const COMMIT_MAX_BYTES: usize = 600_000;

/// Why an order was not sent.
const SILENT: &str = "the server has not answered the order before";

/// What scheduling needs of its surroundings.
#[derive(Clone)]
pub struct Dependencies {
    /// The store.
    pub store: Arc<relay::RelayedStore>,
    /// The backend servers.
    pub servers: Arc<dyn BackendServers>,
    /// How to read the registry.
    pub schema: Arc<dyn platform_schema::PlatformSchema>,
    /// The terms in force.
    pub current_terms: Arc<terms_watcher::CurrentTerms>,
    /// The clock.
    pub clock: clock::Clock,
    /// Bounds of the decisions.
    pub settings: job_settings::Settings,
    /// What is counted.
    pub metrics: Arc<metrics::Metrics>,
}

/// One holding of the lease.
pub struct Scheduler {
    deps: Dependencies,
    epoch: id::Epoch,
    condition: store::Condition,
    engine: Mutex<Engine>,
    held: Mutex<BTreeSet<id::BackendServerId>>,
    is_over: AtomicBool,
    confirmed_ms: AtomicU64,
    decide: wakeup::Wakeup,
    commit: wakeup::Wakeup,
}

impl Scheduler {
    /// Reads all that is open and begins to schedule.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read.
    pub async fn begin(
        deps: Dependencies,
        holder: &leadership::LeaseHolder,
    ) -> Result<Arc<Self>, PlatformError> {
        let table = deps.schema.registry_table();
        let registry = deps.store.rows(table, "", "", "").await?;
        let inbox = rows::read_inbox(&*deps.store).await?;
        let stored = deps
            .store
            .rows(rows::PROGRESS_TABLE, rows::PART, "", "")
            .await?;
        let engine = Mutex::new(Engine::new(deps.settings));
        let scheduler = Arc::new(Self {
            epoch: holder.epoch(),
            condition: holder.condition(),
            engine,
            held: Mutex::default(),
            is_over: AtomicBool::new(false),
            confirmed_ms: AtomicU64::new(holder.confirmed().since_origin_ms),
            decide: wakeup::Wakeup::default(),
            commit: wakeup::Wakeup::default(),
            deps,
        });
        spdlog::info!("scheduling begins", kv: {
            epoch = scheduler.epoch.0, servers = registry.rows.len(), inbox = inbox.rows.len(),
            progress = stored.rows.len()
        });
        scheduler
            .lock()
            .set_terms(scheduler.deps.current_terms.terms());
        scheduler.take_registry(&registry.rows);
        scheduler.take_inbox(&inbox.rows, &stored.rows);
        scheduler
            .deps
            .current_terms
            .notify(scheduler.decide.clone());
        task::spawn(Arc::clone(&scheduler).follow_inbox(inbox.version));
        task::spawn(Arc::clone(&scheduler).follow_registry(registry.version));
        task::spawn(Arc::clone(&scheduler).store_progress());
        task::spawn(Arc::clone(&scheduler).decide());
        Ok(scheduler)
    }

    fn lock(&self) -> MutexGuard<'_, Engine> {
        self.engine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> engine::Now {
        engine::Now {
            ms: self.deps.clock.now().since_origin_ms,
            unix_ms: self.deps.clock.unix_ms(),
        }
    }

    /// Ends all tasks of this reign.
    pub fn end(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.decide.wake();
        self.commit.wake();
    }

    /// Whether a backend server or the store has shown that another host has taken over.
    pub fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed) || self.lock().is_deposed()
    }

    /// Notes a confirmed renewal of the lease.
    pub fn confirm(&self, at: clock::Monotonic) {
        self.confirmed_ms
            .store(at.since_origin_ms, Ordering::Relaxed);
    }

    fn since_confirmed(&self) -> Duration {
        let confirmed = clock::Monotonic {
            since_origin_ms: self.confirmed_ms.load(Ordering::Relaxed),
        };
        self.deps.clock.now().since(confirmed)
    }

    /// Whether our lease is valid, so that nobody else schedules.
    fn is_valid(&self) -> bool {
        !self.is_over() && self.since_confirmed() < leadership::HOLDER_LEASE
    }

    /// Jobs of each queue of which no task has started.
    pub fn waiting(&self) -> BTreeMap<id::QueueName, u64> {
        self.lock().waiting_jobs()
    }

    fn take_registry(self: &Arc<Self>, listed: &[store::Row]) {
        let mut entries: Vec<fleet::ServerEntry> = Vec::new();
        for row in listed {
            match self.deps.schema.decode_server(row) {
                Ok(entry) => entries.push(entry),
                Err(error) => {
                    let reason = error.to_string();
                    spdlog::debug!("registry entry passed over", kv: {
                        key = row.key.key.as_str(), reason = reason.as_str()
                    });
                }
            }
        }
        let ids: Vec<_> = entries.iter().map(|entry| entry.id.clone()).collect();
        let now = self.now();
        self.lock().set_servers(entries, now);
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        for id in ids {
            if held.insert(id.clone()) {
                task::spawn(Arc::clone(self).hold(id));
            }
        }
    }

    fn take_inbox(&self, inbox: &[store::Row], stored: &[store::Row]) {
        let mut progress: BTreeMap<&str, (progress::Progress, u64)> = BTreeMap::new();
        for row in stored {
            let text = row.value.as_deref().unwrap_or_default();
            match serde_json::from_str(text) {
                Ok(parsed) => {
                    progress.insert(&row.key.key, (parsed, row.version));
                }
                Err(error) => log_unreadable(row, &error.to_string()),
            }
        }
        let now = self.now();
        let mut engine = self.lock();
        for row in inbox {
            match rows::inbox_entry(row) {
                Ok(Some(rows::InboxEntry::Job(id, accepted))) => {
                    let stored = progress.remove(id.as_str());
                    engine.submit(id, *accepted, stored, now);
                }
                Ok(Some(rows::InboxEntry::Cancel(id))) => engine.cancel(&id, now),
                Ok(None) => {}
                Err(error) => log_unreadable(row, &error.to_string()),
            }
        }
    }

    async fn follow_inbox(self: Arc<Self>, mut version: u64) {
        while !self.is_over() {
            let changes = self
                .deps
                .store
                .changes(rows::INBOX_TABLE, version, INBOX_WAIT)
                .await;
            match changes {
                Ok(store::Changes::Rows(changes)) if changes.version >= version => {
                    version = changes.version;
                    self.take_inbox(&changes.rows, &[]);
                }
                // An answer from the past tells nothing new.
                Ok(store::Changes::Rows(_)) => self.deps.clock.sleep(STORE_RETRY).await,
                Ok(store::Changes::HistoryGone) | Err(_) => match self.read_inbox().await {
                    Some(newest) => version = newest.max(version),
                    None => self.deps.clock.sleep(STORE_RETRY).await,
                },
            }
            self.decide.wake();
        }
    }

    /// Reads the whole inbox; what is known already changes nothing.
    async fn read_inbox(&self) -> Option<u64> {
        let inbox = rows::read_inbox(&*self.deps.store).await.ok()?;
        self.take_inbox(&inbox.rows, &[]);
        Some(inbox.version)
    }

    async fn follow_registry(self: Arc<Self>, mut version: u64) {
        let table = self.deps.schema.registry_table();
        let mut read_at = self.deps.clock.now();
        while !self.is_over() {
            let is_due = self.deps.clock.now().since(read_at) >= REGISTRY_READ;
            let has_changed = match is_due {
                true => true,
                false => match self.deps.store.changes(table, version, REGISTRY_WAIT).await {
                    Ok(store::Changes::Rows(changes)) => !changes.rows.is_empty(),
                    Ok(store::Changes::HistoryGone) | Err(_) => true,
                },
            };
            if !has_changed {
                continue;
            }
            match self.deps.store.rows(table, "", "", "").await {
                Ok(registry) if registry.version >= version => {
                    version = registry.version;
                    read_at = self.deps.clock.now();
                    self.take_registry(&registry.rows);
                    self.decide.wake();
                }
                Ok(_) | Err(_) => self.deps.clock.sleep(STORE_RETRY).await,
            }
        }
    }

    fn target(&self, server: &id::BackendServerId) -> Option<orders::Target> {
        let address = self.lock().address(server)?;
        Some(orders::Target {
            server: server.clone(),
            address,
            epoch: self.epoch,
        })
    }

    /// Renews the lease of one backend server and takes in what it lists, until it is gone.
    async fn hold(self: Arc<Self>, server: id::BackendServerId) {
        while !self.is_over() {
            let hold_on = Duration::from_millis(self.deps.settings.hold_on_ms);
            if self.since_confirmed() > leadership::HOLDER_LEASE + hold_on {
                self.deps.clock.sleep(HOLD_RETRY).await;
                continue;
            }
            let sent = self.now();
            let order = self.lock().next_hold(&server, sent);
            let (Some(order), Some(target)) = (order, self.target(&server)) else {
                break;
            };
            let outcome = self.deps.servers.hold(&target, &order).await;
            self.deps.metrics.order("hold", outcome.name());
            match outcome {
                orders::HoldOutcome::Renewed(reply) => {
                    self.take_hold_reply(&server, sent.ms, &reply, &order).await;
                }
                orders::HoldOutcome::Fenced => {
                    spdlog::warn!("deposed", kv: {
                        server = server.as_str(), epoch = self.epoch.0, by = "backend server"
                    });
                    self.end();
                }
                orders::HoldOutcome::OtherServer | orders::HoldOutcome::Unknown { .. } => {
                    self.lock().hold_unanswered(&server);
                    self.deps.clock.sleep(HOLD_RETRY).await;
                }
            }
        }
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.remove(&server);
    }

    async fn take_hold_reply(
        &self,
        server: &id::BackendServerId,
        sent_ms: u64,
        reply: &orders::HoldReply,
        order: &orders::HoldOrder,
    ) {
        let now = self.now();
        self.lock().hold_reply(server, sent_ms, reply, now);
        self.decide.wake();
        let started = self.deps.clock.now();
        while self.lock().has_unstored_ends(server) {
            self.commit.wake();
            if self.deps.clock.now().since(started) > END_WAIT || self.is_over() {
                break;
            }
            self.deps.clock.sleep(END_POLL).await;
        }
        let is_first = order.lease_until_server_ms.is_none();
        let was_immediate = order.wait_ms == 0 && !is_first;
        if was_immediate {
            self.deps.clock.sleep(END_POLL).await;
        }
    }

    async fn decide(self: Arc<Self>) {
        while !self.is_over() {
            let now = self.now();
            let started = self.deps.clock.now();
            let has_jobs = {
                let mut engine = self.lock();
                let terms = self.deps.current_terms.terms();
                engine.set_terms(terms);
                if self.is_confirmed() {
                    engine.decide(now);
                }
                for note in engine.take_events() {
                    decision_log::decision(self.epoch, &note);
                    self.deps.metrics.note(&note);
                }
                let has_jobs = engine.jobs().next().is_some();
                has_jobs
            };
            self.send_orders();
            self.commit.wake();
            let tick = match has_jobs {
                true => TICK,
                false => IDLE_TICK,
            };
            let decided = self.deps.clock.now();
            let took = decided.since(started);
            self.deps.metrics.decision(took);
            self.decide.wait(&self.deps.clock, tick).await;
            let pause = GATHER.max(took * DECISION_PAUSE_RATIO);
            let waited = self.deps.clock.now().since(decided);
            let rest = GATHER.max(pause.saturating_sub(waited));
            self.deps.clock.sleep(rest).await;
        }
        self.end();
    }

    fn is_confirmed(&self) -> bool {
        self.since_confirmed() < leadership::HOLDER_LEASE
    }

    /// Sends the orders that are due, one after the other to each backend server.
    fn send_orders(self: &Arc<Self>) {
        let mut by_server: BTreeMap<id::BackendServerId, Vec<engine::Order>> = BTreeMap::new();
        for order in self.lock().take_orders() {
            let (engine::Order::Start(server, _) | engine::Order::Stop(server, _)) = &order;
            by_server.entry(server.clone()).or_default().push(order);
        }
        for (server, orders) in by_server {
            task::spawn(Arc::clone(self).send_to(server, orders));
        }
    }

    /// Sends orders to one server. After one without an answer the others are not waited for: they
    /// are sent again soon, and the other members of a gang must not wait long.
    async fn send_to(self: Arc<Self>, server: id::BackendServerId, orders: Vec<engine::Order>) {
        let Some(target) = self.target(&server) else {
            return;
        };
        let mut is_silent = false;
        for order in orders {
            if self.is_over() {
                return;
            }
            match order {
                engine::Order::Start(_, start) => {
                    let outcome = self.send_start(&target, &start, is_silent).await;
                    is_silent |= matches!(outcome, orders::StartOutcome::Unknown { .. });
                    self.deps.metrics.order("start", outcome.name());
                    let now = self.now();
                    self.lock().start_reply(&start.name, &outcome, now);
                }
                engine::Order::Stop(_, name) => {
                    let outcome = match is_silent {
                        true => orders::StopOutcome::Unknown {
                            reason: SILENT.to_owned(),
                        },
                        false => self.deps.servers.stop(&target, &name).await,
                    };
                    is_silent |= matches!(outcome, orders::StopOutcome::Unknown { .. });
                    self.deps.metrics.order("stop", outcome.name());
                    let now = self.now();
                    self.lock().stop_reply(&name, &outcome, now);
                }
            }
        }
        self.decide.wake();
    }

    async fn send_start(
        &self,
        target: &orders::Target,
        start: &orders::StartOrder,
        is_silent: bool,
    ) -> orders::StartOutcome {
        let unknown = |reason: &str| orders::StartOutcome::Unknown {
            reason: reason.to_owned(),
        };
        let outcome = match () {
            () if is_silent => unknown(SILENT),
            // The host may have been suspended since the record was stored.
            () if !self.is_valid() => unknown("the scheduler lease is not confirmed"),
            () => self.deps.servers.start(target, start).await,
        };
        if outcome != orders::StartOutcome::Present {
            let task = start.name.task.to_string();
            let outcome = format!("{outcome:?}");
            spdlog::info!("start not confirmed", kv: {
                task = task.as_str(), run = start.name.run.0, server = target.server.as_str(),
                outcome = outcome.as_str()
            });
        }
        outcome
    }

    /// Stores progress, one transaction at a time, so that rows never go back.
    async fn store_progress(self: Arc<Self>) {
        while !self.is_over() {
            let changes = self.lock().unstored_progress(JOBS_PER_COMMIT);
            match changes.is_empty() {
                true => {
                    self.remove_expired().await;
                    self.commit.wait(&self.deps.clock, IDLE_TICK).await;
                }
                false => self.store_changes(changes).await,
            }
        }
    }

    async fn store_changes(self: &Arc<Self>, changes: Vec<engine::ProgressWrite>) {
        let mut transaction = store::Transaction {
            conditions: vec![self.condition.clone()],
            ..store::Transaction::default()
        };
        let mut kept: Vec<engine::ProgressWrite> = Vec::new();
        let mut size_bytes = 0;
        for change in changes {
            let text = match serde_json::to_string(&change.progress) {
                Ok(text) => text,
                Err(error) => {
                    let reason = error.to_string();
                    spdlog::error!("progress can't be written", kv: {
                        job = change.job.as_str(), reason = reason.as_str()
                    });
                    continue;
                }
            };
            size_bytes += text.len();
            if size_bytes > COMMIT_MAX_BYTES && !kept.is_empty() {
                break;
            }
            transaction.conditions.push(store::Condition {
                key: rows::progress(&change.job),
                version: change.row_version,
            });
            transaction.writes.push((rows::progress(&change.job), text));
            kept.push(change);
        }
        let versions = self.commit_until_known(&transaction).await;
        let now = self.now();
        let mut engine = self.lock();
        for (change, version) in kept.iter().zip(versions) {
            engine.mark_stored(&change.job, change.generation, version, now);
        }
        drop(engine);
        self.send_orders();
    }

    /// Sends `transaction` until it is known to be applied; returns the version of each write.
    /// Nothing if the reign is over.
    async fn commit_until_known(&self, transaction: &store::Transaction) -> Vec<u64> {
        while !self.is_over() {
            match self.deps.store.commit(transaction).await {
                Ok(store::Commit::Applied { version }) => {
                    return vec![version; transaction.writes.len()];
                }
                Ok(store::Commit::Conflict { rows: found }) => {
                    // A write whose answer was lost shows as our own values.
                    let versions: Option<Vec<u64>> = transaction
                        .writes
                        .iter()
                        .map(|(key, value)| {
                            let row = found.iter().find(|row| &row.key == key)?;
                            (row.value.as_ref() == Some(value)).then_some(row.version)
                        })
                        .collect();
                    match versions {
                        Some(versions) => return versions,
                        None => {
                            spdlog::warn!("deposed", kv: { epoch = self.epoch.0, by = "store" });
                            self.end();
                        }
                    }
                }
                Err(error) => {
                    let reason = error.to_string();
                    spdlog::warn!("progress is not stored", kv: {
                        jobs = transaction.writes.len(), reason = reason.as_str()
                    });
                    self.deps.clock.sleep(STORE_RETRY).await;
                }
            }
        }
        Vec::new()
    }

    /// Removes the rows of jobs that ended long ago.
    async fn remove_expired(&self) {
        let now = self.now();
        let expired = self.lock().take_expired(JOBS_PER_COMMIT / 2, now);
        if expired.is_empty() {
            return;
        }
        // The inbox goes first: without it the progress is not read again.
        for part in rows::INBOX_PARTS {
            let of_part = expired.iter().filter(|id| rows::inbox_part(id) == part);
            let removals = of_part.flat_map(|id| [rows::job(id), rows::cancel(id)]);
            self.remove(removals.collect(), Vec::new()).await;
        }
        let removals = expired.iter().map(rows::progress);
        self.remove(removals.collect(), vec![self.condition.clone()])
            .await;
    }

    async fn remove(&self, removals: Vec<store::RowKey>, conditions: Vec<store::Condition>) {
        if removals.is_empty() {
            return;
        }
        let transaction = store::Transaction {
            conditions,
            writes: Vec::new(),
            removals,
        };
        if let Err(error) = self.deps.store.commit(&transaction).await {
            // The next scheduler finds them again.
            let reason = error.to_string();
            spdlog::warn!("expired jobs are not removed", kv: { reason = reason.as_str() });
        }
    }
}

fn log_unreadable(row: &store::Row, reason: &str) {
    spdlog::error!("row is not understood", kv: { key = row.key.key.as_str(), reason });
}
