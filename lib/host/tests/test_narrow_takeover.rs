//! Takeovers over narrow links. Each test names the failure it guards against.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_clock::transfer;
use camphorbeam_host::inbox_reader::InboxReader;
use camphorbeam_host::leadership::{Candidate, LeaseCheck, LeaseHolder, Standby};
use camphorbeam_host::partition_reader::{PageBudget, PartitionReader};
use camphorbeam_host::scheduler::{Dependencies, Scheduler};
use camphorbeam_host::{peers, platform_schema, relay, rows, store_path};
use camphorbeam_jobs::orders;
use camphorbeam_model::{fleet, id, job, terms};
use camphorbeam_platform::memory_store::MemoryStore;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future::{self, FutureExt as _};
use rstest::rstest;

type Reply<T> = Result<T, PlatformError>;

const TICK: Duration = Duration::from_millis(5);

/// Time without a byte after which the platform's client ends a read, and a page of a large
/// partition.
const READ_SILENCE_MAX: Duration = Duration::from_millis(1_000);
const PAGE_SILENCE_MAX: Duration = Duration::from_millis(3_000);

/// Longest time of any transfer, and of a commit.
const TRANSFER_MAX: Duration = Duration::from_secs(12);
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Bytes of a small reply.
const SMALL_REPLY_BYTES: usize = 200;

/// Time after which a connection with a due reply and no byte counts as lost.
const SILENCE_MAX: Duration = Duration::from_millis(450);

/// The link of a host. Replies pass one window after the other; each connection has one on its way.
struct Link {
    clock: clock::Clock,
    bytes_per_ms: f64,
    window_bytes: usize,
    free_at_ms: Mutex<f64>,
    passed_bytes: AtomicU64,
}

impl Link {
    async fn transfer(&self, bytes: usize, progress: &transfer::Progress) {
        let mut left = bytes + SMALL_REPLY_BYTES;
        while left > 0 {
            let window = left.min(self.window_bytes);
            let now_ms = self.clock.now().since_origin_ms as f64;
            let arrives_ms = {
                let mut free_at_ms = self.free_at_ms.lock().unwrap();
                *free_at_ms = free_at_ms.max(now_ms) + window as f64 / self.bytes_per_ms;
                *free_at_ms
            };
            let wait_ms = (arrives_ms - now_ms).ceil() as u64;
            self.clock.sleep(Duration::from_millis(wait_ms)).await;
            self.passed_bytes.fetch_add(window as u64, Ordering::SeqCst);
            progress.record(self.clock.now(), window as u64);
            left -= window;
        }
    }
}

/// A store behind a link, with the time limits of the platform's client.
#[derive(Clone)]
struct NarrowStore {
    memory: MemoryStore,
    link: Arc<Link>,
    /// Pages after which one fails.
    pages_until_failure: Arc<AtomicU64>,
}

fn reply_bytes(rows: &store::Rows) -> usize {
    let bytes = |row: &store::Row| {
        let value_bytes = row.value.as_ref().map_or(0, String::len);
        row.key.key.len() + value_bytes.div_ceil(3) * 4 + 90
    };
    rows.rows.iter().map(bytes).sum()
}

fn failed() -> PlatformError {
    PlatformError::Unknown {
        reason: "no whole answer".to_owned(),
    }
}

impl NarrowStore {
    async fn pass(
        &self,
        bytes: usize,
        silence_max: Duration,
        whole_max: Duration,
        progress: &transfer::Progress,
    ) -> Reply<()> {
        let clock = &self.link.clock;
        let limits = transfer::Limits {
            silence_max,
            whole_max,
        };
        let transfer = self.link.transfer(bytes, progress);
        let passed = clock.limit_transfer(limits, clock.now(), progress, transfer);
        passed.await.map_err(|_| failed())
    }
}

#[async_trait]
impl Store for NarrowStore {
    async fn rows(&self, t: &str, p: &str, from: &str, to: &str) -> Reply<store::Rows> {
        let progress = transfer::Progress::default();
        self.rows_recorded(t, p, from, to, &progress).await
    }

    async fn rows_recorded(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        progress: &transfer::Progress,
    ) -> Reply<store::Rows> {
        let rows = self.memory.rows(table, part, from, to).await?;
        let bytes = reply_bytes(&rows);
        self.pass(bytes, READ_SILENCE_MAX, TRANSFER_MAX, progress)
            .await?;
        Ok(rows)
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
        progress: &transfer::Progress,
    ) -> Reply<store::Page> {
        let order = Ordering::SeqCst;
        if self.pages_until_failure.fetch_sub(1, order) == 0 {
            return Err(failed());
        }
        let rows = self.memory.rows(table, part, from, "").await?;
        let page = store::Page::first_of(rows, rows_max.min(500));
        let bytes = reply_bytes(&page.rows);
        self.pass(bytes, PAGE_SILENCE_MAX, TRANSFER_MAX, progress)
            .await?;
        Ok(page)
    }

