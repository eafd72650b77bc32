//! The scheduler's in-memory state of a request that has not ended, and of its gang.

use std::collections::BTreeSet;

use camphorbeam_backend::task as backend_task;
use camphorbeam_clock as clock;
use camphorbeam_model::{id, record, task};
use camphorbeam_placement::policy;
use camphorbeam_telemetry::traces;

/// A request that has not ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// The request's record as last written or read.
    pub record: record::RequestRecord,
    /// Version of the record's row. `None` after a write whose outcome is unknown.
    pub row_version: Option<u64>,
    /// What the scheduler does with the request now.
    pub phase: Phase,
    /// Members of the current attempt in rank order. Empty while the request waits.
    pub members: Vec<TrackedMember>,
    /// Number of the current attempt, or of the last one.
    pub attempt: id::Attempt,
    /// Whether the start record of the current attempt is known to be committed.
    pub is_start_recorded: bool,
    /// When the current attempt started. `None` before its start, and if a previous scheduler began
    /// its launch.
    pub started_at: Option<clock::Monotonic>,
    /// Steps that have not been written to the record yet.
    pub unrecorded_steps: Vec<record::HistoryEntry>,
    /// Whether the caller has requested cancellation.
    pub is_cancel_requested: bool,
    /// Why the placement policy preempts the current attempt, if it has decided so during its launch.
    /// The policy decides only once, so the attempt is ended once its launch is complete.
    pub preemption_reason: Option<String>,
    /// Backend servers that reported a task of the request as failed. Placement avoids them.
    pub failed_servers: BTreeSet<id::BackendServerId>,
    /// Whether the request may run on `failed_servers` again, because no rack has enough
    /// accelerators without them.
    pub may_reuse_failed_servers: bool,
    /// Whether the placement policy counts accelerators as allocated to the request.
    pub has_allocation: bool,
    /// The number of the next attempt is greater than this.
    pub attempt_floor: id::Attempt,
    /// Whether the request was loaded from its row rather than handed over by an entry host.
    ///
    /// A previous scheduler may then have started it. This is also set for requests that were
    /// accepted in this epoch but never handed over.
    pub is_loaded_from_row: bool,
    /// Whether a step kept in memory, of an earlier or the current attempt, says that the request
    /// may have run. See `ZoneScheduler::add_unrecorded_step`.
    pub has_possible_run_in_memory: bool,
    /// Whether a worker is processing the request now.
    pub has_worker: bool,
    /// When a worker should process the request again.
    pub due_at: Option<clock::Monotonic>,
    /// Number of consecutive failed launches, for backoff.
    pub failed_launches: u32,
    /// Number of consecutive retries of the work of the current phase, for backoff.
    pub retry_count: u32,
    /// Trace in which the request was accepted. `None` if this scheduler loaded the request from
    /// its row; the first span here then begins a new trace.
    pub trace: Option<traces::SpanContext>,
}

/// What the scheduler does with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The job waits until the placement policy decides to start or refuse it.
    Waiting,
    /// A worker reserves accelerators, writes the start record and starts the tasks.
    Launching,
    /// A worker sends the start orders of a launch that a previous scheduler began. An inventory
    /// listed at least one task of the attempt as reserved.
    ///
    /// If the attempt was taken over from an inventory ([`Job::adopt_unrecorded_attempt`]), it has
    /// no start record, and some members may not have reserved their accelerators.
    Resuming,
    /// Every member has confirmed its start, or a previous scheduler began the attempt and no
    /// inventory has shown yet that the launch has to be resumed.
    Running,
    /// The members have ended or have to be stopped. Then the outcome has to be determined and
    /// recorded.
    Ending(EndReason),
    /// The job waits for its retry delay before it is queued for placement again.
    BackingOff,
    /// The placement policy has refused the job, which has to be recorded.
    Refusing {
        /// Why the policy refused it.
        reason: String,
    },
}

