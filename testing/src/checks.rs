//! Helpers of tests: queries on the journals of the backend servers, expected answers, and control
//! calls to the fake backend servers.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use camphorbeam_clock as clock;
use camphorbeam_http::{client, meter};
use camphorbeam_model::{id, request, task};
use http_types::Method;

use crate::{backend_tasks, environment, journal};

/// Timeout of a control call to a fake backend server.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the lines with `event`.
pub fn lines_of(lines: &[journal::Line], event: journal::Event) -> Vec<&journal::Line> {
    lines.iter().filter(|line| line.event == event).collect()
}

/// Returns the attempts of `request` in which at least one member has started.
pub fn started_attempts(lines: &[journal::Line], request: &id::RequestId) -> BTreeSet<id::Attempt> {
    let started = lines_of(lines, journal::Event::Started).into_iter();
    let tasks = started.filter_map(|line| line.task.as_ref());
    tasks
        .filter(|task| task.request == *request)
        .map(|task| task.attempt)
        .collect()
}

/// Returns the non-idempotent requests of which some member has started more than once.
pub fn repeated_requests(lines: &[journal::Line]) -> BTreeSet<id::RequestId> {
    let mut starts: BTreeMap<(id::RequestId, id::Rank), usize> = BTreeMap::new();
    for line in lines_of(lines, journal::Event::Started) {
        if let Some(task) = line.task.as_ref().filter(|_| !line.idempotent) {
            *starts.entry((task.request.clone(), task.rank)).or_default() += 1;
        }
    }
    let repeated = starts.into_iter().filter(|(_, count)| *count > 1);
    repeated.map(|((request, _), _)| request).collect()
}

/// Returns the complete answer that the fake backend servers produce for `attempt` of `spec` with
/// `member_count` members.
pub fn expected_answer(
    spec: &request::RequestSpec,
    attempt: id::Attempt,
    member_count: u32,
) -> Vec<u8> {
    let behavior = backend_tasks::task_behavior(&spec.payload);
    let part = |rank| {
        let key = task::TaskKey {
            request: spec.id(),
            attempt,
            rank: id::Rank(rank),
        };
        backend_tasks::answer_part(&key, &spec.payload, behavior.answer_bytes)
    };
    (0..member_count).flat_map(part).collect()
}

/// Sends a control call to the fake backend server `server`, such as `/control/leave`. Only the
/// fake has such calls.
///
/// # Errors
///
/// Fails if the server can't be reached or refuses the call.
pub async fn send_control(server: &environment::BackendServer, path: &str) -> anyhow::Result<()> {
    let meter = Arc::new(meter::Meter::default());
    let client = client::HttpClient::new(clock::Clock::system(), meter);
    let call = client::Call {
        address: server.info.address,
        method: Method::Post,
        path,
        body: Vec::new(),
        headers: Vec::new(),
        timeout: CONTROL_TIMEOUT,
    };
    let reply = client
        .send(call)
        .await
        .context("failed to reach the fake backend server")?;
    anyhow::ensure!(reply.status.is_success(), "{path}: {}", reply.status);
    Ok(())
}

/// Returns the current time on the clock that the journals use.
pub fn now_unix_ms() -> u64 {
    clock::Clock::system().unix_ms()
}
