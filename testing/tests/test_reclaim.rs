//! A client account gets its guaranteed accelerators in time, by preemption, while another account
//! borrows every accelerator.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::request;
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::{checks, journal};
use rstest::rstest;

/// Longest time from submission to start for urgent work within a guarantee.
const URGENT_START_LIMIT_MS: u64 = 5_300;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Row of the sheet that guarantees two shapes of two adjacent accelerators each to the account
/// that reclaims them.
const GUARANTEE_ROW: &str = "guarantee,steg-inspectors,tunis-lab,2,2,,,\n";

/// Returns a long request of the other account that may be preempted.
fn borrower(number: usize) -> request::RequestSpec {
    request::RequestSpec {
        client_account: environment::OTHER_ACCOUNT
            .parse()
            .expect("the name is valid"),
        kind: "curve-fit".parse().expect("the name is valid"),
        checkpointable: number.is_multiple_of(2),
        ..environment::request(&format!("borrower-{number}"), 1, true, 60_000)
    }
}

#[rstest]
fn test_reclaim_of_a_guaranteed_shape_while_borrowers_hold_everything() {
    const ACCELERATORS: usize = 8;
    task::block_on(async {
        let mut plan = environment::Plan::one_zone(2, 4);
        plan.sheet.push_str(GUARANTEE_ROW);
        let environment = Environment::start(plan)
            .await
            .expect("the environment starts");
        for number in 0..2 * ACCELERATORS {
            environment
                .submit(0, &borrower(number))
                .await
                .expect("the request is accepted");
        }
        let started = || checks::lines_of(&environment.journal(), journal::Event::Started).len();
        let is_zone_full =
            environment::wait_until(TIMEOUT, async || started() == ACCELERATORS).await;
        assert!(is_zone_full, "borrowers hold {} accelerators", started());

        for number in 0..2 {
            let spec = environment::request(&format!("urgent-{number}"), 2, false, 2_000);
            let submitted_at_ms = checks::now_unix_ms();
            environment
                .submit(1, &spec)
                .await
                .expect("the request is accepted");
            let is_start = |line: &journal::Line| {
                let task = line.task.as_ref();
                line.event == journal::Event::Started
                    && task.is_some_and(|task| task.request == spec.id())
            };
            let first = || {
                environment
                    .journal()
                    .into_iter()
                    .find(|line| is_start(line))
            };
            environment::wait_until(TIMEOUT, async || first().is_some()).await;
            let at_ms = first().expect("the urgent request has started").at_unix_ms;
            let start_delay_ms = at_ms.saturating_sub(submitted_at_ms);
            println!("urgent request started {start_delay_ms} ms after its submission");
            assert!(
                start_delay_ms <= URGENT_START_LIMIT_MS,
                "{start_delay_ms} ms"
            );
        }
        assert!(checks::repeated_requests(&environment.journal()).is_empty());
    });
}

/// Exceeds the number of attempts that a request may lose with their servers, so that the borrower
/// would fail if preemptions counted as lost attempts.
const PREEMPTION_COUNT: usize = 10;

#[rstest]
fn test_reclaim_repeatedly_uses_up_no_attempts_of_the_borrower() {
    task::block_on(async {
        let mut plan = environment::Plan::one_zone(2, 1);
        plan.sheet
            .push_str("guarantee,steg-inspectors,tunis-lab,1,2,,,\n");
        let environment = Environment::start(plan)
            .await
            .expect("the environment starts");
        let borrower = request::RequestSpec {
            client_account: environment::OTHER_ACCOUNT
                .parse()
                .expect("the name is valid"),
            kind: "curve-fit".parse().expect("the name is valid"),
            ..environment::request("borrower", 2, true, 3_000)
        };
        environment
            .submit(0, &borrower)
            .await
            .expect("the request is accepted");
        let starts = || checks::started_attempts(&environment.journal(), &borrower.id()).len();
        for number in 0..PREEMPTION_COUNT {
            let is_running = environment::wait_until(TIMEOUT, async || starts() > number).await;
            assert!(is_running, "attempt {} did not start", number + 1);
            let urgent = environment::request(&format!("urgent-{number}"), 2, false, 50);
            environment
                .submit(0, &urgent)
                .await
                .expect("the request is accepted");
            let explanation = environment.await_end(&urgent.id(), TIMEOUT).await;
            let explanation = explanation.expect("the request is known");
            assert_eq!(explanation.state, "finished", "{explanation:?}");
        }

        let explanation = environment.await_end(&borrower.id(), TIMEOUT).await;
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{explanation:?}");
    });
}
