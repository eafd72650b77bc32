//! Handling of the replies to start and stop orders, of runs that a previous scheduler has placed,
//! and of restarted backend servers.

use camphorbeam_model::{id, job};

use crate::crash_evidence::{Evidence, Isolation};
use crate::engine::{self, Engine, Now, ORDER_RETRY_MS};
use crate::event::Event;
use crate::live_run::{LiveRun, RunPhase};
use crate::open_job;
use crate::orders::{RunName, StartOutcome, StartRefusal, StopOutcome};
use crate::progress::{JobState, TaskState};
use crate::server::ORDER_DELAY_MAX_MS;

/// How long a backend server gets no work after it refused a task because of too few free
/// resources.
const FULL_PAUSE_MS: u64 = 300;

/// How long a backend server is quarantined after it refused a start order because it is unhealthy,
/// or after a different server replied at its address.
const UNHEALTHY_QUARANTINE_MS: u64 = 3_000;

impl Engine {
    /// Restores the runs that a previous scheduler has placed, from the progress of the job. They
    /// count as present until the reply to a hold shows otherwise.
    pub(crate) fn restore_runs(&mut self, job: &mut open_job::OpenJob, now: Now) {
        let started: Vec<_> = job
            .progress
            .tasks
            .iter()
            .filter(|(_, record)| record.state == TaskState::Started)
            .map(|(index, record)| (*index, record.run, record.server.clone()))
            .collect();
        for (index, run, server_id) in started {
            let need = job.step(index).counted_need();
            let Some(server_id) = server_id else {
                job.progress.task_mut(index).state = TaskState::Waiting;
                job.mark_changed();
                continue;
            };
            match self.servers.get_mut(&server_id) {
                Some(server) => server.used = server.used.plus(&need),
                // The registry may have dropped a server that is still running behind a network
                // partition.
                None => {
                    self.unregistered.entry(server_id.clone()).or_insert(now.ms);
                }
            }
            if let Some(life) = job.progress.lives.get(&server_id) {
                self.restored_lives.insert(server_id.clone(), *life);
            }
            self.add_run_on(&server_id, &job.id, index);
            let is_isolated = {
                let unit = job.unit_of(index);
                let mut members = unit.members();
                members.any(|member| {
                    let evidence = Evidence::of(&job.progress.crashes, member);
                    evidence.isolation() != Isolation::None
                })
            };
            if is_isolated {
                self.watch_run(&server_id, &job.id, index);
            }
            let live = LiveRun::restored(server_id, run, need, now.ms);
            self.track_restored(job, index, &live.server, now);
            job.runs.insert(index, live);
        }
    }

    /// Handles the restart of a server. The new incarnation doesn't know of earlier stop orders, so
    /// they are sent again for runs whose start orders may still arrive late. Runs of the old
    /// incarnation are not removed here but when a hold reply doesn't list them, since the new
    /// incarnation may already have started them.
    pub(crate) fn handle_restart(&mut self, id: &id::BackendServerId, now: Now) {
        self.pacing.forget_percents(id);
        let runs = self.runs_on(id);
        self.events.push(Event::Server {
            server: id.clone(),
            belief: "started anew",
            runs: runs.len(),
        });
        for (job, index) in runs {
            let live = &self.jobs[&job].runs[&index];
            let name = engine::run_name(&job, index, live.run);
            let server = self.servers.get(id);
            let may_still_start =
                server.is_some_and(|server| server.may_still_start(&name, now.ms));
            if may_still_start && matches!(live.phase, RunPhase::AwaitingEnd { .. }) {
                self.resend_stop(&job, index, now);
            }
        }
        let server = self.servers.get(id);
        let unanswered_starts = server.map(|server| server.unanswered_starts.clone());
        for (name, noticed_ms) in unanswered_starts.unwrap_or_default() {
            self.expect_late_start(id, name, noticed_ms + ORDER_DELAY_MAX_MS, now);
        }
    }

