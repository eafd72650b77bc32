//! Requests from submission to answer, through separate processes and without faults: up to three
//! availability zones, seven entry hosts and six backend servers.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{record, request, verdict};
use camphorbeam_server::auth;
use camphorbeam_testing::environment::{self, CallError, Environment, Plan, ZonePlan};
use camphorbeam_testing::{invariants, sweep};
use futures::future;
use http_types::Method;
use rstest::rstest;

/// Longest time that a gang may run with only part of its members, in milliseconds.
const PARTIAL_GANG_MAX_MS: u64 = 1_000;

/// Number of requests in the burst.
const BURST_SIZE: usize = 200;

/// Limit of waiting requests per client account in the test of a full queue.
const QUEUE_MAX: usize = 3;

/// Timeout for a request to end.
const TIMEOUT: Duration = Duration::from_secs(30);

fn three_zones() -> Plan {
    let zone = |name, entry_hosts| ZonePlan {
        name,
        entry_hosts,
        backend_servers: 2,
    };
    Plan::new(&[
        zone("tunis-lab", 3),
        zone("bizerte-lab", 2),
        zone("nabeul-lab", 2),
    ])
}

#[rstest]
fn test_end_to_end_returns_each_answer_through_another_entry_host() {
    task::block_on(async {
        let environment = Environment::start(three_zones())
            .await
            .expect("the environment starts");
        let count = environment.hosts.len();
        let mut specs = Vec::new();
        for number in 0..2 * count {
            let is_gang = number >= count;
            let spec = environment::request(
                &format!("via-{number}"),
                1 + 2 * u32::from(is_gang),
                is_gang,
                100,
            );
            let submitted = environment.submit(number % count, &spec).await;
            let submitted = submitted.expect("the request is accepted");
            assert!(submitted.is_new);
            assert_eq!(submitted.zone, environment.hosts[number % count].zone);
            specs.push(spec);
        }

        let mut outcomes = Vec::new();
        for (number, spec) in specs.into_iter().enumerate() {
            let explanation = environment.await_end(&spec.id(), TIMEOUT).await;
            let answer = environment.answer((number + 1) % count, &spec.id()).await;
            outcomes.push(invariants::Outcome {
                label: format!("via {number}"),
                spec,
                refused: None,
                is_unknown: false,
                explanation,
                answer: answer.ok(),
            });
        }

        let findings = invariants::check(&environment.journal(), &outcomes, PARTIAL_GANG_MAX_MS);
        assert!(findings.violations.is_empty(), "{findings:#?}");
        for outcome in &outcomes {
            let state = outcome
                .explanation
                .as_ref()
                .map(|found| found.state.clone());
            assert_eq!(state.as_deref(), Some("finished"), "{outcome:#?}");
        }
    });
}

#[rstest]
fn test_end_to_end_commits_a_burst_in_groups() {
    task::block_on(async {
        let environment = Environment::start(three_zones())
            .await
            .expect("the environment starts");
        let specs: Vec<request::RequestSpec> = (0..BURST_SIZE)
            .map(|number| environment::request(&format!("burst-{number}"), 1, true, 20))
            .collect();
        let before = environment
            .platform_usage()
            .await
            .expect("the platform answers");

        let submissions = specs
            .iter()
            .enumerate()
            .map(|(number, spec)| environment.submit(number % environment.hosts.len(), spec));
        let accepted = future::join_all(submissions).await;
        let after_accept = environment
            .platform_usage()
            .await
            .expect("the platform answers");
        let accepted_count = accepted.iter().filter(|result| result.is_ok()).count();
        let mut finished_count = 0;
        for spec in &specs {
            let explanation = environment.await_end(&spec.id(), TIMEOUT).await;
            finished_count +=
                usize::from(explanation.is_some_and(|found| found.state == "finished"));
        }
        let after_end = environment
            .platform_usage()
            .await
            .expect("the platform answers");

        let per_accepted_request =
            |now: u64, then: u64| (now - then) as f64 / accepted_count as f64;
        println!(
            "burst of {BURST_SIZE}: {accepted_count} accepted, {finished_count} finished; platform \
             transactions per accepted request: {:.3} until accepted, {:.3} until finished; rows: \
             {:.3} and {:.3} (leases of 3 zones included)",
            per_accepted_request(after_accept.commits, before.commits),
            per_accepted_request(after_end.commits, before.commits),
            per_accepted_request(after_accept.written_rows, before.written_rows),
            per_accepted_request(after_end.written_rows, before.written_rows),
        );
        assert_eq!((accepted_count, finished_count), (BURST_SIZE, BURST_SIZE));
        assert!(
            per_accepted_request(after_accept.commits, before.commits) < 1.0,
            "acceptances are not committed in groups"
        );
    });
}

fn expect_refusal<A: std::fmt::Debug>(result: Result<A, CallError>) -> verdict::Refusal {
    match result {
        Err(CallError::Refused(refusal)) => refusal,
        other => panic!("not refused: {other:?}"),
    }
}

