//! Membership: which other entry hosts are known, and the state that each last reported.
//!
//! Every [`HELLO_INTERVAL`], each host exchanges hellos with one peer: the one whose last exchange
//! is the longest ago, no matter which side began it. This bounds a host's traffic regardless of
//! the number of hosts. Information that must spread at once is pushed or read from the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{id, sheet};
use camphorbeam_protocol::{client, messages};

use crate::{election, host_list, sheets};

/// Interval between two hellos that a host sends.
pub const HELLO_INTERVAL: Duration = Duration::from_secs(4);

/// Time limit for a call to a peer.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long after its last hello a peer that is neither listed nor configured is still contacted.
const MEMBER_TTL: Duration = Duration::from_secs(120);

/// Tracks the other entry hosts.
pub struct Membership {
    identity: HostIdentity,
    clock: clock::Clock,
    host_list: Arc<host_list::HostListCache>,
    configured_peers: Vec<SocketAddr>,
    sheets: Arc<sheets::SheetStore>,
    election: Arc<election::Election>,
    context: messages::CallContext,
    state: Mutex<State>,
}

/// Identifies this host to its peers.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    pub host: id::HostId,
    pub zone: id::ZoneName,
    /// Address at which other entry hosts reach it.
    pub address: SocketAddr,
}

/// The last reported state of another entry host. A host that has left stays listed; its
/// `heard_ago_ms` then grows.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberSummary {
    pub host: id::HostId,
    pub zone: id::ZoneName,
    /// The version of its sheet; zero if it had none.
    pub sheet_version: id::SheetVersion,
    /// Whether it reported that it is shutting down.
    pub is_leaving: bool,
    /// Time since its last hello.
    pub heard_ago_ms: u64,
}

#[derive(Default)]
struct State {
    hellos: BTreeMap<SocketAddr, ReceivedHello>,
    peer_handles: BTreeMap<SocketAddr, client::PeerHandle>,
    hello_started_at: BTreeMap<SocketAddr, clock::Monotonic>,
    is_leaving: bool,
}

struct ReceivedHello {
    hello: messages::Hello,
    received_at: clock::Monotonic,
}

impl State {
    /// Returns when hellos were last exchanged with a peer, or an exchange was last attempted.
    /// `None`, for a peer that was never contacted, sorts before any time.
    fn last_exchange_at(&self, address: &SocketAddr) -> Option<clock::Monotonic> {
        let hello_started_at = self.hello_started_at.get(address).copied();
        let received_at = self
            .hellos
            .get(address)
            .map(|received| received.received_at);
        hello_started_at.max(received_at)
    }
}

