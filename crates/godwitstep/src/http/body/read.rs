//! Reads whole bodies into one growing buffer each, within the budget of the process.

use super::{Body, Source, respond};
use crate::http::BoxError;
use crate::http::body::request::Placed;
use crate::http::budget::admission::Refusal;
use crate::http::budget::connections::Phase;
use crate::http::budget::{Buffer, Charge};
use bytes::Bytes;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use smol::Timer;
use std::future::{Future, poll_fn};
use std::ops::Deref;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Time without a byte of a body after which it is given up. Many times the retransmission timeout of TCP, so that a
/// client that goes on after lost packets does not meet it.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after which a refused client should retry.
const RETRY_DELAY: HeaderValue = HeaderValue::from_static("1");

/// Error of reading a whole body. The request has not been passed on.
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
    /// No byte of the body arrived for too long.
    #[error("body made no progress for {} ms", STALL_TIMEOUT.as_millis())]
    Stalled,
    /// The memory for bodies is short, and other requests need it.
    #[error("too many requests at the same time")]
    Overloaded,
    /// The connection failed before the end of the body.
    #[error("body was cut off: {0}")]
    Broken(BoxError),
}

impl ReadError {
    /// Returns the status of the response.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Slow { .. } | Self::Stalled => StatusCode::REQUEST_TIMEOUT,
            Self::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
            Self::Broken(_) => StatusCode::BAD_REQUEST,
        }
    }
}

impl From<Refusal> for ReadError {
    fn from(_: Refusal) -> Self {
        Self::Overloaded
    }
}

/// Returns the response to a request whose body could not be read. It closes the connection, as the rest of the body
/// is not read.
#[must_use]
pub fn refuse(error: &ReadError) -> Response<Body> {
    let mut response = respond(error.status(), format!("{error}\n"));
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    if matches!(error, ReadError::Overloaded) {
        headers.insert(RETRY_AFTER, RETRY_DELAY);
    }
    response
}

/// A whole body in memory, charged to the budget until it is dropped. The default is an empty one.
#[derive(Debug, Default)]
pub struct Held {
    bytes: Bytes,
    charge: Option<Charge>,
}

/// Charge that remains of a body after its bytes have been taken over or decoded. Released on drop.
#[derive(Debug)]
pub struct Kept {
    _charge: Option<Charge>,
}

impl Held {
    /// Separates the bytes, which are passed to another owner, from their charge, to be kept as long as the owner needs
    /// them.
    #[must_use]
    pub fn split(self) -> (Bytes, Kept) {
        let kept = Kept {
            _charge: self.charge,
        };
        (self.bytes, kept)
    }

    /// Drops the bytes after they have been decoded and keeps a charge of at most `bytes` for the decoded value.
    #[must_use]
    pub fn decoded(self, bytes: usize) -> Kept {
        if let Some(charge) = &self.charge {
            charge.shrink(bytes);
        }
        Kept {
            _charge: self.charge,
        }
    }
}

