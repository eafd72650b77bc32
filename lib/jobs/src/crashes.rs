//! Tasks that crash the backend servers that start them: records which tasks ran on a server that
//! was lost, keeps the suspected ones apart from other work, and gives up those that several
//! crashes point to. See docs/design/crashes.md.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::net::SocketAddr;

use camphorbeam_model::{fleet, id, job};

use crate::crash_evidence::{Blame, CrashEntry, Evidence, Isolation, ServerLife};
use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::live_run::{LiveRun, RunPhase};
use crate::open_job::{OpenJob, PlacementUnit};
use crate::progress::{JobState, TaskState};
use crate::server::Server;

/// A start explains the loss of its server if the server hasn't replied for this long after it.
const RECENT_START_MS: u64 = 1_000;

/// How long a suspected run has to last before other work may start on its server.
const PROBATION_MS: u64 = 2_000;

/// How long a server runs nothing else beside a run in [`Isolation::Exclusive`]. A long-running
/// task that has lasted for so long isn't blamed for a crash.
const EXCLUSIVE_MS: u64 = 30_000;

/// How long after a loss a task avoids the machine.
const MACHINE_AVOIDANCE_MS: u64 = 20_000;

/// The same, for a task that may have few other machines to choose from.
const ONLY_MACHINE_AVOIDANCE_MS: u64 = 5_000;

/// Number of servers of a service below which its tasks have few machines to choose from.
const FEW_SERVERS: usize = 8;

/// How long after a loss a task waits for a server on which nothing else has just been started.
const QUIET_SERVER_WAIT_MS: u64 = 4_000;

/// How long after a loss a task that needs a server of its own waits for one without any run.
const EMPTY_SERVER_WAIT_MS: u64 = 2_000;

/// How long a crash counts against the machine, unless a given up task explains it, and against
/// the fleet if no task explains it.
const DOUBT_MS: u64 = 60_000;

/// Identifies a crash: a server may crash more than once under its id.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Crash {
    server: id::BackendServerId,
    incarnation: Option<fleet::Incarnation>,
}

impl Crash {
    fn of(entry: &CrashEntry) -> Self {
        Self {
            server: entry.server.clone(),
            incarnation: entry.life.and_then(|life| life.incarnation),
        }
    }
}

/// A crash that no given up task explains.
#[derive(Clone, Debug)]
struct UnexplainedCrash {
    at_ms: u64,
    crash: Crash,
    /// Jobs that may have caused it.
    jobs: BTreeSet<id::JobId>,
}

/// What the scheduler remembers of lost servers beyond the entries in the progress of jobs. A
/// successor begins without most of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Crashes {
    /// By the address of the server, which stands for the machine.
    unexplained: BTreeMap<SocketAddr, Vec<UnexplainedCrash>>,
    /// Runs of suspected tasks, by server.
    watched: BTreeMap<id::BackendServerId, BTreeSet<(id::JobId, job::TaskIndex)>>,
    /// Until when servers of the fleet count as crashing by themselves.
    spontaneous_until_ms: u64,
    /// Lives of lost servers that may have ended or be out of reach, with the jobs that have an
    /// entry for them.
    unproven: BTreeMap<id::BackendServerId, (ServerLife, BTreeSet<id::JobId>)>,
}

impl Crashes {
    /// Whether the machine at `address` has crashed lately without a task that explains it.
    pub fn is_doubtful(&self, address: &SocketAddr) -> bool {
        self.unexplained.contains_key(address)
    }

    /// Drops crashes that no longer count.
    pub fn expire(&mut self, now_ms: u64) {
        self.unexplained.retain(|_, crashes| {
            crashes.retain(|crash| now_ms < crash.at_ms + DOUBT_MS);
            !crashes.is_empty()
        });
    }

    /// Records that servers may crash by themselves: one has, or it isn't known whether one has.
    pub fn note_spontaneous(&mut self, now_ms: u64) {
        self.spontaneous_until_ms = now_ms + DOUBT_MS;
    }

