//! Time bounds of a deployment, and the leases that follow from them.
//!
//! The chain of leases bounds how long work can run that the decider no longer knows:
//!
//! 1. A decider answers agents only for [`VOICE`] after its last renewal was sent.
//! 2. An agent prolongs the lease of its worker only for [`COAST`] after it sent the last report
//!    that a decider answered.
//! 3. A worker kills everything when its lease of at most `Bounds::hold` ends, on a clock that may
//!    be slow by [`WORKER_DRIFT`].
//!
//! ```
//! use godwitstep_batch::bounds::Bounds;
//! use std::time::Duration;
//!
//! let bounds = Bounds { hold: Duration::from_secs(6), ..Bounds::default() };
//! assert!(bounds.silence() > Duration::from_secs(12));
//! ```

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time after the sending of its last stored renewal for which a decider answers agents.
pub const VOICE: Duration = Duration::from_millis(2_500);
/// Time between two renewals of a claim by a decider that has nothing else to record.
pub const RENEWAL: Duration = Duration::from_millis(500);
/// Silence of a decider whose process still answers after which an entry that reads the log claims its
/// place: it may be cut from the log, or the log may be slow. Above [`RENEWAL`] by the time that a slow
/// append and its reading take.
pub const SILENCE: Duration = Duration::from_millis(2_500);
/// Silence after which an entry claims the place of a decider whose process does not answer either.
pub const HOST_SILENCE: Duration = Duration::from_millis(1_200);
/// Time for which an agent keeps its worker's tasks alive without an answer of a decider. Covers
/// the take-over of a dead decider and a cut of a few seconds.
pub const COAST: Duration = Duration::from_millis(6_500);
/// Longest lease that agents ask for, where the deployment allows longer ones. Long enough for an
/// agent that is replaced or frozen for a few seconds; short, as lost work is not started again before
/// its lease has ended.
pub const LEASE: Duration = Duration::from_secs(6);
/// Slowest rate of a worker's clock against true time.
pub const WORKER_DRIFT: f64 = 0.02;
/// Allowance for the delivery of a call that was sent just before its sender lost its right.
pub const DELIVERY: Duration = Duration::from_millis(500);
/// Time after the report that it answers in which a start order may be carried out.
pub const ORDER_LIFE: Duration = Duration::from_millis(900);
/// Greatest age of the decider's view of operators' orders at which it sends start orders.
pub const VIEW_LIFE: Duration = Duration::from_millis(2_400);

/// Bounds that the deployment sets.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Longest lease of what runs on a worker.
    pub hold: Duration,
    /// Longest time that a stop takes.
    pub stop: Duration,
    /// Time that a member of a gang waits for the others.
    pub gang: Duration,
    /// Time after which a withdrawn key must not be served.
    pub revoke: Duration,
    /// Time after its acceptance in which a guaranteed job begins.
    pub reclaim: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time for which an ended job can be asked for.
    pub status: Duration,
    /// Times that a spread gang, or a task away from its data, takes as long.
    pub spread: f64,
    /// Work between two savings of a task's progress.
    pub checkpoint: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            hold: Duration::from_secs(6),
            stop: Duration::from_millis(400),
            gang: Duration::from_secs(3),
            revoke: Duration::from_secs(5),
            reclaim: Duration::from_millis(2_900),
            grace: Duration::from_secs(6),
            status: Duration::from_secs(120),
            spread: 3.0,
            checkpoint: Duration::from_secs(2),
        }
    }
}

impl Bounds {
    /// Returns the time for which agents ask their workers to hold.
    #[must_use]
    pub fn hold_time(&self) -> Duration {
        self.hold.min(LEASE)
    }

    /// Returns the longest true time that a lease of the worker can last.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.hold_time().mul_f64(1.0 + 2.0 * WORKER_DRIFT) + DELIVERY
    }

    /// Returns the silence of an agent after which nothing that it had started still runs.
    #[must_use]
    pub fn silence(&self) -> Duration {
        COAST + self.lease()
    }

    /// Returns the age of an entry's view of the operators' keys up to which it serves callers.
    #[must_use]
    pub fn serve(&self) -> Duration {
        self.revoke.saturating_sub(DELIVERY)
    }
}
