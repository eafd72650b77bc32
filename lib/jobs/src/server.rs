//! The scheduler's view of a backend server.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::{fleet, id, job};

use crate::{interference, orders, placement, server_life, settings};

/// A reading of a backend server's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The server's time.
    pub server_ms: u64,
    /// When the reading was received, on the scheduler's clock.
    pub at_ms: u64,
}

/// Time without a reply after which a backend server gets no new work. A hold is replied to within
/// about a second.
pub(crate) const SILENCE_MAX_MS: u64 = 2_500;

/// Time without a reply after which the lease of a backend server is not renewed until it replies.
const RENEWAL_SILENCE_MAX_MS: u64 = 2_000;

/// Longest time after which an order without a usable reply can still be carried out: 12 s in the
/// platform, plus the time that the order may wait in the scheduler.
pub(crate) const ORDER_DELAY_MAX_MS: u64 = 14_000;

/// The scheduler's state for one backend server: registration, clock, lease, acknowledged ends and
/// used resources.
#[derive(Clone, Debug)]
pub struct Server {
    /// Registration of the server.
    pub entry: Arc<fleet::ServerEntry>,
    /// Whether the registry still lists the server.
    pub is_registered: bool,
    /// Whether another server has replied at its address, and this one not since.
    pub is_replaced: bool,
    /// Current incarnation of the server; `None` until the first reply to a hold.
    pub incarnation: Option<fleet::Incarnation>,
    /// Latest reading of the server's clock; `None` until the first reply to a hold.
    pub clock: Option<ClockReading>,
    /// When the server last replied to a hold, on the scheduler's clock.
    pub last_reply_ms: Option<u64>,
    /// When the scheduler learned of the server, on the scheduler's clock.
    pub known_since_ms: u64,
    /// Latest expiry of the leases sent to the server, on the server's clock.
    pub lease_until_server_ms: u64,
    /// Highest number of a run end up to which the engine has processed all.
    pub ends_seen: u64,
    /// Numbers above `ends_seen` of processed ends, while a lower one can't be read.
    pub ends_seen_apart: BTreeSet<u64>,
    /// Whether the last reply to a hold listed an end that can't be read.
    pub has_unreadable_end: bool,
    /// Whether the last reply to a hold may have left out ends.
    pub may_have_more_ends: bool,
    /// Highest number of a run end whose effects are stored, so that it can be acknowledged.
    pub ends_acknowledged: u64,
    /// What is known about the life that the server is in.
    pub life: server_life::LifeBelief,
    /// Generation of each job's progress that must be stored before `ends_seen` can be
    /// acknowledged.
    pub unstored_ends: BTreeMap<id::JobId, u64>,
    /// Start orders without a usable reply, and when the missing reply was noticed, on the
    /// scheduler's clock. The server may still carry them out, even after a restart.
    pub unanswered_starts: BTreeMap<orders::RunName, u64>,
    /// Kinds of the tasks that the last reply to a hold listed.
    pub interference: interference::ServerTrack,
    /// When a run was last placed on the server, on the scheduler's clock; zero if none was.
    pub last_start_ms: u64,
    /// Resources used by the runs that may exist on the server.
    pub used: job::Resources,
    /// Resources of runs that the last reply to a hold listed and the engine doesn't expect, such as
    /// those of a job that has ended. They are being stopped.
    pub unexpected: job::Resources,
    /// Until when the server counts as full after it refused a task for lack of resources, on the
    /// scheduler's clock.
    pub full_until_ms: u64,
    /// Until when the server counts as slow if its registration says that it is cold, on the
    /// scheduler's clock.
    pub cold_until_ms: u64,
    /// Numbers of the server's service and rack among those of all known servers.
    pub numbers: placement::ServerNumbers,
    /// Copy of the server's [`Speeds::ratio`](crate::speeds::Speeds::ratio), as of the last scan or
    /// sample, since a decision reads it for all servers.
    pub speed_ratio: f64,
}

impl Server {
    /// Creates a backend server that has not replied yet.
    pub fn new(entry: fleet::ServerEntry, now_ms: u64) -> Self {
        Self {
            entry: Arc::new(entry),
            is_registered: true,
            is_replaced: false,
            incarnation: None,
            clock: None,
            last_reply_ms: None,
            known_since_ms: now_ms,
            lease_until_server_ms: 0,
            ends_seen: 0,
            ends_seen_apart: BTreeSet::new(),
            has_unreadable_end: false,
            may_have_more_ends: false,
            ends_acknowledged: 0,
            life: server_life::LifeBelief::default(),
            unstored_ends: BTreeMap::new(),
            unanswered_starts: BTreeMap::new(),
            interference: interference::ServerTrack::default(),
            last_start_ms: 0,
            used: job::Resources::default(),
            unexpected: job::Resources::default(),
            full_until_ms: 0,
            cold_until_ms: 0,
            numbers: placement::ServerNumbers::default(),
            speed_ratio: 1.0,
        }
    }

    pub fn free(&self) -> job::Resources {
        self.entry.capacity.minus(&self.occupied())
    }

    fn occupied(&self) -> job::Resources {
        self.used.plus(&self.unexpected)
    }

    /// Whether the runs that may exist on the server need more than it has, as after a reduction of
    /// its capacity.
    pub fn is_over_capacity(&self) -> bool {
        !self.entry.capacity.can_fit(&self.occupied())
    }

