//! The published number of waiting jobs. Each test names the failure it guards against.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task::block_on;
use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_host::call::{Call, Operation, Reply};
use camphorbeam_host::leadership::{
    Candidate, LeaseCheck, LeaseHolder, LeaseWriteOutcome, Standby,
};
use camphorbeam_host::partition_reader::PageBudget;
use camphorbeam_host::{
    gateway, metrics, peers, platform_schema, relay, rows, terms_watcher, waiting_count,
};
use camphorbeam_jobs::progress::{JobState, Progress};
use camphorbeam_jobs::settings::Takeover;
use camphorbeam_model::{fleet, id, job, terms};
use camphorbeam_platform::memory_store::MemoryStore;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future::{self, FutureExt as _};
use rstest::rstest;

const TICK: Duration = Duration::from_millis(50);

fn queue() -> id::QueueName {
    id::QueueName::new("q").unwrap()
}

fn job_settings() -> job::QueueJobSettings {
    job::QueueJobSettings {
        service: id::ServiceName::new("s").unwrap(),
        priority: 1,
        attempts_max: 2,
        objective_ratio: 1.5,
        objective_extra_ms: 250,
        advice: None,
    }
}

/// A platform with one queue and no servers.
struct OneQueueSchema;

impl platform_schema::PlatformSchema for OneQueueSchema {
    fn terms_key(&self) -> store::RowKey {
        store::RowKey::new("terms", "", "newest")
    }

