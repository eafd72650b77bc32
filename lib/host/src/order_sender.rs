//! Sends the engine's orders to backend servers.

use std::collections::BTreeMap;
use std::sync::Arc;

use async_std::task;
use camphorbeam_jobs::engine;
use camphorbeam_jobs::orders;
use camphorbeam_model::id;

use crate::scheduler::Scheduler;

/// Why an order was not sent: an earlier order in the same batch got no reply.
const UNANSWERED_REASON: &str = "an earlier order to the server got no reply";

impl Scheduler {
    /// Sends the pending orders: in sequence to one backend server, concurrently to different ones.
    pub(crate) fn send_orders(self: &Arc<Self>) {
        // Pace orders are sent beside the others, since a start must not wait for their timeouts.
        let mut by_server: BTreeMap<(id::BackendServerId, bool), Vec<engine::Order>> =
            BTreeMap::new();
        for order in self.lock().take_orders() {
            let is_pace = matches!(order, engine::Order::Pace(..));
            let orders = by_server.entry((order.server().clone(), is_pace));
            orders.or_default().push(order);
        }
        for ((server, _), orders) in by_server {
            task::spawn(Arc::clone(self).send_server_orders(server, orders));
        }
    }

    /// Sends orders to one server in sequence. Once an order gets no reply, the remaining ones are
    /// not sent: starts count as not sent, stops as unanswered. Waiting for the timeout of each would
    /// delay starts that belong to a gang, whose other members wait for them; the engine repeats the
    /// orders soon, or places the starts elsewhere.
    async fn send_server_orders(
        self: Arc<Self>,
        server: id::BackendServerId,
        orders: Vec<engine::Order>,
    ) {
        let Some(target) = self.target(&server) else {
            return;
        };
        let mut is_unanswered = false;
        for order in orders {
            if self.is_stopped() {
                return;
            }
            match order {
                engine::Order::Start(_, start) => {
                    let outcome = self.send_start(&target, &start, is_unanswered).await;
                    is_unanswered |= matches!(
                        outcome,
                        orders::StartOutcome::Unknown { .. } | orders::StartOutcome::NotSent { .. }
                    );
                    self.deps.metrics.record_order("start", outcome.name());
                    let now = self.now();
                    self.lock().start_reply(&start.name, &outcome, now);
                }
                engine::Order::Stop(_, name) => {
                    let outcome = match is_unanswered {
                        true => orders::StopOutcome::Unknown {
                            reason: UNANSWERED_REASON.to_owned(),
                        },
                        false => self.send_stop(&target, &name).await,
                    };
                    is_unanswered |= matches!(outcome, orders::StopOutcome::Unknown { .. });
                    self.deps.metrics.record_order("stop", outcome.name());
                    let now = self.now();
                    self.lock().stop_reply(&name, &outcome, now);
                }
                engine::Order::Pace(server, order) => {
                    let outcome = match is_unanswered || !self.is_leader() {
                        true => orders::PaceOutcome::Unknown {
                            reason: UNANSWERED_REASON.to_owned(),
                        },
                        false => {
                            let sent_at = self.now();
                            let answer = self.deps.servers.pace(&target, &order).await;
                            self.note_clock(&target, &answer, sent_at.ms);
                            answer.outcome
                        }
                    };
                    is_unanswered |= matches!(outcome, orders::PaceOutcome::Unknown { .. });
                    self.deps.metrics.record_order("pace", outcome.name());
                    let now = self.now();
                    self.lock().pace_reply(&server, &order, &outcome, now);
                }
            }
        }
        self.decide_wakeup.wake();
    }

    fn sendable_start(
        &self,
        server: &id::BackendServerId,
        start: &orders::StartOrder,
    ) -> Option<orders::StartOrder> {
        let now = self.now();
        self.lock().sendable_start(server, start, now)
    }

    async fn send_start(
        &self,
        target: &orders::Target,
        start: &orders::StartOrder,
        is_unanswered: bool,
    ) -> orders::StartOutcome {
        let not_sent = |reason: &str| orders::StartOutcome::NotSent {
            reason: reason.to_owned(),
        };
        let outcome = match () {
            () if is_unanswered => not_sent(UNANSWERED_REASON),
            // The process may have been suspended since the progress was stored; meanwhile the
            // lease may have expired and another host may schedule.
            () if !self.is_leader() => not_sent("the scheduler stopped or its lease has expired"),
            () => match self.sendable_start(&target.server, start) {
                None => orders::StartOutcome::Withheld,
                Some(start) => {
                    let sent_at = self.now();
                    let answer = self.deps.servers.start(target, &start).await;
                    self.note_clock(target, &answer, sent_at.ms);
                    let now = self.now();
                    match &answer.outcome {
                        orders::StartOutcome::Unknown { .. } => {
                            let mut engine = self.lock();
                            engine.order_unanswered(&target.server, sent_at.ms, now);
                            engine.lease_unanswered(&target.server, sent_at.ms, now);
                        }
                        orders::StartOutcome::NotSent { .. } => {
                            let mut engine = self.lock();
                            engine.order_unanswered(&target.server, sent_at.ms, now);
                        }
                        _ => {}
                    }
                    answer.outcome
                }
            },
        };
        if outcome != orders::StartOutcome::Present {
            let task = start.name.task.to_string();
            let outcome = format!("{outcome:?}");
            spdlog::info!("start not confirmed", kv: {
                task = task.as_str(), run = start.name.run.0, server = target.server.as_str(),
                outcome = outcome.as_str()
            });
        }
        outcome
    }

    async fn send_stop(
        &self,
        target: &orders::Target,
        name: &orders::RunName,
    ) -> orders::StopOutcome {
        let sent_at = self.now();
        let answer = self.deps.servers.stop(target, name).await;
        self.note_clock(target, &answer, sent_at.ms);
        let outcome = answer.outcome;
        if let orders::StopOutcome::Unknown { .. } = outcome {
            let now = self.now();
            let mut engine = self.lock();
            engine.order_unanswered(&target.server, sent_at.ms, now);
        }
        outcome
    }

    /// Passes the clock that a reply states on, which may be that of another life of the server.
    fn note_clock<O>(&self, target: &orders::Target, answer: &orders::Answer<O>, sent_ms: u64) {
        if let Some(server_ms) = answer.server_ms {
            let now = self.now();
            self.lock()
                .clock_stated(&target.server, server_ms, sent_ms, now);
        }
    }
}
