//! Carries out maintenance waves on the scheduling host.
//!
//! The decisions are those of [`maintenance::WaveState`]. This loop lists the machines, stores the
//! record of the waves before each call, sends the calls and reports the state of the waves.
//! Without a requested wave it does nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_jobs::engine::Engine;
use camphorbeam_jobs::maintenance::{self, MachineName, UpkeepOutcome, Wave, WaveState};
use camphorbeam_model::id;
use camphorbeam_platform::store::{self, Store as _};
use camphorbeam_platform::table::PlatformError;

use crate::{metrics, operator_requests, rows, scheduler, settings, wakeup};

/// Time between two lists of the machines while a wave is open, if the limit of reads allows it.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between two checks for requests while there are none, if nothing wakes the loop.
const IDLE_INTERVAL: Duration = Duration::from_secs(60);

/// Part of the allowed rates that is used, since the platform counts in seconds of its own clock.
const RATE_USE_RATIO: f64 = 0.8;

/// Largest number of pages of a list. A longer one counts as unavailable.
const PAGES_MAX: usize = 200;

/// A page of the list of machines.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The machines.
    pub machines: maintenance::Machines,
    /// Token of the next page; `None` on the last one.
    pub next_token: Option<String>,
    /// Whether the page has an entry without a readable name.
    pub is_partial: bool,
}

/// Who sends a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Duty {
    /// The scheduling host.
    pub holder: id::HostId,
    /// Its epoch.
    pub epoch: id::Epoch,
}

/// The machines' API.
#[async_trait]
pub trait MachinesApi: Send + Sync {
    /// Returns a page of the list; the first one without a token.
    ///
    /// # Errors
    ///
    /// Fails without a usable reply.
    async fn page(&self, token: Option<&str>) -> anyhow::Result<Page>;

    /// Begins the upkeep of a machine in a wave. On success everything on the machine ends, unless
    /// its upkeep in this wave is over.
    async fn begin_upkeep(
        &self,
        machine: &str,
        wave: &maintenance::WaveName,
        duty: &Duty,
    ) -> UpkeepOutcome;
}

/// What the loop needs from the rest of the host.
#[derive(Clone)]
pub struct Dependencies {
    api: Arc<dyn MachinesApi>,
    limits: settings::MachinesSettings,
    host: id::HostId,
    may_interrupt: Arc<maintenance::MayInterrupt>,
}

impl Dependencies {
    /// The loop on `host`, with the disruption budgets of [`Engine::keeps_budgets_without`].
    pub fn new(
        api: Arc<dyn MachinesApi>,
        limits: settings::MachinesSettings,
        host: id::HostId,
    ) -> Self {
        Self {
            api,
            limits,
            host,
            may_interrupt: Arc::new(Engine::keeps_budgets_without),
        }
    }
}

/// The waves of the newest read of the requests.
#[derive(Clone, Debug, Default, PartialEq)]
struct Requested {
    waves: Vec<Wave>,
    /// When the read was sent on the monotonic clock, and its time by the store's clock.
    confirmed_ms: u64,
    store_ms: u64,
}

/// The requested waves, passed from the reader of the requests to the loop.
#[derive(Debug, Default)]
pub struct RequestedWaves {
    requested: Mutex<Requested>,
    wakeup: wakeup::Wakeup,
}

impl RequestedWaves {
    /// Replaces the waves by those of a newer read. Wakes the loop if they have changed.
    pub fn set(&self, requests: &operator_requests::Requests) {
        let mut requested = self
            .requested
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let has_changed = requested.waves != requests.waves;
        *requested = Requested {
            waves: requests.waves.clone(),
            confirmed_ms: requests.confirmed_ms,
            store_ms: requests.store_ms,
        };
        if has_changed {
            self.wakeup.wake();
        }
    }

    /// Wakes the loop.
    pub fn wake(&self) {
        self.wakeup.wake();
    }

    fn get(&self) -> Requested {
        let requested = self.requested.lock();
        requested.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Whether this version of a wave is still requested.
    fn has(&self, wave: &Wave) -> bool {
        let requested = self.requested.lock();
        let requested = requested.unwrap_or_else(PoisonError::into_inner);
        requested.waves.iter().any(|other| other == wave)
    }
}

/// The stored records, by the key of the wave's row.
type Records = BTreeMap<Arc<str>, maintenance::WaveRecord>;

/// What the row of a wave's state says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportedState {
    version: u64,
    is_completed: bool,
}

