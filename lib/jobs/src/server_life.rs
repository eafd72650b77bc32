//! Which life of a backend server an order reaches.
//!
//! A server may start anew under its id and address. It then takes orders that were made out for its
//! former life, also late, and only the list of a hold names the life that replies. A lease is a time
//! on the server's clock, and that begins anew with each life: one that was counted by the former
//! clock is far ahead on the new one, and the server cuts it down to the longest lease, counted from
//! when it carries the order out. See docs/design/server-lives.md.

use camphorbeam_model::id;

use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::server::{ClockReading, ORDER_DELAY_MAX_MS};
use crate::settings;

/// How far the clock of a server may be behind the expected time. A new life whose clock is closer to
/// the former one lets a lease last no longer than this beyond the expected end.
const CLOCK_BEHIND_MAX_MS: u64 = 100;

/// How far it may be ahead: the reading that the expectation rests on may have been on its way for as
/// long as a hold may take.
const CLOCK_AHEAD_MAX_MS: u64 = 3_000;

/// Time after a reply to a hold within which ends are acknowledged to the life that has replied.
/// Assumes that no server starts anew, runs a task and lists its end within that.
pub(crate) const LIFE_GRANTED_MS: u64 = 1_000;

/// What is known about the life that a server is in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LifeBelief {
    /// Since when the server may be in another life than the known one, on the scheduler's clock;
    /// `None` while a reply to a hold has confirmed it.
    doubted_since_ms: Option<u64>,
    /// Whether the known clock is that of a life whose incarnation isn't known yet.
    has_unnamed_clock: bool,
    /// When the known clock became known, on the scheduler's clock.
    clock_since_ms: u64,
    /// When the newest order with a lease by the known clock was noticed to have no reply.
    lease_unanswered_ms: Option<u64>,
    /// Until when the server may carry out orders with a lease by an earlier clock, which had no reply
    /// when the life changed.
    foreign_orders_until_ms: Option<u64>,
}

impl LifeBelief {
    /// Whether the server may be in another life than the known one. It gets neither new work nor
    /// leases until a hold shows.
    pub fn is_doubted(&self) -> bool {
        self.doubted_since_ms.is_some()
    }

    /// See [`LifeBelief::is_doubted`]. The first reason counts.
    pub(crate) fn doubt(&mut self, now_ms: u64) {
        self.doubted_since_ms.get_or_insert(now_ms);
    }

    /// Records that a hold sent at `sent_ms` was answered by the known life.
    pub(crate) fn confirm(&mut self, sent_ms: u64) {
        let is_later = |since_ms: u64| sent_ms >= since_ms;
        if self.doubted_since_ms.is_some_and(is_later) {
            self.doubted_since_ms = None;
            // The clock has changed within the life.
            self.has_unnamed_clock = false;
        }
    }

    /// Whether the answer to a hold sent at `sent_ms` is of a life that has ended: another clock has
    /// been seen since.
    pub(crate) fn is_overtaken(&self, sent_ms: u64) -> bool {
        let is_earlier = |since_ms: u64| sent_ms < since_ms;
        self.has_unnamed_clock && self.doubted_since_ms.is_some_and(is_earlier)
    }

    /// Records that the server is in a new life that a hold has named.
    pub(crate) fn begin_named(&mut self, now_ms: u64) {
        self.begin(now_ms);
        self.doubted_since_ms = None;
        self.has_unnamed_clock = false;
    }

    fn begin_unnamed(&mut self, now_ms: u64) {
        self.begin(now_ms);
        // A hold that was sent before may still be answered by the former life.
        self.doubted_since_ms = Some(now_ms);
        self.has_unnamed_clock = true;
    }

    fn begin(&mut self, now_ms: u64) {
        self.clock_since_ms = now_ms;
        if let Some(noticed_ms) = self.lease_unanswered_ms.take() {
            self.note_foreign_order(noticed_ms);
        }
    }

