//! Names of the metrics, and functions to send them to StatsD.
//!
//! docs/metrics.md lists the metrics for operators. Sending never blocks: if the buffer of the
//! socket is full, the metric is lost.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted as _, Gauged as _, Histogrammed as _, Timed as _};
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of every metric name.
pub const PREFIX: &str = "camphorbeam";

/// Counter: requests recorded by this entry host.
pub const REQUEST_ACCEPTED: &str = "request.accepted";

/// Counter: submissions that repeat an earlier one with the same key.
pub const REQUEST_REPEATED: &str = "request.repeated";

/// Counter by `code`: submissions refused by this entry host.
pub const REQUEST_REFUSED: &str = "request.refused";

/// Counter by `code`: refused calls of any kind.
pub const CALL_REFUSED: &str = "call.refused";

/// Counter by `event`: history entries recorded by the scheduler.
pub const STEP_RECORDED: &str = "step.recorded";

/// Counter: launches whose members have all started.
pub const LAUNCH_RUNNING: &str = "launch.running";

/// Counter: launches that failed.
pub const LAUNCH_FAILED: &str = "launch.failed";

/// Timer: time from the acceptance of a request to the start of its first attempt.
pub const START_DELAY_MS: &str = "request.start_delay_ms";

/// Counter: requests whose final state was recorded.
pub const REQUEST_CLOSED: &str = "request.closed";

/// Counter: answers whose content did not match the digest reported by the backend server.
pub const ANSWER_DAMAGED: &str = "answer.damaged";

/// Histogram: number of transactions in one commit of a group. What remains of a group after a
/// conflict is committed again and counted again.
pub const COMMIT_GROUP_SIZE: &str = "commit.group_size";

/// Counter by `outcome`: commits of a group of transactions, also those of the rest of a group
/// after a conflict.
pub const COMMIT_OUTCOME: &str = "commit.settled";

/// Gauge: 1 on the entry host that holds the scheduler lease, 0 elsewhere.
pub const LEASE_HELD: &str = "lease.held";

/// Counter: acquisitions of the scheduler lease by this entry host.
pub const LEASE_TAKEN: &str = "lease.taken";

/// Counter: losses of the scheduler lease to another entry host.
pub const LEASE_LOST: &str = "lease.lost";

/// Counter: renewals of the scheduler lease that the platform did not confirm.
pub const LEASE_UNCONFIRMED: &str = "lease.unconfirmed";

/// Timer: time from the acquisition of the scheduler lease until the scheduler may make decisions.
pub const TAKEOVER_DURATION_MS: &str = "takeover.duration_ms";

/// Gauge: version of the sheet that this entry host uses.
pub const SHEET_VERSION: &str = "sheet.version";

/// Gauge: 1 while the sheet version is confirmed as the newest, otherwise 0.
pub const SHEET_CONFIRMED: &str = "sheet.confirmed";

/// Gauge by `client_account`: requests waiting at the scheduler.
pub const QUEUE_WAITING: &str = "queue.waiting";

/// Gauge by `health`: backend servers of the scheduler's availability zone.
pub const BACKEND_SERVERS: &str = "backend_servers";

/// Timer: duration of one decision of the scheduling policy.
pub const DECISION_DURATION_MS: &str = "decision.duration_ms";

/// The names of all metrics.
pub const ALL: [&str; 22] = [
    REQUEST_ACCEPTED,
    REQUEST_REPEATED,
    REQUEST_REFUSED,
    CALL_REFUSED,
    STEP_RECORDED,
    LAUNCH_RUNNING,
    LAUNCH_FAILED,
    START_DELAY_MS,
    REQUEST_CLOSED,
    ANSWER_DAMAGED,
    COMMIT_GROUP_SIZE,
    COMMIT_OUTCOME,
    LEASE_HELD,
    LEASE_TAKEN,
    LEASE_LOST,
    LEASE_UNCONFIRMED,
    TAKEOVER_DURATION_MS,
    SHEET_VERSION,
    SHEET_CONFIRMED,
    QUEUE_WAITING,
    BACKEND_SERVERS,
    DECISION_DURATION_MS,
];

/// Maximum number of tag values, such as client accounts, with a gauge of their own in one metric;
/// the others are summed under [`OTHER`].
pub const GAUGES_PER_METRIC_MAX: usize = 50;

/// Tag value of the gauge that sums the remaining tag values of a metric.
pub const OTHER: &str = "other";

/// Creates a client that sends metrics to `statsd`, or discards them if it is `None`. Every metric
/// has the tags `host` and `zone`.
///
/// # Errors
///
/// Returns an error if the socket can't be created.
pub fn client(statsd: Option<SocketAddr>, host: &str, zone: &str) -> anyhow::Result<StatsdClient> {
    let builder = match statsd {
        None => StatsdClient::builder(PREFIX, NopMetricSink),
        Some(address) => {
            let unspecified: SocketAddr = match address.is_ipv4() {
                true => ([0, 0, 0, 0], 0).into(),
                false => ([0_u16; 8], 0).into(),
            };
            let socket = UdpSocket::bind(unspecified)?;
            socket.set_nonblocking(true)?;
            StatsdClient::builder(PREFIX, UdpMetricSink::from(address, socket)?)
        }
    };
    Ok(builder
        .with_tag("host", host)
        .with_tag("zone", zone)
        .build())
}

/// Increments a counter.
pub fn count(client: &StatsdClient, name: &str) {
    // Here and below, errors are ignored: a metric may be lost.
    let _ = client.count(name, 1);
}

/// Increments a counter with the tag `key` = `value`.
pub fn count_by(client: &StatsdClient, name: &str, key: &str, value: &str) {
    client.count_with_tags(name, 1).with_tag(key, value).send();
}

/// Sets a gauge.
pub fn gauge(client: &StatsdClient, name: &str, value: u64) {
    let _ = client.gauge(name, value);
}

/// Sets a gauge with the tag `key` = `tag_value`.
pub fn gauge_by(client: &StatsdClient, name: &str, key: &str, tag_value: &str, value: u64) {
    client
        .gauge_with_tags(name, value)
        .with_tag(key, tag_value)
        .send();
}

/// Sets a gauge for each entry of `counts`, with the tag `key`. The first [`GAUGES_PER_METRIC_MAX`] entries
/// in key order get a gauge of their own; the others are summed under [`OTHER`].
pub fn gauge_each<K: AsRef<str>>(
    client: &StatsdClient,
    name: &str,
    key: &str,
    counts: &BTreeMap<K, u64>,
) {
    for (tag_value, count) in counts.iter().take(GAUGES_PER_METRIC_MAX) {
        gauge_by(client, name, key, tag_value.as_ref(), *count);
    }
    let others = counts.values().skip(GAUGES_PER_METRIC_MAX);
    gauge_by(client, name, key, OTHER, others.sum());
}

/// Records a duration in a timer.
pub fn time_ms(client: &StatsdClient, name: &str, duration_ms: u64) {
    let _ = client.time(name, duration_ms);
}

/// Records a value in a histogram.
pub fn histogram(client: &StatsdClient, name: &str, value: u64) {
    let _ = client.histogram(name, value);
}
