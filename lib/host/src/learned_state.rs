//! The row of learned state, which lets a new scheduler continue with the speeds of servers and the
//! demand that its predecessor has learned.

use std::collections::BTreeMap;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_jobs::learned::LearnedState;
use camphorbeam_jobs::{headroom, interference};
use camphorbeam_model::id;
use camphorbeam_platform::store;
use serde_json::value::{self, RawValue};

use crate::rows;

/// Largest size of the value of the row.
pub const ROW_MAX_BYTES: usize = 16_000;

/// Largest size of the section of speeds. 350 servers need about 7 kB.
const SPEEDS_MAX_BYTES: usize = 9_000;

/// Largest size of the section of headroom averages. One service needs about 50 bytes.
const HEADROOM_MAX_BYTES: usize = 1_000;

/// Largest size of the section of interference. The sum of all leaves 500 bytes of
/// [`ROW_MAX_BYTES`] to the other fields.
pub const INTERFERENCE_MAX_BYTES: usize = 5_500;

const _: () = assert!(interference::SNAPSHOT_MAX_BYTES <= INTERFERENCE_MAX_BYTES);

/// Shortest time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_secs(2);

/// Time after which the row is written again although it hasn't changed, so that its age doesn't
/// make a successor ignore it.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// Age beyond which a successor ignores the row.
const ROW_MAX_AGE: Duration = Duration::from_secs(60);

/// Bytes that an entry of a section takes beside its key and its value: quotes, colon and comma.
const ENTRY_OVERHEAD_BYTES: usize = 4;

/// Value of the row. Sections are optional and parsed one by one, and unknown fields are ignored,
/// so that builds with other sections or other forms of them can share the row.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct LearnedRow {
    /// Time of the write by the store's clock, as the writer estimates it.
    pub store_ms: u64,
    /// Speeds of servers: logarithm in hundredths by server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speeds: Option<Box<RawValue>>,
    /// Headroom averages by service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub headroom: Option<Box<RawValue>>,
    /// Kinds of tasks that slow each other down; at most [`INTERFERENCE_MAX_BYTES`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub interference: Option<Box<RawValue>>,
}

/// Result of reading the row at the start of a scheduler.
#[derive(Clone, Debug, PartialEq)]
pub enum Restored {
    /// The learned state, and the age of the row in milliseconds.
    State(LearnedState, u64),
    /// There is no row.
    Missing,
    /// The row is too old or can't be parsed.
    Ignored(String),
}

/// Reads the value of the row at `store_ms`, a time by the store's clock. A section that can't be
/// parsed counts as empty.
pub fn restore(value: Option<&str>, store_ms: u64) -> Restored {
    let Some(text) = value else {
        return Restored::Missing;
    };
    let row: LearnedRow = match serde_json::from_str(text) {
        Ok(row) => row,
        Err(error) => return Restored::Ignored(format!("the row can't be parsed: {error}")),
    };
    // The writer estimates the time, so it may be slightly ahead.
    let age_ms = store_ms.abs_diff(row.store_ms);
    match age_ms > clock::as_ms(ROW_MAX_AGE) {
        true => Restored::Ignored(format!("the row is {age_ms} ms old")),
        false => {
            let state = LearnedState {
                speeds: parse_entries("speeds", row.speeds),
                headroom: parse_entries("headroom", row.headroom),
                interference: parse_section("interference", row.interference),
            };
            Restored::State(state, age_ms)
        }
    }
}

fn parse_section<T: Default + serde::de::DeserializeOwned>(
    name: &'static str,
    section: Option<Box<RawValue>>,
) -> T {
    let parsed = section.map(|section| serde_json::from_str(section.get()));
    let parsed = parsed.transpose();
    parsed
        .map(Option::unwrap_or_default)
        .unwrap_or_else(|error| {
            let reason = error.to_string();
            spdlog::warn!("ignored a section of the learned state", kv: {
                section = name, reason = reason.as_str()
            });
            T::default()
        })
}

