//! The state of the scheduler and the operations that change it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::{fleet, id, job, terms};

use crate::event::Event;
use crate::live_run::{LiveRun, RunPhase};
use crate::orders::{HoldOrder, HoldReply, PaceOrder, RunName, StartOrder};
use crate::preemption::{self, Claims};
use crate::progress::{JobState, Progress, TaskState};
use crate::{
    advice, crash_evidence, crashes, disruption_budget, evacuation, fair_share, headroom, health,
    interference, late_starts, maintenance, open_job, pacing, placement, reachability, restarts,
    server, server_life, settings, soundness, speeds, unmet, withheld,
};

/// Delay until an order that got no usable reply is sent again, counted from when the missing reply
/// was noticed.
pub(crate) const ORDER_RETRY_MS: u64 = 500;

/// How long a removed job counts as known. Longer than any read of the inbox takes.
const REMOVED_JOB_MEMORY_MS: u64 = 60_000;

/// How long a backend server may delay its reply to a hold while no run ends. Each hold renews the
/// lease, so this is also the longest time between two renewals while the server replies.
const HOLD_WAIT_MS: u64 = 1_000;

/// The current time on the two clocks that the engine uses.
#[derive(Clone, Copy, Debug)]
pub struct Now {
    /// Monotonic clock of this host, which also counts the time that the host is suspended.
    pub ms: u64,
    /// Wall clock.
    pub unix_ms: u64,
}

/// An order to send to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Start a run.
    Start(id::BackendServerId, StartOrder),
    /// Stop a run.
    Stop(id::BackendServerId, RunName),
    /// Set the pace of a filler.
    Pace(id::BackendServerId, PaceOrder),
}

impl Order {
    /// The backend server that the order is for.
    pub fn server(&self) -> &id::BackendServerId {
        match self {
            Self::Start(server, _) | Self::Stop(server, _) | Self::Pace(server, _) => server,
        }
    }
}

/// Progress of a job that has to be written to the store.
#[derive(Clone, Debug)]
pub struct ProgressWrite {
    /// The job.
    pub job: id::JobId,
    /// The progress to write.
    pub progress: Progress,
    /// Generation of this progress, to be passed to [`Engine::mark_stored`].
    pub generation: u64,
    /// Version of the stored row that this replaces; zero if there is none.
    pub row_version: u64,
}

