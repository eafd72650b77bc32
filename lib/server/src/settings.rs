//! Settings of an entry host. Each has a flag and an environment variable; all are validated at
//! startup.

use std::net::SocketAddr;
use std::time::Duration;

use camphorbeam_model::id;
use camphorbeam_placement::weights;
use camphorbeam_telemetry::logs;
use clap::{Arg, ArgMatches};

use crate::auth;

/// Settings of an entry host. The log level, the trace file and the number of threads aren't among
/// its fields: the command reads them itself.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identifies one process; a process that replaces it has another id.
    pub host: id::HostId,
    pub zone: id::ZoneName,
    /// Address on which to listen for callers and operators.
    pub listen: SocketAddr,
    /// Address on which to listen for other entry hosts.
    pub peer_listen: SocketAddr,
    /// Address to announce to other entry hosts. If `None`, `peer_listen` is announced.
    pub peer_advertise: Option<SocketAddr>,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Other entry hosts that are always contacted, in addition to those in the host list, so that
    /// hosts find each other without the platform.
    pub peers: Vec<SocketAddr>,
    /// Issues and verifies tokens.
    pub keyring: auth::Keyring,
    /// Address to which metrics are sent over UDP. If `None`, metrics are dropped.
    pub statsd: Option<SocketAddr>,
    /// Time limit for each call to the platform.
    pub platform_timeout: Duration,
    /// How long a scheduler lease lasts without renewal.
    pub scheduler_lease: Duration,
    /// How long a task continues to run without renewal of its lease.
    pub task_lease: Duration,
    /// How long a backend server may delay its response to a sync while nothing changes.
    pub sync_wait: Duration,
    /// Time limit for each order to a backend server.
    pub order_timeout: Duration,
    /// Maximum number of waiting requests per client account and zone; more are refused.
    pub queue_max: usize,
    /// Weights of the goals of placement.
    pub weights: weights::Weights,
    /// Number of workers that carry out decisions.
    pub worker_count: usize,
    /// Time limit of each of the three waits of a shutdown: for calls, for launches and other work
    /// of the scheduler, and for the release of the scheduler lease.
    pub shutdown_limit: Duration,
}

impl Settings {
    /// Returns the address that is announced to other entry hosts.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

/// An invalid setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingFault {
    /// The flag without its leading dashes.
    pub flag: &'static str,
    /// The value as it was given.
    pub value: String,
    /// Why the value is invalid.
    pub reason: String,
}

/// Lists all invalid settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("settings: {}", describe(.faults))]
pub struct SettingsError {
    /// The faults in the order in which the settings are read.
    pub faults: Vec<SettingFault>,
}

fn describe(faults: &[SettingFault]) -> String {
    let lines: Vec<String> = faults
        .iter()
        .map(|fault| format!("--{} {:?}: {}", fault.flag, fault.value, fault.reason))
        .collect();
    lines.join("; ")
}

/// The definition of a setting on the command line.
struct Setting {
    flag: &'static str,
    env: &'static str,
    default: Option<&'static str>,
    help: &'static str,
}

