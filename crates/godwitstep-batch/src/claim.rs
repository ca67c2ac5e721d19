//! Who decides: claims and renewals in the log, fenced by their epoch.
//!
//! The log refuses the records of an epoch below the highest that it has seen, so a decider whose
//! place was taken can't record anything any more. Entries watch the records go by; one that has read
//! the log without a record of the decider for [`SILENCE`] claims the place. Entries do so in turns, so that
//! the claim of the first one is in the log when the next one looks: each claim that is stored ends the term
//! of the one before.
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
use crate::id::{Epoch, Host};
use crate::record::Claim;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

/// Age of the view of the log up to which silence of a decider counts.
const FRESH: Duration = Duration::from_millis(1_300);
/// Silence of a decider after which an entry asks its process whether it still decides. Above
/// [`RENEWAL`] by the time of a slow append.
const SUSPICION: Duration = RENEWAL.saturating_add(Duration::from_millis(400));
/// Silence after which an entry claims the place of a decider that says that it can't write. If the log serves
/// another entry, that one is named long before; if it is slow for all, more claims make it slower.
const STRUGGLE: Duration = SILENCE.saturating_mul(2);
/// Time between two questions to a silent decider.
const ASK_PAUSE: Duration = Duration::from_millis(300);
/// Part of its delay that an entry waits before it takes a place that was given up.
const EAGERNESS: u32 = 5;
/// Time between the turns of two entries. In it a claim is stored and can be read.
const TURN: Duration = Duration::from_millis(50);
/// Turns after which all other entries come together, spread by their own delays.
const TURNS: u32 = 10;
/// Time for a read above which the log counts as slow.
const PROMPT: Duration = Duration::from_millis(50);
/// Times the duration of a slow read that an append takes at most.
const SLOW_APPEND: u32 = 3;
/// Bits of an epoch that tell claimants of the same moment apart.
const CLAIMANT_BITS: u32 = 20;

/// Returns an epoch above another one. Two claimants get different ones as long as their numbers
/// differ in the lowest 20 bits, so the log orders them.
#[must_use]
pub const fn next(after: Epoch, claimant: u64) -> Epoch {
    let own = claimant & ((1 << CLAIMANT_BITS) - 1);
    (((after >> CLAIMANT_BITS) + 1) << CLAIMANT_BITS) | own
}

/// Returns the turn of a host among those that may take a vacant place; `None` if it is not among them.
pub fn turn<'a>(hosts: impl Iterator<Item = &'a Host>, claim: &Claim, own: &Host) -> Option<u32> {
    let place = |host: &Host| {
        let mut hasher = DefaultHasher::new();
        (claim.epoch, host).hash(&mut hasher);
        (hasher.finish(), host.clone())
    };
    let own_place = place(own);
    let mut known = false;
    let mut before = 0;
    for host in hosts.filter(|host| **host != claim.host) {
        known |= host == own;
        before += u32::from(place(host) < own_place);
    }
    known.then_some(before)
}

/// Returns how long an entry leaves the place to those whose turn comes before, given how long the log took to
/// answer a read.
#[must_use]
pub fn courtesy(turn: Option<u32>, read: Duration) -> Duration {
    if read <= PROMPT {
        return Duration::ZERO;
    }
    read * SLOW_APPEND * turn.unwrap_or(TURNS).min(TURNS)
}

/// Tells whether a view of the log of this age tells anything of the decider.
#[must_use]
pub fn informed(age: Duration) -> bool {
    age <= FRESH
}

/// An entry's watch on the decider.
#[derive(Debug)]
pub struct Watch {
    /// Delay of this entry's claims where it has no turn, which keeps entries from claiming at the same time.
    spread: Duration,
    /// The entry's turn.
    turn: Option<u32>,
    /// Newest moment at which the decider was heard of, or the log was not.
    heard: Option<Duration>,
    /// Epoch of a claim whose process is known to decide no more, and since when.
    vacant: Option<(Epoch, Duration)>,
    /// Epoch of a decider that named this entry its successor.
    named: Option<Epoch>,
    /// When the decider's process last gave no answer.
    unanswered: Option<Duration>,
    /// When the decider's process last said that it can't write.
    struggles: Option<Duration>,
    /// When the decider's process was last asked.
    asked: Option<Duration>,
}

