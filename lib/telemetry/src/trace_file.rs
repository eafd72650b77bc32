//! Writes finished spans to a file as lines of JSON.
//!
//! The queue to the writer thread is bounded, and spans are dropped when it is full. A slow or full
//! file therefore loses spans, but neither delays the traced work nor uses more memory.

use std::borrow::Cow;
use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use anyhow::Context as _;
use fastrace::collector::{Config, Reporter, SpanContext, SpanRecord};

use crate::traces;

/// Path that stands for standard error.
pub const STANDARD_ERROR: &str = "-";

/// Maximum number of spans queued for the writer thread; further spans are dropped.
const QUEUE_MAX: usize = 8_192;

/// Maximum number of bytes written to the trace file by one process; further spans are dropped.
const FILE_MAX_BYTES: u64 = 256 * 1024 * 1024;

/// Maximum number of ancestors searched for the request id of a span.
const ANCESTORS_MAX: usize = 32;

/// Interval at which finished spans are collected.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum time for which [`Recording::flush`] waits until the queued spans are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// A finished span as a line of the trace file.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct SpanLine {
    /// Id of the trace, in hexadecimal.
    pub trace: String,
    /// Id of the span, in hexadecimal.
    pub span: String,
    /// Id of the parent span, in hexadecimal; zeros for the root span of a trace.
    pub parent: String,
    /// Name of the operation.
    pub name: String,
    /// The process that recorded the span.
    pub process: String,
    /// Start time, in nanoseconds since the Unix epoch.
    pub begun_at_unix_ns: u64,
    /// Duration, in nanoseconds.
    pub duration_ns: u64,
    /// Values of the properties by name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub properties: BTreeMap<String, String>,
    /// Spans of other traces that this operation also served, as W3C trace contexts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub links: Vec<String>,
}

enum Message {
    Span(Box<SpanLine>),
    Flush(mpsc::SyncSender<()>),
}

/// The recording of spans of this process. Dropping it writes out the queued spans.
#[derive(Debug)]
pub struct Recording {
    messages: mpsc::SyncSender<Message>,
    dropped_count: Arc<AtomicU64>,
}

/// Starts to record the spans of this process, under the name `process`. Appends them to the file
/// `path`, or writes them to standard error if `path` is [`STANDARD_ERROR`]. If `path` is empty, no
/// spans are recorded and the result is `None`.
///
/// A process can start only one recording.
///
/// # Errors
///
/// Returns an error if the file can't be opened or the writer thread can't be started.
pub fn start(path: &str, process: &str) -> anyhow::Result<Option<Recording>> {
    let output: Box<dyn Write + Send> = match path {
        "" => return Ok(None),
        STANDARD_ERROR => Box::new(std::io::stderr()),
        path => Box::new(open(path)?),
    };
    Ok(Some(start_recording(output, process)?))
}

fn open(path: &str) -> anyhow::Result<std::fs::File> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .with_context(|| format!("can't open trace file {path} (hint: see --trace-file)"))
}

fn start_recording(output: Box<dyn Write + Send>, process: &str) -> anyhow::Result<Recording> {
    let (messages, queue) = mpsc::sync_channel(QUEUE_MAX);
    let dropped_count = Arc::new(AtomicU64::new(0));
    let writer = Writer {
        output: BufWriter::new(output),
        remaining_bytes: FILE_MAX_BYTES,
        dropped_count: Arc::clone(&dropped_count),
    };
    std::thread::Builder::new()
        .name("trace-file".to_owned())
        .spawn(move || writer.run(&queue))?;
    let reporter = QueueReporter {
        process: process.to_owned(),
        messages: messages.clone(),
        dropped_count: Arc::clone(&dropped_count),
    };
    let config = Config::default().report_interval(REPORT_INTERVAL);
    fastrace::set_reporter(reporter, config);
    traces::set_recording();
    Ok(Recording {
        messages,
        dropped_count,
    })
}

impl Recording {
    /// Returns the number of spans dropped so far.
    pub fn dropped_count(&self) -> u64 {
        self.dropped_count.load(Ordering::Relaxed)
    }

