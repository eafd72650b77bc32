//! A small deployment: entry hosts, store, backend servers, and the calls of clients.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::backend_servers::{BackendServers, JobNeeds, Room};
use crate::hosts::{Hosts, Network};
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// How long a client waits for a response: the deadline of the sites' requests.
pub const DEADLINE: Duration = Duration::from_millis(3_000);

/// `contact_ms` of the settings.
pub const CONTACT: Duration = Duration::from_millis(3_000);

const SERVICE: &str = "svc7k2";
const HOST_NAME: &str = "jobs.example";

/// Queues by their priority: the path prefix of each.
pub const URGENT: &str = "/urgent/";
pub const NORMAL: &str = "/normal/";
pub const BATCH: &str = "/batch/";

const KEY: &str = "d4a3hwrr6x73d3zji9n7";

const CONFIGURATION: &str = concat!(
    "{\"version\":1,\"routes\":[",
    "{\"name\":\"r-urgent\",\"host\":\"jobs.example\",\"path_prefix\":\"/urgent/\",\"kind\":\"unsafe\",",
    "\"timeout_ms\":3000,\"target_duration_ms\":250,\"priority\":0,\"service\":\"svc7k2\",",
    "\"max_attempts\":4,\"stretch\":1.5,\"public\":false},",
    "{\"name\":\"r-normal\",\"host\":\"jobs.example\",\"path_prefix\":\"/normal/\",\"kind\":\"unsafe\",",
    "\"timeout_ms\":3000,\"target_duration_ms\":1000,\"priority\":1,\"service\":\"svc7k2\",",
    "\"max_attempts\":2,\"stretch\":3.0,\"public\":false},",
    "{\"name\":\"r-batch\",\"host\":\"jobs.example\",\"path_prefix\":\"/batch/\",\"kind\":\"unsafe\",",
    "\"timeout_ms\":3000,\"target_duration_ms\":3000,\"priority\":2,\"service\":\"svc7k2\",",
    "\"max_attempts\":4,\"stretch\":3.0,\"public\":false}],",
    "\"services\":[{\"name\":\"svc7k2\",\"health_path\":\"/health\",\"max_conns\":64,",
    "\"protocol\":\"h1\",\"tls\":false,\"enforces_capacity\":true,\"spare\":false}],",
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,",
    "\"idle_timeout_ms\":15000},",
    "\"tenants\":[{\"name\":\"kaje80\",\"api_keys\":[\"d4a3hwrr6x73d3zji9n7\"],\"priority\":1,",
    "\"guaranteed\":{\"gpu\":8}}]}"
);

pub struct System {
    pub hosts: Hosts,
    pub store: Arc<Store>,
    pub servers: BackendServers,
    pub record: Arc<Record>,
    /// When each accepted job was acknowledged.
    pub accepted: BTreeMap<String, Instant>,
    submitted: u64,
    /// Marks the network as used.
    _mark: TcpListener,
}

/// A step that a client hands in.
#[derive(Clone, Copy, Default)]
pub struct Step {
    pub count: u32,
    pub need: Room,
    pub work_ms: u64,
    /// `anti_affinity`; 0 for no limit.
    pub per_server: u32,
    /// Length of the text in the job's `spec`.
    pub spec_bytes: usize,
}

impl System {
    /// Starts `host_count` entry hosts and servers with these kinds, in racks of eight.
    pub fn start(
        directory: &Path,
        host_count: usize,
        room: Room,
        kinds: &[&str],
    ) -> Result<System, String> {
        System::start_over(directory, host_count, room, kinds, None)
    }