    fn note_foreign_order(&mut self, noticed_ms: u64) {
        let until_ms = noticed_ms + ORDER_DELAY_MAX_MS;
        self.foreign_orders_until_ms = self.foreign_orders_until_ms.max(Some(until_ms));
    }

    /// Records that an order with a lease, sent at `sent_ms`, has no reply.
    fn note_lease_unanswered(&mut self, sent_ms: u64, now_ms: u64) {
        match sent_ms < self.clock_since_ms {
            true => self.note_foreign_order(now_ms),
            false => self.lease_unanswered_ms = Some(now_ms),
        }
    }

    /// When the newest order with a lease by the known clock was noticed to have no reply, on the
    /// scheduler's clock.
    pub(crate) fn lease_unanswered_ms(&self) -> Option<u64> {
        self.lease_unanswered_ms
    }

    /// Until when the server may carry out orders with a lease by the clock of an earlier life, on the
    /// scheduler's clock; `None` if none are known.
    pub(crate) fn foreign_orders_until_ms(&self) -> Option<u64> {
        self.foreign_orders_until_ms
    }
}

/// Whether a server's clock may show `server_ms` in a reply to an order that was sent at `sent_ms` and
/// answered by `now_ms`, if it showed `known`.
fn is_same_clock(known: ClockReading, server_ms: u64, sent_ms: u64, now_ms: u64) -> bool {
    let since_ms = |at_ms: u64| at_ms as f64 - known.at_ms as f64;
    let slowest = |passed_ms: f64| match passed_ms > 0.0 {
        true => passed_ms * (1.0 - settings::SERVER_CLOCK_DRIFT_RATIO),
        false => passed_ms,
    };
    let known_ms = known.server_ms as f64;
    let earliest = known_ms + slowest(since_ms(sent_ms)) - CLOCK_BEHIND_MAX_MS as f64;
    let latest = known_ms + since_ms(now_ms) + CLOCK_AHEAD_MAX_MS as f64;
    (earliest..=latest).contains(&(server_ms as f64))
}

impl Engine {
    /// Records that a server may be in another life than the known one, since an order to it has failed.
    pub fn doubt_life(&mut self, id: &id::BackendServerId, now: Now) {
        if let Some(server) = self.servers.get_mut(id) {
            server.life.doubt(now.ms);
        }
    }

    /// Records that an order with a lease, sent at `sent_ms`, has no reply, so that the server may carry
    /// it out later, also in another life.
    pub fn lease_unanswered(&mut self, id: &id::BackendServerId, sent_ms: u64, now: Now) {
        if let Some(server) = self.servers.get_mut(id) {
            server.life.note_lease_unanswered(sent_ms, now.ms);
        }
    }

    /// Takes the clock that the reply to an order sent at `sent_ms` states. If it can't be that of the
    /// known life, the server has started anew, and leases count by this clock from now on.
    pub fn clock_stated(
        &mut self,
        id: &id::BackendServerId,
        server_ms: u64,
        sent_ms: u64,
        now: Now,
    ) {
        let lease_max_ms = self.settings.lease_max_ms;
        let Some(server) = self.servers.get_mut(id) else {
            return;
        };
        let is_foreign = |known| !is_same_clock(known, server_ms, sent_ms, now.ms);
        // A reply to an order of before the new clock was seen may come from the former life.
        let is_overtaken = server.life.is_overtaken(sent_ms);
        if is_overtaken || !server.clock.is_some_and(is_foreign) {
            return;
        }
        server.life.begin_unnamed(now.ms);
        server.clock = Some(ClockReading {
            server_ms,
            at_ms: now.ms,
        });
        // An order of the former life may just have been carried out.
        server.lease_until_server_ms = server_ms + lease_max_ms;
        self.events.push(Event::Server {
            server: id.clone(),
            belief: "another clock",
            runs: self.runs_on(id).len(),
        });
    }
}
