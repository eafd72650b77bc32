//! Counters of the bytes received and sent over sockets.

use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::task::{Context, Poll};

use async_std::io::{Read, Write};
use async_std::net::TcpStream;

/// Counts the bytes received and sent over a group of sockets, including headers.
#[derive(Debug, Default)]
pub struct Meter {
    received_bytes: AtomicU64,
    sent_bytes: AtomicU64,
}

impl Meter {
    /// Returns the number of bytes received so far.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent so far.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::Relaxed)
    }
}

/// A TCP stream that counts its bytes on a [`Meter`].
#[derive(Clone, Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Arc<Meter>,
    has_sent: Arc<AtomicBool>,
}

impl MeteredStream {
    /// Wraps `stream` and counts its bytes on `meter`.
    pub fn new(stream: TcpStream, meter: Arc<Meter>) -> Self {
        Self {
            stream,
            meter,
            has_sent: Arc::new(AtomicBool::new(false)),
        }
    }

    /// Resets [`Self::has_sent()`] before the next request is sent.
    pub fn begin_exchange(&self) {
        self.has_sent.store(false, Ordering::Relaxed);
    }

    /// Returns whether any byte was written to the socket since [`Self::begin_exchange`].
    pub fn has_sent(&self) -> bool {
        self.has_sent.load(Ordering::Relaxed)
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &TcpStream {
        &self.stream
    }
}

fn count(counter: &AtomicU64, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
    if let Poll::Ready(Ok(bytes)) = &result {
        counter.fetch_add(*bytes as u64, Ordering::Relaxed);
    }
    result
}

impl Read for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        count(&self.meter.received_bytes, result)
    }
}

impl Write for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, buffer);
        if matches!(result, Poll::Ready(Ok(1..))) {
            self.has_sent.store(true, Ordering::Relaxed);
        }
        count(&self.meter.sent_bytes, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