    /// The same with entry hosts that have narrow links to the store.
    pub fn start_over(
        directory: &Path,
        host_count: usize,
        room: Room,
        kinds: &[&str],
        narrow_mbps: Option<f64>,
    ) -> Result<System, String> {
        let text = |what: &str| what.to_owned();
        let record = Record::create(directory).map_err(|error| error.to_string())?;
        let record = Arc::new(record);
        let machine_count = host_count + kinds.len();
        let picked = Network::pick(machine_count);
        let (network, mark) = picked.ok_or_else(|| text("no free network"))?;
        let store = Store::new();
        store.put("op", "config", CONFIGURATION);
        let servers = BackendServers::new(SERVICE, &store, &record);
        for (index, kind) in kinds.iter().enumerate() {
            let listener = network
                .listener(host_count + index)
                .map_err(|error| error.to_string())?;
            let zone = crate::hosts::ZONES[index % crate::hosts::ZONES.len()];
            servers.add(listener, zone, room, kind, &format!("r1-{}", index / 8));
        }
        let hosts = Hosts::start(host_count, network, &store, narrow_mbps);
        let hosts = hosts.ok_or_else(|| text("the entry hosts don't start"))?;
        record.note("all entry hosts are ready");
        let accepted = BTreeMap::new();
        Ok(System {
            hosts,
            store,
            servers,
            record,
            accepted,
            submitted: 0,
            _mark: mark,
        })
    }

    pub fn front(&self, host: usize) -> SocketAddr {
        self.hosts.hosts[host].front
    }

    /// The host that renews the lease of the scheduler, by the store's rows.
    pub fn leader(&self) -> Option<usize> {
        let lease = Json::parse(&self.store.text("control", "main", "lease")?)?;
        self.hosts.index_of(lease.get("holder").text())
    }

    /// Hands a job in at a host, and again at the next ones after no response, a broken connection,
    /// a 502 or a 504. Returns its id.
    pub fn submit(&mut self, host: usize, queue: &str, step: Step) -> String {
        self.submitted += 1;
        let id = format!("5c0e7a21{:08x}", self.submitted);
        let mut fields = format!(
            "\"count\":{},\"cpu\":{},\"mem_mb\":{},\"estimate_ms\":{}",
            step.count, step.need.cpu, step.need.mem_mb, step.work_ms
        );
        if step.need.gpu > 0 {
            fields += &format!(",\"gpu\":{}", step.need.gpu);
        }
        if step.per_server > 0 {
            fields += &format!(",\"anti_affinity\":{}", step.per_server);
        }
        let body = format!(
            "{{\"spec\":\"work {}{}\",\"steps\":[{{{fields}}}]}}",
            step.work_ms,
            ".".repeat(step.spec_bytes)
        );
        let needs = JobNeeds {
            need: step.need,
            work_ms: step.work_ms,
        };
        self.servers.lock().jobs.insert(id.clone(), needs);
        for attempt in 0..4 {
            let at = (host + attempt) % self.hosts.hosts.len();
            let answer = self.call(at, "POST", &format!("{queue}{id}"), &body);
            match answer {
                Some((200..=299, _)) => {
                    self.accepted.insert(id.clone(), Instant::now());
                    break;
                }
                Some((502 | 504, _)) | None => {}
                Some(_) => break,
            }
        }
        id
    }

    /// A call of a client. Returns the status and the body.
    pub fn call(&self, host: usize, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let key = format!("Bearer {KEY}");
        let deadline = DEADLINE.as_millis().to_string();
        let headers = [
            ("Host", HOST_NAME),
            ("Authorization", key.as_str()),
            ("X-Camphorbeam-Deadline-Ms", deadline.as_str()),
        ];
        let short: String = body.chars().take(200).collect();
        let name = &self.hosts.hosts[host].name;
        self.record
            .note(&format!("-> {name} {method} {path} {short}"));
        let answer = http::call(self.front(host), method, path, &headers, body, DEADLINE);
        let shown = match &answer {
            Some((status, body)) => format!("{status} {body}"),
            None => "no response".to_owned(),
        };
        self.record
            .note(&format!("<- {name} {method} {path} {shown}"));
        answer
    }

    /// The state of a job according to a host.
    pub fn state(&self, host: usize, queue: &str, id: &str) -> Option<String> {
        let (status, body) = self.call(host, "GET", &format!("{queue}{id}"), "")?;
        (status == 200)
            .then(|| Json::parse(&body).map(|body| body.get("state").text().to_owned()))?
    }

    /// Whether a host is in touch: nothing was done to it in the last `contact_ms`.
    pub fn is_in_touch(&self, host: usize) -> bool {
        self.hosts.hosts[host].disturbed.elapsed() > CONTACT
    }
}
