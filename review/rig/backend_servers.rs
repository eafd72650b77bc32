//! Backend servers with the task interface of PROTOCOL.md: fencing tokens, leases, capacity, ends that
//! are listed until they are acknowledged, and restarts under the same id.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Reply, Request};
use crate::json::{self, Json};
use crate::record::Record;
use crate::store::Store;

/// Largest time for which a lease may last: `max_hold_ms`.
const MAX_HOLD_MS: u64 = 6_000;

/// Time between two writes of a server's entry: `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

const TICK: Duration = Duration::from_millis(5);

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

impl Room {
    fn plus(self, other: Room) -> Room {
        Room {
            cpu: self.cpu + other.cpu,
            mem_mb: self.mem_mb + other.mem_mb,
            gpu: self.gpu + other.gpu,
        }
    }

    fn fits(self, other: Room) -> bool {
        other.cpu <= self.cpu && other.mem_mb <= self.mem_mb && other.gpu <= self.gpu
    }
}

#[derive(Clone, Debug)]
struct Run {
    number: u64,
    until: Instant,
    work: Duration,
    need: Room,
}

#[derive(Clone, Debug)]
struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// Number of lapses of the server's lease before.
    lapses: u64,
}

pub struct BackendServer {
    pub id: String,
    pub address: SocketAddr,
    pub room: Room,
    /// The kind and the rack.
    pub labels: [String; 2],
    zone: String,
    born_ms: u64,
    began: Instant,
    is_up: bool,
    seq: u64,
    token: u64,
    lease_until_ms: u64,
    /// Number of times that the lease has lapsed, counted while it is over.
    lapses: u64,
    running: BTreeMap<String, Run>,
    ended: Vec<End>,
    next_end: u64,
    /// For each task, the highest run that was stopped or has ended here.
    closed_runs: BTreeMap<String, u64>,
}

/// A task that a server has begun on an order.
#[derive(Clone, Debug)]
pub struct Start {
    pub at: Instant,
    pub server: usize,
    pub task: String,
    pub run: u64,
    /// Number of other tasks of the same step and occurrence that were running there.
    pub beside: u32,
}

/// What a job's tasks need, as its client has submitted it.
#[derive(Clone, Debug, Default)]
pub struct JobNeeds {
    pub need: Room,
    pub work_ms: u64,
}

/// A run that has ended `done`.
#[derive(Clone, Debug)]
pub struct Done {
    pub at: Instant,
    pub run: u64,
    /// Whether the end was acknowledged, with no lapse of the server's lease in between.
    pub is_noted: bool,
}

#[derive(Default)]
pub struct Fleet {
    pub servers: Vec<BackendServer>,
    pub starts: Vec<Start>,
    pub jobs: BTreeMap<String, JobNeeds>,
    /// The first run of each task that has ended `done`.
    pub done: BTreeMap<String, Done>,
}

#[derive(Clone)]
pub struct BackendServers {
    fleet: Arc<Mutex<Fleet>>,
    store: Arc<Store>,
    record: Arc<Record>,
    pub service: &'static str,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl BackendServer {
    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    fn used(&self) -> Room {
        self.running
            .values()
            .fold(Room::default(), |sum, run| sum.plus(run.need))
    }

    fn end(&mut self, task: &str, how: &'static str) {
        let Some(run) = self.running.remove(task) else {
            return;
        };
        let closed = self.closed_runs.entry(task.to_owned()).or_default();
        *closed = run.number.max(*closed);
        self.ended.push(End {
            number: self.next_end,
            task: task.to_owned(),
            run: run.number,
            how,
            lapses: self.lapses,
        });
        self.next_end += 1;
    }

