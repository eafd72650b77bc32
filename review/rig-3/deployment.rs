//! A small deployment: the store, backend servers, and entry hosts as processes with the command of
//! `deploy/system.toml`.

use std::collections::BTreeMap;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::workers::{Need, Worker};

pub const SERVICE: &str = "meter";
pub const QUEUE_HOST: &str = "jobs.example";
pub const KEY: &str = "key-one";
pub const OTHER_KEY: &str = "key-two";

extern "C" {
    fn prctl(option: i32, value: u64, ...) -> i32;
}

/// Lets the kernel kill this process when the one that started it ends, also if that is killed.
fn end_with_parent() {
    const PR_SET_PDEATHSIG: i32 = 1;
    const SIGKILL: u64 = 9;
    // SAFETY: the option takes one number and touches no memory.
    unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) };
}

/// How long a client waits for a response; sent with each call.
const DEADLINE_MS: u64 = 3_000;

/// `heartbeat_ms` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

pub struct Host {
    pub name: String,
    pub caller: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub workers: Vec<Arc<Worker>>,
    pub hosts: Vec<Host>,
    pub needs: Arc<Mutex<BTreeMap<(String, String), Need>>>,
    program: PathBuf,
    args: Vec<String>,
    directory: PathBuf,
}

/// The row with which a worker registers.
pub fn entry_of(number: usize, worker: &Worker) -> String {
    worker.entry(SERVICE, "zone-a", &format!("r1-{}", number / 8))
}

/// The temporary folder of this process.
pub fn directory() -> PathBuf {
    std::env::temp_dir().join(format!("camphorbeam-review-3-{}", std::process::id()))
}

/// The words of `run` in the deploy file.
fn command_words(root: &Path) -> Option<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/system.toml")).ok()?;
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))?;
    Some(
        line.trim_end_matches('"')
            .split(' ')
            .map(str::to_owned)
            .collect(),
    )
}

fn free_port(ip: Ipv4Addr) -> std::io::Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

impl Deployment {
    /// Starts everything and waits until all hosts are ready and a job has run.
    pub fn start(
        record: Arc<Record>,
        host_count: usize,
        worker_count: usize,
    ) -> Result<Self, String> {
        let root = std::env::current_dir().map_err(|error| error.to_string())?;
        let words = command_words(&root).ok_or("no command in the deploy file")?;
        let program = root.join(&words[0]);
        if !program.exists() {
            return Err(format!("{} is not built", words[0]));
        }
        let directory = directory();
        std::fs::create_dir_all(&directory).map_err(|error| error.to_string())?;
        let store = Store::new();
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let store_address = listener.local_addr().map_err(|error| error.to_string())?;
        http::serve(listener, store.handler());
        let mut deployment = Self {
            record,
            store,
            workers: Vec::new(),
            hosts: Vec::new(),
            needs: Arc::default(),
            program,
            args: words[1..].to_vec(),
            directory,
        };
        deployment.store.put("op", "config", &configuration());
        for number in 0..worker_count {
            let id = format!("i-{number:010x}");
            let capacity = Need {
                cpu: 64_000,
                mem_mb: 131_072,
                gpu: 8,
            };
            let needs = Arc::clone(&deployment.needs);
            let worker = Worker::start(&id, capacity, needs, Arc::clone(&deployment.record));
            let entry = entry_of(number, &worker);
            deployment.store.put("servers", &id, &entry);
            deployment.workers.push(worker);
        }
        deployment.send_heartbeats();
        deployment
            .add_hosts(host_count, store_address)
            .map_err(|error| error.to_string())?;
        for index in 0..host_count {
            deployment
                .start_host(index)
                .map_err(|error| error.to_string())?;
        }
        deployment.await_ready()?;
        Ok(deployment)
    }

