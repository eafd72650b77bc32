//! What is stored of a job while it runs and after its end.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::sync::Arc;

use camphorbeam_model::{id, job};
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple as _;

/// How a job stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task runs.
    #[default]
    Queued,
    /// A task was started.
    Running,
    /// All tasks have finished.
    Completed,
    /// A task or a gang has failed as often as it may.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

impl JobState {
    /// Whether nothing more will happen.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }

    /// Its name, as in JSON.
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

/// How a task stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TaskState {
    /// No run of it exists anywhere.
    #[default]
    Waiting,
    /// Its newest run may exist on the recorded backend server.
    Started,
    /// It has finished.
    Done,
}

/// What is stored of one task.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TaskRecord {
    /// Number of its newest run; zero before the first.
    pub run: id::Run,
    /// How it stands.
    pub state: TaskState,
    /// Where its newest run was ordered.
    pub server: Option<id::BackendServerId>,
    /// Runs that have failed.
    pub failures: u32,
    /// From where the next run goes on; empty for the beginning.
    pub checkpoint: Arc<str>,
}

/// What is stored of one job beside the job itself.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Progress {
    /// How it stands.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Whether any task was ever started.
    #[serde(rename = "b")]
    pub has_begun: bool,
    /// When it came to its end, by the wall clock of the recording host; zero before.
    #[serde(rename = "e")]
    pub ended_unix_ms: u64,
    /// Its tasks; one that is absent waits for its first run, unless its step is finished.
    #[serde(rename = "t", with = "entries")]
    pub tasks: BTreeMap<job::TaskIndex, TaskRecord>,
    /// Occurrences and steps of which all tasks have finished. Their tasks are left out, so that
    /// the row of a job with many occurrences stays small.
    #[serde(rename = "d", default, skip_serializing_if = "BTreeSet::is_empty")]
    pub finished_steps: BTreeSet<(u32, u32)>,
}

impl Progress {
    /// The record of a task.
    pub fn task(&self, index: job::TaskIndex) -> TaskRecord {
        self.tasks.get(&index).cloned().unwrap_or_default()
    }

    /// How a task stands.
    pub fn task_state(&self, index: job::TaskIndex) -> TaskState {
        match self.tasks.get(&index) {
            Some(task) => task.state,
            None if self.is_step_finished(index.occurrence, index.step) => TaskState::Done,
            None => TaskState::Waiting,
        }
    }

    /// Whether a step is noted as finished.
    pub fn is_step_finished(&self, occurrence: u32, step: u32) -> bool {
        self.finished_steps.contains(&(occurrence, step))
    }

    /// Notes that all tasks of a step have finished, and leaves them out.
    pub fn finish_step(&mut self, occurrence: u32, step: u32) {
        self.finished_steps.insert((occurrence, step));
        self.tasks
            .retain(|index, _| (index.occurrence, index.step) != (occurrence, step));
    }

    /// The record of a task, to be changed.
    pub fn task_mut(&mut self, index: job::TaskIndex) -> &mut TaskRecord {
        self.tasks.entry(index).or_default()
    }
}

/// One task as an array of eight entries, since rows are rewritten with each start and end.
struct Entry(job::TaskIndex, TaskRecord);

impl serde::Serialize for Entry {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let Self(index, record) = self;
        let state = match record.state {
            TaskState::Waiting => "w",
            TaskState::Started => "s",
            TaskState::Done => "d",
        };
        let mut tuple = serializer.serialize_tuple(ENTRY_FIELDS)?;
        tuple.serialize_element(&index.occurrence)?;
        tuple.serialize_element(&index.step)?;
        tuple.serialize_element(&index.rank)?;
        tuple.serialize_element(&record.run)?;
        tuple.serialize_element(state)?;
        tuple.serialize_element(&record.server)?;
        tuple.serialize_element(&record.failures)?;
        tuple.serialize_element(&record.checkpoint)?;
        tuple.end()
    }
}

/// Entries of the array that stands for a task.
const ENTRY_FIELDS: usize = 8;

struct EntryVisitor;

fn required_element<'de, T: serde::Deserialize<'de>, A: SeqAccess<'de>>(
    seq: &mut A,
    position: usize,
) -> Result<T, A::Error> {
    seq.next_element()?
        .ok_or_else(|| de::Error::invalid_length(position, &"eight entries"))
}

impl<'de> Visitor<'de> for EntryVisitor {
    type Value = Entry;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a task as an array of eight entries")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Entry, A::Error> {
        let index = job::TaskIndex {
            occurrence: required_element(&mut seq, 0)?,
            step: required_element(&mut seq, 1)?,
            rank: required_element(&mut seq, 2)?,
        };
        let run = required_element(&mut seq, 3)?;
        let state: String = required_element(&mut seq, 4)?;
        let state = match state.as_str() {
            "w" => TaskState::Waiting,
            "s" => TaskState::Started,
            "d" => TaskState::Done,
            other => return Err(de::Error::unknown_variant(other, &["w", "s", "d"])),
        };
        let record = TaskRecord {
            run,
            state,
            server: required_element(&mut seq, 5)?,
            failures: required_element(&mut seq, 6)?,
            checkpoint: required_element(&mut seq, 7)?,
        };
        Ok(Entry(index, record))
    }
}

impl<'de> serde::Deserialize<'de> for Entry {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_tuple(ENTRY_FIELDS, EntryVisitor)
    }
}

mod entries {
    use std::collections::BTreeMap;

    use camphorbeam_model::job;
    use serde::Deserialize as _;

    use super::{Entry, TaskRecord};

    pub(super) fn serialize<S: serde::Serializer>(
        tasks: &BTreeMap<job::TaskIndex, TaskRecord>,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(
            tasks
                .iter()
                .map(|(index, record)| Entry(*index, record.clone())),
        )
    }

    pub(super) fn deserialize<'de, D: serde::Deserializer<'de>>(
        deserializer: D,
    ) -> Result<BTreeMap<job::TaskIndex, TaskRecord>, D::Error> {
        let entries = Vec::<Entry>::deserialize(deserializer)?;
        Ok(entries
            .into_iter()
            .map(|Entry(index, record)| (index, record))
            .collect())
    }
}