/// Like [`parse_section`], for a section with entries by name: ignores those that can't be parsed.
fn parse_entries<K, V>(name: &'static str, section: Option<Box<RawValue>>) -> BTreeMap<K, V>
where
    K: Ord + std::str::FromStr,
    V: serde::de::DeserializeOwned,
{
    let entries: BTreeMap<String, Box<RawValue>> = parse_section(name, section);
    let count = entries.len();
    let parsed: BTreeMap<K, V> = entries
        .into_iter()
        .filter_map(|(key, value)| {
            Some((key.parse().ok()?, serde_json::from_str(value.get()).ok()?))
        })
        .collect();
    if parsed.len() < count {
        spdlog::warn!("ignored entries of the learned state", kv: {
            section = name, entries = (count - parsed.len())
        });
    }
    parsed
}

/// The value of the row for `state`. Drops what exceeds the maximum sizes, the servers of the
/// smallest deviations and the services of the smallest demand first.
///
/// # Errors
///
/// Fails if the row can't be serialized.
pub fn encode(state: &LearnedState, store_ms: u64) -> Result<String, serde_json::Error> {
    let mut speeds: Vec<(&id::BackendServerId, i32)> =
        state.speeds.iter().map(|(id, log)| (id, *log)).collect();
    speeds.sort_by_key(|(_, log)| std::cmp::Reverse(log.abs()));
    let speeds = take_within(SPEEDS_MAX_BYTES, speeds, id::BackendServerId::as_str)?;
    let mut headroom: Vec<(&id::ServiceName, headroom::Averages)> =
        state.headroom.iter().map(|(id, of)| (id, *of)).collect();
    headroom.sort_by(|(_, one), (_, other)| other.mean.total_cmp(&one.mean));
    let headroom = take_within(HEADROOM_MAX_BYTES, headroom, id::ServiceName::as_str)?;
    serde_json::to_string(&LearnedRow {
        store_ms,
        speeds: Some(value::to_raw_value(&speeds)?),
        headroom: Some(value::to_raw_value(&headroom)?),
        interference: match state.interference.pairs.is_empty() {
            true => None,
            false => Some(value::to_raw_value(&state.interference)?),
        },
    })
}

/// The first entries that together take at most `size_max_bytes`.
fn take_within<K, V: serde::Serialize>(
    size_max_bytes: usize,
    entries: Vec<(&K, V)>,
    name: impl Fn(&K) -> &str,
) -> Result<BTreeMap<String, V>, serde_json::Error> {
    let mut taken = BTreeMap::new();
    let mut size_bytes = 0;
    for (key, value) in entries {
        let key = name(key);
        size_bytes += key.len() + serde_json::to_string(&value)?.len() + ENTRY_OVERHEAD_BYTES;
        if size_bytes > size_max_bytes {
            break;
        }
        taken.insert(key.to_owned(), value);
    }
    Ok(taken)
}

/// Decides when the row is written.
#[derive(Debug, Default)]
pub struct Writer {
    /// The state that was last sent to the store, and when.
    written: Option<(LearnedState, clock::Monotonic)>,
}

impl Writer {
    /// Records that `state` was restored from a row that is `age_ms` old.
    pub fn record_restored(&mut self, state: LearnedState, age_ms: u64, now: clock::Monotonic) {
        let written_at = clock::Monotonic {
            since_origin_ms: now.since_origin_ms.saturating_sub(age_ms),
        };
        self.written = Some((state, written_at));
    }

    /// Whether enough time has passed since the last write for another one.
    pub fn may_write(&self, now: clock::Monotonic) -> bool {
        let mut written = self.written.iter();
        written.all(|(_, at)| now.since(*at) >= WRITE_INTERVAL)
    }

    /// Whether the row has to be written although it hasn't changed.
    pub fn must_refresh(&self, now: clock::Monotonic) -> bool {
        let mut written = self.written.iter();
        written.all(|(_, at)| now.since(*at) >= REFRESH_INTERVAL)
    }

    /// The write of `state`, if the state has changed enough or the row must be refreshed; counts
    /// as written. Nothing is written while nothing was learned.
    pub fn next_write(
        &mut self,
        state: LearnedState,
        store_ms: u64,
        now: clock::Monotonic,
    ) -> Option<(store::RowKey, String)> {
        let is_due = match &self.written {
            Some((written, _)) => self.must_refresh(now) || state.differs_enough(written),
            None => state.differs_enough(&LearnedState::default()),
        };
        if !is_due || !self.may_write(now) {
            return None;
        }
        match encode(&state, store_ms) {
            Ok(text) => {
                self.written = Some((state, now));
                Some((rows::learned_key(), text))
            }
            Err(error) => {
                let reason = error.to_string();
                spdlog::error!("failed to serialize the learned state", kv: {
                    reason = reason.as_str()
                });
                None
            }
        }
    }
}
