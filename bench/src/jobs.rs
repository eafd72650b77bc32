//! Reads and writes lists of jobs as CSV.

use std::io;

use camphorbeam_model::id;

/// One job of a list.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct JobRow {
    /// Time of arrival, in seconds since the start of the list.
    pub arrival_s: f64,
    /// Client account that the job is charged to.
    pub client_account: id::ClientAccountName,
    /// Kind of work, as named in the sheet.
    pub kind: id::KindName,
    /// Number of adjacent accelerators; a job with zero takes only a slot.
    pub accelerators: u32,
    /// Run time on a backend server of speed 1.0, in seconds.
    pub run_time_s: f64,
    /// Run time that the caller declares, in seconds.
    pub declared_run_time_s: f64,
    /// Whether the job may run more than once.
    #[serde(deserialize_with = "yes_or_no")]
    pub idempotent: bool,
    /// Whether the job can be checkpointed.
    #[serde(deserialize_with = "yes_or_no")]
    pub checkpointable: bool,
    /// Whether the job must start within the limit for urgent work.
    #[serde(deserialize_with = "yes_or_no")]
    pub urgent: bool,
    /// Time after which the caller cancels the job if it still waits, in seconds since its arrival.
    /// The column is optional.
    #[serde(default)]
    pub cancelled_after_s: Option<f64>,
}

/// Error for a list that can't be read.
#[derive(Debug, thiserror::Error)]
pub enum JobListError {
    /// The file is not CSV, or a column is missing or invalid.
    #[error("job list: {0} (hint: see the columns in docs/design/placement.md)")]
    Csv(#[from] csv::Error),
    /// A time is negative or not finite.
    #[error("job list, line {line}: {column} is not a time in seconds (hint: from 0 on)")]
    Time {
        /// Line number, starting at 1.
        line: usize,
        /// Name of the column.
        column: &'static str,
    },
}

/// Reads a list and sorts its rows by arrival.
///
/// # Errors
///
/// Returns [`JobListError`] for the first row that can't be read.
pub fn read(input: impl io::Read) -> Result<Vec<JobRow>, JobListError> {
    let mut reader = csv::ReaderBuilder::new()
        .trim(csv::Trim::All)
        .flexible(true)
        .from_reader(input);
    let mut rows = Vec::new();
    for (number, row) in reader.deserialize().enumerate() {
        let row: JobRow = row?;
        // The header is line 1.
        check_times(&row, number + 2)?;
        rows.push(row);
    }
    rows.sort_by(|a, b| a.arrival_s.total_cmp(&b.arrival_s));
    Ok(rows)
}

/// Writes a list with a header line.
///
/// # Errors
///
/// Returns [`csv::Error`] if the output can't be written.
pub fn write(rows: &[JobRow], output: impl io::Write) -> Result<(), csv::Error> {
    let mut writer = csv::Writer::from_writer(output);
    for row in rows {
        writer.serialize(row)?;
    }
    writer.flush()?;
    Ok(())
}

fn check_times(row: &JobRow, line: usize) -> Result<(), JobListError> {
    let times = [
        ("arrival_s", row.arrival_s),
        ("run_time_s", row.run_time_s),
        ("declared_run_time_s", row.declared_run_time_s),
        ("cancelled_after_s", row.cancelled_after_s.unwrap_or(0.0)),
    ];
    let faulty = times
        .into_iter()
        .find(|(_, time)| !time.is_finite() || *time < 0.0);
    match faulty {
        Some((column, _)) => Err(JobListError::Time { line, column }),
        None => Ok(()),
    }
}

fn yes_or_no<'de, D: serde::Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    struct YesOrNo;

    impl serde::de::Visitor<'_> for YesOrNo {
        type Value = bool;

        fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
            f.write_str("yes or no, true or false, 1 or 0")
        }

        fn visit_bool<E>(self, value: bool) -> Result<bool, E> {
            Ok(value)
        }

        fn visit_u64<E: serde::de::Error>(self, value: u64) -> Result<bool, E> {
            self.visit_str(&value.to_string())
        }

        fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<bool, E> {
            match text.to_ascii_lowercase().as_str() {
                "yes" | "true" | "1" | "y" => Ok(true),
                "no" | "false" | "0" | "n" | "" => Ok(false),
                _ => Err(E::invalid_value(serde::de::Unexpected::Str(text), &self)),
            }
        }
    }

    deserializer.deserialize_str(YesOrNo)
}
