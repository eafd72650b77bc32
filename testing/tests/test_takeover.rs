//! After the scheduler of a zone is killed, its successor starts urgent work in time.

use std::time::Duration;

use async_std::task;
use camphorbeam_testing::environment::{self, Environment, Plan};
use camphorbeam_testing::{checks, journal};
use rstest::rstest;

const ZONE: &str = "tunis-lab";

const TIMEOUT: Duration = Duration::from_secs(20);

/// Longest time from submission to start for urgent work. It also holds during a takeover.
const URGENT_START_LIMIT_MS: u64 = 5_300;

/// Number of schedulers that the test kills, one after the other.
const KILL_COUNT: usize = 5;

/// The default scheduler lease of entry hosts, in place of the shorter one of other tests.
const SCHEDULER_LEASE_MS: u64 = 2_000;

#[rstest]
fn test_takeover_places_urgent_work_within_its_limit() {
    task::block_on(async {
        let mut plan = Plan::one_zone(3, 2);
        plan.flags
            .insert("scheduler-lease-ms", SCHEDULER_LEASE_MS.to_string());
        let mut environment = Environment::start(plan)
            .await
            .expect("the environment starts");
        let mut start_delays_ms: Vec<u64> = Vec::new();
        for number in 0..KILL_COUNT {
            let scheduler = environment
                .scheduler(ZONE)
                .await
                .expect("the zone has a scheduler");
            let killed_at_ms = checks::now_unix_ms();
            environment.hosts[scheduler].process.handle().kill();
            let other = (scheduler + 1) % environment.hosts.len();
            let spec = environment::request(&format!("urgent-{number}"), 1, false, 100);
            environment
                .submit(other, &spec)
                .await
                .expect("the request is accepted");

            let explanation = environment.await_end(&spec.id(), TIMEOUT).await;
            let explanation = explanation.expect("the request is known");
            assert_eq!(explanation.state, "finished", "{explanation:?}");
            let lines = environment.journal();
            let started = checks::lines_of(&lines, journal::Event::Started);
            let is_of_request = |line: &&journal::Line| {
                line.task
                    .as_ref()
                    .is_some_and(|task| task.request == spec.id())
            };
            let start = started
                .into_iter()
                .find(is_of_request)
                .expect("the request has started");
            start_delays_ms.push(start.at_unix_ms.saturating_sub(killed_at_ms));
            environment
                .repair()
                .await
                .expect("the environment can be repaired");
        }
        start_delays_ms.sort_unstable();
        println!("time from the kill to the start of the request: {start_delays_ms:?} ms");
        let worst_ms = start_delays_ms.last().copied().unwrap_or(u64::MAX);
        assert!(worst_ms <= URGENT_START_LIMIT_MS, "{start_delays_ms:?}");
    });
}
