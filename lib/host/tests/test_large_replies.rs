//! Large values arrive over narrow links. Each test names the failure it guards against.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_clock::transfer;
use camphorbeam_host::platform_schema::PlatformSchema as _;
use camphorbeam_host::{peers, platform_schema, relay, store_path, terms_parts, terms_watcher};
use camphorbeam_model::{fleet, id, terms};
use camphorbeam_platform::memory_store::{Fault, MemoryStore};
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future::{BoxFuture, FutureExt as _};
use rstest::rstest;

type Reply<T> = Result<T, PlatformError>;

const TICK: Duration = Duration::from_millis(10);

/// A link of 10 Mbit/s, the narrowest of the users' deployments.
const LINK_BYTES_PER_MS: u64 = 1_250;

/// Bytes that arrive at once: those of one tick.
const CHUNK_BYTES: u64 = 12_500;

/// Time within which users require changed terms in force where hosts have such links.
const IN_FORCE_MAX: Duration = Duration::from_millis(3_000);

/// Terms of some 4,000 queues.
const LARGE_BYTES: usize = 1_000_000;

/// Terms that consist of a version, a space and padding.
struct PaddedVersionSchema;

fn terms_key() -> store::RowKey {
    store::RowKey::new("op", "", "terms")
}

fn padded_terms(version: u64, bytes: usize) -> String {
    format!("{version} {}", "x".repeat(bytes))
}

impl platform_schema::PlatformSchema for PaddedVersionSchema {
    fn terms_key(&self) -> store::RowKey {
        terms_key()
    }

    fn decode_terms(&self, text: &str) -> anyhow::Result<terms::Terms> {
        let version = text.split(' ').next().unwrap_or_default();
        Ok(terms::Terms {
            version: id::TermsVersion(version.parse()?),
            ..terms::Terms::default()
        })
    }

    fn evacuation_range(&self) -> platform_schema::RowRange {
        platform_schema::RowRange::with_prefix("op", "", "zone/")
    }

    fn decode_evacuation(&self, key: &store::RowKey) -> anyhow::Result<id::ZoneName> {
        Ok(id::ZoneName::new(&key.key)?)
    }

    fn server_registry_table(&self) -> &'static str {
        "registry"
    }

    fn decode_server(&self, _row: &store::Row) -> anyhow::Result<fleet::ServerEntry> {
        anyhow::bail!("this platform has no servers")
    }
}

/// The link of one host: transfers share it chunk by chunk.
struct Link {
    clock: clock::Clock,
    free_at: Mutex<clock::Monotonic>,
    /// Bytes that have passed.
    passed_bytes: AtomicU64,
    /// Number of transfers that stop for good half-way, with no error.
    stalls_left: AtomicU64,
}

impl Link {
    fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            free_at: Mutex::default(),
            passed_bytes: AtomicU64::new(0),
            stalls_left: AtomicU64::new(0),
        }
    }

    /// Transfers a reply of `bytes` bytes of values, which the platform encodes in base64.
    async fn transfer(&self, bytes: usize, progress: &transfer::Progress) {
        let total = bytes as u64 * 4 / 3;
        let mut left = total;
        while left > 0 {
            let is_half_way = left <= total / 2 && total > CHUNK_BYTES;
            let takes_one = |stalls: u64| stalls.checked_sub(1);
            let order = Ordering::SeqCst;
            if is_half_way
                && self
                    .stalls_left
                    .fetch_update(order, order, takes_one)
                    .is_ok()
            {
                futures::future::pending::<()>().await;
            }
            let chunk = left.min(CHUNK_BYTES);
            let arrives_at = {
                let mut free_at = self.free_at.lock().unwrap();
                let began_at = self.clock.now().max(*free_at);
                *free_at = began_at.plus(Duration::from_millis(chunk.div_ceil(LINK_BYTES_PER_MS)));
                *free_at
            };
            self.clock.sleep(arrives_at.since(self.clock.now())).await;
            self.passed_bytes.fetch_add(chunk, order);
            progress.record(self.clock.now(), chunk);
            left -= chunk;
        }
    }
}

