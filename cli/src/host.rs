//! `camphorbeam host`: runs the entry host of `camphorbeam-host`, on the interface of the users'
//! platform in `camphorbeam-platform-adapter`, until SIGTERM or SIGINT. SIGHUP makes it check the
//! settings file again. The command `serve` runs another one.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use async_std::net::TcpListener;
use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_host::{entry_host, metrics, settings};
use camphorbeam_http::{client, meter, server};
use camphorbeam_jobs::{interference, settings as job_settings};
use camphorbeam_platform_adapter::{
    advice, backend_servers, calls, machines, settings as settings_file, store, tables,
};
use camphorbeam_telemetry::logs;
use clap::{Arg, ArgMatches, Command};
use http_types::{Response, StatusCode};

use crate::{commands, exit};

/// Time between two checks for signals and, during shutdown, between two checks whether all work
/// has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum time for which callers are still served after the host reports that it isn't ready.
///
/// The platform checks readiness each second and stops sending calls to a host after two failed
/// checks.
const SERVE_AFTER_UNREADY_MIN: Duration = Duration::from_millis(2_800);

/// Part of the shutdown grace time that is left unused, so that the process ends before the
/// platform kills it.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(1_000);

/// Largest request body that is read, in bytes. The limit that operators set is checked afterwards;
/// one above this has no effect.
const BODY_MAX_BYTES: u64 = 1_024 * 1_024;

/// Default port of the metrics: one of the ports that the platform leaves free for the processes of
/// a host.
const METRICS_PORT_DEFAULT: &str = "7010";

/// HTTP path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// HTTP path of the evidence for tasks that slow each other down, on the port of the metrics.
const INTERFERENCE_PATH: &str = "/interference";

/// Number of threads of each async runtime. One is enough, as the hosts have one core or less.
const RUNTIME_THREADS: &str = "1";