/// Why an attempt is being ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// All members have finished.
    Finished,
    /// The launch failed.
    LaunchFailed {
        /// What failed.
        detail: String,
    },
    /// A member ended without an answer or can't be reached.
    MemberLost {
        /// What is known about the member.
        detail: String,
    },
    /// The placement policy preempted the attempt.
    Preempted {
        /// Why the policy preempted it.
        reason: String,
    },
    /// The caller cancelled the request.
    Cancelled,
}

/// A gang member and what the scheduler knows about its task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrackedMember {
    /// The member's backend server and accelerators.
    pub member: task::Member,
    /// Last known state of the member's task.
    pub state: MemberState,
    /// Whether the task has started, or may have.
    pub may_have_started: bool,
}

/// State of a member's task as far as the scheduler knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// The backend server has not confirmed any order for the task.
    Unconfirmed,
    /// The task is reserved or running.
    Active,
    /// The task has ended and released its accelerators.
    Ended(backend_task::TaskState),
    /// The backend server can't be reached, but the task's lease is known to have expired. The task
    /// has released its accelerators; how it ended is not known yet.
    LeaseExpired,
    /// The backend server refused to reserve for the task, doesn't know it, or no longer exists.
    /// The task counts as ended without an answer, unless a later report shows its state.
    Gone,
}

impl TrackedMember {
    /// Returns a member for which no order has been sent.
    pub fn new(member: task::Member) -> Self {
        Self {
            member,
            state: MemberState::Unconfirmed,
            may_have_started: false,
        }
    }

    /// Returns whether the task counts as holding no accelerators.
    ///
    /// A later report can make a member active again that is [`MemberState::LeaseExpired`] or
    /// [`MemberState::Gone`], but not one that is [`MemberState::Ended`].
    pub fn is_inactive(&self) -> bool {
        !matches!(self.state, MemberState::Unconfirmed | MemberState::Active)
    }

    /// Returns whether the backend server may still report how the task ended.
    pub fn awaits_status(&self) -> bool {
        self.state == MemberState::LeaseExpired && self.may_have_started
    }

    /// Returns whether the task ended with an answer.
    pub fn is_finished(&self) -> bool {
        matches!(
            self.state,
            MemberState::Ended(backend_task::TaskState::Finished { .. })
        )
    }

    /// Updates the state from a backend server's report.
    ///
    /// An ended task never becomes active again, so a report to the contrary is outdated and
    /// ignored.
    pub fn apply_status(&mut self, status: &backend_task::TaskStatus) {
        match &status.state {
            state if state.is_ended() => {
                self.may_have_started = status.has_started;
                self.state = MemberState::Ended(state.clone());
            }
            _ if matches!(self.state, MemberState::Ended(_)) => {}
            _ => {
                self.may_have_started |= status.has_started;
                self.state = MemberState::Active;
            }
        }
    }
}

impl Job {
    /// Returns a job that a previous scheduler has started, according to its record.
    pub fn started(
        record: record::RequestRecord,
        row_version: u64,
        members: &[task::Member],
    ) -> Self {
        let recovered_member = |member: &task::Member| TrackedMember {
            member: member.clone(),
            state: MemberState::Active,
            may_have_started: true,
        };
        Self {
            phase: Phase::Running,
            members: members.iter().map(recovered_member).collect(),
            is_start_recorded: true,
            has_allocation: true,
            ..Self::waiting(record, row_version)
        }
    }

    /// Returns a waiting job.
    pub fn waiting(record: record::RequestRecord, row_version: u64) -> Self {
        Self {
            attempt: record.last_attempt,
            record,
            row_version: Some(row_version),
            phase: Phase::Waiting,
            members: Vec::new(),
            is_start_recorded: false,
            started_at: None,
            unrecorded_steps: Vec::new(),
            is_cancel_requested: false,
            preemption_reason: None,
            failed_servers: BTreeSet::new(),
            may_reuse_failed_servers: false,
            has_allocation: false,
            attempt_floor: id::Attempt(0),
            is_loaded_from_row: false,
            has_possible_run_in_memory: false,
            has_worker: false,
            due_at: None,
            failed_launches: 0,
            retry_count: 0,
            trace: None,
        }
    }

