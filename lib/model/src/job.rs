//! Jobs: steps of tasks, what each task needs, and how it may be placed.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::id;

/// Longest payload of a job, in bytes.
pub const PAYLOAD_MAX_BYTES: usize = 4_000;

/// Most tasks of one occurrence of a job; bounds the row that keeps its progress.
pub const TASKS_MAX: u32 = 1_000;

/// Most steps of a job.
pub const STEPS_MAX: usize = 64;

/// What a task takes of a backend server while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    #[serde(rename = "c")]
    pub cpu_millicores: u64,
    /// Memory, in megabytes.
    #[serde(rename = "m")]
    pub memory_mb: u64,
    /// Whole accelerators.
    #[serde(rename = "a")]
    pub accelerators: u64,
}

impl Resources {
    /// Whether `need` fits into this.
    pub fn can_fit(&self, need: &Self) -> bool {
        self.cpu_millicores >= need.cpu_millicores
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// This less `other`, at least zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// The sum of both.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// A step: tasks that need the same and differ only in their number.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct StepSpec {
    /// How many tasks.
    #[serde(rename = "n")]
    pub task_count: u32,
    /// What each takes.
    #[serde(rename = "r")]
    pub need: Resources,
    /// Rough estimate of the run time of a task; zero if there is none.
    #[serde(rename = "e", skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Earlier steps, from 0, whose tasks must all have finished.
    #[serde(rename = "after", skip_serializing_if = "is_default")]
    pub depends_on: Vec<u32>,
    /// Whether tasks can go on from a checkpoint.
    #[serde(rename = "ckpt", skip_serializing_if = "is_default")]
    pub supports_checkpoints: bool,
    /// Whether tasks work only all together.
    #[serde(rename = "gang", skip_serializing_if = "is_default")]
    pub is_gang: bool,
    /// Whether tasks that are spread over racks take a multiple of the time.
    #[serde(rename = "tight", skip_serializing_if = "is_default")]
    pub prefers_one_rack: bool,
    /// Label that the backend server must have.
    #[serde(rename = "label", skip_serializing_if = "is_default")]
    pub required_label: Option<Arc<str>>,
    /// Rack where the data is; elsewhere a task takes a multiple of the time.
    #[serde(rename = "rack", skip_serializing_if = "is_default")]
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step, of one occurrence, on one backend server; zero for no limit.
    #[serde(rename = "spread", skip_serializing_if = "is_default")]
    pub tasks_per_server_max: u32,
    /// Whether copies may run at the same time.
    #[serde(rename = "spec", skip_serializing_if = "is_default")]
    pub allows_speculative_copies: bool,
    /// Whether tasks run until the job is cancelled and are restarted however they end.
    #[serde(rename = "lasts", skip_serializing_if = "is_default")]
    pub is_long_running: bool,
    /// Whether the processor share is not counted against the capacity of a backend server.
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub ignores_cpu_capacity: bool,
    /// Tasks of a lasting step that may be away at once through our doing.
    #[serde(rename = "away", skip_serializing_if = "is_default")]
    pub unavailable_max: u32,
}

/// When the steps of a job run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Schedule {
    /// When the first occurrence is due, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between two occurrences.
    pub interval_ms: u64,
    /// How many occurrences.
    pub occurrences: u32,
}

/// A job as its caller states it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct JobSpec {
    /// Input for the tasks, passed on unread.
    pub payload: Arc<str>,
    /// The steps, numbered from 0.
    pub steps: Vec<StepSpec>,
    /// The schedule of a job that runs several times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// A job that breaks a rule which holds on every fleet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The payload is over [`PAYLOAD_MAX_BYTES`].
    #[error("payload of {actual_bytes} bytes is over the limit of {PAYLOAD_MAX_BYTES} bytes")]
    PayloadTooLong {
        /// Its length.
        actual_bytes: usize,
    },
    /// There are no steps, or more than [`STEPS_MAX`].
    #[error("a job has 1 to {STEPS_MAX} steps, not {actual}")]
    StepCount {
        /// Number of steps.
        actual: usize,
    },
    /// A step has no task, or the job has more than [`TASKS_MAX`].
    #[error("step {step} has {tasks} tasks (hint: at least 1, and {TASKS_MAX} in all steps)")]
    TaskCount {
        /// The step.
        step: usize,
        /// Its tasks.
        tasks: u32,
    },
    /// A step depends on itself or on a later one.
    #[error("step {step} depends on step {dependency}, which is not an earlier one")]
    Dependency {
        /// The step.
        step: usize,
        /// What it names.
        dependency: u32,
    },
}

