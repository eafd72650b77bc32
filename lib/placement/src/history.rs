//! Run times learned from finished requests, by client account and kind.
//!
//! Run times are normalized to a backend server of speed 1.0. Declared run times are not used.

use std::collections::BTreeMap;

use camphorbeam_model::id;
use hdrhistogram::Histogram;

/// Upper bound of the histograms in milliseconds (30 days), or in accelerator-milliseconds (30
/// accelerator-days); longer times are recorded as this.
const RUN_TIME_MAX_MS: u64 = 30 * 24 * 3_600_000;

/// Expected run time in milliseconds until a request of the kind has finished. Also the size of a
/// large job, in accelerator-milliseconds, until any request has finished.
const RUN_TIME_DEFAULT_MS: u64 = 60_000;

/// Minimum number of finished requests of a kind before an account's own history is used instead
/// of the history of the kind across all accounts.
const SAMPLES_MIN: u64 = 3;

/// Quantile that is used as the run time of a long run.
const LONG_RUN_QUANTILE: f64 = 0.9;

/// Quantile that is used as the typical run time.
const MEDIAN_QUANTILE: f64 = 0.5;

/// Quantile of accelerator time that is used as the size of a large job.
const LARGE_JOB_QUANTILE: f64 = 0.99;

/// Run times by client account and kind, and accelerator times of all requests.
#[derive(Debug, Default)]
pub struct RunTimeHistory {
    by_kind: BTreeMap<id::KindName, DurationStats>,
    by_account: BTreeMap<(id::ClientAccountName, id::KindName), DurationStats>,
    /// Accelerator time (run time × accelerators) of all finished requests, in
    /// accelerator-milliseconds. Zero accelerators count as one.
    accelerator_times: DurationStats,
    /// The 99th percentile of `accelerator_times`; `None` until a request has finished.
    large_accelerator_ms: Option<u64>,
}

/// Expected run time of a request on a backend server of speed 1.0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedRunTime {
    /// Median run time in milliseconds.
    pub median_ms: u64,
    /// 90th percentile of the run time in milliseconds.
    pub p90_ms: u64,
}

#[derive(Debug)]
struct DurationStats {
    /// Run times, or accelerator times in accelerator-milliseconds.
    values_ms: Histogram<u32>,
    /// Quantiles of the values, kept up to date.
    expected: ExpectedRunTime,
}

impl DurationStats {
    fn record(&mut self, value_ms: u64) {
        self.values_ms
            .saturating_record(value_ms.clamp(1, RUN_TIME_MAX_MS));
        self.expected = ExpectedRunTime {
            median_ms: self.values_ms.value_at_quantile(MEDIAN_QUANTILE),
            p90_ms: self.values_ms.value_at_quantile(LONG_RUN_QUANTILE),
        };
    }
}

impl Default for DurationStats {
    fn default() -> Self {
        let bounded = Histogram::new_with_bounds(1, RUN_TIME_MAX_MS, 1);
        Self {
            values_ms: bounded.expect("the bounds of the histogram are valid"),
            expected: ExpectedRunTime {
                median_ms: RUN_TIME_DEFAULT_MS,
                p90_ms: RUN_TIME_DEFAULT_MS,
            },
        }
    }
}

impl RunTimeHistory {
    /// Records a finished request. `run_time_ms` is normalized to speed 1.0.
    pub fn record(
        &mut self,
        account: &id::ClientAccountName,
        kind: &id::KindName,
        accelerators: u32,
        run_time_ms: u64,
    ) {
        let accelerator_ms = run_time_ms.saturating_mul(u64::from(accelerators.max(1)));
        self.accelerator_times.record(accelerator_ms);
        let accelerator_times = &self.accelerator_times.values_ms;
        self.large_accelerator_ms = Some(accelerator_times.value_at_quantile(LARGE_JOB_QUANTILE));
        let of_account = self.by_account.entry((account.clone(), kind.clone()));
        of_account.or_default().record(run_time_ms);
        let of_kind = self.by_kind.entry(kind.clone());
        of_kind.or_default().record(run_time_ms);
    }

    /// The 99th percentile of the accelerator time of finished requests, in
    /// accelerator-milliseconds. `RUN_TIME_DEFAULT_MS` until a request has finished.
    pub fn large_accelerator_ms(&self) -> u64 {
        self.large_accelerator_ms.unwrap_or(RUN_TIME_DEFAULT_MS)
    }

    /// Expected run time from the history of the account and kind, or of the kind alone while the
    /// account has too little history. `RUN_TIME_DEFAULT_MS` without any history.
    pub fn expected(
        &self,
        account: &id::ClientAccountName,
        kind: &id::KindName,
    ) -> ExpectedRunTime {
        let is_enough = |stats: &&DurationStats| stats.values_ms.len() >= SAMPLES_MIN;
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
