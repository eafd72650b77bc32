//! Sweeps: submit one request after the other, and inject a fault at a different message of each.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{request, verdict};

use crate::environment::{self, CallError, Environment};
use crate::invariants::{self, Outcome};
use crate::proxy::{self, Delivery, MessageRule, Proxy, When};

/// Time that a request may take to end after a fault.
const END_TIMEOUT: Duration = Duration::from_secs(15);

/// How long a process stays paused or a link stays cut. It is longer than the scheduler lease.
pub const FAULT_DURATION: Duration = Duration::from_millis(1_500);

/// Delay before the same request is submitted again.
const RESUBMIT_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of submissions of the same request.
const SUBMISSIONS_MAX: usize = 100;

/// Texts that mark a message as read-only. A sweep injects no fault at such messages.
const READ_ONLY_PATTERNS: [&str; 3] = [
    "GET /v1/requests/",
    "POST /table/read",
    "\"method\":\"live\"",
];

/// Upper bound on the number of messages about one request.
const MESSAGES_PER_REQUEST_MAX: usize = 20;

/// Fault to inject at the chosen message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Sends SIGKILL to the scheduler.
    KillScheduler,
    /// Sends SIGKILL to the entry host that the request is submitted to.
    KillAcceptor,
    /// Pauses the scheduler with SIGSTOP for [`FAULT_DURATION`], so that its lease expires, and
    /// resumes it with SIGCONT.
    PauseScheduler,
    /// Cuts the scheduler's link to the platform for [`FAULT_DURATION`].
    CutScheduler,
    /// Cuts the links of all entry hosts to the platform for [`FAULT_DURATION`].
    CutPlatform,
    /// Drops the message and closes its connection.
    LoseMessage,
    /// Sends SIGKILL to a backend server.
    KillServer,
    /// Cuts the link to a backend server for [`FAULT_DURATION`].
    CutServer,
    /// Cuts the link to a backend server until the leases of its tasks have expired.
    CutServerPastLease,
    /// Cancels the request.
    Cancel,
}

/// Environment variable with the stride of all sweeps. With 1, a sweep injects at every message.
const STRIDE_ENV: &str = "CAMPHORBEAM_TEST_STRIDE";

/// Stride of sweeps if the environment variable is not set.
const DEFAULT_STRIDE: usize = 2;

/// Returns the stride of sweeps, the n in "inject at every n-th message".
pub fn stride() -> usize {
    std::env::var(STRIDE_ENV)
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|stride| *stride > 0)
        .unwrap_or(DEFAULT_STRIDE)
}

/// Configuration of a sweep over the messages about a request.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// Name of the sweep, which the idempotency keys of its requests contain.
    pub name: String,
    /// Number of accelerators of each request.
    pub accelerators: u32,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    /// Run time of each request in milliseconds.
    pub run_time_ms: u64,
    /// Faults to inject, all at the same message.
    pub faults: Vec<Fault>,
    /// Whether the caller submits the request again until it is accepted.
    pub resubmits: bool,
    /// Injects at every n-th message only.
    pub stride: usize,
}

/// Result of a sweep.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of requests submitted.
    pub requests: usize,
    /// Labels of the requests, grouped by how they ended.
    pub ends: std::collections::BTreeMap<String, Vec<String>>,
    /// Result of the invariant checks.
    pub findings: invariants::Findings,
}

