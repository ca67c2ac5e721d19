//! Distribution of a run time around its expectation.
//!
//! Log-logistic: it has a tail of runs that take several times as long as usual, as measured queues do, and its quantiles
//! and conditional medians have closed forms.

use crate::job::MAX_ESTIMATE;
use std::f64::consts::PI;
use std::time::Duration;

/// Minimum remaining time that is assumed for a run without known progress, as a share of its typical time.
const MIN_REMAINING_SHARE: f64 = 0.2;

/// Expected run time of a task or gang.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    typical: Duration,
    /// Scale of the logistic distribution of the logarithm; 0 if it is not known, in which case all quantiles are the
    /// typical time.
    scale: f64,
}

impl Expectation {
    /// Returns the expectation of a run of which only an estimate is known.
    #[must_use]
    pub const fn of_estimate(estimate: Duration) -> Self {
        Self {
            typical: estimate,
            scale: 0.0,
        }
    }

    /// Returns the expectation around an estimate times the exponential of `correction`. `spread` is the standard
    /// deviation of the logarithm.
    pub(super) fn new(estimate: Duration, correction: f64, spread: f64) -> Self {
        let scale = spread * 3_f64.sqrt() / PI;
        Self::of_estimate(estimate).times(scale, correction)
    }

    fn times(self, scale: f64, log_factor: f64) -> Self {
        Self {
            typical: stretched(self.typical, log_factor),
            scale,
        }
    }

    /// Returns the expectation on a worker with this slowness.
    #[must_use]
    pub fn on_worker(self, log_slowdown: f64) -> Self {
        self.times(self.scale, log_slowdown)
    }

    /// Returns the median.
    #[must_use]
    pub const fn typical(&self) -> Duration {
        self.typical
    }

    /// Returns the time within which a share of the runs ends. The share is limited to 0.1 to 99.9 %.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Duration {
        let share = share.clamp(0.001, 0.999);
        let odds = share / (1.0 - share);
        stretched(self.typical, self.scale * odds.ln())
    }

    /// Returns the time within which half of the runs end that have run this long without known progress; at least a
    /// share of the typical time.
    #[must_use]
    pub fn remaining(&self, elapsed: Duration) -> Duration {
        let least = self.typical.mul_f64(MIN_REMAINING_SHARE);
        let total = if self.scale > 0.0 && !self.typical.is_zero() {
            let ratio = elapsed.as_secs_f64() / self.typical.as_secs_f64();
            // The odds of having ended double from `2 * odds` on to `1 + 2 * odds`, where half of the rest has.
            let odds = ratio.powf(1.0 / self.scale);
            stretched(self.typical, self.scale * (2.0 * odds).ln_1p())
        } else {
            self.typical
        };
        // A run at an enormous multiple of its typical time exceeds the range of the odds.
        total.saturating_sub(elapsed).max(least).min(MAX_ESTIMATE)
    }
}

/// Returns a time multiplied by the exponential of `log_factor`, at most [`MAX_ESTIMATE`]. A factor of 1 is exact.
fn stretched(time: Duration, log_factor: f64) -> Duration {
    if log_factor == 0.0 {
        return time;
    }
    let seconds = time.as_secs_f64() * log_factor.exp();
    Duration::try_from_secs_f64(seconds).map_or(MAX_ESTIMATE, |time| time.min(MAX_ESTIMATE))
}
