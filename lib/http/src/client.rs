//! An HTTP client with idle connections that says, on failure, whether the request was sent.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::TcpStream;
use camphorbeam_clock as clock;
use camphorbeam_telemetry::traces::{self, FutureExt as _};
use http_types::{Method, StatusCode, Url};

use crate::meter;

/// Largest answer that the client reads, in bytes.
pub const REPLY_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// Idle connections kept for one address.
const IDLE_PER_ADDRESS_MAX: usize = 4;

/// How an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// No byte of the request has left: the other side can't have acted on it.
    #[error("{address} was not reached: {reason}")]
    NotSent {
        /// The other side.
        address: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The request may have been received and acted on.
    #[error("no whole answer from {address}: {reason}")]
    Unanswered {
        /// The other side.
        address: SocketAddr,
        /// What failed.
        reason: String,
    },
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// Where to.
    pub address: SocketAddr,
    /// The method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: &'a str,
    /// The body.
    pub body: Vec<u8>,
    /// Extra headers, lower-case names.
    pub headers: Vec<(&'static str, String)>,
    /// Limit for the whole exchange.
    pub timeout: Duration,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// The body.
    pub body: Vec<u8>,
}

/// A client with its idle connections.
#[derive(Debug)]
pub struct HttpClient {
    clock: clock::Clock,
    meter: Arc<meter::Meter>,
    idle: Mutex<BTreeMap<SocketAddr, Vec<meter::MeteredStream>>>,
}

impl HttpClient {
    /// A client whose bytes are counted on `meter`.
    pub fn new(clock: clock::Clock, meter: Arc<meter::Meter>) -> Self {
        Self {
            clock,
            meter,
            idle: Mutex::new(BTreeMap::new()),
        }
    }

    /// Sends `call` and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotSent`] only where nothing was sent.
    pub async fn send(&self, call: Call<'_>) -> Result<Reply, ExchangeError> {
        let span = call_span(&call);
        self.send_untraced(call).in_span(span).await
    }

    async fn send_untraced(&self, call: Call<'_>) -> Result<Reply, ExchangeError> {
        let started = self.clock.now();
        let address = call.address;
        let connecting = self.clock.timeout(call.timeout, self.connection(address));
        let stream = match connecting.await {
            Ok(connected) => connected?,
            Err(elapsed) => return Err(not_sent(address, elapsed)),
        };
        stream.begin_exchange();
        let remaining = call.timeout.saturating_sub(self.clock.now().since(started));
        let exchange = exchange(stream.clone(), call);
        match self.clock.timeout(remaining, exchange).await {
            Ok(Ok((reply, true))) => {
                self.put_idle(address, stream);
                Ok(reply)
            }
            Ok(Ok((reply, false))) => Ok(reply),
            Ok(Err(error)) if !stream.has_sent() => Err(not_sent(address, error)),
            Ok(Err(error)) => Err(unanswered(address, error)),
            Err(elapsed) => Err(unanswered(address, elapsed)),
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

/// The span of a call, within the span of the work at hand; no span for periodic work.
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

/// Whether the other side has neither closed an idle connection nor sent anything on it.
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
) -> http_types::Result<(Reply, bool)> {
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
        // The library states a type of its own; both sides agree on JSON, and each byte counts.
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
    let mut body = Vec::new();
    let source = response.take_body();
    let declared_bytes = source.len();
    source.take(REPLY_MAX_BYTES).read_to_end(&mut body).await?;
    match declared_bytes {
        Some(declared) if declared != body.len() => Err(http_types::format_err!(
            "the answer ended after {} of {declared} bytes",
            body.len()
        )),
        _ => {
            let status = response.status();
            Ok((Reply { status, body }, is_reusable))
        }
    }
}

/// Whether the end of the body can be told from a closed connection.
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

fn unanswered(address: SocketAddr, reason: impl ToString) -> ExchangeError {
    ExchangeError::Unanswered {
        address,
        reason: reason.to_string(),
    }
}
