//! Starts the fakes of a run and the measured entry hosts.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use camphorbeam_clock as clock;
use camphorbeam_http::{client, meter};
use camphorbeam_model::{cluster, id, request};
use camphorbeam_server::auth;
use camphorbeam_testing::{fake_backend, fake_platform, journal};
use futures::stream::{self, StreamExt as _, TryStreamExt as _};
use http_types::Method;

use crate::{daemon, peers, ports, report, sheet, size};

/// Availability zones. The measured entry hosts are in the first.
pub const ZONES: [&str; 6] = ["zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6"];

/// Number of accelerators, and of slots, of each backend server.
const SLOTS_PER_SERVER: u32 = 8;

/// Number of backend servers in each rack.
const SERVERS_PER_RACK: usize = 8;

/// Interval at which a fake backend server checks for expired leases and finished tasks.
const STAND_IN_TICK_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout for an awaited condition.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(120);

/// Largest number of concurrent submissions.
const SUBMISSIONS_MAX: usize = 16;

/// Run time of a task; longer than any measurement.
const RUN_TIME_MS: u64 = 24 * 60 * 60 * 1_000;

/// A measured entry host with its fake peers.
pub struct MeasuredHost {
    pub role: report::Role,
    /// Process of the entry host.
    pub daemon: daemon::Daemon,
    /// Fake peers that the entry host knows.
    pub peers: peers::Peers,
}

/// The measured entry hosts and the fakes that they talk to.
pub struct Cluster {
    /// Clock for timeouts and durations.
    pub clock: clock::Clock,
    /// Fake platform.
    pub platform: fake_platform::FakePlatform,
    /// Client for the HTTP API of the entry hosts.
    pub api_client: daemon::ApiClient,
    /// Measured entry hosts, one per role.
    pub measured_hosts: Vec<MeasuredHost>,
    size: size::Size,
    hosts: cluster::HostList,
}

/// Starts the fakes and the entry hosts, and waits until the scheduler makes decisions.
///
/// # Errors
///
/// Fails if a process or a fake doesn't start.
pub async fn start(size: &size::Size, binary: &Path) -> anyhow::Result<Cluster> {
    let clock = clock::Clock::system();
    let secret = daemon::secret();
    let keyring = auth::Keyring::new(&secret)?;
    let platform = fake_platform::start(ports::free_address(), Duration::ZERO).await?;
    let hosts = host_list(size).await?;
    platform.memory.set_hosts(hosts.clone());
    let http_client = client::HttpClient::new(clock.clone(), Arc::new(meter::Meter::default()));
    let mut cluster = Cluster {
        clock,
        platform,
        api_client: daemon::ApiClient::new(http_client, keyring.clone()),
        measured_hosts: Vec::new(),
        size: size.clone(),
        hosts,
    };
    for role in report::Role::ALL {
        cluster
            .add_measured_host(role, binary, &keyring, &secret)
            .await?;
    }
    Ok(cluster)
}

async fn host_list(size: &size::Size) -> anyhow::Result<cluster::HostList> {
    let journal = journal::Journal::default();
    let mut servers = Vec::new();
    for number in 0..size.backend_servers {
        let spec = server_spec(ZONES[0], number)?;
        let started = fake_backend::start_with_tick(&spec, journal.clone(), STAND_IN_TICK_INTERVAL);
        servers.push(started.await?.1);
    }
    let other_zones = ZONES[1..].iter().cycle();
    for (number, zone) in (0..size.other_backend_servers).zip(other_zones) {
        servers.push(listed_server(zone, number)?);
    }
    Ok(cluster::HostList {
        version: 0,
        entry_hosts: Vec::new(),
        backend_servers: servers,
    })
}

fn server_spec(zone: &str, number: usize) -> anyhow::Result<fake_backend::ServerSpec> {
    Ok(fake_backend::ServerSpec {
        id: format!("{zone}-s{number:03}").parse()?,
        zone: zone.parse()?,
        rack: format!("{zone}-rack-{:02}", number / SERVERS_PER_RACK).parse()?,
        listen: ports::free_address(),
        accelerators: SLOTS_PER_SERVER,
        slots: SLOTS_PER_SERVER,
        speed_ratio: 1.0,
    })
}

/// Describes a backend server of another availability zone. It is in the host list only, because no
/// measured entry host calls it.
fn listed_server(zone: &str, number: usize) -> anyhow::Result<cluster::BackendServerInfo> {
    let spec = server_spec(zone, number)?;
    Ok(cluster::BackendServerInfo {
        id: spec.id,
        zone: spec.zone,
        rack: spec.rack,
        address: "127.0.0.1:9".parse()?,
        accelerators: spec.accelerators,
        slots: spec.slots,
        speed_ratio: spec.speed_ratio,
        phase: cluster::HostPhase::Live,
    })
}