/// A store behind a link.
#[derive(Clone)]
struct LinkedStore {
    memory: MemoryStore,
    link: Arc<Link>,
    is_cut: Arc<AtomicBool>,
    /// What reads of the terms return in place of the rows.
    stale_rows: Arc<Mutex<Option<store::Rows>>>,
    /// Whether the next call of the feed fails, after a while.
    fails_next_feed: Arc<AtomicBool>,
}

fn value_bytes(rows: &store::Rows) -> usize {
    let values = rows.rows.iter().filter_map(|row| row.value.as_ref());
    values.map(String::len).sum()
}

#[async_trait]
impl Store for LinkedStore {
    async fn rows(&self, t: &str, p: &str, from: &str, to: &str) -> Reply<store::Rows> {
        let progress = transfer::Progress::default();
        self.rows_recorded(t, p, from, to, &progress).await
    }

    async fn commit(&self, transaction: &store::Transaction) -> Reply<store::Commit> {
        self.memory.commit(transaction).await
    }

    async fn changes(&self, t: &str, version: u64, wait: Duration) -> Reply<store::Changes> {
        let progress = transfer::Progress::default();
        self.changes_recorded(t, version, wait, &progress).await
    }

    async fn rows_recorded(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        progress: &transfer::Progress,
    ) -> Reply<store::Rows> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(failed());
        }
        let stale_rows = self.stale_rows.lock().unwrap().clone();
        let rows = match stale_rows.filter(|_| table == terms_key().table) {
            Some(rows) => rows,
            None => self.memory.rows(table, part, from, to).await?,
        };
        self.link.transfer(value_bytes(&rows), progress).await;
        Ok(rows)
    }

    async fn changes_recorded(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
        progress: &transfer::Progress,
    ) -> Reply<store::Changes> {
        if self.is_cut.load(Ordering::SeqCst) {
            return Err(failed());
        }
        if self.fails_next_feed.swap(false, Ordering::SeqCst) {
            self.link.clock.sleep(Duration::from_millis(200)).await;
            return Err(failed());
        }
        let changes = self.memory.changes(table, version, wait).await?;
        if let store::Changes::Rows(rows) = &changes {
            self.link.transfer(value_bytes(rows), progress).await;
        }
        Ok(changes)
    }
}

/// Another host, which receives the terms at once and has a narrow link of its own.
#[derive(Clone)]
struct FakePeer {
    store: LinkedStore,
    /// Number of calls for parts of its terms that it answers before it fails for good.
    parts_left: Arc<AtomicU64>,
}

struct FakePeers(Vec<FakePeer>);

fn failed() -> PlatformError {
    PlatformError::NotApplied {
        reason: "the link is down".to_owned(),
    }
}

#[async_trait]
impl peers::PeerLink for FakePeers {
    async fn rows(
        &self,
        at: SocketAddr,
        t: &str,
        p: &str,
        from: &str,
        to: &str,
    ) -> Reply<store::Rows> {
        let peer = &self.0[usize::from(at.port())];
        let rows = peer.store.rows(t, p, from, to).await?;
        // Passed on over the same link.
        let progress = transfer::Progress::default();
        let sending = peer.store.link.transfer(value_bytes(&rows), &progress);
        sending.await;
        Ok(rows)
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
        Ok(Some(true))
    }

    async fn terms_part(
        &self,
        at: SocketAddr,
        position: terms_parts::TermsPosition,
    ) -> Reply<Option<terms_parts::TermsPart>> {
        let peer = &self.0[usize::from(at.port())];
        let left = peer.parts_left.load(Ordering::SeqCst);
        if left == 0 {
            return Err(failed());
        }
        peer.parts_left.store(left - 1, Ordering::SeqCst);
        let text = peer.store.memory.value(&terms_key()).unwrap();
        let terms = terms_parts::SourceTerms {
            version: PaddedVersionSchema.decode_terms(&text).unwrap().version,
            text: text.into(),
        };
        let part = terms_parts::TermsPart::after(position, Some(&terms), true);
        let progress = transfer::Progress::default();
        peer.store.link.transfer(part.text.len(), &progress).await;
        Ok(Some(part))
    }
}

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// A host that follows the terms, over a link of its own. Others exist if `peers` has any.
struct Fixture {
    peers: Vec<FakePeer>,
    tasks: Vec<BoxFuture<'static, ()>>,
    time: clock::ManualTime,
    memory: MemoryStore,
    link: Arc<Link>,
    own_store: LinkedStore,
    path: Arc<store_path::StorePath>,
    current_terms: Arc<terms_watcher::CurrentTerms>,
}

