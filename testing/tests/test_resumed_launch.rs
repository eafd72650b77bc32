//! The scheduler is killed between the start orders of a gang, and its successor completes the
//! launch.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_testing::environment::{self, Environment, Plan};
use camphorbeam_testing::journal::Event;
use camphorbeam_testing::proxy::{Delivery, MessageRule, When};
use rstest::rstest;

const ZONE: &str = "tunis-lab";

/// Longer than a takeover, so that no member ends before the new scheduler has found it.
const RUN_TIME_MS: u64 = 3_000;

const TIMEOUT: Duration = Duration::from_secs(20);

#[rstest]
fn test_resumed_launch_of_non_idempotent_gang_completes_and_runs_once() {
    task::block_on(async {
        let environment = Environment::start(Plan::one_zone(2, 2))
            .await
            .expect("the environment starts");
        let spec = environment::request("gang", 4, false, RUN_TIME_MS);
        let scheduler = environment
            .scheduler(ZONE)
            .await
            .expect("the zone has a scheduler");
        let process = environment.hosts[scheduler].process.handle();
        let is_killed = Arc::new(AtomicBool::new(false));
        let killed = Arc::clone(&is_killed);
        let second_member = format!("{}/1/1", spec.id());
        environment.rules.add(MessageRule {
            contains: vec!["/v1/start".to_owned(), second_member],
            lacks: Vec::new(),
            skip_count: 0,
            when: When::Request,
            action: Box::new(move || {
                process.kill();
                killed.store(true, Ordering::Release);
                Delivery::Lose
            }),
        });

        let other = 1 - scheduler;
        let submitted = environment
            .submit(other, &spec)
            .await
            .expect("the request is accepted");
        let has_killed_scheduler =
            environment::wait_until(TIMEOUT, async || is_killed.load(Ordering::Acquire));
        assert!(
            has_killed_scheduler.await,
            "the second start order was not sent"
        );

        let explanation = environment.await_end(&submitted.id, TIMEOUT).await;
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{explanation:?}");
        let journal = environment.journal();
        let count = |event| journal.iter().filter(|line| line.event == event).count();
        assert_eq!(count(Event::Started), 2, "{journal:?}");
        assert_eq!(count(Event::Finished), 2, "{journal:?}");
    });
}
