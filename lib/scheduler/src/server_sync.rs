//! The sync loop of each backend server, and the changes that its replies make to the tables.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_backend::{orders, sync, task as backend_task};
use camphorbeam_clock as clock;
use camphorbeam_model::{id, task};

use crate::job;
use crate::server::{self, LastReply, Link};
use crate::zone::ZoneScheduler;

/// Delay before the sync loop retries after a failed fence or sync; doubles with each failure.
const RECONNECT_DELAY_MIN: Duration = Duration::from_millis(100);

/// Maximum delay before the sync loop retries.
const RECONNECT_DELAY_MAX: Duration = Duration::from_secs(2);

/// Maximum wait of a sync while the rows have not been read. Once they are, each server must list
/// its tasks again, and a long sync would delay that.
const UNLOADED_SYNC_WAIT: Duration = Duration::from_millis(500);

/// Client of a backend server, with the lease expiry to put into the order.
pub(crate) struct OrderTarget {
    /// Client for orders to the server.
    pub(crate) orders: Arc<dyn orders::BackendServer>,
    /// Expiry of a task lease granted now, on the server's clock.
    pub(crate) lease_until_server_ms: u64,
}

/// Fences and syncs with a backend server until this scheduler's epoch has ended or the server is
/// removed.
///
/// After each failure it ends the jobs that have lost a member there
/// (`ZoneScheduler::end_jobs_on_silent_server`). If the server refuses the epoch as stale, this
/// scheduler's epoch ends.
pub async fn run(zone: Arc<ZoneScheduler>, server: id::BackendServerId) {
    let mut delay = RECONNECT_DELAY_MIN;
    while !zone.has_ended() {
        let (orders, link) = match zone.tables.servers().get(&server) {
            Some(entry) => (Arc::clone(&entry.orders), entry.link.clone()),
            None => return,
        };
        let result = match link {
            Link::Up(last_reply) => sync_once(&zone, &server, &orders, last_reply).await,
            Link::Unfenced | Link::Down(_) => fence(&zone, &server, &orders).await,
        };
        match result {
            Ok(()) => delay = RECONNECT_DELAY_MIN,
            Err(error) => {
                zone.handle_order_error(&server, &error);
                zone.end_jobs_on_silent_server(&server);
                zone.deps.clock.sleep(delay).await;
                delay = (delay * 2).min(RECONNECT_DELAY_MAX);
            }
        }
    }
}

async fn fence(
    zone: &ZoneScheduler,
    server: &id::BackendServerId,
    orders: &Arc<dyn orders::BackendServer>,
) -> Result<(), orders::OrderError> {
    let request = orders::FenceRequest { epoch: zone.epoch };
    let inventory = orders.fence(&request).await?;
    let last_reply = LastReply {
        incarnation: inventory.incarnation,
        server_now_ms: inventory.server_now_ms,
        received_at: zone.now(),
        last_event: inventory.last_event,
    };
    let orphans = match zone.is_loaded() {
        true => zone.reconcile_inventory(server, &inventory),
        false => Vec::new(),
    };
    zone.update_server(server, |entry| {
        entry.set_up(last_reply);
        entry.is_leaving = inventory.is_leaving;
        entry.has_refused_as_leaving = false;
        entry.silent_since = None;
    });
    stop_orphans(zone, server, orders, orphans).await
}

/// Stops tasks that belong to no current attempt of a job, and lets the server delete them.
async fn stop_orphans(
    zone: &ZoneScheduler,
    server: &id::BackendServerId,
    orders: &Arc<dyn orders::BackendServer>,
    orphans: Vec<backend_task::ListedTask>,
) -> Result<(), orders::OrderError> {
    for orphan in orphans {
        let key = orphan.status.key;
        if !orphan.status.state.is_ended() {
            let request = orders::StopRequest {
                epoch: zone.epoch,
                lease_until_server_ms: zone.lease_until_server_ms(server),
                key: key.clone(),
                with_checkpoint: false,
            };
            orders.stop(&request).await?;
        }
        zone.allow_task_deletion(server, key);
    }
    Ok(())
}

