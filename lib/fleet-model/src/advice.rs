//! A simulated service that decides which servers may run a step.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_jobs::advice::{Advice, AdviceOutcome, Ask, StepName};
use camphorbeam_jobs::orders::StartOrder;
use camphorbeam_model::{id, job};

use crate::Simulation;

/// The service. It is asked by the jobs of some queues.
pub struct ModelAdviser {
    /// Whether a server, named by its id, may run a step.
    pub is_good: fn(&str) -> bool,
    /// Outcome of all calls in place of an answer, while set.
    pub failure: Option<AdviceOutcome>,
    /// The only job whose calls fail, if it isn't all of them.
    pub failing_job: Option<id::JobId>,
    /// All calls so far.
    pub calls: Vec<Ask>,
    /// Number of starts that servers have refused for the lack of a valid ticket.
    pub refused_starts: usize,
    queues: BTreeSet<id::QueueName>,
    terms: job::AdviceTerms,
    pub(crate) open: Option<(u64, Ask)>,
}

impl Simulation {
    /// Makes `queue` need advice, and no other.
    pub fn set_advice(&mut self, queue: &str, terms: job::AdviceTerms, is_good: fn(&str) -> bool) {
        self.set_advice_of_queues(&[queue], terms, is_good);
    }

    /// Makes these queues need advice, and no others.
    pub fn set_advice_of_queues(
        &mut self,
        queues: &[&str],
        terms: job::AdviceTerms,
        is_good: fn(&str) -> bool,
    ) {
        let queues = queues
            .iter()
            .map(|queue| id::QueueName::new(queue).unwrap());
        let queues: BTreeSet<_> = queues.collect();
        self.change_terms(|in_force| {
            for known in &mut in_force.queues {
                let advice = queues.contains(&known.name).then_some(terms);
                known.job_settings.advice = advice;
            }
        });
        let open = self.adviser.take().and_then(|adviser| adviser.open);
        self.adviser = Some(ModelAdviser {
            is_good,
            failure: None,
            failing_job: None,
            calls: Vec::new(),
            refused_starts: 0,
            queues,
            terms,
            open,
        });
    }

    /// The queues that need advice.
    pub fn advised_queues(&self) -> BTreeSet<id::QueueName> {
        let queues = self.adviser.as_ref().map(|adviser| &adviser.queues);
        queues.cloned().unwrap_or_default()
    }

    /// Answers the open call if it is due, and takes the next one.
    pub(crate) fn advise(&mut self) {
        let now = self.now();
        let Some(adviser) = &mut self.adviser else {
            return;
        };
        if let Some((_, ask)) = adviser.open.take_if(|(due_ms, _)| *due_ms <= now.ms) {
            let outcome = adviser.outcome(&ask, now.ms);
            self.engine.advice_reply(&ask, &outcome, 0.5, now);
        }
        if adviser.open.is_none() {
            if let Some(ask) = self.engine.next_ask(now) {
                let terms = adviser.terms;
                let took_ms = match adviser.failure_of(&ask) {
                    Some(AdviceOutcome::Unknown { .. }) => ask.timeout_ms,
                    _ => terms.decide_ms + terms.each_ms * ask.servers.len() as u64,
                };
                adviser.calls.push(ask.clone());
                adviser.open = Some((now.ms + took_ms, ask));
            }
        }
    }

    /// Whether a server accepts the ticket of an order, or needs none.
    pub(crate) fn accepts_ticket(&mut self, server: &str, start: &StartOrder) -> bool {
        let queue = &self.accepted[&start.name.task.job].queue;
        if self.terms.queue(queue).is_none() {
            return true;
        }
        let Some(adviser) = self
            .adviser
            .as_mut()
            .filter(|adviser| adviser.queues.contains(queue))
        else {
            return true;
        };
        let task = &start.name.task;
        let step = StepName {
            job: task.job.clone(),
            occurrence: task.index.occurrence,
            step: task.index.step,
        };
        let life = format!("{step} {server} {} ", self.servers[server].incarnation);
        let until_ms = start
            .ticket
            .as_ref()
            .and_then(|text| text.strip_prefix(&life));
        let is_valid =
            until_ms.is_some_and(|until_ms| until_ms.parse::<u64>().unwrap() > self.now_ms);
        adviser.refused_starts += usize::from(!is_valid);
        is_valid
    }
}

impl ModelAdviser {
    fn failure_of(&self, ask: &Ask) -> Option<&AdviceOutcome> {
        let failing_job = self.failing_job.as_ref();
        let is_failing = failing_job.is_none_or(|job| *job == ask.step.job);
        self.failure.as_ref().filter(|_| is_failing)
    }

    fn outcome(&self, ask: &Ask, now_ms: u64) -> AdviceOutcome {
        if let Some(failure) = self.failure_of(ask) {
            return failure.clone();
        }
        let until_ms = now_ms + self.terms.valid_ms;
        let good = ask
            .servers
            .iter()
            .filter(|(server, _)| (self.is_good)(server.as_str()));
        let good = good.map(|(server, life)| {
            let ticket = format!("{} {server} {} {until_ms}", ask.step, life.started_unix_ms);
            (server.clone(), Arc::from(ticket))
        });
        AdviceOutcome::Answered(Advice {
            good: good.collect::<BTreeMap<_, _>>(),
            valid_ms: Some(self.terms.valid_ms),
            malformed: 0,
        })
    }
}
