//! Queue of waiting jobs, grouped into classes that placement treats alike.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;

use crate::policy;

/// Properties that placement considers, apart from the arrival time. Jobs that share all of them
/// are interchangeable for placement.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EquivalenceClass {
    pub client_account: id::ClientAccountName,
    pub kind: id::KindName,
    /// Number of adjacent accelerators.
    pub accelerators: u32,
    /// Whether the jobs may run more than once.
    pub idempotent: bool,
    /// Whether the jobs can be checkpointed and resumed.
    pub checkpointable: bool,
    /// Backend servers on which the jobs have failed.
    pub avoided_servers: BTreeSet<id::BackendServerId>,
}

impl EquivalenceClass {
    pub fn of(job: &policy::Job) -> Self {
        Self {
            client_account: job.client_account.clone(),
            kind: job.kind.clone(),
            accelerators: job.accelerators,
            idempotent: job.idempotent,
            checkpointable: job.checkpointable,
            avoided_servers: job.avoided_servers.clone(),
        }
    }
}

/// Sort key within a class: arrival time, then order of submission.
pub type QueueKey = (u64, u64);

/// Waiting jobs by class, oldest first.
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<EquivalenceClass, BTreeMap<QueueKey, policy::Job>>,
    keys: BTreeMap<id::RequestId, (EquivalenceClass, QueueKey)>,
    next_number: u64,
}

impl Queue {
    /// Queues a job. A job that is queued already keeps its position.
    pub fn push(&mut self, job: policy::Job) {
        if self.keys.contains_key(&job.id) {
            return;
        }
        let key = (job.arrived_at_ms, self.next_number);
        self.next_number += 1;
        let class = EquivalenceClass::of(&job);
        self.keys.insert(job.id.clone(), (class.clone(), key));
        self.classes.entry(class).or_default().insert(key, job);
    }

    pub fn remove(&mut self, request: &id::RequestId) -> Option<policy::Job> {
        let (class, key) = self.keys.remove(request)?;
        let jobs = self.classes.get_mut(&class)?;
        let job = jobs.remove(&key);
        if jobs.is_empty() {
            self.classes.remove(&class);
        }
        job
    }

    pub fn get(&self, request: &id::RequestId) -> Option<&policy::Job> {
        let (class, key) = self.keys.get(request)?;
        self.classes.get(class)?.get(key)
    }

    /// The oldest job of each class.
    pub fn heads(&self) -> impl Iterator<Item = &policy::Job> {
        self.classes
            .values()
            .filter_map(|jobs| jobs.values().next())
    }

    /// The oldest job of one class.
    pub fn head(&self, class: &EquivalenceClass) -> Option<&policy::Job> {
        self.classes.get(class)?.values().next()
    }

    /// All waiting jobs, class by class.
    pub fn jobs(&self) -> impl Iterator<Item = &policy::Job> {
        self.classes.values().flat_map(BTreeMap::values)
    }

    pub fn count(&self) -> usize {
        self.keys.len()
    }
}