    fn entry(&self, service: &str) -> String {
        format!(
            concat!(
                "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"v1\",\"slots\":8,",
                "\"state\":\"ready\",\"cold_ms\":0,\"capacity\":{{\"cpu\":{},\"mem_mb\":{},",
                "\"gpu\":{}}},\"labels\":[{},{}],\"clock_ms\":{},\"born\":{},\"seq\":{}}}"
            ),
            json::quote(service),
            self.address,
            json::quote(&self.zone),
            self.room.cpu,
            self.room.mem_mb,
            self.room.gpu,
            json::quote(&self.labels[0]),
            json::quote(&self.labels[1]),
            self.clock_ms(),
            self.born_ms,
            self.seq
        )
    }
}

impl Fleet {
    /// Whether any task of the job runs on a server.
    pub fn is_running(&self, job: &str) -> bool {
        let mut tasks = self.servers.iter().flat_map(|server| server.running.keys());
        tasks.any(|task| task.starts_with(job))
    }

    pub fn has_begun(&self, job: &str) -> bool {
        self.starts.iter().any(|start| start.task.starts_with(job))
    }

    /// Whether a task of a job of `count` tasks hasn't ended `done`.
    pub fn has_open_task(&self, job: &str, count: u32) -> bool {
        let done = self.done.keys().filter(|task| task.starts_with(job));
        (done.count() as u32) < count
    }

    /// Starts of tasks of which an earlier run has ended `done`, if that end was acknowledged then or
    /// later, each with that end.
    pub fn starts_after_done(&self) -> Vec<(&Start, &Done)> {
        let starts = self.starts.iter().filter_map(|start| {
            let done = self.done.get(&start.task)?;
            (done.is_noted && start.run > done.run && start.at > done.at).then_some((start, done))
        });
        starts.collect()
    }

    /// The server with the most running tasks.
    pub fn busiest(&self) -> usize {
        let tasks = |index: &usize| self.servers[*index].running.len();
        (0..self.servers.len()).max_by_key(tasks).unwrap_or(0)
    }

    /// Whether less than half of each resource of the servers is in use.
    pub fn is_half_free(&self) -> bool {
        let sum = |room: &dyn Fn(&BackendServer) -> Room| {
            self.servers
                .iter()
                .map(room)
                .fold(Room::default(), Room::plus)
        };
        let (all, used) = (sum(&|server| server.room), sum(&|server| server.used()));
        all.fits(used.plus(used))
    }
}

impl BackendServers {
    pub fn new(service: &'static str, store: &Arc<Store>, record: &Arc<Record>) -> BackendServers {
        let servers = BackendServers {
            fleet: Arc::default(),
            store: Arc::clone(store),
            record: Arc::clone(record),
            service,
        };
        let ticking = servers.clone();
        thread::spawn(move || loop {
            thread::sleep(TICK);
            ticking.tick();
        });
        let beating = servers.clone();
        thread::spawn(move || loop {
            thread::sleep(HEARTBEAT);
            let count = beating.lock().servers.len();
            (0..count).for_each(|server| beating.beat(server));
        });
        servers
    }

