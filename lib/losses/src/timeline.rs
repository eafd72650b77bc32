//! The lines of a day in order, by job and by scheduler.

use std::collections::BTreeMap;

use crate::log_line::{Ended, Entry, Finished, LogLine, Opened, Placed};

/// A moment, in milliseconds since the Unix epoch.
pub type UnixMs = u64;

/// What the logs say about one job, each list in the order of time.
#[derive(Clone, Debug)]
pub struct Job {
    /// The first line that says that a scheduler knows the job, and when it was written.
    pub opened: (UnixMs, Opened),
    /// When other runs were stopped for it.
    pub preempts: Vec<UnixMs>,
    /// When its units were placed.
    pub placed: Vec<(UnixMs, Placed)>,
    /// When its runs ended.
    pub ended: Vec<(UnixMs, Ended)>,
    /// Its end, if the logs reach it.
    pub finished: Option<(UnixMs, Finished)>,
}

impl Job {
    /// When the job was accepted.
    pub fn accepted_ms(&self) -> UnixMs {
        self.opened.0.saturating_sub(self.opened.1.age_ms)
    }

    /// When the job should have been completed.
    pub fn due_ms(&self) -> UnixMs {
        self.accepted_ms() + self.opened.1.objective_ms
    }

    /// The end, unless it was cancelled or has not ended. Jobs with due times or tasks that last
    /// have no objective as a whole.
    pub fn owed_end(&self) -> Option<&(UnixMs, Finished)> {
        let is_owed = |end: &&(UnixMs, Finished)| {
            end.1.state != "cancelled" && !self.opened.1.is_scheduled_or_long_running
        };
        self.finished.as_ref().filter(is_owed)
    }
}

/// A day.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// The jobs by id.
    pub jobs: BTreeMap<String, Job>,
    /// Times without a scheduler, from the last line of one to the begin of the next.
    pub gaps: Vec<(UnixMs, UnixMs)>,
}

impl Timeline {
    /// Orders lines of any number of hosts. Lines about a job that come before the one that opens
    /// it are dropped; so are jobs without such a line.
    pub fn new(mut lines: Vec<LogLine>) -> Self {
        lines.sort_by_key(|line| line.unix_ms);
        let mut timeline = Self::default();
        let mut last_decision: Option<(u64, UnixMs)> = None;
        for LogLine { unix_ms, entry } in lines {
            if let Some(epoch) = entry.epoch() {
                match (&entry, last_decision) {
                    (Entry::SchedulingBegins { .. }, Some((before, at_ms))) if epoch > before => {
                        timeline.gaps.push((at_ms, unix_ms));
                    }
                    _ => {}
                }
                if last_decision.is_none_or(|(newest, _)| epoch >= newest) {
                    last_decision = Some((epoch, unix_ms));
                }
            }
            timeline.add(unix_ms, entry);
        }
        timeline
    }

    fn add(&mut self, unix_ms: UnixMs, entry: Entry) {
        match entry {
            Entry::Opened(opened) => {
                let job = || Job {
                    opened: (unix_ms, opened.clone()),
                    preempts: Vec::new(),
                    placed: Vec::new(),
                    ended: Vec::new(),
                    finished: None,
                };
                self.jobs.entry(opened.job.clone()).or_insert_with(job);
            }
            Entry::Preempts { job } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.preempts.push(unix_ms);
                }
            }
            Entry::Placed(placed) => {
                if let Some(job) = self.jobs.get_mut(&placed.job) {
                    job.placed.push((unix_ms, placed));
                }
            }
            Entry::Ended(ended) => {
                if let Some(job) = self.jobs.get_mut(&ended.job) {
                    job.ended.push((unix_ms, ended));
                }
            }
            Entry::Finished(finished) => {
                if let Some(job) = self.jobs.get_mut(&finished.job) {
                    job.finished = Some((unix_ms, finished));
                }
            }
            Entry::SchedulingBegins { .. } | Entry::OtherDecision { .. } => {}
        }
    }

    /// Milliseconds between `from` and `to` in which there was no scheduler.
    pub fn gap_ms(&self, from: UnixMs, to: UnixMs) -> u64 {
        let overlap = |gap: &(UnixMs, UnixMs)| gap.1.min(to).saturating_sub(gap.0.max(from));
        self.gaps.iter().map(overlap).sum()
    }
}
