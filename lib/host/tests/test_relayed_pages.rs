//! Pages of partitions that are read through another entry host, over its real interface.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_host::partition_reader::{PageBudget, PartitionReader};
use camphorbeam_host::{metrics, peers, relay, rows, store_path};
use camphorbeam_platform::memory_store::{Fault, MemoryStore};
use camphorbeam_platform::store;
use rstest::rstest;

const ROWS: usize = 40;

/// A partition of 400 kB.
fn filled_store() -> MemoryStore {
    let memory = MemoryStore::default();
    for number in 0..ROWS {
        let key = store::RowKey::new(rows::INBOX_TABLE, "inbox-0", &format!("job.{number:03}"));
        memory.put(&key, &"x".repeat(10_000));
    }
    memory
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A store whose own connection leads to `memory`, with the option `probed` or without it.
fn relayed_store(
    memory: &MemoryStore,
    peer_addresses: &[SocketAddr],
    is_probed: bool,
) -> (Arc<relay::RelayedStore>, Arc<metrics::Metrics>) {
    let clock = clock::Clock::system();
    let peers = Arc::new(peers::Peers::new(free_address(), peer_addresses));
    let metrics = Arc::new(metrics::Metrics::default());
    let direct = Arc::new(memory.clone());
    let store = match is_probed {
        true => relay::RelayedStore::with_path(Arc::new(store_path::StorePath::new(
            direct,
            Arc::clone(&peers) as _,
            peers,
            clock,
            Arc::clone(&metrics),
        ))),
        false => relay::RelayedStore::new(direct, peers, clock, Arc::clone(&metrics)),
    };
    (Arc::new(store), metrics)
}

/// Guards against a host without a connection of its own that receives a whole partition, or the
/// same rows again, with each page.
#[rstest]
fn test_relayed_pages_pass_each_row_once(#[values(true, false)] is_probed: bool) {
    task::block_on(async {
        let memory = filled_store();
        let (serving_store, relay_metrics) = relayed_store(&memory, &[], true);
        // Its connection counts as working after a first reply.
        let key = rows::lease_key();
        store::read_row(&*serving_store, &key).await.unwrap();
        let relay = relay::DirectRelay {
            store: serving_store,
            terms: Arc::new(|| None),
        };
        let at = free_address();
        let _serving = peers::serve(at, Arc::new(relay)).unwrap();
        let unreachable = MemoryStore::default();
        unreachable.set_fault(Fault::Busy);
        let (store, _) = relayed_store(&unreachable, &[at], is_probed);
        // Pages of a few rows each.
        let budget = PageBudget::new(clock::Clock::system(), Some(2.0));
        let mut reader = PartitionReader::new(rows::INBOX_TABLE, "inbox-0");
        reader.read(&*store, &budget).await.unwrap();
        let pages = reader.pages();
        assert!(pages >= 10, "{pages} pages");
        assert_eq!(reader.into_rows().rows.len(), ROWS);
        let text = relay_metrics.encode_text().unwrap();
        let line = "camphorbeam_store_calls_total{way=\"direct\",outcome=\"ok\"}";
        let calls = text.lines().find_map(|at| at.strip_prefix(line)).unwrap();
        // One more is the first read.
        assert_eq!(calls.trim(), (pages + 1).to_string());
    });
}
