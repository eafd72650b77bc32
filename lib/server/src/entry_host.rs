//! Builds an entry host from its components and runs it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use anyhow::Context as _;
use async_std::net::TcpListener;
use async_std::task;
use camphorbeam_backend::{http as backend_http, orders};
use camphorbeam_clock as clock;
use camphorbeam_http::{client as http_client, meter, server as http_server};
use camphorbeam_model::{id, record, verdict};
use camphorbeam_platform::{committer, hosts, http as platform_http, keys, table};
use camphorbeam_protocol::messages;
use camphorbeam_scheduler::{dependencies, lease, settings as scheduler_settings, zone};
use camphorbeam_telemetry::metrics;

use crate::accept::{FallbackAdmissions, SchedulerHandle};
use crate::{
    accept, api, auth, election, gauges, host_list, membership, peer_service, settings, sheets,
    shutdown, write_tokens,
};

/// Time limit for committing one write to a request's record, including retries while the outcome
/// is unknown.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time that a cancellation waits for the request to end before it responds that the request is
/// stopping.
const CANCEL_WAIT_LIMIT: Duration = Duration::from_millis(1_000);

/// Poll interval while a cancellation waits for the request to end.
const CANCEL_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Maximum interval between two placement decisions; events trigger decisions earlier.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a backend server may be silent before the other members of its gangs are stopped. A new
/// scheduler also waits this long for the members of a recorded gang to become reachable.
const MEMBER_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Number of failed attempts after which a request fails. Lost attempts don't count.
const FAILED_ATTEMPTS_MAX: usize = 3;

/// Number of attempts lost, for example with their backend servers, after which a request is not
/// started again.
const LOST_ATTEMPTS_MAX: usize = 8;

/// Number of attempts during which a backend server crashed after which a request isn't started
/// again. Each of them costs the other tasks on that server.
const CRASHED_ATTEMPTS_MAX: usize = 3;

/// How often the scheduler lease is renewed within the time that it lasts.
const RENEWALS_PER_LEASE: u32 = 3;

/// State that all components of an entry host share.
pub struct Core {
    pub settings: settings::Settings,
    /// Dependencies of the scheduler; the other components use them too.
    pub deps: dependencies::Dependencies,
    /// The list of entry hosts and backend servers as last read.
    pub host_list: Arc<host_list::HostListCache>,
    /// The newest sheet that this host has loaded.
    pub sheets: Arc<sheets::SheetStore>,
    /// Leader election of the zone's scheduler.
    pub election: Arc<election::Election>,
    /// The other entry hosts.
    pub membership: Arc<membership::Membership>,
    /// The state of the shutdown and the count of calls in progress.
    pub shutdown: shutdown::Shutdown,
    pub meters: Meters,
    fallback_admissions: Mutex<FallbackAdmissions>,
}

/// Counters of the bytes sent and received. Traffic with other entry hosts isn't counted.
#[derive(Clone, Debug, Default)]
pub struct Meters {
    /// Connections of callers and operators.
    pub callers: Arc<meter::Meter>,
    /// Connections to the platform.
    pub platform: Arc<meter::Meter>,
    /// Connections to backend servers.
    pub backend_servers: Arc<meter::Meter>,
}

/// A running entry host.
pub struct EntryHost {
    /// Address on which it listens for callers and operators.
    pub address: SocketAddr,
    /// Address on which it listens for other entry hosts.
    pub peer_address: SocketAddr,
    core: Arc<Core>,
    peer_server: peer_service::PeerServerHandle,
    background: Vec<task::JoinHandle<()>>,
}

/// Connects to backend servers over HTTP.
struct HttpConnector {
    client: Arc<http_client::HttpClient>,
    timeout: Duration,
}

impl dependencies::Connector for HttpConnector {
    fn connect(&self, address: SocketAddr) -> Arc<dyn orders::BackendServer> {
        let client = Arc::clone(&self.client);
        Arc::new(backend_http::HttpBackendServer::new(
            client,
            address,
            self.timeout,
        ))
    }
}