/// Returns the definition of the `host` command.
pub fn command() -> Command {
    Command::new("host")
        .about("Run an entry host on the users' platform")
        .arg(
            Arg::new("settings-file")
                .long("settings-file")
                .env(settings_file::SETTINGS_FILE_ENV)
                .required(true)
                .help("Settings file that the platform places on the host"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .env("CAMPHORBEAM_METRICS_PORT")
                .value_parser(clap::value_parser!(u16))
                .default_value(METRICS_PORT_DEFAULT)
                .help("Port of the metrics, at the address of the readiness port; 0 for none"),
        )
        .arg(
            Arg::new("store-path")
                .long("store-path")
                .env("CAMPHORBEAM_STORE_PATH")
                .value_parser(["direct-first", "probed"])
                .default_value("direct-first")
                .help("Whether calls try the host's own connection to the store first, or a probe decides"),
        )
        .arg(
            Arg::new("reachability")
                .long("reachability")
                .env("CAMPHORBEAM_REACHABILITY")
                .value_parser(["server", "zones"])
                .default_value("server")
                .help("Whether servers without a reply are closed one by one or also by zone"),
        )
        .arg(
            Arg::new("last-attempt")
                .long("last-attempt")
                .env("CAMPHORBEAM_LAST_ATTEMPT")
                .value_parser(["any", "proven"])
                .default_value("any")
                .help("Servers for the last attempt of a task while servers fail: any or proven"),
        )
        .arg(
            Arg::new("takeover")
                .long("takeover")
                .env("CAMPHORBEAM_TAKEOVER")
                .value_parser(["uniform", "ranked"])
                .default_value("uniform")
                .help("How hosts compete for the scheduler lease"),
        )
        .arg(
            Arg::new("learned-state")
                .long("learned-state")
                .env("CAMPHORBEAM_LEARNED_STATE")
                .value_parser(["memory", "store"])
                .default_value("memory")
                .help("Where the scheduler keeps what it has learned about servers and demand"),
        )
        .arg(
            Arg::new("interference")
                .long("interference")
                .env("CAMPHORBEAM_INTERFERENCE")
                .value_parser(["off", "observe", "place"])
                .default_value("off")
                .help("Detect tasks that slow each other down; with place, also keep them apart"),
        )
        .arg(
            Arg::new("interference-weight")
                .long("interference-weight")
                .env("CAMPHORBEAM_INTERFERENCE_WEIGHT")
                .value_parser(parse_interference_weight)
                .default_value("10")
                .help("Cost of an expected loss of a core-second, in idle accelerators, 0 to 100"),
        )
        .arg(
            Arg::new("fair-shares")
                .long("fair-shares")
                .env("CAMPHORBEAM_FAIR_SHARES")
                .value_parser(["on", "off"])
                .default_value("off")
                .help("Whether shares of accounts and zones change the order of jobs under shortage"),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .env("CAMPHORBEAM_LOG_LEVEL")
                .default_value(logs::LEVEL_DEFAULT)
                .help("Least severe level of logs: info, warn, error, debug or off"),
        )
}

fn parse_interference_weight(text: &str) -> Result<f64, String> {
    let range = interference::WEIGHT_RANGE;
    let weight = text.parse().ok().filter(|weight| range.contains(weight));
    weight.ok_or_else(|| {
        format!(
            "a number from {} to {} is expected",
            range.start(),
            range.end()
        )
    })
}

fn interference_settings(matches: &ArgMatches) -> interference::Settings {
    let mode = matches
        .get_one::<String>("interference")
        .map(String::as_str);
    let default = interference::Settings::default();
    interference::Settings {
        mode: match mode {
            Some("place") => interference::Mode::Place,
            Some("observe") => interference::Mode::Observe,
            _ => interference::Mode::Off,
        },
        weight: matches
            .get_one("interference-weight")
            .copied()
            .unwrap_or(default.weight),
    }
}

/// Returns whether these arguments of the process name the `host` command.
pub fn is_requested(mut args: impl Iterator<Item = std::ffi::OsString>) -> bool {
    args.nth(1).is_some_and(|name| name == "host")
}

/// Runs an entry host until it is stopped by a signal, and returns the exit code. `signals` has the
/// handlers that were registered at the start of the process.
pub fn run(matches: &ArgMatches, signals: Option<anyhow::Result<SignalFlags>>) -> exit::Code {
    let arg_text = |flag: &str| matches.get_one::<String>(flag).map_or("", String::as_str);
    let path = PathBuf::from(arg_text("settings-file"));
    let signals = match signals.unwrap_or_else(SignalFlags::register) {
        Ok(signals) => signals,
        Err(error) => {
            eprintln!("camphorbeam host: signals can't be handled: {error:#}");
            return exit::Code::Usage;
        }
    };
    let settings_result = logs::parse_level(arg_text("log-level"))
        .and_then(logs::start_nonblocking)
        .and_then(|()| settings_file::read(&path));
    let store_path = match arg_text("store-path") {
        "probed" => settings::StorePathMode::Probed,
        _ => settings::StorePathMode::DirectFirst,
    };
    let settings = match settings_result {
        Ok(mut settings) => {
            settings.store_path = store_path;
            settings.jobs.interference = interference_settings(matches);
            settings.jobs.reachability = match arg_text("reachability") {
                "zones" => job_settings::ReachabilityMode::Zones,
                _ => job_settings::ReachabilityMode::Server,
            };
            settings.jobs.last_attempt = match arg_text("last-attempt") {
                "proven" => job_settings::LastAttempt::Proven,
                _ => job_settings::LastAttempt::Any,
            };
            settings.jobs.takeover = match arg_text("takeover") {
                "ranked" => job_settings::Takeover::Ranked,
                _ => job_settings::Takeover::Uniform,
            };
            settings.jobs.learned_state = match arg_text("learned-state") {
                "store" => job_settings::LearnedStateStorage::Store,
                _ => job_settings::LearnedStateStorage::Memory,
            };
            settings.jobs.fair_shares = match arg_text("fair-shares") {
                "on" => job_settings::FairShares::On,
                _ => job_settings::FairShares::Off,
            };
            settings
        }
        Err(error) => {
            eprintln!("camphorbeam host: {error:#}");
            return exit::Code::Usage;
        }
    };
    // Both async runtimes read their number of threads once, when the first task starts.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", RUNTIME_THREADS);
    std::env::set_var("TOKIO_WORKER_THREADS", RUNTIME_THREADS);
    let metrics_port = matches.get_one("metrics-port").copied();
    let serving = serve(settings, &path, metrics_port.unwrap_or_default(), &signals);
    match task::block_on(serving) {
        Ok(()) => exit::Code::Success,
        Err(error) => {
            eprintln!("camphorbeam host: {error:#}");
            exit::Code::Usage
        }
    }
}

/// Flags that signal handlers set.
#[derive(Debug)]
pub struct SignalFlags {
    stop: Arc<AtomicBool>,
    check_settings: Arc<AtomicBool>,
}

impl SignalFlags {
    /// Registers the handlers of SIGTERM, SIGINT and SIGHUP.
    ///
    /// # Errors
    ///
    /// Fails if a handler can't be registered.
    pub fn register() -> anyhow::Result<Self> {
        let stop = Arc::new(AtomicBool::new(false));
        let check_settings = Arc::new(AtomicBool::new(false));
        for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
            signal_hook::flag::register(signal, Arc::clone(&stop))?;
        }
        signal_hook::flag::register(signal_hook::consts::SIGHUP, Arc::clone(&check_settings))?;
        Ok(Self {
            stop,
            check_settings,
        })
    }
}

