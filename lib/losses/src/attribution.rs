//! Divides the time of a job among causes, along the chain of runs that its end waited for.

use std::collections::BTreeMap;

use crate::log_line::Ended;
use crate::timeline::{Job, Timeline, UnixMs};

/// What a job spent time on besides the estimated work of its longest chain.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Accepted, but not yet known to a scheduler.
    NotYetKnown,
    /// No scheduler took note of ends or placed anything.
    NoScheduler,
    /// Waited until a unit fitted.
    Room,
    /// Waited for the end of runs that were stopped for it.
    Preemption,
    /// A run came to nothing, for the reason named; with the wait for the next one.
    RunAgain(String),
    /// The last runs took longer than estimated: slow servers, several racks, or a bad estimate.
    LongerRun,
}

impl Cause {
    /// The name in reports.
    pub fn name(&self) -> String {
        match self {
            Self::NotYetKnown => "not yet known to a scheduler".to_owned(),
            Self::NoScheduler => "no scheduler".to_owned(),
            Self::Room => "waited for room".to_owned(),
            Self::Preemption => "waited for a preemption".to_owned(),
            Self::RunAgain(cause) => format!("run again: {cause}"),
            Self::LongerRun => "ran longer than estimated".to_owned(),
        }
    }
}

/// Milliseconds by cause.
pub type Times = BTreeMap<Cause, u64>;

/// Divides the time from a job's acceptance to its end.
pub fn divide(job: &Job, timeline: &Timeline) -> Times {
    let mut times = Times::new();
    let Some((end_ms, _)) = job.owed_end() else {
        return times;
    };
    let accepted_ms = job.accepted_ms();
    let known_ms = job.opened.0.min(*end_ms);
    let gap_ms = timeline.gap_ms(accepted_ms, known_ms);
    add(&mut times, Cause::NoScheduler, gap_ms);
    add(
        &mut times,
        Cause::NotYetKnown,
        known_ms - accepted_ms - gap_ms.min(known_ms - accepted_ms),
    );
    let mut worked_ms = 0;
    let mut until_ms = *end_ms;
    // From the end backwards: the task that ended last, and what came before its first run.
    while let Some(last) = last_done(job, until_ms) {
        let begin_ms = begin_of_chain(job, last, known_ms);
        worked_ms += divide_task(job, last, begin_ms, timeline, &mut times);
        match begin_ms < until_ms {
            true => until_ms = begin_ms,
            false => break,
        }
    }
    let estimate_ms = job.opened.1.critical_path_ms;
    add(
        &mut times,
        Cause::LongerRun,
        worked_ms.saturating_sub(estimate_ms),
    );
    times
}

fn add(times: &mut Times, cause: Cause, ms: u64) {
    if ms > 0 {
        *times.entry(cause).or_default() += ms;
    }
}

/// The last end of a done run at or before `until_ms`.
fn last_done(job: &Job, until_ms: UnixMs) -> Option<&(UnixMs, Ended)> {
    let ended = job.ended.iter().rev();
    ended
        .filter(|(at_ms, _)| *at_ms <= until_ms)
        .find(|(_, ended)| ended.how == "done")
}

/// The part of OCCURRENCE.STEP.RANK before the rank, as numbers, so that step 10 follows step 9.
fn step_of(task: &str) -> Vec<u32> {
    let parts = task.rsplit_once('.').map_or(task, |(step, _)| step);
    parts
        .split('.')
        .map_while(|part| part.parse().ok())
        .collect()
}

/// When the task could have started: at the last end of an earlier step, or when the job was known.
fn begin_of_chain(job: &Job, last: &(UnixMs, Ended), known_ms: UnixMs) -> UnixMs {
    let step = step_of(&last.1.task);
    let first_placed_ms = first_placed_ms(job, &last.1.task).unwrap_or(last.0);
    let earlier_ends = job.ended.iter().filter(|(at_ms, ended)| {
        ended.how == "done" && step_of(&ended.task) < step && *at_ms <= first_placed_ms
    });
    let newest_ms = earlier_ends.map(|(at_ms, _)| *at_ms).max();
    newest_ms.unwrap_or(known_ms).max(known_ms).min(last.0)
}

