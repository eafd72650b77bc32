//! What must always hold, checked from the journals of the backend servers against what callers
//! were told.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, record, request, task, verdict};
use camphorbeam_server::lookup;

use crate::{backend_tasks, journal};

/// What a caller was told of one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Where in the test this was, for people.
    pub label: String,
    /// What was asked for.
    pub spec: request::RequestSpec,
    /// Verdict of the refusal, if the last submission was refused for good.
    pub refused: Option<verdict::Verdict>,
    /// Whether an entry host said that there is no such request, and none explained it.
    pub is_unknown: bool,
    /// The last explanation, if there was one.
    pub explanation: Option<lookup::Explanation>,
    /// The whole answer, if one was given.
    pub answer: Option<Vec<u8>>,
}

/// What the check found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// What does not hold, for people.
    pub violations: Vec<String>,
    /// The longest time that a gang ran with only part of its members, in milliseconds.
    pub partial_max_ms: u64,
}

/// Tasks of one attempt.
type AttemptKey = (id::RequestId, id::Attempt);

/// Checks everything; `partial_bound_ms` is the time in which a lost member has to be noticed.
pub fn check(lines: &[journal::Line], outcomes: &[Outcome], partial_bound_ms: u64) -> Findings {
    let mut findings = Findings::default();
    check_single_starts(lines, &mut findings);
    check_gangs(lines, partial_bound_ms, &mut findings);
    for outcome in outcomes {
        let mut violations = Vec::new();
        check_outcome(lines, outcome, &mut violations);
        let id = outcome.spec.id();
        let history = describe_history(lines, outcome);
        let labelled = violations
            .into_iter()
            .map(|text| format!("{id} ({}): {text}; {history}", outcome.label));
        findings.violations.extend(labelled);
    }
    findings
}

/// What the journals and the last explanation tell of a request, for people.
fn describe_history(lines: &[journal::Line], outcome: &Outcome) -> String {
    let id = outcome.spec.id();
    let request_lines = lines
        .iter()
        .filter(|line| line.task.as_ref().is_some_and(|key| key.request == id));
    let journal_events: Vec<String> = request_lines
        .map(|line| {
            let key = line.task.as_ref().map(ToString::to_string);
            let key = key.unwrap_or_default();
            format!("{} {} {:?} {key}", line.at_unix_ms, line.server, line.event)
        })
        .collect();
    let explained = outcome.explanation.as_ref().map(|explanation| {
        let step = |step: &record::HistoryEntry| {
            format!("{} {:?} {}", step.at_unix_ms, step.event, step.detail)
        };
        let steps: Vec<String> = explanation.steps.iter().map(step).collect();
        format!("steps {steps:?}, live {:?}", explanation.live)
    });
    format!(
        "journal {journal_events:?}, {}",
        explained.unwrap_or_default()
    )
}

/// No task starts twice, and no non-idempotent request in two attempts.
fn check_single_starts(lines: &[journal::Line], findings: &mut Findings) {
    let mut started: BTreeSet<&task::TaskKey> = BTreeSet::new();
    let mut attempts: BTreeMap<&id::RequestId, BTreeSet<id::Attempt>> = BTreeMap::new();
    for (line, key) in task_lines(lines, journal::Event::Started) {
        if !started.insert(key) {
            findings.violations.push(format!("{key} started twice"));
        }
        if !line.idempotent {
            attempts
                .entry(&key.request)
                .or_default()
                .insert(key.attempt);
        }
    }
    for (request, attempts) in attempts {
        if attempts.len() > 1 {
            let text = format!("non-idempotent {request} started in attempts {attempts:?}");
            findings.violations.push(text);
        }
    }
}

fn task_lines(
    lines: &[journal::Line],
    event: journal::Event,
) -> impl Iterator<Item = (&journal::Line, &task::TaskKey)> {
    lines
        .iter()
        .filter(move |line| line.event == event)
        .filter_map(|line| line.task.as_ref().map(|key| (line, key)))
}

/// Which members of an attempt run, while its events are gone through.
#[derive(Default)]
struct Gang {
    running: BTreeMap<id::Rank, id::BackendServerId>,
    size: usize,
    partial_since_ms: Option<u64>,
    partial_max_ms: u64,
}

impl Gang {
    fn update(&mut self, at_unix_ms: u64) {
        let is_partial = !self.running.is_empty() && self.running.len() < self.size;
        match (is_partial, self.partial_since_ms) {
            (true, None) => self.partial_since_ms = Some(at_unix_ms),
            (false, Some(since_ms)) => {
                self.partial_max_ms = self.partial_max_ms.max(at_unix_ms.saturating_sub(since_ms));
                self.partial_since_ms = None;
            }
            _ => {}
        }
    }
}

