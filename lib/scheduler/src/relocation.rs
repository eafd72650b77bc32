//! Moves waiting requests of availability zones that have no active scheduler to this zone.
//!
//! A zone counts as abandoned when two reads of its lease row, at least [`ABANDONED_AFTER_LEASES`]
//! lease durations apart, and all successful reads in between show the same version. Failed reads
//! don't restart this time: after an outage of the platform that lasts longer, the first read finds
//! every zone abandoned whose scheduler has not renewed its lease yet.
//!
//! The scheduler of an abandoned zone may still be running but unable to reach the platform. Moving
//! a request is a conditional write of its row, so either the old zone's start record or the move
//! succeeds, never both: a request that is not idempotent can't start in both zones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{id, record, verdict};
use camphorbeam_platform::{commit_retry, committer, keys, table};
use camphorbeam_protocol::messages;

use crate::zone::ZoneScheduler;
use crate::{attempt, records, request_telemetry};

/// Number of lease durations without a renewal after which a zone counts as abandoned.
const ABANDONED_AFTER_LEASES: u32 = 30;

/// Interval between two checks of the other zones, in lease durations.
const CHECK_INTERVAL_LEASES: u32 = 5;

/// Maximum number of requests considered per abandoned zone in one check.
///
/// Each check considers the open requests that follow those of the check before in the order of
/// their ids, and begins anew after the last one. Those that can't be moved keep none behind them in
/// the abandoned zone for longer than the checks of all open requests take.
const REQUESTS_PER_ZONE_CHECK_MAX: usize = 64;

/// Watches the scheduler leases of the other zones.
#[derive(Debug, Default)]
pub struct Relocation {
    seen: BTreeMap<id::ZoneName, SeenLease>,
    /// Key of the last index entry considered, by abandoned zone; none at the first one.
    last_keys: BTreeMap<id::ZoneName, Arc<str>>,
    last_checked_at: Option<clock::Monotonic>,
}

#[derive(Clone, Copy, Debug)]
struct SeenLease {
    row_version: u64,
    changed_at: clock::Monotonic,
}

impl Relocation {
    /// Checks the other zones if a check is due, and moves the waiting requests of abandoned ones
    /// to this zone.
    ///
    /// # Errors
    ///
    /// Returns the error of the first call to the platform that fails; a later check tries the
    /// remaining requests again.
    pub async fn run(
        &mut self,
        zone: &ZoneScheduler,
        others: Vec<id::ZoneName>,
    ) -> Result<(), table::PlatformError> {
        let now = zone.now();
        let interval = zone.deps.settings.scheduler_lease * CHECK_INTERVAL_LEASES;
        let is_due = self
            .last_checked_at
            .is_none_or(|at| now.since(at) >= interval);
        if !is_due || !zone.may_decide() {
            return Ok(());
        }
        self.last_checked_at = Some(now);
        for other in self.abandoned_zones(zone, &others, now).await? {
            self.move_waiting_requests(zone, &other).await?;
        }
        Ok(())
    }

    async fn abandoned_zones(
        &mut self,
        zone: &ZoneScheduler,
        others: &[id::ZoneName],
        now: clock::Monotonic,
    ) -> Result<Vec<id::ZoneName>, table::PlatformError> {
        let lease_keys: Vec<Arc<str>> = others.iter().map(keys::lease).collect();
        let rows = zone.deps.table.read(&lease_keys).await?;
        let limit = zone.deps.settings.scheduler_lease * ABANDONED_AFTER_LEASES;
        let mut abandoned = Vec::new();
        for (other, key) in others.iter().zip(&lease_keys) {
            // A zone that never had a scheduler has no lease row. It counts as abandoned as well,
            // because it has no scheduler that could run its requests.
            let row_version = rows
                .iter()
                .find(|row| row.key == *key)
                .map_or(0, |row| row.version);
            if self.unchanged_for(other, row_version, now) >= limit {
                abandoned.push(other.clone());
            }
        }
        Ok(abandoned)
    }

    fn unchanged_for(
        &mut self,
        other: &id::ZoneName,
        row_version: u64,
        now: clock::Monotonic,
    ) -> Duration {
        let changed = SeenLease {
            row_version,
            changed_at: now,
        };
        let seen = self.seen.entry(other.clone()).or_insert(changed);
        if seen.row_version != row_version {
            *seen = changed;
        }
        now.since(seen.changed_at)
    }