    pub fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap()
    }

    pub fn add(&self, listener: TcpListener, zone: &str, room: Room, kind: &str, rack: &str) {
        let address = listener
            .local_addr()
            .expect("a bound listener has an address");
        let mut fleet = self.lock();
        let index = fleet.servers.len();
        fleet.servers.push(BackendServer {
            id: format!("i-7f3a91{index:02x}"),
            address,
            room,
            labels: [kind.to_owned(), rack.to_owned()],
            zone: zone.to_owned(),
            born_ms: unix_ms(),
            began: Instant::now(),
            is_up: true,
            seq: 0,
            token: 0,
            lease_until_ms: 0,
            lapses: 0,
            running: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            closed_runs: BTreeMap::new(),
        });
        drop(fleet);
        self.beat(index);
        let servers = self.clone();
        http::serve(
            listener,
            Arc::new(move |request| servers.answer(index, &request)),
        );
    }

    /// Writes the server's entry, as it does at its start and about every heartbeat.
    pub fn beat(&self, index: usize) {
        let mut fleet = self.lock();
        let server = &mut fleet.servers[index];
        if server.is_up {
            server.seq += 1;
            self.store
                .put("servers", &server.id, &server.entry(self.service));
        }
    }

    /// Ends a server's process. What ran there is gone, and it sends nothing.
    pub fn crash(&self, index: usize) {
        let mut fleet = self.lock();
        let server = &mut fleet.servers[index];
        server.is_up = false;
        server.ended.clear();
        server.closed_runs.clear();
        let tasks = server.running.len();
        server.running.clear();
        self.record
            .note(&format!("server {} crashes under {tasks} tasks", server.id));
    }

    /// Starts a crashed server again, under its id and at its address.
    pub fn restart(&self, index: usize) {
        let mut fleet = self.lock();
        let server = &mut fleet.servers[index];
        server.is_up = true;
        server.born_ms = unix_ms();
        server.began = Instant::now();
        server.seq = 0;
        server.token = 0;
        server.lease_until_ms = 0;
        server.next_end = 1;
        self.record
            .note(&format!("server {} starts again", server.id));
    }

    fn tick(&self) {
        let now = Instant::now();
        let mut fleet = self.lock();
        let mut done = Vec::new();
        for server in &mut fleet.servers {
            let has_lapsed = server.clock_ms() > server.lease_until_ms;
            server.lapses += u64::from(has_lapsed);
            let due = server
                .running
                .iter()
                .filter(|(_, run)| has_lapsed || now >= run.until);
            let due: Vec<String> = due.map(|(task, _)| task.clone()).collect();
            for task in due {
                let how = if has_lapsed { "lapsed" } else { "done" };
                let run = server.running.get(&task).map_or(0, |run| run.number);
                server.end(&task, how);
                self.record
                    .note(&format!("{task} ends {how} on {}", server.id));
                if how == "done" {
                    done.push((task, run));
                }
            }
        }
        for (task, run) in done {
            fleet.done.entry(task).or_insert(Done {
                at: now,
                run,
                is_noted: false,
            });
        }
    }

    fn answer(&self, index: usize, request: &Request) -> Reply {
        let Some(body) = Json::parse(&request.body) else {
            return Reply::Body(400, "{}".to_owned());
        };
        let expected = request.headers.get("x-camphorbeam-expected-instance");
        {
            let mut fleet = self.lock();
            let server = &mut fleet.servers[index];
            if !server.is_up {
                return Reply::Close;
            }
            let born = server.born_ms;
            let clock_ms = server.clock_ms();
            let reply = |status, reason: &str| {
                let reason = json::quote(reason);
                let body =
                    format!("{{\"clock_ms\":{clock_ms},\"born\":{born},\"reason\":{reason}}}");
                Reply::Body(status, body)
            };
            if expected.is_some_and(|id| *id != server.id) {
                return reply(421, "");
            }
            let token = body.get("fencing_token").number();
            if token < server.token {
                return reply(409, "fence");
            }
            server.token = token;
            let task = body.get("task").text().to_owned();
            let run = body.get("run").number();
            match request.path.as_str() {
                "/-/run-start" => {
                    let (status, reason) = self.start(&mut fleet, index, &task, run, &body);
                    if status == 200 {
                        return reply(200, "");
                    }
                    return reply(status, reason);
                }
                "/-/run-stop" => {
                    let closed = server.closed_runs.entry(task.clone()).or_default();
                    *closed = run.max(*closed);
                    if server
                        .running
                        .get(&task)
                        .is_some_and(|known| known.number <= run)
                    {
                        server.end(&task, "stopped");
                        self.record.note(&format!("{task} run {run} is stopped"));
                    }
                    return reply(200, "");
                }
                "/-/pace" => return reply(200, ""),
                "/-/hold" => {}
                _ => return Reply::Body(404, "{}".to_owned()),
            }
        }
        self.hold(index, &body)
    }

    fn start(
        &self,
        fleet: &mut Fleet,
        index: usize,
        task: &str,
        run: u64,
        body: &Json,
    ) -> (u16, &'static str) {
        let job = task.split('.').next().unwrap_or_default();
        let Some(needs) = fleet.jobs.get(job).cloned() else {
            return (400, "");
        };
        let server = &mut fleet.servers[index];
        let clock_ms = server.clock_ms();
        let until_ms = body.get("until_ms").number().min(clock_ms + MAX_HOLD_MS);
        if server
            .running
            .get(task)
            .is_some_and(|known| known.number == run)
        {
            return (200, "");
        }
        if until_ms <= clock_ms {
            return (409, "late");
        }
        server.lease_until_ms = server.lease_until_ms.max(until_ms);
        if server
            .closed_runs
            .get(task)
            .is_some_and(|closed| run <= *closed)
        {
            return (409, "old");
        }
        if !server.room.fits(server.used().plus(needs.need)) {
            return (409, "room");
        }
        let now = Instant::now();
        let work = Duration::from_millis(needs.work_ms);
        server.running.insert(
            task.to_owned(),
            Run {
                number: run,
                until: now + work,
                work,
                need: needs.need,
            },
        );
        let step = |name: &str| name.rsplit_once('.').map(|(step, _)| step.to_owned());
        let is_beside = |name: &&String| *name != task && step(name) == step(task);
        let beside = server.running.keys().filter(is_beside).count() as u32;
        let id = server.id.clone();
        self.record
            .note(&format!("{task} run {run} starts on {id}"));
        fleet.starts.push(Start {
            at: now,
            server: index,
            task: task.to_owned(),
            run,
            beside,
        });
        (200, "")
    }

    fn hold(&self, index: usize, body: &Json) -> Reply {
        let until = Instant::now() + Duration::from_millis(body.get("wait_ms").number().min(2_000));
        let mut first_born = None;
        loop {
            {
                let mut fleet = self.lock();
                let Fleet { servers, done, .. } = &mut *fleet;
                let server = &mut servers[index];
                if !server.is_up || first_born.is_some_and(|born| born != server.born_ms) {
                    return Reply::Close;
                }
                if first_born.is_none() {
                    let clock_ms = server.clock_ms();
                    let until_ms = body.get("until_ms").number().min(clock_ms + MAX_HOLD_MS);
                    server.lease_until_ms = server.lease_until_ms.max(until_ms);
                    let seen_upto = body.get("seen_upto").number();
                    let noted = server.ended.iter().filter(|end| {
                        end.number <= seen_upto && end.how == "done" && end.lapses == server.lapses
                    });
                    for end in noted {
                        if let Some(done) = done.get_mut(&end.task) {
                            done.is_noted |= done.run == end.run;
                        }
                    }
                    server.ended.retain(|end| end.number > seen_upto);
                    first_born = Some(server.born_ms);
                }
                if !server.ended.is_empty() || Instant::now() >= until {
                    return Reply::Body(200, hold_reply(server));
                }
            }
            thread::sleep(TICK);
        }
    }
}

fn hold_reply(server: &BackendServer) -> String {
    let now = Instant::now();
    let running: Vec<String> = server
        .running
        .iter()
        .map(|(task, run)| {
            let left = run.until.saturating_duration_since(now).as_secs_f64();
            let percent = 100.0 * (1.0 - left / run.work.as_secs_f64().max(0.001));
            let load = run.need.cpu;
            format!(
                "[{},{},\"\",{},{load}]",
                json::quote(task),
                run.number,
                percent as u64
            )
        })
        .collect();
    let ended: Vec<String> = server
        .ended
        .iter()
        .take(500)
        .map(|end| {
            format!(
                "[{},{},{},\"{}\",\"\"]",
                end.number,
                json::quote(&end.task),
                end.run,
                end.how
            )
        })
        .collect();
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        server.clock_ms(),
        server.born_ms,
        running.join(","),
        ended.join(",")
    )
}
