//! Measure of how fast a client sends, by which holders of scarce memory and connections are compared.

use std::time::Duration;

/// Time in which progress loses half of its value. A client on a link of 10 Mbit/s delivers an ordinary request in a
/// tenth of it.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Size of an ordinary request. Progress above it does not count, so that a large burst followed by silence is worth no
/// more than a small request that has just arrived. Unit: bytes.
pub const ORDINARY: usize = 64 * 1024;

/// Progress of a holder: the bytes that it has received, of which half are forgotten after each half-life.
///
/// A new holder begins with the full value, since it had no time to send anything yet.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    value: f64,
    at: Duration,
}

impl Progress {
    /// Returns the progress of a holder that begins now.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // The size is far below 2^53.
    pub const fn new(now: Duration) -> Self {
        Self {
            value: ORDINARY as f64,
            at: now,
        }
    }

    /// Counts received bytes.
    #[allow(clippy::cast_precision_loss)] // Precision is not needed for a comparison of clients.
    pub fn add(&mut self, now: Duration, bytes: usize) {
        let value = self.value_at(now) + bytes as f64;
        self.value = value.min(ORDINARY as f64);
        self.at = now;
    }

    /// Returns the present value. Unit: bytes.
    #[must_use]
    pub fn value_at(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.value * (-elapsed / HALF_LIFE.as_secs_f64()).exp2()
    }
}
