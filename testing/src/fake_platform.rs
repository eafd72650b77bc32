//! Fake platform over HTTP: an in-memory table, an object store, and a host list whose changes can
//! be delayed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_http::{meter, server};
use camphorbeam_model::cluster;
use camphorbeam_platform::{http as platform_http, memory, table};
use camphorbeam_telemetry::traces;
use http_types::{Method, Response, StatusCode};

/// Maximum length of a request body.
const BODY_MAX_BYTES: u64 = 64 * 1024 * 1024;

/// A running fake platform.
#[derive(Clone, Debug)]
pub struct FakePlatform {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its content. Tests in the same process can read and change it.
    pub memory: Arc<memory::MemoryPlatform>,
}

/// Starts a platform that applies changes of the host list after `host_list_lag`.
///
/// # Errors
///
/// Fails if it can't listen on `listen`.
pub async fn start(listen: SocketAddr, host_list_lag: Duration) -> anyhow::Result<FakePlatform> {
    let listener = TcpListener::bind(listen).await?;
    let address = listener.local_addr()?;
    let memory = Arc::new(memory::MemoryPlatform::default());
    let shared = Arc::clone(&memory);
    let clock = clock::Clock::system();
    let limits = server::Limits {
        body_max_bytes: BODY_MAX_BYTES,
        ..server::Limits::default()
    };
    let handler_clock = clock.clone();
    let handler = move |request| {
        let platform = Arc::clone(&shared);
        let clock = handler_clock.clone();
        async move { handle(platform, clock, host_list_lag, request).await }
    };
    let meter = Arc::new(meter::Meter::default());
    task::spawn(server::serve(listener, clock, limits, meter, handler));
    Ok(FakePlatform { address, memory })
}

async fn handle(
    platform: Arc<memory::MemoryPlatform>,
    clock: clock::Clock,
    host_list_lag: Duration,
    request: server::BufferedRequest,
) -> Response {
    let _span = call_span(&request);
    let Ok(body) = request.body else {
        return Response::new(StatusCode::BadRequest);
    };
    let url = request.head.url().clone();
    match (request.head.method(), url.path()) {
        (Method::Post, "/table/read") => handle_json(&body, |read: platform_http::ReadRequest| {
            platform.read_rows(&read.keys)
        }),
        (Method::Post, "/table/scan") => handle_json(&body, |scan: platform_http::ScanRequest| {
            platform.scan_rows(&scan.prefix, &scan.after, scan.limit)
        }),
        (Method::Post, "/table/commit") => handle_json(&body, |transaction: table::Transaction| {
            platform.apply(&transaction)
        }),
        (Method::Get, "/hosts") => hosts_response(&platform, &url),
        (Method::Put, "/control/hosts") => set_hosts(platform, clock, host_list_lag, &body),
        (Method::Get, "/control/usage") => server::json_response(StatusCode::Ok, &platform.usage()),
        (method, path) => match (method, path.strip_prefix("/objects/")) {
            (Method::Put, Some(name)) => {
                platform.put_object(name, &body);
                Response::new(StatusCode::Ok)
            }
            (Method::Get, Some(name)) => object_response(&platform, name),
            _ => Response::new(StatusCode::NotFound),
        },
    }
}

/// Starts a span if the call carries a trace context. Periodic calls carry none.
fn call_span(request: &server::BufferedRequest) -> traces::Span {
    let path = request.head.url().path();
    traces::continue_trace("platform.call", request.trace())
        .with_property(|| ("path", path.to_owned()))
}

fn handle_json<Q, A>(body: &[u8], apply: impl FnOnce(Q) -> A) -> Response
where
    Q: serde::de::DeserializeOwned,
    A: serde::Serialize,
{
    match serde_json::from_slice(body) {
        Ok(request) => server::json_response(StatusCode::Ok, &apply(request)),
        Err(error) => {
            let mut response = Response::new(StatusCode::BadRequest);
            response.set_body(error.to_string());
            response
        }
    }
}

fn hosts_response(platform: &memory::MemoryPlatform, url: &http_types::Url) -> Response {
    let hosts = platform.hosts();
    let known_version = url
        .query_pairs()
        .find(|(name, _)| name == "known_version")
        .and_then(|(_, value)| value.parse::<u64>().ok());
    match known_version {
        Some(version) if version != 0 && version == hosts.version => {
            Response::new(StatusCode::NotModified)
        }
        _ => server::json_response(StatusCode::Ok, &hosts),
    }
}

fn set_hosts(
    platform: Arc<memory::MemoryPlatform>,
    clock: clock::Clock,
    lag: Duration,
    body: &[u8],
) -> Response {
    let Ok(hosts) = serde_json::from_slice::<cluster::HostList>(body) else {
        return Response::new(StatusCode::BadRequest);
    };
    match lag.is_zero() {
        true => platform.set_hosts(hosts),
        false => {
            task::spawn(async move {
                clock.sleep(lag).await;
                platform.set_hosts(hosts);
            });
        }
    }
    Response::new(StatusCode::Ok)
}

fn object_response(platform: &memory::MemoryPlatform, name: &str) -> Response {
    match platform.object(name) {
        Some(content) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(content);
            response
        }
        None => Response::new(StatusCode::NotFound),
    }
}
