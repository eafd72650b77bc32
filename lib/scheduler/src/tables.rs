//! The in-memory tables that the async tasks of a zone's scheduler share.
//!
//! Lock order: `policy`, then `jobs`, then `servers`. Code that needs several locks acquires them
//! in this order and holds none of them across an await.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use camphorbeam_model::id;
use camphorbeam_placement::policy;

use crate::{job, server};

/// The policy, the jobs and the backend servers, each behind its own lock.
pub struct Tables {
    policy: Mutex<Box<dyn policy::Policy>>,
    jobs: Mutex<BTreeMap<id::RequestId, job::Job>>,
    servers: Mutex<BTreeMap<id::BackendServerId, server::Server>>,
}

impl Tables {
    /// Returns tables with the given policy and no jobs or servers.
    pub fn new(policy: Box<dyn policy::Policy>) -> Self {
        Self {
            policy: Mutex::new(policy),
            jobs: Mutex::new(BTreeMap::new()),
            servers: Mutex::new(BTreeMap::new()),
        }
    }

    /// Locks the policy; first in the lock order.
    pub fn policy(&self) -> MutexGuard<'_, Box<dyn policy::Policy>> {
        self.policy.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the jobs; second in the lock order.
    pub fn jobs(&self) -> MutexGuard<'_, BTreeMap<id::RequestId, job::Job>> {
        self.jobs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the backend servers; last in the lock order.
    pub fn servers(&self) -> MutexGuard<'_, BTreeMap<id::BackendServerId, server::Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
