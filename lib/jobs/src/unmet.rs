//! Steps that no registered backend server could run even if it were empty: reports what they wait
//! for, which only operators or a new server can bring.

use std::collections::BTreeSet;

use camphorbeam_model::id;

use crate::decide::ReadyJob;
use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::open_job::{OpenJob, PlacementUnit};
use crate::server::Server;

/// Interval between two checks. Each may look at all servers for each waiting step.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// What no registered server has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnmetNeed {
    /// The service that the job's queue is sent to.
    Service,
    /// The label that the step requires.
    Label,
    /// As many resources as one task needs, on a server with the label.
    Capacity,
}

impl UnmetNeed {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Service => "service",
            Self::Label => "label",
            Self::Capacity => "capacity",
        }
    }
}

/// The steps that wait for such a server, each reported once as long as that lasts.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnmetNeeds {
    /// By job and step. The occurrences of a step need the same.
    reported: BTreeSet<(id::JobId, u32)>,
    next_check_ms: u64,
}

impl Engine {
    /// Reports the steps of `ready_jobs` that no registered server could run.
    pub(crate) fn report_unmet_needs(&mut self, ready_jobs: &[ReadyJob], now: Now) {
        if now.ms < self.unmet.next_check_ms {
            return;
        }
        self.unmet.next_check_ms = now.ms + CHECK_INTERVAL_MS;
        let mut unmet = BTreeSet::new();
        for ready_job in ready_jobs {
            let id: &id::JobId = &ready_job.job;
            let mut checked = BTreeSet::new();
            let firsts = ready_job.units.iter();
            for unit in firsts.filter(|unit| checked.insert(unit.first.step)) {
                let Some(need) = self.unmet_need(&self.jobs[id], *unit) else {
                    continue;
                };
                let step = (id.clone(), unit.first.step);
                if !self.unmet.reported.contains(&step) {
                    self.events.push(Event::NoServer {
                        job: id.clone(),
                        first: unit.first,
                        need: need.name(),
                    });
                }
                unmet.insert(step);
            }
        }
        self.unmet.reported = unmet;
    }

    fn unmet_need(&self, job: &OpenJob, unit: PlacementUnit) -> Option<UnmetNeed> {
        let step = job.step(unit.first);
        let label = step.required_label.as_ref();
        let need = step.counted_need();
        let of_service = |server: &&Server| {
            server.is_registered && server.entry.service == job.accepted.terms.service
        };
        let has_label =
            |server: &&Server| label.is_none_or(|label| server.entry.labels.contains(label));
        let is_large_enough = |server: &&Server| server.entry.capacity.can_fit(&need);
        let servers = || self.servers.values().filter(of_service);
        match () {
            () if servers()
                .filter(has_label)
                .any(|server| is_large_enough(&server)) =>
            {
                None
            }
            () if servers().next().is_none() => Some(UnmetNeed::Service),
            () if !servers().any(|server| has_label(&server)) => Some(UnmetNeed::Label),
            () => Some(UnmetNeed::Capacity),
        }
    }
}