    /// Writes out all finished spans, or gives up after a time limit. Returns at once, without
    /// waiting for the spans, if the queue to the writer thread is full.
    pub fn flush(&self) {
        fastrace::flush();
        let (done, done_receiver) = mpsc::sync_channel(1);
        if self.messages.try_send(Message::Flush(done)).is_ok() {
            // On a timeout, the process goes on without waiting for the spans.
            let _ = done_receiver.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

impl Drop for Recording {
    fn drop(&mut self) {
        self.flush();
        let dropped_count = self.dropped_count();
        if dropped_count > 0 {
            spdlog::warn!("spans were dropped", kv: { dropped_count });
        }
    }
}

struct QueueReporter {
    process: String,
    messages: mpsc::SyncSender<Message>,
    dropped_count: Arc<AtomicU64>,
}

impl Reporter for QueueReporter {
    fn report(&mut self, mut spans: Vec<SpanRecord>) {
        inherit_requests(&mut spans);
        for span in spans {
            let line = Box::new(span_line(span, &self.process));
            if self.messages.try_send(Message::Span(line)).is_err() {
                self.dropped_count.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

/// Copies to each span without a request id the request id of its nearest ancestor that has one.
///
/// This works because fastrace reports the first span of a trace in this process in one batch with
/// all its descendants.
fn inherit_requests(spans: &mut [SpanRecord]) {
    let by_id: BTreeMap<u64, (u64, Option<Cow<'static, str>>)> = spans
        .iter()
        .map(|span| (span.span_id.0, (span.parent_id.0, request_id(span))))
        .collect();
    for span in spans {
        let own = by_id.get(&span.span_id.0);
        let mut ancestor = own.filter(|(_, request)| request.is_none());
        for _ in 0..ANCESTORS_MAX {
            ancestor = match ancestor {
                Some((parent, None)) => by_id.get(parent),
                _ => break,
            };
        }
        if let Some((_, Some(request))) = ancestor {
            let property = (Cow::Borrowed(traces::REQUEST), request.clone());
            span.properties.push(property);
        }
    }
}

fn request_id(span: &SpanRecord) -> Option<Cow<'static, str>> {
    let mut properties = span.properties.iter();
    let found = properties.find(|(key, _)| key == traces::REQUEST);
    found.map(|(_, value)| value.clone())
}

fn span_line(span: SpanRecord, process: &str) -> SpanLine {
    let properties = span.properties.into_iter();
    let links = span.links.iter();
    SpanLine {
        trace: span.trace_id.to_string(),
        span: span.span_id.to_string(),
        parent: span.parent_id.to_string(),
        name: span.name.into_owned(),
        process: process.to_owned(),
        begun_at_unix_ns: span.begin_time_unix_ns,
        duration_ns: span.duration_ns,
        properties: properties
            .map(|(key, value)| (key.into_owned(), value.into_owned()))
            .collect(),
        links: links.map(SpanContext::encode_w3c_traceparent).collect(),
    }
}

struct Writer {
    output: BufWriter<Box<dyn Write + Send>>,
    remaining_bytes: u64,
    dropped_count: Arc<AtomicU64>,
}

impl Writer {
    fn run(mut self, queue: &mpsc::Receiver<Message>) {
        while let Ok(first) = queue.recv() {
            self.handle(first);
            while let Ok(next) = queue.try_recv() {
                self.handle(next);
            }
            // If the file can't be written, only spans are lost.
            let _ = self.output.flush();
        }
    }

    fn handle(&mut self, message: Message) {
        match message {
            Message::Span(line) => self.write(&line),
            Message::Flush(done) => {
                let _ = self.output.flush();
                // The caller of `flush` may have stopped waiting.
                let _ = done.try_send(());
            }
        }
    }

    fn write(&mut self, line: &SpanLine) {
        let is_written = match serde_json::to_vec(line) {
            Ok(mut text) => {
                text.push(b'\n');
                self.write_within_limit(&text)
            }
            Err(_) => false,
        };
        if !is_written {
            self.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn write_within_limit(&mut self, text: &[u8]) -> bool {
        match self.remaining_bytes.checked_sub(text.len() as u64) {
            Some(remaining_bytes) => {
                self.remaining_bytes = remaining_bytes;
                self.output.write_all(text).is_ok()
            }
            None => false,
        }
    }
}
