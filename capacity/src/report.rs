//! What a run prints.

use std::time::Duration;

use camphorbeam_http::meter;
use camphorbeam_platform::memory;
use camphorbeam_server::api;

use crate::{probe, process, size};

/// What an entry host does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Holds the scheduler lease of the zone.
    Scheduler,
    /// Watches the lease.
    Standby,
    /// Takes the calls of callers and operators, and watches the lease.
    Entry,
}

impl Role {
    /// All roles, in the order in which they are started.
    pub const ALL: [Self; 3] = [Self::Scheduler, Self::Standby, Self::Entry];

    /// A short name.
    pub fn name(self) -> &'static str {
        match self {
            Self::Scheduler => "scheduler",
            Self::Standby => "standby",
            Self::Entry => "entry",
        }
    }
}

/// Bytes at sockets, headers included, as the entry host sees them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Bytes {
    /// Received.
    pub in_bytes: u64,
    /// Sent.
    pub out_bytes: u64,
}

/// Bytes of an entry host since its start, by kind of peer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Traffic {
    /// With the platform.
    pub platform: Bytes,
    /// With backend servers.
    pub backend_servers: Bytes,
    /// With entry hosts, in calls that it makes.
    pub entry_hosts_called: Bytes,
    /// With entry hosts, in calls that it answers.
    pub entry_hosts_answered: Bytes,
}

impl Traffic {
    /// The traffic that an entry host's health and the meters of its forwarders state.
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
            // What the far side of an outward call receives, the entry host has sent.
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

/// An entry host at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Snapshot {
    /// Its process.
    pub process: process::Sample,
    /// Its bytes so far.
    pub traffic: Traffic,
}

/// Bytes a second.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize)]
pub struct Rate {
    /// Received.
    pub in_bytes_per_s: f64,
    /// Sent.
    pub out_bytes_per_s: f64,
}

/// What an entry host cost over the window.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Cost {
    /// What it did.
    pub role: Role,
    /// Resident memory at the end of the window.
    pub resident_bytes: u64,
    /// Resident memory that no file backs, at the end of the window.
    pub resident_anonymous_bytes: u64,
    /// Most memory that was ever resident.
    pub resident_peak_bytes: u64,
    /// Threads.
    pub threads: u64,
    /// Processor time over the window, as a share of one core.
    pub core_ratio: f64,
    /// With the platform.
    pub platform: Rate,
    /// With backend servers.
    pub backend_servers: Rate,
    /// With entry hosts, in calls that it makes.
    pub entry_hosts_called: Rate,
    /// With entry hosts, in calls that it answers.
    pub entry_hosts_answered: Rate,
    /// Everything received and sent.
    pub total_bytes_per_s: f64,
    /// Processor time for starting the tasks.
    pub launch_processor_time_s: f64,
    /// Traffic with the platform for starting the tasks.
    pub launch_platform: Bytes,
    /// Traffic with backend servers for starting the tasks.
    pub launch_backend_servers: Bytes,
}

/// Use of the platform's table over the window.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct PlatformUse {
    /// Transactions a second.
    pub commits_per_s: f64,
    /// Rows written a second.
    pub written_rows_per_s: f64,
    /// Reads and pages of scans a second.
    pub reads_per_s: f64,
    /// Transactions for starting the tasks.
    pub launch_commits: u64,
    /// Rows written for starting the tasks.
    pub launch_written_rows: u64,
}

/// What a run prints.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Report {
    /// What was measured.
    pub size: size::Size,
    /// Bytes of one sheet.
    pub sheet_bytes: usize,
    /// Each entry host.
    pub daemons: Vec<Cost>,
    /// The platform, used by the three entry hosts.
    pub platform: PlatformUse,
    /// From applying a sheet until every entry host has it, by reading the platform alone.
    pub sheet_spread: probe::DurationStats,
    /// From submitting a request until it runs, with room for it.
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

/// The cost of an entry host from its readings before the launch, and before and after the window.
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

/// The use of the platform from its counts before the launch, and before and after the window.
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
