//! Many concurrent cancellations: the verdict on each request is true, and no accelerator stays
//! allocated.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{record, verdict};
use camphorbeam_testing::checks;
use camphorbeam_testing::environment::{self, Environment};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);

const REQUEST_COUNT: usize = 40;

#[rstest]
fn test_cancellation_of_many_requests_reports_true_verdicts_and_frees_accelerators() {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(2, 2))
            .await
            .expect("the environment starts");
        let specs: Vec<_> = (0..REQUEST_COUNT)
            .map(|number| environment::request(&format!("w-{number}"), 1, number % 2 == 0, 400))
            .collect();
        let submits = specs.iter().enumerate();
        let submits = submits.map(|(number, spec)| environment.submit(number % 2, spec));
        for submitted in futures::future::join_all(submits).await {
            submitted.expect("the request is accepted");
        }

        // Each request is cancelled through both entry hosts concurrently.
        let ids: Vec<_> = specs.iter().map(|spec| spec.id()).collect();
        let cancels = ids
            .iter()
            .flat_map(|id| [environment.cancel(0, id), environment.cancel(1, id)]);
        futures::future::join_all(cancels).await;

        for request in &ids {
            let explanation = environment.await_end(request, TIMEOUT).await;
            let explanation = explanation.expect("the request is known");
            let attempts = checks::started_attempts(&environment.journal(), request);
            match explanation.standing {
                record::Standing::Ended(verdict::Verdict::NotRun) => {
                    assert!(attempts.is_empty(), "ran: {explanation:?}");
                }
                record::Standing::Ended(verdict::Verdict::Ran) => {
                    assert!(!attempts.is_empty(), "did not run: {explanation:?}");
                }
                record::Standing::Ended(verdict::Verdict::MayHaveRun) => {}
                record::Standing::Pending => panic!("still pending: {explanation:?}"),
            }
        }
        let full_zone = environment::request("whole-zone", 4, false, 10);
        environment
            .submit(0, &full_zone)
            .await
            .expect("the request is accepted");
        let explanation = environment.await_end(&full_zone.id(), TIMEOUT).await;
        assert_eq!(explanation.expect("the request is known").state, "finished");
        assert!(checks::repeated_requests(&environment.journal()).is_empty());
    });
}