    /// Schedules the stop order of a run to be sent again at once.
    pub(crate) fn resend_stop(&mut self, id: &id::JobId, index: job::TaskIndex, now: Now) {
        let live = self
            .jobs
            .get_mut(id)
            .and_then(|job| job.runs.get_mut(&index));
        if let Some(live) = live {
            live.phase = RunPhase::Stopping {
                next_ms: Some(now.ms),
            };
        }
    }

    /// Processes the reply to a start order, or the lack of a usable one.
    pub fn start_reply(&mut self, name: &RunName, outcome: &StartOutcome, now: Now) {
        let (id, index) = (&name.task.job, name.task.index);
        let live = self
            .jobs
            .get_mut(id)
            .and_then(|job| job.runs.get_mut(&index));
        let Some(live) = live.filter(|live| live.run == name.run) else {
            return;
        };
        let server = live.server.clone();
        let phase = live.phase;
        if !matches!(
            outcome,
            // Nothing was sent for a start that was withheld.
            StartOutcome::Unknown { .. }
                | StartOutcome::NotSent { .. }
                | StartOutcome::Withheld
                | StartOutcome::Refused(StartRefusal::OtherServer)
        ) {
            self.record_reach(&server, now);
        }
        let live = self
            .jobs
            .get_mut(id)
            .and_then(|job| job.runs.get_mut(&index));
        let Some(live) = live else {
            return;
        };
        if let StartOutcome::Unknown { .. } = outcome {
            // Also if the run is being stopped: another life of the server doesn't know of the stop.
            // The delay counts from now, which is later than the sending.
            if let Some(server) = self.servers.get_mut(&server) {
                server.record_unanswered_start(name, now.ms);
            }
        }
        match (outcome, phase) {
            (StartOutcome::Present, RunPhase::StartSent { .. }) => {
                live.mark_present(now.ms);
                self.mark_begun(id);
            }
            (StartOutcome::NotSent { .. }, RunPhase::StartSent { retry_ms: None, .. }) => {
                self.start_withheld(id, index, true, now);
            }
            (
                StartOutcome::NotSent { .. } | StartOutcome::Unknown { .. },
                RunPhase::StartSent { since_ms, .. },
            ) => {
                live.phase = RunPhase::StartSent {
                    since_ms,
                    retry_ms: Some(now.ms + ORDER_RETRY_MS),
                };
            }
            (StartOutcome::Refused(refusal), phase) => {
                self.start_refused(id, index, *refusal, phase, &server, now);
            }
            (StartOutcome::Withheld, RunPhase::StartSent { retry_ms, .. }) => {
                self.start_withheld(id, index, retry_ms.is_none(), now);
            }
            // The reply to a hold has already shown more than this one, or the run is being
            // stopped.
            (StartOutcome::Present, _) => self.mark_begun(id),
            (
                StartOutcome::Withheld
                | StartOutcome::NotSent { .. }
                | StartOutcome::Unknown { .. },
                _,
            ) => {}
        }
    }

    /// Records that a server has shown a run of the job, or the end of one. Stored, since it can't be
    /// concluded from a placement by others.
    pub(crate) fn mark_begun(&mut self, id: &id::JobId) {
        let job = self.jobs.get_mut(id);
        let not_begun = |job: &&mut open_job::OpenJob| {
            !job.progress.has_begun && !job.progress.state.is_final()
        };
        if let Some(job) = job.filter(not_begun) {
            job.progress.has_begun = true;
            job.progress.state = JobState::Running;
            job.mark_changed();
        }
    }