    /// Whether a crash at `address` repeats one that tasks of other jobs only were part of.
    fn is_repeated(&self, address: &SocketAddr, jobs: &BTreeSet<id::JobId>) -> bool {
        let crashes = self.unexplained.get(address).into_iter().flatten();
        let mut others = crashes.filter(|crash| crash.jobs.is_disjoint(jobs));
        others.next().is_some()
    }

    /// Removes crashes that a given up task explains.
    fn explain(&mut self, explained: &[Crash]) {
        self.unexplained.retain(|_, crashes| {
            crashes.retain(|known| !explained.contains(&known.crash));
            !crashes.is_empty()
        });
    }

    /// Removes what is known about an ended job.
    pub fn forget(&mut self, job: &id::JobId) {
        self.unproven.retain(|_, (_, jobs)| {
            jobs.remove(job);
            !jobs.is_empty()
        });
    }

    /// Ends the watch of a run.
    pub fn unwatch(&mut self, server: &id::BackendServerId, run: &(id::JobId, job::TaskIndex)) {
        if let Some(runs) = self.watched.get_mut(server) {
            runs.remove(run);
            if runs.is_empty() {
                self.watched.remove(server);
            }
        }
    }
}

/// A run on a server that was lost.
struct LostRun {
    job: id::JobId,
    task: job::TaskIndex,
    run: id::Run,
    /// Whether the server may not have replied for long enough after the start.
    is_recent: bool,
    /// Whether the task was on another machine that was lost.
    is_known: bool,
    /// Whether the task was on the same machine when it was lost before.
    is_same_machine: bool,
    /// Whether the run was kept apart from other work when the server last replied.
    is_kept_apart: bool,
    /// Whether the server has confirmed the start.
    has_begun: bool,
}

/// The runs that explain the loss of their server best; none if the server itself is the likely
/// cause.
///
/// A task that crashes servers mostly does so as it begins, and was on another server that was lost
/// before. While servers crash by themselves, a task that began earlier explains nothing. But one that
/// was kept apart explains as much as work that was started beside it all the same.
fn best_explanations(runs: &[LostRun], are_spontaneous: bool) -> Vec<&LostRun> {
    let select = |is_selected: fn(&LostRun) -> bool| -> Vec<&LostRun> {
        let others = runs.iter().filter(|run| !run.is_same_machine);
        others.filter(|run| is_selected(run)).collect()
    };
    let began_lately = |is_selected: fn(&LostRun) -> bool| match select(is_selected) {
        selected if selected.is_empty() => selected,
        mut selected => {
            selected.extend(select(|run| run.is_kept_apart && !run.is_recent));
            selected
        }
    };
    let choices = [
        began_lately(|run| run.is_recent && run.is_known),
        began_lately(|run| run.is_recent),
        match are_spontaneous {
            true => Vec::new(),
            false => select(|run| run.is_known),
        },
    ];
    let mut choices = choices.into_iter();
    choices
        .find(|selected| !selected.is_empty())
        .unwrap_or_default()
}

