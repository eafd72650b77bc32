//! A backend server as the scheduler knows it.

use std::collections::BTreeMap;
use std::sync::Arc;

use camphorbeam_model::{fleet, id, job};

use crate::{orders, settings};

/// A reading of a backend server's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// What it showed.
    pub server_ms: u64,
    /// When the reading came in, on our clock.
    pub at_ms: u64,
}

/// Silence after which a backend server gets no new work. A hold is answered each second.
const SILENCE_MAX_MS: u64 = 2_500;

/// Silence after which the lease of a backend server is not renewed before it has answered.
const RENEWAL_SILENCE_MAX_MS: u64 = 2_000;

/// Longest time after which an order without an answer is carried out: 12 s by the platform, and
/// the time that it may wait on our side.
const ORDER_DELAY_MAX_MS: u64 = 14_000;

/// A backend server.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it registered.
    pub entry: Arc<fleet::ServerEntry>,
    /// Whether the registry still has it.
    pub is_listed: bool,
    /// Its life, once it has answered.
    pub life: Option<fleet::Life>,
    /// Its clock, once it has answered.
    pub clock: Option<ClockReading>,
    /// When a hold was last answered.
    pub last_reply_ms: Option<u64>,
    /// When it became known.
    pub known_since_ms: u64,
    /// Latest lease that was sent, on its clock.
    pub lease_until_server_ms: u64,
    /// Highest end that was taken in.
    pub ends_seen: u64,
    /// Highest end that is recorded in the store.
    pub ends_acknowledged: u64,
    /// Whether the newest hold was answered. After one that was not, the server may have started
    /// anew, and numbers its ends from 1 again: none may be acknowledged by the old numbers.
    pub is_life_confirmed: bool,
    /// Progress that must be stored before `ends_seen` can be acknowledged.
    pub unstored_ends: BTreeMap<id::JobId, u64>,
    /// Start orders that got no answer, and when they were sent: the server may carry them out
    /// later, also in its next life.
    pub unanswered_starts: BTreeMap<orders::RunName, u64>,
    /// What runs take that may exist on it.
    pub used: job::Resources,
    /// Until when it counts as full after it refused a task for want of room.
    pub full_until_ms: u64,
}

impl Server {
    /// A backend server that has not answered yet.
    pub fn new(entry: fleet::ServerEntry, now_ms: u64) -> Self {
        Self {
            entry: Arc::new(entry),
            is_listed: true,
            life: None,
            clock: None,
            last_reply_ms: None,
            known_since_ms: now_ms,
            lease_until_server_ms: 0,
            ends_seen: 0,
            ends_acknowledged: 0,
            is_life_confirmed: false,
            unstored_ends: BTreeMap::new(),
            unanswered_starts: BTreeMap::new(),
            used: job::Resources::default(),
            full_until_ms: 0,
        }
    }

    /// What is free.
    pub fn free(&self) -> job::Resources {
        self.entry.capacity.minus(&self.used)
    }

    /// Whether orders can be given: it is registered, stays, and answers.
    pub fn is_usable(&self, now_ms: u64) -> bool {
        let is_responsive = self
            .last_reply_ms
            .is_some_and(|last_reply_ms| now_ms < last_reply_ms + SILENCE_MAX_MS);
        self.is_listed && !self.entry.is_draining && is_responsive && now_ms >= self.full_until_ms
    }

    /// The lease to send now, on the server's clock. A silent server gets no longer one than it may
    /// have already, so that the time at which its leases have passed comes nearer.
    pub fn next_lease(&mut self, now_ms: u64, lease_max_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        if now_ms.saturating_sub(clock.at_ms) < RENEWAL_SILENCE_MAX_MS {
            let until = clock.server_ms + now_ms.saturating_sub(clock.at_ms) + lease_max_ms;
            self.lease_until_server_ms = self.lease_until_server_ms.max(until);
        }
        Some(self.lease_until_server_ms)
    }

    /// Notes a start order without an answer, and forgets those that are too old to matter.
    pub fn record_unanswered_start(&mut self, name: &orders::RunName, now_ms: u64) {
        self.unanswered_starts
            .retain(|_, sent_ms| now_ms < *sent_ms + ORDER_DELAY_MAX_MS);
        self.unanswered_starts.insert(name.clone(), now_ms);
    }

    /// Whether a start order of this run may still be carried out.
    pub fn may_still_start(&self, name: &orders::RunName, now_ms: u64) -> bool {
        self.unanswered_starts
            .get(name)
            .is_some_and(|sent_ms| now_ms < *sent_ms + ORDER_DELAY_MAX_MS)
    }

    /// When, on our clock, every lease on it has surely passed.
    pub fn lease_expiry_ms(&self, settings: &settings::Settings) -> u64 {
        match self.clock {
            Some(clock) => {
                let left = self.lease_until_server_ms.saturating_sub(clock.server_ms);
                clock.at_ms + max_local_ms(left) + settings::LEASE_EXPIRY_MARGIN_MS
            }
            None => silent_lease_expiry_ms(self.known_since_ms, settings),
        }
    }
}

/// The longest that `server_ms` on a backend server's clock takes on ours.
fn max_local_ms(server_ms: u64) -> u64 {
    (server_ms as f64 / (1.0 - settings::SERVER_CLOCK_DRIFT_RATIO)).ceil() as u64
}

/// When every lease has surely passed on a server that has not answered since `since_ms`, though
/// an earlier scheduler may have renewed it for as long as it may.
pub fn silent_lease_expiry_ms(since_ms: u64, settings: &settings::Settings) -> u64 {
    let lease_ms = max_local_ms(settings.lease_max_ms);
    since_ms + settings.renewal_grace_ms + lease_ms + settings::LEASE_EXPIRY_MARGIN_MS
}
