//! Every caller gets the complete answer to their own request, also if answers arrive late or out
//! of order.

use std::time::Duration;

use async_std::task;
use camphorbeam_model::{id, record, request};
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::proxy::{self, Fault, When};
use camphorbeam_testing::{checks, journal};
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Accelerators of each backend server.
const ACCELERATORS: u32 = 2;

/// Bytes of the answer of each member.
const ANSWER_BYTES: usize = 300_000;

/// Returns a request of which each member answers with `answer_bytes` bytes.
fn spec_with_answer(
    key: &str,
    accelerators: u32,
    idempotent: bool,
    run_time_ms: u64,
    answer_bytes: usize,
) -> request::RequestSpec {
    let payload = serde_json::json!({
        "key": key,
        "run_time_ms": run_time_ms,
        "answer_bytes": answer_bytes,
    });
    request::RequestSpec {
        payload: payload.to_string(),
        ..environment::request(key, accelerators, idempotent, run_time_ms)
    }
}

/// Waits until the request has finished, and checks that every entry host returns its complete
/// answer. Returns the attempt that finished.
async fn assert_complete_answer(
    environment: &Environment,
    spec: &request::RequestSpec,
) -> id::Attempt {
    let explanation = environment.await_end(&spec.id(), TIMEOUT).await;
    let explanation = explanation.expect("the request is known");
    assert_eq!(explanation.state, "finished", "{explanation:?}");
    let is_finish = |entry: &&record::HistoryEntry| entry.event == record::HistoryEvent::Finished;
    let attempt = explanation
        .steps
        .iter()
        .find(is_finish)
        .expect("the history has a finished entry")
        .attempt;
    let members = spec.accelerators.div_ceil(ACCELERATORS);
    let expected = checks::expected_answer(spec, attempt, members);
    for index in 0..environment.hosts.len() {
        let answer = environment
            .answer(index, &spec.id())
            .await
            .expect("the entry host returns the answer");
        assert!(
            answer == expected,
            "entry host {index} returned a wrong answer: {} bytes, expected {}",
            answer.len(),
            expected.len()
        );
    }
    attempt
}

#[rstest]
fn test_answer_of_a_gang_is_complete_though_a_part_arrives_late() {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(2, 2))
            .await
            .expect("the environment starts");
        let spec = spec_with_answer("late", 4, false, 100, ANSWER_BYTES);
        let link = environment.servers[1].link.clone();
        let cut = link.clone();
        environment.rules.add(proxy::MessageRule {
            contains: vec!["GET /v1/answer/".to_owned(), "/1/1 ".to_owned()],
            lacks: Vec::new(),
            skip_count: 0,
            when: When::Request,
            action: Box::new(move || {
                cut.set_fault(Fault::Cut);
                proxy::Delivery::Forward
            }),
        });

        environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");
        let is_requested =
            environment::wait_until(TIMEOUT, async || link.fault() == Fault::Cut).await;
        assert!(is_requested, "the answer was not requested");
        // Longer than every task lease: the scheduler must still read the answer of the finished
        // member and not run the request again.
        task::sleep(Duration::from_millis(environment::TASK_LEASE_MS + 1_500)).await;
        environment.clear_faults();

        assert_eq!(
            assert_complete_answer(&environment, &spec).await,
            id::Attempt(1)
        );
        let lines = environment.journal();
        assert!(checks::repeated_requests(&lines).is_empty());
    });
}

#[rstest]
#[case::of_one_server(2, 2)]
#[case::of_a_gang_that_reuses_a_server(4, 3)]
fn test_answer_that_arrives_late_from_an_earlier_attempt_is_ignored(
    #[case] accelerators: u32,
    #[case] servers: usize,
) {
    task::block_on(async {
        let environment = Environment::start(environment::Plan::one_zone(2, servers))
            .await
            .expect("the environment starts");
        let spec = spec_with_answer("crossed", accelerators, true, 1_500, ANSWER_BYTES);
        environment
            .submit(0, &spec)
            .await
            .expect("the request is accepted");
        let started = async || checks::started_attempts(&environment.journal(), &spec.id()).len();
        let has_started = environment::wait_until(TIMEOUT, async || started().await > 0).await;
        assert!(has_started, "the request did not start");
        let first = environment
            .journal()
            .into_iter()
            .find(|line| line.event == journal::Event::Started && line.task.is_some());
        let first = first.expect("a task has started").server;
        let index = environment
            .servers
            .iter()
            .position(|server| server.info.id == first);
        let index = index.expect("the server belongs to the environment");

        // The first attempt finishes while its server is unreachable. Its answer becomes available
        // while the second attempt runs.
        environment.servers[index].link.set_fault(Fault::Cut);
        let is_retried = environment::wait_until(TIMEOUT, async || started().await > 1).await;
        assert!(is_retried, "there was no second attempt");
        environment.clear_faults();

        assert_eq!(
            assert_complete_answer(&environment, &spec).await,
            id::Attempt(2)
        );
        let lines = environment.journal();
        let is_late = |line: &&journal::Line| {
            let task = line.task.as_ref();
            let is_first = task.is_some_and(|task| task.attempt == id::Attempt(1));
            line.event == journal::Event::Finished && is_first && line.server == first
        };
        assert!(
            lines.iter().any(|line| is_late(&line)),
            "the first attempt did not finish on the unreachable server"
        );
    });
}

#[rstest]
fn test_answer_of_each_concurrent_request_is_its_own() {
    const SEED: u64 = 4;
    const REQUESTS: usize = 40;
    println!("seed {SEED}");
    task::block_on(async {
        let mut plan = environment::Plan::one_zone(2, 4);
        plan.flags.insert("order-timeout-ms", "1000".to_owned());
        let environment = Environment::start(plan)
            .await
            .expect("the environment starts");
        let mut random = ChaCha8Rng::seed_from_u64(SEED);
        for server in &environment.servers {
            let delay = Duration::from_millis(random.random_range(5..60));
            server.link.set_fault(Fault::Delay(delay));
        }
        let specs: Vec<_> = (0..REQUESTS)
            .map(|number| {
                let accelerators = random.random_range(1..=4);
                let run_time_ms = random.random_range(1..200);
                let answer_bytes = random.random_range(0..50_000);
                let key = format!("own-{number}");
                spec_with_answer(
                    &key,
                    accelerators,
                    number % 2 == 0,
                    run_time_ms,
                    answer_bytes,
                )
            })
            .collect();

        let submits = specs.iter().enumerate();
        let submits = submits.map(|(number, spec)| environment.submit(number % 2, spec));
        for submitted in futures::future::join_all(submits).await {
            submitted.expect("the request is accepted");
        }
        for spec in &specs {
            assert_complete_answer(&environment, spec).await;
        }
        let repeated = checks::repeated_requests(&environment.journal());
        assert!(repeated.is_empty(), "run twice: {repeated:?}");
    });
}
