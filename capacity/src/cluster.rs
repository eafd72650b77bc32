//! The stand-ins of a run, and the entry hosts under measurement.

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

/// Availability zones; the first is measured.
pub const ZONES: [&str; 6] = ["zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6"];

/// Accelerators and slots of each backend server.
const SERVER_SLOTS: u32 = 8;

/// Backend servers in one rack.
const RACK_SIZE: usize = 8;

/// Time between two looks of a stand-in at what has run out.
const STAND_IN_TICK: Duration = Duration::from_millis(500);

/// Time between two looks at something awaited.
const POLL: Duration = Duration::from_millis(100);

/// Limit for anything awaited.
const AWAIT_LIMIT: Duration = Duration::from_secs(120);

/// Submissions under way at once.
const SUBMISSIONS_AT_ONCE: usize = 16;

/// Run time of a task, longer than any run.
const RUN_TIME_MS: u64 = 24 * 60 * 60 * 1_000;

/// One measured entry host with its peers.
pub struct Member {
    /// What it does.
    pub role: report::Role,
    /// Its process.
    pub daemon: daemon::Daemon,
    /// The peers that it knows.
    pub peers: peers::Peers,
}

/// Everything of a run.
pub struct Cluster {
    /// The clock.
    pub clock: clock::Clock,
    /// The platform.
    pub platform: fake_platform::FakePlatform,
    /// Calls entry hosts.
    pub caller: daemon::Caller,
    /// The measured entry hosts.
    pub members: Vec<Member>,
    size: size::Size,
    hosts: cluster::HostList,
}

/// Starts everything and waits until a scheduler decides.
///
/// # Errors
///
/// Fails if a process or stand-in does not come up.
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
        caller: daemon::Caller::new(http_client, keyring.clone()),
        members: Vec::new(),
        size: size.clone(),
        hosts,
    };
    for role in report::Role::ALL {
        cluster.add_member(role, binary, &keyring, &secret).await?;
    }
    Ok(cluster)
}

async fn host_list(size: &size::Size) -> anyhow::Result<cluster::HostList> {
    let journal = journal::Journal::default();
    let mut servers = Vec::new();
    for number in 0..size.backend_servers {
        let spec = server_spec(ZONES[0], number)?;
        let started = fake_backend::start_with_tick(&spec, journal.clone(), STAND_IN_TICK);
        servers.push(started.await?.1);
    }
    let other_zones = ZONES[1..].iter().cycle();
    for (number, zone) in (0..size.other_backend_servers).zip(other_zones) {
        servers.push(listed_only(zone, number)?);
    }
    Ok(cluster::HostList {
        version: 0,
        entry_hosts: Vec::new(),
        backend_servers: servers,
    })
}

fn server_spec(zone: &str, number: usize) -> anyhow::Result<fake_backend::Spec> {
    Ok(fake_backend::Spec {
        id: format!("{zone}-s{number:03}").parse()?,
        zone: zone.parse()?,
        rack: format!("{zone}-rack-{:02}", number / RACK_SIZE).parse()?,
        listen: ports::free_address(),
        accelerators: SERVER_SLOTS,
        slots: SERVER_SLOTS,
        speed_ratio: 1.0,
    })
}

