//! Takes part in the zone's scheduler lease: watches it, holds it if it can, and tells who does.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::Duration;

use async_std::task;
use camphorbeam_placement::policy;
use camphorbeam_protocol::messages;
use camphorbeam_scheduler::{dependencies, housekeeping, lease, recovery, zone};
use camphorbeam_telemetry::metrics;

use crate::host_list;

/// Time between two looks at the lease of another, as a fraction of the lease.
const WATCHES_PER_LEASE: u32 = 3;

/// Makes the placement policy of a new holding.
pub type PolicyMaker = Arc<dyn Fn() -> Box<dyn policy::Policy> + Send + Sync>;

/// Reaches the other entry hosts of the zone.
#[async_trait::async_trait]
pub trait Neighbours: Send + Sync {
    /// Offers the lease to one after the other until one has taken it.
    async fn offer_lease(&self, hand_over: messages::HandOver) -> bool;
}

/// Who schedules the availability zone, as far as this host knows.
pub struct Seat {
    deps: dependencies::Dependencies,
    hosts: Arc<host_list::HostListCache>,
    make_policy: PolicyMaker,
    neighbours: OnceLock<Weak<dyn Neighbours>>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    zone: Option<Arc<zone::Zone>>,
    scheduler: Option<messages::SchedulerInfo>,
    is_closing: bool,
    offered: Option<messages::HandOver>,
}

