//! One holding of a zone's scheduler lease, from takeover to deposal or hand-over.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_model::{id, record, verdict};
use camphorbeam_placement::policy;
use camphorbeam_protocol::messages;
use camphorbeam_telemetry::traces;

use crate::{admission, decisions, dependencies, job, lease, records, server, tables, workers};

/// How far the clock of the policy is ahead of the process's, so that it can tell the age of
/// requests from before its start.
const POLICY_CLOCK_OFFSET_MS: u64 = 90 * 24 * 60 * 60 * 1_000;

/// Requests that wait for a worker.
const WORK_QUEUE_CAPACITY: usize = 65_536;

/// What the lease allows at present.
#[derive(Clone, Copy, Debug)]
pub struct LeaseValidity {
    /// Until when nobody else can hold the lease.
    pub valid_until: clock::Monotonic,
    /// Whether the last renewal failed because the platform could not be asked, and was begun at
    /// this time.
    pub unconfirmed_since: Option<clock::Monotonic>,
}

/// A zone's scheduler during one holding of the lease.
pub struct Zone {
    pub(crate) deps: dependencies::Dependencies,
    pub(crate) epoch: id::Epoch,
    pub(crate) epoch_row_version: u64,
    /// Whether the predecessor handed the lease back, with nothing left unrecorded.
    pub(crate) is_clean_start: bool,
    pub(crate) tables: tables::Tables,
    lease: Mutex<LeaseValidity>,
    pub(crate) admissions: admission::Admissions,
    pub(crate) drained: Mutex<BTreeSet<id::BackendServerId>>,
    work_queue: async_channel::Sender<id::RequestId>,
    wake_sender: async_channel::Sender<()>,
    end_signal: async_channel::Receiver<()>,
    _end_signal_sender: async_channel::Sender<()>,
    pub(crate) applied_hosts: AtomicU64,
    is_loaded: AtomicBool,
    is_recovered: AtomicBool,
    is_closing: AtomicBool,
    is_deposed: AtomicBool,
    pub(crate) started_at: clock::Monotonic,
    pub(crate) weak_self: Weak<Zone>,
}

impl Zone {
    /// Starts scheduling for the epoch of a lease that was just taken.
    pub fn start(
        deps: dependencies::Dependencies,
        policy: Box<dyn policy::Policy>,
        holder: &lease::Holder,
        is_clean_start: bool,
    ) -> Arc<Self> {
        let (work_queue, work_items) = async_channel::bounded(WORK_QUEUE_CAPACITY);
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        let (end_signal_sender, end_signal) = async_channel::bounded(1);
        let zone = Arc::new_cyclic(|weak_self| Self {
            epoch: holder.epoch(),
            epoch_row_version: holder.epoch_row_version(),
            is_clean_start,
            tables: tables::Tables::new(policy),
            lease: Mutex::new(LeaseValidity {
                valid_until: holder.valid_until(),
                unconfirmed_since: None,
            }),
            admissions: admission::Admissions::default(),
            drained: Mutex::new(BTreeSet::new()),
            work_queue,
            wake_sender,
            end_signal,
            _end_signal_sender: end_signal_sender,
            applied_hosts: AtomicU64::new(0),
            is_loaded: AtomicBool::new(false),
            is_recovered: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            is_deposed: AtomicBool::new(false),
            started_at: deps.clock.now(),
            weak_self: weak_self.clone(),
            deps,
        });
        for _ in 0..zone.deps.settings.worker_count {
            task::spawn(workers::run(Arc::clone(&zone), work_items.clone()));
        }
        task::spawn(decisions::run(Arc::clone(&zone), wake_receiver));
        zone
    }

    /// Epoch of this holding.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Whether the tables have been rebuilt, so that decisions are made.
    pub fn is_recovered(&self) -> bool {
        self.is_recovered.load(Ordering::Acquire)
    }

