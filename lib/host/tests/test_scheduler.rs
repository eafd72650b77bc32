//! The scheduler's use of the store: which rows of ended jobs it removes, and when, and how it
//! follows the operators' requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task::{self, block_on};
use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_host::feed_pacing::UNPRODUCTIVE_INTERVAL;
use camphorbeam_host::leadership::{Candidate, LeaseCheck, LeaseHolder, Standby};
use camphorbeam_host::scheduler::{Dependencies, Scheduler};
use camphorbeam_host::{
    metrics, operator_requests, peers, platform_schema, relay, rows, terms_watcher,
};
use camphorbeam_jobs::advice::{Advice, AdviceOutcome, Adviser, Ask};
use camphorbeam_jobs::orders;
use camphorbeam_jobs::progress::{JobState, Progress};
use camphorbeam_jobs::settings::{LearnedStateStorage, Settings};
use camphorbeam_model::{fleet, id, job, terms};
use camphorbeam_platform::memory_store::MemoryStore;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use rstest::rstest;

/// Time that the manual clock advances at once.
const TICK: Duration = Duration::from_millis(100);

/// A platform whose registry has the zone of each server as value.
struct ZoneSchema;

impl platform_schema::PlatformSchema for ZoneSchema {
    fn terms_key(&self) -> store::RowKey {
        store::RowKey::new("terms", "", "newest")
    }

    fn decode_terms(&self, _text: &str) -> anyhow::Result<terms::Terms> {
        Ok(terms::Terms::default())
    }

    fn evacuation_range(&self) -> platform_schema::RowRange {
        platform_schema::RowRange::with_prefix("terms", "", "zone/")
    }

    fn decode_evacuation(&self, key: &store::RowKey) -> anyhow::Result<id::ZoneName> {
        Ok(id::ZoneName::new(&key.key["zone/".len()..])?)
    }

    fn server_registry_table(&self) -> &'static str {
        "registry"
    }

    fn decode_server(&self, row: &store::Row) -> anyhow::Result<fleet::ServerEntry> {
        Ok(fleet::ServerEntry {
            id: id::BackendServerId::new(&row.key.key)?,
            service: id::ServiceName::new("s")?,
            address: ([127, 0, 0, 1], row.key.key.bytes().map(u16::from).sum()).into(),
            zone: id::ZoneName::new(row.value.as_deref().unwrap_or_default())?,
            is_draining: false,
            cold_ms: 0,
            capacity: job::Resources::default(),
            labels: Vec::new(),
            incarnation: None,
        })
    }
}

/// Backend servers that record start orders, and don't reply to them while the flag is set.
#[derive(Default)]
struct RecordingServers {
    started_on: Mutex<Vec<String>>,
    delays_replies: AtomicBool,
    /// Server for which another one replies.
    replaced: Mutex<Option<String>>,
    tickets: Mutex<Vec<String>>,
}

/// A service that never replies to its first call.
#[derive(Default)]
struct SlowAdviser {
    calls: AtomicUsize,
}

#[async_trait]
impl Adviser for SlowAdviser {
    async fn advise(&self, ask: &Ask) -> AdviceOutcome {
        if self.calls.fetch_add(1, Ordering::SeqCst) == 0 {
            futures::future::pending::<()>().await;
        }
        let ticket = |server: &id::BackendServerId| format!("{} on {server}", ask.step).into();
        let good = ask.servers.keys().map(|id| (id.clone(), ticket(id)));
        AdviceOutcome::Answered(Advice {
            good: good.collect(),
            ..Advice::default()
        })
    }
}

#[async_trait]
impl orders::BackendServers for RecordingServers {
    async fn start(
        &self,
        target: &orders::Target,
        order: &orders::StartOrder,
    ) -> orders::Answer<orders::StartOutcome> {
        if let Some(ticket) = &order.ticket {
            self.tickets.lock().unwrap().push(ticket.to_string());
        }
        let server = target.server.to_string();
        self.started_on.lock().unwrap().push(server);
        while self.delays_replies.load(Ordering::SeqCst) {
            task::sleep(Duration::from_millis(1)).await;
        }
        orders::StartOutcome::Present.into()
    }

