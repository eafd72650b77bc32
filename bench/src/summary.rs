//! Summarizes a replay. The field names carry the units.

use std::collections::BTreeMap;

use camphorbeam_model::id;
use camphorbeam_placement::policy;

use crate::jobs;
use crate::replay::{Outcome, ReplayResults, RequestResult, Scenario};

/// Time within which urgent work covered by a guarantee must start, in milliseconds.
pub const GUARANTEED_START_MS: u64 = 5_300;

/// Completion ratios of a group of requests.
///
/// The ratio is the time from arrival to the end, divided by the run time on the empty cluster. It
/// is defined for finished requests only.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Completion {
    /// Number of finished requests.
    pub finished_requests: usize,
    /// Median of the completion ratios.
    pub completion_ratio_p50: f64,
    /// 99th percentile of the completion ratios.
    pub completion_ratio_p99: f64,
}

/// Results of one list under one policy.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Summary {
    /// Name of the policy.
    pub policy: String,
    /// Name of the list.
    pub list: String,
    /// Name of the cluster.
    pub cluster: String,
    /// Seed of generated lists.
    pub seed: u64,
    /// Number of requests in the list.
    pub requests: usize,
    /// Requests that were refused because they can never run.
    pub refused_requests: usize,
    /// Requests that were cancelled while waiting.
    pub cancelled_requests: usize,
    /// Requests that failed in their last permitted attempt.
    pub failed_requests: usize,
    /// Requests that were still waiting or running when the replay ended.
    pub unfinished_requests: usize,
    /// Completion ratios of all finished requests.
    #[serde(flatten)]
    pub completion: Completion,
    /// Mean of the completion ratios.
    pub completion_ratio_mean: f64,
    /// Share of the free and borrowed accelerators that can't serve the largest waiting shape, over
    /// the time in which a request for accelerators waits.
    pub fragmentation_ratio: f64,
    /// The same share of the free accelerators only.
    pub fragmentation_free_ratio: f64,
    /// Requests for at least as many accelerators as the largest backend server has, without
    /// refused and cancelled ones.
    pub large_gang_requests: usize,
    /// Mean time from arrival to the first start of these requests, in seconds. For those that
    /// never started, it lasts until the end of the replay.
    pub large_gang_wait_mean_s: f64,
    /// 99th percentile of the same time, in seconds.
    pub large_gang_wait_p99_s: f64,
    /// Requests that arrived while a guaranteed shape of their account was unused.
    pub guaranteed_requests: usize,
    /// Guaranteed requests that did not start within 5.3 s.
    pub guarantee_violations: usize,
    /// Urgent requests among the guaranteed ones.
    pub urgent_guaranteed_requests: usize,
    /// Longest time from arrival to the first start of an urgent guaranteed request, in seconds.
    pub urgent_guaranteed_wait_max_s: f64,
    /// Number of preemptions.
    pub preemptions: u64,
    /// Work lost to preemptions, in accelerator-seconds.
    pub work_lost_accelerator_s: f64,
    /// Allocated accelerator time, divided by the accelerator time of the cluster until the end.
    pub utilisation_ratio: f64,
    /// Time until the last request ended, in seconds.
    pub makespan_s: f64,
    /// Median duration of a decision on this machine, in microseconds.
    pub decision_p50_us: f64,
    /// 99th percentile of the duration of a decision, in microseconds.
    pub decision_p99_us: f64,
    /// Completion ratios by kind.
    pub by_kind: BTreeMap<id::KindName, Completion>,
    /// Completion ratios by client account.
    pub by_client_account: BTreeMap<id::ClientAccountName, Completion>,
}

/// Describes the replay that is summarized.
#[derive(Clone, Copy, Debug)]
pub struct ReplayInfo<'a> {
    /// Name of the policy.
    pub policy: &'a str,
    /// Name of the cluster.
    pub cluster: &'a str,
    /// Seed of generated lists.
    pub seed: u64,
    /// The replayed list.
    pub scenario: &'a Scenario,
    /// Backend servers of the cluster.
    pub servers: &'a [policy::Server],
}

