//! Fake backend servers over HTTP. One process can run many of them.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_std::net::TcpListener;
use async_std::task;
use camphorbeam_backend::{orders, sync};
use camphorbeam_clock as clock;
use camphorbeam_http::{meter, server};
use camphorbeam_model::{cluster, id, task as task_model};
use camphorbeam_telemetry::traces;
use http_types::{Method, Response, StatusCode};

use crate::{backend_tasks, journal};

/// Default interval at which a server checks for tasks that are done or whose lease has expired.
pub const TICK: Duration = Duration::from_millis(5);

/// Description of one server.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct ServerSpec {
    pub id: id::BackendServerId,
    pub zone: id::ZoneName,
    pub rack: id::RackName,
    /// Address to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Maximum number of tasks that are reserved or running at the same time.
    pub slots: u32,
    /// Speed relative to a standard server, which has 1.0.
    pub speed_ratio: f64,
}

/// A running fake backend server. Clones share its state.
#[derive(Clone)]
pub struct FakeBackend {
    shared: Arc<Shared>,
}

struct Shared {
    clock: clock::Clock,
    tasks: Mutex<backend_tasks::Tasks>,
    /// Senders that wake the sync calls that wait for an event.
    waiters: Mutex<Vec<async_channel::Sender<()>>>,
}

/// Starts a server that checks its tasks every [`TICK`].
///
/// # Errors
///
/// Fails if the server can't listen on its address.
pub async fn start(
    spec: &ServerSpec,
    journal: journal::Journal,
) -> anyhow::Result<(FakeBackend, cluster::BackendServerInfo)> {
    start_with_tick(spec, journal, TICK).await
}

/// Starts a server that checks every `tick` for tasks that are done or whose lease has expired. A
/// process with many servers needs a long interval.
///
/// # Errors
///
/// Fails as [`start`] does.
pub async fn start_with_tick(
    spec: &ServerSpec,
    journal: journal::Journal,
    tick: Duration,
) -> anyhow::Result<(FakeBackend, cluster::BackendServerInfo)> {
    let listener = TcpListener::bind(spec.listen).await?;
    let info = cluster::BackendServerInfo {
        id: spec.id.clone(),
        zone: spec.zone.clone(),
        rack: spec.rack.clone(),
        address: listener.local_addr()?,
        accelerators: spec.accelerators,
        slots: spec.slots,
        speed_ratio: spec.speed_ratio,
        phase: cluster::HostPhase::Live,
    };
    let clock = clock::Clock::system();
    let tasks = backend_tasks::Tasks::new(
        spec.id.clone(),
        rand::random_range(1..u64::MAX >> 12),
        spec.accelerators,
        spec.slots,
        spec.speed_ratio,
        journal,
    );
    let fake = FakeBackend {
        shared: Arc::new(Shared {
            clock: clock.clone(),
            tasks: Mutex::new(tasks),
            waiters: Mutex::new(Vec::new()),
        }),
    };
    task::spawn(run_ticks(fake.clone(), tick));
    let shared_fake = fake.clone();
    let handler = move |request| {
        let fake = shared_fake.clone();
        async move { fake.handle(request).await }
    };
    let meter = Arc::new(meter::Meter::default());
    let limits = server::Limits::default();
    task::spawn(server::serve(listener, clock, limits, meter, handler));
    Ok((fake, info))
}

async fn run_ticks(fake: FakeBackend, tick: Duration) {
    loop {
        fake.shared.clock.sleep(tick).await;
        let now_ms = fake.now_ms();
        if fake.tasks().advance(now_ms) {
            fake.wake_waiters();
        }
    }
}

impl FakeBackend {
    fn now_ms(&self) -> u64 {
        self.shared.clock.now().since_origin_ms
    }

    /// Locks and returns the task state.
    pub fn tasks(&self) -> MutexGuard<'_, backend_tasks::Tasks> {
        let tasks = &self.shared.tasks;
        tasks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn waiters(&self) -> MutexGuard<'_, Vec<async_channel::Sender<()>>> {
        let waiters = &self.shared.waiters;
        waiters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake_waiters(&self) {
        for waiter in self.waiters().drain(..) {
            // Sending fails if the sync call has ended already; it then needs no notification.
            let _ = waiter.try_send(());
        }
    }