    async fn stop(
        &self,
        _: &orders::Target,
        _: &orders::RunName,
    ) -> orders::Answer<orders::StopOutcome> {
        orders::StopOutcome::Accepted.into()
    }

    async fn pace(
        &self,
        _: &orders::Target,
        _: &orders::PaceOrder,
    ) -> orders::Answer<orders::PaceOutcome> {
        orders::PaceOutcome::Accepted.into()
    }

    async fn hold(&self, target: &orders::Target, _: &orders::HoldOrder) -> orders::HoldOutcome {
        task::sleep(Duration::from_millis(1)).await;
        if self.replaced.lock().unwrap().as_deref() == Some(target.server.as_str()) {
            return orders::HoldOutcome::OtherServer;
        }
        orders::HoldOutcome::Renewed(orders::HoldReply {
            incarnation: fleet::Incarnation::default(),
            server_ms: 1,
            running: Vec::new(),
            ended: Vec::new(),
            may_have_more_ends: false,
            has_unreadable_runs: false,
            ends_readable_upto: u64::MAX,
        })
    }
}

/// Replies of a change feed that has nothing new and doesn't wait for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ImmediateReply {
    /// No rows, and the version that the caller has.
    #[default]
    Empty,
    Error,
    HistoryGone,
}

/// A store that refuses writes to the inbox, refuses or delays reads of the operators' requests, or
/// whose feed of the inbox is silent, while the flags are set.
#[derive(Clone, Default)]
struct PartlyBusyStore {
    inner: MemoryStore,
    refuses_inbox_writes: Arc<AtomicBool>,
    refuses_requests: Arc<AtomicBool>,
    delays_requests: Arc<AtomicBool>,
    is_inbox_feed_silent: Arc<AtomicBool>,
    loses_commit_replies: Arc<AtomicBool>,
    immediate_reply: Arc<Mutex<ImmediateReply>>,
    feed_calls: Arc<Mutex<BTreeMap<String, u32>>>,
}

#[async_trait]
impl Store for PartlyBusyStore {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        while from == "zone/" && self.delays_requests.load(Ordering::SeqCst) {
            task::sleep(Duration::from_millis(1)).await;
        }
        let is_refused = from == "zone/" && self.refuses_requests.load(Ordering::SeqCst);
        match is_refused {
            true => Err(PlatformError::Rejected {
                reason: "busy".to_owned(),
            }),
            false => self.inner.rows(table, part, from, to).await,
        }
    }

    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        let mut removals = transaction.removals.iter();
        let is_of_inbox = removals.any(|key| key.table == rows::INBOX_TABLE);
        match is_of_inbox && self.refuses_inbox_writes.load(Ordering::SeqCst) {
            true => Err(PlatformError::NotApplied {
                reason: "busy".to_owned(),
            }),
            false => {
                let committed = self.inner.commit(transaction).await;
                match self.loses_commit_replies.load(Ordering::SeqCst) {
                    true => Err(PlatformError::Unknown {
                        reason: "no reply".to_owned(),
                    }),
                    false => committed,
                }
            }
        }
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        if table == rows::INBOX_TABLE && self.is_inbox_feed_silent.load(Ordering::SeqCst) {
            futures::future::pending::<()>().await;
        }
        *self
            .feed_calls
            .lock()
            .unwrap()
            .entry(table.to_owned())
            .or_default() += 1;
        let reply = *self.immediate_reply.lock().unwrap();
        match reply {
            ImmediateReply::Empty => self.inner.changes(table, version, wait).await,
            ImmediateReply::Error => Err(PlatformError::Unknown {
                reason: "broken".to_owned(),
            }),
            ImmediateReply::HistoryGone => Ok(store::Changes::HistoryGone),
        }
    }
}

