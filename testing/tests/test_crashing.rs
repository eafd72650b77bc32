//! Requests that crash the backend servers that run them.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::request;
use camphorbeam_testing::checks;
use camphorbeam_testing::environment::{self, Environment};

const TIMEOUT: Duration = Duration::from_secs(20);

/// Crashes after which a request may not be started again.
const CRASHES_MAX: usize = 3;

// Guards against a request that takes down one backend server after the other.
#[test]
fn test_crashing_request_is_given_up_after_three_servers() {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(1, 6))
            .await
            .expect("the environment starts");
        let payload = serde_json::json!({ "run_time_ms": 30, "crashes_server": true });
        let deadly = request::RequestSpec {
            payload: payload.to_string(),
            ..environment::request("deadly", 1, true, 30)
        };
        environment
            .submit(0, &deadly)
            .await
            .expect("the request is accepted");
        let explanation = environment.await_end(&deadly.id(), TIMEOUT).await;
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "unknown", "{}", explanation.summary);
        let detail = &explanation.steps.last().expect("a step").detail;
        assert!(detail.contains("have crashed in 3 attempts"), "{detail}");
        let attempts = checks::started_attempts(&environment.journal(), &deadly.id());
        assert!(attempts.len() <= CRASHES_MAX, "{} attempts", attempts.len());

        let sound = environment::request("sound", 1, true, 50);
        environment
            .submit(0, &sound)
            .await
            .expect("the request is accepted");
        let explanation = environment.await_end(&sound.id(), TIMEOUT).await;
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{}", explanation.summary);
    });
}
