//! The operators' terms reach a host that has just got the store back.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_host::{follower, metrics, peers, relay, site};
use camphorbeam_model::{fleet, id, terms};
use camphorbeam_platform::memory_store::{Fault, MemoryStore};
use camphorbeam_platform::store;

/// Terms that are only a version.
struct VersionOnly;

impl site::Site for VersionOnly {
    fn terms_row(&self) -> store::RowKey {
        store::RowKey::new("terms", "", "newest")
    }

    fn decode_terms(&self, text: &str) -> anyhow::Result<terms::Terms> {
        Ok(terms::Terms {
            version: id::TermsVersion(text.parse()?),
            ..terms::Terms::default()
        })
    }

    fn registry_table(&self) -> &'static str {
        "registry"
    }

    fn decode_server(&self, _row: &store::Row) -> anyhow::Result<fleet::ServerEntry> {
        anyhow::bail!("no servers here")
    }
}

/// A change has to be in force within 2 s of the store's return on the smallest bound that users
/// state; half of it is left to a slow store and a slow host.
const IN_FORCE_MAX: Duration = Duration::from_millis(1_000);

#[test]
fn test_follower_does_not_wait_for_silent_peers_once_the_store_is_back() {
    let silent: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
        .collect();
    let addresses: Vec<SocketAddr> = silent
        .iter()
        .map(|listener| listener.local_addr().unwrap())
        .collect();
    let own: SocketAddr = ([127, 0, 0, 1], 1).into();
    let clock = clock::Clock::system();
    let memory = MemoryStore::default();
    memory.put(&store::RowKey::new("terms", "", "newest"), "1");
    let peers = Arc::new(peers::Peers::new(own, &addresses));
    let ways = relay::RelayedStore::new(
        Arc::new(memory.clone()),
        Arc::clone(&peers),
        clock.clone(),
        Arc::new(metrics::Metrics::default()),
    );
    let board = Arc::new(follower::Board::default());
    let following = follower::Follower {
        board: Arc::clone(&board),
        store: Arc::new(ways),
        peers,
        site: Arc::new(VersionOnly),
        clock,
    };
    task::block_on(async {
        task::spawn(following.run());
        task::sleep(Duration::from_millis(300)).await;
        assert_eq!(board.version(), id::TermsVersion(1));
        memory.set_fault(Fault::Late);
        task::sleep(Duration::from_millis(1_500)).await;
        memory.set_fault(Fault::None);
        memory.put(&store::RowKey::new("terms", "", "newest"), "2");
        task::sleep(IN_FORCE_MAX).await;
        assert_eq!(board.version(), id::TermsVersion(2));
    });
}