/// No member runs without all others for longer than the bound.
fn check_gangs(lines: &[journal::Line], bound_ms: u64, findings: &mut Findings) {
    let mut gangs: BTreeMap<AttemptKey, Gang> = BTreeMap::new();
    for line in lines {
        match (&line.task, line.event) {
            (Some(key), event) => {
                let gang = gangs.entry((key.request.clone(), key.attempt)).or_default();
                gang.size = gang.size.max(line.gang_size);
                match event {
                    journal::Event::Started => {
                        gang.running.insert(key.rank, line.server.clone());
                    }
                    journal::Event::Reserved => {}
                    _ => drop(gang.running.remove(&key.rank)),
                }
                gang.update(line.at_unix_ms);
            }
            (None, _) => {
                for gang in gangs.values_mut() {
                    gang.running.retain(|_, server| *server != line.server);
                    gang.update(line.at_unix_ms);
                }
            }
        }
    }
    let end_ms = camphorbeam_clock::Clock::system().unix_ms();
    for ((request, attempt), mut gang) in gangs {
        gang.size = 0;
        gang.update(end_ms);
        findings.partial_max_ms = findings.partial_max_ms.max(gang.partial_max_ms);
        if gang.partial_max_ms > bound_ms {
            let text = format!(
                "{request}/{attempt} ran partial for {} ms",
                gang.partial_max_ms
            );
            findings.violations.push(text);
        }
    }
}

fn check_outcome(lines: &[journal::Line], outcome: &Outcome, violations: &mut Vec<String>) {
    let id = outcome.spec.id();
    let has_started = task_lines(lines, journal::Event::Started).any(|(_, key)| key.request == id);
    let Some(explanation) = &outcome.explanation else {
        match (outcome.refused, outcome.is_unknown) {
            _ if has_started => violations.push("unknown, but started".to_owned()),
            (None, _) => violations.push("accepted, but not explained".to_owned()),
            (Some(_), false) => violations.push("not accounted for: nobody could tell".to_owned()),
            (Some(_), true) => {}
        }
        return;
    };
    if outcome.refused == Some(verdict::Verdict::NotRun) {
        violations.push("refused as NotRun, but recorded".to_owned());
    }
    check_steps(lines, &id, explanation, violations);
    let state = explanation.state.as_str();
    match explanation.standing {
        record::Standing::Pending => violations.push(format!("not accounted for: still {state}")),
        record::Standing::Ended(verdict::Verdict::NotRun) if has_started => {
            violations.push(format!("{state} as NotRun, but started"));
        }
        record::Standing::Ended(verdict::Verdict::MayHaveRun)
            if outcome.spec.idempotent && state != "cancelled" =>
        {
            violations.push(format!("idempotent, but {state}"));
        }
        _ => {}
    }
    if state == "finished" {
        check_answer(lines, outcome, violations);
    }
}

/// An attempt that is said not to have started has not.
fn check_steps(
    lines: &[journal::Line],
    id: &id::RequestId,
    explanation: &lookup::Explanation,
    violations: &mut Vec<String>,
) {
    let not_started = explanation
        .steps
        .iter()
        .filter(|step| step.event == record::HistoryEvent::AttemptNotStarted);
    for step in not_started {
        let has_started = task_lines(lines, journal::Event::Started)
            .any(|(_, key)| key.request == *id && key.attempt == step.attempt);
        if has_started {
            violations.push(format!(
                "attempt {} said not started, but was",
                step.attempt
            ));
        }
    }
}

/// The answer is that of one whole attempt that ran to its end.
fn check_answer(lines: &[journal::Line], outcome: &Outcome, violations: &mut Vec<String>) {
    let id = outcome.spec.id();
    let mut finished: BTreeMap<id::Attempt, BTreeMap<id::Rank, usize>> = BTreeMap::new();
    for (line, key) in task_lines(lines, journal::Event::Finished) {
        if key.request == id {
            let ranks = finished.entry(key.attempt).or_default();
            ranks.insert(key.rank, line.gang_size);
        }
    }
    let answers: Vec<Vec<u8>> = finished
        .into_iter()
        .filter(|(_, ranks)| ranks.values().all(|size| *size == ranks.len()))
        .map(|(attempt, ranks)| expected_answer(&outcome.spec, attempt, ranks.len()))
        .collect();
    match &outcome.answer {
        _ if answers.is_empty() => violations.push("finished, but no attempt ran whole".to_owned()),
        Some(answer) if !answers.contains(answer) => {
            violations.push("the answer is not that of one whole attempt".to_owned());
        }
        Some(_) => {}
        None => violations.push("finished, but no answer was given".to_owned()),
    }
}

fn expected_answer(spec: &request::RequestSpec, attempt: id::Attempt, size: usize) -> Vec<u8> {
    let behavior = backend_tasks::task_behavior(&spec.payload);
    let ranks = 0..u32::try_from(size).unwrap_or(u32::MAX);
    let parts = ranks.map(|rank| {
        let key = task::TaskKey {
            request: spec.id(),
            attempt,
            rank: id::Rank(rank),
        };
        backend_tasks::answer_part(&key, &spec.payload, behavior.answer_bytes)
    });
    parts.collect::<Vec<_>>().concat()
}
