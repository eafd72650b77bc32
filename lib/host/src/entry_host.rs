//! Starts the parts of an entry host and connects them.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, Weak};

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_jobs::advice::Adviser;
use camphorbeam_jobs::interference;
use camphorbeam_jobs::orders::BackendServers;
use camphorbeam_jobs::settings as job_settings;
use camphorbeam_model::id;
use camphorbeam_platform::store::Store;

use crate::{
    gateway, host_registry, leadership, machines, metrics, peers, platform_schema, relay,
    scheduler, settings, store_path, stored_state, terms_watcher, waiting_count,
};

/// The interfaces of the platform that a host uses.
pub struct Platform {
    /// This host's own connection to the platform's store.
    pub store: Arc<dyn Store>,
    /// Sends orders to backend servers.
    pub servers: Arc<dyn BackendServers>,
    /// Asks which backend servers may run a step, if there is a service for that.
    pub adviser: Option<Arc<dyn Adviser>>,
    /// Locates and decodes the platform's rows.
    pub schema: Arc<dyn platform_schema::PlatformSchema>,
    /// The machines' API, if the platform has one.
    pub machines: Option<Arc<dyn machines::MachinesApi>>,
}

/// The scheduler that this host runs, if it runs one.
type CurrentScheduler = Arc<Mutex<Weak<scheduler::Scheduler>>>;

/// What this host knows about tasks that slow each other down.
#[derive(serde::Serialize)]
pub struct InterferenceReport {
    /// Whether this host runs the scheduler. If not, it has no evidence.
    pub is_scheduling: bool,
    /// Pairs of kinds with evidence.
    pub pairs: Vec<interference::PairReport>,
}

/// A running entry host.
pub struct EntryHost {
    /// Handles incoming calls.
    pub gateway: Arc<gateway::Gateway>,
    metrics: Arc<metrics::Metrics>,
    clock: clock::Clock,
    store: Arc<relay::RelayedStore>,
    current_terms: Arc<terms_watcher::CurrentTerms>,
    is_leaving: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    scheduler: CurrentScheduler,
    _peer_server: jsonrpsee::server::ServerHandle,
}

