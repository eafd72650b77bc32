//! Spans that do nothing, for builds without the feature `traces`. The signatures are those that
//! [`traces`](crate::traces) takes from fastrace.

use std::future::Future;

/// The context of a span. Never exists, since no span is recorded.
#[derive(Clone, Copy, Debug)]
pub enum SpanContext {}

impl SpanContext {
    /// Returns `None`.
    pub fn from_span(_span: &Span) -> Option<Self> {
        None
    }

    /// Returns `None`.
    pub fn current_local_parent() -> Option<Self> {
        None
    }

    /// Returns `None`.
    pub fn decode_w3c_traceparent(_traceparent: &str) -> Option<Self> {
        None
    }

    /// Can't be called, since no context exists.
    pub fn encode_w3c_traceparent(&self) -> String {
        match *self {}
    }
}

/// A span that records nothing.
#[derive(Debug, Default)]
pub struct Span;

impl Span {
    /// Returns a span that records nothing.
    pub fn noop() -> Self {
        Self
    }

    /// Can't be called, since no context exists.
    pub fn root(_name: &'static str, parent: SpanContext) -> Self {
        match parent {}
    }

    /// Returns a span that records nothing.
    pub fn enter_with_parent(_name: &'static str, _parent: &Self) -> Self {
        Self
    }

    /// Returns a span that records nothing.
    pub fn enter_with_local_parent(_name: &'static str) -> Self {
        Self
    }

    /// Returns the span unchanged.
    #[must_use]
    pub fn with_property<K, V>(self, _property: impl FnOnce() -> (K, V)) -> Self {
        self
    }

    /// Returns the span unchanged.
    #[must_use]
    pub fn with_properties<K, V, I: IntoIterator<Item = (K, V)>>(
        self,
        _properties: impl FnOnce() -> I,
    ) -> Self {
        self
    }

    /// Does nothing.
    pub fn add_property<K, V>(&self, _property: impl FnOnce() -> (K, V)) {}

    /// Does nothing.
    pub fn set_local_parent(&self) {}

    /// Can't be called, since no context exists.
    pub fn add_link(&self, link: SpanContext) {
        match link {}
    }
}

/// The span of the current task, which records nothing.
#[derive(Debug)]
pub struct LocalSpan;

impl LocalSpan {
    /// Does nothing.
    pub fn add_property<K, V>(_property: impl FnOnce() -> (K, V)) {}
}

/// Runs futures in spans.
pub trait FutureExt: Future + Sized {
    /// Returns the future unchanged.
    fn in_span(self, _span: Span) -> Self {
        self
    }
}

impl<F: Future> FutureExt for F {}

/// The trace file, which this build can't write.
pub mod trace_file {
    /// The recording of spans; this build has none.
    #[derive(Debug)]
    pub struct Recording;

    /// Records nothing and returns `None`.
    ///
    /// # Errors
    ///
    /// Returns an error if a trace file is asked for.
    pub fn start(path: &str, _process: &str) -> anyhow::Result<Option<Recording>> {
        anyhow::ensure!(
            path.is_empty(),
            "trace file {path} can't be written: this build records no spans (hint: build with \
             the feature `traces`)"
        );
        Ok(None)
    }
}
