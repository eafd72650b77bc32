//! Stand-ins for backend servers, as the users' pages "Running tasks" and "Service discovery"
//! describe them. They share one process, but each has its own port, clock, lease and life.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, lock, Request, Response, Server};
use crate::json::{self, Value};
use crate::platform::Store;
use crate::record::Record;

/// `max_hold_ms` of the settings.
const LEASE_MAX_MS: u64 = 6_000;

/// Most ends in one response.
const ENDS_MAX: usize = 500;

/// Interval at which the ends of runs are noticed.
const TICK: Duration = Duration::from_millis(20);

/// Silence after which the platform removes the entry of a server: three heartbeat intervals.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);

/// How a server answers start orders.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    Sound,
    /// It answers start orders with 503 and does nothing; its health check is good.
    Busy,
}

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    started: Instant,
    work: Duration,
    /// How the run ends by itself.
    end: &'static str,
}

struct Life {
    born_unix_ms: u64,
    started: Instant,
    fencing_token: u64,
    lease_until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that was stopped or has ended.
    closed: BTreeMap<String, u64>,
    ended: Vec<(u64, String, u64, &'static str)>,
    ends: u64,
}

impl Life {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH);
        Self {
            born_unix_ms: unix.map_or(0, |unix| unix.as_millis() as u64),
            started: Instant::now(),
            fencing_token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1_000
    }

    fn extend_lease(&mut self, until_ms: Option<u64>) {
        let longest = self.clock_ms() + LEASE_MAX_MS;
        let until_ms = until_ms.unwrap_or(0).min(longest);
        self.lease_until_ms = self.lease_until_ms.max(until_ms);
    }

    fn close(&mut self, task: &str, number: u64) {
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = number.max(*closed);
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let number = self.running.remove(task)?.number;
        self.close(task, number);
        self.ends += 1;
        self.ended.push((self.ends, task.to_owned(), number, how));
        Some(number)
    }
}

struct State {
    /// `None` while the server is down.
    life: Option<Life>,
    health: Health,
    labels: Vec<String>,
    went_down: Instant,
    is_registered: bool,
    server: Option<Server>,
}

pub struct BackendServer {
    pub id: String,
    address: SocketAddr,
    zone: String,
    state: Mutex<State>,
    changed: Condvar,
}

/// A start of a run.
#[derive(Clone, Debug)]
pub struct Start {
    pub server: String,
    /// The labels that the server had in that life.
    pub labels: Vec<String>,
}

