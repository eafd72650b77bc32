//! `camphorbeam serve`: runs the entry host of `camphorbeam-server`, on the platform interface of
//! `camphorbeam-platform`, until SIGTERM, SIGINT or the operators' call `POST /v1/leave`. The
//! command `host` runs another one.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_placement::{default_policy, policy};
use camphorbeam_server::{election, entry_host, settings};
use camphorbeam_telemetry::{logs, trace_file};
use clap::ArgMatches;

use crate::exit;

/// Time between two checks for a signal or a requested shutdown.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry host until it is stopped, and returns the exit code.
pub fn run(matches: &ArgMatches) -> exit::Code {
    let settings = match settings::read(matches) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("camphorbeam serve: {error}");
            return exit::Code::Usage;
        }
    };
    let arg_text = |flag: &str| matches.get_one::<String>(flag).map_or("", String::as_str);
    let _recording = match start_telemetry(arg_text("log-level"), arg_text("trace-file"), &settings)
    {
        Ok(recording) => recording,
        Err(error) => {
            eprintln!("camphorbeam serve: {error:#}");
            return exit::Code::Usage;
        }
    };
    let threads = arg_text("threads");
    // Both async runtimes read their number of threads once, when the first task starts.
    std::env::set_var("ASYNC_STD_THREAD_COUNT", threads);
    std::env::set_var("TOKIO_WORKER_THREADS", threads);
    match task::block_on(serve(settings)) {
        Ok(()) => exit::Code::Success,
        Err(error) => {
            eprintln!("camphorbeam serve: {error:#}");
            exit::Code::Usage
        }
    }
}

/// Starts the log and, if `trace_path` isn't empty, the trace file. Dropping the returned recording
/// writes the remaining spans.
fn start_telemetry(
    log_level: &str,
    trace_path: &str,
    settings: &settings::Settings,
) -> anyhow::Result<Option<trace_file::Recording>> {
    logs::start(logs::parse_level(log_level)?)?;
    trace_file::start(trace_path, settings.host.as_str())
}

async fn serve(settings: settings::Settings) -> anyhow::Result<()> {
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&stop))?;
    }
    let clock = clock::Clock::system();
    let weights = settings.weights.clone();
    let make_policy: election::PolicyFactory = Arc::new(move || {
        Box::new(default_policy::DefaultPolicy::new(weights.clone())) as Box<dyn policy::Policy>
    });
    let host = entry_host::start(settings, clock.clone(), make_policy).await?;
    spdlog::info!(
        "entry host {} serves callers on {} and entry hosts on {}",
        host.core().settings.host,
        host.address,
        host.peer_address,
        kv: {
            host = host.core().settings.host.as_str(),
            zone = host.core().settings.zone.as_str(),
        }
    );
    while !stop.load(Ordering::Relaxed) && !host.core().shutdown.is_requested() {
        clock.sleep(SIGNAL_POLL_INTERVAL).await;
    }
    host.leave().await;
    Ok(())
}
