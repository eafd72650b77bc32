//! The sync loop of each backend server, and what its answers change in the tables.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_backend::{orders, sync, task as backend_task};
use camphorbeam_clock as clock;
use camphorbeam_model::{id, task};

use crate::job;
use crate::server::{self, Contact, Link};
use crate::zone::Zone;

/// First pause after a backend server did not answer.
const SILENCE_PAUSE_MIN: Duration = Duration::from_millis(100);

/// Longest pause between tries to reach a silent backend server.
const SILENCE_PAUSE_MAX: Duration = Duration::from_secs(2);

/// Longest wait of a sync before the rows are read, since each server then has to list its tasks.
const UNLOADED_SYNC_WAIT: Duration = Duration::from_millis(500);

/// How to send an order to a backend server.
pub(crate) struct Reach {
    /// Its task interface.
    pub(crate) orders: Arc<dyn orders::BackendServer>,
    /// End of a lease given now, on its clock.
    pub(crate) lease_until_server_ms: u64,
}

/// Runs until the holding is over or the backend server is forgotten.
pub async fn run(zone: Arc<Zone>, server: id::BackendServerId) {
    let mut pause = SILENCE_PAUSE_MIN;
    while !zone.is_over() {
        let (orders, link) = match zone.tables.servers().get(&server) {
            Some(entry) => (Arc::clone(&entry.orders), entry.link.clone()),
            None => return,
        };
        let result = match link {
            Link::Up(contact) => exchange_sync(&zone, &server, &orders, contact).await,
            Link::Unfenced | Link::Down(_) => fence(&zone, &server, &orders).await,
        };
        match result {
            Ok(()) => pause = SILENCE_PAUSE_MIN,
            Err(error) => {
                zone.note_order_error(&server, &error);
                zone.note_silence(&server);
                zone.deps.clock.sleep(pause).await;
                pause = (pause * 2).min(SILENCE_PAUSE_MAX);
            }
        }
    }
}

async fn fence(
    zone: &Zone,
    server: &id::BackendServerId,
    orders: &Arc<dyn orders::BackendServer>,
) -> Result<(), orders::OrderError> {
    let request = orders::FenceRequest { epoch: zone.epoch };
    let inventory = orders.fence(&request).await?;
    let contact = Contact {
        incarnation: inventory.incarnation,
        server_now_ms: inventory.server_now_ms,
        heard_at: zone.now(),
        last_event: inventory.last_event,
    };
    let orphans = match zone.is_loaded() {
        true => zone.absorb_inventory(server, &inventory),
        false => Vec::new(),
    };
    zone.update_server(server, |entry| {
        entry.link = Link::Up(contact);
        entry.is_leaving = inventory.is_leaving;
        entry.has_refused_as_leaving = false;
        entry.silent_since = None;
    });
    stop_orphans(zone, server, orders, orphans).await
}

/// Ends tasks that no request of this scheduler accounts for.
async fn stop_orphans(
    zone: &Zone,
    server: &id::BackendServerId,
    orders: &Arc<dyn orders::BackendServer>,
    orphans: Vec<backend_task::ListedTask>,
) -> Result<(), orders::OrderError> {
    for orphan in orphans {
        let key = orphan.status.key;
        if !orphan.status.state.is_ended() {
            let request = orders::StopRequest {
                epoch: zone.epoch,
                lease_until_server_ms: zone.lease_until(server),
                key: key.clone(),
                with_checkpoint: false,
            };
            orders.stop(&request).await?;
        }
        zone.release(server, key);
    }
    Ok(())
}

async fn exchange_sync(
    zone: &Zone,
    server: &id::BackendServerId,
    orders: &Arc<dyn orders::BackendServer>,
    contact: Contact,
) -> Result<(), orders::OrderError> {
    let settings = &zone.deps.settings;
    let sync_wait = match zone.is_loaded() {
        true => settings.sync_wait,
        false => settings.sync_wait.min(UNLOADED_SYNC_WAIT),
    };
    let released = zone.released(server);
    let request = sync::SyncRequest {
        epoch: zone.epoch,
        after_event: contact.last_event,
        wait_ms: clock::as_ms(sync_wait),
        lease_until_server_ms: contact.server_now_ms + clock::as_ms(settings.task_lease),
        unrenewed: zone.unrenewed(server),
        released: released.clone(),
    };
    let reply = orders.sync(&request).await?;
    if reply.incarnation != contact.incarnation {
        zone.update_server(server, |entry| entry.link = Link::Unfenced);
        return Ok(());
    }
    let next = Contact {
        server_now_ms: reply.server_now_ms,
        heard_at: zone.now(),
        last_event: reply.last_event,
        ..contact
    };
    zone.update_server(server, |entry| {
        // It may have to be fenced anew, since the rows were read while this sync waited.
        if entry.link == Link::Up(contact) {
            entry.link = Link::Up(next);
        }
        entry.is_leaving = reply.is_leaving;
        entry.silent_since = None;
        entry.released.retain(|key| !released.contains(key));
    });
    for status in &reply.changed {
        zone.note_status(server, status);
    }
    Ok(())
}

