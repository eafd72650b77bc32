//! The size of the measured deployment, and the command line that sets it.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command};

/// Size of the measured deployment and parameters of the run.
#[derive(Clone, Debug, serde::Serialize)]
pub struct Size {
    /// Backend servers of the measured availability zone, each of which is faked.
    pub backend_servers: usize,
    /// Backend servers of other availability zones, which are only in the host list.
    pub other_backend_servers: usize,
    /// Running tasks in the measured availability zone.
    pub tasks: usize,
    /// Client accounts in the sheet.
    pub client_accounts: usize,
    /// Number of fake peers of each measured entry host.
    pub peers: usize,
    /// Number of sheets applied within the window.
    pub sheet_changes: u64,
    /// Number of new versions of the host list within the window.
    pub host_list_changes: u64,
    /// Length of the measured window.
    pub window_ms: u64,
    /// Time between the last start of a task and the start of the window.
    pub settle_ms: u64,
    /// Duration of a scheduler lease.
    pub scheduler_lease_ms: u64,
    /// Longest time for which a backend server holds a sync call open.
    pub sync_wait_ms: u64,
    /// Duration of a task lease.
    pub task_lease_ms: u64,
    /// Threads of each runtime of an entry host.
    pub threads: u64,
}

impl Size {
    /// Length of the measured window.
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }

    /// Time between the last start of a task and the start of the window.
    pub fn settle(&self) -> Duration {
        Duration::from_millis(self.settle_ms)
    }
}

/// Name, default value and help text of each numeric flag.
const NUMBERS: [(&str, &str, &str); 13] = [
    ("backend-servers", "134", "Backend servers of the zone"),
    (
        "other-backend-servers",
        "666",
        "Backend servers of other zones in the host list",
    ),
    ("tasks", "784", "Running tasks in the zone"),
    ("client-accounts", "240", "Client accounts in the sheet"),
    ("peers", "41", "Other entry hosts"),
    ("sheet-changes", "0", "Sheets applied within the window"),
    (
        "host-list-changes",
        "0",
        "Changes of the host list within the window",
    ),
    ("window-ms", "60000", "Length of the window"),
    (
        "settle-ms",
        "5000",
        "Time before the window after the last start",
    ),
    (
        "scheduler-lease-ms",
        "2000",
        "Duration of a scheduler lease",
    ),
    ("sync-wait-ms", "30000", "Longest wait of a sync"),
    ("task-lease-ms", "75000", "Duration of a task lease"),
    ("threads", "2", "Threads of each runtime of an entry host"),
];

/// Defines the command line.
pub fn command() -> Command {
    let numbers = NUMBERS.map(|(flag, default, help)| {
        Arg::new(flag)
            .long(flag)
            .default_value(default)
            .help(help)
            .value_parser(clap::value_parser!(u64))
    });
    Command::new("camphorbeam-capacity")
        .about("Measures what an entry host costs at a given size, and prints JSON")
        .args(numbers)
        .arg(
            Arg::new("camphorbeam")
                .long("camphorbeam")
                .value_parser(clap::value_parser!(PathBuf))
                .help("The measured binary; `camphorbeam` beside this one if not given"),
        )
}

/// Reads the size from the parsed command line.
///
/// # Errors
///
/// Fails if a number is too large for this platform's word size.
pub fn read(matches: &ArgMatches) -> anyhow::Result<Size> {
    Ok(Size {
        backend_servers: number(matches, "backend-servers").try_into()?,
        other_backend_servers: number(matches, "other-backend-servers").try_into()?,
        tasks: number(matches, "tasks").try_into()?,
        client_accounts: number(matches, "client-accounts").try_into()?,
        peers: number(matches, "peers").try_into()?,
        sheet_changes: number(matches, "sheet-changes"),
        host_list_changes: number(matches, "host-list-changes"),
        window_ms: number(matches, "window-ms"),
        settle_ms: number(matches, "settle-ms"),
        scheduler_lease_ms: number(matches, "scheduler-lease-ms"),
        sync_wait_ms: number(matches, "sync-wait-ms"),
        task_lease_ms: number(matches, "task-lease-ms"),
        threads: number(matches, "threads"),
    })
}

fn number(matches: &ArgMatches, flag: &str) -> u64 {
    matches.get_one::<u64>(flag).copied().unwrap_or_default()
}

/// Returns the path of the measured binary: the given one, or `camphorbeam` in the directory of
/// this program.
///
/// # Errors
///
/// Fails if no path is given and there is no such file.
pub fn binary(matches: &ArgMatches) -> anyhow::Result<PathBuf> {
    if let Some(path) = matches.get_one::<PathBuf>("camphorbeam") {
        return Ok(path.clone());
    }
    let current_binary = std::env::current_exe()?;
    let sibling = current_binary.with_file_name("camphorbeam");
    match sibling.exists() {
        true => Ok(sibling),
        false => Err(anyhow::anyhow!("{} does not exist", sibling.display()))
            .context("no binary to measure (hint: build the workspace, or give --camphorbeam)"),
    }
}