async fn serve(
    settings: settings::Settings,
    settings_path: &Path,
    metrics_port: u16,
    signals: &SignalFlags,
) -> anyhow::Result<()> {
    let clock = clock::Clock::system();
    let meter = Arc::new(meter::Meter::default());
    let client = Arc::new(client::HttpClient::new(clock.clone(), Arc::clone(&meter)));
    let machines_api = settings.machines.map(|cloud| {
        let api = machines::HttpMachines::new(Arc::clone(&client), cloud.address);
        Arc::new(api) as Arc<dyn camphorbeam_host::machines::MachinesApi>
    });
    let platform = entry_host::Platform {
        store: Arc::new(store::HttpStore::new(
            Arc::clone(&client),
            settings.store_address,
        )),
        adviser: settings.advice_address.map(|address| {
            let adviser = advice::HttpAdviser::new(Arc::clone(&client), address);
            Arc::new(adviser) as _
        }),
        servers: Arc::new(backend_servers::HttpBackendServers::new(client)),
        schema: Arc::new(tables::PlatformTables),
        machines: machines_api,
    };
    let host =
        Arc::new(entry_host::EntryHost::start(settings.clone(), platform, clock.clone()).await?);
    let open_calls = Arc::new(AtomicUsize::new(0));
    let bind = |address| async move {
        let listener = TcpListener::bind(address).await;
        listener.with_context(|| format!("address {address} can't be bound"))
    };
    let readiness_listener = bind(settings.readiness_address).await?;
    let caller_listener = bind(settings.caller_address).await?;
    let limits = server::Limits {
        body_max_bytes: BODY_MAX_BYTES,
        ..server::Limits::default()
    };
    task::spawn(server::serve(
        readiness_listener,
        clock.clone(),
        limits,
        Arc::clone(&meter),
        readiness_handler(Arc::clone(&host)),
    ));
    if metrics_port > 0 {
        let address = SocketAddr::new(settings.readiness_address.ip(), metrics_port);
        task::spawn(server::serve(
            bind(address).await?,
            clock.clone(),
            limits,
            Arc::clone(&meter),
            metrics_handler(Arc::clone(&host)),
        ));
    }
    task::spawn(server::serve(
        caller_listener,
        clock.clone(),
        limits,
        meter,
        caller_handler(Arc::clone(&host), Arc::clone(&open_calls)),
    ));
    spdlog::info!("entry host started", kv: {
        host = settings.host.as_str(), zone = settings.zone.as_str(), version = commands::VERSION
    });
    while !signals.stop.load(Ordering::Relaxed) {
        clock.sleep(POLL_INTERVAL).await;
        if signals.check_settings.swap(false, Ordering::Relaxed) {
            check_settings_file(&settings, settings_path);
        }
    }
    leave(&host, &open_calls, &settings, &clock).await;
    Ok(())
}

type ResponseFuture = std::pin::Pin<Box<dyn std::future::Future<Output = Response> + Send>>;

