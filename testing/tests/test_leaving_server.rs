//! A leaving backend server gets no new work after 3 s, however the scheduler learns that it
//! leaves.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{id, request};
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::{checks, journal};
use http_types::Method;
use rstest::rstest;

/// Longest time for which a leaving backend server may still get new work.
const LEAVING_LIMIT_MS: u64 = 3_000;

/// Lag of the host list. It exceeds the limit, so that the list can't be what stops new work.
const HOST_LIST_LAG: Duration = Duration::from_secs(10);

/// Time for which requests are submitted after the server has begun to leave.
const LOAD_TIME: Duration = Duration::from_secs(6);

const TIMEOUT: Duration = Duration::from_secs(20);

/// Starts an environment with a lagging host list, and waits until every entry host accepts
/// requests.
async fn start_with_lagging_host_list() -> Environment {
    let mut plan = environment::Plan::one_zone(2, 3);
    plan.host_list_lag = HOST_LIST_LAG;
    let environment = Environment::start(plan)
        .await
        .expect("the environment starts");
    for index in 0..environment.hosts.len() {
        let spec = environment::request(&format!("first-{index}"), 1, true, 10);
        let accepts = async || environment.submit(index, &spec).await.is_ok();
        assert!(
            environment::wait_until(TIMEOUT, accepts).await,
            "entry host {index} accepts no requests"
        );
    }
    environment
}

/// Submits requests for `time`, one after the other, at a rate that fills two servers.
async fn submit_for(
    environment: &Environment,
    name: &str,
    time: Duration,
) -> Vec<request::RequestSpec> {
    let until = std::time::Instant::now() + time;
    let mut specs = Vec::new();
    while std::time::Instant::now() < until {
        let key = format!("{name}-{}", specs.len());
        let spec = environment::request(&key, 1, specs.len() % 2 == 0, 150);
        let index = specs.len() % environment.hosts.len();
        environment
            .submit(index, &spec)
            .await
            .expect("the request is accepted");
        specs.push(spec);
        task::sleep(Duration::from_millis(40)).await;
    }
    specs
}

async fn assert_finished(environment: &Environment, specs: &[request::RequestSpec]) {
    for spec in specs {
        let explanation = environment.await_end(&spec.id(), TIMEOUT).await;
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{explanation:?}");
    }
}

/// Returns the times at which `server` was reserved.
fn reservation_times_ms(lines: &[journal::Line], server: &id::BackendServerId) -> Vec<u64> {
    let reserved = checks::lines_of(lines, journal::Event::Reserved).into_iter();
    let there = reserved.filter(|line| line.server == *server);
    there.map(|line| line.at_unix_ms).collect()
}

/// Starts a request that takes every accelerator of all three servers and runs longer than the test
/// needs to make the servers leave.
async fn start_long_request(environment: &Environment) -> request::RequestSpec {
    let spec = environment::request("long", 6, false, 5_000);
    environment
        .submit(0, &spec)
        .await
        .expect("the request is accepted");
    let has_started = environment::wait_until(TIMEOUT, async || {
        !checks::started_attempts(&environment.journal(), &spec.id()).is_empty()
    })
    .await;
    assert!(has_started, "the long request did not start");
    spec
}

async fn assert_no_work_after_leaving(
    environment: &Environment,
    server: &id::BackendServerId,
    left_at_ms: u64,
    specs: &[request::RequestSpec],
) {
    assert_finished(environment, specs).await;
    let lines = environment.journal();
    let times = reservation_times_ms(&lines, server);
    assert!(
        times.iter().any(|at| *at < left_at_ms),
        "the server had no work before it left"
    );
    let last = times.iter().max().copied().unwrap_or(0);
    let after_ms = last.saturating_sub(left_at_ms);
    println!("last reservation {after_ms} ms after the server began to leave");
    assert!(
        after_ms <= LEAVING_LIMIT_MS,
        "reserved {after_ms} ms after it began to leave"
    );
    assert!(checks::repeated_requests(&lines).is_empty());
}

#[rstest]
#[case::announced_by_the_server("/control/leave")]
#[case::noticed_by_a_refused_order("/control/leave-silently")]
fn test_leaving_server_gets_no_new_work(#[case] control: &str) {
    task::block_on(async {
        let environment = start_with_lagging_host_list().await;
        let server = environment.servers[0].info.id.clone();
        let mut specs = submit_for(&environment, "before", Duration::from_secs(1)).await;

        let left_at_ms = checks::now_unix_ms();
        checks::send_control(&environment.servers[0], control)
            .await
            .expect("the server obeys the control request");
        specs.extend(submit_for(&environment, "after", LOAD_TIME).await);

        assert_no_work_after_leaving(&environment, &server, left_at_ms, &specs).await;
    });
}

#[rstest]
fn test_leaving_server_finishes_what_it_runs() {
    task::block_on(async {
        let environment = start_with_lagging_host_list().await;
        let long = start_long_request(&environment).await;

        for server in &environment.servers {
            checks::send_control(server, "/control/leave")
                .await
                .expect("the server obeys the control request");
        }

        assert_finished(&environment, std::slice::from_ref(&long)).await;
        let stopped = checks::lines_of(&environment.journal(), journal::Event::Stopped).len();
        assert_eq!(stopped, 0, "a running request was stopped");
    });
}

#[rstest]
fn test_leaving_server_drained_by_an_operator_gets_no_new_work_even_from_a_successor() {
    task::block_on(async {
        let mut environment = start_with_lagging_host_list().await;
        let server = environment.servers[0].info.id.clone();
        let mut specs = submit_for(&environment, "before", Duration::from_secs(1)).await;

        let left_at_ms = checks::now_unix_ms();
        let body = serde_json::json!({ "server": server, "is_drained": true });
        let body = body.to_string().into_bytes();
        let drained = environment.operator_call(1, Method::Post, "/v1/drain", body);
        drained.await.expect("the drain is accepted");
        specs.extend(submit_for(&environment, "drained", Duration::from_secs(3)).await);
        let scheduler = environment
            .scheduler("tunis-lab")
            .await
            .expect("the zone has a scheduler");
        environment
            .replace_host(scheduler)
            .await
            .expect("the replacement starts");
        let is_served = environment::wait_until(TIMEOUT, async || {
            environment.scheduler("tunis-lab").await.is_some()
        })
        .await;
        assert!(is_served, "no entry host became scheduler");
        // The replacement takes no calls until it has read the lagging host list, so the other host
        // does.
        let other = 1 - scheduler;
        for number in 0..40 {
            let spec = environment::request(&format!("taken-over-{number}"), 1, false, 50);
            environment
                .submit(other, &spec)
                .await
                .expect("the request is accepted");
            specs.push(spec);
        }

        assert_no_work_after_leaving(&environment, &server, left_at_ms, &specs).await;
    });
}
