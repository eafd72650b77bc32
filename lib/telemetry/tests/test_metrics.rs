//! Metrics in the form in which they are sent to StatsD.

use std::collections::{BTreeMap, BTreeSet};

use cadence::{SpyMetricSink, StatsdClient};
use camphorbeam_telemetry::metrics;
use rstest::rstest;

fn sent(send: impl FnOnce(&StatsdClient)) -> Vec<String> {
    let (received, sink) = SpyMetricSink::new();
    let client = StatsdClient::from_sink(metrics::PREFIX, sink);
    send(&client);
    let lines = received.try_iter();
    lines
        .map(|line| String::from_utf8(line).expect("metrics are text"))
        .collect()
}

#[rstest]
#[case::none(0, 1)]
#[case::few(4, 5)]
#[case::all_named(metrics::GAUGES_PER_METRIC_MAX, metrics::GAUGES_PER_METRIC_MAX + 1)]
#[case::too_many(metrics::GAUGES_PER_METRIC_MAX + 30, metrics::GAUGES_PER_METRIC_MAX + 1)]
fn test_metrics_gauges_by_name_are_bounded(#[case] names: usize, #[case] expected: usize) {
    let names_with_counts = (0..names).map(|number| (format!("a{number:03}"), 2));
    let counts: BTreeMap<String, u64> = names_with_counts.collect();

    let lines = sent(|client| {
        metrics::gauge_each(client, metrics::QUEUE_WAITING, "client_account", &counts);
    });

    assert_eq!(lines.len(), expected);
    let others = 2 * names.saturating_sub(metrics::GAUGES_PER_METRIC_MAX);
    let other = format!("camphorbeam.queue.waiting:{others}|g|#client_account:other");
    assert!(lines.contains(&other), "{lines:?}");
}

#[rstest]
fn test_metrics_names_are_unique() {
    let names = BTreeSet::from(metrics::ALL);

    assert_eq!(names.len(), metrics::ALL.len());
}
