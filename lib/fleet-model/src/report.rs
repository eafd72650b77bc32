//! Evaluates a simulated day: the value of completed jobs and the work lost.

use camphorbeam_model::id;

use crate::load::{Arrival, JobKind};
use crate::Simulation;

/// Multiple of the objective after which a completed job has no value.
const LATE_LIMIT_OBJECTIVES: u64 = 3;

/// Value that is deducted for each core-second of lost work.
const LOST_CORE_S_COST: f64 = 0.0018;

/// Results of one kind of job.
#[derive(Clone, Debug, Default)]
pub struct KindReport {
    /// Jobs that don't always fail.
    pub feasible: usize,
    /// Jobs completed within their objective.
    pub in_time: usize,
    /// Jobs completed after their objective, but within three times the objective.
    pub late: usize,
    /// Value of the completed jobs, at most [`KindReport::value_total`].
    pub value: f64,
    /// Value if all feasible jobs completed within their objective.
    pub value_total: f64,
}

/// Results of a day.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Results of each kind.
    pub kinds: Vec<KindReport>,
    /// Results of the tenth of each kind with the most work.
    pub largest: Vec<KindReport>,
    /// Core-seconds of lost work.
    pub lost_core_s: f64,
}

impl Report {
    /// Returns the value of completed jobs as a share of the total value.
    pub fn value_ratio(&self) -> f64 {
        let value_total: f64 = self.kinds.iter().map(|kind| kind.value_total).sum();
        self.kinds.iter().map(|kind| kind.value).sum::<f64>() / value_total
    }

    /// Returns the value ratio after deducting the cost of lost work.
    pub fn net_ratio(&self) -> f64 {
        let value_total: f64 = self.kinds.iter().map(|kind| kind.value_total).sum();
        self.value_ratio() - self.lost_core_s * LOST_CORE_S_COST / value_total
    }
}

fn add_job(
    report: &mut KindReport,
    kind: &JobKind,
    size_ratio: f64,
    completion_ms: Option<u64>,
    objective_ms: u64,
) {
    let size = (0.3 + 0.7 * size_ratio).min(4.0);
    report.feasible += 1;
    report.value_total += kind.value.0 * size;
    match completion_ms {
        Some(completion_ms) if completion_ms <= objective_ms => {
            report.in_time += 1;
            report.value += kind.value.0 * size;
        }
        Some(completion_ms) if completion_ms <= LATE_LIMIT_OBJECTIVES * objective_ms => {
            report.late += 1;
            report.value += kind.value.1 * size;
        }
        _ => {}
    }
}

/// Evaluates the jobs `ids` that were submitted for `arrivals`.
pub fn evaluate(
    sim: &Simulation,
    kinds: &[JobKind],
    arrivals: &[Arrival],
    ids: &[id::JobId],
) -> Report {
    let mut report = Report {
        kinds: vec![KindReport::default(); kinds.len()],
        largest: vec![KindReport::default(); kinds.len()],
        lost_core_s: sim.lost_core_s,
    };
    for (number, kind) in kinds.iter().enumerate() {
        let of_kind: Vec<_> = arrivals
            .iter()
            .zip(ids)
            .filter(|(arrival, _)| arrival.kind == number && !arrival.behavior.always_fails)
            .collect();
        let mean = of_kind
            .iter()
            .map(|(arrival, _)| arrival.core_s)
            .sum::<f64>()
            / of_kind.len().max(1) as f64;
        let mut sizes: Vec<f64> = of_kind.iter().map(|(arrival, _)| arrival.core_s).collect();
        sizes.sort_by(f64::total_cmp);
        let top_tenth_min = sizes
            .get(sizes.len() * 9 / 10)
            .copied()
            .unwrap_or(f64::INFINITY);
        for (arrival, id) in of_kind {
            let accepted_ms = sim.accepted[id].accepted_unix_ms;
            let completion_ms = sim.completed_at_ms.get(id).map(|at_ms| at_ms - accepted_ms);
            let size_ratio = arrival.core_s / mean;
            add_job(
                &mut report.kinds[number],
                kind,
                size_ratio,
                completion_ms,
                arrival.objective_ms,
            );
            if arrival.core_s >= top_tenth_min {
                add_job(
                    &mut report.largest[number],
                    kind,
                    size_ratio,
                    completion_ms,
                    arrival.objective_ms,
                );
            }
        }
    }
    report
}
