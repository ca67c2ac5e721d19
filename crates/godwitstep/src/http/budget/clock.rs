//! Time since the start of a budget, by which decisions compare their holders.

use std::time::{Duration, Instant};

/// Monotonic clock of a budget.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Returns a clock that starts now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(self) -> Duration {
        self.started.elapsed()
    }
}
