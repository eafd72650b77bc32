//! Demo that runs entry hosts in one process with a fake platform and fake backend servers, and
//! submits a list of jobs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use camphorbeam_clock as clock;
use camphorbeam_http::{client, meter};
use camphorbeam_model::{cluster, id, record, request};
use camphorbeam_placement::{default_policy, policy, weights};
use camphorbeam_server::{api, auth, election, entry_host, requests, settings};
use http_types::Method;

use crate::{fake_backend, fake_platform, journal};

/// Availability zones of the demo, each with its number of entry hosts.
const ZONES: [(&str, u32); 3] = [("tunis-lab", 3), ("bizerte-lab", 2), ("nabeul-lab", 2)];

/// Number of backend servers in each zone.
const SERVERS_PER_ZONE: u32 = 2;

/// Number of accelerators, and of slots, of each backend server.
const ACCELERATORS: u32 = 8;

/// Interval at which the demo polls the entry hosts while it waits.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Secret that signs the tokens of the demo.
const SECRET: &str = "demonstration only, not a secret";

/// Sheet that the demo applies.
const SHEET: &str = include_str!("../data/union-sheet.csv");

/// Job list of the demo, as CSV.
const JOBS: &str = include_str!("../data/union-jobs.csv");

/// Function that receives each line of the demo's output.
pub type Printer = Arc<dyn Fn(&str) + Send + Sync>;

/// One row of the job list.
#[derive(Clone, Debug, serde::Deserialize)]
struct JobRow {
    key: id::IdempotencyKey,
    client_account: id::ClientAccountName,
    kind: id::KindName,
    accelerators: u32,
    run_time_ms: u64,
    idempotent: bool,
    checkpointable: bool,
}

struct Demo {
    clock: clock::Clock,
    keyring: auth::Keyring,
    hosts: Vec<entry_host::EntryHost>,
    client: client::HttpClient,
    print: Printer,
}

/// Runs the demo.
///
/// # Errors
///
/// Fails if a component does not start, or if a call fails.
pub async fn run(clock: clock::Clock, print: Printer) -> anyhow::Result<()> {
    let demo = start(clock, print).await?;
    demo.apply_sheet().await?;
    demo.await_schedulers().await?;
    let submitted = demo.submit_all().await?;
    let ended = demo.await_ends(&submitted).await?;
    demo.print_table(&ended);
    demo.print_explanation(&ended).await?;
    for host in demo.hosts {
        host.leave().await;
    }
    Ok(())
}

async fn start(clock: clock::Clock, print: Printer) -> anyhow::Result<Demo> {
    let any_port: SocketAddr = "127.0.0.1:0".parse()?;
    let platform = fake_platform::start(any_port, Duration::ZERO).await?;
    let journal = journal::Journal::default();
    let mut servers = Vec::new();
    for (zone, _) in ZONES {
        for number in 0..SERVERS_PER_ZONE {
            let spec = fake_backend::ServerSpec {
                id: format!("{zone}-s{number}").parse()?,
                zone: zone.parse()?,
                rack: format!("{zone}-rack").parse()?,
                listen: any_port,
                accelerators: ACCELERATORS,
                slots: ACCELERATORS,
                speed_ratio: 1.0,
            };
            servers.push(fake_backend::start(&spec, journal.clone()).await?.1);
        }
    }
    let keyring = auth::Keyring::new(SECRET)?;
    let mut hosts = Vec::new();
    for (zone, count) in ZONES {
        for number in 0..count {
            let settings = settings(zone, number, platform.address, keyring.clone())?;
            let make_policy: election::PolicyFactory = Arc::new(|| {
                Box::new(default_policy::DefaultPolicy::new(
                    weights::Weights::fragmentation_first(),
                )) as Box<dyn policy::Policy>
            });
            hosts.push(entry_host::start(settings, clock.clone(), make_policy).await?);
        }
    }
    platform.memory.set_hosts(cluster::HostList {
        // The platform assigns the version.
        version: 0,
        entry_hosts: hosts.iter().map(host_info).collect(),
        backend_servers: servers,
    });
    Ok(Demo {
        client: client::HttpClient::new(clock.clone(), Arc::new(meter::Meter::default())),
        clock,
        keyring,
        hosts,
        print,
    })
}

fn settings(
    zone: &str,
    number: u32,
    platform: SocketAddr,
    keyring: auth::Keyring,
) -> anyhow::Result<settings::Settings> {
    let any_port: SocketAddr = "127.0.0.1:0".parse()?;
    Ok(settings::Settings {
        host: format!("{zone}-e{number}").parse()?,
        zone: zone.parse()?,
        listen: any_port,
        peer_listen: any_port,
        peer_advertise: None,
        platform,
        peers: Vec::new(),
        keyring,
        statsd: None,
        platform_timeout: Duration::from_secs(1),
        scheduler_lease: Duration::from_secs(2),
        task_lease: Duration::from_secs(75),
        sync_wait: Duration::from_secs(30),
        order_timeout: Duration::from_secs(1),
        queue_max: 1_000,
        weights: weights::Weights::fragmentation_first(),
        worker_count: 16,
        shutdown_limit: Duration::from_secs(5),
    })
}

