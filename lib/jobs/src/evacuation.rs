//! Zone evacuation: backend servers of a zone that an operator has asked to evacuate get no new
//! runs.
//!
//! The set of evacuated zones is only as good as the read of the store that confirmed it. Without a
//! recent confirmation no run is started anywhere, since a request may have been missed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::{fleet, id, job};

use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::live_run::RunPhase;
use crate::maintenance;
use crate::open_job::PlacementUnit;
use crate::server::Server;

/// Why a run is stopped or withdrawn; also a label value in metrics.
const EVACUATED_REASON: &str = "zone evacuated";

/// Like [`EVACUATED_REASON`], if the requests to evacuate zones weren't confirmed in time.
const UNCONFIRMED_REASON: &str = "evacuations unconfirmed";

/// Like [`EVACUATED_REASON`], if the server has less room than at the decision: its capacity has
/// shrunk, or it lists runs that nobody expects.
const NO_ROOM_REASON: &str = "no room left";

/// Like [`EVACUATED_REASON`], if the ticket of the run has ended before its start.
const NO_TICKET_REASON: &str = "ticket ended";

/// Why starts on a server that may have started anew are not sent, or could not be sent.
const DOUBTED_LIFE_REASON: &str = "life of the server not confirmed";

/// Speed, relative to the median, that a cold server counts as having at most. Below the speed that
/// divides slow from fast servers in placement, above that of a degraded server.
const COLD_SPEED_RATIO: f64 = 0.7;

/// A label or rack of a service's servers, or the service alone.
type Location = (id::ServiceName, Option<Arc<str>>);

/// The zones that operators have asked to evacuate, and what follows from them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Evacuation {
    zones: BTreeSet<id::ZoneName>,
    /// When the read that confirmed `zones` was sent; `None` before the first one.
    confirmed_ms: Option<u64>,
    /// Whether the current set was not applied to the runs yet.
    is_changed: bool,
    /// Requested zones of which no server is registered, as reported so far.
    reported_unknown: BTreeSet<id::ZoneName>,
    /// Services, labels and racks whose registered servers are all in evacuated zones.
    only_in_zones: BTreeSet<Location>,
    /// Jobs that were reported as waiting for the end of an evacuation.
    reported_jobs: BTreeSet<id::JobId>,
    /// Whether the lack of a confirmation was reported.
    is_pause_reported: bool,
}

impl Engine {
    /// Replaces the set of evacuated zones by that of a read that was sent at `confirmed_ms` on the
    /// monotonic clock, in milliseconds. Ignores the set if the current one was read later. The
    /// next decision applies it to placed runs; [`Engine::may_start_on`] applies it at once.
    pub fn set_evacuated_zones(&mut self, zones: BTreeSet<id::ZoneName>, confirmed_ms: u64) {
        if self.evacuation.confirmed_ms > Some(confirmed_ms) {
            return;
        }
        self.evacuation.confirmed_ms = Some(confirmed_ms);
        if zones == self.evacuation.zones {
            return;
        }
        let previous = std::mem::replace(&mut self.evacuation.zones, zones.clone());
        self.evacuation.is_changed = true;
        for zone in zones.symmetric_difference(&previous) {
            let state = match zones.contains(zone) {
                true => "begins",
                false => "ends",
            };
            let of_zone = |server: &&Server| &server.entry.zone == zone;
            let servers: Vec<_> = self.servers.values().filter(of_zone).collect();
            let runs = servers.iter().map(|server| &server.entry.id);
            self.events.push(Event::Evacuation {
                zone: zone.clone(),
                state,
                servers: servers.len(),
                runs: runs.map(|id| self.runs_on(id).len()).sum(),
            });
        }
        for server in self.servers.values_mut() {
            let zone = &server.entry.zone;
            if previous.contains(zone) && !zones.contains(zone) {
                server.cold_until_ms = confirmed_ms.saturating_add(server.entry.cold_ms);
            }
        }
        if zones.is_empty() {
            self.evacuation.reported_jobs.clear();
        }
        let jobs = &self.jobs;
        let reported_jobs = &mut self.evacuation.reported_jobs;
        reported_jobs.retain(|id| jobs.contains_key(id));
        self.update_evacuated_servers();
    }