async fn sync_once(
    zone: &ZoneScheduler,
    server: &id::BackendServerId,
    orders: &Arc<dyn orders::BackendServer>,
    last_reply: LastReply,
) -> Result<(), orders::OrderError> {
    let settings = &zone.deps.settings;
    let sync_wait = match zone.is_loaded() {
        true => settings.sync_wait,
        false => settings.sync_wait.min(UNLOADED_SYNC_WAIT),
    };
    let deletable_tasks = zone.deletable_tasks(server);
    let request = sync::SyncRequest {
        epoch: zone.epoch,
        after_event: last_reply.last_event,
        wait_ms: clock::as_ms(sync_wait),
        lease_until_server_ms: last_reply.server_now_ms + clock::as_ms(settings.task_lease),
        unrenewed: zone.unrenewed_tasks(server),
        released: deletable_tasks.clone(),
    };
    let reply = orders.sync(&request).await?;
    if reply.incarnation != last_reply.incarnation {
        zone.update_server(server, |entry| entry.link = Link::Unfenced);
        return Ok(());
    }
    let next = LastReply {
        server_now_ms: reply.server_now_ms,
        received_at: zone.now(),
        last_event: reply.last_event,
        ..last_reply
    };
    zone.update_server(server, |entry| {
        // The link may have been reset while this sync waited, to have the server fenced again.
        match entry.link == Link::Up(last_reply) {
            true => entry.set_up(next),
            // The reply renewed the leases all the same.
            false => entry.last_reply_at = Some(next.received_at),
        }
        entry.is_leaving = reply.is_leaving;
        entry.silent_since = None;
        entry
            .deletable_tasks
            .retain(|key| !deletable_tasks.contains(key));
    });
    for status in &reply.changed {
        zone.update_member_status(server, status);
    }
    Ok(())
}

impl ZoneScheduler {
    /// Returns the order target of `server` if it is fenced and responding.
    pub(crate) fn order_target(&self, server: &id::BackendServerId) -> Result<OrderTarget, String> {
        let lease_until_server_ms = self.lease_until_server_ms(server);
        let servers = self.tables.servers();
        match servers.get(server) {
            Some(entry) if matches!(entry.link, Link::Up(_)) => Ok(OrderTarget {
                orders: Arc::clone(&entry.orders),
                lease_until_server_ms,
            }),
            Some(_) => Err(format!("backend server {server} does not answer")),
            None => Err(format!("backend server {server} is not known")),
        }
    }

    /// Returns the order target of `server` if it is fenced, even if it does not respond at
    /// present.
    ///
    /// Only for orders that a restarted server refuses, such as the start of a task that it had
    /// reserved before the restart.
    pub(crate) fn fenced_order_target(
        &self,
        server: &id::BackendServerId,
    ) -> Result<OrderTarget, String> {
        let lease_until_server_ms = self.lease_until_server_ms(server);
        let servers = self.tables.servers();
        match servers.get(server) {
            Some(entry) if entry.link.last_reply().is_some() => Ok(OrderTarget {
                orders: Arc::clone(&entry.orders),
                lease_until_server_ms,
            }),
            Some(_) => Err(format!("backend server {server} is not taken over")),
            None => Err(format!("backend server {server} is not known")),
        }
    }

    /// Returns the expiry of a task lease granted now, in milliseconds on the clock of `server`.
    ///
    /// Counted from the server's last reply, so that the lease never expires later than this
    /// scheduler assumes. For a server that is unknown or has to be fenced, it is counted from 0
    /// and thus meaningless.
    pub(crate) fn lease_until_server_ms(&self, server: &id::BackendServerId) -> u64 {
        let servers = self.tables.servers();
        let last_reply = servers
            .get(server)
            .and_then(|entry| entry.link.last_reply().copied());
        let server_now_ms = last_reply.map_or(0, |last_reply| last_reply.server_now_ms);
        server_now_ms + clock::as_ms(self.deps.settings.task_lease)
    }

    /// Updates a member with the task status that its backend server reports.
    pub(crate) fn update_member_status(
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
        let Some(tracked) = job.members.get_mut(status.key.rank.0 as usize) else {
            return;
        };
        if tracked.member.server == *server {
            tracked.apply_status(status);
            job.update_phase_from_members();
        }
        let needs_worker = matches!(job.phase, job::Phase::Ending(_));
        drop(jobs);
        if needs_worker {
            self.queue_work(&status.key.request);
        }
    }

    /// Marks a member as holding no resources and having no answer, because its reservation was
    /// refused or its server has lost it.
    pub(crate) fn mark_member_gone(&self, key: &task::TaskKey) {
        let mut jobs = self.tables.jobs();
        let job = jobs.get_mut(&key.request);
        let tracked = job.and_then(|job| job.members.get_mut(key.rank.0 as usize));
        if let Some(tracked) = tracked {
            tracked.state = job::MemberState::Gone;
        }
    }

    /// Handles a refused reservation that shows that a task with this key has ended on the server
    /// or was stopped there before it was reserved.
    ///
    /// A predecessor may have started an idempotent request without a start record while the
    /// platform was unreachable, so such a member counts as possibly started. A request that is not
    /// idempotent can't have run under this attempt number.
    pub(crate) fn mark_possibly_started_before(&self, key: &task::TaskKey) {
        if let Some(job) = self.tables.jobs().get_mut(&key.request) {
            let may_have_started = job.record.spec.idempotent;
            if let Some(tracked) = job.members.get_mut(key.rank.0 as usize) {
                tracked.may_have_started |= may_have_started;
            }
        }
    }