/// Runs a sweep in an environment with one zone.
///
/// # Errors
///
/// Fails if the environment can't be repaired before or after a request.
pub async fn run(
    environment: &mut Environment,
    sweep: &Sweep,
    partial_bound_ms: u64,
) -> anyhow::Result<Report> {
    let mut outcomes = Vec::new();
    for when in [When::Request, When::Answer] {
        // With a stride of 2, this injects at each message once: at every second one when the
        // request is sent, and at the others when the response arrives.
        let first = match when {
            When::Request => 0,
            When::Answer => sweep.stride - 1,
        };
        for message in (first..MESSAGES_PER_REQUEST_MAX).step_by(sweep.stride) {
            environment.repair().await?;
            let (outcome, was_triggered) = run_one(environment, sweep, when, message).await?;
            outcomes.push(outcome);
            // The request caused too few messages, and later ones do not exist either.
            if !was_triggered {
                break;
            }
        }
    }
    environment.repair().await?;
    let mut report = Report {
        requests: outcomes.len(),
        findings: invariants::check(&environment.journal(), &outcomes, partial_bound_ms),
        ..Report::default()
    };
    for outcome in &outcomes {
        let end = describe_end(outcome);
        report
            .ends
            .entry(end)
            .or_default()
            .push(outcome.label.clone());
    }
    Ok(report)
}

/// Describes how a request ended, in readable form.
pub fn describe_end(outcome: &Outcome) -> String {
    match (&outcome.explanation, outcome.refused) {
        (Some(explanation), _) => format!("{} {:?}", explanation.state, explanation.standing),
        (None, refused) => format!("request not recorded; last refusal: {refused:?}"),
    }
}

/// Submits one request, injects the faults at its message number `message`, and waits for its end.
/// Also returns whether the faults were injected.
async fn run_one(
    environment: &Environment,
    sweep: &Sweep,
    when: When,
    message: usize,
) -> anyhow::Result<(Outcome, bool)> {
    let key = format!("{}-{when:?}-{message}", sweep.name);
    let spec = environment::request(
        &key,
        sweep.accelerators,
        sweep.idempotent,
        sweep.run_time_ms,
    );
    let zone = environment.hosts[0].zone.to_string();
    let scheduler = environment.scheduler(&zone).await.unwrap_or(0);
    // With three entry hosts, the request alternates between the two that are not the scheduler.
    let acceptor = (scheduler + 1 + message % 2) % environment.hosts.len();
    environment.rules.watch(spec.id().as_str());
    environment.rules.add(MessageRule {
        contains: vec![spec.id().to_string()],
        lacks: READ_ONLY_PATTERNS.map(str::to_owned).to_vec(),
        skip_count: message,
        when,
        action: build_action(environment, sweep, &spec, scheduler, acceptor),
    });
    let refused = submit(environment, acceptor, &spec, sweep.resubmits).await;
    let outcome = outcome(environment, key, spec, refused).await;
    let was_triggered = environment.rules.clear() == 0;
    Ok((outcome, was_triggered))
}

/// Submits a request, repeatedly if `resubmits` is set. Returns `None` once it is accepted, and
/// otherwise the verdict of the last submission.
pub async fn submit(
    environment: &Environment,
    acceptor: usize,
    spec: &request::RequestSpec,
    resubmits: bool,
) -> Option<verdict::Verdict> {
    let mut refused = None;
    for attempt in 0..SUBMISSIONS_MAX {
        let index = (acceptor + attempt) % environment.hosts.len();
        refused = match environment.submit(index, spec).await {
            Ok(_) => return None,
            Err(CallError::Refused(refusal)) => Some(refusal.verdict),
            Err(_) => Some(verdict::Verdict::MayHaveRun),
        };
        if !resubmits {
            break;
        }
        task::sleep(RESUBMIT_DELAY).await;
    }
    refused
}

/// Waits for the end of a request and collects what the entry hosts report about it.
pub async fn outcome(
    environment: &Environment,
    label: String,
    spec: request::RequestSpec,
    refused: Option<verdict::Verdict>,
) -> Outcome {
    let id = spec.id();
    // A request refused with verdict NotRun is normally not recorded, so it has no end to wait for.
    let limit = match refused {
        Some(verdict::Verdict::NotRun) => 2 * FAULT_DURATION,
        _ => END_TIMEOUT,
    };
    let explanation = environment.await_end(&id, limit).await;
    let is_unknown = explanation.is_none() && is_unknown(environment, &id).await;
    let mut answer = None;
    let is_finished =
        |explanation: &camphorbeam_server::requests::Explanation| explanation.state == "finished";
    if explanation.as_ref().is_some_and(is_finished) {
        let mut index = 0;
        environment::wait_until(END_TIMEOUT, async || {
            index = (index + 1) % environment.hosts.len();
            answer = environment.answer(index, &id).await.ok();
            answer.is_some()
        })
        .await;
    }
    Outcome {
        label,
        spec,
        refused,
        is_unknown,
        explanation,
        answer,
    }
}

