//! HTTP server: accept loop, limits and graceful shutdown.

use super::body::{Body, respond};
use futures_util::future::{Either, select};
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use smol::Timer;
use smol::channel::{self, Receiver, Sender};
use smol::future::{FutureExt, poll_once};
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

mod write_timeout;

use write_timeout::WriteTimeout;

/// Delay after a failed accept. Without it, a process that has run out of file descriptors would
/// retry in a busy loop.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Time limit for the first request of a connection that was open when the shutdown began.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of connections beyond the limit that are answered 503 at a time; further ones
/// wait in the accept queue.
const MAX_REFUSED: usize = 64;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of connections that are served; others are answered 503 and closed.
    pub connections: usize,
    /// Maximum number of header fields of a request.
    pub fields: usize,
    /// Maximum size of a request's head. Unit: bytes.
    pub head: usize,
    /// Longest wait for a request's head, from the accept or from the previous response.
    pub head_timeout: Duration,
    /// Longest time without progress of a write, because the peer reads nothing of the response.
    pub write_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            fields: 64,
            head: 16 * 1024,
            head_timeout: Duration::from_secs(30),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Handle that starts the shutdown of the servers that hold its [`Signal`]. Dropping it does the
/// same.
#[derive(Debug)]
pub struct Shutdown {
    sender: Sender<Infallible>,
}

/// Signal on which a server shuts down.
#[derive(Debug, Clone)]
pub struct Signal {
    receiver: Receiver<Infallible>,
}

impl Shutdown {
    /// Returns a handle and the signal that it controls.
    #[must_use]
    #[allow(clippy::new_ret_no_self)]
    pub fn new() -> (Self, Signal) {
        let (sender, receiver) = channel::bounded(1);
        (Self { sender }, Signal { receiver })
    }

    /// Starts the shutdown.
    pub fn start(&self) {
        self.sender.close();
    }
}

impl Signal {
    /// Waits until the shutdown starts.
    pub async fn wait(&self) {
        let Err(channel::RecvError) = self.receiver.recv().await;
    }
}

/// Serves connections until the shutdown starts and the requests in progress have been answered.
///
/// Dropping the returned future closes all connections at once. The future of a handler is dropped
/// when its caller closes the connection.
pub async fn serve<H>(listener: TcpListener, limits: Limits, signal: Signal, handler: H)
where
    H: AsyncFn(Request<Incoming>) -> Response<Body> + 'static,
{
    let handler = Rc::new(handler);
    let mut connections = FuturesUnordered::new();
    let (mut served, mut refused) = (0, 0);
    let mut stopped = pin!(signal.wait());
    loop {
        let accepting = refused < MAX_REFUSED;
        let event = {
            let stop = async {
                stopped.as_mut().await;
                Event::Stop
            };
            let end = async {
                match connections.next().await {
                    Some(role) => Event::Ended(role),
                    None => std::future::pending().await,
                }
            };
            let accept = async {
                if accepting {
                    Event::Accepted(listener.accept().await.map(|(stream, _)| stream))
                } else {
                    std::future::pending().await
                }
            };
            stop.or(end).or(accept).await
        };
        match event {
            Event::Stop => break,
            Event::Ended(Role::Served) => served -= 1,
            Event::Ended(Role::Refused) => refused -= 1,
            Event::Accepted(Ok(stream)) => {
                let (handler, role) = if served < limits.connections {
                    served += 1;
                    (Some(handler.clone()), Role::Served)
                } else {
                    refused += 1;
                    (None, Role::Refused)
                };
                connections.push(serve_with_role(
                    stream,
                    limits,
                    signal.clone(),
                    handler,
                    role,
                ));
            }
            Event::Accepted(Err(error)) => {
                tracing::warn!(%error, "cannot accept a connection; retrying");
                Timer::after(ACCEPT_RETRY).await;
            }
        }
    }
    // Callers that connected before the shutdown get a response; closing the listener would reset
    // the connections in its accept queue.
    while let Some(Ok((stream, _))) = poll_once(listener.accept()).await {
        let handler = Some(handler.clone());
        connections.push(serve_with_role(
            stream,
            limits,
            signal.clone(),
            handler,
            Role::Served,
        ));
    }
    drop(listener);
    while connections.next().await.is_some() {}
}

/// Whether a connection is served or answered 503 because of the limit.
#[derive(Clone, Copy)]
enum Role {
    Served,
    Refused,
}

enum Event {
    Stop,
    Ended(Role),
    Accepted(std::io::Result<TcpStream>),
}

fn too_many_connections() -> Response<Body> {
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n");
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

async fn serve_with_role<H>(
    stream: TcpStream,
    limits: Limits,
    signal: Signal,
    handler: Option<Rc<H>>,
    role: Role,
) -> Role
where
    H: AsyncFn(Request<Incoming>) -> Response<Body> + 'static,
{
    serve_connection(stream, limits, signal, handler).await;
    role
}

async fn serve_connection<H>(
    stream: TcpStream,
    limits: Limits,
    signal: Signal,
    handler: Option<Rc<H>>,
) where
    H: AsyncFn(Request<Incoming>) -> Response<Body> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "cannot set TCP_NODELAY on a connection");
    }
    let request_received = Rc::new(Cell::new(false));
    let flag = request_received.clone();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        flag.set(true);
        async move {
            Ok::<_, Infallible>(match handler {
                Some(handler) => handler(request).await,
                None => too_many_connections(),
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_timeout)
        .max_headers(limits.fields)
        .max_header_size(limits.head)
        .max_buf_size(limits.head.max(8 * 1024));
    let io = FuturesIo::new(WriteTimeout::new(stream, limits.write_timeout));
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
