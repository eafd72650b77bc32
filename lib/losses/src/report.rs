//! Adds up the causes of a day.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use crate::attribution::{self, Cause};
use crate::timeline::{Job, Timeline};

/// Length of the windows in which moments are reported.
const WINDOW_MS: u64 = 5_000;

/// Jobs and core-seconds, of one queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QueueLosses {
    /// Priority of the queue.
    pub priority: u32,
    /// Jobs with an objective that have ended or were still open, without cancelled ones.
    pub jobs: u32,
    /// Of these, completed after their objective.
    pub late: u32,
    /// Of these, failed.
    pub failed: u32,
    /// Of these, open at the end of the logs.
    pub open: u32,
    /// Late jobs by the cause that took the most of their time.
    pub late_by_cause: BTreeMap<String, Late>,
}

/// Late jobs with one main cause.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Late {
    /// Number of jobs.
    pub jobs: u32,
    /// Their work by estimate, in core-seconds.
    pub core_s: f64,
    /// Time that the cause has taken of them, in seconds.
    pub caused_s: f64,
}

/// What a day has lost.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Report {
    /// By queue.
    pub queues: BTreeMap<String, QueueLosses>,
    /// Core-seconds of work that was lost, by the cause of the runs' ends.
    pub lost_core_s: BTreeMap<String, f64>,
    /// Late jobs by the second at which they were accepted, from the first line on, in windows of
    /// 5 s, and by cause.
    pub late_by_second: BTreeMap<u64, BTreeMap<String, u32>>,
    /// Lines that could not be decoded.
    pub undecodable_lines: u64,
}

/// The cause that took the most time.
fn main_cause(job: &Job, timeline: &Timeline) -> (Cause, u64) {
    let times = attribution::divide(job, timeline);
    let longest = times.into_iter().max_by_key(|(_, ms)| *ms);
    longest.unwrap_or((Cause::LongerRun, 0))
}

/// Adds up a day.
pub fn report(timeline: &Timeline, undecodable_lines: u64) -> Report {
    let mut report = Report {
        undecodable_lines,
        ..Report::default()
    };
    let origin_ms = timeline.jobs.values().map(Job::accepted_ms).min();
    for job in timeline.jobs.values() {
        for (_, ended) in job
            .ended
            .iter()
            .filter(|(_, ended)| ended.lost_core_s > 0.0)
        {
            let lost = report.lost_core_s.entry(ended.cause.clone()).or_default();
            *lost += ended.lost_core_s;
        }
        let opened = &job.opened.1;
        if opened.is_scheduled_or_long_running {
            continue;
        }
        let queue = report.queues.entry(opened.queue.clone()).or_default();
        queue.priority = opened.priority;
        match job.finished.as_ref().map(|(_, end)| end.state.as_str()) {
            Some("cancelled") => {}
            None => {
                queue.jobs += 1;
                queue.open += 1;
            }
            Some("failed") => {
                queue.jobs += 1;
                queue.failed += 1;
            }
            Some(_) => {
                queue.jobs += 1;
                let is_late = job
                    .owed_end()
                    .is_some_and(|(at_ms, _)| *at_ms > job.due_ms());
                if !is_late {
                    continue;
                }
                queue.late += 1;
                let (cause, caused_ms) = main_cause(job, timeline);
                let late = queue.late_by_cause.entry(cause.name()).or_default();
                late.jobs += 1;
                late.core_s += opened.core_s;
                late.caused_s += caused_ms as f64 / 1_000.0;
                let since_ms = job.accepted_ms() - origin_ms.unwrap_or_default();
                let window_s = since_ms / WINDOW_MS * (WINDOW_MS / 1_000);
                let window = report.late_by_second.entry(window_s).or_default();
                *window.entry(cause.name()).or_default() += 1;
            }
        }
    }
    report
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, queue) in &self.queues {
            writeln!(
                f,
                "queue {name} (priority {}): {} jobs, {} late, {} failed, {} open",
                queue.priority, queue.jobs, queue.late, queue.failed, queue.open
            )?;
            let mut causes: Vec<_> = queue.late_by_cause.iter().collect();
            causes.sort_by(|a, b| b.1.core_s.total_cmp(&a.1.core_s));
            for (cause, late) in causes {
                writeln!(
                    f,
                    "  {:4} late, {:8.0} core-s, {:7.1} s  {cause}",
                    late.jobs, late.core_s, late.caused_s
                )?;
            }
        }
        writeln!(f, "work lost, core-s")?;
        let mut lost: Vec<_> = self.lost_core_s.iter().collect();
        lost.sort_by(|a, b| b.1.total_cmp(a.1));
        for (cause, core_s) in lost {
            writeln!(f, "  {core_s:8.0}  {cause}")?;
        }
        writeln!(f, "late jobs by second of acceptance")?;
        for (second, causes) in &self.late_by_second {
            let causes = causes.iter().map(|(cause, jobs)| format!("{jobs} {cause}"));
            writeln!(f, "  {second:4}  {}", causes.collect::<Vec<_>>().join(", "))?;
        }
        match self.undecodable_lines {
            0 => Ok(()),
            lines => writeln!(f, "{lines} lines could not be decoded"),
        }
    }
}
