//! Run times learned from finished requests, by client account and kind.
//!
//! Times are scaled to a backend server of speed 1.0. Declared run times play no part.

use std::collections::BTreeMap;

use camphorbeam_model::id;
use hdrhistogram::Histogram;

/// Longest run time that is told apart, in milliseconds (30 days).
const RUN_TIME_MAX_MS: u64 = 30 * 24 * 3_600_000;

/// Expected run time while nothing has finished yet, in milliseconds.
const RUN_TIME_DEFAULT_MS: u64 = 60_000;

/// Finished requests of an account and kind from which on its own history is believed.
const SAMPLES_MIN: u64 = 3;

/// Quantile that stands for a long run.
const LONG_RUN_QUANTILE: f64 = 0.9;

/// Quantile that stands for a usual run.
const MEDIAN_QUANTILE: f64 = 0.5;

/// Quantile that stands for a large footprint.
const LARGE_JOB_QUANTILE: f64 = 0.99;

/// Learned run times.
#[derive(Debug, Default)]
pub struct RunTimeHistory {
    by_kind: BTreeMap<id::KindName, RunTimeStats>,
    by_account: BTreeMap<(id::ClientAccountName, id::KindName), RunTimeStats>,
    /// Accelerator time of all finished requests.
    accelerator_times: RunTimeStats,
    large_accelerator_time_ms: Option<u64>,
}

/// Expected run times on a backend server of speed 1.0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedRunTime {
    /// Half of the runs are shorter, in milliseconds.
    pub median_ms: u64,
    /// Nine in ten runs are shorter, in milliseconds.
    pub p90_ms: u64,
}

#[derive(Debug)]
struct RunTimeStats {
    run_times_ms: Histogram<u32>,
    expected: ExpectedRunTime,
}

impl RunTimeStats {
    fn record(&mut self, run_time_ms: u64) {
        self.run_times_ms
            .saturating_record(run_time_ms.clamp(1, RUN_TIME_MAX_MS));
        self.expected = ExpectedRunTime {
            median_ms: self.run_times_ms.value_at_quantile(MEDIAN_QUANTILE),
            p90_ms: self.run_times_ms.value_at_quantile(LONG_RUN_QUANTILE),
        };
    }
}

impl Default for RunTimeStats {
    fn default() -> Self {
        let bounded = Histogram::new_with_bounds(1, RUN_TIME_MAX_MS, 1);
        Self {
            run_times_ms: bounded.expect("the bounds of the histogram are valid"),
            expected: ExpectedRunTime {
                median_ms: RUN_TIME_DEFAULT_MS,
                p90_ms: RUN_TIME_DEFAULT_MS,
            },
        }
    }
}

impl RunTimeHistory {
    /// Takes in the run time of a finished request, scaled to speed 1.0.
    pub fn record(
        &mut self,
        account: &id::ClientAccountName,
        kind: &id::KindName,
        accelerators: u32,
        run_time_ms: u64,
    ) {
        let accelerator_time_ms = run_time_ms.saturating_mul(u64::from(accelerators.max(1)));
        self.accelerator_times.record(accelerator_time_ms);
        let accelerator_times = &self.accelerator_times.run_times_ms;
        self.large_accelerator_time_ms =
            Some(accelerator_times.value_at_quantile(LARGE_JOB_QUANTILE));
        let of_account = self.by_account.entry((account.clone(), kind.clone()));
        of_account.or_default().record(run_time_ms);
        let of_kind = self.by_kind.entry(kind.clone());
        of_kind.or_default().record(run_time_ms);
    }

    /// All but a few finished requests took less accelerator time, in accelerator-milliseconds.
    pub fn large_accelerator_time_ms(&self) -> u64 {
        self.large_accelerator_time_ms
            .unwrap_or(RUN_TIME_DEFAULT_MS)
    }

    /// What to expect of a request: by its account and kind, else by its kind.
    pub fn expected(
        &self,
        account: &id::ClientAccountName,
        kind: &id::KindName,
    ) -> ExpectedRunTime {
        let is_enough = |stats: &&RunTimeStats| stats.run_times_ms.len() >= SAMPLES_MIN;
        self.by_account
            .get(&(account.clone(), kind.clone()))
            .filter(is_enough)
            .or_else(|| self.by_kind.get(kind))
            .map_or(
                ExpectedRunTime {
                    median_ms: RUN_TIME_DEFAULT_MS,
                    p90_ms: RUN_TIME_DEFAULT_MS,
                },
                |stats| stats.expected,
            )
    }
}
