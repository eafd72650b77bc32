//! Runs the demo: applies a small sheet, submits a list of jobs to entry hosts with a fake platform
//! and fake backend servers, prints where each job ran, and explains one request. Exits when done.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_telemetry::logs;
use camphorbeam_testing::demo;

/// Timeout of the whole demo.
const RUN_TIMEOUT: Duration = Duration::from_secs(60);

fn main() -> anyhow::Result<()> {
    std::env::set_var("ASYNC_STD_THREAD_COUNT", "4");
    std::env::set_var("TOKIO_WORKER_THREADS", "2");
    logs::start(logs::parse_level("warn")?)?;
    let clock = clock::Clock::system();
    let run = demo::run(clock.clone(), Arc::new(|line| println!("{line}")));
    task::block_on(clock.timeout(RUN_TIMEOUT, run)).context("the demo did not finish in time")?
}
