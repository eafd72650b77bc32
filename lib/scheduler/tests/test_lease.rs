//! Tests of the scheduler lease with a manual clock: takeovers, epochs, deposed holders, and lost
//! responses of the platform.

use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_model::id;
use camphorbeam_platform::{keys, memory, table};
use camphorbeam_scheduler::{lease, settings};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const LEASE: Duration = Duration::from_secs(2);
const CLOCK_INCREMENT: Duration = Duration::from_millis(100);

/// An in-memory table that can lose responses to commits and become unavailable.
#[derive(Default)]
struct FaultyTable {
    inner: memory::MemoryPlatform,
    responses_to_lose: AtomicUsize,
    is_unavailable: AtomicBool,
}

impl FaultyTable {
    fn check(&self) -> Result<(), table::PlatformError> {
        match self.is_unavailable.load(Ordering::SeqCst) {
            true => Err(table::PlatformError::NotApplied {
                reason: "unavailable".to_owned(),
            }),
            false => Ok(()),
        }
    }

    /// Returns whether the response at hand is to be lost, and counts it if so.
    fn take_lost_response(&self) -> bool {
        let left = self.responses_to_lose.load(Ordering::SeqCst);
        self.responses_to_lose
            .store(left.saturating_sub(1), Ordering::SeqCst);
        left > 0
    }
}

#[async_trait]
impl table::Table for FaultyTable {
    async fn read(&self, keys: &[Arc<str>]) -> Result<Vec<table::Row>, table::PlatformError> {
        self.check()?;
        let rows = self.inner.read_rows(keys);
        // Lets another task run between this read and the write that depends on it.
        task::yield_now().await;
        Ok(rows)
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<table::Row>, table::PlatformError> {
        self.check()?;
        Ok(self.inner.scan_rows(prefix, after, limit))
    }

    async fn commit(
        &self,
        transaction: &table::Transaction,
    ) -> Result<table::Commit, table::PlatformError> {
        self.check()?;
        let commit = self.inner.apply(transaction);
        match self.take_lost_response() {
            true => Err(table::PlatformError::Unknown {
                reason: "response lost".to_owned(),
            }),
            false => Ok(commit),
        }
    }
}

#[derive(Default)]
struct SequentialTokens(AtomicU64);

impl lease::WriteTokenSource for SequentialTokens {
    fn next(&self) -> Arc<str> {
        Arc::from(format!("t{}", self.0.fetch_add(1, Ordering::SeqCst)))
    }
}

struct Fixture {
    table: Arc<FaultyTable>,
    write_tokens: Arc<SequentialTokens>,
    clock: clock::Clock,
    time: clock::ManualTime,
}

impl Fixture {
    fn new() -> Self {
        let (clock, time) = clock::Clock::manual(0);
        Self {
            table: Arc::default(),
            write_tokens: Arc::default(),
            clock,
            time,
        }
    }

    fn standby(&self, host: &str) -> lease::Standby {
        lease::Standby::new(lease::LeaseDependencies {
            table: Arc::clone(&self.table) as Arc<dyn table::Table>,
            clock: self.clock.clone(),
            write_tokens: Arc::clone(&self.write_tokens) as Arc<dyn lease::WriteTokenSource>,
            settings: Arc::new(settings_of(host)),
        })
    }

    fn holder(&self, host: &str) -> lease::Holder {
        acquired_holder(self.watch(self.standby(host))).expect("the lease is free")
    }

    /// Checks the lease once and advances the clock while retries wait for it.
    fn watch(&self, standby: lease::Standby) -> lease::WatchResult {
        self.run(standby.watch(true))
    }

