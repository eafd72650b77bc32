//! Spans, and the W3C trace context that links the spans of several processes.
//!
//! The span of the work at hand is the local parent of its task: [`FutureExt::in_span`] makes it
//! so, and a spawned task starts without one. Periodic work has no local parent, so its messages
//! carry no trace context.

use std::sync::atomic::{AtomicBool, Ordering};

pub use fastrace::collector::SpanContext;
pub use fastrace::future::FutureExt;
use fastrace::local::LocalSpan;
pub use fastrace::Span;

/// HTTP header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Property with the id of the request that a span is about.
pub const REQUEST: &str = "request";

/// Property with the availability zone.
pub const ZONE: &str = "zone";

/// Property with the epoch of the scheduler lease.
pub const EPOCH: &str = "epoch";

/// Property with the number of the attempt.
pub const ATTEMPT: &str = "attempt";

static IS_RECORDING: AtomicBool = AtomicBool::new(false);

/// Whether this process records spans.
pub fn is_recording() -> bool {
    IS_RECORDING.load(Ordering::Relaxed)
}

pub(crate) fn set_recording() {
    IS_RECORDING.store(true, Ordering::Relaxed);
}

/// The span of received work: part of the sender's trace, or the first of a new one.
///
/// Without recording and without a sender's trace it is no span at all.
pub fn start_or_continue_trace(name: &'static str, parent: Option<SpanContext>) -> Span {
    match parent {
        Some(parent) => Span::root(name, parent),
        None if is_recording() => Span::root(name, SpanContext::random()),
        None => Span::noop(),
    }
}

/// The span of received work if its sender has a trace; else no span.
pub fn continue_trace(name: &'static str, parent: Option<SpanContext>) -> Span {
    match parent {
        Some(parent) => Span::root(name, parent),
        None => Span::noop(),
    }
}

/// A span within the span of the work at hand; no span if there is none.
pub fn child_span(name: &'static str) -> Span {
    Span::enter_with_local_parent(name)
}

/// Reads a trace context; one that is malformed counts as none.
pub fn parse_traceparent(traceparent: &str) -> Option<SpanContext> {
    match traceparent.is_ascii() && traceparent.len() == TRACEPARENT_BYTES {
        true => SpanContext::decode_w3c_traceparent(traceparent),
        false => None,
    }
}

/// Length of a trace context of version 00.
const TRACEPARENT_BYTES: usize = 55;

/// The trace context of the work at hand.
pub fn current_context() -> Option<SpanContext> {
    SpanContext::current_local_parent()
}

/// The trace context of the work at hand, as sent to another process.
pub fn current_traceparent() -> Option<String> {
    current_context().map(|context| context.encode_w3c_traceparent())
}

/// Longest text from outside that a property takes, in bytes.
pub const PROPERTY_MAX_BYTES: usize = 256;

/// `text` as a property: cut at [`TEXT_MAX_BYTES`], since its sender is free in its length.
pub fn truncate(text: &str) -> String {
    let mut end = text.len().min(PROPERTY_MAX_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}

/// Adds a property to the span of the work at hand.
pub fn add_property(key: &'static str, value: impl ToString) {
    LocalSpan::add_property(|| (key, value.to_string()));
}