const SETTINGS: [Setting; 21] = [
    Setting {
        flag: "host",
        env: "CAMPHORBEAM_HOST",
        default: None,
        help: "Id of this entry host; a replacement takes a new one",
    },
    Setting {
        flag: "zone",
        env: "CAMPHORBEAM_ZONE",
        default: None,
        help: "Availability zone of this entry host",
    },
    Setting {
        flag: "listen",
        env: "CAMPHORBEAM_LISTEN",
        default: None,
        help: "Address for callers and operators, as IP:PORT",
    },
    Setting {
        flag: "peer-listen",
        env: "CAMPHORBEAM_PEER_LISTEN",
        default: None,
        help: "Address for other entry hosts, as IP:PORT",
    },
    Setting {
        flag: "peer-advertise",
        env: "CAMPHORBEAM_PEER_ADVERTISE",
        default: Some(""),
        help: "Where other entry hosts are told to reach it; --peer-listen if empty",
    },
    Setting {
        flag: "platform",
        env: "CAMPHORBEAM_PLATFORM",
        default: None,
        help: "Address of the platform, as IP:PORT",
    },
    Setting {
        flag: "peers",
        env: "CAMPHORBEAM_PEERS",
        default: Some(""),
        help: "Other entry hosts to ask while the platform is away, as IP:PORT,IP:PORT",
    },
    Setting {
        flag: "secret-file",
        env: "CAMPHORBEAM_SECRET_FILE",
        default: Some(""),
        help: "File with the secret behind all tokens; CAMPHORBEAM_SECRET is read if empty",
    },
    Setting {
        flag: "statsd",
        env: "CAMPHORBEAM_STATSD",
        default: Some(""),
        help: "Where to send metrics by UDP, as IP:PORT; none if empty",
    },
    Setting {
        flag: "trace-file",
        env: "CAMPHORBEAM_TRACE_FILE",
        default: Some(""),
        help: "Where finished spans are written, as lines of JSON; - for standard error, none if \
               empty",
    },
    Setting {
        flag: "log-level",
        env: "CAMPHORBEAM_LOG_LEVEL",
        default: Some(logs::LEVEL_DEFAULT),
        help: "Least severe logs to write: error, warn, info, debug, or off",
    },
    Setting {
        flag: "platform-timeout-ms",
        env: "CAMPHORBEAM_PLATFORM_TIMEOUT_MS",
        default: Some("1000"),
        help: "Limit for each call to the platform",
    },
    Setting {
        flag: "scheduler-lease-ms",
        env: "CAMPHORBEAM_SCHEDULER_LEASE_MS",
        default: Some("2000"),
        help: "How long a scheduler lease lasts without renewal",
    },
    Setting {
        flag: "task-lease-ms",
        env: "CAMPHORBEAM_TASK_LEASE_MS",
        default: Some("75000"),
        help: "How long a task runs on without renewal of its lease",
    },
    Setting {
        flag: "sync-wait-ms",
        env: "CAMPHORBEAM_SYNC_WAIT_MS",
        default: Some("30000"),
        help: "How long a backend server holds back an answer while nothing changes",
    },
    Setting {
        flag: "order-timeout-ms",
        env: "CAMPHORBEAM_ORDER_TIMEOUT_MS",
        default: Some("1000"),
        help: "Limit for each order to a backend server",
    },
    Setting {
        flag: "queue-max",
        env: "CAMPHORBEAM_QUEUE_MAX",
        default: Some("1000"),
        help: "Waiting requests per client account and availability zone",
    },
    Setting {
        flag: "weights",
        env: "CAMPHORBEAM_WEIGHTS",
        default: Some("balanced"),
        help: "What placement favours: balanced, fragmentation or completion",
    },
    Setting {
        flag: "workers",
        env: "CAMPHORBEAM_WORKERS",
        default: Some("16"),
        help: "Launches and ends of requests carried out at once",
    },
    Setting {
        flag: "shutdown-limit-ms",
        env: "CAMPHORBEAM_SHUTDOWN_LIMIT_MS",
        default: Some("10000"),
        help: "Time that a shutdown waits for what is under way",
    },
    Setting {
        flag: "threads",
        env: "CAMPHORBEAM_THREADS",
        default: Some("2"),
        help: "Threads of each of the two async runtimes",
    },
];

/// Environment variable that holds the secret if no secret file is given.
pub const SECRET_ENV: &str = "CAMPHORBEAM_SECRET";

/// Returns the command-line arguments of `serve`.
pub fn args() -> impl Iterator<Item = Arg> {
    SETTINGS.iter().map(|setting| {
        let arg = Arg::new(setting.flag)
            .long(setting.flag)
            .env(setting.env)
            .hide_env_values(true)
            .help(setting.help);
        match setting.default {
            Some(default) => arg.default_value(default),
            None => arg.required(true),
        }
    })
}

/// Reads the settings one by one and collects their faults.
struct SettingsReader<'a> {
    matches: &'a ArgMatches,
    faults: Vec<SettingFault>,
}

impl SettingsReader<'_> {
    fn text(&self, flag: &str) -> String {
        self.matches
            .get_one::<String>(flag)
            .cloned()
            .unwrap_or_default()
    }

    fn fault(&mut self, flag: &'static str, value: &str, reason: impl ToString) {
        self.faults.push(SettingFault {
            flag,
            value: value.to_owned(),
            reason: reason.to_string(),
        });
    }

    fn parse<T>(&mut self, flag: &'static str, hint: &str) -> Option<T>
    where
        T: std::str::FromStr<Err: ToString>,
    {
        let text = self.text(flag);
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                let reason = format!("{}{hint}", error.to_string());
                self.fault(flag, &text, reason);
                None
            }
        }
    }

    fn address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        self.parse(flag, " (hint: write IP:PORT)")
    }

    fn optional_address(&mut self, flag: &'static str) -> Option<SocketAddr> {
        match self.text(flag).as_str() {
            "" => None,
            _ => self.address(flag),
        }
    }

    fn addresses(&mut self, flag: &'static str) -> Vec<SocketAddr> {
        let text = self.text(flag);
        let mut addresses = Vec::new();
        for part in text.split(',').filter(|part| !part.is_empty()) {
            match part.trim().parse() {
                Ok(address) => addresses.push(address),
                Err(error) => self.fault(flag, part, format!("{error} (hint: write IP:PORT)")),
            }
        }
        addresses
    }

    fn number(&mut self, flag: &'static str, min: u64, max: u64) -> Option<u64> {
        let number: u64 = self.parse(flag, " (hint: write a whole number)")?;
        match (min..=max).contains(&number) {
            true => Some(number),
            false => {
                let value = number.to_string();
                self.fault(flag, &value, format!("must be from {min} to {max}"));
                None
            }
        }
    }

    fn duration(&mut self, flag: &'static str, min_ms: u64, max_ms: u64) -> Option<Duration> {
        self.number(flag, min_ms, max_ms).map(Duration::from_millis)
    }

    fn check_log_level(&mut self) {
        let text = self.text("log-level");
        if let Err(error) = logs::parse_level(&text) {
            self.fault("log-level", &text, error);
        }
    }

    fn weights(&mut self) -> Option<weights::Weights> {
        let text = self.text("weights");
        match text.as_str() {
            "balanced" => Some(weights::Weights::default()),
            "fragmentation" => Some(weights::Weights::fragmentation_first()),
            "completion" => Some(weights::Weights::completion_first()),
            _ => {
                let reason = "is none of balanced, fragmentation, completion";
                self.fault("weights", &text, reason);
                None
            }
        }
    }

    fn keyring(&mut self) -> Option<auth::Keyring> {
        let path = self.text("secret-file");
        let secret = match path.as_str() {
            "" => std::env::var(SECRET_ENV).unwrap_or_default(),
            path => match std::fs::read_to_string(path) {
                Ok(text) => text,
                Err(error) => {
                    self.fault("secret-file", path, error);
                    return None;
                }
            },
        };
        match auth::Keyring::new(secret.trim()) {
            Ok(keyring) => Some(keyring),
            Err(error) => {
                self.fault(
                    "secret-file",
                    &path,
                    format!("{error}; or set {SECRET_ENV}"),
                );
                None
            }
        }
    }
}

