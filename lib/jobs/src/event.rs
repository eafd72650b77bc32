//! Decisions of the engine and observations behind them, for logs and metrics.

use std::sync::Arc;

use camphorbeam_model::{id, job};

use crate::{advice, hindrance, interference, progress};

/// One decision or observation of the engine, with the values that explain it.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The engine has begun to schedule a job: it was accepted just now, or an earlier scheduler
    /// has left it open.
    Opened {
        /// The job.
        job: id::JobId,
        /// Its queue.
        queue: id::QueueName,
        /// Its priority; 0 is urgent.
        priority: u32,
        /// Number of tasks of its widest step.
        tasks: u32,
        /// Whether the tasks of that step are a gang.
        is_gang: bool,
        /// Accelerators of each of these tasks.
        accelerators: u64,
        /// Processor time that the estimates of all tasks of one occurrence amount to, in
        /// core-seconds; an accelerator counts as several cores.
        core_s: f64,
        /// Estimated run time of the longest chain of dependent steps.
        critical_path_ms: u64,
        /// Time from acceptance within which the job should be completed.
        objective_ms: u64,
        /// Whether the job has due times, or tasks that run until it is cancelled.
        is_scheduled_or_long_running: bool,
        /// Age of the job: the time since it was accepted.
        age_ms: u64,
    },
    /// Runs are stopped so that an urgent unit can start in their place.
    Preemption {
        /// The urgent job.
        job: id::JobId,
        /// The first task of the unit.
        first: job::TaskIndex,
        /// Number of tasks in the unit.
        tasks: u32,
        /// Number of units that are stopped.
        victims: usize,
        /// Core-seconds of work that this is expected to lose.
        lost_core_s: f64,
        /// Age of the urgent job.
        waited_ms: u64,
    },
    /// Servers are reserved for a gang that doesn't fit, or none were found.
    Reservation {
        /// The job.
        job: id::JobId,
        /// The first task of the gang.
        first: job::TaskIndex,
        /// Number of tasks in the gang.
        tasks: u32,
        /// Number of servers that are reserved; zero if the gang wouldn't fit even after all runs
        /// have ended that may be in its way.
        servers: usize,
        /// Time until these runs should have ended, by their progress.
        remaining_ms: u64,
        /// Number of servers that may take the gang at all.
        allowed: usize,
        /// Age of the job.
        waited_ms: u64,
    },
    /// A unit was not started on the servers that were proposed for it.
    StartBlocked {
        /// The job.
        job: id::JobId,
        /// The first task of the unit.
        first: job::TaskIndex,
        /// Number of tasks in the unit.
        tasks: u32,
        /// The limit or the state of a server that forbids the start.
        obstacle: &'static str,
    },
    /// A unit waits although it would fit on what is free, see [`crate::hindrance`].
    StartWithheld {
        /// The job.
        job: id::JobId,
        /// The first task of the unit.
        first: job::TaskIndex,
        /// Number of tasks in the unit.
        tasks: u32,
        /// What the unit waits for: a [`hindrance::Hindrance::name`], `starts paused` while the
        /// requests to evacuate zones aren't confirmed, `unit delayed` after runs that were lost or
        /// have ended at once, or `advice`.
        cause: &'static str,
        /// For how long there has been room for the unit.
        room_ms: u64,
        /// For how many tasks there is room, by what keeps the servers from being used.
        room: hindrance::RoomByHindrance,
        /// Free share of the scarcest resource of the service.
        free_percent: u32,
        /// Number of units that servers are set apart for.
        claims: usize,
        /// Time until the last claim of other jobs expires.
        claims_end_ms: u64,
        /// Age of the job.
        waited_ms: u64,
    },
    /// The tasks of a placement unit were placed on backend servers.
    Placed {
        /// The job.
        job: id::JobId,
        /// The first task of the unit.
        first: job::TaskIndex,
        /// Number of tasks in the unit.
        tasks: u32,
        /// Run number of these tasks; the members of a gang share one.
        run: id::Run,
        /// The backend server of the first task.
        server: id::BackendServerId,
        /// Age of the job; includes the run time of earlier steps.
        waited_ms: u64,
    },
    /// A run ended.
    Ended {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// The run number.
        run: id::Run,
        /// The backend server that it ran on.
        server: id::BackendServerId,
        /// [`EndKind::name`](crate::orders::EndKind::name) of the end, or `lost` if no end was
        /// reported.
        how: &'static str,
        /// Why it was stopped, as in [`Event::Stopping`]; the same as `how` if it wasn't.
        cause: &'static str,
        /// Time since the run began its work, as far as this scheduler knows.
        worked_ms: u64,
        /// Core-seconds of work that the end has lost; zero for work that was done or saved.
        lost_core_s: f64,
        /// Number of failures counted against the task so far. One run of a gang adds several if
        /// several members report a failure of it.
        failures: u32,
    },
    /// The scheduler has decided to stop a run.
    Stopping {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// The run number.
        run: id::Run,
        /// The backend server that it runs on.
        server: id::BackendServerId,
        /// Why it is stopped; also a label value in metrics.
        reason: &'static str,
    },
    /// A job has changed state.
    State {
        /// The job.
        job: id::JobId,
        /// The new state.
        state: progress::JobState,
        /// Age of the job: the time since it was accepted.
        age_ms: u64,
    },
    /// The scheduler's view of a backend server has changed.
    Server {
        /// The backend server.
        server: id::BackendServerId,
        /// The new view: `registered`, `draining`, `started anew` (after a restart), `replaced`
        /// (another server replies at its address), or `gone or lapsed` (its leases have expired
        /// without a reply).
        belief: &'static str,
        /// Number of runs on the server that this affects.
        runs: usize,
    },
    /// The registry lists another backend server at the address of a known one.
    AddressReused {
        /// The server that was known at the address.
        server: id::BackendServerId,
        /// The server that is registered there now.
        by: id::BackendServerId,
        /// Number of runs that may exist on the earlier server.
        runs: usize,
        /// Time since the last reply of the earlier server, in milliseconds.
        silent_ms: u64,
    },
    /// A run has gone with no report of its end.
    RunLost {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// The run number.
        run: id::Run,
        /// The backend server that it was placed on.
        server: id::BackendServerId,
        /// Time from its first start order to the last reply of the server, in milliseconds; zero
        /// if the server has not replied since.
        age_ms: u64,
        /// Whether the server has confirmed the start.
        has_begun: bool,
        /// Number of other runs that may have existed on the server.
        neighbours: usize,
    },
    /// A server was lost under a run, see [`crate::crash_evidence`].
    Crash {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// The server.
        server: id::BackendServerId,
        /// [`Blame::name`](crate::crash_evidence::Blame::name).
        blame: &'static str,
        /// Whether the server is known to have crashed.
        is_proven: bool,
        /// Whether the server has confirmed the start of the run.
        has_begun: bool,
        /// Number of crashes that count against the task so far.
        crashes: usize,
    },
    /// It is known whether a server that was lost has crashed.
    LossResolved {
        /// The server.
        server: id::BackendServerId,
        /// Whether it has crashed; otherwise it was only out of reach.
        has_crashed: bool,
        /// Number of jobs with tasks that ran there.
        jobs: usize,
    },
    /// A job was given up, since one of its tasks has crashed several servers.
    GivenUp {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// Number of crashes that count against the task.
        crashes: usize,
    },
    /// A job has failed, since one of its tasks has used up its attempts.
    OutOfAttempts {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// Number of failures counted against the task.
        failures: u32,
        /// Number of failures that the terms allow.
        attempts_max: u32,
        /// Version of these terms.
        terms: id::TermsVersion,
    },
    /// A server has listed that a run which was given up had finished its task.
    EarlierRunDone {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// The run.
        run: id::Run,
        /// The server.
        server: id::BackendServerId,
        /// The newest run of the task; stopped if it is a later one.
        newest_run: id::Run,
    },
    /// A server that has started anew refuses a start order of before, so that the task needn't wait
    /// for the order any more.
    LateStartRefused {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// The run that the order would have started.
        run: id::Run,
        /// The server.
        server: id::BackendServerId,
        /// How much longer a later life of the server could carry the order out.
        left_ms: u64,
    },
    /// A step waits since no registered server could run a task of it, even an empty one.
    NoServer {
        /// The job.
        job: id::JobId,
        /// The first waiting task of the step.
        first: job::TaskIndex,
        /// What no server has, see [`crate::unmet::UnmetNeed`].
        need: &'static str,
    },
    /// A request to evacuate a zone was seen or has been removed.
    Evacuation {
        /// The zone.
        zone: id::ZoneName,
        /// `begins`, `ends`, or `no such zone` while no server of the zone is registered.
        state: &'static str,
        /// Number of known servers of the zone.
        servers: usize,
        /// Number of runs on these servers.
        runs: usize,
    },
    /// Starts were paused because the requests to evacuate zones aren't confirmed, or are resumed.
    StartPause {
        /// Whether starts are paused.
        is_paused: bool,
        /// Age of the newest confirmation.
        confirmation_age_ms: u64,
    },
    /// A job waits since all servers that may run one of its steps are in evacuated zones.
    EvacuationWait {
        /// The job.
        job: id::JobId,
        /// What exists in these zones only: `service`, `label` or `data rack`.
        reason: &'static str,
    },
    /// A unit with one attempt left waits for servers that are proven, see [`crate::soundness`].
    WaitsForProven {
        /// The job.
        job: id::JobId,
        /// The first task of the unit.
        first: job::TaskIndex,
        /// Number of tasks in the unit.
        tasks: u32,
        /// Number of proven servers.
        proven: usize,
    },
    /// A call to the service that gives placement advice has ended, see [`crate::advice`].
    Advice {
        /// The step that was asked about.
        step: advice::StepName,
        /// [`AdviceOutcome::name`](advice::AdviceOutcome::name) of the outcome.
        outcome: &'static str,
        /// Number of servers that were asked about.
        asked: usize,
        /// Number of good servers among them.
        good: usize,
        /// Number of servers in the reply that were not asked about.
        foreign: usize,
        /// Number of rows of the reply that could not be read.
        malformed: usize,
        /// Time that the call took.
        took_ms: u64,
    },
    /// A step waits because too few servers may run it, although all usable ones were asked about.
    AdviceWait {
        /// The step.
        step: advice::StepName,
        /// Number of tasks in a unit of the step.
        tasks: u32,
        /// Number of good servers.
        good: usize,
        /// Number of servers that may not run the step.
        bad: usize,
    },
    /// The service that gives placement advice is away, or replies again.
    Adviser {
        /// Whether it is away.
        is_away: bool,
        /// Time since the first failed call.
        silent_ms: u64,
    },
    /// A queue needs placement advice, and the address of the service isn't known.
    NoAdviser {
        /// The queue.
        queue: id::QueueName,
    },
    /// A long-running task is not stopped, since too many tasks of its step would be unavailable.
    StopRefused {
        /// The job.
        job: id::JobId,
        /// The task.
        task: job::TaskIndex,
        /// Why it was to be stopped.
        reason: &'static str,
        /// Number of tasks of the step that would be unavailable.
        unavailable: usize,
        /// Number of tasks of the step that may be unavailable.
        unavailable_max: u32,
    },
    /// The next start of a unit is delayed, since its run has ended at once.
    RestartDelayed {
        /// The job.
        job: id::JobId,
        /// The first task of the unit.
        first: job::TaskIndex,
        /// Number of runs in succession that have ended at once.
        quick_ends: u32,
        /// Time until the next start.
        delay_ms: u64,
    },
    /// The pace of the fillers on a server has changed.
    Pace {
        /// The backend server.
        server: id::BackendServerId,
        /// What led to the change.
        change: crate::pacing::Change,
        /// The worst tail of a serving task there, in thousandths of its target.
        tail_permille: u64,
        /// Number of fillers on the server.
        fillers: usize,
        /// Share of their processor time that they may use together.
        allowed_percent: u32,
    },
    /// Shares have changed the order of jobs, see [`crate::fair_share`]. At most one each second.
    ShareOrder {
        /// A job that comes ahead of an older one.
        ahead: id::JobId,
        /// The older job.
        passed: id::JobId,
        /// How much later the first job was accepted.
        younger_ms: u64,
        /// Number of decisions with a changed order since the last event, with this one.
        decisions: u64,
    },
    /// The reach of servers has changed, see [`crate::reachability`].
    Reach {
        /// The new view.
        view: ReachView,
        /// The backend server or the zone; empty for the own link.
        name: Arc<str>,
        /// Number of servers that are closed or, for the own link, without a reply.
        servers: usize,
        /// How long no reply has come when the view changed, in milliseconds.
        silent_ms: u64,
    },
    /// A pair of kinds of tasks has begun or ceased to count as slowing each other down.
    Interference(interference::Change),
}

/// A change of the reach of servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachView {
    /// A server is closed because it doesn't reply.
    ServerClosed,
    /// A server that was closed by itself has replied.
    ServerReplies,
    /// The silent servers of a zone are closed, since the zone is cut off.
    ZoneCutOff,
    /// Most servers of a zone reply again.
    ZoneReplies,
    /// No zone replies, which is taken for a fault of this host or its link.
    OwnLinkSilent,
}

impl ReachView {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::ServerClosed => "server closed",
            Self::ServerReplies => "server replies",
            Self::ZoneCutOff => "zone cut off",
            Self::ZoneReplies => "zone replies",
            Self::OwnLinkSilent => "own link silent",
        }
    }
}
