//! Entry hosts that start together discover each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_host::{host_registry, metrics, peers, relay, settings};
use camphorbeam_jobs::settings as job_settings;
use camphorbeam_model::id;
use camphorbeam_platform::memory_store::MemoryStore;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn register(memory: &MemoryStore, port: u16, seeds: &[SocketAddr]) -> Arc<peers::Peers> {
    let clock = clock::Clock::system();
    let peers = Arc::new(peers::Peers::new(address(port), seeds));
    let store = Arc::new(relay::RelayedStore::new(
        Arc::new(memory.clone()),
        Arc::clone(&peers),
        clock.clone(),
        Arc::new(metrics::Metrics::default()),
    ));
    let settings = settings::Settings {
        host: id::HostId::new(&format!("h{port}")).unwrap(),
        zone: id::ZoneName::new("z").unwrap(),
        caller_address: address(1),
        readiness_address: address(2),
        peer_address: address(port),
        peer_seeds: seeds.to_vec(),
        processor_cores: 1.0,
        link_mbps: None,
        shutdown_grace_ms: 6_000,
        store_address: address(3),
        advice_address: None,
        store_path: settings::StorePathMode::default(),
        machines: None,
        jobs: job_settings::Settings::default(),
    };
    task::spawn(host_registry::run(
        settings,
        store,
        Arc::clone(&peers),
        clock,
    ));
    peers
}

/// Maximum time until hosts know each other. Callers may call, and faults occur, from 10 s after
/// the hosts start; this is half of that time.
const DISCOVERY_MAX: Duration = Duration::from_secs(5);

#[test]
fn test_host_registry_first_host_discovers_hosts_that_start_later() {
    let memory = MemoryStore::default();
    task::block_on(async {
        let first = register(&memory, 11, &[]);
        task::sleep(Duration::from_millis(300)).await;
        register(&memory, 12, &[]);
        task::sleep(DISCOVERY_MAX).await;
        assert_eq!(first.preferred_order(), [address(12)]);
    });
}

#[test]
fn test_host_registry_keeps_the_seeds_while_no_other_host_is_registered() {
    let memory = MemoryStore::default();
    task::block_on(async {
        let first = register(&memory, 11, &[address(12), address(11)]);
        task::sleep(Duration::from_millis(300)).await;
        assert_eq!(first.preferred_order(), [address(12)]);
    });
}
