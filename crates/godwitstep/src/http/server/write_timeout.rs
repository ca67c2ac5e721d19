//! Stream wrapper whose writes time out if the peer stops reading.

use crate::http::budget::Place;
use smol::Timer;
use smol::io::{AsyncRead, AsyncWrite};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Fails a write that makes no progress for `limit`.
///
/// A peer whose host is down acknowledges nothing, and the operating system closes its connection
/// only after many minutes. Until then it would occupy a connection and the memory of the response.
#[derive(Debug)]
pub struct WriteTimeout<S> {
    stream: S,
    limit: Duration,
    /// Set while a write is pending.
    timer: Option<Timer>,
    /// Place of the connection, which may be given to another one while writes are blocked.
    place: Option<Rc<Place>>,
}

impl<S> WriteTimeout<S> {
    pub const fn new(stream: S, limit: Duration, place: Option<Rc<Place>>) -> Self {
        Self {
            stream,
            limit,
            timer: None,
            place,
        }
    }

    fn set_blocked(&self, blocked: bool) {
        if let Some(place) = &self.place {
            place.set_blocked(blocked);
        }
    }

    /// Returns the result of a write, or an error if the write has been pending for `limit`.
    fn check_timeout<T>(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if result.is_ready() {
            if self.timer.take().is_some() {
                self.set_blocked(false);
            }
            return result;
        }
        if self.timer.is_none() {
            self.set_blocked(true);
        }
        let limit = self.limit;
        let timer = self.timer.get_or_insert_with(|| Timer::after(limit));
        match Pin::new(timer).poll(context) {
            Poll::Ready(_) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeout<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeout<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check_timeout(context, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let result = Pin::new(&mut self.stream).poll_flush(context);
        self.check_timeout(context, result)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
