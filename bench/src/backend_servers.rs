//! Simulated backend servers: how long attempts run on them, and which attempts fail.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, task};
use camphorbeam_placement::policy;

/// Number of different requests that fail on a server, without a success in between, after which
/// the server counts as suspect.
const SUSPECT_AFTER_REQUESTS: usize = 3;

/// Longest time until an attempt fails on a failing server, in milliseconds.
const FAILURE_MS: u64 = 200;

/// A time window in which some servers fail every attempt that starts on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureWindow {
    /// Number of failing servers, spread over the cluster.
    pub servers: usize,
    /// Start of the window, in milliseconds.
    pub from_ms: u64,
    /// End of the window (exclusive), in milliseconds.
    pub until_ms: u64,
}

/// How an attempt ends unless it is stopped before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// Run time until the end, in milliseconds.
    pub run_time_ms: u64,
    /// Whether the attempt fails.
    pub is_failure: bool,
}

/// The simulated servers with their health and recent failures.
#[derive(Debug)]
pub struct BackendServers {
    servers: BTreeMap<id::BackendServerId, policy::Server>,
    failing_servers: BTreeSet<id::BackendServerId>,
    failure_window_ms: (u64, u64),
    failures: BTreeMap<id::BackendServerId, BTreeSet<id::RequestId>>,
}

impl BackendServers {
    /// Creates the servers, some of which fail in `failure_window`.
    pub fn new(servers: &[policy::Server], failure_window: Option<FailureWindow>) -> Self {
        let count = failure_window.map_or(0, |window| window.servers);
        let with_accelerators: Vec<_> = servers.iter().filter(|s| s.accelerators > 0).collect();
        let step = (with_accelerators.len() / count.max(1)).max(1);
        let chosen = with_accelerators.iter().step_by(step).take(count);
        Self {
            servers: servers.iter().map(|s| (s.id.clone(), s.clone())).collect(),
            failing_servers: chosen.map(|server| server.id.clone()).collect(),
            failure_window_ms: failure_window
                .map_or((0, 0), |window| (window.from_ms, window.until_ms)),
            failures: BTreeMap::new(),
        }
    }

    /// Returns how an attempt with `work_ms` of work at speed 1.0 ends. It runs at the speed of the
    /// slowest member.
    pub fn planned_end(&self, members: &[task::Member], work_ms: f64, now_ms: u64) -> AttemptEnd {
        let (from_ms, until_ms) = self.failure_window_ms;
        let is_failing_now = (from_ms..until_ms).contains(&now_ms);
        let is_failure = members
            .iter()
            .any(|member| is_failing_now && self.failing_servers.contains(&member.server));
        let run_time_ms = (work_ms / self.speed_ratio(members)).ceil() as u64;
        match is_failure {
            true => AttemptEnd {
                run_time_ms: run_time_ms.min(FAILURE_MS),
                is_failure,
            },
            false => AttemptEnd {
                run_time_ms: run_time_ms.max(1),
                is_failure,
            },
        }
    }

    /// Returns the lowest speed among the members.
    pub fn speed_ratio(&self, members: &[task::Member]) -> f64 {
        let speeds = members
            .iter()
            .filter_map(|member| self.servers.get(&member.server))
            .map(|server| server.speed_ratio);
        speeds.fold(f64::INFINITY, f64::min)
    }

    /// Records the result of an attempt. Returns the servers whose health changed.
    pub fn record_result(
        &mut self,
        request: &id::RequestId,
        members: &[task::Member],
        is_failure: bool,
    ) -> Vec<policy::Server> {
        let mut changed = Vec::new();
        for member in members {
            let Some(server) = self.servers.get_mut(&member.server) else {
                continue;
            };
            let failures = self.failures.entry(member.server.clone()).or_default();
            match is_failure {
                true => {
                    failures.insert(request.clone());
                }
                false => failures.clear(),
            }
            let health = match failures.len() >= SUSPECT_AFTER_REQUESTS {
                true => policy::Health::Suspect,
                false => policy::Health::Usable,
            };
            if server.health != health {
                server.health = health;
                changed.push(server.clone());
            }
        }
        changed
    }
}

/// Returns the highest speed at which a gang can run on the empty cluster, or `None` if it doesn't
/// fit.
pub fn best_speed_ratio(servers: &[policy::Server], accelerators: u32) -> Option<f64> {
    let mut racks: BTreeMap<&id::RackName, Vec<&policy::Server>> = BTreeMap::new();
    for server in servers {
        racks.entry(&server.rack).or_default().push(server);
    }
    let best_rack_speed = |rack: &Vec<&policy::Server>| {
        let enough = rack.iter().filter(|s| s.accelerators >= accelerators);
        let on_one = enough.map(|s| s.speed_ratio).reduce(f64::max);
        let total: u32 = rack.iter().map(|s| s.accelerators).sum();
        let slowest = rack.iter().map(|s| s.speed_ratio).reduce(f64::min);
        on_one.or_else(|| slowest.filter(|_| total >= accelerators))
    };
    racks.values().filter_map(best_rack_speed).reduce(f64::max)
}
