//! While the platform is unreachable, running requests continue, calls that must be recorded are
//! refused, and no accepted request is lost.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{record, verdict};
use camphorbeam_testing::environment::{self, CallError, Environment, Plan};
use camphorbeam_testing::journal::Event;
use camphorbeam_testing::proxy::Fault;
use rstest::rstest;

const ZONE: &str = "tunis-lab";

/// Exceeds the task lease of the tests, so that a task whose lease is not renewed lapses.
const LONG_RUN_TIME_MS: u64 = environment::TASK_LEASE_MS * 2;

const TIMEOUT: Duration = Duration::from_secs(20);

fn cut_platform(environment: &Environment) {
    for host in &environment.hosts {
        host.platform_link.set_fault(Fault::Cut);
    }
}

async fn await_any_start(environment: &Environment) {
    let is_started = environment::wait_until(TIMEOUT, async || {
        let journal = environment.journal();
        journal.iter().any(|line| line.event == Event::Started)
    })
    .await;
    assert!(is_started, "no task has started");
}

fn count_events(environment: &Environment, event: Event) -> usize {
    let journal = environment.journal();
    journal.iter().filter(|line| line.event == event).count()
}

#[rstest]
fn test_platform_outage_running_request_survives_graceful_shutdown_of_its_scheduler() {
    task::block_on(async {
        let environment = Environment::start(Plan::one_zone(3, 1))
            .await
            .expect("the environment starts");
        let spec = environment::request("long", 1, false, LONG_RUN_TIME_MS);
        let submitted = environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");
        await_any_start(&environment).await;

        cut_platform(&environment);
        let scheduler = environment
            .scheduler(ZONE)
            .await
            .expect("the zone has a scheduler");
        environment.hosts[scheduler].process.handle().terminate();
        let is_finished = environment::wait_until(TIMEOUT, async || {
            count_events(&environment, Event::Finished) + count_events(&environment, Event::Lapsed)
                > 0
        })
        .await;
        assert!(is_finished);
        environment.clear_faults();

        let explanation = environment.await_end(&submitted.id, TIMEOUT).await;
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{explanation:?}");
        assert_eq!(count_events(&environment, Event::Started), 1);
        assert_eq!(count_events(&environment, Event::Lapsed), 0);
    });
}

#[rstest]
fn test_platform_outage_starts_only_idempotent_requests() {
    task::block_on(async {
        let environment = Environment::start(Plan::one_zone(2, 1))
            .await
            .expect("the environment starts");
        let blocker = environment::request("blocker", 2, true, 1_500);
        let waiting = environment::request("waiting", 1, true, 200);
        let non_idempotent = environment::request("non-idempotent", 1, false, 200);
        for spec in [&blocker, &waiting, &non_idempotent] {
            environment
                .submit(0, spec)
                .await
                .expect("the request is accepted");
        }
        await_any_start(&environment).await;

        cut_platform(&environment);
        let is_waiting_finished = environment::wait_until(TIMEOUT, async || {
            let journal = environment.journal();
            journal.iter().any(|line| {
                let of_waiting =
                    |task: &camphorbeam_model::task::TaskKey| task.request == waiting.id();
                line.event == Event::Finished && line.task.as_ref().is_some_and(of_waiting)
            })
        })
        .await;
        assert!(
            is_waiting_finished,
            "the idempotent request has not finished"
        );
        let is_non_idempotent_started = environment
            .journal()
            .iter()
            .any(|line| line.event == Event::Started && !line.idempotent);
        assert!(
            !is_non_idempotent_started,
            "the non-idempotent request started before its start was recorded"
        );

        let refused = environment
            .submit(0, &environment::request("late", 1, true, 10))
            .await;
        match refused {
            Err(CallError::Refused(refusal)) => {
                assert_ne!(refusal.verdict, verdict::Verdict::Ran, "{refusal:?}");
                assert!(refusal.retry_after_ms.is_some(), "{refusal:?}");
            }
            other => panic!("accepted without the platform: {other:?}"),
        }
        let explanation = environment
            .explain(1, &waiting.id())
            .await
            .expect("the entry host explains the request from memory");
        assert_eq!(explanation.standing, record::Standing::Pending);
        assert_eq!(explanation.unasked, ["the platform"]);

        environment.clear_faults();
        for spec in [&blocker, &waiting, &non_idempotent] {
            let explanation = environment.await_end(&spec.id(), TIMEOUT).await;
            let explanation = explanation.expect("the request is known");
            assert_eq!(explanation.state, "finished", "{explanation:?}");
        }
    });
}