/// The scheduler's state.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub(crate) settings: settings::Settings,
    pub(crate) terms: Arc<terms::Terms>,
    pub(crate) jobs: BTreeMap<id::JobId, open_job::OpenJob>,
    /// Jobs whose end is stored, and when they ended by the wall clock.
    pub(crate) ended_jobs: BTreeMap<id::JobId, u64>,
    /// Ended jobs whose inbox rows are deleted, and when that became known.
    pub(crate) removed_jobs: BTreeMap<id::JobId, u64>,
    /// Cancelled jobs that have not been submitted yet, and when they were cancelled by the wall
    /// clock.
    pub(crate) cancelled_before_submit: BTreeMap<id::JobId, u64>,
    pub(crate) servers: BTreeMap<id::BackendServerId, server::Server>,
    /// The services of all servers, by number ([`server::Server::numbers`]).
    pub(crate) services: Arc<[id::ServiceName]>,
    /// Servers with an end that waits for the progress of a job to be stored, by job. May list
    /// servers that have restarted since.
    pub(crate) servers_with_unstored_ends: BTreeMap<id::JobId, BTreeSet<id::BackendServerId>>,
    /// Servers that have runs in stored progress but aren't known from the registry, and the
    /// monotonic time in milliseconds since when.
    pub(crate) unregistered: BTreeMap<id::BackendServerId, u64>,
    /// Lives of servers that runs of an earlier scheduler were placed on, until they reply or are
    /// known to have ended.
    pub(crate) restored_lives: BTreeMap<id::BackendServerId, crash_evidence::ServerLife>,
    pub(crate) health: health::Health,
    pub(crate) reachability: reachability::Reachability,
    pub(crate) soundness: soundness::Soundness,
    pub(crate) fair_share: fair_share::FairShare,
    pub(crate) speeds: speeds::Speeds,
    pub(crate) pacing: pacing::Pacing,
    pub(crate) restarts: restarts::Restarts,
    pub(crate) crashes: crashes::Crashes,
    pub(crate) refused_stops: disruption_budget::RefusedStops,
    pub(crate) withheld: withheld::WithheldStarts,
    pub(crate) unmet: unmet::UnmetNeeds,
    /// Zones that get no new runs.
    pub(crate) evacuation: evacuation::Evacuation,
    pub(crate) interference: interference::Interference,
    pub(crate) maintenance: maintenance::ClosedServers,
    /// What is known about servers for steps that need advice.
    pub(crate) advice: advice::AdviceState,
    /// Demand for urgent work, by service.
    pub(crate) headroom: BTreeMap<id::ServiceName, headroom::Headroom>,
    /// Services of which over a third was free in the newest decision.
    pub(crate) partly_free: BTreeSet<id::ServiceName>,
    /// Services of which over half was free in the newest decision.
    pub(crate) mostly_free: BTreeSet<id::ServiceName>,
    /// Services in which urgent jobs have waited in the newest decision for longer than
    /// `decide::URGENT_WAIT_MS`.
    pub(crate) short_of_urgent_room: BTreeSet<id::ServiceName>,
    /// Servers that are set apart for waiting units.
    pub(crate) claims: Claims,
    /// Tasks with a run that may exist, by backend server.
    pub(crate) runs_by_server: BTreeMap<id::BackendServerId, BTreeSet<(id::JobId, job::TaskIndex)>>,
    /// Monotonic time of the next scan of all runs.
    pub(crate) next_scan_ms: u64,
    /// Earliest monotonic time of the next search for servers to which long-running tasks on slow
    /// ones may move.
    pub(crate) next_move_search_ms: u64,
    /// Earliest monotonic time of the next attempt to reserve servers for a gang.
    pub(crate) next_reservation_ms: u64,
    /// Median speed of the servers as of the last scan.
    pub(crate) median_speed_ratio: Option<f64>,
    pub(crate) late_starts: late_starts::LateStarts,
    /// See [`Engine::has_more_to_place`].
    pub(crate) has_more_to_place: bool,
    pub(crate) orders: Vec<Order>,
    pub(crate) events: Vec<Event>,
    /// See [`Engine::is_deposed`].
    pub(crate) is_deposed: bool,
}

impl Engine {
    /// Creates an engine without jobs, servers or terms.
    pub fn new(settings: settings::Settings) -> Self {
        Self {
            settings,
            reachability: reachability::Reachability::new(settings.reachability),
            soundness: soundness::Soundness::new(settings.last_attempt),
            fair_share: fair_share::FairShare::new(settings.fair_shares),
            ..Self::default()
        }
    }

    /// Whether a backend server has refused an order because it has seen a higher epoch, which
    /// means that another scheduler has taken over.
    pub fn is_deposed(&self) -> bool {
        self.is_deposed
    }

    /// Whether the newest decision has started all units of a step that it looked at while more of
    /// them wait, so that the next one should follow at once.
    pub fn has_more_to_place(&self) -> bool {
        self.has_more_to_place
    }

    /// Applies `terms` to all open jobs, unless a version at least as new is in force.
    pub fn set_terms(&mut self, terms: Arc<terms::Terms>) {
        if terms.version <= self.terms.version {
            return;
        }
        for job in self.jobs.values_mut() {
            // Jobs of a removed queue keep the terms that they have.
            if let Some(queue) = terms.queue(&job.accepted.queue) {
                job.accepted.terms = queue.job_settings.clone();
                job.invalidate_ready();
            }
        }
        self.terms = terms;
    }

