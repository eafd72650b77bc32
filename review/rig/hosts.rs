//! The entry hosts: the project's program as separate processes, with the command of the deploy
//! file and settings like those of a small deployment.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::backend_servers;
use crate::guard;
use crate::http::{self, Link};
use crate::store::Store;

/// The port of the metrics in the deploy file's command.
const METRICS_PORT: u16 = 7010;

/// Bandwidth of a link on the small sites.
const USUAL_MBPS: f64 = 1_000.0;

/// Bytes of one connection that are on their way over a narrow link.
const WINDOW: usize = 64 * 1024;

/// Number of the machine whose address marks a network as used. It runs nothing.
const MARK_MACHINE: usize = 200;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Option<Arc<Mutex<Child>>>,
    log: PathBuf,
    /// When the last disruption of this machine began or ended, by this rig.
    pub disturbed: Instant,
}

pub struct Hosts {
    pub hosts: Vec<Host>,
    directory: PathBuf,
    command: Vec<String>,
}

/// A network of loopback addresses of which the rig takes one for each machine.
#[derive(Clone, Copy)]
pub struct Network(u8, u8);

impl Network {
    /// Picks a network that no other rig uses, and in which the port of the metrics is free for
    /// `count` machines. The listener marks it as used.
    pub fn pick(count: usize) -> Option<(Network, TcpListener)> {
        (0..50).find_map(|attempt| {
            let mixed = backend_servers::unix_ms()
                ^ (u64::from(std::process::id()) << 7)
                ^ (attempt * 7_919);
            let network = Network(1 + (mixed % 250) as u8, 1 + (mixed / 250 % 250) as u8);
            let mark = TcpListener::bind((network.address(MARK_MACHINE), METRICS_PORT)).ok()?;
            let is_free = |host| TcpListener::bind((network.address(host), METRICS_PORT)).is_ok();
            (0..count).all(is_free).then_some((network, mark))
        })
    }

    pub fn address(self, machine: usize) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.0, self.1, 10 + machine as u8))
    }

    /// A listener on a free port of a machine's address.
    pub fn listener(self, machine: usize) -> std::io::Result<TcpListener> {
        TcpListener::bind((self.address(machine), 0))
    }
}

/// The words of the command in the deploy file.
fn deploy_command() -> Option<Vec<String>> {
    let text = fs::read_to_string("deploy/system.toml").ok()?;
    let line = text.lines().find(|line| line.starts_with("run = "))?;
    let words = line.split('"').nth(1)?.split(' ').map(str::to_owned);
    Some(words.collect())
}