impl EntryHost {
    /// Starts the host and its background tasks.
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
        let store = match settings.store_path {
            settings::StorePathMode::DirectFirst => relay::RelayedStore::new(
                platform.store,
                Arc::clone(&peers),
                clock.clone(),
                Arc::clone(&metrics),
            ),
            settings::StorePathMode::Probed => {
                let path = Arc::new(store_path::StorePath::new(
                    platform.store,
                    Arc::clone(&peers) as _,
                    Arc::clone(&peers),
                    clock.clone(),
                    Arc::clone(&metrics),
                ));
                task::spawn(Arc::clone(&path).run());
                relay::RelayedStore::with_path(path)
            }
        };
        let store = Arc::new(store.with_link_mbps(settings.link_mbps));
        let current_terms = Arc::new(terms_watcher::CurrentTerms::default());
        let relay_terms = Arc::clone(&current_terms);
        let relay = relay::DirectRelay {
            store: Arc::clone(&store),
            terms: Arc::new(move || relay_terms.source_terms()),
        };
        let peer_server = peers::serve(settings.peer_address, Arc::new(relay))?;
        task::spawn(host_registry::run(
            settings.clone(),
            Arc::clone(&store),
            Arc::clone(&peers),
            clock.clone(),
        ));
        let watcher = terms_watcher::TermsWatcher {
            current_terms: Arc::clone(&current_terms),
            store: Arc::clone(&store),
            peers,
            schema: Arc::clone(&platform.schema),
            clock: clock.clone(),
        };
        task::spawn(watcher.run());
        let is_leaving = Arc::new(AtomicBool::new(false));
        let has_left = Arc::new(AtomicBool::new(false));
        let scheduler = CurrentScheduler::default();
        let maintenance = platform
            .machines
            .zip(settings.machines)
            .map(|(api, limits)| machines::Dependencies::new(api, limits, settings.host.clone()));
        let deps = scheduler::Dependencies {
            store: Arc::clone(&store),
            servers: platform.servers,
            adviser: platform.adviser,
            schema: platform.schema,
            current_terms: Arc::clone(&current_terms),
            clock: clock.clone(),
            settings: settings.jobs,
            metrics: Arc::clone(&metrics),
            maintenance,
        };
        let candidate = leadership::Candidate {
            host: settings.host.clone(),
            process: Arc::from(ulid::Ulid::new().to_string()),
            processor_cores: settings.processor_cores,
        };
        task::spawn(run_leadership(
            candidate,
            deps,
            Arc::clone(&is_leaving),
            Arc::clone(&has_left),
            Arc::clone(&scheduler),
        ));
        let gateway = Arc::new(gateway::Gateway {
            current_terms: Arc::clone(&current_terms),
            store: Arc::clone(&store),
            clock: clock.clone(),
            metrics: Arc::clone(&metrics),
            caller_zone: match settings.jobs.fair_shares {
                job_settings::FairShares::On => Some(settings.zone.clone()),
                job_settings::FairShares::Off => None,
            },
            waiting_counter: waiting_count::WaitingCounter::new(clock.clone()),
        });
        Ok(Self {
            gateway,
            metrics,
            clock,
            store,
            current_terms,
            is_leaving,
            has_left,
            scheduler,
            _peer_server: peer_server,
        })
    }

    /// Whether the host can answer calls: it has terms, reaches the store, and isn't shutting down.
    pub fn is_ready(&self) -> bool {
        let has_terms = self.current_terms.version() > id::TermsVersion(0);
        has_terms && self.store.is_reachable() && !self.is_leaving()
    }

    /// Returns all metrics in the OpenMetrics text format.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be formatted.
    pub fn metrics_text(&self) -> Result<String, std::fmt::Error> {
        self.metrics
            .terms_version
            .set(self.current_terms.version().0);
        let unreadable = self.current_terms.terms().unreadable.len();
        self.metrics.terms_unreadable.set(unreadable as u64);
        let age = self.current_terms.confirmation_age(self.clock.now());
        let age_s = age.map_or(-1.0, |age| age.as_secs_f64());
        self.metrics.terms_age_s.set(age_s);
        self.metrics.encode_text()
    }

    /// Returns the evidence for tasks that slow each other down.
    pub fn interference_report(&self) -> InterferenceReport {
        let current = self
            .scheduler
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let scheduler = current.upgrade();
        InterferenceReport {
            is_scheduling: scheduler.is_some(),
            pairs: scheduler.map_or_else(Vec::new, |scheduler| scheduler.interference_report()),
        }
    }

    /// Whether the host is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Begins the shutdown: from now on, the host is not ready. In the background, it stops
    /// scheduling and releases the lease if it holds it; see [`Self::has_left`].
    pub fn leave(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Whether the shutdown that [`Self::leave`] began has finished: this host has stopped
    /// scheduling and, if it held the lease, has tried to release it.
    pub fn has_left(&self) -> bool {
        self.has_left.load(Ordering::Relaxed)
    }
}

/// Competes for the lease, and runs the scheduler while this host holds it.
async fn run_leadership(
    candidate: leadership::Candidate,
    deps: scheduler::Dependencies,
    is_leaving: Arc<AtomicBool>,
    has_left: Arc<AtomicBool>,
    current: CurrentScheduler,
) {
    let clock = deps.clock.clone();
    while !is_leaving.load(Ordering::Relaxed) {
        let standby = leadership::Standby::new(candidate.clone(), clock.clone())
            .with_takeover(deps.settings.takeover);
        let Some(holder) = await_lease(standby, &deps, &is_leaving).await else {
            break;
        };
        run_scheduler(holder, &deps, &is_leaving, &current).await;
    }
    has_left.store(true, Ordering::Relaxed);
}

