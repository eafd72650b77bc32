//! Metrics that entry hosts send to a statsd collector, and their documentation.

use std::collections::BTreeSet;
use std::net::UdpSocket;
use std::time::Duration;

use async_std::task;
use camphorbeam_model::record::HistoryEvent;
use camphorbeam_telemetry::metrics;
use camphorbeam_testing::environment::{self, Environment};
use rstest::rstest;

/// Events that a scheduler records.
const SCHEDULER_EVENTS: [HistoryEvent; 13] = [
    HistoryEvent::StartRecorded,
    HistoryEvent::AttemptNotStarted,
    HistoryEvent::AttemptLost,
    HistoryEvent::AttemptFailed,
    HistoryEvent::Preempted,
    HistoryEvent::Adopted,
    HistoryEvent::Finished,
    HistoryEvent::Failed,
    HistoryEvent::Refused,
    HistoryEvent::Moved,
    HistoryEvent::CancelRequested,
    HistoryEvent::Cancelled,
    HistoryEvent::OutcomeUnknown,
];

/// Timeout of every wait.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Size of the receive buffer, and so of the largest datagram that is received whole.
const DATAGRAM_MAX_BYTES: usize = 2_048;

/// A UDP socket that receives metrics in place of a statsd server.
struct Collector {
    socket: UdpSocket,
    lines: Vec<String>,
}

impl Collector {
    fn start() -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").expect("there is a free port");
        socket
            .set_nonblocking(true)
            .expect("the socket can be made non-blocking");
        Self {
            socket,
            lines: Vec::new(),
        }
    }

    fn address(&self) -> String {
        let address = self.socket.local_addr().expect("the socket has an address");
        address.to_string()
    }

    /// Adds all datagrams that have arrived to `lines`, each line as `NAME:VALUE|TYPE|#TAGS`
    /// without the prefix.
    fn receive(&mut self) {
        let mut datagram = [0_u8; DATAGRAM_MAX_BYTES];
        while let Ok(size) = self.socket.recv(&mut datagram) {
            let text = std::str::from_utf8(&datagram[..size]).expect("the datagram is text");
            let prefix = format!("{}.", metrics::PREFIX);
            let lines = text.lines().map(|line| {
                let name = line.strip_prefix(&prefix);
                name.expect("the name has the prefix").to_owned()
            });
            self.lines.extend(lines);
        }
    }

    /// Waits until metrics of all `names` have arrived. Returns the names that are still missing at
    /// the timeout.
    async fn await_names(&mut self, names: &[&str]) -> Vec<String> {
        environment::wait_until(TIMEOUT, async || {
            self.receive();
            missing_names(&self.lines, names).is_empty()
        })
        .await;
        missing_names(&self.lines, names)
    }

    fn has_line(&self, name: &str, tag: &str) -> bool {
        let start = format!("{name}:");
        let mut lines = self.lines.iter();
        lines.any(|line| line.starts_with(&start) && line.contains(tag))
    }
}

fn missing_names(lines: &[String], names: &[&str]) -> Vec<String> {
    let received: BTreeSet<&str> = lines
        .iter()
        .filter_map(|line| line.split_once(':'))
        .map(|(name, _)| name)
        .collect();
    let missing = names.iter().filter(|name| !received.contains(*name));
    missing.map(|name| (*name).to_owned()).collect()
}

async fn measured_environment(collector: &Collector) -> Environment {
    let mut plan = environment::Plan::one_zone(2, 2);
    plan.flags.insert("statsd", collector.address());
    Environment::start(plan)
        .await
        .expect("the environment starts")
}

#[rstest]
fn test_metrics_of_a_request_are_received() {
    task::block_on(async {
        let mut collector = Collector::start();
        let environment = measured_environment(&collector).await;

        let spec = environment::request("measured", 4, false, 50);
        let submitted = environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");
        environment
            .submit(1, &spec)
            .await
            .expect("the request is known");
        let mut too_large = environment::request("too-large", 400, false, 50);
        too_large.zone = None;
        environment
            .submit(0, &too_large)
            .await
            .expect_err("the request can never fit");
        let explanation = environment.await_end(&submitted.id, TIMEOUT).await;
        assert_eq!(explanation.expect("the request is known").state, "finished");

        let expected = [
            metrics::REQUEST_ACCEPTED,
            metrics::REQUEST_REPEATED,
            metrics::REQUEST_REFUSED,
            metrics::CALL_REFUSED,
            metrics::STEP_RECORDED,
            metrics::LAUNCH_RUNNING,
            metrics::START_DELAY_MS,
            metrics::REQUEST_CLOSED,
            metrics::COMMIT_GROUP_SIZE,
            metrics::COMMIT_OUTCOME,
            metrics::LEASE_HELD,
            metrics::LEASE_TAKEN,
            metrics::TAKEOVER_DURATION_MS,
            metrics::SHEET_VERSION,
            metrics::SHEET_CONFIRMED,
            metrics::QUEUE_WAITING,
            metrics::BACKEND_SERVERS,
            metrics::DECISION_DURATION_MS,
        ];
        let missing = collector.await_names(&expected).await;

        assert!(
            missing.is_empty(),
            "{missing:?} not in {:?}",
            collector.lines
        );
        assert!(collector.has_line(metrics::REQUEST_REFUSED, "code:invalid"));
        assert!(collector.has_line(metrics::STEP_RECORDED, "event:start_recorded"));
        assert!(collector.has_line(metrics::STEP_RECORDED, "event:finished"));
        assert!(collector.has_line(metrics::COMMIT_OUTCOME, "outcome:committed"));
        assert!(collector.has_line(metrics::QUEUE_WAITING, "client_account:sonede"));
        assert!(collector.has_line(metrics::BACKEND_SERVERS, "health:usable"));
        assert!(collector
            .lines
            .iter()
            .all(|line| line.contains("zone:tunis-lab")));
        assert!(collector
            .lines
            .iter()
            .all(|line| line.contains("host:tunis-lab-e")));
    });
}

