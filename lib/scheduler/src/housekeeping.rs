//! Background scans of a scheduler: requests of this zone that were never handed over, and waiting
//! requests of abandoned zones.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_model::id;

use crate::zone::Zone;
use crate::{recovery, relocation};

/// Time between two scans for requests that were recorded but never handed over.
///
/// Admitted ones are looked for by name within seconds; the scan finds those that an entry host
/// accepted without the scheduler before it was gone.
const MISSED_HAND_OVER_SCAN_INTERVAL: Duration = Duration::from_secs(600);

/// Runs until the holding is over. `other_zones` names the availability zones besides this one.
pub async fn run<F>(zone: Arc<Zone>, other_zones: F)
where
    F: Fn() -> Vec<id::ZoneName> + Send,
{
    let mut last_scan_at = zone.now();
    let mut relocation = relocation::Relocation::default();
    while !zone.has_ended() {
        let pause = zone.deps.settings.scheduler_lease;
        // Whether the pause is over or the holding, what follows finds out.
        let _ = zone
            .deps
            .clock
            .timeout(pause, zone.wait_until_ended())
            .await;
        // What can't be moved or read now is left to a later round.
        let _ = recovery::load_overdue_admissions(&zone).await;
        let _ = relocation.run(&zone, other_zones()).await;
        if zone.now().since(last_scan_at) >= MISSED_HAND_OVER_SCAN_INTERVAL {
            last_scan_at = zone.now();
            let _ = recovery::load_missed_requests(&zone).await;
        }
    }
}
