//! The report of a run, and the computation of its values.

use std::time::Duration;

use camphorbeam_http::meter;
use camphorbeam_platform::memory;
use camphorbeam_server::api;

use crate::{probe, process, size};

/// Role of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Holds the scheduler lease of the zone.
    Scheduler,
    /// Only watches the lease.
    Standby,
    /// Takes the calls of callers and operators, and watches the lease.
    Entry,
}

impl Role {
    /// All roles, in the order in which they are started.
    pub const ALL: [Self; 3] = [Self::Scheduler, Self::Standby, Self::Entry];

    /// Returns the name as used in host ids.
    pub fn name(self) -> &'static str {
        match self {
            Self::Scheduler => "scheduler",
            Self::Standby => "standby",
            Self::Entry => "entry",
        }
    }
}

/// Bytes on sockets, including headers, from the point of view of the entry host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Bytes {
    /// Received.
    pub in_bytes: u64,
    /// Sent.
    pub out_bytes: u64,
}

/// Bytes of an entry host since its start, by remote side.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Traffic {
    /// Traffic with the platform.
    pub platform: Bytes,
    /// Traffic with backend servers.
    pub backend_servers: Bytes,
    /// Traffic of calls to other entry hosts.
    pub entry_hosts_called: Bytes,
    /// Traffic of calls from other entry hosts.
    pub entry_hosts_answered: Bytes,
}

impl Traffic {
    /// Combines the byte counts from an entry host's health with the meters of its forwarders.
    pub fn new(counts: &api::ByteCounts, called: &meter::Meter, answered: &meter::Meter) -> Self {
        Self {
            platform: Bytes {
                in_bytes: counts.platform_received_bytes,
                out_bytes: counts.platform_sent_bytes,
            },
            backend_servers: Bytes {
                in_bytes: counts.backend_servers_received_bytes,
                out_bytes: counts.backend_servers_sent_bytes,
            },
            // The meter counts for the target: the bytes that it received are those that the entry
            // host sent.
            entry_hosts_called: Bytes {
                in_bytes: called.sent_bytes(),
                out_bytes: called.received_bytes(),
            },
            entry_hosts_answered: Bytes {
                in_bytes: answered.received_bytes(),
                out_bytes: answered.sent_bytes(),
            },
        }
    }
}

/// Resource usage and traffic of an entry host at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot {
    /// Resource usage of the process.
    pub process: process::Sample,
    /// Traffic since the start.
    pub traffic: Traffic,
}

/// Bytes per second.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Rate {
    /// Received.
    pub in_bytes_per_s: f64,
    /// Sent.
    pub out_bytes_per_s: f64,
}

/// Resource usage of an entry host over the measurement window.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Cost {
    /// Role of the entry host.
    pub role: Role,
    /// Resident memory at the end of the window.
    pub resident_bytes: u64,
    /// Resident memory that is not backed by a file, at the end of the window.
    pub resident_anonymous_bytes: u64,
    /// Peak of the resident memory.
    pub resident_peak_bytes: u64,
    /// Number of threads at the end of the window.
    pub threads: u64,
    /// Processor time over the window, as a share of one core.
    pub core_ratio: f64,
    /// Traffic with the platform.
    pub platform: Rate,
    /// Traffic with backend servers.
    pub backend_servers: Rate,
    /// Traffic of calls to other entry hosts.
    pub entry_hosts_called: Rate,
    /// Traffic of calls from other entry hosts.
    pub entry_hosts_answered: Rate,
    /// Sum of all received and sent bytes.
    pub total_bytes_per_s: f64,
    /// Processor time for starting the tasks: from before they are submitted until the start of the
    /// window.
    pub launch_processor_time_s: f64,
    /// Traffic with the platform in the same time.
    pub launch_platform: Bytes,
    /// Traffic with backend servers in the same time.
    pub launch_backend_servers: Bytes,
}