#[rstest]
fn test_metrics_of_a_lost_platform_and_a_failed_request_are_received() {
    task::block_on(async {
        let mut collector = Collector::start();
        let environment = measured_environment(&collector).await;
        let scheduler = environment.scheduler("tunis-lab").await;
        let scheduler = scheduler.expect("the zone has a scheduler");
        let mut spec = environment::request("failing", 1, false, 10);
        spec.payload = serde_json::json!({ "run_time_ms": 10, "fails": true }).to_string();
        let submitted = environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");
        let explanation = environment.await_end(&submitted.id, TIMEOUT).await;
        assert_eq!(explanation.expect("the request is known").state, "failed");

        let cut = camphorbeam_testing::proxy::Fault::Cut;
        environment.hosts[scheduler].platform_link.set_fault(cut);
        let expected = [metrics::LEASE_UNCONFIRMED, metrics::LEASE_LOST];
        let missing = collector.await_names(&expected).await;

        assert!(
            missing.is_empty(),
            "{missing:?} not in {:?}",
            collector.lines
        );
        assert!(collector.has_line(metrics::STEP_RECORDED, "event:failed"));
    });
}

/// Bytes per second below which an idle entry host has to stay, UDP and IP headers included.
const IDLE_MAX_BYTES_PER_S: u64 = 512;

/// Time between two reports of the gauges.
const GAUGE_INTERVAL_S: u64 = 5;

/// Bytes of the UDP and IP headers of one datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Returns how many reports of the gauges of `host` have been received.
fn report_count(collector: &Collector, host: &str) -> usize {
    let is_report = |line: &&String| line.starts_with("sheet.version:") && line.contains(host);
    collector.lines.iter().filter(is_report).count()
}

async fn await_reports(collector: &mut Collector, host: &str, count: usize) {
    let are_sent = environment::wait_until(TIMEOUT, async || {
        collector.receive();
        report_count(collector, host) >= count
    })
    .await;
    assert!(are_sent, "the gauges were not reported");
}

#[rstest]
fn test_metrics_of_an_idle_host_use_little_bandwidth() {
    task::block_on(async {
        let mut collector = Collector::start();
        let environment = measured_environment(&collector).await;
        let scheduler = environment.scheduler("tunis-lab").await;
        let scheduler = scheduler.expect("the zone has a scheduler");
        let host = format!("host:{}", environment.hosts[scheduler].id);
        // The first report may be sent while the environment still starts.
        await_reports(&mut collector, &host, 2).await;
        collector.lines.clear();

        await_reports(&mut collector, &host, 2).await;

        let of_host = collector.lines.iter().filter(|line| line.contains(&host));
        let prefix_bytes = metrics::PREFIX.len() as u64 + 1;
        let sizes = of_host.map(|line| line.len() as u64 + prefix_bytes + DATAGRAM_HEADER_BYTES);
        let bytes_per_s = sizes.sum::<u64>() / (2 * GAUGE_INTERVAL_S);
        println!("the idle entry host sends {bytes_per_s} bytes per second to the collector");
        assert!(bytes_per_s < IDLE_MAX_BYTES_PER_S, "{bytes_per_s}");
    });
}

#[rstest]
fn test_metrics_are_all_documented() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/metrics.md");
    let page = std::fs::read_to_string(page).expect("the page can be read");
    let documented: BTreeSet<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("| `"))
        .filter_map(|line| line.split_once('`'))
        .map(|(name, _)| name)
        .collect();

    assert_eq!(documented, BTreeSet::from(metrics::ALL));
}

#[rstest]
fn test_metrics_events_are_documented_by_their_names() {
    let page = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/metrics.md");
    let page = std::fs::read_to_string(page).expect("the page can be read");
    let (_, table) = page
        .split_once("| Event |")
        .expect("the page has a table of events");
    let documented: BTreeSet<&str> = table
        .lines()
        .skip(2)
        .map_while(|line| line.strip_prefix("| "))
        .filter_map(|line| line.split_once(' '))
        .map(|(event, _)| event)
        .collect();

    let named: BTreeSet<&str> = SCHEDULER_EVENTS.iter().map(|event| event.name()).collect();
    assert_eq!(documented, named);
    for event in SCHEDULER_EVENTS {
        assert_eq!(serde_json::json!(event), event.name());
    }
}
