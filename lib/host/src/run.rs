//! Puts an entry host together.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_jobs::orders::BackendServers;
use camphorbeam_model::id;
use camphorbeam_platform::store::Store;

use crate::{
    follower, gateway, leadership, metrics, peers, registry, reign, relay, settings, site,
};

/// Wait after a failed look at the lease.
const LEASE_RETRY: Duration = Duration::from_millis(200);

/// What a host needs of its platform.
pub struct Platform {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The backend servers.
    pub servers: Arc<dyn BackendServers>,
    /// The platform's tables.
    pub site: Arc<dyn site::Site>,
}

/// A running host.
pub struct Host {
    /// Answers callers.
    pub gateway: Arc<gateway::Gateway>,
    metrics: Arc<metrics::Metrics>,
    store: Arc<relay::RelayedStore>,
    board: Arc<follower::Board>,
    is_leaving: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    _peer_server: jsonrpsee::server::ServerHandle,
}

impl Host {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// Fails if the address for other hosts can't be bound.
    pub async fn start(
        settings: settings::Settings,
        platform: Platform,
        clock: clock::Clock,
    ) -> anyhow::Result<Self> {
        let peers = Arc::new(peers::Peers::new(
            settings.peer_address,
            &settings.peer_seeds,
        ));
        let metrics = Arc::new(metrics::Metrics::default());
        let store = Arc::new(relay::RelayedStore::new(
            platform.store,
            Arc::clone(&peers),
            clock.clone(),
            Arc::clone(&metrics),
        ));
        let board = Arc::new(follower::Board::default());
        let known_terms = Arc::clone(&board);
        let relay = relay::DirectRelay {
            ways: Arc::clone(&store),
            terms: Arc::new(move || known_terms.text()),
        };
        let peer_server = peers::serve(settings.peer_address, Arc::new(relay))?;
        task::spawn(registry::run(
            settings.clone(),
            Arc::clone(&store),
            Arc::clone(&peers),
            clock.clone(),
        ));
        let following = follower::Follower {
            board: Arc::clone(&board),
            store: Arc::clone(&store),
            peers,
            site: Arc::clone(&platform.site),
            clock: clock.clone(),
        };
        task::spawn(following.run());
        let is_leaving = Arc::new(AtomicBool::new(false));
        let has_left = Arc::new(AtomicBool::new(false));
        let around = reign::Surroundings {
            store: Arc::clone(&store),
            servers: platform.servers,
            site: platform.site,
            board: Arc::clone(&board),
            clock: clock.clone(),
            settings: settings.jobs,
            metrics: Arc::clone(&metrics),
        };
        let candidate = leadership::Candidate {
            host: settings.host.clone(),
            process: Arc::from(ulid::Ulid::new().to_string()),
            processor_share: settings.processor_share,
        };
        task::spawn(lead(
            candidate,
            around,
            Arc::clone(&is_leaving),
            Arc::clone(&has_left),
        ));
        let gateway = Arc::new(gateway::Gateway {
            board: Arc::clone(&board),
            store: Arc::clone(&store),
            clock,
            metrics: Arc::clone(&metrics),
        });
        Ok(Self {
            gateway,
            metrics,
            store,
            board,
            is_leaving,
            has_left,
            _peer_server: peer_server,
        })
    }

    /// Whether callers are to be sent here.
    pub fn is_ready(&self) -> bool {
        let has_terms = self.board.version() > id::TermsVersion(0);
        has_terms && self.store.is_reached() && !self.is_leaving()
    }

    /// What is counted, as text.
    ///
    /// # Errors
    ///
    /// Fails if it can't be formatted.
    pub fn metrics_text(&self) -> Result<String, std::fmt::Error> {
        self.metrics.terms_version.set(self.board.version().0);
        self.metrics.text()
    }

    /// Whether the host leaves.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Begins to leave: not ready any more, and the lease goes back.
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the lease is given back, or was not held.
    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::Relaxed)
    }
}

/// Takes part in the lease, and schedules while it is held.
async fn lead(
    candidate: leadership::Candidate,
    around: reign::Surroundings,
    is_leaving: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
) {
    let clock = around.clock.clone();
    while !is_leaving.load(Ordering::Relaxed) {
        let standby = leadership::Standby::new(candidate.clone(), clock.clone());
        let Some(holder) = await_lease(standby, &around, &is_leaving).await else {
            break;
        };
        schedule(holder, &around, &is_leaving).await;
    }
    has_left.store(true, Ordering::Relaxed);
}

async fn await_lease(
    mut standby: leadership::Standby,
    around: &reign::Surroundings,
    is_leaving: &AtomicBool,
) -> Option<leadership::Holder> {
    while !is_leaving.load(Ordering::Relaxed) {
        let is_informed = around.board.version() > id::TermsVersion(0);
        if !is_informed {
            around.clock.sleep(LEASE_RETRY).await;
            continue;
        }
        standby = match standby.look(&*around.store).await {
            Ok(leadership::Watched::Holder(holder)) => return Some(holder),
            Ok(leadership::Watched::Standby(standby)) => {
                around.clock.sleep(leadership::RENEWAL).await;
                standby
            }
            Err((standby, _)) => {
                around.clock.sleep(LEASE_RETRY).await;
                standby
            }
        };
    }
    None
}

async fn schedule(
    mut holder: leadership::Holder,
    around: &reign::Surroundings,
    is_leaving: &AtomicBool,
) {
    let reign = loop {
        match reign::Reign::begin(around.clone(), &holder).await {
            Ok(reign) => break reign,
            Err(error) => {
                let reason = error.to_string();
                spdlog::warn!("scheduling can't begin", kv: { reason = reason.as_str() });
                around.clock.sleep(LEASE_RETRY).await;
                if holder.renew(&*around.store, Default::default()).await
                    == leadership::Renewal::Lost
                {
                    return;
                }
            }
        }
    };
    around.metrics.is_scheduling.set(1);
    while !reign.is_over() && !is_leaving.load(Ordering::Relaxed) {
        let waiting = reign.waiting();
        let jobs = i64::try_from(waiting.values().sum::<u64>());
        around.metrics.waiting_jobs.set(jobs.unwrap_or(i64::MAX));
        match holder.renew(&*around.store, waiting).await {
            leadership::Renewal::Renewed => {
                reign.confirm(holder.confirmed());
                around.clock.sleep(leadership::RENEWAL).await;
            }
            leadership::Renewal::Unconfirmed(error) => {
                let reason = error.to_string();
                spdlog::warn!("lease not renewed", kv: {
                    epoch = holder.epoch().0, reason = reason.as_str()
                });
                around.clock.sleep(LEASE_RETRY).await;
            }
            leadership::Renewal::Lost => break,
        }
    }
    reign.end();
    around.metrics.is_scheduling.set(0);
    around.metrics.waiting_jobs.set(0);
    if is_leaving.load(Ordering::Relaxed) {
        let released = holder.release(&*around.store).await;
        let released = format!("{released:?}");
        spdlog::info!("lease handed back", kv: {
            epoch = holder.epoch().0, outcome = released.as_str()
        });
    }
    spdlog::info!("scheduling ends", kv: { epoch = holder.epoch().0 });
}
