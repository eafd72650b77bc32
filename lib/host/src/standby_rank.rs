//! Rank of a standby among the registered hosts, and the check interval and the delay that follow
//! from it.

use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::id;
use camphorbeam_platform::store::{self, Store};

use crate::rows;

/// Number of standbys that check the lease often.
pub const FIRST_STANDBYS: usize = 5;

/// Time between two checks by one of the first standbys.
const FIRST_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Time between two checks by any other standby.
const OTHER_CHECK_INTERVAL: Duration = Duration::from_millis(2_000);

/// Time that the other standbys leave to the first ones. Covers the last check of a first standby
/// and a commit of 1.2 s, so that a slow store doesn't get the transactions of all hosts at once.
const OTHER_TAKEOVER_DELAY: Duration = Duration::from_millis(2_000);

/// Additional time that each of the first standbys leaves to the one before it. Their transactions
/// would queue in the partition, in front of the first renewal by the one that takes the lease.
const RANK_DELAY: Duration = Duration::from_millis(150);

/// Additional time for each fraction of `CAPACITY_RATIOS` that the capacity of a first standby
/// is below. Scheduling needs more processor capacity than the weakest hosts have.
const CAPACITY_DELAY: Duration = Duration::from_millis(300);

/// Fractions of the largest processor capacity of any other host.
const CAPACITY_RATIOS: [f64; 2] = [0.67, 0.34];

/// Age beyond which the list of hosts is read again.
const LIST_MAX_AGE: Duration = Duration::from_secs(10);

/// Like [`LIST_MAX_AGE`], while the lease was never held and hosts are still registering.
const NEW_CLUSTER_LIST_MAX_AGE: Duration = Duration::from_millis(500);

/// Age beyond which a registered host doesn't count. Hosts refresh their rows each 20 s.
const ROW_MAX_AGE_MS: u64 = 25_000;

/// The other hosts that may compete for the lease.
#[derive(Debug, Default)]
pub struct HostList {
    hosts: Vec<(id::HostId, f64)>,
    read_at: Option<clock::Monotonic>,
}

/// Position of a standby among the hosts that may compete for the lease.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Position {
    /// Number of hosts that come before this one.
    pub rank: usize,
    /// Processor capacity of this host divided by that of the largest; at most 1.
    pub capacity_ratio: f64,
}

impl HostList {
    /// Reads the registered hosts if the list is too old. Keeps the list if they can't be read, and
    /// tries again when it would be too old the next time.
    pub async fn refresh<S: Store + ?Sized>(
        &mut self,
        store: &S,
        clock: &clock::Clock,
        is_new_cluster: bool,
    ) {
        let now = clock.now();
        let max_age = match is_new_cluster {
            true => NEW_CLUSTER_LIST_MAX_AGE,
            false => LIST_MAX_AGE,
        };
        if self.read_at.is_some_and(|at| now.since(at) < max_age) {
            return;
        }
        self.read_at = Some(now);
        let reading = store.rows(rows::HOSTS_TABLE, rows::HOSTS_PART, "", "");
        match reading.await {
            Ok(registered) => self.hosts = parse_hosts(&registered),
            Err(error) => {
                let reason = error.to_string();
                spdlog::warn!("failed to read the registered hosts for the standby rank", kv: {
                    reason = reason.as_str()
                });
            }
        }
    }

    /// Position of `host` with `cores`. `holder` is left out, since it doesn't check the lease.
    pub fn position(&self, host: &id::HostId, cores: f64, holder: Option<&id::HostId>) -> Position {
        let others = || {
            let hosts = self.hosts.iter();
            hosts.filter(|(other, _)| other != host && Some(other) != holder)
        };
        let comes_before = |other: &id::HostId, other_cores: f64| {
            other_cores > cores || (other_cores == cores && other < host)
        };
        let largest = others().map(|(_, cores)| *cores).fold(cores, f64::max);
        Position {
            rank: others()
                .filter(|(other, other_cores)| comes_before(other, *other_cores))
                .count(),
            capacity_ratio: match largest > 0.0 {
                true => cores / largest,
                false => 1.0,
            },
        }
    }
}

fn parse_hosts(registered: &store::Rows) -> Vec<(id::HostId, f64)> {
    let parse = |row: &store::Row| {
        let host: rows::HostRow = serde_json::from_str(row.value.as_deref()?).ok()?;
        let is_fresh = host.store_ms.saturating_add(ROW_MAX_AGE_MS) >= registered.store_ms;
        let id = id::HostId::new(&row.key.key).ok()?;
        is_fresh.then_some((id, host.processor_share))
    };
    registered.rows.iter().filter_map(parse).collect()
}

impl Position {
    fn is_first(&self) -> bool {
        self.rank < FIRST_STANDBYS
    }

    /// Time between two checks of the lease.
    pub fn check_interval(&self) -> Duration {
        match self.is_first() {
            true => FIRST_CHECK_INTERVAL,
            false => OTHER_CHECK_INTERVAL,
        }
    }

    /// Time that this host waits after the lease is free before it takes it.
    pub fn takeover_delay(&self) -> Duration {
        if !self.is_first() {
            return OTHER_TAKEOVER_DELAY;
        }
        let is_below = |ratio: &&f64| self.capacity_ratio < **ratio;
        let steps = CAPACITY_RATIOS.iter().filter(is_below).count();
        let count = |number: usize| u32::try_from(number).unwrap_or(u32::MAX);
        RANK_DELAY * count(self.rank) + CAPACITY_DELAY * count(steps)
    }
}
