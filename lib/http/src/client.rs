//! An HTTP client that reuses connections and whose errors tell whether the request may have been
//! received.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpStream;
use camphorbeam_clock as clock;
use camphorbeam_clock::transfer;
use camphorbeam_telemetry::traces::{self, FutureExt as _};
use http_types::{Method, StatusCode, Url};

use crate::meter;

/// Number of bytes after which reading a response body stops. A longer body fails if its length is
/// declared, with an error that says that it ended. A longer chunked body is returned truncated as
/// if it were complete, and its connection is reused.
pub const RESPONSE_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Maximum duration of an exchange whose response arrives without a pause: 1.5 MB, more than the
/// platform puts into one response, take as long on a link of 1 Mbit/s.
pub const TRANSFER_MAX: Duration = Duration::from_secs(12);

/// Size of the buffer that a response body is read through.
const READ_BYTES: usize = 8 * 1024;

/// Maximum number of idle connections kept for one address.
const IDLE_PER_ADDRESS_MAX: usize = 4;

/// A failed exchange of a request and its response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request was sent, so the server can't have acted on it.
    #[error("{address} was not reached: {reason}")]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// The cause of the failure.
        reason: String,
    },
    /// No complete response arrived. The server may have received the request and acted on it.
    #[error("no whole answer from {address}: {reason}")]
    NoResponse {
        /// Address of the server.
        address: SocketAddr,
        /// The cause of the failure.
        reason: String,
    },
}

/// A request to send with [`HttpClient::send`].
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Address of the server.
    pub address: SocketAddr,
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: &'a str,
    /// The body; if empty, the request has none.
    pub body: Vec<u8>,
    /// Additional headers, with names in lower case.
    pub headers: Vec<(&'static str, String)>,
    /// Timeout of the whole exchange, including connection setup.
    pub timeout: Duration,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    pub body: Vec<u8>,
}

/// An HTTP client with a pool of idle connections.
#[derive(Debug)]
pub struct HttpClient {
    clock: clock::Clock,
    meter: Arc<meter::Meter>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<meter::MeteredStream>>>,
}

impl HttpClient {
    /// Creates a client that counts the bytes of its connections on `meter`.
    pub fn new(clock: clock::Clock, meter: Arc<meter::Meter>) -> Self {
        Self {
            clock,
            meter,
            idle: Mutex::new(BTreeMap::new()),
        }
    }

    /// Sends `call` and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotSent`] only if no byte of the request was sent, and
    /// [`ExchangeError::NoResponse`] after any other failure.
    pub async fn send(&self, call: Call<'_>) -> Result<Response, ExchangeError> {
        let limits = transfer::Limits::whole(call.timeout);
        let progress = transfer::Progress::default();
        let span = call_span(&call);
        let sending = self.send_untraced(call, limits, &progress);
        sending.in_span(span).await
    }

    /// Sends `call` like [`Self::send`], but for a response whose size isn't bounded: its timeout
    /// applies from the start to the first byte of the response's body and between two of them,
    /// and [`TRANSFER_MAX`] to the whole exchange. Records on `progress` how the body arrives.
    ///
    /// # Errors
    ///
    /// Fails like [`Self::send`].
    pub async fn send_recorded(
        &self,
        call: Call<'_>,
        progress: &transfer::Progress,
    ) -> Result<Response, ExchangeError> {
        let limits = transfer::Limits {
            silence_max: call.timeout,
            whole_max: TRANSFER_MAX,
        };
        let span = call_span(&call);
        self.send_untraced(call, limits, progress)
            .in_span(span)
            .await
    }

    async fn send_untraced(
        &self,
        call: Call<'_>,
        limits: transfer::Limits,
        progress: &transfer::Progress,
    ) -> Result<Response, ExchangeError> {
        let started = self.clock.now();
        let address = call.address;
        let connecting = self.clock.timeout(call.timeout, self.connection(address));
        let stream = match connecting.await {
            Ok(connected) => connected?,
            Err(elapsed) => return Err(not_sent(address, elapsed)),
        };
        stream.begin_exchange();
        // On the heap, since callers keep their calls on the stack, some of them nested.
        let exchange = Box::pin(exchange(stream.clone(), call, &self.clock, progress));
        let exchange = self
            .clock
            .limit_transfer(limits, started, progress, exchange);
        match exchange.await {
            Ok(Ok((reply, true))) => {
                self.put_idle(address, stream);
                Ok(reply)
            }
            Ok(Ok((reply, false))) => Ok(reply),
            Ok(Err(error)) if !stream.has_sent() => Err(not_sent(address, error)),
            Ok(Err(error)) => Err(no_response(address, error)),
            Err(elapsed) => Err(no_response(address, elapsed)),
        }
    }

