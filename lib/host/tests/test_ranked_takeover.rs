//! With ranked standbys, no two hosts believe that they hold the lease, whatever the builds and
//! switches, suspensions, lost replies, late writes and speed of the store.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task::{self, block_on};
use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_host::leadership::{
    Candidate, LeaseCheck, LeaseHolder, LeaseWriteOutcome, Standby,
};
use camphorbeam_host::rows;
use camphorbeam_jobs::server;
use camphorbeam_jobs::settings::Takeover::{self, Ranked, Uniform};
use camphorbeam_jobs::settings::{Settings, LEASE_EXPIRY_MARGIN_MS};
use camphorbeam_model::id;
use camphorbeam_platform::memory_store::{Fault, MemoryStore};
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use rstest::rstest;

const TICK: Duration = Duration::from_millis(50);

fn ms(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}

/// A store that counts reads of hosts, applies delayed writes before a commit if told to, and takes
/// as long for its calls as on a slow day, one commit after the other.
#[derive(Clone)]
struct TestStore {
    inner: MemoryStore,
    clock: clock::Clock,
    host_reads: Arc<AtomicU64>,
    applies_delayed_first: Arc<AtomicBool>,
    read_time: Duration,
    /// Time of a commit before and after it takes effect.
    commit_times: [Duration; 2],
    busy_until: Arc<Mutex<clock::Monotonic>>,
}

#[async_trait]
impl Store for TestStore {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        let is_of_hosts = table == rows::HOSTS_TABLE;
        self.host_reads
            .fetch_add(u64::from(is_of_hosts), Ordering::SeqCst);
        let read = self.inner.rows(table, part, from, to).await;
        self.clock.sleep(self.read_time).await;
        read
    }

    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        if self.applies_delayed_first.load(Ordering::SeqCst) {
            self.inner.apply_delayed();
        }
        let [before, after] = self.commit_times;
        let wait = {
            let mut busy_until = self.busy_until.lock().unwrap();
            let begin = self.clock.now().max(*busy_until);
            *busy_until = begin.plus(before + after);
            begin.since(self.clock.now())
        };
        self.clock.sleep(wait + before).await;
        let committed = self.inner.commit(transaction).await;
        self.clock.sleep(after).await;
        committed
    }

    async fn changes(
        &self,
        _table: &str,
        _version: u64,
        _wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        Ok(store::Changes::HistoryGone)
    }
}

struct Fixture {
    store: TestStore,
    clock: clock::Clock,
    time: clock::ManualTime,
}

impl Fixture {
    /// The lease is free.
    fn new() -> Self {
        let (clock, time) = clock::Clock::manual(0);
        let store = TestStore {
            inner: MemoryStore::default(),
            clock: clock.clone(),
            host_reads: Arc::default(),
            applies_delayed_first: Arc::default(),
            read_time: Duration::ZERO,
            commit_times: [Duration::ZERO; 2],
            busy_until: Arc::default(),
        };
        let fixture = Self { store, clock, time };
        fixture.put_lease("null", "");
        fixture
    }

