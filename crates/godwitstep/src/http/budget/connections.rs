//! Decides which connections a server keeps. No I/O.
//!
//! Answers the load of many connections that stay open: without a request, with a head or body that does not end, or
//! with a response that is not read. At the limit, a new connection displaces the one with the least progress:
//!
//! 1. one that has waited for a head (its first or its next one) for [`HEAD_TIME`], the longest wait first;
//! 2. one whose peer has read nothing of a response for [`BLOCKED_TIME`];
//! 3. one that sends a body or has just begun to wait for a head, the one with the least progress first.
//!
//! Within each kind, connections of peers beyond their equal share come first. A connection whose request was passed on
//! is not displaced: the request may have run, and its caller needs the response.

use super::progress::Progress;
use super::shares::Shares;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::IpAddr;
use std::time::Duration;

/// Identifier of a connection, unique within [`Connections`].
pub type ConnectionId = u64;

/// Time without any progress of a write after which a connection may be displaced. A client that reads at all makes
/// progress within one round trip, even after a lost packet.
pub const BLOCKED_TIME: Duration = Duration::from_secs(2);
/// Time for the head of a request before its connection counts as waiting. Without it, a client that has just connected
/// would be closed in favour of the next one while bodies that stop short of their end keep their places.
pub const HEAD_TIME: Duration = Duration::from_millis(500);
/// Maximum number of displaced connections that have not ended yet. Bounds the descriptors beyond the limit.
pub const MAX_CLOSING: usize = 16;
/// Number of connections that a peer may have without exceeding its share, as for a client with a pool.
const MIN_PEER_CONNECTIONS: usize = 16;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// It waits for a request's head, or is idle.
    Waiting,
    /// It receives a request's body.
    Reading,
    /// Its request was passed on, or needs no body.
    Running,
    /// Its response is being sent.
    Responding,
}

impl Phase {
    /// All phases.
    pub const ALL: [Self; 4] = [
        Self::Waiting,
        Self::Reading,
        Self::Running,
        Self::Responding,
    ];

    /// Returns the name in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Reading => "reading",
            Self::Running => "running",
            Self::Responding => "responding",
        }
    }
}

#[derive(Debug)]
struct Connection {
    peer: Option<IpAddr>,
    phase: Phase,
    /// Beginning of the phase.
    since: Duration,
    progress: Progress,
    /// Since when a write makes no progress.
    blocked_since: Option<Duration>,
}

/// Whether a new connection is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entrance {
    /// It is served; another connection may have to be closed for it.
    Admitted {
        /// The new connection.
        id: ConnectionId,
        /// The connection to close.
        displaced: Option<ConnectionId>,
    },
    /// All connections have requests in progress. The new one is answered 503.
    Full,
}

/// Connections of one server.
///
/// Invariant: at most `limit` connections are kept, besides at most [`MAX_CLOSING`] displaced ones that have not ended.
#[derive(Debug)]
pub struct Connections {
    limit: usize,
    kept: HashMap<ConnectionId, Connection>,
    peers: Shares<IpAddr>,
    closing: usize,
    next: ConnectionId,
}

