//! An availability zone loses its only scheduler: a request that waits there runs in another zone,
//! and does not run again when the scheduler comes back.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::request;
use camphorbeam_testing::environment::{self, Environment, Plan, ZonePlan};
use camphorbeam_testing::journal::Event;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(40);

/// Run time of the request that blocks the zone, long enough that the other request still waits
/// when the scheduler is frozen.
const BLOCKER_RUN_TIME_MS: u64 = 4_000;

fn zone(name: &'static str) -> ZonePlan {
    ZonePlan {
        name,
        entry_hosts: 1,
        backend_servers: 1,
    }
}

/// Returns the server of each start of a task of `spec`.
fn starts(environment: &Environment, spec: &request::RequestSpec) -> Vec<String> {
    let journal = environment.journal();
    let request_starts = journal.iter().filter(|line| {
        let task = line.task.as_ref();
        line.event == Event::Started && task.is_some_and(|task| task.request == spec.id())
    });
    request_starts.map(|line| line.server.to_string()).collect()
}

#[rstest]
fn test_abandoned_zone_waiting_request_runs_elsewhere_and_once() {
    task::block_on(async {
        let plan = Plan::new(&[zone("tunis-lab"), zone("bizerte-lab")]);
        let mut environment = Environment::start(plan)
            .await
            .expect("the environment starts");
        let blocker = environment::request("blocker", 2, true, BLOCKER_RUN_TIME_MS);
        let waiting = environment::request("waiting", 1, false, 100);
        for spec in [&blocker, &waiting] {
            environment
                .submit(0, spec)
                .await
                .expect("the request is accepted");
        }
        let is_blocker_started =
            environment::wait_until(TIMEOUT, async || !starts(&environment, &blocker).is_empty());
        assert!(is_blocker_started.await);

        environment.hosts[0].process.handle().pause();
        let is_started =
            environment::wait_until(TIMEOUT, async || !starts(&environment, &waiting).is_empty());
        assert!(is_started.await, "the waiting request was not taken over");
        environment.hosts[0].process.handle().resume();

        let explanation = environment.await_end(&waiting.id(), TIMEOUT).await;
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{explanation:?}");
        assert_eq!(explanation.zone.as_str(), "bizerte-lab");
        let explanation = environment.await_end(&blocker.id(), TIMEOUT).await;
        let process = &mut environment.hosts[0].process;
        assert!(process.is_running(), "{}", process.printed());
        let explanation = explanation.expect("the request is known");
        assert_eq!(explanation.state, "finished", "{explanation:?}");
        assert_eq!(starts(&environment, &waiting), ["bizerte-lab-s0"]);
    });
}
