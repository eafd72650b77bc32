//! Journal of the fake backend servers. It records which tasks really ran, so that tests can check
//! it against what camphorbeam reports.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use camphorbeam_model::{id, task};

/// A change of a task or of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// The task's accelerators were reserved.
    Reserved,
    /// The task started to run.
    Started,
    /// The task ended with an answer.
    Finished,
    /// The task ended by itself without an answer.
    Failed,
    /// An order stopped the task.
    Stopped,
    /// The server ended the task because its lease expired.
    Lapsed,
    /// The server started. Tasks of its earlier incarnations no longer run.
    ServerStarted,
    /// The test killed the server. Its tasks no longer run.
    ServerKilled,
}

/// One line of the journal.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Line {
    /// Time in milliseconds since the Unix epoch.
    pub at_unix_ms: u64,
    /// Backend server that the event happened on.
    pub server: id::BackendServerId,
    pub event: Event,
    /// Task that the event is about; `None` for events of the server itself.
    pub task: Option<task::TaskKey>,
    /// Whether the request of the task is idempotent.
    pub idempotent: bool,
    /// Number of members of the task's gang; 0 for events of the server itself.
    pub gang_size: usize,
    /// Highest epoch that the server had seen; 0 in lines that the test writes.
    pub epoch: id::Epoch,
}

/// Collects lines in memory, and optionally in a file that remains after the process is killed.
#[derive(Clone, Debug, Default)]
pub struct Journal {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug, Default)]
struct Shared {
    lines: Vec<Line>,
    file: Option<File>,
}

impl Journal {
    /// Creates a journal that also appends to the file at `path`.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be opened.
    pub fn to_file(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let shared = Shared {
            lines: Vec::new(),
            file: Some(file),
        };
        Ok(Self {
            shared: Arc::new(Mutex::new(shared)),
        })
    }

    /// # Panics
    ///
    /// Panics if the file can't be written, because a test must not continue with an incomplete
    /// journal.
    pub fn push(&self, line: Line) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(file) = &mut shared.file {
            let mut text = serde_json::to_string(&line).expect("a journal line serializes to JSON");
            text.push('\n');
            file.write_all(text.as_bytes())
                .expect("the journal is writable");
        }
        shared.lines.push(line);
    }

    /// Returns the lines written through this journal and its clones, without earlier lines of the
    /// file.
    pub fn lines(&self) -> Vec<Line> {
        let shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        shared.lines.clone()
    }
}

/// Reads the journal file at `path`. Skips lines that can't be parsed, because a kill can leave the
/// last line incomplete.
///
/// # Errors
///
/// Fails if the file can't be read.
pub fn read_file(path: &Path) -> std::io::Result<Vec<Line>> {
    let mut lines = Vec::new();
    for text in BufReader::new(File::open(path)?).lines() {
        if let Ok(line) = serde_json::from_str(&text?) {
            lines.push(line);
        }
    }
    Ok(lines)
}
