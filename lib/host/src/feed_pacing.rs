//! Bounds the calls of a loop that follows a change feed.
//!
//! A feed that has nothing new is expected to hold its reply back for as long as the call allows. A
//! store that replies at once instead, with nothing, an error or a version that is known, must not
//! take the whole processor of the loop that follows it.

use std::time::Duration;

use camphorbeam_clock as clock;

/// Interval between calls of a feed whose replies bring nothing new.
pub const UNPRODUCTIVE_INTERVAL: Duration = Duration::from_millis(100);

/// Paces one loop. The first unproductive reply after a productive one costs no delay, so that a
/// single failed or empty reply doesn't hold the loop up.
#[derive(Debug)]
pub struct FeedPacing {
    clock: clock::Clock,
    last_unproductive_at: Option<clock::Monotonic>,
}

impl FeedPacing {
    /// Paces a loop whose time comes from `clock`.
    pub fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            last_unproductive_at: None,
        }
    }

    /// Records a reply that brought something new.
    pub fn record_productive(&mut self) {
        self.last_unproductive_at = None;
    }

    /// Records a reply that brought nothing new, and waits until [`UNPRODUCTIVE_INTERVAL`] has
    /// passed since the one before.
    pub async fn record_unproductive(&mut self) {
        let left = self
            .last_unproductive_at
            .map_or(Duration::ZERO, |previous| {
                UNPRODUCTIVE_INTERVAL.saturating_sub(self.clock.now().since(previous))
            });
        if !left.is_zero() {
            self.clock.sleep(left).await;
        }
        self.last_unproductive_at = Some(self.clock.now());
    }
}