    /// Whether the rows of the platform's table have been read. Before that, nothing can be said
    /// of a task that a backend server lists, and only leases are renewed.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded.load(Ordering::Acquire)
    }

    /// Has every backend server list its tasks again, now that the rows are read.
    pub(crate) fn set_loaded(&self) {
        self.is_loaded.store(true, Ordering::Release);
        for entry in self.tables.servers().values_mut() {
            entry.link = server::Link::Unfenced;
        }
    }

    pub(crate) fn set_recovered(&self) {
        self.is_recovered.store(true, Ordering::Release);
        self.wake_decisions();
    }

    /// Whether this holding is over.
    pub fn has_ended(&self) -> bool {
        self.is_deposed.load(Ordering::Acquire)
    }

    /// Whether no new launches are begun, since the lease is being handed over.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Ends this holding at once: somebody else holds the lease.
    pub fn depose(&self) {
        self.is_deposed.store(true, Ordering::Release);
        self.work_queue.close();
        self.wake_sender.close();
        self.end_signal.close();
    }

    /// Waits until this holding is over.
    pub async fn wait_until_ended(&self) {
        // Nothing is ever sent: the channel closes at the end.
        let _ = self.end_signal.recv().await;
    }

    /// Begins no new launches, lets those under way come to an end, then ends this holding.
    ///
    /// Running requests stay with the backend servers, where the successor finds them.
    pub async fn close(&self, limit: Duration) {
        self.is_closing.store(true, Ordering::Release);
        let deadline = self.now().plus(limit);
        while self.has_busy_jobs() && self.now() < deadline {
            self.deps.clock.sleep(BUSY_POLL_INTERVAL).await;
        }
        self.depose();
    }

    fn has_busy_jobs(&self) -> bool {
        let is_under_way =
            |job: &job::Job| job.has_worker || matches!(job.phase, job::Phase::Launching);
        self.tables.jobs().values().any(is_under_way)
    }

    /// Notes what the lease allows.
    pub fn set_lease(&self, validity: LeaseValidity) {
        *lock(&self.lease) = validity;
    }

    /// Whether this host may make decisions now.
    ///
    /// Past the end of the lease it may only go on if a renewal begun after that end has shown
    /// that the platform is away: a holder that was merely paused finds itself deposed first.
    pub fn may_decide(&self) -> bool {
        let validity = *lock(&self.lease);
        let is_valid = self.now() < validity.valid_until;
        let is_platform_unreachable = validity
            .unconfirmed_since
            .is_some_and(|since| since >= validity.valid_until);
        !self.has_ended() && self.is_recovered() && (is_valid || is_platform_unreachable)
    }

    /// Whether the last renewal of the lease has failed because the platform could not be asked.
    pub fn is_platform_unreachable(&self) -> bool {
        lock(&self.lease).unconfirmed_since.is_some()
    }

    /// Whether the lease is known to be held.
    pub fn is_lease_valid(&self) -> bool {
        self.now() < lock(&self.lease).valid_until
    }

    /// Takes over a recorded request. One that is known already is left as it is.
    pub fn enqueue(&self, enqueue: messages::Enqueue) {
        self.admissions.remove(&enqueue.record.id);
        let mut job = job::Job::waiting(enqueue.record, enqueue.row_version);
        job.trace = traces::current();
        self.add_waiting(job);
    }

    pub(crate) fn add_waiting(&self, job: job::Job) {
        let mut policy = self.tables.policy();
        let mut jobs = self.tables.jobs();
        if jobs.contains_key(&job.record.id) {
            return;
        }
        policy.submit(job.to_policy_job(self.arrived_at_ms(&job.record)));
        jobs.insert(job.record.id.clone(), job);
        drop((policy, jobs));
        self.wake_decisions();
    }

    pub(crate) fn has_job(&self, request: &id::RequestId) -> bool {
        self.tables.jobs().contains_key(request)
    }

    /// Puts a request that was backing off before the policy again.
    pub(crate) fn resubmit(&self, request: &id::RequestId) {
        let mut policy = self.tables.policy();
        let mut jobs = self.tables.jobs();
        // It may have been cancelled since the worker looked.
        let job = jobs.get_mut(request);
        if let Some(job) = job.filter(|job| job.phase == job::Phase::BackingOff) {
            job.phase = job::Phase::Waiting;
            policy.submit(job.to_policy_job(self.arrived_at_ms(&job.record)));
        }
        drop((policy, jobs));
        self.wake_decisions();
    }

    /// What is known of a request beyond its record.
    pub fn live(&self, request: &id::RequestId) -> Option<messages::LiveView> {
        let reason = self.tables.policy().explain(request);
        let jobs = self.tables.jobs();
        let job = jobs.get(request)?;
        Some(messages::LiveView {
            host: self.deps.settings.host.clone(),
            epoch: self.epoch,
            phase: phase_name(&job.phase).to_owned(),
            attempt: job.attempt,
            members: job.task_members(),
            unrecorded_steps: job.unrecorded_steps.clone(),
            detail: reason.unwrap_or_default(),
            record: job.record_without_payload(),
        })
    }

    /// Begins to cancel a request. Returns false if it is not known here.
    pub fn cancel(&self, request: &id::RequestId) -> bool {
        let mut policy = self.tables.policy();
        let mut jobs = self.tables.jobs();
        let Some(job) = jobs.get_mut(request) else {
            return false;
        };
        if !job.is_cancel_requested {
            job.is_cancel_requested = true;
            let step = self.stamp(cancel_step(job));
            job.unrecorded_steps.push(step);
        }
        match job.phase {
            job::Phase::Waiting | job::Phase::BackingOff => {
                policy.withdraw(request);
                job.phase = job::Phase::Ending(job::EndReason::Cancelled);
            }
            _ => job.begin_ending(job::EndReason::Cancelled),
        }
        drop((policy, jobs));
        self.queue_work(request);
        true
    }

    pub(crate) fn now(&self) -> clock::Monotonic {
        self.deps.clock.now()
    }

    /// The present time on the clock of the policy.
    pub(crate) fn policy_now_ms(&self) -> u64 {
        self.now().since_origin_ms + POLICY_CLOCK_OFFSET_MS
    }

    /// When a request was accepted, on the clock of the policy. It keeps its age over attempts and
    /// over takeovers.
    pub(crate) fn arrived_at_ms(&self, record: &record::RequestRecord) -> u64 {
        let age_ms = self
            .deps
            .clock
            .unix_ms()
            .saturating_sub(record.accepted_at_unix_ms);
        self.policy_now_ms().saturating_sub(age_ms)
    }

    /// Has the decision loop run soon.
    pub(crate) fn wake_decisions(&self) {
        // A full channel means that it is about to run anyway.
        let _ = self.wake_sender.try_send(());
    }

    /// Has a worker look at a request.
    pub(crate) fn queue_work(&self, request: &id::RequestId) {
        // The decision loop pushes again what found no room.
        let _ = self.work_queue.try_send(request.clone());
    }

    /// Numbers for operators.
    pub fn counts(&self) -> Counts {
        let jobs = self.tables.jobs();
        let waiting = jobs
            .values()
            .filter(|job| job.phase == job::Phase::Waiting)
            .count();
        let running = jobs
            .values()
            .filter(|job| job.phase == job::Phase::Running)
            .count();
        Counts {
            waiting,
            running,
            other: jobs.len() - waiting - running,
        }
    }
}

/// How many requests a scheduler has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Waiting for a decision.
    pub waiting: usize,
    /// Running on all members.
    pub running: usize,
    /// On the way between.
    pub other: usize,
}

/// Time between two looks at whether work under way has ended.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn cancel_step(job: &job::Job) -> records::NewStep {
    let verdict = match job.phase {
        job::Phase::Waiting | job::Phase::BackingOff => verdict::Verdict::NotRun,
        _ => verdict::Verdict::MayHaveRun,
    };
    records::NewStep {
        event: record::StepEvent::CancelRequested,
        attempt: job.attempt,
        verdict,
        detail: String::new(),
    }
}

fn phase_name(phase: &job::Phase) -> &'static str {
    match phase {
        job::Phase::Waiting => "waiting",
        job::Phase::Launching => "launching",
        job::Phase::Resuming => "launching again",
        job::Phase::Running => "running",
        job::Phase::Ending(_) => "ending",
        job::Phase::BackingOff => "backing off",
        job::Phase::Refusing { .. } => "refusing",
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
