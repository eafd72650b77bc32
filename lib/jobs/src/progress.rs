//! The progress of a job, which is stored while the job runs and after its end.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use camphorbeam_model::{id, job};
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple as _;

use crate::{crash_evidence, finished_steps};

/// The state of a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No server has shown a run of the job.
    #[default]
    Queued,
    /// A server has shown a run of the job.
    Running,
    /// All tasks have finished.
    Completed,
    /// A task or gang has failed as often as the job's terms allow.
    Failed,
    /// The caller has cancelled the job.
    Cancelled,
}

impl JobState {
    /// Whether the job has ended.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// The name of the state, the same as in JSON.
    pub fn name(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Completed => "completed",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }
}

/// The state of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TaskState {
    /// No run of the task exists on any backend server.
    #[default]
    Waiting,
    /// The newest run of the task may exist on the recorded backend server.
    Started,
    /// The task has finished.
    Done,
}

/// The progress record of one task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskRecord {
    /// Number of the newest run; zero before the first.
    pub run: id::Run,
    /// State of the task.
    pub state: TaskState,
    /// The backend server that the newest run was placed on.
    pub server: Option<id::BackendServerId>,
    /// Number of failures counted against the task. A run of a gang counts once, however many
    /// members report a failure of it.
    pub failures: u32,
    /// Checkpoint that the next run resumes from; empty to start from the beginning.
    pub checkpoint: Arc<str>,
    /// The newest run that `failures` counts; zero if it counts none.
    pub failed_run: id::Run,
}

/// The stored progress of one job; the accepted job is stored separately.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// State of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Whether a server has ever shown a run of the job, or the end of one. A placement alone says
    /// nothing: its order may be refused or lost.
    #[serde(rename = "b")]
    pub has_begun: bool,
    /// Client account that owns the job; `None` in rows of earlier versions.
    #[serde(rename = "a", default, skip_serializing_if = "Option::is_none")]
    pub account: Option<id::ClientAccountName>,
    /// When the job ended, by the wall clock of the host that stored it; zero before.
    #[serde(rename = "e")]
    pub ended_unix_ms: u64,
    /// Progress records by task. A task without a record waits for its first run, unless its step
    /// is finished.
    #[serde(rename = "t", with = "entries")]
    pub tasks: BTreeMap<job::TaskIndex, TaskRecord>,
    /// Finished steps. Their tasks are removed from `tasks`, so that the row of a job with many
    /// occurrences stays small.
    #[serde(
        rename = "d",
        default,
        skip_serializing_if = "finished_steps::FinishedSteps::is_empty"
    )]
    pub finished_steps: finished_steps::FinishedSteps,
    /// Losses of servers under tasks that have not finished.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<crash_evidence::CrashEntry>,
    /// Lives of the servers with a run of the job, so that a successor can tell whether they have
    /// ended. A server that has not replied yet has no entry.
    #[serde(rename = "l", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub lives: BTreeMap<id::BackendServerId, crash_evidence::ServerLife>,
    /// Why the job has failed; `None` if it hasn't, or in rows of earlier versions.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<Arc<str>>,
}

impl Progress {
    /// The progress record of a task; the default if there is none. For a task of a finished step
    /// this is the default too, so use [`Progress::task_state`] for the state.
    pub fn task(&self, index: job::TaskIndex) -> TaskRecord {
        self.tasks.get(&index).cloned().unwrap_or_default()
    }

    /// The state of a task, including tasks of finished steps.
    pub fn task_state(&self, index: job::TaskIndex) -> TaskState {
        match self.tasks.get(&index) {
            Some(task) => task.state,
            None if self.is_step_finished(index.occurrence, index.step) => TaskState::Done,
            None => TaskState::Waiting,
        }
    }

    /// Whether a task was ever placed.
    pub fn has_placements(&self) -> bool {
        !self.tasks.is_empty() || !self.finished_steps.is_empty()
    }

    /// Whether a step is recorded as finished.
    pub fn is_step_finished(&self, occurrence: u32, step: u32) -> bool {
        self.finished_steps.contains(occurrence, step)
    }

    /// Records that all tasks of a step have finished, and removes their progress records.
    pub fn finish_step(&mut self, occurrence: u32, step: u32) {
        self.finished_steps.insert(occurrence, step);
        let rank = |rank| job::TaskIndex {
            occurrence,
            step,
            rank,
        };
        let indexes = self.tasks.range(rank(0)..=rank(u32::MAX));
        let indexes: Vec<_> = indexes.map(|(index, _)| *index).collect();
        for index in indexes {
            self.tasks.remove(&index);
        }
        self.crashes.retain(|entry| {
            let task = entry.task();
            (task.occurrence, task.step) != (occurrence, step)
        });
    }

    /// The progress record of a task, mutable; it is added if there is none.
    pub fn task_mut(&mut self, index: job::TaskIndex) -> &mut TaskRecord {
        self.tasks.entry(index).or_default()
    }
}