    /// Writes the entry of each worker that is up every heartbeat, and removes that of one that has
    /// been silent for three.
    fn send_heartbeats(&self) {
        let store = Arc::clone(&self.store);
        let workers = self.workers.clone();
        std::thread::spawn(move || {
            let mut missed = vec![0; workers.len()];
            loop {
                std::thread::sleep(HEARTBEAT);
                for (number, worker) in workers.iter().enumerate() {
                    missed[number] = if worker.is_up() {
                        0
                    } else {
                        missed[number] + 1
                    };
                    match missed[number] {
                        0 => store.put("servers", &worker.id, &entry_of(number, worker)),
                        3 => store.remove("servers", &worker.id),
                        _ => 0,
                    };
                }
            }
        });
    }

    fn add_hosts(&mut self, count: usize, store: SocketAddr) -> std::io::Result<()> {
        // Each host of each script has an address of its own, since the port of the metrics is fixed.
        let process = std::process::id();
        let (range, block) = ((process / 200 % 200) as u8 + 20, (process % 200) as u8 + 20);
        let ips: Vec<_> = (0..count)
            .map(|number| Ipv4Addr::new(127, range, block, 10 + number as u8))
            .collect();
        let mut controls = Vec::new();
        for ip in &ips {
            controls.push(SocketAddr::from((*ip, free_port(*ip)?)));
        }
        let seeds: Vec<String> = controls
            .iter()
            .take(3)
            .map(|seed| format!("\"{seed}\""))
            .collect();
        for (number, ip) in ips.iter().enumerate() {
            let caller = SocketAddr::from((*ip, free_port(*ip)?));
            let ready = SocketAddr::from((*ip, free_port(*ip)?));
            let name = format!("front-zone-a-{}", number + 1);
            let settings = format!(
                "{{\"node\":\"{name}\",\"role\":\"host\",\"class\":\"front\",\"serves\":[\"front\",\"control\"],\"ip\":\"{ip}\",\
                 \"zone\":\"zone-a\",\"region\":\"here\",\"zones\":{{\"zone-a\":\"here\"}},\
                 \"listen\":{{\"front\":\"{caller}\",\"ready\":\"{ready}\",\"control\":\"{}\"}},\"internal_ports\":[7000,7015],\
                 \"seeds\":[{}],\"bootstrap\":true,\
                 \"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}},\
                 \"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1500,\
                 \"bounds\":{{\"grace_s\":6,\"max_hold_ms\":6000,\"reclaim_ms\":3400,\"stop_ms\":900,\"far_x\":3,\"early_ms\":250,\
                 \"status_s\":120,\"cancel_ms\":3000,\"visible_ms\":3000,\"finish_s\":14}},\"orders\":\"call\",\
                 \"platform\":{{\"address\":\"{store}\",\"form\":\"table\",\"row_bytes\":65536}}}}",
                controls[number],
                seeds.join(",")
            );
            let path = self.directory.join(format!("{name}.json"));
            std::fs::write(&path, settings)?;
            self.hosts.push(Host {
                log: self.directory.join(format!("{name}.log")),
                name,
                caller,
                ready,
                settings: path,
                child: None,
            });
        }
        Ok(())
    }

