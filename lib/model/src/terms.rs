//! The operators' terms, which are the versioned configuration of queues, services and client
//! accounts.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::{id, job};

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    pub name: id::QueueName,
    /// HTTP host name on which the queue accepts calls.
    pub host: Arc<str>,
    /// Prefix of the paths on which the queue accepts calls.
    pub path_prefix: Arc<str>,
    /// Whether calls need no API key.
    pub is_public: bool,
    /// Time limit for a call, in milliseconds.
    pub call_timeout_ms: u64,
    /// Settings that apply to the jobs of the queue.
    pub job_settings: job::QueueJobSettings,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    pub name: id::ClientAccountName,
    /// Number of accelerators that the account's jobs of priority 0 can use at any time.
    pub guaranteed_accelerators: u64,
}

/// A part of the operators' text that can't be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// Where it is in the text. Names no API key.
    pub path: String,
    /// What is wrong with it. Quotes no value, since that may be an API key.
    pub reason: String,
    /// What is in force in its place.
    pub effect: &'static str,
}

/// Calls for which the operators' text has a queue that can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableQueue {
    /// HTTP host name; `None` if it can't be read, so that it may be any.
    pub host: Option<Arc<str>>,
    /// Prefix of the paths; `None` if it can't be read, so that it may be any.
    pub path_prefix: Option<Arc<str>>,
}

/// The queue that a call is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Route<'a> {
    /// The terms have this queue for it.
    Queue(&'a Queue),
    /// The operators have written a queue for it, or may have, that can't be read.
    Unreadable,
    /// There is none.
    Unknown,
}

/// The operators' terms that are in force.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    /// Never decreases.
    pub version: id::TermsVersion,
    /// The queues, in no particular order.
    pub queues: Vec<Queue>,
    /// Whether the backend servers of a service refuse tasks that exceed their capacity.
    pub enforces_capacity: BTreeMap<id::ServiceName, bool>,
    pub accounts: BTreeMap<id::ClientAccountName, Account>,
    /// The client account that each API key belongs to.
    pub api_keys: BTreeMap<Arc<str>, id::ClientAccountName>,
    /// Maximum length of the body of a call, in bytes.
    pub body_max_bytes: u64,
    /// What of the operators' text can't be used. The rest is in force.
    pub unreadable: Vec<UnreadableEntry>,
    /// Queues among them.
    pub unreadable_queues: Vec<UnreadableQueue>,
}

impl Terms {
    /// Returns the queue for a call to `path` on `host`; the longest matching prefix wins.
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| &*queue.host == host && path.starts_with(&*queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }

    /// Returns the queue for a call to `path` on `host`, taking those into account that can't be
    /// read. One of which it isn't known what it matches may be for any call that has no other.
    pub fn find_route(&self, host: &str, path: &str) -> Route<'_> {
        let queue = self.route(host, path);
        let has_host = |queue: &&UnreadableQueue| {
            let known = queue.host.as_ref();
            known.is_none_or(|known| &**known == host)
        };
        let unreadable = self.unreadable_queues.iter().filter(has_host);
        let prefix_bytes = unreadable
            .filter(|queue| {
                let prefix = queue.path_prefix.as_ref();
                prefix.is_none_or(|prefix| path.starts_with(&**prefix))
            })
            .map(|queue| match (&queue.host, &queue.path_prefix) {
                (Some(_), Some(prefix)) => prefix.len(),
                _ => 0,
            })
            .max();
        match (queue, prefix_bytes) {
            (Some(queue), Some(bytes)) if bytes > queue.path_prefix.len() => Route::Unreadable,
            (Some(queue), _) => Route::Queue(queue),
            (None, Some(_)) => Route::Unreadable,
            (None, None) => Route::Unknown,
        }
    }

    pub fn queue(&self, name: &id::QueueName) -> Option<&Queue> {
        self.queues.iter().find(|queue| &queue.name == name)
    }

    /// Returns the number of accelerators guaranteed to `account`; 0 for an unknown account.
    pub fn guaranteed(&self, account: &id::ClientAccountName) -> u64 {
        self.accounts
            .get(account)
            .map_or(0, |account| account.guaranteed_accelerators)
    }
}
