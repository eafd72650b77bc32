//! Hindrances: what keeps servers that have room for a unit from being used for it, for the report of
//! a withheld start.

use std::collections::BTreeMap;

use camphorbeam_model::id;

use crate::decide::DEGRADED_SPEED_RATIO;
use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::open_job::PlacementUnit;
use crate::placement::{CapacitySnapshot, Demand};
use crate::server::Server;
use crate::soundness;
use crate::withheld::StepFit;

/// Why a server with room isn't used for a unit, from the weakest reason to the strongest. A server
/// counts under the strongest one that applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Hindrance {
    /// Nothing keeps the server from being used by itself, but there are too few of these, or too few
    /// in one rack.
    TooFew,
    /// The server is kept for urgent work.
    Kept,
    /// The server is reserved for other units.
    Reserved,
    /// The server is slower than the unit accepts.
    TooSlow,
    /// The unit is in its last attempt, and the server isn't known to be sound.
    Unproven,
    /// The job has failed on the server, or a server was lost under the unit at its address.
    Avoided,
    /// Runs have failed or stalled on the server.
    Quarantined,
    /// A task runs there that may crash its server.
    Suspect,
    /// The server doesn't reply to orders.
    Unreachable,
    /// The server has refused a start for lack of room, or its runs exceed its capacity.
    Full,
}

impl Hindrance {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::TooFew => "too few together",
            Self::Kept => "kept for urgent work",
            Self::Reserved => "reserved",
            Self::TooSlow => "too slow",
            Self::Unproven => "unproven",
            Self::Avoided => "avoided",
            Self::Quarantined => "quarantined",
            Self::Suspect => "suspect",
            Self::Unreachable => "unreachable",
            Self::Full => "full",
        }
    }
}

/// Number of tasks of a unit for which servers have room, by what keeps these from being used.
pub type RoomByHindrance = BTreeMap<Hindrance, u64>;

impl Engine {
    /// The event that reports a withheld start. `snapshot` is the one of the newest decision; without
    /// one, the decision has placed nothing.
    pub(crate) fn withheld_event(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        room_since_ms: u64,
        snapshot: Option<&CapacitySnapshot>,
        now: Now,
    ) -> Event {
        let job = &self.jobs[id];
        let mut demand = self.demand(id, unit, &self.guaranteed_accounts(), now);
        if let Some(snapshot) = snapshot.filter(|_| job.accepted.terms.priority > 0) {
            snapshot.relax_speed(&mut demand, DEGRADED_SPEED_RATIO);
        }
        let room = self.room_by_hindrance(id, unit, &demand, snapshot, now);
        let cause = match () {
            () if !self.has_confirmed_evacuations(now) => "starts paused",
            () if !self.is_startable(id, unit, now) => "unit delayed",
            () if self.waits_for_advice(id, unit) => "advice",
            () => weakest_decisive(&room, unit.count).map_or("no room", Hindrance::name),
        };
        let claims = self.claims.iter();
        let ends_ms = claims
            .filter(|((claimant, _), _)| claimant != id)
            .map(|(_, claim)| claim.until_ms.saturating_sub(now.ms))
            .max();
        let free_percent = self.calm_services().get(demand.service).copied();
        Event::StartWithheld {
            job: id.clone(),
            first: unit.first,
            tasks: unit.count,
            cause,
            room_ms: now.ms.saturating_sub(room_since_ms),
            room,
            free_percent: free_percent.unwrap_or(0),
            claims: self.claims.len(),
            claims_end_ms: ends_ms.unwrap_or(0),
            waited_ms: now.ms.saturating_sub(job.accepted_ms),
        }
    }

    /// For how many tasks of a unit there is room, by what keeps the servers from being used. The
    /// unit's own claim doesn't count.
    fn room_by_hindrance(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        demand: &Demand<'_>,
        snapshot: Option<&CapacitySnapshot>,
        now: Now,
    ) -> RoomByHindrance {
        let mut room = RoomByHindrance::new();
        let fit = StepFit::new(&self.jobs[id], unit);
        let own_claim = self.claims.get(&(id.clone(), unit));
        let is_own = |server: &Server| {
            own_claim.is_some_and(|claim| claim.servers.contains(&server.entry.id))
        };
        let servers = self.servers.values();
        let allowed = servers.filter(|server| self.may_take_work(server));
        for server in allowed {
            let tasks = fit.tasks_on(server, &server.free());
            if tasks > 0 {
                let hindrance = match self.hindrance(server, demand, snapshot, now) {
                    Hindrance::Reserved if is_own(server) => Hindrance::TooFew,
                    hindrance => hindrance,
                };
                *room.entry(hindrance).or_default() += tasks;
            }
        }
        room
    }

    /// The strongest reason for which a server with room isn't used for a unit.
    fn hindrance(
        &self,
        server: &Server,
        demand: &Demand<'_>,
        snapshot: Option<&CapacitySnapshot>,
        now: Now,
    ) -> Hindrance {
        let id = &server.entry.id;
        let is_heard = server.is_heard(now.ms) && self.reachability.is_open(id, now.ms);
        let position = snapshot.and_then(|snapshot| snapshot.position_of(id));
        let candidate = snapshot.zip(position);
        let is_kept = candidate.is_some_and(|(snapshot, at)| snapshot.is_kept(at));
        let speed_ratio =
            candidate.map_or(1.0, |(snapshot, at)| snapshot.candidates()[at].speed_ratio);
        let need = demand.step.counted_need();
        // What the snapshot has less than the server is claimed for others.
        let is_claimed =
            candidate.is_some_and(|(snapshot, at)| !snapshot.candidates()[at].free.can_fit(&need));
        let needs_proven = demand.soundness == soundness::Need::Proven;
        match () {
            () if !is_heard => Hindrance::Unreachable,
            () if !server.is_usable(now.ms) => Hindrance::Full,
            () if self.is_kept_to_suspect(id, now) => Hindrance::Suspect,
            () if self.health.is_quarantined(id, now.ms) => Hindrance::Quarantined,
            () if demand.excluded.contains(id) => Hindrance::Avoided,
            () if needs_proven && !self.soundness.is_proven(id, now.ms) => Hindrance::Unproven,
            () if speed_ratio < demand.speed_min_ratio => Hindrance::TooSlow,
            () if is_claimed => Hindrance::Reserved,
            () if is_kept && !demand.may_use_kept => Hindrance::Kept,
            () => Hindrance::TooFew,
        }
    }
}

/// The weakest hindrance without which `count` tasks would fit; `None` if they don't fit at all.
fn weakest_decisive(room: &RoomByHindrance, count: u32) -> Option<Hindrance> {
    let mut total = 0;
    let mut by_strength = room.iter();
    let decisive = by_strength.find(|(_, tasks)| {
        total += **tasks;
        total >= u64::from(count)
    });
    decisive.map(|(hindrance, _)| *hindrance)
}
