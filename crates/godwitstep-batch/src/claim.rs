//! Who decides: claims and renewals in the log, fenced by their epoch.
//!
//! The log refuses the records of an epoch below the highest that it has seen, so a decider whose
//! place was taken can't record anything any more. Entries watch the records go by; one that has read
//! the log without a record of the decider for [`SILENCE`] claims the place.
//!
//! ```
//! use godwitstep_batch::claim::{self, Watch};
//! use std::time::Duration;
//!
//! let mut watch = Watch::new(Duration::from_millis(100));
//! assert!(!watch.should_claim(Duration::ZERO, None, Duration::MAX));
//! let fresh = Duration::ZERO;
//! assert!(watch.should_claim(Duration::from_secs(1), None, fresh));
//! assert!(claim::next(7, 3) > 7);
//! ```

use crate::bounds::{HOST_SILENCE, RENEWAL, SILENCE};
use crate::id::Epoch;
use crate::record::Claim;
use std::time::Duration;

/// Age of the view of the log up to which silence of a decider counts.
const FRESH: Duration = Duration::from_millis(1_300);
/// Silence of a decider after which an entry asks its process whether it still decides. Above
/// [`RENEWAL`] by the time of a slow append.
const SUSPICION: Duration = RENEWAL.saturating_add(Duration::from_millis(400));
/// Part of its delay that an entry waits before it takes a place that was given up.
const EAGERNESS: u32 = 5;
/// Bits of an epoch that tell claimants of the same moment apart.
const CLAIMANT_BITS: u32 = 20;

/// Returns an epoch above another one. Two claimants get different ones as long as their numbers
/// differ in the lowest 20 bits, so the log orders them.
#[must_use]
pub const fn next(after: Epoch, claimant: u64) -> Epoch {
    let own = claimant & ((1 << CLAIMANT_BITS) - 1);
    (((after >> CLAIMANT_BITS) + 1) << CLAIMANT_BITS) | own
}

/// Tells whether a view of the log of this age tells anything of the decider.
#[must_use]
pub fn informed(age: Duration) -> bool {
    age <= FRESH
}

/// An entry's watch on the decider.
#[derive(Debug)]
pub struct Watch {
    /// Delay of this entry's claims, which keeps entries from claiming at the same time.
    delay: Duration,
    /// Newest moment at which the decider was heard of, or the log was not.
    heard: Option<Duration>,
    /// Epoch of a claim whose process is known to decide no more.
    vacant: Option<Epoch>,
    /// When the decider's process last gave no answer.
    unanswered: Option<Duration>,
}

impl Watch {
    /// Returns a watch that waits `delay` longer than the shortest silence.
    #[must_use]
    pub const fn new(delay: Duration) -> Self {
        Self {
            delay,
            heard: None,
            vacant: None,
            unanswered: None,
        }
    }

    /// Notes a record of the decider.
    pub fn heard(&mut self, now: Duration) {
        self.heard = Some(now);
    }

    /// Notes that the process behind a claim decides no more.
    pub const fn vacant(&mut self, epoch: Epoch) {
        self.vacant = Some(epoch);
    }

    /// Notes that the process behind a claim gave no answer.
    pub const fn unanswered(&mut self, now: Duration) {
        self.unanswered = Some(now);
    }

    /// Tells whether to ask the decider's process if it still decides. A process that has just
    /// started has not heard of the decider and asks at once.
    #[must_use]
    pub fn suspects(&self, now: Duration, age: Duration) -> bool {
        let silent = self
            .heard
            .is_none_or(|heard| now.saturating_sub(heard) > SUSPICION);
        silent && informed(age)
    }

    /// Tells whether to claim the place: given the newest claim and the age of the view of the log.
    pub fn should_claim(&mut self, now: Duration, claim: Option<&Claim>, age: Duration) -> bool {
        if !informed(age) {
            self.heard = Some(now);
            return false;
        }
        let heard = *self.heard.get_or_insert(now);
        let silence = match claim {
            Some(claim) if claim.released => {
                return now.saturating_sub(heard) >= self.delay / EAGERNESS;
            }
            Some(claim) if self.vacant == Some(claim.epoch) => return true,
            // Silence since the decider was last heard of, in the log and by its process.
            Some(_) if self.unanswered.is_some_and(|at| at > heard) => HOST_SILENCE,
            Some(_) => SILENCE,
            None => Duration::ZERO,
        };
        now.saturating_sub(heard) >= silence + self.delay
    }
}