    /// Updates the servers from the registry. A server that is missing from `entries` is dropped by
    /// [`Engine::next_hold`] once its lease has expired and no run is left on it.
    pub fn set_servers(&mut self, entries: Vec<fleet::ServerEntry>, now: Now) {
        for server in self.servers.values_mut() {
            server.is_registered = false;
        }
        // Of the first registry it isn't known when the servers became cold.
        let is_first_registry = self.servers.is_empty();
        let mut has_changed = false;
        for entry in entries {
            match self.servers.get_mut(&entry.id) {
                Some(server) => {
                    if entry.cold_ms != server.entry.cold_ms {
                        server.cold_until_ms = now.ms.saturating_add(entry.cold_ms);
                    }
                    if entry.is_draining && !server.entry.is_draining {
                        self.events.push(Event::Server {
                            server: entry.id.clone(),
                            belief: "draining",
                            runs: 0,
                        });
                    }
                    server.is_registered = true;
                    if *server.entry != entry {
                        server.entry = Arc::new(entry);
                        has_changed = true;
                    }
                    if server.has_entry_of_later_life() {
                        server.life.doubt(now.ms);
                    }
                }
                None => {
                    self.events.push(Event::Server {
                        server: entry.id.clone(),
                        belief: "registered",
                        runs: 0,
                    });
                    self.report_reused_address(&entry, now);
                    let since_ms = self.unregistered.remove(&entry.id).unwrap_or(now.ms);
                    let mut server = server::Server::new(entry.clone(), since_ms);
                    if !is_first_registry {
                        server.cold_until_ms = now.ms.saturating_add(entry.cold_ms);
                    }
                    for (job, index) in self.runs_on(&entry.id) {
                        server.used = server.used.plus(&self.jobs[&job].runs[&index].need);
                    }
                    server.speed_ratio = self.speeds.ratio(&entry.id);
                    self.servers.insert(entry.id, server);
                    has_changed = true;
                }
            }
        }
        self.update_evacuated_servers();
        if has_changed {
            let entries = self.servers.values().map(|server| &*server.entry);
            let (numbers, services) = placement::number_servers(entries);
            for (server, numbers) in self.servers.values_mut().zip(numbers) {
                server.numbers = numbers;
            }
            self.services = services;
        }
    }

    fn report_reused_address(&mut self, entry: &fleet::ServerEntry, now: Now) {
        let at_address = |server: &&server::Server| server.entry.address == entry.address;
        let events = self.servers.values().filter(at_address).map(|server| {
            let id = &server.entry.id;
            let last_reply_ms = server.last_reply_ms.unwrap_or(server.known_since_ms);
            Event::AddressReused {
                server: id.clone(),
                by: entry.id.clone(),
                runs: self.runs_by_server.get(id).map_or(0, BTreeSet::len),
                silent_ms: now.ms.saturating_sub(last_reply_ms),
            }
        });
        self.events.extend(events);
    }

    /// Backend servers that have to be sent holds; each needs its own hold loop.
    pub fn servers(&self) -> impl Iterator<Item = &server::Server> {
        self.servers.values()
    }

    /// The address of a backend server, unless the engine doesn't know the server.
    pub fn address(&self, id: &id::BackendServerId) -> Option<std::net::SocketAddr> {
        self.servers.get(id).map(|server| server.entry.address)
    }

    /// Whether the engine knows `job`, open or ended.
    pub fn has_job(&self, job: &id::JobId) -> bool {
        self.jobs.contains_key(job) || self.has_ended(job)
    }

    fn has_ended(&self, job: &id::JobId) -> bool {
        self.ended_jobs.contains_key(job) || self.removed_jobs.contains_key(job)
    }

    /// Adds a job that was accepted `age_ms` ago, with its stored progress and the version of that
    /// row, if there is one.
    pub fn submit(
        &mut self,
        id: id::JobId,
        mut accepted: job::AcceptedJob,
        stored: Option<(Progress, u64)>,
        age_ms: u64,
        now: Now,
    ) {
        if self.has_job(&id) {
            return;
        }
        if let Some(queue) = self.terms.queue(&accepted.queue) {
            accepted.terms = queue.job_settings.clone();
        }
        let (progress, row_version) = stored.unwrap_or_default();
        if progress.state.is_final() {
            self.ended_jobs.insert(id, progress.ended_unix_ms);
            return;
        }
        if progress.has_placements() {
            // What an earlier scheduler has seen of the fleet isn't known.
            self.crashes.note_spontaneous(now.ms);
        }
        self.pacing.note_steps(&accepted.spec.steps);
        let accepted_ms = now.ms.saturating_sub(age_ms);
        let is_cancelled = self.cancelled_before_submit.remove(&id).is_some();
        let mut job =
            open_job::OpenJob::new(id.clone(), accepted, progress, row_version, accepted_ms);
        self.restore_losses(&job);
        self.restore_runs(&mut job, now);
        self.events.push(opened_event(&job, age_ms));
        self.jobs.insert(id.clone(), job);
        if is_cancelled {
            self.cancel(&id, now);
        }
    }

