//! Headroom: the number of accelerators that are kept for urgent work.
//!
//! A preempted run without checkpoints loses its work. When urgent jobs arrive steadily, keeping
//! servers for the next ones costs less than preempting.

/// Time constant of the moving averages of the accelerators that urgent work uses or waits for.
const AVERAGING_TIME_MS: f64 = 8_000.0;

/// Accelerators are kept free for the mean plus this many standard deviations.
const STANDARD_DEVIATIONS: f64 = 0.8;

/// Largest fraction that is kept of the accelerators of all servers that accept work.
const HEADROOM_MAX_RATIO: f64 = 0.6;

/// Factor for accelerators that stay idle on the kept servers, since gangs rarely fill them.
const FRAGMENTATION_ALLOWANCE: f64 = 1.25;

/// The averages that outlive a takeover, rounded to hundredths.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Averages {
    /// Mean of the accelerators that urgent work uses or waits for.
    pub mean: f64,
    /// Mean of their square.
    pub mean_square: f64,
}

impl Averages {
    /// The mean plus [`STANDARD_DEVIATIONS`] standard deviations.
    pub(crate) fn expected(&self) -> f64 {
        let variance = (self.mean_square - self.mean * self.mean).max(0.0);
        self.mean + STANDARD_DEVIATIONS * variance.sqrt()
    }

    pub(crate) fn is_valid(&self) -> bool {
        let is_valid = |value: f64| value.is_finite() && value >= 0.0;
        is_valid(self.mean) && is_valid(self.mean_square)
    }
}

/// Exponential moving averages of the accelerators that urgent work uses or waits for.
#[derive(Clone, Debug, Default)]
pub struct Headroom {
    mean: f64,
    mean_square: f64,
    newest: f64,
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
        self.newest = urgent;
        self.updated_ms = Some(now_ms);
    }

    /// The averages, for a successor.
    pub(crate) fn averages(&self) -> Averages {
        let round = |value: f64| (100.0 * value).round() / 100.0;
        Averages {
            mean: round(self.mean),
            mean_square: round(self.mean_square),
        }
    }

    /// Continues from the averages of an earlier scheduler at `now_ms`, unless there are samples.
    /// The time since their last sample doesn't count, since nothing is known of it.
    pub(crate) fn restore(&mut self, averages: &Averages, now_ms: u64) {
        if self.updated_ms.is_none() {
            self.mean = averages.mean;
            self.mean_square = averages.mean_square;
            self.updated_ms = Some(now_ms);
        }
    }

    /// Accelerators of the servers to keep for urgent work. `total` is the number of accelerators
    /// of all servers that accept work.
    pub fn accelerators_to_keep(&self, total: u64) -> u64 {
        let expected = Averages {
            mean: self.mean,
            mean_square: self.mean_square,
        }
        .expected();
        let wanted = FRAGMENTATION_ALLOWANCE * expected.max(self.newest);
        wanted.clamp(0.0, HEADROOM_MAX_RATIO * total as f64) as u64
    }
}
