//! Counters of one bucket. All of them only grow, so the greater of two states of a counter is
//! the newer one, and merging takes the greater.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Distribution of a time, in classes that double.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Times {
    /// Number of times by class; class `n` holds times below 2ⁿ µs.
    classes: BTreeMap<u32, u64>,
    /// Sum of the times. Unit: microseconds.
    sum_us: u64,
}

impl Times {
    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        *self
            .classes
            .entry(u64::BITS - micros.leading_zeros())
            .or_default() += 1;
        self.sum_us = self.sum_us.saturating_add(micros);
    }

    /// Returns the number of times.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.classes.values().sum()
    }

    /// Returns the mean, or zero without any times.
    #[must_use]
    pub fn mean(&self) -> Duration {
        Duration::from_micros(self.sum_us / self.count().max(1))
    }

    /// Returns an upper bound of the given quantile, at most twice its value.
    #[must_use]
    pub fn quantile(&self, share: f64) -> Duration {
        #[allow(
            clippy::cast_precision_loss,
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss
        )]
        let rank = (self.count() as f64 * share).ceil() as u64;
        let mut seen = 0;
        for (class, count) in &self.classes {
            seen += count;
            if seen >= rank {
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

    fn join(&mut self, other: &Self) {
        for (class, count) in &other.classes {
            let own = self.classes.entry(*class).or_default();
            *own = (*own).max(*count);
        }
        self.sum_us = self.sum_us.max(other.sum_us);
    }
}

/// Counters of one workspace and kind.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Answered within the objective.
    pub on_time: u64,
    /// Answered after the objective.
    pub late: u64,
    /// Not run.
    pub refused: u64,
    /// Ran and failed.
    pub failed: u64,
    /// May have run.
    pub unknown: u64,
    /// Cost of one late answer; the greatest that applied.
    pub refund: f64,
    /// Time in the queue of the entry.
    pub queue: Times,
    /// Time on links and in agents.
    pub link: Times,
    /// Time at the target.
    pub run: Times,
}

impl Counts {
    /// Returns the number of requests.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.on_time + self.bad()
    }

    /// Returns the number of requests that count against the objective: all that were not
    /// answered on time, for whatever reason.
    #[must_use]
    pub const fn bad(&self) -> u64 {
        self.late + self.refused + self.failed + self.unknown
    }

    /// Adds the counters of other requests.
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

    /// Takes in another state of the same counters.
    pub(super) fn join(&mut self, other: &Self) {
        self.on_time = self.on_time.max(other.on_time);
        self.late = self.late.max(other.late);
        self.refused = self.refused.max(other.refused);
        self.failed = self.failed.max(other.failed);
        self.unknown = self.unknown.max(other.unknown);
        self.refund = self.refund.max(other.refund);
        self.queue.join(&other.queue);
        self.link.join(&other.link);
        self.run.join(&other.run);
    }
}
