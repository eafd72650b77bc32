//! The demo of the README runs to its end, whichever entry host becomes ready last.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use camphorbeam_testing::demo;
use rstest::rstest;

/// Timeout of one run of the demo.
const RUN_LIMIT: Duration = Duration::from_secs(60);

#[rstest]
fn test_demo_explains_a_request_and_ends(#[values(1, 2, 3, 4)] _run: u32) {
    let lines = Arc::new(Mutex::new(Vec::new()));
    let printed = Arc::clone(&lines);
    let print = Arc::new(move |line: &str| {
        printed
            .lock()
            .expect("the lock is not poisoned")
            .push(line.to_owned());
    });
    let clock = clock::Clock::system();
    let run = demo::run(clock.clone(), print);
    let ended = task::block_on(clock.timeout(RUN_LIMIT, run));
    ended
        .expect("the demo ends in time")
        .expect("every request is accepted and explained");
    let text = lines.lock().expect("the lock is not poisoned").join("\n");
    assert!(text.contains("12 requests accepted"), "{text}");
    assert!(
        text.contains("ran: attempt 1 finished and its answer is stored"),
        "{text}"
    );
}
