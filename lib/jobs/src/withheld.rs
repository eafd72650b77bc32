//! Withheld starts: for how long steps have waited although their tasks would fit on what is free.
//! See docs/design/start-promise.md.

use std::collections::BTreeMap;

use camphorbeam_model::{id, job};

use crate::advice::StepName;
use crate::decide::{self, ReadyJob, MOSTLY_FREE_SHARE};
use crate::engine::{Engine, Now};
use crate::open_job::{OpenJob, PlacementUnit};
use crate::placement::{self, CapacitySnapshot};
use crate::server::Server;

/// Interval between two checks of the waiting steps.
const CHECK_INTERVAL_MS: u64 = 200;

/// Time for which a start is withheld before it is reported.
const REPORT_DELAY_MS: u64 = 1_000;

/// Interval between reports of the same step.
const REPORT_INTERVAL_MS: u64 = 2_000;

/// Number of reports in one check, since each looks at all servers.
const REPORTS_MAX: usize = 4;

#[derive(Clone, Copy, Debug)]
struct WaitingStep {
    room_since_ms: u64,
    /// Since when nothing but claims and preferences has kept the step from starting.
    startable_since_ms: Option<u64>,
    next_report_ms: u64,
}

/// A step with waiting units for which there is room.
struct StepWithRoom {
    name: StepName,
    /// The first of these units that may start, or the first one if none may.
    unit: PlacementUnit,
    is_startable: bool,
}

/// Steps that wait in calm services although their tasks would fit.
#[derive(Clone, Debug, Default)]
pub(crate) struct WithheldStarts {
    steps: BTreeMap<StepName, WaitingStep>,
    next_check_ms: u64,
}

impl WithheldStarts {
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// For how long a step that may start has had room; `None` if it had none in the last check.
    pub fn withheld_ms(&self, step: &StepName, now: Now) -> Option<u64> {
        let since_ms = self.steps.get(step)?.startable_since_ms?;
        Some(now.ms.saturating_sub(since_ms))
    }
}

/// What a unit needs of a server, apart from its constraints. Steps with the same needs share a
/// count of the tasks that fit.
type NeedKey<'a> = (&'a id::ServiceName, u64, u64, u64);

impl Engine {
    /// Notes since when each waiting step of `ready_jobs` would fit, and reports those for which
    /// that has lasted. `snapshot` is the one of this decision, after its placements; without one,
    /// the decision has placed nothing.
    pub(crate) fn check_withheld(
        &mut self,
        ready_jobs: &[ReadyJob],
        snapshot: Option<&CapacitySnapshot>,
        now: Now,
    ) {
        if now.ms < self.withheld.next_check_ms {
            return;
        }
        self.withheld.next_check_ms = now.ms + CHECK_INTERVAL_MS;
        let waiting = self.steps_with_room(ready_jobs, now);
        let mut before = std::mem::take(&mut self.withheld.steps);
        let mut to_report = Vec::new();
        for StepWithRoom {
            name,
            unit,
            is_startable,
        } in waiting
        {
            let mut step = before.remove(&name).unwrap_or(WaitingStep {
                room_since_ms: now.ms,
                startable_since_ms: None,
                next_report_ms: now.ms + REPORT_DELAY_MS,
            });
            step.startable_since_ms = match is_startable && snapshot.is_some() {
                true => step.startable_since_ms.or(Some(now.ms)),
                false => None,
            };
            if now.ms >= step.next_report_ms && to_report.len() < REPORTS_MAX {
                step.next_report_ms = now.ms + REPORT_INTERVAL_MS;
                to_report.push((name.job.clone(), unit, step.room_since_ms));
            }
            self.withheld.steps.insert(name, step);
        }
        for (job, unit, room_since_ms) in to_report {
            let event = self.withheld_event(&job, unit, room_since_ms, snapshot, now);
            self.events.push(event);
        }
    }

    /// The steps with waiting units for which there is room on a calm service. Steps of
    /// long-running tasks count on any service, if there is room for them twice.
    fn steps_with_room(&self, ready_jobs: &[ReadyJob], now: Now) -> Vec<StepWithRoom> {
        let calm = self.calm_services();
        let open_servers = self.open_servers(now);
        let mut totals: BTreeMap<NeedKey<'_>, u64> = BTreeMap::new();
        let mut found = Vec::new();
        for ready_job in ready_jobs {
            let id = &ready_job.job;
            let job = &self.jobs[id];
            let service = &job.accepted.terms.service;
            let is_calm = calm.contains_key(service);
            let step_of = |unit: &PlacementUnit| (unit.first.occurrence, unit.first.step);
            for units in ready_job.units.chunk_by(|a, b| step_of(a) == step_of(b)) {
                let step = job.step(units[0].first);
                let times = match step.is_long_running {
                    true => 2,
                    false if is_calm => 1,
                    false => continue,
                };
                let waiting = || units.iter().copied();
                let startable = waiting().find(|&unit| {
                    self.is_startable(id, unit, now) && !self.waits_for_advice(id, unit)
                });
                let first_waiting = || waiting().find(|&unit| self.is_waiting(id, unit));
                let Some(unit) = startable.or_else(first_waiting) else {
                    continue;
                };
                let need = step.counted_need();
                let tasks = times * u64::from(unit.count);
                let is_plain = step.required_label.is_none() && step.tasks_per_server_max == 0;
                let key = (
                    service,
                    need.cpu_millicores,
                    need.memory_mb,
                    need.accelerators,
                );
                let fits = match is_plain {
                    true => *totals
                        .entry(key)
                        .or_insert_with(|| self.tasks_with_room(id, unit, &open_servers, u64::MAX)),
                    false => self.tasks_with_room(id, unit, &open_servers, tasks),
                };
                if fits >= tasks {
                    found.push(StepWithRoom {
                        name: StepName::of(id, unit.first),
                        unit,
                        is_startable: startable.is_some(),
                    });
                }
            }
        }
        found
    }

