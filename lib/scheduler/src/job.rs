//! A request that is not at its end, with its gang, as the scheduler knows it.

use std::collections::BTreeSet;

use camphorbeam_backend::task as backend_task;
use camphorbeam_clock as clock;
use camphorbeam_model::{id, record, task};
use camphorbeam_placement::policy;
use camphorbeam_telemetry::traces;

/// A request that is not at its end.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its record as last written or read.
    pub record: record::RequestRecord,
    /// Version of its row; `None` after a write whose outcome is open.
    pub row_version: Option<u64>,
    /// What the scheduler does with it.
    pub phase: Phase,
    /// The gang of the present attempt, in the order of the ranks; empty while it waits.
    pub members: Vec<MemberView>,
    /// Number of the present or last attempt.
    pub attempt: id::Attempt,
    /// Whether the start record of the present attempt is known to stand.
    pub is_start_recorded: bool,
    /// When the present attempt started.
    pub started_at: Option<clock::Monotonic>,
    /// Steps that no write has recorded yet.
    pub unrecorded_steps: Vec<record::Step>,
    /// Whether the caller has asked to cancel.
    pub is_cancel_requested: bool,
    /// Backend servers on which it has failed by itself.
    pub failed_servers: BTreeSet<id::BackendServerId>,
    /// Whether it may go back there, since the other servers can't hold it.
    pub may_reuse_failed_servers: bool,
    /// Whether placement counts accelerators as held by it.
    pub holds_placement: bool,
    /// The next attempt has a higher number than this.
    pub attempt_floor: id::Attempt,
    /// Whether it was accepted before this scheduler took over.
    pub is_inherited: bool,
    /// Whether an earlier attempt may have run part of it.
    pub may_have_run_before: bool,
    /// Whether a worker is at it.
    pub has_worker: bool,
    /// When a worker should look at it again.
    pub due_at: Option<clock::Monotonic>,
    /// Launches in a row that failed, for backoff.
    pub failed_launches: u32,
    /// Failed tries in a row of the present step, for backoff.
    pub retry_count: u32,
    /// Trace of its acceptance; a job that was taken over gets one of its own.
    pub trace: Option<traces::SpanContext>,
}

/// What the scheduler does with a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The policy decides on it.
    Waiting,
    /// A worker reserves, records and starts it.
    Launching,
    /// A successor goes on with the launch: all members hold their accelerators and the start
    /// record stands.
    Resuming,
    /// All members run.
    Running,
    /// Its members are stopped or have ended; its outcome has to be settled.
    Ending(EndReason),
    /// It waits for its next try to be placed.
    BackingOff,
    /// The policy has refused it; that has to be recorded.
    Refusing {
        /// Why.
        reason: String,
    },
}

/// Why an attempt is brought to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// All members have finished.
    Finished,
    /// The launch did not succeed.
    LaunchFailed {
        /// What failed.
        detail: String,
    },
    /// A member ended without an answer or can't be reached.
    MemberLost {
        /// What is known.
        detail: String,
    },
    /// The policy wants its accelerators back.
    Preempted {
        /// Why.
        reason: String,
    },
    /// The caller has cancelled.
    Cancelled,
}

/// What the scheduler knows of one member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberView {
    /// Server and accelerators.
    pub member: task::Member,
    /// State of its task.
    pub state: MemberState,
    /// Whether its task is known or suspected to have started.
    pub may_have_started: bool,
}

/// State of a member's task as known to the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MemberState {
    /// No order has been confirmed.
    Unconfirmed,
    /// The task holds its accelerators or runs.
    Active,
    /// The task has ended and holds nothing.
    Ended(backend_task::TaskState),
    /// The backend server can't be asked, but the lease is known to have lapsed: the task holds
    /// nothing, and what it did before is not known yet.
    Lapsed,
    /// The backend server no longer knows the task or no longer exists.
    Gone,
}

impl MemberView {
    /// A member that no order has been sent for.
    pub fn new(member: task::Member) -> Self {
        Self {
            member,
            state: MemberState::Unconfirmed,
            may_have_started: false,
        }
    }

    /// Whether it holds nothing and never will again.
    pub fn is_inactive(&self) -> bool {
        !matches!(self.state, MemberState::Unconfirmed | MemberState::Active)
    }

    /// Whether the backend server may still tell what became of it.
    pub fn needs_status_query(&self) -> bool {
        self.state == MemberState::Lapsed && self.may_have_started
    }

    /// Whether it ended with an answer.
    pub fn is_finished(&self) -> bool {
        matches!(
            self.state,
            MemberState::Ended(backend_task::TaskState::Finished { .. })
        )
    }

