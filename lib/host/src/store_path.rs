//! The path to the store with the option `probed`: through this host's own connection or, while
//! that is judged lost, through other entry hosts.
//!
//! Ordinary calls judge the own connection lost. Only a probe, which runs while it is lost, judges
//! it regained. A host whose own connection works makes no additional calls.

use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::hash::{BuildHasher, BuildHasherDefault, DefaultHasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use camphorbeam_clock as clock;
use camphorbeam_clock::transfer;
use camphorbeam_platform::store::{self, Store};
use camphorbeam_platform::table::PlatformError;
use futures::future::{self, BoxFuture, Either, FutureExt as _};
use futures::stream::{FuturesUnordered, StreamExt as _};

use crate::{metrics, peers, relay, rows};

/// Time for which the own connection may be silent while a reply is due. On slow days the store
/// takes 350 ms for a read.
const SILENCE_MAX: Duration = Duration::from_millis(450);

/// Time after the end of a long poll, or after the newest bytes of its reply, at which it ends
/// without a reply, also if other calls show that the connection works. Its reader then reads the rows, which costs more, so a host that is
/// short of processor time should seldom get there.
const FEED_LATE_MAX: Duration = Duration::from_millis(500);

/// Time from the start of a probe to the start of the next one.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// First key of the range that the probe reads; no host has it as its id, so the reply is small.
const PROBE_KEY: &str = "!";

/// Time after which a commit with no reply ends once the connection or the peer that it uses has
/// failed another call. On slow days the store takes 600 ms for a commit.
const COMMIT_ABANDON_DELAY: Duration = Duration::from_millis(700);

/// Timeout of a commit through a peer. On slow days it may wait 600 ms for another commit of its
/// partition before its own 600 ms.
const PEER_COMMIT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Timeout of a read of a range with both ends through a peer, and of a long poll after its wait.
/// The peer itself waits [`SILENCE_MAX`].
const PEER_READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a read of a whole partition through a peer, which may have several megabytes.
const PEER_SCAN_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Time after the end of a long poll within which [`StorePath::changes`] ends: the silence of the
/// own connection, then a poll without wait through peers.
pub(crate) const FEED_FALLBACK_MARGIN: Duration = Duration::from_millis(1_800);

/// Number of peers that a read asks at once.
const PEERS_PER_READ: usize = 2;

/// Maximum number of peers that a read or a long poll tries.
const PEERS_TRIED_MAX: usize = 6;

/// Maximum number of peers that a commit tries.
const COMMIT_PEERS_MAX: usize = 3;

/// Time for which a peer that failed is asked only after all others.
const AVOID_DURATION: Duration = Duration::from_millis(1_000);

/// Time for which a peer that lacks the change feed isn't asked for it. A peer may be updated.
const UNSUPPORTED_DURATION: Duration = Duration::from_secs(10);

/// Interval at which peers are asked whether they reach the store, while no call shows it.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Timeout of that question. It is answered from memory; a weak host may need 100 ms.
const PEER_CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Age up to which a successful call makes that question unnecessary.
const PEER_CHECK_SUCCESS_AGE: Duration = Duration::from_millis(150);

/// Age of the last success from which a peer's answer that it reaches the store is confirmed by a
/// small read. Usually other reads come before.
const CONFIRMATION_AGE: Duration = Duration::from_millis(1_000);

/// Time after a successful call for which failures don't make the store unreachable. Single calls
/// fail also while a path exists.
const RECENT_SUCCESS: Duration = Duration::from_millis(300);

/// Wakes all tasks that wait for a change of the state: a notification closes the channel on which
/// they wait.
struct Signal(Mutex<(async_channel::Sender<()>, async_channel::Receiver<()>)>);

impl Signal {
    fn new() -> Self {
        Self(Mutex::new(async_channel::bounded(1)))
    }

    /// Returns a receiver that ends its wait at the next notification.
    fn subscribe(&self) -> async_channel::Receiver<()> {
        let channel = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        channel.1.clone()
    }

    fn notify(&self) {
        let mut channel = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        channel.0.close();
        *channel = async_channel::bounded(1);
    }
}

/// Time limits of a call through the own connection.
#[derive(Clone, Copy)]
struct OwnLimits {
    /// Time after sending at which a reply is due; `None` if that can't be known.
    reply_due: Option<Duration>,
    /// Whether the call ends if its reply is late and not arriving, also if the connection works.
    ends_when_late: bool,
    /// Time after sending at which the call ends if the connection is lost and its reply isn't
    /// arriving.
    abandon_delay: Duration,
}

impl OwnLimits {
    fn of_read(to: &str) -> Self {
        Self {
            // A read without an end may be large, so that its duration says nothing.
            reply_due: (!to.is_empty()).then_some(Duration::ZERO),
            ends_when_late: false,
            abandon_delay: SILENCE_MAX,
        }
    }

    fn of_commit() -> Self {
        Self {
            reply_due: None,
            ends_when_late: false,
            abandon_delay: COMMIT_ABANDON_DELAY,
        }
    }

    fn of_feed(wait: Duration) -> Self {
        Self {
            reply_due: Some(wait),
            ends_when_late: true,
            abandon_delay: Duration::ZERO,
        }
    }
}

/// Time limits of a call through a peer.
#[derive(Clone, Copy)]
struct PeerLimits {
    /// Number of peers that are asked at the same time.
    peers_at_once: usize,
    timeout: Duration,
    /// Time after sending at which the call ends if the peer has failed another call meanwhile.
    abandon_delay: Duration,
}

impl PeerLimits {
    fn of_read(to: &str) -> Self {
        Self {
            peers_at_once: PEERS_PER_READ,
            timeout: match to.is_empty() {
                true => PEER_SCAN_TIMEOUT,
                false => PEER_READ_TIMEOUT,
            },
            abandon_delay: SILENCE_MAX,
        }
    }

    /// Limits of a page of a partition. Each reply would take its time on this host's link, so one
    /// peer is asked after the other.
    fn of_page() -> Self {
        Self {
            peers_at_once: 1,
            ..Self::of_read("")
        }
    }
}

/// Relation of a peer's zone to that of this host, in the order in which peers are tried. Addresses
/// that aren't registered have no known zone; these hosts may be gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ZoneRelation {
    Other,
    Own,
    Unknown,
}

