//! Calls that start and stop runs, and what becomes of them.

use super::Key;
use crate::id::{Epoch, Life};
use crate::message::{Refusal, Start};
use std::time::Duration;

/// Delay before a call is repeated, doubled with each repetition.
const FIRST_RETRY: Duration = Duration::from_millis(60);
/// Longest such delay.
const LAST_RETRY: Duration = Duration::from_millis(500);

/// What a call asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Deed {
    /// To start a run.
    Start(Start),
    /// To stop a run, or to keep it from starting; with the reason to report for one that never
    /// began.
    Stop(Refusal),
}

/// One call to the worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Life of the worker that is meant.
    pub life: Life,
    /// Run that it is about.
    pub key: Key,
    /// Fencing token.
    pub epoch: Epoch,
    /// What it asks for.
    pub deed: Deed,
    /// Time on the worker's clock in milliseconds after which a start is refused.
    pub deadline: u64,
}

/// What the worker answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The run is there, or is being stopped.
    Accepted,
    /// There is no answer; the call may still be carried out.
    Unanswered,
    /// The worker has seen a higher epoch.
    Fenced,
    /// The run, or a later one of its task, was stopped or has ended there.
    Superseded,
    /// The deadline had passed.
    Late,
    /// There is no room.
    Room,
    /// The worker can't read the call.
    Malformed,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
}

/// An order that has not been carried out.
#[derive(Debug)]
pub(super) struct Pending {
    pub deed: Deed,
    /// Whether a call got no answer and may still be carried out.
    pub unanswered: bool,
    /// Last moment at which a call may be sent.
    expires: Duration,
    next: Next,
    delay: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Due,
    UnderWay,
    At(Duration),
}

impl Pending {
    pub const fn new(deed: Deed, expires: Duration) -> Self {
        Self {
            deed,
            unanswered: false,
            expires,
            next: Next::Due,
            delay: FIRST_RETRY,
        }
    }

    pub fn renew(&mut self, expires: Duration) {
        self.expires = self.expires.max(expires);
    }

    /// Tells whether some call may have been, or may still be, carried out.
    pub fn in_doubt(&self) -> bool {
        self.unanswered || self.next == Next::UnderWay
    }

    pub fn due(&self, now: Duration) -> bool {
        let due = match self.next {
            Next::Due => true,
            Next::UnderWay => false,
            Next::At(time) => time <= now,
        };
        due && now < self.expires
    }

    pub const fn waits_until(&self) -> Option<Duration> {
        match self.next {
            Next::At(time) => Some(time),
            Next::Due | Next::UnderWay => None,
        }
    }

    pub const fn begin(&mut self) {
        self.next = Next::UnderWay;
    }

    pub fn retry(&mut self, now: Duration, unanswered: bool) {
        self.unanswered |= unanswered;
        self.next = Next::At(now + self.delay);
        self.delay = (self.delay * 2).min(LAST_RETRY);
    }

    /// Tells whether an answer to a call with this deed is for this order.
    pub const fn matches(&self, deed: &Deed) -> bool {
        matches!(
            (&self.deed, deed),
            (Deed::Start(_), Deed::Start(_)) | (Deed::Stop(_), Deed::Stop(_))
        )
    }
}

/// A run whose fate the next list tells.
#[derive(Debug)]
pub(super) struct Resolution {
    /// When the worker answered.
    pub since: Duration,
    /// Reason to report if the run never began; `None` for a run that the worker has begun.
    pub why: Option<Refusal>,
}

impl Resolution {
    pub const fn begun(since: Duration) -> Self {
        Self { since, why: None }
    }

    pub const fn ended(since: Duration, why: Refusal) -> Self {
        Self {
            since,
            why: Some(why),
        }
    }
}
