//! The disruption budget of long-running steps: how many of their tasks may be unavailable because
//! the scheduler stops them. See docs/design/long-running.md for the rules and their reasons.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, job};

use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::live_run::RunPhase;
use crate::open_job::OpenJob;
use crate::placement;
use crate::server::SILENCE_MAX_MS;

/// Work that the stop of a long-running task loses: the time until it is available again, taken
/// from a stop, a start and some seconds until the task reports 100 percent.
pub(crate) const RESTART_LOSS_MS: u64 = 8_000;

/// Speed, relative to the median, of a server to which a task may be moved from a degraded one.
const MOVE_TARGET_SPEED_RATIO: f64 = 0.6;

/// Interval between two reports of refused stops in one step. The refusal is repeated with each
/// scan while the reason for the stop lasts.
const REPORT_INTERVAL_MS: u64 = 10_000;

/// A step of one occurrence of a job.
type StepKey = (id::JobId, u32, u32);

/// When a refused stop was last reported, by step.
#[derive(Clone, Debug, Default)]
pub(crate) struct RefusedStops {
    reported_ms: BTreeMap<StepKey, u64>,
}

impl RefusedStops {
    /// Removes what is known about an ended job.
    pub fn forget(&mut self, job: &id::JobId) {
        self.reported_ms.retain(|(known, _, _), _| known != job);
    }

    fn is_report_due(&mut self, step: StepKey, now_ms: u64) -> bool {
        let reported_ms = self.reported_ms.get(&step);
        let is_due = reported_ms.is_none_or(|at_ms| now_ms >= at_ms + REPORT_INTERVAL_MS);
        if is_due {
            self.reported_ms.insert(step, now_ms);
        }
        is_due
    }
}

impl Engine {
    /// Whether a task is known to be available: its run is present, the server replies, and its
    /// newest report says 100 percent.
    fn is_available(&self, job: &OpenJob, index: job::TaskIndex, now: Now) -> bool {
        let live = job.runs.get(&index).filter(|live| live.is_available);
        let live = live.filter(|live| matches!(live.phase, RunPhase::Present { .. }));
        let server = live.and_then(|live| self.servers.get(&live.server));
        let last_reply_ms = server.and_then(|server| server.last_reply_ms);
        last_reply_ms.is_some_and(|at_ms| now.ms < at_ms + SILENCE_MAX_MS)
    }

    /// The tasks of the step of `index` that are not known to be available, whatever the cause.
    /// Causes aren't stored, and a successor has to find the same tasks.
    fn unavailable_tasks(
        &self,
        job: &OpenJob,
        index: job::TaskIndex,
        now: Now,
    ) -> BTreeSet<job::TaskIndex> {
        let ranks = 0..job.step(index).task_count;
        ranks
            .map(|rank| job::TaskIndex { rank, ..index })
            .filter(|index| !self.is_available(job, *index, now))
            .collect()
    }

    /// Number of unavailable tasks of a step after the stop of some of its tasks, if that is more
    /// than the disruption budget of the step allows. Always `None` for steps that aren't
    /// long-running.
    fn unavailable_beyond_budget(
        &self,
        id: &id::JobId,
        stops: &[job::TaskIndex],
        now: Now,
    ) -> Option<usize> {
        let (job, &first) = (self.jobs.get(id)?, stops.first()?);
        let step = job.step(first);
        if !step.is_long_running || job.progress.state.is_final() {
            return None;
        }
        let mut unavailable = self.unavailable_tasks(job, first, now);
        unavailable.extend(stops);
        let unavailable = unavailable.len();
        (unavailable as u64 > u64::from(step.disrupted_tasks_max)).then_some(unavailable)
    }

    /// Whether the stop of tasks of one step that can be left out is within the disruption budget
    /// of the step. Always true for steps that aren't long-running. Reports a refusal, with the
    /// reason for the stop.
    pub(crate) fn may_disrupt(
        &mut self,
        id: &id::JobId,
        stops: &[job::TaskIndex],
        reason: &'static str,
        now: Now,
    ) -> bool {
        let Some(unavailable) = self.unavailable_beyond_budget(id, stops, now) else {
            return true;
        };
        let task = stops[0];
        let key = (id.clone(), task.occurrence, task.step);
        if self.refused_stops.is_report_due(key, now.ms) {
            self.events.push(Event::StopRefused {
                job: id.clone(),
                task,
                reason,
                unavailable,
                unavailable_max: self.jobs[id].step(task).disrupted_tasks_max,
            });
        }
        false
    }

