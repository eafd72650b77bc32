//! The spans of one request form a single trace through every process that handles it, and periodic
//! messages belong to no trace.

use std::collections::{BTreeMap, BTreeSet};
use std::process::Command;
use std::time::Duration;

use async_std::task;
use camphorbeam_model::id;
use camphorbeam_server::auth;
use camphorbeam_telemetry::trace_file::SpanLine;
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::process;
use rstest::rstest;

/// Timeout for a request to end and for its spans to be written.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Parent id of the root span of a trace.
const NO_PARENT: &str = "0000000000000000";

/// Accelerators that a gang of two backend servers needs.
const GANG_ACCELERATORS: &str = "4";

async fn traced_environment(entry_hosts: usize) -> Environment {
    let mut plan = environment::Plan::one_zone(entry_hosts, 2);
    plan.is_traced = true;
    Environment::start(plan)
        .await
        .expect("the environment starts")
}

/// Runs the command line in a separate process, which submits a gang to the entry host at `index`.
async fn submit_with_command_line(environment: &Environment, index: usize) -> id::RequestId {
    let account = environment::ACCOUNT.parse().expect("the name is valid");
    let token = environment.token(&auth::Identity::Caller(account));
    let server = environment.hosts[index].caller_link.address().to_string();
    let trace_file = environment.path("caller.spans").display().to_string();
    let program = process::program("camphorbeam").expect("the program is built");
    let mut command = Command::new(program);
    command.env("CAMPHORBEAM_TOKEN", token);
    command.args(["submit", "--json", "--server", &server]);
    command.args(["--trace-file", &trace_file]);
    command.args(["--account", environment::ACCOUNT, "--key", "traced"]);
    command.args(["--kind", "quick-check", "--accelerators", GANG_ACCELERATORS]);
    let output = environment.path("caller.out");
    let mut caller = process::Process::start(command, &output).expect("the command line starts");
    let is_ended = environment::wait_until(TIMEOUT, async || !caller.is_running()).await;
    assert!(is_ended, "the command line did not end");
    let submitted: camphorbeam_server::api::SubmitResponse =
        serde_json::from_str(&caller.printed()).expect("the command line prints JSON");
    submitted.id
}

/// Waits until the trace of the request is complete, and returns its spans.
async fn complete_trace(environment: &Environment, request: &id::RequestId) -> Vec<SpanLine> {
    let explanation = environment.await_end(request, TIMEOUT).await;
    let explanation = explanation.expect("the request is known");
    assert_eq!(explanation.state, "finished", "{explanation:?}");
    let mut spans = Vec::new();
    environment::wait_until(TIMEOUT, async || {
        spans = spans_of_command(&environment.spans());
        let is_ended = spans.iter().any(|span| span.name == "scheduler.end");
        is_ended && is_connected(&spans) && calls_without_callee_span(&spans).is_empty()
    })
    .await;
    spans
}

/// Returns the spans of the trace that the command line started.
fn spans_of_command(spans: &[SpanLine]) -> Vec<SpanLine> {
    let first = spans.iter().find(|span| span.name == "caller.command");
    let of_trace = |span: &&SpanLine| first.is_some_and(|first| first.trace == span.trace);
    spans.iter().filter(of_trace).cloned().collect()
}

/// Whether exactly one span has no parent in `spans`, and that one is the root of the trace.
fn is_connected(spans: &[SpanLine]) -> bool {
    let ids: BTreeSet<&str> = spans.iter().map(|span| span.span.as_str()).collect();
    let is_root = |span: &&SpanLine| !ids.contains(span.parent.as_str());
    let roots: Vec<&SpanLine> = spans.iter().filter(is_root).collect();
    matches!(roots.as_slice(), [only] if only.parent == NO_PARENT)
}

/// Returns the calls to another process that have no child span from that process.
fn calls_without_callee_span(spans: &[SpanLine]) -> Vec<&SpanLine> {
    let is_call = |span: &&SpanLine| {
        span.name == "http.call" || ["peer.admit", "peer.enqueue"].contains(&span.name.as_str())
    };
    let has_callee_span = |call: &SpanLine| {
        let is_child = |span: &SpanLine| span.parent == call.span && span.process != call.process;
        spans.iter().any(is_child)
    };
    let calls = spans.iter().filter(is_call);
    calls.filter(|call| !has_callee_span(call)).collect()
}

