//! Pauses between attempts that fail.

use std::time::Duration;

/// Pause after the first failure.
const FIRST: Duration = Duration::from_millis(50);
/// Greatest pause, which bounds how long a recovered log service goes unnoticed.
const MOST: Duration = Duration::from_secs(1);

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
            next: FIRST,
        }
    }
}

impl Backoff {
    /// Notes a success.
    pub(super) const fn reset(&mut self) {
        self.next = FIRST;
    }

    /// Waits between half of the current pause and all of it, and doubles it.
    pub(super) async fn pause(&mut self) {
        let pause = self.next.mul_f64(0.5 + self.rng.f64() / 2.0);
        self.next = (self.next * 2).min(MOST);
        smol::Timer::after(pause).await;
    }
}
