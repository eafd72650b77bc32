//! Progress of a transfer, and time limits for its silence rather than its length.

use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use crate::{Clock, Elapsed, Monotonic};

/// When a transfer is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Time without any byte, from the start or since the newest one.
    pub silence_max: Duration,
    /// Time from the start, so that a sender of single bytes can't hold the transfer up for ever.
    pub whole_max: Duration,
}

impl Limits {
    /// Limits a transfer to `whole_max`, however it progresses.
    pub fn whole(whole_max: Duration) -> Self {
        Self {
            silence_max: whole_max,
            whole_max,
        }
    }
}

/// How far the reply to a call has arrived: recorded by the client that receives it, and read by
/// whoever judges the call or its connection.
#[derive(Debug, Default)]
pub struct Progress {
    received_bytes: AtomicU64,
    /// Zero before the first byte.
    received_at_ms: AtomicU64,
    connection: Option<Arc<Progress>>,
}

impl Progress {
    /// Creates the progress of one call, which counts for `connection` too.
    pub fn of_call(connection: &Arc<Self>) -> Self {
        Self {
            connection: Some(Arc::clone(connection)),
            ..Self::default()
        }
    }

    /// Records that `bytes` arrived at `now`.
    pub fn record(&self, now: Monotonic, bytes: u64) {
        self.received_bytes.fetch_add(bytes, Ordering::Relaxed);
        self.received_at_ms
            .fetch_max(now.since_origin_ms, Ordering::Relaxed);
        if let Some(connection) = &self.connection {
            connection.record(now, bytes);
        }
    }

    /// Number of bytes so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// When the newest bytes arrived; `None` before the first.
    pub fn received_at(&self) -> Option<Monotonic> {
        let since_origin_ms = self.received_at_ms.load(Ordering::Relaxed);
        (self.received_bytes() > 0).then_some(Monotonic { since_origin_ms })
    }
}

impl Clock {
    /// Awaits `future`, a transfer that records its bytes on `progress` and began at `started_at`.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] and drops `future` once one of `limits` has passed.
    pub async fn limit_transfer<F: Future>(
        &self,
        limits: Limits,
        started_at: Monotonic,
        progress: &Progress,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        let mut future = std::pin::pin!(future);
        loop {
            let heard_at = progress.received_at().unwrap_or(started_at).max(started_at);
            let end_at = heard_at
                .plus(limits.silence_max)
                .min(started_at.plus(limits.whole_max));
            let left = end_at.since(self.now());
            match self.timeout(left, future.as_mut()).await {
                Ok(output) => return Ok(output),
                Err(elapsed) if left.is_zero() => return Err(elapsed),
                Err(_) => {}
            }
        }
    }
}