struct OpenWave {
    state: WaveState,
    /// The row of the wave's state; `None` if it has to be read or written first.
    reported: Option<ReportedState>,
}

impl OpenWave {
    /// Whether the completion of this version of the wave is stored. It was written on the
    /// condition that the wave's row had this version.
    fn is_completed(&self) -> bool {
        self.reported.is_some_and(|reported| {
            reported.is_completed && reported.version > self.state.wave.version
        })
    }
}

struct Maintenance {
    scheduler: Arc<scheduler::Scheduler>,
    deps: Dependencies,
    duty: Duty,
    waves: BTreeMap<Arc<str>, OpenWave>,
    /// The records as last read or written; `None` before the first read.
    stored: Option<Records>,
    /// Machines that were reported as blocked, refused or gone, with their wave and the reason.
    reported: BTreeSet<(Arc<str>, MachineName, &'static str)>,
    last_read: Option<clock::Monotonic>,
    last_upkeep: Option<clock::Monotonic>,
    is_list_failing: bool,
}

/// Carries out the requested waves until the scheduler stops.
pub(crate) async fn run(scheduler: Arc<scheduler::Scheduler>, deps: Dependencies) {
    let duty = Duty {
        holder: deps.host.clone(),
        epoch: scheduler.epoch,
    };
    let mut maintenance = Maintenance {
        scheduler: Arc::clone(&scheduler),
        deps,
        duty,
        waves: BTreeMap::new(),
        stored: None,
        reported: BTreeSet::new(),
        last_read: None,
        last_upkeep: None,
        is_list_failing: false,
    };
    let clock = scheduler.deps.clock.clone();
    while !scheduler.is_stopped() {
        let requested = scheduler.waves.get();
        let interval = match requested.waves.is_empty() {
            true => {
                maintenance.clear();
                IDLE_INTERVAL
            }
            false => {
                if let Err(error) = maintenance.step(&requested).await {
                    let reason = error.to_string();
                    spdlog::warn!("maintenance waits for the store", kv: {
                        reason = reason.as_str()
                    });
                }
                match maintenance.is_completed() {
                    true => IDLE_INTERVAL,
                    false => LIST_INTERVAL,
                }
            }
        };
        scheduler.waves.wakeup.wait(&clock, interval).await;
    }
    scheduler.lock().close_for_maintenance(BTreeSet::new());
}

impl Maintenance {
    fn metrics(&self) -> &metrics::Metrics {
        &self.scheduler.deps.metrics
    }

    fn now_ms(&self) -> u64 {
        self.scheduler.now().ms
    }

    /// Forgets all waves. The stored record stays; a later wave replaces it.
    fn clear(&mut self) {
        if !self.waves.is_empty() {
            self.waves.clear();
            self.reported.clear();
            let closed = BTreeSet::new();
            self.scheduler.lock().close_for_maintenance(closed);
        }
    }

    fn is_completed(&self) -> bool {
        !self.waves.is_empty() && self.waves.values().all(OpenWave::is_completed)
    }

