//! Time limits and ratios that the platform and the operators set for the engine.

use crate::interference;

/// Limits set by the platform and the operators.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest lease on the runs of a backend server, on that server's clock.
    pub lease_max_ms: u64,
    /// How long a scheduler may go on renewing leases of backend servers after its own lease has
    /// expired.
    pub renewal_grace_ms: u64,
    /// Time within which a job covered by a guarantee has to start.
    pub reclaim_ms: u64,
    /// Longest time that stopping a run takes.
    pub stop_ms: u64,
    /// Factor by which a task runs longer away from its data, or a gang across several racks, as
    /// stated by the platform. The engine doesn't use it.
    pub remote_slowdown_ratio: f64,
    /// How early the platform lets an occurrence start, since the clocks of hosts differ. The
    /// engine doesn't use it: it starts no occurrence before it is due.
    pub early_ms: u64,
    /// Time from the acknowledgement of a request to evacuate a zone from which no run may start
    /// in the zone.
    pub evacuate_ms: u64,
    /// How long the stored progress of an ended job is kept.
    pub retention_ms: u64,
    /// How servers without a reply are closed to new work.
    pub reachability: ReachabilityMode,
    /// Which servers a unit may use for its last attempt.
    pub last_attempt: LastAttempt,
    /// How hosts compete for the scheduler lease. The engine doesn't use it.
    pub takeover: Takeover,
    /// Where learned state is kept. The engine doesn't use it.
    pub learned_state: LearnedStateStorage,
    /// Detection of tasks that slow each other down.
    pub interference: interference::Settings,
    /// Whether the address of the service that gives placement advice is known; see
    /// [`crate::advice`].
    pub has_adviser: bool,
    /// Whether shares of accounts and zones change the order of jobs under shortage.
    pub fair_shares: FairShares,
}

/// Whether shares of accounts and zones change the order of jobs under shortage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FairShares {
    /// Jobs of the same priority are placed in the order of their acceptance.
    #[default]
    Off,
    /// Deficits move jobs ahead of older ones; see [`crate::fair_share`].
    On,
}

/// Which servers a unit with one attempt left may use while servers fail at several places.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LastAttempt {
    /// Any server.
    #[default]
    Any,
    /// Servers that have run tasks since the failures began; see [`crate::soundness`].
    Proven,
}

/// How servers without a reply are closed to new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReachabilityMode {
    /// Each server by itself, after a fixed time without a reply to a hold.
    #[default]
    Server,
    /// By missing replies to all orders, of servers and of zones; see [`crate::reachability`].
    Zones,
}

/// How hosts compete for the scheduler lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Takeover {
    /// All hosts check the lease equally often.
    #[default]
    Uniform,
    /// Hosts are ranked by processor capacity. The first ones check more often, and the lease is
    /// shorter.
    Ranked,
}

/// Where the scheduler keeps what it has learned about servers and demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LearnedStateStorage {
    /// In memory; it is lost at a takeover.
    #[default]
    Memory,
    /// Also in the store, where a successor reads it.
    Store,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease_max_ms: 6_000,
            renewal_grace_ms: RENEWAL_GRACE_MS,
            reclaim_ms: 3_400,
            stop_ms: 900,
            remote_slowdown_ratio: 3.0,
            early_ms: 250,
            evacuate_ms: EVACUATE_MS,
            retention_ms: 120_000,
            reachability: ReachabilityMode::default(),
            last_attempt: LastAttempt::default(),
            takeover: Takeover::default(),
            learned_state: LearnedStateStorage::default(),
            interference: interference::Settings::default(),
            has_adviser: false,
            fair_shares: FairShares::default(),
        }
    }
}

/// How much slower than the scheduler's clock a backend server's clock may run, as stated by the
/// platform.
pub const SERVER_CLOCK_DRIFT_RATIO: f64 = 0.02;

/// Allowance for the time that a run takes to stop after its lease expired, and for late timers.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 300;

/// How long a scheduler goes on renewing leases of backend servers once its own lease has expired
/// without a confirmed renewal, so that running work survives a short outage of the store. A
/// successor that can't reach a server waits that much longer before it counts the runs there as
/// gone.
pub const RENEWAL_GRACE_MS: u64 = 1_500;

/// [`Settings::evacuate_ms`] if the platform doesn't state it.
pub const EVACUATE_MS: u64 = 5_000;
