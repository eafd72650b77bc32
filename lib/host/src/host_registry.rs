//! Registers this entry host in the store, and discovers the others there.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use camphorbeam_clock as clock;
use camphorbeam_platform::store::{self, Store};

use crate::{peers, relay, rows, settings};

/// Time between two refreshes of this host's row.
const REFRESH_INTERVAL: Duration = Duration::from_secs(20);

/// Time from the first successful refresh to the next one. Hosts of a cluster start within a third
/// of a second of each other, so the first one doesn't find the others at its first refresh.
const SECOND_REFRESH_DELAY: Duration = Duration::from_secs(3);

/// Delay before retrying a failed refresh.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Runs forever: refreshes the row of this host, updates `peers` with the other hosts, and removes
/// the rows of hosts that are gone and rows that can't be parsed.
pub async fn run(
    settings: settings::Settings,
    store: Arc<relay::RelayedStore>,
    peers: Arc<peers::Peers>,
    clock: clock::Clock,
) {
    let mut is_first = true;
    loop {
        let wait = match refresh_registration(&settings, &store, &peers).await {
            true if std::mem::take(&mut is_first) => SECOND_REFRESH_DELAY,
            true => REFRESH_INTERVAL,
            false => RETRY_DELAY,
        };
        clock.sleep(wait).await;
    }
}

/// Reads the rows of all hosts and writes the row of this one. Returns whether both succeeded.
async fn refresh_registration(
    settings: &settings::Settings,
    store: &relay::RelayedStore,
    peers: &peers::Peers,
) -> bool {
    let Ok(hosts) = store
        .rows(rows::HOSTS_TABLE, rows::HOSTS_PART, "", "")
        .await
    else {
        return false;
    };
    let mut addresses: Vec<SocketAddr> = Vec::new();
    let mut zones = BTreeMap::from([(settings.peer_address, settings.zone.clone())]);
    let mut stale_keys: Vec<store::RowKey> = Vec::new();
    for row in &hosts.rows {
        let text = row.value.as_deref().unwrap_or_default();
        match serde_json::from_str::<rows::HostRow>(text) {
            Ok(host) if !host.is_fresh(hosts.store_ms) => {
                stale_keys.push(row.key.clone());
            }
            Ok(host) => {
                addresses.push(host.peer_address);
                zones.insert(host.peer_address, host.zone);
            }
            Err(_) => stale_keys.push(row.key.clone()),
        }
    }
    peers.update_addresses(&addresses);
    peers.update_zones(zones);
    let own_row = rows::HostRow {
        peer_address: settings.peer_address,
        zone: settings.zone.clone(),
        processor_share: settings.processor_cores,
        store_ms: hosts.store_ms,
    };
    let Ok(text) = serde_json::to_string(&own_row) else {
        return false;
    };
    // Keeps the transaction below the maximum size; the next refreshes remove the rest.
    stale_keys.truncate(store::TRANSACTION_ENTRIES_MAX / 2);
    let transaction = store::Transaction {
        conditions: Vec::new(),
        writes: vec![(rows::host_key(&settings.host), text)],
        removals: stale_keys,
    };
    store.commit(&transaction).await.is_ok()
}
