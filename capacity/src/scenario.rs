//! One run: starts the cluster, submits the tasks, lets them settle, and measures over a window.

use std::path::Path;
use std::time::Duration;

use futures::future;

use crate::{cluster, probe, process, report, sheet, size};

/// Measures `size` with `binary` as the entry host.
///
/// # Errors
///
/// Fails if any part of the run fails; there is no partial report.
pub async fn run(size: &size::Size, binary: &Path) -> anyhow::Result<report::Report> {
    let cluster = cluster::start(size, binary).await?;
    let platform = &cluster.platform.memory;
    let launch = take_snapshots(&cluster).await?;
    let launch_usage = platform.usage();
    cluster
        .run_tasks(cluster.address(report::Role::Entry)?)
        .await?;
    cluster.clock.sleep(size.settle()).await;
    let before = take_snapshots(&cluster).await?;
    let before_usage = platform.usage();
    let started_at = cluster.clock.now();
    apply_changes(&cluster, size).await?;
    let window = cluster.clock.now().since(started_at);
    let after = take_snapshots(&cluster).await?;
    let after_usage = platform.usage();
    let rows = launch.iter().zip(&before).zip(&after);
    let daemons = rows
        .zip(&cluster.measured_hosts)
        .map(|(((launch, before), after), host)| {
            report::cost(host.role, launch, before, after, window)
        })
        .collect();
    Ok(report::Report {
        size: size.clone(),
        sheet_bytes: sheet::csv(size.client_accounts, &cluster::ZONES[..2])?.len(),
        daemons,
        platform: report::platform_use(&launch_usage, &before_usage, &after_usage, window),
        sheet_spread: probe::sheet_spread(&cluster, 1 + size.sheet_changes).await?,
        start_delay: probe::start_delay(&cluster, size.tasks).await?,
    })
}

/// Applies the changes spread over the window, and waits until it ends.
async fn apply_changes(cluster: &cluster::Cluster, size: &size::Size) -> anyhow::Result<()> {
    let started_at = cluster.clock.now();
    let changes = future::try_join(
        apply_sheet_changes(cluster, size),
        apply_host_list_changes(cluster, size),
    );
    changes.await?;
    let passed = cluster.clock.now().since(started_at);
    cluster
        .clock
        .sleep(size.window().saturating_sub(passed))
        .await;
    Ok(())
}

async fn apply_sheet_changes(cluster: &cluster::Cluster, size: &size::Size) -> anyhow::Result<()> {
    let address = cluster.address(report::Role::Entry)?;
    let pause = pause_between(size, size.sheet_changes);
    for number in 0..size.sheet_changes {
        cluster.clock.sleep(pause).await;
        cluster.apply_sheet(address, 1 + number).await?;
    }
    Ok(())
}

async fn apply_host_list_changes(
    cluster: &cluster::Cluster,
    size: &size::Size,
) -> anyhow::Result<()> {
    let pause = pause_between(size, size.host_list_changes);
    for _ in 0..size.host_list_changes {
        cluster.clock.sleep(pause).await;
        cluster.change_host_list();
    }
    Ok(())
}

/// Returns the pause before each change. One more pause remains after the last change, in which it
/// takes effect.
fn pause_between(size: &size::Size, changes: u64) -> Duration {
    Duration::from_millis(size.window_ms / (changes + 1))
}

async fn take_snapshots(cluster: &cluster::Cluster) -> anyhow::Result<Vec<report::Snapshot>> {
    let mut snapshots = Vec::new();
    for host in &cluster.measured_hosts {
        let health = cluster.api_client.health(host.daemon.address).await?;
        let peers = &host.peers;
        snapshots.push(report::Snapshot {
            process: process::sample(host.daemon.pid())?,
            traffic: report::Traffic::new(&health.bytes, &peers.outbound, &peers.inbound),
        });
    }
    Ok(snapshots)
}
