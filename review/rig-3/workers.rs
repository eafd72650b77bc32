//! Backend servers with the platform's task interface.
//!
//! The payload of a job says how long its tasks work: `work_ms=1500`, or `lasts`. Everything that is asked and
//! answered, and every start and end, goes into the record.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Handler, Reply, Request};
use crate::json::{self, quote, Json};
use crate::record::Record;

const MAX_HOLD_MS: u64 = 6_000;
const ENDS_LISTED_MAX: usize = 500;
const TICK: Duration = Duration::from_millis(10);

/// What a task takes.
#[derive(Clone, Copy, Default)]
pub struct Need {
    pub cpu: u64,
    pub mem_mb: u64,
    pub gpu: u64,
}

struct Run {
    number: u64,
    need: Need,
    started: Instant,
    /// `None` for a task that lasts.
    work: Option<Duration>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
}

struct Life {
    born_unix_ms: u64,
    started: Instant,
    fence: u64,
    until_ms: u64,
    running: BTreeMap<String, Run>,
    /// Highest run of each task that has ended here or was stopped.
    past_runs: BTreeMap<String, u64>,
    ended: Vec<End>,
    ends: u64,
}

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub capacity: Need,
    life: Mutex<Life>,
    ended: Condvar,
    record: Arc<Record>,
    /// The need of a task, by the id of its job and its step.
    needs: Arc<Mutex<BTreeMap<(String, String), Need>>>,
    server: Mutex<Option<http::Server>>,
    heartbeats: AtomicU64,
    /// Number of starts until the worker crashes in place of an answer; none if zero.
    starts_to_crash: AtomicU64,
}

fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// How long a task works; `None` for one that lasts.
fn work_of(spec: &str) -> Option<Duration> {
    let digits = spec.strip_prefix("work_ms=")?;
    digits.parse().ok().map(Duration::from_millis)
}