/// Computes the summary of a replay.
pub fn summarize(info: ReplayInfo<'_>, results: &ReplayResults) -> Summary {
    let rows = &info.scenario.rows;
    let pairs: Vec<(&jobs::JobRow, &RequestResult)> = rows.iter().zip(&results.requests).collect();
    let count = |outcome: Outcome| {
        let requests = results.requests.iter();
        requests.filter(|result| result.outcome == outcome).count()
    };
    let largest = info.servers.iter().map(|s| s.accelerators).max();
    let whole_server = largest.unwrap_or(1).max(1);
    let end_ms = results.ended_at_ms;
    let is_large = |(job, result): &&(&jobs::JobRow, &RequestResult)| {
        let counts_as_waiting = !matches!(result.outcome, Outcome::Refused | Outcome::Cancelled);
        job.accelerators >= whole_server && counts_as_waiting
    };
    let large_waits = sorted(
        pairs
            .iter()
            .filter(is_large)
            .map(|(_, r)| wait_s(r, end_ms)),
    );
    let guaranteed: Vec<&(&jobs::JobRow, &RequestResult)> = pairs
        .iter()
        .filter(|(_, r)| r.is_entitled && r.outcome != Outcome::Refused)
        .collect();
    let is_late = |pair: &&&(&jobs::JobRow, &RequestResult)| is_late(pair.1, end_ms);
    let urgent = guaranteed.iter().filter(|(job, _)| job.urgent);
    let urgent_waits = sorted(urgent.map(|(_, result)| wait_s(result, end_ms)));
    let ratios = sorted(
        pairs
            .iter()
            .filter_map(|(_, result)| completion_ratio(result)),
    );
    let accelerators: u32 = info.servers.iter().map(|s| s.accelerators).sum();
    Summary {
        policy: info.policy.to_owned(),
        list: info.scenario.name.clone(),
        cluster: info.cluster.to_owned(),
        seed: info.seed,
        requests: rows.len(),
        refused_requests: count(Outcome::Refused),
        cancelled_requests: count(Outcome::Cancelled),
        failed_requests: count(Outcome::Failed),
        unfinished_requests: count(Outcome::Unfinished),
        completion: completion(&ratios),
        completion_ratio_mean: mean(&ratios),
        fragmentation_ratio: results.fragmentation.ratio(),
        fragmentation_free_ratio: results.fragmentation_free.ratio(),
        large_gang_requests: large_waits.len(),
        large_gang_wait_mean_s: mean(&large_waits),
        large_gang_wait_p99_s: quantile(&large_waits, 0.99),
        guaranteed_requests: guaranteed.len(),
        guarantee_violations: guaranteed.iter().filter(is_late).count(),
        urgent_guaranteed_requests: urgent_waits.len(),
        urgent_guaranteed_wait_max_s: urgent_waits.last().copied().unwrap_or(0.0),
        preemptions: results.preemptions,
        work_lost_accelerator_s: results.work_lost_ms as f64 / 1_000.0,
        utilisation_ratio: results.busy_ms as f64
            / (f64::from(accelerators) * end_ms as f64).max(1.0),
        makespan_s: end_ms as f64 / 1_000.0,
        decision_p50_us: results.decisions_ns.value_at_quantile(0.5) as f64 / 1_000.0,
        decision_p99_us: results.decisions_ns.value_at_quantile(0.99) as f64 / 1_000.0,
        by_kind: completion_by(&pairs, |job| job.kind.clone()),
        by_client_account: completion_by(&pairs, |job| job.client_account.clone()),
    }
}

fn completion_by<K: Ord>(
    pairs: &[(&jobs::JobRow, &RequestResult)],
    key: impl Fn(&jobs::JobRow) -> K,
) -> BTreeMap<K, Completion> {
    let mut ratios: BTreeMap<K, Vec<f64>> = BTreeMap::new();
    for (job, result) in pairs {
        let of_key = ratios.entry(key(job)).or_default();
        of_key.extend(completion_ratio(result));
    }
    ratios
        .into_iter()
        .map(|(key, ratios)| (key, completion(&sorted(ratios.into_iter()))))
        .collect()
}

fn completion(ratios: &[f64]) -> Completion {
    Completion {
        finished_requests: ratios.len(),
        completion_ratio_p50: quantile(ratios, 0.5),
        completion_ratio_p99: quantile(ratios, 0.99),
    }
}

fn completion_ratio(result: &RequestResult) -> Option<f64> {
    let passed_ms = result.ended_at_ms.saturating_sub(result.arrived_at_ms);
    let is_finished = result.outcome == Outcome::Finished;
    is_finished.then(|| passed_ms as f64 / result.ideal_ms.max(1.0))
}

/// Returns the time from arrival to the first start, in seconds. Without a start, it lasts until
/// the cancellation or, for all other requests, until the end of the replay.
fn wait_s(result: &RequestResult, end_ms: u64) -> f64 {
    let until_ms = match result.outcome {
        Outcome::Cancelled => result.started_at_ms.unwrap_or(result.ended_at_ms),
        _ => result.started_at_ms.unwrap_or(end_ms),
    };
    until_ms.saturating_sub(result.arrived_at_ms) as f64 / 1_000.0
}

fn is_late(result: &RequestResult, end_ms: u64) -> bool {
    wait_s(result, end_ms) * 1_000.0 > GUARANTEED_START_MS as f64
}

fn sorted(values: impl Iterator<Item = f64>) -> Vec<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values
}

fn mean(values: &[f64]) -> f64 {
    match values.len() {
        0 => 0.0,
        count => values.iter().sum::<f64>() / count as f64,
    }
}

/// Returns the nearest-rank quantile of sorted values; zero if there are none.
fn quantile(sorted: &[f64], quantile: f64) -> f64 {
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted
        .get(rank.saturating_sub(1))
        .copied()
        .unwrap_or_default()
}