/// Returns the process and name of each ancestor of `span`, parent first.
fn ancestors(spans: &[SpanLine], span: &SpanLine) -> Vec<(String, String)> {
    let by_id: BTreeMap<&str, &SpanLine> = spans
        .iter()
        .map(|span| (span.span.as_str(), span))
        .collect();
    let parent_of = |span: &&SpanLine| by_id.get(span.parent.as_str()).copied();
    std::iter::successors(parent_of(&span), parent_of)
        .map(|span| (span.process.clone(), span.name.clone()))
        .collect()
}

fn spans_named<'a>(spans: &'a [SpanLine], name: &'a str) -> impl Iterator<Item = &'a SpanLine> {
    spans.iter().filter(move |span| span.name == name)
}

#[rstest]
fn test_traces_follow_one_request_through_every_process() {
    task::block_on(async {
        let environment = traced_environment(2).await;
        let scheduler = environment.scheduler("tunis-lab").await;
        let scheduler = scheduler.expect("the zone has a scheduler");
        let entry = 1 - scheduler;
        let scheduler_host = environment.hosts[scheduler].id.to_string();
        let entry_host = environment.hosts[entry].id.to_string();

        let request = submit_with_command_line(&environment, entry).await;
        let spans = complete_trace(&environment, &request).await;

        assert!(is_connected(&spans), "{spans:#?}");
        let without_callee_span = calls_without_callee_span(&spans);
        assert!(without_callee_span.is_empty(), "{without_callee_span:#?}");
        let processes: BTreeSet<&str> = spans.iter().map(|span| span.process.as_str()).collect();
        for process in ["caller", "platform", &entry_host, &scheduler_host] {
            assert!(
                processes.contains(process),
                "{process} not in {processes:?}"
            );
        }
        for (path, count) in [("/v1/reserve", 2), ("/v1/start", 2)] {
            let servers: BTreeSet<&str> = spans_named(&spans, "backend_server.call")
                .filter(|span| span.properties["path"] == path)
                .map(|span| span.properties["backend_server"].as_str())
                .collect();
            assert_eq!(servers.len(), count, "{path} at {servers:?}");
        }
        let start = spans_named(&spans, "backend_server.call")
            .find(|span| span.properties["path"] == "/v1/start")
            .expect("there is a start order");
        let ancestor = |process: &str, name: &str| (process.to_owned(), name.to_owned());
        assert_eq!(
            ancestors(&spans, start),
            [
                ancestor(&scheduler_host, "http.call"),
                ancestor(&scheduler_host, "scheduler.launch"),
                ancestor(&scheduler_host, "peer.serve_enqueue"),
                ancestor(&entry_host, "peer.enqueue"),
                ancestor(&entry_host, "request.hand_over"),
                ancestor(&entry_host, "entry_host.call"),
                ancestor("caller", "http.call"),
                ancestor("caller", "caller.command"),
            ]
        );
        let has_entry_host_commit = |span: &&SpanLine| {
            ancestors(&spans, span).contains(&ancestor(&entry_host, "record.commit_group"))
        };
        assert!(
            spans_named(&spans, "platform.call").any(|span| has_entry_host_commit(&span)),
            "the accepted request was not committed within the trace"
        );
    });
}

