//! Replays a list of jobs under one policy with a manual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use camphorbeam_clock as clock;
use camphorbeam_model::{id, sheet, task};
use camphorbeam_placement::policy;

use crate::backend_servers::{self, BackendServers, FailureWindow};
use crate::clusters;
use crate::entitlement::Entitlement;
use crate::fragmentation::{FragmentationIntegral, OpenAccelerators};
use crate::jobs;

/// Time between decisions while requests wait and no other event occurs, in milliseconds.
const DECISION_INTERVAL_MS: u64 = 5_000;

/// Consecutive decisions without effect and with nothing running, after which the replay ends.
const IDLE_DECISIONS_MAX: u32 = 4_000;

/// Time to write a checkpoint and stop, in milliseconds.
const CHECKPOINT_MS: u64 = 1_000;

/// Time to stop without a checkpoint, in milliseconds.
const STOP_MS: u64 = 200;

/// Failed attempts after which an idempotent request fails for good.
const FAILED_ATTEMPTS_MAX: u32 = 5;

/// Upper bound of the histogram of decision times, in nanoseconds; longer times count as this.
const DECISION_MAX_NS: u64 = 60_000_000_000;

/// A list of jobs and the failures during its replay.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Name of the list.
    pub name: String,
    /// Jobs in the order of arrival.
    pub rows: Vec<jobs::JobRow>,
    /// Servers that fail every attempt in a time window.
    pub failure_window: Option<FailureWindow>,
}

/// Final state of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Still waiting or running when the replay ended.
    Unfinished,
    /// Completed successfully.
    Finished,
    /// Refused by the policy because it can never run.
    Refused,
    /// Cancelled by its caller while waiting.
    Cancelled,
    /// Failed in its last permitted attempt.
    Failed,
}

/// Result of one request.
#[derive(Clone, Debug)]
pub struct RequestResult {
    /// Final state.
    pub outcome: Outcome,
    /// Time of arrival, in milliseconds.
    pub arrived_at_ms: u64,
    /// Time of the first start, in milliseconds.
    pub started_at_ms: Option<u64>,
    /// Time of the end, in milliseconds; zero for an unfinished request.
    pub ended_at_ms: u64,
    /// Run time on the empty cluster, in milliseconds.
    pub ideal_ms: f64,
    /// Whether a guaranteed shape of the account was unused on arrival.
    pub is_entitled: bool,
}

/// Results of a replay.
#[derive(Debug)]
pub struct ReplayResults {
    /// Results of the requests, by row of the list.
    pub requests: Vec<RequestResult>,
    /// Fragmentation of free and borrowed accelerators.
    pub fragmentation: FragmentationIntegral,
    /// Fragmentation of free accelerators.
    pub fragmentation_free: FragmentationIntegral,
    /// Number of preemptions.
    pub preemptions: u64,
    /// Work lost by preemption, in accelerator-milliseconds of run time on the servers used.
    pub work_lost_ms: u64,
    /// Accelerator-milliseconds that were allocated.
    pub busy_ms: u64,
    /// Time at which the last request ended, in milliseconds.
    pub ended_at_ms: u64,
    /// Duration of each decision made while requests waited, in nanoseconds.
    pub decisions_ns: hdrhistogram::Histogram<u64>,
}

/// An event of the replay. Events at the same time are handled in the order of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    End { row: usize, attempt: u32 },
    Stopped { row: usize, attempt: u32 },
    Arrival { row: usize },
    Cancel { row: usize },
    Tick,
}

/// State of a request during the replay.
#[derive(Clone, Debug, Default)]
struct Progress {
    attempt: u32,
    failed_attempts: u32,
    is_waiting: bool,
    work_done_ms: f64,
    running: Option<Attempt>,
}

#[derive(Clone, Debug)]
struct Attempt {
    members: Vec<task::Member>,
    started_at_ms: u64,
    planned_end: backend_servers::AttemptEnd,
    is_stopping: bool,
}

