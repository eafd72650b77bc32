//! A notification that wakes a loop from other tasks; several before the next wait count as one.

use std::time::Duration;

use camphorbeam_clock as clock;

/// Handle with which other tasks wake a loop, and the loop waits to be woken. Clones share one
/// pending notification.
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
    /// Ends the current wait of the loop, or else the next one.
    pub fn wake(&self) {
        // If the channel is full, a notification is already pending.
        let _ = self.sender.try_send(());
    }

    /// Waits for a notification, at most `limit`.
    pub async fn wait(&self, clock: &clock::Clock, limit: Duration) {
        // `self` holds both ends, so the channel is never closed; a timeout is not an error here.
        let _ = clock.timeout(limit, self.receiver.recv()).await;
    }
}