/// Starts an entry host.
///
/// # Errors
///
/// Fails if the host can't listen on one of its addresses, or if a component can't be created.
pub async fn start(
    mut settings: settings::Settings,
    clock: clock::Clock,
    make_policy: election::PolicyFactory,
) -> anyhow::Result<EntryHost> {
    let listener = TcpListener::bind(settings.listen)
        .await
        .with_context(|| format!("can't listen on --listen {}", settings.listen))?;
    let address = listener.local_addr()?;
    let peer_listener = std::net::TcpListener::bind(settings.peer_listen)
        .with_context(|| format!("can't listen on --peer-listen {}", settings.peer_listen))?;
    let peer_address = peer_listener.local_addr()?;
    settings.listen = address;
    settings.peer_listen = peer_address;

    let (core, host_source) = build_core(settings, clock, make_policy)?;
    let peer_server = peer_service::serve(Arc::clone(&core), peer_listener)?;
    let background = spawn_background(&core, host_source, listener);
    Ok(EntryHost {
        address,
        peer_address,
        core,
        peer_server,
        background,
    })
}

/// Builds the shared state and the source of the host list, without serving calls yet.
fn build_core(
    settings: settings::Settings,
    clock: clock::Clock,
    make_policy: election::PolicyFactory,
) -> anyhow::Result<(Arc<Core>, Arc<dyn hosts::Hosts>)> {
    let meters = Meters::default();
    let platform = platform_adapter(&settings, &clock, &meters);
    let (deps, sheets) = dependencies(&settings, &clock, &meters, &platform)?;
    let host_list = Arc::new(host_list::HostListCache::default());
    let election = Arc::new(election::Election::new(
        deps.clone(),
        Arc::clone(&host_list),
        make_policy,
    ));
    let identity = membership::HostIdentity {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        address: settings.peer_address(),
    };
    let context = messages::CallContext {
        token: settings.keyring.token(&auth::Identity::Peer),
        traceparent: None,
    };
    let membership = Arc::new(membership::Membership::new(
        identity,
        clock.clone(),
        Arc::clone(&host_list),
        settings.peers.clone(),
        Arc::clone(&sheets),
        Arc::clone(&election),
        context,
    ));
    let zone_peers: Weak<dyn election::ZonePeers> = Arc::downgrade(&membership) as _;
    election.set_zone_peers(zone_peers);
    let core = Core {
        shutdown: shutdown::Shutdown::new(clock),
        settings,
        deps,
        host_list,
        sheets,
        election,
        membership,
        meters,
        fallback_admissions: Mutex::new(FallbackAdmissions::default()),
    };
    Ok((Arc::new(core), Arc::new(platform)))
}

fn platform_adapter(
    settings: &settings::Settings,
    clock: &clock::Clock,
    meters: &Meters,
) -> platform_http::HttpPlatform {
    let client = http_client::HttpClient::new(clock.clone(), Arc::clone(&meters.platform));
    platform_http::HttpPlatform::new(
        Arc::new(client),
        settings.platform,
        settings.platform_timeout,
    )
}

fn dependencies(
    settings: &settings::Settings,
    clock: &clock::Clock,
    meters: &Meters,
    platform: &platform_http::HttpPlatform,
) -> anyhow::Result<(dependencies::Dependencies, Arc<sheets::SheetStore>)> {
    let table: Arc<dyn table::Table> = Arc::new(platform.clone());
    let token_source: Arc<dyn lease::WriteTokenSource> =
        Arc::new(write_tokens::UlidWriteTokenSource);
    let sheets = Arc::new(sheets::SheetStore::new(
        Arc::clone(&table),
        clock.clone(),
        Arc::clone(&token_source),
        settings.host.clone(),
    ));
    let metrics = Arc::new(metrics::client(
        settings.statsd,
        settings.host.as_str(),
        settings.zone.as_str(),
    )?);
    let server_meter = Arc::clone(&meters.backend_servers);
    let connector = HttpConnector {
        client: Arc::new(http_client::HttpClient::new(clock.clone(), server_meter)),
        timeout: settings.order_timeout,
    };
    let deps = dependencies::Dependencies {
        committer: committer::Committer::start_with_metrics(
            Arc::clone(&table),
            clock.clone(),
            COMMIT_TIMEOUT,
            Arc::clone(&metrics),
        ),
        table,
        objects: Arc::new(platform.clone()),
        clock: clock.clone(),
        write_tokens: token_source,
        connector: Arc::new(connector),
        sheets: Arc::clone(&sheets) as Arc<dyn dependencies::SheetSource>,
        metrics,
        settings: Arc::new(scheduler_settings(settings)),
    };
    Ok((deps, sheets))
}