impl Cluster {
    async fn add_measured_host(
        &mut self,
        role: report::Role,
        binary: &Path,
        keyring: &auth::Keyring,
        secret: &str,
    ) -> anyhow::Result<()> {
        let peers = peers::start(self.size.peers, &ZONES, keyring).await?;
        let config = daemon::HostConfig {
            host: format!("{}-{}", ZONES[0], role.name()).parse()?,
            zone: ZONES[0].parse()?,
            platform: self.platform.address,
            peers: peers.addresses.clone(),
        };
        let daemon = daemon::Daemon::start(binary, &config, &self.size, secret)?;
        let address = daemon.address;
        peers.greet(daemon.peer_address, self.clock.clone()).await?;
        self.measured_hosts.push(MeasuredHost {
            role,
            daemon,
            peers,
        });
        self.wait_until("the entry host to answer", POLL_INTERVAL, || async {
            self.api_client.health(address).await.is_ok()
        })
        .await?;
        match role {
            report::Role::Scheduler => self.await_deciding(address).await,
            _ => Ok(()),
        }
    }

    async fn await_deciding(&self, address: SocketAddr) -> anyhow::Result<()> {
        self.apply_sheet(address, 0).await?;
        self.wait_until("a scheduler", POLL_INTERVAL, || async {
            let health = self.api_client.health(address).await;
            health.is_ok_and(|health| health.is_deciding)
        })
        .await
    }

    /// Returns the public address of the entry host in `role`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such entry host.
    pub fn address(&self, role: report::Role) -> anyhow::Result<SocketAddr> {
        let host = self.measured_hosts.iter().find(|host| host.role == role);
        Ok(host.context("no entry host in this role")?.daemon.address)
    }

    /// Applies a sheet that replaces version `replaces`.
    ///
    /// # Errors
    ///
    /// Fails if the sheet is refused.
    pub async fn apply_sheet(&self, address: SocketAddr, replaces: u64) -> anyhow::Result<()> {
        let csv = sheet::csv(self.size.client_accounts, &ZONES[..2])?;
        let path = format!("/v1/sheet/{replaces}");
        self.api_client
            .call(address, Method::Put, &path, csv.into_bytes())
            .await?;
        Ok(())
    }

    /// Makes the platform publish the same host list under a new version.
    pub fn change_host_list(&self) {
        self.platform.memory.set_hosts(self.hosts.clone());
    }

    /// Submits the tasks of the run at `address` and waits until they run.
    ///
    /// # Errors
    ///
    /// Fails if a task is refused, or if the tasks don't run before the timeout.
    pub async fn run_tasks(&self, address: SocketAddr) -> anyhow::Result<()> {
        if self.size.tasks == 0 {
            return Ok(());
        }
        self.wait_until("the first task to be accepted", POLL_INTERVAL, || async {
            self.submit(address, 0).await.is_ok()
        })
        .await?;
        stream::iter(1..self.size.tasks)
            .map(Ok)
            .try_for_each_concurrent(SUBMISSIONS_MAX, |number| self.submit(address, number))
            .await?;
        self.await_running(self.size.tasks, POLL_INTERVAL).await
    }

    /// Waits until exactly `count` requests run.
    ///
    /// # Errors
    ///
    /// Fails if they don't run before the timeout.
    pub async fn await_running(&self, count: usize, poll_interval: Duration) -> anyhow::Result<()> {
        let scheduler = self.address(report::Role::Scheduler)?;
        self.wait_until("the tasks to run", poll_interval, || async {
            let health = self.api_client.health(scheduler).await;
            let counts = health.ok().and_then(|health| health.counts);
            counts.is_some_and(|counts| counts.running == count)
        })
        .await
    }

    /// Waits until every measured entry host has sheet `version` or a later one.
    ///
    /// # Errors
    ///
    /// Fails if an entry host doesn't have it before the timeout.
    pub async fn await_sheet(&self, version: u64, poll_interval: Duration) -> anyhow::Result<()> {
        for host in &self.measured_hosts {
            let address = host.daemon.address;
            self.wait_until("the sheet", poll_interval, || async {
                let health = self.api_client.health(address).await;
                health.is_ok_and(|health| health.sheet_version.0 >= version)
            })
            .await?;
        }
        Ok(())
    }

    /// Submits task `number` at `address`.
    ///
    /// # Errors
    ///
    /// Fails if the task is refused.
    pub async fn submit(&self, address: SocketAddr, number: usize) -> anyhow::Result<()> {
        let account = number % self.size.client_accounts;
        let spec = request::RequestSpec {
            client_account: sheet::account(account)?,
            key: format!("task-{number}").parse::<id::IdempotencyKey>()?,
            kind: sheet::KIND.parse()?,
            accelerators: 0,
            idempotent: true,
            checkpointable: true,
            declared_run_time_ms: RUN_TIME_MS,
            zone: Some(ZONES[0].parse()?),
            payload: serde_json::json!({ "run_time_ms": RUN_TIME_MS }).to_string(),
        };
        let body = serde_json::to_vec(&spec)?;
        self.api_client
            .call(address, Method::Post, "/v1/requests", body)
            .await?;
        Ok(())
    }

    async fn wait_until<C, F>(
        &self,
        what: &str,
        poll_interval: Duration,
        condition: C,
    ) -> anyhow::Result<()>
    where
        C: Fn() -> F,
        F: std::future::Future<Output = bool>,
    {
        let deadline = self.clock.now().plus(AWAIT_TIMEOUT);
        while !condition().await {
            anyhow::ensure!(self.clock.now() < deadline, "timed out waiting for {what}");
            self.clock.sleep(poll_interval).await;
        }
        Ok(())
    }
}
