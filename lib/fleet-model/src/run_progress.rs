//! Progress and ends of the runs on the simulated servers, and invariants of all runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_jobs::event::Event;
use camphorbeam_jobs::orders::{EndEntry, EndKind, RunName};
use camphorbeam_model::{id, job};

use crate::{
    checkpoint_text, close_record, Simulation, CHECKPOINT_INTERVAL_MS, CORES_PER_ACCELERATOR,
    REMOTE_SLOWDOWN, STEP_MS,
};

impl Simulation {
    /// Advances all runs by one step and ends those that finished, failed, were stopped or whose
    /// lease lapsed.
    pub(crate) fn advance_runs(&mut self) {
        let mut units: BTreeMap<(job::TaskName, id::Run), Vec<(String, RunName)>> = BTreeMap::new();
        for (server_name, server) in &self.servers {
            for run in server.running.keys() {
                let mut first = run.task.clone();
                if self.spec(run).is_gang {
                    first.index.rank = 0;
                }
                units
                    .entry((first, run.run))
                    .or_default()
                    .push((server_name.clone(), run.clone()));
            }
        }
        for members in units.into_values() {
            self.advance_unit(&members);
        }
    }

    /// Advances the members of a gang, or a single task, by one step. The members of a gang end
    /// together.
    pub(crate) fn advance_unit(&mut self, members: &[(String, RunName)]) {
        let spec = self.spec(&members[0].1).clone();
        let is_complete = !spec.is_gang || members.len() == spec.task_count as usize;
        let racks: BTreeSet<_> = members
            .iter()
            .map(|(server_name, _)| self.servers[server_name].entry.rack().cloned())
            .collect();
        let is_remote = (spec.prefers_one_rack && racks.len() > 1)
            || spec
                .data_rack
                .as_ref()
                .is_some_and(|rack| !racks.contains(&Some(rack.clone())));
        let behavior = self
            .task_behaviors
            .get(&members[0].1.task.job)
            .cloned()
            .unwrap_or_default();
        let now_ms = self.now_ms;
        let mut kind = None;
        let mut own_ends = Vec::new();
        let mut is_all_done = true;
        for (server_name, run) in members {
            let work_ms = behavior.work_ms.get(&run.task.index).copied();
            let work_ms = work_ms.unwrap_or(spec.estimate_ms).max(1);
            let beside_slowdown = self.neighbour_slowdown(server_name, run);
            let server = self.servers.get_mut(server_name).unwrap();
            let speed = if server.hangs {
                0.0
            } else {
                server.speed_ratio
            };
            let slowdown = if is_remote { REMOTE_SLOWDOWN } else { 1.0 } * beside_slowdown;
            let rate = speed * STEP_MS as f64 * 100.0 / (work_ms as f64 * slowdown);
            let has_lapsed = server.clock_ms(now_ms) > server.lease_until_ms;
            let fails = server.fails_all;
            let state = server.running.get_mut(run).unwrap();
            state.run_time_ms += STEP_MS as f64;
            state.since_checkpoint_ms += STEP_MS as f64;
            if is_complete && now_ms >= state.resumes_at_ms {
                state.percent = (state.percent + rate).min(100.0);
            }
            if spec.supports_checkpoints && state.since_checkpoint_ms >= CHECKPOINT_INTERVAL_MS {
                state.checkpoint_percent = state.percent;
                state.since_checkpoint_ms = 0.0;
            }
            let ended = match () {
                () if has_lapsed => Some(EndKind::Lapsed),
                () if state.stop_at_ms.is_some_and(|at_ms| now_ms >= at_ms) => {
                    Some(EndKind::Stopped)
                }
                () if fails => Some(EndKind::Failed),
                () if state.percent >= 50.0 && behavior.always_fails => Some(EndKind::Failed),
                () if state.percent >= 100.0 && !behavior.stays => Some(EndKind::Done),
                () => None,
            };
            is_all_done &= ended == Some(EndKind::Done);
            let own_end = ended.filter(|ended| *ended != EndKind::Done);
            own_ends.push(own_end);
            kind = kind.or(own_end);
            if let (Some(ended), false) = (ended, spec.is_gang) {
                self.end_run(server_name, run, ended);
            }
        }
        // The members of a gang finish when the slowest of them does.
        let kind = kind.or((is_all_done && is_complete).then_some(EndKind::Done));
        if let (Some(kind), true) = (kind, spec.is_gang) {
            for ((server_name, run), own_end) in members.iter().zip(own_ends) {
                let of_member = match kind {
                    EndKind::Done => kind,
                    _ => own_end.unwrap_or(EndKind::Broken),
                };
                self.end_run(server_name, run, of_member);
            }
        }
    }