struct Fixture {
    settings: Settings,
    store: PartlyBusyStore,
    clock: clock::Clock,
    time: clock::ManualTime,
    servers: Arc<RecordingServers>,
    metrics: Arc<metrics::Metrics>,
    current_terms: Arc<terms_watcher::CurrentTerms>,
}

impl Fixture {
    fn new() -> Self {
        let (clock, time) = clock::Clock::manual(1_000_000);
        Self {
            settings: Settings::default(),
            store: PartlyBusyStore::default(),
            clock,
            time,
            servers: Arc::default(),
            metrics: Arc::default(),
            current_terms: Arc::default(),
        }
    }

    fn holder(&self) -> LeaseHolder {
        let candidate = Candidate {
            host: id::HostId::new("h1").unwrap(),
            process: "p1".into(),
            processor_cores: 1.0,
        };
        let mut standby = Standby::new(candidate, self.clock.clone());
        loop {
            match block_on(standby.check_lease(&self.store)).unwrap() {
                LeaseCheck::Holder(holder) => return holder,
                LeaseCheck::Standby(next) => standby = next,
            }
            self.time.advance(TICK);
        }
    }

    fn relayed_store(&self) -> Arc<relay::RelayedStore> {
        let own_address: SocketAddr = ([127, 0, 0, 1], 1).into();
        Arc::new(relay::RelayedStore::new(
            Arc::new(self.store.clone()),
            Arc::new(peers::Peers::new(own_address, &[])),
            self.clock.clone(),
            Arc::clone(&self.metrics),
        ))
    }

    fn start_scheduler(&self) -> Arc<Scheduler> {
        let deps = Dependencies {
            store: self.relayed_store(),
            servers: Arc::clone(&self.servers) as Arc<dyn orders::BackendServers>,
            schema: Arc::new(ZoneSchema),
            current_terms: Arc::clone(&self.current_terms),
            clock: self.clock.clone(),
            settings: Settings {
                has_adviser: true,
                ..self.settings
            },
            metrics: Arc::clone(&self.metrics),
            maintenance: None,
            adviser: Some(Arc::new(SlowAdviser::default())),
        };
        block_on(Scheduler::start(deps, &self.holder())).unwrap()
    }

    fn advance(&self, duration: Duration) {
        for _ in 0..duration.as_millis() / TICK.as_millis() {
            self.time.advance(TICK);
            // Lets the background tasks run, whose sleeps have just ended.
            block_on(task::sleep(Duration::from_millis(4)));
        }
    }

    /// Advances the time while the scheduler lease is renewed.
    fn advance_leader(&self, scheduler: &Scheduler, duration_ms: u64) {
        for _ in 0..duration_ms / 100 {
            scheduler.record_scheduler_lease_renewal(self.clock.now());
            self.advance(TICK);
        }
    }

    fn put(&self, table: &str, key: &str, value: &str) {
        let key = store::RowKey::new(table, "", key);
        self.store.inner.put(&key, value);
    }

    fn starts(&self) -> Vec<String> {
        self.servers.started_on.lock().unwrap().clone()
    }

    fn terms_watcher(&self) -> terms_watcher::TermsWatcher {
        terms_watcher::TermsWatcher {
            current_terms: Arc::clone(&self.current_terms),
            store: self.relayed_store(),
            peers: Arc::new(peers::Peers::new(([127, 0, 0, 1], 1).into(), &[])),
            schema: Arc::new(ZoneSchema),
            clock: self.clock.clone(),
        }
    }

    /// Calls of the feed of `table` so far.
    fn feed_calls(&self, table: &str) -> u32 {
        let calls = self.store.feed_calls.lock().unwrap();
        calls.get(table).copied().unwrap_or(0)
    }

    /// Panics unless `holds` within `limit_ms` of the manual clock, which waits for background
    /// tasks that a busy machine holds up.
    fn await_that(&self, scheduler: &Scheduler, limit_ms: u64, holds: impl Fn() -> bool) {
        for wait in 0..limit_ms / 2 {
            match () {
                () if holds() => return,
                () if wait % 50 == 0 => self.advance_leader(scheduler, 100),
                () => block_on(task::sleep(Duration::from_millis(1))),
            }
        }
        assert!(holds(), "{}", self.metrics.encode_text().unwrap());
    }