    /// Tasks that end if everything on a server is stopped, by step. A gang with a member there
    /// counts as a whole. Units without an active run are left out: they end anyway, so that a
    /// server whose tasks have just been stopped may still be taken down.
    fn stops_on(
        &self,
        server: &id::BackendServerId,
    ) -> BTreeMap<StepKey, BTreeSet<job::TaskIndex>> {
        let mut stops: BTreeMap<StepKey, BTreeSet<job::TaskIndex>> = BTreeMap::new();
        for (id, index) in self.runs_on(server) {
            let job = &self.jobs[&id];
            let unit = job.unit_of(index);
            let mut lives = unit.members().filter_map(|index| job.runs.get(&index));
            if lives.any(|live| live.is_active()) {
                let key = (id, index.occurrence, index.step);
                stops.entry(key).or_default().extend(unit.members());
            }
        }
        stops
    }

    /// Whether all long-running tasks on a server may be stopped together, for example for the
    /// maintenance of its machine.
    pub fn keeps_budgets_without(&self, server: &id::BackendServerId, now: Now) -> bool {
        self.stops_on(server)
            .into_iter()
            .all(|((id, _, _), stops)| {
                let stops: Vec<job::TaskIndex> = stops.into_iter().collect();
                self.unavailable_beyond_budget(&id, &stops, now).is_none()
            })
    }

    /// Like [`keeps_budgets_without`](Self::keeps_budgets_without), and reports a refusal.
    pub fn may_stop_tasks_on(
        &mut self,
        server: &id::BackendServerId,
        reason: &'static str,
        now: Now,
    ) -> bool {
        let mut stops = self.stops_on(server).into_iter();
        stops.all(|((id, _, _), stops)| {
            let stops: Vec<job::TaskIndex> = stops.into_iter().collect();
            self.may_disrupt(&id, &stops, reason, now)
        })
    }

    /// Long-running tasks of a job that may all be stopped within the budgets of their steps; gangs
    /// as a whole or not at all. Tasks that are unavailable anyway come first.
    pub(crate) fn stoppable_long_running(
        &self,
        job: &OpenJob,
        now: Now,
    ) -> BTreeSet<job::TaskIndex> {
        let mut stoppable = BTreeSet::new();
        let steps: BTreeSet<job::TaskIndex> = job
            .runs
            .keys()
            .map(|index| job::TaskIndex { rank: 0, ..*index })
            .collect();
        for first in steps {
            let step = job.step(first);
            if !step.is_long_running || step.disrupted_tasks_max == 0 {
                continue;
            }
            let unavailable = self.unavailable_tasks(job, first, now);
            let disrupted_max = step.disrupted_tasks_max as usize;
            let Some(mut left) = disrupted_max.checked_sub(unavailable.len()) else {
                continue;
            };
            let mut units: Vec<(usize, Vec<job::TaskIndex>)> = Vec::new();
            for rank in (0..step.task_count).step_by(job.unit_of(first).count.max(1) as usize) {
                let unit = job.unit_of(job::TaskIndex { rank, ..first });
                let members: Vec<_> = unit.members().collect();
                let available = members.iter().filter(|index| !unavailable.contains(index));
                units.push((available.count(), members));
            }
            units.sort();
            for (available, members) in units {
                if available <= left {
                    left -= available;
                    stoppable.extend(members);
                }
            }
        }
        stoppable
    }

    /// Whether work of the same service is ready to start, which may take the room that a moved
    /// task of the job needs.
    pub(crate) fn has_waiting_work(&mut self, id: &id::JobId, now: Now) -> bool {
        let service = self.jobs[id].accepted.terms.service.clone();
        let mut jobs = self.jobs.values_mut();
        jobs.any(|job| {
            job.accepted.terms.service == service && !job.ready_units(now.unix_ms).is_empty()
        })
    }

    /// Whether a long-running task on a degraded server runs better elsewhere: its step has a
    /// budget, and servers that are fast enough have room for its unit.
    pub(crate) fn gains_by_move(&self, job: &OpenJob, index: job::TaskIndex, now: Now) -> bool {
        let step = job.step(index);
        if step.disrupted_tasks_max == 0 {
            return false;
        }
        let median = self.median_speed();
        let need = step.counted_need();
        let service = &job.accepted.terms.service;
        let has_place = |wanted: &Option<std::sync::Arc<str>>, has: &dyn Fn(&str) -> bool| {
            wanted.as_ref().is_none_or(|wanted| has(wanted))
        };
        let targets = self.servers.values().filter(|server| {
            let entry = &server.entry;
            let has_label = |label: &str| entry.labels.iter().any(|known| &**known == label);
            let is_rack = |rack: &str| entry.rack().is_some_and(|known| &**known == rack);
            &entry.service == service
                && server.speed_ratio >= MOVE_TARGET_SPEED_RATIO * median
                && self.accepts_work(server, now)
                && has_place(&step.required_label, &has_label)
                && has_place(&step.data_rack, &is_rack)
        });
        let fits = targets.map(|server| placement::fit_count(&server.free(), &need));
        fits.sum::<u64>() >= u64::from(job.unit_of(index).count)
    }
}
