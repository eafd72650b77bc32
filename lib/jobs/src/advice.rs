//! Placement advice: for the steps of some queues an external service decides which backend servers
//! may run them, and issues a ticket for each. Decides which servers to ask about and what the
//! answers are worth; see docs/design/advice.md for the rules and their reasons.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use async_trait::async_trait;
use camphorbeam_model::{fleet, id, job};

use crate::crash_evidence::Isolation;
use crate::decide::DEGRADED_SPEED_RATIO;
use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::live_run::RunPhase;
use crate::open_job::PlacementUnit;
use crate::orders::StartOrder;
use crate::overdue;
use crate::placement::{CapacitySnapshot, Demand};

/// Number of servers that the service accepts in one call.
const SERVERS_MAX: u64 = 100;

/// Number of servers in a call that is allowed even if it takes long.
const SERVERS_MIN: u64 = 8;

/// Expected room in a group of servers, as a multiple of a gang's tasks, from which the other
/// groups are not asked about.
const GROUP_RESERVE_RATIO: f64 = 1.25;

/// Expected room in several groups, as a multiple of a gang's tasks, up to which they are asked
/// about together. The time of a call grows with the number of servers and holds up other steps.
const GROUPS_RATIO: f64 = 3.0;

/// Number of calls after which a step goes behind others of its priority, and a gang that prefers
/// one rack may span several, where it runs slower. Without the limit, gangs that no rack can hold
/// ask about the whole fleet first.
const CALLS_MAX: u32 = 3;

/// Number of waiting steps that also ask about servers without free room, as they are next.
const STEPS_MAX: usize = 32;

/// Number of steps that are looked at in one decision, as each takes several searches: half of them
/// the first in line, the others those that were not looked at for longest.
const SELECTIONS_MAX: usize = 4;

/// Time until a step that needs no answers is looked at again.
const ENOUGH_PAUSE_MS: u64 = 250;

/// How long a ticket has to stay valid for a placement: a write to the store takes up to 0.6 s on a
/// slow day, and the order and its wait for others as long again.
const PLACEMENT_MARGIN_MS: u64 = 1_200;

/// How long a ticket has to stay valid when the start order is sent.
const SEND_MARGIN_MS: u64 = 150;

/// Time allowed for a reply beyond the time that the service takes to decide.
const REPLY_MARGIN_MS: u64 = 500;

/// Shortest time between two calls for one step. Bounds the calls if the tickets end at once.
const STEP_PAUSE_MS: u64 = 100;

/// Delay after the first failed call; it doubles with each further one up to the maximum.
const FAILURE_DELAY_MIN_MS: u64 = 200;
const FAILURE_DELAY_MAX_MS: u64 = 5_000;

/// Failed calls in a row, and the time since the first, from which the service counts as away.
const AWAY_FAILURES_MIN: u32 = 3;
const AWAY_AFTER_MS: u64 = 3_000;

/// Number of answers that an assumed share of good servers counts as.
const PRIOR_SERVERS: f64 = 4.0;

/// Least share of good servers that is assumed, so that a call doesn't ask about all for nothing.
const GOOD_RATIO_MIN: f64 = 0.05;

/// Names a step of one occurrence of a job. Its text form is `job.occurrence.step`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct StepName {
    /// The job.
    pub job: id::JobId,
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
}

impl StepName {
    pub(crate) fn of(job: &id::JobId, index: job::TaskIndex) -> Self {
        Self {
            job: job.clone(),
            occurrence: index.occurrence,
            step: index.step,
        }
    }
}

impl fmt::Display for StepName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// A call to make to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The step to place.
    pub step: StepName,
    /// The servers to ask about and their incarnations.
    pub servers: BTreeMap<id::BackendServerId, fleet::Incarnation>,
    /// Time after which no reply is expected any more.
    pub timeout_ms: u64,
    /// When the call was handed out, on the scheduler's clock.
    pub sent_ms: u64,
}

/// The reply of the service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// The servers that may run the step, and their tickets.
    pub good: BTreeMap<id::BackendServerId, Arc<str>>,
    /// How long the tickets are valid; `None` if the reply doesn't state it.
    pub valid_ms: Option<u64>,
    /// Number of rows that could not be read.
    pub malformed: usize,
}

/// The outcome of a call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceOutcome {
    /// The service has decided.
    Answered(Advice),
    /// The service has too many waiting calls.
    Busy,
    /// The service has refused this call.
    Refused {
        /// Why.
        reason: String,
    },
    /// The reply can't be read.
    Malformed {
        /// Why.
        reason: String,
    },
    /// There was no reply, or the service has failed.
    Unknown {
        /// Why.
        reason: String,
    },
}

