//! Leader election of the availability zone's scheduler: watches the scheduler lease, acquires and
//! renews it, and runs the scheduler while this host holds it.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use async_std::task;
use camphorbeam_placement::policy;
use camphorbeam_protocol::messages;
use camphorbeam_scheduler::{dependencies, housekeeping, lease, recovery, zone};
use camphorbeam_telemetry::metrics;

use crate::host_list;

/// How often a standby polls the lease within the time that a lease lasts.
const STANDBY_POLLS_PER_LEASE: u32 = 3;

/// Creates the placement policy each time this host becomes the scheduler.
pub type PolicyFactory = Arc<dyn Fn() -> Box<dyn policy::Policy> + Send + Sync>;

/// The other entry hosts of this host's availability zone.
#[async_trait::async_trait]
pub trait ZonePeers: Send + Sync {
    /// Offers the lease to one peer after another and returns true once one accepts it.
    ///
    /// Returns false if no peer accepts it, or after the first call without an answer: that peer
    /// may have accepted the lease.
    async fn offer_lease(&self, handover: messages::LeaseHandover) -> bool;
}

/// This host's part in the election, and the zone's scheduler as far as this host knows.
pub struct Election {
    deps: dependencies::Dependencies,
    host_list: Arc<host_list::HostListCache>,
    make_policy: PolicyFactory,
    zone_peers: OnceLock<Weak<dyn ZonePeers>>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    local_scheduler: Option<Arc<zone::ZoneScheduler>>,
    known_scheduler: Option<messages::SchedulerInfo>,
    is_closing: bool,
    pending_handover: Option<messages::LeaseHandover>,
}