impl JobSpec {
    /// How often the steps run.
    pub fn occurrence_count(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// When occurrence `occurrence` is due, if the job has a schedule.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        self.schedule.map(|schedule| {
            schedule
                .first_unix_ms
                .saturating_add(schedule.interval_ms.saturating_mul(u64::from(occurrence)))
        })
    }

    /// Checks the rules that hold on every fleet.
    ///
    /// # Errors
    ///
    /// Returns the first rule that is broken.
    pub fn validate(&self) -> Result<(), JobError> {
        if self.payload.len() > PAYLOAD_MAX_BYTES {
            return Err(JobError::PayloadTooLong {
                actual_bytes: self.payload.len(),
            });
        }
        if self.steps.is_empty() || self.steps.len() > STEPS_MAX {
            return Err(JobError::StepCount {
                actual: self.steps.len(),
            });
        }
        let mut task_total = 0_u32;
        for (step, spec) in self.steps.iter().enumerate() {
            task_total = task_total.saturating_add(spec.task_count);
            if spec.task_count == 0 || task_total > TASKS_MAX {
                return Err(JobError::TaskCount {
                    step,
                    tasks: spec.task_count,
                });
            }
            let is_later = |dependency: &&u32| **dependency as usize >= step;
            if let Some(&dependency) = spec.depends_on.iter().find(is_later) {
                return Err(JobError::Dependency { step, dependency });
            }
        }
        Ok(())
    }
}

/// A job as it is stored when it is accepted.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AcceptedJob {
    /// Who it runs for.
    pub account: id::ClientAccountName,
    /// The queue it came to.
    pub queue: id::QueueName,
    /// The terms of the queue at that time, used once the queue is gone.
    pub terms: JobTerms,
    /// When it was accepted, by the clock of the accepting host.
    pub accepted_unix_ms: u64,
    /// What its caller asks for.
    pub spec: JobSpec,
}

/// What a queue says about its jobs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct JobTerms {
    /// Whose backend servers run it.
    pub service: id::ServiceName,
    /// Zero comes first and may preempt the others.
    pub priority: u32,
    /// Runs of a task that may fail before the job fails.
    pub attempts_max: u32,
    /// The objective, as a multiple of the longest chain of work.
    pub objective_ratio: f64,
    /// What is added to the objective.
    pub objective_extra_ms: u64,
}

/// Names one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskIndex {
    /// The occurrence, from 0.
    pub occurrence: u32,
    /// The step, from 0.
    pub step: u32,
    /// The task within the step, from 0.
    pub rank: u32,
}

/// Names one task, written as `job.occurrence.step.rank`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    /// The job.
    pub job: id::JobId,
    /// The task within the job.
    pub index: TaskIndex,
}

impl fmt::Display for TaskName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let TaskIndex {
            occurrence,
            step,
            rank,
        } = self.index;
        write!(f, "{}.{occurrence}.{step}.{rank}", self.job)
    }
}

/// Text that does not name a task.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} does not name a task (hint: write JOB.OCCURRENCE.STEP.RANK)")]
pub struct TaskNameError {
    /// The rejected text.
    pub text: String,
}

impl FromStr for TaskName {
    type Err = TaskNameError;

    fn from_str(text: &str) -> Result<Self, TaskNameError> {
        parse_task_name(text).ok_or_else(|| TaskNameError {
            text: text.chars().take(2 * id::NAME_MAX_BYTES).collect(),
        })
    }
}

fn parse_task_name(text: &str) -> Option<TaskName> {
    let mut parts = text.rsplitn(4, '.');
    let rank = parts.next()?.parse().ok()?;
    let step = parts.next()?.parse().ok()?;
    let occurrence = parts.next()?.parse().ok()?;
    let job = id::JobId::new(parts.next()?).ok()?;
    Some(TaskName {
        job,
        index: TaskIndex {
            occurrence,
            step,
            rank,
        },
    })
}
