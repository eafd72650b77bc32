//! Headroom: the number of accelerators that are kept free for urgent work.
//!
//! A preempted run without checkpoints loses its work. When urgent jobs arrive steadily, keeping
//! accelerators free for the next ones costs less than preempting.

/// Time constant of the moving averages of the accelerators that urgent work uses or waits for.
const AVERAGING_TIME_MS: f64 = 8_000.0;

/// Accelerators are kept free for the mean plus this many standard deviations.
const STANDARD_DEVIATIONS: f64 = 0.8;

/// Largest fraction that is kept free of the accelerators of all servers that accept work.
const HEADROOM_MAX_RATIO: f64 = 0.25;

/// Exponential moving averages of the accelerators that urgent work uses or waits for.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    mean: f64,
    mean_square: f64,
    updated_ms: Option<u64>,
}

impl Headroom {
    /// Adds a sample: the accelerators that urgent jobs use or wait for.
    pub fn update(&mut self, now_ms: u64, urgent_accelerators: u64) {
        let urgent = urgent_accelerators as f64;
        let elapsed_ms = match self.updated_ms {
            Some(updated_ms) => now_ms.saturating_sub(updated_ms) as f64,
            None => 0.0,
        };
        let weight = 1.0 - (-elapsed_ms / AVERAGING_TIME_MS).exp();
        self.mean += weight * (urgent - self.mean);
        self.mean_square += weight * (urgent * urgent - self.mean_square);
        self.updated_ms = Some(now_ms);
    }

    /// Accelerators to keep free while urgent jobs use or wait for `urgent_accelerators`. `total`
    /// is the number of accelerators of all servers that accept work.
    pub fn accelerators_to_keep_free(&self, urgent_accelerators: u64, total: u64) -> u64 {
        let variance = (self.mean_square - self.mean * self.mean).max(0.0);
        let expected = self.mean + STANDARD_DEVIATIONS * variance.sqrt();
        let wanted = expected - urgent_accelerators as f64;
        wanted.clamp(0.0, HEADROOM_MAX_RATIO * total as f64) as u64
    }
}
