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
//! search.found(Vec::new(), None);
//! assert_eq!(search.next(), Some(entry));
//! assert!(search.referred(Duration::ZERO, entry, Some((7, decider))));
//! assert_eq!(search.next(), Some(decider));
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
        self.forget(address);
    }

    fn forget(&mut self, address: SocketAddr) {
        self.decider.take_if(|(_, known)| *known == address);
    }

    /// Notes what the log showed: entries, and a claim if there was one.
    pub fn found(&mut self, entries: Vec<SocketAddr>, decider: Option<(Epoch, SocketAddr)>) {
        self.asked = 0;
        self.failed = None;
        if !entries.is_empty() {
            self.entries = entries;
        }
        self.decider = decider.or(self.decider);
    }

    /// Returns whom to ask next; `None` when the log should be searched.
    #[allow(clippy::should_implement_trait)] // It is no sequence.
    pub fn next(&mut self) -> Option<SocketAddr> {
        if let Some((_, address)) = self.decider {
            return Some(address);
        }
        if self.asked >= self.entries.len() {
            return None;
        }
        self.asked += 1;
        self.last += 1;
        self.entries.get(self.last % self.entries.len()).copied()
    }
}
