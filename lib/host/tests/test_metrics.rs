//! The operators' page documents exactly the exported metrics.

use std::collections::BTreeSet;
use std::time::Duration;

use camphorbeam_host::metrics;
use camphorbeam_jobs::event::{Event, ReachView};
use camphorbeam_jobs::interference;
use camphorbeam_model::{id, job};

#[test]
fn test_metrics_are_all_documented() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/host-metrics.md");
    let page = std::fs::read_to_string(page).expect("docs/host-metrics.md should be readable");
    let documented: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split_once('`'))
        .map(|(name, _)| name.strip_suffix("_total").unwrap_or(name))
        .collect();

    // A metric family without values is not part of the text, so a value is recorded in each.
    let metrics = metrics::Metrics::default();
    let duration = Duration::from_millis(1);
    metrics.record_call("read", "queued", duration);
    metrics.record_store_call("direct", "ok", duration);
    metrics.record_order("hold", "renewed");
    metrics.record_takeover();
    metrics.record_learned_state("written");
    metrics.record_event(&Event::Ended {
        job: id::JobId::new("j1").unwrap(),
        task: "j1.0.0.0".parse::<job::TaskName>().unwrap().index,
        run: id::Run(1),
        server: id::BackendServerId::new("s1").unwrap(),
        how: "stopped",
        cause: "preempted",
        worked_ms: 1_000,
        lost_core_s: 15.0,
        failures: 0,
    });
    metrics.record_evacuation("begins");
    metrics.record_maintenance("running");
    metrics.record_event(&Event::NoAdviser {
        queue: id::QueueName::new("q1").unwrap(),
    });
    metrics.record_event(&Event::Reach {
        view: ReachView::ZoneCutOff,
        name: "z1".into(),
        servers: 2,
        silent_ms: 300,
    });
    metrics.record_event(&Event::Interference(interference::Change {
        kind: "a".into(),
        neighbour: "b".into(),
        counts: true,
        slowdown_ratio: 1.5,
        evidence: 4.0,
        reason: "significant",
    }));
    let text = metrics.encode_text().unwrap();
    let served: BTreeSet<&str> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|line| line.split_once(' '))
        .map(|(name, _)| name)
        .collect();
    assert_eq!(documented, served);
}