#[rstest]
fn test_end_to_end_refuses_invalid_input_as_not_run() {
    task::block_on(async {
        let environment = Environment::start(Plan::one_zone(2, 2))
            .await
            .expect("the environment starts");
        let good = environment::request("good", 1, true, 50);
        environment
            .submit(0, &good)
            .await
            .expect("the request is accepted");
        let unknown_account = request::RequestSpec {
            client_account: "nobody".parse().expect("the name is valid"),
            ..good.clone()
        };
        let impossible = environment::request("impossible", 5, true, 50);
        let conflicting = request::RequestSpec {
            accelerators: 2,
            ..good.clone()
        };
        for (spec, code, part) in [
            (&unknown_account, verdict::RefusalCode::Invalid, "nobody"),
            (&impossible, verdict::RefusalCode::Invalid, "5 accelerators"),
            (&conflicting, verdict::RefusalCode::Conflict, "good"),
        ] {
            let refusal = expect_refusal(environment.submit(1, spec).await);
            assert_eq!(refusal.code, code, "{refusal}");
            assert_eq!(refusal.verdict, verdict::Verdict::NotRun, "{refusal}");
            assert!(refusal.message.contains(part), "{part} not in {refusal}");
        }

        let caller = auth::Identity::Caller(good.client_account.clone());
        let too_large = vec![b' '; 4 * 1024 * 1024];
        for (body, code) in [
            (b"{ not JSON".to_vec(), verdict::RefusalCode::Invalid),
            (too_large, verdict::RefusalCode::TooLarge),
        ] {
            let call = environment.call(1, &caller, Method::Post, "/v1/requests", body);
            let refusal = expect_refusal(call.await);
            assert_eq!(refusal.code, code, "{refusal}");
            assert_eq!(refusal.verdict, verdict::Verdict::NotRun, "{refusal}");
        }

        let refusal = expect_refusal(
            environment
                .explain(0, &environment::request("no", 1, true, 1).id())
                .await,
        );
        assert_eq!(refusal.code, verdict::RefusalCode::NotFound, "{refusal}");
        environment.await_end(&good.id(), TIMEOUT).await;
        let journal = environment.journal();
        let is_other = |line: &camphorbeam_testing::journal::Line| {
            line.task
                .as_ref()
                .is_some_and(|key| key.request != good.id())
        };
        assert!(!journal.iter().any(is_other), "{journal:?}");
    });
}

#[rstest]
fn test_end_to_end_hides_requests_of_other_client_accounts() {
    task::block_on(async {
        let environment = Environment::start(Plan::one_zone(2, 1))
            .await
            .expect("the environment starts");
        let spec = environment::request("mine", 1, true, 50);
        environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");
        environment.await_end(&spec.id(), TIMEOUT).await;
        let other = environment::OTHER_ACCOUNT
            .parse()
            .expect("the name is valid");
        let stranger = auth::Identity::Caller(other);

        let path = format!("/v1/requests/{}", spec.id());
        for (method, path) in [
            (Method::Get, path.clone()),
            (Method::Get, format!("{path}/answer")),
            (Method::Delete, path.clone()),
        ] {
            let call = environment.call(1, &stranger, method, &path, Vec::new());
            let refusal = expect_refusal(call.await);
            assert_eq!(refusal.code, verdict::RefusalCode::NotFound, "{refusal}");
        }
        let body = serde_json::to_vec(&spec).expect("a request can be serialized");
        let call = environment.call(1, &stranger, Method::Post, "/v1/requests", body);
        let refusal = expect_refusal(call.await);
        assert_eq!(refusal.code, verdict::RefusalCode::Forbidden, "{refusal}");
        let explanation = environment
            .explain(1, &spec.id())
            .await
            .expect("an operator may read any request");
        assert_eq!(
            explanation.standing,
            record::Standing::Ended(verdict::Verdict::Ran)
        );
    });
}

#[rstest]
fn test_end_to_end_refuses_requests_past_a_full_queue_with_a_retry_delay() {
    task::block_on(async {
        let mut plan = Plan::one_zone(2, 1);
        plan.flags.insert("queue-max", QUEUE_MAX.to_string());
        let environment = Environment::start(plan)
            .await
            .expect("the environment starts");
        let mut refusals = Vec::new();
        let mut accepted = Vec::new();
        for number in 0..4 * QUEUE_MAX {
            let spec = environment::request(&format!("queued-{number}"), 2, false, 1_000);
            match environment.submit(number % 2, &spec).await {
                Ok(_) => accepted.push(spec),
                error => refusals.push((spec, expect_refusal(error))),
            }
        }

        assert!(accepted.len() > QUEUE_MAX, "{} accepted", accepted.len());
        assert!(!refusals.is_empty());
        for (_, refusal) in &refusals {
            assert_eq!(refusal.code, verdict::RefusalCode::Busy, "{refusal}");
            assert_eq!(refusal.verdict, verdict::Verdict::NotRun, "{refusal}");
            assert!(refusal.retry_after_ms.is_some(), "{refusal}");
        }
        let mut outcomes = Vec::new();
        for spec in accepted {
            outcomes.push(sweep::outcome(&environment, "accepted".to_owned(), spec, None).await);
        }
        for (spec, refusal) in refusals {
            let refused = Some(refusal.verdict);
            outcomes.push(sweep::outcome(&environment, "refused".to_owned(), spec, refused).await);
        }
        let findings = invariants::check(&environment.journal(), &outcomes, PARTIAL_GANG_MAX_MS);
        assert!(findings.violations.is_empty(), "{findings:#?}");
    });
}
