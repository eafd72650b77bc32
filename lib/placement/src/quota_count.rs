//! A baseline policy that guarantees numbers of accelerators instead of shapes.
//!
//! Jobs within the quota of their account go first and preempt borrowers while too few accelerators
//! are free. Whether the free accelerators are adjacent is not considered for a preemption.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::{id, sheet, task};

use crate::first_fit::{Allocation, FirstFitAllocator};
use crate::policy;

/// A baseline policy that treats guarantees as quotas, which count accelerators.
#[derive(Debug, Default)]
pub struct QuotaCount {
    allocator: FirstFitAllocator,
    waiting: Vec<policy::Job>,
    quotas: BTreeMap<id::ClientAccountName, u32>,
    /// Accelerators charged to the quota, by account.
    quota_used: BTreeMap<id::ClientAccountName, u32>,
    /// Running jobs that are charged to the quota of their account.
    within_quota: BTreeSet<id::RequestId>,
    /// Running jobs beyond the quota of their account that can be preempted.
    borrowing: BTreeSet<id::RequestId>,
}

impl QuotaCount {
    pub fn new() -> Self {
        Self::default()
    }

    fn quota_left(&self, account: &id::ClientAccountName) -> u32 {
        let quota = self.quotas.get(account).copied().unwrap_or(0);
        quota.saturating_sub(self.quota_used.get(account).copied().unwrap_or(0))
    }

    fn is_within_quota(&self, job: &policy::Job) -> bool {
        job.accelerators <= self.quota_left(&job.client_account)
    }

    fn free(&self) -> u32 {
        let servers = self.allocator.cluster.servers.iter();
        let usable = servers.filter(|state| state.is_usable());
        usable.map(|state| state.free().count_ones()).sum()
    }

    fn borrowers(&self) -> impl Iterator<Item = &Allocation> {
        let requests = self.borrowing.iter();
        requests.filter_map(|request| self.allocator.allocations.get(request))
    }

    /// Whether all quotas could still be met, by number of accelerators, after `job` has started.
    /// Only checked for jobs that can't be preempted.
    fn keeps_quotas_available(&self, job: &policy::Job) -> bool {
        let borrowed: u32 = self
            .borrowers()
            .map(|allocation| allocation.job.accelerators)
            .sum();
        let unused_quota: u32 = self
            .quotas
            .keys()
            .map(|account| self.quota_left(account))
            .sum();
        self.free() + borrowed >= unused_quota + job.accelerators
    }

    fn start(&mut self, job: &policy::Job, now_ms: u64) -> Option<policy::Decision> {
        let is_within = self.is_within_quota(job);
        let is_allowed = is_within || job.is_preemptible() || self.keeps_quotas_available(job);
        let block = is_allowed
            .then(|| self.allocator.first_fit(job))
            .flatten()?;
        let is_borrowing = !is_within && job.is_preemptible();
        match is_borrowing {
            true => {
                self.borrowing.insert(job.id.clone());
            }
            false if is_within => {
                let used = self
                    .quota_used
                    .entry(job.client_account.clone())
                    .or_insert(0);
                *used += job.accelerators;
                self.within_quota.insert(job.id.clone());
            }
            false => {}
        }
        Some(
            self.allocator
                .start(job.clone(), &block, is_borrowing, now_ms),
        )
    }

    /// Preempts the most recently started borrowers until enough accelerators are free for `job`.
    fn preempt_for(&mut self, job: &policy::Job) -> Vec<policy::Decision> {
        let stopping: u32 = self
            .borrowers()
            .filter(|allocation| allocation.is_stopping)
            .map(|allocation| allocation.job.accelerators)
            .sum();
        let mut free = self.free() + stopping;
        let mut borrowers: Vec<(u64, id::RequestId, u32)> = self
            .borrowers()
            .filter(|allocation| !allocation.is_stopping)
            .map(|allocation| {
                let started_at_ms = allocation.started_at_ms;
                (
                    started_at_ms,
                    allocation.job.id.clone(),
                    allocation.job.accelerators,
                )
            })
            .collect();
        borrowers.sort();
        let mut decisions = Vec::new();
        while free < job.accelerators {
            let Some((_, request, accelerators)) = borrowers.pop() else {
                break;
            };
            free += accelerators;
            if let Some(allocation) = self.allocator.allocations.get_mut(&request) {
                allocation.is_stopping = true;
            }
            decisions.push(policy::Decision::Preempt {
                request,
                reason: format!("client account {} claims its quota", job.client_account),
            });
        }
        decisions
    }
}

