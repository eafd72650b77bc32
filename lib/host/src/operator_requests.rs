//! Reads the operators' requests for the scheduler of this host: to evacuate zones, and for
//! maintenance.
//!
//! Only full reads count. The change feed that the watcher of the terms follows anyway, of the same
//! table, says when to read; see [`OperatorFeed`].

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_jobs::maintenance;
use camphorbeam_model::id;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;

use crate::{metrics, platform_schema, relay, terms_watcher, wakeup};

/// Longest time between two reads while the feed replies. With the time that a read takes on a slow
/// day (0.35 s), a confirmation stays well below half of `evacuate_ms`.
const READ_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time between two reads while the feed doesn't reply. The system has to react within a second.
const READ_INTERVAL_WITHOUT_FEED: Duration = Duration::from_millis(500);

/// Time since the last reply of the feed from which it counts as silent: its long poll of 700 ms,
/// and the reply of a store that is slow.
const FEED_SILENCE_MAX: Duration = Duration::from_millis(1_300);

/// Delay before retrying a failed read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(120);

/// What the feed of the table with the operators' requests has shown, shared by the watcher of the
/// terms, which follows it, and the scheduler of this host.
#[derive(Debug, Default)]
pub struct OperatorFeed {
    /// Zero before the first reply and while the feed fails.
    replied_at_ms: AtomicU64,
    /// Number of replies so far after which the requests have to be read again.
    changes: AtomicU64,
    wakeup: wakeup::Wakeup,
}

impl OperatorFeed {
    /// Records a reply that arrived at `now`. `may_have_changed` says whether the requests may have
    /// changed since the previous reply.
    pub fn record_reply(&self, now: clock::Monotonic, may_have_changed: bool) {
        self.replied_at_ms
            .store(now.since_origin_ms, Ordering::Relaxed);
        if may_have_changed {
            self.record_change();
        }
    }

    /// Records that the feed has failed.
    pub fn record_failure(&self) {
        if self.replied_at_ms.swap(0, Ordering::Relaxed) != 0 {
            self.record_change();
        }
    }

    fn record_change(&self) {
        self.changes.fetch_add(1, Ordering::Relaxed);
        self.wakeup.wake();
    }

    fn is_silent(&self, now: clock::Monotonic) -> bool {
        let replied_at = clock::Monotonic {
            since_origin_ms: self.replied_at_ms.load(Ordering::Relaxed),
        };
        let has_failed = replied_at == clock::Monotonic::default();
        has_failed || now.since(replied_at) > FEED_SILENCE_MAX
    }
}

/// The requests as of one read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Requests {
    /// Zones to evacuate.
    pub zones: BTreeSet<id::ZoneName>,
    /// When the read was sent, in milliseconds on the monotonic clock.
    pub confirmed_ms: u64,
    /// Requests for maintenance; empty unless they are read.
    pub waves: Vec<maintenance::Wave>,
    /// Time of the read by the store's clock, in milliseconds.
    pub store_ms: u64,
}

/// Reads the requests when they may have changed, and regularly.
pub struct RequestReader {
    store: Arc<relay::RelayedStore>,
    schema: Arc<dyn platform_schema::PlatformSchema>,
    current_terms: Arc<terms_watcher::CurrentTerms>,
    clock: clock::Clock,
    metrics: Arc<metrics::Metrics>,
    evacuate_ms: u64,
    /// Whether requests for maintenance are read, by the same call.
    reads_waves: bool,
    /// Version of the store in the newest reply.
    version: u64,
    /// When the last read was sent, and [`OperatorFeed::changes`] before it.
    last_read: Option<(clock::Monotonic, u64)>,
    /// Malformed keys that the newest read has shown; they are logged once.
    malformed: BTreeSet<String>,
}

impl RequestReader {
    /// Makes the reader read the requests for maintenance too, if `reads_waves`.
    pub fn with_waves(self, reads_waves: bool) -> Self {
        Self {
            reads_waves,
            ..self
        }
    }

    /// Creates a reader whose requests have to be followed within `evacuate_ms`.
    pub fn new(
        store: Arc<relay::RelayedStore>,
        schema: Arc<dyn platform_schema::PlatformSchema>,
        current_terms: Arc<terms_watcher::CurrentTerms>,
        clock: clock::Clock,
        metrics: Arc<metrics::Metrics>,
        evacuate_ms: u64,
    ) -> Self {
        Self {
            store,
            schema,
            current_terms,
            clock,
            metrics,
            evacuate_ms,
            reads_waves: false,
            version: 0,
            last_read: None,
            malformed: BTreeSet::new(),
        }
    }

