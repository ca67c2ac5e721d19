//! Clocks, which are passed to every component that needs the time.
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

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time since an arbitrary origin that stays fixed while the clock exists.
    fn now(&self) -> Duration;
    /// Wall-clock time, used only for reports and incarnations, never for decisions.
    fn wall(&self) -> SystemTime;
}

/// Clock of the operating system.
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

/// Clock for tests that advances only on request.
#[derive(Debug, Default)]
pub struct Manual {
    now: Mutex<Duration>,
}

impl Manual {
    /// Advances the clock.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while it held the lock of the clock.
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
