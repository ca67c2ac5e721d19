//! The clock that is passed to every part that needs the time.
//!
//! ```
//! use godwitstep_core::clock::{Clock, Manual};
//! use std::time::Duration;
//!
//! let clock = Manual::default();
//! clock.advance(Duration::from_secs(3));
//! assert_eq!(clock.now(), Duration::from_secs(3));
//! ```

use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

/// Source of time.
pub trait Clock: Send + Sync {
    /// Monotonic time since an arbitrary origin that stays fixed for the life of the clock.
    fn now(&self) -> Duration;
    /// Wall-clock time, for reports and incarnations only; never used for decisions.
    fn wall(&self) -> SystemTime;
}

/// The clock of the operating system.
#[derive(Debug, Clone, Copy)]
pub struct System {
    origin: Instant,
}

impl System {
    /// Returns a clock whose origin is the moment of the call.
    #[must_use]
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        self.origin.elapsed()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only when told to.
#[derive(Debug, Default)]
pub struct Manual {
    now: Mutex<Duration>,
}

impl Manual {
    /// Moves the clock forward.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the clock.
    pub fn advance(&self, by: Duration) {
        *self.now.lock().expect("clock lock is not poisoned") += by;
    }
}

impl Clock for Manual {
    fn now(&self) -> Duration {
        *self.now.lock().expect("clock lock is not poisoned")
    }

    fn wall(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + self.now()
    }
}
