//! Decodes the log lines of `camphorbeam host` that tell the story of jobs.

use serde::Deserialize;

/// What a line says about a job or a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Entry {
    /// A scheduler has begun to schedule a job.
    Opened(Opened),
    /// Other runs are stopped for a unit of the job.
    Preempts {
        /// The urgent job.
        job: String,
    },
    /// A unit was placed.
    Placed(Placed),
    /// A run ended.
    Ended(Ended),
    /// The job came to its end.
    Finished(Finished),
    /// A scheduler begins, which ends the time without one.
    SchedulingBegins {
        /// Its epoch.
        epoch: u64,
    },
    /// Any other line of a scheduler.
    OtherDecision {
        /// The epoch of the scheduler.
        epoch: u64,
    },
}

/// The fields of a line `job open`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Opened {
    /// The job.
    pub job: String,
    /// Its queue.
    pub queue: String,
    /// Its priority; 0 is urgent.
    pub priority: u32,
    /// Number of tasks of its widest step.
    pub tasks: u32,
    /// Whether these are a gang.
    pub is_gang: bool,
    /// Accelerators of each of these tasks.
    pub accelerators: u64,
    /// Core-seconds of all tasks, by their estimates.
    pub core_s: f64,
    /// Time from acceptance within which the job should be completed.
    pub objective_ms: u64,
    /// Estimated run time of the longest chain of steps.
    pub critical_path_ms: u64,
    /// Whether the objective doesn't apply to the job as a whole.
    pub is_scheduled_or_long_running: bool,
    /// Time since the job was accepted.
    pub age_ms: u64,
    /// The epoch of the scheduler.
    pub epoch: u64,
}

/// The fields of a line `placed`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Placed {
    /// The job.
    pub job: String,
    /// The first task of the unit, as OCCURRENCE.STEP.RANK.
    pub task: String,
    /// Number of tasks in the unit.
    pub tasks: u32,
    /// Number of the run.
    pub run: u64,
    /// The epoch of the scheduler.
    pub epoch: u64,
}

/// The fields of a line `run ended`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Ended {
    /// The job.
    pub job: String,
    /// The task, as OCCURRENCE.STEP.RANK.
    pub task: String,
    /// Number of the run.
    pub run: u64,
    /// How the run ended.
    pub how: String,
    /// Why it was stopped, or `how`.
    pub cause: String,
    /// Core-seconds of work that the end has lost.
    pub lost_core_s: f64,
    /// The epoch of the scheduler.
    pub epoch: u64,
}

/// The fields of a line `job state`.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Finished {
    /// The job.
    pub job: String,
    /// `completed`, `failed` or `cancelled`.
    pub state: String,
    /// Time from its acceptance.
    pub age_ms: u64,
    /// The epoch of the scheduler.
    pub epoch: u64,
}

#[derive(Deserialize)]
struct Record {
    timestamp: u64,
    payload: String,
    #[serde(default)]
    kv: serde_json::Value,
}

#[derive(Deserialize)]
struct OfJob {
    job: String,
}

#[derive(Deserialize)]
struct OfEpoch {
    epoch: u64,
}

/// A decoded line.
#[derive(Clone, Debug, PartialEq)]
pub struct LogLine {
    /// When the line was written, in milliseconds since the Unix epoch by the host's clock.
    pub unix_ms: u64,
    /// What it says.
    pub entry: Entry,
}

/// Decodes a line; text before the JSON object, as collectors of logs add it, is ignored. Returns
/// `None` for lines about other things.
///
/// # Errors
///
/// Returns the error of the JSON decoder for a line that should hold a known entry and doesn't,
/// such as one that was cut off or that an earlier version has written.
pub fn decode(line: &str) -> Result<Option<LogLine>, serde_json::Error> {
    let Some(start) = line.find('{') else {
        return Ok(None);
    };
    let record: Record = serde_json::from_str(&line[start..])?;
    let kv = record.kv;
    let entry = match record.payload.as_str() {
        "job open" => Some(Entry::Opened(serde_json::from_value(kv)?)),
        "preempts" => {
            let OfJob { job } = serde_json::from_value(kv)?;
            Some(Entry::Preempts { job })
        }
        "placed" => Some(Entry::Placed(serde_json::from_value(kv)?)),
        "run ended" => Some(Entry::Ended(serde_json::from_value(kv)?)),
        "job state" => Some(Entry::Finished(serde_json::from_value(kv)?)),
        "scheduling begins" => {
            let OfEpoch { epoch } = serde_json::from_value(kv)?;
            Some(Entry::SchedulingBegins { epoch })
        }
        "stopping" | "start not confirmed" | "reach" | "backend server" => {
            let epoch = serde_json::from_value::<OfEpoch>(kv).ok();
            epoch.map(|OfEpoch { epoch }| Entry::OtherDecision { epoch })
        }
        _ => None,
    };
    Ok(entry.map(|entry| LogLine {
        unix_ms: record.timestamp,
        entry,
    }))
}

impl Entry {
    /// The epoch of the scheduler that wrote the line, if the line names it.
    pub fn epoch(&self) -> Option<u64> {
        match self {
            Self::Opened(opened) => Some(opened.epoch),
            Self::Placed(placed) => Some(placed.epoch),
            Self::Ended(ended) => Some(ended.epoch),
            Self::Finished(finished) => Some(finished.epoch),
            Self::SchedulingBegins { epoch } | Self::OtherDecision { epoch } => Some(*epoch),
            Self::Preempts { .. } => None,
        }
    }
}
