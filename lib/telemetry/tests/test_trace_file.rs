//! Trace files that can't be opened or written.

use std::time::{Duration, Instant};

use camphorbeam_telemetry::{trace_file, traces};
use rstest::rstest;

/// More spans than the queue holds.
const SPAN_COUNT: u64 = 20_000;

/// Time limit for recording the spans, which must not wait for the file.
const TIME_LIMIT: Duration = Duration::from_secs(10);

#[rstest]
fn test_trace_file_that_cannot_be_opened_is_an_error() {
    let result = trace_file::start("/nowhere/spans", "here");

    let error = result.expect_err("there is no such directory").to_string();
    assert!(error.contains("/nowhere/spans"), "{error}");
}

#[rstest]
fn test_trace_file_that_is_full_drops_spans() {
    let recording = trace_file::start("/dev/full", "here")
        .expect("can open")
        .expect("a path was given");
    let begun = Instant::now();

    for _ in 0..SPAN_COUNT {
        drop(traces::start_or_continue_trace("lost", None));
    }
    recording.flush();

    assert!(begun.elapsed() < TIME_LIMIT, "{:?}", begun.elapsed());
    assert!(recording.dropped_count() > 0, "lost spans are counted");
}
