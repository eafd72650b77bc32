//! Tunable weights and limits of the default policy.

/// Weights and limits of the default policy. [`Weights::fragmentation_first`] and
/// [`Weights::completion_first`] are presets, one for each of the two users.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// Cost of each buddy tree level that a placement splits. Also weights the other costs of
    /// fragmentation.
    pub fragmentation: f64,
    /// Cost, while the cluster is idle, of a backend server that is half as fast as the fastest
    /// one. The busier the cluster, the lower the cost for jobs that gain little from speed.
    pub completion: f64,
    /// Cost of a block for a borrower that lies wholly on accelerators assigned to guaranteed
    /// shapes; for other blocks, it is proportional to the share that does.
    pub borrowing: f64,
    /// A kind with the highest priority scores 1 + `priority` times as much as one with priority
    /// zero.
    pub priority: f64,
    /// Factor on the score of an urgent request beyond the guarantees.
    pub urgency: f64,
    /// Strength of fair share: the score is divided by 1 + `fair_share` × the share of the zone's
    /// accelerators that the account holds beyond its guarantees.
    pub fair_share: f64,
    /// The score is divided by the number of accelerators (at least 1) to this power: at 0.0 size
    /// doesn't matter, at 1.0 the score is inversely proportional to it.
    pub size_exponent: f64,
    /// Waiting time in milliseconds after which a request beyond the guarantees goes ahead of
    /// younger ones, in order of arrival, and may get a reservation whatever its size, which
    /// doesn't expire after a fixed time.
    pub aging_limit_ms: u64,
    /// Waiting time of a job in milliseconds after which borrowers may be preempted on the
    /// accelerators reserved for it.
    pub gang_patience_ms: u64,
    /// Waiting time of a job in milliseconds after which no more jobs are backfilled on the
    /// accelerators reserved for it.
    pub backfill_limit_ms: u64,
    /// Maximum number of waiting jobs that hold a reservation at the same time.
    pub reservations_max: usize,
}

const MINUTE_MS: u64 = 60_000;

impl Weights {
    /// Preset for a deployment that puts low fragmentation first.
    pub fn fragmentation_first() -> Self {
        Self {
            fragmentation: 4.0,
            completion: 4.0,
            size_exponent: 0.0,
            ..Self::default()
        }
    }

    /// Preset for a deployment that puts short completion times first.
    pub fn completion_first() -> Self {
        Self {
            fragmentation: 1.0,
            completion: 4.0,
            urgency: 2.0,
            size_exponent: 0.5,
            ..Self::default()
        }
    }
}

/// A weight setting that can't be parsed, names no weight, or has a negative or non-finite value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("weight {text:?} can't be set (hint: NAME=NUMBER, with a finite NUMBER of at least 0 and one of the names {names})", names = NAMES.join(", "))]
pub struct WeightError {
    /// The rejected setting.
    pub text: String,
}

/// Names that [`Weights::set`] accepts.
pub const NAMES: [&str; 11] = [
    "fragmentation",
    "completion",
    "borrowing",
    "priority",
    "urgency",
    "fair_share",
    "size_exponent",
    "aging_limit_ms",
    "gang_patience_ms",
    "backfill_limit_ms",
    "reservations_max",
];

impl Weights {
    /// Sets one weight from `NAME=NUMBER`. Weights that are integers lose the fraction of the
    /// number.
    ///
    /// # Errors
    ///
    /// Returns [`WeightError`] if no weight has that name, or if the value is not a finite,
    /// non-negative number.
    pub fn set(&mut self, text: &str) -> Result<(), WeightError> {
        let error = || WeightError {
            text: text.to_owned(),
        };
        let (name, number) = text.split_once('=').ok_or_else(error)?;
        let number: f64 = number.parse().map_err(|_| error())?;
        if !number.is_finite() || number < 0.0 {
            return Err(error());
        }
        match name {
            "fragmentation" => self.fragmentation = number,
            "completion" => self.completion = number,
            "borrowing" => self.borrowing = number,
            "priority" => self.priority = number,
            "urgency" => self.urgency = number,
            "fair_share" => self.fair_share = number,
            "size_exponent" => self.size_exponent = number,
            "aging_limit_ms" => self.aging_limit_ms = number as u64,
            "gang_patience_ms" => self.gang_patience_ms = number as u64,
            "backfill_limit_ms" => self.backfill_limit_ms = number as u64,
            "reservations_max" => self.reservations_max = number as usize,
            _ => return Err(error()),
        }
        Ok(())
    }
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            fragmentation: 2.0,
            completion: 2.0,
            borrowing: 8.0,
            priority: 4.0,
            urgency: 8.0,
            fair_share: 1.0,
            size_exponent: 0.25,
            aging_limit_ms: 240 * MINUTE_MS,
            gang_patience_ms: 0,
            backfill_limit_ms: 10 * MINUTE_MS,
            reservations_max: 4,
        }
    }
}
