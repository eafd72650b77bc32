//! The store through the own connection or, while that fails, through another host.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future;

use crate::{metrics, peers};

/// How long the own connection is left alone after it failed.
const DIRECT_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Hosts that are asked for one call.
const PEERS_TRIED_MAX: usize = 3;

/// Time after which no further host is asked for one call.
const RELAY_TIME_LIMIT: Duration = Duration::from_millis(600);

/// Wait before a feed that can't be followed is given up, so that its reader does not spin.
const FEED_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time without any way to the store after which this is said to be lost.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(2_000);

/// The ways to the store.
pub struct RelayedStore {
    direct: Arc<dyn Store>,
    peers: Arc<peers::Peers>,
    clock: clock::Clock,
    metrics: Arc<metrics::Metrics>,
    connectivity: Mutex<Connectivity>,
}

#[derive(Debug, Default)]
struct Connectivity {
    direct_failed_at: Option<clock::Monotonic>,
    direct_succeeded_at: Option<clock::Monotonic>,
    reached_at: Option<clock::Monotonic>,
}

impl RelayedStore {
    /// Uses `direct` first.
    pub fn new(
        direct: Arc<dyn Store>,
        peers: Arc<peers::Peers>,
        clock: clock::Clock,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        Self {
            direct,
            peers,
            clock,
            metrics,
            connectivity: Mutex::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Connectivity> {
        self.connectivity
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the own connection is to be used.
    fn is_direct_usable(&self) -> bool {
        let now = self.clock.now();
        self.lock()
            .direct_failed_at
            .is_none_or(|failed_at| now.since(failed_at) >= DIRECT_RETRY_DELAY)
    }

    /// Whether the own connection has worked in its newest call.
    pub fn is_direct_working(&self) -> bool {
        let connectivity = self.lock();
        connectivity.direct_failed_at.is_none() && connectivity.direct_succeeded_at.is_some()
    }

    /// Whether the store was reached lately, by any way.
    pub fn is_reachable(&self) -> bool {
        let now = self.clock.now();
        self.lock()
            .reached_at
            .is_some_and(|reached_at| now.since(reached_at) < UNREACHABLE_AFTER)
    }

    fn count_call<T>(
        &self,
        way: &'static str,
        result: &Result<T, PlatformError>,
        sent_at: clock::Monotonic,
    ) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(PlatformError::NotApplied { .. }) => "not_applied",
            Err(PlatformError::Rejected { .. }) => "rejected",
            Err(PlatformError::Unknown { .. }) => "unknown",
        };
        let took = self.clock.now().since(sent_at);
        self.metrics.record_store_call(way, outcome, took);
    }

    fn record_direct<T>(&self, result: &Result<T, PlatformError>) {
        let now = self.clock.now();
        let mut connectivity = self.lock();
        match result {
            Ok(_) | Err(PlatformError::Rejected { .. }) => {
                if connectivity.direct_failed_at.take().is_some() {
                    spdlog::info!("store regained", kv: { way = "direct" });
                }
                connectivity.direct_succeeded_at = Some(now);
                connectivity.reached_at = Some(now);
            }
            Err(error) => {
                if connectivity.direct_failed_at.is_none() {
                    let reason = error.to_string();
                    spdlog::warn!("store lost", kv: { way = "direct", reason = reason.as_str() });
                }
                connectivity.direct_failed_at = Some(now);
            }
        }
    }

    fn record_relayed<T>(&self, address: SocketAddr, result: &Result<T, PlatformError>) {
        match result {
            Ok(_) | Err(PlatformError::Rejected { .. }) => {
                self.lock().reached_at = Some(self.clock.now());
            }
            Err(_) => self.peers.demote(address),
        }
    }

    /// Reads by the own connection alone, also while it is left alone for other calls.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`].
    pub async fn direct_rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        let sent_at = self.clock.now();
        let result = self.direct.rows(table, part, from, to).await;
        self.count_call("direct", &result, sent_at);
        self.record_direct(&result);
        result
    }

    /// Reads through other hosts. All are asked at once: one after the other, silent ones would add
    /// up to many seconds.
    ///
    /// # Errors
    ///
    /// As [`Store::rows`], if no host could read.
    pub async fn relayed_rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        let reads = self.relay_candidates().into_iter().map(|address| {
            Box::pin(async move {
                let sent_at = self.clock.now();
                let result = self.peers.rows(address, table, part, from, to).await;
                self.count_call("relay", &result, sent_at);
                self.record_relayed(address, &result);
                result
            })
        });
        let reads: Vec<_> = reads.collect();
        match reads.is_empty() {
            true => Err(unreachable_error()),
            false => future::select_ok(reads).await.map(|(rows, _)| rows),
        }
    }

    fn relay_candidates(&self) -> Vec<SocketAddr> {
        let mut order = self.peers.preferred_order();
        order.truncate(PEERS_TRIED_MAX);
        order
    }
}

fn unreachable_error() -> PlatformError {
    PlatformError::NotApplied {
        reason: "neither the own connection nor another host reaches the store".to_owned(),
    }
}

#[async_trait]
impl Store for RelayedStore {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        if self.is_direct_usable() {
            match self.direct_rows(table, part, from, to).await {
                Ok(rows) => return Ok(rows),
                Err(error @ PlatformError::Rejected { .. }) => return Err(error),
                // The outcome is in the log and the metrics; another host may do better.
                Err(_) => {}
            }
        }
        self.relayed_rows(table, part, from, to).await
    }

    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        let mut last_error = unreachable_error();
        if self.is_direct_usable() {
            let sent_at = self.clock.now();
            let result = self.direct.commit(transaction).await;
            self.count_call("direct", &result, sent_at);
            self.record_direct(&result);
            match result {
                Err(error @ PlatformError::NotApplied { .. }) => last_error = error,
                other => return other,
            }
        }
        let started_at = self.clock.now();
        for address in self.relay_candidates() {
            let sent_at = self.clock.now();
            if sent_at.since(started_at) > RELAY_TIME_LIMIT {
                break;
            }
            let result = self.peers.commit(address, transaction).await;
            self.count_call("relay", &result, sent_at);
            self.record_relayed(address, &result);
            match result {
                Err(error @ PlatformError::NotApplied { .. }) => last_error = error,
                other => return other,
            }
        }
        Err(last_error)
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        if !self.is_direct_usable() {
            self.clock.sleep(FEED_RETRY_DELAY).await;
            return Err(unreachable_error());
        }
        let result = self.direct.changes(table, version, wait).await;
        self.record_direct(&result);
        result
    }
}

/// What a host does for its peers: only its own connection counts.
pub struct DirectRelay {
    /// The own ways to the store.
    pub store: Arc<RelayedStore>,
    /// The newest terms in hand.
    pub terms: Arc<dyn Fn() -> Option<Arc<str>> + Send + Sync>,
}

#[async_trait]
impl peers::Relay for DirectRelay {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        match self.store.is_direct_working() {
            true => self.store.direct.rows(table, part, from, to).await,
            false => Err(unreachable_error()),
        }
    }

    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        match self.store.is_direct_working() {
            true => self.store.direct.commit(transaction).await,
            false => Err(unreachable_error()),
        }
    }

    fn terms(&self) -> Option<Arc<str>> {
        (self.terms)()
    }
}
