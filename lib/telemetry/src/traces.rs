//! Spans, and the W3C trace context that connects the spans of several processes.
//!
//! The current span of a task is its local parent, which [`FutureExt::in_span`] sets. A spawned
//! task starts without a local parent. Periodic work has none, so its messages carry no trace
//! context.

use std::sync::atomic::{AtomicBool, Ordering};

#[cfg(feature = "traces")]
pub use fastrace::{collector::SpanContext, future::FutureExt, local::LocalSpan, Span};

#[cfg(not(feature = "traces"))]
pub use crate::untraced::{FutureExt, LocalSpan, Span, SpanContext};

/// HTTP header that carries the trace context.
pub const TRACEPARENT: &str = "traceparent";

/// Property with the id of the request that a span is about.
pub const REQUEST: &str = "request";

/// Property with the availability zone.
pub const ZONE: &str = "zone";

/// Property with the epoch of the scheduler lease.
pub const EPOCH: &str = "epoch";

/// Property with the number of the attempt of a request.
pub const ATTEMPT: &str = "attempt";

static IS_RECORDING: AtomicBool = AtomicBool::new(false);

/// Returns whether this process records spans.
pub fn is_recording() -> bool {
    IS_RECORDING.load(Ordering::Relaxed)
}

#[cfg(feature = "traces")]
pub(crate) fn set_recording() {
    IS_RECORDING.store(true, Ordering::Relaxed);
}

/// Starts a span that continues the trace of `parent` or, without a parent, is the root span of a
/// new trace.
///
/// Returns a no-op span if there is no parent and this process does not record spans.
pub fn start_or_continue_trace(name: &'static str, parent: Option<SpanContext>) -> Span {
    match parent {
        Some(parent) => Span::root(name, parent),
        #[cfg(feature = "traces")]
        None if is_recording() => Span::root(name, SpanContext::random()),
        None => Span::noop(),
    }
}

/// Starts a span that continues the trace of `parent`. Returns a no-op span if there is no parent.
pub fn continue_trace(name: &'static str, parent: Option<SpanContext>) -> Span {
    match parent {
        Some(parent) => Span::root(name, parent),
        None => Span::noop(),
    }
}

/// Starts a child span of the current span. Returns a no-op span if there is no current span.
pub fn child_span(name: &'static str) -> Span {
    Span::enter_with_local_parent(name)
}

/// Parses a trace context. Returns `None` if it is malformed.
pub fn parse_traceparent(traceparent: &str) -> Option<SpanContext> {
    match traceparent.is_ascii() && traceparent.len() == TRACEPARENT_BYTES {
        true => SpanContext::decode_w3c_traceparent(traceparent),
        false => None,
    }
}

/// Length of a trace context of version 00, in bytes.
const TRACEPARENT_BYTES: usize = 55;

/// Returns the trace context of the current span.
pub fn current_context() -> Option<SpanContext> {
    SpanContext::current_local_parent()
}

/// Returns the trace context of the current span, encoded for the `traceparent` header.
pub fn current_traceparent() -> Option<String> {
    current_context().map(|context| context.encode_w3c_traceparent())
}

/// Maximum length of a property with text from a caller, in bytes.
pub const PROPERTY_MAX_BYTES: usize = 256;

/// Truncates `text` to at most [`PROPERTY_MAX_BYTES`], at a character boundary. Callers can send
/// text of any length.
pub fn truncate(text: &str) -> String {
    let mut end = text.len().min(PROPERTY_MAX_BYTES);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text[..end].to_owned()
}

/// Adds a property to the current span.
pub fn add_property(key: &'static str, value: impl ToString) {
    LocalSpan::add_property(|| (key, value.to_string()));
}