    /// Whether the server can take new work: it is registered, isn't draining, hasn't been replaced,
    /// replies to holds, is known to be in the life that replied and has registered, has room for
    /// what runs there, and doesn't count as full (`full_until_ms`).
    pub fn is_usable(&self, now_ms: u64) -> bool {
        self.is_registered
            && !self.is_replaced
            && !self.entry.is_draining
            && self.is_heard(now_ms)
            && !self.life.is_doubted()
            && !self.has_outdated_entry()
            && !self.is_over_capacity()
            && now_ms >= self.full_until_ms
    }

    /// Whether an earlier life has registered what is known of the server. The current one may be of
    /// another kind and size.
    pub fn has_outdated_entry(&self) -> bool {
        self.is_entry_of(|registered, replied| registered < replied)
    }

    /// Whether a later life than the known one has registered.
    pub(crate) fn has_entry_of_later_life(&self) -> bool {
        self.is_entry_of(|registered, replied| registered > replied)
    }

    fn is_entry_of(&self, is_so: fn(fleet::Incarnation, fleet::Incarnation) -> bool) -> bool {
        // A server may state its incarnation in neither place.
        let stated =
            |incarnation: &fleet::Incarnation| *incarnation != fleet::Incarnation::default();
        let replied = self.incarnation.filter(stated);
        let both = self.entry.incarnation.zip(replied);
        both.is_some_and(|(registered, replied)| is_so(registered, replied))
    }

    /// Whether the server has replied to a hold lately.
    pub fn is_heard(&self, now_ms: u64) -> bool {
        self.last_reply_ms
            .is_some_and(|last_reply_ms| now_ms < last_reply_ms + SILENCE_MAX_MS)
    }

    /// Extends the lease and returns its expiry on the server's clock, for the order that is about
    /// to be sent; `None` while that clock is unknown. The lease of a silent server isn't extended,
    /// so that its runs can be counted as ended once the lease has expired.
    pub fn renew_lease(&mut self, now_ms: u64, lease_max_ms: u64) -> Option<u64> {
        let clock = self.clock?;
        if now_ms.saturating_sub(clock.at_ms) < RENEWAL_SILENCE_MAX_MS {
            let until = clock.server_ms + now_ms.saturating_sub(clock.at_ms) + lease_max_ms;
            self.lease_until_server_ms = self.lease_until_server_ms.max(until);
        }
        Some(self.lease_until_server_ms)
    }

    /// Records a start order without a usable reply, and drops those that can't be carried out any
    /// more.
    pub fn record_unanswered_start(&mut self, name: &orders::RunName, now_ms: u64) {
        self.unanswered_starts
            .retain(|_, noticed_ms| now_ms < *noticed_ms + ORDER_DELAY_MAX_MS);
        self.unanswered_starts.insert(name.clone(), now_ms);
    }

    /// Whether the server may still carry out an unanswered start order of this run.
    pub fn may_still_start(&self, name: &orders::RunName, now_ms: u64) -> bool {
        self.unanswered_starts
            .get(name)
            .is_some_and(|noticed_ms| now_ms < *noticed_ms + ORDER_DELAY_MAX_MS)
    }

    /// When all leases on the server have expired for certain, on the scheduler's clock.
    pub fn lease_expiry_ms(&self, settings: &settings::Settings) -> u64 {
        let by_clock_ms = match self.clock {
            Some(clock) => {
                let left = self.lease_until_server_ms.saturating_sub(clock.server_ms);
                clock.at_ms + max_scheduler_ms(left) + settings::LEASE_EXPIRY_MARGIN_MS
            }
            None => silent_lease_expiry_ms(self.known_since_ms, settings),
        };
        let foreign_ms = self.life.foreign_orders_until_ms();
        by_clock_ms.max(foreign_ms.map_or(0, |until_ms| longest_lease_end_ms(until_ms, settings)))
    }

    /// When the lease of a run has expired for certain. A start without a reply may have reached a
    /// later life of the server than the one whose clock is known.
    pub fn run_lease_expiry_ms(
        &self,
        name: &orders::RunName,
        settings: &settings::Settings,
    ) -> u64 {
        let unanswered_ms = match self.unanswered_starts.contains_key(name) {
            true => self.life.lease_unanswered_ms(),
            false => None,
        };
        let by_later_life_ms =
            unanswered_ms.map_or(0, |noticed_ms| longest_lease_end_ms(noticed_ms, settings));
        self.lease_expiry_ms(settings).max(by_later_life_ms)
    }
}

/// When a lease has expired for certain that a server has counted from `from_ms` on, on the scheduler's
/// clock. A server cuts a lease by the clock of an earlier life down to the longest one.
fn longest_lease_end_ms(from_ms: u64, settings: &settings::Settings) -> u64 {
    from_ms + max_scheduler_ms(settings.lease_max_ms) + settings::LEASE_EXPIRY_MARGIN_MS
}

/// Longest time on the scheduler's clock that `server_ms` on a backend server's clock can last.
fn max_scheduler_ms(server_ms: u64) -> u64 {
    (server_ms as f64 / (1.0 - settings::SERVER_CLOCK_DRIFT_RATIO)).ceil() as u64
}

/// When all leases have expired for certain on a server that has not replied since `since_ms`. An
/// earlier scheduler may have renewed them until its renewal grace ended.
pub fn silent_lease_expiry_ms(since_ms: u64, settings: &settings::Settings) -> u64 {
    longest_lease_end_ms(since_ms + settings.renewal_grace_ms, settings)
}
