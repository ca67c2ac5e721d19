//! Connections of one server and the signals that close them.

use super::admission::{Group, Sender};
use super::clock::Clock;
use super::connections::{BLOCKED_TIME, ConnectionId, Connections, Entrance, Phase};
use super::pool::{Buffer, Charge, Pool};
use super::pressure::Pressure;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::future::poll_fn;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::Duration;

/// Size from which a response is charged. Smaller ones fit into the kernel's buffer and the memory of a connection. Unit:
/// bytes.
const MIN_CHARGED_RESPONSE: usize = 16 * 1024;

/// Connections of one server.
#[derive(Debug)]
pub struct Gate {
    /// Name of the server in logs and metrics.
    server: &'static str,
    clock: Clock,
    pool: Rc<Pool>,
    table: RefCell<Connections>,
    signals: RefCell<HashMap<ConnectionId, Rc<CloseSignal>>>,
    pressure: RefCell<Pressure>,
    /// Memory of one connection, for the metrics. Unit: bytes.
    connection_memory: usize,
}

/// Signal that closes a displaced connection.
#[derive(Debug, Default)]
struct CloseSignal {
    sent: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

/// A connection that is served. Its place is released on drop.
#[derive(Debug)]
pub struct Place {
    gate: Rc<Gate>,
    id: ConnectionId,
    peer: Option<IpAddr>,
    signal: Rc<CloseSignal>,
}

impl Gate {
    /// Returns the gate of a server with at most `limit` connections of `connection_memory` bytes each.
    pub fn new(
        server: &'static str,
        clock: Clock,
        pool: Rc<Pool>,
        limit: usize,
        connection_memory: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            server,
            clock,
            pool,
            table: RefCell::new(Connections::new(limit)),
            signals: RefCell::default(),
            pressure: RefCell::default(),
            connection_memory,
        })
    }

    /// Returns whether another connection may be accepted. If not, displaced ones have to end first.
    pub fn accepts(&self) -> bool {
        self.table.borrow().accepts()
    }

    /// Returns whether most connections are in use, so that heads get less time.
    pub fn is_scarce(&self) -> bool {
        self.table.borrow().is_scarce()
    }

    /// Gives a new connection a place, for which another connection may be closed. Returns `None` if the connections
    /// all have requests in progress.
    pub fn open(self: &Rc<Self>, peer: Option<IpAddr>) -> Option<Rc<Place>> {
        let entrance = self.table.borrow_mut().open(self.clock.now(), peer);
        let Entrance::Admitted { id, displaced } = entrance else {
            self.record("connections");
            return None;
        };
        if let Some(victim) = displaced {
            self.close(victim);
        }
        let signal = Rc::<CloseSignal>::default();
        self.signals.borrow_mut().insert(id, Rc::clone(&signal));
        let gate = Rc::clone(self);
        Some(Rc::new(Place {
            gate,
            id,
            peer,
            signal,
        }))
    }

    /// Closes the connection with the least progress, to free its descriptor.
    pub fn displace(&self) {
        if !self.accepts() {
            return;
        }
        let victim = self.table.borrow_mut().displace(self.clock.now());
        if let Some(victim) = victim {
            self.close(victim);
        }
    }

    /// Closes the connection whose peer has not read its response for the longest time, of at least `time`.
    fn displace_blocked(&self, time: Duration) {
        if !self.accepts() {
            return;
        }
        let now = self.clock.now();
        let victim = self.table.borrow_mut().displace_blocked(now, time);
        if let Some(victim) = victim {
            self.close(victim);
        }
    }

    /// Updates the metrics and logs the end of a shortage.
    pub fn publish(&self) {
        let now = self.clock.now();
        let table = self.table.borrow();
        for phase in Phase::ALL {
            super::report::connections(self.server, phase.name(), table.count(phase));
        }
        super::report::held(
            "connection",
            self.server,
            table.len().saturating_mul(self.connection_memory),
        );
        let ended = self.pressure.borrow_mut().take_ended(now);
        if let Some(shortage) = ended {
            super::report::shortage_ended(self.server, "connections", &shortage, now);
        }
    }

    fn close(&self, id: ConnectionId) {
        let signal = self.signals.borrow_mut().remove(&id);
        if let Some(signal) = signal {
            signal.sent.set(true);
            if let Some(waker) = signal.waker.take() {
                waker.wake();
            }
        }
        self.record("displaced_connection");
    }

    fn record(&self, reason: &'static str) {
        super::report::refusal(self.pool.name(), reason);
        if self.pressure.borrow_mut().record(self.clock.now()) {
            super::report::shortage_began(self.server, "connections", reason);
        }
    }
}

impl Place {
    /// Waits until the connection has to be closed, because another one needs its place.
    pub async fn displaced(&self) {
        poll_fn(|context| {
            if self.signal.sent.get() {
                return Poll::Ready(());
            }
            let mut waker = self.signal.waker.borrow_mut();
            match &mut *waker {
                Some(waker) => waker.clone_from(context.waker()),
                None => *waker = Some(context.waker().clone()),
            }
            Poll::Pending
        })
        .await;
    }

    /// Enters a phase.
    pub fn enter(&self, phase: Phase) {
        let now = self.gate.clock.now();
        self.gate.table.borrow_mut().enter(now, self.id, phase);
    }

    /// Counts received bytes of a body as progress.
    pub fn receive(&self, bytes: usize) {
        let now = self.gate.clock.now();
        self.gate.table.borrow_mut().receive(now, self.id, bytes);
    }

    /// Records that a write begins or ends to wait for the peer.
    pub fn set_blocked(&self, blocked: bool) {
        let since = blocked.then(|| self.gate.clock.now());
        self.gate.table.borrow_mut().set_blocked(self.id, since);
    }

    /// Frees memory that a response takes which is not read, after a request was refused for lack of memory.
    pub fn relieve(&self) {
        self.gate.displace_blocked(BLOCKED_TIME);
    }

    /// Begins to hold a response of at least [`MIN_CHARGED_RESPONSE`] bytes. If that exceeds the memory, peers that do
    /// not read their responses are closed, two for each new one, so that the excess does not last.
    pub fn begin_response(&self, bytes: usize) -> Option<Charge> {
        if bytes < MIN_CHARGED_RESPONSE {
            return None;
        }
        let sender = Sender {
            peer: self.peer,
            group: None,
        };
        let charge = self.gate.pool.begin_response(sender, bytes);
        for _ in 0..2 {
            if self.gate.pool.is_exceeded() {
                self.gate.displace_blocked(Duration::ZERO);
            }
        }
        Some(charge)
    }

    /// Begins to hold the body of a request in `buffer`.
    pub fn begin_body(&self, group: Option<Group>, buffer: &Rc<Buffer>) -> Charge {
        let peer = self.peer;
        self.gate.pool.begin(Sender { peer, group }, buffer)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut table = self.gate.table.borrow_mut();
        if self.signal.sent.get() {
            table.end_displaced();
        } else {
            table.end(self.id);
            self.gate.signals.borrow_mut().remove(&self.id);
        }
    }
}
