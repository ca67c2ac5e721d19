//! Response body that is streamed from the connection.

use super::Connection;
use crate::http::BoxError;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Response body with its connection, which is closed when the body is dropped.
#[derive(Debug)]
pub struct Streaming {
    pub connection: Connection,
    pub body: Incoming,
}

impl Body for Streaming {
    type Data = Bytes;
    type Error = BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BoxError>>> {
        if let Some(driver) = &mut self.connection.driver
            && driver.as_mut().poll(context).is_ready()
        {
            self.connection.driver = None;
        }
        let frame = Pin::new(&mut self.body).poll_frame(context);
        frame.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