impl Deref for Held {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl From<Held> for Bytes {
    fn from(held: Held) -> Self {
        held.bytes
    }
}

/// Reads a whole body of at most `limit` bytes within `time`. Its buffer is charged to the budget of the server that
/// received it before it grows.
///
/// # Errors
///
/// Returns an error if the body is too long, too slow or cut off, or if the memory is needed by other requests.
pub async fn read<B: Source>(body: B, limit: usize, time: Duration) -> Result<Held, ReadError> {
    let announced = body.size_hint();
    if announced.lower() > limit as u64 {
        return Err(ReadError::TooLarge { limit });
    }
    let expected = announced
        .upper()
        .and_then(|size| usize::try_from(size).ok())
        .map_or(limit, |size| size.min(limit));
    let buffer = Rc::<Buffer>::default();
    let placed = body.place();
    if let Some(placed) = &placed {
        placed.place.enter(Phase::Reading);
    }
    let charge = placed.as_ref().map(|placed| placed.begin(&buffer));
    let mut reader = Reader {
        buffer,
        placed,
        charge,
        limit,
        expected,
        deadlines: Deadlines::new(time),
    };
    let result = reader.read(pin!(body)).await;
    if let Some(placed) = &reader.placed {
        placed.place.enter(Phase::Running);
    }
    if let (Err(ReadError::Overloaded), Some(placed)) = (&result, &reader.placed) {
        placed.place.relieve();
    }
    result?;
    Ok(Held {
        bytes: reader.buffer.take().into(),
        charge: reader.charge,
    })
}

struct Reader {
    buffer: Rc<Buffer>,
    placed: Option<Placed>,
    charge: Option<Charge>,
    /// Maximum size of the body. Unit: bytes.
    limit: usize,
    /// Size that the client has announced, or the limit. The buffer grows no further. Unit: bytes.
    expected: usize,
    deadlines: Deadlines,
}

impl Reader {
    async fn read<B: Source>(&mut self, mut body: Pin<&mut B>) -> Result<(), ReadError> {
        poll_fn(|context| {
            loop {
                if self.buffer.poll_displaced(context).is_ready() {
                    return Poll::Ready(Err(ReadError::Overloaded));
                }
                match body.as_mut().poll_frame(context) {
                    Poll::Ready(Some(Ok(frame))) => {
                        // Trailers are not used.
                        if let Some(part) = frame.data_ref()
                            && let Err(error) = self.append(part)
                        {
                            return Poll::Ready(Err(error));
                        }
                    }
                    Poll::Ready(Some(Err(error))) => {
                        return Poll::Ready(Err(ReadError::Broken(error.into())));
                    }
                    Poll::Ready(None) => break,
                    Poll::Pending => return self.deadlines.poll_expired(context).map(Err),
                }
            }
            Poll::Ready(Ok(()))
        })
        .await?;
        match &self.charge {
            Some(charge) => Ok(charge.pass_on()?),
            None => Ok(()),
        }
    }

    fn append(&mut self, part: &[u8]) -> Result<(), ReadError> {
        if part.is_empty() {
            return Ok(());
        }
        let size = self.buffer.size();
        let needed = size.filled + part.len();
        if needed > self.limit {
            return Err(ReadError::TooLarge { limit: self.limit });
        }
        if let Some(charge) = &self.charge {
            charge.receive(part.len());
        }
        if let Some(placed) = &self.placed {
            placed.place.receive(part.len());
        }
        if needed > size.capacity {
            let capacity = (size.capacity * 2).min(self.expected).max(needed);
            if let Some(charge) = &self.charge {
                charge.grow(capacity)?;
            }
            self.buffer.grow(capacity);
        }
        self.buffer.append(part);
        self.deadlines.received();
        Ok(())
    }
}

/// Time limits of one body. The timer is created only if the body has not arrived with the head.
struct Deadlines {
    began: Instant,
    time: Duration,
    /// Whether bytes have arrived since the timer was set.
    progress: bool,
    timer: Option<Timer>,
}

impl Deadlines {
    fn new(time: Duration) -> Self {
        Self {
            began: Instant::now(),
            time,
            progress: false,
            timer: None,
        }
    }

    const fn received(&mut self) {
        self.progress = true;
    }

    /// Returns the error of the time limit that has passed. Otherwise the task is woken when the next one passes.
    fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<ReadError> {
        loop {
            let left = self.time.saturating_sub(self.began.elapsed());
            let timer = self.timer.get_or_insert_with(|| {
                self.progress = false;
                Timer::after(left.min(STALL_TIMEOUT))
            });
            if Pin::new(timer).poll(context).is_pending() {
                return Poll::Pending;
            }
            self.timer = None;
            if self.began.elapsed() >= self.time {
                return Poll::Ready(ReadError::Slow { time: self.time });
            }
            if !self.progress {
                return Poll::Ready(ReadError::Stalled);
            }
        }
    }
}
