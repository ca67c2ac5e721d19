//! A listener that can refuse connections for a time, and resets of connections.

use crate::change_notifier::Subscription;
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;
/// Pause after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

enum State {
    Open(TcpListener),
    /// Bound without listening: connections are refused and no other process gets the port.
    Refusing(OwnedFd),
    /// A change failed half-way.
    Unbound,
}

/// A listener that keeps its port while it refuses connections.
pub(super) struct Listener {
    address: SocketAddr,
    state: State,
}

impl Listener {
    pub(super) fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = reserve(address)?;
        let listener = listen(socket)?;
        Ok(Self {
            address: listener.local_addr()?,
            state: State::Open(listener),
        })
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts or stops refusing connections.
    pub(super) fn set_open(&mut self, open: bool) -> io::Result<()> {
        self.state = match (std::mem::replace(&mut self.state, State::Unbound), open) {
            (State::Open(listener), false) => {
                drop(listener);
                State::Refusing(reserve(self.address)?)
            }
            (State::Refusing(socket), true) => State::Open(listen(socket)?),
            (State::Unbound, true) => State::Open(listen(reserve(self.address)?)?),
            (State::Unbound, false) => State::Refusing(reserve(self.address)?),
            (state, _) => state,
        };
        Ok(())
    }

    /// Returns the next connection, or nothing once there is a change.
    pub(super) async fn accept(&self, change: Subscription) -> Option<TcpStream> {
        let State::Open(listener) = &self.state else {
            change.wait().await;
            return None;
        };
        let changed = async {
            change.wait().await;
            None
        };
        let accepted = async {
            match listener.accept().await {
                Ok((stream, _)) => Some(stream),
                Err(error) => {
                    tracing::warn!(%error, "accept failed");
                    smol::Timer::after(ACCEPT_PAUSE).await;
                    None
                }
            }
        };
        smol::future::or(changed, accepted).await
    }
}

fn reserve(address: SocketAddr) -> io::Result<OwnedFd> {
    let family = if address.is_ipv4() {
        AddressFamily::INET
    } else {
        AddressFamily::INET6
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    sockopt::set_socket_reuseaddr(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    Ok(socket)
}

fn listen(socket: OwnedFd) -> io::Result<TcpListener> {
    rustix::net::listen(&socket, BACKLOG)?;
    TcpListener::try_from(std::net::TcpListener::from(socket))
}

/// Makes the connection end with a reset instead of an orderly close once it is dropped.
pub(super) fn reset(stream: &TcpStream) {
    if let Err(error) = sockopt::set_socket_linger(stream, Some(Duration::ZERO)) {
        tracing::warn!(%error, "cannot reset a connection");
    }
}