    /// Returns the job in the form that the placement policy takes.
    pub fn to_policy_job(&self, arrived_at_ms: u64) -> policy::Job {
        let spec = &self.record.spec;
        policy::Job {
            id: self.record.id.clone(),
            client_account: spec.client_account.clone(),
            kind: spec.kind.clone(),
            accelerators: spec.accelerators,
            idempotent: spec.idempotent,
            checkpointable: spec.checkpointable,
            declared_run_time_ms: spec.declared_run_time_ms,
            avoided_servers: match self.may_reuse_failed_servers {
                true => BTreeSet::new(),
                false => self.failed_servers.clone(),
            },
            arrived_at_ms,
        }
    }

    /// Returns the record with an empty payload.
    pub fn record_without_payload(&self) -> record::RequestRecord {
        let mut record = self.record.clone();
        record.spec.payload = String::new();
        record
    }

    /// Begins to end a running job, or one whose launch is being resumed. Does nothing in any other
    /// phase.
    pub fn begin_ending(&mut self, reason: EndReason) {
        if matches!(self.phase, Phase::Running | Phase::Resuming) {
            self.phase = Phase::Ending(reason);
        }
    }

    /// Preempts the current attempt: now, or at the end of its launch.
    pub fn preempt(&mut self, reason: String) {
        match self.phase {
            Phase::Launching => self.preemption_reason = Some(reason),
            _ => self.begin_ending(EndReason::Preempted { reason }),
        }
    }

    /// Returns the members without the state of their tasks.
    pub fn task_members(&self) -> Vec<task::Member> {
        self.members
            .iter()
            .map(|tracked| tracked.member.clone())
            .collect()
    }
}

impl Job {
    /// Begins to end the job if all members have finished, or if one was lost or ended without an
    /// answer.
    pub fn update_phase_from_members(&mut self) {
        let all_finished = self.members.iter().all(TrackedMember::is_finished);
        let lost_member = self
            .members
            .iter()
            .find(|tracked| tracked.is_inactive() && !tracked.is_finished());
        let reason = match lost_member {
            None if all_finished => EndReason::Finished,
            None => return,
            Some(tracked) => EndReason::MemberLost {
                detail: format!(
                    "member on {}: {}",
                    tracked.member.server,
                    describe_state(&tracked.state)
                ),
            },
        };
        self.begin_ending(reason);
    }

    /// Returns whether a member on `server` holds accelerators, or may.
    pub fn has_active_member_on(&self, server: &id::BackendServerId) -> bool {
        self.members
            .iter()
            .any(|tracked| tracked.member.server == *server && !tracked.is_inactive())
    }

    /// Returns the tasks on `server` that hold accelerators, or may.
    pub fn active_tasks_on(&self, server: &id::BackendServerId) -> Vec<task::TaskKey> {
        self.tasks()
            .filter(|(_, tracked)| tracked.member.server == *server && !tracked.is_inactive())
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the tasks of the current attempt in rank order.
    pub fn tasks(&self) -> impl Iterator<Item = (task::TaskKey, &TrackedMember)> + '_ {
        self.members.iter().zip(0_u32..).map(|(tracked, rank)| {
            let key = task::TaskKey {
                request: self.record.id.clone(),
                attempt: self.attempt,
                rank: id::Rank(rank),
            };
            (key, tracked)
        })
    }

    /// Returns whether the job can take over the unrecorded attempt of a listed task: an attempt of
    /// a previous scheduler with a higher number than the record shows, of which this task is
    /// reserved or running. Only the attempts of idempotent requests are taken over.
    ///
    /// A previous scheduler may have started such an attempt without a start record while the
    /// platform was unreachable. An attempt that only got as far as its reservations is taken over
    /// as well.
    pub fn can_adopt_unrecorded_attempt(&self, listed: &backend_task::ListedTask) -> bool {
        self.phase == Phase::Waiting
            && self.record.spec.idempotent
            && listed.status.key.attempt > self.attempt
            && !listed.status.state.is_ended()
    }

