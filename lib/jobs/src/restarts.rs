//! Delays between the restarts of tasks that end at once again and again: long-running ones,
//! fillers that refuse to be paced, and tasks whose starts are refused as invalid, or for a ticket
//! that no terms require.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, job};

use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::live_run::RunPhase;
use crate::open_job::PlacementUnit;
use crate::orders::EndKind;

/// A run that ends within this time counts as ended at once.
const QUICK_RUN_MS: u64 = 3_000;

/// Delay after the first quick end; doubled with each further one.
const DELAY_MIN_MS: u64 = 250;

/// Upper bound on the delay.
const DELAY_MAX_MS: u64 = 8_000;

/// Number of servers that a task avoids because it has failed there.
const AVOIDED_SERVERS_MAX: usize = 4;

/// How long the servers are avoided once the delay is over. Short, since there may be no others.
const AVOIDANCE_MS: u64 = 2_000;

#[derive(Clone, Debug, Default)]
struct Restart {
    /// Quick ends in succession.
    quick_ends: u32,
    /// The newest run that is counted. Several members of a gang may report the end of one run.
    last_run: id::Run,
    due_ms: u64,
    failed_servers: Vec<id::BackendServerId>,
}

/// The units whose last run has ended at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct Restarts {
    units: BTreeMap<(id::JobId, PlacementUnit), Restart>,
}

impl Restarts {
    fn get(&self, job: &id::JobId, unit: PlacementUnit) -> Option<&Restart> {
        match self.units.is_empty() {
            true => None,
            false => self.units.get(&(job.clone(), unit)),
        }
    }

    /// Whether the unit may be started at `now_ms`.
    pub fn is_due(&self, job: &id::JobId, unit: PlacementUnit, now_ms: u64) -> bool {
        let restart = self.get(job, unit);
        restart.is_none_or(|restart| now_ms >= restart.due_ms)
    }

    /// Whether the last run of the unit has ended at once.
    pub fn has_quick_end(&self, job: &id::JobId, unit: PlacementUnit) -> bool {
        self.get(job, unit).is_some()
    }

    /// Adds the servers that the unit avoids at `now_ms` to `excluded`.
    pub fn with_failed_servers(
        &self,
        job: &id::JobId,
        unit: PlacementUnit,
        mut excluded: BTreeSet<id::BackendServerId>,
        now_ms: u64,
    ) -> BTreeSet<id::BackendServerId> {
        let restart = self.get(job, unit);
        let restart = restart.filter(|restart| now_ms < restart.due_ms + AVOIDANCE_MS);
        let servers = restart.map(|restart| restart.failed_servers.iter().cloned());
        excluded.extend(servers.into_iter().flatten());
        excluded
    }

    /// Records that a run has ended at once, and returns the event for it unless it is known;
    /// `failed_on` is its server if it is to be avoided.
    pub fn record_quick_end(
        &mut self,
        job: &id::JobId,
        unit: PlacementUnit,
        run: id::Run,
        failed_on: Option<id::BackendServerId>,
        now_ms: u64,
    ) -> Option<Event> {
        let restart = self.units.entry((job.clone(), unit)).or_default();
        let is_new = restart.last_run < run;
        let mut delay_ms = 0;
        if is_new {
            restart.last_run = run;
            restart.quick_ends += 1;
            let doublings = (restart.quick_ends - 1).min(u64::BITS / 4);
            delay_ms = (DELAY_MIN_MS << doublings).min(DELAY_MAX_MS);
            restart.due_ms = now_ms + delay_ms;
        }
        restart.failed_servers.extend(failed_on);
        let surplus = restart
            .failed_servers
            .len()
            .saturating_sub(AVOIDED_SERVERS_MAX);
        restart.failed_servers.drain(..surplus);
        is_new.then(|| Event::RestartDelayed {
            job: job.clone(),
            first: unit.first,
            quick_ends: restart.quick_ends,
            delay_ms,
        })
    }

    /// Clears the quick ends of a unit, unless `run` or a later one is counted among them.
    fn clear_before(&mut self, job: &id::JobId, unit: PlacementUnit, run: id::Run) {
        let key = (job.clone(), unit);
        if self
            .units
            .get(&key)
            .is_some_and(|known| known.last_run < run)
        {
            self.units.remove(&key);
        }
    }

    /// Removes what is known about an ended job.
    pub fn forget(&mut self, job: &id::JobId) {
        self.units.retain(|(known, _), _| known != job);
    }
}

impl Engine {
    /// Records the end of a run of a long-running task, before the run is removed. Ends that the
    /// task did not cause itself, such as a stop or the loss of its server, delay nothing, and
    /// clear the quick ends before it if the run was long.
    pub(crate) fn record_restart(
        &mut self,
        id: &id::JobId,
        index: job::TaskIndex,
        how: &'static str,
        now: Now,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(live) = job.runs.get(&index) else {
            return;
        };
        if !job.step(index).is_long_running {
            return;
        }
        let unit = job.unit_of(index);
        let is_own_end = how == EndKind::Failed.name() || how == EndKind::Done.name();
        let run_ms = match live.phase {
            RunPhase::Present { since_ms } if is_own_end => now.ms.saturating_sub(since_ms),
            RunPhase::StartSent { .. } if is_own_end => 0,
            _ => {
                // The end of a filler that refuses to be paced is counted when it is stopped.
                let run = live.run;
                let since_ms = live.first_present_ms.unwrap_or(now.ms);
                if now.ms.saturating_sub(since_ms) >= QUICK_RUN_MS {
                    self.restarts.clear_before(id, unit, run);
                }
                return;
            }
        };
        match run_ms < QUICK_RUN_MS {
            true => {
                let has_failed = how == EndKind::Failed.name();
                let failed_on = has_failed.then(|| live.server.clone());
                let event = self
                    .restarts
                    .record_quick_end(id, unit, live.run, failed_on, now.ms);
                self.events.extend(event);
            }
            false => {
                self.restarts.units.remove(&(id.clone(), unit));
            }
        }
    }
}