    fn run<F: std::future::Future>(&self, future: F) -> F::Output {
        let advance_clock = async {
            loop {
                task::yield_now().await;
                if self.time.pending_sleep_count() > 0 {
                    self.time.advance(CLOCK_INCREMENT);
                }
            }
        };
        let (future, advance_clock) = (std::pin::pin!(future), std::pin::pin!(advance_clock));
        match task::block_on(futures::future::select(future, advance_clock)) {
            futures::future::Either::Left((output, _)) => output,
            futures::future::Either::Right((never, _)) => never,
        }
    }
}

fn settings_of(host: &str) -> settings::Settings {
    settings::Settings {
        host: id::HostId::new(host).expect("a valid name"),
        zone: zone(),
        peer_address: ([127, 0, 0, 1], 1).into(),
        scheduler_lease: LEASE,
        scheduler_renewal: LEASE / 4,
        task_lease: Duration::from_secs(75),
        sync_wait: Duration::from_secs(30),
        order_timeout: Duration::from_secs(1),
        member_silence_limit: Duration::from_secs(5),
        commit_timeout: Duration::from_millis(300),
        queue_max: 100,
        failed_attempts_max: 3,
        lost_attempts_max: 8,
        crashed_attempts_max: 3,
        worker_count: 1,
        decision_interval: Duration::from_millis(100),
    }
}

fn zone() -> id::ZoneName {
    id::ZoneName::new("z1").expect("a valid name")
}

fn acquired_holder(watched: lease::WatchResult) -> Option<lease::Holder> {
    match watched {
        lease::WatchResult::Acquired(holder) => Some(holder),
        lease::WatchResult::StillStandby(_) => None,
    }
}

fn expect_standby(watched: lease::WatchResult) -> lease::Standby {
    match watched {
        lease::WatchResult::StillStandby(standby) => standby,
        lease::WatchResult::Acquired(holder) => panic!("acquired epoch {}", holder.epoch()),
    }
}

fn expect_renewed(renewed: lease::RenewResult) -> lease::Holder {
    match renewed {
        lease::RenewResult::Renewed(holder) => holder,
        lease::RenewResult::Unconfirmed(_) => panic!("the renewal is unconfirmed"),
        lease::RenewResult::Deposed(_) => panic!("the holder is deposed"),
    }
}

fn expect_unconfirmed(renewed: lease::RenewResult) -> lease::Holder {
    match renewed {
        lease::RenewResult::Unconfirmed(holder) => holder,
        lease::RenewResult::Renewed(_) => panic!("the renewal is confirmed"),
        lease::RenewResult::Deposed(_) => panic!("the holder is deposed"),
    }
}

fn is_deposed(renewed: &lease::RenewResult) -> bool {
    matches!(renewed, lease::RenewResult::Deposed(_))
}

#[rstest]
fn test_lease_is_acquired_only_after_it_has_expired() {
    let fixture = Fixture::new();
    let holder = fixture.holder("e1");
    let mut standby = expect_standby(fixture.watch(fixture.standby("e2")));

    while fixture.clock.now() <= holder.valid_until() {
        standby = expect_standby(fixture.watch(standby));
        fixture.time.advance(CLOCK_INCREMENT);
    }
    // This is far beyond the margin that a standby adds to the lease, so the test does not show how
    // long the margin is.
    fixture.time.advance(LEASE);
    let successor = acquired_holder(fixture.watch(standby)).expect("the lease has expired");

    assert_eq!(successor.epoch(), holder.epoch().next());
    assert!(!successor.was_released());
}

#[rstest]
fn test_lease_never_has_two_valid_holders_under_random_pauses() {
    for seed in 0..200 {
        let fixture = Fixture::new();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut holder = fixture.holder("e1");
        let mut standbys = vec![fixture.standby("e2"), fixture.standby("e3")];
        for _ in 0..100 {
            fixture
                .time
                .advance(Duration::from_millis(random.random_range(0..900)));
            fixture
                .table
                .responses_to_lose
                .store(random.random_range(0..3), Ordering::SeqCst);
            let is_unavailable = random.random_bool(0.1);
            fixture
                .table
                .is_unavailable
                .store(is_unavailable, Ordering::SeqCst);
            // In half of the rounds the holder is paused and does not renew.
            if random.random_bool(0.5) {
                holder = match fixture.run(holder.renew()) {
                    lease::RenewResult::Renewed(holder)
                    | lease::RenewResult::Unconfirmed(holder) => holder,
                    lease::RenewResult::Deposed(_) => panic!("seed {seed}: wrongly deposed"),
                };
            }
            fixture.table.is_unavailable.store(false, Ordering::SeqCst);
            fixture.table.responses_to_lose.store(0, Ordering::SeqCst);
            let standby = standbys.remove(random.random_range(0..standbys.len()));
            match fixture.watch(standby) {
                lease::WatchResult::StillStandby(standby) => standbys.push(standby),
                lease::WatchResult::Acquired(successor) => {
                    let now = fixture.clock.now();
                    assert!(holder.valid_until() < now, "seed {seed}: two valid holders");
                    assert_eq!(successor.epoch(), holder.epoch().next(), "seed {seed}");
                    let renewed = fixture.run(holder.renew());
                    assert!(is_deposed(&renewed), "seed {seed}: not deposed");
                    standbys.push(fixture.standby("e4"));
                    holder = successor;
                }
            }
        }
    }
}

#[rstest]
fn test_lease_paused_holder_is_deposed() {
    let fixture = Fixture::new();
    let paused = fixture.holder("e1");
    let standby = expect_standby(fixture.watch(fixture.standby("e2")));
    fixture.time.advance(2 * LEASE);
    let successor = acquired_holder(fixture.watch(standby)).expect("the lease has expired");

    assert!(paused.valid_until() < fixture.clock.now());
    assert_ne!(paused.epoch_row_version(), successor.epoch_row_version());
    assert!(is_deposed(&fixture.run(paused.renew())));
    expect_renewed(fixture.run(successor.renew()));
}

#[rstest]
fn test_lease_renewal_with_a_lost_response_is_confirmed() {
    let fixture = Fixture::new();
    let holder = fixture.holder("e1");
    fixture.time.advance(LEASE / 2);
    let sent_at = fixture.clock.now();
    fixture.table.responses_to_lose.store(1, Ordering::SeqCst);

    let holder = expect_renewed(fixture.run(holder.renew()));

    assert_eq!(holder.valid_until(), sent_at.plus(LEASE));
    expect_renewed(fixture.run(holder.renew()));
}

#[rstest]
fn test_lease_renewal_applied_without_a_response_does_not_depose() {
    let fixture = Fixture::new();
    let holder = fixture.holder("e1");
    let valid_until = holder.valid_until();
    fixture.table.responses_to_lose.store(100, Ordering::SeqCst);
    let holder = expect_unconfirmed(fixture.run(holder.renew()));
    assert_eq!(
        holder.valid_until(),
        valid_until,
        "an unconfirmed renewal must not extend the lease"
    );

    fixture.table.responses_to_lose.store(0, Ordering::SeqCst);
    let holder = expect_unconfirmed(fixture.run(holder.renew()));
    expect_renewed(fixture.run(holder.renew()));
}

#[rstest]
fn test_lease_is_kept_while_the_platform_is_unavailable() {
    let fixture = Fixture::new();
    let holder = fixture.holder("e1");
    let standby = expect_standby(fixture.watch(fixture.standby("e2")));
    fixture.table.is_unavailable.store(true, Ordering::SeqCst);
    fixture.time.advance(3 * LEASE);

    let standby = expect_standby(fixture.watch(standby));
    let holder = expect_unconfirmed(fixture.run(holder.renew()));

    // The holder renews first, which changes the row and restarts the standby's timeout.
    fixture.table.is_unavailable.store(false, Ordering::SeqCst);
    expect_renewed(fixture.run(holder.renew()));
    expect_standby(fixture.watch(standby));
}

#[rstest]
fn test_lease_that_was_released_is_acquired_at_once() {
    let fixture = Fixture::new();
    let holder = fixture.holder("e1");
    let epoch = holder.epoch();
    let standby = expect_standby(fixture.watch(fixture.standby("e2")));
    let before = fixture.clock.now();

    fixture.run(holder.release());
    let successor = acquired_holder(fixture.watch(standby)).expect("the lease was released");

    assert_eq!(fixture.clock.now(), before);
    assert_eq!(successor.epoch(), epoch.next());
    assert!(successor.was_released());
}

#[rstest]
fn test_lease_takeover_with_a_lost_response_makes_one_holder() {
    let fixture = Fixture::new();
    fixture.table.responses_to_lose.store(1, Ordering::SeqCst);
    let holder = fixture.holder("e1");
    expect_standby(fixture.watch(fixture.standby("e2")));

    let key = keys::epoch(&zone());
    let row = fixture
        .table
        .inner
        .read_rows(std::slice::from_ref(&key))
        .pop();
    assert_eq!(row.map(|row| row.version), Some(holder.epoch_row_version()));
    expect_renewed(fixture.run(holder.renew()));
}

#[rstest]
fn test_lease_race_of_two_standbys_has_one_winner() {
    let fixture = Fixture::new();
    let (first, second) = (fixture.standby("e1"), fixture.standby("e2"));

    let (first, second) =
        fixture.run(async { futures::join!(first.watch(true), second.watch(true)) });

    let winners = [acquired_holder(first), acquired_holder(second)]
        .into_iter()
        .flatten();
    assert_eq!(winners.count(), 1);
}

#[rstest]
fn test_lease_renewal_between_read_and_takeover_keeps_the_lease() {
    let fixture = Fixture::new();
    let holder = fixture.holder("e1");
    let standby = expect_standby(fixture.watch(fixture.standby("e2")));
    fixture.time.advance(2 * LEASE);

    // The standby reads first and finds the lease expired. The renewal is written before the
    // standby tries to acquire the lease.
    let (watched, renewed) =
        fixture.run(async { futures::join!(standby.watch(true), holder.renew()) });

    expect_standby(watched);
    expect_renewed(renewed);
}
