//! Settings of a zone's scheduler.

use std::net::SocketAddr;
use std::time::Duration;

use camphorbeam_model::id;

/// Settings of a zone's scheduler.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The entry host.
    pub host: id::HostId,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// Where other entry hosts reach it.
    pub peer_address: SocketAddr,
    /// How long a scheduler lease lasts without renewal.
    pub scheduler_lease: Duration,
    /// Time between renewals of the scheduler lease.
    pub scheduler_renewal: Duration,
    /// How long a task runs on without renewal of its lease.
    pub task_lease: Duration,
    /// How long a backend server may hold back the answer to a sync.
    pub sync_wait: Duration,
    /// Limit for each order to a backend server.
    pub order_timeout: Duration,
    /// How long a backend server may be silent before its gangs are stopped elsewhere.
    pub member_silence_limit: Duration,
    /// Limit for settling one write.
    pub settle_limit: Duration,
    /// Waiting requests per client account; more are refused.
    pub queue_max: usize,
    /// Attempts that may fail by themselves before the request fails.
    pub failed_attempts_max: usize,
    /// Attempts that may be lost with their servers before the request is given up.
    pub lost_attempts_max: usize,
    /// Workers that carry decisions out.
    pub worker_count: usize,
    /// Time between two decisions when nothing happens.
    pub decision_interval: Duration,
}

/// Allowance for clocks that run at different speed, as a fraction of the measured time.
pub const CLOCK_DRIFT_RATIO: f64 = 0.01;

/// Allowance for a backend server that is slow to stop a lapsed task.
pub const LAPSE_MARGIN: Duration = Duration::from_millis(500);

impl Settings {
    /// Time after the last answer of a backend server at which every task lease there has lapsed.
    pub fn lapse_after(&self) -> Duration {
        self.task_lease.mul_f64(1.0 + CLOCK_DRIFT_RATIO) + LAPSE_MARGIN
    }
}
