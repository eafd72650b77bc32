//! Watches the store and other hosts for new terms, which are the configuration that operators
//! write. The version of the current terms only increases.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{id, terms};
use camphorbeam_platform::store;
use futures::future;

use crate::{feed_pacing, operator_requests, peers, platform_schema, relay, terms_parts, wakeup};

/// Long-poll timeout of a request for changes. A connection that hangs without being closed is
/// noticed at the latest after this time plus the read timeout of the store's client.
const FEED_POLL_TIMEOUT: Duration = Duration::from_millis(700);

/// Time from one full read to the next, which finds changes that the feed missed.
const READ_INTERVAL: Duration = Duration::from_millis(5_000);

/// Time from one full read to the next, as a multiple of the duration of the first. Large terms
/// take the whole of a narrow link, and then other calls wait.
const READ_PAUSE_RATIO: u32 = 20;

/// Delay before retrying a failed call to the store.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Time between two rounds of requests to other hosts.
const PEER_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a request for a part of another host's terms, which has them in memory, and of a read
/// from the store through other hosts.
const PEER_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of other hosts that are asked for their terms in one round.
const PEERS_PER_ROUND: usize = 2;

/// Number of unreadable entries of one version that are logged.
const UNREADABLE_LOGGED_MAX: usize = 20;

/// The newest terms that this host has received.
#[derive(Debug, Default)]
pub struct CurrentTerms {
    /// What the feed of the table with the terms has shown of the operators' other requests.
    pub operator_feed: operator_requests::OperatorFeed,
    state: Mutex<State>,
    subscribers: Mutex<Vec<wakeup::Wakeup>>,
}

#[derive(Debug, Default)]
struct State {
    terms: Arc<terms::Terms>,
    text: Option<Arc<str>>,
    /// Newest time at which a reply of the store, directly or through a host that reaches it, has
    /// shown these terms to be the newest ones.
    confirmed_at: Option<clock::Monotonic>,
}

impl CurrentTerms {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current terms, which have version zero before any are received.
    pub fn terms(&self) -> Arc<terms::Terms> {
        Arc::clone(&self.lock().terms)
    }

    /// Returns the current terms in the operators' original text, or `None` before any are
    /// received.
    pub fn source_terms(&self) -> Option<terms_parts::SourceTerms> {
        let state = self.lock();
        state.text.clone().map(|text| terms_parts::SourceTerms {
            version: state.terms.version,
            text,
        })
    }

    /// Wakes `subscriber` at each new version, for the life of this object.
    pub fn subscribe(&self, subscriber: wakeup::Wakeup) {
        let mut subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        subscribers.push(subscriber);
    }

    /// Decodes terms from the operators' text and makes them current if their version is newer.
    /// Logs and ignores text that can't be decoded.
    ///
    /// `way` names the source in the log: `read` or `feed` for the store through this host's own
    /// connection, `relay` for the store through another host, and `peer` for another host's own
    /// terms.
    pub fn apply_if_newer(
        &self,
        schema: &dyn platform_schema::PlatformSchema,
        text: &str,
        way: &'static str,
    ) {
        if self.lock().text.as_deref() == Some(text) {
            return;
        }
        let decoded = match schema.decode_terms(text) {
            Ok(decoded) => decoded,
            Err(error) => {
                let reason = error.to_string();
                spdlog::error!("failed to decode the terms", kv: { reason = reason.as_str() });
                return;
            }
        };
        let mut state = self.lock();
        let previous = state.terms.version;
        if decoded.version <= previous {
            return;
        }
        spdlog::info!("terms in force", kv: {
            version = decoded.version.0, before = previous.0, queues = decoded.queues.len(), way,
            unreadable = decoded.unreadable.len()
        });
        for entry in decoded.unreadable.iter().take(UNREADABLE_LOGGED_MAX) {
            spdlog::error!("unreadable entry of the terms", kv: {
                version = decoded.version.0, path = entry.path.as_str(),
                reason = entry.reason.as_str(), effect = entry.effect
            });
        }
        state.terms = Arc::new(decoded);
        state.text = Some(Arc::from(text));
        drop(state);
        let subscribers = self
            .subscribers
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for subscriber in subscribers.iter() {
            subscriber.wake();
        }
    }

    /// Records that the current terms were the newest ones in a reply that arrived at `now`.
    fn record_confirmation(&self, now: clock::Monotonic) {
        self.lock().confirmed_at = Some(now);
    }

    /// Returns the time from the newest reply of the store that confirmed the current terms until
    /// `now`, or `None` before the first one.
    pub fn confirmation_age(&self, now: clock::Monotonic) -> Option<Duration> {
        self.lock().confirmed_at.map(|at| now.since(at))
    }

    /// Returns the version of the current terms.
    pub fn version(&self) -> id::TermsVersion {
        self.lock().terms.version
    }
}