#[derive(Debug, Default)]
struct PeerHealth {
    succeeded_at: Option<clock::Monotonic>,
    failed_at: Option<clock::Monotonic>,
    lacks_changes_at: Option<clock::Monotonic>,
}

impl PeerHealth {
    fn is_last_call_failed(&self) -> bool {
        self.failed_at.is_some() && self.failed_at >= self.succeeded_at
    }
}

#[derive(Debug, Default)]
struct State {
    /// When the own connection was judged lost; `None` while it counts as working.
    lost_at: Option<clock::Monotonic>,
    own_succeeded_at: Option<clock::Monotonic>,
    /// Newest reply of the store by any way.
    reached_at: Option<clock::Monotonic>,
    /// The store's clock in its newest reply, and when that arrived.
    store_clock: Option<(u64, clock::Monotonic)>,
    /// When the last probe was sent.
    probed_at: Option<clock::Monotonic>,
    peers: BTreeMap<SocketAddr, PeerHealth>,
}

/// Calls to the store by the path that works.
pub struct StorePath {
    pub(crate) direct: Arc<dyn Store>,
    pub(crate) links: Arc<dyn peers::PeerLink>,
    pub(crate) peers: Arc<peers::Peers>,
    pub(crate) clock: clock::Clock,
    pub(crate) metrics: Arc<metrics::Metrics>,
    state: Mutex<State>,
    changed: Signal,
    /// Bytes of replies through the own connection, of all calls.
    own_progress: Arc<transfer::Progress>,
}

fn no_reply(reason: &str) -> PlatformError {
    PlatformError::Unknown {
        reason: reason.to_owned(),
    }
}

