//! The HTTP API for callers, operators and support engineers.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use camphorbeam_http::server::{self, BodyError, BufferedRequest};
use camphorbeam_model::{id, record, request, verdict};
use camphorbeam_protocol::{client, messages};
use camphorbeam_scheduler::zone;
use camphorbeam_telemetry::metrics;
use camphorbeam_telemetry::traces::{self, FutureExt as _};
use http_types::{Method, Response, StatusCode};

use crate::accept::{self, SchedulerHandle};
use crate::entry_host::Core;
use crate::{auth, membership, peer_service, requests};

type ResponseFuture = Pin<Box<dyn Future<Output = Response> + Send>>;

/// Returns the handler of calls on the public address.
pub fn handler(
    core: Arc<Core>,
) -> impl Fn(BufferedRequest) -> ResponseFuture + Clone + Send + Sync + 'static {
    move |request| {
        let core = Arc::clone(&core);
        Box::pin(async move { handle_call(&core, request).await })
    }
}

/// The response to a submission.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct SubmitResponse {
    pub id: id::RequestId,
    /// The availability zone in which the request runs.
    pub zone: id::ZoneName,
    /// Name of the request's state.
    pub state: String,
    /// True if this submission created the request, false if an earlier one under the same key did.
    pub is_new: bool,
}

/// The response to a call that shows or applies a sheet.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct SheetResponse {
    /// The version of the sheet; zero if there is none.
    pub version: id::SheetVersion,
    /// True in the response to applying a sheet; else the result of
    /// [`crate::sheets::SheetStore::is_confirmed`].
    pub is_confirmed: bool,
    /// When the sheet was accepted, in milliseconds since the Unix epoch.
    pub accepted_at_unix_ms: u64,
    /// The text of the sheet; empty in the response to applying one.
    pub csv: Arc<str>,
}

/// The status of an entry host.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Health {
    pub host: id::HostId,
    pub zone: id::ZoneName,
    /// The version of the loaded sheet; zero if none is loaded.
    pub sheet_version: id::SheetVersion,
    /// The result of [`crate::sheets::SheetStore::is_confirmed`].
    pub is_sheet_confirmed: bool,
    /// The version of the host list; zero until it is first read. Until then the host accepts no
    /// requests.
    pub hosts_version: u64,
    /// The scheduler of the host's zone, if the host knows it.
    pub scheduler: Option<messages::SchedulerInfo>,
    /// Whether this host is the scheduler and may make decisions now.
    pub is_deciding: bool,
    /// Numbers of requests by phase, if this host is the scheduler.
    pub counts: Option<zone::Counts>,
    /// The other entry hosts from which this host has received a hello.
    pub members: Vec<membership::MemberSummary>,
    pub bytes: ByteCounts,
}

/// Bytes exchanged with the platform and with backend servers since the start of the process.
/// Traffic with callers, operators and other entry hosts isn't included.
#[derive(Clone, Copy, Debug, serde::Serialize, serde::Deserialize)]
pub struct ByteCounts {
    pub platform_received_bytes: u64,
    pub platform_sent_bytes: u64,
    pub backend_servers_received_bytes: u64,
    pub backend_servers_sent_bytes: u64,
}

async fn handle_call(core: &Arc<Core>, request: BufferedRequest) -> Response {
    let path = request.head.url().path().to_owned();
    // Health needs no token, and it is served during a shutdown too.
    if path == "/v1/health" {
        return server::json_response(StatusCode::Ok, &health(core));
    }
    let Some(_call) = core.shutdown.start_call() else {
        return refusal_response(&accept::unavailable("this entry host is leaving"));
    };
    let span = start_call_span(core, &request, &path);
    match route(core, request, &path).in_span(span).await {
        Ok(response) => response,
        Err(refusal) => {
            let code = refusal.code.name();
            metrics::count_by(&core.deps.metrics, metrics::CALL_REFUSED, "code", code);
            refusal_response(&refusal)
        }
    }
}

