//! Fake entry hosts that exchange the periodic peer messages with a measured entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_http::meter;
use camphorbeam_model::id;
use camphorbeam_protocol::{client, messages};
use camphorbeam_server::{auth, membership};
use jsonrpsee::server::{ServerBuilder, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::RpcModule;

use crate::{forwarder, ports};

/// Timeout of a hello call.
const GREETING_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The fake peers of one measured entry host.
pub struct Peers {
    /// Addresses at which the entry host reaches the peers.
    pub addresses: Vec<SocketAddr>,
    /// Bytes of the calls that the entry host makes; received bytes are those that it sent.
    pub outbound: Arc<meter::Meter>,
    /// Bytes of the calls that the entry host answers; received bytes are those sent to it.
    pub inbound: Arc<meter::Meter>,
    hellos: Vec<messages::Hello>,
    caller: messages::CallContext,
    servers: Vec<ServerHandle>,
}

/// Starts `count` fake peers for one measured entry host, spread over `zones`.
///
/// # Errors
///
/// Fails if no port is free.
pub async fn start(count: usize, zones: &[&str], keyring: &auth::Keyring) -> anyhow::Result<Peers> {
    let mut peers = Peers {
        addresses: Vec::new(),
        outbound: Arc::new(meter::Meter::default()),
        inbound: Arc::new(meter::Meter::default()),
        hellos: Vec::new(),
        caller: messages::CallContext {
            token: keyring.token(&auth::Identity::Peer),
            traceparent: None,
        },
        servers: Vec::new(),
    };
    for (number, zone) in (0..count).zip(zones.iter().cycle()) {
        peers.add(number, zone.parse()?).await?;
    }
    Ok(peers)
}

impl Peers {
    async fn add(&mut self, number: usize, zone: id::ZoneName) -> anyhow::Result<()> {
        let listener = std::net::TcpListener::bind(ports::free_address())?;
        listener.set_nonblocking(true)?;
        let target = listener.local_addr()?;
        let address = forwarder::start(target, Arc::clone(&self.outbound)).await?;
        let host: id::HostId = format!("{zone}-p{number:02}").parse()?;
        let scheduler = messages::SchedulerInfo {
            host: host.clone(),
            address,
            epoch: id::Epoch(1),
        };
        let hello = messages::Hello {
            host,
            zone,
            address,
            sheet_version: id::SheetVersion(1),
            scheduler: Some(scheduler),
            is_leaving: false,
        };
        let server = ServerBuilder::new().build_from_tcp(listener)?;
        self.servers.push(server.start(service(hello.clone())?));
        self.addresses.push(address);
        self.hellos.push(hello);
        Ok(())
    }

    /// Makes the peers take turns at calling hello on the entry host at `target`, at the interval
    /// at which an entry host makes its own hello calls. On average, each entry host receives as
    /// many hello calls as it makes.
    ///
    /// # Errors
    ///
    /// Fails if no port is free or no client can be built.
    pub async fn greet(&self, target: SocketAddr, clock: clock::Clock) -> anyhow::Result<()> {
        let address = forwarder::start(target, Arc::clone(&self.inbound)).await?;
        let mut calls = Vec::new();
        for hello in &self.hellos {
            let handle = client::PeerHandle::new(address, GREETING_TIMEOUT)?;
            calls.push((handle, hello.clone()));
        }
        let caller = self.caller.clone();
        task::spawn(async move {
            for (handle, hello) in calls.iter().cycle() {
                // A failed hello call needs no handling: it shows in the measured bytes.
                let _ = handle.hello(caller.clone(), hello.clone()).await;
                clock.sleep(membership::HELLO_INTERVAL).await;
            }
        });
        Ok(())
    }
}

impl Drop for Peers {
    fn drop(&mut self) {
        for server in &self.servers {
            // Fails only if the server has already stopped.
            let _ = server.stop();
        }
    }
}

/// Answers the periodic calls of entry hosts. Other calls fail as unknown methods.
fn service(hello: messages::Hello) -> anyhow::Result<RpcModule<messages::Hello>> {
    let mut module = RpcModule::new(hello);
    module.register_method("peer_hello", |_, hello, _| {
        Ok::<messages::Hello, ErrorObjectOwned>(hello.clone())
    })?;
    module.register_method("peer_offer_sheet", |params, _, _| {
        let (_, offer): (messages::CallContext, messages::SheetOffer) = params.parse()?;
        Ok::<id::SheetVersion, ErrorObjectOwned>(offer.version)
    })?;
    Ok(module)
}