impl AdviceOutcome {
    /// The value of the `outcome` label in metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Busy => "busy",
            Self::Refused { .. } => "refused",
            Self::Malformed { .. } => "malformed",
            Self::Unknown { .. } => "unknown",
        }
    }
}

/// The interface for calls to the service.
#[async_trait]
pub trait Adviser: Send + Sync {
    /// Asks which servers may run a step.
    async fn advise(&self, ask: &Ask) -> AdviceOutcome;
}

/// What is known about the servers for one step. Servers in no set have not been asked about since
/// they started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AdvisedServers {
    /// May not run the step.
    pub bad: BTreeSet<id::BackendServerId>,
    /// May run the step; a ticket may have ended.
    pub good: BTreeSet<id::BackendServerId>,
    /// The good servers whose ticket is valid for long enough.
    pub ready: BTreeSet<id::BackendServerId>,
}

#[derive(Clone, Debug)]
struct Ticket {
    text: Arc<str>,
    /// Zero after a refusal.
    valid_until_ms: u64,
}

#[derive(Clone, Debug)]
struct Answer {
    incarnation: fleet::Incarnation,
    /// `None` if the server may not run the step.
    ticket: Option<Ticket>,
}

#[derive(Clone, Debug, Default)]
struct StepAdvice {
    answers: BTreeMap<id::BackendServerId, Answer>,
    /// The answers as of the last decision.
    servers: Arc<AdvisedServers>,
    /// Number of calls for waiting units so far, without renewals.
    calls: u32,
    /// Whether a gang that prefers one rack may span several, since no rack is expected to hold it.
    spans_racks: bool,
    next_ask_ms: u64,
    failures: u32,
    /// Calls in a row without a usable reply.
    unanswered: u32,
    /// When it was last looked at as a waiting step.
    looked_ms: u64,
    is_wait_reported: bool,
}

/// Answers about servers, and how many of them were good.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: f64,
    good: f64,
}

impl Tally {
    fn add(&mut self, is_good: bool) {
        self.asked += 1.0;
        self.good += f64::from(u8::from(is_good));
    }

    /// The share of good ones, where `prior_ratio` counts as much as [`PRIOR_SERVERS`] answers.
    fn ratio(self, prior_ratio: f64) -> f64 {
        let ratio = (self.good + PRIOR_SERVERS * prior_ratio) / (self.asked + PRIOR_SERVERS);
        ratio.max(GOOD_RATIO_MIN)
    }
}

/// The answers of the service and the state of the calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdviceState {
    steps: BTreeMap<StepName, StepAdvice>,
    planned: Option<Ask>,
    /// Whether the last planned call renews tickets.
    is_last_renewal: bool,
    is_call_open: bool,
    next_ask_ms: u64,
    /// Failed calls in a row, and when the first one failed.
    failures: u32,
    failing_since_ms: u64,
    is_away_reported: bool,
    /// Numbers of all servers in answers so far, and of the good ones among them.
    total: Tally,
    /// The same for each server, as the servers that are good for several steps may be the same.
    tallies: BTreeMap<id::BackendServerId, Tally>,
    /// Queues that were reported because there is no address of the service.
    unserved_queues: BTreeSet<id::QueueName>,
}

impl AdviceState {
    /// The expected share of good servers among those that were not asked about for a step.
    fn good_ratio(&self, step: &AdvisedServers) -> f64 {
        let tally = Tally {
            asked: (step.good.len() + step.bad.len()) as f64,
            good: step.good.len() as f64,
        };
        tally.ratio(self.total.ratio(0.5))
    }

    fn is_due(&self, step: &StepName, now: Now) -> bool {
        let known = self.steps.get(step);
        known.is_none_or(|step| now.ms >= step.next_ask_ms)
    }

    /// Calls in a row for a step without a usable reply, as far as they count for the order: a step
    /// whose calls fail goes behind others only until one of theirs has succeeded, so that none
    /// loses its place while the service is away.
    fn unanswered(&self, step: &StepName) -> u32 {
        let known = self.steps.get(step).filter(|_| self.failures > 0);
        known.map_or(0, |step| step.unanswered)
    }

    fn ticket(&self, step: &StepName, server: &id::BackendServerId) -> Option<(&Answer, &Ticket)> {
        let answer = self.steps.get(step)?.answers.get(server)?;
        Some((answer, answer.ticket.as_ref()?))
    }
}