    /// Marks all members of a request as possibly started, before the start orders are sent.
    pub(crate) fn mark_starting(&self, request: &id::RequestId) {
        if let Some(job) = self.tables.jobs().get_mut(request) {
            for tracked in &mut job.members {
                tracked.may_have_started = true;
            }
        }
    }

    /// Updates the tables after a failed order.
    pub(crate) fn handle_order_error(
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
                self.end_epoch();
            }
            orders::OrderError::Refused(orders::OrderRefusal::Leaving) => {
                self.update_server(server, |entry| entry.has_refused_as_leaving = true);
            }
            orders::OrderError::Refused(_) => {}
            orders::OrderError::NotSent { .. } | orders::OrderError::OutcomeUnknown { .. } => {
                let now = self.now();
                self.update_server(server, |entry| {
                    entry.silent_since.get_or_insert(now);
                    if let Link::Up(last_reply) = entry.link {
                        entry.link = Link::Down(last_reply);
                    }
                });
            }
        }
    }

    /// Begins to end running or resuming jobs with an active member on a server that does not
    /// respond: any job once all task leases on the server have expired, a gang of several members
    /// already after the silence limit. Jobs in another phase with such a member are only queued
    /// for a worker.
    fn end_jobs_on_silent_server(&self, server: &id::BackendServerId) {
        let now = self.now();
        let (silent_for, are_leases_expired) = {
            let servers = self.tables.servers();
            let Some(entry) = servers.get(server) else {
                return;
            };
            let silent_since = entry.silent_since.unwrap_or(now);
            (now.since(silent_since), self.all_leases_expired(entry))
        };
        let exceeds_silence_limit = silent_for >= self.deps.settings.member_silence_limit;
        let mut affected = Vec::new();
        for job in self.tables.jobs().values_mut() {
            let has_active_member = job.has_active_member_on(server);
            let is_gang = job.members.len() > 1;
            if has_active_member && (are_leases_expired || (is_gang && exceeds_silence_limit)) {
                job.begin_ending(job::EndReason::MemberLost {
                    detail: format!("backend server {server} does not answer"),
                });
                affected.push(job.record.id.clone());
            }
        }
        for request in affected {
            self.queue_work(&request);
        }
    }

    /// Returns whether every task lease on a server counts as expired.
    pub(crate) fn all_leases_expired(&self, entry: &server::Server) -> bool {
        let lease_time_begins_at = entry.lease_time_begins_at(self.started_at);
        lease_time_begins_at.is_some_and(|begins_at| {
            self.now().since(begins_at) >= self.deps.settings.lease_expired_after()
        })
    }

    /// Returns the tasks on `server` whose leases are not renewed, because their jobs are ending
    /// after the loss of a member.
    fn unrenewed_tasks(&self, server: &id::BackendServerId) -> Vec<task::TaskKey> {
        let jobs = self.tables.jobs();
        let has_lost_member = |job: &&job::Job| {
            let phase = &job.phase;
            matches!(phase, job::Phase::Ending(job::EndReason::MemberLost { .. }))
        };
        jobs.values()
            .filter(has_lost_member)
            .flat_map(|job| job.active_tasks_on(server))
            .collect()
    }

    fn deletable_tasks(&self, server: &id::BackendServerId) -> Vec<task::TaskKey> {
        let servers = self.tables.servers();
        servers
            .get(server)
            .map(|entry| entry.deletable_tasks.clone())
            .unwrap_or_default()
    }

    /// Lets a backend server delete an ended task, with the next sync.
    pub(crate) fn allow_task_deletion(&self, server: &id::BackendServerId, key: task::TaskKey) {
        if let Some(entry) = self.tables.servers().get_mut(server) {
            entry.deletable_tasks.push(key);
        }
    }

    /// Matches the tasks on a backend server with the jobs. A waiting job takes over an unrecorded
    /// attempt that it can continue. Returns the tasks that belong to no current attempt of a job.
    fn reconcile_inventory(
        &self,
        server: &id::BackendServerId,
        inventory: &orders::Inventory,
    ) -> Vec<backend_task::ListedTask> {
        let mut changed = Vec::new();
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
                    Some(job) if job.can_adopt_unrecorded_attempt(listed) => {
                        job.adopt_unrecorded_attempt(listed);
                        policy.adopt(job.to_policy_job(now_ms), listed.members.clone(), now_ms);
                    }
                    _ => orphans.push(listed.clone()),
                }
            }
            for job in jobs.values_mut() {
                if job.apply_inventory(server, &inventory.tasks) {
                    changed.push(job.record.id.clone());
                }
            }
        }
        for request in changed {
            self.queue_work(&request);
        }
        orphans
    }
}
