//! Property test of the default policy: after each decision of random event sequences, the harness
//! checks all invariants of placement and compares guarantees with an independent matcher.

mod support;

use camphorbeam_placement::default_policy::DefaultPolicy;
use camphorbeam_placement::policy;
use camphorbeam_placement::weights::Weights;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use support::harness::PolicyHarness;

/// Number of event sequences.
const CASES: u32 = 1500;

/// Seed of the event sequences.
const SEED: [u8; 32] = *b"camphorbeam guarantees seed 0001";

const ACCOUNTS: [&str; 3] = ["account-1", "account-2", "account-3"];

/// Usable is listed twice, so that half of the changes of health make a server usable.
const HEALTHS: [policy::Health; 4] = [
    policy::Health::Usable,
    policy::Health::Usable,
    policy::Health::Suspect,
    policy::Health::Closed,
];

#[derive(Clone, Debug)]
enum Event {
    Submit {
        account: usize,
        accelerators: u32,
        idempotent: bool,
        checkpointable: bool,
        is_urgent: bool,
    },
    /// Position of a waiting job, modulo their number.
    Withdraw(usize),
    /// Position of a started job, modulo their number.
    End(usize),
    EndPreempted,
    /// Position of a server in [`cluster`] and of its new health in [`HEALTHS`], each modulo the
    /// number of entries.
    SetHealth(usize, usize),
    /// Position of a server in [`cluster`], modulo their number.
    Remove(usize),
    /// Guarantees as (position in [`ACCOUNTS`], count, accelerators).
    SetSheet(Vec<(usize, u32, u32)>),
    Takeover,
    Decide {
        after_ms: u64,
        is_preemptible_only: bool,
    },
}

fn any_event() -> impl Strategy<Value = Event> {
    let sizes = prop_oneof![
        1 => Just(0u32),
        4 => Just(1u32),
        4 => Just(2u32),
        1 => Just(3u32),
        3 => Just(4u32),
        1 => Just(6u32),
        1 => Just(8u32),
        1 => Just(20u32),
    ];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>());
    let submit = (0usize..3, sizes, flags);
    let submit = submit.prop_map(|(account, accelerators, flags)| Event::Submit {
        account,
        accelerators,
        idempotent: flags.0,
        checkpointable: flags.1,
        is_urgent: flags.2,
    });
    let decide = (0u64..400_000, proptest::bool::weighted(0.1));
    let decide = decide.prop_map(|(after_ms, is_preemptible_only)| Event::Decide {
        after_ms,
        is_preemptible_only,
    });
    prop_oneof![
        14 => submit,
        1 => any::<usize>().prop_map(Event::Withdraw),
        8 => any::<usize>().prop_map(Event::End),
        4 => Just(Event::EndPreempted),
        2 => (any::<usize>(), any::<usize>()).prop_map(|(s, h)| Event::SetHealth(s, h)),
        1 => any::<usize>().prop_map(Event::Remove),
        1 => any_sheet().prop_map(Event::SetSheet),
        1 => Just(Event::Takeover),
        14 => decide,
    ]
}

fn any_sheet() -> impl Strategy<Value = Vec<(usize, u32, u32)>> {
    let size = prop_oneof![Just(1u32), Just(2), Just(3), Just(4), Just(8)];
    proptest::collection::vec((0usize..3, 1u32..3, size), 0..4)
}

fn cluster() -> Vec<policy::Server> {
    vec![
        support::server("a1", "rack-a", 4, 4),
        support::server("a2", "rack-a", 4, 3),
        support::server("b1", "rack-b", 4, 4),
        support::server("b2", "rack-b", 2, 2),
    ]
}

/// Applies a sequence of events. Returns the number of scheduling rounds, and the number of those
/// in which all guarantees were satisfied and therefore checked.
fn run_events(first_sheet: &[(usize, u32, u32)], events: &[Event]) -> (u32, u32) {
    let mut harness = PolicyHarness::new(Box::new(DefaultPolicy::new(Weights::default())));
    for server in cluster() {
        harness.set_server(server);
    }
    harness.set_sheet(to_sheet(first_sheet));
    for (number, event) in events.iter().enumerate() {
        apply(&mut harness, number, event);
    }
    harness.end_preempted();
    harness.decide(policy::StartScope::Any);
    (harness.rounds, harness.satisfied_rounds)
}

fn to_sheet(rows: &[(usize, u32, u32)]) -> camphorbeam_model::sheet::Sheet {
    let rows: Vec<(&str, u32, u32)> = rows
        .iter()
        .map(|(account, count, accelerators)| (ACCOUNTS[*account], *count, *accelerators))
        .collect();
    support::sheet(&rows)
}

fn pick<K: Clone, V>(map: &std::collections::BTreeMap<K, V>, number: usize) -> Option<K> {
    map.keys().nth(number % map.len().max(1)).cloned()
}

fn apply(harness: &mut PolicyHarness, number: usize, event: &Event) {
    match event {
        Event::Submit {
            account,
            accelerators,
            idempotent,
            checkpointable,
            is_urgent,
        } => {
            let mut job = support::job(number, ACCOUNTS[*account], *accelerators);
            job.idempotent = *idempotent;
            job.checkpointable = *checkpointable;
            if *is_urgent {
                job.kind = camphorbeam_model::id::KindName::new("quick-check").unwrap();
            }
            harness.submit(job);
        }
        Event::Withdraw(number) => {
            if let Some(request) = pick(&harness.waiting, *number) {
                harness.withdraw(&request);
            }
        }
        Event::End(number) => {
            if let Some(request) = pick(&harness.started, *number) {
                harness.end(&request);
            }
        }
        Event::EndPreempted => harness.end_preempted(),
        Event::SetHealth(server, health) => {
            let mut server = cluster()[server % cluster().len()].clone();
            server.health = HEALTHS[health % HEALTHS.len()];
            harness.set_server(server);
        }
        Event::Remove(server) => {
            let server = cluster()[server % cluster().len()].id.clone();
            harness.remove_server(&server);
        }
        Event::Takeover => harness.take_over(Box::new(DefaultPolicy::new(Weights::default()))),
        Event::SetSheet(rows) => harness.set_sheet(to_sheet(rows)),
        Event::Decide {
            after_ms,
            is_preemptible_only,
        } => {
            harness.now_ms += after_ms;
            let scope = match is_preemptible_only {
                true => policy::StartScope::PreemptibleOnly,
                false => policy::StartScope::Any,
            };
            harness.decide(scope);
        }
    }
}

#[test]
fn test_guarantees_can_be_reclaimed_after_every_decision() {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let event_sequences = (any_sheet(), proptest::collection::vec(any_event(), 1..60));
    let all_rounds = std::cell::Cell::new(0);
    let all_satisfied_rounds = std::cell::Cell::new(0);
    runner
        .run(&event_sequences, |(first_sheet, events)| {
            let (rounds, satisfied_rounds) = run_events(&first_sheet, &events);
            all_rounds.set(all_rounds.get() + rounds);
            all_satisfied_rounds.set(all_satisfied_rounds.get() + satisfied_rounds);
            Ok(())
        })
        .unwrap();
    let (rounds, satisfied_rounds) = (all_rounds.get(), all_satisfied_rounds.get());
    println!("{satisfied_rounds} of {rounds} rounds with all guarantees satisfied");
    // Guards against a vacuous test: guarantees are checked only in satisfied rounds.
    assert!(
        satisfied_rounds > rounds / 4,
        "{satisfied_rounds} of {rounds} rounds checked guarantees, which is too few"
    );
}
