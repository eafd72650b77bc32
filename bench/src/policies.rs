//! The placement policies that the benchmark compares.

use camphorbeam_placement::{default_policy, fifo, fifo_backfill, policy, quota_count, weights};

/// Names of all policies. The last one is the scheduler's own policy; the others are baselines.
pub const NAMES: [&str; 4] = ["fifo", "fifo-backfill", "quota-count", "camphorbeam"];

/// Creates the policy with this name. Only `camphorbeam` uses the weights.
pub fn by_name(name: &str, weights: &weights::Weights) -> Option<Box<dyn policy::Policy>> {
    match name {
        "fifo" => Some(Box::new(fifo::Fifo::new())),
        "fifo-backfill" => Some(Box::new(fifo_backfill::FifoBackfill::new())),
        "quota-count" => Some(Box::new(quota_count::QuotaCount::new())),
        "camphorbeam" => Some(Box::new(default_policy::DefaultPolicy::new(
            weights.clone(),
        ))),
        _ => None,
    }
}