    async fn commit(&self, transaction: &store::Transaction) -> Reply<store::Commit> {
        let commit = self.memory.commit(transaction).await?;
        let progress = transfer::Progress::default();
        self.pass(0, COMMIT_TIMEOUT, COMMIT_TIMEOUT, &progress)
            .await?;
        Ok(commit)
    }

    async fn changes(&self, table: &str, version: u64, wait: Duration) -> Reply<store::Changes> {
        let changes = self.memory.changes(table, version, wait).await?;
        let bytes = match &changes {
            store::Changes::Rows(rows) => reply_bytes(rows),
            store::Changes::HistoryGone => 0,
        };
        let progress = transfer::Progress::default();
        self.pass(bytes, READ_SILENCE_MAX, TRANSFER_MAX, &progress)
            .await?;
        Ok(changes)
    }
}

/// No other host can be reached.
struct NoPeers;

#[async_trait]
impl peers::PeerLink for NoPeers {
    async fn rows(&self, _: SocketAddr, _: &str, _: &str, _: &str, _: &str) -> Reply<store::Rows> {
        Err(failed())
    }

    async fn commit(&self, _: SocketAddr, _: &store::Transaction) -> Reply<store::Commit> {
        Err(failed())
    }

    async fn changes(
        &self,
        _: SocketAddr,
        _: &str,
        _: u64,
        _: Duration,
    ) -> Reply<Option<store::Changes>> {
        Err(failed())
    }

    async fn reaches_store(&self, _: SocketAddr) -> Reply<Option<bool>> {
        Err(failed())
    }
}

/// A platform without servers and requests.
struct EmptySchema;

impl platform_schema::PlatformSchema for EmptySchema {
    fn terms_key(&self) -> store::RowKey {
        store::RowKey::new("terms", "", "newest")
    }

    fn decode_terms(&self, _: &str) -> anyhow::Result<terms::Terms> {
        Ok(terms::Terms::default())
    }

    fn evacuation_range(&self) -> platform_schema::RowRange {
        platform_schema::RowRange::with_prefix("terms", "", "zone/")
    }

    fn decode_evacuation(&self, key: &store::RowKey) -> anyhow::Result<id::ZoneName> {
        Ok(id::ZoneName::new(&key.key)?)
    }

    fn server_registry_table(&self) -> &'static str {
        "registry"
    }

    fn decode_server(&self, _: &store::Row) -> anyhow::Result<fleet::ServerEntry> {
        anyhow::bail!("this platform has no servers")
    }
}

struct NoServers;

#[async_trait]
impl orders::BackendServers for NoServers {
    async fn start(
        &self,
        _: &orders::Target,
        _: &orders::StartOrder,
    ) -> orders::Answer<orders::StartOutcome> {
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

    async fn hold(&self, _: &orders::Target, _: &orders::HoldOrder) -> orders::HoldOutcome {
        future::pending().await
    }
}

fn job_id(number: usize) -> id::JobId {
    id::JobId::new(&format!(
        "{:016x}",
        0x5c0e_7a21_0000_0000_u64 + number as u64
    ))
    .unwrap()
}

/// The row of an accepted job with a payload of `payload_bytes`.
fn job_row(number: usize, payload_bytes: usize) -> (store::RowKey, String) {
    let accepted = job::AcceptedJob {
        account: id::ClientAccountName::new("acme").unwrap(),
        queue: id::QueueName::new("q").unwrap(),
        terms: job::QueueJobSettings {
            service: id::ServiceName::new("s").unwrap(),
            priority: 1,
            attempts_max: 2,
            objective_ratio: 1.5,
            objective_extra_ms: 250,
            advice: None,
        },
        accepted_unix_ms: 0,
        accepted_store_ms: None,
        caller_zone: None,
        spec: job::JobSpec {
            payload: "p".repeat(payload_bytes).into(),
            steps: vec![job::StepSpec {
                task_count: 2,
                ..job::StepSpec::default()
            }],
            schedule: None,
        },
    };
    let text = serde_json::to_string(&accepted).unwrap();
    (rows::job_key(&job_id(number)), text)
}

struct Fixture {
    clock: clock::Clock,
    time: clock::ManualTime,
    store: NarrowStore,
    path: Arc<store_path::StorePath>,
    relayed: Arc<relay::RelayedStore>,
}

impl Fixture {
    fn new(link_mbps: f64, window_bytes: usize) -> Self {
        let (clock, time) = clock::Clock::manual(1_000_000);
        let store = NarrowStore {
            memory: MemoryStore::with_feed_clock(clock.clone()),
            link: Arc::new(Link {
                clock: clock.clone(),
                bytes_per_ms: link_mbps * 125.0,
                window_bytes,
                free_at_ms: Mutex::default(),
                passed_bytes: AtomicU64::new(0),
            }),
            pages_until_failure: Arc::new(AtomicU64::new(u64::MAX)),
        };
        let path = Arc::new(store_path::StorePath::new(
            Arc::new(store.clone()),
            Arc::new(NoPeers),
            Arc::new(peers::Peers::new(([127, 0, 0, 1], 1).into(), &[])),
            clock.clone(),
            Arc::default(),
        ));
        let relayed = relay::RelayedStore::with_path(Arc::clone(&path));
        Self {
            relayed: Arc::new(relayed.with_link_mbps(Some(link_mbps))),
            clock,
            time,
            store,
            path,
        }
    }

