//! Delivers the engine's orders to the simulated servers, where they are carried out, refused, lost
//! or delayed.

use std::sync::Arc;

use camphorbeam_jobs::engine::Order;
use camphorbeam_jobs::orders::{
    PaceOutcome, RunName, StartOrder, StartOutcome, StartRefusal, StopOutcome,
};
use camphorbeam_model::{id, job};
use rand::Rng as _;

use crate::crashes::Life;
use crate::{ModelServer, Run, RunRecord, Simulation, RESTORE_MS};

/// Time between a stop order and the end of the run.
const STOP_DURATION_MS: u64 = 400;

/// A start order whose delivery is delayed.
pub(crate) struct DelayedStart {
    due_ms: u64,
    server_name: String,
    epoch: u64,
    /// On the clock of the server as the scheduler knows it.
    lease_until_ms: u64,
    /// The incarnation that has received the order, and the simulated time at which the lease ends
    /// there. A later one carries the order out only before that.
    received_by: (u64, u64),
    name: RunName,
    checkpoint: Arc<str>,
}

impl Simulation {
    pub(crate) fn deliver_orders(&mut self) {
        let now = self.now();
        for order in self.engine.take_orders() {
            if self.engine.address(order.server()).is_none() {
                // Without an address an entry host can't send the order.
                continue;
            }
            match order {
                Order::Start(server_name, start) => {
                    let sendable = self.engine.sendable_start(&server_name, &start, now);
                    let is_refused = self.refuses_connections.contains(server_name.as_str());
                    let outcome = match sendable {
                        Some(_) if is_refused => StartOutcome::NotSent {
                            reason: "refused".to_owned(),
                        },
                        Some(start) => self.start_or_delay(server_name.as_str(), &start),
                        None => StartOutcome::Withheld,
                    };
                    match outcome {
                        StartOutcome::Unknown { .. } => {
                            self.engine.order_unanswered(&server_name, now.ms, now);
                            self.engine.lease_unanswered(&server_name, now.ms, now);
                        }
                        StartOutcome::NotSent { .. } => {
                            self.engine.order_unanswered(&server_name, now.ms, now);
                        }
                        StartOutcome::Present => self.state_clock(&server_name),
                        _ => {}
                    }
                    self.engine.start_reply(&start.name, &outcome, now);
                }
                Order::Pace(server_name, order) => {
                    let outcome = self.pace_outcome.clone();
                    let outcome = outcome.unwrap_or(PaceOutcome::Accepted);
                    if outcome == PaceOutcome::Accepted {
                        self.paces.insert(order.name.clone(), order.percent);
                    }
                    self.engine.pace_reply(&server_name, &order, &outcome, now);
                    self.pace_orders.push((now.ms, order));
                }
                Order::Stop(server_name, name) => {
                    let server = self.servers.get_mut(server_name.as_str()).unwrap();
                    let outcome = match server.life {
                        _ if !server.is_reached() => StopOutcome::Unknown {
                            reason: "cut".to_owned(),
                        },
                        Life::Replaced => StopOutcome::OtherServer,
                        _ => {
                            let highest_ended = server
                                .highest_ended_runs
                                .entry(name.task.clone())
                                .or_default();
                            if !server.running.contains_key(&name) {
                                *highest_ended = (*highest_ended).max(name.run);
                            }
                            if let Some(run) = server.running.get_mut(&name) {
                                run.stop_at_ms.get_or_insert(now.ms + STOP_DURATION_MS);
                            }
                            StopOutcome::Accepted
                        }
                    };
                    match outcome {
                        StopOutcome::Unknown { .. } => {
                            self.engine.order_unanswered(&server_name, now.ms, now);
                        }
                        _ => self.state_clock(&server_name),
                    }
                    self.engine.stop_reply(&name, &outcome, now);
                }
            }
        }
    }

    /// Passes the clock that the reply of a server states on.
    fn state_clock(&mut self, id: &id::BackendServerId) {
        let now = self.now();
        let server = &self.servers[id.as_str()];
        if server.life == Life::Up {
            let server_ms = server.clock_ms(now.ms);
            self.engine.clock_stated(id, server_ms, now.ms, now);
        }
    }

