//! Ends jobs that can't start any more, so that their callers learn it.
//!
//! A job gets an obstacle that nothing removes by the end of a run, by new terms, or by a takeover
//! that finds either in the store. Each decision looks at the ready units, whatever has led there.

use camphorbeam_model::id;

use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::open_job::PlacementUnit;
use crate::progress::JobState;
use crate::start_check::{self, StartObstacle};

impl Engine {
    /// Ends the jobs with a unit that has a final obstacle. Does nothing before the terms are known:
    /// those at the acceptance of a job may be out of date.
    pub(crate) fn end_unstartable_jobs(&mut self, now: Now) {
        if self.terms.version == id::TermsVersion::default() {
            return;
        }
        let jobs = self.jobs.values_mut();
        let unstartable: Vec<_> = jobs
            .filter_map(|job| Some((job.id.clone(), job.unstartable_unit(now.unix_ms)?)))
            .collect();
        for (id, (unit, obstacle)) in unstartable {
            match obstacle {
                StartObstacle::Attempts => self.end_if_out_of_attempts(&id, unit, now),
                StartObstacle::NotWaiting
                | StartObstacle::Dependency
                | StartObstacle::OpenTasks
                | StartObstacle::Service
                | StartObstacle::Label
                | StartObstacle::OutdatedEntry
                | StartObstacle::TasksPerServer
                | StartObstacle::Room => {}
            }
        }
    }

    /// Ends an open job as failed if a task of `unit` has failed as often as the terms allow.
    pub(crate) fn end_if_out_of_attempts(&mut self, id: &id::JobId, unit: PlacementUnit, now: Now) {
        let terms = self.terms.version;
        let job = self.jobs.get_mut(id);
        let Some(job) = job.filter(|job| {
            !job.progress.state.is_final() && !start_check::has_attempts_left(job, unit)
        }) else {
            return;
        };
        let attempts_max = job.accepted.terms.attempts_max;
        let failures = |index| {
            job.progress
                .tasks
                .get(&index)
                .map_or(0, |task| task.failures)
        };
        let Some(task) = unit.members().max_by_key(|&index| failures(index)) else {
            return;
        };
        let failures = failures(task);
        let reason = format!(
            "task {}.{}.{} has no attempt left: {failures} failed, and the queue allows {attempts_max}",
            task.occurrence, task.step, task.rank
        );
        job.progress.failure = Some(reason.into());
        self.events.push(Event::OutOfAttempts {
            job: id.clone(),
            task,
            failures,
            attempts_max,
            terms,
        });
        self.end_job(id, JobState::Failed, now);
    }
}