/// Result of one call to the store for new terms.
enum Step {
    /// The version of the store in its reply.
    Continue(u64),
    /// The call failed, with the reason. Calls may fail while others work.
    Failed(String),
    /// The changes since the last version are gone, so the row has to be read.
    HistoryGone,
}

/// Updates the current terms from the store and, while this host's own connection to it fails,
/// through or from other hosts.
pub struct TermsWatcher {
    /// Receives new versions.
    pub current_terms: Arc<CurrentTerms>,
    /// Holds the row with the terms.
    pub store: Arc<relay::RelayedStore>,
    /// Other hosts, asked for their terms while the store can't be reached directly or through
    /// them.
    pub peers: Arc<peers::Peers>,
    /// Locates and decodes the row with the terms.
    pub schema: Arc<dyn platform_schema::PlatformSchema>,
    /// Measures intervals and timeouts.
    pub clock: clock::Clock,
}

impl TermsWatcher {
    /// Runs forever. Watches the store and asks other hosts concurrently, so that neither waits for
    /// the other.
    pub async fn run(self) {
        future::join(self.watch_store(), self.watch_peers()).await;
    }

    async fn watch_store(&self) {
        // All changes up to this version of the store are known. A read may be of an older one.
        let mut version = 0;
        let mut read_due_at = clock::Monotonic::default();
        let mut is_failing = false;
        let mut pacing = feed_pacing::FeedPacing::new(self.clock.clone());
        loop {
            let started_at = self.clock.now();
            let is_read_due = started_at >= read_due_at;
            let step = match is_read_due {
                true => self.read_row().await,
                false => self.poll_changes(version).await,
            };
            let now = self.clock.now();
            match &step {
                Step::Continue(newest) => {
                    is_failing = false;
                    if is_read_due {
                        let pause = READ_PAUSE_RATIO * now.since(started_at);
                        read_due_at = now.plus(READ_INTERVAL.max(pause));
                    }
                    match *newest > version {
                        true => pacing.record_productive(),
                        false => pacing.record_unproductive().await,
                    }
                    version = version.max(*newest);
                    continue;
                }
                // The feed will continue where it was, which costs less than a read of large terms.
                Step::Failed(_) if version > 0 && !self.store.is_direct_working() => {
                    read_due_at = read_due_at.max(now.plus(READ_INTERVAL));
                }
                Step::Failed(_) | Step::HistoryGone => read_due_at = now,
            }
            if !is_failing {
                self.log_failure(is_read_due, &step);
            }
            is_failing = true;
            self.clock.sleep(RETRY_DELAY).await;
        }
    }

    /// Reads the terms through this host's own connection.
    async fn read_row(&self) -> Step {
        let key = self.schema.terms_key();
        let end = format!("{}\0", key.key);
        let reading = self
            .store
            .direct_rows(&key.table, &key.part, &key.key, &end);
        let mut rows = match reading.await {
            Ok(rows) => rows,
            Err(error) => return Step::Failed(error.to_string()),
        };
        if let Some(text) = rows.rows.pop().and_then(|row| row.value) {
            self.current_terms
                .apply_if_newer(&*self.schema, &text, "read");
        }
        self.current_terms.record_confirmation(self.clock.now());
        // The feed continues from the version of this read, so it doesn't show earlier changes of
        // other rows.
        self.record_feed_reply(true);
        Step::Continue(rows.version)
    }

    async fn poll_changes(&self, version: u64) -> Step {
        let row_key = self.schema.terms_key();
        match self
            .store
            .direct_changes(&row_key.table, version, FEED_POLL_TIMEOUT)
            .await
        {
            Ok(store::Changes::Rows(changes)) => {
                let newest = changes.rows.iter().rev().find(|row| row.key == row_key);
                if let Some(text) = newest.and_then(|row| row.value.as_deref()) {
                    self.current_terms
                        .apply_if_newer(&*self.schema, text, "feed");
                }
                self.current_terms.record_confirmation(self.clock.now());
                let evacuations = self.schema.evacuation_range();
                let waves = self.schema.wave_range();
                let has_request = changes.rows.iter().any(|row| {
                    let is_wave = waves.as_ref().is_some_and(|range| range.contains(&row.key));
                    is_wave || evacuations.contains(&row.key)
                });
                self.record_feed_reply(has_request);
                Step::Continue(changes.version)
            }
            Ok(store::Changes::HistoryGone) => {
                self.current_terms.operator_feed.record_failure();
                Step::HistoryGone
            }
            Err(error) => {
                self.current_terms.operator_feed.record_failure();
                Step::Failed(error.to_string())
            }
        }
    }

    /// Logs that a call for new terms failed, with what this host holds meanwhile.
    fn log_failure(&self, is_read: bool, step: &Step) {
        let reason = match step {
            Step::Failed(reason) => reason.as_str(),
            Step::HistoryGone => "the store has dropped its history",
            Step::Continue(_) => return,
        };
        let way = if is_read { "read" } else { "feed" };
        let age = self.current_terms.confirmation_age(self.clock.now());
        let age_ms = age.map_or(-1, |age| age.as_millis() as i64);
        spdlog::warn!("terms not confirmed", kv: {
            way, reason, version = self.current_terms.version().0, age_ms
        });
    }