/// Starts the span of a call, in the trace of the caller if the call carries one.
fn start_call_span(core: &Core, request: &BufferedRequest, path: &str) -> traces::Span {
    let method = request.head.method();
    let host_zone = &core.settings.zone;
    traces::start_or_continue_trace("entry_host.call", request.trace()).with_properties(|| {
        [
            ("method", method.to_string()),
            ("path", traces::truncate(path)),
            ("host_zone", host_zone.to_string()),
        ]
    })
}

async fn route(
    core: &Arc<Core>,
    request: BufferedRequest,
    path: &str,
) -> Result<Response, verdict::Refusal> {
    let identity = identify(core, &request)?;
    let method = request.head.method();
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match (method, parts.as_slice()) {
        (Method::Post, ["v1", "requests"]) => submit(core, &identity, request).await,
        (Method::Get, ["v1", "requests", id]) => explain(core, &identity, id).await,
        (Method::Get, ["v1", "requests", id, "answer"]) => get_answer(core, &identity, id).await,
        (Method::Delete, ["v1", "requests", id]) => cancel(core, &identity, id).await,
        (Method::Get, ["v1", "sheet"]) => show_sheet(core, &identity),
        (Method::Put, ["v1", "sheet", replaced_version]) => {
            apply_sheet(core, &identity, replaced_version, request).await
        }
        (Method::Post, ["v1", "leave"]) => leave(core, &identity),
        (Method::Post, ["v1", "drain"]) => drain_server(core, &identity, request).await,
        _ => Err(no_such_path(method, path)),
    }
}

fn identify(core: &Core, request: &BufferedRequest) -> Result<auth::Identity, verdict::Refusal> {
    request
        .head
        .header("authorization")
        .and_then(|values| values.as_str().strip_prefix("Bearer "))
        .and_then(|token| core.settings.keyring.identify(token))
        .ok_or_else(auth::unauthenticated)
}

fn require_operator(identity: &auth::Identity) -> Result<(), verdict::Refusal> {
    match identity {
        auth::Identity::Operator => Ok(()),
        _ => Err(auth::forbidden("operators' calls")),
    }
}

fn require_account(
    identity: &auth::Identity,
    account: &id::ClientAccountName,
) -> Result<(), verdict::Refusal> {
    match identity {
        auth::Identity::Operator => Ok(()),
        auth::Identity::Caller(caller) if caller == account => Ok(()),
        _ => Err(auth::forbidden(&format!("client account {account}"))),
    }
}

fn read_body(request: BufferedRequest) -> Result<Vec<u8>, verdict::Refusal> {
    request.body.map_err(|error| {
        let code = match error {
            BodyError::TooLarge => verdict::RefusalCode::TooLarge,
            BodyError::Incomplete => verdict::RefusalCode::Invalid,
        };
        let hint = "send a whole body within the size limit";
        verdict::Refusal::new(code, error.to_string(), hint)
    })
}

fn parse_json_body<T: serde::de::DeserializeOwned>(
    request: BufferedRequest,
) -> Result<T, verdict::Refusal> {
    let body = read_body(request)?;
    serde_json::from_slice(&body).map_err(|error| {
        verdict::Refusal::new(
            verdict::RefusalCode::Invalid,
            format!("the body can't be read: {error}"),
            "see docs/api.md for the fields",
        )
    })
}

async fn submit(
    core: &Arc<Core>,
    identity: &auth::Identity,
    request: BufferedRequest,
) -> Result<Response, verdict::Refusal> {
    let spec: request::RequestSpec = parse_json_body(request)?;
    require_account(identity, &spec.client_account)?;
    let accepted = accept::accept(core, spec).await?;
    let status = match accepted.is_new {
        true => StatusCode::Created,
        false => StatusCode::Ok,
    };
    let submitted = SubmitResponse {
        id: accepted.record.id,
        zone: accepted.record.zone,
        state: accepted.record.state.name().to_owned(),
        is_new: accepted.is_new,
    };
    Ok(server::json_response(status, &submitted))
}

