//! Metrics of an entry host, exported in the OpenMetrics text format.

use std::sync::atomic::AtomicU64;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use camphorbeam_jobs::event::Event;
use prometheus_client::encoding::text;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{self, Histogram};
use prometheus_client::registry::{Registry, Unit};

/// Prefix of all metric names.
pub const METRIC_PREFIX: &str = "camphorbeam";

/// Media type of the exported text.
pub const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bound of the first bucket of a latency histogram, in seconds: the resolution of the clock.
const LATENCY_MIN_S: f64 = 0.001;

/// Factor between the upper bounds of two successive buckets.
const LATENCY_FACTOR: f64 = 2.0;

/// Number of buckets of a latency histogram. They reach up to 4 s, longer than the default deadline
/// of a call and than the timeouts of calls to the store.
const LATENCY_BUCKETS: u16 = 13;

type Labels = [(&'static str, &'static str); 2];
type CounterFamily = Family<Labels, Counter>;
type EventCounterFamily = Family<[(&'static str, &'static str); 1], Counter>;
type SecondsCounterFamily = Family<[(&'static str, &'static str); 1], Counter<f64, AtomicU64>>;
type HistogramFamily = Family<[(&'static str, &'static str); 1], Histogram>;

fn latency_histogram() -> Histogram {
    Histogram::new(histogram::exponential_buckets(
        LATENCY_MIN_S,
        LATENCY_FACTOR,
        LATENCY_BUCKETS,
    ))
}

fn latency_family() -> HistogramFamily {
    Family::new_with_constructor(latency_histogram)
}