    /// Stores a lease row with further fields.
    fn put_lease(&self, holder: &str, fields: &str) {
        let always = r#""process":"0","epoch":0,"token":"t","store_ms":0,"waiting":{}"#;
        let text = format!(r#"{{"holder":{holder},{always}{fields}}}"#);
        self.store.inner.put(&rows::lease_key(), &text);
    }

    fn register(&self, host: &str, cores: f64) {
        let row = rows::HostRow {
            peer_address: ([127, 0, 0, 1], 1).into(),
            zone: id::ZoneName::new("z").unwrap(),
            processor_share: cores,
            store_ms: 0,
        };
        let key = rows::host_key(&id::HostId::new(host).unwrap());
        let text = serde_json::to_string(&row).unwrap();
        self.store.inner.put(&key, &text);
    }

    fn standby(&self, host: &str, takeover: Takeover) -> Standby {
        let candidate = Candidate {
            host: id::HostId::new(host).unwrap(),
            process: host.into(),
            processor_cores: 1.0,
        };
        Standby::new(candidate, self.clock.clone()).with_takeover(takeover)
    }

    fn check(&self, standby: Standby) -> Result<LeaseHolder, Box<Standby>> {
        match block_on(standby.check_lease(&self.store)) {
            Ok(LeaseCheck::Holder(holder)) => Ok(holder),
            Ok(LeaseCheck::Standby(standby)) | Err((standby, _)) => Err(Box::new(standby)),
        }
    }

    fn renew(&self, holder: &mut LeaseHolder) -> LeaseWriteOutcome {
        block_on(holder.renew(&self.store))
    }

    fn renew_unconfirmed(&self, holder: &mut LeaseHolder, fault: Fault) {
        self.store.inner.set_fault(fault);
        let outcome = self.renew(holder);
        assert!(matches!(outcome, LeaseWriteOutcome::Unconfirmed(_)));
        self.store.inner.set_fault(Fault::None);
    }

    fn believes(&self, holder: &LeaseHolder) -> bool {
        self.clock.now().since(holder.renewed_at()) < holder.lease_duration()
    }

    /// Checks every 50 ms until the lease is taken; returns the time that this took.
    fn takeover_time(&self, mut standby: Standby) -> Duration {
        let started_at = self.clock.now();
        while let Err(next) = self.check(standby) {
            standby = *next;
            self.time.advance(TICK);
            assert!(self.clock.now().since(started_at) < ms(40_000));
        }
        self.clock.now().since(started_at)
    }
}

/// Two holders of different switches would overlap if a standby waited only for its own duration.
/// The former holder is suspended, and must find its lease expired and lost when it resumes.
#[rstest]
#[case::both_uniform(Uniform, Uniform, 3_000)]
#[case::long_holder_short_standby(Uniform, Ranked, 3_000)]
#[case::short_holder_long_standby(Ranked, Uniform, 3_000)]
#[case::both_ranked(Ranked, Ranked, 2_300)]
fn test_ranked_takeover_waits_for_the_lease_duration_of_the_row(
    #[case] of_holder: Takeover,
    #[case] of_standby: Takeover,
    #[case] expected_ms: u64,
) {
    let fixture = Fixture::new();
    let mut former = fixture.check(fixture.standby("a", of_holder)).unwrap();
    assert_eq!(fixture.renew(&mut former), LeaseWriteOutcome::Renewed);
    let elapsed = fixture.takeover_time(fixture.standby("b", of_standby));
    assert_eq!(elapsed, ms(expected_ms));
    assert!(elapsed >= former.lease_duration() + ms(200));
    assert_eq!(fixture.renew(&mut former), LeaseWriteOutcome::Lost);
    // The former holder renews the leases of servers until its renewal grace ends. A successor that
    // doesn't reach a server must not run its tasks elsewhere before these leases have expired.
    let settings = Settings::default();
    let longest_lease_ms = (settings.lease_max_ms as f64 / 0.98) as u64 + LEASE_EXPIRY_MARGIN_MS;
    let last_hold_ms = clock::as_ms(former.lease_duration()) + settings.renewal_grace_ms;
    let counts_as_gone_ms = server::silent_lease_expiry_ms(expected_ms, &settings);
    assert!(counts_as_gone_ms >= last_hold_ms + longest_lease_ms + 200);
}

/// Rows of earlier builds have no duration; those of later builds may have another one or can't be
/// read. Taking the lease too early would depose a holder that schedules.
#[rstest]
#[case::earlier_build("", 3_000)]
#[case::later_build(r#","lease_ms":5000,"new":1"#, 5_000)]
#[case::wrong_value(r#","lease_ms":18446744073709551615"#, 30_000)]
#[case::unreadable(r#","lease_ms":"5 s""#, 3_000)]
fn test_ranked_takeover_from_a_holder_of_another_build(
    #[case] fields: &str,
    #[case] expected_ms: u64,
) {
    let fixture = Fixture::new();
    fixture.put_lease(r#""a""#, fields);
    let elapsed = fixture.takeover_time(fixture.standby("b", Ranked));
    assert_eq!(elapsed, ms(expected_ms));
}

/// A holder whose reply is lost must neither count the renewal nor lose the lease.
#[test]
fn test_ranked_takeover_after_a_lost_reply() {
    let fixture = Fixture::new();
    let mut holder = fixture.check(fixture.standby("a", Ranked)).unwrap();
    let standby = fixture.check(fixture.standby("b", Ranked)).unwrap_err();
    fixture.time.advance(ms(1_000));
    fixture.renew_unconfirmed(&mut holder, Fault::ResponsesLost);
    fixture.time.advance(ms(1_300));
    assert!(!fixture.believes(&holder));
    let standby = fixture.check(*standby).unwrap_err();
    fixture.renew_unconfirmed(&mut holder, Fault::None);
    fixture.time.advance(ms(200));
    assert_eq!(fixture.renew(&mut holder), LeaseWriteOutcome::Renewed);
    let standby = fixture.check(*standby).unwrap_err();
    fixture.time.advance(ms(2_250));
    assert!(!fixture.believes(&holder));
    fixture.check(*standby).unwrap_err();
}

/// A write that the store applies after its holder gave up must not bring two holders about,
/// whether it comes before, during or after the standby's own write.
#[rstest]
#[case::before_the_standby_takes(2_200)]
#[case::right_before_its_commit(2_300)]
#[case::after_it_has_taken(2_350)]
fn test_ranked_takeover_with_a_renewal_that_is_applied_late(#[case] applied_ms: u64) {
    let fixture = Fixture::new();
    let mut holder = fixture.check(fixture.standby("a", Ranked)).unwrap();
    let standby = fixture.check(fixture.standby("b", Ranked)).unwrap_err();
    fixture.renew_unconfirmed(&mut holder, Fault::Delayed);
    fixture.time.advance(ms(2_200));
    if applied_ms == 2_200 {
        fixture.store.inner.apply_delayed();
    }
    let standby = fixture.check(*standby).unwrap_err();
    fixture.time.advance(ms(100));
    let applies_first = &fixture.store.applies_delayed_first;
    applies_first.store(applied_ms == 2_300, Ordering::SeqCst);
    let check = fixture.check(*standby);
    assert!(!fixture.believes(&holder));
    applies_first.store(false, Ordering::SeqCst);
    fixture.store.inner.apply_delayed();
    match check {
        Ok(mut taken) => {
            assert_eq!(applied_ms, 2_350);
            assert_eq!(fixture.renew(&mut holder), LeaseWriteOutcome::Lost);
            assert_eq!(fixture.renew(&mut taken), LeaseWriteOutcome::Renewed);
        }
        // The former holder may go on in its epoch, and the standby waits from the late write on.
        Err(standby) => {
            let standby = fixture.check(*standby).unwrap_err();
            fixture.renew_unconfirmed(&mut holder, Fault::None);
            assert_eq!(fixture.renew(&mut holder), LeaseWriteOutcome::Renewed);
            fixture.time.advance(ms(2_050));
            fixture.check(*standby).unwrap_err();
            assert!(fixture.believes(&holder));
        }
    }
}

/// All better ranked hosts may be gone. The sixth host checks rarely and takes the lease 2 s after
/// it is free; the list of hosts is not read with each check. Neither the holder nor hosts whose
/// rows are too old take a place among the first.
#[rstest]
#[case::five_better_hosts(0, 2_000, 4_300)]
#[case::they_are_known_to_be_gone(25_001, 300, 2_300)]
fn test_ranked_takeover_by_an_unranked_host(
    #[case] row_age_ms: u64,
    #[case] interval_ms: u64,
    #[case] expected_ms: u64,
) {
    let fixture = Fixture::new();
    for host in ["a", "strong1", "strong2", "strong3", "strong4", "strong5"] {
        fixture.register(host, 2.0);
    }
    fixture.store.inner.advance(ms(row_age_ms));
    fixture.put_lease(r#""a""#, r#","lease_ms":2300"#);
    let standby = fixture.check(fixture.standby("weak", Ranked)).unwrap_err();
    assert_eq!(standby.next_check_delay(), ms(interval_ms));
    assert_eq!(fixture.takeover_time(*standby), ms(expected_ms));
    assert_eq!(fixture.store.host_reads.load(Ordering::SeqCst), 1);
}

/// A new scheduler reads the store for longer than its lease lasts on a slow day.
#[test]
fn test_ranked_takeover_renews_the_lease_while_the_scheduler_starts() {
    let fixture = Fixture::new();
    let mut holder = fixture.check(fixture.standby("a", Ranked)).unwrap();
    let (store, clock) = (fixture.store.clone(), fixture.clock.clone());
    let result = Arc::new(Mutex::new(None));
    let task_result = Arc::clone(&result);
    task::spawn(async move {
        let work = clock.sleep(ms(4_000));
        let output = holder.renew_while(&store, work).await;
        *task_result.lock().unwrap() = Some((output, holder));
    });
    let mut standby = fixture.standby("b", Ranked);
    // The task may begin its sleep a few ticks late.
    for _ in 0..100 {
        standby = *fixture.check(standby).unwrap_err();
        block_on(task::sleep(ms(3)));
        fixture.time.advance(TICK);
        if result.lock().unwrap().is_some() {
            break;
        }
    }
    let (output, holder) = result.lock().unwrap().take().unwrap();
    assert_eq!(output, Some(()));
    assert!(fixture.believes(&holder));
}

/// The epoch of a host of the simulation below, and until when it believes that it holds the lease.
type Belief = Arc<Mutex<Option<(id::Epoch, clock::Monotonic)>>>;

/// Competes, and then renews the lease until `is_stopped`.
async fn run_host(
    mut standby: Standby,
    store: TestStore,
    is_stopped: Arc<AtomicBool>,
    belief: Belief,
) {
    let mut holder = loop {
        standby = match standby.check_lease(&store).await {
            Ok(LeaseCheck::Holder(holder)) => break holder,
            Ok(LeaseCheck::Standby(standby)) | Err((standby, _)) => standby,
        };
        store.clock.sleep(standby.next_check_delay()).await;
    };
    let mut outcome = LeaseWriteOutcome::Renewed;
    while outcome != LeaseWriteOutcome::Lost && !is_stopped.load(Ordering::SeqCst) {
        let expires_at = holder.renewed_at().plus(holder.lease_duration());
        *belief.lock().unwrap() = Some((holder.epoch(), expires_at));
        let delay = holder.next_renewal_delay(outcome == LeaseWriteOutcome::Renewed);
        store.clock.sleep(delay).await;
        outcome = holder.renew(&store).await;
    }
}

/// On a slow store each renewal waits 0.6 s behind a transaction of the scheduler and takes 0.6 s
/// itself. The lease must stay where it is while its holder lives, and pass on without an overlap.
#[rstest]
#[case::applied_at_the_begin([ms(0), ms(600)])]
#[case::applied_at_the_end([ms(600), ms(0)])]
fn test_ranked_takeover_with_a_slow_store(#[case] commit_times: [Duration; 2]) {
    let mut fixture = Fixture::new();
    fixture.store.read_time = ms(350);
    fixture.store.commit_times = commit_times;
    let store = fixture.store.clone();
    let progress = task::spawn(async move {
        loop {
            let transaction = store::Transaction::default();
            store.commit(&transaction).await.unwrap();
            store.clock.sleep(ms(1)).await;
        }
    });
    let hosts = ["a", "b", "c"].map(|host| {
        fixture.register(host, 1.0);
        let (is_stopped, belief) = (Arc::new(AtomicBool::new(false)), Belief::default());
        let (standby, store) = (fixture.standby(host, Ranked), fixture.store.clone());
        let running = run_host(standby, store, Arc::clone(&is_stopped), Arc::clone(&belief));
        (is_stopped, belief, task::spawn(running))
    });
    let mut newest = id::Epoch(0);
    for tick in 0..400_u32 {
        fixture.time.advance(TICK);
        block_on(task::sleep(ms(3)));
        let now = fixture.clock.now();
        let beliefs = hosts.iter().filter_map(|host| *host.1.lock().unwrap());
        let valid = beliefs.filter(|(_, expires_at)| now < *expires_at);
        let epochs: Vec<id::Epoch> = valid.map(|(epoch, _)| epoch).collect();
        assert!(epochs.len() <= 1, "{epochs:?} at {now:?}");
        newest = newest.max(epochs.first().copied().unwrap_or(newest));
        if tick == 200 {
            assert_eq!(newest, id::Epoch(1), "the holder lives");
            for (is_stopped, belief, _) in &hosts {
                is_stopped.store(belief.lock().unwrap().is_some(), Ordering::SeqCst);
            }
        }
    }
    assert_eq!(newest, id::Epoch(2));
    for (_, _, running) in hosts {
        block_on(running.cancel());
    }
    block_on(progress.cancel());
}