impl Life {
    fn new() -> Self {
        Self {
            born_unix_ms: unix_ms(),
            started: Instant::now(),
            fence: 0,
            until_ms: 0,
            running: BTreeMap::new(),
            past_runs: BTreeMap::new(),
            ended: Vec::new(),
            ends: 0,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn extend(&mut self, until_ms: u64) {
        let longest_ms = self.clock_ms() + MAX_HOLD_MS;
        self.until_ms = self.until_ms.max(until_ms.min(longest_ms));
    }

    fn end(&mut self, task: &str, how: &'static str) -> Option<u64> {
        let run = self.running.remove(task)?;
        let past = self.past_runs.entry(task.to_owned()).or_default();
        *past = (*past).max(run.number);
        self.ends += 1;
        self.ended.push(End {
            number: self.ends,
            task: task.to_owned(),
            run: run.number,
            how,
        });
        Some(run.number)
    }
}

impl Worker {
    pub fn start(
        id: &str,
        capacity: Need,
        needs: Arc<Mutex<BTreeMap<(String, String), Need>>>,
        record: Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            capacity,
            life: Mutex::new(Life::new()),
            ended: Condvar::new(),
            record,
            needs,
            server: Mutex::default(),
            heartbeats: AtomicU64::new(0),
            starts_to_crash: AtomicU64::new(0),
        });
        worker.serve(listener);
        let ticker = Arc::clone(&worker);
        std::thread::spawn(move || loop {
            std::thread::sleep(TICK);
            ticker.tick();
        });
        worker
    }

    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let worker = Arc::clone(self);
        let handler: Arc<Handler> = Arc::new(move |request| worker.handle(request));
        *self.server.lock().unwrap() = Some(http::serve(listener, handler));
    }

    /// Lets the worker crash while it handles the start with this number from now on, from 1.
    pub fn crash_at_start(&self, number: u64) {
        self.starts_to_crash.store(number, Ordering::SeqCst);
    }

    /// Whether that crash is still to come.
    pub fn will_crash(&self) -> bool {
        self.starts_to_crash.load(Ordering::SeqCst) > 0
    }

    /// Ends the worker's process: its runs are gone, and its port has no listener.
    pub fn crash(&self) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let mut life = self.life.lock().unwrap();
        let lost: Vec<String> = life.running.keys().cloned().collect();
        *life = Life::new();
        drop(life);
        self.record
            .write(&format!("worker {}: crashed, with it {lost:?}", self.id));
    }

    /// Whether the worker's process runs.
    pub fn is_up(&self) -> bool {
        self.server.lock().unwrap().is_some()
    }

    /// Starts the worker again after a crash, under its id and address. It knows nothing of before.
    pub fn restart(self: &Arc<Self>) {
        *self.life.lock().unwrap() = Life::new();
        let listener = TcpListener::bind(self.address).expect("the port of before");
        self.serve(listener);
        self.record
            .write(&format!("worker {}: started again", self.id));
    }

    /// What the runs on the worker take together.
    pub fn used(&self) -> Need {
        sum_of(Need::default(), &self.life.lock().unwrap().running)
    }

    /// The tasks that run on the worker.
    pub fn running(&self) -> Vec<String> {
        self.life.lock().unwrap().running.keys().cloned().collect()
    }

    /// The row with which the worker registers.
    pub fn entry(&self, service: &str, zone: &str, rack: &str) -> String {
        let Need { cpu, mem_mb, gpu } = self.capacity;
        let born = self.life.lock().unwrap().born_unix_ms;
        let seq = self.heartbeats.fetch_add(1, Ordering::SeqCst);
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":{},\"version\":\"1\",\"slots\":8,\"state\":\"ready\",\"cold_ms\":0,\"seq\":{seq},\
             \"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{mem_mb},\"gpu\":{gpu}}},\"labels\":[\"a\",{}],\"born\":{born}}}",
            quote(service), self.address, quote(zone), quote(rack)
        )
    }

    fn tick(&self) {
        let mut life = self.life.lock().unwrap();
        let has_lapsed = life.clock_ms() > life.until_ms;
        let over: Vec<(String, &'static str)> = life
            .running
            .iter()
            .filter_map(|(task, run)| match () {
                () if has_lapsed => Some((task.clone(), "lapsed")),
                () if run.work.is_some_and(|work| run.started.elapsed() >= work) => {
                    Some((task.clone(), "done"))
                }
                () => None,
            })
            .collect();
        for (task, how) in &over {
            if *how == "done" {
                self.record.note_done(task);
            }
            let run = life.end(task, how).unwrap_or(0);
            self.record
                .write(&format!("worker {}: {task} run {run} ended {how}", self.id));
        }
        drop(life);
        if !over.is_empty() {
            self.ended.notify_all();
        }
    }

    fn reply(&self, life: &Life, status: u16, reason: &str) -> Reply {
        let (clock_ms, born) = (life.clock_ms(), life.born_unix_ms);
        let body = format!(
            "{{\"clock_ms\":{clock_ms},\"born\":{born},\"reason\":{}}}",
            quote(reason)
        );
        Some((status, body))
    }

    fn handle(&self, request: &Request) -> Reply {
        if request.path == "/-/run-start"
            && self.will_crash()
            && self.starts_to_crash.fetch_sub(1, Ordering::SeqCst) == 1
        {
            self.record.write(&format!(
                "worker {}: crashes while it handles {}",
                self.id, request.body
            ));
            self.crash();
            return None;
        }
        let order = json::parse(&request.body).unwrap_or(Json::Null);
        let mut life = self.life.lock().unwrap();
        let expected = request.header("x-camphorbeam-expected-instance");
        if !expected.is_empty() && expected != self.id {
            return self.reply(&life, 421, "instance");
        }
        let fence = order.get("fencing_token").number();
        if fence < life.fence {
            return self.reply(&life, 409, "fence");
        }
        life.fence = fence;
        let task = order.get("task").text().to_owned();
        let run = order.get("run").number();
        match request.path.as_str() {
            "/-/run-start" => {
                let reason = self.start_run(&mut life, &order, &task, run);
                match reason {
                    None => self.reply(&life, 200, ""),
                    Some(reason) => self.reply(&life, 409, reason),
                }
            }
            "/-/run-stop" => {
                let text = format!("worker {}: {task} run {run} is to be stopped", self.id);
                self.record.write(&text);
                let past = life.past_runs.entry(task.clone()).or_default();
                *past = (*past).max(run);
                if life
                    .running
                    .get(&task)
                    .is_some_and(|running| running.number == run)
                {
                    life.end(&task, "stopped");
                    self.record
                        .write(&format!("worker {}: {task} run {run} stopped", self.id));
                    self.ended.notify_all();
                }
                self.reply(&life, 200, "")
            }
            "/-/pace" => self.reply(&life, 200, ""),
            "/-/hold" => {
                if !order.get("until_ms").is_null() {
                    life.extend(order.get("until_ms").number());
                }
                let seen_upto = order.get("seen_upto").number();
                life.ended.retain(|end| end.number > seen_upto);
                let wait_ms = order.get("wait_ms").number().min(2_000);
                let end = Instant::now() + Duration::from_millis(wait_ms);
                while life.ended.is_empty() {
                    let left = end.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        break;
                    }
                    life = self.ended.wait_timeout(life, left).unwrap().0;
                }
                Some((200, hold_body(&life)))
            }
            _ => self.reply(&life, 404, ""),
        }
    }

    fn start_run(
        &self,
        life: &mut Life,
        order: &Json,
        task: &str,
        run: u64,
    ) -> Option<&'static str> {
        if life
            .running
            .get(task)
            .is_some_and(|running| running.number == run)
        {
            life.extend(order.get("until_ms").number());
            return None;
        }
        if order.get("until_ms").number() <= life.clock_ms() {
            return Some("late");
        }
        life.extend(order.get("until_ms").number());
        let past = life.past_runs.get(task).copied().unwrap_or(0);
        let present = life.running.get(task).map_or(0, |running| running.number);
        if run <= past.max(present) {
            return Some("old");
        }
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default().to_owned();
        let step = parts.nth(1).unwrap_or_default().to_owned();
        let need = self
            .needs
            .lock()
            .unwrap()
            .get(&(job, step))
            .copied()
            .unwrap_or_default();
        let used = sum_of(need, &life.running);
        let capacity = self.capacity;
        if used.cpu > capacity.cpu || used.mem_mb > capacity.mem_mb || used.gpu > capacity.gpu {
            return Some("room");
        }
        let entry = Run {
            number: run,
            need,
            started: Instant::now(),
            work: work_of(order.get("spec").text()),
        };
        life.running.insert(task.to_owned(), entry);
        let fence = order.get("fencing_token").number();
        self.record.write(&format!(
            "worker {}: {task} run {run} started, fencing token {fence}",
            self.id
        ));
        None
    }
}

