//! Wakes a loop from other tasks; several wakes before it looks count as one.

use std::time::Duration;

use camphorbeam_clock as clock;

/// A handle on a loop.
#[derive(Clone, Debug)]
pub struct Wakeup {
    sender: async_channel::Sender<()>,
    receiver: async_channel::Receiver<()>,
}

impl Default for Wakeup {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Wakeup {
    /// Wakes the loop.
    pub fn wake(&self) {
        // A full channel means that a wake is pending.
        let _ = self.sender.try_send(());
    }

    /// Waits for a wake, at most `limit`.
    pub async fn wait(&self, clock: &clock::Clock, limit: Duration) {
        // Both ends are in this handle, so the channel is never closed; the limit is no error.
        let _ = clock.timeout(limit, self.receiver.recv()).await;
    }
}
