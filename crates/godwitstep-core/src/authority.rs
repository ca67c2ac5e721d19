//! Decides whether this process may start work, based on its newest evidence of the log's tail.
//!
//! A process can't distinguish by itself whether it is disconnected from the log or the log is
//! down. It uses the evidence of its peers as well: work continues without the log only where more
//! than half of the entries are connected to each other and none of them can read the log.
//!
//! ```
//! use godwitstep_core::authority::{Evidence, Peers, OperatingMode};
//! use std::time::Duration;
//!
//! let peers = Peers { configured: 3, reachable: 2, with_evidence: 0 };
//! assert_eq!(OperatingMode::derive(None, peers), OperatingMode::Degraded);
//! let fresh = Evidence { tail: 9, age: Duration::from_millis(300) };
//! assert_eq!(OperatingMode::derive(Some(fresh), peers), OperatingMode::Normal);
//! ```

use crate::id::Offset;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Maximum age of evidence on which new work may start.
pub const EVIDENCE_LIMIT: Duration = Duration::from_secs(2);

/// Latest reported tail of a log stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// Offset of the next record at the time of the evidence. Never decreases for one stream.
    pub tail: Offset,
    /// Time since the log service is known to have reported this tail.
    pub age: Duration,
}

/// State of the entries in the settings as known to one entry, including that entry itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peers {
    /// Number of entries in the settings.
    pub configured: usize,
    /// Number of entries with an open link, including this one: 1 to `configured`.
    pub reachable: usize,
    /// Number of reachable entries whose evidence is at most [`EVIDENCE_LIMIT`] old.
    pub with_evidence: usize,
}

/// Operating mode of an entry, which decides whether it may start work. Derived from its evidence
/// and its peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OperatingMode {
    /// The log's tail is known; all work is allowed.
    #[serde(rename = "fresh")]
    Normal,
    /// The log is considered down; work starts based on the last configuration and claim.
    #[serde(rename = "coasting")]
    Degraded,
    /// This process may be disconnected from the log; it starts no new work.
    Halted,
}

impl OperatingMode {
    /// Derives the operating mode from this entry's newest evidence and the state of its peers.
    #[must_use]
    pub fn derive(evidence: Option<Evidence>, peers: Peers) -> Self {
        let fresh = evidence.is_some_and(|evidence| evidence.age <= EVIDENCE_LIMIT);
        let majority = peers.reachable * 2 > peers.configured;
        match (fresh, majority, peers.with_evidence) {
            (true, _, _) => Self::Normal,
            (false, true, 0) => Self::Degraded,
            _ => Self::Halted,
        }
    }

    /// Reports whether new work may start.
    #[must_use]
    pub const fn may_start(self) -> bool {
        !matches!(self, Self::Halted)
    }

    /// Reports whether an acknowledgement that must survive failures can be given.
    #[must_use]
    pub const fn may_record(self) -> bool {
        matches!(self, Self::Normal)
    }
}