/// Checks the lease until this host has taken it. Returns `None` on shutdown. A host without terms
/// doesn't compete, since it couldn't schedule.
async fn await_lease(
    mut standby: leadership::Standby,
    deps: &scheduler::Dependencies,
    is_leaving: &AtomicBool,
) -> Option<leadership::LeaseHolder> {
    while !is_leaving.load(Ordering::Relaxed) {
        let has_terms = deps.current_terms.version() > id::TermsVersion(0);
        if !has_terms {
            deps.clock.sleep(leadership::LEASE_RETRY_DELAY).await;
            continue;
        }
        standby = match standby.check_lease(&*deps.store).await {
            Ok(leadership::LeaseCheck::Holder(holder)) => {
                deps.metrics.record_takeover();
                return Some(holder);
            }
            Ok(leadership::LeaseCheck::Standby(standby)) => {
                deps.clock.sleep(standby.next_check_delay()).await;
                standby
            }
            Err((standby, _)) => {
                deps.clock.sleep(leadership::LEASE_RETRY_DELAY).await;
                standby
            }
        };
    }
    None
}

async fn run_scheduler(
    mut holder: leadership::LeaseHolder,
    deps: &scheduler::Dependencies,
    is_leaving: &AtomicBool,
    current: &CurrentScheduler,
) {
    let mut reader = stored_state::StateReader::new(deps);
    loop {
        match holder.renew_while(&*deps.store, reader.read(deps)).await {
            Some(Ok(())) => break,
            // The reader has logged the error.
            Some(Err(_)) => {
                deps.clock.sleep(leadership::LEASE_RETRY_DELAY).await;
                if holder.renew(&*deps.store).await == leadership::LeaseWriteOutcome::Lost {
                    return;
                }
            }
            None => return,
        }
    }
    let stored_state = reader.into_state();
    let scheduler = scheduler::Scheduler::start_with(deps.clone(), &holder, stored_state);
    deps.metrics.is_scheduling.set(1);
    *current.lock().unwrap_or_else(PoisonError::into_inner) = Arc::downgrade(&scheduler);
    while !scheduler.is_stopped() && !is_leaving.load(Ordering::Relaxed) {
        let waiting = scheduler.waiting_jobs();
        let jobs = i64::try_from(waiting.values().sum::<u64>());
        deps.metrics.waiting_jobs.set(jobs.unwrap_or(i64::MAX));
        let (kinds, pairs) = scheduler.interference_counts();
        deps.metrics.interference_kinds.set(kinds as i64);
        deps.metrics.interference_pairs.set(pairs as i64);
        holder.set_waiting_jobs(waiting, scheduler.inbox_age());
        match holder.renew(&*deps.store).await {
            leadership::LeaseWriteOutcome::Renewed => {
                scheduler.record_scheduler_lease_renewal(holder.renewed_at());
                deps.clock.sleep(holder.next_renewal_delay(true)).await;
            }
            leadership::LeaseWriteOutcome::Unconfirmed(error) => {
                let reason = error.to_string();
                spdlog::warn!("failed to renew the scheduler lease; retrying", kv: {
                    epoch = holder.epoch().0, reason = reason.as_str()
                });
                deps.clock.sleep(holder.next_renewal_delay(false)).await;
            }
            leadership::LeaseWriteOutcome::Lost => break,
        }
    }
    scheduler.stop();
    *current.lock().unwrap_or_else(PoisonError::into_inner) = Weak::new();
    deps.metrics.is_scheduling.set(0);
    deps.metrics.waiting_jobs.set(0);
    deps.metrics.interference_kinds.set(0);
    deps.metrics.interference_pairs.set(0);
    if is_leaving.load(Ordering::Relaxed) {
        let released = holder.release(&*deps.store).await;
        let released = format!("{released:?}");
        spdlog::info!("lease handed back", kv: {
            epoch = holder.epoch().0, outcome = released.as_str()
        });
    }
    spdlog::info!("scheduling ends", kv: { epoch = holder.epoch().0 });
}
