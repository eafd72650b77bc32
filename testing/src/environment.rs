//! Test environment of entry hosts, backend servers and the platform. Each runs as a process of its
//! own on the loopback interface, and a fault-injecting proxy forwards each link between them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_http::{client, meter};
use camphorbeam_model::{cluster, id, request, verdict};
use camphorbeam_server::{auth, settings};
use camphorbeam_telemetry::trace_file;
use http_types::Method;

pub use crate::environment_calls::CallError;
use crate::{fake_backend, journal, process, proxy};

/// File name extension of trace files.
pub const TRACE_EXTENSION: &str = "spans";

/// Secret that signs the tokens in tests.
pub const SECRET: &str = "a secret of tests, not a secret";

/// Timeout for the start of a process and of the whole environment.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Time that a repair waits until all zones are served, before it checks again for processes that
/// have ended.
const REPAIR_CHECK_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval at which a condition is checked while a test waits for it.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Duration of the scheduler lease in tests, in milliseconds.
pub const SCHEDULER_LEASE_MS: u64 = 600;

/// Duration of task leases in tests, in milliseconds.
pub const TASK_LEASE_MS: u64 = 3_000;

/// Sheet with two client accounts and two kinds of requests.
pub const SHEET: &str = "record,client_account,zone,count,accelerators,kind,priority,urgent\n\
    account,steg-inspectors,,,,,,\n\
    account,sonede,,,,,,\n\
    kind,,,,,quick-check,90,yes\n\
    kind,,,,,curve-fit,50,no\n";

/// Client account under which tests submit requests.
pub const ACCOUNT: &str = "steg-inspectors";

/// Second client account of [`SHEET`].
pub const OTHER_ACCOUNT: &str = "sonede";

/// One availability zone of an environment.
#[derive(Clone, Copy, Debug)]
pub struct ZonePlan {
    /// Name of the zone.
    pub name: &'static str,
    /// Number of entry hosts.
    pub entry_hosts: usize,
    /// Number of backend servers.
    pub backend_servers: usize,
}

/// Configuration of an environment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Availability zones to start.
    pub zones: Vec<ZonePlan>,
    /// Number of accelerators, and of slots, of each backend server.
    pub accelerators: u32,
    /// Delay until a change of the platform's host list becomes visible.
    pub host_list_lag: Duration,
    /// Command-line flags of the entry hosts, without the leading dashes.
    pub flags: BTreeMap<&'static str, String>,
    /// Sheet that is applied at the start. If it is empty, none is applied.
    pub sheet: String,
    /// Whether the processes record spans in trace files.
    pub is_traced: bool,
}

impl Plan {
    /// Creates a plan for `zones` with two accelerators per backend server, and with leases and
    /// timeouts that are short enough for tests.
    pub fn new(zones: &[ZonePlan]) -> Self {
        let flags = [
            ("platform-timeout-ms", 300),
            ("scheduler-lease-ms", SCHEDULER_LEASE_MS),
            ("task-lease-ms", TASK_LEASE_MS),
            ("sync-wait-ms", 500),
            ("order-timeout-ms", 500),
            ("workers", 8),
        ];
        Self {
            zones: zones.to_vec(),
            accelerators: 2,
            host_list_lag: Duration::ZERO,
            flags: flags.map(|(flag, value)| (flag, value.to_string())).into(),
            sheet: SHEET.to_owned(),
            is_traced: false,
        }
    }

    /// Creates a plan for one availability zone.
    pub fn one_zone(entry_hosts: usize, backend_servers: usize) -> Self {
        Self::new(&[ZonePlan {
            name: "tunis-lab",
            entry_hosts,
            backend_servers,
        }])
    }
}

