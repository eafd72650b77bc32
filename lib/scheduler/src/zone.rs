//! A zone's scheduler during one epoch: from the takeover of the lease until the scheduler is
//! deposed or closes.

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

/// Offset of the policy's clock from the process's monotonic clock. It lets the policy represent
/// the arrival of requests that were accepted up to 90 days before the process started.
const POLICY_CLOCK_OFFSET_MS: u64 = 90 * 24 * 60 * 60 * 1_000;

/// Capacity of the work queue. The decision loop queues requests again that did not fit.
const WORK_QUEUE_CAPACITY: usize = 65_536;

/// How long the lease is known to be held.
#[derive(Clone, Copy, Debug)]
pub struct LeaseValidity {
    /// Time until which no other host can hold the lease.
    pub valid_until: clock::Monotonic,
    /// When the last renewal was begun, if it was not confirmed
    /// ([`lease::RenewResult::Unconfirmed`]); `None` if it succeeded.
    pub unconfirmed_since: Option<clock::Monotonic>,
}

/// The scheduler of an availability zone during one epoch.
pub struct ZoneScheduler {
    pub(crate) deps: dependencies::Dependencies,
    pub(crate) epoch: id::Epoch,
    pub(crate) epoch_row_version: u64,
    /// Whether the predecessor released the lease or there was none. This scheduler then assumes
    /// that no attempt was started without a record.
    ///
    /// [`ZoneScheduler::close`] does not ensure that: it does not wait for the unrecorded steps of
    /// running requests, and after its time limit the lease is released in any case.
    pub(crate) is_clean_start: bool,
    pub(crate) tables: tables::Tables,
    lease: Mutex<LeaseValidity>,
    pub(crate) admissions: admission::Admissions,
    pub(crate) drained: Mutex<BTreeSet<id::BackendServerId>>,
    work_queue: async_channel::Sender<id::RequestId>,
    wake_sender: async_channel::Sender<()>,
    end_signal: async_channel::Receiver<()>,
    _end_signal_sender: async_channel::Sender<()>,
    pub(crate) applied_hosts_version: AtomicU64,
    is_loaded: AtomicBool,
    is_recovered: AtomicBool,
    is_closing: AtomicBool,
    has_ended: AtomicBool,
    pub(crate) started_at: clock::Monotonic,
    pub(crate) weak_self: Weak<ZoneScheduler>,
}

