//! Jobs. A job consists of steps, and a step of tasks with the same resource needs and placement
//! rules.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::id;

/// Maximum length of the payload of a job, in bytes.
pub const JOB_PAYLOAD_MAX_BYTES: usize = 4_000;

/// Maximum number of tasks of one occurrence of a job. It limits the size of the row that stores
/// the progress of the job.
pub const TASKS_MAX: u32 = 1_000;

/// Maximum number of steps of a job.
pub const STEPS_MAX: usize = 64;

/// Resources of a backend server, or the part of them that a task uses while it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Resources {
    /// Processor capacity, in thousandths of a core.
    #[serde(rename = "c")]
    pub cpu_millicores: u64,
    /// Memory, in the megabytes in which callers and backend servers state it; amounts are only
    /// compared, so their unit isn't defined more exactly.
    #[serde(rename = "m")]
    pub memory_mb: u64,
    /// Number of whole accelerators.
    #[serde(rename = "a")]
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether `need` fits into these resources.
    pub fn can_fit(&self, need: &Self) -> bool {
        self.cpu_millicores >= need.cpu_millicores
            && self.memory_mb >= need.memory_mb
            && self.accelerators >= need.accelerators
    }

    /// Subtracts `other`; each resource saturates at zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Multiplies by `count`; each resource saturates at its maximum.
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Adds `other`; each resource saturates at its maximum.
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

/// A step of a job: tasks with the same needs, which differ only in their index.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default)]
pub struct StepSpec {
    #[serde(rename = "n")]
    pub task_count: u32,
    /// Resources that each task needs.
    #[serde(rename = "r")]
    pub need: Resources,
    /// Rough estimate of the run time of a task; 0 if there is none.
    #[serde(rename = "e", skip_serializing_if = "is_default")]
    pub estimate_ms: u64,
    /// Indices, from 0, of earlier steps whose tasks must all have finished first.
    #[serde(rename = "after", skip_serializing_if = "is_default")]
    pub depends_on: Vec<u32>,
    /// Whether tasks can resume from a checkpoint.
    #[serde(rename = "ckpt", skip_serializing_if = "is_default")]
    pub supports_checkpoints: bool,
    /// Whether all tasks of the step must run at the same time.
    #[serde(rename = "gang", skip_serializing_if = "is_default")]
    pub is_gang: bool,
    /// Whether tasks take a multiple of the run time if they are spread over several racks.
    #[serde(rename = "tight", skip_serializing_if = "is_default")]
    pub prefers_one_rack: bool,
    /// Label that a backend server must have to run the tasks.
    #[serde(rename = "label", skip_serializing_if = "is_default")]
    pub required_label: Option<Arc<str>>,
    /// Rack that holds the input data. On other racks a task takes a multiple of the run time.
    #[serde(rename = "rack", skip_serializing_if = "is_default")]
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of one occurrence of the step on one backend server; 0 for no limit.
    #[serde(rename = "spread", skip_serializing_if = "is_default")]
    pub tasks_per_server_max: u32,
    /// Whether copies of a task may run at the same time. Accepted and stored, but not evaluated.
    #[serde(rename = "spec", skip_serializing_if = "is_default")]
    pub allows_speculative_copies: bool,
    /// Whether tasks run until the job is cancelled, and are restarted however they end.
    #[serde(rename = "lasts", skip_serializing_if = "is_default")]
    pub is_long_running: bool,
    /// Whether the processor share of the tasks is left out when the capacity of a backend server
    /// is checked; see [`StepSpec::counted_need`].
    #[serde(rename = "fills", skip_serializing_if = "is_default")]
    pub ignores_cpu_capacity: bool,
    /// Maximum number of tasks of a long-running step that may be down at the same time because the
    /// scheduler stopped them.
    #[serde(rename = "away", skip_serializing_if = "is_default")]
    pub disrupted_tasks_max: u32,
    /// What the tasks run. Tasks with the same image are expected to behave alike.
    #[serde(rename = "img", skip_serializing_if = "is_default")]
    pub image: Option<Arc<str>>,
    /// Limit for the tail of the response times of a task that serves, in milliseconds; 0 for a
    /// task that doesn't serve.
    #[serde(rename = "target", skip_serializing_if = "is_default")]
    pub target_ms: u64,
}

