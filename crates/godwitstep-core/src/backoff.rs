//! Jittered exponential delays.
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
/// The lower half is left out so that a peer is never tried again at once; the random part keeps
/// processes that lost the same peer from returning together.
#[derive(Debug, Clone)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    bound: Duration,
    rng: Rng,
}

impl Backoff {
    /// Returns delays whose bound grows from `least` to `most`.
    #[must_use]
    pub fn new(least: Duration, most: Duration, seed: u64) -> Self {
        Self {
            least,
            most: most.max(least),
            bound: least,
            rng: Rng::with_seed(seed),
        }
    }

    /// Returns the next delay and doubles the bound.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound;
        self.bound = bound.saturating_mul(2).min(self.most);
        bound.mul_f64(0.5 + self.rng.f64() / 2.0)
    }

    /// Starts again from the shortest delay, after a success.
    pub const fn reset(&mut self) {
        self.bound = self.least;
    }
}

/// Lengthens a time to come back by a random 0 to 50 %, so that callers do not return together.
pub fn spread(time: Duration, rng: &mut Rng) -> Duration {
    time.mul_f64(1.0 + rng.f64() / 2.0)
}
