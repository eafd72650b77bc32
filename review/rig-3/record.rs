//! What was sent, answered and run, with the time since the start of the script.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    file: Mutex<File>,
    started: Instant,
    /// Tasks that have ended `done`.
    done: Mutex<BTreeSet<String>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
            done: Mutex::default(),
        })
    }

    pub fn seconds(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn write(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.seconds());
        self.write(text);
    }

    /// Notes that a task has ended `done`.
    pub fn note_done(&self, task: &str) {
        self.done.lock().unwrap().insert(task.to_owned());
    }

    /// Whether a run of a task has ended `done`.
    pub fn is_done(&self, task: &str) -> bool {
        self.done.lock().unwrap().contains(task)
    }
}
