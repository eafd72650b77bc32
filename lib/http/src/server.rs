//! An HTTP server with bounds on connections, bodies and time.

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

/// Time to wait before the next accept after the listener failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for which the rest of a body is read after it was given up on. Closing at once would take
/// the answer from a peer that is still sending.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Bounds of a server. async-h1 adds its own: 60 s and 8 KiB for the headers of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Connections served at once; further ones are closed unserved.
    pub connections_max: usize,
    /// Largest accepted body, in bytes.
    pub body_max_bytes: u64,
    /// Time to read a body.
    pub body_timeout: Duration,
    /// Time in which the peer must take some more of an answer.
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

/// A request after its body was read.
#[derive(Debug)]
pub struct BufferedRequest {
    /// Method, path and headers.
    pub head: Request,
    /// The body, or why there is none. The connection closes after the answer to a failed read.
    pub body: Result<Vec<u8>, BodyError>,
}

impl BufferedRequest {
    /// The trace context that the request came with.
    pub fn trace(&self) -> Option<traces::SpanContext> {
        self.head
            .header(traces::TRACEPARENT)
            .and_then(|values| traces::parse_traceparent(values.as_str()))
    }
}

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// It is over [`Limits::body_max_bytes`].
    #[error("the body is over the size limit")]
    TooLarge,
    /// It ended early or took too long.
    #[error("the body ended early or took too long")]
    Incomplete,
}

/// Serves `listener` until the returned future is dropped.
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
            // A peer that sees its connection close finds the place free.
            drop(slot);
            drop(open_stream);
        });
    }
}

/// A counted place for a connection.
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
    if configure_socket(stream.get_ref()).is_err() {
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
                // The first end that is set stays.
                let _ = read_deadline.set(clock.now().plus(LINGER_TIME));
            }
            let mut response = handler(BufferedRequest { head, body }).await;
            if is_body_unread {
                response.insert_header("connection", "close");
            }
            Ok(response)
        }
    };
    // A broken connection concerns only its own peer.
    let _ = async_h1::accept(stream, handle_request).await;
}

fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)
}

async fn read_body(
    head: &mut Request,
    clock: &clock::Clock,
    limits: Limits,
) -> Result<Vec<u8>, BodyError> {
    let source = head.take_body();
    match source.len() {
        Some(declared) if declared as u64 > limits.body_max_bytes => {
            return Err(BodyError::TooLarge)
        }
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

/// A response with a JSON body.
///
/// A value that can't be serialized gives status 500 with an empty body.
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
