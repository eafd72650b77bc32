//! Speeds of backend servers, estimated from the progress of the runs on them.
//!
//! Run time estimates can be wrong by a factor, so the tasks of one step are compared with each
//! other: their work is about the same, and a difference in speed comes from their servers. Run
//! time estimates only determine the common level of all speeds.

use std::collections::BTreeMap;

use camphorbeam_model::id;

/// Weight of a sample that is compared with samples of the same step from other servers.
const PEER_COMPARED_WEIGHT: f64 = 0.3;

/// Weight of a sample that is compared with the run time estimate only.
const ESTIMATE_ONLY_WEIGHT: f64 = 0.06;

/// Range to which speeds relative to estimates are clamped. Samples are clamped to half the lower
/// and twice the upper bound.
const SPEED_RATIO_RANGE: (f64, f64) = (0.05, 3.0);

/// Server speeds relative to estimates, kept as logarithms so that errors by a factor average out.
#[derive(Clone, Debug, Default)]
pub struct Speeds {
    /// Logarithm of the estimated speed, by server.
    log_ratios: BTreeMap<id::BackendServerId, f64>,
    /// Logarithm of the newest sample, by job and step and by server.
    sample_log_ratios: BTreeMap<(id::JobId, u32), BTreeMap<id::BackendServerId, f64>>,
}

impl Speeds {
    /// The speed of `server` relative to estimates; 1 if it has no samples.
    pub fn ratio(&self, server: &id::BackendServerId) -> f64 {
        self.log_ratio(server).exp()
    }

    /// Sets the logarithm of the speed of `server` unless the server has one already.
    pub(crate) fn restore(&mut self, server: &id::BackendServerId, log_ratio: f64) {
        let range = (SPEED_RATIO_RANGE.0.ln(), SPEED_RATIO_RANGE.1.ln());
        let log_ratio = log_ratio.clamp(range.0, range.1);
        self.log_ratios.entry(server.clone()).or_insert(log_ratio);
    }

    pub(crate) fn log_ratio(&self, server: &id::BackendServerId) -> f64 {
        self.log_ratios.get(server).copied().unwrap_or(0.0)
    }

    /// The speeds of `servers`, which are in ascending order.
    pub fn ratios<'a>(&self, servers: impl Iterator<Item = &'a id::BackendServerId>) -> Vec<f64> {
        let mut known = self.log_ratios.iter().peekable();
        let ratio = |server: &id::BackendServerId| {
            while known.next_if(|(other, _)| *other < server).is_some() {}
            match known.next_if(|(other, _)| *other == server) {
                Some((_, log_ratio)) => log_ratio.exp(),
                None => 1.0,
            }
        };
        servers.map(ratio).collect()
    }

    /// Adds a sample of a task of `step` on `server`. `ratio` is the estimated run time divided by
    /// the actual one. A newer sample of the same step and server replaces the older one.
    pub fn add_sample(
        &mut self,
        job: &id::JobId,
        step: u32,
        server: &id::BackendServerId,
        ratio: f64,
    ) {
        let sample = ratio
            .clamp(SPEED_RATIO_RANGE.0 / 2.0, SPEED_RATIO_RANGE.1 * 2.0)
            .ln();
        let samples = self
            .sample_log_ratios
            .entry((job.clone(), step))
            .or_default();
        samples.insert(server.clone(), sample);
        let differences: Vec<f64> = samples
            .iter()
            .filter(|(other, _)| *other != server)
            .map(|(other, log)| log - self.log_ratios.get(other).copied().unwrap_or(0.0))
            .collect();
        let (bias, weight) = match differences.is_empty() {
            true => (0.0, ESTIMATE_ONLY_WEIGHT),
            false => {
                let mean = differences.iter().sum::<f64>() / differences.len() as f64;
                (mean, PEER_COMPARED_WEIGHT)
            }
        };
        let previous = self.log_ratio(server);
        let updated = previous + weight * (sample - bias - previous);
        let range = (SPEED_RATIO_RANGE.0.ln(), SPEED_RATIO_RANGE.1.ln());
        self.log_ratios
            .insert(server.clone(), updated.clamp(range.0, range.1));
    }

    /// Removes the samples of `job`. The speeds computed from them stay.
    pub fn forget(&mut self, job: &id::JobId) {
        let (from, to) = ((job.clone(), 0), (job.clone(), u32::MAX));
        let steps: Vec<_> = self
            .sample_log_ratios
            .range(from..=to)
            .map(|(key, _)| key.clone())
            .collect();
        for step in steps {
            self.sample_log_ratios.remove(&step);
        }
    }
}

/// The median of the speeds of all servers; 1 if there are none. A server counts as fast or slow
/// relative to it, since all estimates may be wrong by the same factor.
pub fn median(mut ratios: Vec<f64>) -> f64 {
    let middle = ratios.len() / 2;
    match ratios.is_empty() {
        true => 1.0,
        false => *ratios.select_nth_unstable_by(middle, f64::total_cmp).1,
    }
}
