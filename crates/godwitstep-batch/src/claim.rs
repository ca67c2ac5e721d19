//! Election of the decider by claims and renewals in the log, fenced by their epoch.
//!
//! The log rejects records of an epoch below the highest that it has stored, so a replaced decider can't
//! record anything any more. Entries follow the log; one that has read it for [`TAKEOVER_TIMEOUT`] without a
//! record of the decider claims the decider role. Entries claim in order of their rank, so that the claim of
//! the first one is in the log before the next one would claim: each stored claim replaces the decider of the
//! claim before it.
//!
//! ```
//! use godwitstep_batch::claim::{self, FailureDetector};
//! use std::time::Duration;
//!
//! let mut detector = FailureDetector::new(Duration::from_millis(100));
//! assert!(!detector.should_claim(Duration::ZERO, None, Duration::MAX));
//! let age = Duration::ZERO;
//! assert!(detector.should_claim(Duration::from_secs(1), None, age));
//! assert!(claim::next_epoch(7, 3) > 7);
//! ```

use crate::bounds::{RENEWAL_INTERVAL, TAKEOVER_TIMEOUT, UNREACHABLE_TAKEOVER_TIMEOUT};
use crate::id::{Epoch, Host};
use crate::record::{Claim, MAX_EPOCH};
use crate::token::TOKENS_PER_EPOCH;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Maximum age of the view of the log at which missing records of the decider count as its failure.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_300);
/// Time without a record of the decider after which an entry probes its process. Above [`RENEWAL_INTERVAL`] by the
/// duration of a slow append, 400 ms.
const PROBE_AFTER: Duration = RENEWAL_INTERVAL.saturating_add(Duration::from_millis(400));
/// Time without a record after which an entry replaces a decider whose process answers that it can't append. If
/// the log serves another entry, the decider has named that one its successor long before; if the log is slow
/// for all entries, more claims make it slower.
const STALLED_TAKEOVER_TIMEOUT: Duration = TAKEOVER_TIMEOUT.saturating_mul(2);
/// Minimum time between two probes of a decider.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Divisor of an entry's claim delay after the decider has released its claim.
const RELEASED_DELAY_DIVISOR: u32 = 5;
/// Difference between the claim delays of two successive ranks. Long enough for a claim to be stored and read.
const RANK_DELAY: Duration = Duration::from_millis(50);
/// Rank from which on all entries share one claim delay, to which each adds its own jitter.
const MAX_RANK: u32 = 10;
/// Duration of a read above which the log counts as slow.
const SLOW_READ: Duration = Duration::from_millis(50);
/// Maximum duration of an append as a multiple of the duration of a slow read.
const MAX_APPEND_PER_READ: u32 = 3;
/// Low bits of an epoch that distinguish concurrent claimants.
const CLAIMANT_BITS: u32 = 20;

/// Returns the epoch for a claim that follows `after`. Concurrent claimants get different epochs if their
/// numbers differ in the lowest 20 bits, so the log can order their claims. It is above all fencing tokens of the epoch
/// before.
#[must_use]
pub const fn next_epoch(after: Epoch, claimant: u64) -> Epoch {
    let own = claimant & ((1 << CLAIMANT_BITS) - 1);
    let above = after.saturating_add(TOKENS_PER_EPOCH) >> CLAIMANT_BITS;
    ((above + 1) << CLAIMANT_BITS) | own
}

/// Returns the epoch to claim after, given that of the newest known claim, and that which the log fenced while the same
/// claim was the newest one. The log has then stored a higher epoch whose claim is not to be read any more, because
/// another writer has replaced it; doubling exceeds any epoch within a few claims.
#[must_use]
pub fn epoch_to_follow(known: Epoch, fenced: Option<(Epoch, Epoch)>) -> Epoch {
    match fenced {
        Some((after, fenced)) if after == known => fenced.saturating_mul(2).min(MAX_EPOCH / 2),
        _ => known,
    }
}

/// Returns the rank of a host among those that may replace the decider of a claim, starting at 0; `None` if it
/// is not one of them. A hash of the epoch and the host varies the order from claim to claim.
pub fn takeover_rank<'a>(
    hosts: impl Iterator<Item = &'a Host>,
    claim: &Claim,
    own: &Host,
) -> Option<u32> {
    let hash = |host: &Host| {
        let mut hasher = DefaultHasher::new();
        (claim.epoch, host).hash(&mut hasher);
        (hasher.finish(), host.clone())
    };
    let own_hash = hash(own);
    let mut is_candidate = false;
    let mut rank = 0;
    for host in hosts.filter(|host| **host != claim.host) {
        is_candidate |= host == own;
        rank += u32::from(hash(host) < own_hash);
    }
    is_candidate.then_some(rank)
}

/// Returns how long an entry waits before its claim to let entries of lower rank claim first, given how long the
/// log took to answer a read.
#[must_use]
pub fn takeover_delay(rank: Option<u32>, read_time: Duration) -> Duration {
    if read_time <= SLOW_READ {
        return Duration::ZERO;
    }
    read_time * MAX_APPEND_PER_READ * rank.unwrap_or(MAX_RANK).min(MAX_RANK)
}

/// Returns whether a view of the log of this age is recent enough to detect a failure of the decider.
#[must_use]
pub fn view_is_recent(age: Duration) -> bool {
    age <= MAX_VIEW_AGE
}

