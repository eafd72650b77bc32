//! Generates lists of jobs that resemble the users' workloads.

use camphorbeam_model::id;
use camphorbeam_placement::policy;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::backend_servers::FailureWindow;
use crate::clusters::Cluster;
use crate::jobs::JobRow;
use crate::replay::Scenario;

/// Time span of the arrivals in a list, in seconds.
const LIST_SPAN_S: f64 = 4.0 * 3_600.0;

/// Work in a list, as a share of the work that the cluster's accelerators can do in the time span.
const LOAD_RATIO: f64 = 0.85;

/// Bounds of the ratio of declared to actual run times.
const DECLARED_RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Number of failing servers in the list with failing servers.
const FAILING_SERVERS: usize = 4;

/// Number of client accounts of the cluster `letter1`.
const TEAM_COUNT: usize = 240;

/// Number of jobs in each list for the cluster `letter1`.
const LARGE_MIXED_JOBS: usize = 4_700;

/// Statistical description of one kind of work.
struct KindProfile {
    name: &'static str,
    /// Share of the total work, relative to the other kinds.
    share: f64,
    /// Accelerators of a job, drawn uniformly from these.
    accelerators: &'static [u32],
    /// Median of the run time, in seconds.
    median_s: f64,
    /// Standard deviation of the logarithm of the run time.
    spread: f64,
    idempotent: bool,
    checkpointable: bool,
    urgent: bool,
}

/// Distribution of the arrivals of a kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ArrivalPattern {
    /// Uniform over the whole time span.
    Even,
    /// In 12 bursts of 20 seconds each.
    Bursts,
    /// Uniform over the first tenth of the time span, like a peak at dawn.
    FirstTenth,
}

/// Accounts and kinds of work of one user.
struct Workload {
    accounts: &'static [&'static str],
    kinds: &'static [KindProfile],
    /// Kinds of the small and of the large jobs, for the lists with bursts.
    small: &'static str,
    large: &'static str,
    /// Kind whose jobs all arrive in the first tenth of the time span.
    early_kind: Option<&'static str>,
}

const UNION: Workload = Workload {
    accounts: &[
        "drift-studies",
        "sonede",
        "steg-inspectors",
        "tunis-lab-acct",
    ],
    kinds: &[
        KindProfile {
            name: "quick-check",
            share: 1.0,
            accelerators: &[0, 1, 1, 1, 2],
            median_s: 20.0,
            spread: 0.6,
            idempotent: false,
            checkpointable: false,
            urgent: true,
        },
        KindProfile {
            name: "curve-fit",
            share: 3.0,
            accelerators: &[1, 2, 4, 4, 8],
            median_s: 240.0,
            spread: 0.8,
            idempotent: true,
            checkpointable: false,
            urgent: false,
        },
        KindProfile {
            name: "drift-study",
            share: 6.0,
            accelerators: &[8, 8, 16, 32],
            median_s: 1_200.0,
            spread: 0.6,
            idempotent: true,
            checkpointable: true,
            urgent: false,
        },
    ],
    small: "quick-check",
    large: "drift-study",
    early_kind: None,
};

const NARAMKY: Workload = Workload {
    accounts: &["brno-letni", "olomouc-hudba", "praha-open", "vysocina-fest"],
    kinds: &[
        KindProfile {
            name: "reprint-check",
            share: 1.0,
            accelerators: &[0, 1, 1],
            median_s: 15.0,
            spread: 0.6,
            idempotent: true,
            checkpointable: false,
            urgent: false,
        },
        KindProfile {
            name: "artwork-proof",
            share: 4.0,
            accelerators: &[1, 2, 2, 4],
            median_s: 180.0,
            spread: 0.8,
            idempotent: true,
            checkpointable: true,
            urgent: false,
        },
        KindProfile {
            name: "gate-batch",
            share: 5.0,
            accelerators: &[4, 8, 8, 16],
            median_s: 600.0,
            spread: 0.5,
            idempotent: false,
            checkpointable: false,
            urgent: true,
        },
    ],
    small: "reprint-check",
    large: "gate-batch",
    early_kind: Some("gate-batch"),
};

