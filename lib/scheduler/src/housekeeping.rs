//! Background scans of a scheduler for requests of this zone that were never handed over to it, and
//! for waiting requests of abandoned zones.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_model::id;

use crate::zone::ZoneScheduler;
use crate::{recovery, relocation};

/// Interval between scans of the table for requests that were recorded but never handed over.
///
/// Admitted requests are looked up by their id within seconds. The scan finds requests that an
/// entry host accepted without admission by the scheduler and then failed to hand over.
const MISSED_HAND_OVER_SCAN_INTERVAL: Duration = Duration::from_secs(600);

/// Runs the scans until this scheduler's epoch has ended. `other_zones` returns the other
/// availability zones.
pub async fn run<F>(zone: Arc<ZoneScheduler>, other_zones: F)
where
    F: Fn() -> Vec<id::ZoneName> + Send,
{
    let mut last_scan_at = zone.now();
    let mut relocation = relocation::Relocation::default();
    while !zone.has_ended() {
        let pause = zone.deps.settings.scheduler_lease;
        // The wait ends early if the epoch ends. The scans below then run once more before the loop
        // ends.
        let _ = zone
            .deps
            .clock
            .timeout(pause, zone.wait_until_ended())
            .await;
        // Requests that can't be read or moved now are retried in a later iteration.
        let _ = recovery::load_overdue_admissions(&zone).await;
        let _ = relocation.run(&zone, other_zones()).await;
        if zone.now().since(last_scan_at) >= MISSED_HAND_OVER_SCAN_INTERVAL {
            last_scan_at = zone.now();
            let _ = recovery::load_missed_requests(&zone).await;
        }
    }
}
