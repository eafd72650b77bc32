//! Structured logs: one JSON object per line, on standard error or standard output.
//!
//! The object `kv` contains the fields of a line, among them `request`, `zone` and `epoch` where
//! they are known. Tokens, secrets, payloads and answers are never logged.

use std::num::NonZeroUsize;
use std::sync::Arc;

use anyhow::Context as _;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::{AsyncPoolSink, OverflowPolicy, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger, ThreadPool};

/// The log level if none is configured.
pub const LEVEL_DEFAULT: &str = "info";

/// Parses the name of a log level: critical, error, warn, info, debug or trace, in any case. `off`,
/// in lower case, disables logging.
///
/// # Errors
///
/// Returns an error if `name` is not a log level. Its text has no subject, as some callers put the
/// setting and its value in front.
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

/// Writes log lines of `level` and above to standard error. Blocks the caller while standard error
/// accepts no more data; [`start_nonblocking`] drops lines instead.
///
/// # Errors
///
/// Returns an error if the logger can't be built.
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

/// Maximum number of lines queued for standard output; further lines are dropped.
const QUEUE_MAX_LINES: usize = 4_096;

/// Writes log lines of `level` and above to standard output without blocking the caller. Lines are
/// dropped while the queue is full.
///
/// # Errors
///
/// Returns an error if the logger can't be built.
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