const LARGE_MIXED: Workload = Workload {
    accounts: &[],
    kinds: &[
        KindProfile {
            name: "task",
            share: 1.0,
            accelerators: &[0],
            median_s: 600.0,
            spread: 0.8,
            idempotent: true,
            checkpointable: false,
            urgent: false,
        },
        KindProfile {
            name: "check",
            share: 1.0,
            accelerators: &[1, 1, 2],
            median_s: 60.0,
            spread: 0.6,
            idempotent: false,
            checkpointable: false,
            urgent: true,
        },
        KindProfile {
            name: "training",
            share: 6.0,
            accelerators: &[2, 4, 8, 16],
            median_s: 1_200.0,
            spread: 0.8,
            idempotent: true,
            checkpointable: true,
            urgent: false,
        },
    ],
    small: "check",
    large: "training",
    early_kind: None,
};

/// Generates all lists for a cluster. The same seed gives the same lists.
pub fn all(cluster: Cluster, seed: u64) -> Vec<Scenario> {
    let workload = match cluster {
        Cluster::Union => &UNION,
        Cluster::Naramky => &NARAMKY,
        Cluster::LargeMixed => &LARGE_MIXED,
    };
    let generator = Generator {
        cluster,
        workload,
        seed,
    };
    let day = match workload.early_kind {
        Some(_) => "dawn-gate-batches",
        None => "day-of-checks",
    };
    vec![
        generator.list(day, None),
        generator.list("bursts-small", Some(workload.small)),
        generator.list("bursts-large", Some(workload.large)),
        generator.with_exact_declarations("declared-exact", day),
        generator.with_inaccurate_declarations("declared-off", day),
        generator.with_cancellations("cancellation-waves", day),
        generator.with_failing_servers("failing-servers", day),
    ]
}

/// Generates the lists of one cluster from a seed.
struct Generator<'a> {
    cluster: Cluster,
    workload: &'a Workload,
    seed: u64,
}