    /// Cancels a job. If the job hasn't been submitted to this engine yet, it is cancelled on
    /// submission; such a cancellation is kept for `retention_ms`.
    pub fn cancel(&mut self, id: &id::JobId, now: Now) {
        match self.jobs.get(id) {
            Some(job) if !job.progress.state.is_final() => {
                self.end_job(id, JobState::Cancelled, now);
            }
            Some(_) => {}
            None if self.has_ended(id) => {}
            None => {
                self.cancelled_before_submit.insert(id.clone(), now.unix_ms);
            }
        }
    }

    /// Ends a job and stops its remaining runs.
    pub(crate) fn end_job(&mut self, id: &id::JobId, state: JobState, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.progress.state = state;
        job.progress.ended_unix_ms = now.unix_ms;
        job.mark_changed();
        self.events.push(Event::State {
            job: id.clone(),
            state,
            age_ms: now.ms.saturating_sub(job.accepted_ms),
        });
        self.claims.retain(|(claimant, _), _| claimant != id);
        let indexes: Vec<_> = self.jobs[id].runs.keys().copied().collect();
        for index in indexes {
            self.request_stop(id, index, "job ended", now);
        }
    }

    /// Requests the stop of a run. If its start order hasn't been sent yet, the run is removed at
    /// once.
    pub(crate) fn request_stop(
        &mut self,
        id: &id::JobId,
        index: job::TaskIndex,
        reason: &'static str,
        now: Now,
    ) {
        let Some(live) = self
            .jobs
            .get_mut(id)
            .and_then(|job| job.runs.get_mut(&index))
        else {
            return;
        };
        let event = Event::Stopping {
            job: id.clone(),
            task: index,
            run: live.run,
            server: live.server.clone(),
            reason,
        };
        match live.phase {
            RunPhase::AwaitingWrite { .. } => {
                self.events.push(event);
                self.remove_run(id, index);
            }
            RunPhase::StartSent { .. } | RunPhase::Present { .. } => {
                live.phase = RunPhase::Stopping {
                    next_ms: Some(now.ms),
                };
                live.stop_reason = Some(reason);
                self.events.push(event);
            }
            RunPhase::Stopping { .. } | RunPhase::AwaitingEnd { .. } => {}
        }
    }