impl Election {
    /// Returns an election in which no scheduler is known yet.
    pub fn new(
        deps: dependencies::Dependencies,
        host_list: Arc<host_list::HostListCache>,
        make_policy: PolicyFactory,
    ) -> Self {
        Self {
            deps,
            host_list,
            make_policy,
            zone_peers: OnceLock::new(),
            state: Mutex::new(State::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the scheduler in this process, if this host holds the lease.
    pub fn local_scheduler(&self) -> Option<Arc<zone::ZoneScheduler>> {
        let state = self.lock();
        state
            .local_scheduler
            .clone()
            .filter(|scheduler| !scheduler.has_ended())
    }

    /// Returns the zone's scheduler, here or on another entry host, as last observed.
    pub fn scheduler(&self) -> Option<messages::SchedulerInfo> {
        self.lock().known_scheduler.clone()
    }

    fn is_closing(&self) -> bool {
        self.lock().is_closing
    }

    /// Sets how to reach the other entry hosts of the zone. Only the first call has an effect.
    pub fn set_zone_peers(&self, zone_peers: Weak<dyn ZonePeers>) {
        // An error means that a value was set before; that value stays.
        let _ = self.zone_peers.set(zone_peers);
    }

    /// Accepts the lease from another entry host; [`Election::run`] then starts the scheduler.
    /// Returns false if this host can't schedule the zone, already does, or has already accepted a
    /// lease.
    pub fn take_over(&self, handover: messages::LeaseHandover) -> bool {
        let is_eligible = self.is_eligible() && handover.zone == self.deps.settings.zone;
        let mut state = self.lock();
        let is_accepted =
            is_eligible && state.local_scheduler.is_none() && state.pending_handover.is_none();
        if is_accepted {
            state.pending_handover = Some(handover);
        }
        is_accepted
    }

    /// Releases the lease on the platform. If the platform does not confirm the release, for
    /// example because it is unreachable, offers the lease to the peers of the zone.
    async fn release_or_hand_over(&self, holder: &lease::Holder) {
        if holder.release().await {
            return;
        }
        let zone_peers = self.zone_peers.get().and_then(Weak::upgrade);
        let is_taken = match zone_peers {
            Some(zone_peers) => zone_peers.offer_lease(holder.to_handover()).await,
            None => false,
        };
        spdlog::warn!(
            "the platform is away: the scheduler lease was offered to neighbours",
            kv: {
                zone = self.deps.settings.zone.as_str(),
                epoch = holder.epoch().0,
                is_taken,
            }
        );
    }

    /// Takes part in the election until [`Election::close`] is called.
    pub async fn run(&self) {
        let mut standby = lease::Standby::new(self.lease_dependencies());
        while !self.is_closing() {
            let pending_handover = self.lock().pending_handover.take();
            if let Some(handover) = pending_handover {
                let holder = lease::Holder::from_handover(self.lease_dependencies(), &handover);
                standby = self.run_scheduler(holder).await;
                continue;
            }
            match standby.watch(self.is_eligible()).await {
                lease::WatchResult::Acquired(holder) => standby = self.run_scheduler(holder).await,
                lease::WatchResult::StillStandby(next) => {
                    self.lock().known_scheduler = next.scheduler();
                    standby = next;
                    let lease = self.deps.settings.scheduler_lease;
                    self.deps.clock.sleep(lease / STANDBY_POLLS_PER_LEASE).await;
                }
            }
        }
    }

    /// Returns whether this host may become the scheduler. Placement needs a sheet and a host list.
    fn is_eligible(&self) -> bool {
        let has_sheet = self.deps.sheets.sheet().is_some();
        has_sheet && self.host_list.current().version > 0 && !self.is_closing()
    }

    fn lease_dependencies(&self) -> lease::LeaseDependencies {
        lease::LeaseDependencies {
            table: Arc::clone(&self.deps.table),
            clock: self.deps.clock.clone(),
            write_tokens: Arc::clone(&self.deps.write_tokens),
            settings: Arc::clone(&self.deps.settings),
        }
    }

    /// Runs the scheduler until the lease is lost or, during a shutdown, until the attempt to
    /// release it or hand it over has ended. If that attempt fails, the lease expires.
    async fn run_scheduler(&self, holder: lease::Holder) -> lease::Standby {
        self.report_acquired(&holder);
        let is_clean_start = holder.was_released();
        let scheduler = zone::ZoneScheduler::start(
            self.deps.clone(),
            (self.make_policy)(),
            &holder,
            is_clean_start,
        );
        task::spawn(recovery::run(
            Arc::clone(&scheduler),
            (*self.host_list.current()).clone(),
        ));
        let host_list = Arc::clone(&self.host_list);
        let own_zone = self.deps.settings.zone.clone();
        let other_zones = move || {
            let zones = host_list.current().zones().into_iter();
            zones.filter(|zone| *zone != own_zone).collect()
        };
        task::spawn(housekeeping::run(Arc::clone(&scheduler), other_zones));
        {
            let mut state = self.lock();
            state.local_scheduler = Some(Arc::clone(&scheduler));
            state.known_scheduler = holder.scheduler();
        }
        let standby = self.renew_until_ended(&scheduler, holder).await;
        scheduler.end_epoch();
        self.lock().local_scheduler = None;
        standby
    }

    fn report_acquired(&self, holder: &lease::Holder) {
        metrics::count(&self.deps.metrics, metrics::LEASE_TAKEN);
        metrics::gauge(&self.deps.metrics, metrics::LEASE_HELD, 1);
        let zone = self.deps.settings.zone.as_str();
        spdlog::info!("holds the scheduler lease", kv: { zone, epoch = holder.epoch().0 });
    }

    fn report_lost(&self, scheduler: &zone::ZoneScheduler) {
        metrics::count(&self.deps.metrics, metrics::LEASE_LOST);
        metrics::gauge(&self.deps.metrics, metrics::LEASE_HELD, 0);
        let zone_name = self.deps.settings.zone.as_str();
        spdlog::warn!(
            "lost the scheduler lease",
            kv: { zone = zone_name, epoch = scheduler.epoch().0 }
        );
    }

    async fn renew_until_ended(
        &self,
        scheduler: &Arc<zone::ZoneScheduler>,
        mut holder: lease::Holder,
    ) -> lease::Standby {
        loop {
            let pause = self.deps.settings.scheduler_renewal;
            // The result is ignored: the checks below find out whether the scheduler has ended.
            let _ = self
                .deps
                .clock
                .timeout(pause, scheduler.wait_until_ended())
                .await;
            self.apply_hosts();
            if self.is_closing() && scheduler.has_ended() {
                self.release_or_hand_over(&holder).await;
                return lease::Standby::new(self.lease_dependencies());
            }
            if scheduler.has_ended() {
                self.report_lost(scheduler);
                return lease::Standby::new(self.lease_dependencies());
            }
            let started_at = self.deps.clock.now();
            let renewed = holder.renew().await;
            holder = match renewed {
                lease::RenewResult::Renewed(holder) => {
                    scheduler.set_lease(zone::LeaseValidity {
                        valid_until: holder.valid_until(),
                        unconfirmed_since: None,
                    });
                    holder
                }
                lease::RenewResult::Unconfirmed(holder) => {
                    metrics::count(&self.deps.metrics, metrics::LEASE_UNCONFIRMED);
                    scheduler.set_lease(zone::LeaseValidity {
                        valid_until: holder.valid_until(),
                        unconfirmed_since: Some(started_at),
                    });
                    holder
                }
                lease::RenewResult::Deposed(standby) => {
                    self.report_lost(scheduler);
                    return standby;
                }
            };
        }
    }

    /// Passes the host list to the scheduler in this process if the scheduler has recovered and has
    /// last applied another version.
    pub fn apply_hosts(&self) {
        let host_list = self.host_list.current();
        match self.local_scheduler() {
            Some(scheduler)
                if scheduler.is_recovered()
                    && scheduler.applied_hosts_version() != host_list.version =>
            {
                scheduler.apply_hosts(&host_list);
            }
            _ => {}
        }
    }

    /// Leaves the election: waits for launches and other work of the scheduler in progress, then
    /// until the attempt to release the lease or hand it over has ended. Each wait takes at most
    /// `limit`.
    pub async fn close(&self, limit: Duration) {
        self.lock().is_closing = true;
        if let Some(scheduler) = self.local_scheduler() {
            scheduler.close(limit).await;
            self.wait_until_released(limit).await;
        }
    }

    async fn wait_until_released(&self, limit: Duration) {
        let deadline = self.deps.clock.now().plus(limit);
        while self.lock().local_scheduler.is_some() && self.deps.clock.now() < deadline {
            self.deps.clock.sleep(RELEASE_POLL_INTERVAL).await;
        }
    }
}

/// Poll interval while a closing host waits for the attempt to release its lease or hand it over.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(20);
