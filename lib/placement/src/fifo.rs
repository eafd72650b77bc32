//! First in, first out without backfill: while the oldest job can't start, all others wait.

use std::collections::VecDeque;

use camphorbeam_model::{id, sheet, task};

use crate::first_fit::FirstFitAllocator;
use crate::policy;

/// The simplest baseline policy.
#[derive(Debug, Default)]
pub struct Fifo {
    allocator: FirstFitAllocator,
    waiting: VecDeque<policy::Job>,
}

impl Fifo {
    pub fn new() -> Self {
        Self::default()
    }
}

impl policy::Policy for Fifo {
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
        let mut decisions = Vec::new();
        while let Some(job) = self.waiting.pop_front() {
            if let Some(refusal) = self.allocator.refusal(&job) {
                decisions.push(refusal);
                continue;
            }
            let is_in_scope = scope == policy::StartScope::Any || job.is_preemptible();
            let block = is_in_scope
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

    fn explain(&self, request: &id::RequestId) -> Option<String> {
        let position = self.waiting.iter().position(|job| job.id == *request)?;
        Some(format!("waits behind {position} other requests"))
    }

    fn unmet_guarantees(&self) -> Vec<String> {
        Vec::new()
    }
}
