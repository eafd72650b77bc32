//! What a policy weighs against what, as settings.

/// Weights of a policy. [`Weights::fragmentation_first`] and [`Weights::completion_first`] are those of the two users.
#[derive(Clone, Debug, PartialEq)]
pub struct Weights {
    /// Cost of one level of the buddy tree that a placement splits.
    pub fragmentation: f64,
    /// Cost of a backend server of half the highest speed.
    pub completion: f64,
    /// Cost of borrowing an accelerator that a guaranteed shape is assigned to.
    pub borrowing: f64,
    /// How much a kind of the highest priority counts over one of priority zero.
    pub priority: f64,
    /// How many times an urgent request counts beyond the guarantees.
    pub urgency: f64,
    /// How much an account that holds the whole zone beyond its guarantees falls behind.
    pub fair_share: f64,
    /// How fast a request falls behind with its size: 0.0 not at all, 1.0 in proportion.
    pub size_exponent: f64,
    /// Waiting time after which a request is served in order of arrival, in milliseconds.
    pub aging_limit_ms: u64,
    /// Waiting time after which borrowers may have to make way for a reserved gang, in
    /// milliseconds.
    pub gang_patience_ms: u64,
    /// Waiting time of a gang after which nothing more is started on the cells reserved for it, in
    /// milliseconds.
    pub backfill_limit_ms: u64,
    /// Gangs that accelerators are drained for at the same time.
    pub reservations_max: usize,
}

/// One minute, in milliseconds.
const MINUTE_MS: u64 = 60_000;

impl Weights {
    /// Weights of the Union: fragmentation first.
    pub fn fragmentation_first() -> Self {
        Self {
            fragmentation: 4.0,
            completion: 4.0,
            size_exponent: 0.0,
            ..Self::default()
        }
    }

    /// Weights of Náramky: completion time first.
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

/// A weight that can't be set.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("weight {text:?} can't be set (hint: NAME=NUMBER with one of {names})", names = NAMES.join(", "))]
pub struct WeightError {
    /// What was given.
    pub text: String,
}

/// Names of all weights.
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
    /// Sets one weight from `NAME=NUMBER`.
    ///
    /// # Errors
    ///
    /// Returns [`WeightError`] if there is no such weight or the number is negative or none.
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
