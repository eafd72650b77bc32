//! Proof that a backend server no longer exists, so that its runs needn't wait for its lease.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use camphorbeam_model::{fleet, id};

use crate::crash_evidence::ServerLife;
use crate::engine::{Engine, Now};
use crate::event::Event;
use crate::orders::HoldReply;

impl Engine {
    /// Records that another backend server has replied to a hold for `id` at `address`. Only one
    /// process can listen there, so the server has ended with all of its runs. Has no effect if
    /// the server is registered at a different address by now.
    pub fn server_replaced(&mut self, id: &id::BackendServerId, address: SocketAddr, now: Now) {
        let at_address = |server: &&mut crate::server::Server| server.entry.address == address;
        let Some(server) = self.servers.get_mut(id).filter(at_address) else {
            return;
        };
        let was_replaced = std::mem::replace(&mut server.is_replaced, true);
        self.record_server_loss(id, self.life_of(id), true, &BTreeSet::new(), now);
        let runs = self.runs_on(id);
        if !was_replaced {
            self.events.push(Event::Server {
                server: id.clone(),
                belief: "replaced",
                runs: runs.len(),
            });
        }
        for (job, index) in runs {
            self.remove_lost_run(&job, index, now);
        }
    }

    /// Records that a server has restarted under its id, so that its incarnation `ended` has
    /// crashed. Runs that the new one lists are its own.
    pub(crate) fn record_restart_loss(
        &mut self,
        id: &id::BackendServerId,
        ended: fleet::Incarnation,
        reply: &HoldReply,
        now: Now,
    ) {
        let listed = reply.running.iter().map(|entry| {
            let task = &entry.name.task;
            (&task.job, task.index, entry.name.run)
        });
        let life = self.life_of(id).map(|life| ServerLife {
            incarnation: Some(ended),
            ..life
        });
        self.record_server_loss(id, life, true, &listed.collect(), now);
    }
}