impl Connections {
    /// Returns a table of at most `limit` connections.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            kept: HashMap::new(),
            peers: Shares::default(),
            closing: 0,
            next: 0,
        }
    }

    /// Returns whether another connection may be accepted. If not, displaced ones have to end first.
    #[must_use]
    pub const fn accepts(&self) -> bool {
        self.closing < MAX_CLOSING
    }

    /// Returns whether over three quarters of the connections are in use.
    #[must_use]
    pub fn is_scarce(&self) -> bool {
        self.kept.len() > self.limit / 4 * 3
    }

    /// Returns the number of connections in a phase.
    #[must_use]
    pub fn count(&self, phase: Phase) -> usize {
        self.kept
            .values()
            .filter(|connection| connection.phase == phase)
            .count()
    }

    /// Returns the number of connections.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether there are no connections.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty() && self.closing == 0
    }

    /// Decides on a new connection.
    pub fn open(&mut self, now: Duration, peer: Option<IpAddr>) -> Entrance {
        let displaced = if self.kept.len() >= self.limit {
            match self.displace(now) {
                Some(victim) => Some(victim),
                None => return Entrance::Full,
            }
        } else {
            None
        };
        let id = self.next;
        self.next += 1;
        let connection = Connection {
            peer,
            phase: Phase::Waiting,
            since: now,
            progress: Progress::new(now),
            blocked_since: None,
        };
        self.kept.insert(id, connection);
        if let Some(peer) = peer {
            self.peers.add(peer, 1);
        }
        Entrance::Admitted { id, displaced }
    }

    /// Selects the connection with the least progress and stops keeping it. It counts as closing until
    /// [`Connections::end_displaced`].
    pub fn displace(&mut self, now: Duration) -> Option<ConnectionId> {
        let victim = self.victim(now)?;
        self.end(victim);
        self.closing += 1;
        Some(victim)
    }

    /// Selects the connection whose peer has not read its response for the longest time, of at least `time`, and stops
    /// keeping it like [`Connections::displace`].
    pub fn displace_blocked(&mut self, now: Duration, time: Duration) -> Option<ConnectionId> {
        let blocked = self.kept.iter().filter_map(|(id, connection)| {
            let since = connection.blocked_since?;
            (now.saturating_sub(since) >= time).then_some((since, *id))
        });
        let (_, victim) = blocked.min()?;
        self.end(victim);
        self.closing += 1;
        Some(victim)
    }

    /// Enters a phase.
    pub fn enter(&mut self, now: Duration, id: ConnectionId, phase: Phase) {
        if let Some(connection) = self.kept.get_mut(&id) {
            connection.phase = phase;
            connection.since = now;
            if matches!(phase, Phase::Reading | Phase::Waiting) {
                connection.progress = Progress::new(now);
            }
        }
    }

    /// Counts received bytes of a body.
    pub fn receive(&mut self, now: Duration, id: ConnectionId, bytes: usize) {
        if let Some(connection) = self.kept.get_mut(&id) {
            connection.progress.add(now, bytes);
        }
    }

    /// Records that a write waits for the peer since `since`, or waits no longer.
    pub fn set_blocked(&mut self, id: ConnectionId, since: Option<Duration>) {
        if let Some(connection) = self.kept.get_mut(&id) {
            connection.blocked_since = since;
        }
    }

    /// Removes a connection. Does nothing if it was displaced.
    pub fn end(&mut self, id: ConnectionId) {
        if let Some(connection) = self.kept.remove(&id)
            && let Some(peer) = connection.peer
        {
            self.peers.remove(&peer, 1);
        }
    }

    /// Records that a displaced connection has ended.
    pub const fn end_displaced(&mut self) {
        self.closing = self.closing.saturating_sub(1);
    }

    fn victim(&self, now: Duration) -> Option<ConnectionId> {
        self.kept
            .iter()
            .filter_map(|(id, connection)| {
                let rank = rank(connection, now)?;
                Some((rank, self.exceeds_share(connection), *id, connection))
            })
            .min_by(
                |(rank, exceeds, id, one), (other_rank, other_exceeds, other_id, other)| {
                    let by_rank =
                        (rank, Reverse(exceeds)).cmp(&(other_rank, Reverse(other_exceeds)));
                    let by_progress = || match rank {
                        Rank::Sending => {
                            let progress = one.progress.value_at(now);
                            progress.total_cmp(&other.progress.value_at(now))
                        }
                        Rank::Waiting | Rank::Blocked => one.since.cmp(&other.since),
                    };
                    by_rank.then_with(by_progress).then(id.cmp(other_id))
                },
            )
            .map(|(_, _, id, _)| id)
    }

    fn exceeds_share(&self, connection: &Connection) -> bool {
        connection.peer.is_some_and(|peer| {
            self.peers
                .exceeds(&peer, 0, self.limit, MIN_PEER_CONNECTIONS)
        })
    }
}

/// Kinds of connections that may be displaced, the first to displace first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Waiting,
    Blocked,
    Sending,
}

/// Returns the kind of a connection, or `None` if it may not be displaced.
fn rank(connection: &Connection, now: Duration) -> Option<Rank> {
    let blocked = connection.blocked_since;
    match (connection.phase, blocked) {
        (Phase::Waiting, None) if now.saturating_sub(connection.since) >= HEAD_TIME => {
            Some(Rank::Waiting)
        }
        (Phase::Waiting | Phase::Reading, None) => Some(Rank::Sending),
        (Phase::Running, _) | (Phase::Responding, None) => None,
        (_, Some(since)) => (now.saturating_sub(since) >= BLOCKED_TIME).then_some(Rank::Blocked),
    }
}
