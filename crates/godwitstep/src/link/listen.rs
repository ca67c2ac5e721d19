//! Links that other processes open.

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

/// Delay after a failed accept, which mostly means that file descriptors are used up.
const ACCEPT_DELAY: Duration = Duration::from_millis(100);

/// The newest link of a peer.
struct Current {
    link: Link,
    /// Closed when the link has delivered its last event.
    gone: Receiver<()>,
}

struct Listener {
    identity: Peer,
    key: Key,
    events: Sender<Event>,
    unauthenticated: Cell<usize>,
    peers: RefCell<HashMap<Name, Current>>,
}

/// Accepts links and keeps at most one for each peer name.
///
/// A new link of the same incarnation or of a newer one replaces the earlier link, which may be
/// silent without having failed; an older incarnation is refused. Returns when nobody receives
/// `events` any more.
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
    // A newer incarnation may have come while the welcome was sent.
    if let Err(cause) = shared.admit(&socket.peer) {
        tracing::warn!(peer = %socket.peer.name, %cause, "link refused");
        return;
    }
    let (link, woken) = Link::new(socket.peer.clone());
    let (done, gone) = smol::channel::bounded(1);
    if let Some(earlier) = shared.replace(&link, gone) {
        earlier.link.end(format!("replaced by link {}", link.id()));
        // Fails when the earlier link has delivered its `Down`.
        let _ = earlier.gone.recv().await;
    }
    drive(socket, link.clone(), woken, &shared.events).await;
    shared.forget(&link);
    drop(done);
}

impl Listener {
    /// Refuses a peer that is linked under a newer incarnation.
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

    /// Makes the link the newest of its peer and returns the one that it replaces.
    fn replace(&self, link: &Link, gone: Receiver<()>) -> Option<Current> {
        let current = Current {
            link: link.clone(),
            gone,
        };
        let mut peers = self.peers.borrow_mut();
        peers.insert(link.peer().name.clone(), current)
    }

    /// Removes the link unless a newer one has taken its place.
    fn forget(&self, link: &Link) {
        let mut peers = self.peers.borrow_mut();
        if peers
            .get(&link.peer().name)
            .is_some_and(|current| current.link.id() == link.id())
        {
            peers.remove(&link.peer().name);
        }
    }
}
