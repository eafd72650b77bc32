//! The replies of the gateway match what the store holds, also while the store fails.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::task::block_on;
use camphorbeam_clock as clock;
use camphorbeam_host::call::{Call, Operation, Reply};
use camphorbeam_host::{
    gateway, metrics, peers, platform_schema, relay, rows, terms_watcher, waiting_count,
};
use camphorbeam_jobs::progress::{JobState, Progress};
use camphorbeam_model::{fleet, id, job, terms};
use camphorbeam_platform::memory_store::{Fault, MemoryStore};
use camphorbeam_platform::store;

/// A platform whose terms always define the same queue; the text of the terms is their version.
struct OneQueueSchema;

impl platform_schema::PlatformSchema for OneQueueSchema {
    fn terms_key(&self) -> store::RowKey {
        store::RowKey::new("terms", "", "newest")
    }

    fn decode_terms(&self, text: &str) -> anyhow::Result<terms::Terms> {
        let account = id::ClientAccountName::new("acme")?;
        let other = id::ClientAccountName::new("other")?;
        Ok(terms::Terms {
            version: id::TermsVersion(text.parse()?),
            queues: vec![terms::Queue {
                name: id::QueueName::new("q")?,
                host: "h.example".into(),
                path_prefix: "/q/".into(),
                is_public: false,
                call_timeout_ms: 3_000,
                job_settings: job::QueueJobSettings {
                    service: id::ServiceName::new("s")?,
                    priority: 0,
                    attempts_max: 2,
                    objective_ratio: 1.5,
                    objective_extra_ms: 250,
                    advice: None,
                },
            }],
            api_keys: [("k1".into(), account), ("k2".into(), other)].into(),
            body_max_bytes: 10_000,
            unreadable_queues: vec![terms::UnreadableQueue {
                host: Some("h.example".into()),
                path_prefix: Some("/q/unreadable/".into()),
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

    fn decode_server(&self, _row: &store::Row) -> anyhow::Result<fleet::ServerEntry> {
        anyhow::bail!("this platform has no servers")
    }
}

struct Fixture {
    store: MemoryStore,
    gateway: gateway::Gateway,
}

impl Fixture {
    fn new() -> Self {
        Self::with_clock(clock::Clock::system())
    }

    /// A gateway that has terms and has reached the store.
    fn with_clock(clock: clock::Clock) -> Self {
        let fixture = Self::without_terms(clock);
        fixture
            .gateway
            .current_terms
            .apply_if_newer(&OneQueueSchema, "1", "test");
        let key = rows::lease_key();
        block_on(store::read_row(&*fixture.gateway.store, &key)).unwrap();
        fixture
    }

    fn without_terms(clock: clock::Clock) -> Self {
        let own_address: SocketAddr = ([127, 0, 0, 1], 1).into();
        let store = MemoryStore::default();
        let metrics = Arc::new(metrics::Metrics::default());
        let relayed_store = relay::RelayedStore::new(
            Arc::new(store.clone()),
            Arc::new(peers::Peers::new(own_address, &[])),
            clock.clone(),
            Arc::clone(&metrics),
        );
        Self {
            store,
            gateway: gateway::Gateway {
                current_terms: Arc::new(terms_watcher::CurrentTerms::default()),
                store: Arc::new(relayed_store),
                waiting_counter: waiting_count::WaitingCounter::new(clock.clone()),
                clock,
                metrics,
                caller_zone: None,
            },
        }
    }

    fn call(&self, key: &str, path: &str, operation: Operation) -> Reply {
        block_on(self.gateway.answer(Call {
            host: "h.example".into(),
            path: path.into(),
            key: Some(key.into()),
            deadline_ms: Some(900),
            operation,
        }))
    }

    fn submit(&self, key: &str, id: &str) -> Reply {
        let spec = job::JobSpec {
            payload: "p".into(),
            steps: vec![job::StepSpec {
                task_count: 1,
                ..job::StepSpec::default()
            }],
            schedule: None,
        };
        let operation = Operation::Submit {
            body_bytes: 100,
            spec: Ok(spec),
        };
        self.call(key, &format!("/q/{id}"), operation)
    }

    fn is_stored(&self, id: &str) -> bool {
        let id = id::JobId::new(id).unwrap();
        self.store.value(&rows::job_key(&id)).is_some()
    }
}

const QUEUED: Reply = Reply::State(JobState::Queued);

#[test]
fn test_gateway_without_terms_is_unavailable() {
    let fixture = Fixture::without_terms(clock::Clock::system());
    assert!(matches!(
        fixture.submit("k1", "j1"),
        Reply::Unavailable { .. }
    ));
}

#[test]
fn test_gateway_accepts_a_stored_job_and_its_repetition_but_refuses_the_id_to_another_account() {
    let fixture = Fixture::new();
    assert_eq!(fixture.submit("k1", "j1"), QUEUED);
    assert!(fixture.is_stored("j1"));
    assert_eq!(fixture.submit("k1", "j1"), QUEUED);
    assert_eq!(fixture.submit("k2", "j1"), Reply::IdConflict);
}

#[test]
fn test_gateway_stores_the_time_of_acceptance_by_the_clock_of_the_store() {
    let (clock, time) = clock::Clock::manual(0);
    let fixture = Fixture::with_clock(clock);
    fixture.store.advance(std::time::Duration::from_secs(7));
    fixture.call("k1", "/q/j0", Operation::Read);
    time.advance(std::time::Duration::from_millis(250));
    fixture.submit("k1", "j1");
    let key = rows::job_key(&id::JobId::new("j1").unwrap());
    let accepted = fixture.store.value(&key).unwrap();
    let accepted: job::AcceptedJob = serde_json::from_str(&accepted).unwrap();
    assert_eq!(accepted.accepted_store_ms, Some(7_250));
}

#[test]
fn test_gateway_refuses_only_a_job_that_is_not_stored() {
    let fixture = Fixture::new();
    fixture.store.set_fault(Fault::Busy);
    assert!(matches!(
        fixture.submit("k1", "j1"),
        Reply::Unavailable { .. }
    ));
    assert!(!fixture.is_stored("j1"));
}

/// The store is away for all callers at once; they must not all return at the same moment.
#[test]
fn test_gateway_spreads_the_return_of_callers_while_the_store_is_away() {
    let (clock, time) = clock::Clock::manual(0);
    let fixture = Fixture::with_clock(clock);
    fixture.store.set_fault(Fault::Delayed);
    time.advance(std::time::Duration::from_secs(3));
    let mut callers_by_delay = std::collections::BTreeMap::new();
    for number in 0..90 {
        match fixture.submit("k1", &format!("j{number:04}")) {
            Reply::Unavailable { retry_after_s, .. } => {
                *callers_by_delay.entry(retry_after_s).or_insert(0) += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    assert!(callers_by_delay.len() >= 3, "{callers_by_delay:?}");
    assert!(callers_by_delay.values().all(|callers| *callers <= 45));
    assert!(callers_by_delay
        .keys()
        .all(|delay_s| (2..=4).contains(delay_s)));
}

#[test]
fn test_gateway_refuses_at_once_after_the_store_has_been_unreachable_for_some_time() {
    let (clock, time) = clock::Clock::manual(0);
    let fixture = Fixture::with_clock(clock);
    fixture.store.set_fault(Fault::Delayed);
    time.advance(std::time::Duration::from_secs(3));
    assert!(matches!(
        fixture.submit("k1", "j1"),
        Reply::Unavailable { .. }
    ));
    fixture.store.apply_delayed();
    assert!(!fixture.is_stored("j1"));
}

#[test]
fn test_gateway_does_not_refuse_a_job_that_may_be_stored_later() {
    let fixture = Fixture::new();
    fixture.store.set_fault(Fault::Delayed);
    assert!(matches!(
        fixture.submit("k1", "j1"),
        Reply::OutcomeUnknown(_)
    ));
    fixture.store.set_fault(Fault::None);
    fixture.store.apply_delayed();
    assert!(fixture.is_stored("j1"));
    assert_eq!(fixture.submit("k1", "j1"), QUEUED);
}

#[test]
fn test_gateway_accepts_a_repeated_job_whose_first_reply_was_lost() {
    let fixture = Fixture::new();
    fixture.store.set_fault(Fault::ResponsesLost);
    assert!(matches!(
        fixture.submit("k1", "j1"),
        Reply::OutcomeUnknown(_)
    ));
    fixture.store.set_fault(Fault::None);
    assert_eq!(fixture.submit("k1", "j1"), QUEUED);
}

#[test]
fn test_gateway_stores_the_cancellation_of_an_unknown_job() {
    let fixture = Fixture::new();
    assert_eq!(
        fixture.call("k1", "/q/j1", Operation::Cancel),
        Reply::NoSuchJob
    );
    let id = id::JobId::new("j1").unwrap();
    assert!(fixture.store.value(&rows::cancel_key(&id)).is_some());
}

#[test]
fn test_gateway_hides_a_job_without_progress_from_other_accounts() {
    let fixture = Fixture::new();
    fixture.submit("k1", "j1");
    assert_eq!(fixture.call("k1", "/q/j1", Operation::Read), QUEUED);
    assert_eq!(
        fixture.call("k2", "/q/j1", Operation::Read),
        Reply::NoSuchJob
    );
    assert_eq!(
        fixture.call("k2", "/q/j1", Operation::Cancel),
        Reply::NoSuchJob
    );
    assert_eq!(
        fixture.call("k3", "/q/j1", Operation::Read),
        Reply::Unauthenticated
    );
    assert_eq!(
        fixture.call("k1", "/x/j1", Operation::Read),
        Reply::NoSuchQueue
    );
}

/// Stores progress of a job as a scheduler does: the row names no account if the scheduler is of an
/// earlier version.
fn store_progress(fixture: &Fixture, id: &str, names_account: bool) {
    let accepted = fixture
        .store
        .value(&rows::job_key(&id::JobId::new(id).unwrap()))
        .unwrap();
    let accepted: job::AcceptedJob = serde_json::from_str(&accepted).unwrap();
    let progress = Progress {
        state: JobState::Running,
        account: names_account.then_some(accepted.account),
        ..Progress::default()
    };
    let key = rows::progress_key(&id::JobId::new(id).unwrap());
    let text = serde_json::to_string(&progress).unwrap();
    fixture.store.put(&key, &text);
}

#[test]
fn test_gateway_hides_a_job_with_progress_from_other_accounts() {
    for names_account in [true, false] {
        let fixture = Fixture::new();
        fixture.submit("k1", "j1");
        store_progress(&fixture, "j1", names_account);
        assert_eq!(
            fixture.call("k1", "/q/j1", Operation::Read),
            Reply::State(JobState::Running)
        );
        assert_eq!(
            fixture.call("k2", "/q/j1", Operation::Read),
            Reply::NoSuchJob
        );
    }
}

// Guards against a job that is given up without its caller being told why.
#[test]
fn test_gateway_tells_the_owner_why_a_job_was_given_up() {
    let fixture = Fixture::new();
    fixture.submit("k1", "j1");
    store_progress(&fixture, "j1", true);
    let key = rows::progress_key(&id::JobId::new("j1").unwrap());
    let stored = fixture.store.value(&key).unwrap();
    let progress = Progress {
        state: JobState::Failed,
        failure: Some("given up: servers have crashed".into()),
        ..serde_json::from_str(&stored).unwrap()
    };
    let text = serde_json::to_string(&progress).unwrap();
    fixture.store.put(&key, &text);
    assert_eq!(
        fixture.call("k1", "/q/j1", Operation::Read),
        Reply::Failed("given up: servers have crashed".into())
    );
    assert_eq!(
        fixture.call("k2", "/q/j1", Operation::Read),
        Reply::NoSuchJob
    );
}

#[test]
fn test_gateway_cancels_no_job_whose_owner_it_can_not_read() {
    let fixture = Fixture::new();
    let id = id::JobId::new("j1").unwrap();
    fixture.store.put(&rows::job_key(&id), "{\"truncated");
    for key in ["k1", "k2"] {
        let reply = fixture.call(key, "/q/j1", Operation::Cancel);
        assert!(matches!(reply, Reply::OutcomeUnknown(_)), "{reply:?}");
    }
    assert_eq!(fixture.store.value(&rows::cancel_key(&id)), None);
}

#[test]
fn test_gateway_counts_waiting_jobs_in_the_store_without_a_scheduler() {
    let fixture = Fixture::new();
    fixture.submit("k1", "j1");
    fixture.submit("k1", "j2");
    assert_eq!(
        fixture.call("k1", "/q/", Operation::Read),
        Reply::Waiting(2)
    );
}

#[test]
fn test_current_terms_keep_the_newest_version() {
    let fixture = Fixture::new();
    fixture
        .gateway
        .current_terms
        .apply_if_newer(&OneQueueSchema, "7", "test");
    fixture
        .gateway
        .current_terms
        .apply_if_newer(&OneQueueSchema, "3", "test");
    assert_eq!(fixture.gateway.current_terms.version(), id::TermsVersion(7));
}

#[test]
fn test_gateway_records_calls_in_the_metrics() {
    let fixture = Fixture::new();
    fixture.submit("k1", "j1");
    fixture.store.set_fault(Fault::Busy);
    fixture.submit("k1", "j2");
    let text = fixture.gateway.metrics.encode_text().unwrap();
    for line in [
        "camphorbeam_calls_total{what=\"submit\",outcome=\"queued\"} 1",
        "camphorbeam_calls_total{what=\"submit\",outcome=\"not_now\"} 1",
        "camphorbeam_call_latency_seconds_count{what=\"submit\"} 2",
    ] {
        assert!(text.contains(line), "no {line} in:\n{text}");
    }
    assert!(
        text.contains("camphorbeam_store_calls_total{way=\"direct\",outcome=\"not_applied\"}"),
        "{text}"
    );
    assert!(text.ends_with("# EOF\n"));
}

/// Guards against callers who are told that a queue doesn't exist, or who reach another one, since the
/// operators' entry for it can't be read.
#[test]
fn test_gateway_asks_callers_of_an_unreadable_queue_to_come_back() {
    let fixture = Fixture::new();
    for operation in [Operation::Read, Operation::Cancel] {
        let reply = fixture.call("k1", "/q/unreadable/j1", operation);
        assert!(
            matches!(reply, Reply::Unavailable { retry_after_s, .. } if retry_after_s > 0),
            "{reply:?}"
        );
    }
    assert_eq!(
        fixture.call("k1", "/r/j1", Operation::Read),
        Reply::NoSuchQueue
    );
    assert_eq!(fixture.submit("k1", "j1"), QUEUED);
}
