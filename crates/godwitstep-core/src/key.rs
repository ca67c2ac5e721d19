//! The agent's table of idempotency keys: what ran, for whom, and who may still run it.
//!
//! An agent asks the table before it starts a request ([`Table::admit`]), tells it how the run
//! ended ([`Table::finish`]) and answers fences from it ([`Table::fence`]).
//!
//! ```
//! use godwitstep_core::key::{Admit, Ask, End, Owner, Table};
//! use godwitstep_core::router::KeyState;
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(60);
//! let mut table = Table::new(Duration::ZERO);
//! let first = Owner { incarnation: 1, sequence: 1 };
//! let ask = Ask { owner: first, key: "w/k".into(), idempotent: false, age: Duration::ZERO };
//! assert_eq!(table.admit(now, &ask), Admit::Run);
//! table.finish(now, first, &ask.key, End::Answered("body".into()));
//!
//! let second = Owner { incarnation: 1, sequence: 2 };
//! let (state, answer) = table.fence(now, second, &ask.key);
//! assert_eq!(state, KeyState::Answered);
//! assert_eq!(answer.as_deref(), Some(&b"body"[..]));
//! ```

mod answers;
mod table;

pub use table::Table;

use crate::id::{Incarnation, Key};
use crate::reason::Reason;
use bytes::Bytes;
use std::cmp::Ordering;
use std::time::Duration;

/// Identity of a request on the links.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Owner {
    /// Life of the entry that took the request.
    pub incarnation: Incarnation,
    /// Number of the request in that life. Unit: microseconds since the start of the entry, made
    /// unique.
    pub sequence: u64,
}

/// Later requests are greater.
///
/// Agents may receive the fences of two requests with one key in different orders. Each agent
/// gives the key to the greater one, so at most one of them is given it by all agents. An entry
/// numbers its requests by the microseconds since its start, so the sum approximates the
/// wall-clock time of receipt, and a caller's last attempt prevails. Clocks that disagree cost an
/// attempt, never a second run.
impl Ord for Owner {
    fn cmp(&self, other: &Self) -> Ordering {
        let time = |owner: &Self| u128::from(owner.incarnation) + u128::from(owner.sequence);
        time(self)
            .cmp(&time(other))
            .then_with(|| self.incarnation.cmp(&other.incarnation))
    }
}

impl PartialOrd for Owner {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

/// A request that is about to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The request.
    pub owner: Owner,
    /// Its key, prefixed by the workspace and a slash.
    pub key: Key,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Time since the entry took the request, as told by the entry.
    pub age: Duration,
}

/// What an agent does with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admit {
    /// Start it, and call [`Table::finish`] when it has ended.
    Run,
    /// The key runs already; reply to this request as well when that run ends.
    Running,
    /// The key ran; this is the answer.
    Answered(Bytes),
    /// The key ran and failed.
    Failed,
    /// The key may have run, and its answer is not at hand.
    Unknown,
    /// The request does not start. [`Reason::Cancelled`] means that the key belongs to another
    /// request, so the same holds at the other agents.
    Refuse(Reason),
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The target answered.
    Answered(Bytes),
    /// The target says that the request failed.
    Failed,
    /// The target proved not to have started it.
    NotStarted,
    /// It may have run.
    Unknown,
}

/// Bounds of a table.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time for which a key is remembered after its last change.
    pub window: Duration,
    /// Greatest number of keys.
    pub keys: usize,
    /// Greatest size of an answer that is kept. Unit: bytes.
    pub answer: usize,
    /// Greatest size of all answers that are kept. Unit: bytes.
    pub answers: usize,
    /// Longest time that a request spends on a link. The age of a request is measured when it is
    /// sent, so a request that is slow on its way seems younger than it is. A link that is silent
    /// for 1.5 s is closed.
    pub transit: Duration,
}

/// A key takes about 530 bytes with a small answer, so that a full table and all kept answers fit
/// into the 32 MB of an agent. 40,000 keys in 10 minutes are 66 requests a second on one target.
impl Default for Limits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            keys: 40_000,
            answer: 64 * 1024,
            answers: 4 * 1024 * 1024,
            transit: Duration::from_millis(1_500),
        }
    }
}
