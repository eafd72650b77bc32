//! Late starts: start orders without a reply when their server started anew. The new life doesn't
//! know that such a run has ended or was stopped, and may still carry the order out.
//!
//! The task of such a run waits until it is known that the server refuses the start: it has taken a
//! stop of the run, and a later list of its runs doesn't show it. That holds for this life of the
//! server alone. See docs/design/server-lives.md.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{fleet, id, job};

use crate::crash_evidence::Isolation;
use crate::engine::{Engine, Now, Order, ORDER_RETRY_MS};
use crate::event::Event;
use crate::open_job::PlacementUnit;
use crate::orders::{HoldReply, RunName};

/// What is known of a late start in the present life of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    /// The server may carry the start out.
    Possible {
        /// When to send the next stop, on the scheduler's clock.
        next_stop_ms: u64,
    },
    /// The server has taken a stop. The start may have come before it.
    Stopped {
        /// The life that has taken the stop.
        life: fleet::Incarnation,
        /// When that became known, on the scheduler's clock.
        since_ms: u64,
    },
    /// The run isn't there, and the server refuses the start.
    Refused {
        /// The life that refuses it.
        life: fleet::Incarnation,
    },
}

#[derive(Clone, Debug)]
struct LateStart {
    server: id::BackendServerId,
    /// Until when any life of the server may carry the start out, on the scheduler's clock.
    until_ms: u64,
    knowledge: Knowledge,
}

/// The late starts of all servers.
#[derive(Clone, Debug, Default)]
pub(crate) struct LateStarts {
    by_run: BTreeMap<RunName, LateStart>,
}

impl LateStarts {
    /// Drops the starts that can't be carried out any more.
    pub fn expire(&mut self, now_ms: u64) {
        self.by_run.retain(|_, start| now_ms < start.until_ms);
    }

    fn of_task(&self, task: &job::TaskName) -> impl Iterator<Item = &LateStart> {
        let run = |number| RunName {
            task: task.clone(),
            run: id::Run(number),
        };
        let of_task = self.by_run.range(run(0)..=run(u32::MAX));
        of_task.map(|(_, start)| start)
    }

    /// Whether a server has taken a stop, and its next list of runs shows what came of the start.
    pub fn awaits_list(&self, server: &id::BackendServerId) -> bool {
        self.by_run.values().any(|start| {
            &start.server == server && matches!(start.knowledge, Knowledge::Stopped { .. })
        })
    }
}

impl Engine {
    /// Records that a server which has started anew may carry out a start until `until_ms`.
    pub(crate) fn expect_late_start(
        &mut self,
        server: &id::BackendServerId,
        name: RunName,
        until_ms: u64,
        now: Now,
    ) {
        let start = LateStart {
            server: server.clone(),
            until_ms,
            knowledge: Knowledge::Possible {
                next_stop_ms: now.ms,
            },
        };
        self.late_starts.by_run.insert(name, start);
    }

    /// Sends the stops that show whether late starts are refused. A run that is active is started by
    /// the same order, and needs none.
    pub(crate) fn stop_late_starts(&mut self, now: Now) {
        let (servers, jobs) = (&self.servers, &self.jobs);
        for (name, start) in &mut self.late_starts.by_run {
            let live = jobs
                .get(&name.task.job)
                .and_then(|job| job.runs.get(&name.task.index));
            let is_active = live.is_some_and(|live| live.run == name.run && live.is_active());
            let is_reached = servers
                .get(&start.server)
                .is_some_and(|server| !server.life.is_doubted() && server.is_heard(now.ms));
            let Knowledge::Possible { next_stop_ms } = &mut start.knowledge else {
                continue;
            };
            if is_reached && !is_active && now.ms >= *next_stop_ms {
                *next_stop_ms = now.ms + ORDER_RETRY_MS;
                let order = Order::Stop(start.server.clone(), name.clone());
                if !self.orders.contains(&order) {
                    self.orders.push(order);
                }
            }
        }
    }