    /// Takes over the unrecorded attempt of a listed task; see
    /// [`Job::can_adopt_unrecorded_attempt`]. All its members count as active and as possibly
    /// started, also if they are only reserved.
    ///
    /// Adds no [`record::HistoryEvent::Adopted`]; that step is only for attempts that have a start
    /// record.
    pub fn adopt_unrecorded_attempt(&mut self, listed: &backend_task::ListedTask) {
        self.attempt = listed.status.key.attempt;
        self.members = listed
            .members
            .iter()
            .cloned()
            .map(TrackedMember::new)
            .collect();
        for tracked in &mut self.members {
            tracked.may_have_started = true;
            tracked.state = MemberState::Active;
        }
        self.phase = Phase::Running;
        self.has_allocation = true;
    }

    /// Updates the job from the inventory of a backend server. Returns whether a worker has to
    /// process the job.
    ///
    /// A member that the server does not list is gone, unless the job is still being launched.
    pub fn apply_inventory(
        &mut self,
        server: &id::BackendServerId,
        listed: &[backend_task::ListedTask],
    ) -> bool {
        if self.phase == Phase::Launching || self.members.is_empty() {
            return false;
        }
        let keys: Vec<task::TaskKey> = self.tasks().map(|(key, _)| key).collect();
        let mut has_open_member = false;
        for (tracked, key) in self.members.iter_mut().zip(&keys) {
            let is_open = matches!(
                tracked.state,
                MemberState::Unconfirmed | MemberState::Active | MemberState::LeaseExpired
            );
            if tracked.member.server != *server || !is_open {
                continue;
            }
            has_open_member = true;
            match listed.iter().find(|task| task.status.key == *key) {
                Some(task) => tracked.apply_status(&task.status),
                // The reserve order may still arrive; only a stop order rules that out.
                None if tracked.state == MemberState::Unconfirmed => {}
                None => tracked.state = MemberState::Gone,
            }
        }
        if has_open_member {
            self.update_phase_from_members();
            self.resume_if_member_reserved(server, listed);
        }
        has_open_member && matches!(self.phase, Phase::Ending(_) | Phase::Resuming)
    }

    /// Resumes the launch of a running job if the inventory lists one of its tasks as reserved,
    /// which shows that a previous scheduler did not complete the launch.
    fn resume_if_member_reserved(
        &mut self,
        server: &id::BackendServerId,
        listed: &[backend_task::ListedTask],
    ) {
        let is_reserved = |task: &&backend_task::ListedTask| {
            task.status.state == backend_task::TaskState::Reserved
                && task.status.key.request == self.record.id
                && task.status.key.attempt == self.attempt
        };
        let has_reserved_member = listed.iter().any(|task| is_reserved(&task));
        if has_reserved_member && self.phase == Phase::Running {
            spdlog::info!(
                "the launch is resumed",
                kv: {
                    request = self.record.id.as_str(),
                    zone = self.record.zone.as_str(),
                    backend_server = server.as_str(),
                    attempt = self.attempt.0,
                }
            );
            self.phase = Phase::Resuming;
        }
    }
}

fn describe_state(state: &MemberState) -> String {
    match state {
        MemberState::Unconfirmed => "no order confirmed".to_owned(),
        MemberState::Active => "active".to_owned(),
        MemberState::LeaseExpired => "its lease has lapsed".to_owned(),
        // Also used for refused reservations and for servers that are no longer listed.
        MemberState::Gone => "no longer known to the backend server".to_owned(),
        MemberState::Ended(backend_task::TaskState::Failed { reason }) => {
            format!("failed: {reason}")
        }
        MemberState::Ended(backend_task::TaskState::Stopped { .. }) => "stopped".to_owned(),
        MemberState::Ended(backend_task::TaskState::Lapsed) => {
            "stopped by the backend server when its lease lapsed".to_owned()
        }
        MemberState::Ended(state) => format!("{state:?}"),
    }
}
