//! Maintains the zone's set of backend servers: which are listed or drained, and what runs on them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::Ordering;

use async_std::task;
use camphorbeam_model::{cluster, id};

use crate::zone::{lock, ZoneScheduler};
use crate::{job, server, server_sync};

impl ZoneScheduler {
    /// Drains a backend server or puts it back into service. Returns the requests with a member on
    /// it that may still hold resources.
    pub fn set_drained(
        &self,
        server: &id::BackendServerId,
        is_drained: bool,
    ) -> Vec<id::RequestId> {
        match is_drained {
            true => lock(&self.drained).insert(server.clone()),
            false => lock(&self.drained).remove(server),
        };
        self.update_server(server, |entry| {
            entry.is_drained = is_drained;
            if !is_drained {
                // By putting the server back into service, an operator declares it healthy, so its
                // failure history is cleared.
                entry.failed_requests.clear();
            }
        });
        self.requests_on(server)
    }

    /// Returns the requests with a member on a backend server that may still hold resources.
    pub fn requests_on(&self, server: &id::BackendServerId) -> Vec<id::RequestId> {
        let jobs = self.tables.jobs();
        let is_active_here = |tracked: &job::TrackedMember| {
            tracked.member.server == *server && !tracked.is_inactive()
        };
        jobs.values()
            .filter(|job| job.members.iter().any(is_active_here))
            .map(|job| job.record.id.clone())
            .collect()
    }

    /// Applies the platform's host list: updates the known backend servers, starts a sync loop for
    /// each new one, and removes those that are no longer listed.
    pub fn apply_hosts(&self, hosts: &cluster::HostList) {
        self.applied_hosts_version
            .store(hosts.version, Ordering::Release);
        let zone_name = &self.deps.settings.zone;
        let listed: BTreeMap<&id::BackendServerId, &cluster::BackendServerInfo> = hosts
            .backend_servers
            .iter()
            .filter(|info| info.zone == *zone_name)
            .map(|info| (&info.id, info))
            .collect();
        for (id, info) in &listed {
            match self.has_server(id) {
                true => self.update_server(id, |entry| {
                    if entry.info.address != info.address {
                        entry.orders = self.deps.connector.connect(info.address);
                        entry.link = server::Link::Unfenced;
                    }
                    entry.info = (*info).clone();
                    entry.is_listed = true;
                }),
                false => self.add_server((*info).clone()),
            }
        }
        self.remove_unlisted_servers(&listed);
        self.wake_decisions();
    }

    /// Returns the version of the host list that was applied last.
    pub fn applied_hosts_version(&self) -> u64 {
        self.applied_hosts_version.load(Ordering::Acquire)
    }

    fn has_server(&self, server: &id::BackendServerId) -> bool {
        self.tables.servers().contains_key(server)
    }

    /// Adds a server to the table and the policy, and starts its sync loop.
    fn add_server(&self, info: cluster::BackendServerInfo) {
        let id = info.id.clone();
        let is_drained = lock(&self.drained).contains(&id);
        let server = server::Server {
            orders: self.deps.connector.connect(info.address),
            info,
            link: server::Link::Unfenced,
            last_reply_at: None,
            is_drained,
            is_leaving: false,
            has_refused_as_leaving: false,
            is_listed: true,
            silent_since: None,
            deletable_tasks: Vec::new(),
            failed_requests: BTreeSet::new(),
        };
        let mut policy = self.tables.policy();
        policy.set_server(server.to_policy_server());
        self.tables.servers().insert(id.clone(), server);
        drop(policy);
        if let Some(zone) = self.weak_self.upgrade() {
            task::spawn(server_sync::run(zone, id));
        }
    }

    /// Removes servers that are no longer listed. One that may still run a request stays, closed to
    /// new work.
    fn remove_unlisted_servers(
        &self,
        listed: &BTreeMap<&id::BackendServerId, &cluster::BackendServerInfo>,
    ) {
        let unlisted: Vec<id::BackendServerId> = {
            let servers = self.tables.servers();
            let keys = servers.keys().filter(|id| !listed.contains_key(id));
            keys.cloned().collect()
        };
        for id in unlisted {
            if self.requests_on(&id).is_empty() {
                self.tables.policy().remove_server(&id);
                self.tables.servers().remove(&id);
            } else {
                self.update_server(&id, |entry| {
                    entry.info.phase = cluster::HostPhase::Leaving;
                    entry.is_listed = false;
                });
            }
        }
    }

    /// Updates the entry of a server and, if placement is affected, the policy.
    pub(crate) fn update_server(
        &self,
        server: &id::BackendServerId,
        change: impl FnOnce(&mut server::Server),
    ) {
        let mut policy = self.tables.policy();
        let mut servers = self.tables.servers();
        let Some(entry) = servers.get_mut(server) else {
            return;
        };
        let before = entry.to_policy_server();
        change(entry);
        let after = entry.to_policy_server();
        if before != after {
            policy.set_server(after);
            drop((policy, servers));
            self.wake_decisions();
        }
    }
}
