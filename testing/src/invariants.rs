//! Invariants that hold under every fault. They are checked by comparing the journals of the
//! backend servers with what callers were told.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, record, request, task, verdict};
use camphorbeam_server::requests;

use crate::{backend_tasks, journal};

/// What a caller was told about one request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Name of the request in failure messages.
    pub label: String,
    /// Request that was submitted.
    pub spec: request::RequestSpec,
    /// Verdict of the last submission, unless it was accepted.
    pub refused: Option<verdict::Verdict>,
    /// Whether an entry host confirmed that there is no such request, and none explained it.
    pub is_unknown: bool,
    /// Last explanation, if there was one.
    pub explanation: Option<requests::Explanation>,
    /// Complete answer, if one was received.
    pub answer: Option<Vec<u8>>,
}

/// Result of the checks.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Violated invariants, in readable form.
    pub violations: Vec<String>,
    /// Longest time in milliseconds that a gang ran with only some of its members.
    pub partial_max_ms: u64,
}

/// Identifies one attempt of one request.
type AttemptKey = (id::RequestId, id::Attempt);

/// Checks all invariants. A gang may run with only some of its members for at most
/// `partial_bound_ms`, because the loss of a member is not detected at once.
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

/// Describes, in readable form, what the journals and the last explanation contain about a request.
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

/// Checks that no task starts twice, and that no non-idempotent request starts in two attempts.
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

/// Members of an attempt that run at one point of the journal.
#[derive(Default)]
struct Gang {
    running: BTreeMap<id::Rank, id::BackendServerId>,
    /// Number of members of the complete gang.
    size: usize,
    /// Start of the current interval in which only some members run.
    partial_since_ms: Option<u64>,
    /// Length of the longest such interval that has ended.
    partial_max_ms: u64,
}

impl Gang {
    /// Starts or ends an interval after a change of the running members.
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

/// Checks that no gang runs with only some of its members for longer than `bound_ms`.
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
            // The server was killed or started again, so that none of its earlier tasks runs.
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
        // Ends an interval that still lasts: with size 0, no gang counts as partial.
        gang.size = 0;
        gang.update(end_ms);
        findings.partial_max_ms = findings.partial_max_ms.max(gang.partial_max_ms);
        if gang.partial_max_ms > bound_ms {
            let text = format!(
                "{request}/{attempt} ran with some members missing for {} ms",
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
            _ if has_started => violations.push("no explanation, but a task started".to_owned()),
            (None, _) => violations.push("accepted, but no entry host explains it".to_owned()),
            (Some(_), false) => violations.push("refused, but not confirmed as unknown".to_owned()),
            (Some(_), true) => {}
        }
        return;
    };
    if outcome.refused == Some(verdict::Verdict::NotRun) {
        violations.push("refused with verdict NotRun, but recorded".to_owned());
    }
    check_steps(lines, &id, explanation, violations);
    let state = explanation.state.as_str();
    match explanation.standing {
        record::Standing::Pending => violations.push(format!("has not ended: still {state}")),
        record::Standing::Ended(verdict::Verdict::NotRun) if has_started => {
            violations.push(format!("{state} with verdict NotRun, but a task started"));
        }
        record::Standing::Ended(verdict::Verdict::MayHaveRun)
            if outcome.spec.idempotent && state != "cancelled" =>
        {
            violations.push(format!(
                "idempotent, but ended as {state} with verdict MayHaveRun"
            ));
        }
        _ => {}
    }
    if state == "finished" {
        check_answer(lines, outcome, violations);
    }
}

/// Checks that no attempt started that is recorded as not started.
fn check_steps(
    lines: &[journal::Line],
    id: &id::RequestId,
    explanation: &requests::Explanation,
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
                "attempt {} is recorded as not started, but a task started",
                step.attempt
            ));
        }
    }
}

/// Checks that the answer is that of one attempt of which all members finished.
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
        _ if answers.is_empty() => violations.push("finished, but no complete attempt".to_owned()),
        Some(answer) if !answers.contains(answer) => {
            violations.push("the answer is not that of one complete attempt".to_owned());
        }
        Some(_) => {}
        None => violations.push("finished, but no answer was received".to_owned()),
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
