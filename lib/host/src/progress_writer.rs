//! Stores the progress of jobs and the learned state, and removes the rows of expired jobs.

use std::sync::Arc;
use std::time::Duration;

use camphorbeam_jobs::engine;
use camphorbeam_jobs::settings as job_settings;
use camphorbeam_model::id;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;

use crate::rows;
use crate::scheduler::{Scheduler, IDLE_INTERVAL, STORE_RETRY_DELAY};

/// Maximum number of jobs in one transaction. Each takes one condition and one write, so that the
/// transaction stays below [`store::TRANSACTION_ENTRIES_MAX`] with the condition on the epoch.
const JOBS_PER_COMMIT_MAX: usize = 45;

/// Maximum bytes of progress in one transaction, unless a single job has more. The store accepts
/// 1 MB per transaction, measured after base64, which turns 600 kB into 800 kB. The rest is for
/// keys and conditions, which don't count towards this maximum.
const COMMIT_MAX_BYTES: usize = 600_000;

/// Time between two removals of the rows of expired jobs.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Stores progress, one transaction at a time, so that an older state never replaces a newer
    /// one.
    pub(crate) async fn store_progress(self: Arc<Self>) {
        let mut expiry_checked_at = self.deps.clock.now();
        while !self.is_stopped() {
            let changes = self.lock().unstored_progress(JOBS_PER_COMMIT_MAX);
            match changes.is_empty() {
                true => {
                    if self.deps.clock.now().since(expiry_checked_at) >= EXPIRY_CHECK_INTERVAL {
                        self.remove_expired().await;
                        expiry_checked_at = self.deps.clock.now();
                    }
                    self.refresh_learned_state().await;
                    self.commit_wakeup
                        .wait(&self.deps.clock, IDLE_INTERVAL)
                        .await;
                }
                false => self.store_changes(changes).await,
            }
        }
    }

    async fn store_changes(self: &Arc<Self>, changes: Vec<engine::ProgressWrite>) {
        let mut transaction = store::Transaction {
            conditions: vec![self.epoch_condition.clone()],
            ..store::Transaction::default()
        };
        let mut included: Vec<engine::ProgressWrite> = Vec::new();
        let mut size_bytes = 0;
        let max_bytes = self.commit_max_bytes();
        for change in changes {
            let text = match serde_json::to_string(&change.progress) {
                Ok(text) => text,
                Err(error) => {
                    let reason = error.to_string();
                    spdlog::error!("failed to serialize the progress of a job", kv: {
                        job = change.job.as_str(), reason = reason.as_str()
                    });
                    continue;
                }
            };
            size_bytes += text.len();
            if size_bytes > max_bytes && !included.is_empty() {
                break;
            }
            transaction.conditions.push(store::Condition {
                key: rows::progress_key(&change.job),
                version: change.row_version,
            });
            transaction
                .writes
                .push((rows::progress_key(&change.job), text));
            included.push(change);
        }
        transaction.writes.extend(self.learned_state_write());
        let versions = self.commit_with_retries(transaction).await;
        let now = self.now();
        let mut engine = self.lock();
        for (change, version) in included.iter().zip(versions) {
            engine.mark_stored(&change.job, change.generation, version, now);
        }
        drop(engine);
        self.send_orders();
    }

    /// Maximum bytes of progress in one transaction: it has to pass the host's link well within the
    /// time limit of a commit, which counts the whole of it, and is encoded in base64.
    fn commit_max_bytes(&self) -> usize {
        let link_bytes = self.deps.store.page_budget().message_max_bytes() / 4 * 3;
        usize::try_from(link_bytes).map_or(COMMIT_MAX_BYTES, |bytes| bytes.min(COMMIT_MAX_BYTES))
    }

    /// The write of the learned state, if it is due. Has no condition on the version of its row, so
    /// that a change of the row by anyone else can't prevent the progress from being stored.
    fn learned_state_write(&self) -> Option<(store::RowKey, String)> {
        if self.deps.settings.learned_state == job_settings::LearnedStateStorage::Memory {
            return None;
        }
        let now = self.deps.clock.now();
        let mut writer = self.lock_learned_writer();
        if !writer.may_write(now) {
            return None;
        }
        let engine_now = self.now();
        let learned = self.lock().learned_state(engine_now);
        let (speeds, services) = (learned.speeds.len(), learned.headroom.len());
        let write = writer.next_write(learned, self.deps.store.store_ms()?, now)?;
        spdlog::info!("learned state written", kv: {
            epoch = self.epoch.0, speeds, services, bytes = write.1.len()
        });
        self.deps.metrics.record_learned_state("written");
        Some(write)
    }

    /// Writes the learned state by itself if its row is getting too old and nothing waits to be
    /// started, which a transaction before it would delay. Not repeated if it fails.
    async fn refresh_learned_state(&self) {
        if self.deps.settings.learned_state == job_settings::LearnedStateStorage::Memory {
            return;
        }
        let is_due = self
            .lock_learned_writer()
            .must_refresh(self.deps.clock.now());
        let now = self.now();
        if !is_due || self.lock().has_pending_starts(now) {
            return;
        }
        let Some(write) = self.learned_state_write() else {
            return;
        };
        let transaction = store::Transaction {
            conditions: vec![self.epoch_condition.clone()],
            writes: vec![write],
            removals: Vec::new(),
        };
        match self.deps.store.commit(&transaction).await {
            Ok(store::Commit::Applied { .. }) => {}
            Ok(store::Commit::Conflict { .. }) => {
                spdlog::warn!("deposed", kv: { epoch = self.epoch.0, by = "store" });
                self.stop();
            }
            Err(error) => {
                let reason = error.to_string();
                spdlog::warn!("failed to store the learned state", kv: {
                    reason = reason.as_str()
                });
            }
        }
    }

    /// Retries `transaction` until it is known to be applied, and returns the version of each
    /// written row; returns no versions if the scheduler has stopped.
    async fn commit_with_retries(&self, mut transaction: store::Transaction) -> Vec<u64> {
        let is_learned = |key: &store::RowKey| key == &rows::learned_key();
        while !self.is_stopped() {
            match self.deps.store.commit(&transaction).await {
                Ok(store::Commit::Applied { version }) => {
                    return vec![version; transaction.writes.len()];
                }
                Ok(store::Commit::Conflict { rows: current_rows }) => {
                    // If an earlier attempt was applied but its reply was lost, the rows hold the
                    // values of this transaction. The reply has only rows with a condition.
                    let has_condition = |key: &store::RowKey| {
                        let mut conditions = transaction.conditions.iter();
                        conditions.any(|condition| &condition.key == key)
                    };
                    let versions: Option<Vec<u64>> = transaction
                        .writes
                        .iter()
                        .filter(|(key, _)| has_condition(key))
                        .map(|(key, value)| {
                            let row = current_rows.iter().find(|row| &row.key == key)?;
                            (row.value.as_ref() == Some(value)).then_some(row.version)
                        })
                        .collect();
                    match versions {
                        Some(versions) => return versions,
                        None => {
                            spdlog::warn!("deposed", kv: { epoch = self.epoch.0, by = "store" });
                            self.stop();
                        }
                    }
                }
                // The optional row must not keep the progress from being stored.
                Err(PlatformError::Rejected { reason })
                    if transaction.writes.iter().any(|(key, _)| is_learned(key)) =>
                {
                    spdlog::error!("the store rejects the progress; retrying without learned state", kv: {
                        jobs = transaction.writes.len(), reason = reason.as_str()
                    });
                    transaction.writes.retain(|(key, _)| !is_learned(key));
                }
                Err(error) => {
                    let reason = error.to_string();
                    spdlog::warn!("failed to store the progress of jobs; retrying", kv: {
                        jobs = transaction.writes.len(), reason = reason.as_str()
                    });
                    self.deps.clock.sleep(STORE_RETRY_DELAY).await;
                }
            }
        }
        Vec::new()
    }

    /// Removes the rows of jobs whose retention time is over. The progress row of a job is removed
    /// only once its inbox row is known to be gone: an inbox row without a progress row would run
    /// again as a new job. What can't be removed now is tried again.
    async fn remove_expired(&self) {
        // Each job takes two removals in a transaction on an inbox partition.
        let now = self.now();
        let expired = self.lock().expired_jobs(JOBS_PER_COMMIT_MAX / 2, now);
        let mut removed = Vec::new();
        for part in rows::INBOX_PARTS {
            let of_part = expired.iter().filter(|id| rows::inbox_part(id) == part);
            let of_part: Vec<id::JobId> = of_part.cloned().collect();
            let removals = of_part
                .iter()
                .flat_map(|id| [rows::job_key(id), rows::cancel_key(id)]);
            if self.remove_rows(removals.collect(), Vec::new()).await {
                removed.extend(of_part);
            }
        }
        let now = self.now();
        self.lock().confirm_removal(&removed, now);
        let removals = removed.iter().map(rows::progress_key);
        self.remove_rows(removals.collect(), vec![self.epoch_condition.clone()])
            .await;
    }

    /// Removes rows and returns whether they are known to be gone.
    async fn remove_rows(
        &self,
        removals: Vec<store::RowKey>,
        conditions: Vec<store::Condition>,
    ) -> bool {
        if removals.is_empty() {
            return true;
        }
        let transaction = store::Transaction {
            conditions,
            writes: Vec::new(),
            removals,
        };
        match self.deps.store.commit(&transaction).await {
            Ok(store::Commit::Applied { .. }) => true,
            Ok(store::Commit::Conflict { .. }) => false,
            Err(error) => {
                let reason = error.to_string();
                spdlog::warn!("failed to remove the rows of expired jobs", kv: {
                    rows = transaction.removals.len(), reason = reason.as_str()
                });
                false
            }
        }
    }
}