const MINUTE_MS: u64 = 60_000;

/// Reads and validates the settings.
///
/// # Errors
///
/// Returns all faults, each with its flag and value. The rules that involve several settings are
/// checked only if every required setting can be read.
pub fn read(matches: &ArgMatches) -> Result<Settings, SettingsError> {
    let mut reader = SettingsReader {
        matches,
        faults: Vec::new(),
    };
    let settings = read_all(&mut reader);
    if let Some(settings) = &settings {
        check_combinations(&mut reader, settings);
    }
    match settings {
        Some(settings) if reader.faults.is_empty() => Ok(settings),
        _ => Err(SettingsError {
            faults: reader.faults,
        }),
    }
}

fn read_all(reader: &mut SettingsReader<'_>) -> Option<Settings> {
    let host = reader.parse("host", "");
    let zone = reader.parse("zone", "");
    let listen = reader.address("listen");
    let peer_listen = reader.address("peer-listen");
    let peer_advertise = reader.optional_address("peer-advertise");
    let platform = reader.address("platform");
    let peers = reader.addresses("peers");
    let keyring = reader.keyring();
    let statsd = reader.optional_address("statsd");
    let platform_timeout = reader.duration("platform-timeout-ms", 10, MINUTE_MS);
    let scheduler_lease = reader.duration("scheduler-lease-ms", 200, MINUTE_MS);
    let task_lease = reader.duration("task-lease-ms", 200, 60 * MINUTE_MS);
    let sync_wait = reader.duration("sync-wait-ms", 10, 10 * MINUTE_MS);
    let order_timeout = reader.duration("order-timeout-ms", 10, MINUTE_MS);
    let queue_max = reader.number("queue-max", 1, 1_000_000);
    let weights = reader.weights();
    let worker_count = reader.number("workers", 1, 256);
    let shutdown_limit = reader.duration("shutdown-limit-ms", 0, 60 * MINUTE_MS);
    reader.number("threads", 1, 64);
    reader.check_log_level();
    Some(Settings {
        host: host?,
        zone: zone?,
        listen: listen?,
        peer_listen: peer_listen?,
        peer_advertise,
        platform: platform?,
        peers,
        keyring: keyring?,
        statsd,
        platform_timeout: platform_timeout?,
        scheduler_lease: scheduler_lease?,
        task_lease: task_lease?,
        sync_wait: sync_wait?,
        order_timeout: order_timeout?,
        queue_max: usize::try_from(queue_max?).ok()?,
        weights: weights?,
        worker_count: usize::try_from(worker_count?).ok()?,
        shutdown_limit: shutdown_limit?,
    })
}

/// Checks the rules that involve several settings.
///
/// A task lease is renewed with each sync, and a sync takes at most the sum of the sync wait and
/// the order timeout. With twice that sum, a lease outlasts one sync that fails.
fn check_combinations(reader: &mut SettingsReader<'_>, settings: &Settings) {
    let renewal_gap_max = settings.sync_wait + settings.order_timeout;
    if settings.task_lease < 2 * renewal_gap_max {
        let value = settings.task_lease.as_millis().to_string();
        let reason = "must be at least twice --sync-wait-ms plus --order-timeout-ms";
        reader.fault("task-lease-ms", &value, reason);
    }
}