/// What happened to one task on the backend servers.
#[derive(Clone, Debug, Default)]
pub struct TaskHistory {
    pub starts: Vec<Start>,
    /// Run and kind of each end that a server has listed.
    pub ends: Vec<(u64, &'static str)>,
}

pub struct Fleet {
    pub servers: Vec<Arc<BackendServer>>,
    pub service: String,
    store: Arc<Store>,
    record: Arc<Record>,
    history: Mutex<BTreeMap<String, TaskHistory>>,
}

/// A backend server to be started.
pub struct Plan {
    pub id: String,
    pub zone: String,
    pub labels: Vec<String>,
}

impl Fleet {
    pub fn start(
        service: &str,
        ip: std::net::IpAddr,
        plans: Vec<Plan>,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let servers = plans.into_iter().map(|plan| {
            Arc::new(BackendServer {
                id: plan.id,
                address: crate::platform::free_address(ip),
                zone: plan.zone,
                state: Mutex::new(State {
                    life: None,
                    health: Health::Sound,
                    labels: plan.labels,
                    went_down: Instant::now(),
                    is_registered: false,
                    server: None,
                }),
                changed: Condvar::new(),
            })
        });
        let fleet = Arc::new(Self {
            servers: servers.collect(),
            service: service.to_owned(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            history: Mutex::default(),
        });
        for server in &fleet.servers {
            fleet.bring_up(server);
        }
        let ticking = Arc::clone(&fleet);
        http::spawn(move || loop {
            ticking.tick();
            thread::sleep(TICK);
        });
        fleet
    }

    /// The tasks of a job that were ever started, with their history.
    pub fn tasks_of(&self, job: &str) -> BTreeMap<String, TaskHistory> {
        let history = lock(&self.history);
        let of_job = history.iter().filter(|(task, _)| task.starts_with(job));
        of_job
            .map(|(task, of_task)| (task.clone(), of_task.clone()))
            .collect()
    }

    /// Number of tasks of a job that run now.
    pub fn running_of(&self, job: &str) -> usize {
        let count = |server: &Arc<BackendServer>| {
            let state = lock(&server.state);
            let life = state.life.as_ref();
            life.map_or(0, |life| {
                life.running
                    .keys()
                    .filter(|task| task.starts_with(job))
                    .count()
            })
        };
        self.servers.iter().map(count).sum()
    }

    fn note_start(&self, server: &BackendServer, task: &str, number: u64) {
        let mut history = lock(&self.history);
        let of_task = history.entry(task.to_owned()).or_default();
        of_task.starts.push(Start {
            server: server.id.clone(),
            labels: lock(&server.state).labels.clone(),
        });
        drop(history);
        self.record
            .line(&format!("{}: started {task} run {number}", server.id));
    }

    fn note_end(&self, server: &BackendServer, task: &str, number: u64, how: &'static str) {
        let mut history = lock(&self.history);
        let of_task = history.entry(task.to_owned()).or_default();
        of_task.ends.push((number, how));
        drop(history);
        self.record
            .line(&format!("{}: ended {task} run {number}: {how}", server.id));
    }

    /// Starts the process of a server and registers it.
    pub fn bring_up(self: &Arc<Self>, server: &Arc<BackendServer>) {
        self.start_process(server);
        self.register(server);
    }

    /// Starts the process of a server that has crashed as another kind. Its entry is still the one
    /// of its earlier life.
    pub fn return_as(self: &Arc<Self>, server: &Arc<BackendServer>, kind: &str) {
        lock(&server.state).labels[0] = kind.to_owned();
        self.start_process(server);
        self.record
            .line(&format!("{}: up again, as kind {kind}", server.id));
    }

    /// Starts the process of a server, which knows nothing of an earlier life.
    fn start_process(self: &Arc<Self>, server: &Arc<BackendServer>) {
        let mut state = lock(&server.state);
        let (fleet, serving) = (Arc::clone(self), Arc::clone(server));
        let handler = Arc::new(move |request| fleet.answer(&serving, &request));
        match Server::start(server.address, handler) {
            Ok(started) => state.server = Some(started),
            Err(error) => self
                .record
                .line(&format!("{}: no port: {error}", server.id)),
        }
        state.life = Some(Life::new());
    }

    /// Writes the entry of a server as it is now.
    pub fn register(&self, server: &Arc<BackendServer>) {
        let mut state = lock(&server.state);
        state.is_registered = true;
        let born = state.life.as_ref().map_or(0, |life| life.born_unix_ms);
        let labels = state.labels.clone();
        drop(state);
        let labels = labels.iter().map(|label| label.as_str().into());
        let capacity = json::map([
            ("cpu", 64_000_u64.into()),
            ("mem_mb", 131_072_u64.into()),
            ("gpu", 8_u64.into()),
        ]);
        let entry = json::map([
            ("service", self.service.as_str().into()),
            ("address", server.address.to_string().into()),
            ("zone", server.zone.as_str().into()),
            ("version", "v1".into()),
            ("slots", 8_u64.into()),
            ("state", "ready".into()),
            ("cold_ms", 0_u64.into()),
            ("capacity", capacity),
            ("labels", labels.collect::<Vec<Value>>().into()),
            ("clock_ms", 1_000_u64.into()),
            ("seq", 1_u64.into()),
            ("born", born.into()),
        ]);
        self.store.put("servers", &server.id, Some(&entry));
    }

    /// Kills the process of a server: its port closes and everything that it ran is gone.
    pub fn crash(&self, server: &Arc<BackendServer>) {
        let mut state = lock(&server.state);
        let lost = state.life.take().map_or(0, |life| life.running.len());
        state.went_down = Instant::now();
        let listening = state.server.take();
        drop(state);
        server.changed.notify_all();
        if let Some(listening) = listening {
            listening.stop();
        }
        self.record
            .line(&format!("{}: crashed, {lost} runs lost", server.id));
    }

    pub fn set_health(&self, server: &Arc<BackendServer>, health: Health) {
        lock(&server.state).health = health;
        self.record
            .line(&format!("{}: health {health:?}", server.id));
    }

    fn tick(&self) {
        for server in &self.servers {
            let mut state = lock(&server.state);
            let has_expired = state.is_registered && state.went_down.elapsed() >= ENTRY_LIFETIME;
            let Some(life) = &mut state.life else {
                if has_expired {
                    state.is_registered = false;
                    drop(state);
                    self.store.put("servers", &server.id, None);
                }
                continue;
            };
            let has_lapsed = life.clock_ms() > life.lease_until_ms;
            let over: Vec<(String, &'static str)> = life
                .running
                .iter()
                .filter_map(|(task, run)| match run.started.elapsed() >= run.work {
                    true => Some((task.clone(), run.end)),
                    false => has_lapsed.then(|| (task.clone(), "lapsed")),
                })
                .collect();
            let ended: Vec<_> = over
                .into_iter()
                .filter_map(|(task, how)| Some((life.end(&task, how)?, task, how)))
                .collect();
            drop(state);
            if !ended.is_empty() {
                server.changed.notify_all();
            }
            for (number, task, how) in ended {
                self.note_end(server, &task, number, how);
            }
        }
    }

    fn answer(&self, server: &Arc<BackendServer>, request: &Request) -> Response {
        // The health check is good also while starts fail.
        if request.method == "GET" {
            return Response::new(200, "{}");
        }
        let expected = request.headers.get("x-camphorbeam-expected-instance");
        if expected.is_some_and(|expected| expected != &server.id) {
            return Response::new(421, "{}");
        }
        let Some(body) = json::parse(&String::from_utf8_lossy(&request.body)) else {
            return Response::new(400, "{}");
        };
        let mut state = lock(&server.state);
        let health = state.health;
        let Some(life) = &mut state.life else {
            return Response::new(503, "{}");
        };
        let token = body.number("fencing_token").unwrap_or(0);
        let clock_ms = life.clock_ms();
        if token < life.fencing_token {
            return refusal(clock_ms, "fence");
        }
        let (task, number) = (body.text("task"), body.number("run").unwrap_or(0));
        match request.path.as_str() {
            "/-/run-start" if health == Health::Busy => Response::new(503, "{}"),
            "/-/run-start" => {
                life.fencing_token = token;
                let is_there = life
                    .running
                    .get(task)
                    .is_some_and(|run| run.number == number);
                let closed = life.closed.get(task).copied().unwrap_or(0);
                let until_ms = body.number("until_ms");
                match () {
                    () if is_there => {
                        life.extend_lease(until_ms);
                        accepted(clock_ms)
                    }
                    () if number <= closed => {
                        life.extend_lease(until_ms);
                        refusal(clock_ms, "old")
                    }
                    () if until_ms.unwrap_or(0) <= clock_ms => refusal(clock_ms, "late"),
                    () => {
                        life.extend_lease(until_ms);
                        let run = planned_run(body.text("spec"), number);
                        life.running.insert(task.to_owned(), run);
                        drop(state);
                        self.note_start(server, task, number);
                        accepted(clock_ms)
                    }
                }
            }
            "/-/run-stop" => {
                life.fencing_token = token;
                let is_there = life
                    .running
                    .get(task)
                    .is_some_and(|run| run.number <= number);
                let ended = is_there.then(|| life.end(task, "stopped")).flatten();
                life.close(task, number);
                drop(state);
                if let Some(ended) = ended {
                    server.changed.notify_all();
                    self.note_end(server, task, ended, "stopped");
                }
                accepted(clock_ms)
            }
            "/-/pace" => accepted(clock_ms),
            "/-/hold" => {
                life.fencing_token = token;
                life.extend_lease(body.number("until_ms"));
                let seen_upto = body.number("seen_upto").unwrap_or(0);
                life.ended.retain(|(end, ..)| *end > seen_upto);
                let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0).min(2_000));
                let born_unix_ms = life.born_unix_ms;
                let is_waiting = |state: &mut State| {
                    let life = state.life.as_ref();
                    life.is_some_and(|life| {
                        life.born_unix_ms == born_unix_ms && life.ended.is_empty()
                    })
                };
                let waited = server.changed.wait_timeout_while(state, wait, is_waiting);
                let (state, _) = waited.unwrap_or_else(std::sync::PoisonError::into_inner);
                match &state.life {
                    Some(life) if life.born_unix_ms == born_unix_ms => hold_reply(life),
                    _ => Response::new(503, "{}"),
                }
            }
            _ => Response::new(404, "{}"),
        }
    }
}

/// The run that a payload asks for, such as `work_ms=2500`. With `fails_first`, the first run of the
/// task fails at its end.
fn planned_run(payload: &str, number: u64) -> Run {
    let words = payload.split_whitespace();
    let work_ms = words
        .clone()
        .find_map(|word| word.strip_prefix("work_ms=")?.parse().ok());
    let fails = number == 1 && words.clone().any(|word| word == "fails_first");
    Run {
        number,
        started: Instant::now(),
        work: Duration::from_millis(work_ms.unwrap_or(1_000)),
        end: if fails { "failed" } else { "done" },
    }
}

fn accepted(clock_ms: u64) -> Response {
    Response::new(200, json::map([("clock_ms", clock_ms.into())]))
}

fn refusal(clock_ms: u64, reason: &str) -> Response {
    let body = json::map([("clock_ms", clock_ms.into()), ("reason", reason.into())]);
    Response::new(409, body)
}

fn hold_reply(life: &Life) -> Response {
    let running = life.running.iter().map(|(task, run)| {
        let percent = 100 * run.started.elapsed().as_millis() / run.work.as_millis().max(1);
        let percent = (percent as u64).min(99);
        let cores = Value::from(1_u64);
        vec![
            task.as_str().into(),
            run.number.into(),
            "".into(),
            percent.into(),
            cores,
        ]
        .into()
    });
    let ended = life
        .ended
        .iter()
        .take(ENDS_MAX)
        .map(|(end, task, run, how)| {
            let row: Vec<Value> = vec![
                (*end).into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
                "".into(),
            ];
            row.into()
        });
    let body = json::map([
        ("clock_ms", life.clock_ms().into()),
        ("born", life.born_unix_ms.into()),
        ("running", running.collect::<Vec<Value>>().into()),
        ("ended", ended.collect::<Vec<Value>>().into()),
    ]);
    Response::new(200, body)
}