impl Seat {
    /// A seat that nobody has taken.
    pub fn new(
        deps: dependencies::Dependencies,
        hosts: Arc<host_list::HostListCache>,
        make_policy: PolicyMaker,
    ) -> Self {
        Self {
            deps,
            hosts,
            make_policy,
            neighbours: OnceLock::new(),
            state: Mutex::new(State::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The scheduler in this process, if it holds the lease.
    pub fn zone(&self) -> Option<Arc<zone::Zone>> {
        let state = self.lock();
        state.zone.clone().filter(|zone| !zone.has_ended())
    }

    /// Who schedules the zone.
    pub fn scheduler(&self) -> Option<messages::SchedulerInfo> {
        self.lock().scheduler.clone()
    }

    fn is_closing(&self) -> bool {
        self.lock().is_closing
    }

    /// Says how to reach the other entry hosts of the zone.
    pub fn set_neighbours(&self, neighbours: Weak<dyn Neighbours>) {
        // The first to be set stays.
        let _ = self.neighbours.set(neighbours);
    }

    /// Takes a lease that another entry host hands over. Returns false if this host can't.
    pub fn take_over(&self, hand_over: messages::HandOver) -> bool {
        let is_eligible = self.is_eligible() && hand_over.zone == self.deps.settings.zone;
        let mut state = self.lock();
        let is_taken = is_eligible && state.zone.is_none() && state.offered.is_none();
        if is_taken {
            state.offered = Some(hand_over);
        }
        is_taken
    }

    /// Hands the lease back to the platform or, with that away, on to a neighbour.
    async fn hand_on(&self, holder: &lease::Holder) {
        if holder.release().await {
            return;
        }
        let neighbours = self.neighbours.get().and_then(Weak::upgrade);
        let is_taken = match neighbours {
            Some(neighbours) => neighbours.offer_lease(holder.to_hand_over()).await,
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

    /// Takes part in the lease until [`Seat::close`].
    pub async fn run(&self) {
        let mut standby = lease::Standby::new(self.surroundings());
        while !self.is_closing() {
            let offered = self.lock().offered.take();
            if let Some(hand_over) = offered {
                let holder = lease::Holder::from_hand_over(self.surroundings(), &hand_over);
                standby = self.hold(holder).await;
                continue;
            }
            match standby.watch(self.is_eligible()).await {
                lease::WatchResult::Acquired(holder) => standby = self.hold(holder).await,
                lease::WatchResult::StillStandby(next) => {
                    self.lock().scheduler = next.scheduler();
                    standby = next;
                    let lease = self.deps.settings.scheduler_lease;
                    self.deps.clock.sleep(lease / WATCHES_PER_LEASE).await;
                }
            }
        }
    }

    /// A host without a sheet or host list has nothing to decide with.
    fn is_eligible(&self) -> bool {
        let has_sheet = self.deps.sheets.sheet().is_some();
        has_sheet && self.hosts.current().version > 0 && !self.is_closing()
    }

    fn surroundings(&self) -> lease::LeaseDependencies {
        lease::LeaseDependencies {
            table: Arc::clone(&self.deps.table),
            clock: self.deps.clock.clone(),
            tokens: Arc::clone(&self.deps.tokens),
            settings: Arc::clone(&self.deps.settings),
        }
    }

    /// Schedules until the lease is lost or handed back.
    async fn hold(&self, holder: lease::Holder) -> lease::Standby {
        self.note_taken(&holder);
        let is_clean_start = holder.was_released();
        let zone = zone::Zone::start(
            self.deps.clone(),
            (self.make_policy)(),
            &holder,
            is_clean_start,
        );
        task::spawn(recovery::run(
            Arc::clone(&zone),
            (*self.hosts.current()).clone(),
        ));
        let hosts = Arc::clone(&self.hosts);
        let own_zone = self.deps.settings.zone.clone();
        let other_zones = move || {
            let zones = hosts.current().zones().into_iter();
            zones.filter(|zone| *zone != own_zone).collect()
        };
        task::spawn(housekeeping::run(Arc::clone(&zone), other_zones));
        {
            let mut state = self.lock();
            state.zone = Some(Arc::clone(&zone));
            state.scheduler = holder.scheduler();
        }
        let standby = self.keep(&zone, holder).await;
        zone.end_epoch();
        self.lock().zone = None;
        standby
    }

    fn note_taken(&self, holder: &lease::Holder) {
        metrics::count(&self.deps.metrics, metrics::LEASE_TAKEN);
        metrics::gauge(&self.deps.metrics, metrics::LEASE_HELD, 1);
        let zone = self.deps.settings.zone.as_str();
        spdlog::info!("holds the scheduler lease", kv: { zone, epoch = holder.epoch().0 });
    }

    fn note_lost(&self, zone: &zone::Zone) {
        metrics::count(&self.deps.metrics, metrics::LEASE_LOST);
        metrics::gauge(&self.deps.metrics, metrics::LEASE_HELD, 0);
        let name = self.deps.settings.zone.as_str();
        spdlog::warn!("lost the scheduler lease", kv: { zone = name, epoch = zone.epoch().0 });
    }

    async fn keep(&self, zone: &Arc<zone::Zone>, mut holder: lease::Holder) -> lease::Standby {
        loop {
            let pause = self.deps.settings.scheduler_renewal;
            // Whether the pause is over or the holding, what follows finds out.
            let _ = self
                .deps
                .clock
                .timeout(pause, zone.wait_until_ended())
                .await;
            self.apply_hosts();
            if self.is_closing() && zone.has_ended() {
                self.hand_on(&holder).await;
                return lease::Standby::new(self.surroundings());
            }
            if zone.has_ended() {
                self.note_lost(zone);
                return lease::Standby::new(self.surroundings());
            }
            let begun_at = self.deps.clock.now();
            let renewed = holder.renew().await;
            holder = match renewed {
                lease::RenewResult::Renewed(holder) => {
                    zone.set_lease(zone::LeaseValidity {
                        valid_until: holder.valid_until(),
                        unconfirmed_since: None,
                    });
                    holder
                }
                lease::RenewResult::Unconfirmed(holder) => {
                    metrics::count(&self.deps.metrics, metrics::LEASE_UNCONFIRMED);
                    zone.set_lease(zone::LeaseValidity {
                        valid_until: holder.valid_until(),
                        unconfirmed_since: Some(begun_at),
                    });
                    holder
                }
                lease::RenewResult::Deposed(standby) => {
                    self.note_lost(zone);
                    return standby;
                }
            };
        }
    }

    /// Passes a new host list on to the scheduler.
    pub fn apply_hosts(&self) {
        let hosts = self.hosts.current();
        match self.zone() {
            Some(zone) if zone.is_recovered() && zone.applied_hosts_version() != hosts.version => {
                zone.apply_hosts(&hosts);
            }
            _ => {}
        }
    }

    /// Takes no further part: launches under way come to an end, then the lease is handed back.
    pub async fn close(&self, limit: Duration) {
        self.lock().is_closing = true;
        if let Some(zone) = self.zone() {
            zone.close(limit).await;
            self.await_hand_back(limit).await;
        }
    }

    async fn await_hand_back(&self, limit: Duration) {
        let deadline = self.deps.clock.now().plus(limit);
        while self.lock().zone.is_some() && self.deps.clock.now() < deadline {
            self.deps.clock.sleep(HAND_BACK_POLL).await;
        }
    }
}

/// Time between two looks at whether the lease is handed back.
const HAND_BACK_POLL: Duration = Duration::from_millis(20);