impl Engine {
    /// Records the loss of a server for the tasks with a run there, before these runs are removed.
    /// With `is_proven` the server is known to have crashed; otherwise it may be out of reach.
    /// `survivors` are runs that exist all the same. A server that was about to leave is no
    /// evidence.
    pub(crate) fn record_server_loss(
        &mut self,
        id: &id::BackendServerId,
        life: Option<ServerLife>,
        is_proven: bool,
        survivors: &BTreeSet<(&id::JobId, job::TaskIndex, id::Run)>,
        now: Now,
    ) {
        let server = self.servers.get(id);
        let is_leaving = server.is_some_and(|server| {
            server.entry.is_draining || self.is_closed_for_maintenance(server)
        });
        if is_leaving {
            return;
        }
        let last_reply_ms = server.and_then(|server| server.last_reply_ms);
        let runs: Vec<LostRun> = self
            .runs_on(id)
            .into_iter()
            .filter_map(|(job, task)| self.lost_run(job, task, life, last_reply_ms, now))
            .filter(|lost| !survivors.contains(&(&lost.job, lost.task, lost.run)))
            .collect();
        if let (Some(life), false) = (life, is_proven) {
            let jobs = runs.iter().map(|lost| lost.job.clone());
            self.crashes
                .unproven
                .insert(id.clone(), (life, jobs.collect()));
        }
        let are_spontaneous = now.ms < self.crashes.spontaneous_until_ms;
        let explanations = best_explanations(&runs, are_spontaneous);
        if explanations.is_empty() && is_proven {
            self.crashes.note_spontaneous(now.ms);
        }
        let jobs: BTreeSet<id::JobId> = explanations.iter().map(|lost| lost.job.clone()).collect();
        let is_repeated = life.is_some_and(|life| self.crashes.is_repeated(&life.address, &jobs));
        let blame_of = |lost: &LostRun| match jobs.len() {
            _ if is_repeated => Blame::Bystander,
            _ if !explanations.iter().any(|best| std::ptr::eq(*best, lost)) => Blame::Bystander,
            1 => Blame::Sole,
            _ => Blame::Shared,
        };
        let blames: Vec<Blame> = runs.iter().map(blame_of).collect();
        if let (Some(life), true) = (life, is_proven) {
            let of_address = self.crashes.unexplained.entry(life.address).or_default();
            of_address.push(UnexplainedCrash {
                at_ms: now.ms,
                crash: Crash {
                    server: id.clone(),
                    incarnation: life.incarnation,
                },
                jobs,
            });
        }
        for (lost, blame) in runs.iter().zip(blames) {
            let Some(job) = self.jobs.get_mut(&lost.job) else {
                continue;
            };
            let entry = CrashEntry {
                life,
                is_proven,
                has_begun: lost.has_begun,
                ..CrashEntry::new(lost.task, lost.run, id.clone(), blame, now.unix_ms)
            };
            job.progress.crashes.push(entry);
            job.mark_changed();
            let evidence = Evidence::of(&job.progress.crashes, lost.task);
            self.events.push(Event::Crash {
                job: lost.job.clone(),
                task: lost.task,
                server: id.clone(),
                blame: blame.name(),
                is_proven,
                has_begun: lost.has_begun,
                crashes: evidence.crashes(),
            });
        }
        for lost in &runs {
            self.give_up_if_deadly(&lost.job, lost.task, now);
        }
    }

    fn lost_run(
        &self,
        id: id::JobId,
        task: job::TaskIndex,
        life: Option<ServerLife>,
        last_reply_ms: Option<u64>,
        now: Now,
    ) -> Option<LostRun> {
        let job = self.jobs.get(&id)?;
        let live = job.runs.get(&task)?;
        let is_proven_long = job.step(task).is_long_running
            && live
                .first_present_ms
                .is_some_and(|since_ms| now.ms >= since_ms + EXCLUSIVE_MS);
        let is_sent = !matches!(live.phase, RunPhase::AwaitingWrite { .. });
        let is_done = job.progress.task_state(task) == TaskState::Done;
        if job.progress.state.is_final() || is_done || !is_sent || is_proven_long {
            return None;
        }
        let is_recent = live
            .start_sent_ms
            .is_some_and(|sent_ms| sent_ms + RECENT_START_MS > last_reply_ms.unwrap_or(0));
        let evidence = Evidence::of(&job.progress.crashes, task);
        let address = life.map(|life| life.address);
        let is_same =
            |entry: &&CrashEntry| entry.life.is_some_and(|life| Some(life.address) == address);
        let is_same_machine = evidence.entries().iter().any(is_same);
        let is_known = evidence.suspicions().next().is_some();
        // The loss is noticed seconds after it.
        let lost_ms = last_reply_ms.unwrap_or(now.ms);
        let mut watched = self.watched_runs(&live.server);
        let is_kept_apart = watched.any(|(watched_id, watched_task, _)| {
            (watched_id, watched_task) == (&id, task)
                && self.is_kept_apart(&id, task, live, lost_ms)
        });
        Some(LostRun {
            task,
            run: live.run,
            is_recent,
            is_known,
            is_same_machine,
            is_kept_apart,
            has_begun: live.is_confirmed,
            job: id,
        })
    }

