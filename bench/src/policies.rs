//! The policies that are compared.

use camphorbeam_placement::{default_policy, fifo, fifo_backfill, policy, quota_count, weights};

/// Names of all policies, the product's last.
pub const NAMES: [&str; 4] = ["fifo", "fifo-backfill", "quota-count", "camphorbeam"];

/// The policy of that name.
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