impl Zone {
    /// How to send an order to `server`, if it is taken over and answering.
    pub(crate) fn reach(&self, server: &id::BackendServerId) -> Result<Reach, String> {
        let lease_until_server_ms = self.lease_until(server);
        let servers = self.tables.servers();
        match servers.get(server) {
            Some(entry) if matches!(entry.link, Link::Up(_)) => Ok(Reach {
                orders: Arc::clone(&entry.orders),
                lease_until_server_ms,
            }),
            Some(_) => Err(format!("backend server {server} does not answer")),
            None => Err(format!("backend server {server} is not known")),
        }
    }

    /// How to send an order once more to `server`, which this scheduler has taken over, though it
    /// may not answer now.
    ///
    /// Only for orders that a restarted server refuses, such as the start of what it held.
    pub(crate) fn reach_fenced(&self, server: &id::BackendServerId) -> Result<Reach, String> {
        let lease_until_server_ms = self.lease_until(server);
        let servers = self.tables.servers();
        match servers.get(server) {
            Some(entry) if entry.link.contact().is_some() => Ok(Reach {
                orders: Arc::clone(&entry.orders),
                lease_until_server_ms,
            }),
            Some(_) => Err(format!("backend server {server} is not taken over")),
            None => Err(format!("backend server {server} is not known")),
        }
    }

    /// End of a task lease given now, on the clock of `server`.
    ///
    /// Counted from the last answer, so that it never ends later than this scheduler believes.
    pub(crate) fn lease_until(&self, server: &id::BackendServerId) -> u64 {
        let servers = self.tables.servers();
        let contact = servers
            .get(server)
            .and_then(|entry| entry.link.contact().copied());
        let server_now_ms = contact.map_or(0, |contact| contact.server_now_ms);
        server_now_ms + clock::as_ms(self.deps.settings.task_lease)
    }

    /// Notes what a backend server says of a task.
    pub(crate) fn note_status(
        &self,
        server: &id::BackendServerId,
        status: &backend_task::TaskStatus,
    ) {
        let mut jobs = self.tables.jobs();
        let Some(job) = jobs.get_mut(&status.key.request) else {
            return;
        };
        if job.attempt != status.key.attempt {
            return;
        }
        let Some(view) = job.members.get_mut(status.key.rank.0 as usize) else {
            return;
        };
        if view.member.server == *server {
            view.note(status);
            job.check_members();
        }
        let needs_worker = matches!(job.phase, job::Phase::Ending(_));
        drop(jobs);
        if needs_worker {
            self.push_work(&status.key.request);
        }
    }

    /// Notes that a member holds nothing and has no answer: its reservation was refused, or its server
    /// has lost it.
    pub(crate) fn note_member_gone(&self, key: &task::TaskKey) {
        let mut jobs = self.tables.jobs();
        let job = jobs.get_mut(&key.request);
        let view = job.and_then(|job| job.members.get_mut(key.rank.0 as usize));
        if let Some(view) = view {
            view.state = job::MemberState::Gone;
        }
    }

    /// Notes that a backend server knows a task of this attempt as ended already.
    ///
    /// A predecessor may have started an idempotent request without a record, while the platform
    /// was away; no other request can have run under this attempt.
    pub(crate) fn note_used_key(&self, key: &task::TaskKey) {
        if let Some(job) = self.tables.jobs().get_mut(&key.request) {
            let may_have_started = job.record.spec.idempotent;
            if let Some(view) = job.members.get_mut(key.rank.0 as usize) {
                view.may_have_started |= may_have_started;
            }
        }
    }

    /// Notes that start orders are about to leave.
    pub(crate) fn note_starting(&self, request: &id::RequestId) {
        if let Some(job) = self.tables.jobs().get_mut(request) {
            for view in &mut job.members {
                view.may_have_started = true;
            }
        }
    }

