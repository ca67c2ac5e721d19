//! Service-level accounting of requests: how many were answered on time, the cost of late answers,
//! and the burn rate of the error budget.
//!
//! Each entry counts in buckets of 10 s of wall-clock time. Merging the ledgers of several entries
//! gives the same result in any order and however often each is merged.
//!
//! ```
//! use godwitstep_core::burn::{Ledger, Observation, Verdict};
//! use std::time::{Duration, SystemTime};
//!
//! let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
//! let mut ledger = Ledger::new("entry-1", 1);
//! let observation = Observation::new("council", "seam-check", Verdict::Late).refund(2.5);
//! ledger.record(now, &observation);
//! let service_level = &ledger.service_levels(now)[0];
//! assert_eq!(service_level.refund_due, 2.5);
//! ```

mod counts;
mod ledger;
mod service_level;

pub use counts::{Counts, Histogram};
pub use ledger::{Ledger, Observation, Verdict};
pub use service_level::{Alert, ServiceLevel, StepTimes};

use std::time::Duration;

/// Length of a bucket in wall-clock time.
pub const BUCKET: Duration = Duration::from_secs(10);
/// Time for which buckets are retained.
pub const RETENTION: Duration = Duration::from_secs(3_600);
/// Share of requests that should be answered on time. It is a constant because resources declare
/// only the time of an objective, not the share of requests that must meet it.
pub const ON_TIME_OBJECTIVE: f64 = 0.99;
/// Windows of the fast alert: the long one prevents alerts on short bursts, the short one ends the
/// alert soon after its cause is gone.
pub const FAST_WINDOWS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(300)];
/// Burn rate above which the fast alert is raised: 14.4 uses up 2 % of a month's error budget in an
/// hour.
pub const FAST_RATE: f64 = 14.4;
/// Windows of the slow alert, which catches low burn rates that last.
pub const SLOW_WINDOWS: [Duration; 2] = [Duration::from_secs(600), Duration::from_secs(3_600)];
/// Burn rate above which the slow alert is raised: 3 uses up a month's error budget in ten days.
pub const SLOW_RATE: f64 = 3.0;
