//! Changes of the sheet: only one of two concurrent changes is accepted, each is in force on every
//! entry host in time, and no entry host goes back to an older version.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_std::task;
use camphorbeam_model::{id, verdict};
use camphorbeam_server::api;
use camphorbeam_testing::environment::{self, CallError, Environment, ZonePlan};
use camphorbeam_testing::proxy::Fault;
use http_types::Method;
use rstest::rstest;

/// Time within which an accepted sheet is in force on every entry host.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(4);

const TIMEOUT: Duration = Duration::from_secs(20);

fn three_zones() -> environment::Plan {
    let zone = |name| ZonePlan {
        name,
        entry_hosts: 2,
        backend_servers: 1,
    };
    environment::Plan::new(&[zone("tunis-lab"), zone("bizerte-lab"), zone("nabeul-lab")])
}

/// Returns the sheet of the tests with one more client account.
fn sheet_with(account: &str) -> String {
    format!("{}account,{account},,,,,,\n", environment::SHEET)
}

/// Replaces the sheet of version `expected` through the entry host at `index`.
async fn apply(
    environment: &Environment,
    index: usize,
    expected: u64,
    account: &str,
) -> Result<api::SheetResponse, CallError> {
    let path = format!("/v1/sheet/{expected}");
    let body = sheet_with(account).into_bytes();
    let response = environment
        .operator_call(index, Method::Put, &path, body)
        .await?;
    Ok(serde_json::from_slice(&response).expect("the response is JSON"))
}

async fn read_sheet(
    environment: &Environment,
    index: usize,
) -> Result<api::SheetResponse, CallError> {
    let response = environment
        .operator_call(index, Method::Get, "/v1/sheet", Vec::new())
        .await?;
    Ok(serde_json::from_slice(&response).expect("the response is JSON"))
}

/// The latest sheet version that each entry host has reported.
#[derive(Default)]
struct SeenVersions(BTreeMap<id::HostId, id::SheetVersion>);

impl SeenVersions {
    /// Records the version that an entry host reports. Panics if it is older than an earlier one.
    fn record(&mut self, health: &api::Health) {
        let seen = self.0.entry(health.host.clone()).or_default();
        let version = health.sheet_version;
        assert!(
            *seen <= version,
            "{} reverted from {seen} to {version}",
            health.host
        );
        *seen = version;
    }
}

/// Waits until the entry hosts at `indices` have `version` or a later one. Returns the time that it
/// took.
async fn await_version(
    environment: &Environment,
    indices: &[usize],
    version: id::SheetVersion,
    versions: &mut SeenVersions,
) -> Duration {
    let started = Instant::now();
    let is_in_force = environment::wait_until(IN_FORCE_LIMIT, async || {
        let mut is_everywhere = true;
        for index in indices {
            match environment.health(*index).await {
                Ok(health) => {
                    versions.record(&health);
                    is_everywhere &= health.sheet_version >= version;
                }
                Err(_) => is_everywhere = false,
            }
        }
        is_everywhere
    })
    .await;
    assert!(
        is_in_force,
        "sheet {version} is not in force within {IN_FORCE_LIMIT:?}"
    );
    started.elapsed()
}

/// Lets two operators replace the sheet of `version` concurrently. Returns the account that the
/// accepted sheet adds.
async fn race_operators(environment: &Environment, version: u64) -> &'static str {
    let (first, second) = futures::join!(
        apply(environment, 0, version, "first"),
        apply(environment, 3, version, "second"),
    );
    let (winner, loser) = match (first, second) {
        (Ok(_), Err(error)) => ("first", error),
        (Err(error), Ok(_)) => ("second", error),
        other => panic!("not exactly one change was accepted: {other:?}"),
    };
    match loser {
        CallError::Refused(refusal) => {
            assert_eq!(refusal.code, verdict::RefusalCode::Conflict, "{refusal}");
            assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
            let newest = format!("version {} is newest", version + 1);
            assert!(refusal.message.contains(&newest), "{refusal}");
        }
        other => panic!("the other change was not refused as a conflict: {other}"),
    }
    winner
}

#[rstest]
fn test_sheet_of_racing_operators_has_one_winner_and_one_conflict() {
    task::block_on(async {
        let environment = Environment::start(three_zones())
            .await
            .expect("the environment starts");
        let everywhere: Vec<usize> = (0..environment.hosts.len()).collect();
        for version in 1..=8 {
            // Boxed, since the futures of two concurrent calls are large for the stack of a test.
            let winner = Box::pin(race_operators(&environment, version)).await;
            let version = id::SheetVersion(version + 1);
            await_version(
                &environment,
                &everywhere,
                version,
                &mut SeenVersions::default(),
            )
            .await;
            for index in &everywhere {
                let sheet = read_sheet(&environment, *index)
                    .await
                    .expect("the entry host returns the sheet");
                assert_eq!(sheet.csv.as_ref(), sheet_with(winner));
            }
        }
    });
}

