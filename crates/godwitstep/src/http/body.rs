//! Bodies of requests and responses, and functions that create and read them.

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Empty, Full, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use std::pin::Pin;

mod read;
mod request;

pub use read::{Held, Kept, ReadError, read, refuse};
pub use request::{RequestBody, Source};

/// Error that any kind of body may return.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// Body that is buffered or streamed. Not `Send`: it stays on the thread that created it.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BoxError>>>;

/// Returns a body without content.
#[must_use]
pub fn empty() -> Body {
    Box::pin(Empty::new().map_err(|never| match never {}))
}

/// Returns a body that consists of `bytes`.
#[must_use]
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Box::pin(Full::new(bytes.into()).map_err(|never| match never {}))
}

/// Returns a response with a buffered body and no headers set.
#[must_use]
pub fn respond(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(full(bytes));
    *response.status_mut() = status;
    response
}

/// Returns a body whose parts are sent as the stream yields them. An error closes the connection.
#[must_use]
pub fn stream(parts: impl Stream<Item = Result<Bytes, BoxError>> + 'static) -> Body {
    Box::pin(StreamBody::new(
        parts.map(|part| part.map(Frame::<Bytes>::data)),
    ))
}
