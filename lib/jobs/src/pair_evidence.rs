//! The evidence that tasks of one kind slow down tasks of another kind on the same server, and the
//! test whether it suffices.

use std::f64::consts::LN_2;

use camphorbeam_model::id;

/// Time in which evidence loses half of its weight.
const HALF_LIFE_MS: f64 = 120_000.0;

/// Highest weight of the evidence. Limits how long a kind that has changed is judged by its past.
const WEIGHT_MAX: f64 = 60.0;

/// Least evidence with which a pair begins to count.
const BEGIN_WEIGHT_MIN: f64 = 3.0;

/// Least evidence from neighbours that came, and from neighbours that left, with which a pair
/// begins to count.
const DIRECTION_WEIGHT_MIN: f64 = 0.75;

/// Number of servers from which there must be evidence. A fault of one server must not suffice.
const SERVERS_MIN: usize = 3;

/// Logarithm of the least slowdown, 1.1, of a pair that begins to count.
const BEGIN_SLOWDOWN_MIN_LN: f64 = 0.095;

/// Logarithm of the mean slowdown below which a pair ceases to count.
const END_SLOWDOWN_MIN_LN: f64 = BEGIN_SLOWDOWN_MIN_LN / 2.0;

/// Mean divided by its standard error from which a pair begins to count: a one-sided level of 3e-5
/// for one test of a normal mean. The highest score without interference was 3.54, in 1,000
/// simulated minutes with 132 pairs each.
const BEGIN_SCORE_MIN: f64 = 4.0;

/// Mean divided by its standard error below which a pair ceases to count.
const END_SCORE_MIN: f64 = 2.0;

/// Evidence below which a pair ceases to count.
const END_WEIGHT_MIN: f64 = 1.0;

/// Weight of a sample in the mean of the newest samples.
const RECENT_WEIGHT: f64 = 0.15;

/// Ratio of the mean of the newest samples to the mean at the beginning below which a pair ceases
/// to count.
const CONTRADICTION_RATIO: f64 = 0.35;

/// Number of standard deviations of the mean of the newest samples by which it must also be below
/// that mean. Otherwise pairs with a small slowdown would cease to count by chance.
const CONTRADICTION_SCORE_MIN: f64 = 3.0;

/// Standard deviation of the prior samples that the variance includes, and their number. Without
/// them, a few samples that agree by chance would have almost no variance.
const PRIOR_DEVIATION: f64 = 0.2;
const PRIOR_WEIGHT: f64 = 4.0;

/// Evidence at which half of a mean is relied on.
const KNOWN_WEIGHT: f64 = 2.0;

/// Whether a neighbour came between the two segments of a sample, or left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// The neighbour is there only in the second segment.
    Came,
    /// The neighbour is there only in the first segment.
    Left,
}

/// Weighted sums of samples.
#[derive(Clone, Copy, Debug, Default)]
struct Sums {
    weight: f64,
    value: f64,
    square: f64,
}

impl Sums {
    fn add(&mut self, value: f64, weight: f64) {
        self.weight += weight;
        self.value += weight * value;
        self.square += weight * value * value;
    }

    fn scale(&mut self, ratio: f64) {
        self.weight *= ratio;
        self.value *= ratio;
        self.square *= ratio;
    }

    fn plus(&self, other: &Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            value: self.value + other.value,
            square: self.square + other.square,
        }
    }

    fn mean(&self) -> f64 {
        match self.weight > 0.0 {
            true => self.value / self.weight,
            false => 0.0,
        }
    }

    fn standard_error(&self) -> f64 {
        let mean = self.mean();
        let deviations = (self.square - self.weight * mean * mean).max(0.0);
        let prior = PRIOR_WEIGHT * PRIOR_DEVIATION * PRIOR_DEVIATION;
        let variance = (deviations + prior) / (self.weight + PRIOR_WEIGHT);
        (variance / self.weight.max(f64::MIN_POSITIVE)).sqrt()
    }
}

/// The evidence for one directed pair of kinds. Slowdowns are kept as logarithms.
#[derive(Clone, Debug, Default)]
pub struct PairEvidence {
    came: Sums,
    left: Sums,
    recent_mean: f64,
    /// Mean with which the pair began to count.
    begin_mean: f64,
    /// Servers with samples, at most `SERVERS_MIN`.
    servers: Vec<id::BackendServerId>,
    /// When the sums were last decayed.
    decayed_ms: u64,
    /// When the last sample was added.
    pub seen_ms: u64,
    /// Whether the evidence suffices.
    pub counts: bool,
}