    /// Draws the consequences of a failed order.
    pub(crate) fn note_order_error(
        &self,
        server: &id::BackendServerId,
        error: &orders::OrderError,
    ) {
        match error {
            orders::OrderError::Refused(orders::OrderRefusal::StaleEpoch { .. }) => {
                spdlog::warn!(
                    "deposed: a backend server refuses the epoch",
                    kv: {
                        backend_server = server.as_str(),
                        zone = self.deps.settings.zone.as_str(),
                        epoch = self.epoch.0,
                    }
                );
                self.depose();
            }
            orders::OrderError::Refused(orders::OrderRefusal::Leaving) => {
                self.update_server(server, |entry| entry.has_refused_as_leaving = true);
            }
            orders::OrderError::Refused(_) => {}
            orders::OrderError::NotSent { .. } | orders::OrderError::OutcomeUnknown { .. } => {
                let now = self.now();
                self.update_server(server, |entry| {
                    entry.silent_since.get_or_insert(now);
                    if let Link::Up(contact) = entry.link {
                        entry.link = Link::Down(contact);
                    }
                });
            }
        }
    }

    /// Brings gangs to their end whose member on a silent server can't be trusted to run.
    fn note_silence(&self, server: &id::BackendServerId) {
        let now = self.now();
        let (silent_for, is_lapsed) = {
            let servers = self.tables.servers();
            let Some(entry) = servers.get(server) else {
                return;
            };
            let silent_since = entry.silent_since.unwrap_or(now);
            (now.since(silent_since), self.is_lapsed(entry))
        };
        let is_long_silent = silent_for >= self.deps.settings.member_silence;
        let mut ended = Vec::new();
        for job in self.tables.jobs().values_mut() {
            let is_there = job.has_active_member_on(server);
            let is_gang = job.members.len() > 1;
            if is_there && (is_lapsed || (is_gang && is_long_silent)) {
                job.end(job::EndReason::MemberLost {
                    detail: format!("backend server {server} does not answer"),
                });
                ended.push(job.record.id.clone());
            }
        }
        for request in ended {
            self.push_work(&request);
        }
    }

    /// Whether every task lease on a server is known to have run out.
    pub(crate) fn is_lapsed(&self, entry: &server::Server) -> bool {
        let heard_at = match &entry.link {
            Link::Up(_) => return false,
            Link::Down(contact) => contact.heard_at,
            Link::Unfenced => self.started_at,
        };
        self.now().since(heard_at) >= self.deps.settings.lapse_after()
    }

    /// Tasks on `server` whose gangs are being stopped because another member is lost.
    fn unrenewed(&self, server: &id::BackendServerId) -> Vec<task::TaskKey> {
        let jobs = self.tables.jobs();
        let is_losing = |job: &&job::Job| {
            let phase = &job.phase;
            matches!(phase, job::Phase::Ending(job::EndReason::MemberLost { .. }))
        };
        jobs.values()
            .filter(is_losing)
            .flat_map(|job| job.active_tasks_on(server))
            .collect()
    }

    fn released(&self, server: &id::BackendServerId) -> Vec<task::TaskKey> {
        let servers = self.tables.servers();
        servers
            .get(server)
            .map(|entry| entry.released.clone())
            .unwrap_or_default()
    }

    /// Lets a backend server forget an ended task, with the next sync.
    pub(crate) fn release(&self, server: &id::BackendServerId, key: task::TaskKey) {
        if let Some(entry) = self.tables.servers().get_mut(server) {
            entry.released.push(key);
        }
    }

    /// Takes over what a backend server has. Returns the tasks that nobody accounts for.
    fn absorb_inventory(
        &self,
        server: &id::BackendServerId,
        inventory: &orders::Inventory,
    ) -> Vec<backend_task::ListedTask> {
        let mut touched = Vec::new();
        let mut orphans = Vec::new();
        {
            let mut policy = self.tables.policy();
            let mut jobs = self.tables.jobs();
            let now_ms = self.policy_now_ms();
            for listed in &inventory.tasks {
                let key = &listed.status.key;
                let job = jobs.get_mut(&key.request);
                match job {
                    Some(job) if job.attempt == key.attempt && !job.members.is_empty() => {}
                    Some(job) if job.can_adopt(listed) => {
                        job.adopt(listed);
                        policy.adopt(job.to_policy_job(now_ms), listed.members.clone(), now_ms);
                    }
                    _ => orphans.push(listed.clone()),
                }
            }
            for job in jobs.values_mut() {
                if job.absorb(server, &inventory.tasks) {
                    touched.push(job.record.id.clone());
                }
            }
        }
        for request in touched {
            self.push_work(&request);
        }
        orphans
    }
}