impl StepSpec {
    /// The part of `need` that counts against the capacity of a backend server.
    pub fn counted_need(&self) -> Resources {
        match self.ignores_cpu_capacity {
            true => Resources {
                cpu_millicores: 0,
                ..self.need
            },
            false => self.need,
        }
    }
}

/// Recurrence of the steps of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Schedule {
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_unix_ms: u64,
    /// Time between the due times of two consecutive occurrences.
    pub interval_ms: u64,
    /// Number of occurrences.
    pub occurrences: u32,
}

impl Schedule {
    /// Returns the due time of `occurrence` in milliseconds since the Unix epoch.
    pub fn due_unix_ms(&self, occurrence: u32) -> u64 {
        let offset_ms = self.interval_ms.saturating_mul(u64::from(occurrence));
        self.first_unix_ms.saturating_add(offset_ms)
    }

    /// Returns how many occurrences are due at `unix_ms`, in milliseconds since the Unix epoch.
    pub fn due_count(&self, unix_ms: u64) -> u32 {
        let Some(since_first_ms) = unix_ms.checked_sub(self.first_unix_ms) else {
            return 0;
        };
        let after_first = since_first_ms.checked_div(self.interval_ms);
        // With an interval of 0 all are due at once.
        let due_count = after_first.map_or(u64::MAX, |after_first| after_first.saturating_add(1));
        u32::try_from(due_count).map_or(self.occurrences, |due| due.min(self.occurrences))
    }
}

/// A job as its caller submits it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct JobSpec {
    /// Opaque input for the tasks.
    pub payload: Arc<str>,
    pub steps: Vec<StepSpec>,
    /// Recurrence; absent for a job that runs once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<Schedule>,
}

/// Violation of a rule for jobs that doesn't depend on the cluster.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum JobError {
    /// The payload is longer than [`JOB_PAYLOAD_MAX_BYTES`].
    #[error("payload of {actual_bytes} bytes is over the limit of {JOB_PAYLOAD_MAX_BYTES} bytes")]
    PayloadTooLong {
        /// Length of the payload.
        actual_bytes: usize,
    },
    /// The job has no steps, or more than [`STEPS_MAX`].
    #[error("a job has 1 to {STEPS_MAX} steps, not {actual}")]
    StepCount {
        /// Number of steps.
        actual: usize,
    },
    /// A step has no tasks, or the steps together have more than [`TASKS_MAX`].
    #[error("step {step} has {tasks} tasks (hint: at least 1, and {TASKS_MAX} in all steps)")]
    TaskCount {
        /// Index of the step.
        step: usize,
        /// Number of tasks of the step.
        tasks: u32,
    },
    /// A step depends on itself, on a later step or on a step that doesn't exist.
    #[error("step {step} depends on step {dependency}, which is not an earlier one")]
    Dependency {
        /// Index of the step.
        step: usize,
        /// Index of the step that it depends on.
        dependency: u32,
    },
}