    async fn connection(&self, address: SocketAddr) -> Result<meter::MeteredStream, ExchangeError> {
        while let Some(stream) = self.take_idle(address) {
            if is_usable(&stream).await {
                return Ok(stream);
            }
        }
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| not_sent(address, error))?;
        stream
            .set_nodelay(true)
            .map_err(|error| not_sent(address, error))?;
        Ok(meter::MeteredStream::new(stream, Arc::clone(&self.meter)))
    }

    fn take_idle(&self, address: SocketAddr) -> Option<meter::MeteredStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address).and_then(Vec::pop)
    }

    fn put_idle(&self, address: SocketAddr, stream: meter::MeteredStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.entry(address).or_default();
        if streams.len() < IDLE_PER_ADDRESS_MAX {
            streams.push(stream);
        }
    }
}

/// Starts the span of a call as a child of the current span. Without a current span, as in periodic
/// work, no span is started.
fn call_span(call: &Call<'_>) -> traces::Span {
    let method = call.method;
    let address = call.address;
    let path = call.path;
    traces::child_span("http.call").with_properties(|| {
        [
            ("method", method.to_string()),
            ("address", address.to_string()),
            ("path", path.to_owned()),
        ]
    })
}

/// Returns whether an idle connection is open and has no unread data.
async fn is_usable(stream: &meter::MeteredStream) -> bool {
    let mut probe = [0_u8; 1];
    let peek = stream.get_ref().peek(&mut probe);
    let mut peek = std::pin::pin!(peek);
    std::future::poll_fn(|context| std::task::Poll::Ready(peek.as_mut().poll(context).is_pending()))
        .await
}

async fn exchange(
    stream: meter::MeteredStream,
    call: Call<'_>,
    clock: &clock::Clock,
    progress: &transfer::Progress,
) -> http_types::Result<(Response, bool)> {
    let url = Url::parse(&format!("http://{}{}", call.address, call.path))?;
    let mut request = http_types::Request::new(call.method, url);
    for (name, value) in &call.headers {
        request.insert_header(*name, value.as_str());
    }
    if let Some(traceparent) = traces::current_traceparent() {
        request.insert_header(traces::TRACEPARENT, traceparent);
    }
    if !call.body.is_empty() {
        request.set_body(call.body);
        // The library adds a default content type. Both sides know the type of each body, mostly
        // JSON, so the header is omitted to save bytes.
        request.remove_header("content-type");
    }
    let mut response = async_h1::connect(stream, request).await?;
    let is_reusable = response
        .header("connection")
        .is_none_or(|value| !value.as_str().eq_ignore_ascii_case("close"));
    if !is_body_delimited(&response) {
        return Err(http_types::format_err!(
            "the answer does not state its length"
        ));
    }
    let source = response.take_body();
    let declared_bytes = source.len();
    let body = read_body(source.take(RESPONSE_MAX_BYTES), clock, progress).await?;
    match declared_bytes {
        Some(declared) if declared != body.len() => Err(http_types::format_err!(
            "the answer ended after {} of {declared} bytes",
            body.len()
        )),
        _ => {
            let status = response.status();
            Ok((Response { status, body }, is_reusable))
        }
    }
}

async fn read_body(
    mut source: impl async_std::io::Read + Unpin,
    clock: &clock::Clock,
    progress: &transfer::Progress,
) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let length = source.read(&mut buffer).await?;
        if length == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&buffer[..length]);
        progress.record(clock.now(), length as u64);
    }
}

/// Returns whether the response marks the end of its body, so that a body cut short by a closed
/// connection can be detected.
fn is_body_delimited(response: &http_types::Response) -> bool {
    let is_bodiless = matches!(
        response.status(),
        StatusCode::NoContent | StatusCode::NotModified
    );
    is_bodiless
        || response.header("content-length").is_some()
        || response.header("transfer-encoding").is_some()
}

fn not_sent(address: SocketAddr, reason: impl ToString) -> ExchangeError {
    ExchangeError::NotSent {
        address,
        reason: reason.to_string(),
    }
}

fn no_response(address: SocketAddr, reason: impl ToString) -> ExchangeError {
    ExchangeError::NoResponse {
        address,
        reason: reason.to_string(),
    }
}