impl Generator<'_> {
    fn list(&self, name: &str, bursts: Option<&str>) -> Scenario {
        Scenario {
            name: name.to_owned(),
            rows: self.rows(bursts),
            failure_window: None,
        }
    }

    /// Generates the list `base_list` with declared run times that equal the actual ones.
    fn with_exact_declarations(&self, name: &str, base_list: &str) -> Scenario {
        let mut scenario = self.list(base_list, None);
        scenario.name = name.to_owned();
        for row in &mut scenario.rows {
            row.declared_run_time_s = row.run_time_s;
        }
        scenario
    }

    /// Generates the list `base_list` under another name. Its declared run times are inaccurate
    /// already.
    fn with_inaccurate_declarations(&self, name: &str, base_list: &str) -> Scenario {
        let mut scenario = self.list(base_list, None);
        scenario.name = name.to_owned();
        scenario
    }

    /// Generates a list in which large jobs arrive in bursts. At the end of every hour, half of the
    /// requests of the last ten minutes are cancelled if they still wait.
    fn with_cancellations(&self, name: &str, base_list: &str) -> Scenario {
        const WAVE_INTERVAL_S: f64 = 3_600.0;
        const WAVE_WINDOW_S: f64 = 600.0;
        let mut rng = self.rng(1);
        let mut scenario = self.list(base_list, Some(self.workload.large));
        scenario.name = name.to_owned();
        for row in &mut scenario.rows {
            let until_wave_s = WAVE_INTERVAL_S - row.arrival_s % WAVE_INTERVAL_S;
            if until_wave_s < WAVE_WINDOW_S && rng.random_bool(0.5) {
                row.cancelled_after_s = Some(until_wave_s);
            }
        }
        scenario
    }

    /// Generates a list during which some servers fail every attempt in the middle half of the time
    /// span.
    fn with_failing_servers(&self, name: &str, base_list: &str) -> Scenario {
        let mut scenario = self.list(base_list, None);
        scenario.name = name.to_owned();
        scenario.failure_window = Some(FailureWindow {
            servers: FAILING_SERVERS,
            from_ms: (LIST_SPAN_S * 250.0) as u64,
            until_ms: (LIST_SPAN_S * 750.0) as u64,
        });
        scenario
    }

    fn rng(&self, stream: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(stream);
        rng
    }

    fn rows(&self, bursts: Option<&str>) -> Vec<JobRow> {
        let mut rng = self.rng(0);
        let servers = self.cluster.servers();
        let speed: f64 = servers.iter().map(accelerator_speed).sum();
        let work_s = speed * LIST_SPAN_S * LOAD_RATIO;
        let shares: f64 = self.workload.kinds.iter().map(|kind| kind.share).sum();
        let mut rows = Vec::new();
        for kind in self.workload.kinds {
            let arrivals = match bursts {
                Some(name) if name == kind.name => ArrivalPattern::Bursts,
                _ if self.workload.early_kind == Some(kind.name) => ArrivalPattern::FirstTenth,
                _ => ArrivalPattern::Even,
            };
            let mut remaining_s = work_s * kind.share / shares;
            while remaining_s > 0.0 {
                let row = self.row(kind, arrivals, &mut rng);
                remaining_s -= row.run_time_s * f64::from(row.accelerators.max(1));
                rows.push(row);
            }
        }
        rows.sort_by(|a, b| a.arrival_s.total_cmp(&b.arrival_s));
        if self.cluster == Cluster::LargeMixed {
            rows = downsample(rows, LARGE_MIXED_JOBS);
        }
        rows
    }

    fn row(&self, kind: &KindProfile, arrivals: ArrivalPattern, rng: &mut ChaCha8Rng) -> JobRow {
        let size = rng.random_range(0..kind.accelerators.len());
        let run_time_s = kind.median_s * (kind.spread * normal(rng)).exp();
        let (low, high) = DECLARED_RATIO_BOUNDS;
        let factor = (rng.random_range(low.ln()..high.ln())).exp();
        JobRow {
            arrival_s: round_ms(arrival_s(arrivals, rng)),
            client_account: self.account(kind, rng),
            kind: id::KindName::new(kind.name).expect("a valid name"),
            accelerators: kind.accelerators[size],
            run_time_s: round_ms(run_time_s),
            declared_run_time_s: round_ms(run_time_s * factor),
            idempotent: kind.idempotent,
            checkpointable: kind.checkpointable,
            urgent: kind.urgent,
            cancelled_after_s: None,
        }
    }

    /// Draws an account. Accounts differ in their number of requests: the probability decreases
    /// along the list of accounts, starting at an offset that depends on the kind.
    fn account(&self, kind: &KindProfile, rng: &mut ChaCha8Rng) -> id::ClientAccountName {
        let offset = kind.name.len();
        let skewed_index = |rng: &mut ChaCha8Rng, count: usize| {
            rng.random_range(0..count).min(rng.random_range(0..count))
        };
        let name = match self.workload.accounts {
            [] => format!("team-{:03}", skewed_index(rng, TEAM_COUNT)),
            accounts => {
                let index = (offset + skewed_index(rng, accounts.len())) % accounts.len();
                accounts[index].to_owned()
            }
        };
        id::ClientAccountName::new(&name).expect("a valid name")
    }
}

fn accelerator_speed(server: &policy::Server) -> f64 {
    f64::from(server.accelerators) * server.speed_ratio
}

/// Keeps `count` evenly spread rows and shortens the arrival times by the same ratio, so that the
/// load stays the same.
fn downsample(mut rows: Vec<JobRow>, count: usize) -> Vec<JobRow> {
    let total = rows.len();
    let time_ratio = (count as f64 / total as f64).min(1.0);
    for row in &mut rows {
        row.arrival_s = round_ms(row.arrival_s * time_ratio);
    }
    let is_kept = |number: usize| (number + 1) * count / total > number * count / total;
    let numbered = rows.into_iter().enumerate();
    numbered
        .filter(|(number, _)| total <= count || is_kept(*number))
        .map(|(_, row)| row)
        .collect()
}

fn arrival_s(arrivals: ArrivalPattern, rng: &mut ChaCha8Rng) -> f64 {
    const BURSTS: u32 = 12;
    const BURST_S: f64 = 20.0;
    match arrivals {
        ArrivalPattern::Even => rng.random_range(0.0..LIST_SPAN_S),
        ArrivalPattern::FirstTenth => rng.random_range(0.0..LIST_SPAN_S / 10.0),
        ArrivalPattern::Bursts => {
            let burst = f64::from(rng.random_range(0..BURSTS));
            burst * LIST_SPAN_S / f64::from(BURSTS) + rng.random_range(0.0..BURST_S)
        }
    }
}

/// Draws a standard normal number with the Box-Muller transform.
fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * rng.random::<f64>()).cos()
}

fn round_ms(seconds: f64) -> f64 {
    (seconds * 1_000.0).round() / 1_000.0
}