impl Watch {
    /// Returns a watch that waits `spread` longer than the shortest silence while it has no turn.
    #[must_use]
    pub const fn new(spread: Duration) -> Self {
        Self {
            spread,
            turn: None,
            heard: None,
            vacant: None,
            named: None,
            unanswered: None,
            struggles: None,
            asked: None,
        }
    }

    /// Notes a record of the decider.
    pub fn heard(&mut self, now: Duration) {
        self.heard = Some(now);
    }

    /// Sets the entry's turn.
    pub const fn set_turn(&mut self, turn: Option<u32>) {
        self.turn = turn;
    }

    /// Notes that the process behind a claim decides no more.
    pub fn vacant(&mut self, now: Duration, epoch: Epoch) {
        if self.vacant.is_none_or(|(known, _)| known != epoch) {
            self.vacant = Some((epoch, now));
        }
    }

    /// Notes that a decider named this entry its successor.
    pub const fn named(&mut self, epoch: Epoch) {
        self.named = Some(epoch);
    }

    /// Returns the entry's turn to follow a decider; a named successor comes first.
    #[must_use]
    pub fn turn(&self, after: Epoch) -> Option<u32> {
        if self.named == Some(after) {
            Some(0)
        } else {
            self.turn
        }
    }

    /// Time by which this entry's claims come after those of the first one.
    fn delay(&self) -> Duration {
        match self.turn {
            Some(turn) if turn < TURNS => TURN * turn,
            Some(_) => TURN * TURNS + self.spread,
            None => self.spread,
        }
    }

    /// Notes that the process behind a claim gave no answer.
    pub const fn unanswered(&mut self, now: Duration) {
        self.unanswered = Some(now);
    }

    /// Notes that the process behind a claim holds it and can't write.
    pub const fn struggles(&mut self, now: Duration) {
        self.struggles = Some(now);
    }

    /// Notes that the decider's process is being asked.
    pub const fn asked(&mut self, now: Duration) {
        self.asked = Some(now);
    }

    /// Tells whether to ask the decider's process if it still decides. A process that has just
    /// started has not heard of the decider and asks at once.
    #[must_use]
    pub fn suspects(&self, now: Duration, age: Duration) -> bool {
        let silent = self
            .heard
            .is_none_or(|heard| now.saturating_sub(heard) > SUSPICION);
        let due = self
            .asked
            .is_none_or(|asked| now.saturating_sub(asked) >= ASK_PAUSE);
        silent && due && informed(age)
    }

    /// Tells whether to claim the place: given the newest claim and the age of the view of the log.
    pub fn should_claim(&mut self, now: Duration, claim: Option<&Claim>, age: Duration) -> bool {
        if !informed(age) {
            self.heard = Some(now);
            return false;
        }
        let heard = *self.heard.get_or_insert(now);
        let delay = self.delay();
        let vacant = |claim: &Claim| self.vacant.filter(|(epoch, _)| *epoch == claim.epoch);
        let silence = match claim {
            Some(claim) if self.named == Some(claim.epoch) => return true,
            Some(claim) if claim.released => {
                return now.saturating_sub(heard) >= delay / EAGERNESS;
            }
            Some(claim) if let Some((_, since)) = vacant(claim) => {
                // One that is not announced yet has no turn to wait for.
                let wait = self.turn.map_or(Duration::ZERO, |_| delay);
                return now.saturating_sub(since) >= wait;
            }
            Some(_) if self.struggles.is_some_and(|at| at > heard) => STRUGGLE,
            // Silence since the decider was last heard of, in the log and by its process.
            Some(_) if self.unanswered.is_some_and(|at| at > heard) => HOST_SILENCE,
            Some(_) => SILENCE,
            None => Duration::ZERO,
        };
        now.saturating_sub(heard) >= silence + delay
    }
}