impl JobSpec {
    /// Returns how many times the steps run.
    pub fn occurrence_count(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.occurrences)
    }

    /// Returns the due time of `occurrence` in milliseconds since the Unix epoch, or `None` if the
    /// job has no schedule. Occurrences count from 0.
    pub fn due_unix_ms(&self, occurrence: u32) -> Option<u64> {
        self.schedule
            .map(|schedule| schedule.due_unix_ms(occurrence))
    }

    /// Returns how many occurrences are due at `unix_ms`, in milliseconds since the Unix epoch; 1
    /// for a job without a schedule.
    pub fn due_count(&self, unix_ms: u64) -> u32 {
        self.schedule
            .map_or(1, |schedule| schedule.due_count(unix_ms))
    }

    /// Checks the rules that don't depend on the cluster.
    ///
    /// # Errors
    ///
    /// Returns the first violation.
    pub fn validate(&self) -> Result<(), JobError> {
        if self.payload.len() > JOB_PAYLOAD_MAX_BYTES {
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
            let is_not_earlier = |dependency: &&u32| **dependency as usize >= step;
            if let Some(&dependency) = spec.depends_on.iter().find(is_not_earlier) {
                return Err(JobError::Dependency { step, dependency });
            }
        }
        Ok(())
    }
}

/// An accepted job in the form in which it is stored.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct AcceptedJob {
    /// The client account that the job runs for.
    pub account: id::ClientAccountName,
    /// The queue that the job was submitted to.
    pub queue: id::QueueName,
    /// Settings of the queue at the time of acceptance, used if the queue is removed later.
    pub terms: QueueJobSettings,
    /// Time of acceptance by the clock of the accepting host, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Time of acceptance by the store's steady clock, as the accepting host estimated it; `None`
    /// if the host had not heard from the store yet, and in rows of earlier versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted_store_ms: Option<u64>,
    /// Zone of the host that accepted the job, if fair shares are on; `None` in rows of earlier
    /// versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub caller_zone: Option<id::ZoneName>,
    pub spec: JobSpec,
}

impl AcceptedJob {
    /// Time since the acceptance, in milliseconds, when the store's clock shows `store_ms`. The
    /// clocks of the hosts are compared only if the time by the store's clock isn't known, since
    /// they differ and may jump.
    pub fn age_ms(&self, store_ms: u64, unix_ms: u64) -> u64 {
        match self.accepted_store_ms {
            Some(accepted_store_ms) => store_ms.saturating_sub(accepted_store_ms),
            None => unix_ms.saturating_sub(self.accepted_unix_ms),
        }
    }
}

/// Settings of a queue that apply to its jobs.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct QueueJobSettings {
    /// The service whose backend servers run the tasks.
    pub service: id::ServiceName,
    /// 0 is the highest priority; jobs with priority 0 may preempt all others. In the sheet, by
    /// contrast, higher values go first.
    pub priority: u32,
    /// Number of reported failures of a task after which the job fails. One run of a gang can add
    /// several, because each member that reports a failure counts. Doesn't apply to long-running
    /// steps.
    pub attempts_max: u32,
    /// The target duration of a job is the length of its critical path times this ratio, plus
    /// `objective_extra_ms`.
    pub objective_ratio: f64,
    /// The constant part of the target duration of a job; see `objective_ratio`.
    pub objective_extra_ms: u64,
    /// Set if an external service decides which backend servers may run a step.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advice: Option<AdviceTerms>,
}

/// Maximum of each of the [`AdviceTerms`], so that sums of times don't overflow.
pub const ADVICE_TIME_MAX_MS: u64 = 3_600_000;

/// How the service that decides which backend servers may run a step works for a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct AdviceTerms {
    /// Time that a call takes, without that for each server.
    pub decide_ms: u64,
    /// Time that a call takes for each server that it asks about.
    pub each_ms: u64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

/// Identifies a task within a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskIndex {
    /// Index of the occurrence, from 0.
    pub occurrence: u32,
    /// Index of the step, from 0.
    pub step: u32,
    /// Index of the task within the step, from 0.
    pub rank: u32,
}

/// Identifies a task. Its text form is `job.occurrence.step.rank`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskName {
    pub job: id::JobId,
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

/// Error for text that isn't a [`TaskName`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{text:?} does not name a task (hint: write JOB.OCCURRENCE.STEP.RANK)")]
pub struct TaskNameError {
    /// The rejected text, truncated to 128 characters.
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