    /// Waits until a read is due and reads. Returns `None` after a failure, and if the reply is
    /// older than an earlier one.
    pub async fn next(&mut self) -> Option<Requests> {
        while !self.is_due() {
            let limit = self.interval(READ_INTERVAL_WITHOUT_FEED);
            let wakeup = &self.current_terms.operator_feed.wakeup;
            wakeup.wait(&self.clock, limit).await;
        }
        // A call that hangs must not hold up the next one for longer than a confirmation is valid.
        let limit = Duration::from_millis(self.evacuate_ms / 2);
        let clock = self.clock.clone();
        match clock.timeout(limit, self.read()).await {
            Ok(Ok(requests)) => requests,
            Ok(Err(_)) | Err(_) => {
                self.clock.sleep(READ_RETRY_DELAY).await;
                None
            }
        }
    }

    /// `interval`, or less if `evacuate_ms` is shorter than usual.
    fn interval(&self, interval: Duration) -> Duration {
        let usual_ms = camphorbeam_jobs::settings::EVACUATE_MS;
        let ratio = self.evacuate_ms.min(usual_ms) as f64 / usual_ms as f64;
        interval.mul_f64(ratio)
    }

    fn is_due(&self) -> bool {
        let Some((sent_at, changes)) = self.last_read else {
            return true;
        };
        let feed = &self.current_terms.operator_feed;
        let now = self.clock.now();
        let interval = match feed.is_silent(now) {
            true => self.interval(READ_INTERVAL_WITHOUT_FEED),
            false => self.interval(READ_INTERVAL),
        };
        changes != feed.changes.load(Ordering::Relaxed) || now.since(sent_at) >= interval
    }

    /// Reads the requests. Returns `None` if the reply is older than an earlier one.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be read.
    pub async fn read(&mut self) -> Result<Option<Requests>, PlatformError> {
        let sent_at = self.clock.now();
        let changes = &self.current_terms.operator_feed.changes;
        self.last_read = Some((sent_at, changes.load(Ordering::Relaxed)));
        let evacuations = self.schema.evacuation_range();
        let waves = self.schema.wave_range().filter(|_| self.reads_waves);
        let joined = waves.as_ref().and_then(|waves| evacuations.joined(waves));
        let range = joined.as_ref().unwrap_or(&evacuations);
        let reading = self
            .store
            .rows(&range.table, &range.part, &range.from, &range.to);
        // Until it succeeds, the read counts as due.
        let last_read = self.last_read.take();
        let rows = reading.await?;
        self.last_read = last_read;
        if rows.version < self.version {
            return Ok(None);
        }
        self.version = rows.version;
        let mut zones = BTreeSet::new();
        let mut requested = Vec::new();
        let mut malformed = BTreeSet::new();
        for row in &rows.rows {
            let is_wave = waves.as_ref().is_some_and(|waves| waves.contains(&row.key));
            let decoded = match () {
                () if evacuations.contains(&row.key) => {
                    let zone = self.schema.decode_evacuation(&row.key);
                    zone.map(|zone| {
                        zones.insert(zone);
                    })
                }
                () if is_wave => self
                    .schema
                    .decode_wave(row)
                    .map(|wave| requested.push(wave)),
                // Between the two ranges.
                () => continue,
            };
            if let Err(error) = decoded {
                self.report_malformed(row, is_wave, &error.to_string());
                malformed.insert(row.key.key.clone());
            }
        }
        self.malformed = malformed;
        Ok(Some(Requests {
            zones,
            confirmed_ms: sent_at.since_origin_ms,
            waves: requested,
            store_ms: rows.store_ms,
        }))
    }

    fn report_malformed(&self, row: &store::Row, is_wave: bool, reason: &str) {
        let key = row.key.key.as_str();
        if self.malformed.contains(key) {
            return;
        }
        spdlog::warn!("ignored a malformed request of an operator", kv: { key, reason });
        match is_wave {
            true => self.metrics.record_maintenance("malformed"),
            false => self.metrics.record_evacuation("malformed"),
        }
    }
}