fn scheduler_settings(settings: &settings::Settings) -> scheduler_settings::Settings {
    scheduler_settings::Settings {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        peer_address: settings.peer_address(),
        scheduler_lease: settings.scheduler_lease,
        scheduler_renewal: settings.scheduler_lease / RENEWALS_PER_LEASE,
        task_lease: settings.task_lease,
        sync_wait: settings.sync_wait,
        order_timeout: settings.order_timeout,
        member_silence_limit: MEMBER_SILENCE_LIMIT,
        commit_timeout: COMMIT_TIMEOUT,
        queue_max: settings.queue_max,
        failed_attempts_max: FAILED_ATTEMPTS_MAX,
        lost_attempts_max: LOST_ATTEMPTS_MAX,
        crashed_attempts_max: CRASHED_ATTEMPTS_MAX,
        worker_count: settings.worker_count,
        decision_interval: DECISION_INTERVAL,
    }
}

/// Starts the background tasks, among them the HTTP server for callers.
fn spawn_background(
    core: &Arc<Core>,
    host_source: Arc<dyn hosts::Hosts>,
    listener: TcpListener,
) -> Vec<task::JoinHandle<()>> {
    let sheets = Arc::clone(&core.sheets);
    let election = Arc::clone(&core.election);
    let membership = Arc::clone(&core.membership);
    let clock = core.deps.clock.clone();
    let cache = Arc::clone(&core.host_list);
    let list_election = Arc::clone(&core.election);
    let handler = api::handler(Arc::clone(core));
    let limits = http_server::Limits::default();
    let caller_meter = Arc::clone(&core.meters.callers);
    let http_clock = clock.clone();
    let gauge_core = Arc::clone(core);
    vec![
        task::spawn(async move { sheets.follow().await }),
        task::spawn(async move {
            host_list::follow(host_source, clock, cache, |_| list_election.apply_hosts()).await;
        }),
        task::spawn(async move { election.run().await }),
        task::spawn(async move { membership.run().await }),
        task::spawn(async move { gauges::run(&gauge_core).await }),
        task::spawn(async move {
            http_server::serve(listener, http_clock, limits, caller_meter, handler).await;
        }),
    ]
}

impl EntryHost {
    /// Shuts down gracefully: refuses new calls of callers and operators, waits for those in
    /// progress and for launches and other work of the scheduler, releases the scheduler lease or
    /// hands it over, then stops. Calls of other entry hosts are served until the end.
    ///
    /// Each of the three waits, for calls, for the scheduler's work and for the lease, takes at
    /// most the shutdown limit of the settings.
    pub async fn leave(self) {
        let limit = self.core.settings.shutdown_limit;
        self.core.membership.set_leaving();
        self.core.shutdown.begin();
        self.core.shutdown.wait_until_idle(limit).await;
        self.core.election.close(limit).await;
        for task in self.background {
            task.cancel().await;
        }
        self.peer_server.stop();
        spdlog::info!(
            "entry host has left",
            kv: {
                host = self.core.settings.host.as_str(),
                zone = self.core.settings.zone.as_str(),
            }
        );
    }

    /// Returns the state that all components share.
    pub fn core(&self) -> &Arc<Core> {
        &self.core
    }
}

impl Core {
    /// Returns the loaded sheet, if there is one.
    pub fn sheet(&self) -> Option<dependencies::CurrentSheet> {
        self.deps.sheets.sheet()
    }

    /// Returns the context that is sent with each call to another entry host.
    pub fn context(&self) -> messages::CallContext {
        self.membership.context()
    }

    /// Returns the scheduler of `zone`, or `None` if none is known.
    ///
    /// Prefers the scheduler in this process. Otherwise takes the scheduler that this host last
    /// observed for its own zone, or that peers last reported for another zone. If there is none,
    /// reads the lease row from the platform. The result may be out of date.
    pub async fn scheduler_of(&self, zone: &id::ZoneName) -> Option<SchedulerHandle> {
        let is_own_zone = *zone == self.settings.zone;
        match self.election.local_scheduler() {
            Some(local) if is_own_zone => return Some(SchedulerHandle::Local(local)),
            _ => {}
        }
        let known = match is_own_zone {
            true => self.election.scheduler(),
            false => self.membership.scheduler_of(zone),
        };
        let scheduler = match known {
            Some(scheduler) => scheduler,
            None => self.scheduler_from_lease_row(zone).await?,
        };
        let handle = self.membership.peer_handle(scheduler.address).ok()?;
        Some(SchedulerHandle::Peer(handle))
    }