impl StorePath {
    /// Creates a path through `direct` or, while that is lost, through the hosts in `peers` by
    /// `links`. [`Self::run`] has to run beside it.
    pub fn new(
        direct: Arc<dyn Store>,
        links: Arc<dyn peers::PeerLink>,
        peers: Arc<peers::Peers>,
        clock: clock::Clock,
        metrics: Arc<metrics::Metrics>,
    ) -> Self {
        Self {
            direct,
            links,
            peers,
            clock,
            metrics,
            state: Mutex::default(),
            changed: Signal::new(),
            own_progress: Arc::default(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_lost(&self) -> bool {
        self.lock().lost_at.is_some()
    }

    /// Whether the own connection has worked and isn't judged lost.
    pub fn is_own_working(&self) -> bool {
        let state = self.lock();
        state.lost_at.is_none() && state.own_succeeded_at.is_some()
    }

    /// The store's clock now, estimated from its newest reply; `None` before the first one.
    pub fn store_ms(&self) -> Option<u64> {
        let now = self.clock.now();
        self.lock().store_clock.map(|(store_ms, received_at)| {
            store_ms.saturating_add(clock::as_ms(now.since(received_at)))
        })
    }

    /// Whether the store can be reached directly or through a peer. False as soon as the own
    /// connection is lost and peers of all other known zones have failed.
    pub fn is_reachable(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let Some(reached_at) = state.reached_at else {
            return false;
        };
        let success_age = now.since(reached_at);
        match state.lost_at {
            _ if success_age >= relay::UNREACHABLE_AFTER => false,
            Some(lost_at) if success_age >= RECENT_SUCCESS => {
                !self.have_all_zones_failed(&state, lost_at)
            }
            Some(_) | None => true,
        }
    }

    /// Whether, in each other known zone, the newest result of a peer since `lost_at` is a failure.
    /// The other peers count only if no other zone is known. False without peers.
    fn have_all_zones_failed(&self, state: &State, lost_at: clock::Monotonic) -> bool {
        let groups = self.peer_groups();
        let nearest = groups.first().map(|(relation, _)| *relation);
        let mut of_nearest = groups
            .iter()
            .filter(|(relation, _)| Some(*relation) == nearest);
        !groups.is_empty()
            && of_nearest.all(|(_, addresses)| {
                let healths = || addresses.iter().filter_map(|peer| state.peers.get(peer));
                let failed_at = healths().filter_map(|health| health.failed_at).max();
                let succeeded_at = healths().filter_map(|health| health.succeeded_at).max();
                failed_at >= Some(lost_at) && failed_at >= succeeded_at
            })
    }

    /// Returns the peers by zone, in the order in which this host prefers the zones and the peers
    /// of each. The order differs between hosts, so that hosts that are cut off together use
    /// different peers.
    fn peer_groups(&self) -> Vec<(ZoneRelation, Vec<SocketAddr>)> {
        let zones = self.peers.zones();
        let own_address = self.peers.own_address();
        let own_zone = zones.get(&own_address);
        let hasher = BuildHasherDefault::<DefaultHasher>::default();
        let mut addresses = self.peers.preferred_order();
        addresses.sort_by_cached_key(|address| hasher.hash_one((own_address, address)));
        let mut by_zone: BTreeMap<_, Vec<SocketAddr>> = BTreeMap::new();
        for address in addresses {
            by_zone
                .entry(zones.get(&address))
                .or_default()
                .push(address);
        }
        let mut groups: Vec<_> = by_zone
            .into_iter()
            .map(|(zone, addresses)| match zone {
                None => (ZoneRelation::Unknown, addresses),
                zone if zone == own_zone => (ZoneRelation::Own, addresses),
                Some(_) => (ZoneRelation::Other, addresses),
            })
            .collect();
        groups.sort_by_cached_key(|(relation, addresses)| {
            (*relation, hasher.hash_one((own_address, addresses)))
        });
        groups
    }

    /// Returns the peers in the order in which to try them: one of each zone in turn, peers that
    /// have answered since the loss before them, and peers that have failed after all others.
    fn candidates(&self) -> Vec<SocketAddr> {
        let groups = self.peer_groups();
        let longest = groups.iter().map(|(_, group)| group.len()).max();
        let mut order: Vec<SocketAddr> = (0..longest.unwrap_or(0))
            .flat_map(|at| groups.iter().filter_map(move |(_, group)| group.get(at)))
            .copied()
            .collect();
        let now = self.clock.now();
        let mut state = self.lock();
        state.peers.retain(|address, _| order.contains(address));
        let lost_at = state.lost_at;
        order.sort_by_key(|address| match state.peers.get(address) {
            Some(health) if health.is_last_call_failed() => {
                let failed_at = health.failed_at.unwrap_or_default();
                2 + u8::from(now.since(failed_at) < AVOID_DURATION)
            }
            Some(health) if health.succeeded_at >= lost_at => 0,
            Some(_) | None => 1,
        });
        order
    }

    /// Returns the best peer that isn't in `tried`, and adds it there. The order is determined
    /// anew, since a peer may have failed another call meanwhile.
    fn next_candidate(&self, tried: &mut BTreeSet<SocketAddr>) -> Option<SocketAddr> {
        self.candidates()
            .into_iter()
            .find(|address| tried.insert(*address))
    }

    fn record_reached(&self) {
        let now = self.clock.now();
        self.lock().reached_at = Some(now);
    }

    fn record_store_clock(&self, rows: &store::Rows) {
        let now = self.clock.now();
        self.lock().store_clock = Some((rows.store_ms, now));
    }

    fn record_own_success(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.own_succeeded_at = Some(now);
        state.reached_at = Some(now);
    }

    fn record_loss(&self, reason: &str, received_bytes: u64) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.lost_at.is_some() {
            return;
        }
        state.lost_at = Some(now);
        drop(state);
        spdlog::warn!("store lost", kv: { way = "direct", reason, received_bytes });
        self.metrics.store_losses.inc();
        self.changed.notify();
    }

    fn record_regained(&self) {
        self.record_own_success();
        let now = self.clock.now();
        let Some(lost_at) = self.lock().lost_at.take() else {
            return;
        };
        let lost_ms = clock::as_ms(now.since(lost_at));
        spdlog::info!("store regained", kv: { way = "direct", lost_ms });
        self.changed.notify();
    }

    fn record_call<T>(
        &self,
        way: &'static str,
        result: &Result<T, PlatformError>,
        sent_at: clock::Monotonic,
    ) {
        let duration = self.clock.now().since(sent_at);
        self.metrics
            .record_store_call(way, relay::outcome_name(result), duration);
    }

    /// Awaits `future` until the state changes or `end_at` passes. Returns `None` in these cases.
    async fn wait_until<F: Future + Unpin>(
        &self,
        future: F,
        end_at: Option<clock::Monotonic>,
        changed: async_channel::Receiver<()>,
    ) -> Option<F::Output> {
        let now = self.clock.now();
        let limit = async {
            match end_at {
                Some(end_at) => self.clock.sleep(end_at.since(now)).await,
                None => future::pending().await,
            }
        };
        let changed = std::pin::pin!(changed.recv());
        let limit = std::pin::pin!(limit);
        match future::select(future, future::select(changed, limit)).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }

    /// Awaits a call through the own connection, judges the connection by it, and reports a reply
    /// of which only a part has arrived.
    async fn through_own<T>(
        &self,
        limits: OwnLimits,
        progress: &transfer::Progress,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let sent_at = self.clock.now();
        let result = self.judge_own(limits, progress, sent_at, call).await;
        let received_bytes = progress.received_bytes();
        self.metrics.store_received_bytes.inc_by(received_bytes);
        match &result {
            Err(error) if received_bytes > 0 => {
                let reason = error.to_string();
                let took_ms = clock::as_ms(self.clock.now().since(sent_at));
                self.metrics.store_discarded_bytes.inc_by(received_bytes);
                spdlog::warn!("reply cut", kv: {
                    reason = reason.as_str(), received_bytes, took_ms
                });
            }
            Ok(_) | Err(_) => {}
        }
        result
    }

    async fn judge_own<T>(
        &self,
        limits: OwnLimits,
        progress: &transfer::Progress,
        sent_at: clock::Monotonic,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let mut call = std::pin::pin!(call);
        let result = loop {
            let changed = self.changed.subscribe();
            let now = self.clock.now();
            let (is_lost, own_succeeded_at) = {
                let state = self.lock();
                (state.lost_at.is_some(), state.own_succeeded_at)
            };
            let due_at = limits.reply_due.map(|due| sent_at.plus(due));
            // A reply that is arriving proves that the connection works, however long it takes.
            let heard_at = own_succeeded_at.max(self.own_progress.received_at());
            let silent_since = due_at.map(|due_at| due_at.max(heard_at.unwrap_or(due_at)));
            let silent_at = silent_since.map(|since| since.plus(SILENCE_MAX));
            let arrived_at = progress.received_at();
            let late_at = due_at
                .filter(|_| limits.ends_when_late)
                .map(|due_at| due_at.max(arrived_at.unwrap_or(due_at)))
                .map(|since| since.plus(FEED_LATE_MAX));
            let end_at = match is_lost {
                true => {
                    let abandoned_at = sent_at.plus(limits.abandon_delay);
                    let stopped_at = arrived_at.map(|arrived_at| arrived_at.plus(SILENCE_MAX));
                    Some(abandoned_at.max(stopped_at.unwrap_or(abandoned_at)))
                }
                false => silent_at.into_iter().chain(late_at).min(),
            };
            match end_at {
                Some(end_at) if now >= end_at && is_lost => {
                    return Err(no_reply("the own connection is lost"));
                }
                Some(_) if silent_at.is_some_and(|silent_at| now >= silent_at) => {
                    self.record_loss("no reply", progress.received_bytes());
                }
                Some(end_at) if now >= end_at => return Err(no_reply("the reply is late")),
                _ => {
                    let waiting = self.wait_until(call.as_mut(), end_at, changed);
                    if let Some(result) = waiting.await {
                        break result;
                    }
                }
            }
        };
        match &result {
            Ok(_) | Err(PlatformError::Rejected { .. }) => self.record_own_success(),
            // A later call has succeeded, so the connection works.
            Err(_) if self.lock().own_succeeded_at > Some(sent_at) => {}
            Err(error) => self.record_loss(&error.to_string(), progress.received_bytes()),
        }
        result
    }

    /// Awaits a call through the peer at `address`, and records whether the peer is usable.
    async fn through_peer<T>(
        &self,
        address: SocketAddr,
        limits: PeerLimits,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let mut call = std::pin::pin!(call);
        let sent_at = self.clock.now();
        let result = loop {
            let changed = self.changed.subscribe();
            let has_failed = {
                let state = self.lock();
                let health = state.peers.get(&address);
                health.is_some_and(|health| {
                    health.is_last_call_failed() && health.failed_at > Some(sent_at)
                })
            };
            let end_at = sent_at.plus(match has_failed {
                true => limits.abandon_delay,
                false => limits.timeout,
            });
            if self.clock.now() >= end_at {
                break Err(no_reply("no reply from an entry host"));
            }
            let waiting = self.wait_until(call.as_mut(), Some(end_at), changed);
            if let Some(result) = waiting.await {
                break result;
            }
        };
        let now = self.clock.now();
        let mut state = self.lock();
        let health = state.peers.entry(address).or_default();
        match &result {
            Ok(_) | Err(PlatformError::Rejected { .. }) => health.succeeded_at = Some(now),
            Err(_) => {
                health.failed_at = Some(now);
                drop(state);
                self.changed.notify();
            }
        }
        result
    }

    /// Makes a call without effect through some peers at a time, and returns the first answer.
    async fn first_answer<'a, T>(
        &'a self,
        limits: PeerLimits,
        call: impl Fn(SocketAddr) -> BoxFuture<'a, Result<T, PlatformError>>,
    ) -> Result<T, PlatformError> {
        let started_at = self.clock.now();
        let mut tried = BTreeSet::new();
        let mut calls = FuturesUnordered::new();
        let mut last_error = relay::unreachable_error();
        loop {
            let is_late = self.clock.now().since(started_at) > relay::RELAY_TIME_LIMIT;
            while !is_late && calls.len() < limits.peers_at_once && tried.len() < PEERS_TRIED_MAX {
                let Some(address) = self.next_candidate(&mut tried) else {
                    break;
                };
                calls.push(self.through_peer(address, limits, call(address)));
            }
            match calls.next().await {
                Some(Err(error)) if !matches!(error, PlatformError::Rejected { .. }) => {
                    last_error = error;
                }
                Some(answer) => return answer,
                None => return Err(last_error),
            }
        }
    }

    /// Reads through the own connection, unless it is lost.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::rows`].
    pub async fn own_rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        if self.is_lost() {
            return Err(relay::unreachable_error());
        }
        let sent_at = self.clock.now();
        let progress = transfer::Progress::of_call(&self.own_progress);
        let call = self.direct.rows_recorded(table, part, from, to, &progress);
        let result = self.through_own(OwnLimits::of_read(to), &progress, call);
        let result = result.await;
        self.record_call("direct", &result, sent_at);
        if let Ok(rows) = &result {
            self.record_store_clock(rows);
        }
        result
    }