    /// Removes a run that is known not to exist any more and releases its resources. Its task waits
    /// to be placed again unless it is done.
    pub(crate) fn remove_run(&mut self, id: &id::JobId, index: job::TaskIndex) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(live) = job.runs.remove(&index) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&live.server) {
            server.used = server.used.minus(&live.need);
        }
        if let Some(runs) = self.runs_by_server.get_mut(&live.server) {
            runs.remove(&(id.clone(), index));
        }
        self.crashes.unwatch(&live.server, &(id.clone(), index));
        if !job.runs.values().any(|other| other.server == live.server) {
            job.progress.lives.remove(&live.server);
        }
        match job.progress.task_state(index) {
            TaskState::Started => {
                job.progress.task_mut(index).state = TaskState::Waiting;
                job.mark_changed();
            }
            TaskState::Waiting | TaskState::Done => job.invalidate_ready(),
        }
        self.track_removed(id, index, &live.server);
    }

    /// The next hold to send to a server. Returns `None` and drops the server if the registry no
    /// longer lists it, its lease has expired or it was replaced, and no run can be left on it.
    pub fn next_hold(&mut self, id: &id::BackendServerId, now: Now) -> Option<HoldOrder> {
        let settings = self.settings;
        let server = self.servers.get_mut(id)?;
        let has_ended = server.is_replaced || now.ms > server.lease_expiry_ms(&settings);
        let is_gone = !server.is_registered && has_ended;
        // A run may need no resources that count.
        let is_empty = self.runs_by_server.get(id).is_none_or(BTreeSet::is_empty);
        if is_gone && is_empty {
            self.servers.remove(id);
            self.pacing.forget(id);
            self.runs_by_server.remove(id);
            return None;
        }
        // Another life would count a lease by the known clock from when it carries the hold out.
        let is_first = server.clock.is_none() || server.life.is_doubted();
        let has_unacknowledged =
            server.ends_seen > server.ends_acknowledged || server.has_unreadable_end;
        let awaits_list = has_unacknowledged || self.late_starts.awaits_list(id);
        let wait_ms = match is_first || awaits_list || server.may_have_more_ends {
            true => 0,
            false => HOLD_WAIT_MS,
        };
        self.reachability.record_hold(id, wait_ms, now.ms);
        let is_life_granted = !server.life.is_doubted()
            && server
                .last_reply_ms
                .is_some_and(|reply_ms| now.ms <= reply_ms + server_life::LIFE_GRANTED_MS);
        Some(HoldOrder {
            lease_until_server_ms: match is_first {
                true => None,
                false => server.renew_lease(now.ms, settings.lease_max_ms),
            },
            ends_acknowledged: match is_life_granted {
                true => server.ends_acknowledged,
                false => 0,
            },
            wait_ms,
        })
    }

    /// Whether the effects of ends that a server has reported are still to be stored.
    pub fn has_unstored_ends(&self, id: &id::BackendServerId) -> bool {
        self.servers
            .get(id)
            .is_some_and(|server| !server.unstored_ends.is_empty())
    }

    /// Processes the reply to a hold that was sent at `sent_ms` on the monotonic clock. Ignores
    /// replies of an earlier incarnation and of servers that the engine doesn't know.
    pub fn hold_reply(
        &mut self,
        id: &id::BackendServerId,
        sent_ms: u64,
        reply: &HoldReply,
        now: Now,
    ) {
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        match server.incarnation {
            Some(incarnation) if incarnation > reply.incarnation => return,
            Some(incarnation) if incarnation == reply.incarnation => {
                if server.life.is_overtaken(sent_ms) {
                    return;
                }
                server.life.confirm(sent_ms);
            }
            known => {
                server.life.begin_named(now.ms);
                server.incarnation = Some(reply.incarnation);
                server.ends_seen = 0;
                server.ends_seen_apart.clear();
                server.ends_acknowledged = 0;
                server.unstored_ends.clear();
                // A previous scheduler may have renewed the lease just before this reply.
                server.lease_until_server_ms = reply.server_ms + self.settings.lease_max_ms;
                match known {
                    Some(ended) => {
                        self.record_restart_loss(id, ended, reply, now);
                        self.handle_restart(id, now);
                        self.remove_runs_of_ended_life(id, sent_ms, reply, now);
                    }
                    None => self.compare_with_restored_life(id, reply, now),
                }
            }
        }
        if let Some(server) = self.servers.get_mut(id) {
            server.clock = Some(server::ClockReading {
                server_ms: reply.server_ms,
                at_ms: now.ms,
            });
            server.last_reply_ms = Some(now.ms);
            server.is_replaced = false;
            server.has_unreadable_end = reply.ends_readable_upto < u64::MAX;
            server.may_have_more_ends = reply.may_have_more_ends;
        }
        self.reachability.end_hold(id);
        self.record_reach(id, now);
        if let Some(life) = self.life_of(id) {
            self.resolve_losses(id, life, now);
            self.find_replaced_servers(id, life, now);
        }
        self.observe_interference(id, reply, now);
        self.process_ends(id, reply, now);
        self.reconcile_running(id, sent_ms, reply, now);
        self.observe_late_starts(id, sent_ms, reply, now);
    }

    /// Tasks with a run that may exist on a server.
    pub(crate) fn runs_on(&self, id: &id::BackendServerId) -> Vec<(id::JobId, job::TaskIndex)> {
        let runs = self.runs_by_server.get(id);
        runs.map_or_else(Vec::new, |runs| runs.iter().cloned().collect())
    }

    /// Records that a run of a task may exist on a server.
    pub(crate) fn add_run_on(
        &mut self,
        server: &id::BackendServerId,
        job: &id::JobId,
        index: job::TaskIndex,
    ) {
        let runs = self.runs_by_server.entry(server.clone()).or_default();
        runs.insert((job.clone(), index));
    }

    /// Progress that isn't stored yet, of at most `count_max` jobs.
    pub fn unstored_progress(&self, count_max: usize) -> Vec<ProgressWrite> {
        let unstored = self.jobs.values().filter(|job| job.has_unstored_progress());
        unstored
            .take(count_max)
            .map(|job| ProgressWrite {
                job: job.id.clone(),
                progress: job.progress.clone(),
                generation: job.generation,
                row_version: job.row_version,
            })
            .collect()
    }

    /// Records that the progress of a job is stored up to `generation`, in row version
    /// `row_version`. Releases the start orders that waited for this and acknowledges ends that are
    /// now stored.
    pub fn mark_stored(&mut self, id: &id::JobId, generation: u64, row_version: u64, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.stored_generation = generation;
        job.row_version = row_version;
        let startable: Vec<_> = job
            .runs
            .iter_mut()
            .filter_map(|(index, live)| match live.phase {
                RunPhase::AwaitingWrite { generation: needed } if needed <= generation => {
                    live.phase = RunPhase::StartSent {
                        since_ms: now.ms,
                        retry_ms: None,
                    };
                    live.start_sent_ms = Some(now.ms);
                    Some(*index)
                }
                _ => None,
            })
            .collect();
        for index in startable {
            // The start of another member may have been withheld, which stops the gang.
            let live = self.jobs.get(id).and_then(|job| job.runs.get(&index));
            if live.is_some_and(LiveRun::is_active) {
                self.push_start_order(id, index, now);
            }
        }
        if let Some(mut waiting) = self.servers_with_unstored_ends.remove(id) {
            waiting.retain(|server| !self.acknowledge_stored_ends(server, id, generation));
            if !waiting.is_empty() {
                self.servers_with_unstored_ends.insert(id.clone(), waiting);
            }
        }
        self.remove_if_ended(id);
    }

    /// Acknowledges the ends of a server if those of `job` were the last that were not stored.
    /// Returns whether none of that job is left to be stored.
    fn acknowledge_stored_ends(
        &mut self,
        server: &id::BackendServerId,
        job: &id::JobId,
        generation: u64,
    ) -> bool {
        let Some(server) = self.servers.get_mut(server) else {
            return true;
        };
        if server
            .unstored_ends
            .get(job)
            .is_some_and(|needed| *needed > generation)
        {
            return false;
        }
        server.unstored_ends.remove(job);
        if server.unstored_ends.is_empty() {
            server.ends_acknowledged = server.ends_seen;
        }
        true
    }

    /// Queues the start order of a run whose placement is stored.
    pub(crate) fn push_start_order(&mut self, id: &id::JobId, index: job::TaskIndex, now: Now) {
        let lease_max_ms = self.settings.lease_max_ms;
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let live = &job.runs[&index];
        let Ok(ticket) = self.ticket_for_start(id, index, &live.server, now) else {
            let is_first_order = matches!(live.phase, RunPhase::StartSent { retry_ms: None, .. });
            self.start_withheld(id, index, is_first_order, now);
            return;
        };
        let server = self.servers.get_mut(&live.server);
        // The order isn't sent while the life is doubted, see `Engine::sendable_start`.
        let lease = server.and_then(|server| server.renew_lease(now.ms, lease_max_ms));
        let Some(lease_until_server_ms) = lease else {
            // Not expected: runs are placed only on servers with a known clock, the clock stays
            // known after a restart, and a server is not dropped while runs use its resources.
            return;
        };
        let order = StartOrder {
            name: run_name(id, index, live.run),
            payload: Arc::clone(&job.accepted.spec.payload),
            lease_until_server_ms,
            checkpoint: job.progress.task(index).checkpoint,
            ticket,
        };
        self.orders.push(Order::Start(live.server.clone(), order));
    }

    /// Moves a job to the ended jobs once its end is stored and no run of it is left.
    pub(crate) fn remove_if_ended(&mut self, id: &id::JobId) {
        let has_ended = self.jobs.get(id).is_some_and(|job| {
            job.progress.state.is_final() && job.runs.is_empty() && !job.has_unstored_progress()
        });
        if !has_ended {
            return;
        }
        if let Some(job) = self.jobs.remove(id) {
            self.ended_jobs
                .insert(id.clone(), job.progress.ended_unix_ms);
            self.health.forget(id);
            self.soundness.forget(id);
            self.restarts.forget(id);
            self.crashes.forget(id);
            self.refused_stops.forget(id);
            self.speeds.forget(id);
        }
    }

    /// At most `count_max` ended jobs whose retention time is over, so that the caller can delete
    /// their rows and confirm that with [`Engine::confirm_removal`]. Also drops cancellations of
    /// jobs that were not submitted within `retention_ms`, and the memory of removed jobs.
    pub fn expired_jobs(&mut self, count_max: usize, now: Now) -> Vec<id::JobId> {
        let retention_ms = self.settings.retention_ms;
        self.cancelled_before_submit
            .retain(|_, at_unix_ms| *at_unix_ms + retention_ms >= now.unix_ms);
        self.removed_jobs
            .retain(|_, removed_ms| now.ms < *removed_ms + REMOVED_JOB_MEMORY_MS);
        let has_expired = |ended_unix_ms: u64| ended_unix_ms + retention_ms < now.unix_ms;
        self.ended_jobs
            .iter()
            .filter(|(_, ended_unix_ms)| has_expired(**ended_unix_ms))
            .map(|(id, _)| id.clone())
            .take(count_max)
            .collect()
    }

    /// Forgets ended jobs whose inbox rows are known to be deleted. A read of the inbox that was on
    /// its way at the time may still show them, so they count as known for some time.
    pub fn confirm_removal(&mut self, ids: &[id::JobId], now: Now) {
        for id in ids {
            self.ended_jobs.remove(id);
            self.removed_jobs.insert(id.clone(), now.ms);
        }
    }

    /// Removes and returns the queued orders, for the caller to send.
    pub fn take_orders(&mut self) -> Vec<Order> {
        std::mem::take(&mut self.orders)
    }

    /// Removes and returns the queued events, for the caller to log and count.
    pub fn take_events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Number of waiting jobs by queue: open jobs that have no schedule and have not begun
    /// ([`Progress::has_begun`]).
    pub fn waiting_jobs(&self) -> BTreeMap<id::QueueName, u64> {
        let mut waiting = BTreeMap::new();
        for job in self.jobs.values() {
            let is_waiting = !job.progress.has_begun
                && !job.progress.state.is_final()
                && job.accepted.spec.schedule.is_none();
            if is_waiting {
                *waiting.entry(job.accepted.queue.clone()).or_default() += 1;
            }
        }
        waiting
    }

    /// The open jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &open_job::OpenJob> {
        self.jobs.values()
    }

    /// The open job with this id; `None` also for ended jobs.
    pub fn job(&self, id: &id::JobId) -> Option<&open_job::OpenJob> {
        self.jobs.get(id)
    }
}