/// Explains a request if `identity` has access to it.
///
/// A request of another account is refused like one that does not exist, so that callers can't
/// find out which requests other accounts have.
async fn explain_authorized(
    core: &Core,
    identity: &auth::Identity,
    id: &str,
) -> Result<(requests::Explanation, record::RequestRecord), verdict::Refusal> {
    let request = parse_request_id(id)?;
    traces::add_property(traces::REQUEST, &request);
    let (explanation, record) = requests::explain(core, &request).await?;
    match require_account(identity, &record.spec.client_account) {
        Ok(()) => Ok((explanation, record)),
        Err(_) => Err(requests::not_found(&request)),
    }
}

fn parse_request_id(text: &str) -> Result<id::RequestId, verdict::Refusal> {
    id::RequestId::new(text).map_err(|error| {
        verdict::Refusal::new(
            verdict::RefusalCode::Invalid,
            error.to_string(),
            "use the id that the submission was answered with",
        )
    })
}

async fn explain(
    core: &Core,
    identity: &auth::Identity,
    id: &str,
) -> Result<Response, verdict::Refusal> {
    let (explanation, _) = explain_authorized(core, identity, id).await?;
    Ok(server::json_response(StatusCode::Ok, &explanation))
}

async fn get_answer(
    core: &Core,
    identity: &auth::Identity,
    id: &str,
) -> Result<Response, verdict::Refusal> {
    let (_, record) = explain_authorized(core, identity, id).await?;
    let content = requests::read_answer(core, &record).await?;
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(content);
    response.insert_header("content-type", "application/octet-stream");
    Ok(response)
}

async fn cancel(
    core: &Core,
    identity: &auth::Identity,
    id: &str,
) -> Result<Response, verdict::Refusal> {
    let (_, record) = explain_authorized(core, identity, id).await?;
    let outcome = requests::cancel(core, &record).await?;
    let status = match outcome {
        messages::CancelOutcome::Ended { .. } => StatusCode::Ok,
        messages::CancelOutcome::Stopping => StatusCode::Accepted,
    };
    Ok(server::json_response(status, &outcome))
}

fn show_sheet(core: &Core, identity: &auth::Identity) -> Result<Response, verdict::Refusal> {
    require_operator(identity)?;
    let is_confirmed = core.sheets.is_confirmed();
    let response = match core.sheets.document() {
        Some(document) => SheetResponse {
            version: document.version,
            is_confirmed,
            accepted_at_unix_ms: document.accepted_at_unix_ms,
            csv: document.csv,
        },
        None => SheetResponse {
            version: id::SheetVersion(0),
            is_confirmed,
            accepted_at_unix_ms: 0,
            csv: Arc::from(""),
        },
    };
    Ok(server::json_response(StatusCode::Ok, &response))
}

async fn apply_sheet(
    core: &Arc<Core>,
    identity: &auth::Identity,
    replaced_version_text: &str,
    request: BufferedRequest,
) -> Result<Response, verdict::Refusal> {
    require_operator(identity)?;
    let replaced_version = replaced_version_text
        .parse()
        .map(id::SheetVersion)
        .map_err(|_| {
            verdict::Refusal::new(
                verdict::RefusalCode::Invalid,
                format!("{replaced_version_text:?} is not a sheet version"),
                "give the version that `camphorbeam sheet show` printed, or 0 for the first sheet",
            )
        })?;
    let csv = String::from_utf8(read_body(request)?).map_err(|error| {
        verdict::Refusal::new(
            verdict::RefusalCode::Invalid,
            format!("the sheet is not UTF-8: {error}"),
            "export the sheet as UTF-8",
        )
    })?;
    let document = core.sheets.apply(&csv, replaced_version).await?;
    let response = SheetResponse {
        version: document.version,
        is_confirmed: true,
        accepted_at_unix_ms: document.accepted_at_unix_ms,
        csv: Arc::from(""),
    };
    let broadcast_core = Arc::clone(core);
    async_std::task::spawn(
        async move { broadcast_core.membership.broadcast_sheet(&document).await },
    );
    Ok(server::json_response(StatusCode::Ok, &response))
}

