//! Service-level accounting of requests: what was on time, what it cost, how fast the allowance
//! for late answers is used up.
//!
//! Each entry counts in buckets of 10 s of wall clock. Ledgers of several entries merge in any
//! order and any number of times into the same whole.
//!
//! ```
//! use godwitstep_core::burn::{Ledger, Observation, Verdict};
//! use std::time::{Duration, SystemTime};
//!
//! let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
//! let mut ledger = Ledger::new("entry-1", 1);
//! let observation = Observation::new("council", "seam-check", Verdict::Late).refund(2.5);
//! ledger.record(now, &observation);
//! let line = &ledger.lines(now)[0];
//! assert_eq!(line.refund_due, 2.5);
//! ```

mod counts;
mod ledger;
mod line;

pub use counts::{Counts, Times};
pub use ledger::{Ledger, Observation, Verdict};
pub use line::{Alert, Line, Step};

use std::time::Duration;

/// Length of a bucket.
pub const BUCKET: Duration = Duration::from_secs(10);
/// Time for which buckets are kept.
pub const KEPT: Duration = Duration::from_secs(3_600);
/// Share of requests that should be answered on time. Chosen here: resources declare the time of
/// an objective, not its share.
pub const OBJECTIVE: f64 = 0.99;
/// Windows of the fast alert: the long one shows that the burn is no accident, the short one ends
/// the alert soon after the cause.
pub const FAST_WINDOWS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(300)];
/// Burn rate of the fast alert: 14.4 uses up 2 % of a month's allowance in an hour.
pub const FAST_RATE: f64 = 14.4;
/// Windows of the slow alert.
pub const SLOW_WINDOWS: [Duration; 2] = [Duration::from_secs(600), Duration::from_secs(3_600)];
/// Burn rate of the slow alert: 3 uses up a month's allowance in ten days.
pub const SLOW_RATE: f64 = 3.0;