/// A backend server of another zone, which no measured entry host calls.
fn listed_only(zone: &str, number: usize) -> anyhow::Result<cluster::BackendServerInfo> {
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
    async fn add_member(
        &mut self,
        role: report::Role,
        binary: &Path,
        keyring: &auth::Keyring,
        secret: &str,
    ) -> anyhow::Result<()> {
        let peers = peers::start(self.size.peers, &ZONES, keyring).await?;
        let place = daemon::Place {
            host: format!("{}-{}", ZONES[0], role.name()).parse()?,
            zone: ZONES[0].parse()?,
            platform: self.platform.address,
            peers: peers.addresses.clone(),
        };
        let daemon = daemon::Daemon::start(binary, &place, &self.size, secret)?;
        let address = daemon.address;
        peers.greet(daemon.peer_address, self.clock.clone()).await?;
        self.members.push(Member {
            role,
            daemon,
            peers,
        });
        self.until("the entry host to answer", POLL, || async {
            self.caller.health(address).await.is_ok()
        })
        .await?;
        match role {
            report::Role::Scheduler => self.await_deciding(address).await,
            _ => Ok(()),
        }
    }

    async fn await_deciding(&self, address: SocketAddr) -> anyhow::Result<()> {
        self.apply_sheet(address, 0).await?;
        self.until("a scheduler", POLL, || async {
            let health = self.caller.health(address).await;
            health.is_ok_and(|health| health.is_deciding)
        })
        .await
    }

    /// The public address of the entry host in `role`.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn address(&self, role: report::Role) -> anyhow::Result<SocketAddr> {
        let member = self.members.iter().find(|member| member.role == role);
        Ok(member.context("no such role")?.daemon.address)
    }

    /// Applies the sheet that follows version `replaces`.
    ///
    /// # Errors
    ///
    /// Fails if it is refused.
    pub async fn apply_sheet(&self, address: SocketAddr, replaces: u64) -> anyhow::Result<()> {
        let csv = sheet::csv(self.size.client_accounts, &ZONES[..2])?;
        let path = format!("/v1/sheet/{replaces}");
        self.caller
            .call(address, Method::Put, &path, csv.into_bytes())
            .await?;
        Ok(())
    }

    /// Has the platform list the hosts under a new version.
    pub fn change_host_list(&self) {
        self.platform.memory.set_hosts(self.hosts.clone());
    }

    /// Submits the tasks at `address` and waits until they run.
    ///
    /// # Errors
    ///
    /// Fails if one is refused or they do not run in time.
    pub async fn run_tasks(&self, address: SocketAddr) -> anyhow::Result<()> {
        if self.size.tasks == 0 {
            return Ok(());
        }
        self.until("the first task to be accepted", POLL, || async {
            self.submit(address, 0).await.is_ok()
        })
        .await?;
        stream::iter(1..self.size.tasks)
            .map(Ok)
            .try_for_each_concurrent(SUBMISSIONS_AT_ONCE, |number| self.submit(address, number))
            .await?;
        self.await_running(self.size.tasks, POLL).await
    }

    /// Waits until `count` requests run.
    ///
    /// # Errors
    ///
    /// Fails if they do not in time.
    pub async fn await_running(&self, count: usize, poll: Duration) -> anyhow::Result<()> {
        let scheduler = self.address(report::Role::Scheduler)?;
        self.until("the tasks to run", poll, || async {
            let health = self.caller.health(scheduler).await;
            let counts = health.ok().and_then(|health| health.counts);
            counts.is_some_and(|counts| counts.running == count)
        })
        .await
    }

    /// Waits until every entry host has sheet `version`.
    ///
    /// # Errors
    ///
    /// Fails if one has not in time.
    pub async fn await_sheet(&self, version: u64, poll: Duration) -> anyhow::Result<()> {
        for member in &self.members {
            let address = member.daemon.address;
            self.until("the sheet", poll, || async {
                let health = self.caller.health(address).await;
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
    /// Fails if it is refused.
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
        self.caller
            .call(address, Method::Post, "/v1/requests", body)
            .await?;
        Ok(())
    }

    async fn until<C, F>(&self, what: &str, poll: Duration, condition: C) -> anyhow::Result<()>
    where
        C: Fn() -> F,
        F: std::future::Future<Output = bool>,
    {
        let deadline = self.clock.now().plus(AWAIT_LIMIT);
        while !condition().await {
            anyhow::ensure!(self.clock.now() < deadline, "waited too long for {what}");
            self.clock.sleep(poll).await;
        }
        Ok(())
    }
}
