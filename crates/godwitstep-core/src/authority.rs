//! Whether this process may start work, given what it knows of the log's tail.
//!
//! A process that is cut off from the log looks, to itself, like one whose log is down. The two
//! are told apart by what its peers know: work goes on without the log only where more than half
//! of the entries see each other and none of them can read it.
//!
//! ```
//! use godwitstep_core::authority::{Evidence, Peers, Standing};
//! use std::time::Duration;
//!
//! let peers = Peers { configured: 3, reachable: 2, with_evidence: 0 };
//! assert_eq!(Standing::judge(None, peers), Standing::Coasting);
//! let fresh = Evidence { tail: 9, age: Duration::from_millis(300) };
//! assert_eq!(Standing::judge(Some(fresh), peers), Standing::Fresh);
//! ```

use crate::id::Offset;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Greatest age of evidence on which new work may start.
pub const EVIDENCE_LIMIT: Duration = Duration::from_secs(2);

/// What is known of the end of a log stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Offset that the next record would have had. Never decreases for one stream.
    pub tail: Offset,
    /// Time since the log service is known to have given this tail.
    pub age: Duration,
}

/// What an entry knows of the entries in its settings, itself included.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peers {
    /// Number of entries in the settings.
    pub configured: usize,
    /// Number of entries with a live link. At most `configured`, at least 1.
    pub reachable: usize,
    /// Number of reachable entries that have evidence within [`EVIDENCE_LIMIT`].
    pub with_evidence: usize,
}

/// What an entry may do at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// The log's tail is known; everything works.
    Fresh,
    /// The log is taken to be down; work starts on the last configuration and claim.
    Coasting,
    /// This process may be cut off; nothing new starts through it.
    Halted,
}

impl Standing {
    /// Derives the standing from this entry's newest evidence and from its peers.
    #[must_use]
    pub fn judge(evidence: Option<Evidence>, peers: Peers) -> Self {
        let fresh = evidence.is_some_and(|known| known.age <= EVIDENCE_LIMIT);
        let majority = peers.reachable * 2 > peers.configured;
        match (fresh, majority, peers.with_evidence) {
            (true, _, _) => Self::Fresh,
            (false, true, 0) => Self::Coasting,
            _ => Self::Halted,
        }
    }

    /// Reports whether new work may start.
    #[must_use]
    pub const fn may_start(self) -> bool {
        !matches!(self, Self::Halted)
    }

    /// Reports whether a durable promise can be made.
    #[must_use]
    pub const fn may_promise(self) -> bool {
        matches!(self, Self::Fresh)
    }
}
