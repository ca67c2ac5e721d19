//! Whom an agent asks for the decider.
//!
//! The decider that was heard of last comes first. When it is not known any more, the entries are asked in turn;
//! each names the decider that it knows of. Once all have been asked, the log is to be searched.
//!
//! ```
//! use godwitstep_batch::agent::Search;
//! use std::time::Duration;
//!
//! let entry = "10.0.0.1:7000".parse().unwrap();
//! let decider = "10.0.0.2:7000".parse().unwrap();
//! let mut search = Search::new(vec![entry]);
//! search.found(Duration::ZERO, Vec::new(), None);
//! let now = Duration::ZERO;
//! assert_eq!(search.next(now), Some(entry));
//! assert!(search.referred(now, entry, Some((7, decider))));
//! assert_eq!(search.next(now), Some(decider));
//! ```

use crate::id::Epoch;
use std::net::SocketAddr;
use std::time::Duration;

/// Time for which a decider that gave no answer is not asked again. Every entry may name the same one, and with
/// many entries asking all of them takes longer than a lease.
const FAILED_PAUSE: Duration = Duration::from_secs(1);

/// Where the decider is believed to be.
#[derive(Debug)]
pub struct Search {
    decider: Option<(Epoch, SocketAddr)>,
    /// Entries that may know.
    entries: Vec<SocketAddr>,
    /// Place of the entry that was asked last.
    last: usize,
    /// Questions since the log was last searched.
    asked: usize,
    /// Epoch of the decider that gave no answer, and when.
    failed: Option<(Epoch, Duration)>,
    /// Address that gave no answer last, and when.
    silent: Option<(SocketAddr, Duration)>,
}

impl Search {
    /// Returns a search that knows some entries and has the log searched first.
    #[must_use]
    pub const fn new(entries: Vec<SocketAddr>) -> Self {
        Self {
            decider: None,
            entries,
            last: 0,
            asked: usize::MAX,
            failed: None,
            silent: None,
        }
    }

    /// Returns the address of the decider, if one is known.
    #[must_use]
    pub fn decider(&self) -> Option<SocketAddr> {
        self.decider.map(|(_, address)| address)
    }

    /// Notes that a decider answered, with the entries that it knows.
    pub fn heard(&mut self, address: SocketAddr, epoch: Epoch, entries: &[SocketAddr]) {
        self.decider = Some((epoch, address));
        self.asked = 0;
        self.failed = None;
        self.silent = None;
        if !entries.is_empty() {
            self.entries = entries.to_vec();
        }
    }

    /// Notes that the process at an address does not decide and knows of this decider, if any. Returns whether
    /// that one is asked next.
    pub fn referred(
        &mut self,
        now: Duration,
        address: SocketAddr,
        decider: Option<(Epoch, SocketAddr)>,
    ) -> bool {
        let newer = decider.filter(|(epoch, other)| {
            let known = self.decider;
            let newer = known.is_none_or(|(own, at)| *epoch > own || at == address);
            newer && *other != address && !self.rests(now, *epoch)
        });
        match newer {
            Some(_) => self.decider = newer,
            None => self.forget(address),
        }
        newer.is_some()
    }

    /// Tells whether the decider of an epoch gave no answer a short time ago.
    fn rests(&self, now: Duration, epoch: Epoch) -> bool {
        self.failed
            .is_some_and(|(failed, at)| failed == epoch && now < at + FAILED_PAUSE)
    }

    /// Notes that the process at an address gave no answer.
    pub fn failed(&mut self, now: Duration, address: SocketAddr) {
        if let Some((epoch, _)) = self.decider.filter(|(_, known)| *known == address) {
            self.failed = Some((epoch, now));
        }
        self.silent = Some((address, now));
        self.forget(address);
    }

    fn forget(&mut self, address: SocketAddr) {
        self.decider.take_if(|(_, known)| *known == address);
    }

    /// Notes what the log showed: entries, and a claim if there was one. The log goes on showing the claim of a decider
    /// that is gone, until another entry has claimed its place.
    pub fn found(
        &mut self,
        now: Duration,
        entries: Vec<SocketAddr>,
        decider: Option<(Epoch, SocketAddr)>,
    ) {
        self.asked = 0;
        if !entries.is_empty() {
            self.entries = entries;
        }
        let decider = decider.filter(|(epoch, _)| !self.rests(now, *epoch));
        self.decider = decider.or(self.decider);
    }

    /// Returns whom to ask next; `None` when the log should be searched.
    pub fn next(&mut self, now: Duration) -> Option<SocketAddr> {
        if let Some((_, address)) = self.decider {
            return Some(address);
        }
        while self.asked < self.entries.len() {
            self.asked += 1;
            self.last += 1;
            let entry = self.entries[self.last % self.entries.len()];
            if !self.is_silent(now, entry) {
                return Some(entry);
            }
        }
        None
    }

    /// Tells whether the process at an address gave no answer a short time ago.
    fn is_silent(&self, now: Duration, address: SocketAddr) -> bool {
        self.silent
            .is_some_and(|(silent, at)| silent == address && now < at + FAILED_PAUSE)
    }
}
