//! Progress is stored over narrow links.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task::{self, block_on};
use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_host::leadership::{Candidate, LeaseCheck, LeaseHolder, Standby};
use camphorbeam_host::scheduler::{Dependencies, Scheduler};
use camphorbeam_host::{peers, platform_schema, relay, rows};
use camphorbeam_jobs::orders;
use camphorbeam_jobs::progress::{JobState, Progress, TaskRecord};
use camphorbeam_model::{fleet, id, job, terms};
use camphorbeam_platform::memory_store::MemoryStore;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future;
use rstest::rstest;

type Reply<T> = Result<T, PlatformError>;

const TICK: Duration = Duration::from_millis(20);

/// Time after which the platform's client ends a commit.
const COMMIT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// A store to which requests pass over a link, one after the other.
#[derive(Clone)]
struct NarrowStore {
    memory: MemoryStore,
    clock: clock::Clock,
    bytes_per_ms: f64,
    free_at: Arc<Mutex<clock::Monotonic>>,
}

#[async_trait]
impl Store for NarrowStore {
    async fn rows(&self, t: &str, p: &str, from: &str, to: &str) -> Reply<store::Rows> {
        self.memory.rows(t, p, from, to).await
    }

    async fn commit(&self, transaction: &store::Transaction) -> Reply<store::Commit> {
        let values = transaction.writes.iter().map(|(_, value)| value.len());
        let bytes = values.sum::<usize>() * 4 / 3 + 200;
        let time = Duration::from_millis((bytes as f64 / self.bytes_per_ms).ceil() as u64);
        let wait = {
            let mut free_at = self.free_at.lock().unwrap();
            let now = self.clock.now();
            *free_at = now.max(*free_at).plus(time.min(COMMIT_TIMEOUT));
            free_at.since(now)
        };
        self.clock.sleep(wait.min(COMMIT_TIMEOUT)).await;
        match wait > COMMIT_TIMEOUT || time > COMMIT_TIMEOUT {
            // The request hasn't arrived as a whole.
            true => Err(PlatformError::Unknown {
                reason: "the time limit has passed".to_owned(),
            }),
            false => self.memory.commit(transaction).await,
        }
    }

    async fn changes(&self, table: &str, version: u64, wait: Duration) -> Reply<store::Changes> {
        self.clock.sleep(wait).await;
        self.memory.changes(table, version, Duration::ZERO).await
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

const JOBS: usize = 40;
const TASKS: u32 = 300;

fn job_id(number: usize) -> id::JobId {
    id::JobId::new(&format!("j{number}")).unwrap()
}

/// Stores jobs with some 13 kB of progress each, all of which are cancelled. Returns the bytes of
/// their progress.
fn put_cancelled_jobs(memory: &MemoryStore) -> usize {
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
            payload: "p".into(),
            steps: vec![job::StepSpec {
                task_count: TASKS,
                ..job::StepSpec::default()
            }],
            schedule: None,
        },
    };
    let record = TaskRecord {
        run: id::Run(1),
        server: Some(id::BackendServerId::new("i-7f3a9100").unwrap()),
        failures: 1,
        ..TaskRecord::default()
    };
    let index = |rank| job::TaskIndex {
        occurrence: 0,
        step: 0,
        rank,
    };
    let progress = Progress {
        state: JobState::Running,
        has_begun: true,
        tasks: (0..TASKS)
            .map(|rank| (index(rank), record.clone()))
            .collect(),
        ..Progress::default()
    };
    let accepted = serde_json::to_string(&accepted).unwrap();
    let progress = serde_json::to_string(&progress).unwrap();
    for number in 0..JOBS {
        let id = job_id(number);
        memory.put(&rows::job_key(&id), &accepted);
        memory.put(&rows::progress_key(&id), &progress);
        memory.put(&rows::cancel_key(&id), "1");
    }
    JOBS * progress.len()
}

fn holder(store: &MemoryStore, clock: &clock::Clock, time: &clock::ManualTime) -> LeaseHolder {
    let candidate = Candidate {
        host: id::HostId::new("h1").unwrap(),
        process: "p1".into(),
        processor_cores: 1.0,
    };
    let mut standby = Standby::new(candidate, clock.clone());
    loop {
        match block_on(standby.check_lease(store)).unwrap() {
            LeaseCheck::Holder(holder) => return holder,
            LeaseCheck::Standby(next) => standby = next,
        }
        time.advance(TICK);
    }
}

fn cancelled_jobs(memory: &MemoryStore) -> usize {
    let is_cancelled = |number: &usize| {
        let text = memory.value(&rows::progress_key(&job_id(*number)));
        text.unwrap().contains(r#""s":"cancelled""#)
    };
    (0..JOBS).filter(is_cancelled).count()
}

/// Guards against progress that is never stored, since a transaction of many jobs takes longer on a
/// narrow link than a commit may take, and is repeated as it is.
#[rstest]
#[case::two_mbps(2.0)]
#[case::ten_mbps(10.0)]
fn test_progress_of_many_jobs_is_stored_over_a_narrow_link(#[case] link_mbps: f64) {
    let (clock, time) = clock::Clock::manual(1_000_000);
    let memory = MemoryStore::default();
    let bytes = put_cancelled_jobs(&memory);
    let store = NarrowStore {
        memory: memory.clone(),
        clock: clock.clone(),
        bytes_per_ms: link_mbps * 125.0,
        free_at: Arc::default(),
    };
    let own_address: SocketAddr = ([127, 0, 0, 1], 1).into();
    let peers = Arc::new(peers::Peers::new(own_address, &[]));
    let relayed = relay::RelayedStore::new(Arc::new(store), peers, clock.clone(), Arc::default());
    let deps = Dependencies {
        store: Arc::new(relayed.with_link_mbps(Some(link_mbps))),
        servers: Arc::new(NoServers),
        schema: Arc::new(EmptySchema),
        current_terms: Arc::default(),
        clock: clock.clone(),
        settings: camphorbeam_jobs::settings::Settings::default(),
        metrics: Arc::default(),
        maintenance: None,
        adviser: None,
    };
    let holder = holder(&memory, &clock, &time);
    let scheduler = block_on(Scheduler::start(deps, &holder)).unwrap();
    // Twice the time of the bytes on the link.
    let time_max = Duration::from_secs_f64(2.0 * (bytes * 4 / 3) as f64 / (link_mbps * 125_000.0));
    let started_at = clock.now();
    while cancelled_jobs(&memory) < JOBS {
        scheduler.record_scheduler_lease_renewal(clock.now());
        time.advance(TICK);
        // Lets the background tasks run, whose sleeps have just ended.
        block_on(task::sleep(Duration::from_millis(2)));
        let took = clock.now().since(started_at);
        let stored = cancelled_jobs(&memory);
        assert!(
            took < time_max,
            "{stored} of {JOBS} jobs stored after {took:?}"
        );
    }
    scheduler.stop();
    assert_eq!(scheduler.waiting_jobs(), BTreeMap::new());
}
