//! Serves one connection.

use super::write_timeout::WriteTimeout;
use super::{Limits, Signal};
use crate::http::body::{Body, RequestBody, respond};
use crate::http::budget::connections::Phase;
use crate::http::budget::{Charge, Place};
use bytes::Bytes;
use futures_util::future::{Either, select};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use smol::future::FutureExt;
use smol::net::TcpStream;
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

/// Time limit for the first request of a connection that was open when the shutdown began.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Time limit for a head while connections are scarce. Enough for a client whose packets are lost twice.
const SCARCE_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of a piece of a response. Unit: bytes.
const PIECE: usize = 16 * 1024;
/// Minimum of hyper's read buffer. Unit: bytes.
const MIN_READ_BUFFER: usize = 8 * 1024;

/// Serves the requests of a connection until it ends, is displaced, or the server shuts down.
pub(super) async fn serve_placed<H>(
    stream: TcpStream,
    limits: Limits,
    signal: Signal,
    place: Rc<Place>,
    handler: Rc<H>,
) where
    H: AsyncFn(Request<RequestBody>) -> Response<Body> + 'static,
{
    let respond = {
        let place = Rc::clone(&place);
        async move |request: Request<Incoming>| {
            place.enter(Phase::Running);
            let request = request.map(|body| RequestBody::new(body, Rc::clone(&place)));
            let response = handler(request).await;
            place.enter(Phase::Responding);
            let answering = Answering(Rc::clone(&place));
            response.map(|body| {
                let size = body.size_hint().exact().unwrap_or(0);
                let charge = place.begin_response(usize::try_from(size).unwrap_or(usize::MAX));
                ResponseBody::new(body, charge, Some(answering))
            })
        }
    };
    let stream = WriteTimeout::new(stream, limits.write_timeout, Some(Rc::clone(&place)));
    let serving = serve(stream, limits, signal, respond);
    let displaced = async {
        place.displaced().await;
        tracing::debug!("connection closed in favour of another one");
    };
    displaced.or(serving).await;
}

/// Answers the first request of a connection with 503, because there is no place for it.
pub(super) async fn refuse(stream: TcpStream, limits: Limits, signal: Signal) {
    let respond = async |_| too_many_connections().map(|body| ResponseBody::new(body, None, None));
    let stream = WriteTimeout::new(stream, limits.write_timeout, None);
    let limits = Limits {
        head_timeout: limits.head_timeout.min(SCARCE_HEAD_TIMEOUT),
        ..limits
    };
    serve(stream, limits, signal, respond).await;
}

/// Returns the limits of a connection that is opened while connections are scarce.
pub(super) fn scarce(limits: Limits) -> Limits {
    Limits {
        head_timeout: limits.head_timeout.min(SCARCE_HEAD_TIMEOUT),
        ..limits
    }
}

fn too_many_connections() -> Response<Body> {
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n");
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

async fn serve<R>(stream: WriteTimeout<TcpStream>, limits: Limits, signal: Signal, respond: R)
where
    R: AsyncFn(Request<Incoming>) -> Response<ResponseBody>,
{
    let request_received = Cell::new(false);
    let service = service_fn(|request| {
        request_received.set(true);
        async { Ok::<_, Infallible>(respond(request).await) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.fields)
        .max_header_size(limits.head)
        .max_buf_size(limits.head.max(MIN_READ_BUFFER));
    let io = FuturesIo::new(stream);
    let mut serving = pin!(builder.serve_connection(io, service));
    let result = match select(serving.as_mut(), pin!(signal.wait())).await {
        Either::Left((result, _)) => result,
        Either::Right(((), _)) => {
            // The first request of a new connection may be in transit and gets a response.
            if !request_received.get() {
                let wait = async {
                    Timer::after(FIRST_REQUEST_TIMEOUT).await;
                    None
                };
                let ended = async { Some(serving.as_mut().await) }.or(wait).await;
                if let Some(result) = ended {
                    return log_error(result);
                }
            }
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    log_error(result);
}

fn log_error(result: hyper::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(%error, "connection closed by an error");
    }
}

/// Marks a connection as waiting for the next request once its response has been passed to the socket.
struct Answering(Rc<Place>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.enter(Phase::Waiting);
    }
}

/// Body of a response, which hyper drops at its end.
///
/// Large parts are passed on in pieces of at most [`PIECE`] bytes, of which hyper takes the next only when its write
/// buffer has room. Thus the body, and with it its charge, lasts until the peer has read nearly all of it.
struct ResponseBody {
    body: Body,
    /// Rest of a part of the body that is being passed on.
    rest: Bytes,
    _charge: Option<Charge>,
    _answering: Option<Answering>,
}

impl ResponseBody {
    const fn new(body: Body, charge: Option<Charge>, answering: Option<Answering>) -> Self {
        Self {
            body,
            rest: Bytes::new(),
            _charge: charge,
            _answering: answering,
        }
    }

    fn next_piece(&mut self) -> Bytes {
        let size = self.rest.len().min(PIECE);
        self.rest.split_to(size)
    }
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = crate::http::BoxError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.rest.is_empty() {
            let frame = match self.body.as_mut().poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => frame,
                other => return other,
            };
            match frame.into_data() {
                Ok(data) => self.rest = data,
                Err(frame) => return Poll::Ready(Some(Ok(frame))),
            }
        }
        Poll::Ready(Some(Ok(Frame::data(self.next_piece()))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (mut hint, rest) = (self.body.size_hint(), self.rest.len() as u64);
        if let Some(upper) = hint.upper() {
            hint.set_upper(upper + rest);
        }
        hint.set_lower(hint.lower() + rest);
        hint
    }
}