    /// Passes a reply on if the table also holds the operators' requests.
    fn record_feed_reply(&self, may_have_changed: bool) {
        if self.schema.evacuation_range().table == self.schema.terms_key().table {
            let feed = &self.current_terms.operator_feed;
            feed.record_reply(self.clock.now(), may_have_changed);
        }
    }

    /// While this host's own connection fails, asks other hosts for newer terms. If they have none
    /// at all, reads the row from the store through others.
    async fn watch_peers(&self) {
        let key = self.schema.terms_key();
        let end = format!("{}\0", key.key);
        let mut partial = terms_parts::PartialTerms::default();
        loop {
            self.clock.sleep(PEER_INTERVAL).await;
            if partial.version() <= self.current_terms.version() {
                partial = terms_parts::PartialTerms::default();
            }
            if self.store.is_direct_working() {
                continue;
            }
            // Without the row, the read shows only whether the store can be reached at all.
            let from = match self.receive_from_peers(&mut partial).await {
                PeerTerms::Missing => &key.key,
                PeerTerms::Confirmed | PeerTerms::Unconfirmed => &end,
            };
            let reading = self.store.relayed_rows(&key.table, &key.part, from, &end);
            let reading = self.clock.timeout(PEER_TIMEOUT, reading).await;
            let rows = match reading {
                Ok(Ok(rows)) => rows.rows,
                Ok(Err(_)) | Err(_) => Vec::new(),
            };
            if let Some(text) = rows.into_iter().find_map(|row| row.value) {
                self.current_terms
                    .apply_if_newer(&*self.schema, &text, "relay");
                self.current_terms.record_confirmation(self.clock.now());
            }
        }
    }

    /// Asks some other hosts for newer terms, and receives them.
    async fn receive_from_peers(&self, partial: &mut terms_parts::PartialTerms) -> PeerTerms {
        let position = partial.position(self.current_terms.version());
        let addresses = self
            .peers
            .preferred_order()
            .into_iter()
            .take(PEERS_PER_ROUND);
        let calls = addresses.map(|address| async move {
            let part = self.ask_peer(address, position).await;
            part.map(|part| (address, part))
        });
        let parts = future::join_all(calls).await.into_iter().flatten();
        let mut outcome = PeerTerms::Unconfirmed;
        for (address, part) in parts {
            let (version, reaches_store) = (part.version, part.reaches_store);
            if version == id::TermsVersion(0) {
                outcome = outcome.max(PeerTerms::Missing);
                continue;
            }
            // The host before may have added to what has arrived.
            let next_position = partial.position(self.current_terms.version());
            let part = match next_position == position {
                true => Some(part),
                false => self.ask_peer(address, next_position).await,
            };
            if let Some(part) = part {
                self.receive_rest(address, part, partial).await;
            }
            if reaches_store && self.current_terms.version() >= version {
                self.current_terms.record_confirmation(self.clock.now());
                outcome = PeerTerms::Confirmed;
            }
        }
        outcome
    }

    /// Continues with the host at `address` after its first `part`, until its terms are whole or a
    /// call fails. What has arrived stays in `partial`.
    async fn receive_rest(
        &self,
        address: SocketAddr,
        mut part: terms_parts::TermsPart,
        partial: &mut terms_parts::PartialTerms,
    ) {
        while part.version > self.current_terms.version() {
            if let Some(text) = partial.add(&part) {
                self.current_terms
                    .apply_if_newer(&*self.schema, &text, "peer");
                // Also if it can't be decoded: the next round asks again.
                return;
            }
            if part.text.is_empty() {
                return;
            }
            let position = partial.position(self.current_terms.version());
            match self.ask_peer(address, position).await {
                Some(next) => part = next,
                None => return,
            }
        }
    }

    /// Returns `None` if the host doesn't reply. One of an earlier build counts as without terms.
    async fn ask_peer(
        &self,
        address: SocketAddr,
        position: terms_parts::TermsPosition,
    ) -> Option<terms_parts::TermsPart> {
        let call = self.store.peer_terms(address, position);
        match self.clock.timeout(PEER_TIMEOUT, call).await {
            Ok(Ok(part)) => Some(part.unwrap_or_default()),
            Ok(Err(_)) | Err(_) => {
                self.peers.demote(address);
                None
            }
        }
    }
}

/// What other hosts have told of the newest terms.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PeerTerms {
    /// None that reaches the store has told its version, or this host doesn't have that one yet.
    Unconfirmed,
    /// Those that replied have no terms.
    Missing,
    /// This host has the version of one that reaches the store.
    Confirmed,
}