    /// Takes over what a backend server says.
    ///
    /// An ended task never comes back, so a reply that says otherwise is a late one.
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
    /// A job whose start record was left by an earlier scheduler.
    pub fn started(
        record: record::RequestRecord,
        row_version: u64,
        members: &[task::Member],
    ) -> Self {
        let recovered_member = |member: &task::Member| MemberView {
            member: member.clone(),
            state: MemberState::Active,
            may_have_started: true,
        };
        Self {
            phase: Phase::Running,
            members: members.iter().map(recovered_member).collect(),
            is_start_recorded: true,
            holds_placement: true,
            ..Self::waiting(record, row_version)
        }
    }

    /// A job that waits.
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
            failed_servers: BTreeSet::new(),
            may_reuse_failed_servers: false,
            holds_placement: false,
            attempt_floor: id::Attempt(0),
            is_inherited: false,
            may_have_run_before: false,
            has_worker: false,
            due_at: None,
            failed_launches: 0,
            retry_count: 0,
            trace: None,
        }
    }

    /// The job as placement sees it.
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

    /// The record without the input of its tasks.
    pub fn record_without_payload(&self) -> record::RequestRecord {
        let mut record = self.record.clone();
        record.spec.payload = String::new();
        record
    }

    /// Moves a running job to its end, unless it is on its way there. A job whose launch is being
    /// resumed counts as running.
    pub fn begin_ending(&mut self, reason: EndReason) {
        if matches!(self.phase, Phase::Running | Phase::Resuming) {
            self.phase = Phase::Ending(reason);
        }
    }

    /// The members without what is known of them.
    pub fn task_members(&self) -> Vec<task::Member> {
        self.members
            .iter()
            .map(|view| view.member.clone())
            .collect()
    }
}

impl Job {
    /// Brings a running job to its end once its members call for it.
    pub fn update_phase_from_members(&mut self) {
        let all_finished = self.members.iter().all(MemberView::is_finished);
        let lost_member = self
            .members
            .iter()
            .find(|view| view.is_inactive() && !view.is_finished());
        let reason = match lost_member {
            None if all_finished => EndReason::Finished,
            None => return,
            Some(view) => EndReason::MemberLost {
                detail: format!(
                    "member on {}: {}",
                    view.member.server,
                    describe_state(&view.state)
                ),
            },
        };
        self.begin_ending(reason);
    }

    /// Whether a member on `server` holds or may hold something.
    pub fn has_active_member_on(&self, server: &id::BackendServerId) -> bool {
        self.members
            .iter()
            .any(|view| view.member.server == *server && !view.is_inactive())
    }

    /// The tasks on `server` that hold or may hold something.
    pub fn active_tasks_on(&self, server: &id::BackendServerId) -> Vec<task::TaskKey> {
        self.tasks()
            .filter(|(_, view)| view.member.server == *server && !view.is_inactive())
            .map(|(key, _)| key)
            .collect()
    }

    /// The tasks of the present attempt in the order of the ranks.
    pub fn tasks(&self) -> impl Iterator<Item = (task::TaskKey, &MemberView)> + '_ {
        self.members.iter().zip(0_u32..).map(|(view, rank)| {
            let key = task::TaskKey {
                request: self.record.id.clone(),
                attempt: self.attempt,
                rank: id::Rank(rank),
            };
            (key, view)
        })
    }

    /// Whether a listed task is a start of this job that an earlier scheduler could not record.
    pub fn can_adopt(&self, listed: &backend_task::ListedTask) -> bool {
        self.phase == Phase::Waiting
            && self.record.spec.idempotent
            && listed.status.key.attempt > self.attempt
            && !listed.status.state.is_ended()
    }

    /// Goes on with a start that an earlier scheduler could not record.
    pub fn adopt(&mut self, listed: &backend_task::ListedTask) {
        self.attempt = listed.status.key.attempt;
        self.members = listed
            .members
            .iter()
            .cloned()
            .map(MemberView::new)
            .collect();
        for view in &mut self.members {
            view.may_have_started = true;
            view.state = MemberState::Active;
        }
        self.phase = Phase::Running;
        self.holds_placement = true;
    }

    /// Takes over what an inventory says of this job. Returns whether a worker has to look at it.
    ///
    /// A member that the server does not list is gone, unless its launch is still under way.
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
        for (view, key) in self.members.iter_mut().zip(&keys) {
            let is_open = matches!(
                view.state,
                MemberState::Unconfirmed | MemberState::Active | MemberState::Lapsed
            );
            if view.member.server != *server || !is_open {
                continue;
            }
            has_open_member = true;
            match listed.iter().find(|task| task.status.key == *key) {
                Some(task) => view.apply_status(&task.status),
                // Its reservation may still be on the way: only a stop order rules that out.
                None if view.state == MemberState::Unconfirmed => {}
                None => view.state = MemberState::Gone,
            }
        }
        if has_open_member {
            self.update_phase_from_members();
            self.resume_if_member_reserved(server, listed);
        }
        has_open_member && matches!(self.phase, Phase::Ending(_) | Phase::Resuming)
    }

    /// The launch of a job that counts as running is not complete while a member is only reserved.
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
        MemberState::Lapsed => "its lease has lapsed".to_owned(),
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