/// Requests a graceful shutdown of this entry host, as SIGTERM does. The call returns before the
/// shutdown begins.
fn leave(core: &Core, identity: &auth::Identity) -> Result<Response, verdict::Refusal> {
    require_operator(identity)?;
    core.shutdown.request();
    Ok(server::json_response(StatusCode::Accepted, &health(core)))
}

async fn drain_server(
    core: &Core,
    identity: &auth::Identity,
    request: BufferedRequest,
) -> Result<Response, verdict::Refusal> {
    require_operator(identity)?;
    let drain: messages::DrainServer = parse_json_body(request)?;
    let zone = backend_server_zone(core, &drain.server)?;
    let progress = match core.scheduler_of(&zone).await {
        Some(SchedulerHandle::Local(local)) => {
            peer_service::drain_locally(core, &local, &drain).await?
        }
        Some(SchedulerHandle::Peer(peer)) => match peer.drain_server(core.context(), drain).await {
            Ok(progress) => progress,
            Err(client::PeerError::Refused(refusal)) => return Err(refusal),
            // The verdict is `NotRun`, although the scheduler may have changed the drain.
            Err(client::PeerError::NoAnswer { .. }) => return Err(accept::no_scheduler(&zone)),
        },
        None => return Err(accept::no_scheduler(&zone)),
    };
    Ok(server::json_response(StatusCode::Ok, &progress))
}

fn backend_server_zone(
    core: &Core,
    server: &id::BackendServerId,
) -> Result<id::ZoneName, verdict::Refusal> {
    let host_list = core.host_list.current();
    let found = host_list
        .backend_servers
        .iter()
        .find(|info| info.id == *server);
    found.map(|info| info.zone.clone()).ok_or_else(|| {
        verdict::Refusal::new(
            verdict::RefusalCode::NotFound,
            format!("backend server {server} is not in the host list"),
            "check the id; the host list lags by some seconds",
        )
    })
}

fn health(core: &Core) -> Health {
    let scheduler = core.election.local_scheduler();
    let platform = &core.meters.platform;
    let servers = &core.meters.backend_servers;
    Health {
        host: core.settings.host.clone(),
        zone: core.settings.zone.clone(),
        sheet_version: core.sheets.version(),
        is_sheet_confirmed: core.sheets.is_confirmed(),
        hosts_version: core.host_list.current().version,
        scheduler: core.election.scheduler(),
        is_deciding: scheduler
            .as_ref()
            .is_some_and(|scheduler| scheduler.may_decide()),
        counts: scheduler.map(|scheduler| scheduler.counts()),
        members: core.membership.members(),
        bytes: ByteCounts {
            platform_received_bytes: platform.received_bytes(),
            platform_sent_bytes: platform.sent_bytes(),
            backend_servers_received_bytes: servers.received_bytes(),
            backend_servers_sent_bytes: servers.sent_bytes(),
        },
    }
}

fn no_such_path(method: Method, path: &str) -> verdict::Refusal {
    verdict::Refusal::new(
        verdict::RefusalCode::NotFound,
        format!("there is no {method} {path}"),
        "see docs/api.md for the calls",
    )
}

/// Returns the response for `refusal`: a status that depends on its code, and the refusal as JSON.
pub fn refusal_response(refusal: &verdict::Refusal) -> Response {
    let status = match refusal.code {
        verdict::RefusalCode::Invalid => StatusCode::UnprocessableEntity,
        verdict::RefusalCode::Unauthenticated => StatusCode::Unauthorized,
        verdict::RefusalCode::Forbidden => StatusCode::Forbidden,
        verdict::RefusalCode::NotFound => StatusCode::NotFound,
        verdict::RefusalCode::Conflict => StatusCode::Conflict,
        verdict::RefusalCode::TooLarge => StatusCode::PayloadTooLarge,
        verdict::RefusalCode::Busy => StatusCode::TooManyRequests,
        verdict::RefusalCode::Unavailable => StatusCode::ServiceUnavailable,
        verdict::RefusalCode::Internal => StatusCode::InternalServerError,
    };
    let mut response = server::json_response(status, refusal);
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let retry_after_s = retry_after_ms.div_ceil(1_000);
        response.insert_header("retry-after", retry_after_s.to_string());
    }
    response
}
