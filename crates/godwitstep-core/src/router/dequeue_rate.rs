//! Rate at which the requests of one priority class are dequeued.

use std::time::Duration;

/// Number of slices of the sliding window.
const SLICES: usize = 10;
/// Length of a slice of the sliding window.
const SLICE: Duration = Duration::from_millis(100);
/// Shortest time with waiting requests from which a rate is derived.
const MIN_SPAN: Duration = Duration::from_millis(300);

/// Counts the requests dequeued over a sliding window of one second.
#[derive(Debug, Default)]
pub struct DequeueRate {
    /// Number of the slice since time zero, and requests dequeued in it.
    slices: [(u128, u32); SLICES],
    /// Time since which the class has had waiting requests.
    waiting_since: Duration,
}

/// Returns the number of the slice that a time falls into.
const fn slice_number(now: Duration) -> u128 {
    now.as_millis() / SLICE.as_millis()
}

impl DequeueRate {
    /// Records that the first request of the class was queued.
    pub const fn start_waiting(&mut self, now: Duration) {
        self.waiting_since = now;
    }

    /// Counts a dequeued request.
    pub fn record_dequeue(&mut self, now: Duration) {
        let number = slice_number(now);
        let index = usize::try_from(number % SLICES as u128).unwrap_or(0);
        let slice = &mut self.slices[index];
        if slice.0 != number {
            *slice = (number, 0);
        }
        slice.1 += 1;
    }

    /// Returns the mean time between two dequeues, or `None` if requests have not waited for
    /// [`MIN_SPAN`] yet.
    pub fn interval(&self, now: Duration) -> Option<Duration> {
        let current = slice_number(now);
        let span = now
            .saturating_sub(self.waiting_since)
            .min(SLICE * u32::try_from(SLICES).unwrap_or(u32::MAX));
        if span < MIN_SPAN {
            return None;
        }
        let first = slice_number(now.saturating_sub(span));
        let dequeued: u32 = self
            .slices
            .iter()
            .filter(|(number, _)| *number > first && *number <= current)
            .map(|(_, dequeued)| dequeued)
            .sum();
        // The count starts at the first slice that lies fully within the span.
        let from = SLICE * u32::try_from(first + 1).unwrap_or(u32::MAX);
        Some(now.saturating_sub(from) / dequeued.max(1))
    }
}