/// An entry of the stored tasks, serialized as an array. Rows are rewritten with each start and end,
/// so they have to be small.
enum TaskEntry {
    /// Eight elements, or nine with `failed_run` if it isn't zero.
    Record(job::TaskIndex, TaskRecord),
    /// Finished tasks with consecutive ranks, four elements: occurrence, step, first and last rank.
    /// What else is known of them has no use any more.
    DoneRange(job::TaskIndex, u32),
}

impl serde::Serialize for TaskEntry {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Record(index, record) => serialize_record(*index, record, serializer),
            Self::DoneRange(first, last_rank) => {
                let mut tuple = serializer.serialize_tuple(4)?;
                tuple.serialize_element(&first.occurrence)?;
                tuple.serialize_element(&first.step)?;
                tuple.serialize_element(&first.rank)?;
                tuple.serialize_element(last_rank)?;
                tuple.end()
            }
        }
    }
}

fn serialize_record<S: serde::Serializer>(
    index: job::TaskIndex,
    record: &TaskRecord,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    let state = match record.state {
        TaskState::Waiting => "w",
        TaskState::Started => "s",
        TaskState::Done => "d",
    };
    let has_failed = record.failed_run != id::Run::default();
    let mut tuple = serializer.serialize_tuple(8 + usize::from(has_failed))?;
    tuple.serialize_element(&index.occurrence)?;
    tuple.serialize_element(&index.step)?;
    tuple.serialize_element(&index.rank)?;
    tuple.serialize_element(&record.run)?;
    tuple.serialize_element(state)?;
    tuple.serialize_element(&record.server)?;
    tuple.serialize_element(&record.failures)?;
    tuple.serialize_element(&record.checkpoint)?;
    if has_failed {
        tuple.serialize_element(&record.failed_run)?;
    }
    tuple.end()
}

struct TaskEntryVisitor;

fn required_element<'de, T: serde::Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    position: usize,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(position, &"an array of four or eight elements"))
}

impl<'de> Visitor<'de> for TaskEntryVisitor {
    type Value = TaskEntry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("tasks as an array of four, eight or nine elements")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<TaskEntry, A::Error> {
        let index = job::TaskIndex {
            occurrence: required_element(&mut seq, 0)?,
            step: required_element(&mut seq, 1)?,
            rank: required_element(&mut seq, 2)?,
        };
        // The run of a record, or the last rank of a range.
        let number: u32 = required_element(&mut seq, 3)?;
        let state: Option<String> = seq.next_element()?;
        let state = match state.as_deref() {
            None if (index.rank..job::TASKS_MAX).contains(&number) => {
                return Ok(TaskEntry::DoneRange(index, number))
            }
            None => return Err(de::Error::custom("the range of finished tasks is invalid")),
            Some("w") => TaskState::Waiting,
            Some("s") => TaskState::Started,
            Some("d") => TaskState::Done,
            Some(other) => return Err(de::Error::unknown_variant(other, &["w", "s", "d"])),
        };
        let record = TaskRecord {
            run: id::Run(number),
            state,
            server: required_element(&mut seq, 5)?,
            failures: required_element(&mut seq, 6)?,
            checkpoint: required_element(&mut seq, 7)?,
            failed_run: seq.next_element()?.unwrap_or_default(),
        };
        Ok(TaskEntry::Record(index, record))
    }
}

impl<'de> serde::Deserialize<'de> for TaskEntry {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(TaskEntryVisitor)
    }
}

mod entries {
    use std::collections::BTreeMap;

    use camphorbeam_model::job;
    use serde::Deserialize as _;

    use super::{TaskEntry, TaskRecord, TaskState};

    pub(super) fn serialize<S: serde::Serializer>(
        tasks: &BTreeMap<job::TaskIndex, TaskRecord>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut entries: Vec<TaskEntry> = Vec::new();
        for (index, record) in tasks {
            let is_done = record.state == TaskState::Done;
            match entries.last_mut() {
                Some(TaskEntry::DoneRange(first, last_rank))
                    if is_done
                        && (first.occurrence, first.step) == (index.occurrence, index.step)
                        && *last_rank + 1 == index.rank =>
                {
                    *last_rank = index.rank;
                }
                _ if is_done => entries.push(TaskEntry::DoneRange(*index, index.rank)),
                _ => entries.push(TaskEntry::Record(*index, record.clone())),
            }
        }
        serializer.collect_seq(entries)
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<job::TaskIndex, TaskRecord>, D::Error> {
        let mut tasks = BTreeMap::new();
        for entry in Vec::<TaskEntry>::deserialize(deserializer)? {
            match entry {
                TaskEntry::Record(index, record) => {
                    tasks.insert(index, record);
                }
                TaskEntry::DoneRange(first, last_rank) => {
                    let done = TaskRecord {
                        state: TaskState::Done,
                        ..TaskRecord::default()
                    };
                    let ranks = first.rank..=last_rank;
                    let indexes = ranks.map(|rank| job::TaskIndex { rank, ..first });
                    tasks.extend(indexes.map(|index| (index, done.clone())));
                }
            }
        }
        Ok(tasks)
    }
}