    fn neighbour_slowdown(&self, server_name: &str, run: &RunName) -> f64 {
        let slows = |((image, neighbour), _): &(&(Arc<str>, Arc<str>), &f64)| {
            let mut others = self.servers[server_name].running.keys();
            self.spec(run).image.as_ref() == Some(image)
                && others
                    .any(|other| other != run && self.spec(other).image.as_ref() == Some(neighbour))
        };
        let slowdowns = self.neighbour_slowdowns.iter().filter(slows);
        slowdowns.map(|(_, slowdown)| *slowdown).product()
    }

    pub(crate) fn end_run(&mut self, server_name: &str, run: &RunName, kind: EndKind) {
        let need = self.need(run);
        let supports_checkpoints = self.spec(run).supports_checkpoints;
        let now_ms = self.now_ms;
        let server = self.servers.get_mut(server_name).unwrap();
        let Some(state) = server.running.remove(run) else {
            return;
        };
        let mut state = state;
        if supports_checkpoints && kind == EndKind::Stopped {
            state.checkpoint_percent = state.percent;
            state.since_checkpoint_ms = 0.0;
        }
        if kind != EndKind::Done {
            let lost_ms = match supports_checkpoints {
                true => state.since_checkpoint_ms,
                false => state.run_time_ms,
            };
            let cores = need.cpu_millicores as f64 / 1_000.0
                + CORES_PER_ACCELERATOR * need.accelerators as f64;
            self.lost_core_s += cores * lost_ms / 1_000.0;
        }
        server.highest_ended_runs.insert(run.task.clone(), run.run);
        let number = server.next_end_number;
        server.next_end_number += 1;
        let checkpoint = match supports_checkpoints {
            true => checkpoint_text(&state),
            false => String::new(),
        };
        server.unacknowledged_ends.push(EndEntry {
            number,
            name: run.clone(),
            kind,
            checkpoint: checkpoint.into(),
        });
        close_record(&mut self.run_records, run, server_name, now_ms, Some(kind));
    }

    /// Returns the engine's events about a task and about all servers, one per line.
    pub fn event_log(&self, task: &job::TaskName) -> String {
        let of_task = |event: &Event| match event {
            Event::Opened { job, .. }
            | Event::Preemption { job, .. }
            | Event::Reservation { job, .. }
            | Event::StartBlocked { job, .. }
            | Event::StartWithheld { job, .. }
            | Event::Placed { job, .. } => job == &task.job,
            Event::Ended {
                job, task: index, ..
            }
            | Event::Stopping {
                job, task: index, ..
            }
            | Event::RunLost {
                job, task: index, ..
            }
            | Event::Crash {
                job, task: index, ..
            }
            | Event::GivenUp {
                job, task: index, ..
            }
            | Event::OutOfAttempts {
                job, task: index, ..
            }
            | Event::EarlierRunDone {
                job, task: index, ..
            }
            | Event::LateStartRefused {
                job, task: index, ..
            } => job == &task.job && index == &task.index,
            Event::State { job, .. }
            | Event::NoServer { job, .. }
            | Event::RestartDelayed { job, .. }
            | Event::StopRefused { job, .. }
            | Event::WaitsForProven { job, .. } => job == &task.job,
            Event::Server { .. }
            | Event::AddressReused { .. }
            | Event::LossResolved { .. }
            | Event::Interference(_)
            | Event::Pace { .. }
            | Event::Reach { .. }
            | Event::Evacuation { .. }
            | Event::StartPause { .. }
            | Event::EvacuationWait { .. }
            | Event::Advice { .. }
            | Event::AdviceWait { .. }
            | Event::Adviser { .. }
            | Event::NoAdviser { .. }
            | Event::ShareOrder { .. } => true,
        };
        let lines = self.events.iter().filter(|(_, event)| of_task(event));
        lines
            .map(|(at_ms, event)| format!("{at_ms} {event:?}\n"))
            .collect()
    }

    /// Panics if two runs of one task overlapped, or if the run numbers of a task didn't increase.
    ///
    /// Run numbers may repeat only after a crash, before the end of the earlier run was
    /// acknowledged.
    pub fn assert_no_duplicate_runs(&self) {
        for (number, earlier) in self.run_records.iter().enumerate() {
            for later in &self.run_records[number + 1..] {
                if earlier.name.task != later.name.task {
                    continue;
                }
                let end_ms = earlier.ended_at_ms.unwrap_or(u64::MAX);
                assert!(
                    later.started_at_ms >= end_ms,
                    "runs overlap: {earlier:?} and {later:?}\n{}",
                    self.event_log(&earlier.name.task)
                );
                // An order that was delivered twice may run in two incarnations of its server,
                // unless the end of the first run was acknowledged. So may an order without a reply
                // run after a later run that has ended with an incarnation in between.
                let is_after_crash = later.server == earlier.server
                    && later.incarnation > earlier.incarnation
                    && later.name.run <= earlier.name.run
                    && !earlier.is_acknowledged;
                assert!(
                    later.name.run > earlier.name.run || is_after_crash,
                    "run number did not increase: {earlier:?}, {later:?}\n{}",
                    self.event_log(&earlier.name.task)
                );
            }
        }
    }
}
