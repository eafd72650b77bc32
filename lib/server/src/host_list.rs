//! Polls the platform's host list, which lags behind the actual hosts.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::cluster;
use camphorbeam_platform::hosts;

/// Interval between two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Caches the host list as last read.
#[derive(Debug, Default)]
pub struct HostListCache {
    current: Mutex<Arc<cluster::HostList>>,
}

impl HostListCache {
    /// Returns the list as last read. Before the first read it is empty and has version zero.
    pub fn current(&self) -> Arc<cluster::HostList> {
        Arc::clone(&self.current.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn set(&self, list: cluster::HostList) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = Arc::new(list);
    }
}

/// Polls the list forever and calls `on_change` with each new version that it reads. A failed poll
/// leaves the cached list unchanged.
pub async fn follow<F>(
    source: Arc<dyn hosts::Hosts>,
    clock: clock::Clock,
    cache: Arc<HostListCache>,
    on_change: F,
) where
    F: Fn(&cluster::HostList),
{
    loop {
        let known_version = cache.current().version;
        if let Ok(Some(list)) = source.list(known_version).await {
            if list.version > known_version {
                cache.set(list);
                on_change(&cache.current());
            }
        }
        clock.sleep(POLL_INTERVAL).await;
    }
}