/// Returns whether an entry host confirms that there is no such request.
async fn is_unknown(environment: &Environment, id: &camphorbeam_model::id::RequestId) -> bool {
    let mut index = 0;
    environment::wait_until(END_TIMEOUT, async || {
        index = (index + 1) % environment.hosts.len();
        matches!(
            environment.explain(index, id).await,
            Err(CallError::Refused(refusal)) if refusal.code == verdict::RefusalCode::NotFound
        )
    })
    .await
}

fn build_action(
    environment: &Environment,
    sweep: &Sweep,
    spec: &request::RequestSpec,
    scheduler: usize,
    acceptor: usize,
) -> proxy::Action {
    let mut actions: Vec<proxy::Action> = Vec::new();
    for fault in &sweep.faults {
        let host = &environment.hosts[scheduler];
        let handle = host.process.handle();
        let server = &environment.servers[0];
        actions.push(match fault {
            Fault::KillScheduler => kill_process(handle),
            Fault::KillAcceptor => kill_process(environment.hosts[acceptor].process.handle()),
            Fault::PauseScheduler => pause_process(handle),
            Fault::CutScheduler => cut_links(vec![host.platform_link.clone()], FAULT_DURATION),
            Fault::CutPlatform => {
                let links = environment
                    .hosts
                    .iter()
                    .map(|host| host.platform_link.clone());
                cut_links(links.collect(), FAULT_DURATION)
            }
            Fault::LoseMessage => Box::new(|| Delivery::Lose),
            Fault::KillServer => {
                let killer = environment.server_killer(0);
                Box::new(move || {
                    killer();
                    Delivery::Forward
                })
            }
            Fault::CutServer => cut_links(vec![server.link.clone()], FAULT_DURATION),
            Fault::CutServerPastLease => {
                let duration = Duration::from_millis(environment::TASK_LEASE_MS) + FAULT_DURATION;
                cut_links(vec![server.link.clone()], duration)
            }
            Fault::Cancel => cancel_request(environment, spec),
        });
    }
    Box::new(move || {
        let deliveries: Vec<Delivery> = actions.into_iter().map(|action| action()).collect();
        match deliveries.contains(&Delivery::Lose) {
            true => Delivery::Lose,
            false => Delivery::Forward,
        }
    })
}

fn kill_process(handle: crate::process::Handle) -> proxy::Action {
    Box::new(move || {
        handle.kill();
        Delivery::Forward
    })
}

fn pause_process(handle: crate::process::Handle) -> proxy::Action {
    Box::new(move || {
        handle.pause();
        task::spawn(async move {
            task::sleep(FAULT_DURATION).await;
            handle.resume();
        });
        Delivery::Forward
    })
}

fn cut_links(links: Vec<Proxy>, duration: Duration) -> proxy::Action {
    Box::new(move || {
        links
            .iter()
            .for_each(|link| link.set_fault(proxy::Fault::Cut));
        task::spawn(async move {
            task::sleep(duration).await;
            links
                .iter()
                .for_each(|link| link.set_fault(proxy::Fault::None));
        });
        Delivery::Forward
    })
}

fn cancel_request(environment: &Environment, spec: &request::RequestSpec) -> proxy::Action {
    let cancellation = environment.cancellation(&spec.id());
    Box::new(move || {
        task::spawn(cancellation);
        Delivery::Forward
    })
}
