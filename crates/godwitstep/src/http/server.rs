//! HTTP server: accept loop, limits and graceful shutdown.

use super::body::{Body, RequestBody};
use super::budget::{Budget, Gate, Part, Server};
use futures_util::stream::{FuturesUnordered, StreamExt};
use hyper::{Request, Response};
use rustix::net::sockopt;
use smol::Timer;
use smol::channel::{self, Receiver, Sender};
use smol::future::{FutureExt, poll_once};
use smol::net::{TcpListener, TcpStream};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

mod connection;
mod write_timeout;

/// Delay after a failed accept. Without it, a process that has run out of file descriptors would
/// retry in a busy loop.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Maximum number of connections beyond the limit that are answered 503 at a time; further ones
/// wait in the accept queue.
const MAX_REFUSED: usize = 64;
/// Size of the kernel's buffers of a connection, of which the kernel uses twice as much. Bytes that a process does not
/// read, and responses that a client does not read, take memory of the same machine. With the kernel's own sizes of
/// megabytes, requests whose responses are not read also keep a process busy for long before their client is blocked.
/// Unit: bytes.
const SOCKET_BUFFER: usize = 16 * 1024;

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

/// Serves connections until the shutdown starts and the requests in progress have been answered. The memory of request
/// bodies is not limited; see [`serve_within`].
///
/// Dropping the returned future closes all connections at once. The future of a handler is dropped
/// when its caller closes the connection.
pub async fn serve<H>(listener: TcpListener, limits: Limits, signal: Signal, handler: H)
where
    H: AsyncFn(Request<RequestBody>) -> Response<Body> + 'static,
{
    let server = Budget::unlimited().server("server", Part::Reserved);
    serve_within(listener, limits, server, signal, handler).await;
}

/// Serves connections like [`serve`], within the budget of a process.
///
/// At its limit, a new connection displaces the one with the least progress. If all have requests in progress, it is
/// answered 503.
pub async fn serve_within<H>(
    listener: TcpListener,
    limits: Limits,
    server: Server,
    signal: Signal,
    handler: H,
) where
    H: AsyncFn(Request<RequestBody>) -> Response<Body> + 'static,
{
    limit_socket_buffers(&listener);
    let server = server.at_most(limits.connections);
    let entrance = Entrance {
        gate: server.gate(),
        limits,
        signal: signal.clone(),
        handler: Rc::new(handler),
    };
    let mut connections = FuturesUnordered::new();
    let mut refused = 0;
    let mut stopped = pin!(signal.wait());
    let mut retry: Option<Timer> = None;
    loop {
        let accepting = refused < MAX_REFUSED && entrance.gate.accepts();
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
                if let Some(timer) = &mut retry {
                    timer.await;
                }
                retry = None;
                if accepting {
                    Event::Accepted(listener.accept().await)
                } else {
                    std::future::pending().await
                }
            };
            stop.or(end).or(accept).await
        };
        match event {
            Event::Stop => break,
            Event::Ended(Role::Served) => {}
            Event::Ended(Role::Refused) => refused -= 1,
            Event::Accepted(Ok((stream, peer))) => {
                let (role, connection) = entrance.enter(stream, peer);
                refused += usize::from(role == Role::Refused);
                retry = None;
                connections.push(connection);
            }
            Event::Accepted(Err(error)) => {
                tracing::warn!(%error, "cannot accept a connection; retrying");
                // The usual cause is that the process has no free descriptors.
                entrance.gate.displace();
                retry = Some(Timer::after(ACCEPT_RETRY));
            }
        }
    }
    // Callers that connected before the shutdown get a response; closing the listener would reset
    // the connections in its accept queue. No more are accepted than the server may have, as a crowd
    // that connects faster than it is accepted would otherwise prevent the end.
    for _ in 0..server.connections() {
        let Some(Ok((stream, peer))) = poll_once(listener.accept()).await else {
            break;
        };
        connections.push(entrance.enter(stream, peer).1);
    }
    drop(listener);
    while connections.next().await.is_some() {}
}

/// Limits the kernel's buffers of all connections that a listener accepts.
fn limit_socket_buffers(listener: &TcpListener) {
    let result = sockopt::set_socket_recv_buffer_size(listener, SOCKET_BUFFER)
        .and_then(|()| sockopt::set_socket_send_buffer_size(listener, SOCKET_BUFFER));
    if let Err(error) = result {
        tracing::warn!(%error, "cannot limit the buffers of connections");
    }
}

/// Whether a connection is served or answered 503 because of the limit.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Served,
    Refused,
}

enum Event {
    Stop,
    Ended(Role),
    Accepted(std::io::Result<(TcpStream, SocketAddr)>),
}

/// What the connections of a server share.
struct Entrance<H> {
    gate: Rc<Gate>,
    limits: Limits,
    signal: Signal,
    handler: Rc<H>,
}

impl<H> Entrance<H>
where
    H: AsyncFn(Request<RequestBody>) -> Response<Body> + 'static,
{
    /// Decides on an accepted connection and returns the future that serves or refuses it.
    fn enter(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
    ) -> (Role, impl Future<Output = Role> + use<H>) {
        let scarce = self.gate.is_scarce();
        let place = self.gate.open(Some(peer.ip()));
        let role = match &place {
            Some(_) => Role::Served,
            None => Role::Refused,
        };
        let limits = if scarce {
            connection::scarce(self.limits)
        } else {
            self.limits
        };
        let (signal, handler) = (self.signal.clone(), Rc::clone(&self.handler));
        let serving = async move {
            if let Err(error) = stream.set_nodelay(true) {
                tracing::debug!(%error, "cannot set TCP_NODELAY on a connection");
            }
            match place {
                Some(place) => {
                    connection::serve_placed(stream, limits, signal, place, handler).await;
                }
                None => connection::refuse(stream, limits, signal).await,
            }
            role
        };
        (role, serving)
    }
}