impl policy::Policy for QuotaCount {
    fn set_sheet(&mut self, zone: &id::ZoneName, sheet: &sheet::Sheet) {
        self.quotas.clear();
        for (account, guarantee) in sheet.guarantees_in(zone) {
            let quota = self.quotas.entry(account.clone()).or_insert(0);
            *quota += guarantee.count * guarantee.accelerators;
        }
    }

    fn set_server(&mut self, server: policy::Server) {
        self.allocator.set_server(server);
    }

    fn remove_server(&mut self, server: &id::BackendServerId) {
        self.allocator.remove_server(server);
    }

    fn submit(&mut self, job: policy::Job) {
        self.waiting.push(job);
    }

    fn withdraw(&mut self, request: &id::RequestId) {
        self.waiting.retain(|job| job.id != *request);
    }

    fn adopt(&mut self, job: policy::Job, members: Vec<task::Member>, now_ms: u64) {
        self.withdraw(&job.id);
        self.allocator.adopt(job, members, now_ms);
    }

    fn record_end(&mut self, request: &id::RequestId, _cause: policy::EndCause, _now_ms: u64) {
        let Some(allocation) = self.allocator.end(request) else {
            return;
        };
        self.borrowing.remove(request);
        if self.within_quota.remove(request) {
            let used = self
                .quota_used
                .entry(allocation.job.client_account)
                .or_insert(0);
            *used = used.saturating_sub(allocation.job.accelerators);
        }
    }

    fn decide(&mut self, now_ms: u64, scope: policy::StartScope) -> Vec<policy::Decision> {
        let mut decisions = Vec::new();
        let mut left = Vec::new();
        let waiting = std::mem::take(&mut self.waiting);
        let (within, beyond): (Vec<_>, Vec<_>) = waiting
            .into_iter()
            .partition(|job| self.is_within_quota(job));
        let mut smallest_unplaced = u32::MAX;
        for job in within.into_iter().chain(beyond) {
            if let Some(refusal) = self.allocator.refusal(&job) {
                decisions.push(refusal);
                continue;
            }
            let is_in_scope = scope == policy::StartScope::Any || job.is_preemptible();
            let is_ruled_out = !is_in_scope || job.accelerators >= smallest_unplaced;
            match (!is_ruled_out).then(|| self.start(&job, now_ms)).flatten() {
                Some(start) => {
                    decisions.push(start);
                    continue;
                }
                None if is_in_scope && self.is_within_quota(&job) => {
                    decisions.extend(self.preempt_for(&job));
                }
                // Idempotent jobs may also use suspect servers, so if one doesn't fit, jobs of its
                // size or larger are not tried.
                None if job.idempotent && !is_ruled_out && job.accelerators > 0 => {
                    smallest_unplaced = smallest_unplaced.min(job.accelerators);
                }
                None => {}
            }
            left.push(job);
        }
        // The partition above put jobs within the quota first; restores the order of arrival.
        left.sort_by_key(|job| job.arrived_at_ms);
        self.waiting = left;
        decisions
    }

    fn explain(&self, request: &id::RequestId) -> Option<String> {
        let job = self.waiting.iter().find(|job| job.id == *request)?;
        Some(match self.is_within_quota(job) {
            true => "waits within the quota of its client account".to_owned(),
            false => "waits beyond the quota of its client account".to_owned(),
        })
    }

    fn unmet_guarantees(&self) -> Vec<String> {
        Vec::new()
    }
}