    /// Decides about losses without proof after `server`, which listens at `address`, has replied:
    /// an earlier server at the address has crashed, and one that replies in the same life was only
    /// out of reach.
    pub(crate) fn resolve_losses(
        &mut self,
        server: &id::BackendServerId,
        replied: ServerLife,
        now: Now,
    ) {
        let of_address = self.crashes.unproven.iter();
        let of_address = of_address.filter(|(id, (life, _))| {
            *id == server
                || (life.address == replied.address && life.incarnation <= replied.incarnation)
        });
        let resolved: Vec<id::BackendServerId> = of_address.map(|(id, _)| id.clone()).collect();
        for id in resolved {
            let Some((life, jobs)) = self.crashes.unproven.remove(&id) else {
                continue;
            };
            let is_same_life = &id == server && life.incarnation == replied.incarnation;
            self.events.push(Event::LossResolved {
                server: id.clone(),
                has_crashed: !is_same_life,
                jobs: jobs.len(),
            });
            for job in jobs {
                self.resolve_loss(&job, &id, is_same_life, now);
            }
        }
    }

    fn resolve_loss(
        &mut self,
        id: &id::JobId,
        server: &id::BackendServerId,
        is_same_life: bool,
        now: Now,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let entries = &mut job.progress.crashes;
        let mut tasks = Vec::new();
        // The server may have crashed in an earlier life too.
        let is_unproven = |entry: &CrashEntry| &entry.server == server && !entry.is_proven;
        if is_same_life {
            entries.retain(|entry| !is_unproven(entry));
        }
        for entry in entries.iter_mut().filter(|entry| is_unproven(entry)) {
            entry.is_proven = true;
            tasks.push(entry.task());
        }
        job.mark_changed();
        for task in tasks {
            self.give_up_if_deadly(id, task, now);
        }
    }

    /// Takes the losses without proof of a job that an earlier scheduler has recorded.
    pub(crate) fn restore_losses(&mut self, job: &OpenJob) {
        for entry in job.progress.crashes.iter().filter(|entry| !entry.is_proven) {
            if let Some(life) = entry.life {
                let unproven = &mut self.crashes.unproven;
                let (_, jobs) = unproven
                    .entry(entry.server.clone())
                    .or_insert_with(|| (life, BTreeSet::new()));
                jobs.insert(job.id.clone());
            }
        }
    }

    /// Gives up the jobs of which a waiting task may not be started again.
    pub(crate) fn give_up_waiting(&mut self, now: Now) {
        let suspected = self
            .jobs
            .values()
            .filter(|job| !job.progress.crashes.is_empty());
        let tasks: BTreeSet<(id::JobId, job::TaskIndex)> = suspected
            .flat_map(|job| {
                let entries = job.progress.crashes.iter();
                entries.map(|entry| (job.id.clone(), entry.task()))
            })
            .collect();
        for (id, task) in tasks {
            self.give_up_if_deadly(&id, task, now);
        }
    }