impl PairEvidence {
    /// Recreates the evidence of a pair that counted, as of `now_ms`.
    pub fn restored(slowdown_ln: f64, deviation: f64, weight: f64, now_ms: u64) -> Self {
        let sums = Sums {
            weight: weight / 2.0,
            value: weight / 2.0 * slowdown_ln,
            square: weight / 2.0 * (slowdown_ln * slowdown_ln + deviation * deviation),
        };
        Self {
            came: sums,
            left: sums,
            recent_mean: slowdown_ln,
            begin_mean: slowdown_ln,
            servers: Vec::new(),
            decayed_ms: now_ms,
            seen_ms: now_ms,
            counts: true,
        }
    }

    /// Adds a sample of the logarithm of the slowdown, with a weight from 0 to 1.
    pub fn add(
        &mut self,
        server: &id::BackendServerId,
        direction: Direction,
        slowdown_ln: f64,
        weight: f64,
        now_ms: u64,
    ) {
        self.decay(now_ms);
        self.seen_ms = now_ms;
        if self.servers.len() < SERVERS_MIN && !self.servers.contains(server) {
            self.servers.push(server.clone());
        }
        match direction {
            Direction::Came => self.came.add(slowdown_ln, weight),
            Direction::Left => self.left.add(slowdown_ln, weight),
        }
        let excess = WEIGHT_MAX / self.weight();
        if excess < 1.0 {
            self.came.scale(excess);
            self.left.scale(excess);
        }
        let step = RECENT_WEIGHT * weight;
        self.recent_mean += step * (slowdown_ln - self.recent_mean);
    }

    /// Reduces the weight of the evidence by its age.
    pub fn decay(&mut self, now_ms: u64) {
        let age_ms = now_ms.saturating_sub(self.decayed_ms);
        let ratio = decay_ratio(age_ms);
        self.came.scale(ratio);
        self.left.scale(ratio);
        self.decayed_ms = self.decayed_ms.max(now_ms);
    }

    fn total(&self) -> Sums {
        self.came.plus(&self.left)
    }

    /// The weight of all samples.
    pub fn weight(&self) -> f64 {
        self.came.weight + self.left.weight
    }

    /// Logarithm of the mean slowdown.
    pub fn slowdown_ln(&self) -> f64 {
        self.total().mean()
    }

    /// How much the mean is relied on to explain changes in the rate of runs, 0 to 1.
    pub fn known_ratio(&self) -> f64 {
        self.weight() / (self.weight() + KNOWN_WEIGHT)
    }

    /// Standard deviation of the samples.
    pub fn deviation(&self) -> f64 {
        let total = self.total();
        total.standard_error() * total.weight.sqrt()
    }

    /// The mean divided by its standard error.
    pub fn score(&self) -> f64 {
        let total = self.total();
        total.mean() / total.standard_error()
    }

    /// Tests the evidence and updates `counts`. Returns why that has changed, if it has.
    pub fn test(&mut self) -> Option<&'static str> {
        let (weight, mean, score) = (self.weight(), self.slowdown_ln(), self.score());
        let is_shown = |sums: &Sums| {
            sums.weight >= DIRECTION_WEIGHT_MIN && sums.mean() >= BEGIN_SLOWDOWN_MIN_LN / 2.0
        };
        let is_sufficient = weight >= BEGIN_WEIGHT_MIN
            && self.servers.len() >= SERVERS_MIN
            && mean >= BEGIN_SLOWDOWN_MIN_LN
            && score >= BEGIN_SCORE_MIN
            && is_shown(&self.came)
            && is_shown(&self.left);
        match self.counts {
            false if is_sufficient => {
                self.counts = true;
                self.recent_mean = mean;
                self.begin_mean = mean;
                Some("significant")
            }
            false => None,
            true if weight < END_WEIGHT_MIN => self.end("faded"),
            true if self.is_contradicted() => self.end("contradicted"),
            true if score < END_SCORE_MIN || mean < END_SLOWDOWN_MIN_LN => self.end("uncertain"),
            true => None,
        }
    }

    /// Compares the newest samples with the mean that the pair began to count with, since they also
    /// pull down the current mean and raise its deviation.
    fn is_contradicted(&self) -> bool {
        let recent_deviation = PRIOR_DEVIATION * (RECENT_WEIGHT / (2.0 - RECENT_WEIGHT)).sqrt();
        self.recent_mean < CONTRADICTION_RATIO * self.begin_mean
            && self.begin_mean - self.recent_mean > CONTRADICTION_SCORE_MIN * recent_deviation
    }

    fn end(&mut self, reason: &'static str) -> Option<&'static str> {
        self.counts = false;
        self.came = Sums::default();
        self.left = Sums::default();
        self.servers.clear();
        Some(reason)
    }
}

/// The share of its weight that evidence keeps over `age_ms`.
pub fn decay_ratio(age_ms: u64) -> f64 {
    (-LN_2 * age_ms as f64 / HALF_LIFE_MS).exp()
}
