//! Waiting jobs, in classes of jobs that are alike to placement.

use std::collections::{BTreeMap, BTreeSet};

use camphorbeam_model::id;

use crate::policy;

/// What jobs of one class have in common.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EquivalenceClass {
    /// Who pays.
    pub client_account: id::ClientAccountName,
    /// The kind of work.
    pub kind: id::KindName,
    /// Adjacent accelerators.
    pub accelerators: u32,
    /// Whether they may run twice.
    pub idempotent: bool,
    /// Whether they can be checkpointed.
    pub checkpointable: bool,
    /// Backend servers on which they have failed.
    pub avoided_servers: BTreeSet<id::BackendServerId>,
}

impl EquivalenceClass {
    /// The class of a job.
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

/// Order within a class: arrival, then the order of submission.
pub type QueueKey = (u64, u64);

/// Waiting jobs by class, the oldest first.
#[derive(Debug, Default)]
pub struct Queue {
    classes: BTreeMap<EquivalenceClass, BTreeMap<QueueKey, policy::Job>>,
    keys: BTreeMap<id::RequestId, (EquivalenceClass, QueueKey)>,
    next_number: u64,
}

impl Queue {
    /// Adds a job; one that waits already stays where it is.
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

    /// Takes a job out.
    pub fn remove(&mut self, request: &id::RequestId) -> Option<policy::Job> {
        let (class, key) = self.keys.remove(request)?;
        let jobs = self.classes.get_mut(&class)?;
        let job = jobs.remove(&key);
        if jobs.is_empty() {
            self.classes.remove(&class);
        }
        job
    }

    /// A waiting job.
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

    /// The oldest job of `class`.
    pub fn head(&self, class: &EquivalenceClass) -> Option<&policy::Job> {
        self.classes.get(class)?.values().next()
    }

    /// All waiting jobs.
    pub fn jobs(&self) -> impl Iterator<Item = &policy::Job> {
        self.classes.values().flat_map(BTreeMap::values)
    }

    /// How many jobs wait.
    pub fn count(&self) -> usize {
        self.keys.len()
    }
}
