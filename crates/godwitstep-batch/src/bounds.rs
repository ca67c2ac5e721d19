//! Time limits of a deployment and the leases derived from them.
//!
//! A chain of leases limits how long a run can stay active after the decider has lost contact with it:
//!
//! 1. A decider answers agents only for [`DECIDER_LEASE`] after it sent its last stored renewal.
//! 2. An agent renews the lease of its worker only for [`AGENT_LEASE`] after it sent the last report that a
//!    decider answered.
//! 3. A worker kills all runs when its lease of at most [`Bounds::max_lease`] expires, on a clock that may be slow
//!    by [`WORKER_CLOCK_DRIFT`].
//!
//! ```
//! use godwitstep_batch::bounds::Bounds;
//! use std::time::Duration;
//!
//! let bounds = Bounds { max_lease: Duration::from_secs(6), ..Bounds::default() };
//! assert!(bounds.agent_timeout() > Duration::from_secs(12));
//! ```

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Time for which a decider answers agents, counted from when it sent its last stored renewal.
pub const DECIDER_LEASE: Duration = Duration::from_millis(2_500);
/// Interval at which a decider that has nothing else to record renews its claim.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time without a record after which an entry that reads the log replaces a decider whose process still
/// answers: the decider may be disconnected from the log, or the log may be slow. Above [`RENEWAL_INTERVAL`] by the
/// duration of a slow append and of reading it.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time without a record after which an entry replaces a decider whose process does not answer either.
pub const UNREACHABLE_TAKEOVER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time for which an agent keeps renewing its worker's lease without an answer from a decider. Covers the
/// replacement of a failed decider and a network partition of a few seconds.
pub const AGENT_LEASE: Duration = Duration::from_millis(6_500);
/// Maximum lease that agents request, even if the deployment allows longer ones. Long enough for an agent
/// that is replaced or stalled for a few seconds; no longer, because lost work is not restarted before its
/// lease has expired.
pub const MAX_WORKER_LEASE: Duration = Duration::from_secs(6);
/// Maximum drift rate of a worker's clock.
pub const WORKER_CLOCK_DRIFT: f64 = 0.02;
/// Allowance for the delivery of a call that was sent just before its sender's lease expired.
pub const DELIVERY_ALLOWANCE: Duration = Duration::from_millis(500);
/// Time to live of a start order, counted from the sending of the report that it answers.
pub const START_ORDER_TTL: Duration = Duration::from_millis(900);
/// Maximum age of the decider's view of the operators' orders at which it sends start orders.
pub const MAX_START_VIEW_AGE: Duration = Duration::from_millis(2_400);
/// Maximum time between the acknowledgement of a cancellation and the last start of a task of its job.
pub const MAX_CANCELLATION_DELAY: Duration = Duration::from_secs(3);
/// Maximum age of the decider's view of the jobs at which it places tasks and sends start orders. A cancellation that
/// another entry stored may be missing from a view of this age, and an order lives for [`START_ORDER_TTL`]; leaves
/// 100 ms for calling the worker.
pub const MAX_START_JOBS_AGE: Duration = MAX_CANCELLATION_DELAY
    .saturating_sub(START_ORDER_TTL)
    .saturating_sub(Duration::from_millis(100));

/// Time limits that the deployment configures.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// Maximum lease of a worker.
    #[serde(rename = "hold")]
    pub max_lease: Duration,
    /// Maximum time that a worker takes to stop a run.
    #[serde(rename = "stop")]
    pub max_stop_time: Duration,
    /// Time for which a member of a gang waits for the other members to start.
    #[serde(rename = "gang")]
    pub gang_start_timeout: Duration,
    /// Maximum time for which a key may be accepted after its revocation.
    #[serde(rename = "revoke")]
    pub max_revocation_delay: Duration,
    /// Time after its acceptance within which a job covered by a guarantee starts.
    #[serde(rename = "reclaim")]
    pub guaranteed_start_time: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Time for which the status of an ended job stays available.
    #[serde(rename = "status")]
    pub status_retention: Duration,
    /// Factor by which a gang spread over several racks, or a task on another rack than its data, runs longer.
    #[serde(rename = "spread")]
    pub rack_slowdown: f64,
    /// Interval between two checkpoints of a task, measured in work done.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_lease: Duration::from_secs(6),
            max_stop_time: Duration::from_millis(400),
            gang_start_timeout: Duration::from_secs(3),
            max_revocation_delay: Duration::from_secs(5),
            guaranteed_start_time: Duration::from_millis(2_900),
            grace: Duration::from_secs(6),
            status_retention: Duration::from_secs(120),
            rack_slowdown: 3.0,
            checkpoint_interval: Duration::from_secs(2),
        }
    }
}

impl Bounds {
    /// Returns the lease that agents request from their workers.
    #[must_use]
    pub fn worker_lease(&self) -> Duration {
        self.max_lease.min(MAX_WORKER_LEASE)
    }

    /// Returns the longest real time for which a worker's lease can last, given clock drift and delivery delay.
    #[must_use]
    pub fn max_lease_duration(&self) -> Duration {
        self.worker_lease().mul_f64(1.0 + 2.0 * WORKER_CLOCK_DRIFT) + DELIVERY_ALLOWANCE
    }

    /// Returns the time after a worker has restarted under its name after which a start that was sent to it before can no
    /// longer be carried out, nor still run there.
    #[must_use]
    pub fn late_start_window(&self) -> Duration {
        self.max_lease_duration() * 2
    }

    /// Returns the time without a report from an agent after which none of its runs can still be active.
    #[must_use]
    pub fn agent_timeout(&self) -> Duration {
        AGENT_LEASE + self.max_lease_duration()
    }

    /// Returns the maximum age of an entry's view of the operators' keys at which it serves callers.
    #[must_use]
    pub fn max_policy_age(&self) -> Duration {
        self.max_revocation_delay.saturating_sub(DELIVERY_ALLOWANCE)
    }
}
