//! Structured logs: one JSON object a line, on standard error or standard output.
//!
//! Fields go into `kv`: `request`, `zone` and `epoch` where they are known. Tokens, secrets,
//! payloads and answers are never logged.

use std::num::NonZeroUsize;
use std::sync::Arc;

use anyhow::Context as _;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// Level of logs that nobody has set.
pub const LEVEL_DEFAULT: &str = "info";

/// Reads the name of a level; `off` logs nothing.
///
/// # Errors
///
/// Fails for any other name.
pub fn parse_level(name: &str) -> anyhow::Result<LevelFilter> {
    match name {
        "off" => Ok(LevelFilter::Off),
        name => {
            let level: Option<Level> = name.parse().ok();
            let level = level.context("is not a level (hint: info, warn, error, debug or off)")?;
            Ok(LevelFilter::MoreSevereEqual(level))
        }
    }
}

/// Sends the logs of this process to standard error, from `level` upwards.
///
/// # Errors
///
/// Fails if the logger can't be built.
pub fn start(level: LevelFilter) -> anyhow::Result<()> {
    let sink = StdStreamSink::builder()
        .stderr()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let logger = Logger::builder()
        .level_filter(level)
        .flush_level_filter(LevelFilter::All)
        .sink(sink)
        .build_arc()?;
    spdlog::set_default_logger(Arc::clone(&logger));
    Ok(())
}

/// Lines that may wait for standard output; further ones are dropped.
const QUEUE_MAX_LINES: usize = 4_096;

/// Sends the logs of this process to standard output, from `level` upwards, without ever waiting
/// for it: a line that finds the queue full is dropped.
///
/// # Errors
///
/// Fails if the logger can't be built.
pub fn start_nonblocking(level: LevelFilter) -> anyhow::Result<()> {
    let output = StdStreamSink::builder()
        .stdout()
        .formatter(JsonFormatter::new())
        .build_arc()?;
    let pool = ThreadPool::builder()
        .capacity(NonZeroUsize::new(QUEUE_MAX_LINES).unwrap_or(NonZeroUsize::MIN))
        .build_arc()?;
    let sink = AsyncPoolSink::builder()
        .sink(output)
        .thread_pool(pool)
        .overflow_policy(OverflowPolicy::DropIncoming)
        .build_arc()?;
    let logger = Logger::builder()
        .level_filter(level)
        .flush_level_filter(LevelFilter::All)
        .sink(sink)
        .build_arc()?;
    spdlog::set_default_logger(logger);
    Ok(())
}