impl Membership {
    /// Returns a membership that has received no hello yet.
    pub fn new(
        identity: HostIdentity,
        clock: clock::Clock,
        host_list: Arc<host_list::HostListCache>,
        configured_peers: Vec<SocketAddr>,
        sheets: Arc<sheets::SheetStore>,
        election: Arc<election::Election>,
        context: messages::CallContext,
    ) -> Self {
        Self {
            identity,
            clock,
            host_list,
            configured_peers,
            sheets,
            election,
            context,
            state: Mutex::new(State::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports in all further hellos that this host is shutting down.
    pub fn set_leaving(&self) {
        self.lock().is_leaving = true;
    }

    /// Returns the context that is sent with each call to a peer.
    pub fn context(&self) -> messages::CallContext {
        self.context.clone()
    }

    /// Returns the hello of this host: its current state as sent to peers.
    pub fn hello(&self) -> messages::Hello {
        messages::Hello {
            host: self.identity.host.clone(),
            zone: self.identity.zone.clone(),
            address: self.identity.address,
            sheet_version: self.sheets.version(),
            scheduler: self.election.scheduler(),
            is_leaving: self.lock().is_leaving,
        }
    }

    /// Records the state that a peer reports, and the time of its hello.
    pub fn record_hello(&self, hello: messages::Hello) {
        let received = ReceivedHello {
            received_at: self.clock.now(),
            hello,
        };
        self.lock().hellos.insert(received.hello.address, received);
    }

    /// Returns a handle for calls to the peer at `address`, creating it on first use.
    ///
    /// # Errors
    ///
    /// Fails if the RPC client can't be created.
    pub fn peer_handle(
        &self,
        address: SocketAddr,
    ) -> Result<client::PeerHandle, client::PeerError> {
        let mut state = self.lock();
        if let Some(peer_handle) = state.peer_handles.get(&address) {
            return Ok(peer_handle.clone());
        }
        let peer_handle = client::PeerHandle::new(address, PEER_CALL_TIMEOUT)?;
        state.peer_handles.insert(address, peer_handle.clone());
        Ok(peer_handle)
    }

    /// Returns the addresses of the peers that are in the host list, are configured, or from which
    /// a hello was received within `MEMBER_TTL`.
    pub fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let host_list = self.host_list.current();
        let listed = host_list.entry_hosts.iter().map(|host| host.peer_address);
        let now = self.clock.now();
        let mut peer_addresses: BTreeSet<SocketAddr> = listed
            .chain(self.configured_peers.iter().copied())
            .collect();
        let state = self.lock();
        let recent = state
            .hellos
            .iter()
            .filter(|(_, received)| now.since(received.received_at) < MEMBER_TTL);
        peer_addresses.extend(recent.map(|(address, _)| *address));
        peer_addresses.remove(&self.identity.address);
        peer_addresses
    }

    /// Returns the scheduler of `zone` as last reported by the peers of that zone: the one with the
    /// highest epoch, or `None` if no peer reported one. Reports don't expire, so the result may be
    /// out of date.
    pub fn scheduler_of(&self, zone: &id::ZoneName) -> Option<messages::SchedulerInfo> {
        let state = self.lock();
        let zone_hellos = state
            .hellos
            .values()
            .filter(|received| received.hello.zone == *zone);
        let schedulers = zone_hellos.filter_map(|received| received.hello.scheduler.clone());
        schedulers.max_by_key(|scheduler| scheduler.epoch)
    }

    /// Returns the last reported state of every other entry host from which a hello was received.
    pub fn members(&self) -> Vec<MemberSummary> {
        let now = self.clock.now();
        let state = self.lock();
        let hellos = state.hellos.values();
        hellos
            .map(|received| MemberSummary {
                host: received.hello.host.clone(),
                zone: received.hello.zone.clone(),
                sheet_version: received.hello.sheet_version,
                is_leaving: received.hello.is_leaving,
                heard_ago_ms: clock::as_ms(now.since(received.received_at)),
            })
            .collect()
    }

    /// Exchanges hellos with one peer per interval, forever.
    pub async fn run(&self) {
        loop {
            if let Some(address) = self.next_peer() {
                self.exchange_hellos(address).await;
            }
            self.clock.sleep(HELLO_INTERVAL).await;
        }
    }

    /// Chooses the peer whose last exchange, or attempt at one, is the longest ago, and records a
    /// new attempt.
    fn next_peer(&self) -> Option<SocketAddr> {
        let peer_addresses = self.peer_addresses();
        let mut state = self.lock();
        state
            .hello_started_at
            .retain(|address, _| peer_addresses.contains(address));
        let next = peer_addresses
            .into_iter()
            .min_by_key(|address| state.last_exchange_at(address))?;
        state.hello_started_at.insert(next, self.clock.now());
        Some(next)
    }

    async fn exchange_hellos(&self, address: SocketAddr) {
        let Ok(peer) = self.peer_handle(address) else {
            return;
        };
        // The error is ignored: the growing age of the peer's last hello tells operators that it
        // can't be reached.
        let Ok(hello) = peer.hello(self.context(), self.hello()).await else {
            return;
        };
        let is_newer = hello.sheet_version > self.sheets.version();
        self.record_hello(hello);
        if is_newer {
            self.fetch_sheet(&peer).await;
        }
    }

    async fn fetch_sheet(&self, peer: &client::PeerHandle) {
        if let Ok(Some(document)) = peer.sheet(self.context()).await {
            self.sheets.install_if_newer(document);
        }
    }

    /// Returns the addresses of the other entry hosts of this host's availability zone.
    fn zone_peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let host_list = self.host_list.current();
        let listed = host_list
            .entry_hosts
            .iter()
            .filter(|host| host.zone == self.identity.zone)
            .map(|host| host.peer_address);
        let mut peer_addresses: BTreeSet<SocketAddr> = listed.collect();
        let state = self.lock();
        let hellos = state.hellos.iter();
        let zone_peers = hellos.filter(|(_, received)| received.hello.zone == self.identity.zone);
        peer_addresses.extend(zone_peers.map(|(address, _)| *address));
        peer_addresses.remove(&self.identity.address);
        peer_addresses
    }

    /// Offers an accepted sheet to all peers concurrently.
    pub async fn broadcast_sheet(&self, document: &sheet::SheetDocument) {
        let offers = self.peer_addresses().into_iter().filter_map(|address| {
            let peer = self.peer_handle(address).ok()?;
            let document = document.clone();
            Some(async move { peer.offer_sheet(self.context(), document).await })
        });
        // A peer that misses the offer reads the sheet from the platform.
        let _ = futures::future::join_all(offers).await;
    }
}

#[async_trait::async_trait]
impl election::ZonePeers for Membership {
    async fn offer_lease(&self, handover: messages::LeaseHandover) -> bool {
        for address in self.zone_peer_addresses() {
            let Ok(peer) = self.peer_handle(address) else {
                continue;
            };
            match peer.take_over(self.context(), handover.clone()).await {
                Ok(true) => return true,
                Ok(false) | Err(client::PeerError::Refused(_)) => {}
                // This peer may have accepted the lease. If the lease were offered to another peer
                // too, two schedulers could run in the same epoch.
                Err(client::PeerError::NoAnswer { .. }) => return false,
            }
        }
        false
    }
}
