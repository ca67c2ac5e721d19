//! A stream whose writes fail if the peer stops reading.

use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

/// Fails a write that makes no progress for `limit`.
///
/// A peer whose host is gone acknowledges nothing, and the operating system gives up on it only
/// after many minutes; until then it would hold a connection and the answer.
#[derive(Debug)]
pub struct Stall<S> {
    stream: S,
    limit: Duration,
    /// Runs while a write waits.
    timer: Option<Timer>,
}

impl<S> Stall<S> {
    pub const fn new(stream: S, limit: Duration) -> Self {
        Self {
            stream,
            limit,
            timer: None,
        }
    }

    /// Passes on the result of a write, or fails it if it has waited too long.
    fn watch<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            self.timer = None;
            return result;
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Timer::after(limit));
        match Pin::new(timer).poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stall<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stall<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(context, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.watch(context, result)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