    /// Handles a refused start order. `phase` is the phase of the run when the refusal arrived. The
    /// run is removed if the refusal proves that it doesn't exist; otherwise it is stopped, or its
    /// end is awaited.
    pub(crate) fn start_refused(
        &mut self,
        id: &id::JobId,
        index: job::TaskIndex,
        refusal: StartRefusal,
        phase: RunPhase,
        server_id: &id::BackendServerId,
        now: Now,
    ) {
        match refusal {
            StartRefusal::Fenced => {
                self.is_deposed = true;
                return;
            }
            StartRefusal::NoRoom => {
                if let Some(server) = self.servers.get_mut(server_id) {
                    server.full_until_ms = now.ms + FULL_PAUSE_MS;
                }
            }
            StartRefusal::Invalid => self.start_refused_as_invalid(id, index, server_id, now),
            StartRefusal::Unhealthy | StartRefusal::OtherServer => {
                self.health
                    .quarantine(server_id, now.ms + UNHEALTHY_QUARANTINE_MS);
            }
            StartRefusal::Ticket => self.ticket_refused(id, index, server_id, now),
            StartRefusal::Outdated | StartRefusal::Late => {}
        }
        if refusal == StartRefusal::Outdated {
            // The run has ended on the server or was stopped there; the reply to the next hold
            // shows which.
            self.await_end(id, index, now);
            return;
        }
        // A refusal only says that this copy of the order wasn't carried out. It is proof that the
        // run doesn't exist if the order was sent once and was refused within `ORDER_RETRY_MS`;
        // otherwise an earlier copy may have been carried out.
        let is_refusal_conclusive = matches!(phase, RunPhase::StartSent { retry_ms: None, since_ms }
            if now.ms < since_ms + ORDER_RETRY_MS);
        match is_refusal_conclusive {
            true => self.remove_lost_run(id, index, now),
            // A report has shown the run since, so the refusal says nothing about it.
            false
                if matches!(phase, RunPhase::Present { .. })
                    && !self.may_disrupt(id, &[index], "start refused", now) => {}
            false => self.request_stop(id, index, "start refused", now),
        }
    }

    /// Handles a start that a server has refused as invalid. Whether the server or the job is the
    /// cause shows only when several jobs are refused there, or the job elsewhere too, so the
    /// refusal counts like a failure of the server, and the next start of the unit is delayed.
    fn start_refused_as_invalid(
        &mut self,
        id: &id::JobId,
        index: job::TaskIndex,
        server_id: &id::BackendServerId,
        now: Now,
    ) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let unit = job.unit_of(index);
        let Some(run) = job.runs.get(&index).map(|live| live.run) else {
            return;
        };
        let has_wave = self.soundness.has_wave(now.ms);
        self.health
            .record_failure(id, (unit.first, run), server_id, has_wave, now.ms);
        let failed_on = Some(server_id.clone());
        let event = self
            .restarts
            .record_quick_end(id, unit, run, failed_on, now.ms);
        self.events.extend(event);
    }

    /// Marks a run as ending: the reply to a hold sent from now on either lists its end or, if the
    /// run isn't listed at all, proves that it is gone.
    pub(crate) fn await_end(&mut self, id: &id::JobId, index: job::TaskIndex, now: Now) {
        let live = self
            .jobs
            .get_mut(id)
            .and_then(|job| job.runs.get_mut(&index));
        if let Some(live) = live {
            live.phase = RunPhase::AwaitingEnd { since_ms: now.ms };
        }
    }

    /// Processes the reply to a stop order, or the lack of a usable one.
    pub fn stop_reply(&mut self, name: &RunName, outcome: &StopOutcome, now: Now) {
        let (id, index) = (&name.task.job, name.task.index);
        if *outcome == StopOutcome::Accepted {
            self.late_start_stopped(name, now);
        }
        let live = self
            .jobs
            .get_mut(id)
            .and_then(|job| job.runs.get_mut(&index));
        match (outcome, live) {
            (StopOutcome::Fenced, _) => self.is_deposed = true,
            (_, None) => {}
            (_, Some(live)) if live.run != name.run => {}
            (StopOutcome::Accepted, Some(live)) => {
                live.phase = RunPhase::AwaitingEnd { since_ms: now.ms };
                let server = live.server.clone();
                self.record_reach(&server, now);
            }
            (StopOutcome::OtherServer | StopOutcome::Unknown { .. }, Some(live)) => {
                live.phase = RunPhase::Stopping {
                    next_ms: Some(now.ms + ORDER_RETRY_MS),
                };
            }
        }
    }
}