/// Whether a unit whose first task is `first` includes `task`.
fn includes(first: &str, tasks: u32, task: &str) -> bool {
    first == task || (tasks > 1 && step_of(first) == step_of(task))
}

fn first_placed_ms(job: &Job, task: &str) -> Option<UnixMs> {
    let placed = job.placed.iter();
    let mut of_task = placed.filter(|(_, placed)| includes(&placed.task, placed.tasks, task));
    of_task.next().map(|(at_ms, _)| *at_ms)
}

/// Divides the time of one task from `begin_ms` to its done end, and returns the time of its last
/// run.
fn divide_task(
    job: &Job,
    last: &(UnixMs, Ended),
    begin_ms: UnixMs,
    timeline: &Timeline,
    times: &mut Times,
) -> u64 {
    let (end_ms, done) = last;
    let placements: Vec<_> = job
        .placed
        .iter()
        .filter(|(at_ms, placed)| {
            *at_ms <= *end_ms && includes(&placed.task, placed.tasks, &done.task)
        })
        .collect();
    let Some((first_ms, _)) = placements.first() else {
        return end_ms.saturating_sub(begin_ms);
    };
    let waited_from_ms = begin_ms.min(*first_ms);
    let preempted_ms = job
        .preempts
        .iter()
        .find(|at_ms| (waited_from_ms..*first_ms).contains(at_ms));
    let gap_ms = timeline.gap_ms(waited_from_ms, *first_ms);
    add(times, Cause::NoScheduler, gap_ms);
    match preempted_ms {
        Some(at_ms) => {
            let gap_before_ms = timeline.gap_ms(waited_from_ms, *at_ms);
            let room_ms = (at_ms - waited_from_ms).saturating_sub(gap_before_ms);
            let gap_after_ms = gap_ms.saturating_sub(gap_before_ms);
            add(times, Cause::Room, room_ms);
            let preemption_ms = (first_ms - at_ms).saturating_sub(gap_after_ms);
            add(times, Cause::Preemption, preemption_ms);
        }
        None => add(
            times,
            Cause::Room,
            (first_ms - waited_from_ms).saturating_sub(gap_ms),
        ),
    }
    for pair in placements.windows(2) {
        let ((from_ms, placed), (to_ms, _)) = (pair[0], pair[1]);
        add(
            times,
            Cause::RunAgain(end_cause(job, placed.run, &done.task)),
            to_ms - from_ms,
        );
    }
    let last_ms = placements.last().map_or(*first_ms, |(at_ms, _)| *at_ms);
    let gap_ms = timeline.gap_ms(last_ms, *end_ms);
    // A run that worked during a gap has lost only the time by which its end was late.
    let estimate_ms = job.opened.1.critical_path_ms;
    let run_ms = end_ms - last_ms;
    let late_ms = gap_ms.min(run_ms.saturating_sub(estimate_ms));
    add(times, Cause::NoScheduler, late_ms);
    run_ms - late_ms
}

/// Why a run came to nothing. Of a gang, the cause of the member that ended first for a reason of
/// its own.
fn end_cause(job: &Job, run: u64, task: &str) -> String {
    let ends = job.ended.iter().filter(|(_, ended)| {
        ended.run == run && step_of(&ended.task) == step_of(task) && ended.how != "done"
    });
    let mut causes: Vec<&str> = ends.map(|(_, ended)| ended.cause.as_str()).collect();
    causes.sort_by_key(|cause| matches!(*cause, "another member ended" | "broken" | "alone"));
    causes
        .first()
        .map_or("no end seen", |cause| *cause)
        .to_owned()
}
