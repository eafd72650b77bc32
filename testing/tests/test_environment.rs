//! The test environment: requests pass through the proxies of its links, and faults and message
//! rules have the effect that they describe.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::record;
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::proxy::{Delivery, Fault, MessageRule, When};
use rstest::rstest;

#[rstest]
fn test_environment_runs_a_request_through_its_links() {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(2, 2))
            .await
            .expect("the environment starts");
        let spec = environment::request("first", 4, false, 100);
        environment.rules.watch(spec.id().as_str());

        let submitted = environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");
        let limit = Duration::from_secs(10);
        let explanation = environment.await_end(&submitted.id, limit).await;

        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{explanation:?}");
        let seen = environment.rules.watched_messages();
        for (link, path) in [
            ("platform", "/table/commit"),
            ("servers>tunis-lab-s0", "/v1/reserve"),
            ("servers>tunis-lab-s1", "/v1/start"),
            ("platform", "/objects/"),
            ("callers>", "/v1/requests/"),
        ] {
            let is_seen = |seen: &camphorbeam_testing::proxy::WatchedMessage| {
                seen.link.contains(link) && seen.line.contains(path)
            };
            assert!(seen.iter().any(is_seen), "{link} {path} not in {seen:?}");
        }
    });
}

#[rstest]
#[case(Fault::Cut)]
#[case(Fault::Freeze)]
#[case(Fault::DropAnswers)]
fn test_environment_link_under_fault_gives_no_answer_until_it_heals(#[case] fault: Fault) {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(1, 1))
            .await
            .expect("the environment starts");
        environment.health(0).await.expect("the entry host answers");

        environment.hosts[0].caller_link.set_fault(fault);
        assert!(environment.health(0).await.is_err());

        environment.clear_faults();
        environment
            .health(0)
            .await
            .expect("the entry host answers again");
    });
}

#[rstest]
fn test_environment_rule_acts_once_on_the_answer_of_the_chosen_message() {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(1, 1))
            .await
            .expect("the environment starts");
        let spec = environment::request("lost-answer", 1, true, 50);
        environment.rules.add(MessageRule {
            contains: vec!["POST /v1/requests".to_owned()],
            lacks: Vec::new(),
            skip_count: 0,
            when: When::Answer,
            action: Box::new(|| Delivery::Lose),
        });

        assert!(environment.submit(0, &spec).await.is_err());
        let again = environment
            .submit(0, &spec)
            .await
            .expect("the request is known");

        assert!(!again.is_new, "the first submission was not accepted");
        assert_eq!(environment.rules.clear(), 0);
        let explanation = environment.explain(0, &spec.id()).await;
        let steps = explanation.expect("the request is known").steps;
        assert_eq!(
            steps.first().map(|entry| entry.event),
            Some(record::HistoryEvent::Accepted)
        );
    });
}