    /// Whether a metric has this value.
    fn has_metric(&self, line: &str) -> bool {
        let text = self.metrics.encode_text().unwrap();
        text.contains(&format!("camphorbeam_{line}\n"))
    }

    /// Stores an accepted job of one task.
    fn put_job(&self, id: &id::JobId) {
        self.put_tasks(id, 1);
    }

    fn put_tasks(&self, id: &id::JobId, count: u32) {
        self.put_accepted(id, count, None);
    }

    fn put_accepted(&self, id: &id::JobId, count: u32, advice: Option<job::AdviceTerms>) {
        let accepted = job::AcceptedJob {
            account: id::ClientAccountName::new("acme").unwrap(),
            queue: id::QueueName::new("q").unwrap(),
            terms: job::QueueJobSettings {
                service: id::ServiceName::new("s").unwrap(),
                priority: 0,
                attempts_max: 2,
                objective_ratio: 1.5,
                objective_extra_ms: 250,
                advice,
            },
            accepted_unix_ms: 0,
            accepted_store_ms: None,
            caller_zone: None,
            spec: job::JobSpec {
                payload: "p".into(),
                steps: vec![job::StepSpec {
                    task_count: count,
                    ..job::StepSpec::default()
                }],
                schedule: None,
            },
        };
        let text = serde_json::to_string(&accepted).unwrap();
        self.store.inner.put(&rows::job_key(id), &text);
    }

    /// Stores a job that ended long ago.
    fn put_ended_job(&self, id: &id::JobId) {
        self.put_job(id);
        let progress = Progress {
            state: JobState::Completed,
            ended_unix_ms: 1,
            ..Progress::default()
        };
        let text = serde_json::to_string(&progress).unwrap();
        self.store.inner.put(&rows::progress_key(id), &text);
    }

    fn has_rows(&self, id: &id::JobId) -> (bool, bool) {
        let exists = |key: &store::RowKey| self.store.inner.value(key).is_some();
        (exists(&rows::job_key(id)), exists(&rows::progress_key(id)))
    }
}

/// Without its progress row, the inbox row of an ended job would be taken for a new job.
#[test]
fn test_scheduler_keeps_the_progress_of_an_ended_job_until_its_inbox_row_is_removed() {
    let fixture = Fixture::new();
    let id = id::JobId::new("00000000000000a1").unwrap();
    fixture.put_ended_job(&id);
    fixture
        .store
        .refuses_inbox_writes
        .store(true, Ordering::SeqCst);
    let scheduler = fixture.start_scheduler();
    fixture.advance(Duration::from_secs(3));
    assert_eq!(fixture.has_rows(&id), (true, true));

    fixture
        .store
        .refuses_inbox_writes
        .store(false, Ordering::SeqCst);
    fixture.advance(Duration::from_secs(3));
    assert_eq!(fixture.has_rows(&id), (false, false));
    scheduler.stop();
}

// Guards against runs that wait for a lease although another server replies for theirs, and against
// a loss that isn't stored with the job.
#[test]
fn test_scheduler_starts_the_tasks_of_a_replaced_server_elsewhere_at_once() {
    let fixture = Fixture::new();
    fixture.put("registry", "a", "za");
    let id = id::JobId::new("00000000000000e1").unwrap();
    fixture.put_job(&id);
    let scheduler = fixture.start_scheduler();
    fixture.await_that(&scheduler, 1_500, || fixture.starts() == ["a"]);
    fixture.put("registry", "b", "zb");
    *fixture.servers.replaced.lock().unwrap() = Some("a".to_owned());
    fixture.await_that(&scheduler, 3_000, || {
        fixture.starts().contains(&"b".to_owned())
    });
    let text = fixture.store.inner.value(&rows::progress_key(&id)).unwrap();
    let progress: Progress = serde_json::from_str(&text).unwrap();
    let lost_on: Vec<&str> = progress
        .crashes
        .iter()
        .map(|entry| entry.server.as_str())
        .collect();
    assert_eq!(lost_on, ["a"]);
    scheduler.stop();
}

