//! Server helper: accept loop, limits, shutdown that lets requests in progress end.

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

mod stall;

use stall::Stall;

/// Delay after a failed accept. Without it, a process that has run out of file descriptors would
/// spin on the error.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Wait for the first request of a connection that was open when the shutdown began.
const FIRST_REQUEST: Duration = Duration::from_millis(200);
/// Connections beyond the limit that are told so; further ones wait in the accept queue.
const MAX_REFUSED: usize = 64;

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Greatest number of connections that are served; others are answered 503 and closed.
    pub connections: usize,
    /// Greatest number of header fields of a request.
    pub fields: usize,
    /// Greatest size of a request's head. Unit: bytes.
    pub head: usize,
    /// Longest wait for a request's head, from the accept or from the previous answer.
    pub head_time: Duration,
    /// Longest time in which a peer reads nothing of an answer that is being sent.
    pub write_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            fields: 64,
            head: 16 * 1024,
            head_time: Duration::from_secs(30),
            write_time: Duration::from_secs(30),
        }
    }
}

/// Starts the shutdown of the servers that hold its [`Signal`]. Dropping it does the same.
#[derive(Debug)]
pub struct Shutdown {
    sender: Sender<Infallible>,
}

/// Tells a server when to shut down.
#[derive(Debug, Clone)]
pub struct Signal {
    receiver: Receiver<Infallible>,
}

impl Shutdown {
    /// Returns both ends.
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
    /// Waits for the start of the shutdown.
    pub async fn wait(&self) {
        let Err(channel::RecvError) = self.receiver.recv().await;
    }
}

/// Serves connections until the signal comes and the requests in progress have been answered.
///
/// Dropping the returned future cuts all connections off. A handler is dropped when its caller
/// closes the connection.
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
                connections.push(attend(stream, limits, signal.clone(), handler, role));
            }
            Event::Accepted(Err(error)) => {
                tracing::warn!(%error, "accepting a connection failed");
                Timer::after(ACCEPT_RETRY).await;
            }
        }
    }
    // Callers that were connected before the shutdown get an answer; closing the listener would
    // reset those that wait in its queue.
    while let Some(Ok((stream, _))) = poll_once(listener.accept()).await {
        let handler = Some(handler.clone());
        connections.push(attend(
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

/// What a connection was accepted for.
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

fn refusal() -> Response<Body> {
    let mut response = respond(StatusCode::SERVICE_UNAVAILABLE, "too many connections\n");
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
    headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    response
}

async fn attend<H>(
    stream: TcpStream,
    limits: Limits,
    signal: Signal,
    handler: Option<Rc<H>>,
    role: Role,
) -> Role
where
    H: AsyncFn(Request<Incoming>) -> Response<Body> + 'static,
{
    connection(stream, limits, signal, handler).await;
    role
}

async fn connection<H>(stream: TcpStream, limits: Limits, signal: Signal, handler: Option<Rc<H>>)
where
    H: AsyncFn(Request<Incoming>) -> Response<Body> + 'static,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "connection without TCP_NODELAY");
    }
    let begun = Rc::new(Cell::new(false));
    let flag = begun.clone();
    let service = service_fn(move |request| {
        let handler = handler.clone();
        flag.set(true);
        async move {
            Ok::<_, Infallible>(match handler {
                Some(handler) => handler(request).await,
                None => refusal(),
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(SmolTimer::new())
        .header_read_timeout(limits.head_time)
        .max_headers(limits.fields)
        .max_header_size(limits.head)
        .max_buf_size(limits.head.max(8 * 1024));
    let io = FuturesIo::new(Stall::new(stream, limits.write_time));
    let mut serving = pin!(builder.serve_connection(io, service));
    let result = match select(serving.as_mut(), pin!(signal.wait())).await {
        Either::Left((result, _)) => result,
        Either::Right(((), _)) => {
            // The first request of a new connection may be on its way, and is answered.
            if !begun.get() {
                let wait = async {
                    Timer::after(FIRST_REQUEST).await;
                    None
                };
                let ended = async { Some(serving.as_mut().await) }.or(wait).await;
                if let Some(result) = ended {
                    return report(result);
                }
            }
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    report(result);
}

fn report(result: hyper::Result<()>) {
    if let Err(error) = result {
        tracing::debug!(%error, "connection ended early");
    }
}
