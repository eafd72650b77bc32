//! Reports the state of an entry host as gauge metrics at a fixed interval.

use std::time::Duration;

use camphorbeam_telemetry::metrics;

use crate::entry_host::Core;

/// Interval between two reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Reports the gauges until the task is cancelled.
pub async fn run(core: &Core) {
    loop {
        report(core);
        core.deps.clock.sleep(REPORT_INTERVAL).await;
    }
}

fn report(core: &Core) {
    let client = &*core.deps.metrics;
    let scheduler = core.election.local_scheduler();
    metrics::gauge(client, metrics::LEASE_HELD, u64::from(scheduler.is_some()));
    metrics::gauge(client, metrics::SHEET_VERSION, core.sheets.version().0);
    let is_confirmed = u64::from(core.sheets.is_confirmed());
    metrics::gauge(client, metrics::SHEET_CONFIRMED, is_confirmed);
    if let Some(scheduler) = scheduler {
        scheduler.report_gauges();
    }
}