    /// Services that are mostly free, and the free share of their scarcest resource in percent.
    /// Unlike in decisions, evacuated and closed servers are a part of their service, as the platform
    /// counts it.
    pub(crate) fn calm_services(&self) -> BTreeMap<&id::ServiceName, u32> {
        let mut totals: BTreeMap<&id::ServiceName, (job::Resources, job::Resources)> =
            BTreeMap::new();
        for server in self.servers.values().filter(|server| server.is_registered) {
            let (capacity, free) = totals.entry(&server.entry.service).or_default();
            *capacity = capacity.plus(&server.entry.capacity);
            *free = free.plus(&server.free());
        }
        let of_service = |(service, (capacity, free)): (_, (job::Resources, job::Resources))| {
            let share = decide::free_share(&capacity, &free);
            (share > MOSTLY_FREE_SHARE).then_some((service, (100.0 * share) as u32))
        };
        totals.into_iter().filter_map(of_service).collect()
    }

    /// Whether the rules of the platform allow work on a server.
    pub(crate) fn may_take_work(&self, server: &Server) -> bool {
        server.is_registered
            && !server.entry.is_draining
            && !self.is_evacuated(server)
            && !self.is_closed_for_maintenance(server)
    }

    /// The servers that may take work and reply, with what is free there.
    fn open_servers(&self, now: Now) -> Vec<(&Server, job::Resources)> {
        let servers = self.servers.values();
        let open = servers.filter(|server| {
            self.may_take_work(server)
                && server.is_usable(now.ms)
                && self.reachability.is_open(&server.entry.id, now.ms)
        });
        open.map(|server| (server, server.free())).collect()
    }

    /// How many tasks of a unit fit on what is free on `open_servers`. Counts no further than
    /// `enough`.
    fn tasks_with_room(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        open_servers: &[(&Server, job::Resources)],
        enough: u64,
    ) -> u64 {
        let fit = StepFit::new(&self.jobs[id], unit);
        let mut total: u64 = 0;
        for (server, free) in open_servers {
            total = total.saturating_add(fit.tasks_on(server, free));
            if total >= enough {
                break;
            }
        }
        total
    }
}

/// How many tasks of one step fit on servers, by its label and its limit for each server.
pub(crate) struct StepFit<'a> {
    step: &'a job::StepSpec,
    need: job::Resources,
    service: &'a id::ServiceName,
    /// Tasks of the step that run on each server, if their number there is limited.
    same_step_tasks: BTreeMap<&'a id::BackendServerId, u64>,
}

impl<'a> StepFit<'a> {
    pub fn new(job: &'a OpenJob, unit: PlacementUnit) -> Self {
        let step = job.step(unit.first);
        let mut same_step_tasks = BTreeMap::new();
        if step.tasks_per_server_max > 0 {
            let is_same = |index: &job::TaskIndex| {
                (index.occurrence, index.step) == (unit.first.occurrence, unit.first.step)
            };
            for (_, live) in job.runs.iter().filter(|(index, _)| is_same(index)) {
                *same_step_tasks.entry(&live.server).or_default() += 1;
            }
        }
        Self {
            step,
            need: step.counted_need(),
            service: &job.accepted.terms.service,
            same_step_tasks,
        }
    }

    /// How many tasks fit where `free` is free on a server.
    pub fn tasks_on(&self, server: &Server, free: &job::Resources) -> u64 {
        let label = self.step.required_label.as_ref();
        if server.entry.service != *self.service
            || label.is_some_and(|label| !server.entry.labels.contains(label))
        {
            return 0;
        }
        let limit = match self.step.tasks_per_server_max {
            0 => u64::MAX,
            limit => {
                let running = self.same_step_tasks.get(&server.entry.id);
                u64::from(limit).saturating_sub(running.copied().unwrap_or(0))
            }
        };
        placement::fit_count(free, &self.need).min(limit)
    }
}