    pub fn start_host(&mut self, index: usize) -> std::io::Result<()> {
        let host = &mut self.hosts[index];
        let log = File::options().create(true).append(true).open(&host.log)?;
        let mut command = Command::new(&self.program);
        command
            .args(&self.args)
            .env("CAMPHORBEAM_CONFIG", &host.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: the call only sets an attribute of the new process.
        unsafe { command.pre_exec(|| Ok(end_with_parent())) };
        let child = command.spawn()?;
        host.child = Some(child);
        self.record
            .write(&format!("host {}: process started", host.name));
        Ok(())
    }

    fn await_ready(&self) -> Result<(), String> {
        let end = Instant::now() + Duration::from_secs(15);
        let is_ready = |host: &Host| self.is_ready(host);
        while !self.hosts.iter().all(is_ready) {
            if Instant::now() > end {
                return Err("the hosts don't become ready".to_owned());
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.write("all hosts are ready");
        Ok(())
    }

    /// Whether a host answers its readiness check with 200.
    pub fn is_ready(&self, host: &Host) -> bool {
        let limit = Duration::from_secs(1);
        let reply = http::call(
            host.ready,
            "GET",
            "/-/ready",
            &[("host", "ready")],
            "",
            limit,
        );
        matches!(reply, Ok((200, _)))
    }

    /// Makes a client's call, and records it.
    pub fn call(
        &self,
        index: usize,
        method: &str,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<(u16, String), String> {
        let (bearer, deadline) = (format!("Bearer {key}"), DEADLINE_MS.to_string());
        let headers = [
            ("host", QUEUE_HOST),
            ("authorization", bearer.as_str()),
            ("x-camphorbeam-deadline-ms", deadline.as_str()),
            ("content-type", "application/json"),
        ];
        let host = &self.hosts[index];
        let limit = Duration::from_millis(DEADLINE_MS);
        let reply = http::call(host.caller, method, path, &headers, body, limit);
        let answer = match &reply {
            Ok((status, body)) => format!("{status} {body}"),
            Err(error) => format!("no response: {error}"),
        };
        self.record.write(&format!(
            "client at {}: {method} {path} {body} -> {answer}",
            host.name
        ));
        reply
    }

    /// Names what a task of a step needs, for the servers that check it.
    pub fn set_need(&self, job: &str, step: u32, need: Need) {
        let key = (job.to_owned(), step.to_string());
        self.needs.lock().unwrap().insert(key, need);
    }

    /// Submits a job as a client does: repeats a call without an answer at the next host. Returns
    /// whether it was accepted.
    pub fn submit(&self, first: usize, path: &str, key: &str, body: &str) -> bool {
        (0..4).any(|attempt| {
            let index = (first + attempt) % self.hosts.len();
            let reply = self.call(index, "POST", path, key, body);
            let is_accepted = matches!(reply, Ok((200..=299, _)));
            if !is_accepted {
                std::thread::sleep(Duration::from_millis(500));
            }
            is_accepted
        })
    }

    /// The state of a job at one host after the other; `None` if none answers.
    pub fn state(&self, first: usize, path: &str, key: &str) -> Option<String> {
        (0..self.hosts.len()).find_map(|attempt| {
            let index = (first + attempt) % self.hosts.len();
            match self.call(index, "GET", path, key, "") {
                Ok((200, body)) => {
                    let state = crate::json::parse(&body)?.get("state").text().to_owned();
                    Some(state)
                }
                Ok((410, _)) => Some("410".to_owned()),
                _ => None,
            }
        })
    }

    /// Resident memory of a host's process in megabytes; `None` if it doesn't run.
    pub fn memory_mb(&self, index: usize) -> Option<u64> {
        let child = self.hosts[index].child.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace()
            .next()?
            .parse::<u64>()
            .ok()
            .map(|kb| kb / 1_024)
    }

    /// Kills a host's process.
    pub fn kill(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if let Some(mut child) = host.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The hosts whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<String> {
        let mut names = Vec::new();
        for host in &mut self.hosts {
            if let Some(child) = &mut host.child {
                if let Ok(Some(status)) = child.try_wait() {
                    names.push(format!("{} ({status})", host.name));
                    host.child = None;
                }
            }
        }
        names
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for index in 0..self.hosts.len() {
            self.kill(index);
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn configuration() -> String {
    let route = |name: &str, priority: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{QUEUE_HOST}\",\"path_prefix\":\"/{name}/\",\"service\":\"{SERVICE}\",\"timeout_ms\":3000,\
             \"target_duration_ms\":1000,\"priority\":{priority},\"max_attempts\":4,\"stretch\":3.0,\"public\":false}}"
        )
    };
    format!(
        "{{\"version\":3,\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"enforces_capacity\":true}}],\
         \"limits\":{{\"max_body_bytes\":262144}},\
         \"tenants\":[{{\"name\":\"one\",\"api_keys\":[\"{KEY}\"],\"guaranteed\":{{\"gpu\":8}}}},\
         {{\"name\":\"two\",\"api_keys\":[\"{OTHER_KEY}\"],\"guaranteed\":{{\"gpu\":8}}}}]}}",
        route("checks", 0),
        route("batches", 2)
    )
}