    /// Records that a server has taken a stop of a run.
    pub(crate) fn late_start_stopped(&mut self, name: &RunName, now: Now) {
        let Some(start) = self.late_starts.by_run.get_mut(name) else {
            return;
        };
        let server = self.servers.get(&start.server);
        let life = server
            .filter(|server| !server.life.is_doubted())
            .and_then(|server| server.incarnation);
        if let (Knowledge::Possible { .. }, Some(life)) = (start.knowledge, life) {
            start.knowledge = Knowledge::Stopped {
                life,
                since_ms: now.ms,
            };
        }
    }

    /// Concludes from the list of a hold that was sent at `sent_ms` which late starts a server
    /// refuses: those that were stopped before and aren't listed, and those of runs that have ended
    /// there.
    pub(crate) fn observe_late_starts(
        &mut self,
        server: &id::BackendServerId,
        sent_ms: u64,
        reply: &HoldReply,
        now: Now,
    ) {
        let running: BTreeSet<&RunName> = reply.running.iter().map(|entry| &entry.name).collect();
        let has_ended = |name: &RunName| {
            let mut ended = reply.ended.iter();
            ended.any(|end| end.name.task == name.task && end.name.run >= name.run)
        };
        let of_server = self.late_starts.by_run.iter_mut();
        for (name, start) in of_server.filter(|(_, start)| &start.server == server) {
            let is_gone = match start.knowledge {
                Knowledge::Stopped { life, since_ms } => {
                    life == reply.incarnation && sent_ms > since_ms && reply.lists_all_runs()
                }
                Knowledge::Possible { .. } => has_ended(name),
                Knowledge::Refused { .. } => false,
            };
            if is_gone && !running.contains(name) {
                start.knowledge = Knowledge::Refused {
                    life: reply.incarnation,
                };
                self.events.push(Event::LateStartRefused {
                    job: name.task.job.clone(),
                    task: name.task.index,
                    run: name.run,
                    server: server.clone(),
                    left_ms: start.until_ms.saturating_sub(now.ms),
                });
            }
        }
    }

    /// Whether a restarted server may still start a task of the unit by an earlier order. A unit that
    /// needs an empty server, since several have crashed under it, may have to start elsewhere than
    /// on the one that refuses the start, and its crashes make a still later life likely.
    pub(crate) fn may_start_late(&self, id: &id::JobId, unit: PlacementUnit) -> bool {
        if self.late_starts.by_run.is_empty() {
            return false;
        }
        let needs_empty = self.isolation(id, unit) == Isolation::Exclusive;
        unit.members().any(|index| {
            let job = id.clone();
            let mut starts = self.late_starts.of_task(&job::TaskName { job, index });
            starts.any(|start| needs_empty || !self.is_refused(start))
        })
    }

    /// Whether the present life of the server refuses the start.
    fn is_refused(&self, start: &LateStart) -> bool {
        let server = self.servers.get(&start.server);
        match start.knowledge {
            Knowledge::Refused { life } => server.is_some_and(|server| {
                server.incarnation == Some(life) && !server.life.is_doubted()
            }),
            Knowledge::Possible { .. } | Knowledge::Stopped { .. } => false,
        }
    }

    /// Leaves only the server that refuses a late start of the unit. A still later life of it might
    /// carry the start out, and could do so beside a run elsewhere. A preference, which an overdue
    /// start drops, and which goes before that against a server that the task may have crashed. Not
    /// for gangs, which need several servers.
    pub(crate) fn with_all_but_late_server(
        &self,
        id: &id::JobId,
        unit: PlacementUnit,
        mut excluded: BTreeSet<id::BackendServerId>,
    ) -> BTreeSet<id::BackendServerId> {
        if self.late_starts.by_run.is_empty() || unit.count > 1 {
            return excluded;
        }
        let task = job::TaskName {
            job: id.clone(),
            index: unit.first,
        };
        let latest = self.late_starts.of_task(&task).last();
        if let Some(start) = latest {
            excluded.extend(self.servers.keys().cloned());
            excluded.remove(&start.server);
        }
        excluded
    }
}
