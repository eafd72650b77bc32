//! Submitting one key in two availability zones at the same time creates one request.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{id, verdict};
use camphorbeam_testing::checks;
use camphorbeam_testing::environment::{self, CallError, Environment, ZonePlan};
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Index of the entry host in the second availability zone.
const OTHER_ZONE_HOST: usize = 1;

fn two_zones() -> environment::Plan {
    let zone = |name| ZonePlan {
        name,
        entry_hosts: 1,
        backend_servers: 1,
    };
    environment::Plan::new(&[zone("tunis-lab"), zone("bizerte-lab")])
}

/// Submits one key in both zones concurrently. Returns the id of the request that this creates.
async fn submit_in_both_zones(environment: &Environment, number: u32) -> id::RequestId {
    let spec = environment::request(&format!("twice-{number}"), 1, false, 50);
    let (first, second) = futures::join!(
        environment.submit(0, &spec),
        environment.submit(OTHER_ZONE_HOST, &spec)
    );
    let (first, second) = (
        first.expect("the request is accepted"),
        second.expect("the request is accepted"),
    );
    assert_eq!((&first.id, &first.zone), (&second.id, &second.zone));
    assert!(
        first.is_new != second.is_new,
        "not exactly one call created the request"
    );
    first.id
}

#[rstest]
fn test_duplicates_in_two_zones_at_once_create_one_request() {
    task::block_on(async {
        let environment = Environment::start(two_zones())
            .await
            .expect("the environment starts");
        let mut requests = Vec::new();
        for number in 0..20 {
            requests.push(Box::pin(submit_in_both_zones(&environment, number)).await);
        }
        for request in &requests {
            let explanation = environment.await_end(request, TIMEOUT).await;
            assert_eq!(explanation.expect("the request is known").state, "finished");
        }

        let lines = environment.journal();
        assert!(checks::repeated_requests(&lines).is_empty());
        for request in &requests {
            assert_eq!(checks::started_attempts(&lines, request).len(), 1);
        }
    });
}

#[rstest]
fn test_duplicates_with_a_different_body_are_refused() {
    task::block_on(async {
        let environment = Environment::start(two_zones())
            .await
            .expect("the environment starts");
        let spec = environment::request("same", 1, false, 50);
        let other = environment::request("same", 2, false, 50);
        environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");

        match environment.submit(OTHER_ZONE_HOST, &other).await {
            Err(CallError::Refused(refusal)) => {
                assert_eq!(refusal.code, verdict::RefusalCode::Conflict, "{refusal}");
            }
            answer => panic!("accepted as the same request: {answer:?}"),
        }
    });
}
