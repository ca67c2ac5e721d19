//! Discovery of the decider by an agent.
//!
//! An agent calls the last known decider first. If none is known, it asks the entries round-robin; each replies
//! with the decider that it knows. Once all have been asked, the agent has to search the log. It searches the log
//! earlier if entries do not answer: any number of the announced ones may have been lost, and each of them costs the
//! timeout of a call.
//!
//! ```
//! use godwitstep_batch::agent::DeciderSearch;
//! use std::time::Duration;
//!
//! let entry = "10.0.0.1:7000".parse().unwrap();
//! let decider = "10.0.0.2:7000".parse().unwrap();
//! let mut search = DeciderSearch::new(vec![entry]);
//! search.log_searched(Duration::ZERO, Vec::new(), None);
//! let now = Duration::ZERO;
//! assert_eq!(search.next_address(now), Some(entry));
//! assert!(search.redirected(now, entry, Some((7, decider))));
//! assert_eq!(search.next_address(now), Some(decider));
//! ```

use crate::id::Epoch;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which an address that did not answer is not called again. Every entry may refer to the same failed
/// decider, and asking all of many entries takes longer than a lease.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Number of calls in a row without an answer after which the log is searched before further entries are asked. With
/// the timeout of a call, 900 ms, an agent reads the newest claim well within its lease.
const MAX_UNANSWERED: u32 = 2;
/// Minimum time between two searches of the log while there are entries to ask. Hosts may refuse connections at once,
/// and reads of the log are limited for all hosts together.
const LOG_SEARCH_INTERVAL: Duration = Duration::from_secs(1);

/// Addresses at which the decider may be found.
#[derive(Debug)]
pub struct DeciderSearch {
    /// Epoch and address of the last known decider.
    decider: Option<(Epoch, SocketAddr)>,
    /// Entries that may know the decider.
    entries: Vec<SocketAddr>,
    /// Index of the entry that was asked last, modulo the number of entries.
    cursor: usize,
    /// Number of entries asked since the decider last answered or the log was last searched.
    asked: usize,
    /// Number of calls that were not answered since a process last answered or the log was last searched.
    unanswered: u32,
    /// When the log was last searched.
    log_searched_at: Option<Duration>,
    /// Whether the last search of the log failed. All entries are asked before the next one, which may take longer
    /// than that.
    log_failed: bool,
    /// Epoch of the decider that last failed to answer, and when.
    failed_decider: Option<(Epoch, Duration)>,
    /// Address that last failed to answer, and when.
    failed_address: Option<(SocketAddr, Duration)>,
}

impl DeciderSearch {
    /// Creates a search over some entries; the log is searched before these are asked.
    #[must_use]
    pub const fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            decider: None,
            entries,
            cursor: 0,
            asked: usize::MAX,
            unanswered: 0,
            log_searched_at: None,
            log_failed: false,
            failed_decider: None,
            failed_address: None,
        }
    }

    /// Returns the address of the last known decider.
    #[must_use]
    pub fn decider(&self) -> Option<SocketAddr> {
        self.decider.map(|(_, address)| address)
    }

    /// Records that a decider answered, and the entries that it knows.
    pub fn decider_answered(&mut self, address: SocketAddr, epoch: Epoch, entries: &[SocketAddr]) {
        self.decider = Some((epoch, address));
        self.asked = 0;
        self.unanswered = 0;
        self.failed_decider = None;
        self.failed_address = None;
        if !entries.is_empty() {
            self.entries = entries.to_vec();
        }
    }

    /// Records that the process at an address is not the decider, and the decider to which it refers, if any.
    /// Returns whether that decider is called next.
    pub fn redirected(
        &mut self,
        now: Duration,
        address: SocketAddr,
        decider: Option<(Epoch, SocketAddr)>,
    ) -> bool {
        self.unanswered = 0;
        let newer = decider.filter(|(epoch, other)| {
            let known = self.decider;
            let newer = known.is_none_or(|(own, at)| *epoch > own || at == address);
            newer && *other != address && !self.decider_failed(now, *epoch)
        });
        match newer {
            Some(_) => self.decider = newer,
            None => self.forget(address),
        }
        newer.is_some()
    }

    /// Returns whether the decider of an epoch failed to answer within the last [`FAILURE_BACKOFF`].
    fn decider_failed(&self, now: Duration, epoch: Epoch) -> bool {
        self.failed_decider
            .is_some_and(|(failed, at)| failed == epoch && now < at + FAILURE_BACKOFF)
    }

    /// Records that the process at an address did not answer.
    pub fn call_failed(&mut self, now: Duration, address: SocketAddr) {
        if let Some((epoch, _)) = self.decider.filter(|(_, known)| *known == address) {
            self.failed_decider = Some((epoch, now));
        }
        self.failed_address = Some((address, now));
        self.unanswered = self.unanswered.saturating_add(1);
        self.forget(address);
    }

    fn forget(&mut self, address: SocketAddr) {
        self.decider.take_if(|(_, known)| *known == address);
    }

    /// Records the result of searching the log: the announced entries and the decider of the newest claim. The log
    /// contains the claim of a failed decider until another entry replaces it.
    pub fn log_searched(
        &mut self,
        now: Duration,
        entries: Vec<SocketAddr>,
        decider: Option<(Epoch, SocketAddr)>,
    ) {
        self.asked = 0;
        self.unanswered = 0;
        self.log_searched_at = Some(now);
        self.log_failed = false;
        if !entries.is_empty() {
            self.entries = entries;
        }
        let decider = decider.filter(|(epoch, _)| !self.decider_failed(now, *epoch));
        self.decider = decider.or(self.decider);
    }

    /// Records that the log could not be searched.
    pub const fn log_search_failed(&mut self) {
        self.asked = 0;
        self.unanswered = 0;
        self.log_failed = true;
    }

    /// Returns the address to call next; `None` if the log has to be searched.
    pub fn next_address(&mut self, now: Duration) -> Option<SocketAddr> {
        if let Some((_, address)) = self.decider {
            return Some(address);
        }
        if self.unanswered >= MAX_UNANSWERED && self.may_search_log(now) {
            return None;
        }
        while self.asked < self.entries.len() {
            self.asked += 1;
            self.cursor += 1;
            let entry = self.entries[self.cursor % self.entries.len()];
            if !self.address_failed(now, entry) {
                return Some(entry);
            }
        }
        None
    }

    /// Returns whether the log may be searched before all entries have been asked.
    fn may_search_log(&self, now: Duration) -> bool {
        let recent = |at: Duration| now < at + LOG_SEARCH_INTERVAL;
        !self.log_failed && !self.log_searched_at.is_some_and(recent)
    }

    /// Returns whether the process at an address failed to answer within the last [`FAILURE_BACKOFF`].
    fn address_failed(&self, now: Duration, address: SocketAddr) -> bool {
        self.failed_address
            .is_some_and(|(failed, at)| failed == address && now < at + FAILURE_BACKOFF)
    }
}