/// Calls in a row without a usable reply while the last call for any step had none, priority,
/// multiples of [`CALLS_MAX`] calls so far, and position in the order of placement.
type AskOrder = (u32, u32, u32, usize);

/// Servers with room that are to be asked about for a step.
#[derive(Default)]
struct Selection {
    ask: Vec<id::BackendServerId>,
    /// Number of tasks for which the known and the expected good servers have room.
    expected: f64,
    has_unknown: bool,
    /// Whether no rack is expected to hold a gang that prefers one.
    needs_more_racks: bool,
}

fn placement_margin_ms(advice: &job::AdviceTerms) -> u64 {
    PLACEMENT_MARGIN_MS.min(advice.valid_ms / 3)
}

/// Remaining time of a ticket from which it is renewed, if it is still needed.
fn renewal_margin_ms(advice: &job::AdviceTerms) -> u64 {
    let answer_ms = advice.decide_ms + advice.each_ms * SERVERS_MIN + REPLY_MARGIN_MS;
    (placement_margin_ms(advice) + answer_ms).min(advice.valid_ms * 2 / 3)
}

/// Number of servers in one call, so that little of their tickets' time is lost.
fn servers_max(advice: &job::AdviceTerms) -> usize {
    let time_ms = (advice.valid_ms / 3).saturating_sub(advice.decide_ms);
    let servers = time_ms.checked_div(advice.each_ms).unwrap_or(SERVERS_MAX);
    servers.clamp(SERVERS_MIN, SERVERS_MAX) as usize
}

fn failure_delay_ms(failures: u32, spread_ratio: f64) -> u64 {
    let delay_ms = FAILURE_DELAY_MIN_MS << failures.saturating_sub(1).min(10);
    let delay_ms = delay_ms.min(FAILURE_DELAY_MAX_MS) as f64;
    (delay_ms * (0.75 + spread_ratio / 2.0)) as u64
}

impl Engine {
    /// The call that the last decision has planned, if any. Each has to be followed by
    /// [`Engine::advice_reply`]; until then no other is planned.
    pub fn next_ask(&mut self, now: Now) -> Option<Ask> {
        let mut ask = self.advice.planned.take()?;
        ask.sent_ms = now.ms;
        self.advice.is_call_open = true;
        Some(ask)
    }

    /// Whether [`Engine::next_ask`] has a call to hand out.
    pub fn has_planned_ask(&self) -> bool {
        self.advice.planned.is_some()
    }

    /// Processes the outcome of a call. `spread_ratio`, a random number from 0 to 1, spreads the
    /// delay after a failure.
    pub fn advice_reply(
        &mut self,
        ask: &Ask,
        outcome: &AdviceOutcome,
        spread_ratio: f64,
        now: Now,
    ) {
        self.advice.is_call_open = false;
        let (mut good, mut foreign, mut malformed) = (0, 0, 0);
        if let AdviceOutcome::Answered(advice) = outcome {
            let asked = |server: &&id::BackendServerId| ask.servers.contains_key(*server);
            good = advice.good.keys().filter(asked).count();
            foreign = advice.good.len() - good;
            malformed = advice.malformed;
        }
        self.events.push(Event::Advice {
            step: ask.step.clone(),
            outcome: outcome.name(),
            asked: ask.servers.len(),
            good,
            foreign,
            malformed,
            took_ms: now.ms.saturating_sub(ask.sent_ms),
        });
        let is_step_at_fault = match outcome {
            AdviceOutcome::Answered(_) => malformed > 0,
            AdviceOutcome::Refused { .. } => true,
            _ => false,
        };
        match outcome {
            AdviceOutcome::Answered(_) | AdviceOutcome::Refused { .. } => self.record_contact(now),
            _ => self.record_failed_call(spread_ratio, now),
        }
        if !self.is_step_open(&ask.step) {
            return;
        }
        if let AdviceOutcome::Answered(advice) = outcome {
            self.keep_answers(ask, advice, now);
        }
        let step = self.advice.steps.entry(ask.step.clone()).or_default();
        step.failures = match is_step_at_fault {
            true => step.failures.saturating_add(1),
            false => 0,
        };
        step.unanswered = match outcome {
            AdviceOutcome::Answered(_) | AdviceOutcome::Refused { .. } => 0,
            AdviceOutcome::Busy => step.unanswered,
            _ => step.unanswered.saturating_add(1),
        };
        step.next_ask_ms = now.ms
            + match is_step_at_fault {
                true => failure_delay_ms(step.failures, spread_ratio),
                false => STEP_PAUSE_MS,
            };
    }