    /// Ends the job of a task that has crashed several servers.
    fn give_up_if_deadly(&mut self, id: &id::JobId, task: job::TaskIndex, now: Now) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let evidence = Evidence::of(&job.progress.crashes, task);
        let are_spontaneous = now.ms < self.crashes.spontaneous_until_ms;
        let is_waiting = job.progress.task_state(task) == TaskState::Waiting;
        let last_run = job.progress.task(task).run;
        let is_given_up = evidence.is_deadly(are_spontaneous)
            || (is_waiting && evidence.is_out_of_starts(last_run));
        if job.progress.state.is_final() || !is_given_up {
            return;
        }
        let crashes = evidence.entries().iter().filter(|entry| entry.is_proven);
        let mut reason = format!(
            "given up: the backend servers that ran task {}.{}.{} have crashed (",
            task.occurrence, task.step, task.rank
        );
        for (number, entry) in crashes.enumerate() {
            let separator = if number > 0 { ", " } else { "" };
            // Writing to a string can't fail.
            let _ = write!(reason, "{separator}{} in run {}", entry.server, entry.run.0);
        }
        reason.push(')');
        let caused = evidence.suspicions();
        let caused = caused.filter(|entry| entry.blame != Blame::Bystander);
        let crashes: Vec<Crash> = caused.map(Crash::of).collect();
        self.events.push(Event::GivenUp {
            job: id.clone(),
            task,
            crashes: evidence.crashes(),
        });
        job.progress.failure = Some(reason.into());
        self.end_job(id, JobState::Failed, now);
        self.crashes.explain(&crashes);
        self.clear_neighbours(id, &crashes);
    }

    /// Clears other jobs of `crashes`, which the job `cause` explains.
    fn clear_neighbours(&mut self, cause: &id::JobId, crashes: &[Crash]) {
        for job in self.jobs.values_mut().filter(|job| &job.id != cause) {
            let entries = job.progress.crashes.iter_mut();
            let is_explained = |entry: &&mut CrashEntry| {
                entry.blame != Blame::Cleared && crashes.contains(&Crash::of(entry))
            };
            let explained: Vec<_> = entries.filter(is_explained).collect();
            if explained.is_empty() {
                continue;
            }
            for entry in explained {
                entry.blame = Blame::Cleared;
            }
            job.mark_changed();
        }
    }

    /// How the next run of a unit is kept apart from other work.
    pub(crate) fn isolation(&self, id: &id::JobId, unit: PlacementUnit) -> Isolation {
        let crashes = &self.jobs[id].progress.crashes;
        let of_member = |task| Evidence::of(crashes, task).isolation();
        match crashes.is_empty() {
            true => Isolation::None,
            false => unit.members().map(of_member).max().unwrap_or_default(),
        }
    }

    /// Whether a unit waits because too many losses of its servers are not explained, or because a
    /// task of it is about to be given up.
    pub(crate) fn waits_after_losses(&self, id: &id::JobId, unit: PlacementUnit, now: Now) -> bool {
        let progress = &self.jobs[id].progress;
        !progress.crashes.is_empty()
            && unit.members().any(|task| {
                let evidence = Evidence::of(&progress.crashes, task);
                let until_unix_ms = evidence.delayed_until_unix_ms();
                until_unix_ms.is_some_and(|until_unix_ms| now.unix_ms < until_unix_ms)
                    || evidence.is_out_of_starts(progress.task(task).run)
            })
    }

    /// Adds the servers to `excluded` that a suspected unit may not use: those at the addresses of
    /// servers that were lost under it, those that crash by themselves, and those on which other
    /// work has just been started, so that a crash would have two explanations.
    pub(crate) fn with_unsafe_servers(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        mut excluded: BTreeSet<id::BackendServerId>,
        now: Now,
    ) -> BTreeSet<id::BackendServerId> {
        let isolation = self.isolation(id, unit);
        if isolation == Isolation::None {
            return excluded;
        }
        let is_of_unit = |entry: &&CrashEntry| unit.members().any(|task| task == entry.task());
        let entries = self.jobs[id].progress.crashes.iter().filter(is_of_unit);
        let newest_unix_ms = entries.clone().map(|entry| entry.at_unix_ms).max();
        let waited_ms = now.unix_ms.saturating_sub(newest_unix_ms.unwrap_or(0));
        let addresses: BTreeSet<SocketAddr> = entries
            .filter_map(|entry| Some(entry.life?.address))
            .collect();
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        let has_few_machines = step.required_label.is_some()
            || step.data_rack.is_some()
            || job.accepted.terms.advice.is_some()
            || self.servers.len() < FEW_SERVERS;
        let avoidance_ms = match has_few_machines {
            true => ONLY_MACHINE_AVOIDANCE_MS,
            false => MACHINE_AVOIDANCE_MS,
        };
        let needs_empty = isolation == Isolation::Exclusive && waited_ms < EMPTY_SERVER_WAIT_MS;
        let is_excluded = |server: &&Server| {
            let address = &server.entry.address;
            let runs = self.runs_by_server.get(&server.entry.id);
            let is_unsafe = addresses.contains(address) || self.crashes.is_doubtful(address);
            let is_busy = now.ms < server.last_start_ms + RECENT_START_MS;
            (is_unsafe && waited_ms < avoidance_ms)
                || (is_busy && waited_ms < QUIET_SERVER_WAIT_MS)
                || (needs_empty && runs.is_some_and(|runs| !runs.is_empty()))
        };
        let servers = self.servers.values().filter(is_excluded);
        excluded.extend(servers.map(|server| server.entry.id.clone()));
        excluded
    }

    /// Keeps a server to a run of a suspected task.
    pub(crate) fn watch_run(
        &mut self,
        server: &id::BackendServerId,
        id: &id::JobId,
        task: job::TaskIndex,
    ) {
        let watched = self.crashes.watched.entry(server.clone()).or_default();
        watched.insert((id.clone(), task));
    }

    /// Whether nothing may be started on a server, because of a suspected run there.
    pub(crate) fn is_kept_to_suspect(&self, server: &id::BackendServerId, now: Now) -> bool {
        let mut runs = self.watched_runs(server);
        runs.any(|(id, task, live)| self.is_kept_apart(id, task, live, now.ms))
    }

    /// Whether a watched run is kept apart from other work at `now_ms`: until its server has confirmed
    /// it, and for a time from then on.
    fn is_kept_apart(
        &self,
        id: &id::JobId,
        task: job::TaskIndex,
        live: &LiveRun,
        now_ms: u64,
    ) -> bool {
        let isolation_ms = match self.run_isolation(id, task) {
            Isolation::None => 0,
            Isolation::Probation => PROBATION_MS,
            Isolation::Exclusive => EXCLUSIVE_MS,
        };
        let since_ms = live.first_present_ms.filter(|_| live.is_confirmed);
        since_ms.is_none_or(|since_ms| now_ms < since_ms + isolation_ms)
    }

    /// The watched runs on a server that still exist.
    fn watched_runs(
        &self,
        server: &id::BackendServerId,
    ) -> impl Iterator<Item = (&id::JobId, job::TaskIndex, &LiveRun)> {
        let watched = self.crashes.watched.get(server).into_iter().flatten();
        watched.filter_map(|(id, task)| {
            let live = self.jobs.get(id)?.runs.get(task)?;
            Some((id, *task, live))
        })
    }

    fn run_isolation(&self, id: &id::JobId, task: job::TaskIndex) -> Isolation {
        let unit = self.jobs[id].unit_of(task);
        self.isolation(id, unit)
    }

    /// The current life of a server, if its address is known.
    pub(crate) fn life_of(&self, id: &id::BackendServerId) -> Option<ServerLife> {
        self.servers.get(id).map(|server| ServerLife {
            address: server.entry.address,
            incarnation: server.incarnation,
        })
    }
}

impl OpenJob {
    /// Removes what is known against a task, which has finished.
    pub(crate) fn clear_crashes(&mut self, task: job::TaskIndex) {
        let crashes = &mut self.progress.crashes;
        crashes.retain(|entry| entry.task() != task);
    }
}
