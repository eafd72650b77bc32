//! What the lists of a backend server mean for the runs that are believed there.

use camphorbeam_model::{id, job};

use crate::engine::{self, Engine, Now, Order};
use crate::event::Event;
use crate::live_run::RunPhase;
use crate::open_job::OpenJob;
use crate::orders::{EndEntry, EndKind, HoldReply};
use crate::progress::{JobState, TaskState};

impl Engine {
    /// Takes in the ends that were not seen before.
    pub(crate) fn take_ends(&mut self, id: &id::BackendServerId, reply: &HoldReply, now: Now) {
        for end in &reply.ended {
            let Some(server) = self.servers.get_mut(id) else {
                return;
            };
            if end.number <= server.ends_seen {
                continue;
            }
            server.ends_seen = end.number;
            self.take_end(id, end, now);
            let job = &end.name.task.job;
            let unstored = self.jobs.get(job).filter(|job| job.is_unstored());
            if let (Some(generation), Some(server)) =
                (unstored.map(|job| job.generation), self.servers.get_mut(id))
            {
                server.unstored_ends.insert(job.clone(), generation);
            }
        }
        if let Some(server) = self.servers.get_mut(id) {
            if server.unstored_ends.is_empty() {
                server.ends_acknowledged = server.ends_seen;
            }
        }
    }

    fn take_end(&mut self, on: &id::BackendServerId, end: &EndEntry, now: Now) {
        let (id, index) = (&end.name.task.job, end.name.task.index);
        let live = self.jobs.get(id).and_then(|job| job.runs.get(&index));
        let is_current = live.is_some_and(|live| live.run == end.name.run && &live.server == on);
        if !is_current {
            return;
        }
        let is_gang = self.jobs[id].step(index).is_gang;
        if end.kind == EndKind::Done && !is_gang {
            self.learn_speed(id, index, 100.0, now);
        }
        self.keep_checkpoint(id, index, end);
        match end.kind {
            EndKind::Done => self.task_done(on, id, index, now),
            EndKind::Failed => self.task_failed(on, id, index, now),
            EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => {
                self.run_over(id, index, end.kind.name(), now);
            }
        }
        self.close_if_over(id);
    }