fn opened_event(job: &open_job::OpenJob, age_ms: u64) -> Event {
    let steps = &job.accepted.spec.steps;
    let widest = steps.iter().max_by_key(|step| step.task_count);
    let core_s = steps.iter().map(|step| {
        f64::from(step.task_count) * preemption::core_seconds(&step.need, step.estimate_ms)
    });
    Event::Opened {
        job: job.id.clone(),
        queue: job.accepted.queue.clone(),
        priority: job.accepted.terms.priority,
        tasks: widest.map_or(0, |step| step.task_count),
        is_gang: widest.is_some_and(|step| step.is_gang),
        accelerators: widest.map_or(0, |step| step.need.accelerators),
        core_s: core_s.sum(),
        critical_path_ms: job.critical_path_ms(),
        objective_ms: job.objective_ms(),
        is_scheduled_or_long_running: job.accepted.spec.schedule.is_some()
            || steps.iter().any(|step| step.is_long_running),
        age_ms,
    }
}

/// Builds the name that orders and replies use for a run.
pub(crate) fn run_name(job: &id::JobId, index: job::TaskIndex, run: id::Run) -> RunName {
    RunName {
        task: job::TaskName {
            job: job.clone(),
            index,
        },
        run,
    }
}

impl Engine {
    /// Computes the median speed again, and each server's copy of its speed.
    pub(crate) fn update_median_speed(&mut self) {
        let ratios = self.speeds.ratios(self.servers.keys());
        for (server, ratio) in self.servers.values_mut().zip(&ratios) {
            server.speed_ratio = *ratio;
        }
        self.median_speed_ratio = Some(speeds::median(ratios));
    }

    /// The median speed of all servers. After the first scan it is that of the last scan, which is
    /// close enough since it changes slowly.
    pub(crate) fn median_speed(&self) -> f64 {
        let known = self.median_speed_ratio;
        known.unwrap_or_else(|| speeds::median(self.speeds.ratios(self.servers.keys())))
    }

    /// The estimated speed of a server relative to the median; 1 if the server is unknown.
    pub fn relative_speed(&self, id: &str) -> f64 {
        let median = self.median_speed();
        let server = self.servers.keys().find(|server| server.as_str() == id);
        server.map_or(1.0, |server| self.speeds.ratio(server) / median)
    }
}