    fn keep_answers(&mut self, ask: &Ask, advice: &Advice, now: Now) {
        let terms = self.advice_terms(&ask.step.job);
        let valid_ms = advice.valid_ms.or(terms.map(|terms| terms.valid_ms));
        let valid_ms = valid_ms.unwrap_or_default().min(job::ADVICE_TIME_MAX_MS);
        if self.advice.tallies.len() > 2 * self.servers.len() {
            let servers = &self.servers;
            let tallies = &mut self.advice.tallies;
            tallies.retain(|server, _| servers.contains_key(server));
        }
        let took_ms = now.ms.saturating_sub(ask.sent_ms);
        // The ticket may have been issued at any time in between.
        let issued_ms = match took_ms + PLACEMENT_MARGIN_MS.min(valid_ms / 3) < valid_ms {
            true => ask.sent_ms,
            false => now.ms,
        };
        let step = self.advice.steps.entry(ask.step.clone()).or_default();
        for (server, incarnation) in &ask.servers {
            let ticket = advice.good.get(server).map(|text| Ticket {
                text: Arc::clone(text),
                valid_until_ms: issued_ms + valid_ms,
            });
            // The row of this server may be among those that could not be read.
            if ticket.is_none() && advice.malformed > 0 {
                continue;
            }
            let answer = Answer {
                incarnation: *incarnation,
                ticket,
            };
            // Renewals say nothing new.
            if !step.answers.contains_key(server) {
                let is_good = answer.ticket.is_some();
                self.advice.total.add(is_good);
                let tally = self.advice.tallies.entry(server.clone()).or_default();
                tally.add(is_good);
            }
            step.answers.insert(server.clone(), answer);
        }
    }

    fn record_contact(&mut self, now: Now) {
        self.advice.failures = 0;
        if std::mem::take(&mut self.advice.is_away_reported) {
            self.events.push(Event::Adviser {
                is_away: false,
                silent_ms: now.ms.saturating_sub(self.advice.failing_since_ms),
            });
        }
    }

    fn record_failed_call(&mut self, spread_ratio: f64, now: Now) {
        let advice = &mut self.advice;
        if advice.failures == 0 {
            advice.failing_since_ms = now.ms;
        }
        advice.failures = advice.failures.saturating_add(1);
        advice.next_ask_ms = now.ms + failure_delay_ms(advice.failures, spread_ratio);
        let silent_ms = now.ms.saturating_sub(advice.failing_since_ms);
        let is_away = advice.failures >= AWAY_FAILURES_MIN && silent_ms >= AWAY_AFTER_MS;
        if is_away && !std::mem::replace(&mut advice.is_away_reported, true) {
            self.events.push(Event::Adviser { is_away, silent_ms });
        }
    }

    fn is_step_open(&self, step: &StepName) -> bool {
        self.jobs.get(&step.job).is_some_and(|job| {
            !job.progress.state.is_final() && !job.is_step_finished(step.occurrence, step.step)
        })
    }

    /// The terms of the advice that a job needs, if any. [`Engine::submit`] and
    /// [`Engine::set_terms`] have replaced stored terms by those in force.
    fn advice_terms(&self, job: &id::JobId) -> Option<job::AdviceTerms> {
        self.jobs.get(job)?.accepted.terms.advice
    }

    /// Whether the server still is the one that the answer is about.
    fn is_same_life(&self, server: &id::BackendServerId, incarnation: fleet::Incarnation) -> bool {
        let server = self.servers.get(server);
        server.is_some_and(|server| server.incarnation == Some(incarnation))
    }

    /// Drops the answers for steps that have ended and brings the sets of servers up to date.
    pub(crate) fn update_advice(&mut self, now: Now) {
        if self.advice.steps.is_empty() {
            return;
        }
        let mut steps = std::mem::take(&mut self.advice.steps);
        steps.retain(|name, _| self.is_step_open(name));
        for (name, step) in &mut steps {
            let Some(terms) = self.advice_terms(&name.job) else {
                continue;
            };
            let ready_until_ms = now.ms + placement_margin_ms(&terms);
            let mut servers = AdvisedServers::default();
            step.answers
                .retain(|server, answer| self.is_same_life(server, answer.incarnation));
            for (server, answer) in &step.answers {
                match &answer.ticket {
                    None => servers.bad.insert(server.clone()),
                    Some(ticket) if ticket.valid_until_ms > ready_until_ms => {
                        servers.ready.insert(server.clone());
                        servers.good.insert(server.clone())
                    }
                    Some(_) => servers.good.insert(server.clone()),
                };
            }
            if *step.servers != servers {
                step.servers = Arc::new(servers);
            }
        }
        self.advice.steps = steps;
    }