fn host_info(host: &entry_host::EntryHost) -> cluster::EntryHostInfo {
    let settings = &host.core().settings;
    cluster::EntryHostInfo {
        id: settings.host.clone(),
        zone: settings.zone.clone(),
        peer_address: host.peer_address,
        phase: cluster::HostPhase::Live,
    }
}

/// A submitted request and the entry host that accepted it.
struct Submission {
    id: id::RequestId,
    via: id::HostId,
}

impl Demo {
    fn print(&self, line: &str) {
        (self.print)(line);
    }

    async fn call(
        &self,
        host: &entry_host::EntryHost,
        identity: &auth::Identity,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> anyhow::Result<client::Response> {
        let token = self.keyring.token(identity);
        let call = client::Call {
            address: host.address,
            method,
            path,
            body,
            headers: vec![("authorization", format!("Bearer {token}"))],
            timeout: Duration::from_secs(10),
        };
        let reply = self.client.send(call).await?;
        anyhow::ensure!(
            reply.status.is_success(),
            "{method} {path}: status {}: {}",
            reply.status,
            String::from_utf8_lossy(&reply.body)
        );
        Ok(reply)
    }

    async fn apply_sheet(&self) -> anyhow::Result<()> {
        let host = self.hosts.first().context("no entry host")?;
        let body = SHEET.as_bytes().to_vec();
        let operator = auth::Identity::Operator;
        self.call(host, &operator, Method::Put, "/v1/sheet/0", body)
            .await?;
        self.print("sheet 1 is in force");
        Ok(())
    }

    async fn await_schedulers(&self) -> anyhow::Result<()> {
        for host in &self.hosts {
            loop {
                let operator = auth::Identity::Operator;
                let reply = self
                    .call(host, &operator, Method::Get, "/v1/health", Vec::new())
                    .await?;
                let health: api::Health = serde_json::from_slice(&reply.body)?;
                let is_ready = health.scheduler.is_some() && health.hosts_version > 0;
                if is_ready && health.sheet_version.0 == 1 {
                    break;
                }
                self.clock.sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    async fn submit_all(&self) -> anyhow::Result<Vec<Submission>> {
        let mut submissions = Vec::new();
        let mut rows = csv::Reader::from_reader(JOBS.as_bytes());
        for (row, host) in rows.deserialize().zip(self.hosts.iter().cycle()) {
            let row: JobRow = row?;
            let payload = serde_json::json!({ "run_time_ms": row.run_time_ms });
            let spec = request::RequestSpec {
                client_account: row.client_account,
                key: row.key,
                kind: row.kind,
                accelerators: row.accelerators,
                idempotent: row.idempotent,
                checkpointable: row.checkpointable,
                declared_run_time_ms: row.run_time_ms,
                zone: None,
                payload: payload.to_string(),
            };
            let identity = auth::Identity::Caller(spec.client_account.clone());
            let body = serde_json::to_vec(&spec)?;
            let reply = self
                .call(host, &identity, Method::Post, "/v1/requests", body)
                .await?;
            let submitted: api::SubmitResponse = serde_json::from_slice(&reply.body)?;
            submissions.push(Submission {
                id: submitted.id,
                via: host.core().settings.host.clone(),
            });
        }
        self.print(&format!("{} requests accepted", submissions.len()));
        Ok(submissions)
    }

    /// Waits until every request has ended. Asks the last entry host, which need not be the one
    /// that accepted the request.
    async fn await_ends(
        &self,
        submissions: &[Submission],
    ) -> anyhow::Result<BTreeMap<id::RequestId, (id::HostId, requests::Explanation)>> {
        let mut ended = BTreeMap::new();
        for submission in submissions {
            let explanation = loop {
                let explanation = self.explain(&submission.id).await?;
                if explanation.standing != record::Standing::Pending {
                    break explanation;
                }
                self.clock.sleep(POLL_INTERVAL).await;
            };
            let entry = (submission.via.clone(), explanation);
            ended.insert(submission.id.clone(), entry);
        }
        Ok(ended)
    }

    async fn explain(&self, request: &id::RequestId) -> anyhow::Result<requests::Explanation> {
        let host = self.hosts.last().context("no entry host")?;
        let path = format!("/v1/requests/{request}");
        let operator = auth::Identity::Operator;
        let reply = self
            .call(host, &operator, Method::Get, &path, Vec::new())
            .await?;
        Ok(serde_json::from_slice(&reply.body)?)
    }

    fn print_table(&self, ended: &BTreeMap<id::RequestId, (id::HostId, requests::Explanation)>) {
        for (request, (via, explanation)) in ended {
            // The detail of the latest start names the servers that the request runs on.
            let place = explanation
                .steps
                .iter()
                .rev()
                .find(|step| step.event == record::HistoryEvent::StartRecorded)
                .map_or("-", |step| step.detail.as_str());
            self.print(&format!(
                "{request}  {:<14} via {via:<14} {:<9} {place}",
                explanation.client_account.as_str(),
                explanation.state
            ));
        }
    }

    async fn print_explanation(
        &self,
        ended: &BTreeMap<id::RequestId, (id::HostId, requests::Explanation)>,
    ) -> anyhow::Result<()> {
        let request = ended.keys().next().context("no request")?;
        let explanation = self.explain(request).await?;
        self.print(&requests::render_text(&explanation));
        Ok(())
    }
}
