//! An HTTP server with limits on connections, request bodies and time.

use std::future::Future;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_telemetry::traces;
use http_types::{Request, Response, StatusCode};

use crate::{meter, stream_timeout};

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which the server keeps reading the rest of a body that it has rejected. If it closed
/// the connection at once, a peer that is still sending would lose the response.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Limits of a server. In addition, async-h1 limits the headers of a request to 60 s and 8 KiB.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open connections; further ones are closed without a response.
    pub connections_max: usize,
    /// Maximum length of a request body, in bytes.
    pub body_max_bytes: u64,
    /// Time limit for reading a request body.
    pub body_timeout: Duration,
    /// Time after which a write fails if the peer has read nothing more of the response.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections_max: 1024,
            body_max_bytes: 2 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// A request whose body has been read into memory, or could not be read.
#[derive(Debug)]
pub struct BufferedRequest {
    /// The method, path and headers.
    pub head: Request,
    /// The body, or the reason why it was not read. If it was not read, the connection is closed
    /// after the response.
    pub body: Result<Vec<u8>, BodyError>,
}

impl BufferedRequest {
    /// Returns the trace context of the request, if it has a valid one.
    pub fn trace(&self) -> Option<traces::SpanContext> {
        self.head
            .header(traces::TRACEPARENT)
            .and_then(|values| traces::parse_traceparent(values.as_str()))
    }
}

/// The reason why a request body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The body is longer than [`Limits::body_max_bytes`].
    #[error("the body is over the size limit")]
    TooLarge,
    /// The body ended early, could not be read or took longer than [`Limits::body_timeout`].
    #[error("the body ended early or took too long")]
    Incomplete,
}

/// Accepts connections from `listener` and serves them with `handler`, until the returned future is
/// dropped. Connections that are already open are still served after that.
pub async fn serve<H, F>(
    listener: TcpListener,
    clock: clock::Clock,
    limits: Limits,
    meter: Arc<meter::Meter>,
    handler: H,
) where
    H: Fn(BufferedRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let open_count = Arc::new(AtomicUsize::new(0));
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                clock.sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let slot = match ConnectionSlot::acquire(&open_count, limits.connections_max) {
            Some(slot) => slot,
            None => continue,
        };
        let stream = meter::MeteredStream::new(stream, Arc::clone(&meter));
        let open_stream = stream.clone();
        let connection = serve_connection(stream, clock.clone(), limits, handler.clone());
        task::spawn(async move {
            connection.await;
            // Frees the slot before the socket is closed, so that a peer that sees its connection
            // close can connect again at once.
            drop(slot);
            drop(open_stream);
        });
    }
}

/// A slot for one open connection, which is freed when it is dropped.
struct ConnectionSlot {
    open_count: Arc<AtomicUsize>,
}

impl ConnectionSlot {
    fn acquire(open_count: &Arc<AtomicUsize>, connections_max: usize) -> Option<Self> {
        let before = open_count.fetch_add(1, Ordering::AcqRel);
        let slot = Self {
            open_count: Arc::clone(open_count),
        };
        (before < connections_max).then_some(slot)
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn serve_connection<H, F>(
    stream: meter::MeteredStream,
    clock: clock::Clock,
    limits: Limits,
    handler: H,
) where
    H: Fn(BufferedRequest) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    if set_nodelay(stream.get_ref()).is_err() {
        return;
    }
    let read_deadline = stream_timeout::ReadDeadline::default();
    let stream = stream_timeout::TimeoutStream::new(
        stream,
        clock.clone(),
        limits.write_timeout,
        Arc::clone(&read_deadline),
    );
    let handle_request = |mut head: Request| {
        let clock = clock.clone();
        let handler = handler.clone();
        let read_deadline = Arc::clone(&read_deadline);
        async move {
            let body = read_body(&mut head, &clock, limits).await;
            let is_body_unread = body.is_err();
            if is_body_unread {
                // Fails if the deadline is already set, which then stays in force.
                let _ = read_deadline.set(clock.now().plus(LINGER_TIME));
            }
            let mut response = handler(BufferedRequest { head, body }).await;
            if is_body_unread {
                response.insert_header("connection", "close");
            }
            Ok(response)
        }
    };
    // An error ends only this connection.
    let _ = async_h1::accept(stream, handle_request).await;
}

fn set_nodelay(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)
}

async fn read_body(
    head: &mut Request,
    clock: &clock::Clock,
    limits: Limits,
) -> Result<Vec<u8>, BodyError> {
    let source = head.take_body();
    match source.len() {
        Some(length) if length as u64 > limits.body_max_bytes => return Err(BodyError::TooLarge),
        _ => {}
    }
    let mut body = Vec::new();
    let mut limited = source.take(limits.body_max_bytes + 1);
    let reading = limited.read_to_end(&mut body);
    match clock.timeout(limits.body_timeout, reading).await {
        Ok(Ok(_)) if body.len() as u64 > limits.body_max_bytes => Err(BodyError::TooLarge),
        Ok(Ok(_)) => Ok(body),
        Ok(Err(_)) | Err(_) => Err(BodyError::Incomplete),
    }
}

/// Returns a response with a JSON body.
///
/// If `value` can't be serialized, the response has status 500 and an empty body.
pub fn json_response<T: serde::Serialize>(status: StatusCode, value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(status);
            response.set_body(body);
            response.insert_header("content-type", "application/json");
            response
        }
        Err(_) => Response::new(StatusCode::InternalServerError),
    }
}
