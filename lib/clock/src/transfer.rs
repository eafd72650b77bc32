//! Progress of a transfer, by which its silence is told from its length.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

use crate::Monotonic;

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