/// The feed of the store may go silent without an error, for example when it forgets its history.
#[test]
fn test_scheduler_learns_of_jobs_within_a_second_while_the_feed_is_silent() {
    let fixture = Fixture::new();
    let scheduler = fixture.start_scheduler();
    fixture.advance(Duration::from_millis(500));
    let is_silent = &fixture.store.is_inbox_feed_silent;
    is_silent.store(true, Ordering::SeqCst);
    fixture.advance(Duration::from_millis(500));
    for number in 0..3 {
        let id = id::JobId::new(&format!("00000000000000b{number}")).unwrap();
        fixture.put_job(&id);
        fixture.advance(Duration::from_secs(1));
        let waiting: u64 = scheduler.waiting_jobs().into_values().sum();
        assert_eq!(waiting, number + 1);
    }
    scheduler.stop();
}

/// The clocks of the hosts differ and may jump; a job must not count as old for that.
#[test]
fn test_accepted_job_takes_its_age_from_the_clock_of_the_store() {
    let fixture = Fixture::new();
    let id = id::JobId::new("00000000000000c1").unwrap();
    fixture.put_job(&id);
    let text = fixture.store.inner.value(&rows::job_key(&id)).unwrap();
    let mut accepted: job::AcceptedJob = serde_json::from_str(&text).unwrap();
    let unix_ms = 1_000_000;
    accepted.accepted_unix_ms = unix_ms - 5_000;
    assert_eq!(accepted.age_ms(70, unix_ms), 5_000);
    accepted.accepted_store_ms = Some(60);
    assert_eq!(accepted.age_ms(70, unix_ms), 10);
    assert_eq!(accepted.age_ms(50, unix_ms), 0);
}

/// A scheduler that has not read the requests doesn't know which zones are evacuated. A malformed
/// row must not hide the others. Later changes must take effect within a second, and sooner than
/// the next regular read if the watcher of the terms has seen them.
#[rstest]
fn test_scheduler_follows_the_operators_requests(#[values(false, true)] has_feed: bool) {
    let fixture = Fixture::new();
    fixture.put("registry", "a", "za");
    fixture.put("registry", "b", "zb");
    for key in ["zone/za", "zone/", "zone/nowhere"] {
        fixture.put("terms", key, "{");
    }
    let refuses_requests = &fixture.store.refuses_requests;
    refuses_requests.store(true, Ordering::SeqCst);
    fixture.put_tasks(&id::JobId::new("00000000000000d1").unwrap(), 4);
    let scheduler = fixture.start_scheduler();
    fixture.advance_leader(&scheduler, 1_500);
    assert!(fixture.starts().is_empty());
    refuses_requests.store(false, Ordering::SeqCst);
    fixture.await_that(&scheduler, 1_500, || !fixture.starts().is_empty());
    assert!(fixture.starts().iter().all(|server| server == "b"));
    for event in ["malformed", "no such zone"] {
        let line = format!("evacuations_total{{event=\"{event}\"}} 1");
        fixture.await_that(&scheduler, 100, || fixture.has_metric(&line));
    }
    if has_feed {
        task::spawn(fixture.terms_watcher().run());
        fixture.advance_leader(&scheduler, 300);
    }
    for zones in [2, 1, 2] {
        match zones {
            2 => fixture.put("terms", "zone/zb", "{}"),
            _ => {
                let key = store::RowKey::new("terms", "", "zone/zb");
                fixture.store.inner.remove(&key);
            }
        }
        let limit_ms = if has_feed { 400 } else { 800 };
        let line = format!("evacuated_zones {zones}");
        fixture.await_that(&scheduler, limit_ms, || fixture.has_metric(&line));
    }
    scheduler.stop();
}