    /// Stores `count` accepted jobs and returns the bytes of their rows in replies.
    fn put_jobs(&self, count: usize, payload_bytes: usize) -> usize {
        let mut bytes = 0;
        for number in 0..count {
            let (key, text) = job_row(number, payload_bytes);
            bytes += key.key.len() + text.len().div_ceil(3) * 4 + 90;
            self.store.memory.put(&key, &text);
        }
        bytes
    }

    /// Advances the time until `work` has ended, and returns its output and how long it took.
    /// Panics if it takes longer than `time_max`.
    fn run<T>(&self, time_max: Duration, work: impl future::Future<Output = T>) -> (T, Duration) {
        let mut work = std::pin::pin!(work);
        let mut path = std::pin::pin!(Arc::clone(&self.path).run());
        let started_at = self.clock.now();
        loop {
            for _ in 0..10 {
                assert!(path.as_mut().now_or_never().is_none());
                if let Some(output) = work.as_mut().now_or_never() {
                    return (output, self.clock.now().since(started_at));
                }
            }
            let took = self.clock.now().since(started_at);
            assert!(took <= time_max, "not done after {took:?}");
            self.time.advance(TICK);
        }
    }

    fn holder(&self) -> LeaseHolder {
        let candidate = Candidate {
            host: id::HostId::new("h1").unwrap(),
            process: "p1".into(),
            processor_cores: 1.0,
        };
        let taking = async {
            let mut standby = Standby::new(candidate, self.clock.clone());
            loop {
                match standby.check_lease(&*self.relayed).await.unwrap() {
                    LeaseCheck::Holder(holder) => return holder,
                    LeaseCheck::Standby(next) => standby = next,
                }
                self.clock.sleep(TICK).await;
            }
        };
        self.run(Duration::from_secs(10), taking).0
    }

    fn dependencies(&self) -> Dependencies {
        Dependencies {
            store: Arc::clone(&self.relayed),
            servers: Arc::new(NoServers),
            schema: Arc::new(EmptySchema),
            current_terms: Arc::default(),
            clock: self.clock.clone(),
            settings: camphorbeam_jobs::settings::Settings::default(),
            metrics: Arc::default(),
            maintenance: None,
            adviser: None,
        }
    }