impl Fixture {
    /// Version 1 of the terms is small and in force.
    fn new() -> Self {
        Self::with_peers(0)
    }

    fn with_peers(peer_count: u16) -> Self {
        let (clock, time) = clock::Clock::manual(0);
        let memory = MemoryStore::with_feed_clock(clock.clone());
        memory.put(&terms_key(), &padded_terms(1, 10));
        let new_store = || LinkedStore {
            memory: memory.clone(),
            link: Arc::new(Link::new(clock.clone())),
            is_cut: Arc::default(),
            stale_rows: Arc::default(),
            fails_next_feed: Arc::default(),
        };
        let new_peer = |_| FakePeer {
            store: new_store(),
            parts_left: Arc::new(AtomicU64::new(u64::MAX)),
        };
        let fake_peers: Vec<_> = (0..peer_count).map(new_peer).collect();
        let addresses: Vec<_> = (0..peer_count).map(address).collect();
        let peers = Arc::new(peers::Peers::new(address(peer_count), &addresses));
        let own_store = new_store();
        let path = Arc::new(store_path::StorePath::new(
            Arc::new(own_store.clone()),
            Arc::new(FakePeers(fake_peers.clone())),
            Arc::clone(&peers),
            clock.clone(),
            Arc::default(),
        ));
        let current_terms = Arc::new(terms_watcher::CurrentTerms::default());
        let watcher = terms_watcher::TermsWatcher {
            current_terms: Arc::clone(&current_terms),
            store: Arc::new(relay::RelayedStore::with_path(Arc::clone(&path))),
            peers,
            schema: Arc::new(PaddedVersionSchema),
            clock,
        };
        let mut fixture = Self {
            tasks: vec![Arc::clone(&path).run().boxed(), watcher.run().boxed()],
            time,
            memory,
            link: Arc::clone(&own_store.link),
            own_store,
            path,
            current_terms,
            peers: fake_peers,
        };
        fixture.run_for(Duration::from_millis(1_000));
        assert_eq!(fixture.version(), 1);
        fixture
    }

    fn version(&self) -> u64 {
        self.current_terms.version().0
    }

    fn run_for(&mut self, duration: Duration) {
        for _ in 0..duration.as_millis() / TICK.as_millis() {
            for _ in 0..20 {
                let mut tasks = self.tasks.iter_mut();
                assert!(tasks.all(|task| task.now_or_never().is_none()));
            }
            self.time.advance(TICK);
        }
    }
}

/// Guards against large terms that are never in force on a host with a narrow link, because each
/// attempt to receive them is cut by a limit shorter than their transfer.
#[rstest]
#[case::whole(0)]
#[case::after_a_transfer_that_stopped_half_way(1)]
fn test_large_terms_are_in_force_in_time_on_a_narrow_link(#[case] stalls: u64) {
    // A long poll is 700 ms; its moment at which the change comes must not matter.
    for phase_ms in (0..700).step_by(50) {
        let mut fixture = Fixture::new();
        fixture.run_for(Duration::from_millis(phase_ms));
        fixture.link.stalls_left.store(stalls, Ordering::SeqCst);
        for version in 2..5 {
            let terms = padded_terms(version, LARGE_BYTES);
            fixture.memory.put(&terms_key(), &terms);
            fixture.run_for(IN_FORCE_MAX);
            assert_eq!(fixture.version(), version, "phase {phase_ms} ms");
        }
    }
}