    /// Returns the known schedulers of all zones, that of this host's own zone first.
    pub async fn known_schedulers(&self) -> Vec<SchedulerHandle> {
        let mut zones = self.host_list.current().zones();
        zones.remove(&self.settings.zone);
        let mut schedulers = Vec::new();
        for zone in std::iter::once(self.settings.zone.clone()).chain(zones) {
            schedulers.extend(self.scheduler_of(&zone).await);
        }
        schedulers
    }

    async fn scheduler_from_lease_row(
        &self,
        zone: &id::ZoneName,
    ) -> Option<messages::SchedulerInfo> {
        let rows = self.deps.table.read(&[keys::lease(zone)]).await.ok()?;
        let row = rows.into_iter().next()?;
        let lease: lease::LeaseRow = serde_json::from_value(row.value).ok()?;
        Some(messages::SchedulerInfo {
            host: lease.holder?,
            address: lease.address,
            epoch: lease.epoch,
        })
    }

    /// Reads the record of a request and the version of its row. Returns `None` if there is none.
    ///
    /// # Errors
    ///
    /// Fails if the row can't be read from the platform or is not a valid record.
    pub async fn read_record(
        &self,
        request: &id::RequestId,
    ) -> Result<Option<(record::RequestRecord, u64)>, table::PlatformError> {
        let rows = self.deps.table.read(&[keys::request(request)]).await?;
        let Some(row) = rows.into_iter().next() else {
            return Ok(None);
        };
        match serde_json::from_value(row.value) {
            Ok(record) => Ok(Some((record, row.version))),
            Err(error) => Err(table::PlatformError::Rejected {
                reason: format!("the record of request {request} can't be read: {error}"),
            }),
        }
    }

    /// Admits a request while the scheduler of its zone is unreachable.
    ///
    /// # Errors
    ///
    /// Refuses if the client account has reached [`accept::FALLBACK_ADMISSIONS_MAX`] within
    /// [`accept::FALLBACK_ADMISSION_WINDOW`].
    pub fn admit_without_scheduler(
        &self,
        account: &id::ClientAccountName,
    ) -> Result<(), verdict::Refusal> {
        let mut fallback_admissions = self
            .fallback_admissions
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match fallback_admissions.admit(account, self.deps.clock.now()) {
            true => Ok(()),
            false => Err(accept::unavailable(&format!(
                "the scheduler can't be asked, and client account {account} has {} requests \
                 accepted without it, which is the limit",
                accept::FALLBACK_ADMISSIONS_MAX
            ))),
        }
    }

    /// Cancels a request through the scheduler in this process, and waits at most
    /// `CANCEL_WAIT_LIMIT` for the request to end. Returns `Stopping` if the request hasn't ended
    /// by then, has no record or its record can't be read.
    pub async fn cancel_locally(
        &self,
        local: &zone::ZoneScheduler,
        request: &id::RequestId,
    ) -> messages::CancelOutcome {
        if !local.cancel(request) {
            self.enqueue_if_waiting(local, request).await;
            local.cancel(request);
        }
        let deadline = self.deps.clock.now().plus(CANCEL_WAIT_LIMIT);
        while local.live(request).is_some() && self.deps.clock.now() < deadline {
            self.deps.clock.sleep(CANCEL_POLL_INTERVAL).await;
        }
        match self.read_record(request).await {
            Ok(Some((record, _))) => match record.state.standing() {
                record::Standing::Ended(verdict) => messages::CancelOutcome::Ended {
                    verdict,
                    state: record.state.name().to_owned(),
                },
                record::Standing::Pending => messages::CancelOutcome::Stopping,
            },
            _ => messages::CancelOutcome::Stopping,
        }
    }

    /// Enqueues a request that is recorded as waiting, in case the scheduler does not have it yet.
    async fn enqueue_if_waiting(&self, local: &zone::ZoneScheduler, request: &id::RequestId) {
        if let Ok(Some((record, row_version))) = self.read_record(request).await {
            if record.state == record::RequestState::Waiting {
                local.enqueue(messages::Enqueue {
                    record,
                    row_version,
                });
            }
        }
    }
}
