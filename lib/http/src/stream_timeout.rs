//! Timeouts that close the connection of a peer that stops reading or does not finish its request.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::Duration;

use async_std::io::{Read, Write};
use camphorbeam_clock as clock;

use crate::meter;

/// The time from which reads return the end of the stream. Unset at first; can be set once.
pub(crate) type ReadDeadline = Arc<OnceLock<clock::Monotonic>>;

type Timer = Pin<Box<dyn Future<Output = ()> + Send + Sync>>;

/// A stream with a timeout for writes and an optional deadline for reads.
pub(crate) struct TimeoutStream {
    stream: meter::MeteredStream,
    clock: clock::Clock,
    write_timeout: Duration,
    read_deadline: ReadDeadline,
    read_timer: Option<Timer>,
    write_timer: Option<Timer>,
}

impl TimeoutStream {
    /// Wraps `stream`. A write fails if it makes no progress for `write_timeout`; reads return the
    /// end of the stream after `read_deadline`.
    pub(crate) fn new(
        stream: meter::MeteredStream,
        clock: clock::Clock,
        write_timeout: Duration,
        read_deadline: ReadDeadline,
    ) -> Self {
        Self {
            stream,
            clock,
            write_timeout,
            read_deadline,
            read_timer: None,
            write_timer: None,
        }
    }
}

/// Clones share the connection and the read deadline, but each has timers of its own.
impl Clone for TimeoutStream {
    fn clone(&self) -> Self {
        Self::new(
            self.stream.clone(),
            self.clock.clone(),
            self.write_timeout,
            Arc::clone(&self.read_deadline),
        )
    }
}

/// Polls the timer in `timer_slot`. Starts it with `duration` if there is none, and clears the slot
/// when the timer expires.
fn poll_timer(
    timer_slot: &mut Option<Timer>,
    clock: &clock::Clock,
    duration: Duration,
    context: &mut Context<'_>,
) -> Poll<()> {
    let timer = timer_slot.get_or_insert_with(|| {
        let clock = clock.clone();
        Box::pin(async move { clock.sleep(duration).await })
    });
    let polled = timer.as_mut().poll(context);
    if polled.is_ready() {
        *timer_slot = None;
    }
    polled
}

impl Read for TimeoutStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let remaining = this
            .read_deadline
            .get()
            .map(|deadline| deadline.since(this.clock.now()));
        if remaining == Some(Duration::ZERO) {
            return Poll::Ready(Ok(0));
        }
        match (
            Pin::new(&mut this.stream).poll_read(context, buffer),
            remaining,
        ) {
            (Poll::Pending, Some(remaining)) => {
                let expired = poll_timer(&mut this.read_timer, &this.clock, remaining, context);
                expired.map(|()| Ok(0))
            }
            (result, _) => result,
        }
    }
}

impl Write for TimeoutStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match Pin::new(&mut this.stream).poll_write(context, buffer) {
            Poll::Pending => {
                let limit = this.write_timeout;
                let expired = poll_timer(&mut this.write_timer, &this.clock, limit, context);
                expired.map(|()| Err(io::ErrorKind::TimedOut.into()))
            }
            result => {
                this.write_timer = None;
                result
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