    fn decode_terms(&self, _: &str) -> anyhow::Result<terms::Terms> {
        Ok(terms::Terms {
            version: id::TermsVersion(1),
            queues: vec![terms::Queue {
                name: queue(),
                host: "h.example".into(),
                path_prefix: "/q/".into(),
                is_public: true,
                call_timeout_ms: 3_000,
                job_settings: job_settings(),
            }],
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

    fn decode_server(&self, _: &store::Row) -> anyhow::Result<fleet::ServerEntry> {
        anyhow::bail!("this platform has no servers")
    }
}

/// Stores jobs that wait and some that don't.
struct Fixture {
    clock: clock::Clock,
    time: clock::ManualTime,
    store: MemoryStore,
    gateway: gateway::Gateway,
}

/// Number of jobs that wait.
const WAITING: u64 = 4;

impl Fixture {
    fn new() -> Self {
        let (clock, time) = clock::Clock::manual(1_000_000);
        let store = MemoryStore::default();
        let own_address: SocketAddr = ([127, 0, 0, 1], 1).into();
        let metrics = Arc::new(metrics::Metrics::default());
        let relayed = relay::RelayedStore::new(
            Arc::new(store.clone()),
            Arc::new(peers::Peers::new(own_address, &[])),
            clock.clone(),
            Arc::clone(&metrics),
        );
        let current_terms = terms_watcher::CurrentTerms::default();
        current_terms.apply_if_newer(&OneQueueSchema, "1", "test");
        let fixture = Self {
            gateway: gateway::Gateway {
                current_terms: Arc::new(current_terms),
                store: Arc::new(relayed),
                waiting_counter: waiting_count::WaitingCounter::new(clock.clone()),
                clock: clock.clone(),
                metrics,
                caller_zone: None,
            },
            clock,
            time,
            store,
        };
        // Ages can be subtracted from the store's time.
        fixture.store.advance(Duration::from_secs(100));
        for number in 0..WAITING {
            fixture.put_job(&format!("waiting{number}"), None, None);
        }
        let schedule = job::Schedule {
            occurrences: 2,
            first_unix_ms: 0,
            interval_ms: 1_000,
        };
        fixture.put_job("scheduled", Some(schedule), None);
        fixture.put_job("running", None, Some((JobState::Running, true)));
        fixture.put_job("ended", None, Some((JobState::Cancelled, false)));
        fixture
    }

    fn put_job(
        &self,
        id: &str,
        schedule: Option<job::Schedule>,
        progress: Option<(JobState, bool)>,
    ) {
        let id = id::JobId::new(id).unwrap();
        let accepted = job::AcceptedJob {
            account: id::ClientAccountName::new("public").unwrap(),
            queue: queue(),
            terms: job_settings(),
            accepted_unix_ms: 0,
            accepted_store_ms: None,
            caller_zone: None,
            spec: job::JobSpec {
                payload: "p".into(),
                steps: vec![job::StepSpec {
                    task_count: 1,
                    ..job::StepSpec::default()
                }],
                schedule,
            },
        };
        let text = serde_json::to_string(&accepted).unwrap();
        self.store.put(&rows::job_key(&id), &text);
        if let Some((state, has_begun)) = progress {
            let progress = Progress {
                state,
                has_begun,
                ..Progress::default()
            };
            let text = serde_json::to_string(&progress).unwrap();
            self.store.put(&rows::progress_key(&id), &text);
        }
    }

    fn advance(&self, duration: Duration) {
        self.time.advance(duration);
        self.store.advance(duration);
    }

    fn ask(&self) -> Reply {
        block_on(self.gateway.answer(Call {
            host: "h.example".into(),
            path: "/q/".into(),
            key: None,
            deadline_ms: Some(900),
            operation: Operation::Read,
        }))
    }

    /// Waits until `host` has taken the lease, and checks each answer meanwhile.
    fn take(&self, host: &str) -> LeaseHolder {
        let candidate = Candidate {
            host: id::HostId::new(host).unwrap(),
            process: host.into(),
            processor_cores: 1.0,
        };
        let mut standby =
            Standby::new(candidate, self.clock.clone()).with_takeover(Takeover::Ranked);
        loop {
            match block_on(standby.check_lease(&self.store)).unwrap() {
                LeaseCheck::Holder(holder) => return holder,
                LeaseCheck::Standby(next) => standby = next,
            }
            self.advance(TICK);
            assert_eq!(self.ask(), Reply::Waiting(WAITING));
        }
    }

    /// Renews the lease each 0.5 s, and checks each answer meanwhile.
    fn renew_for(&self, holder: &mut LeaseHolder, duration: Duration) {
        for _ in 0..duration.as_millis() / 500 {
            assert_eq!(
                block_on(holder.renew(&self.store)),
                LeaseWriteOutcome::Renewed
            );
            for _ in 0..10 {
                assert_eq!(self.ask(), Reply::Waiting(WAITING));
                self.advance(TICK);
            }
        }
    }

    fn counts(&self) -> BTreeMap<id::QueueName, u64> {
        [(queue(), WAITING)].into()
    }
}

/// Guards against a missing number of waiting jobs that is taken for none, in rows of a holder, of
/// a release, and of earlier builds.
#[rstest]
fn test_waiting_jobs_that_a_lease_row_does_not_state_are_counted(
    #[values("null", "\"h1\"")] holder: &str,
) {
    let fixture = Fixture::new();
    let text = format!(
        r#"{{"holder":{holder},"process":"p","epoch":1,"token":"t","store_ms":100000,"waiting":{{}}}}"#
    );
    fixture.store.put(&rows::lease_key(), &text);
    assert_eq!(fixture.ask(), Reply::Waiting(WAITING));
}

/// Guards against callers that are told during a hand-over that no job waits, however the former
/// holder has ended and however long its successor takes to start.
#[rstest]
#[case::released(true)]
#[case::killed(false)]
fn test_waiting_jobs_are_known_or_counted_during_a_hand_over(#[case] is_released: bool) {
    let fixture = Fixture::new();
    let mut holder = fixture.take("h1");
    fixture.renew_for(&mut holder, Duration::from_secs(5));
    holder.set_waiting_jobs(fixture.counts(), Duration::ZERO);
    fixture.renew_for(&mut holder, Duration::from_secs(1));
    if is_released {
        let released = block_on(holder.release(&fixture.store));
        assert_eq!(released, LeaseWriteOutcome::Renewed);
    }
    let mut successor = fixture.take("h2");
    assert_eq!(fixture.ask(), Reply::Waiting(WAITING));
    fixture.renew_for(&mut successor, Duration::from_secs(10));
    successor.set_waiting_jobs(fixture.counts(), Duration::ZERO);
    fixture.renew_for(&mut successor, Duration::from_secs(2));
}

/// Guards against a number that is published as new although its scheduler hasn't heard of new jobs
/// for long.
#[test]
fn test_waiting_jobs_of_a_scheduler_that_cannot_follow_the_inbox_are_counted() {
    let fixture = Fixture::new();
    let mut holder = fixture.take("h1");
    holder.set_waiting_jobs(BTreeMap::new(), Duration::from_secs(3));
    fixture.renew_for(&mut holder, Duration::from_secs(2));
}

/// A store that counts reads of pages, none of which ends.
#[derive(Default)]
struct HangingStore {
    memory: MemoryStore,
    pages: AtomicU64,
}

#[async_trait]
impl Store for HangingStore {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        self.pages.fetch_add(1, Ordering::SeqCst);
        future::pending::<()>().await;
        self.memory.rows(table, part, from, to).await
    }

    async fn commit(&self, t: &store::Transaction) -> Result<store::Commit, PlatformError> {
        self.memory.commit(t).await
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        self.memory.changes(table, version, wait).await
    }
}

/// Guards against calls that each begin a count anew over a link on which no count ends in time.
#[test]
fn test_waiting_jobs_are_not_counted_again_and_again_without_end() {
    let (clock, time) = clock::Clock::manual(0);
    let store = HangingStore::default();
    let budget = PageBudget::new(clock.clone(), Some(2.0));
    let counter = waiting_count::WaitingCounter::new(clock.clone());
    let mut refused = 0;
    for _ in 0..30 {
        let name = queue();
        let counting = counter.count(&store, &budget, &name);
        let mut counting = Box::pin(clock.timeout(Duration::from_millis(300), counting));
        loop {
            match counting.as_mut().now_or_never() {
                Some(Ok(result)) => {
                    assert!(result.is_err());
                    refused += 1;
                    break;
                }
                Some(Err(_)) => break,
                None => time.advance(TICK),
            }
        }
        time.advance(TICK);
    }
    assert!(refused >= 20, "{refused} of 30 calls were answered at once");
    let pages = store.pages.load(Ordering::SeqCst);
    assert!(pages <= 2 * 9, "{pages} pages were asked for");
}