    /// Whether a start order may be sent to a server at `now`: the server has room for all runs that
    /// may exist there, this one included, is known to be in the life that the order is made out for,
    /// and isn't vacated for maintenance, and its zone isn't evacuated, which was confirmed within
    /// half of [`Settings::evacuate_ms`]. The other half is left for the order's way.
    ///
    /// [`Settings::evacuate_ms`]: crate::settings::Settings::evacuate_ms
    pub fn may_start_on(&self, id: &id::BackendServerId, now: Now) -> bool {
        let server = self.servers.get(id);
        self.has_confirmed_evacuations(now)
            && server.is_some_and(|server| {
                !self.is_evacuated(server)
                    && !server.is_over_capacity()
                    && !server.life.is_doubted()
                    && !server.has_outdated_entry()
            })
            && !self.is_vacated(id)
    }

    /// The number of evacuated zones that have registered servers.
    pub fn evacuated_zones(&self) -> usize {
        let zones = self.evacuation.zones.iter();
        zones
            .filter(|zone| !self.evacuation.reported_unknown.contains(*zone))
            .count()
    }

    pub(crate) fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuation.zones.contains(&server.entry.zone)
    }

    pub(crate) fn has_confirmed_evacuations(&self, now: Now) -> bool {
        let age_max_ms = self.settings.evacuate_ms / 2;
        let confirmed_ms = self.evacuation.confirmed_ms;
        confirmed_ms.is_some_and(|confirmed_ms| now.ms <= confirmed_ms + age_max_ms)
    }

    /// Reports the first decision without a recent confirmation, and the first one with it after.
    /// The time before the first confirmation is not reported.
    pub(crate) fn report_start_pause(&mut self, now: Now) {
        let is_paused = !self.has_confirmed_evacuations(now);
        let Some(confirmed_ms) = self.evacuation.confirmed_ms else {
            return;
        };
        if is_paused != self.evacuation.is_pause_reported {
            self.evacuation.is_pause_reported = is_paused;
            self.events.push(Event::StartPause {
                is_paused,
                confirmation_age_ms: now.ms.saturating_sub(confirmed_ms),
            });
        }
    }

    /// Updates what depends on the registered servers of evacuated zones. Has to be called after
    /// each change of either.
    pub(crate) fn update_evacuated_servers(&mut self) {
        let registered = || self.servers.values().filter(|server| server.is_registered);
        let known_zones: BTreeSet<&id::ZoneName> =
            registered().map(|server| &server.entry.zone).collect();
        let zones = self.evacuation.zones.iter();
        let unknown: BTreeSet<id::ZoneName> = zones
            .filter(|zone| !known_zones.contains(zone))
            .cloned()
            .collect();
        let mut is_only_in_zones: BTreeMap<Location, bool> = BTreeMap::new();
        if !self.evacuation.zones.is_empty() {
            for server in registered() {
                let is_evacuated = self.is_evacuated(server);
                for location in locations(&server.entry) {
                    *is_only_in_zones.entry(location).or_insert(true) &= is_evacuated;
                }
            }
        }
        let unreported = unknown.difference(&self.evacuation.reported_unknown);
        let events = unreported.map(|zone| Event::Evacuation {
            zone: zone.clone(),
            state: "no such zone",
            servers: 0,
            runs: 0,
        });
        self.events.extend(events);
        self.evacuation.reported_unknown = unknown;
        self.evacuation.only_in_zones = is_only_in_zones
            .into_iter()
            .filter_map(|(location, is_only)| is_only.then_some(location))
            .collect();
    }

    /// Withdraws runs on servers of evacuated zones whose start order wasn't sent, and stops those
    /// whose start order got no reply. Stops all members of a gang with such a run, since the
    /// others can't begin without it. Drops claims on these servers. Other runs continue.
    pub(crate) fn leave_evacuated_zones(&mut self, now: Now) {
        if self.evacuation.zones.is_empty() {
            return;
        }
        let servers = self.servers.values();
        let evacuated: BTreeSet<id::BackendServerId> = servers
            .filter(|server| self.is_evacuated(server))
            .map(|server| server.entry.id.clone())
            .collect();
        let mut units: BTreeSet<(id::JobId, PlacementUnit)> = BTreeSet::new();
        for (job, index) in evacuated.iter().flat_map(|id| self.runs_on(id)) {
            // The outcome of a first start order that may be on its way decides; see
            // `start_withheld`.
            let is_not_begun = matches!(
                self.jobs[&job].runs[&index].phase,
                RunPhase::AwaitingWrite { .. }
                    | RunPhase::StartSent {
                        retry_ms: Some(_),
                        ..
                    }
            );
            if is_not_begun {
                let unit = self.jobs[&job].unit_of(index);
                units.insert((job, unit));
            }
        }
        for (job, unit) in units {
            for member in unit.members() {
                self.request_stop(&job, member, EVACUATED_REASON, now);
            }
        }
        self.claims.retain(|_, claim| {
            let mut servers = claim.servers.iter();
            !servers.any(|server| evacuated.contains(server))
        });
    }

    /// Applies a change of the evacuated zones to the runs, if that wasn't done yet.
    pub(crate) fn apply_evacuation_change(&mut self, now: Now) {
        if std::mem::take(&mut self.evacuation.is_changed) {
            self.leave_evacuated_zones(now);
        }
    }

    /// Handles a start order that was not sent because of [`Engine::sendable_start`], and stops the
    /// unit, so that it is placed elsewhere. If the order is the first one of the run
    /// (`is_first_order`), the run can't exist and is removed at once.
    pub(crate) fn start_withheld(
        &mut self,
        id: &id::JobId,
        index: job::TaskIndex,
        is_first_order: bool,
        now: Now,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let unit = job.unit_of(index);
        let Some(live) = job.runs.get_mut(&index) else {
            return;
        };
        if is_first_order {
            // Nothing was sent, as for a run that waits for its write.
            live.phase = RunPhase::AwaitingWrite { generation: 0 };
        }
        let server_id = live.server.clone();
        let server = self.servers.get(&server_id);
        let reason = match () {
            () if server.is_some_and(|server| self.is_evacuated(server)) => EVACUATED_REASON,
            () if self.is_vacated(&server_id) => maintenance::MAINTENANCE_REASON,
            () if !self.has_confirmed_evacuations(now) => UNCONFIRMED_REASON,
            () if server
                .is_some_and(|server| server.life.is_doubted() || server.has_outdated_entry()) =>
            {
                DOUBTED_LIFE_REASON
            }
            () if server.is_some_and(Server::is_over_capacity) => NO_ROOM_REASON,
            () => NO_TICKET_REASON,
        };
        for member in unit.members() {
            self.request_stop(id, member, reason, now);
        }
    }

    /// Whether the servers that may run a unit are all in evacuated zones, so that it waits for the
    /// end of the evacuation. Reports this once for each job.
    pub(crate) fn waits_for_evacuation_end(&mut self, id: &id::JobId, unit: PlacementUnit) -> bool {
        if self.evacuation.only_in_zones.is_empty() {
            return false;
        }
        let job = &self.jobs[id];
        let step = job.step(unit.first);
        let service = &job.accepted.terms.service;
        let is_only_in_zones = |place: Option<&Arc<str>>| {
            let location = (service.clone(), place.cloned());
            self.evacuation.only_in_zones.contains(&location)
        };
        let label = step.required_label.as_ref();
        let rack = step.data_rack.as_ref();
        let reason = match () {
            () if is_only_in_zones(None) => "service",
            () if label.is_some() && is_only_in_zones(label) => "label",
            () if rack.is_some() && is_only_in_zones(rack) => "data rack",
            () => return false,
        };
        if self.evacuation.reported_jobs.insert(id.clone()) {
            let job = id.clone();
            self.events.push(Event::EvacuationWait { job, reason });
        }
        true
    }

    /// The speed of a server for placement, relative to the median, given the estimated one: a cold
    /// server counts as slow.
    pub(crate) fn placement_speed_ratio(&self, server: &Server, ratio: f64, now: Now) -> f64 {
        match server.entry.cold_ms > 0 && now.ms < server.cold_until_ms {
            true => ratio.min(COLD_SPEED_RATIO),
            false => ratio,
        }
    }
}

/// The service of a server, and the service with each of its labels, of which the last one is the
/// rack.
fn locations(entry: &fleet::ServerEntry) -> impl Iterator<Item = Location> + '_ {
    let labels = entry.labels.iter().cloned().map(Some);
    let places = std::iter::once(None).chain(labels);
    places.map(|place| (entry.service.clone(), place))
}