    /// Moves those of the next open requests of an abandoned zone that wait.
    async fn move_waiting_requests(
        &mut self,
        zone: &ZoneScheduler,
        from: &id::ZoneName,
    ) -> Result<(), table::PlatformError> {
        let prefix = keys::open_prefix(from);
        let after = self.last_keys.get(from).map_or("", |key| key);
        let index = zone
            .deps
            .table
            .scan(&prefix, after, REQUESTS_PER_ZONE_CHECK_MAX)
            .await?;
        let requests = index
            .iter()
            .filter_map(|row| row.key.strip_prefix(&prefix))
            .filter_map(|text| id::RequestId::new(text).ok());
        for request in requests {
            let key = keys::request(&request);
            for row in zone.deps.table.read(std::slice::from_ref(&key)).await? {
                move_request(zone, from, &row).await;
            }
        }
        match index.last() {
            Some(last) if index.len() == REQUESTS_PER_ZONE_CHECK_MAX => {
                self.last_keys.insert(from.clone(), Arc::clone(&last.key));
            }
            _ => {
                self.last_keys.remove(from);
            }
        }
        Ok(())
    }
}

/// Moves a request to this zone if it is waiting, is not bound to a zone and is admitted here.
async fn move_request(zone: &ZoneScheduler, from: &id::ZoneName, row: &table::Row) {
    let Ok(record) = serde_json::from_value::<record::RequestRecord>(row.value.clone()) else {
        return;
    };
    let is_movable = record.state == record::RequestState::Waiting
        && record.zone == *from
        && record.spec.zone.is_none();
    let admission = messages::Admission {
        id: record.id.clone(),
        spec: record.spec.clone(),
    };
    if !is_movable || zone.admit(&admission).is_err() {
        return;
    }
    let moved = moved_record(zone, from, &record);
    let entry = commit_entry(from, &moved, row.version);
    if zone.deps.committer.commit(entry).await == commit_retry::Outcome::Committed {
        if let Some(step) = moved.steps.last() {
            request_telemetry::report_step(zone, &moved.id, step);
        }
        zone.enqueue(messages::Enqueue {
            record: moved,
            row_version: row.version + 1,
        });
    }
}

fn moved_record(
    zone: &ZoneScheduler,
    from: &id::ZoneName,
    record: &record::RequestRecord,
) -> record::RequestRecord {
    let step = zone.stamp(records::NewStep {
        event: record::HistoryEvent::Moved,
        attempt: record.last_attempt,
        verdict: match record.spec.idempotent {
            // The old zone may have started it without a start record.
            true => verdict::Verdict::MayHaveRun,
            false => verdict::Verdict::NotRun,
        },
        detail: format!(
            "from zone {from}, which nobody schedules, to zone {}",
            zone.deps.settings.zone
        ),
    });
    let mut moved = record.with_entry(record::RequestState::Waiting, step);
    moved.zone = zone.deps.settings.zone.clone();
    if moved.spec.idempotent {
        moved.last_attempt = attempt::floor_after_move(moved.last_attempt);
    }
    moved
}

/// Returns the commit entry that moves a request, conditional on the rows of the request only.
///
/// It does not require this zone's epoch row, so a scheduler that was deposed in the meantime may
/// still move the request. The new scheduler of the zone then finds it in a scan for requests that
/// were never handed over.
fn commit_entry(
    from: &id::ZoneName,
    moved: &record::RequestRecord,
    row_version: u64,
) -> committer::Entry {
    let row_key = keys::request(&moved.id);
    let old_key = keys::open_request(from, &moved.id);
    let new_key = keys::open_request(&moved.zone, &moved.id);
    let mut transaction = table::Transaction::default();
    transaction.require(&row_key, row_version);
    // An open-request row is written once and never updated, so its version is 1. Version 0 means
    // that the row does not exist.
    transaction.require(&old_key, 1);
    transaction.require(&new_key, 0);
    transaction.put(&row_key, serde_json::json!(moved));
    transaction.delete(&old_key);
    transaction.put(&new_key, serde_json::json!({}));
    // `moved_record` has added a step, so there is always a token.
    let token = moved.steps.last().map(|step| Arc::clone(&step.token));
    committer::Entry {
        transaction,
        token_row_key: row_key,
        token: token.unwrap_or_else(|| Arc::from("")),
    }
}