    /// The servers that may run a task; `None` if its queue needs no advice.
    pub(crate) fn advised_servers(
        &self,
        job: &id::JobId,
        index: job::TaskIndex,
    ) -> Option<Arc<AdvisedServers>> {
        self.advice_terms(job)?;
        let step = self.advice.steps.get(&StepName::of(job, index));
        Some(step.map_or_else(Arc::default, |step| Arc::clone(&step.servers)))
    }

    /// Whether a gang that prefers one rack has asked for servers often enough.
    pub(crate) fn may_span_racks_by_advice(&self, job: &id::JobId, index: job::TaskIndex) -> bool {
        let step = self.advice.steps.get(&StepName::of(job, index));
        let is_advised = self.advice_terms(job).is_some();
        is_advised && step.is_some_and(|step| step.calls >= CALLS_MAX || step.spans_racks)
    }

    /// Whether no server is known yet that may run a unit, so that a search would be in vain.
    pub(crate) fn waits_for_advice(&self, job: &id::JobId, unit: PlacementUnit) -> bool {
        let servers = self.advised_servers(job, unit.first);
        servers.is_some_and(|servers| servers.good.is_empty())
    }

    /// Whether a unit may be started on `servers` as far as tickets are concerned.
    pub(crate) fn has_tickets(
        &self,
        job: &id::JobId,
        unit: PlacementUnit,
        servers: &[id::BackendServerId],
    ) -> bool {
        let advised = self.advised_servers(job, unit.first);
        advised.is_none_or(|advised| servers.iter().all(|server| advised.ready.contains(server)))
    }

    /// The ticket for a start order to `server`. Fails if one is needed and there is none that is
    /// valid for long enough.
    pub(crate) fn ticket_for_start(
        &self,
        job: &id::JobId,
        index: job::TaskIndex,
        server: &id::BackendServerId,
        now: Now,
    ) -> Result<Option<Arc<str>>, NoTicket> {
        let Some(terms) = self.advice_terms(job) else {
            return Ok(None);
        };
        let step = StepName::of(job, index);
        let known = self.advice.ticket(&step, server);
        let margin_ms = SEND_MARGIN_MS.min(terms.valid_ms / 10);
        match known {
            Some((answer, ticket))
                if ticket.valid_until_ms > now.ms + margin_ms
                    && self.is_same_life(server, answer.incarnation) =>
            {
                Ok(Some(Arc::clone(&ticket.text)))
            }
            _ => Err(NoTicket),
        }
    }

    /// The form in which a start order may be sent now, with the newest ticket; `None` if it may
    /// not be sent, see [`Engine::may_start_on`], or if a ticket is needed and there is none.
    pub fn sendable_start(
        &self,
        server: &id::BackendServerId,
        order: &StartOrder,
        now: Now,
    ) -> Option<StartOrder> {
        let task = &order.name.task;
        let ticket = self.ticket_for_start(&task.job, task.index, server, now);
        let ticket = ticket.ok()?;
        let may_start = self.may_start_on(server, now);
        may_start.then(|| StartOrder {
            ticket,
            ..order.clone()
        })
    }

    /// Drops a ticket that a server has refused, so that it is asked for again. If no terms say
    /// that the job needs advice, nothing can be asked, and the next start of the unit is delayed.
    pub(crate) fn ticket_refused(
        &mut self,
        job: &id::JobId,
        index: job::TaskIndex,
        server: &id::BackendServerId,
        now: Now,
    ) {
        if self.advice_terms(job).is_none() {
            let open = self.jobs.get(job);
            let run = open.and_then(|open| Some((open.unit_of(index), open.runs.get(&index)?.run)));
            if let Some((unit, run)) = run {
                let event = self.restarts.record_quick_end(job, unit, run, None, now.ms);
                self.events.extend(event);
            }
            return;
        }
        let step = self.advice.steps.get_mut(&StepName::of(job, index));
        let answer = step.and_then(|step| step.answers.get_mut(server));
        if let Some(ticket) = answer.and_then(|answer| answer.ticket.as_mut()) {
            ticket.valid_until_ms = 0;
        }
    }

