//! Test run with all kinds of faults, chosen at random from a seed, over three availability zones.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{request, verdict};
use futures::future;
use rand::seq::IndexedRandom as _;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::environment::{self, CallError, Environment, Plan, ZonePlan};
use crate::{invariants, proxy, sweep};

/// Number of rounds of a run. Each round submits some requests and injects one fault.
const ROUNDS: usize = 14;

/// Number of requests that each round submits concurrently.
const REQUESTS_PER_ROUND: usize = 6;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum duration of a fault in milliseconds.
const FAULT_MAX_MS: u64 = 2_500;

/// Number of rounds after which processes that have ended are replaced.
const ROUNDS_PER_REPLACEMENT: usize = 4;

/// Percentage of requests that are cancelled.
const CANCELLED_PERCENT: u32 = 10;

/// Result of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Number of requests submitted.
    pub request_count: usize,
    /// Number of faults injected.
    pub fault_count: usize,
    /// Number of requests for each way to end.
    pub ends: std::collections::BTreeMap<String, usize>,
    /// Result of the invariant checks.
    pub findings: invariants::Findings,
}

fn plan() -> Plan {
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

/// Runs all rounds with the random choices that follow from `seed`, then checks the invariants.
///
/// # Errors
///
/// Fails if the environment does not start or can't be repaired.
pub async fn run(seed: u64, partial_bound_ms: u64) -> anyhow::Result<Report> {
    let mut environment = Environment::start(plan()).await?;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut submitted = Vec::new();
    for round in 0..ROUNDS {
        submitted.extend(submit_round(&environment, &mut rng, seed, round).await);
        inject_fault(&environment, &mut rng);
        task::sleep(ROUND_INTERVAL).await;
        if round % ROUNDS_PER_REPLACEMENT == ROUNDS_PER_REPLACEMENT - 1 {
            environment.replace_ended().await?;
        }
    }
    // Waits until the faults that end by themselves are over.
    task::sleep(Duration::from_millis(FAULT_MAX_MS)).await;
    environment.repair().await?;
    let outcomes = collect_outcomes(&environment, &mut rng, submitted).await;
    let mut report = Report {
        request_count: outcomes.len(),
        fault_count: ROUNDS,
        findings: invariants::check(&environment.journal(), &outcomes, partial_bound_ms),
        ..Report::default()
    };
    for outcome in &outcomes {
        let end = sweep::describe_end(outcome);
        *report.ends.entry(end).or_default() += 1;
    }
    Ok(report)
}

/// A request, and the verdict of its submission unless it was accepted.
type Submitted = (request::RequestSpec, Option<verdict::Verdict>);

async fn submit_round(
    environment: &Environment,
    rng: &mut ChaCha8Rng,
    seed: u64,
    round: usize,
) -> Vec<Submitted> {
    let mut submissions = Vec::new();
    for number in 0..REQUESTS_PER_ROUND {
        let key = format!("seed-{seed}-{round}-{number}");
        let accelerators = *[1, 1, 2, 3, 4].choose(rng).unwrap_or(&1);
        let run_time_ms = rng.random_range(50..900);
        let spec = environment::request(&key, accelerators, rng.random_bool(0.5), run_time_ms);
        let via = rng.random_range(0..environment.hosts.len());
        if rng.random_ratio(CANCELLED_PERCENT, 100) {
            task::spawn(environment.cancellation(&spec.id()));
        }
        submissions.push(async move {
            let refused = match environment.submit(via, &spec).await {
                Ok(_) => None,
                Err(CallError::Refused(refusal)) => Some(refusal.verdict),
                Err(_) => Some(verdict::Verdict::MayHaveRun),
            };
            (spec, refused)
        });
    }
    future::join_all(submissions).await
}

/// Injects one random fault. It ends by itself, except for a killed process.
fn inject_fault(environment: &Environment, rng: &mut ChaCha8Rng) {
    let host = &environment.hosts[rng.random_range(0..environment.hosts.len())];
    let server_index = rng.random_range(0..environment.servers.len());
    let server = &environment.servers[server_index];
    let duration = Duration::from_millis(rng.random_range(200..FAULT_MAX_MS));
    let zone_links = || {
        let in_zone = environment
            .hosts
            .iter()
            .filter(|other| other.zone == host.zone);
        in_zone
            .map(|other| other.platform_link.clone())
            .collect::<Vec<_>>()
    };
    match rng.random_range(0..11) {
        0 | 1 => host.process.handle().kill(),
        2 => environment.server_killer(server_index)(),
        3 | 4 => {
            let handle = host.process.handle();
            handle.pause();
            task::spawn(async move {
                task::sleep(duration).await;
                handle.resume();
            });
        }
        5 => inject_link_fault(
            vec![host.platform_link.clone()],
            proxy::Fault::Cut,
            duration,
        ),
        6 => inject_link_fault(zone_links(), proxy::Fault::Cut, duration),
        7 => inject_link_fault(zone_links(), proxy::Fault::DropAnswers, duration),
        8 => inject_link_fault(vec![server.link.clone()], proxy::Fault::Cut, duration),
        9 => inject_link_fault(
            vec![server.link.clone()],
            proxy::Fault::DropAnswers,
            duration,
        ),
        _ => inject_link_fault(vec![host.peer_link.clone()], proxy::Fault::Freeze, duration),
    }
}

fn inject_link_fault(links: Vec<proxy::Proxy>, fault: proxy::Fault, duration: Duration) {
    links.iter().for_each(|link| link.set_fault(fault));
    task::spawn(async move {
        task::sleep(duration).await;
        links
            .iter()
            .for_each(|link| link.set_fault(proxy::Fault::None));
    });
}

/// Resubmits about half of the requests that were not accepted, then waits until all have ended.
async fn collect_outcomes(
    environment: &Environment,
    rng: &mut ChaCha8Rng,
    submitted: Vec<Submitted>,
) -> Vec<invariants::Outcome> {
    let mut pending = Vec::new();
    for (spec, refused) in submitted {
        let via = rng.random_range(0..environment.hosts.len());
        let resubmits = refused.is_some() && rng.random_bool(0.5);
        pending.push(async move {
            let refused = match resubmits {
                true => sweep::submit(environment, via, &spec, true).await,
                false => refused,
            };
            let label = spec.key.to_string();
            sweep::outcome(environment, label, spec, refused).await
        });
    }
    future::join_all(pending).await
}