impl ZoneScheduler {
    /// Starts scheduling in the epoch of a lease that this host has just acquired or been handed.
    ///
    /// `is_clean_start` is the value of [`lease::Holder::was_released`].
    pub fn start(
        deps: dependencies::Dependencies,
        policy: Box<dyn policy::Policy>,
        holder: &lease::Holder,
        is_clean_start: bool,
    ) -> Arc<Self> {
        let (work_queue, queued_requests) = async_channel::bounded(WORK_QUEUE_CAPACITY);
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
            applied_hosts_version: AtomicU64::new(0),
            is_loaded: AtomicBool::new(false),
            is_recovered: AtomicBool::new(false),
            is_closing: AtomicBool::new(false),
            has_ended: AtomicBool::new(false),
            started_at: deps.clock.now(),
            weak_self: weak_self.clone(),
            deps,
        });
        for _ in 0..zone.deps.settings.worker_count {
            task::spawn(workers::run(Arc::clone(&zone), queued_requests.clone()));
        }
        task::spawn(decisions::run(Arc::clone(&zone), wake_receiver));
        zone
    }

    /// Returns the epoch of this scheduler.
    pub fn epoch(&self) -> id::Epoch {
        self.epoch
    }

    /// Returns whether the tables have been rebuilt, so that decisions can be made.
    pub fn is_recovered(&self) -> bool {
        self.is_recovered.load(Ordering::Acquire)
    }

    /// Returns whether the rows of the platform's table have been read. Until then, the tasks that
    /// a backend server lists can't be matched with requests, and the scheduler only renews leases.
    pub(crate) fn is_loaded(&self) -> bool {
        self.is_loaded.load(Ordering::Acquire)
    }

    /// Marks the rows as read, and has every backend server fenced again so that it lists its
    /// tasks.
    ///
    /// The policy is not told of the reset links. A server that was fenced and responding before
    /// stays usable for the policy, also if it does not respond to the new fence.
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

    /// Returns whether this scheduler's epoch has ended, because it was deposed or has closed.
    pub fn has_ended(&self) -> bool {
        self.has_ended.load(Ordering::Acquire)
    }

    /// Returns whether the scheduler begins no new launches, because its lease is about to be
    /// released or handed over.
    pub fn is_closing(&self) -> bool {
        self.is_closing.load(Ordering::Acquire)
    }

    /// Ends this scheduler's epoch at once: after another host has acquired the lease, or after
    /// closing.
    pub fn end_epoch(&self) {
        self.has_ended.store(true, Ordering::Release);
        self.work_queue.close();
        self.wake_sender.close();
        self.end_signal.close();
    }

    /// Waits until this scheduler's epoch has ended.
    pub async fn wait_until_ended(&self) {
        // Nothing is ever sent; closing the channel is the signal.
        let _ = self.end_signal.recv().await;
    }

    /// Begins no new launches, waits at most `limit` for launches and the work of other phases in
    /// progress, then ends this scheduler's epoch.
    ///
    /// Running requests continue on the backend servers, where the successor finds them.
    pub async fn close(&self, limit: Duration) {
        self.is_closing.store(true, Ordering::Release);
        let deadline = self.now().plus(limit);
        while self.has_busy_jobs() && self.now() < deadline {
            self.deps.clock.sleep(BUSY_POLL_INTERVAL).await;
        }
        self.end_epoch();
    }

    fn has_busy_jobs(&self) -> bool {
        let is_in_progress =
            |job: &job::Job| job.has_worker || matches!(job.phase, job::Phase::Launching);
        self.tables.jobs().values().any(is_in_progress)
    }

    /// Updates how long the lease is known to be held.
    pub fn set_lease(&self, validity: LeaseValidity) {
        *lock(&self.lease) = validity;
    }

    /// Returns whether this host may make decisions now.
    ///
    /// After the lease has expired, it may continue only if its last renewal was begun after the
    /// expiry and was not confirmed, which usually means that the platform is unreachable. A holder
    /// that was merely paused could have been replaced in the meantime; its renewal then shows that
    /// it is deposed.
    pub fn may_decide(&self) -> bool {
        let validity = *lock(&self.lease);
        let is_valid = self.now() < validity.valid_until;
        let is_unconfirmed_since_expiry = validity
            .unconfirmed_since
            .is_some_and(|since| since >= validity.valid_until);
        !self.has_ended() && self.is_recovered() && (is_valid || is_unconfirmed_since_expiry)
    }

    /// Returns whether the last renewal of the lease was not confirmed, usually because the
    /// platform could not be reached.
    pub fn is_renewal_unconfirmed(&self) -> bool {
        lock(&self.lease).unconfirmed_since.is_some()
    }

    /// Returns whether the lease is known to be held.
    pub fn is_lease_valid(&self) -> bool {
        self.now() < lock(&self.lease).valid_until
    }

    /// Adds a recorded request that an entry host hands over. A request that already has a job is
    /// left unchanged.
    pub fn enqueue(&self, enqueue: messages::Enqueue) {
        self.admissions.remove(&enqueue.record.id);
        let mut job = job::Job::waiting(enqueue.record, enqueue.row_version);
        job.trace = traces::current_context();
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

    /// Submits a request to the policy again after its backoff.
    pub(crate) fn resubmit(&self, request: &id::RequestId) {
        let mut policy = self.tables.policy();
        let mut jobs = self.tables.jobs();
        // The request may have been cancelled since the worker read its phase.
        let job = jobs.get_mut(request);
        if let Some(job) = job.filter(|job| job.phase == job::Phase::BackingOff) {
            job.phase = job::Phase::Waiting;
            policy.submit(job.to_policy_job(self.arrived_at_ms(&job.record)));
        }
        drop((policy, jobs));
        self.wake_decisions();
    }

    /// Returns the live state of a request, including steps that are not recorded yet.
    pub fn live(&self, request: &id::RequestId) -> Option<messages::LiveStatus> {
        let reason = self.tables.policy().explain(request);
        let jobs = self.tables.jobs();
        let job = jobs.get(request)?;
        Some(messages::LiveStatus {
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

    /// Begins to cancel a request. Returns false if this scheduler has no job for it.
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

    /// Returns the current time on the policy's clock.
    pub(crate) fn policy_now_ms(&self) -> u64 {
        self.now().since_origin_ms + POLICY_CLOCK_OFFSET_MS
    }

    /// Returns when a request was accepted, on the policy's clock.
    ///
    /// A request keeps its age across attempts and takeovers. One whose running attempt is taken
    /// over from a previous scheduler is submitted to the policy with the time of the takeover
    /// instead; its age is restored when it is queued again.
    pub(crate) fn arrived_at_ms(&self, record: &record::RequestRecord) -> u64 {
        let age_ms = self
            .deps
            .clock
            .unix_ms()
            .saturating_sub(record.accepted_at_unix_ms);
        self.policy_now_ms().saturating_sub(age_ms)
    }

    /// Wakes the decision loop.
    pub(crate) fn wake_decisions(&self) {
        // If the channel is full, the loop is already about to run.
        let _ = self.wake_sender.try_send(());
    }

    /// Queues a request for a worker.
    pub(crate) fn queue_work(&self, request: &id::RequestId) {
        // If the queue is full, the decision loop queues the request again later.
        let _ = self.work_queue.try_send(request.clone());
    }

    /// Returns the number of requests by phase, for status reports.
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

/// Number of requests that a scheduler has, by phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Waiting for a decision.
    pub waiting: usize,
    /// Running, see [`job::Phase::Running`].
    pub running: usize,
    /// In any other phase, such as launching or ending.
    pub other: usize,
}

/// Interval at which a closing scheduler checks whether work in progress has ended.
const BUSY_POLL_INTERVAL: Duration = Duration::from_millis(20);

fn cancel_step(job: &job::Job) -> records::NewStep {
    let verdict = match job.phase {
        job::Phase::Waiting | job::Phase::BackingOff => verdict::Verdict::NotRun,
        _ => verdict::Verdict::MayHaveRun,
    };
    records::NewStep {
        event: record::HistoryEvent::CancelRequested,
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
