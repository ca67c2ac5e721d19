//! Stream wrapper that records whether bytes were written.

use smol::io::{AsyncRead, AsyncWrite};
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Wraps a stream and sets a flag when the operating system has accepted bytes.
///
/// The HTTP library reports that a request failed, but not whether part of it was sent. A request
/// of which nothing was sent may be sent again.
#[derive(Debug)]
pub struct WriteTracker<S> {
    stream: S,
    written: Rc<Cell<bool>>,
}

impl<S> WriteTracker<S> {
    pub const fn new(stream: S, written: Rc<Cell<bool>>) -> Self {
        Self { stream, written }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTracker<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTracker<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        if matches!(result, Poll::Ready(Ok(count)) if count > 0) {
            self.written.set(true);
        }
        result
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
