//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    began: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(directory: &Path) -> std::io::Result<Record> {
        let file = File::create(directory.join("record.txt"))?;
        Ok(Record {
            began: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        })
    }

    pub fn note(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {text}", self.began.elapsed().as_secs_f64());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
