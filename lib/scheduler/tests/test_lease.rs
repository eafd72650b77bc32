//! The scheduler lease under a manual clock: takeover, epochs, deposal, lost answers.

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
const STEP: Duration = Duration::from_millis(100);

/// A table that can lose answers and be away.
#[derive(Default)]
struct Table {
    inner: memory::MemoryPlatform,
    answers_to_lose: AtomicUsize,
    is_away: AtomicBool,
}

impl Table {
    fn check(&self) -> Result<(), table::PlatformError> {
        match self.is_away.load(Ordering::SeqCst) {
            true => Err(table::PlatformError::NotApplied {
                reason: "away".to_owned(),
            }),
            false => Ok(()),
        }
    }

    fn loses_answer(&self) -> bool {
        let left = self.answers_to_lose.load(Ordering::SeqCst);
        self.answers_to_lose
            .store(left.saturating_sub(1), Ordering::SeqCst);
        left > 0
    }
}

#[async_trait]
impl table::Table for Table {
    async fn read(&self, keys: &[Arc<str>]) -> Result<Vec<table::Row>, table::PlatformError> {
        self.check()?;
        let rows = self.inner.read_rows(keys);
        // Lets others in between this read and the write that follows from it.
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
        match self.loses_answer() {
            true => Err(table::PlatformError::Unknown {
                reason: "lost".to_owned(),
            }),
            false => Ok(commit),
        }
    }
}

#[derive(Default)]
struct CountedTokens(AtomicU64);

impl lease::TokenSource for CountedTokens {
    fn next(&self) -> Arc<str> {
        Arc::from(format!("t{}", self.0.fetch_add(1, Ordering::SeqCst)))
    }
}

struct Bench {
    table: Arc<Table>,
    tokens: Arc<CountedTokens>,
    clock: clock::Clock,
    time: clock::ManualTime,
}

impl Bench {
    fn new() -> Self {
        let (clock, time) = clock::Clock::manual(0);
        Self {
            table: Arc::default(),
            tokens: Arc::default(),
            clock,
            time,
        }
    }

    fn standby(&self, host: &str) -> lease::Standby {
        lease::Standby::new(lease::Dependencies {
            table: Arc::clone(&self.table) as Arc<dyn table::Table>,
            clock: self.clock.clone(),
            tokens: Arc::clone(&self.tokens) as Arc<dyn lease::TokenSource>,
            settings: Arc::new(settings_of(host)),
        })
    }

    fn holder(&self, host: &str) -> lease::Holder {
        taken(self.watch(self.standby(host))).expect("the lease is free")
    }

    /// Watches once; tries that fail wait on the clock, which moves for them.
    fn watch(&self, standby: lease::Standby) -> lease::WatchResult {
        self.run(standby.watch(true))
    }

