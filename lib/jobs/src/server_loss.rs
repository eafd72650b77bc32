//! Proof that a backend server no longer exists, so that its runs needn't wait for its lease.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use camphorbeam_model::{fleet, id};

use crate::crash_evidence::ServerLife;
use crate::engine::{self, Engine, Now};
use crate::event::Event;
use crate::live_run::LiveRun;
use crate::orders::{HoldReply, RunName};

/// The runs that exist, or have ended, in the life of a server that has sent `reply`.
fn runs_of_life(reply: &HoldReply) -> impl Iterator<Item = &RunName> {
    let running = reply.running.iter().map(|entry| &entry.name);
    running.chain(reply.ended.iter().map(|end| &end.name))
}

impl Engine {
    /// Records that another backend server has replied to a hold for `id` at `address`. Only one
    /// process can listen there, so the server has ended with all of its runs. Has no effect if
    /// the server is registered at a different address by now.
    pub fn server_replaced(&mut self, id: &id::BackendServerId, address: SocketAddr, now: Now) {
        let at_address = |server: &&mut crate::server::Server| server.entry.address == address;
        let Some(server) = self.servers.get_mut(id).filter(at_address) else {
            return;
        };
        // Holds are refused again and again until the registry drops the server.
        if !std::mem::replace(&mut server.is_replaced, true) {
            self.restored_lives.remove(id);
            self.record_server_loss(id, self.life_of(id), true, &BTreeSet::new(), now);
            self.remove_replaced_runs(id, now);
        }
    }

    /// Records that a server has restarted under its id, so that its incarnation `ended` has
    /// crashed. Runs that the new one lists, also as ended, are its own.
    pub(crate) fn record_restart_loss(
        &mut self,
        id: &id::BackendServerId,
        ended: fleet::Incarnation,
        reply: &HoldReply,
        now: Now,
    ) {
        let listed = runs_of_life(reply).map(|name| (&name.task.job, name.task.index, name.run));
        let life = self.life_of(id).map(|life| ServerLife {
            incarnation: Some(ended),
            ..life
        });
        self.record_server_loss(id, life, true, &listed.collect(), now);
    }

    /// Removes the runs that were present before a server restarted, also those that are being
    /// stopped. Others may still be started by an order that got no reply. Removes none if the reply
    /// may not list all runs.
    pub(crate) fn remove_runs_of_ended_life(
        &mut self,
        id: &id::BackendServerId,
        sent_ms: u64,
        reply: &HoldReply,
        now: Now,
    ) {
        if !reply.lists_all_runs() {
            return;
        }
        for (job, index) in self.runs_on(id) {
            // The removal of another member may have removed the run.
            let live = self.jobs.get(&job).and_then(|open| open.runs.get(&index));
            // A run that the reply to a start has shown after this hold was sent may be of the new life.
            let was_present = |live: &&LiveRun| {
                let present_ms = live.first_present_ms;
                live.is_confirmed && present_ms.is_some_and(|present_ms| present_ms < sent_ms)
            };
            let Some(live) = live.filter(was_present) else {
                continue;
            };
            let name = engine::run_name(&job, index, live.run);
            let server = self.servers.get(id);
            let may_start = server.is_some_and(|server| server.may_still_start(&name, now.ms));
            if !may_start && !runs_of_life(reply).any(|of_life| of_life == &name) {
                self.remove_lost_run(&job, index, now);
            }
        }
    }

    /// Handles the first reply of a server that an earlier scheduler has placed runs on.
    pub(crate) fn compare_with_restored_life(
        &mut self,
        id: &id::BackendServerId,
        reply: &HoldReply,
        now: Now,
    ) {
        let restored = self.restored_lives.remove(id);
        if let Some(ended) = restored.and_then(|life| life.incarnation) {
            if ended < reply.incarnation {
                self.record_restart_loss(id, ended, reply, now);
            }
        }
    }

    /// Removes the runs of servers that the registry doesn't list any more and whose address
    /// belongs to `server`, which has replied.
    pub(crate) fn find_replaced_servers(
        &mut self,
        server: &id::BackendServerId,
        replied: ServerLife,
        now: Now,
    ) {
        if self.unregistered.is_empty() {
            return;
        }
        let is_replaced = |(id, life): &(&id::BackendServerId, &ServerLife)| {
            *id != server
                && life.address == replied.address
                && life.incarnation <= replied.incarnation
                && self.unregistered.contains_key(*id)
        };
        let restored = self.restored_lives.iter();
        let replaced: Vec<_> = restored
            .filter(is_replaced)
            .map(|(id, life)| (id.clone(), *life))
            .collect();
        for (id, life) in replaced {
            self.restored_lives.remove(&id);
            self.unregistered.remove(&id);
            self.record_server_loss(&id, Some(life), true, &BTreeSet::new(), now);
            self.remove_replaced_runs(&id, now);
        }
    }

    fn remove_replaced_runs(&mut self, id: &id::BackendServerId, now: Now) {
        let runs = self.runs_on(id);
        self.events.push(Event::Server {
            server: id.clone(),
            belief: "replaced",
            runs: runs.len(),
        });
        for (job, index) in runs {
            self.remove_lost_run(&job, index, now);
        }
    }
}