    fn keep_checkpoint(&mut self, id: &id::JobId, index: job::TaskIndex, end: &EndEntry) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if end.checkpoint.is_empty() || !job.step(index).is_checkpointing {
            return;
        }
        for member in job.unit_of(index).members() {
            job.progress.task_mut(member).checkpoint = end.checkpoint.clone();
        }
        job.touch();
    }

    /// Learns the speed of a server from a task that it has carried to `percent`.
    fn learn_speed(&mut self, id: &id::JobId, index: job::TaskIndex, percent: f64, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let unit = job.unit_of(index);
        let estimate_ms = job.step(index).estimate_ms;
        let Some(live) = job.runs.get(&index) else {
            return;
        };
        let on = live.server.clone();
        // A gang begins its work when its last member is there.
        let runs = &job.runs;
        let began: Option<Vec<u64>> = unit
            .members()
            .map(|member| runs.get(&member).and_then(|live| live.began_ms))
            .collect();
        let Some(began_ms) = began.and_then(|began| began.into_iter().max()) else {
            return;
        };
        let took_ms = now.ms.saturating_sub(began_ms);
        if estimate_ms == 0 || took_ms < OBSERVED_MIN_MS {
            return;
        }
        let ratio = percent / 100.0 * estimate_ms as f64 / took_ms as f64;
        if let Some(live) = job.runs.get_mut(&index) {
            live.observed_ms = now.ms;
        }
        self.speeds.observe(id, index.step, &on, ratio);
    }

    fn task_done(
        &mut self,
        on: &id::BackendServerId,
        id: &id::JobId,
        index: job::TaskIndex,
        now: Now,
    ) {
        self.health.finished(on);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.step(index).is_lasting {
            self.run_over(id, index, EndKind::Done.name(), now);
            return;
        }
        let unit = job.unit_of(index);
        for member in unit.members() {
            job.progress.task_mut(member).state = TaskState::Done;
        }
        job.finish_step_if_done(index.occurrence, index.step);
        job.touch();
        self.push_end_event(id, index, EndKind::Done.name());
        self.resolve(id, index);
        for member in unit.members().filter(|member| *member != index) {
            // The others end with it; a hold shows when their servers are free again.
            self.await_end(id, member, now);
        }
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if !job.progress.state.is_final() && job.is_all_done() {
            self.finish(id, JobState::Completed, now);
        }
    }

    fn task_failed(
        &mut self,
        on: &id::BackendServerId,
        id: &id::JobId,
        index: job::TaskIndex,
        now: Now,
    ) {
        self.health.failed(id, on, now.ms);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let unit = job.unit_of(index);
        let run = job.runs[&index].run;
        let mut failures = 0;
        for member in unit.members() {
            let record = job.progress.task_mut(member);
            // Members that fail in the same run count once.
            if record.run == run {
                record.failures += 1;
                failures = failures.max(record.failures);
            }
        }
        job.touch();
        let is_lasting = job.step(index).is_lasting;
        let is_spent = !is_lasting && failures >= job.accepted.terms.attempts_max;
        let is_final = job.progress.state.is_final();
        self.run_over(id, index, EndKind::Failed.name(), now);
        if is_spent && !is_final {
            self.finish(id, JobState::Failed, now);
        }
    }

    /// A run has ended without finishing: its gang, if any, is stopped as a whole.
    fn run_over(&mut self, id: &id::JobId, index: job::TaskIndex, how: &'static str, now: Now) {
        self.push_end_event(id, index, how);
        self.resolve(id, index);
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let unit = job.unit_of(index);
        for member in unit.members().filter(|member| *member != index) {
            self.want_stop(id, member, "another member ended", now);
        }
    }

    /// Counts a run as gone that nobody has listed as ended.
    pub(crate) fn lose(&mut self, id: &id::JobId, index: job::TaskIndex, now: Now) {
        let is_done = |job: &OpenJob| job.progress.task_state(index) == TaskState::Done;
        match self.jobs.get(id).is_some_and(is_done) {
            true => self.resolve(id, index),
            false => self.run_over(id, index, "lost", now),
        }
        self.close_if_over(id);
    }

    fn push_end_event(&mut self, id: &id::JobId, index: job::TaskIndex, how: &'static str) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if let Some(live) = job.runs.get(&index) {
            self.events.push(Event::Ended {
                job: id.clone(),
                task: index,
                run: live.run,
                server: live.server.clone(),
                how,
                failures: job.progress.task(index).failures,
            });
        }
    }

    /// Compares what a server lists as running with what is believed there.
    pub(crate) fn take_running(
        &mut self,
        on: &id::BackendServerId,
        sent_ms: u64,
        reply: &HoldReply,
        now: Now,
    ) {
        for entry in &reply.running {
            let (id, index) = (&entry.name.task.job, entry.name.task.index);
            let live = self
                .jobs
                .get_mut(id)
                .and_then(|job| job.runs.get_mut(&index));
            let live = live.filter(|live| live.run == entry.name.run && &live.server == on);
            let Some(live) = live else {
                let order = Order::Stop(on.clone(), entry.name.clone());
                if !self.orders.contains(&order) {
                    self.orders.push(order);
                }
                continue;
            };
            if entry.percent > live.percent {
                live.percent = entry.percent;
                live.progress_ms = now.ms;
            }
            let is_observable = matches!(live.phase, RunPhase::Present { .. })
                && now.ms >= live.observed_ms + OBSERVED_EVERY_MS;
            if matches!(live.phase, RunPhase::StartSent { .. }) {
                live.become_present(now.ms);
                self.begin(id);
            } else if is_observable && entry.percent < ALL_PERCENT {
                self.begin(id);
                self.learn_speed(id, index, f64::from(entry.percent) + HALF_PERCENT, now);
            }
        }
        for (id, index) in self.runs_on(on) {
            let live = &self.jobs[&id].runs[&index];
            let is_listed = reply.running.iter().any(|entry| {
                entry.name.run == live.run
                    && entry.name.task.index == index
                    && entry.name.task.job == id
            });
            let is_gone = match live.phase {
                RunPhase::Present { since_ms } | RunPhase::AwaitingEnd { since_ms } => {
                    sent_ms > since_ms
                }
                RunPhase::AwaitingWrite { .. }
                | RunPhase::StartSent { .. }
                | RunPhase::Stopping { .. } => false,
            };
            let name = engine::run_name(&id, index, live.run);
            let server = self.servers.get(on);
            let may_come_late = matches!(live.phase, RunPhase::Present { .. })
                && server.is_some_and(|server| server.is_unclear(&name, now.ms));
            match is_gone && !is_listed {
                true if may_come_late => self.want_stop(&id, index, "gone, may come late", now),
                true => self.lose(&id, index, now),
                false => {}
            }
        }
    }
}

/// Time of work from which a speed is told from it.
const OBSERVED_MIN_MS: u64 = 1_200;

/// Time between two observations of one run.
const OBSERVED_EVERY_MS: u64 = 900;

/// Progress of a member that waits for the others of its gang.
const ALL_PERCENT: u32 = 100;

/// Progress is listed in whole percents, rounded down.
const HALF_PERCENT: f64 = 0.5;
