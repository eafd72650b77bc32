//! A graceful shutdown under load interrupts no call and no running request, and hands the
//! scheduler role over.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_http::{client, meter};
use camphorbeam_model::{request, verdict};
use camphorbeam_server::auth;
use camphorbeam_testing::environment::{self, Environment};
use camphorbeam_testing::{checks, journal};
use http_types::Method;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Longest wait for the process of the entry host to end.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(12);

/// Longest time from the signal to the first reservation by the successor.
const HANDOVER_LIMIT_MS: u64 = 3_000;

/// Number of callers that submit concurrently.
const CALLER_COUNT: usize = 6;

/// Time for which the callers submit before the signal. After it they submit for at least as long.
const LOAD_TIME: Duration = Duration::from_millis(1_500);

/// Returns the address of an entry host itself, not of its proxy. A proxy that can't connect to the
/// host closes the connection, which the caller can't tell from an interrupted call.
fn direct_address(host: &environment::EntryHost) -> SocketAddr {
    let printed = host.process.printed();
    let address = printed.lines().find_map(|line| {
        let (_, rest) = line.split_once("serves callers on ")?;
        rest.split_once(" and ")?.0.parse().ok()
    });
    address.expect("the entry host logs its address")
}

/// The outcome of one submission.
enum SubmitOutcome {
    Accepted,
    Leaving,
    NotConnected,
}

/// Submits on a new connection each time, so that no connection is reused while the host closes it.
async fn submit(address: SocketAddr, token: &str, spec: &request::RequestSpec) -> SubmitOutcome {
    let meter = Arc::new(meter::Meter::default());
    let client = client::HttpClient::new(clock::Clock::system(), meter);
    let call = client::Call {
        address,
        method: Method::Post,
        path: "/v1/requests",
        body: serde_json::to_vec(spec).expect("a request can be serialized"),
        headers: vec![("authorization", format!("Bearer {token}"))],
        timeout: TIMEOUT,
    };
    match client.send(call).await {
        Ok(response) if response.status.is_success() => SubmitOutcome::Accepted,
        Ok(response) => {
            let refusal: verdict::Refusal =
                serde_json::from_slice(&response.body).expect("the refusal is JSON");
            assert_eq!(refusal.verdict, verdict::Verdict::NotRun, "{refusal}");
            assert!(refusal.message.contains("leaving"), "{refusal}");
            SubmitOutcome::Leaving
        }
        Err(client::ExchangeError::NotSent { .. }) => SubmitOutcome::NotConnected,
        Err(error) => panic!("a call was interrupted: {error}"),
    }
}

/// Submits requests until `is_over` is set, and returns the accepted ones. Switches to the next
/// entry host when one is leaving or can't be reached.
async fn submit_until_over(
    caller: usize,
    addresses: Vec<SocketAddr>,
    token: String,
    is_over: Arc<AtomicBool>,
    refused_count: Arc<AtomicUsize>,
) -> Vec<request::RequestSpec> {
    let mut accepted = Vec::new();
    let mut host = caller;
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let key = format!("load-{caller}-{number}");
        // Only idempotent or checkpointable requests may be preempted, so no stop of these is
        // allowed.
        let spec = environment::request(&key, 1 + number % 2, false, 200);
        match submit(addresses[host % addresses.len()], &token, &spec).await {
            SubmitOutcome::Accepted => accepted.push(spec),
            SubmitOutcome::Leaving | SubmitOutcome::NotConnected => {
                refused_count.fetch_add(1, Ordering::SeqCst);
                host += 1;
            }
        }
        task::sleep(Duration::from_millis(100)).await;
    }
    accepted
}

fn caller_token() -> String {
    let account = environment::ACCOUNT.parse().expect("the name is valid");
    let identity = auth::Identity::Caller(account);
    environment::keyring().token(&identity).to_string()
}

#[rstest]
#[case::of_the_scheduler(true)]
#[case::of_another_host(false)]
fn test_shutdown_under_load_interrupts_nothing(#[case] is_scheduler: bool) {
    task::block_on(async {
        let mut environment = Environment::start(environment::Plan::one_zone(3, 4))
            .await
            .expect("the environment starts");
        let long = environment::request("long", 2, false, 3_000);
        environment
            .submit(0, &long)
            .await
            .expect("the request is accepted");
        let scheduler = environment
            .scheduler("tunis-lab")
            .await
            .expect("the zone has a scheduler");
        let leaving = match is_scheduler {
            true => scheduler,
            false => (scheduler + 1) % environment.hosts.len(),
        };
        let addresses: Vec<SocketAddr> = environment.hosts.iter().map(direct_address).collect();
        let is_over = Arc::new(AtomicBool::new(false));
        let refused_count = Arc::new(AtomicUsize::new(0));
        let callers: Vec<_> = (0..CALLER_COUNT)
            .map(|caller| {
                let (is_over, refused) = (Arc::clone(&is_over), Arc::clone(&refused_count));
                task::spawn(submit_until_over(
                    caller,
                    addresses.clone(),
                    caller_token(),
                    is_over,
                    refused,
                ))
            })
            .collect();
        task::sleep(LOAD_TIME).await;

        let epoch = environment.journal().iter().map(|line| line.epoch).max();
        let signalled_at_ms = checks::now_unix_ms();
        let signalled_at = Instant::now();
        environment.hosts[leaving].process.handle().terminate();
        task::sleep(LOAD_TIME).await;
        let process = &mut environment.hosts[leaving].process;
        let has_ended =
            environment::wait_until(SHUTDOWN_LIMIT, async || !process.is_running()).await;
        assert!(has_ended, "the entry host is still running");
        println!(
            "the entry host ended at most {} ms after the signal",
            signalled_at.elapsed().as_millis()
        );
        is_over.store(true, Ordering::SeqCst);
        let mut accepted = vec![long];
        for caller in callers {
            accepted.extend(caller.await);
        }

        println!(
            "{} requests accepted, {} calls refused or not connected",
            accepted.len(),
            refused_count.load(Ordering::SeqCst)
        );
        let remaining = (leaving + 1) % environment.hosts.len();
        for spec in &accepted {
            let is_ended = environment::wait_until(TIMEOUT, async || {
                let explanation = environment.explain(remaining, &spec.id()).await;
                explanation.is_ok_and(|explanation| explanation.state == "finished")
            })
            .await;
            let explanation = environment.explain(remaining, &spec.id()).await;
            assert!(is_ended, "{explanation:?}");
        }
        let lines = environment.journal();
        let stopped = checks::lines_of(&lines, journal::Event::Stopped).len();
        let lapsed = checks::lines_of(&lines, journal::Event::Lapsed).len();
        assert_eq!(
            (stopped, lapsed),
            (0, 0),
            "a running request was stopped or lapsed"
        );
        assert!(checks::repeated_requests(&lines).is_empty());
        if is_scheduler {
            let reserved = checks::lines_of(&lines, journal::Event::Reserved);
            let first = reserved.into_iter().find(|line| Some(line.epoch) > epoch);
            let first_at_ms = first.expect("the successor reserves a server").at_unix_ms;
            let after_ms = first_at_ms.saturating_sub(signalled_at_ms);
            println!("first reservation by the successor {after_ms} ms after the signal");
            assert!(after_ms <= HANDOVER_LIMIT_MS, "{after_ms} ms");
        }
    });
}