    async fn handle(&self, request: server::BufferedRequest) -> Response {
        let trace = request.trace();
        let Ok(body) = request.body else {
            return Response::new(StatusCode::BadRequest);
        };
        let path = request.head.url().path().to_owned();
        let _span = self.call_span(trace, &path, &body);
        let now_ms = self.now_ms();
        let response = match (request.head.method(), path.as_str()) {
            (Method::Post, "/v1/sync") => return self.sync(&body).await,
            (Method::Post, "/v1/fence") => {
                handle_json(&body, |request| self.tasks().fence(&request, now_ms))
            }
            (Method::Post, "/v1/reserve") => {
                handle_json(&body, |request| self.tasks().reserve(&request, now_ms))
            }
            (Method::Post, "/v1/start") => {
                handle_json(&body, |request| self.tasks().start(&request, now_ms))
            }
            (Method::Post, "/v1/stop") => {
                handle_json(&body, |request| self.tasks().stop(&request, now_ms))
            }
            (Method::Post, "/v1/throttle") => {
                handle_json(&body, |request| self.tasks().throttle(&request, now_ms))
            }
            (Method::Post, "/control/leave") => {
                self.tasks().leave();
                Response::new(StatusCode::Ok)
            }
            (Method::Post, "/control/leave-silently") => {
                self.tasks().leaves_silently = true;
                Response::new(StatusCode::Ok)
            }
            (Method::Post, "/control/fail-everything") => {
                self.tasks().fails_everything = true;
                Response::new(StatusCode::Ok)
            }
            (Method::Get, path) => self.answer_response(path),
            _ => Response::new(StatusCode::NotFound),
        };
        self.wake_waiters();
        response
    }

    /// Starts a span if the order carries a trace context. Periodic messages carry none.
    fn call_span(
        &self,
        trace: Option<traces::SpanContext>,
        path: &str,
        body: &[u8],
    ) -> traces::Span {
        traces::continue_trace("backend_server.call", trace).with_properties(|| {
            [
                ("backend_server", self.tasks().server.to_string()),
                ("path", path.to_owned()),
                (traces::REQUEST, request_named_in(path, body)),
            ]
        })
    }

    fn answer_response(&self, path: &str) -> Response {
        let key = path
            .strip_prefix("/v1/answer/")
            .and_then(|text| text.parse::<task_model::TaskKey>().ok());
        match key.and_then(|key| self.tasks().answer(&key)) {
            Some(content) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(content);
                response
            }
            None => refusal_response(&orders::OrderRefusal::UnknownTask),
        }
    }

    async fn sync(&self, body: &[u8]) -> Response {
        let Ok(request) = serde_json::from_slice::<sync::SyncRequest>(body) else {
            return Response::new(StatusCode::BadRequest);
        };
        let renewed = self.tasks().renew(&request, self.now_ms());
        if let Err(error) = renewed {
            return refusal_response(&error);
        }
        self.await_event(&request).await;
        let reply = self.tasks().sync_reply(&request, self.now_ms());
        match reply {
            Ok(reply) => server::json_response(StatusCode::Ok, &reply),
            Err(error) => refusal_response(&error),
        }
    }

    /// Waits for an event that the request does not know yet, at most for the wait time that the
    /// request asks for.
    async fn await_event(&self, request: &sync::SyncRequest) {
        let (sender, receiver) = async_channel::bounded(1);
        {
            // The lock is held until the sender is stored, so that no event goes unnoticed between.
            let tasks = self.tasks();
            if tasks.last_event() > request.after_event {
                return;
            }
            self.waiters().push(sender);
        }
        let limit = Duration::from_millis(request.wait_ms);
        // The reply is sent in both cases: after an event and after the timeout.
        let _ = self.shared.clock.timeout(limit, receiver.recv()).await;
    }
}

/// The fields of an order that name its task: `task` in a reservation, `key` in all others.
#[derive(serde::Deserialize)]
struct OrderTask {
    key: Option<task_model::TaskKey>,
    task: Option<ReservationTask>,
}

#[derive(serde::Deserialize)]
struct ReservationTask {
    key: task_model::TaskKey,
}

/// Returns the ID of the request that an order is about, or an empty string if it names none.
fn request_named_in(path: &str, body: &[u8]) -> String {
    let in_path = path
        .strip_prefix("/v1/answer/")
        .and_then(|text| text.parse::<task_model::TaskKey>().ok());
    let in_body = || {
        let order: OrderTask = serde_json::from_slice(body).ok()?;
        order.key.or(order.task.map(|task| task.key))
    };
    in_path
        .or_else(in_body)
        .map_or_else(String::new, |key| key.request.to_string())
}

fn handle_json<Q, A>(
    body: &[u8],
    apply: impl FnOnce(Q) -> Result<A, orders::OrderRefusal>,
) -> Response
where
    Q: serde::de::DeserializeOwned,
    A: serde::Serialize,
{
    match serde_json::from_slice(body) {
        Ok(request) => match apply(request) {
            Ok(answer) => server::json_response(StatusCode::Ok, &answer),
            Err(error) => refusal_response(&error),
        },
        Err(error) => refusal_response(&orders::OrderRefusal::Invalid {
            reason: error.to_string(),
        }),
    }
}

fn refusal_response(refusal: &orders::OrderRefusal) -> Response {
    server::json_response(StatusCode::Conflict, refusal)
}
