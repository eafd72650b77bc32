//! Clock and timers behind a handle, so that tests can control the time.
//!
//! All other library crates read the time only through this one; tests and benchmarks also use
//! `Instant`. [`Clock::system`] is the real clock. The time of [`Clock::manual`] changes only when
//! [`ManualTime::advance`] is called.

use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{clock_gettime, ClockId};

pub mod transfer;

/// An instant on a monotonic clock with an arbitrary origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Monotonic {
    pub since_origin_ms: u64,
}

impl Monotonic {
    /// Returns the instant `duration` later, saturating.
    pub fn plus(self, duration: Duration) -> Self {
        Self {
            since_origin_ms: self.since_origin_ms.saturating_add(as_ms(duration)),
        }
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is the later instant.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_millis(self.since_origin_ms.saturating_sub(earlier.since_origin_ms))
    }
}

/// Converts `duration` to whole milliseconds, saturating.
pub fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Error of [`Clock::timeout`] for a future that didn't complete within the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Elapsed;

impl std::fmt::Display for Elapsed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the time limit has passed")
    }
}

impl std::error::Error for Elapsed {}

/// A handle to a clock. Cloning it is cheap.
#[derive(Clone, Debug)]
pub struct Clock {
    source: Source,
}

#[derive(Clone, Debug)]
enum Source {
    System,
    Manual(Arc<Mutex<ManualState>>),
}

#[derive(Debug)]
struct ManualState {
    now_ms: u64,
    unix_origin_ms: u64,
    next_sleep_id: u64,
    /// Wakers by expiry time, in milliseconds, and sleep id.
    pending_sleeps: BTreeMap<(u64, u64), Waker>,
}

/// Handle that advances a manual clock.
#[derive(Clone, Debug)]
pub struct ManualTime {
    state: Arc<Mutex<ManualState>>,
}

impl Clock {
    /// Returns the system clock. [`Self::now`] keeps counting while the machine is suspended, so
    /// that a lease also expires during a suspension.
    ///
    /// Sleeps and timeouts use the timers of the async runtime, which may not advance during a
    /// suspension. To find out whether a lease has expired, compare with [`Self::now`].
    pub fn system() -> Self {
        Self {
            source: Source::System,
        }
    }

    /// Creates a clock whose time changes only through the returned [`ManualTime`].
    ///
    /// `unix_origin_ms` is the initial wall-clock time, in milliseconds since the Unix epoch.
    pub fn manual(unix_origin_ms: u64) -> (Self, ManualTime) {
        let state = Arc::new(Mutex::new(ManualState {
            now_ms: 0,
            unix_origin_ms,
            next_sleep_id: 0,
            pending_sleeps: BTreeMap::new(),
        }));
        let clock = Self {
            source: Source::Manual(Arc::clone(&state)),
        };
        (clock, ManualTime { state })
    }

    /// Returns the current monotonic time.
    pub fn now(&self) -> Monotonic {
        let since_origin_ms = match &self.source {
            Source::System => ms_since_boot().saturating_add(ORIGIN_OFFSET_MS),
            Source::Manual(state) => lock(state).now_ms,
        };
        Monotonic { since_origin_ms }
    }

    /// Returns the current wall-clock time, in milliseconds since the Unix epoch.
    pub fn unix_ms(&self) -> u64 {
        match &self.source {
            Source::System => as_ms(
                SystemTime::now()
                    .duration_since(UNIX_EPOCH)
                    .unwrap_or_default(),
            ),
            Source::Manual(state) => {
                let state = lock(state);
                state.unix_origin_ms.saturating_add(state.now_ms)
            }
        }
    }

    /// Waits for `duration`.
    pub async fn sleep(&self, duration: Duration) {
        match &self.source {
            Source::System => async_std::task::sleep(duration).await,
            Source::Manual(state) => ManualSleep::new(state, duration).await,
        }
    }

    /// Awaits `future` for at most `limit`.
    ///
    /// # Errors
    ///
    /// Returns [`Elapsed`] and drops `future` if it doesn't complete within `limit`.
    pub async fn timeout<F: Future>(
        &self,
        limit: Duration,
        future: F,
    ) -> Result<F::Output, Elapsed> {
        let mut future = std::pin::pin!(future);
        let mut sleep = std::pin::pin!(self.sleep(limit));
        std::future::poll_fn(
            |context| match (future.as_mut().poll(context), sleep.as_mut()) {
                (Poll::Ready(output), _) => Poll::Ready(Ok(output)),
                (Poll::Pending, sleep) => sleep.poll(context).map(|()| Err(Elapsed)),
            },
        )
        .await
    }
}

impl ManualTime {
    /// Advances the clock by `duration` and wakes all sleeps that have expired.
    pub fn advance(&self, duration: Duration) {
        let mut state = lock(&self.state);
        state.now_ms = state.now_ms.saturating_add(as_ms(duration));
        let first_unexpired = (state.now_ms + 1, 0);
        let unexpired = state.pending_sleeps.split_off(&first_unexpired);
        let expired = std::mem::replace(&mut state.pending_sleeps, unexpired);
        drop(state);
        for waker in expired.into_values() {
            waker.wake();
        }
    }

    /// Returns the number of sleeps that wait for the clock to advance.
    pub fn pending_sleep_count(&self) -> usize {
        lock(&self.state).pending_sleeps.len()
    }
}

/// How long before the boot of the machine the origin of the system clock is, so that instants
/// before the boot can be represented.
const ORIGIN_OFFSET_MS: u64 = 1_000_000_000;

fn ms_since_boot() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let millis = u64::try_from(time.tv_nsec).unwrap_or(0) / 1_000_000;
    seconds.saturating_mul(1_000).saturating_add(millis)
}

struct ManualSleep {
    state: Arc<Mutex<ManualState>>,
    timer_key: (u64, u64),
}

impl ManualSleep {
    fn new(state: &Arc<Mutex<ManualState>>, duration: Duration) -> Self {
        let mut inner = lock(state);
        let sleep_id = inner.next_sleep_id;
        inner.next_sleep_id += 1;
        let timer_key = (inner.now_ms.saturating_add(as_ms(duration)), sleep_id);
        drop(inner);
        Self {
            state: Arc::clone(state),
            timer_key,
        }
    }
}

impl Future for ManualSleep {
    type Output = ();

    fn poll(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.state);
        if state.now_ms >= self.timer_key.0 {
            return Poll::Ready(());
        }
        state
            .pending_sleeps
            .insert(self.timer_key, context.waker().clone());
        Poll::Pending
    }
}

impl Drop for ManualSleep {
    fn drop(&mut self) {
        lock(&self.state).pending_sleeps.remove(&self.timer_key);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
