//! Counts the calls of callers and operators in progress and their background work, so that a
//! shutdown can wait for them. Calls of other entry hosts aren't counted.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;

/// Poll interval while waiting for the calls in progress.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Whether a shutdown was requested or has begun, and how many calls are in progress.
#[derive(Clone, Debug)]
pub struct Shutdown {
    clock: clock::Clock,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    is_requested: AtomicBool,
    has_begun: AtomicBool,
    call_count: AtomicUsize,
}

/// Counts as one call in progress until it is dropped.
#[derive(Debug)]
pub struct CallGuard {
    shared: Arc<Shared>,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.shared.call_count.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Shutdown {
    /// Returns the state of a process that is not shutting down.
    pub fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            shared: Arc::new(Shared::default()),
        }
    }

    /// Requests a shutdown. The process polls for the request and then calls [`Self::begin`].
    pub fn request(&self) {
        self.shared.is_requested.store(true, Ordering::Release);
    }

    /// Returns whether a shutdown was requested.
    pub fn is_requested(&self) -> bool {
        self.shared.is_requested.load(Ordering::Acquire)
    }

    /// Begins the shutdown: from now on no new call is started.
    pub fn begin(&self) {
        self.shared.has_begun.store(true, Ordering::Release);
    }

    /// Counts a new call. Returns `None` once the shutdown has begun.
    pub fn start_call(&self) -> Option<CallGuard> {
        self.shared.call_count.fetch_add(1, Ordering::AcqRel);
        let guard = CallGuard {
            shared: Arc::clone(&self.shared),
        };
        match self.shared.has_begun.load(Ordering::Acquire) {
            true => None,
            false => Some(guard),
        }
    }

    /// Counts background work of a call that was started earlier. Succeeds during a shutdown too.
    pub fn track_call(&self) -> CallGuard {
        self.shared.call_count.fetch_add(1, Ordering::AcqRel);
        CallGuard {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Waits until no call is in progress, for at most `limit`.
    pub async fn wait_until_idle(&self, limit: Duration) {
        let deadline = self.clock.now().plus(limit);
        while self.shared.call_count.load(Ordering::Acquire) > 0 && self.clock.now() < deadline {
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }
}