/// Guards against full reads of unchanged large terms, each of which takes the whole of a narrow
/// link for a second: at a fixed interval, and after each loss of the connection.
#[rstest]
#[case::undisturbed(Fault::None)]
#[case::the_store_is_lost_and_back(Fault::Busy)]
fn test_large_terms_that_are_unchanged_leave_a_narrow_link_free(#[case] fault: Fault) {
    const WATCHED: Duration = Duration::from_secs(60);
    let mut fixture = Fixture::new();
    fixture
        .memory
        .put(&terms_key(), &padded_terms(2, LARGE_BYTES));
    fixture.run_for(IN_FORCE_MAX);
    assert_eq!(fixture.version(), 2);
    let before_bytes = fixture.link.passed_bytes.load(Ordering::SeqCst);
    for _ in 0..10 {
        fixture.memory.set_fault(fault);
        fixture.run_for(Duration::from_millis(1_000));
        fixture.memory.set_fault(Fault::None);
        fixture.run_for(WATCHED / 10 - Duration::from_millis(1_000));
    }
    let used_bytes = fixture.link.passed_bytes.load(Ordering::SeqCst) - before_bytes;
    // A twentieth, and the read that comes soonest.
    let link_bytes = WATCHED.as_millis() as u64 * LINK_BYTES_PER_MS;
    let terms_bytes = LARGE_BYTES as u64 * 4 / 3;
    assert!(
        used_bytes <= link_bytes / 20 + terms_bytes,
        "{used_bytes} bytes"
    );
}

/// Guards against a host without a connection of its own that never has large terms, because other
/// hosts pass them on as a whole; and against one that asks for what it has.
#[rstest]
#[case::whole([u64::MAX, u64::MAX])]
#[case::each_host_passes_on_a_few_parts([8, 9])]
fn test_large_terms_arrive_through_hosts_with_narrow_links(#[case] parts: [u64; 2]) {
    let mut fixture = Fixture::with_peers(2);
    fixture.own_store.is_cut.store(true, Ordering::SeqCst);
    fixture.run_for(Duration::from_millis(2_000));
    for (peer, parts) in fixture.peers.iter().zip(parts) {
        peer.parts_left.store(parts, Ordering::SeqCst);
    }
    fixture
        .memory
        .put(&terms_key(), &padded_terms(2, LARGE_BYTES));
    fixture.run_for(IN_FORCE_MAX);
    assert_eq!(fixture.version(), 2);
    fixture.run_for(Duration::from_millis(10_000));
    let links = fixture.peers.iter().map(|peer| &peer.store.link);
    let passed = links.map(|link| link.passed_bytes.load(Ordering::SeqCst));
    // The text once, and the first part from both hosts.
    let text_bytes = LARGE_BYTES as u64 * 4 / 3;
    assert!(passed.sum::<u64>() <= text_bytes * 11 / 10);
}

/// Guards against a host that goes back behind what it knows after a read of an old state, and then
/// finds that the store has dropped the changes since.
#[test]
fn test_terms_are_in_force_in_time_beside_stale_reads() {
    let mut fixture = Fixture::new();
    let key = terms_key();
    let read = fixture.memory.rows(&key.table, &key.part, &key.key, "u");
    let stale_rows = read.now_or_never().unwrap().unwrap();
    fixture.memory.put(&key, &padded_terms(2, 10));
    fixture.run_for(Duration::from_millis(500));
    assert_eq!(fixture.version(), 2);
    fixture.memory.forget_history();
    *fixture.own_store.stale_rows.lock().unwrap() = Some(stale_rows);
    // Other calls succeed, so that the connection isn't judged lost by the feed's failure.
    let (path, clock) = (Arc::clone(&fixture.path), fixture.link.clock.clone());
    let reading = async move {
        loop {
            path.rows("hosts", "", "a", "b").await.unwrap();
            clock.sleep(Duration::from_millis(50)).await;
        }
    };
    fixture.tasks.push(reading.boxed());
    let fails_next_feed = &fixture.own_store.fails_next_feed;
    fails_next_feed.store(true, Ordering::SeqCst);
    fixture.run_for(Duration::from_millis(2_000));
    fixture.memory.put(&key, &padded_terms(3, 10));
    fixture.run_for(IN_FORCE_MAX);
    assert_eq!(fixture.version(), 3);
}