/// The metrics of one entry host.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    calls: CounterFamily,
    call_latency: HistogramFamily,
    store_calls: CounterFamily,
    store_latency: HistogramFamily,
    orders: CounterFamily,
    runs: CounterFamily,
    /// Core-seconds of work that the ends of runs have lost, by cause.
    lost_core_seconds: SecondsCounterFamily,
    evacuations: EventCounterFamily,
    reach: EventCounterFamily,
    maintenance: EventCounterFamily,
    advice: EventCounterFamily,
    share_orders: Counter,
    decision_latency: Histogram,
    takeovers: Counter,
    learned_state: EventCounterFamily,
    /// 1 while this host runs the scheduler, otherwise 0.
    pub is_scheduling: Gauge,
    /// Number of waiting jobs: open jobs without a schedule of which no task has started; 0 unless
    /// this host runs the scheduler.
    pub waiting_jobs: Gauge,
    /// Number of evacuated zones that have registered servers; 0 unless this host runs the
    /// scheduler.
    pub evacuated_zones: Gauge,
    /// Times that this host's own connection to the store was judged lost, with the option
    /// `probed`.
    pub store_losses: Counter,
    /// Probes of this host's own connection while it was judged lost.
    pub store_probes: Counter,
    /// Bytes of replies to calls through this host's own connection, with the option `probed`.
    pub store_received_bytes: Counter,
    /// Those of them that belong to replies that were cut, and so are of no use.
    pub store_discarded_bytes: Counter,
    /// Long polls in progress on behalf of other hosts.
    pub relayed_polls: Gauge,
    /// Number of kinds of tasks that the detection of interference knows; 0 unless this host runs
    /// the scheduler.
    pub interference_kinds: Gauge,
    /// Number of directed pairs of kinds that count as interfering; 0 unless this host runs the
    /// scheduler.
    pub interference_pairs: Gauge,
    interference_changes: EventCounterFamily,
    /// Version of the current terms.
    pub terms_version: Gauge<u64, AtomicU64>,
    /// Number of entries of the current terms that can't be read.
    pub terms_unreadable: Gauge<u64, AtomicU64>,
    /// Time since the store, or a host that reaches it, last confirmed the current terms, in
    /// seconds; negative before the first time.
    pub terms_age_s: Gauge<f64, AtomicU64>,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix(METRIC_PREFIX)),
            calls: CounterFamily::default(),
            call_latency: latency_family(),
            store_calls: CounterFamily::default(),
            store_latency: latency_family(),
            orders: CounterFamily::default(),
            runs: CounterFamily::default(),
            lost_core_seconds: SecondsCounterFamily::default(),
            evacuations: EventCounterFamily::default(),
            reach: EventCounterFamily::default(),
            maintenance: EventCounterFamily::default(),
            advice: EventCounterFamily::default(),
            share_orders: Counter::default(),
            decision_latency: latency_histogram(),
            takeovers: Counter::default(),
            learned_state: EventCounterFamily::default(),
            is_scheduling: Gauge::default(),
            waiting_jobs: Gauge::default(),
            evacuated_zones: Gauge::default(),
            store_losses: Counter::default(),
            store_probes: Counter::default(),
            store_received_bytes: Counter::default(),
            store_discarded_bytes: Counter::default(),
            relayed_polls: Gauge::default(),
            interference_kinds: Gauge::default(),
            interference_pairs: Gauge::default(),
            interference_changes: EventCounterFamily::default(),
            terms_version: Gauge::default(),
            terms_unreadable: Gauge::default(),
            terms_age_s: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        registry.register("calls", "Calls of callers, by answer", self.calls.clone());
        registry.register_with_unit(
            "call_latency",
            "Time until a caller was answered",
            Unit::Seconds,
            self.call_latency.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store, by way and outcome",
            self.store_calls.clone(),
        );
        registry.register_with_unit(
            "store_latency",
            "Time of a call to the store",
            Unit::Seconds,
            self.store_latency.clone(),
        );
        registry.register(
            "orders",
            "Orders to backend servers, by outcome",
            self.orders.clone(),
        );
        registry.register("runs", "Runs placed, stopped and ended", self.runs.clone());
        registry.register(
            "lost_core_seconds",
            "Work that the ends of runs have lost",
            self.lost_core_seconds.clone(),
        );
        registry.register(
            "reach",
            "Changes of the reach of backend servers, by the new view",
            self.reach.clone(),
        );
        registry.register(
            "advice",
            "Calls for placement advice by outcome, and what follows from them",
            self.advice.clone(),
        );
        registry.register(
            "share_orders",
            "Decisions in which shares changed the order of jobs",
            self.share_orders.clone(),
        );
        registry.register_with_unit(
            "decision_latency",
            "Time of one decision",
            Unit::Seconds,
            self.decision_latency.clone(),
        );
        registry.register(
            "takeovers",
            "Times that this host took the scheduler lease",
            self.takeovers.clone(),
        );
        registry.register(
            "learned_state",
            "Writes and reads of the learned state, by outcome",
            self.learned_state.clone(),
        );
        registry.register(
            "scheduling",
            "1 while this host schedules",
            self.is_scheduling.clone(),
        );
        registry.register(
            "waiting_jobs",
            "Jobs of which no task has started",
            self.waiting_jobs.clone(),
        );
        registry.register(
            "evacuations",
            "Requests to evacuate zones, and what follows from them",
            self.evacuations.clone(),
        );
        registry.register(
            "maintenance",
            "Events of maintenance waves",
            self.maintenance.clone(),
        );
        registry.register(
            "evacuated_zones",
            "Zones that get no new runs",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "store_losses",
            "Times that the host's own connection to the store was judged lost",
            self.store_losses.clone(),
        );
        registry.register(
            "store_probes",
            "Probes of the host's own connection to the store while it was judged lost",
            self.store_probes.clone(),
        );
        registry.register_with_unit(
            "store_received",
            "Data of replies through the host's own connection to the store",
            Unit::Bytes,
            self.store_received_bytes.clone(),
        );
        registry.register_with_unit(
            "store_discarded",
            "Data of replies that were cut, through the host's own connection to the store",
            Unit::Bytes,
            self.store_discarded_bytes.clone(),
        );
        registry.register(
            "relayed_polls",
            "Long polls in progress on behalf of other hosts",
            self.relayed_polls.clone(),
        );
        registry.register(
            "interference_kinds",
            "Kinds of tasks that are watched for interference",
            self.interference_kinds.clone(),
        );
        registry.register(
            "interference_pairs",
            "Directed pairs of kinds that slow each other down",
            self.interference_pairs.clone(),
        );
        registry.register(
            "interference_changes",
            "Pairs that have begun or ceased to count, by reason",
            self.interference_changes.clone(),
        );
        registry.register(
            "terms_version",
            "Version of the terms in force",
            self.terms_version.clone(),
        );
        registry.register(
            "terms_unreadable",
            "Entries of the terms in force that can't be read",
            self.terms_unreadable.clone(),
        );
        registry.register_with_unit(
            "terms_age",
            "Time since the store last confirmed the terms in force",
            Unit::Seconds,
            self.terms_age_s.clone(),
        );
    }

    /// Records the reply to a call and its latency. `what` is the operation, `outcome` the
    /// [name](crate::call::Reply::name) of the reply.
    pub fn record_call(&self, what: &'static str, outcome: &'static str, duration: Duration) {
        let labels = [("what", what), ("outcome", outcome)];
        self.calls.get_or_create(&labels).inc();
        let latency = self.call_latency.get_or_create(&[("what", what)]);
        latency.observe(duration.as_secs_f64());
    }

    /// Records a call to the store and its latency; `way` is `direct` or `relay`.
    pub fn record_store_call(&self, way: &'static str, outcome: &'static str, duration: Duration) {
        let labels = [("way", way), ("outcome", outcome)];
        self.store_calls.get_or_create(&labels).inc();
        let latency = self.store_latency.get_or_create(&[("way", way)]);
        latency.observe(duration.as_secs_f64());
    }

    /// Records the outcome of an order to a backend server: `unknown` also for an order that was
    /// not sent because an earlier one got no reply or, for a start, because the scheduler has
    /// stopped or its lease has expired. `withheld` counts starts that were not sent because of an
    /// evacuation.
    pub fn record_order(&self, kind: &'static str, outcome: &'static str) {
        let labels = [("kind", kind), ("outcome", outcome)];
        self.orders.get_or_create(&labels).inc();
    }

    /// Records the duration of one pass of the decision loop, also of a pass that decides nothing
    /// because the scheduler lease has expired.
    pub fn record_decision(&self, duration: Duration) {
        self.decision_latency.observe(duration.as_secs_f64());
    }

    /// Counts that this host took the scheduler lease.
    pub fn record_takeover(&self) {
        self.takeovers.inc();
    }

    /// Counts an event of the learned state: `written`, `restored` or `ignored`.
    pub fn record_learned_state(&self, event: &'static str) {
        self.learned_state.get_or_create(&[("event", event)]).inc();
    }

    /// Counts events of runs: placed, stopping, ended, and waiting for proven servers. `stopping`
    /// is the decision to stop a run, and one `placed` may cover several tasks. Counts changes of
    /// the reach of servers and of pairs of kinds that interfere, and events of evacuations and of
    /// advice too, and no others.
    pub fn record_event(&self, event: &Event) {
        let (kind, how) = match event {
            Event::Placed { .. } => ("placed", ""),
            Event::Ended {
                how,
                cause,
                lost_core_s,
                ..
            } => {
                if *lost_core_s > 0.0 {
                    let lost = self.lost_core_seconds.get_or_create(&[("cause", *cause)]);
                    lost.inc_by(*lost_core_s);
                }
                ("ended", *how)
            }
            Event::Preemption { .. } => ("preempts", ""),
            Event::Reservation { servers: 0, .. } => ("reservation", "impossible"),
            Event::Reservation { .. } => ("reservation", "made"),
            Event::StartBlocked { obstacle, .. } => ("blocked", *obstacle),
            Event::StartWithheld { cause, .. } => ("withheld", *cause),
            Event::Stopping { reason, .. } => ("stopping", *reason),
            Event::RunLost {
                has_begun: true, ..
            } => ("lost", "begun"),
            Event::RunLost { .. } => ("lost", "not confirmed"),
            Event::Crash { blame, .. } => ("server lost", *blame),
            Event::LossResolved {
                has_crashed: true, ..
            } => ("server lost", "crash proven"),
            Event::LossResolved { .. } => ("server lost", "withdrawn"),
            Event::GivenUp { .. } => ("given up", "crashes"),
            Event::EarlierRunDone { .. } => ("ended", "done by an earlier run"),
            Event::LateStartRefused { .. } => ("late start", "refused"),
            Event::NoServer { need, .. } => ("no server", *need),
            Event::OutOfAttempts { .. } => ("given up", "attempts"),
            Event::AddressReused { .. } => ("server", "address reused"),
            Event::Evacuation { state, .. } => return self.record_evacuation(state),
            Event::StartPause {
                is_paused: true, ..
            } => return self.record_evacuation("starts paused"),
            Event::EvacuationWait { .. } => return self.record_evacuation("job waits"),
            Event::WaitsForProven { .. } => ("waiting", "proven servers"),
            Event::StopRefused { reason, .. } => ("stop refused", *reason),
            Event::RestartDelayed { .. } => ("restart delayed", ""),
            Event::Pace { change, .. } => ("pace", change.name()),
            Event::Advice {
                outcome,
                foreign,
                malformed,
                ..
            } => {
                self.record_advice(outcome, 1);
                self.record_advice("foreign row", *foreign);
                return self.record_advice("malformed row", *malformed);
            }
            Event::AdviceWait { .. } => return self.record_advice("step waits", 1),
            Event::Adviser { is_away: true, .. } => return self.record_advice("away", 1),
            Event::NoAdviser { .. } => return self.record_advice("no address", 1),
            Event::ShareOrder { decisions, .. } => {
                self.share_orders.inc_by(*decisions);
                return;
            }
            Event::Reach { view, .. } => {
                let labels = [("view", view.name())];
                self.reach.get_or_create(&labels).inc();
                return;
            }
            Event::Interference(change) => {
                let labels = [("reason", change.reason)];
                self.interference_changes.get_or_create(&labels).inc();
                return;
            }
            Event::Opened { .. }
            | Event::State { .. }
            | Event::Server { .. }
            | Event::StartPause { .. }
            | Event::Adviser { .. } => return,
        };
        let labels = [("event", kind), ("how", how)];
        self.runs.get_or_create(&labels).inc();
    }

    fn record_advice(&self, event: &'static str, count: usize) {
        if count > 0 {
            let counter = self.advice.get_or_create(&[("event", event)]);
            counter.inc_by(count as u64);
        }
    }

    /// Counts an event of an evacuation.
    pub fn record_evacuation(&self, event: &'static str) {
        let labels = [("event", event)];
        self.evacuations.get_or_create(&labels).inc();
    }

    /// Counts an event of a maintenance wave.
    pub fn record_maintenance(&self, event: &'static str) {
        let labels = [("event", event)];
        self.maintenance.get_or_create(&labels).inc();
    }

    /// Encodes all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be formatted.
    pub fn encode_text(&self) -> Result<String, std::fmt::Error> {
        let mut text = String::new();
        let registry = self.registry.lock().unwrap_or_else(PoisonError::into_inner);
        text::encode(&mut text, &registry)?;
        Ok(text)
    }
}
