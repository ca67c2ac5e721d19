//! Opens links to other processes.

use super::drive::drive;
use super::error::{Cause, Error, Step};
use super::handle::{Event, Link};
use super::handshake::{Socket, initiate};
use super::{HANDSHAKE_TIMEOUT, MAX_BACKOFF, MIN_BACKOFF};
use godwitstep_core::backoff::Backoff;
use godwitstep_wire::Peer;
use godwitstep_wire::auth::Key;
use smol::channel::Sender;
use smol::net::TcpStream;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Minimum duration of a link after which the next attempt is made at once. A shorter link counts
/// as a failed attempt, so that a peer that drops every link is not dialled in a busy loop.
const MIN_STABLE_DURATION: Duration = Duration::from_secs(1);

/// Maintains a link to `address`: reconnects at once after a link was lost, then with a delay that
/// doubles from [`MIN_BACKOFF`] to [`MAX_BACKOFF`], with jitter between half and all of it.
///
/// Returns when the receiver of `events` is closed.
pub async fn dial(address: SocketAddr, identity: Peer, key: Key, events: Sender<Event>) {
    let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF, fastrand::u64(..));
    let mut last = String::new();
    while !events.is_closed() {
        match connect(address, &identity, &key).await {
            Ok(socket) => {
                let since = Instant::now();
                let (link, queue_changed) = Link::new(socket.peer.clone());
                drive(socket, link, queue_changed, &events).await;
                last.clear();
                if since.elapsed() >= MIN_STABLE_DURATION {
                    backoff.reset();
                    continue;
                }
            }
            Err(error) => log_error(&error, &mut last),
        }
        smol::Timer::after(backoff.next_delay()).await;
    }
}

/// Logs an error as a warning if it differs from the last one, otherwise at debug level. An
/// unreachable entry would otherwise add one warning per second to the log.
fn log_error(error: &Error, last: &mut String) {
    let text = error.to_string();
    if text == *last {
        tracing::debug!(error = text, "link failed again");
    } else {
        tracing::warn!(error = text, "link failed");
        *last = text;
    }
}

/// Makes one attempt to open and authenticate a connection.
///
/// # Errors
///
/// Returns an error that names the step and the address if the peer can't be reached, uses
/// another protocol version, fails the authentication, or exceeds the time limit.
pub async fn connect(address: SocketAddr, identity: &Peer, key: &Key) -> Result<Socket, Error> {
    let failed = |cause| Error {
        step: Step::Connect,
        peer: address.to_string(),
        cause,
    };
    let timeout = async {
        smol::Timer::after(HANDSHAKE_TIMEOUT).await;
        Err(failed(Cause::TimedOut(HANDSHAKE_TIMEOUT)))
    };
    let open = async {
        let tcp = TcpStream::connect(address).await;
        tcp.map_err(|error| failed(error.into()))
    };
    let tcp = smol::future::or(open, timeout).await?;
    initiate(tcp, &address.to_string(), identity, key).await
}
