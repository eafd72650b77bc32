//! Reads the memory, threads and processor time of a process from the kernel.

use std::collections::BTreeMap;

use anyhow::Context as _;

/// Clock ticks per second in which Linux reports processor time to user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Bytes in the unit (kB) of `/proc/PID/status`.
const STATUS_UNIT_BYTES: u64 = 1024;

/// Index of the user time among the fields after the name in `/proc/PID/stat`; the system time
/// follows.
const USER_TIME_FIELD: usize = 11;

/// Resource usage of a process at one point in time.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Sample {
    /// Resident memory.
    pub resident_bytes: u64,
    /// Resident memory that is not backed by a file.
    pub resident_anonymous_bytes: u64,
    /// Peak of the resident memory.
    pub resident_peak_bytes: u64,
    /// Number of threads.
    pub threads: u64,
    /// Processor time since the start, user and system.
    pub processor_time_s: f64,
}

/// Reads the resource usage of process `pid`.
///
/// # Errors
///
/// Fails if the process has ended or a field is missing.
pub fn sample(pid: u32) -> anyhow::Result<Sample> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))
        .with_context(|| format!("process {pid} has ended"))?;
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    parse(&status, &stat)
}

/// Parses the contents of `/proc/PID/status` and `/proc/PID/stat`.
///
/// # Errors
///
/// Fails if a field is missing.
pub fn parse(status: &str, stat: &str) -> anyhow::Result<Sample> {
    let fields: BTreeMap<&str, u64> = status.lines().filter_map(status_field).collect();
    let field = |name: &str| {
        let value = fields.get(name).copied();
        value.with_context(|| format!("no {name} in the status of the process"))
    };
    Ok(Sample {
        resident_bytes: field("VmRSS")? * STATUS_UNIT_BYTES,
        resident_anonymous_bytes: field("RssAnon")? * STATUS_UNIT_BYTES,
        resident_peak_bytes: field("VmHWM")? * STATUS_UNIT_BYTES,
        threads: field("Threads")?,
        processor_time_s: processor_time_s(stat)?,
    })
}

fn status_field(line: &str) -> Option<(&str, u64)> {
    let (name, rest) = line.split_once(':')?;
    let value = rest.split_whitespace().next()?.parse().ok()?;
    Some((name, value))
}

fn processor_time_s(stat: &str) -> anyhow::Result<f64> {
    // The name may contain blanks and parentheses; the last closing parenthesis ends it.
    let (_, fields) = stat.rsplit_once(')').context("no name in the stat line")?;
    let times: Vec<f64> = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|text| text.parse().ok())
        .collect();
    anyhow::ensure!(times.len() == 2, "no processor times in the stat line");
    Ok(times.iter().sum::<f64>() / TICKS_PER_SECOND)
}