    fn start_or_delay(&mut self, server_name: &str, start: &StartOrder) -> StartOutcome {
        if !self.random.random_bool(self.delayed_start_ratio) {
            let server = self.servers.get_mut(server_name).unwrap();
            if server.is_reached() && server.life == Life::Up {
                let until_ms = start.lease_until_server_ms;
                server.extend_lease(until_ms, self.settings.lease_max_ms, self.now_ms);
                server.highest_epoch = server.highest_epoch.max(self.epoch);
                if !self.accepts_ticket(server_name, start) {
                    return StartOutcome::Refused(StartRefusal::Ticket);
                }
            }
            return self.start(server_name, &start.name, &start.checkpoint);
        }
        let server = &self.servers[server_name];
        let clock_ms = server.clock_ms(self.now_ms);
        let left_ms = start.lease_until_server_ms.saturating_sub(clock_ms);
        let left_ms = left_ms.min(self.settings.lease_max_ms);
        self.delayed_starts.push(DelayedStart {
            due_ms: self.now_ms + self.random.random_range(2_000..12_000),
            server_name: server_name.to_owned(),
            epoch: self.epoch,
            lease_until_ms: start.lease_until_server_ms,
            received_by: (server.incarnation, self.now_ms + left_ms),
            name: start.name.clone(),
            checkpoint: start.checkpoint.clone(),
        });
        StartOutcome::Unknown {
            reason: "no answer".to_owned(),
        }
    }

    /// Carries out the delayed start orders that are due, unless the server has seen a newer epoch
    /// or the lease of the order has expired.
    pub(crate) fn start_delayed(&mut self) {
        let now_ms = self.now_ms;
        let delayed = std::mem::take(&mut self.delayed_starts);
        let (due, later): (Vec<_>, Vec<_>) = delayed
            .into_iter()
            .partition(|order| order.due_ms <= now_ms);
        self.delayed_starts = later;
        for order in due {
            let server = &self.servers[&order.server_name];
            let (incarnation, until_ms) = order.received_by;
            let is_late = match server.incarnation == incarnation {
                true => order.lease_until_ms <= server.clock_ms(now_ms),
                false => until_ms <= now_ms || !self.delayed_starts_outlive_servers,
            };
            if order.epoch >= server.highest_epoch && !is_late {
                let server = self.servers.get_mut(&order.server_name).unwrap();
                server.extend_lease(order.lease_until_ms, self.settings.lease_max_ms, now_ms);
                self.start(&order.server_name, &order.name, &order.checkpoint);
            }
        }
    }

    pub(crate) fn start(
        &mut self,
        server_name: &str,
        name: &RunName,
        checkpoint: &str,
    ) -> StartOutcome {
        let need = self.need(name);
        let checkpoint_percent = checkpoint.parse().unwrap_or(0.0);
        let used = self.servers[server_name]
            .running
            .keys()
            .fold(job::Resources::default(), |sum, run| {
                sum.plus(&self.need(run))
            });
        let server = self.servers.get_mut(server_name).unwrap();
        if !server.is_reached() {
            return StartOutcome::Unknown {
                reason: "cut".to_owned(),
            };
        }
        if server.life == Life::Replaced {
            return StartOutcome::Refused(StartRefusal::OtherServer);
        }
        let behavior = self.task_behaviors.get(&name.task.job);
        if behavior.is_some_and(|behavior| behavior.is_refused) {
            return StartOutcome::Refused(StartRefusal::Invalid);
        }
        let ended = server.highest_ended_runs.get(&name.task);
        if ended.is_some_and(|ended| *ended >= name.run) {
            return StartOutcome::Refused(StartRefusal::Outdated);
        }
        if server.running.contains_key(name) {
            return start_outcome(server);
        }
        let fits = |capacity: &job::Resources| capacity.minus(&used).can_fit(&need);
        let is_over = !fits(&server.entry.capacity);
        if is_over && server.enforces_capacity {
            return StartOutcome::Refused(StartRefusal::NoRoom);
        }
        let mut earlier = server.earlier_capacities.iter();
        let is_in_grace =
            earlier.any(|(capacity, until_ms)| self.now_ms < *until_ms && fits(capacity));
        if is_over && !is_in_grace {
            let record = (self.now_ms, server_name.to_owned(), name.clone());
            self.starts_over_capacity.push(record);
        }
        server.running.insert(
            name.clone(),
            Run {
                percent: checkpoint_percent,
                checkpoint_percent,
                resumes_at_ms: self.now_ms + if checkpoint.is_empty() { 0 } else { RESTORE_MS },
                run_time_ms: 0.0,
                since_checkpoint_ms: 0.0,
                stop_at_ms: None,
            },
        );
        self.run_records.push(RunRecord {
            name: name.clone(),
            server: server_name.to_owned(),
            started_at_ms: self.now_ms,
            ended_at_ms: None,
            end: None,
            incarnation: self.servers[server_name].incarnation,
            is_acknowledged: false,
        });
        start_outcome(&self.servers[server_name])
    }
}

fn start_outcome(server: &ModelServer) -> StartOutcome {
    match server.loses_start_replies {
        true => StartOutcome::Unknown {
            reason: "the answer was lost".to_owned(),
        },
        false => StartOutcome::Present,
    }
}