/// Use of the platform's table over the measurement window.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct PlatformUse {
    /// Committed transactions per second.
    pub commits_per_s: f64,
    /// Written rows per second.
    pub written_rows_per_s: f64,
    /// Reads and scanned pages per second.
    pub reads_per_s: f64,
    /// Committed transactions for starting the tasks: from before they are submitted until the
    /// start of the window.
    pub launch_commits: u64,
    /// Written rows in the same time.
    pub launch_written_rows: u64,
}

/// The report that a run prints.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// Size of the measured deployment.
    pub size: size::Size,
    /// Size of the sheet in bytes.
    pub sheet_bytes: usize,
    /// Resource usage of each measured entry host.
    pub daemons: Vec<Cost>,
    /// Use of the platform by the three measured entry hosts.
    pub platform: PlatformUse,
    /// Time from applying a sheet until every measured entry host has read it from the platform.
    pub sheet_spread: probe::DurationStats,
    /// Time from submitting a request until it runs, while slots are free.
    pub start_delay: probe::DurationStats,
}

fn rate(before: Bytes, after: Bytes, window: Duration) -> Rate {
    let per_s =
        |before: u64, after: u64| after.saturating_sub(before) as f64 / window.as_secs_f64();
    Rate {
        in_bytes_per_s: per_s(before.in_bytes, after.in_bytes),
        out_bytes_per_s: per_s(before.out_bytes, after.out_bytes),
    }
}

fn difference(before: Bytes, after: Bytes) -> Bytes {
    Bytes {
        in_bytes: after.in_bytes.saturating_sub(before.in_bytes),
        out_bytes: after.out_bytes.saturating_sub(before.out_bytes),
    }
}

/// Computes the resource usage of an entry host from its snapshots before the tasks are submitted
/// (`launch`), and before and after the window.
pub fn cost(
    role: Role,
    launch: &Snapshot,
    before: &Snapshot,
    after: &Snapshot,
    window: Duration,
) -> Cost {
    let (from, to) = (&before.traffic, &after.traffic);
    let rates = [
        rate(from.platform, to.platform, window),
        rate(from.backend_servers, to.backend_servers, window),
        rate(from.entry_hosts_called, to.entry_hosts_called, window),
        rate(from.entry_hosts_answered, to.entry_hosts_answered, window),
    ];
    let total_rate = |rate: &Rate| rate.in_bytes_per_s + rate.out_bytes_per_s;
    let used_s = after.process.processor_time_s - before.process.processor_time_s;
    Cost {
        role,
        resident_bytes: after.process.resident_bytes,
        resident_anonymous_bytes: after.process.resident_anonymous_bytes,
        resident_peak_bytes: after.process.resident_peak_bytes,
        threads: after.process.threads,
        core_ratio: used_s / window.as_secs_f64(),
        platform: rates[0],
        backend_servers: rates[1],
        entry_hosts_called: rates[2],
        entry_hosts_answered: rates[3],
        total_bytes_per_s: rates.iter().map(total_rate).sum(),
        launch_processor_time_s: before.process.processor_time_s - launch.process.processor_time_s,
        launch_platform: difference(launch.traffic.platform, from.platform),
        launch_backend_servers: difference(launch.traffic.backend_servers, from.backend_servers),
    }
}

/// Computes the use of the platform from its counts before the tasks are submitted (`launch`), and
/// before and after the window.
pub fn platform_use(
    launch: &memory::Usage,
    before: &memory::Usage,
    after: &memory::Usage,
    window: Duration,
) -> PlatformUse {
    let per_s =
        |before: u64, after: u64| after.saturating_sub(before) as f64 / window.as_secs_f64();
    PlatformUse {
        commits_per_s: per_s(before.commits, after.commits),
        written_rows_per_s: per_s(before.written_rows, after.written_rows),
        reads_per_s: per_s(before.reads, after.reads),
        launch_commits: before.commits.saturating_sub(launch.commits),
        launch_written_rows: before.written_rows.saturating_sub(launch.written_rows),
    }
}