    fn can_plan_ask(&self, now: Now) -> bool {
        let advice = &self.advice;
        !advice.is_call_open && advice.planned.is_none() && now.ms >= advice.next_ask_ms
    }

    /// Plans the call that renews tickets of runs that are placed but not started, or of claims, if
    /// they end soon. The most urgent step goes first, unless its calls fail.
    pub(crate) fn plan_renewal(&mut self, now: Now) {
        if self.advice.steps.is_empty() || !self.can_plan_ask(now) {
            return;
        }
        let mut needed: BTreeMap<(u32, u32, u64, StepName), Vec<id::BackendServerId>> =
            BTreeMap::new();
        let mut add = |id: &id::JobId, index, server: &id::BackendServerId| {
            let job = &self.jobs[id];
            let (step, terms) = (StepName::of(id, index), job.accepted.terms.advice);
            let ends_soon = terms.is_some_and(|terms| {
                let known = self.advice.ticket(&step, server);
                let until_ms = now.ms + renewal_margin_ms(&terms);
                known.is_some_and(|(_, ticket)| ticket.valid_until_ms < until_ms)
            });
            if ends_soon && self.advice.is_due(&step, now) {
                let priority = job.accepted.terms.priority;
                let unanswered = self.advice.unanswered(&step);
                let key = (unanswered, priority, job.accepted_ms, step);
                needed.entry(key).or_default().push(server.clone());
            }
        };
        for name in self.advice.steps.keys() {
            for (index, live) in &self.jobs[&name.job].runs {
                let is_unstarted = matches!(
                    live.phase,
                    RunPhase::AwaitingWrite { .. } | RunPhase::StartSent { .. }
                );
                if is_unstarted && (index.occurrence, index.step) == (name.occurrence, name.step) {
                    add(&name.job, *index, &live.server);
                }
            }
        }
        for ((id, unit), claim) in &self.claims {
            for server in &claim.servers {
                add(id, unit.first, server);
            }
        }
        if let Some(((_, _, _, step), servers)) = needed.pop_first() {
            let is_planned = self.plan_call(step, servers);
            self.advice.is_last_renewal |= is_planned;
        }
    }

    /// Whether waiting steps go before renewals: those of many steps could take every call.
    pub(crate) fn renews_last(&self) -> bool {
        self.advice.is_last_renewal
    }

