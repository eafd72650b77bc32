//! What the engine has learned about servers and demand, in a form that outlives a takeover.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use camphorbeam_model::id;

use crate::engine::{Engine, Now};
use crate::headroom::Averages;
use crate::interference;

/// Smallest change of a speed that is worth a write, in hundredths of its logarithm.
const SPEED_CHANGE_MIN: u32 = 10;

/// Smallest change of a headroom that is worth a write, as a fraction of it.
const HEADROOM_CHANGE_MIN_RATIO: f64 = 0.1;

/// Deviation of a speed from 1 up to which the server counts as of normal speed, as a logarithm.
const NORMAL_SPEED_LOG_MAX: f64 = 0.05;

/// Largest deviation that is accepted, in hundredths. The logarithms of estimated speeds lie in
/// -3.0 to 1.1.
const SPEED_DEVIATION_MAX: u32 = 300;

/// Speeds of servers and averages of the demand for urgent work.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Logarithm of the speed relative to estimates in hundredths, by server. Has only servers
    /// whose speed differs from 1 by more than 5%.
    pub speeds: BTreeMap<id::BackendServerId, i32>,
    /// Averages of the accelerators that urgent work uses or waits for, by service.
    pub headroom: BTreeMap<id::ServiceName, Averages>,
    /// Kinds of tasks that slow each other down.
    pub interference: interference::Snapshot,
}

impl LearnedState {
    /// Whether the state differs from `written` so much that it should be written again.
    pub fn differs_enough(&self, written: &Self) -> bool {
        let speed = |state: &Self, server| state.speeds.get(server).copied().unwrap_or(0);
        let has_speed_change =
            |server| speed(self, server).abs_diff(speed(written, server)) >= SPEED_CHANGE_MIN;
        let has_headroom_change = |service| {
            let expected = |state: &Self| {
                let averages = state.headroom.get(service);
                averages.map_or(0.0, Averages::expected)
            };
            let (now, before) = (expected(self), expected(written));
            (now - before).abs() >= (HEADROOM_CHANGE_MIN_RATIO * before).max(1.0)
        };
        let mut servers = self.speeds.keys().chain(written.speeds.keys());
        let mut services = self.headroom.keys().chain(written.headroom.keys());
        let pairs = |state: &Self| -> BTreeSet<(Arc<str>, Arc<str>)> {
            let pairs = state.interference.pairs.iter();
            pairs.map(|pair| (pair.0.clone(), pair.1.clone())).collect()
        };
        servers.any(has_speed_change)
            || services.any(has_headroom_change)
            || pairs(self) != pairs(written)
    }
}

impl Engine {
    /// What this engine has learned, for its successor. Servers that are not registered are left
    /// out.
    pub fn learned_state(&self, now: Now) -> LearnedState {
        let registered = self.servers.keys();
        let speeds = registered.filter_map(|server| {
            let log_ratio = self.speeds.log_ratio(server);
            let hundredths = (100.0 * log_ratio).round() as i32;
            (log_ratio.abs() > NORMAL_SPEED_LOG_MAX).then(|| (server.clone(), hundredths))
        });
        let averages = self.headroom.iter();
        LearnedState {
            speeds: speeds.collect(),
            headroom: averages
                .map(|(service, headroom)| (service.clone(), headroom.averages()))
                .collect(),
            interference: self.interference_snapshot(now),
        }
    }

    /// Continues from what an earlier scheduler had learned `age_ms` ago. Must be called before the
    /// first decision; what this engine has learned itself is kept. Values that can't be right are
    /// ignored.
    pub fn restore_learned_state(&mut self, learned: &LearnedState, age_ms: u64, now: Now) {
        self.restore_interference(&learned.interference, age_ms, now);
        for (server, hundredths) in &learned.speeds {
            if hundredths.unsigned_abs() <= SPEED_DEVIATION_MAX {
                self.speeds.restore(server, f64::from(*hundredths) / 100.0);
            }
        }
        for (service, averages) in &learned.headroom {
            if averages.is_valid() {
                let headroom = self.headroom.entry(service.clone()).or_default();
                headroom.restore(averages, now.ms);
            }
        }
    }

    /// Whether any task waits to be placed, or to be started once its placement is stored.
    pub fn has_pending_starts(&mut self, now: Now) -> bool {
        let mut jobs = self.jobs.values_mut();
        jobs.any(|job| job.has_unstored_progress() || !job.ready_units(now.unix_ms).is_empty())
    }
}
