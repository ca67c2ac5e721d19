//! Bodies of requests and responses, and functions that create and read them.

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Empty, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::Frame;
use hyper::{Response, StatusCode};
use smol::Timer;
use smol::future::FutureExt;
use std::pin::Pin;
use std::time::Duration;

/// Error that any kind of body may return.
pub type BoxError = Box<dyn std::error::Error + Send + Sync>;
/// Body that is buffered or streamed. Not `Send`: it stays on the thread that created it.
pub type Body = Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BoxError>>>;

/// Error of reading a whole body.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The body is longer than allowed.
    #[error("body exceeds {limit} bytes")]
    TooLarge {
        /// Maximum size. Unit: bytes.
        limit: usize,
    },
    /// The body did not arrive in time.
    #[error("body did not arrive within {} ms", .time.as_millis())]
    Slow {
        /// Time limit.
        time: Duration,
    },
    /// The connection failed before the end of the body.
    #[error("body was cut off: {0}")]
    Broken(BoxError),
}

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

/// Reads a whole body of at most `limit` bytes within `time`.
///
/// # Errors
///
/// Returns an error if the body is too long, too slow or cut off.
pub async fn read<B>(body: B, limit: usize, time: Duration) -> Result<Bytes, ReadError>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<BoxError>,
{
    let whole = async {
        let collected = Limited::new(body, limit).collect().await;
        collected
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| {
                if error.is::<LengthLimitError>() {
                    ReadError::TooLarge { limit }
                } else {
                    ReadError::Broken(error)
                }
            })
    };
    let timeout = async {
        Timer::after(time).await;
        Err(ReadError::Slow { time })
    };
    whole.or(timeout).await
}
