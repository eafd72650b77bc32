//! Bounds and weights of the decisions.

/// Times that the fleet and the operators set.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest lease of what runs on a backend server, on that server's clock.
    pub lease_max_ms: u64,
    /// How long after the loss of its lease a scheduler may still renew leases of backend servers.
    pub renewal_grace_ms: u64,
    /// Time in which a guaranteed job has to begin.
    pub reclaim_ms: u64,
    /// Longest time that a stop takes.
    pub stop_ms: u64,
    /// How much longer a task takes away from its data, or a gang on several racks.
    pub remote_slowdown_ratio: f64,
    /// How early an occurrence may start; the clocks of hosts differ.
    pub early_ms: u64,
    /// How long the record of an ended job is kept.
    pub retention_ms: u64,
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
            retention_ms: 120_000,
        }
    }
}

/// How much slower than ours the clock of a backend server may run; stated by the fleet.
pub const SERVER_CLOCK_DRIFT_RATIO: f64 = 0.02;

/// Allowance for the stop of a lapsed run and for late timers.
pub const LEASE_EXPIRY_MARGIN_MS: u64 = 300;

/// How long a scheduler goes on renewing leases of backend servers after it could last confirm its
/// own: running work outlives a short outage of the store. A successor that can't reach a server
/// waits that much longer before it counts its runs as gone.
pub const RENEWAL_GRACE_MS: u64 = 1_500;
