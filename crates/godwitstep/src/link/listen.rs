//! Accepts links that other processes open.

use super::MAX_UNAUTHENTICATED;
use super::drive::drive;
use super::error::Cause;
use super::handle::{Event, Link};
use super::handshake::respond;
use godwitstep_core::id::{Incarnation, Name};
use godwitstep_wire::Peer;
use godwitstep_wire::auth::Key;
use smol::LocalExecutor;
use smol::channel::{Receiver, Sender};
use smol::net::{TcpListener, TcpStream};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Delay after a failed accept. The usual cause is that the process has no free file descriptors.
const ACCEPT_DELAY: Duration = Duration::from_millis(100);

/// The newest link of a peer.
struct CurrentLink {
    link: Link,
    /// Channel that is closed once the link has delivered its last event.
    closed: Receiver<()>,
}

struct Listener {
    identity: Peer,
    key: Key,
    events: Sender<Event>,
    unauthenticated: Cell<usize>,
    peers: RefCell<HashMap<Name, CurrentLink>>,
}

/// Accepts links and keeps at most one for each peer name.
///
/// A new link of the same or a newer incarnation replaces the earlier link, which may be dead
/// without having reported an error; an older incarnation is refused. Returns when the receiver of
/// `events` is closed.
pub async fn listen(listener: TcpListener, identity: Peer, key: Key, events: Sender<Event>) {
    let executor = LocalExecutor::new();
    let shared = Rc::new(Listener {
        identity,
        key,
        events,
        unauthenticated: Cell::new(0),
        peers: RefCell::default(),
    });
    let accept = async {
        while !shared.events.is_closed() {
            match listener.accept().await {
                Ok((tcp, address)) => {
                    if shared.unauthenticated.get() >= MAX_UNAUTHENTICATED {
                        tracing::warn!(%address, "too many unauthenticated connections");
                        continue;
                    }
                    shared.unauthenticated.set(shared.unauthenticated.get() + 1);
                    executor
                        .spawn(serve(Rc::clone(&shared), tcp, address))
                        .detach();
                }
                Err(error) => {
                    tracing::warn!(%error, "can't accept a link");
                    smol::Timer::after(ACCEPT_DELAY).await;
                }
            }
        }
    };
    executor.run(accept).await;
}

async fn serve(shared: Rc<Listener>, tcp: TcpStream, address: SocketAddr) {
    let admit = |peer: &Peer| shared.admit(peer);
    let address = address.to_string();
    let socket = respond(tcp, &address, &shared.identity, &shared.key, admit).await;
    shared.unauthenticated.set(shared.unauthenticated.get() - 1);
    let socket = match socket {
        Ok(socket) => socket,
        Err(error) => {
            tracing::warn!(%error, "link refused");
            return;
        }
    };
    // A newer incarnation may have linked while the welcome was being sent.
    if let Err(cause) = shared.admit(&socket.peer) {
        tracing::warn!(peer = %socket.peer.name, %cause, "link refused");
        return;
    }
    let (link, queue_changed) = Link::new(socket.peer.clone());
    let (done, closed) = smol::channel::bounded(1);
    if let Some(earlier) = shared.replace(&link, closed) {
        earlier.link.end(format!("replaced by link {}", link.id()));
        // Returns an error once the earlier link has delivered its `Down`.
        let _ = earlier.closed.recv().await;
    }
    drive(socket, link.clone(), queue_changed, &shared.events).await;
    shared.unregister(&link);
    drop(done);
}

impl Listener {
    /// Refuses a peer whose name is already linked with a newer incarnation.
    fn admit(&self, peer: &Peer) -> Result<(), Cause> {
        match self.linked(peer) {
            Some(linked) if linked > peer.incarnation => Err(Cause::Outdated {
                theirs: peer.incarnation,
                linked,
            }),
            _ => Ok(()),
        }
    }

    fn linked(&self, peer: &Peer) -> Option<Incarnation> {
        let peers = self.peers.borrow();
        Some(peers.get(&peer.name)?.link.peer().incarnation)
    }

    /// Registers the link as the current one of its peer and returns the one that it replaces.
    fn replace(&self, link: &Link, closed: Receiver<()>) -> Option<CurrentLink> {
        let current = CurrentLink {
            link: link.clone(),
            closed,
        };
        let mut peers = self.peers.borrow_mut();
        peers.insert(link.peer().name.clone(), current)
    }

    /// Removes the link from the registry unless a newer link has replaced it.
    fn unregister(&self, link: &Link) {
        let mut peers = self.peers.borrow_mut();
        if peers
            .get(&link.peer().name)
            .is_some_and(|current| current.link.id() == link.id())
        {
            peers.remove(&link.peer().name);
        }
    }
}