    /// One list of the machines and the actions that follow from it.
    async fn step(&mut self, requested: &Requested) -> Result<(), PlatformError> {
        if !self.scheduler.is_leader() {
            return Ok(());
        }
        self.update_waves(requested).await?;
        if self.is_completed() {
            self.scheduler.lock().close_for_maintenance(BTreeSet::new());
            return Ok(());
        }
        let Some((machines, is_partial)) = self.list().await else {
            return Ok(());
        };
        let now_ms = self.now_ms();
        let store_ms = requested.store_ms + now_ms.saturating_sub(requested.confirmed_ms);
        let mut closed = BTreeSet::new();
        let mut calls: Vec<(Arc<str>, MachineName, Option<id::BackendServerId>)> = Vec::new();
        let mut vacates: Vec<(Arc<str>, MachineName, id::BackendServerId)> = Vec::new();
        let mut completed: Vec<Arc<str>> = Vec::new();
        let mut taken: BTreeMap<Arc<str>, BTreeSet<MachineName>> = BTreeMap::new();
        for (key, open) in &self.waves {
            taken.insert(key.clone(), open.state.record.asked.clone());
        }
        let mut notes: Vec<(Arc<str>, MachineName, &'static str)> = Vec::new();
        for (key, open) in &mut self.waves {
            if open.is_completed() {
                continue;
            }
            if !is_partial {
                let gone = open.state.record_list(&machines);
                notes.extend(gone.into_iter().map(|name| (key.clone(), name, "gone")));
            }
            let of_others = taken.iter().filter(|(other, _)| *other != key);
            let of_others = of_others.flat_map(|(_, names)| names.iter().cloned());
            let of_others = of_others.collect();
            let elapsed_ms = store_ms.saturating_sub(open.state.record.began_store_ms);
            let now = self.scheduler.now();
            let engine = self.scheduler.lock();
            let work_of = |server: &id::BackendServerId| engine.work_on(server);
            let may_interrupt =
                |server: &id::BackendServerId| (self.deps.may_interrupt)(&engine, server, now);
            let state = &mut open.state;
            let plan = state.plan(
                &machines,
                &of_others,
                &work_of,
                &may_interrupt,
                elapsed_ms,
                now_ms,
            );
            drop(engine);
            closed.extend(plan.closed);
            for (name, server) in plan.ask {
                taken.entry(key.clone()).or_default().insert(name.clone());
                calls.push((key.clone(), name, server));
            }
            for name in plan.blocked {
                notes.push((key.clone(), name, "blocked by a budget"));
            }
            vacates.extend(
                plan.vacate
                    .map(|(name, server)| (key.clone(), name, server)),
            );
            if plan.is_complete && !is_partial {
                completed.push(key.clone());
            }
        }
        for (key, name, what) in notes {
            self.report(&key, &name, what);
        }
        self.scheduler.lock().close_for_maintenance(closed);
        for (key, name, server) in vacates {
            self.vacate(&key, &name, &server);
        }
        self.scheduler.decide_wakeup.wake();
        for key in completed {
            self.write_state(&key, true).await?;
        }
        self.call_all(calls).await
    }

    /// Applies the requested waves, with their records and reported states read from the store as
    /// far as they aren't known.
    async fn update_waves(&mut self, requested: &Requested) -> Result<(), PlatformError> {
        let store = Arc::clone(&self.scheduler.deps.store);
        if self.stored.is_none() {
            let (row, _) = store::read_row(&*store, &rows::maintenance_key()).await?;
            let text = row.and_then(|row| row.value);
            let records = text.map(|text| serde_json::from_str(&text)).transpose();
            // Without records all machines are asked again, which repeats no upkeep.
            self.stored = Some(
                records
                    .unwrap_or_else(|error| {
                        let reason = error.to_string();
                        spdlog::error!("failed to parse a row", kv: {
                            key = rows::maintenance_key().key.as_str(), reason = reason.as_str()
                        });
                        None
                    })
                    .unwrap_or_default(),
            );
        }
        let stored = self.stored.clone().unwrap_or_default();
        let is_requested = |key: &Arc<str>| requested.waves.iter().any(|wave| &wave.key == key);
        self.waves.retain(|key, _| is_requested(key));
        self.reported.retain(|(key, ..)| is_requested(key));
        for wave in &requested.waves {
            let known = self.waves.get(&wave.key);
            if known.is_none_or(|open| &open.state.wave != wave) {
                let record = known.map(|open| &open.state.record);
                let record = record.or_else(|| stored.get(&wave.key));
                let record = maintenance::WaveRecord::of_wave(wave, record, requested.store_ms);
                let open = OpenWave {
                    state: WaveState::new(wave.clone(), record),
                    reported: None,
                };
                self.waves.insert(wave.key.clone(), open);
            }
        }
        let unreported: Vec<Arc<str>> = self
            .waves
            .iter()
            .filter(|(_, open)| open.reported.is_none())
            .map(|(key, _)| key.clone())
            .collect();
        for key in unreported {
            self.read_state(&key).await?;
        }
        self.store_records().await
    }

    /// Reads the reported state of a wave, and reports that it is running unless its completion or
    /// that is reported for this version of the wave.
    async fn read_state(&mut self, key: &Arc<str>) -> Result<(), PlatformError> {
        let deps = &self.scheduler.deps;
        let (status_key, completed) = deps.schema.encode_wave_status(key, true);
        let (row, _) = store::read_row(&*deps.store, &status_key).await?;
        let Some(open) = self.waves.get_mut(key) else {
            return Ok(());
        };
        let found = ReportedState {
            version: row.as_ref().map_or(0, |row| row.version),
            is_completed: row.and_then(|row| row.value) == Some(completed),
        };
        open.reported = Some(found);
        match found.version > open.state.wave.version {
            true => Ok(()),
            false => self.write_state(key, false).await,
        }
    }

    /// Reports the state of a wave, on the conditions that the wave's row and the row of its state
    /// have not changed. So neither a former scheduler nor a delayed write can report the state of
    /// another version of the wave, or replace a completion.
    async fn write_state(
        &mut self,
        key: &Arc<str>,
        is_completed: bool,
    ) -> Result<(), PlatformError> {
        let Some(open) = self.waves.get_mut(key) else {
            return Ok(());
        };
        // Read again before the next write, unless this one succeeds.
        let Some(reported) = open.reported.take() else {
            return Ok(());
        };
        let deps = &self.scheduler.deps;
        let (status_key, text) = deps.schema.encode_wave_status(key, is_completed);
        let range = deps.schema.wave_range();
        let wave_key = range.map(|range| store::RowKey::new(&range.table, &range.part, key));
        let conditions = wave_key
            .into_iter()
            .map(|key| (key, open.state.wave.version));
        let conditions = conditions.chain([(status_key.clone(), reported.version)]);
        let transaction = store::Transaction {
            conditions: conditions
                .map(|(key, version)| store::Condition { key, version })
                .collect(),
            writes: vec![(status_key, text)],
            removals: Vec::new(),
        };
        let written = deps.store.commit(&transaction).await?;
        if let store::Commit::Applied { version } = written {
            open.reported = Some(ReportedState {
                version,
                is_completed,
            });
            let state = if is_completed { "completed" } else { "running" };
            spdlog::info!("maintenance wave", kv: {
                wave = &**key, state, machines = open.state.wave.machines.len(),
                confirmed = open.state.record.confirmed.len(), epoch = self.duty.epoch.0
            });
            deps.metrics.record_maintenance(state);
        }
        Ok(())
    }

    /// Lists the machines, and says whether an entry could not be read. Returns `None` if the list
    /// is unavailable.
    async fn list(&mut self) -> Option<(maintenance::Machines, bool)> {
        let mut machines = maintenance::Machines::new();
        let mut is_partial = false;
        let mut token: Option<String> = None;
        for _ in 0..PAGES_MAX {
            let rate_per_s = self.deps.limits.reads_per_s;
            self.await_rate(self.last_read, rate_per_s).await;
            self.last_read = Some(self.scheduler.deps.clock.now());
            let page = match self.deps.api.page(token.as_deref()).await {
                Ok(page) => page,
                Err(error) => return self.report_list_failure(&error.to_string()),
            };
            machines.extend(page.machines);
            is_partial |= page.is_partial;
            match page.next_token {
                // Two lists without any machine would end all waves.
                None if machines.is_empty() && !is_partial => {
                    return self.report_list_failure("no machines");
                }
                None => {
                    self.is_list_failing = false;
                    return Some((machines, is_partial));
                }
                next => token = next,
            }
        }
        self.report_list_failure("too many pages")
    }

    fn report_list_failure<T>(&mut self, reason: &str) -> Option<T> {
        if !std::mem::replace(&mut self.is_list_failing, true) {
            spdlog::warn!("the machines can't be listed", kv: { reason });
        }
        self.metrics().record_maintenance("list failed");
        None
    }

    /// Waits until a call is allowed by a rate, given the last one.
    async fn await_rate(&self, last: Option<clock::Monotonic>, rate_per_s: f64) {
        let clock = &self.scheduler.deps.clock;
        let interval = Duration::from_secs_f64(1.0 / (rate_per_s * RATE_USE_RATIO));
        if let Some(last) = last {
            let since = clock.now().since(last);
            if since < interval {
                clock.sleep(interval - since).await;
            }
        }
    }

    /// Logs once what is unusual about a machine of a wave.
    fn report(&mut self, key: &Arc<str>, machine: &MachineName, what: &'static str) {
        let entry = (key.clone(), machine.clone(), what);
        if self.reported.insert(entry) {
            spdlog::warn!("machine of a wave", kv: {
                wave = &**key, machine = &**machine, what, epoch = self.duty.epoch.0
            });
            self.metrics().record_maintenance(what);
        }
    }

    /// Stops the runs on a server, if that is still allowed.
    fn vacate(&mut self, key: &Arc<str>, machine: &MachineName, server: &id::BackendServerId) {
        let now = self.scheduler.now();
        let may_interrupt = &*self.deps.may_interrupt;
        let (is_done, work) = {
            let mut engine = self.scheduler.lock();
            let work = engine.work_on(server);
            (engine.vacate(server, may_interrupt, now), work)
        };
        if let (true, Some(open)) = (is_done, self.waves.get_mut(key)) {
            open.state.record_vacated(machine, now.ms);
            spdlog::info!("machine vacated", kv: {
                wave = &**key, machine = &**machine, server = server.as_str(),
                runs = work.runs, lost_core_ms = work.lost_core_ms, epoch = self.duty.epoch.0
            });
            self.metrics().record_maintenance("vacated");
        }
    }

    async fn call_all(
        &mut self,
        calls: Vec<(Arc<str>, MachineName, Option<id::BackendServerId>)>,
    ) -> Result<(), PlatformError> {
        for (key, machine, _) in &calls {
            if let Some(open) = self.waves.get_mut(key) {
                open.state.record.asked.insert(machine.clone());
            }
        }
        if let Err(error) = self.store_records().await {
            for (key, machine, _) in &calls {
                self.record_not_sent(key, machine);
            }
            return Err(error);
        }
        // The limit counts the calls of all hosts, so that the other machines wait for the next
        // step.
        let mut is_rate_limited = false;
        for (key, machine, server) in calls {
            if !is_rate_limited {
                self.await_rate(self.last_upkeep, self.deps.limits.upkeeps_per_s)
                    .await;
            }
            if is_rate_limited || !self.may_call(&key, server.as_ref()) {
                self.record_not_sent(&key, &machine);
                continue;
            }
            self.last_upkeep = Some(self.scheduler.deps.clock.now());
            let Some(open) = self.waves.get_mut(&key) else {
                continue;
            };
            let name = open.state.wave.name.clone();
            let api = Arc::clone(&self.deps.api);
            let outcome = api.begin_upkeep(&machine, &name, &self.duty).await;
            let now_ms = self.scheduler.now().ms;
            open.state.record_outcome(&machine, &outcome, now_ms);
            let outcome_name = outcome.name();
            spdlog::info!("upkeep", kv: {
                wave = &*key, machine = &*machine, outcome = outcome_name,
                epoch = self.duty.epoch.0
            });
            self.metrics().record_maintenance(outcome_name);
            match outcome {
                UpkeepOutcome::Fenced => {
                    spdlog::warn!("deposed", kv: { epoch = self.duty.epoch.0, by = "machines" });
                    self.scheduler.stop();
                    return Ok(());
                }
                outcome => is_rate_limited = outcome == UpkeepOutcome::RateLimited,
            }
        }
        self.store_records().await
    }

    fn record_not_sent(&mut self, key: &Arc<str>, machine: &MachineName) {
        if let Some(open) = self.waves.get_mut(key) {
            open.state.record_no_effect(machine);
        }
    }

    /// The checks that allow a call, repeated right before it: this host schedules, the wave is
    /// requested as it was, and a server that has runs was vacated, or keeps the budgets.
    fn may_call(&self, key: &Arc<str>, server: Option<&id::BackendServerId>) -> bool {
        let open = self.waves.get(key);
        let is_requested = open.is_some_and(|open| self.scheduler.waves.has(&open.state.wave));
        let may_interrupt = &*self.deps.may_interrupt;
        self.scheduler.is_leader()
            && is_requested
            && server.is_none_or(|server| {
                let now = self.scheduler.now();
                let engine = self.scheduler.lock();
                engine.work_on(server).runs == 0 || may_interrupt(&engine, server, now)
            })
    }

    /// Stores the records, if they have changed, on the condition that this host schedules.
    async fn store_records(&mut self) -> Result<(), PlatformError> {
        let records: Records = self
            .waves
            .iter()
            .map(|(key, open)| (key.clone(), open.state.record.clone()))
            .collect();
        if self.stored.as_ref() == Some(&records) {
            return Ok(());
        }
        let text = serde_json::to_string(&records).map_err(|error| PlatformError::Rejected {
            reason: error.to_string(),
        })?;
        let transaction = store::Transaction {
            conditions: vec![self.scheduler.epoch_condition.clone()],
            writes: vec![(rows::maintenance_key(), text)],
            removals: Vec::new(),
        };
        match self.scheduler.deps.store.commit(&transaction).await? {
            store::Commit::Applied { .. } => {
                self.stored = Some(records);
                Ok(())
            }
            store::Commit::Conflict { .. } => {
                spdlog::warn!("deposed", kv: { epoch = self.duty.epoch.0, by = "store" });
                self.scheduler.stop();
                Err(PlatformError::NotApplied {
                    reason: "another host schedules".to_owned(),
                })
            }
        }
    }
}
