//! A response body that is read as it comes.

use super::Connection;
use crate::http::BoxError;
use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Body together with the connection that it comes on, which is closed with it.
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