fn readiness_handler(
    host: Arc<entry_host::EntryHost>,
) -> impl Fn(server::BufferedRequest) -> ResponseFuture + Clone + Send + Sync + 'static {
    move |_request| {
        let status = match host.is_ready() {
            true => StatusCode::Ok,
            false => StatusCode::ServiceUnavailable,
        };
        Box::pin(async move { Response::new(status) })
    }
}

fn metrics_handler(
    host: Arc<entry_host::EntryHost>,
) -> impl Fn(server::BufferedRequest) -> ResponseFuture + Clone + Send + Sync + 'static {
    move |request| {
        if request.head.url().path() == INTERFERENCE_PATH {
            let response = server::json_response(StatusCode::Ok, &host.interference_report());
            return Box::pin(async move { response });
        }
        let response = match host.metrics_text() {
            _ if request.head.url().path() != METRICS_PATH => Response::new(StatusCode::NotFound),
            Ok(text) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(text);
                response.insert_header("content-type", metrics::MEDIA_TYPE);
                response
            }
            Err(error) => {
                let reason = error.to_string();
                spdlog::error!("the metrics can't be encoded", kv: { reason = reason.as_str() });
                Response::new(StatusCode::InternalServerError)
            }
        };
        Box::pin(async move { response })
    }
}

fn caller_handler(
    host: Arc<entry_host::EntryHost>,
    open_calls: Arc<AtomicUsize>,
) -> impl Fn(server::BufferedRequest) -> ResponseFuture + Clone + Send + Sync + 'static {
    move |request| {
        let host = Arc::clone(&host);
        let open_calls = Arc::clone(&open_calls);
        open_calls.fetch_add(1, Ordering::AcqRel);
        Box::pin(async move {
            let reply = host.gateway.answer(calls::decode(&request)).await;
            let mut response = calls::encode(&reply);
            if host.is_leaving() {
                response.insert_header("connection", "close");
            }
            open_calls.fetch_sub(1, Ordering::AcqRel);
            response
        })
    }
}

/// Reads the settings file again and only logs whether the settings have changed. They take effect
/// at the next start; the addresses, for one, are bound for the life of the process.
fn check_settings_file(settings: &settings::Settings, settings_path: &Path) {
    match settings_file::read(settings_path) {
        Ok(mut newer) => {
            // Options of the command line; the file doesn't have them.
            newer.store_path = settings.store_path;
            newer.jobs.reachability = settings.jobs.reachability;
            newer.jobs.last_attempt = settings.jobs.last_attempt;
            newer.jobs.takeover = settings.jobs.takeover;
            newer.jobs.learned_state = settings.jobs.learned_state;
            newer.jobs.interference = settings.jobs.interference;
            newer.jobs.fair_shares = settings.jobs.fair_shares;
            let is_same = format!("{newer:?}") == format!("{settings:?}");
            spdlog::info!("settings read again", kv: { is_same });
        }
        Err(error) => {
            let reason = format!("{error:#}");
            spdlog::error!("settings can't be read again", kv: { reason = reason.as_str() });
        }
    }
}

/// Shuts the host down. Serves callers for at least [`SERVE_AFTER_UNREADY_MIN`] and until all open
/// calls are answered and the host has stopped scheduling and tried to release its lease, but only
/// until the grace time is nearly over.
async fn leave(
    host: &entry_host::EntryHost,
    open_calls: &AtomicUsize,
    settings: &settings::Settings,
    clock: &clock::Clock,
) {
    let started = clock.now();
    host.leave();
    spdlog::info!("entry host leaves", kv: { open_calls = open_calls.load(Ordering::Acquire) });
    let limit = Duration::from_millis(settings.shutdown_grace_ms).saturating_sub(SHUTDOWN_MARGIN);
    loop {
        let elapsed = clock.now().since(started);
        let is_idle = open_calls.load(Ordering::Acquire) == 0 && host.has_left();
        if elapsed >= limit || (elapsed >= SERVE_AFTER_UNREADY_MIN && is_idle) {
            break;
        }
        clock.sleep(POLL_INTERVAL).await;
    }
    spdlog::info!("entry host stopped", kv: { open_calls = open_calls.load(Ordering::Acquire) });
}
