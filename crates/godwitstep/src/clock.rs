//! Host clock that keeps counting while the host is suspended.
//!
//! ```
//! use godwitstep::clock::BootClock;
//! use godwitstep_core::clock::Clock;
//!
//! let clock = BootClock;
//! assert!(clock.now() <= clock.now());
//! ```

use godwitstep_core::clock::Clock;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime};

/// Time since boot (`CLOCK_BOOTTIME`). Unlike [`std::time::Instant`] it includes suspensions, so a
/// lease measured with it also expires while the host is suspended.
#[derive(Debug, Clone, Copy, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Duration::new(seconds, nanos)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
