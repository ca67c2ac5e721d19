//! Exponential backoff with jitter.
//!
//! ```
//! use godwitstep_core::backoff::Backoff;
//! use std::time::Duration;
//!
//! let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(1), 7);
//! assert!(backoff.next_delay() <= Duration::from_millis(50));
//! ```

use fastrand::Rng;
use std::time::Duration;

/// Delays between attempts: each is drawn from the upper half of a bound that doubles.
///
/// The lower half is left out so that a peer is never retried immediately; the jitter prevents
/// processes that lost the same peer from reconnecting at the same time.
#[derive(Debug, Clone)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    bound: Duration,
    rng: Rng,
}

impl Backoff {
    /// Returns a backoff whose bound grows from `min` to `max`.
    #[must_use]
    pub fn new(min: Duration, max: Duration, seed: u64) -> Self {
        Self {
            min,
            max: max.max(min),
            bound: min,
            rng: Rng::with_seed(seed),
        }
    }

    /// Returns the next delay and doubles the bound.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound;
        self.bound = bound.saturating_mul(2).min(self.max);
        bound.mul_f64(0.5 + self.rng.f64() / 2.0)
    }

    /// Resets the bound to its minimum after a success.
    pub const fn reset(&mut self) {
        self.bound = self.min;
    }
}

/// Lengthens a retry-after time by a random 0 to 50 %, so that callers do not retry at the same
/// time.
pub fn add_jitter(time: Duration, rng: &mut Rng) -> Duration {
    time.mul_f64(1.0 + rng.f64() / 2.0)
}
