//! Gauge metrics of a scheduler.

use std::collections::BTreeMap;
use std::sync::Arc;

use camphorbeam_model::id;
use camphorbeam_placement::policy;
use camphorbeam_telemetry::metrics;

use crate::job;
use crate::zone::ZoneScheduler;

impl ZoneScheduler {
    /// Reports the queue length of each client account and the number of backend servers by health.
    pub fn report_gauges(&self) {
        self.report_queues();
        self.report_servers();
    }

    /// Client accounts of the sheet that have no waiting requests are reported as zero.
    fn report_queues(&self) {
        let client = &*self.deps.metrics;
        let counts = self.count_waiting_by_account();
        metrics::gauge_each(client, metrics::QUEUE_WAITING, "client_account", &counts);
    }

    fn count_waiting_by_account(&self) -> BTreeMap<Arc<str>, u64> {
        let mut counts = BTreeMap::new();
        if let Some(current) = self.deps.sheets.sheet() {
            counts.extend(current.sheet.accounts.keys().map(|name| (label(name), 0)));
        }
        let jobs = self.tables.jobs();
        let waiting = jobs.values().filter(|job| job.phase == job::Phase::Waiting);
        for job in waiting {
            *counts
                .entry(label(&job.record.spec.client_account))
                .or_default() += 1;
        }
        counts
    }

    fn report_servers(&self) {
        let mut counts: BTreeMap<&str, u64> = [("usable", 0), ("suspect", 0), ("closed", 0)].into();
        for server in self.tables.servers().values() {
            let health = match server.health() {
                policy::Health::Usable => "usable",
                policy::Health::Suspect => "suspect",
                policy::Health::Closed => "closed",
            };
            *counts.entry(health).or_default() += 1;
        }
        let client = &*self.deps.metrics;
        for (health, count) in counts {
            metrics::gauge_by(client, metrics::BACKEND_SERVERS, "health", health, count);
        }
    }
}

fn label(account: &id::ClientAccountName) -> Arc<str> {
    Arc::from(account.as_str())
}