    /// Reads a page of a partition through the own connection, unless it is lost.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::page`].
    pub async fn own_page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
    ) -> Result<store::Page, PlatformError> {
        if self.is_lost() {
            return Err(relay::unreachable_error());
        }
        let sent_at = self.clock.now();
        let progress = transfer::Progress::of_call(&self.own_progress);
        let call = self.direct.page(table, part, from, rows_max, &progress);
        let result = self.through_own(OwnLimits::of_read(""), &progress, call);
        let result = result.await;
        self.record_call("direct", &result, sent_at);
        if let Ok(page) = &result {
            self.record_store_clock(&page.rows);
        }
        result
    }

    /// Reads a page of a partition through peers.
    async fn relayed_page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
    ) -> Result<store::Page, PlatformError> {
        let call = |address| {
            let (table, part, from) = (table.to_owned(), part.to_owned(), from.to_owned());
            async move {
                let sent_at = self.clock.now();
                let call = self.links.page(address, &table, &part, &from, rows_max);
                let result = call.await;
                self.record_call("relay", &result, sent_at);
                result
            }
            .boxed()
        };
        let result = self.first_answer(PeerLimits::of_page(), call).await;
        self.record_relayed_read(result.as_ref().map(|page| &page.rows));
        result
    }

    fn record_relayed_read(&self, result: Result<&store::Rows, &PlatformError>) {
        match result {
            Ok(rows) => {
                self.record_reached();
                self.record_store_clock(rows);
            }
            Err(PlatformError::Rejected { .. }) => self.record_reached(),
            Err(_) => {}
        }
    }

    /// Commits through the own connection, unless it is lost.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::commit`].
    pub async fn own_commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        if self.is_lost() {
            return Err(relay::unreachable_error());
        }
        let sent_at = self.clock.now();
        let progress = transfer::Progress::of_call(&self.own_progress);
        let call = self.direct.commit(transaction);
        let result = self.through_own(OwnLimits::of_commit(), &progress, call);
        let result = result.await;
        self.record_call("direct", &result, sent_at);
        result
    }

    /// Reads the change feed through the own connection, unless it is lost.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::changes`].
    pub async fn own_changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        if self.is_lost() {
            return Err(relay::unreachable_error());
        }
        // Not recorded in the metrics, since the duration of a long poll is not a latency.
        let progress = transfer::Progress::of_call(&self.own_progress);
        let call = self
            .direct
            .changes_recorded(table, version, wait, &progress);
        let result = self.through_own(OwnLimits::of_feed(wait), &progress, call);
        let result = result.await;
        if let Ok(store::Changes::Rows(rows)) = &result {
            self.record_store_clock(rows);
        }
        result
    }

    /// Reads through peers.
    ///
    /// # Errors
    ///
    /// Fails like [`Store::rows`] if no peer could read.
    pub async fn relayed_rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        let call = |address| {
            let (table, part) = (table.to_owned(), part.to_owned());
            let (from, to) = (from.to_owned(), to.to_owned());
            async move {
                let sent_at = self.clock.now();
                let call = self.links.rows(address, &table, &part, &from, &to);
                let result = call.await;
                self.record_call("relay", &result, sent_at);
                result
            }
            .boxed()
        };
        let result = self.first_answer(PeerLimits::of_read(to), call).await;
        self.record_relayed_read(result.as_ref());
        result
    }

    /// Commits through one peer after the other, each only if the one before has certainly not
    /// applied the transaction.
    async fn relayed_commit(
        &self,
        transaction: &store::Transaction,
        mut last_error: PlatformError,
    ) -> Result<store::Commit, PlatformError> {
        let started_at = self.clock.now();
        let limits = PeerLimits {
            peers_at_once: 1,
            timeout: PEER_COMMIT_TIMEOUT,
            abandon_delay: COMMIT_ABANDON_DELAY,
        };
        let mut tried = BTreeSet::new();
        while let Some(address) = self.next_candidate(&mut tried) {
            let sent_at = self.clock.now();
            let is_late = sent_at.since(started_at) > relay::RELAY_TIME_LIMIT;
            if is_late || tried.len() > COMMIT_PEERS_MAX {
                break;
            }
            let call = self.links.commit(address, transaction);
            let result = self.through_peer(address, limits, call).await;
            self.record_call("relay", &result, sent_at);
            match result {
                Err(error @ PlatformError::NotApplied { .. }) => last_error = error,
                Err(error @ PlatformError::Unknown { .. }) => return Err(error),
                other => {
                    self.record_reached();
                    return other;
                }
            }
        }
        Err(last_error)
    }

    /// Reads the change feed through one peer after the other.
    async fn relayed_changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        let started_at = self.clock.now();
        let mut last_error = relay::unreachable_error();
        let mut tried = BTreeSet::new();
        while let Some(address) = self.next_candidate(&mut tried) {
            let now = self.clock.now();
            let elapsed = now.since(started_at);
            if elapsed > wait + relay::RELAY_TIME_LIMIT || tried.len() > PEERS_TRIED_MAX {
                break;
            }
            let lacks_changes_at = self
                .lock()
                .peers
                .get(&address)
                .and_then(|p| p.lacks_changes_at);
            if lacks_changes_at.is_some_and(|at| now.since(at) < UNSUPPORTED_DURATION) {
                continue;
            }
            let wait = wait.saturating_sub(elapsed);
            let limits = PeerLimits {
                peers_at_once: 1,
                timeout: wait + PEER_READ_TIMEOUT,
                abandon_delay: Duration::ZERO,
            };
            let call = self.links.changes(address, table, version, wait);
            match self.through_peer(address, limits, call).await {
                Ok(Some(changes)) => {
                    self.record_reached();
                    if let store::Changes::Rows(rows) = &changes {
                        self.record_store_clock(rows);
                    }
                    return Ok(changes);
                }
                Ok(None) => {
                    let now = self.clock.now();
                    let mut state = self.lock();
                    state.peers.entry(address).or_default().lacks_changes_at = Some(now);
                }
                Err(error @ PlatformError::Rejected { .. }) => return Err(error),
                Err(error) => last_error = error,
            }
        }
        self.clock.sleep(relay::FEED_RETRY_DELAY).await;
        Err(last_error)
    }

    /// Runs forever. Does nothing while the own connection works. While it is lost, probes it and
    /// asks peers whether they reach the store.
    pub async fn run(self: Arc<Self>) {
        loop {
            let changed = self.changed.subscribe();
            if !self.is_lost() {
                // The channel is closed at a change, and nothing is ever sent on it.
                let _ = changed.recv().await;
                continue;
            }
            let regained = self.probe_until_regained();
            future::select(Box::pin(regained), Box::pin(self.check_peers())).await;
        }
    }

    /// Probes at a fixed interval, also over several losses, so that a connection that fails only
    /// some calls isn't probed more often.
    async fn probe_until_regained(&self) {
        loop {
            let now = self.clock.now();
            let due_at = self.lock().probed_at.map(|at| at.plus(PROBE_INTERVAL));
            if let Some(due_at) = due_at.filter(|due_at| *due_at > now) {
                self.clock.sleep(due_at.since(now)).await;
            }
            let sent_at = self.clock.now();
            self.lock().probed_at = Some(sent_at);
            self.metrics.store_probes.inc();
            let end = format!("{PROBE_KEY}\0");
            let reading = self
                .direct
                .rows(rows::HOSTS_TABLE, rows::HOSTS_PART, PROBE_KEY, &end);
            match self.clock.timeout(PROBE_TIMEOUT, reading).await {
                Ok(Ok(rows)) => {
                    self.record_store_clock(&rows);
                    return self.record_regained();
                }
                Ok(Err(PlatformError::Rejected { .. })) => return self.record_regained(),
                Ok(Err(_)) | Err(_) => {}
            }
        }
    }

    /// Asks two peers at a time whether they reach the store, until one does. Waits for both, so
    /// that calls which wait for one of them learn that it is cut off.
    async fn ask_peers(&self) -> bool {
        let limits = PeerLimits {
            peers_at_once: PEERS_PER_READ,
            timeout: PEER_CHECK_TIMEOUT,
            abandon_delay: PEER_CHECK_TIMEOUT,
        };
        let started_at = self.clock.now();
        let mut tried = BTreeSet::new();
        while tried.len() < PEERS_TRIED_MAX {
            let pair = (0..PEERS_PER_READ).filter_map(|_| self.next_candidate(&mut tried));
            let calls = pair.map(|address| {
                let call = async move {
                    match self.links.reaches_store(address).await? {
                        Some(false) => Err(relay::unreachable_error()),
                        Some(true) | None => Ok(()),
                    }
                };
                self.through_peer(address, limits, call)
            });
            let answers = future::join_all(calls).await;
            let is_late = self.clock.now().since(started_at) > relay::RELAY_TIME_LIMIT;
            match answers.iter().any(Result::is_ok) {
                true => return true,
                false if is_late || answers.is_empty() => return false,
                false => {}
            }
        }
        false
    }

    /// Checks peers while the own connection is lost, unless a call has just shown a path. Finds a
    /// cut link sooner than reads do, since a slow store doesn't delay the reply.
    async fn check_peers(&self) {
        let mut was_reachable = true;
        loop {
            let started_at = self.clock.now();
            let (reached_at, lost_at) = {
                let state = self.lock();
                (state.reached_at, state.lost_at)
            };
            let success_age = reached_at.map(|at| started_at.since(at));
            let pause = match success_age {
                // Before the loss, successes came through the own connection.
                Some(age) if reached_at > lost_at && age < PEER_CHECK_SUCCESS_AGE => {
                    PEER_CHECK_SUCCESS_AGE - age
                }
                _ => {
                    let is_confirmed = self.ask_peers().await;
                    // Only an answer of the store counts as a success.
                    if is_confirmed && success_age.is_none_or(|age| age >= CONFIRMATION_AGE) {
                        let end = format!("{PROBE_KEY}\0");
                        let (table, part) = (rows::HOSTS_TABLE, rows::HOSTS_PART);
                        // The result is recorded with the peers.
                        let _ = self.relayed_rows(table, part, PROBE_KEY, &end).await;
                    }
                    let interval = match self.is_reachable() {
                        true => PEER_CHECK_INTERVAL,
                        false => PROBE_INTERVAL,
                    };
                    let elapsed = self.clock.now().since(started_at);
                    // Never zero, so that peers that refuse at once aren't asked without pause.
                    interval.saturating_sub(elapsed).max(interval / 4)
                }
            };
            let is_reachable = self.is_reachable();
            match is_reachable {
                true if !was_reachable => spdlog::info!("store reachable through peers"),
                false if was_reachable => {
                    spdlog::warn!("store unreachable", kv: { peers = self.lock().peers.len() });
                }
                true | false => {}
            }
            was_reachable = is_reachable;
            self.clock.sleep(pause).await;
        }
    }
}