impl Hosts {
    /// Starts `count` entry hosts on the first machines of `network`.
    /// With `narrow_mbps`, what the store sends to each passes over a link of that bandwidth.
    pub fn start(
        count: usize,
        network: Network,
        store: &Arc<Store>,
        narrow_mbps: Option<f64>,
    ) -> Option<Hosts> {
        let directory =
            std::env::temp_dir().join(format!("camphorbeam-review-{}", std::process::id()));
        fs::create_dir_all(&directory).ok()?;
        guard::set_directory(directory.clone());
        let mut hosts = Hosts {
            hosts: Vec::new(),
            directory,
            command: deploy_command()?,
        };
        let mut addresses = Vec::new();
        let mut store_addresses = Vec::new();
        for host in 0..count {
            // All at once, so that they are distinct.
            let mut listeners: Vec<TcpListener> =
                (0..4).map_while(|_| network.listener(host).ok()).collect();
            let taken: Vec<SocketAddr> = listeners
                .iter()
                .filter_map(|listener| listener.local_addr().ok())
                .collect();
            addresses.push((*taken.first()?, *taken.get(1)?, *taken.get(2)?));
            store_addresses.push(*taken.get(3)?);
            let link = narrow_mbps.map(|mbps| Arc::new(Link::new(mbps, WINDOW)));
            store.serve(listeners.pop()?, link);
        }
        let seeds: Vec<String> = addresses
            .iter()
            .take(3)
            .map(|(.., control)| format!("\"{control}\""))
            .collect();
        for (host, (front, ready, control)) in addresses.iter().enumerate() {
            let store_address = store_addresses[host];
            let name = format!("front-{}-{host}", ZONES[host % ZONES.len()]);
            let settings = format!(
                concat!(
                    "{{\"node\":\"{name}\",\"role\":\"host\",\"class\":\"front\",",
                    "\"serves\":[\"front\",\"control\"],\"ip\":\"{ip}\",\"zone\":\"{zone}\",",
                    "\"region\":\"region-1\",\"zones\":{{\"zone-a\":\"region-1\",",
                    "\"zone-b\":\"region-1\",\"zone-c\":\"region-1\"}},",
                    "\"listen\":{{\"front\":\"{front}\",\"ready\":\"{ready}\",\"control\":\"{control}\"}},",
                    "\"internal_ports\":[7000,7015],\"seeds\":[{seeds}],\"bootstrap\":true,",
                    "\"limits\":{{\"cpu_share\":0.25,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,",
                    "\"link_mbps\":{mbps},\"disk_mb\":0}},\"data_dir\":null,\"heartbeat_ms\":1500,",
                    "\"bounds\":{{\"contact_ms\":3000,\"ack_ms\":4000,\"grace_s\":6,",
                    "\"loss_slack_ms\":200,\"config_apply_ms\":2000,\"max_hold_ms\":6000,",
                    "\"stop_ms\":900,\"gang_timeout_ms\":3000,\"cancel_ms\":3000,",
                    "\"visible_ms\":3000,\"early_ms\":250,\"finish_s\":14,\"status_s\":120,",
                    "\"far_x\":3,\"reclaim_ms\":3400,\"lease_ms\":3000}},\"orders\":\"call\",",
                    "\"platform\":{{\"address\":\"{store}\",\"form\":\"table\",",
                    "\"writes_per_s\":600,\"reads_per_s\":2000,\"tx_ms\":5.0,",
                    "\"part_writes_per_s\":200,\"row_bytes\":65536,\"across\":false,",
                    "\"history_s\":20}}}}"
                ),
                name = name,
                ip = network.address(host),
                zone = ZONES[host % ZONES.len()],
                front = front,
                ready = ready,
                control = control,
                seeds = seeds.join(","),
                store = store_address,
                mbps = narrow_mbps.unwrap_or(USUAL_MBPS)
            );
            let path = hosts.directory.join(format!("{name}.json"));
            fs::write(&path, settings).ok()?;
            hosts.hosts.push(Host {
                log: hosts.directory.join(format!("{name}.log")),
                name,
                front: *front,
                ready: *ready,
                settings: path,
                child: None,
                disturbed: Instant::now(),
            });
        }
        (0..count).try_for_each(|host| hosts.launch(host))?;
        let until = Instant::now() + Duration::from_secs(20);
        while !(0..count).all(|host| hosts.is_ready(host)) {
            if Instant::now() > until {
                return None;
            }
            thread::sleep(Duration::from_millis(50));
        }
        Some(hosts)
    }

    /// Starts the process of a host.
    pub fn launch(&mut self, host: usize) -> Option<()> {
        let (program, words) = self.command.split_first()?;
        let host = &mut self.hosts[host];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&host.log)
            .ok()?;
        let mut command = Command::new(program);
        command
            .args(words)
            .env("CAMPHORBEAM_CONFIG", &host.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone().ok()?)
            .stdout(log);
        let child = guard::start(|| command.spawn().ok())?;
        host.child = Some(child);
        host.disturbed = Instant::now();
        Some(())
    }

    fn is_ready(&self, host: usize) -> bool {
        let ready = self.hosts[host].ready;
        let limit = Duration::from_millis(500);
        http::call(ready, "GET", "/-/ready", &[("Host", "ready")], "", limit)
            .is_some_and(|(status, _)| status == 200)
    }

    /// Sends a signal to the process of a host.
    pub fn signal(&mut self, host: usize, signal: &str) {
        let host = &mut self.hosts[host];
        host.disturbed = Instant::now();
        if let Some(child) = &host.child {
            let id = child.lock().unwrap_or_else(PoisonError::into_inner).id();
            let command = format!("kill -{signal} {id}");
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Whether the process of a host has ended.
    pub fn has_exited(&mut self, host: usize) -> bool {
        self.hosts[host].child.as_ref().is_none_or(|child| {
            let mut child = child.lock().unwrap_or_else(PoisonError::into_inner);
            matches!(child.try_wait(), Ok(Some(_)))
        })
    }

    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.hosts.iter().position(|host| host.name == name)
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &self.hosts {
            if let Some(child) = &host.child {
                guard::end(child);
            }
        }
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = fs::remove_dir_all(&self.directory);
        }
    }
}