/// A running entry host and the links to it and from it.
pub struct EntryHost {
    /// ID of the host.
    pub id: id::HostId,
    /// Availability zone of the host.
    pub zone: id::ZoneName,
    /// Process of the host, which is killed on drop.
    pub process: process::Process,
    /// Link from callers to the host.
    pub caller_link: proxy::Proxy,
    /// Link from other entry hosts to the host.
    pub peer_link: proxy::Proxy,
    /// Link from the host to the platform.
    pub platform_link: proxy::Proxy,
}

/// A running backend server and the link to it.
pub struct BackendServer {
    /// Entry of the server in the host list. The address is that of the link.
    pub info: cluster::BackendServerInfo,
    /// Process of the server.
    pub process: process::Process,
    /// Link from the entry hosts to the server.
    pub link: proxy::Proxy,
    spec: fake_backend::ServerSpec,
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        for link in [&self.caller_link, &self.peer_link, &self.platform_link] {
            link.close();
        }
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.link.close();
    }
}

/// A running environment: all processes and links.
pub struct Environment {
    /// Entry hosts in the order of the plan. A replacement takes the index of the host it replaces.
    pub hosts: Vec<EntryHost>,
    /// Backend servers in the order of the plan.
    pub servers: Vec<BackendServer>,
    /// Rules of all links, and the messages they have recorded.
    pub rules: proxy::Rules,
    /// Address of the platform itself, for calls that bypass the links.
    pub platform_address: SocketAddr,
    pub(crate) keyring: auth::Keyring,
    pub(crate) client: client::HttpClient,
    plan: Plan,
    replacement_count: usize,
    directory: TestDirectory,
    _platform: process::Process,
}

/// Directory of the output files and journals. It is removed on drop unless the test panics.
struct TestDirectory(PathBuf);

impl Drop for TestDirectory {
    fn drop(&mut self) {
        match std::thread::panicking() {
            true => eprintln!("output files and journals are kept in {}", self.0.display()),
            // A directory that can't be removed does not affect other tests.
            false => drop(std::fs::remove_dir_all(&self.0)),
        }
    }
}

fn create_directory() -> std::io::Result<TestDirectory> {
    static COUNT: AtomicUsize = AtomicUsize::new(0);
    let number = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("camphorbeam-test-{}-{number}", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&path)?;
    Ok(TestDirectory(path))
}

