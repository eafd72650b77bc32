//! Tests of the manual clock: sleeps, timeouts and arithmetic.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use async_std::task;
use camphorbeam_clock as clock;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Yields to other tasks until `is_met` returns true.
async fn yield_until(is_met: impl Fn() -> bool) {
    while !is_met() {
        task::yield_now().await;
    }
}

#[rstest]
fn test_clock_manual_time_is_constant_until_advanced() {
    let (clock, time) = clock::Clock::manual(5_000);
    assert_eq!((clock.now().since_origin_ms, clock.unix_ms()), (0, 5_000));

    time.advance(SECOND);

    assert_eq!(
        (clock.now().since_origin_ms, clock.unix_ms()),
        (1_000, 6_000)
    );
}

#[rstest]
fn test_clock_advance_wakes_exactly_the_expired_sleeps() {
    let (clock, time) = clock::Clock::manual(0);
    let woken = Arc::new(AtomicUsize::new(0));
    task::block_on(async {
        for seconds in 1..=4 {
            let (clock, woken) = (clock.clone(), Arc::clone(&woken));
            task::spawn(async move {
                clock.sleep(seconds * SECOND).await;
                woken.fetch_add(1, Ordering::SeqCst);
            });
        }
        yield_until(|| time.pending_sleep_count() == 4).await;
        time.advance(2 * SECOND);
        yield_until(|| woken.load(Ordering::SeqCst) == 2).await;
        assert_eq!(time.pending_sleep_count(), 2);
        time.advance(2 * SECOND);
        yield_until(|| woken.load(Ordering::SeqCst) == 4).await;
    });
    assert_eq!(time.pending_sleep_count(), 0);
}

#[rstest]
fn test_clock_zero_sleep_completes_immediately() {
    let (clock, _time) = clock::Clock::manual(0);

    task::block_on(clock.sleep(Duration::ZERO));
}

#[rstest]
fn test_clock_timeout_fails_after_its_limit() {
    let (clock, time) = clock::Clock::manual(0);
    let limited = {
        let clock = clock.clone();
        task::spawn(async move { clock.timeout(SECOND, std::future::pending::<()>()).await })
    };
    task::block_on(async {
        yield_until(|| time.pending_sleep_count() == 1).await;
        time.advance(SECOND);
        assert_eq!(limited.await, Err(clock::Elapsed));
    });
}

#[rstest]
fn test_clock_timeout_returns_the_output_and_leaves_no_pending_sleep() {
    let (clock, time) = clock::Clock::manual(0);

    let output = task::block_on(clock.timeout(Duration::ZERO, std::future::ready(7)));

    assert_eq!(output, Ok(7));
    assert_eq!(time.pending_sleep_count(), 0);
}

#[rstest]
fn test_clock_dropped_sleep_is_no_longer_pending() {
    let (clock, time) = clock::Clock::manual(0);
    let sleeping = {
        let clock = clock.clone();
        task::spawn(async move { clock.sleep(SECOND).await })
    };
    task::block_on(async {
        yield_until(|| time.pending_sleep_count() == 1).await;
        sleeping.cancel().await;
    });
    assert_eq!(time.pending_sleep_count(), 0);
}

#[rstest]
fn test_clock_monotonic_arithmetic_saturates() {
    let early = clock::Monotonic { since_origin_ms: 1 };
    let late = clock::Monotonic {
        since_origin_ms: u64::MAX,
    };

    assert_eq!(early.since(late), Duration::ZERO);
    assert_eq!(late.plus(SECOND), late);
    assert_eq!(clock::as_ms(Duration::MAX), u64::MAX);
}
