//! Makes the calls for placement advice that the engine plans, one at a time.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_jobs::advice::{AdviceOutcome, Adviser, Ask};
use rand::Rng as _;

use crate::wakeup;

/// Longest time between two looks for a planned call. A decision that plans one wakes the loop.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Limit of a call beyond its own. The client observes the limit of a call; one that hangs must not
/// end the calls for good.
const HANG_MARGIN: Duration = Duration::from_millis(1_000);

/// What plans the calls and uses their outcomes.
pub trait AdvicePlanner: Send + Sync {
    /// Whether no more calls are to be made.
    fn is_stopped(&self) -> bool;

    /// Hands out the planned call, if there is one.
    fn next_ask(&self) -> Option<Ask>;

    /// Processes the outcome of a call. `spread_ratio` is a random number from 0 to 1.
    fn advice_reply(&self, ask: &Ask, outcome: &AdviceOutcome, spread_ratio: f64);
}

/// Makes the calls that `planner` plans until it is stopped. `wakeup` wakes it when one is planned.
pub async fn run(
    planner: Arc<dyn AdvicePlanner>,
    adviser: Arc<dyn Adviser>,
    wakeup: wakeup::Wakeup,
    clock: clock::Clock,
) {
    while !planner.is_stopped() {
        let Some(ask) = planner.next_ask() else {
            wakeup.wait(&clock, IDLE_INTERVAL).await;
            continue;
        };
        let limit = Duration::from_millis(ask.timeout_ms) + HANG_MARGIN;
        let outcome = match clock.timeout(limit, adviser.advise(&ask)).await {
            Ok(outcome) => outcome,
            Err(elapsed) => AdviceOutcome::Unknown {
                reason: elapsed.to_string(),
            },
        };
        if let AdviceOutcome::Refused { reason }
        | AdviceOutcome::Malformed { reason }
        | AdviceOutcome::Unknown { reason } = &outcome
        {
            let step = ask.step.to_string();
            spdlog::debug!("no advice", kv: { step = step.as_str(), reason = reason.as_str() });
        }
        planner.advice_reply(&ask, &outcome, rand::rng().random());
    }
}