    /// Plans the call for the first of the waiting steps that needs more answers, if none is open.
    pub(crate) fn plan_ask<'a>(
        &mut self,
        waiting: impl Iterator<Item = (&'a id::JobId, &'a [PlacementUnit])>,
        snapshot: &mut CapacitySnapshot,
        guaranteed_accounts: &BTreeSet<id::ClientAccountName>,
        now: Now,
    ) {
        let waiting = waiting.filter(|(job, _)| self.advice_terms(job).is_some());
        let waiting: Vec<_> = waiting.collect();
        if waiting.is_empty() || self.reports_missing_adviser(&waiting) || !self.can_plan_ask(now) {
            return;
        }
        // Steps that need many calls, or whose calls fail, must not hold up the others.
        let mut due: Vec<(AskOrder, StepName, &[PlacementUnit])> = Vec::new();
        let step = |unit: &PlacementUnit| (unit.first.occurrence, unit.first.step);
        for (number, (id, units)) in waiting.into_iter().enumerate() {
            let priority = self.jobs[id].accepted.terms.priority;
            for units in units.chunk_by(|a, b| step(a) == step(b)) {
                let name = StepName::of(id, units[0].first);
                let known = self.advice.steps.get(&name);
                if known.is_none_or(|step| now.ms >= step.next_ask_ms) {
                    let rounds = known.map_or(0, |step| step.calls / CALLS_MAX);
                    let unanswered = self.advice.unanswered(&name);
                    due.push(((unanswered, priority, rounds, number), name, units));
                }
            }
        }
        due.sort_unstable_by_key(|(key, _, _)| *key);
        // The others are those not looked at for longest. Steps that need nothing are due again soon,
        // and enough of them would take every look.
        let mut others = due.split_off(due.len().min(SELECTIONS_MAX / 2));
        let looked_ms =
            |name: &StepName| self.advice.steps.get(name).map_or(0, |step| step.looked_ms);
        others.sort_by_key(|(_, name, _)| looked_ms(name));
        others.truncate(SELECTIONS_MAX - due.len());
        due.extend(others);
        for ((_, _, _, number), name, units) in due {
            let step = self.advice.steps.entry(name.clone()).or_default();
            step.looked_ms = now.ms;
            let job = &self.jobs[&name.job];
            let is_waiting = |unit: &&PlacementUnit| {
                let mut members = unit.members();
                !members.any(|index| job.runs.contains_key(&index))
            };
            let units: Vec<_> = units.iter().filter(is_waiting).copied().collect();
            let Some(&first) = units.first() else {
                continue;
            };
            let counts_busy = number < STEPS_MAX;
            let mut demand = self.demand(&name.job, first, guaranteed_accounts, now);
            snapshot.relax_kept(&mut demand);
            let mut selection =
                self.select_servers(&name, demand, &units, snapshot, counts_busy, now);
            if selection.ask.is_empty() && self.is_overdue_soon(&name, now) {
                selection = self.select_for_overdue(&name, &units, guaranteed_accounts, now);
            }
            let step = self.advice.steps.entry(name.clone()).or_default();
            // Its answers may be enough for several racks; the next decision shows that.
            if selection.needs_more_racks && step.calls > 0 && !step.spans_racks {
                step.spans_racks = true;
                continue;
            }
            if !selection.ask.is_empty() {
                if self.plan_call(name.clone(), selection.ask) {
                    self.advice.is_last_renewal = false;
                    self.advice.steps.entry(name).or_default().calls += 1;
                }
                return;
            }
            let step = self.advice.steps.entry(name.clone()).or_default();
            step.next_ask_ms = now.ms + ENOUGH_PAUSE_MS;
            let fits = selection.expected >= f64::from(first.count);
            if counts_busy && !fits && !selection.has_unknown {
                self.report_advice_wait(&name, first);
            }
        }
    }

    /// Plans a call, and returns whether any of `servers` is known.
    fn plan_call(&mut self, step: StepName, mut servers: Vec<id::BackendServerId>) -> bool {
        let Some(terms) = self.advice_terms(&step.job) else {
            return false;
        };
        servers.truncate(servers_max(&terms));
        let incarnation = |server: &id::BackendServerId| self.servers.get(server)?.incarnation;
        let servers: BTreeMap<_, _> = servers
            .into_iter()
            .filter_map(|server| Some((server.clone(), incarnation(&server)?)))
            .collect();
        if servers.is_empty() {
            return false;
        }
        let decide_ms = terms.decide_ms + terms.each_ms * servers.len() as u64;
        self.advice.planned = Some(Ask {
            step,
            servers,
            timeout_ms: decide_ms + REPLY_MARGIN_MS,
            sent_ms: 0,
        });
        true
    }

    /// Servers to ask about for waiting units of one step; none if enough is known. Servers without
    /// free room are taken into account with `counts_busy`.
    fn select_servers(
        &self,
        name: &StepName,
        mut demand: Demand<'_>,
        units: &[PlacementUnit],
        snapshot: &CapacitySnapshot,
        counts_busy: bool,
        now: Now,
    ) -> Selection {
        let tasks: u64 = units.iter().map(|unit| u64::from(unit.count)).sum();
        let wanted = (tasks + (tasks / 4).max(2)) as f64;
        let required_speed = demand.speed_min_ratio;
        let passes = [
            (required_speed, false),
            (DEGRADED_SPEED_RATIO, false),
            (DEGRADED_SPEED_RATIO, true),
        ];
        let mut selection = Selection::default();
        for (speed_min_ratio, is_busy_pass) in passes {
            if is_busy_pass && !counts_busy {
                break;
            }
            demand.speed_min_ratio = speed_min_ratio;
            selection = self.select_in_pass(name, &demand, wanted, snapshot, is_busy_pass, now);
            if !selection.ask.is_empty() || selection.expected >= wanted {
                break;
            }
        }
        selection
    }

    /// Servers to ask about for units that may soon start on any server that the platform allows, so
    /// that their tickets are there by then.
    fn select_for_overdue(
        &self,
        name: &StepName,
        units: &[PlacementUnit],
        guaranteed_accounts: &BTreeSet<id::ClientAccountName>,
        now: Now,
    ) -> Selection {
        let first = units[0];
        let is_suspected = self.isolation(&name.job, first) != Isolation::None;
        let snapshot = self.snapshot_for_overdue(is_suspected, now);
        let demand = self.demand(&name.job, first, guaranteed_accounts, now);
        let step = overdue::step_anywhere(demand.step);
        let demand = self.demand_anywhere(&name.job, first, demand, &step, now);
        self.select_servers(name, demand, units, &snapshot, false, now)
    }

    /// Selects servers until they are expected to have room for `wanted` tasks: free room, or all
    /// of it with `counts_busy`.
    fn select_in_pass(
        &self,
        name: &StepName,
        demand: &Demand<'_>,
        wanted: f64,
        snapshot: &CapacitySnapshot,
        counts_busy: bool,
        now: Now,
    ) -> Selection {
        let terms = self.advice_terms(&name.job);
        let (Some(terms), Some(advised)) = (terms, demand.advice.as_deref()) else {
            return Selection::default();
        };
        let ratio = self.advice.good_ratio(advised);
        let fresh_until_ms = now.ms + renewal_margin_ms(&terms);
        let servers_max = servers_max(&terms);
        let mut selections: Vec<(f64, Selection)> = Vec::new();
        for group in snapshot.possible_groups(demand) {
            let ranked = snapshot.rank(&group, demand, counts_busy);
            let ranked = ranked.into_iter().map(|(position, tasks)| {
                let server = &snapshot.candidates()[position].entry.id;
                let tally = self.advice.tallies.get(server).copied();
                (server, tasks as f64, tally.unwrap_or_default().ratio(ratio))
            });
            let (known, unknown): (Vec<_>, Vec<_>) =
                ranked.partition(|(server, _, _)| advised.good.contains(*server));
            // Servers that were bad for most other steps come last.
            let (likely, unlikely): (Vec<_>, Vec<_>) = unknown
                .into_iter()
                .partition(|(_, _, server_ratio)| *server_ratio > ratio / 2.0);
            let mut selection = Selection {
                has_unknown: !likely.is_empty() || !unlikely.is_empty(),
                ..Selection::default()
            };
            let mut total = 0.0;
            let known = known
                .into_iter()
                .map(|(server, tasks, _)| (server, tasks, 1.0));
            for (server, tasks, ratio) in known.chain(likely).chain(unlikely) {
                total += tasks * ratio;
                if selection.expected >= wanted || selection.ask.len() >= servers_max {
                    continue;
                }
                selection.expected += tasks * ratio;
                let is_needed = match self.advice.ticket(name, server) {
                    Some((_, ticket)) => {
                        ticket.valid_until_ms < fresh_until_ms && (!counts_busy || demand.is_urgent)
                    }
                    None => true,
                };
                if is_needed {
                    selection.ask.push(server.clone());
                }
            }
            selections.push((total, selection));
        }
        selections.sort_by(|a, b| b.0.total_cmp(&a.0));
        let mut groups = selections.into_iter();
        let (total, mut best) = groups.next().unwrap_or_default();
        // A gang needs room in one group. If the best one may turn out not to have it, one call for
        // several groups is faster than a call for each.
        if total < f64::from(demand.count) * GROUP_RESERVE_RATIO {
            best.needs_more_racks = groups.len() > 0 && total < f64::from(demand.count);
            let mut expected = total;
            for (total, other) in groups {
                if expected >= f64::from(demand.count) * GROUPS_RATIO {
                    best.has_unknown = true;
                    break;
                }
                expected += total;
                best.has_unknown |= other.has_unknown;
                best.ask.extend(other.ask);
            }
            best.ask.truncate(servers_max);
        }
        best
    }

    /// Reports a step for which too few servers are good although all usable ones were asked about,
    /// once.
    fn report_advice_wait(&mut self, name: &StepName, unit: PlacementUnit) {
        let Some(step) = self.advice.steps.get_mut(name) else {
            return;
        };
        let (good, bad) = (step.servers.good.len(), step.servers.bad.len());
        if bad > 0 && !std::mem::replace(&mut step.is_wait_reported, true) {
            self.events.push(Event::AdviceWait {
                step: name.clone(),
                tasks: unit.count,
                good,
                bad,
            });
        }
    }

    /// Whether the address of the service is missing. Reports each queue that needs it once.
    fn reports_missing_adviser(&mut self, waiting: &[(&id::JobId, &[PlacementUnit])]) -> bool {
        if self.settings.has_adviser {
            return false;
        }
        for (id, _) in waiting {
            let queue = &self.jobs[*id].accepted.queue;
            if self.advice.unserved_queues.insert(queue.clone()) {
                let queue = queue.clone();
                self.events.push(Event::NoAdviser { queue });
            }
        }
        true
    }
}

/// A start order needs a ticket, and there is none that is valid for long enough.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoTicket;
