//! Sweeps: one request after the other, each with a fault at another of its messages.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{request, verdict};

use crate::environment::{self, CallError, Environment};
use crate::invariants::{self, Outcome};
use crate::proxy::{self, Delivery, MessageRule, Proxy, When};

/// Time for a request to come to its end after a fault.
const END_TIMEOUT: Duration = Duration::from_secs(15);

/// Time that a paused process or a cut link stays so; past the scheduler lease.
pub const FAULT_DURATION: Duration = Duration::from_millis(1_500);

/// Pause between two submissions of the same request.
const RESUBMIT_DELAY: Duration = Duration::from_millis(100);

/// Submissions of the same request.
const SUBMISSIONS_MAX: usize = 100;

/// Parts of messages that only ask for a request; they are not swept over.
const READ_ONLY_PATTERNS: [&str; 3] = [
    "GET /v1/requests/",
    "POST /table/read",
    "\"method\":\"live\"",
];

/// Messages about one request, at most.
const MESSAGES_PER_REQUEST_MAX: usize = 20;

/// What goes wrong at the chosen message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// SIGKILL to the scheduler.
    KillScheduler,
    /// SIGKILL to the entry host that the caller speaks to.
    KillAcceptor,
    /// SIGSTOP to the scheduler past its lease, then SIGCONT.
    PauseScheduler,
    /// The scheduler is cut off from the platform for a time.
    CutScheduler,
    /// Every entry host is cut off from the platform for a time.
    CutPlatform,
    /// The message is lost with its connection.
    LoseMessage,
    /// SIGKILL to a backend server.
    KillServer,
    /// A backend server is cut off for a time.
    CutServer,
    /// A backend server is cut off until after its tasks' leases have lapsed.
    CutServerPastLease,
    /// The caller cancels.
    Cancel,
}

/// Environment variable that sets the stride of all sweeps; 1 takes every message.
const STRIDE_ENV: &str = "CAMPHORBEAM_TEST_STRIDE";

/// Stride of sweeps unless the environment says otherwise.
const DEFAULT_STRIDE: usize = 2;

/// Every how many messages a sweep places its fault.
pub fn stride() -> usize {
    std::env::var(STRIDE_ENV)
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|stride| *stride > 0)
        .unwrap_or(DEFAULT_STRIDE)
}

/// A sweep over all messages about a request.
#[derive(Clone, Debug)]
pub struct Sweep {
    /// Its name; part of the keys.
    pub name: String,
    /// Accelerators of each request.
    pub accelerators: u32,
    /// Whether the requests are idempotent.
    pub idempotent: bool,
    /// Run time of each request.
    pub run_time_ms: u64,
    /// What goes wrong, all at the same message.
    pub faults: Vec<Fault>,
    /// Whether the caller submits again until it is answered.
    pub resubmits: bool,
    /// Takes every n-th message only.
    pub stride: usize,
}

/// What a sweep came to.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Requests with a fault.
    pub requests: usize,
    /// How they ended: state or refusal, with their labels.
    pub ends: std::collections::BTreeMap<String, Vec<String>>,
    /// What the journals say.
    pub findings: invariants::Findings,
}

/// Runs a sweep in an environment of one zone.
///
/// # Errors
///
/// Fails if the environment can't be repaired between two requests.
pub async fn run(
    environment: &mut Environment,
    sweep: &Sweep,
    partial_bound_ms: u64,
) -> anyhow::Result<Report> {
    let mut outcomes = Vec::new();
    for when in [When::Request, When::Answer] {
        let first = match when {
            When::Request => 0,
            When::Answer => sweep.stride - 1,
        };
        for message in (first..MESSAGES_PER_REQUEST_MAX).step_by(sweep.stride) {
            environment.repair().await?;
            let (outcome, was_triggered) = run_one(environment, sweep, when, message).await?;
            outcomes.push(outcome);
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

/// How a request ended, for people.
pub fn describe_end(outcome: &Outcome) -> String {
    match (&outcome.explanation, outcome.refused) {
        (Some(explanation), _) => format!("{} {:?}", explanation.state, explanation.standing),
        (None, refused) => format!("unknown request, submission refused {refused:?}"),
    }
}

async fn run_one(
    environment: &Environment,
    sweep: &Sweep,
    when: When,
    message: usize,
) -> anyhow::Result<(Outcome, bool)> {
    let key = format!("{}-{when:?}-{message}", sweep.name);
    let spec = environment::spec(
        &key,
        sweep.accelerators,
        sweep.idempotent,
        sweep.run_time_ms,
    );
    let zone = environment.hosts[0].zone.to_string();
    let scheduler = environment.scheduler(&zone).await.unwrap_or(0);
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

/// Submits until it is accepted; returns the verdict of the last refusal otherwise.
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

/// Waits for the end of a request and collects what the caller is told.
pub async fn outcome(
    environment: &Environment,
    label: String,
    spec: request::RequestSpec,
    refused: Option<verdict::Verdict>,
) -> Outcome {
    let id = spec.id();
    // A refused request that was not recorded has no end to wait for.
    let limit = match refused {
        Some(verdict::Verdict::NotRun) => 2 * FAULT_DURATION,
        _ => END_TIMEOUT,
    };
    let explanation = environment.await_end(&id, limit).await;
    let is_unknown = explanation.is_none() && is_unknown(environment, &id).await;
    let mut answer = None;
    let is_finished =
        |explanation: &camphorbeam_server::lookup::Explanation| explanation.state == "finished";
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

/// Whether an entry host says for sure that there is no such request.
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
        handle.freeze();
        task::spawn(async move {
            task::sleep(FAULT_DURATION).await;
            handle.thaw();
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
