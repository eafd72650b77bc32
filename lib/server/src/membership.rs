//! Membership: which other entry hosts answer, and what they last said of themselves.
//!
//! Each host greets one peer every [`HELLO_INTERVAL`]: the one with which it has not exchanged
//! greetings for the longest time, whoever began. That bounds the traffic whatever the number of
//! hosts; what has to be known at once is pushed or read from the platform.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_model::{id, sheet};
use camphorbeam_protocol::{client, messages};

use crate::{election, host_list, sheets};

/// Time between two greetings.
pub const HELLO_INTERVAL: Duration = Duration::from_secs(4);

/// Limit for a call to a peer.
pub const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which a peer that has not been heard of counts as away.
const MEMBER_TTL: Duration = Duration::from_secs(120);

/// Other entry hosts.
pub struct Membership {
    identity: HostIdentity,
    clock: clock::Clock,
    hosts: Arc<host_list::HostListCache>,
    seeds: Vec<SocketAddr>,
    sheets: Arc<sheets::SheetStore>,
    election: Arc<election::Election>,
    context: messages::CallContext,
    state: Mutex<State>,
}

/// Who this host is.
#[derive(Clone, Debug)]
pub struct HostIdentity {
    /// Its id.
    pub host: id::HostId,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// Where other entry hosts reach it.
    pub address: SocketAddr,
}

/// What is known of another entry host.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct MemberSummary {
    /// Its id.
    pub host: id::HostId,
    /// Its availability zone.
    pub zone: id::ZoneName,
    /// The sheet it had.
    pub sheet_version: id::SheetVersion,
    /// Whether it said that it is leaving.
    pub is_leaving: bool,
    /// Time since it was last heard of.
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
    /// When greetings were last exchanged with a peer or tried; nothing sorts before any time.
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
    /// A host that has heard of nobody.
    pub fn new(
        identity: HostIdentity,
        clock: clock::Clock,
        hosts: Arc<host_list::HostListCache>,
        seeds: Vec<SocketAddr>,
        sheets: Arc<sheets::SheetStore>,
        election: Arc<election::Election>,
        context: messages::CallContext,
    ) -> Self {
        Self {
            identity,
            clock,
            hosts,
            seeds,
            sheets,
            election,
            context,
            state: Mutex::new(State::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Says from now on that this host is leaving.
    pub fn set_leaving(&self) {
        self.lock().is_leaving = true;
    }

    /// What is sent with each call to a peer.
    pub fn context(&self) -> messages::CallContext {
        self.context.clone()
    }

    /// What this host says of itself.
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

    /// Takes note of what a peer says of itself.
    pub fn record_hello(&self, hello: messages::Hello) {
        let received = ReceivedHello {
            received_at: self.clock.now(),
            hello,
        };
        self.lock().hellos.insert(received.hello.address, received);
    }

    /// A handle on the peer at `address`.
    ///
    /// # Errors
    ///
    /// Returns the error of building a client.
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

    /// The peers that are listed, configured, or have been heard of lately.
    pub fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let hosts = self.hosts.current();
        let listed = hosts.entry_hosts.iter().map(|host| host.peer_address);
        let now = self.clock.now();
        let mut peer_addresses: BTreeSet<SocketAddr> =
            listed.chain(self.seeds.iter().copied()).collect();
        let state = self.lock();
        let recent = state
            .hellos
            .iter()
            .filter(|(_, received)| now.since(received.received_at) < MEMBER_TTL);
        peer_addresses.extend(recent.map(|(address, _)| *address));
        peer_addresses.remove(&self.identity.address);
        peer_addresses
    }

    /// The scheduler of `zone` as peers of that zone last said.
    pub fn scheduler_of(&self, zone: &id::ZoneName) -> Option<messages::SchedulerInfo> {
        let state = self.lock();
        let zone_hellos = state
            .hellos
            .values()
            .filter(|received| received.hello.zone == *zone);
        let schedulers = zone_hellos.filter_map(|received| received.hello.scheduler.clone());
        schedulers.max_by_key(|scheduler| scheduler.epoch)
    }

    /// The other entry hosts as they last described themselves.
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

    /// Greets one peer after the other.
    pub async fn run(&self) {
        loop {
            if let Some(address) = self.next_peer() {
                self.exchange_hellos(address).await;
            }
            self.clock.sleep(HELLO_INTERVAL).await;
        }
    }

    /// The peer whose last exchange, or last try of one, is the oldest.
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
        // A peer that does not answer is simply not heard of.
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

    /// Addresses of the other entry hosts of this host's own availability zone.
    fn zone_peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let hosts = self.hosts.current();
        let listed = hosts
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

    /// Offers an accepted sheet to every peer at once.
    pub async fn broadcast_sheet(&self, document: &sheet::SheetDocument) {
        let offers = self.peer_addresses().into_iter().filter_map(|address| {
            let peer = self.peer_handle(address).ok()?;
            let document = document.clone();
            Some(async move { peer.offer_sheet(self.context(), document).await })
        });
        // A peer that misses the offer reads the platform.
        let _ = futures::future::join_all(offers).await;
    }
}

#[async_trait::async_trait]
impl election::ZonePeers for Membership {
    async fn offer_lease(&self, hand_over: messages::LeaseHandover) -> bool {
        for address in self.zone_peer_addresses() {
            let Ok(peer) = self.peer_handle(address) else {
                continue;
            };
            match peer.take_over(self.context(), hand_over.clone()).await {
                Ok(true) => return true,
                Ok(false) | Err(client::PeerError::Refused(_)) => {}
                // It may have taken the lease: offering it again could give the epoch to two.
                Err(client::PeerError::NoAnswer { .. }) => return false,
            }
        }
        false
    }
}
