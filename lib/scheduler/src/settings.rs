//! Settings of the scheduler of an availability zone.

use std::net::SocketAddr;
use std::time::Duration;

use camphorbeam_model::id;

/// Settings of the scheduler of an availability zone.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Id of the entry host that runs the scheduler.
    pub host: id::HostId,
    /// Availability zone that it schedules.
    pub zone: id::ZoneName,
    /// Address at which other entry hosts reach this one.
    pub peer_address: SocketAddr,
    /// Duration of the scheduler lease, unless renewed.
    pub scheduler_lease: Duration,
    /// Time between renewals of the scheduler lease.
    pub scheduler_renewal: Duration,
    /// Duration of a task's lease. The backend server stops the task when the lease expires.
    pub task_lease: Duration,
    /// How long a backend server may wait for a change before it replies to a sync.
    pub sync_wait: Duration,
    /// Timeout of each order to a backend server.
    pub order_timeout: Duration,
    /// How long a backend server may be silent before gangs with a member on it are stopped on the
    /// other servers. Also how long after its start a scheduler waits for the servers of a launch
    /// that it resumes.
    pub member_silence_limit: Duration,
    /// Not read by the scheduler. Commits of the lease rows are limited by `scheduler_renewal`, and
    /// the committer of the request records has a limit of its own.
    pub commit_timeout: Duration,
    /// Maximum number of requests per client account that wait or are admitted but not handed over
    /// yet; further ones are refused.
    pub queue_max: usize,
    /// Number of failed attempts at which an idempotent request fails. Others fail at the first.
    pub failed_attempts_max: usize,
    /// Number of lost attempts (such as those whose server failed) at which the outcome of an
    /// idempotent request is recorded as unknown. That of others is recorded as unknown at the
    /// first.
    pub lost_attempts_max: usize,
    /// Number of attempts during which a backend server crashed at which an idempotent request isn't
    /// started again.
    pub crashed_attempts_max: usize,
    /// Number of workers that carry out decisions.
    pub worker_count: usize,
    /// Maximum time between two rounds of decisions.
    pub decision_interval: Duration,
}

/// Allowance for clocks that run at different speeds, as a fraction of the measured time.
pub const CLOCK_DRIFT_RATIO: f64 = 0.01;

/// Time that a backend server may take to stop a task after its lease has expired.
pub const EXPIRY_MARGIN: Duration = Duration::from_millis(500);

impl Settings {
    /// Returns the time after the last reply of a backend server by which every task lease on it
    /// has expired.
    pub fn lease_expired_after(&self) -> Duration {
        self.task_lease.mul_f64(1.0 + CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN
    }
}
