//! Connects the detection of interference with the engine: passes hold replies and placements to
//! it, and its costs to placement.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, job};

use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::interference::{KindId, ListedRun, Mode, PairReport, Snapshot, RUNS_MAX};
use crate::live_run::{LiveRun, RunPhase};
use crate::open_job::{OpenJob, PlacementUnit};
use crate::orders::HoldReply;

/// Longest image that names a kind, in bytes. Limits the memory for kinds.
const IMAGE_MAX_BYTES: usize = 256;

/// Largest gang whose progress is measured. The work for a reply grows with its members.
const GANG_TASKS_MAX: u32 = 16;

/// Highest ratio between the speeds of the servers of a gang that is measured. A gang progresses at
/// the speed of its slowest member, which hides slower progress of the others.
const GANG_SPEED_SPREAD_MAX: f64 = 1.1;

/// Number of cores that an accelerator counts as.
const CORES_PER_ACCELERATOR: f64 = 8.0;

/// Run time that is assumed for tasks without an estimate.
const RUN_TIME_MIN_MS: u64 = 1_000;

/// The name of the kind of a step's tasks.
fn kind_name<'a>(accepted: &'a job::AcceptedJob, step: u32) -> Cow<'a, str> {
    match &accepted.spec.steps[step as usize].image {
        Some(image) if image.len() <= IMAGE_MAX_BYTES => Cow::Borrowed(image),
        _ => Cow::Owned(format!("queue {} step {step}", accepted.queue)),
    }
}

fn core_s(step: &job::StepSpec) -> f64 {
    let cores = step.need.cpu_millicores as f64 / 1_000.0
        + CORES_PER_ACCELERATOR * step.need.accelerators as f64;
    cores * step.estimate_ms.max(RUN_TIME_MIN_MS) as f64 / 1_000.0
}

impl Engine {
    /// Passes the runs that a reply lists to the detection. Called before the reply changes runs.
    pub(crate) fn observe_interference(
        &mut self,
        server_id: &id::BackendServerId,
        reply: &HoldReply,
        now: Now,
    ) {
        if self.settings.interference.mode == Mode::Off {
            return;
        }
        let mut keys: Vec<(id::JobId, job::TaskIndex)> = Vec::with_capacity(reply.running.len());
        let mut listed: Vec<ListedRun> = Vec::with_capacity(reply.running.len());
        // One more than the limit, so that the reply is recognised as too long.
        for entry in reply.running.iter().take(RUNS_MAX + 1) {
            let (id, index) = (&entry.name.task.job, entry.name.task.index);
            let job = self.jobs.get(id);
            let live = job.and_then(|job| job.runs.get(&index).map(|live| (job, live)));
            let current =
                live.filter(|(_, live)| live.run == entry.name.run && &live.server == server_id);
            let Some((job, live)) = current else {
                continue;
            };
            let gang = self.gang_neighbours(job, index, live);
            let present_for_ms = match live.phase {
                RunPhase::Present { since_ms } => Some(now.ms.saturating_sub(since_ms)),
                _ => None,
            };
            let step = job.step(index);
            // The speed of a filler follows its pace, which is lowered when a neighbour comes.
            let is_measured = present_for_ms.is_some()
                && entry.percent < 100
                && !step.is_long_running
                && !step.ignores_cpu_capacity
                && gang.is_some();
            let (unit_tasks, elsewhere) = gang.unwrap_or((1, Vec::new()));
            let name = kind_name(&job.accepted, index.step);
            let kind = self.interference.kind(&name, now.ms);
            let live = self
                .jobs
                .get_mut(id)
                .and_then(|job| job.runs.get_mut(&index));
            listed.push(ListedRun {
                kind,
                track: live
                    .map(|live| std::mem::take(&mut live.interference))
                    .unwrap_or_default(),
                percent: entry.percent,
                present_for_ms,
                is_measured,
                unit_tasks,
                elsewhere,
            });
            keys.push((id.clone(), index));
        }
        let Some(server) = self.servers.get_mut(server_id) else {
            return;
        };
        let replied = (reply.incarnation.started_unix_ms, reply.server_ms);
        let track = &mut server.interference;
        self.interference
            .observe(server_id, track, replied, &mut listed, now.ms);
        for ((id, index), run) in keys.iter().zip(listed) {
            let live = self
                .jobs
                .get_mut(id)
                .and_then(|job| job.runs.get_mut(index));
            if let Some(live) = live {
                live.interference = run.track;
            }
        }
        let changes = self.interference.take_changes();
        self.events
            .extend(changes.into_iter().map(Event::Interference));
    }

