//! Actions that depend on elapsed time: sends orders without a usable reply again, removes runs
//! whose leases have expired, and stops runs that stall or that run on slow servers.

use std::collections::BTreeMap;

use camphorbeam_model::{id, job};

use crate::decide::DEGRADED_SPEED_RATIO;
use crate::engine::{self, Engine, Now, Order, ORDER_RETRY_MS};
use crate::event::Event;
use crate::live_run::{LiveRun, RunPhase};
use crate::server;

/// A run is stopped if none of its start orders has got a usable reply within this time of the
/// first.
const START_RETRY_LIMIT_MS: u64 = 1_600;

/// Time without progress after which a run counts as stalled. A healthy task of the longest kind
/// makes one percent of progress within a third of this.
const STALL_TIMEOUT_MS: u64 = 3_000;

/// Like [`STALL_TIMEOUT_MS`], but for tasks with an estimate below [`SHORT_TASK_MS`].
const SHORT_STALL_TIMEOUT_MS: u64 = 2_200;

/// Estimated run time below which a task counts as short.
const SHORT_TASK_MS: u64 = 5_000;

/// Shortest time of work before a run on a slow server may be stopped.
const SLOW_RUN_MIN_MS: u64 = 2_500;

/// A run on a slow server is stopped if its remaining work takes more than this many times as long
/// there as its whole work takes on a server of median speed.
const SLOW_RUN_STOP_RATIO: f64 = 1.5;

/// Shortest time between two searches for servers to which long-running tasks on slow ones may
/// move. A search looks at all servers and jobs, and a move is not urgent.
const MOVE_SEARCH_INTERVAL_MS: u64 = 1_000;

/// How long a server is quarantined after a run on it has stalled.
const STALL_QUARANTINE_MS: u64 = 6_000;

impl Engine {
    /// Sends orders without a usable reply again, and stops runs whose start orders have got none
    /// for too long. A stop order waits while the engine doesn't know its server, since the address
    /// is unknown.
    pub(crate) fn retry_orders(&mut self, now: Now) {
        let mut starts = Vec::new();
        let mut expired_starts = Vec::new();
        let may_start = self.has_confirmed_evacuations(now);
        let servers = &self.servers;
        let is_life_known = |id: &id::BackendServerId| {
            let server = servers.get(id);
            server.is_some_and(|server| !server.life.is_doubted())
        };
        for job in self.jobs.values_mut() {
            for (index, live) in &mut job.runs {
                match live.phase {
                    RunPhase::StartSent {
                        since_ms,
                        retry_ms: Some(_),
                    } if now.ms > since_ms + START_RETRY_LIMIT_MS => {
                        expired_starts.push((job.id.clone(), *index));
                    }
                    RunPhase::StartSent {
                        since_ms,
                        retry_ms: Some(retry_ms),
                    } if now.ms >= retry_ms && may_start && is_life_known(&live.server) => {
                        // This longer time applies while the resent order has no outcome. If it
                        // gets no usable reply, `start_reply` shortens the time.
                        live.phase = RunPhase::StartSent {
                            since_ms,
                            retry_ms: Some(now.ms + 4 * ORDER_RETRY_MS),
                        };
                        starts.push((job.id.clone(), *index));
                    }
                    RunPhase::Stopping {
                        next_ms: Some(next_ms),
                    } if now.ms >= next_ms && self.servers.contains_key(&live.server) => {
                        live.phase = RunPhase::Stopping { next_ms: None };
                        let name = engine::run_name(&job.id, *index, live.run);
                        self.orders.push(Order::Stop(live.server.clone(), name));
                    }
                    _ => {}
                }
            }
        }
        for (id, index) in starts {
            // The repeated start of another member may have been withheld, which stops the gang.
            let live = self.jobs.get(&id).and_then(|job| job.runs.get(&index));
            if live.is_some_and(LiveRun::is_active) {
                self.push_start_order(&id, index, now);
            }
        }
        for (id, index) in expired_starts {
            // The other members of a gang can't begin without this one.
            let members: Vec<_> = self.jobs[&id].unit_of(index).members().collect();
            for member in members {
                self.request_stop(&id, member, "start without an answer", now);
            }
        }
    }

    /// Removes the runs on servers whose leases have expired because the servers don't reply.
    pub(crate) fn remove_lapsed_runs(&mut self, now: Now) {
        let settings = self.settings;
        let mut lapsed: Vec<id::BackendServerId> = self
            .servers
            .values()
            .filter(|server| {
                let runs = self.runs_by_server.get(&server.entry.id);
                let mut runs = runs.into_iter().flatten();
                now.ms > server.lease_expiry_ms(&settings)
                    && runs.any(|(job, index)| self.has_lease_expired(server, job, *index, now))
            })
            .map(|server| server.entry.id.clone())
            .collect();
        let lapsed_unregistered: Vec<id::BackendServerId> = self
            .unregistered
            .iter()
            .filter(|(_, since_ms)| now.ms > server::silent_lease_expiry_ms(**since_ms, &settings))
            .map(|(id, _)| id.clone())
            .collect();
        for id in lapsed_unregistered {
            self.unregistered.remove(&id);
            lapsed.push(id);
        }
        for id in lapsed {
            let restored = self.restored_lives.remove(&id);
            let server = self.servers.get(&id);
            let has_expired = |(job, index): &(id::JobId, job::TaskIndex)| {
                server.is_none_or(|server| self.has_lease_expired(server, job, *index, now))
            };
            let (runs, others): (Vec<_>, Vec<_>) =
                self.runs_on(&id).into_iter().partition(has_expired);
            if !self.reachability.is_cut_off(&id) {
                let life = self.life_of(&id).or(restored);
                let survivors = others.iter().filter_map(|(job, index)| {
                    let live = self.jobs.get(job)?.runs.get(index)?;
                    Some((job, *index, live.run))
                });
                let survivors = survivors.collect();
                self.record_server_loss(&id, life, false, &survivors, now);
            }
            self.events.push(Event::Server {
                server: id.clone(),
                belief: "gone or lapsed",
                runs: runs.len(),
            });
            for (job, index) in runs {
                self.remove_lost_run(&job, index, now);
            }
        }
    }