#[async_trait]
impl Store for StorePath {
    async fn rows(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
    ) -> Result<store::Rows, PlatformError> {
        match self.own_rows(table, part, from, to).await {
            Ok(rows) => Ok(rows),
            Err(error @ PlatformError::Rejected { .. }) => Err(error),
            Err(_) => self.relayed_rows(table, part, from, to).await,
        }
    }

    async fn page(
        &self,
        table: &str,
        part: &str,
        from: &str,
        rows_max: usize,
        _progress: &transfer::Progress,
    ) -> Result<store::Page, PlatformError> {
        match self.own_page(table, part, from, rows_max).await {
            Err(PlatformError::NotApplied { .. } | PlatformError::Unknown { .. }) => {
                self.relayed_page(table, part, from, rows_max).await
            }
            result => result,
        }
    }

    async fn commit(
        &self,
        transaction: &store::Transaction,
    ) -> Result<store::Commit, PlatformError> {
        match self.own_commit(transaction).await {
            // Only a transaction that was certainly not applied may be sent again.
            Err(error @ PlatformError::NotApplied { .. }) => {
                self.relayed_commit(transaction, error).await
            }
            other => other,
        }
    }

    async fn changes(
        &self,
        table: &str,
        version: u64,
        wait: Duration,
    ) -> Result<store::Changes, PlatformError> {
        let was_lost = self.is_lost();
        match self.own_changes(table, version, wait).await {
            Ok(changes) => Ok(changes),
            Err(error @ PlatformError::Rejected { .. }) => Err(error),
            Err(error) if !self.is_lost() => Err(error),
            // The wait may have passed at the own connection.
            Err(_) => {
                let wait = if was_lost { wait } else { Duration::ZERO };
                self.relayed_changes(table, version, wait).await
            }
        }
    }
}
