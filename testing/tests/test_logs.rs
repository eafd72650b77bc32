//! Logs are structured, go to standard error, and contain no secrets.

use std::fs::File;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

use async_std::task;
use camphorbeam_server::{auth, settings};
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::process;
use http_types::Method;
use rstest::rstest;

/// Timeout of every wait and call.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Text that occurs only in the payload of a request.
const PAYLOAD_MARKER: &str = "payload-marker-7f31";

/// Text that occurs only in an invalid token.
const BAD_TOKEN: &str = "bad-token-marker-93ac";

/// The fields of a log record that the tests check.
#[derive(Debug, serde::Deserialize)]
struct LogRecord {
    level: String,
    payload: String,
    #[serde(default)]
    kv: serde_json::Value,
}

fn parse_records(text: &str) -> Vec<LogRecord> {
    text.lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{line}: {error}")))
        .collect()
}

/// Returns all that the entry hosts and backend servers have written to their outputs, and all
/// spans.
fn all_output(environment: &Environment) -> String {
    let spans = serde_json::to_string(&environment.spans()).expect("spans are JSON");
    let hosts = environment.hosts.iter().map(|host| &host.process);
    let servers = environment.servers.iter().map(|server| &server.process);
    let mut text: Vec<String> = hosts
        .chain(servers)
        .map(process::Process::printed)
        .collect();
    text.push(spans);
    text.concat()
}

async fn logging_environment() -> Environment {
    let mut plan = environment::Plan::one_zone(2, 2);
    plan.is_traced = true;
    plan.flags.insert("log-level", "debug".to_owned());
    Environment::start(plan)
        .await
        .expect("the environment starts")
}

#[rstest]
fn test_logs_are_structured_and_hold_no_secrets() {
    task::block_on(async {
        let environment = logging_environment().await;
        let mut spec = environment::request("logged", 4, false, 50);
        let payload = serde_json::json!({ "run_time_ms": 50, "text": PAYLOAD_MARKER });
        spec.payload = payload.to_string();
        let submitted = environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");
        let explanation = environment.await_end(&submitted.id, TIMEOUT).await;
        assert_eq!(explanation.expect("the request is known").state, "finished");
        let answer = environment
            .answer(1, &submitted.id)
            .await
            .expect("the answer is complete");
        let unauthenticated = call_with_bad_token(&environment).await;
        assert_eq!(unauthenticated, http_types::StatusCode::Unauthorized);
        let invalid = b"{\"payload\":\"payload-marker-7f31\",\"accelerators\":\"x\"}".to_vec();
        let account = spec.client_account.clone();
        let caller = auth::Identity::Caller(account);
        let path = "/v1/requests";
        let refused = environment
            .call(0, &caller, Method::Post, path, invalid)
            .await;
        refused.expect_err("the request is refused");

        let mut records = Vec::new();
        let is_logged = environment::wait_until(TIMEOUT, async || {
            let outputs = environment.hosts.iter().map(|host| host.process.printed());
            records = parse_records(&outputs.collect::<String>());
            let mut records = records.iter();
            records.any(|record| record.payload == "finished")
        })
        .await;

        assert!(is_logged, "{records:#?}");
        let end_record = records.iter().find(|record| record.payload == "finished");
        let end_record = end_record.expect("the end of the request is logged");
        assert_eq!(end_record.level, "debug");
        assert_eq!(end_record.kv["request"], submitted.id.as_str());
        assert_eq!(end_record.kv["zone"], "tunis-lab");
        assert_eq!(end_record.kv["epoch"], 1);
        let written = all_output(&environment);
        let answer =
            String::from_utf8(answer).expect("the answer of the fake backend server is text");
        let (_, digest) = answer
            .lines()
            .next()
            .and_then(|line| line.split_once(' '))
            .expect("the first line of the answer holds a digest");
        for secret in [
            PAYLOAD_MARKER,
            BAD_TOKEN,
            digest,
            environment::SECRET,
            &environment.token(&auth::Identity::Operator),
            &environment.token(&auth::Identity::Peer),
            &environment.token(&caller),
        ] {
            assert!(secret.len() > 8, "{secret:?} is too short to search for");
            assert!(!written.contains(secret), "{secret:?} was written");
        }
    });
}

async fn call_with_bad_token(environment: &Environment) -> http_types::StatusCode {
    let clock = camphorbeam_clock::Clock::system();
    let meter = std::sync::Arc::default();
    let client = camphorbeam_http::client::HttpClient::new(clock, meter);
    let call = camphorbeam_http::client::Call {
        address: environment.hosts[0].caller_link.address(),
        method: Method::Get,
        path: "/v1/sheet",
        body: Vec::new(),
        headers: vec![("authorization", format!("Bearer {BAD_TOKEN}"))],
        timeout: TIMEOUT,
    };
    client
        .send(call)
        .await
        .expect("the entry host answers")
        .status
}

#[rstest]
#[case("info", true)]
#[case("off", false)]
fn test_logs_go_to_standard_error_by_level(#[case] level: &str, #[case] is_logged: bool) {
    let name = format!("camphorbeam-logs-{}-{level}", std::process::id());
    let directory = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    let (out, err) = (directory.join("out"), directory.join("err"));
    let unreachable_platform: SocketAddr = "127.0.0.1:1".parse().expect("the address is valid");
    let mut serve = Command::new(process::program("camphorbeam").expect("the program is built"))
        .args([
            "serve",
            "--host=e0",
            "--zone=tunis-lab",
            "--listen=127.0.0.1:0",
        ])
        .args(["--peer-listen=127.0.0.1:0", "--shutdown-limit-ms=10"])
        .arg(format!("--platform={unreachable_platform}"))
        .arg(format!("--log-level={level}"))
        .env(settings::SECRET_ENV, environment::SECRET)
        .stdout(File::create(&out).expect("the file can be created"))
        .stderr(File::create(&err).expect("the file can be created"))
        .spawn()
        .expect("the entry host starts");

    let read = |path| std::fs::read_to_string(path).expect("the file can be read");
    let is_written = task::block_on(environment::wait_until(
        Duration::from_secs(if is_logged { 15 } else { 1 }),
        async || read(&err).contains("serves callers on"),
    ));
    let has_ended = serve.try_wait().expect("its status can be read").is_some();
    serve.kill().expect("the entry host can be killed");
    serve.wait().expect("the entry host ends");

    assert!(!has_ended, "the entry host ended by itself");
    assert_eq!(is_written, is_logged);
    assert_eq!(read(&out), "", "standard output must stay empty");
    assert_eq!(read(&err).is_empty(), !is_logged);
    std::fs::remove_dir_all(&directory).expect("the directory can be removed");
}

#[rstest]
fn test_logs_refuse_an_unknown_level() {
    let mut command = Command::new(process::program("camphorbeam").expect("the program is built"));
    command.args([
        "serve",
        "--host=e0",
        "--zone=tunis-lab",
        "--listen=127.0.0.1:0",
    ]);
    command.args(["--peer-listen=127.0.0.1:0", "--platform=127.0.0.1:1"]);
    command.arg("--log-level=loud");
    command.env(settings::SECRET_ENV, environment::SECRET);
    let output = command.output().expect("the entry host can be run");

    let text = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{text}");
    assert!(text.contains("--log-level \"loud\""), "{text}");
}
