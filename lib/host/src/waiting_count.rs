//! Counts the waiting jobs in the store, for the time in which no scheduler has published a recent
//! number.

use std::collections::BTreeMap;
use std::time::Duration;

use async_std::sync;
use camphorbeam_clock as clock;
use camphorbeam_jobs::progress;
use camphorbeam_model::{id, job};
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future;

use crate::partition_reader::{read_partition, PageBudget};
use crate::rows;

/// Age up to which a number of waiting jobs is given to callers.
pub const WAITING_MAX_AGE: Duration = Duration::from_millis(2_500);

/// Age up to which a count is used again, so that many calls need one.
const COUNT_REUSE: Duration = Duration::from_millis(1_000);

/// Time after a count that failed or took too long until the next one, which would take the same
/// part of the host's link.
const RETRY_DELAY: Duration = Duration::from_millis(2_000);

type Counts = BTreeMap<id::QueueName, u64>;

/// The newest count, or why there is none.
struct Counted {
    began_at: clock::Monotonic,
    ended_at: clock::Monotonic,
    result: Result<Counts, PlatformError>,
}

/// Counts waiting jobs, one count at a time.
pub struct WaitingCounter {
    clock: clock::Clock,
    newest: sync::Mutex<Option<Counted>>,
}

impl WaitingCounter {
    /// Creates a counter that has counted nothing.
    pub fn new(clock: clock::Clock) -> Self {
        Self {
            clock,
            newest: sync::Mutex::new(None),
        }
    }

    /// Number of waiting jobs of `queue`: accepted jobs without a schedule of which no
    /// server has shown a run to a scheduler.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read within [`WAITING_MAX_AGE`], after which the number would be
    /// too old. The error is returned again until the next count is due.
    pub async fn count<S: Store + ?Sized>(
        &self,
        store: &S,
        budget: &PageBudget,
        queue: &id::QueueName,
    ) -> Result<u64, PlatformError> {
        let mut newest = self.newest.lock().await;
        let now = self.clock.now();
        let is_usable = newest
            .as_ref()
            .is_some_and(|counted| match &counted.result {
                Ok(_) => now.since(counted.began_at) < COUNT_REUSE,
                Err(_) => now.since(counted.ended_at) < RETRY_DELAY,
            });
        if !is_usable {
            // Stays if the caller gives up meanwhile.
            *newest = Some(Counted {
                began_at: now,
                ended_at: now,
                result: Err(PlatformError::NotApplied {
                    reason: "a count of the waiting jobs was given up".to_owned(),
                }),
            });
            let counting = self
                .clock
                .timeout(WAITING_MAX_AGE, count_all(store, budget));
            let result = counting.await.unwrap_or_else(|elapsed| {
                Err(PlatformError::NotApplied {
                    reason: format!("the waiting jobs can't be counted: {elapsed}"),
                })
            });
            *newest = Some(Counted {
                began_at: now,
                ended_at: self.clock.now(),
                result,
            });
        }
        match newest.as_ref().map(|counted| &counted.result) {
            Some(Ok(counts)) => Ok(counts.get(queue).copied().unwrap_or(0)),
            Some(Err(error)) => Err(error.clone()),
            None => Ok(0),
        }
    }
}

async fn count_all<S: Store + ?Sized>(
    store: &S,
    budget: &PageBudget,
) -> Result<Counts, PlatformError> {
    let inbox =
        rows::INBOX_PARTS.map(|part| read_partition(store, budget, rows::INBOX_TABLE, part));
    let reading_progress =
        read_partition(store, budget, rows::PROGRESS_TABLE, rows::SCHEDULER_PART);
    let (inbox, progress) = future::try_join(future::try_join_all(inbox), reading_progress).await?;
    let progress: BTreeMap<&str, &store::Row> = progress
        .rows
        .iter()
        .map(|row| (row.key.key.as_str(), row))
        .collect();
    let mut counts = Counts::new();
    for row in inbox.iter().flat_map(|part| &part.rows) {
        let Some(id) = row.key.key.strip_prefix(rows::JOB_PREFIX) else {
            continue;
        };
        let value = row.value.as_deref().unwrap_or_default();
        match serde_json::from_str::<job::AcceptedJob>(value) {
            Ok(job) if job.spec.schedule.is_none() && !has_begun(progress.get(id).copied()) => {
                *counts.entry(job.queue).or_default() += 1;
            }
            Ok(_) => {}
            // The scheduler can't read it either, and logs it.
            Err(_) => {}
        }
    }
    Ok(counts)
}

/// Whether the stored progress of a job says that it has begun or has ended. One
/// that can't be read says that the job is known to a scheduler.
fn has_begun(row: Option<&store::Row>) -> bool {
    let Some(row) = row else {
        return false;
    };
    let value = row.value.as_deref().unwrap_or_default();
    match serde_json::from_str::<progress::Progress>(value) {
        Ok(progress) => progress.has_begun || progress.state.is_final(),
        Err(_) => true,
    }
}