#[rstest]
#[case::all_links_up(false, Fault::None)]
#[case::no_link_between_hosts(true, Fault::None)]
#[case::slow_platform(true, Fault::Delay(Duration::from_millis(50)))]
fn test_sheet_is_in_force_everywhere_in_time(
    #[case] are_peers_cut: bool,
    #[case] platform_fault: Fault,
) {
    task::block_on(async {
        let environment = Environment::start(three_zones())
            .await
            .expect("the environment starts");
        for host in &environment.hosts {
            host.platform_link.set_fault(platform_fault);
            if are_peers_cut {
                host.peer_link.set_fault(Fault::Cut);
            }
        }
        let everywhere: Vec<usize> = (0..environment.hosts.len()).collect();
        let mut versions = SeenVersions::default();
        let mut slowest = Duration::ZERO;
        for version in 1..=5 {
            let index = usize::try_from(version).expect("the version fits into an index")
                % everywhere.len();
            let started = Instant::now();
            apply(&environment, index, version, "added")
                .await
                .expect("the sheet is accepted");
            let version = id::SheetVersion(version + 1);
            await_version(&environment, &everywhere, version, &mut versions).await;
            slowest = slowest.max(started.elapsed());
        }
        println!(
            "slowest of 5 sheets in force on 6 entry hosts after {} ms",
            slowest.as_millis()
        );
        assert!(slowest <= IN_FORCE_LIMIT);
    });
}

#[rstest]
fn test_sheet_survives_replacement_of_hosts_during_a_change() {
    task::block_on(async {
        let mut environment = Environment::start(three_zones())
            .await
            .expect("the environment starts");
        let everywhere: Vec<usize> = (0..environment.hosts.len()).collect();
        let mut versions = SeenVersions::default();
        for version in 1..=4_u64 {
            let replaced = usize::try_from(version).expect("the version fits into an index")
                % everywhere.len();
            let applying = (replaced + 1) % everywhere.len();
            apply(&environment, applying, version, "added")
                .await
                .expect("the sheet is accepted");
            environment
                .replace_host(replaced)
                .await
                .expect("the replacement starts");
            // The host that accepted the sheet is replaced too: it may be the only one that has it.
            environment
                .replace_host(applying)
                .await
                .expect("the replacement starts");

            let version = id::SheetVersion(version + 1);
            await_version(&environment, &everywhere, version, &mut versions).await;
        }
    });
}

#[rstest]
#[case::platform_only(false)]
#[case::platform_and_peers(true)]
fn test_sheet_of_a_disconnected_host_is_unconfirmed_and_never_reverts(#[case] are_peers_cut: bool) {
    const CUT_HOST: usize = 5;
    task::block_on(async {
        let environment = Environment::start(three_zones())
            .await
            .expect("the environment starts");
        let mut versions = SeenVersions::default();
        let everywhere: Vec<usize> = (0..environment.hosts.len()).collect();
        apply(&environment, 0, 1, "second")
            .await
            .expect("the sheet is accepted");
        await_version(
            &environment,
            &everywhere,
            id::SheetVersion(2),
            &mut versions,
        )
        .await;
        let host = &environment.hosts[CUT_HOST];
        host.platform_link.set_fault(Fault::Cut);
        if are_peers_cut {
            for host in &environment.hosts {
                host.peer_link.set_fault(Fault::Cut);
            }
        }

        apply(&environment, 0, 2, "third")
            .await
            .expect("the sheet is accepted");

        let started = Instant::now();
        let is_unconfirmed = environment::wait_until(IN_FORCE_LIMIT, async || {
            let health = environment
                .health(CUT_HOST)
                .await
                .expect("the entry host answers");
            versions.record(&health);
            !health.is_sheet_confirmed
        })
        .await;
        println!(
            "reported as unconfirmed after {} ms",
            started.elapsed().as_millis()
        );
        assert!(
            is_unconfirmed,
            "the entry host still reports its sheet as confirmed"
        );
        let refused = apply(&environment, CUT_HOST, 2, "fourth").await;
        assert!(
            refused.is_err(),
            "the entry host accepted a sheet without the platform"
        );
        let until = Instant::now() + Duration::from_secs(2);
        while Instant::now() < until {
            let health = environment
                .health(CUT_HOST)
                .await
                .expect("the entry host answers");
            versions.record(&health);
            assert!(!health.is_sheet_confirmed, "confirmed without the platform");
            task::sleep(Duration::from_millis(20)).await;
        }

        environment.clear_faults();
        await_version(
            &environment,
            &everywhere,
            id::SheetVersion(3),
            &mut versions,
        )
        .await;
        let is_confirmed = environment::wait_until(TIMEOUT, async || {
            environment
                .health(CUT_HOST)
                .await
                .is_ok_and(|health| health.is_sheet_confirmed)
        })
        .await;
        assert!(
            is_confirmed,
            "the entry host does not confirm its sheet again"
        );
    });
}

#[rstest]
fn test_sheet_forwarded_late_does_not_replace_a_newer_one() {
    const SLOW_HOST: usize = 5;
    task::block_on(async {
        let environment = Environment::start(three_zones())
            .await
            .expect("the environment starts");
        let everywhere: Vec<usize> = (0..environment.hosts.len()).collect();
        let mut versions = SeenVersions::default();
        // Longer than the entry host takes to read a newer version from the platform.
        let delay = Duration::from_secs(3);
        environment.hosts[SLOW_HOST]
            .peer_link
            .set_fault(Fault::Delay(delay));

        apply(&environment, 0, 1, "second")
            .await
            .expect("the sheet is accepted");
        apply(&environment, 0, 2, "third")
            .await
            .expect("the sheet is accepted");
        await_version(
            &environment,
            &everywhere,
            id::SheetVersion(3),
            &mut versions,
        )
        .await;

        // Both delayed sheets arrive within this time.
        let until = Instant::now() + 2 * delay;
        while Instant::now() < until {
            versions.record(
                &environment
                    .health(SLOW_HOST)
                    .await
                    .expect("the entry host answers"),
            );
            task::sleep(Duration::from_millis(5)).await;
        }
    });
}