    /// Whether the lease of a run has expired on its server.
    fn has_lease_expired(
        &self,
        server: &server::Server,
        id: &id::JobId,
        index: job::TaskIndex,
        now: Now,
    ) -> bool {
        let live = self.jobs.get(id).and_then(|job| job.runs.get(&index));
        live.is_none_or(|live| {
            let name = engine::run_name(id, index, live.run);
            now.ms > server.run_lease_expiry_ms(&name, &self.settings)
        })
    }

    /// Stops units with a stalled run, so that their tasks run elsewhere, and quarantines the
    /// server of that run. A run stalls if it makes no progress though its server replies. In a
    /// gang, only a member with the least progress counts, since the others may be waiting for it.
    /// Long-running tasks are exempt, and fillers, which may be paused.
    pub(crate) fn stop_stalled(&mut self, now: Now) {
        let mut stalled: Vec<(id::JobId, job::TaskIndex, id::BackendServerId)> = Vec::new();
        for job in self.jobs.values() {
            for (index, live) in &job.runs {
                let step = job.step(*index);
                let limit_ms = match step.estimate_ms < SHORT_TASK_MS {
                    true => SHORT_STALL_TIMEOUT_MS,
                    false => STALL_TIMEOUT_MS,
                };
                // Looked up last: few runs have made no progress for so long.
                let last_reply_ms = || {
                    let server = self.servers.get(&live.server);
                    server.and_then(|server| server.last_reply_ms).unwrap_or(0)
                };
                let is_stalled = matches!(live.phase, RunPhase::Present { .. })
                    && !step.is_long_running
                    && !step.ignores_cpu_capacity
                    && now.ms.saturating_sub(live.last_progress_ms) > limit_ms
                    && last_reply_ms().saturating_sub(live.last_progress_ms) > limit_ms;
                let has_least_progress = || {
                    let members = job.unit_of(*index).members();
                    let mut others = members.filter_map(|member| job.runs.get(&member));
                    others.all(|other| other.percent >= live.percent)
                };
                if is_stalled && has_least_progress() {
                    stalled.push((job.id.clone(), *index, live.server.clone()));
                }
            }
        }
        for (id, index, server) in stalled {
            self.health
                .quarantine(&server, now.ms + STALL_QUARANTINE_MS);
            let members: Vec<_> = self.jobs[&id].unit_of(index).members().collect();
            for member in members {
                self.request_stop(&id, member, "no progress", now);
            }
        }
    }

    /// Stops runs on servers that have become slow, if their tasks finish sooner elsewhere, and
    /// long-running ones as far as their disruption budget allows.
    pub(crate) fn stop_on_slow_servers(&mut self, now: Now) {
        let median = self.median_speed();
        let may_search = now.ms >= self.next_move_search_ms;
        // The result is the same for all tasks of a step.
        let mut gains: BTreeMap<(&id::JobId, job::TaskIndex), bool> = BTreeMap::new();
        let mut to_stop: Vec<(id::JobId, job::TaskIndex)> = Vec::new();
        for (server_id, runs) in &self.runs_by_server {
            // A server that the registry doesn't list may have a known speed too.
            let ratio = match self.servers.get(server_id) {
                Some(server) => server.speed_ratio,
                None => self.speeds.ratio(server_id),
            };
            let speed_ratio = ratio / median;
            if speed_ratio >= DEGRADED_SPEED_RATIO {
                continue;
            }
            for (id, index) in runs {
                let job = &self.jobs[id];
                let live = &job.runs[index];
                let RunPhase::Present { since_ms } = live.phase else {
                    continue;
                };
                let worked_ms = now.ms.saturating_sub(since_ms);
                let is_long_running = job.step(*index).is_long_running;
                if worked_ms <= SLOW_RUN_MIN_MS || (is_long_running && !may_search) {
                    continue;
                }
                let left = f64::from(100_u32.saturating_sub(live.percent)) / 100.0;
                let first = job::TaskIndex { rank: 0, ..*index };
                let is_slow = match is_long_running {
                    true => *gains
                        .entry((id, first))
                        .or_insert_with(|| self.gains_by_move(job, first, now)),
                    false => left / speed_ratio > SLOW_RUN_STOP_RATIO,
                };
                if is_slow {
                    to_stop.push((id.clone(), *index));
                }
            }
        }
        if !gains.is_empty() {
            self.next_move_search_ms = now.ms + MOVE_SEARCH_INTERVAL_MS;
        }
        let mut waiting_work: BTreeMap<id::JobId, bool> = BTreeMap::new();
        to_stop.sort();
        for (id, index) in to_stop {
            let members: Vec<_> = self.jobs[&id].unit_of(index).members().collect();
            let is_long_running = self.jobs[&id].step(index).is_long_running;
            let mut has_waiting_work = || match waiting_work.get(&id) {
                Some(known) => *known,
                None => {
                    let has_waiting_work = self.has_waiting_work(&id, now);
                    waiting_work.insert(id.clone(), has_waiting_work);
                    has_waiting_work
                }
            };
            let may_stop = !is_long_running
                || (!has_waiting_work()
                    && self.may_disrupt(&id, &members, "server has turned slow", now));
            if !may_stop {
                continue;
            }
            for member in members {
                self.request_stop(&id, member, "server has turned slow", now);
            }
        }
    }
}