    /// Makes a small call each 300 ms for ever, and records the longest time of one.
    async fn make_small_calls(&self, longest: &Mutex<Duration>) {
        loop {
            let sent_at = self.clock.now();
            let read = store::read_row(&*self.relayed, &rows::lease_key()).await;
            read.expect("a small call has failed");
            let took = self.clock.now().since(sent_at);
            {
                let mut longest = longest.lock().unwrap();
                *longest = took.max(*longest);
            }
            self.clock.sleep(Duration::from_millis(300)).await;
        }
    }
}

/// Guards against a takeover that never ends since a narrow link delays each reply beyond a time
/// limit, after which everything is read anew; and against small calls that wait behind it.
#[rstest]
#[case::two_mbps(2.0, 64, 400, 1_200)]
#[case::two_mbps_of_large_jobs(2.0, 64, 800, 3_900)]
#[case::ten_mbps_with_large_windows(10.0, 256, 800, 3_900)]
#[case::hundred_mbps(100.0, 64, 1_600, 3_900)]
fn test_takeover_over_a_narrow_link_takes_as_long_as_its_bytes(
    #[case] link_mbps: f64,
    #[case] window_kib: usize,
    #[case] jobs: usize,
    #[case] payload_bytes: usize,
) {
    let fixture = Fixture::new(link_mbps, window_kib * 1024);
    let holder = fixture.holder();
    let bytes = fixture.put_jobs(jobs, payload_bytes);
    let bytes_time = Duration::from_secs_f64(bytes as f64 / (link_mbps * 125_000.0));
    let longest = Mutex::new(Duration::ZERO);
    let starting = Box::pin(Scheduler::start(fixture.dependencies(), &holder));
    let small_calls = Box::pin(fixture.make_small_calls(&longest));
    let work = async {
        match future::select(starting, small_calls).await {
            future::Either::Left((scheduler, _)) => scheduler,
            future::Either::Right(_) => unreachable!("small calls are made for ever"),
        }
    };
    // A tenth for the small calls and the headers of the pages.
    let time_max = bytes_time.mul_f64(1.1) + Duration::from_millis(500);
    let (scheduler, _) = fixture.run(time_max, work);
    let scheduler = scheduler.expect("the takeover has failed");
    scheduler.stop();
    let waiting = scheduler.waiting_jobs().into_values().sum::<u64>();
    assert_eq!(waiting, jobs as u64);
    let longest = *longest.lock().unwrap();
    assert!(longest < SILENCE_MAX, "a small call took {longest:?}");
}

/// Guards against a read that begins with the first byte again after each failure.
#[test]
fn test_partition_is_read_on_after_failures_without_reading_pages_again() {
    let fixture = Fixture::new(2.0, 64 * 1024);
    let bytes = fixture.put_jobs(400, 1_200) as u64;
    let budget = PageBudget::new(fixture.clock.clone(), Some(2.0));
    let mut read_rows = 0;
    for part in rows::INBOX_PARTS {
        let mut reader = PartitionReader::new(rows::INBOX_TABLE, part);
        let mut attempts = 0;
        while !reader.is_complete() {
            fixture.store.pages_until_failure.store(2, Ordering::SeqCst);
            let reading = reader.read(&fixture.store, &budget);
            let (result, _) = fixture.run(Duration::from_secs(20), reading);
            assert!(result.is_err() || reader.is_complete());
            attempts += 1;
        }
        assert!(attempts > 1, "no read has failed");
        read_rows += reader.into_rows().rows.len();
    }
    assert_eq!(read_rows, 400);
    let passed = fixture.store.link.passed_bytes.load(Ordering::SeqCst);
    assert!(passed < bytes + bytes / 10, "{passed} of {bytes} bytes");
}

/// Guards against a job that is never found since it was accepted during a read of the inbox that
/// lasts longer than the store's history.
#[test]
fn test_job_accepted_during_a_read_longer_than_the_history_is_found() {
    let fixture = Fixture::new(2.0, 64 * 1024);
    fixture.put_jobs(400, 1_200);
    // Sorts before all others, so its page has been read when it is accepted.
    let (first_key, text) = job_row(0, 10);
    let early = store::RowKey::new(&first_key.table, &first_key.part, "job.0000000000000000");
    let budget = PageBudget::new(fixture.clock.clone(), Some(2.0));
    let mut reader = InboxReader::new();
    let changed = Mutex::new(Vec::new());
    let reading = reader.read(&fixture.store, &budget, &fixture.clock, |changes| {
        changed.lock().unwrap().extend(changes.rows);
    });
    let accepting = async {
        fixture.clock.sleep(Duration::from_millis(1_500)).await;
        fixture.store.memory.put(&early, &text);
        fixture.clock.sleep(Duration::from_millis(1_500)).await;
        fixture.store.memory.forget_history();
    };
    let work = future::join(reading, accepting);
    let ((result, ()), _) = fixture.run(Duration::from_secs(10), work);
    result.unwrap();
    let inbox = reader.into_rows();
    assert_eq!(inbox.rows.len(), 400);
    let changed = changed.into_inner().unwrap();
    assert!(changed.iter().any(|row| row.key == early));
    let continuing = fixture
        .store
        .changes(rows::INBOX_TABLE, inbox.version, Duration::ZERO);
    let (changes, _) = fixture.run(Duration::from_secs(1), continuing);
    assert!(matches!(changes, Ok(store::Changes::Rows(_))));
}