fn sum_of(need: Need, runs: &BTreeMap<String, Run>) -> Need {
    runs.values().fold(need, |used, other| Need {
        cpu: used.cpu + other.need.cpu,
        mem_mb: used.mem_mb + other.need.mem_mb,
        gpu: used.gpu + other.need.gpu,
    })
}

fn hold_body(life: &Life) -> String {
    // A task that lasts is at work after a second.
    let percent = |run: &Run| {
        let whole = run.work.unwrap_or(Duration::from_secs(1));
        let share = run.started.elapsed().as_secs_f64() / whole.as_secs_f64().max(0.001);
        let most = if run.work.is_some() { 99.0 } else { 100.0 };
        (100.0 * share).min(most) as u64
    };
    let running = life
        .running
        .iter()
        .map(|(task, run)| format!("[{},{},\"\",{},0]", quote(task), run.number, percent(run)));
    let listed = life.ended.iter().take(ENDS_LISTED_MAX);
    let ended = listed.map(|end| {
        format!(
            "[{},{},{},\"{}\",\"\"]",
            end.number,
            quote(&end.task),
            end.run,
            end.how
        )
    });
    format!(
        "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"ended\":[{}]}}",
        life.clock_ms(),
        life.born_unix_ms,
        running.collect::<Vec<_>>().join(","),
        ended.collect::<Vec<_>>().join(",")
    )
}
