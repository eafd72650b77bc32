//! Names of the metrics, and how they are sent.
//!
//! docs/metrics.md lists them for operators. Sending never waits: a metric that finds no room in
//! the socket is lost.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use cadence::{Counted as _, Gauged as _, Histogrammed as _, Timed as _};
use cadence::{NopMetricSink, StatsdClient, UdpMetricSink};

/// Prefix of every name.
pub const PREFIX: &str = "camphorbeam";

/// Counter: requests recorded by this entry host.
pub const REQUEST_ACCEPTED: &str = "request.accepted";

/// Counter: submissions that an earlier one under the same key had made already.
pub const REQUEST_REPEATED: &str = "request.repeated";

/// Counter by `code`: submissions refused by this entry host.
pub const REQUEST_REFUSED: &str = "request.refused";

/// Counter by `code`: refused calls of any kind.
pub const CALL_REFUSED: &str = "call.refused";

/// Counter by `event`: steps recorded by the scheduler.
pub const STEP_RECORDED: &str = "step.recorded";

/// Counter: launches whose members have all started.
pub const LAUNCH_RUNNING: &str = "launch.running";

/// Counter: launches that did not come to that.
pub const LAUNCH_FAILED: &str = "launch.failed";

/// Timer: from the acceptance of a request to the start of its first attempt.
pub const START_DELAY_MS: &str = "request.start_delay_ms";

/// Counter: requests whose end was recorded.
pub const REQUEST_CLOSED: &str = "request.closed";

/// Counter: answers whose content did not match the digest that the backend server stated.
pub const ANSWER_DAMAGED: &str = "answer.damaged";

/// Histogram: requests in one group commit.
pub const COMMIT_GROUP_SIZE: &str = "commit.group_size";

/// Counter by `outcome`: group commits.
pub const COMMIT_SETTLED: &str = "commit.settled";

/// Gauge: 1 on the entry host that holds the scheduler lease, 0 elsewhere.
pub const LEASE_HELD: &str = "lease.held";

/// Counter: times that this entry host took the lease.
pub const LEASE_TAKEN: &str = "lease.taken";

/// Counter: holdings that ended because another entry host has the lease.
pub const LEASE_LOST: &str = "lease.lost";

/// Counter: renewals that the platform did not answer.
pub const LEASE_UNCONFIRMED: &str = "lease.unconfirmed";

/// Timer: from taking the lease to the first decision being allowed.
pub const TAKEOVER_DURATION_MS: &str = "takeover.duration_ms";

/// Gauge: version of the sheet in hand.
pub const SHEET_VERSION: &str = "sheet.version";

/// Gauge: 1 while that version is known to be the newest, else 0.
pub const SHEET_CONFIRMED: &str = "sheet.confirmed";

/// Gauge by `client_account`: waiting requests at the scheduler.
pub const QUEUE_WAITING: &str = "queue.waiting";

/// Gauge by `health`: backend servers of the scheduler's availability zone.
pub const BACKEND_SERVERS: &str = "backend_servers";

/// Timer: one decision of the policy.
pub const DECISION_DURATION_MS: &str = "decision.duration_ms";

/// Every name.
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
    COMMIT_SETTLED,
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

/// Client accounts with a gauge of their own; the rest are summed under [`OTHER`].
pub const ACCOUNTS_MAX: usize = 50;

/// Tag value for what has none of its own.
pub const OTHER: &str = "other";

/// A client that sends to `statsd`, or to nowhere; `host` and `zone` are tags of every metric.
///
/// # Errors
///
/// Fails if no socket can be had.
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

/// Counts one event.
pub fn count(client: &StatsdClient, name: &str) {
    // A metric that is lost does no harm; the same holds below.
    let _ = client.count(name, 1);
}

/// Counts one event under a tag.
pub fn count_by(client: &StatsdClient, name: &str, key: &str, value: &str) {
    client.count_with_tags(name, 1).with_tag(key, value).send();
}

/// States how much there is of something.
pub fn gauge(client: &StatsdClient, name: &str, value: u64) {
    let _ = client.gauge(name, value);
}

/// States how much there is of something under a tag.
pub fn gauge_by(client: &StatsdClient, name: &str, key: &str, tag: &str, value: u64) {
    client
        .gauge_with_tags(name, value)
        .with_tag(key, tag)
        .send();
}

/// States how much each of `counts` has. The first [`ACCOUNTS_MAX`] by name get a gauge of their
/// own, the others are summed under [`OTHER`].
pub fn gauge_each<K: AsRef<str>>(
    client: &StatsdClient,
    name: &str,
    key: &str,
    counts: &BTreeMap<K, u64>,
) {
    for (tag, count) in counts.iter().take(ACCOUNTS_MAX) {
        gauge_by(client, name, key, tag.as_ref(), *count);
    }
    let others = counts.values().skip(ACCOUNTS_MAX);
    gauge_by(client, name, key, OTHER, others.sum());
}

/// Notes how long something took.
pub fn time_ms(client: &StatsdClient, name: &str, duration_ms: u64) {
    let _ = client.time(name, duration_ms);
}

/// Notes the size of something.
pub fn histogram(client: &StatsdClient, name: &str, value: u64) {
    let _ = client.histogram(name, value);
}
