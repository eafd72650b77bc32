//! A fake of the backend servers: how long attempts run there, and which of them fail.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, task};
use camphorbeam_placement::policy;

/// Requests that fail in a row on a server until it counts as suspect.
const SUSPECT_AFTER_REQUESTS: usize = 3;

/// Time after which a task fails on a server that fails everything, in milliseconds.
const FAILURE_MS: u64 = 200;

/// Servers that fail everything for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailureWindow {
    /// How many servers, spread over the cluster.
    pub servers: usize,
    /// From when, in milliseconds.
    pub from_ms: u64,
    /// Until when, in milliseconds.
    pub until_ms: u64,
}

/// How an attempt will end if nobody stops it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// How long it runs, in milliseconds.
    pub run_time_ms: u64,
    /// Whether it fails then.
    pub is_failure: bool,
}

/// The fake.
#[derive(Debug)]
pub struct BackendServers {
    servers: BTreeMap<id::BackendServerId, policy::Server>,
    failing_servers: BTreeSet<id::BackendServerId>,
    failure_window_ms: (u64, u64),
    failures: BTreeMap<id::BackendServerId, BTreeSet<id::RequestId>>,
}

impl BackendServers {
    /// These servers, some of which fail everything for a time.
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

    /// How an attempt with `work_ms` of work at speed 1.0 ends; the slowest member sets the pace.
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

    /// The lowest speed among the members.
    pub fn speed_ratio(&self, members: &[task::Member]) -> f64 {
        let speeds = members
            .iter()
            .filter_map(|member| self.servers.get(&member.server))
            .map(|server| server.speed_ratio);
        speeds.fold(f64::INFINITY, f64::min)
    }

    /// Notes the result of an attempt. Returns the servers whose health has changed by it.
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

/// The highest speed at which a gang can run on the empty cluster; none if it fits nowhere.
pub fn best_speed_ratio(servers: &[policy::Server], accelerators: u32) -> Option<f64> {
    let mut racks: BTreeMap<&id::RackName, Vec<&policy::Server>> = BTreeMap::new();
    for server in servers {
        racks.entry(&server.rack).or_default().push(server);
    }
    let speed_of = |rack: &Vec<&policy::Server>| {
        let enough = rack.iter().filter(|s| s.accelerators >= accelerators);
        let on_one = enough.map(|s| s.speed_ratio).reduce(f64::max);
        let total: u32 = rack.iter().map(|s| s.accelerators).sum();
        let slowest = rack.iter().map(|s| s.speed_ratio).reduce(f64::min);
        on_one.or_else(|| slowest.filter(|_| total >= accelerators))
    };
    racks.values().filter_map(speed_of).reduce(f64::max)
}