/// Orders to one server wait for each other: one that waits while a request arrives, or while the
/// requests can't be read any more, must not be sent.
#[rstest]
fn test_scheduler_checks_requests_right_before_a_start(#[values(false, true)] is_feed_lost: bool) {
    let fixture = Fixture::new();
    fixture.put("registry", "a", "za");
    let scheduler = fixture.start_scheduler();
    fixture.servers.delays_replies.store(true, Ordering::SeqCst);
    fixture.put_tasks(&id::JobId::new("00000000000000e1").unwrap(), 8);
    fixture.await_that(&scheduler, 1_000, || fixture.starts().len() == 1);
    match is_feed_lost {
        true => fixture.store.refuses_requests.store(true, Ordering::SeqCst),
        false => fixture.put("terms", "zone/za", "{}"),
    }
    fixture.advance_leader(&scheduler, 3_000);
    fixture
        .servers
        .delays_replies
        .store(false, Ordering::SeqCst);
    let line = "orders_total{kind=\"start\",outcome=\"withheld\"} 7";
    fixture.await_that(&scheduler, 400, || fixture.has_metric(line));
    assert_eq!(fixture.starts().len(), 1);
    scheduler.stop();
}

/// A slow read that counted from its reply would hide a request that was acknowledged meanwhile.
#[test]
fn test_scheduler_counts_a_read_of_requests_from_before_it_was_sent() {
    let fixture = Fixture::new();
    let mut reader = operator_requests::RequestReader::new(
        fixture.relayed_store(),
        Arc::new(ZoneSchema),
        Arc::clone(&fixture.current_terms),
        fixture.clock.clone(),
        Arc::clone(&fixture.metrics),
        Settings::default().evacuate_ms,
    );
    let delays_requests = &fixture.store.delays_requests;
    delays_requests.store(true, Ordering::SeqCst);
    let sent_ms = fixture.clock.now().since_origin_ms;
    let release = async {
        fixture.time.advance(TICK);
        delays_requests.store(false, Ordering::SeqCst);
    };
    let (requests, ()) = block_on(futures::future::join(reader.read(), release));
    assert_eq!(requests.unwrap().unwrap().confirmed_ms, sent_ms);
}

/// A row of learned state that has a demand for urgent work.
const LEARNED_ROW: &str =
    r#"{"store_ms":0,"speeds":{"s1":-40},"headroom":{"s":{"mean":40,"mean_square":1600}}}"#;

impl Fixture {
    fn with_learned_state(row: &str) -> Self {
        let mut fixture = Self::new();
        fixture.settings.learned_state = LearnedStateStorage::Store;
        fixture.store.inner.put(&rows::learned_key(), row);
        fixture
    }

    fn row_version(&self, key: &store::RowKey) -> u64 {
        let read = block_on(store::read_row(&self.store.inner, key)).unwrap();
        read.0.map_or(0, |row| row.version)
    }
}

/// A write of its own would cost a call and delay starts. The transaction must also survive a lost
/// reply, although the row of learned state is not among its conditions.
#[test]
fn test_scheduler_writes_learned_state_together_with_progress() {
    let fixture = Fixture::with_learned_state(LEARNED_ROW);
    let id = id::JobId::new("00000000000000d1").unwrap();
    fixture.put_job(&id);
    let scheduler = fixture.start_scheduler();
    fixture.advance(Duration::from_secs(5));
    let (learned, progress) = (rows::learned_key(), rows::progress_key(&id));
    assert_eq!(fixture.store.inner.value(&learned).unwrap(), LEARNED_ROW);
    let loses_replies = &fixture.store.loses_commit_replies;
    loses_replies.store(true, Ordering::SeqCst);
    fixture.store.inner.put(&rows::cancel_key(&id), "{}");
    fixture.advance(Duration::from_secs(1));
    assert!(fixture.row_version(&progress) > 0);
    loses_replies.store(false, Ordering::SeqCst);
    fixture.advance(Duration::from_secs(2));
    assert!(!scheduler.is_stopped());
    assert_eq!(
        fixture.row_version(&learned),
        fixture.row_version(&progress)
    );
    scheduler.stop();
}