struct Replay<'a> {
    scenario: &'a Scenario,
    policy: Box<dyn policy::Policy>,
    clock: clock::Clock,
    manual_time: clock::ManualTime,
    servers: BackendServers,
    open_accelerators: OpenAccelerators,
    entitlement: Entitlement,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    rows_by_id: BTreeMap<id::RequestId, usize>,
    progress: Vec<Progress>,
    /// Number of waiting requests, by accelerators.
    waiting: BTreeMap<u32, u32>,
    running_count: usize,
    idle_decisions: u32,
    is_tick_scheduled: bool,
    results: ReplayResults,
}

/// Replays `scenario` on `servers` under `policy`, and returns what was measured.
pub fn run(
    scenario: &Scenario,
    servers: &[policy::Server],
    sheet: &sheet::Sheet,
    policy: Box<dyn policy::Policy>,
) -> ReplayResults {
    let mut replay = Replay::new(scenario, servers, sheet, policy);
    while let Some(Reverse((at_ms, event))) = replay.events.pop() {
        replay.advance(at_ms);
        replay.apply(event);
        while let Some(Reverse((next_ms, _))) = replay.events.peek() {
            if *next_ms > at_ms {
                break;
            }
            if let Some(Reverse((_, event))) = replay.events.pop() {
                replay.apply(event);
            }
        }
        replay.decide();
    }
    replay.finish()
}

fn request_id(row: usize) -> id::RequestId {
    id::RequestId::new(&format!("r{row:08}")).expect("a valid name")
}

fn to_ms(seconds: f64) -> u64 {
    (seconds * 1_000.0).round() as u64
}

impl<'a> Replay<'a> {
    fn new(
        scenario: &'a Scenario,
        servers: &[policy::Server],
        sheet: &sheet::Sheet,
        mut policy: Box<dyn policy::Policy>,
    ) -> Self {
        let (clock, manual_time) = clock::Clock::manual(0);
        let mut open_accelerators = OpenAccelerators::default();
        for server in servers {
            open_accelerators.set_server(server);
            policy.set_server(server.clone());
        }
        policy.set_sheet(&clusters::zone(), sheet);
        let rows = scenario.rows.iter().enumerate();
        let arrivals = rows
            .clone()
            .map(|(row, job)| Reverse((to_ms(job.arrival_s), Event::Arrival { row })));
        let result = |job: &jobs::JobRow| RequestResult {
            outcome: Outcome::Unfinished,
            arrived_at_ms: to_ms(job.arrival_s),
            started_at_ms: None,
            ended_at_ms: 0,
            ideal_ms: work_ms(job)
                / backend_servers::best_speed_ratio(servers, job.accelerators).unwrap_or(1.0),
            is_entitled: false,
        };
        Self {
            policy,
            clock,
            manual_time,
            servers: BackendServers::new(servers, scenario.failure_window),
            open_accelerators,
            entitlement: Entitlement::new(&clusters::zone(), sheet),
            events: arrivals.collect(),
            rows_by_id: rows.map(|(row, _)| (request_id(row), row)).collect(),
            progress: vec![Progress::default(); scenario.rows.len()],
            waiting: BTreeMap::new(),
            running_count: 0,
            idle_decisions: 0,
            is_tick_scheduled: false,
            results: ReplayResults {
                requests: scenario.rows.iter().map(result).collect(),
                fragmentation: FragmentationIntegral::default(),
                fragmentation_free: FragmentationIntegral::default(),
                preemptions: 0,
                work_lost_ms: 0,
                busy_ms: 0,
                ended_at_ms: 0,
                decisions_ns: hdrhistogram::Histogram::new_with_bounds(1, DECISION_MAX_NS, 3)
                    .expect("the bounds are valid"),
            },
            scenario,
        }
    }

    fn now_ms(&self) -> u64 {
        self.clock.now().since_origin_ms
    }

    /// Advances the clock to `at_ms`, and adds the time span to the fragmentation.
    fn advance(&mut self, at_ms: u64) {
        let span_ms = at_ms - self.now_ms();
        if span_ms == 0 {
            return;
        }
        if let Some(wanted) = self.largest_waiting() {
            let (open, usable) = self.open_accelerators.measure(wanted, true);
            self.results.fragmentation.add(open, usable, span_ms);
            let (open, usable) = self.open_accelerators.measure(wanted, false);
            self.results.fragmentation_free.add(open, usable, span_ms);
        }
        self.manual_time.advance(Duration::from_millis(span_ms));
    }

