//! Times that a caller or operator sees, taken after the window.

use std::time::Duration;

use crate::{cluster, report};

/// Sheets applied and tasks submitted.
const PROBE_COUNT: u64 = 10;

/// Time between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest and mean of some times.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct DurationStats {
    /// The longest.
    pub max_ms: u64,
    /// Their mean.
    pub mean_ms: f64,
    /// How many they are.
    pub count: usize,
}

impl DurationStats {
    /// Sums `times` up.
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

/// From the call that applies a sheet until every entry host has it.
///
/// The entry hosts do not know each other, so each learns of it by reading the platform.
///
/// # Errors
///
/// Fails if a sheet is refused or does not arrive.
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

/// From the call that submits a request until all its members run.
///
/// # Errors
///
/// Fails if a request is refused or does not start.
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
