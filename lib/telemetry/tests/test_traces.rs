//! Trace contexts, and spans in a trace file.

use camphorbeam_telemetry::trace_file::{self, SpanLine};
use camphorbeam_telemetry::traces;
use rstest::rstest;

const TRACEPARENT: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

#[rstest]
fn test_traces_context_is_read_and_written() {
    let context = traces::parse_traceparent(TRACEPARENT).expect("a valid context");

    assert_eq!(context.encode_w3c_traceparent(), TRACEPARENT);
}

#[rstest]
#[case::empty("")]
#[case::other_version("01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
#[case::zero_trace("00-00000000000000000000000000000000-b7ad6b7169203331-01")]
#[case::zero_span("00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01")]
#[case::too_short("00-0af7651916cd43dd8448eb211c80319-b7ad6b7169203331-01")]
#[case::too_long("00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-")]
#[case::not_hexadecimal("00-xaf7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")]
#[case::not_ascii("00-0af7651916cd43dd8448eb211c8031é-b7ad6b7169203331-01")]
fn test_traces_malformed_context_is_none(#[case] text: &str) {
    assert!(traces::parse_traceparent(text).is_none());
}

#[rstest]
#[case::short("path", 4)]
#[case::long(&"x".repeat(1_000), traces::PROPERTY_MAX_BYTES)]
#[case::within_a_character(&format!("x{}", "\u{e9}".repeat(1_000)), traces::PROPERTY_MAX_BYTES - 1)]
fn test_traces_long_property_is_truncated(#[case] text: &str, #[case] bytes: usize) {
    let truncated = traces::truncate(text);

    assert_eq!(truncated.len(), bytes);
    assert!(text.starts_with(&truncated));
}

fn remote_parent() -> Option<traces::SpanContext> {
    traces::parse_traceparent(TRACEPARENT)
}

/// A process can start only one recording, so this test covers everything that needs one.
#[rstest]
fn test_traces_spans_are_written_with_their_parents() {
    assert!(
        traces::SpanContext::from_span(&traces::start_or_continue_trace("off", None)).is_none()
    );
    let propagated =
        traces::SpanContext::from_span(&traces::start_or_continue_trace("off", remote_parent()));
    let propagated = propagated.expect("the parent's trace is continued");
    assert_eq!(
        Some(propagated.trace_id),
        remote_parent().map(|parent| parent.trace_id)
    );
    let name = format!("camphorbeam-spans-{}.jsonl", std::process::id());
    let path = std::env::temp_dir().join(name);
    let recording = trace_file::start(path.to_str().expect("a UTF-8 path"), "here")
        .expect("the file opens")
        .expect("a path was given");
    {
        let outer = traces::continue_trace("outer", remote_parent());
        let _parent = outer.set_local_parent();
        traces::add_property(traces::REQUEST, "r1");
        let _inner = traces::child_span("inner");
    }
    drop(traces::continue_trace("none", None));
    let unsampled = remote_parent().map(|parent| parent.sampled(false));
    drop(traces::continue_trace("unsampled", unsampled));
    recording.flush();

    let text = std::fs::read_to_string(&path).expect("the file is there");
    std::fs::remove_file(&path).expect("the file can be removed");
    let lines: Vec<SpanLine> = text
        .lines()
        .map(|line| serde_json::from_str(line).expect("a span"))
        .collect();
    let outer = lines.iter().find(|line| line.name == "outer");
    let inner = lines.iter().find(|line| line.name == "inner");
    let (outer, inner) = (outer.expect("outer"), inner.expect("inner"));
    assert_eq!(lines.len(), 2);
    assert_eq!(outer.trace, "0af7651916cd43dd8448eb211c80319c");
    assert_eq!(outer.parent, "b7ad6b7169203331");
    assert_eq!(outer.process, "here");
    assert_eq!(outer.properties["request"], "r1");
    assert_eq!(inner.trace, outer.trace);
    assert_eq!(inner.parent, outer.span);
    assert_eq!(inner.properties["request"], "r1", "inherited");
    assert_eq!(recording.dropped_count(), 0);
}