    fn largest_waiting(&self) -> Option<u32> {
        let largest = self.waiting.keys().next_back().copied();
        largest.filter(|accelerators| *accelerators > 0)
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Arrival { row } => self.arrive(row),
            Event::Cancel { row } => self.cancel(row),
            Event::End { row, attempt } => self.finish_attempt(row, attempt),
            Event::Stopped { row, attempt } => self.finish_preemption(row, attempt),
            Event::Tick => self.is_tick_scheduled = false,
        }
    }

    fn push(&mut self, after_ms: u64, event: Event) {
        self.events.push(Reverse((self.now_ms() + after_ms, event)));
    }

    fn arrive(&mut self, row: usize) {
        let job = &self.scenario.rows[row];
        let is_entitled = self
            .entitlement
            .arrive(&job.client_account, job.accelerators);
        self.results.requests[row].is_entitled = is_entitled;
        if let Some(after_s) = job.cancelled_after_s {
            self.push(to_ms(after_s), Event::Cancel { row });
        }
        self.submit(row);
    }

    fn submit(&mut self, row: usize) {
        let job = &self.scenario.rows[row];
        self.policy.submit(policy::Job {
            id: request_id(row),
            client_account: job.client_account.clone(),
            kind: job.kind.clone(),
            accelerators: job.accelerators,
            idempotent: job.idempotent,
            checkpointable: job.checkpointable,
            declared_run_time_ms: to_ms(job.declared_run_time_s),
            avoided_servers: Default::default(),
            arrived_at_ms: self.now_ms(),
        });
        self.progress[row].is_waiting = true;
        *self.waiting.entry(job.accelerators).or_insert(0) += 1;
    }

    fn remove_waiting(&mut self, row: usize) {
        self.progress[row].is_waiting = false;
        let accelerators = self.scenario.rows[row].accelerators;
        match self.waiting.get_mut(&accelerators) {
            Some(count) if *count > 1 => *count -= 1,
            _ => {
                self.waiting.remove(&accelerators);
            }
        }
    }

    fn cancel(&mut self, row: usize) {
        if self.progress[row].is_waiting {
            self.remove_waiting(row);
            self.policy.withdraw(&request_id(row));
            self.close_request(row, Outcome::Cancelled);
        }
    }

    fn close_request(&mut self, row: usize, outcome: Outcome) {
        let job = &self.scenario.rows[row];
        self.entitlement
            .leave(&job.client_account, job.accelerators);
        let now_ms = self.now_ms();
        let result = &mut self.results.requests[row];
        result.outcome = outcome;
        result.ended_at_ms = now_ms;
        self.results.ended_at_ms = now_ms;
    }

    fn end_attempt(&mut self, row: usize, attempt: u32) -> Option<Attempt> {
        let progress = &mut self.progress[row];
        let running = match progress.attempt == attempt {
            true => progress.running.take()?,
            false => return None,
        };
        self.running_count -= 1;
        self.open_accelerators.release(&running.members);
        let held_ms = self.now_ms() - running.started_at_ms;
        let accelerators = self.scenario.rows[row].accelerators;
        self.results.busy_ms += held_ms * u64::from(accelerators);
        Some(running)
    }

    /// Handles the end of an attempt that was not stopped before.
    fn finish_attempt(&mut self, row: usize, attempt: u32) {
        let Some(running) = self.end_attempt(row, attempt) else {
            return;
        };
        let request = request_id(row);
        let is_failure = running.planned_end.is_failure;
        let cause = match is_failure {
            true => policy::EndCause::Failed,
            false => policy::EndCause::Finished {
                run_time_ms: running.planned_end.run_time_ms,
            },
        };
        self.policy.record_end(&request, cause, self.now_ms());
        let changed = self
            .servers
            .record_result(&request, &running.members, is_failure);
        for server in changed {
            self.open_accelerators.set_server(&server);
            self.policy.set_server(server);
        }
        match is_failure {
            false => self.close_request(row, Outcome::Finished),
            true => self.retry_or_fail(row),
        }
    }

    fn retry_or_fail(&mut self, row: usize) {
        self.progress[row].failed_attempts += 1;
        let is_final = self.progress[row].failed_attempts >= FAILED_ATTEMPTS_MAX;
        match self.scenario.rows[row].idempotent && !is_final {
            true => self.submit(row),
            false => self.close_request(row, Outcome::Failed),
        }
    }

    /// Handles the end of a preempted attempt, and submits the request again.
    fn finish_preemption(&mut self, row: usize, attempt: u32) {
        let Some(running) = self.end_attempt(row, attempt) else {
            return;
        };
        let ran_ms = self.now_ms() - running.started_at_ms;
        let job = &self.scenario.rows[row];
        let speed = self.servers.speed_ratio(&running.members);
        match job.checkpointable {
            true => {
                let worked_ms = ran_ms.saturating_sub(CHECKPOINT_MS);
                self.progress[row].work_done_ms += worked_ms as f64 * speed;
            }
            false => {
                self.results.work_lost_ms += ran_ms * u64::from(job.accelerators);
            }
        }
        self.policy
            .record_end(&request_id(row), policy::EndCause::Stopped, self.now_ms());
        self.submit(row);
    }

    fn decide(&mut self) {
        let now_ms = self.now_ms();
        let has_waiting_requests = !self.waiting.is_empty();
        // The manual clock doesn't advance during a decision, so its duration is measured in real
        // time.
        let started = Instant::now();
        let decisions = self.policy.decide(now_ms, policy::StartScope::Any);
        let passed_ns = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        if has_waiting_requests {
            self.results.decisions_ns.saturating_record(passed_ns);
        }
        let has_effect = !decisions.is_empty() || self.running_count > 0;
        self.idle_decisions = match has_effect {
            true => 0,
            false => self.idle_decisions + 1,
        };
        for decision in decisions {
            self.apply_decision(decision);
        }
        let may_continue = self.idle_decisions < IDLE_DECISIONS_MAX;
        if !self.is_tick_scheduled && !self.waiting.is_empty() && may_continue {
            self.is_tick_scheduled = true;
            self.push(DECISION_INTERVAL_MS, Event::Tick);
        }
    }

    fn apply_decision(&mut self, decision: policy::Decision) {
        match decision {
            policy::Decision::Start {
                request,
                members,
                is_borrowing,
            } => self.start(self.rows_by_id[&request], members, is_borrowing),
            policy::Decision::Preempt { request, .. } => self.preempt(self.rows_by_id[&request]),
            policy::Decision::Refuse { request, .. } => {
                let row = self.rows_by_id[&request];
                self.remove_waiting(row);
                self.close_request(row, Outcome::Refused);
            }
        }
    }

    fn start(&mut self, row: usize, members: Vec<task::Member>, is_borrowing: bool) {
        let now_ms = self.now_ms();
        self.remove_waiting(row);
        let remaining_ms = work_ms(&self.scenario.rows[row]) - self.progress[row].work_done_ms;
        let planned_end = self
            .servers
            .planned_end(&members, remaining_ms.max(1.0), now_ms);
        self.open_accelerators.allocate(&members, is_borrowing);
        let result = &mut self.results.requests[row];
        result.started_at_ms.get_or_insert(now_ms);
        self.running_count += 1;
        let progress = &mut self.progress[row];
        progress.attempt += 1;
        let attempt = progress.attempt;
        progress.running = Some(Attempt {
            members,
            started_at_ms: now_ms,
            planned_end,
            is_stopping: false,
        });
        self.push(planned_end.run_time_ms, Event::End { row, attempt });
    }

    fn preempt(&mut self, row: usize) {
        let attempt = self.progress[row].attempt;
        let after_ms = match self.scenario.rows[row].checkpointable {
            true => CHECKPOINT_MS,
            false => STOP_MS,
        };
        match &mut self.progress[row].running {
            Some(running) if !running.is_stopping => running.is_stopping = true,
            _ => return,
        }
        self.results.preemptions += 1;
        self.push(after_ms, Event::Stopped { row, attempt });
    }

    fn finish(self) -> ReplayResults {
        self.results
    }
}

/// Returns the work of a job, in milliseconds at speed 1.0.
fn work_ms(job: &jobs::JobRow) -> f64 {
    (job.run_time_s * 1_000.0).max(1.0)
}
