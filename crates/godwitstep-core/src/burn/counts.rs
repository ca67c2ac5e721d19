//! Counters of one bucket. All of them only grow, so of two states of a counter the greater one is
//! newer, and merging takes the greater.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Histogram of durations with bounds that double.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Histogram {
    /// Number of durations by class; class `n` counts durations below 2ⁿ µs.
    classes: BTreeMap<u32, u64>,
    /// Sum of the durations. Unit: microseconds.
    sum_us: u64,
}

impl Histogram {
    /// Adds a duration.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        *self
            .classes
            .entry(u64::BITS - micros.leading_zeros())
            .or_default() += 1;
        self.sum_us = self.sum_us.saturating_add(micros);
    }

    /// Returns the number of recorded durations.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.classes.values().sum()
    }

    /// Returns the mean, or zero if nothing was recorded.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.sum_us / self.count().max(1))
    }

    /// Returns an upper bound of the quantile `share` (between 0 and 1), at most twice its value.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Duration {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let rank = (self.count() as f64 * share).ceil() as u64;
        let mut cumulative = 0;
        for (class, count) in &self.classes {
            cumulative += count;
            if cumulative >= rank {
                return Duration::from_micros(1_u64.checked_shl(*class).unwrap_or(u64::MAX));
            }
        }
        Duration::ZERO
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (class, count) in &other.classes {
            *self.classes.entry(*class).or_default() += count;
        }
        self.sum_us = self.sum_us.saturating_add(other.sum_us);
    }

    fn merge_state(&mut self, other: &Self) {
        for (class, count) in &other.classes {
            let own = self.classes.entry(*class).or_default();
            *own = (*own).max(*count);
        }
        self.sum_us = self.sum_us.max(other.sum_us);
    }
}

/// Counters of one workspace and kind of work.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Requests answered within the objective.
    pub on_time: u64,
    /// Requests answered after the objective.
    pub late: u64,
    /// Requests that were refused and did not run.
    pub refused: u64,
    /// Requests that ran and failed.
    pub failed: u64,
    /// Requests whose outcome is unknown; they may have run.
    pub unknown: u64,
    /// Cost of one late answer; the greatest among the counted requests.
    pub refund: f64,
    /// Times that requests spent in the queue of the entry.
    pub queue: Histogram,
    /// Times that requests spent on links and in agents.
    pub link: Histogram,
    /// Times that requests spent at the target.
    pub run: Histogram,
}

impl Counts {
    /// Returns the number of requests.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.on_time + self.bad()
    }

    /// Returns the number of requests that count against the objective: all that were not answered
    /// on time, regardless of the reason.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.late + self.refused + self.failed + self.unknown
    }

    /// Adds the counters of other requests to these.
    pub(super) fn add(&mut self, other: &Self) {
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
        self.failed += other.failed;
        self.unknown += other.unknown;
        self.refund = self.refund.max(other.refund);
        self.queue.add(&other.queue);
        self.link.add(&other.link);
        self.run.add(&other.run);
    }

    /// Merges another state of the same counters, counter by counter.
    pub(super) fn merge_state(&mut self, other: &Self) {
        self.on_time = self.on_time.max(other.on_time);
        self.late = self.late.max(other.late);
        self.refused = self.refused.max(other.refused);
        self.failed = self.failed.max(other.failed);
        self.unknown = self.unknown.max(other.unknown);
        self.refund = self.refund.max(other.refund);
        self.queue.merge_state(&other.queue);
        self.link.merge_state(&other.link);
        self.run.merge_state(&other.run);
    }
}
