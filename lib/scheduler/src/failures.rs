//! Decides whether failed tasks are the fault of their backend server or of their request.

use std::collections::BTreeMap;

use camphorbeam_backend::task as backend_task;
use camphorbeam_model::id;
use camphorbeam_placement::policy;

use crate::job::{self, MemberState};
use crate::server;
use crate::zone::ZoneScheduler;

/// Number of servers on which a request has to fail before the request itself is considered faulty.
const REQUEST_FAULT_SERVERS_MIN: usize = 2;

/// Updates the failure history of each server of a job, so that servers on which every request
/// fails are found.
///
/// A request that has failed on at least [`REQUEST_FAULT_SERVERS_MIN`] servers, also within one
/// attempt, is considered faulty itself, and its failures no longer count against any server.
/// Otherwise, each member that finished clears the history of its server.
pub(crate) fn count_server_results(zone: &ZoneScheduler, job: &job::Job) {
    if add_failed_servers(zone, job) >= REQUEST_FAULT_SERVERS_MIN {
        clear_request_failures(zone, &job.record.id);
        return;
    }
    for tracked in &job.members {
        let request = &job.record.id;
        let is_failed = is_failure(tracked);
        let is_finished = tracked.is_finished();
        zone.update_server(&tracked.member.server, |entry| match () {
            () if is_failed => {
                entry.failed_requests.insert(request.clone());
            }
            () if is_finished => entry.failed_requests.clear(),
            () => {}
        });
    }
}

/// Adds the servers on which this attempt failed to those of earlier attempts, and returns how many
/// there are now. Returns 0 if this attempt did not fail.
fn add_failed_servers(zone: &ZoneScheduler, job: &job::Job) -> usize {
    let failed = job.members.iter().filter(|tracked| is_failure(tracked));
    let servers: Vec<id::BackendServerId> = failed
        .map(|tracked| tracked.member.server.clone())
        .collect();
    if servers.is_empty() {
        return 0;
    }
    let mut jobs = zone.tables.jobs();
    match jobs.get_mut(&job.record.id) {
        Some(job) => {
            job.failed_servers.extend(servers);
            job.failed_servers.len()
        }
        None => 0,
    }
}

fn clear_request_failures(zone: &ZoneScheduler, request: &id::RequestId) {
    let servers: Vec<id::BackendServerId> = zone.tables.servers().keys().cloned().collect();
    for server in servers {
        zone.update_server(&server, |entry| {
            entry.failed_requests.remove(request);
        });
    }
}

pub(crate) fn is_failure(tracked: &job::TrackedMember) -> bool {
    failure_reason(tracked).is_some()
}

pub(crate) fn failure_reason(tracked: &job::TrackedMember) -> Option<&str> {
    match &tracked.state {
        MemberState::Ended(backend_task::TaskState::Failed { reason }) => Some(reason),
        _ => None,
    }
}

/// Allows a request to run on servers where it has failed before, if no rack has enough
/// accelerators without them.
///
/// Otherwise the request would wait forever, and never reach its last attempt.
pub(crate) fn allow_failed_servers_if_needed(zone: &ZoneScheduler, request: &id::RequestId) {
    let mut jobs = zone.tables.jobs();
    let servers = zone.tables.servers();
    if let Some(job) = jobs.get_mut(request) {
        job.may_reuse_failed_servers |= needs_failed_servers(zone, job, &servers);
    }
}

/// Like [`allow_failed_servers_if_needed`], for all waiting requests: the other servers may have
/// been closed since the request was queued.
pub(crate) fn allow_failed_servers_to_waiting(zone: &ZoneScheduler) {
    let mut policy = zone.tables.policy();
    let mut jobs = zone.tables.jobs();
    let servers = zone.tables.servers();
    let avoids_servers = |job: &&mut job::Job| {
        let is_waiting = job.phase == job::Phase::Waiting;
        is_waiting && !job.may_reuse_failed_servers && !job.failed_servers.is_empty()
    };
    for job in jobs.values_mut().filter(avoids_servers) {
        if needs_failed_servers(zone, job, &servers) {
            job.may_reuse_failed_servers = true;
            policy.withdraw(&job.record.id);
            policy.submit(job.to_policy_job(zone.arrived_at_ms(&job.record)));
        }
    }
}

/// Whether no rack has enough accelerators for a request without the servers where it has failed. A
/// server that has just stopped responding counts as if it responded.
fn needs_failed_servers(
    zone: &ZoneScheduler,
    job: &job::Job,
    servers: &BTreeMap<id::BackendServerId, server::Server>,
) -> bool {
    let mut capacity_by_rack: BTreeMap<&id::RackName, u32> = BTreeMap::new();
    for entry in servers.values() {
        let is_allowed = !job.failed_servers.contains(&entry.info.id);
        let silence_limit = zone.deps.settings.member_silence_limit;
        let is_silent_briefly = entry
            .silent_since
            .is_some_and(|since| zone.now().since(since) < silence_limit);
        if is_allowed && (entry.health() != policy::Health::Closed || is_silent_briefly) {
            *capacity_by_rack.entry(&entry.info.rack).or_default() += entry.info.accelerators;
        }
    }
    let requested = job.record.spec.accelerators;
    !capacity_by_rack.values().any(|total| *total >= requested)
}