    /// The number of tasks of the unit on the server of `live`, and the kinds of neighbours on the
    /// other servers of its gang. `None` if the progress of the run is not measured.
    fn gang_neighbours(
        &self,
        job: &OpenJob,
        index: job::TaskIndex,
        live: &LiveRun,
    ) -> Option<(u32, Vec<KindId>)> {
        let unit = job.unit_of(index);
        if unit.count == 1 {
            return Some((1, Vec::new()));
        }
        if index.rank > 0 || unit.count > GANG_TASKS_MAX {
            return None;
        }
        let mut members: BTreeMap<&id::BackendServerId, u32> = BTreeMap::new();
        for member in unit.members() {
            let member = job.runs.get(&member)?;
            *members.entry(&member.server).or_default() += 1;
        }
        let speeds = || members.keys().map(|server| self.speeds.ratio(server));
        let (slowest, fastest) = (
            speeds().fold(f64::INFINITY, f64::min),
            speeds().fold(0.0, f64::max),
        );
        if fastest > GANG_SPEED_SPREAD_MAX * slowest {
            return None;
        }
        let own_tasks = members.get(&live.server).copied().unwrap_or(1);
        let name = kind_name(&job.accepted, index.step);
        let own_kind = self.interference.known_kind(&name);
        let mut elsewhere = BTreeSet::new();
        for (server, tasks) in members
            .iter()
            .filter(|(server, _)| **server != &live.server)
        {
            let server = self.servers.get(*server)?;
            let others = server
                .interference
                .counts()
                .filter(|(kind, count)| Some(*kind) != own_kind || count > tasks);
            elsewhere.extend(others.map(|(kind, _)| kind));
        }
        Some((own_tasks, elsewhere.into_iter().collect()))
    }

    /// Records the placement of the runs of a unit.
    pub(crate) fn track_placed(&mut self, id: &id::JobId, unit: PlacementUnit, now: Now) {
        if self.settings.interference.mode != Mode::Place {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let name = kind_name(&job.accepted, unit.first.step);
        let kind = self.interference.kind(&name, now.ms);
        for live in unit.members().filter_map(|member| job.runs.get(&member)) {
            let core_s = core_s(job.step(unit.first));
            self.interference.add_placed(kind, &live.server, core_s);
        }
    }

    /// Records the placement of a run that a previous scheduler has placed. `job` isn't in `jobs`
    /// yet.
    pub(crate) fn track_restored(
        &mut self,
        job: &OpenJob,
        index: job::TaskIndex,
        server: &id::BackendServerId,
        now: Now,
    ) {
        if self.settings.interference.mode == Mode::Place {
            let name = kind_name(&job.accepted, index.step);
            let kind = self.interference.kind(&name, now.ms);
            let core_s = core_s(job.step(index));
            self.interference.add_placed(kind, server, core_s);
        }
    }

    /// Records that a run of `job` that was placed on `server` is gone.
    pub(crate) fn track_removed(
        &mut self,
        id: &id::JobId,
        index: job::TaskIndex,
        server: &id::BackendServerId,
    ) {
        if self.settings.interference.mode != Mode::Place {
            return;
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let name = kind_name(&job.accepted, index.step);
        if let Some(kind) = self.interference.known_kind(&name) {
            let core_s = core_s(job.step(index));
            self.interference.remove_placed(kind, server, core_s);
        }
    }

    /// The cost of each server for a task of a step because of its neighbours there.
    pub(crate) fn interference_costs(
        &self,
        accepted: &job::AcceptedJob,
        step: u32,
    ) -> BTreeMap<id::BackendServerId, f64> {
        let settings = self.settings.interference;
        match settings.mode == Mode::Place && self.interference.counting_pairs() > 0 {
            true => {
                let core_s = core_s(&accepted.spec.steps[step as usize]);
                let name = kind_name(accepted, step);
                self.interference.costs(&name, core_s, settings.weight)
            }
            false => BTreeMap::new(),
        }
    }

    /// The pairs of kinds that count, for a successor.
    pub fn interference_snapshot(&self, now: Now) -> Snapshot {
        self.interference.snapshot(now.ms)
    }

    /// Takes over the pairs of a snapshot that a previous scheduler took `age_ms` ago.
    pub fn restore_interference(&mut self, snapshot: &Snapshot, age_ms: u64, now: Now) {
        if self.settings.interference.mode == Mode::Off {
            return;
        }
        self.interference.restore(snapshot, age_ms, now.ms);
        let changes = self.interference.take_changes();
        self.events
            .extend(changes.into_iter().map(Event::Interference));
    }

    /// The evidence for all pairs of kinds.
    pub fn interference_report(&self, now: Now) -> Vec<PairReport> {
        self.interference.report(now.ms)
    }

    /// Number of kinds, and of pairs of them that count.
    pub fn interference_counts(&self) -> (usize, usize) {
        (
            self.interference.kind_count(),
            self.interference.counting_pairs(),
        )
    }
}