/// An entry's failure detector for the decider.
#[derive(Debug)]
pub struct FailureDetector {
    /// Delay of this entry's claims while it has no rank; differs between entries, so that they don't claim at
    /// the same time.
    jitter: Duration,
    /// Rank of this entry among those that may claim.
    rank: Option<u32>,
    /// Last time at which a record of the decider was read, or at which the view of the log was too old.
    last_contact: Option<Duration>,
    /// Epoch of a claim whose process is no longer the decider, and when this became known.
    vacant_since: Option<(Epoch, Duration)>,
    /// Epoch of a decider that named this entry its successor.
    successor_of: Option<Epoch>,
    /// Last time at which a probe of the decider's process was not answered.
    last_unanswered: Option<Duration>,
    /// Last time at which the decider's process answered that it can't append.
    last_stalled: Option<Duration>,
    /// Last time at which a probe was sent.
    last_probe: Option<Duration>,
}

impl FailureDetector {
    /// Creates a failure detector whose claims are delayed by `jitter` while the entry has no rank.
    #[must_use]
    pub const fn new(jitter: Duration) -> Self {
        Self {
            jitter,
            rank: None,
            last_contact: None,
            vacant_since: None,
            successor_of: None,
            last_unanswered: None,
            last_stalled: None,
            last_probe: None,
        }
    }

    /// Resets the timeout after a record of the decider was read.
    pub fn reset_timeout(&mut self, now: Duration) {
        self.last_contact = Some(now);
    }

    /// Sets the entry's rank among those that may claim; `None` if it is not one of them.
    pub const fn set_rank(&mut self, rank: Option<u32>) {
        self.rank = rank;
    }

    /// Records that the process that made the claim of this epoch is no longer the decider.
    pub fn mark_vacant(&mut self, now: Duration, epoch: Epoch) {
        if self.vacant_since.is_none_or(|(known, _)| known != epoch) {
            self.vacant_since = Some((epoch, now));
        }
    }

    /// Records that the decider of this epoch named this entry its successor.
    pub const fn mark_successor(&mut self, epoch: Epoch) {
        self.successor_of = Some(epoch);
    }

    /// Returns the entry's rank for replacing the decider of an epoch; a named successor has rank 0.
    #[must_use]
    pub fn rank(&self, after: Epoch) -> Option<u32> {
        if self.successor_of == Some(after) {
            Some(0)
        } else {
            self.rank
        }
    }

    /// Returns the delay of this entry's claims relative to those of the entry of rank 0.
    fn claim_delay(&self) -> Duration {
        match self.rank {
            Some(rank) if rank < MAX_RANK => RANK_DELAY * rank,
            Some(_) => RANK_DELAY * MAX_RANK + self.jitter,
            None => self.jitter,
        }
    }

    /// Records that the decider's process did not answer a probe.
    pub const fn probe_unanswered(&mut self, now: Duration) {
        self.last_unanswered = Some(now);
    }

    /// Records that the decider's process answered a probe that it holds the claim but can't append.
    pub const fn probe_stalled(&mut self, now: Duration) {
        self.last_stalled = Some(now);
    }

    /// Records that a probe is being sent to the decider's process.
    pub const fn probe_sent(&mut self, now: Duration) {
        self.last_probe = Some(now);
    }

    /// Returns whether to probe the decider's process. A process that has just started has not read a record of
    /// the decider yet and probes at once.
    #[must_use]
    pub fn should_probe(&self, now: Duration, age: Duration) -> bool {
        let silent = self
            .last_contact
            .is_none_or(|contact| now.saturating_sub(contact) > PROBE_AFTER);
        let due = self
            .last_probe
            .is_none_or(|probe| now.saturating_sub(probe) >= PROBE_INTERVAL);
        silent && due && view_is_recent(age)
    }

    /// Returns whether to claim the decider role now, given the newest claim and the age of the view of the log.
    pub fn should_claim(&mut self, now: Duration, claim: Option<&Claim>, age: Duration) -> bool {
        if !view_is_recent(age) {
            self.last_contact = Some(now);
            return false;
        }
        let contact = *self.last_contact.get_or_insert(now);
        let delay = self.claim_delay();
        let vacancy = |claim: &Claim| self.vacant_since.filter(|(epoch, _)| *epoch == claim.epoch);
        let timeout = match claim {
            Some(claim) if self.successor_of == Some(claim.epoch) => return true,
            Some(claim) if claim.released => {
                return now.saturating_sub(contact) >= delay / RELEASED_DELAY_DIVISOR;
            }
            Some(claim) if let Some((_, since)) = vacancy(claim) => {
                // An entry that is not announced yet has no rank and claims at once.
                let wait = self.rank.map_or(Duration::ZERO, |_| delay);
                return now.saturating_sub(since) >= wait;
            }
            Some(_) if self.last_stalled.is_some_and(|at| at > contact) => STALLED_TAKEOVER_TIMEOUT,
            // Neither a record in the log nor an answer of the process since the last contact.
            Some(_) if self.last_unanswered.is_some_and(|at| at > contact) => {
                UNREACHABLE_TAKEOVER_TIMEOUT
            }
            Some(_) => TAKEOVER_TIMEOUT,
            None => Duration::ZERO,
        };
        now.saturating_sub(contact) >= timeout + delay
    }
}
