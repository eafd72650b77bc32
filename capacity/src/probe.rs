//! Measures durations that callers and operators observe, after the measurement window.

use std::time::Duration;

use crate::{cluster, report};

/// Number of sheets applied, and of tasks submitted.
const PROBE_COUNT: u64 = 10;

/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Maximum and mean of some durations.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct DurationStats {
    /// Maximum.
    pub max_ms: u64,
    /// Mean; zero if there are no durations.
    pub mean_ms: f64,
    /// Number of durations.
    pub count: usize,
}

impl DurationStats {
    /// Computes the statistics of `times`.
    pub fn new(times: &[Duration]) -> Self {
        let max = times.iter().max().copied().unwrap_or_default();
        let sum: Duration = times.iter().sum();
        Self {
            max_ms: camphorbeam_clock::as_ms(max),
            mean_ms: sum.as_secs_f64() * 1_000.0 / times.len().max(1) as f64,
            count: times.len(),
        }
    }
}

/// Measures the time from the call that applies a sheet until every entry host has it.
///
/// The measured entry hosts don't know each other, so each learns of the sheet only from the
/// platform.
///
/// # Errors
///
/// Fails if a sheet is refused or doesn't reach every entry host before the timeout.
pub async fn sheet_spread(
    cluster: &cluster::Cluster,
    version: u64,
) -> anyhow::Result<DurationStats> {
    let address = cluster.address(report::Role::Entry)?;
    let mut times = Vec::new();
    for replaced in version..version + PROBE_COUNT {
        let started_at = cluster.clock.now();
        cluster.apply_sheet(address, replaced).await?;
        cluster.await_sheet(replaced + 1, POLL_INTERVAL).await?;
        times.push(cluster.clock.now().since(started_at));
    }
    Ok(DurationStats::new(&times))
}

/// Measures the time from the call that submits a request until all its members run.
///
/// # Errors
///
/// Fails if a request is refused or doesn't run before the timeout.
pub async fn start_delay(
    cluster: &cluster::Cluster,
    running: usize,
) -> anyhow::Result<DurationStats> {
    let address = cluster.address(report::Role::Entry)?;
    let mut times = Vec::new();
    for number in running..running + PROBE_COUNT as usize {
        let started_at = cluster.clock.now();
        cluster.submit(address, number).await?;
        cluster.await_running(number + 1, POLL_INTERVAL).await?;
        times.push(cluster.clock.now().since(started_at));
    }
    Ok(DurationStats::new(&times))
}
