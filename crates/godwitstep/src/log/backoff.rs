//! Backoff between failed attempts.

use std::time::Duration;

/// Delay after the first failure.
const INITIAL_DELAY: Duration = Duration::from_millis(50);
/// Upper bound of the delay; a recovered log service is detected after at most this time.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Jittered exponential backoff.
#[derive(Debug)]
pub(super) struct Backoff {
    rng: fastrand::Rng,
    next: Duration,
}

impl Default for Backoff {
    fn default() -> Self {
        Self {
            rng: fastrand::Rng::new(),
            next: INITIAL_DELAY,
        }
    }
}

impl Backoff {
    /// Resets the delay to its initial value after a success.
    pub(super) const fn reset(&mut self) {
        self.next = INITIAL_DELAY;
    }

    /// Waits for a random time between half of the current delay and all of it, then doubles the
    /// delay.
    pub(super) async fn pause(&mut self) {
        let delay = self.next.mul_f64(0.5 + self.rng.f64() / 2.0);
        self.next = (self.next * 2).min(MAX_DELAY);
        smol::Timer::after(delay).await;
    }
}
