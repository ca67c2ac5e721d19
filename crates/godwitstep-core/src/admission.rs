//! Observed service times and the wait that they let a request expect.
//!
//! ```
//! use godwitstep_core::admission::{Observed, wait};
//! use std::time::Duration;
//!
//! let (second, mut observed) = (Duration::from_secs(1), Observed::default());
//! for _ in 0..5 {
//!     observed.record(Duration::ZERO, second);
//! }
//! assert_eq!(observed.p90(Duration::ZERO), Some(second));
//! assert_eq!(wait(8, 4, second), 2 * second);
//! ```

use std::collections::VecDeque;
use std::time::Duration;

/// Samples that are kept.
const MAX_SAMPLES: usize = 64;
/// Fewest samples that say anything.
const MIN_SAMPLES: usize = 5;
/// Age after which a sample is dropped. Requests that are refused for their expected time give no
/// new samples, so without a bound on age a slow spell would refuse a kind for ever.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Service times of the recent past.
#[derive(Debug, Clone, Default)]
pub struct Observed {
    /// Time of the observation and time taken, oldest first.
    samples: VecDeque<(Duration, Duration)>,
    /// Mean and 90th percentile of the samples, if there are enough.
    summary: Option<(Duration, Duration)>,
}

impl Observed {
    /// Adds an observation.
    pub fn record(&mut self, now: Duration, took: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, took));
        self.drop_old(now);
        self.summarize();
    }

    /// Returns the mean, if there are enough recent samples.
    pub fn mean(&mut self, now: Duration) -> Option<Duration> {
        self.refresh(now);
        self.summary.map(|(mean, _)| mean)
    }

    /// Returns the 90th percentile, if there are enough recent samples.
    pub fn p90(&mut self, now: Duration) -> Option<Duration> {
        self.refresh(now);
        self.summary.map(|(_, p90)| p90)
    }

    fn refresh(&mut self, now: Duration) {
        if self.drop_old(now) {
            self.summarize();
        }
    }

    fn drop_old(&mut self, now: Duration) -> bool {
        let before = self.samples.len();
        while let Some((at, _)) = self.samples.front()
            && *at + MAX_AGE < now
        {
            self.samples.pop_front();
        }
        self.samples.len() < before
    }

    fn summarize(&mut self) {
        let count = self.samples.len();
        self.summary = (count >= MIN_SAMPLES).then(|| {
            let mut times: Vec<_> = self.samples.iter().map(|(_, took)| *took).collect();
            times.sort_unstable();
            let sum: Duration = times.iter().sum();
            let divisor = u32::try_from(count).unwrap_or(u32::MAX);
            (sum / divisor, times[(count * 9).div_ceil(10) - 1])
        });
    }
}

/// Returns the time in which `slots` drain a queue of the given length.
#[must_use]
pub fn wait(queued: usize, slots: usize, mean: Duration) -> Duration {
    let queued = u32::try_from(queued).unwrap_or(u32::MAX);
    let slots = u32::try_from(slots.max(1)).unwrap_or(u32::MAX);
    mean.saturating_mul(queued) / slots
}
