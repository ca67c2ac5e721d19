//! Recent service times, and the queueing time that follows from them for a new request.
//!
//! ```
//! use godwitstep_core::admission::{ServiceTimes, expected_wait};
//! use std::time::Duration;
//!
//! let (second, mut observed) = (Duration::from_secs(1), ServiceTimes::default());
//! for _ in 0..5 {
//!     observed.record(Duration::ZERO, second);
//! }
//! assert_eq!(observed.p90(Duration::ZERO), Some(second));
//! assert_eq!(expected_wait(8, 4, second), 2 * second);
//! ```

use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of samples that are kept.
const MAX_SAMPLES: usize = 64;
/// Minimum number of samples for which a mean and a percentile are returned.
const MIN_SAMPLES: usize = 5;
/// Age after which a sample is dropped. Requests that are refused because of their expected time
/// give no new samples, so without a maximum age a slow period would cause a kind to be refused
/// forever.
const MAX_AGE: Duration = Duration::from_secs(30);

/// Samples of recent service times.
#[derive(Debug, Clone, Default)]
pub struct ServiceTimes {
    /// Time of observation and service time of each sample, oldest first.
    samples: VecDeque<(Duration, Duration)>,
    /// Mean and 90th percentile of the samples, if there are enough.
    summary: Option<(Duration, Duration)>,
}

impl ServiceTimes {
    /// Adds a sample.
    pub fn record(&mut self, now: Duration, service_time: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, service_time));
        self.drop_expired(now);
        self.summarize();
    }

    /// Returns the mean, if there are enough recent samples.
    pub fn mean(&mut self, now: Duration) -> Option<Duration> {
        self.expire(now);
        self.summary.map(|(mean, _)| mean)
    }

    /// Returns the 90th percentile, if there are enough recent samples.
    pub fn p90(&mut self, now: Duration) -> Option<Duration> {
        self.expire(now);
        self.summary.map(|(_, p90)| p90)
    }

    fn expire(&mut self, now: Duration) {
        if self.drop_expired(now) {
            self.summarize();
        }
    }

    fn drop_expired(&mut self, now: Duration) -> bool {
        let previous_len = self.samples.len();
        while let Some((at, _)) = self.samples.front()
            && *at + MAX_AGE < now
        {
            self.samples.pop_front();
        }
        self.samples.len() < previous_len
    }

    fn summarize(&mut self) {
        let count = self.samples.len();
        self.summary = (count >= MIN_SAMPLES).then(|| {
            let mut times: Vec<_> = self
                .samples
                .iter()
                .map(|(_, service_time)| *service_time)
                .collect();
            times.sort_unstable();
            let sum: Duration = times.iter().sum();
            let divisor = u32::try_from(count).unwrap_or(u32::MAX);
            (sum / divisor, times[(count * 9).div_ceil(10) - 1])
        });
    }
}

/// Returns the time in which `slots` parallel slots drain a queue of the given length.
#[must_use]
pub fn expected_wait(queued: usize, slots: usize, mean: Duration) -> Duration {
    let queued = u32::try_from(queued).unwrap_or(u32::MAX);
    let slots = u32::try_from(slots.max(1)).unwrap_or(u32::MAX);
    mean.saturating_mul(queued) / slots
}