#[rstest]
fn test_traces_carry_request_zone_and_epoch() {
    task::block_on(async {
        let environment = traced_environment(2).await;
        let scheduler = environment.scheduler("tunis-lab").await;
        let entry = 1 - scheduler.expect("the zone has a scheduler");

        let request = submit_with_command_line(&environment, entry).await;
        let spans = complete_trace(&environment, &request).await;

        let without_request: Vec<&SpanLine> = spans
            .iter()
            .filter(|span| span.process != "platform")
            .filter(|span| span.properties.get("request") != Some(&request.to_string()))
            .collect();
        assert!(without_request.is_empty(), "{without_request:#?}");
        for name in ["peer.serve_admit", "peer.serve_enqueue"] {
            let span = spans_named(&spans, name)
                .next()
                .expect("there is a call between entry hosts");
            assert_eq!(span.properties["zone"], "tunis-lab", "{name}");
            assert_eq!(span.properties["epoch"], "1", "{name}");
        }
        for name in ["scheduler.launch", "scheduler.end"] {
            let span = spans_named(&spans, name)
                .next()
                .expect("the scheduler records the step");
            assert_eq!(span.properties["zone"], "tunis-lab", "{name}");
            assert_eq!(span.properties["epoch"], "1", "{name}");
            assert_eq!(span.properties["attempt"], "1", "{name}");
        }
    });
}

#[rstest]
fn test_traces_omit_periodic_messages() {
    task::block_on(async {
        let environment = traced_environment(2).await;
        environment.rules.watch("traceparent");

        // Waits for five lease renewals, so that there are several rounds of syncs, hellos and
        // polls of the host list.
        let usage_before = environment
            .platform_usage()
            .await
            .expect("the platform answers");
        let is_lease_renewed = environment::wait_until(TIMEOUT, async || {
            let usage = environment
                .platform_usage()
                .await
                .expect("the platform answers");
            usage.commits >= usage_before.commits + 5
        })
        .await;

        assert!(is_lease_renewed, "the lease was not renewed");
        let seen = environment.rules.watched_messages();
        assert!(seen.is_empty(), "{seen:?}");

        // Messages about a request do carry the header, so the watch above would have found it.
        let scheduler = environment.scheduler("tunis-lab").await;
        let entry = 1 - scheduler.expect("the zone has a scheduler");
        let spec = environment::request("watched", 4, false, 50);
        let submitted = environment.submit(entry, &spec).await;
        let request = submitted.expect("the request is accepted").id;
        let explanation = environment.await_end(&request, TIMEOUT).await;
        assert_eq!(explanation.expect("the request is known").state, "finished");
        let seen = environment.rules.watched_messages();
        for link in [
            "peers>",
            ">platform",
            "servers>tunis-lab-s0",
            "servers>tunis-lab-s1",
        ] {
            assert!(
                seen.iter().any(|seen| seen.link.contains(link)),
                "{link} not in {seen:?}"
            );
        }
        let periodic = ["/v1/sync", "/v1/fence", "/hosts?"];
        let is_periodic = |line: &str| periodic.iter().any(|path| line.contains(path));
        assert!(!seen.iter().any(|seen| is_periodic(&seen.line)), "{seen:?}");
    });
}

#[rstest]
fn test_traces_of_a_request_that_was_taken_over_carry_its_id() {
    task::block_on(async {
        let environment = traced_environment(2).await;
        let scheduler = environment.scheduler("tunis-lab").await;
        let scheduler = scheduler.expect("the zone has a scheduler");
        let successor = 1 - scheduler;
        let spec = environment::request("taken-over", 1, true, 4_000);
        let submitted = environment.submit(scheduler, &spec).await;
        let request = submitted.expect("the request is accepted").id;
        let is_running = environment::wait_until(TIMEOUT, async || {
            let explanation = environment.explain(scheduler, &request).await;
            explanation.is_ok_and(|explanation| explanation.state == "started")
        })
        .await;
        assert!(is_running, "the request did not start");

        environment.hosts[scheduler].process.handle().kill();
        let successor_host = environment.hosts[successor].id.to_string();
        let mut found = None;
        environment::wait_until(TIMEOUT, async || {
            found = environment.spans().into_iter().find(|span| {
                span.name == "scheduler.end"
                    && span.process == successor_host
                    && span.properties["request"] == request.as_str()
            });
            found.is_some()
        })
        .await;

        let end = found.expect("the successor ends the request");
        assert_eq!(end.properties["epoch"], "2");
        assert_eq!(
            end.parent, NO_PARENT,
            "the span is not the root of a new trace"
        );
    });
}
