//! Counts the calls under way, so that a shutdown can wait for them.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;

/// Time between two looks at the count.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The state of a shutdown.
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

/// A call under way; ends when dropped.
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
    /// No shutdown yet.
    pub fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            shared: Arc::new(Shared::default()),
        }
    }

    /// Asks the process to leave.
    pub fn request(&self) {
        self.shared.is_requested.store(true, Ordering::Release);
    }

    /// Whether the process was asked to leave.
    pub fn is_requested(&self) -> bool {
        self.shared.is_requested.load(Ordering::Acquire)
    }

    /// Takes no new calls from now on.
    pub fn begin(&self) {
        self.shared.has_begun.store(true, Ordering::Release);
    }

    /// Counts a call in; nothing once the shutdown has begun.
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

    /// Counts in work that belongs to a call which was taken before.
    pub fn track_call(&self) -> CallGuard {
        self.shared.call_count.fetch_add(1, Ordering::AcqRel);
        CallGuard {
            shared: Arc::clone(&self.shared),
        }
    }

    /// Waits until no call is under way, but no longer than `limit`.
    pub async fn wait_until_idle(&self, limit: Duration) {
        let deadline = self.clock.now().plus(limit);
        while self.shared.call_count.load(Ordering::Acquire) > 0 && self.clock.now() < deadline {
            self.clock.sleep(POLL_INTERVAL).await;
        }
    }
}