/// Waits until `condition` holds. Returns whether it did within `limit`.
pub async fn wait_until<F: AsyncFnMut() -> bool>(limit: Duration, mut condition: F) -> bool {
    let started = Instant::now();
    while started.elapsed() < limit {
        if condition().await {
            return true;
        }
        task::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Starts a fake and parses the JSON line that it prints once it accepts connections.
async fn start_fake<A: serde::de::DeserializeOwned>(
    arguments: &[String],
    output: PathBuf,
) -> anyhow::Result<(process::Process, A)> {
    let mut command = Command::new(process::program("camphorbeam-stand-in")?);
    command.args(arguments).env("ASYNC_STD_THREAD_COUNT", "2");
    let process = process::Process::start(command, &output)?;
    let mut answer = None;
    wait_until(START_TIMEOUT, async || {
        answer = process
            .printed()
            .lines()
            .find_map(|line| serde_json::from_str(line).ok());
        answer.is_some()
    })
    .await;
    let answer = answer.with_context(|| format!("fake did not start: {}", process.printed()))?;
    Ok((process, answer))
}

/// Returns the flag that makes the process `name` record its spans, if the plan asks for traces.
fn trace_flag(plan: &Plan, directory: &TestDirectory, name: &str) -> Option<String> {
    let path = directory.0.join(format!("{name}.{TRACE_EXTENSION}"));
    plan.is_traced
        .then(|| format!("--trace-file={}", path.display()))
}

/// Reads the spans of one file. Skips the last line if it is not complete yet.
fn read_spans(path: &Path) -> Vec<trace_file::SpanLine> {
    let text = std::fs::read_to_string(path).expect("the trace file is readable");
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    whole
        .lines()
        .map(|line| serde_json::from_str(line).expect("each line of a trace file is a span"))
        .collect()
}

/// Line that the fake platform prints once it accepts connections.
#[derive(serde::Deserialize)]
struct PlatformLine {
    address: SocketAddr,
}

impl Environment {
    /// Starts all processes of `plan`, applies its sheet, and waits until a scheduler serves each
    /// zone.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or some zone is not served in time.
    pub async fn start(plan: Plan) -> anyhow::Result<Self> {
        let directory = create_directory()?;
        let host_list_lag_ms = plan.host_list_lag.as_millis().to_string();
        let mut arguments = ["platform", "--hosts-lag-ms", &host_list_lag_ms]
            .map(str::to_owned)
            .to_vec();
        arguments.extend(trace_flag(&plan, &directory, "platform"));
        let output = directory.0.join("platform.out");
        let (platform, line) = start_fake::<PlatformLine>(&arguments, output).await?;
        let clock = clock::Clock::system();
        let mut environment = Self {
            hosts: Vec::new(),
            servers: Vec::new(),
            rules: proxy::Rules::default(),
            platform_address: line.address,
            keyring: auth::Keyring::new(SECRET)?,
            client: client::HttpClient::new(clock, Arc::new(meter::Meter::default())),
            plan,
            replacement_count: 0,
            directory,
            _platform: platform,
        };
        environment.start_all().await?;
        environment.await_all_served().await?;
        Ok(environment)
    }

    async fn start_all(&mut self) -> anyhow::Result<()> {
        for zone in self.plan.zones.clone() {
            for number in 0..zone.backend_servers {
                let server = self.start_server(zone.name, number).await?;
                self.servers.push(server);
            }
        }
        for zone in self.plan.zones.clone() {
            for number in 0..zone.entry_hosts {
                let name = format!("{}-e{number}", zone.name);
                let host = self.start_host(&name, zone.name).await?;
                self.hosts.push(host);
            }
        }
        self.publish_hosts().await
    }

    async fn start_server(&self, zone: &str, number: usize) -> anyhow::Result<BackendServer> {
        let name = format!("{zone}-s{number}");
        let spec = fake_backend::ServerSpec {
            id: name.parse()?,
            zone: zone.parse()?,
            rack: format!("{zone}-rack").parse()?,
            listen: "127.0.0.1:0".parse()?,
            accelerators: self.plan.accelerators,
            slots: self.plan.accelerators,
            speed_ratio: 1.0,
        };
        let link = proxy::Proxy::start(&format!("servers>{name}"), self.rules.clone()).await?;
        let (process, mut info) = self.start_server_process(&spec).await?;
        link.set_upstream(info.address);
        info.address = link.address();
        Ok(BackendServer {
            info,
            process,
            link,
            spec,
        })
    }

    async fn start_server_process(
        &self,
        spec: &fake_backend::ServerSpec,
    ) -> anyhow::Result<(process::Process, cluster::BackendServerInfo)> {
        let directory = &self.directory.0;
        let spec_path = directory.join(format!("{}.spec", spec.id));
        std::fs::write(&spec_path, serde_json::to_vec(&[spec])?)?;
        let mut arguments = vec![
            "backend-servers".to_owned(),
            format!("--spec={}", spec_path.display()),
            format!("--journal={}", self.journal_path(&spec.id).display()),
        ];
        arguments.extend(trace_flag(&self.plan, &self.directory, spec.id.as_str()));
        let output = directory.join(format!("{}.out", spec.id));
        let (process, infos) =
            start_fake::<Vec<cluster::BackendServerInfo>>(&arguments, output).await?;
        let info = infos
            .into_iter()
            .next()
            .context("the fake reported no backend server")?;
        Ok((process, info))
    }

    /// Returns a token for a caller, an operator or an entry host.
    pub fn token(&self, identity: &auth::Identity) -> String {
        self.keyring.token(identity).to_string()
    }

    /// Returns the path of a file `name` in the directory of the test.
    pub fn path(&self, name: &str) -> PathBuf {
        self.directory.0.join(name)
    }

    /// Returns the spans that all processes have written so far.
    ///
    /// # Panics
    ///
    /// Panics if the files can't be read, because a test must not continue without them.
    pub fn spans(&self) -> Vec<trace_file::SpanLine> {
        let files = std::fs::read_dir(&self.directory.0).expect("the directory is readable");
        let paths = files.map(|file| file.expect("the directory is readable").path());
        paths
            .filter(|path| path.extension().is_some_and(|end| end == TRACE_EXTENSION))
            .flat_map(|path| read_spans(&path))
            .collect()
    }

    /// Returns the path of the journal of `server`, which stays the same across restarts.
    fn journal_path(&self, server: &id::BackendServerId) -> PathBuf {
        self.directory.0.join(format!("{server}.journal"))
    }

    async fn start_host(&self, name: &str, zone: &str) -> anyhow::Result<EntryHost> {
        let link = |from: &str, to: &str| format!("{from}>{to}");
        let rules = || self.rules.clone();
        let caller_link = proxy::Proxy::start(&link("callers", name), rules()).await?;
        let peer_link = proxy::Proxy::start(&link("peers", name), rules()).await?;
        let platform_link = proxy::Proxy::start(&link(name, "platform"), rules()).await?;
        platform_link.set_upstream(self.platform_address);
        let seed_addresses: Vec<String> = self
            .hosts
            .iter()
            .map(|host| host.peer_link.address().to_string())
            .collect();
        let mut flags = self.plan.flags.clone();
        flags.extend([
            ("host", name.to_owned()),
            ("zone", zone.to_owned()),
            ("listen", "127.0.0.1:0".to_owned()),
            ("peer-listen", "127.0.0.1:0".to_owned()),
            ("peer-advertise", peer_link.address().to_string()),
            ("platform", platform_link.address().to_string()),
            ("peers", seed_addresses.join(",")),
        ]);
        let mut command = Command::new(process::program("camphorbeam")?);
        command.arg("serve").env(settings::SECRET_ENV, SECRET);
        command.args(
            flags
                .iter()
                .map(|(flag, value)| format!("--{flag}={value}")),
        );
        command.args(trace_flag(&self.plan, &self.directory, name));
        let output = self.directory.0.join(format!("{name}.out"));
        let process = process::Process::start(command, &output)?;
        let addresses = await_addresses(&process).await?;
        caller_link.set_upstream(addresses.0);
        peer_link.set_upstream(addresses.1);
        Ok(EntryHost {
            id: name.parse()?,
            zone: zone.parse()?,
            process,
            caller_link,
            peer_link,
            platform_link,
        })
    }

    /// Kills the entry host at `index` and starts another in its place, under a new ID.
    ///
    /// # Errors
    ///
    /// Fails if the new host does not start.
    pub async fn replace_host(&mut self, index: usize) -> anyhow::Result<()> {
        self.hosts[index].process.handle().kill();
        self.replacement_count += 1;
        let zone = self.hosts[index].zone.to_string();
        let name = format!("{zone}-r{}", self.replacement_count);
        self.hosts[index] = self.start_host(&name, &zone).await?;
        self.publish_hosts().await
    }

    /// Kills the backend server at `index` and starts it again, without its tasks.
    ///
    /// # Errors
    ///
    /// Fails if the server does not start.
    pub async fn restart_server(&mut self, index: usize) -> anyhow::Result<()> {
        self.servers[index].process.handle().kill();
        let spec = self.servers[index].spec.clone();
        let (process, info) = self.start_server_process(&spec).await?;
        let server = &mut self.servers[index];
        server.process = process;
        server.link.set_upstream(info.address);
        Ok(())
    }

    /// Returns a function that kills the backend server at `index` and records that in its journal.
    pub fn server_killer(&self, index: usize) -> impl FnOnce() + Send + 'static {
        let server = &self.servers[index];
        let handle = server.process.handle();
        let path = self.journal_path(&server.info.id);
        let line = journal::Line {
            at_unix_ms: 0,
            server: server.info.id.clone(),
            event: journal::Event::ServerKilled,
            task: None,
            idempotent: false,
            gang_size: 0,
            epoch: id::Epoch(0),
        };
        move || {
            handle.kill();
            let journal = journal::Journal::to_file(&path).expect("the journal file opens");
            journal.push(journal::Line {
                at_unix_ms: clock::Clock::system().unix_ms(),
                ..line
            });
        }
    }

    /// Clears the faults of all links, replaces or restarts processes that have ended, and waits
    /// until every zone is served.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or some zone is not served in time.
    pub async fn repair(&mut self) -> anyhow::Result<()> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            self.clear_faults();
            self.replace_ended().await?;
            // A process that was killed just before still counts as running above. The next round
            // of this loop replaces it.
            if wait_until(REPAIR_CHECK_TIMEOUT, async || self.is_served().await).await {
                return Ok(());
            }
        }
        anyhow::bail!("some zone is not served in time after a repair")
    }

    /// Resumes paused entry hosts, replaces entry hosts that have ended, and restarts backend
    /// servers that have ended.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start.
    pub async fn replace_ended(&mut self) -> anyhow::Result<()> {
        for index in 0..self.hosts.len() {
            self.hosts[index].process.handle().resume();
            if !self.hosts[index].process.is_running() {
                self.replace_host(index).await?;
            }
        }
        for index in 0..self.servers.len() {
            if !self.servers[index].process.is_running() {
                self.restart_server(index).await?;
            }
        }
        Ok(())
    }

    /// Replaces the platform's host list by all current entry hosts and backend servers.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not accept the list.
    pub async fn publish_hosts(&self) -> anyhow::Result<()> {
        let entry_hosts = self.hosts.iter().map(|host| cluster::EntryHostInfo {
            id: host.id.clone(),
            zone: host.zone.clone(),
            peer_address: host.peer_link.address(),
            phase: cluster::HostPhase::Live,
        });
        let list = cluster::HostList {
            // The platform assigns the version.
            version: 0,
            entry_hosts: entry_hosts.collect(),
            backend_servers: self
                .servers
                .iter()
                .map(|server| server.info.clone())
                .collect(),
        };
        let body = serde_json::to_vec(&list)?;
        self.platform_call(Method::Put, "/control/hosts", body)
            .await?;
        Ok(())
    }

    async fn await_all_served(&self) -> anyhow::Result<()> {
        let mut is_sheet_applied = self.plan.sheet.is_empty();
        let mut last_error = String::new();
        let is_served = wait_until(START_TIMEOUT, async || {
            if !is_sheet_applied {
                let sheet = self.plan.sheet.as_bytes().to_vec();
                match self
                    .operator_call(0, Method::Put, "/v1/sheet/0", sheet)
                    .await
                {
                    Ok(_) => is_sheet_applied = true,
                    // An earlier attempt has applied the sheet, but its response was lost.
                    Err(CallError::Refused(refusal))
                        if refusal.code == verdict::RefusalCode::Conflict =>
                    {
                        is_sheet_applied = true;
                    }
                    Err(error) => last_error = error.to_string(),
                }
            }
            is_sheet_applied && self.is_served().await
        })
        .await;
        if !is_served {
            let mut health_reports = Vec::new();
            for index in 0..self.hosts.len() {
                health_reports.push(self.health(index).await);
            }
            anyhow::bail!("some zone is not served in time: {last_error} {health_reports:#?}");
        }
        Ok(())
    }

    /// Returns whether every entry host knows a scheduler, the host list and the sheet, and every
    /// zone has an entry host that makes its scheduling decisions.
    async fn is_served(&self) -> bool {
        let mut deciding_zones = std::collections::BTreeSet::new();
        for index in 0..self.hosts.len() {
            let wants_sheet = !self.plan.sheet.is_empty();
            match self.health(index).await {
                Ok(health) if health.scheduler.is_none() => return false,
                Ok(health) if health.hosts_version == 0 => return false,
                Ok(health) if wants_sheet && health.sheet_version.0 == 0 => return false,
                Ok(health) if health.is_deciding => drop(deciding_zones.insert(health.zone)),
                Ok(_) => {}
                Err(_) => return false,
            }
        }
        deciding_zones.len() == self.plan.zones.len()
    }

    /// Returns the index of the entry host that makes the scheduling decisions of `zone`, if there
    /// is one.
    pub async fn scheduler(&self, zone: &str) -> Option<usize> {
        for (index, host) in self.hosts.iter().enumerate() {
            let is_deciding = host.zone.as_str() == zone
                && self
                    .health(index)
                    .await
                    .is_ok_and(|health| health.is_deciding);
            if is_deciding {
                return Some(index);
            }
        }
        None
    }

    /// Returns the lines of all backend servers' journals, sorted by time.
    ///
    /// # Panics
    ///
    /// Panics if a journal can't be read, because a test must not continue without it.
    pub fn journal(&self) -> Vec<journal::Line> {
        let mut lines = Vec::new();
        for server in &self.servers {
            let path = self.journal_path(&server.info.id);
            lines.extend(journal::read_file(&path).expect("the journal is readable"));
        }
        lines.sort_by_key(|line| line.at_unix_ms);
        lines
    }

    /// Clears the faults of all links, so that they forward all traffic again.
    pub fn clear_faults(&self) {
        for host in &self.hosts {
            for link in [&host.caller_link, &host.peer_link, &host.platform_link] {
                link.set_fault(proxy::Fault::None);
            }
        }
        for server in &self.servers {
            server.link.set_fault(proxy::Fault::None);
        }
    }
}

