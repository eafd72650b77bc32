//! EASY backfill: first in, first out, with a reservation for the oldest job. Other jobs may start
//! ahead of it if they end in time by their declared run times, or don't use its block.

use std::collections::VecDeque;

use camphorbeam_model::{id, sheet, task};

use crate::cluster::{Block, Piece};
use crate::first_fit::FirstFitAllocator;
use crate::policy;

/// A baseline policy that relies on declared run times.
#[derive(Debug, Default)]
pub struct FifoBackfill {
    allocator: FirstFitAllocator,
    waiting: VecDeque<policy::Job>,
}

/// The shadow reservation of EASY backfill: where and when the oldest job is expected to start.
struct Shadow {
    starts_at_ms: u64,
    block: Block,
}

impl FifoBackfill {
    pub fn new() -> Self {
        Self::default()
    }

    /// Simulates the end of running jobs, in order of their ends by the declared run times, until
    /// `job` fits.
    fn shadow(&mut self, job: &policy::Job, now_ms: u64) -> Option<Shadow> {
        let mut ends: Vec<(u64, Block)> = self
            .allocator
            .allocations
            .values()
            .map(|allocation| {
                let ends_at_ms = allocation.started_at_ms + allocation.job.declared_run_time_ms;
                (ends_at_ms.max(now_ms), allocation.block.clone())
            })
            .collect();
        ends.sort_by_key(|(ends_at_ms, _)| *ends_at_ms);
        let mut freed = 0;
        let mut shadow = None;
        for (ends_at_ms, block) in &ends {
            self.allocator.mark(block, false);
            freed += 1;
            if let Some(block) = self.allocator.first_fit(job) {
                let starts_at_ms = *ends_at_ms;
                shadow = Some(Shadow {
                    starts_at_ms,
                    block,
                });
                break;
            }
        }
        for (_, block) in &ends[..freed] {
            self.allocator.mark(block, true);
        }
        shadow
    }

    /// Starts jobs in order of arrival until one doesn't fit.
    fn start_in_order(&mut self, now_ms: u64, scope: policy::StartScope) -> Vec<policy::Decision> {
        let mut decisions = Vec::new();
        while let Some(job) = self.waiting.pop_front() {
            if let Some(refusal) = self.allocator.refusal(&job) {
                decisions.push(refusal);
                continue;
            }
            let block = is_in_scope(&job, scope)
                .then(|| self.allocator.first_fit(&job))
                .flatten();
            let Some(block) = block else {
                self.waiting.push_front(job);
                break;
            };
            decisions.push(self.allocator.start(job, &block, false, now_ms));
        }
        decisions
    }

    /// Starts jobs behind the oldest one that don't delay it.
    fn backfill(&mut self, now_ms: u64, scope: policy::StartScope) -> Vec<policy::Decision> {
        let mut decisions = Vec::new();
        let Some(oldest) = self.waiting.front().cloned() else {
            return decisions;
        };
        // Without one, no start can delay the oldest job: the start scope or the health of servers
        // keeps it from starting, whatever else runs.
        let shadow = is_in_scope(&oldest, scope)
            .then(|| self.shadow(&oldest, now_ms))
            .flatten();
        let mut smallest_unplaced = u32::MAX;
        let mut left = VecDeque::new();
        left.extend(self.waiting.pop_front());
        for job in std::mem::take(&mut self.waiting) {
            let is_ruled_out = job.accelerators >= smallest_unplaced || !is_in_scope(&job, scope);
            let block = (!is_ruled_out)
                .then(|| self.allocator.first_fit(&job))
                .flatten();
            // Idempotent jobs may also use suspect servers, so if one doesn't fit, jobs of its size
            // or larger are not tried.
            if block.is_none() && job.accelerators > 0 && !is_ruled_out && job.idempotent {
                smallest_unplaced = smallest_unplaced.min(job.accelerators);
            }
            let is_harmless = |block: &Block| {
                shadow.as_ref().is_none_or(|shadow| {
                    let ends_in_time = now_ms + job.declared_run_time_ms <= shadow.starts_at_ms;
                    ends_in_time || !overlaps(block, &shadow.block)
                })
            };
            match block {
                Some(block) if is_harmless(&block) => {
                    decisions.push(self.allocator.start(job, &block, false, now_ms));
                }
                _ => left.push_back(job),
            }
        }
        self.waiting = left;
        decisions
    }
}

fn is_in_scope(job: &policy::Job, scope: policy::StartScope) -> bool {
    scope == policy::StartScope::Any || job.is_preemptible()
}

fn overlaps(one: &[Piece], other: &[Piece]) -> bool {
    one.iter().any(|a| {
        other
            .iter()
            .any(|b| a.server == b.server && a.mask & b.mask != 0)
    })
}

impl policy::Policy for FifoBackfill {
    fn set_sheet(&mut self, _zone: &id::ZoneName, _sheet: &sheet::Sheet) {}

    fn set_server(&mut self, server: policy::Server) {
        self.allocator.set_server(server);
    }

    fn remove_server(&mut self, server: &id::BackendServerId) {
        self.allocator.remove_server(server);
    }

    fn submit(&mut self, job: policy::Job) {
        self.waiting.push_back(job);
    }

    fn withdraw(&mut self, request: &id::RequestId) {
        self.waiting.retain(|job| job.id != *request);
    }

    fn adopt(&mut self, job: policy::Job, members: Vec<task::Member>, now_ms: u64) {
        self.withdraw(&job.id);
        self.allocator.adopt(job, members, now_ms);
    }

    fn record_end(&mut self, request: &id::RequestId, _cause: policy::EndCause, _now_ms: u64) {
        self.allocator.end(request);
    }

    fn decide(&mut self, now_ms: u64, scope: policy::StartScope) -> Vec<policy::Decision> {
        let mut decisions = self.start_in_order(now_ms, scope);
        decisions.extend(self.backfill(now_ms, scope));
        decisions
    }

    fn explain(&self, request: &id::RequestId) -> Option<String> {
        let position = self.waiting.iter().position(|job| job.id == *request)?;
        Some(format!("waits behind {position} older requests"))
    }

    fn unmet_guarantees(&self) -> Vec<String> {
        Vec::new()
    }
}
