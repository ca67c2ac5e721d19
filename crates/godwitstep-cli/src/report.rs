//! The service-level report of a region, merged from its entries.

mod gather;
mod text;

use godwitstep_core::burn::{Ledger, Line};
use std::net::SocketAddr;
use std::time::SystemTime;

/// What the entries counted, and what could not be seen.
pub struct Report {
    /// When it was made.
    pub at: SystemTime,
    /// One line for each workspace and kind.
    pub lines: Vec<Line>,
    /// Counters of all entries that answered.
    pub ledger: Ledger,
    /// Entries that answered.
    pub seen: Vec<Seen>,
    /// Servers that did not answer, and why.
    pub missing: Vec<(SocketAddr, String)>,
    /// Number of entries that the region has, by their settings.
    pub entries: u64,
    /// Objective and priority by workspace and kind.
    pub objectives: std::collections::BTreeMap<(String, String), Objective>,
}

/// An entry that answered.
pub struct Seen {
    /// Where it was asked.
    pub server: SocketAddr,
    /// Its name.
    pub entry: String,
    /// Time since which this life of the entry counts.
    pub since: Option<SystemTime>,
}

/// What a kind declares.
pub struct Objective {
    /// Longest time to an answer that is on time. Unit: milliseconds.
    pub objective_ms: u64,
    /// `urgent`, `normal` or `patient`.
    pub priority: String,
}