/// The row of a quiet system must not become too old for a successor, and a former holder of the
/// lease must not overwrite that of its successor.
#[test]
fn test_scheduler_refreshes_learned_state_only_while_its_epoch_lasts() {
    let fixture = Fixture::with_learned_state(LEARNED_ROW);
    let scheduler = fixture.start_scheduler();
    fixture.advance(Duration::from_secs(21));
    let learned = rows::learned_key();
    assert_ne!(fixture.store.inner.value(&learned).unwrap(), LEARNED_ROW);
    let of_successor = r#"{"epoch":2,"holder":"h2"}"#;
    fixture.store.inner.put(&rows::epoch_key(), of_successor);
    fixture.store.inner.put(&learned, LEARNED_ROW);
    fixture.advance(Duration::from_secs(21));
    assert!(scheduler.is_stopped());
    assert_eq!(fixture.store.inner.value(&learned).unwrap(), LEARNED_ROW);
}

/// A row that can't be used must not keep a scheduler from starting.
#[test]
fn test_scheduler_starts_with_learned_state_that_cannot_be_parsed() {
    let fixture = Fixture::with_learned_state("{");
    let id = id::JobId::new("00000000000000e1").unwrap();
    fixture.put_job(&id);
    let scheduler = fixture.start_scheduler();
    fixture.advance(Duration::from_secs(1));
    assert_eq!(scheduler.waiting_jobs().into_values().sum::<u64>(), 1);
    scheduler.stop();
}

/// Guards against a service that holds up all calls by one that hangs, and starts without tickets.
#[test]
fn test_scheduler_sends_tickets_although_a_call_for_advice_hangs() {
    let fixture = Fixture::new();
    fixture.put("registry", "a", "za");
    let advice = job::AdviceTerms {
        decide_ms: 100,
        each_ms: 10,
        valid_ms: 5_000,
    };
    let id = id::JobId::new("00000000000000f1").unwrap();
    fixture.put_accepted(&id, 1, Some(advice));
    let scheduler = fixture.start_scheduler();
    fixture.await_that(&scheduler, 10_000, || !fixture.starts().is_empty());
    let tickets = fixture.servers.tickets.lock().unwrap().clone();
    assert_eq!(tickets, ["00000000000000f1.0.0 on a"]);
    for outcome in ["unknown", "answered"] {
        let line = format!("advice_total{{event=\"{outcome}\"}} 1");
        fixture.await_that(&scheduler, 1_000, || fixture.has_metric(&line));
    }
    scheduler.stop();
}

// Guards against loops that take a whole processor when their feed doesn't wait.
#[rstest]
fn test_scheduler_and_terms_watcher_are_bounded_when_feeds_reply_at_once(
    #[values(
        ImmediateReply::Empty,
        ImmediateReply::Error,
        ImmediateReply::HistoryGone
    )]
    reply: ImmediateReply,
) {
    let fixture = Fixture::new();
    let scheduler = fixture.start_scheduler();
    task::spawn(fixture.terms_watcher().run());
    fixture.advance_leader(&scheduler, 500);
    *fixture.store.immediate_reply.lock().unwrap() = reply;
    fixture.advance_leader(&scheduler, 500);
    let tables = [rows::INBOX_TABLE, "registry", "terms"];
    let before = tables.map(|table| fixture.feed_calls(table));
    fixture.advance_leader(&scheduler, 1_000);
    let per_s = 1_000 / u32::try_from(UNPRODUCTIVE_INTERVAL.as_millis()).unwrap();
    for (table, before) in tables.iter().zip(before) {
        let calls = fixture.feed_calls(table) - before;
        // The first after a productive one is free. A feed that fails is left alone for a while.
        assert!(calls <= per_s + 1, "{table}: {calls}");
        assert!(calls > 0 || reply == ImmediateReply::Error, "{table}");
    }
    scheduler.stop();
}
