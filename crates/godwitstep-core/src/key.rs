//! The agent's table of idempotency keys: which keys ran, for which request, and which request may
//! still run a key.
//!
//! An agent checks the table before it starts a request ([`Table::admit`]), records in it how the
//! run ended ([`Table::finish`]) and answers fences from it ([`Table::fence`]).
//!
//! ```
//! use godwitstep_core::key::{Admission, AdmissionRequest, End, Owner, Table};
//! use godwitstep_core::router::KeyState;
//! use std::time::Duration;
//!
//! let now = Duration::from_secs(60);
//! let mut table = Table::new(Duration::ZERO);
//! let first = Owner { incarnation: 1, sequence: 1 };
//! let request = AdmissionRequest {
//!     owner: first,
//!     key: "w/k".into(),
//!     idempotent: false,
//!     age: Duration::ZERO,
//! };
//! assert_eq!(table.admit(now, &request), Admission::Run);
//! table.finish(now, first, &request.key, End::Answered("body".into()));
//!
//! let second = Owner { incarnation: 1, sequence: 2 };
//! let (state, answer) = table.fence(now, second, &request.key);
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
    /// Incarnation of the entry that received the request.
    pub incarnation: Incarnation,
    /// Number of the request in that incarnation: the time of receipt in microseconds since the
    /// start of the entry, made unique.
    pub sequence: u64,
}

/// Later requests compare greater.
///
/// Agents may receive the fences of two requests with the same key in different orders. Each agent
/// makes the greater request the owner of the key, so at most one request owns the key on all
/// agents. An entry numbers its requests by the microseconds since its start, so the sum
/// approximates the wall-clock time of receipt, and a caller's last attempt wins. Clock skew
/// between entries can make an attempt fail but never causes a second run.
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
pub struct AdmissionRequest {
    /// Identity of the request, which becomes the owner of the key.
    pub owner: Owner,
    /// Idempotency key, prefixed by the workspace and a slash.
    pub key: Key,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time since the entry received the request, as reported by the entry.
    pub age: Duration,
}

/// Decision of [`Table::admit`] about a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// Start the request, and call [`Table::finish`] when it has ended.
    Run,
    /// The key is already running; reply to this request as well when that run ends.
    Running,
    /// The key has run; this is the stored answer.
    Answered(Bytes),
    /// The key has run and failed.
    Failed,
    /// The key may have run, and its answer is not stored.
    Unknown,
    /// The request must not start. [`Reason::Cancelled`] means that another request owns the key,
    /// so the other agents refuse it as well.
    Refuse(Reason),
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The target answered.
    Answered(Bytes),
    /// The target reported that the request failed.
    Failed,
    /// The target is known not to have started the request.
    NotStarted,
    /// The request may have run.
    Unknown,
}

/// Limits of a [`Table`].
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Time for which a key is stored after its last change.
    pub window: Duration,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum size of a stored answer. Unit: bytes.
    pub max_answer_bytes: usize,
    /// Maximum size of all stored answers together. Unit: bytes.
    pub max_total_answer_bytes: usize,
    /// Maximum time that a request spends on a link. The age of a request is measured when it is
    /// sent, so a request that is delayed on the link appears younger than it is. A link without a
    /// message for 1.5 s is closed.
    pub transit: Duration,
}

/// A key with a small answer takes about 530 bytes, so a full table and all stored answers fit into
/// the 32 MB of an agent. 40,000 keys in 10 minutes correspond to 66 requests per second on one
/// target.
impl Default for Limits {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(600),
            max_keys: 40_000,
            max_answer_bytes: 64 * 1024,
            max_total_answer_bytes: 4 * 1024 * 1024,
            transit: Duration::from_millis(1_500),
        }
    }
}