    fn run<F: std::future::Future>(&self, future: F) -> F::Output {
        let advancing = async {
            loop {
                task::yield_now().await;
                if self.time.sleeper_count() > 0 {
                    self.time.advance(STEP);
                }
            }
        };
        let (future, advancing) = (std::pin::pin!(future), std::pin::pin!(advancing));
        match task::block_on(futures::future::select(future, advancing)) {
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
        member_silence: Duration::from_secs(5),
        settle_limit: Duration::from_millis(300),
        queue_max: 100,
        failed_attempts_max: 3,
        lost_attempts_max: 8,
        worker_count: 1,
        decision_interval: Duration::from_millis(100),
    }
}

fn zone() -> id::ZoneName {
    id::ZoneName::new("z1").expect("a valid name")
}

fn taken(watched: lease::WatchResult) -> Option<lease::Holder> {
    match watched {
        lease::WatchResult::Acquired(holder) => Some(holder),
        lease::WatchResult::StillStandby(_) => None,
    }
}

fn still_standby(watched: lease::WatchResult) -> lease::Standby {
    match watched {
        lease::WatchResult::StillStandby(standby) => standby,
        lease::WatchResult::Acquired(holder) => panic!("took the lease with epoch {}", holder.epoch()),
    }
}

fn held(renewed: lease::RenewResult) -> lease::Holder {
    match renewed {
        lease::RenewResult::Renewed(holder) => holder,
        lease::RenewResult::Unconfirmed(_) => panic!("the renewal is unconfirmed"),
        lease::RenewResult::Deposed(_) => panic!("the holder is deposed"),
    }
}

fn unconfirmed(renewed: lease::RenewResult) -> lease::Holder {
    match renewed {
        lease::RenewResult::Unconfirmed(holder) => holder,
        lease::RenewResult::Renewed(_) => panic!("the lease was renewed"),
        lease::RenewResult::Deposed(_) => panic!("the holder is deposed"),
    }
}

fn is_deposed(renewed: &lease::RenewResult) -> bool {
    matches!(renewed, lease::RenewResult::Deposed(_))
}

#[rstest]
fn test_lease_is_taken_only_after_it_has_run_out() {
    let bench = Bench::new();
    let holder = bench.holder("e1");
    let mut standby = still_standby(bench.watch(bench.standby("e2")));

    while bench.clock.now() <= holder.valid_until() {
        standby = still_standby(bench.watch(standby));
        bench.time.advance(STEP);
    }
    bench.time.advance(LEASE);
    let successor = taken(bench.watch(standby)).expect("the lease has run out");

    assert_eq!(successor.epoch(), holder.epoch().next());
    assert!(!successor.was_released());
}

#[rstest]
fn test_lease_never_has_two_valid_holders_under_seeded_pauses() {
    for seed in 0..200 {
        let bench = Bench::new();
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut holder = bench.holder("e1");
        let mut standbys = vec![bench.standby("e2"), bench.standby("e3")];
        for _ in 0..100 {
            bench
                .time
                .advance(Duration::from_millis(random.random_range(0..900)));
            bench
                .table
                .answers_to_lose
                .store(random.random_range(0..3), Ordering::SeqCst);
            let is_away = random.random_bool(0.1);
            bench.table.is_away.store(is_away, Ordering::SeqCst);
            // A holder that is paused does not renew.
            if random.random_bool(0.5) {
                holder = match bench.run(holder.renew()) {
                    lease::RenewResult::Renewed(holder) | lease::RenewResult::Unconfirmed(holder) => holder,
                    lease::RenewResult::Deposed(_) => panic!("seed {seed}: deposed by nobody"),
                };
            }
            bench.table.is_away.store(false, Ordering::SeqCst);
            bench.table.answers_to_lose.store(0, Ordering::SeqCst);
            let standby = standbys.remove(random.random_range(0..standbys.len()));
            match bench.watch(standby) {
                lease::WatchResult::StillStandby(standby) => standbys.push(standby),
                lease::WatchResult::Acquired(successor) => {
                    let now = bench.clock.now();
                    assert!(holder.valid_until() < now, "seed {seed}: two valid holders");
                    assert_eq!(successor.epoch(), holder.epoch().next(), "seed {seed}");
                    let renewed = bench.run(holder.renew());
                    assert!(is_deposed(&renewed), "seed {seed}: the old one went on");
                    standbys.push(bench.standby("e4"));
                    holder = successor;
                }
            }
        }
    }
}

#[rstest]
fn test_lease_paused_holder_finds_itself_deposed() {
    let bench = Bench::new();
    let paused = bench.holder("e1");
    let standby = still_standby(bench.watch(bench.standby("e2")));
    bench.time.advance(2 * LEASE);
    let successor = taken(bench.watch(standby)).expect("the lease has run out");

    assert!(paused.valid_until() < bench.clock.now());
    assert_ne!(paused.epoch_row_version(), successor.epoch_row_version());
    assert!(is_deposed(&bench.run(paused.renew())));
    held(bench.run(successor.renew()));
}

#[rstest]
fn test_lease_lost_answer_of_a_renewal_is_settled() {
    let bench = Bench::new();
    let holder = bench.holder("e1");
    bench.time.advance(LEASE / 2);
    let sent_at = bench.clock.now();
    bench.table.answers_to_lose.store(1, Ordering::SeqCst);

    let holder = held(bench.run(holder.renew()));

    assert_eq!(holder.valid_until(), sent_at.plus(LEASE));
    held(bench.run(holder.renew()));
}

#[rstest]
fn test_lease_renewal_that_took_effect_without_any_answer_is_no_deposal() {
    let bench = Bench::new();
    let holder = bench.holder("e1");
    let valid_until = holder.valid_until();
    bench.table.answers_to_lose.store(100, Ordering::SeqCst);
    let holder = unconfirmed(bench.run(holder.renew()));
    assert_eq!(
        holder.valid_until(),
        valid_until,
        "an unconfirmed renewal counts for nothing"
    );

    bench.table.answers_to_lose.store(0, Ordering::SeqCst);
    let holder = unconfirmed(bench.run(holder.renew()));
    held(bench.run(holder.renew()));
}

#[rstest]
fn test_lease_stays_while_the_platform_is_away() {
    let bench = Bench::new();
    let holder = bench.holder("e1");
    let standby = still_standby(bench.watch(bench.standby("e2")));
    bench.table.is_away.store(true, Ordering::SeqCst);
    bench.time.advance(3 * LEASE);

    let standby = still_standby(bench.watch(standby));
    let holder = unconfirmed(bench.run(holder.renew()));

    // The holder comes back first: its row moves on, and the standby counts anew.
    bench.table.is_away.store(false, Ordering::SeqCst);
    held(bench.run(holder.renew()));
    still_standby(bench.watch(standby));
}

#[rstest]
fn test_lease_handed_back_is_taken_at_once() {
    let bench = Bench::new();
    let holder = bench.holder("e1");
    let epoch = holder.epoch();
    let standby = still_standby(bench.watch(bench.standby("e2")));
    let before = bench.clock.now();

    bench.run(holder.release());
    let successor = taken(bench.watch(standby)).expect("the lease was handed back");

    assert_eq!(bench.clock.now(), before);
    assert_eq!(successor.epoch(), epoch.next());
    assert!(successor.was_released());
}

#[rstest]
fn test_lease_lost_answer_of_a_takeover_still_makes_one_holder() {
    let bench = Bench::new();
    bench.table.answers_to_lose.store(1, Ordering::SeqCst);
    let holder = bench.holder("e1");
    still_standby(bench.watch(bench.standby("e2")));

    let key = keys::epoch(&zone());
    let row = bench
        .table
        .inner
        .read_rows(std::slice::from_ref(&key))
        .pop();
    assert_eq!(row.map(|row| row.version), Some(holder.epoch_row_version()));
    held(bench.run(holder.renew()));
}

#[rstest]
fn test_lease_race_of_two_standbys_has_one_winner() {
    let bench = Bench::new();
    let (first, second) = (bench.standby("e1"), bench.standby("e2"));

    let (first, second) =
        bench.run(async { futures::join!(first.watch(true), second.watch(true)) });

    let winners = [taken(first), taken(second)].into_iter().flatten();
    assert_eq!(winners.count(), 1);
}

#[rstest]
fn test_lease_renewal_between_look_and_takeover_keeps_the_lease() {
    let bench = Bench::new();
    let holder = bench.holder("e1");
    let standby = still_standby(bench.watch(bench.standby("e2")));
    bench.time.advance(2 * LEASE);

    // The standby reads first and finds the lease run out; the renewal is written before it takes.
    let (watched, renewed) =
        bench.run(async { futures::join!(standby.watch(true), holder.renew()) });

    still_standby(watched);
    held(renewed);
}