/// Waits until an entry host has printed the addresses where it serves callers and other entry
/// hosts, and returns both.
async fn await_addresses(process: &process::Process) -> anyhow::Result<(SocketAddr, SocketAddr)> {
    let mut addresses = None;
    wait_until(START_TIMEOUT, async || {
        addresses = process.printed().lines().find_map(parse_addresses);
        addresses.is_some()
    })
    .await;
    addresses.with_context(|| format!("entry host did not start: {}", process.printed()))
}

fn parse_addresses(line: &str) -> Option<(SocketAddr, SocketAddr)> {
    let (_, rest) = line.split_once("serves callers on ")?;
    let (callers, peers) = rest.split_once(" and entry hosts on ")?;
    // The line is a log record in JSON, so a quotation mark follows the address.
    let (peers, _) = peers.split_once('"')?;
    Some((callers.parse().ok()?, peers.parse().ok()?))
}

/// Returns the keyring that makes the tokens of the environment.
///
/// # Panics
///
/// Panics if [`SECRET`] is too short.
pub fn keyring() -> auth::Keyring {
    auth::Keyring::new(SECRET).expect("the secret is long enough")
}

/// Returns a request of [`ACCOUNT`] whose tasks run for `run_time_ms`.
///
/// # Panics
///
/// Panics if `key` is not a valid idempotency key.
pub fn request(
    key: &str,
    accelerators: u32,
    idempotent: bool,
    run_time_ms: u64,
) -> request::RequestSpec {
    request::RequestSpec {
        client_account: ACCOUNT.parse().expect("a valid name"),
        key: key.parse().expect("a valid name"),
        kind: "quick-check".parse().expect("a valid name"),
        accelerators,
        idempotent,
        checkpointable: false,
        declared_run_time_ms: run_time_ms,
        zone: None,
        payload: serde_json::json!({ "run_time_ms": run_time_ms, "key": key }).to_string(),
    }
}
