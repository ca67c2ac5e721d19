//! Calls that start and stop runs, their retries and their results.

use super::RunKey;
use crate::id::{Incarnation, Token};
use crate::message::{Refusal, Start};
use std::time::Duration;

/// Delay before the first retry of a call; doubles with each retry.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(60);
/// Maximum delay between two retries.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Operation that a call requests.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// Start a run.
    Start(Start),
    /// Stop a run, or prevent it from starting. Carries the reason to report if the run never began.
    Stop(Refusal),
}

/// A call to the worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    /// Incarnation of the worker that is addressed.
    pub incarnation: Incarnation,
    /// Run to start or stop.
    pub key: RunKey,
    /// Fencing token.
    pub token: Token,
    /// Requested operation.
    pub operation: Operation,
    /// Time on the worker's clock in milliseconds after which the worker rejects a start.
    pub deadline: u64,
    /// Estimated time on the worker's clock in milliseconds when the call is sent.
    pub clock: u64,
    /// Sequence number of the newest report that the order answers.
    pub order: u64,
    /// Number of calls of the order so far, including this one.
    pub attempt: u32,
}

/// Result of a call to the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The run has been started, or is being stopped.
    Accepted,
    /// There was no answer; the call may still be executed.
    Unanswered,
    /// The worker has received a higher token.
    Fenced,
    /// The run, or a later one of its task, was stopped or has ended on this worker.
    Superseded,
    /// The call arrived after its deadline.
    Late,
    /// The worker has too few free resources.
    Room,
    /// The worker can't parse the call.
    Malformed,
    /// The worker is unhealthy and ignored the call.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherLife,
}

/// An order that has not been executed yet.
#[derive(Debug)]
pub(super) struct Pending {
    pub operation: Operation,
    /// Whether a call was not answered and may still be executed.
    pub unanswered: bool,
    /// Sequence number of the newest report that the order answers.
    pub order: u64,
    /// Number of calls so far.
    pub attempts: u32,
    /// Time from which on no call is sent any more.
    expires: Duration,
    schedule: Schedule,
    delay: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Schedule {
    Due,
    InFlight,
    RetryAt(Duration),
}

impl Pending {
    pub const fn new(operation: Operation, order: u64, expires: Duration) -> Self {
        Self {
            operation,
            unanswered: false,
            order,
            attempts: 0,
            expires,
            schedule: Schedule::Due,
            delay: INITIAL_RETRY_DELAY,
        }
    }

    /// Applies a repetition of the order, in the answer to another report.
    pub fn extend(&mut self, order: u64, expires: Duration) {
        self.order = self.order.max(order);
        self.expires = self.expires.max(expires);
    }

    /// Returns whether a call may have been executed or may still be.
    pub fn in_doubt(&self) -> bool {
        self.unanswered || self.schedule == Schedule::InFlight
    }

    pub fn due(&self, now: Duration) -> bool {
        let due = match self.schedule {
            Schedule::Due => true,
            Schedule::InFlight => false,
            Schedule::RetryAt(time) => time <= now,
        };
        due && now < self.expires
    }

    pub const fn starts_run(&self) -> bool {
        matches!(self.operation, Operation::Start(_))
    }

    pub const fn retry_at(&self) -> Option<Duration> {
        match self.schedule {
            Schedule::RetryAt(time) => Some(time),
            Schedule::Due | Schedule::InFlight => None,
        }
    }

    pub const fn mark_in_flight(&mut self) {
        self.attempts = self.attempts.saturating_add(1);
        self.schedule = Schedule::InFlight;
    }

    pub fn retry(&mut self, now: Duration, unanswered: bool) {
        self.unanswered |= unanswered;
        self.schedule = Schedule::RetryAt(now + self.delay);
        self.delay = (self.delay * 2).min(MAX_RETRY_DELAY);
    }

    /// Returns whether an answer to a call of this operation belongs to this order.
    pub const fn matches(&self, operation: &Operation) -> bool {
        matches!(
            (&self.operation, operation),
            (Operation::Start(_), Operation::Start(_)) | (Operation::Stop(_), Operation::Stop(_))
        )
    }
}

/// A run whose call was answered and whose state is determined by the next poll.
#[derive(Debug)]
pub(super) struct Resolution {
    /// When the worker answered the call; polls sent earlier don't count.
    pub since: Duration,
    /// Whether the worker accepted the start, so that the run occupies capacity.
    pub begun: bool,
    /// Reason to report if the run never began; `None` if the worker accepted the start.
    pub refusal: Option<Refusal>,
}

impl Resolution {
    pub const fn begun(since: Duration) -> Self {
        Self {
            since,
            begun: true,
            refusal: None,
        }
    }

    pub const fn stopped(since: Duration, begun: bool, refusal: Refusal) -> Self {
        Self {
            since,
            begun,
            refusal: Some(refusal),
        }
    }
}
