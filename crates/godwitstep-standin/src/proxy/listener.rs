//! A listener that can refuse connections temporarily, and resets of connections.

use crate::change_notifier::Subscription;
use rustix::net::{AddressFamily, SocketFlags, SocketType, sockopt};
use smol::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::time::Duration;

/// Maximum number of connections that wait to be accepted.
const BACKLOG: i32 = 128;
/// Delay after a failed accept, which is mostly due to a lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

enum State {
    Open(TcpListener),
    /// Bound but not listening: connections are refused and no other process can bind the port.
    Refusing(OwnedFd),
    /// The previous change failed after it had closed the socket.
    Unbound,
}

/// A listener that reserves its port while it refuses connections.
pub(super) struct Listener {
    address: SocketAddr,
    state: State,
}

impl Listener {
    pub(super) fn bind(address: SocketAddr) -> io::Result<Self> {
        let socket = bind_socket(address)?;
        let listener = listen(socket)?;
        Ok(Self {
            address: listener.local_addr()?,
            state: State::Open(listener),
        })
    }

    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts connections from now on if `accepting` is set, and refuses them otherwise.
    pub(super) fn set_accepting(&mut self, accepting: bool) -> io::Result<()> {
        self.state = match (
            std::mem::replace(&mut self.state, State::Unbound),
            accepting,
        ) {
            (State::Open(listener), false) => {
                drop(listener);
                State::Refusing(bind_socket(self.address)?)
            }
            (State::Refusing(socket), true) => State::Open(listen(socket)?),
            (State::Unbound, true) => State::Open(listen(bind_socket(self.address)?)?),
            (State::Unbound, false) => State::Refusing(bind_socket(self.address)?),
            (state, _) => state,
        };
        Ok(())
    }

    /// Returns the next connection, or `None` after a change or a failed accept.
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
                    smol::Timer::after(ACCEPT_RETRY_DELAY).await;
                    None
                }
            }
        };
        smol::future::or(changed, accepted).await
    }
}

/// Returns a socket that is bound to an address but does not listen.
fn bind_socket(address: SocketAddr) -> io::Result<OwnedFd> {
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

/// Makes a connection end with a reset instead of an orderly close when it is dropped.
pub(super) fn reset_on_drop(stream: &TcpStream) {
    if let Err(error) = sockopt::set_socket_linger(stream, Some(Duration::ZERO)) {
        tracing::warn!(%error, "cannot set up the reset of a connection");
    }
}
