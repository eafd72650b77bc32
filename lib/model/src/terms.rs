//! The operators' terms: queues, services and client accounts, under one version.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{id, job};

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: id::QueueName,
    /// The host name under which callers reach it.
    pub host: Arc<str>,
    /// What the paths of its jobs begin with.
    pub path_prefix: Arc<str>,
    /// Whether calls need no key.
    pub is_public: bool,
    /// How long a call may take.
    pub call_timeout_ms: u64,
    /// Whether only some backend servers may run a step, as a service outside decides.
    pub has_placement_advice: bool,
    /// What holds for its jobs.
    pub job_terms: job::JobTerms,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub name: id::ClientAccountName,
    /// Accelerators that its jobs of priority 0 can have at all times.
    pub guaranteed_accelerators: u64,
}

/// All that is in force.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// The version; only rises.
    pub version: id::TermsVersion,
    /// The queues, in no order.
    pub queues: Vec<Queue>,
    /// Whether the backend servers of a service refuse what is over their capacity.
    pub enforces_capacity: BTreeMap<id::ServiceName, bool>,
    /// The client accounts, by name.
    pub accounts: BTreeMap<id::ClientAccountName, Account>,
    /// Whose key is whose.
    pub api_keys: BTreeMap<Arc<str>, id::ClientAccountName>,
    /// Largest body of a call, in bytes.
    pub body_max_bytes: u64,
}

impl Terms {
    /// The queue that a call to `path` at `host` goes to: the longest prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| &*queue.host == host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// The queue with this name.
    pub fn queue(&self, name: &id::QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| &queue.name == name)
    }

    /// Accelerators guaranteed to `account`.
    pub fn guaranteed(&self, account: &id::ClientAccountName) -> u64 {
        self.accounts
            .get(account)
            .map_or(0, |account| account.guaranteed_accelerators)
    }
}
