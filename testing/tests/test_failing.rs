//! Backend servers on which every request fails, and requests that fail on every backend server.

use std::collections::BTreeSet;
use std::time::Duration;

use async_std::task;
use camphorbeam_model::request;
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::{checks, journal};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Number of different requests that have to fail on a server before it must be considered suspect.
const SUSPECT_FAILURES: usize = 3;

/// Time after which the scheduler knows of the last failure.
const FAILURE_REPORT_TIME: Duration = Duration::from_millis(1_000);

async fn end_state(environment: &Environment, spec: &request::RequestSpec) -> String {
    let explanation = environment.await_end(&spec.id(), TIMEOUT).await;
    let explanation = explanation.expect("the request is known");
    println!("{}: {}", spec.key, explanation.summary);
    explanation.state
}

#[rstest]
fn test_failing_server_gets_no_non_idempotent_requests() {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(1, 3))
            .await
            .expect("the environment starts");
        let failing = environment.servers[0].info.id.clone();
        let order = "/control/fail-everything";
        checks::send_control(&environment.servers[0], order)
            .await
            .expect("the server obeys the control request");
        let failed = || -> BTreeSet<_> {
            let lines = environment.journal();
            let failed = checks::lines_of(&lines, journal::Event::Failed).into_iter();
            let there = failed.filter(|line| line.server == failing);
            there
                .filter_map(|line| line.task.as_ref())
                .map(|task| task.request.clone())
                .collect()
        };
        let mut number = 0;
        let has_failed = environment::wait_until(TIMEOUT, async || {
            number += 1;
            let spec = environment::request(&format!("probe-{number}"), 1, true, 100);
            environment
                .submit(0, &spec)
                .await
                .expect("the request is accepted");
            failed().len() >= SUSPECT_FAILURES
        })
        .await;
        assert!(has_failed, "too few requests have failed on the server");
        task::sleep(FAILURE_REPORT_TIME).await;

        let since_ms = checks::now_unix_ms();
        let specs: Vec<_> = (0..20)
            .map(|number| environment::request(&format!("once-{number}"), 1, false, 50))
            .collect();
        for spec in &specs {
            environment
                .submit(0, spec)
                .await
                .expect("the request is accepted");
        }
        for spec in &specs {
            assert_eq!(
                end_state(&environment, spec).await,
                "finished",
                "{}",
                spec.key
            );
        }
        let is_non_idempotent_start = |line: &journal::Line| {
            let is_non_idempotent = !line.idempotent && line.event == journal::Event::Started;
            is_non_idempotent && line.server == failing && line.at_unix_ms >= since_ms
        };
        assert!(
            !environment.journal().iter().any(is_non_idempotent_start),
            "a non-idempotent request started on the suspect server"
        );
    });
}

#[rstest]
fn test_failing_requests_end_as_failed_and_leave_healthy_servers_usable() {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(1, 2))
            .await
            .expect("the environment starts");
        let poisoned: Vec<_> = (0..6)
            .map(|number| {
                let key = format!("poison-{number}");
                let payload = serde_json::json!({ "run_time_ms": 30, "fails": true });
                request::RequestSpec {
                    payload: payload.to_string(),
                    ..environment::request(&key, 1, true, 30)
                }
            })
            .collect();
        for spec in &poisoned {
            environment
                .submit(0, spec)
                .await
                .expect("the request is accepted");
        }
        for spec in &poisoned {
            assert_eq!(
                end_state(&environment, spec).await,
                "failed",
                "{}",
                spec.key
            );
            let attempts = checks::started_attempts(&environment.journal(), &spec.id());
            assert!(
                (1..=3).contains(&attempts.len()),
                "{} attempts",
                attempts.len()
            );
        }

        // This request needs every accelerator of both servers, and may not run on a suspect
        // server.
        let full_zone = environment::request("whole-zone", 4, false, 50);
        environment
            .submit(0, &full_zone)
            .await
            .expect("the request is accepted");
        assert_eq!(end_state(&environment, &full_zone).await, "finished");
    });
}
