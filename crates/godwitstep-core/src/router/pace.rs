//! The pace at which requests of one class are taken.

use std::time::Duration;

const SLICES: usize = 10;
const SLICE: Duration = Duration::from_millis(100);
/// Shortest time with requests waiting that says something about the pace.
const MIN_SPAN: Duration = Duration::from_millis(300);

/// Counts requests taken over the last second.
#[derive(Debug, Default)]
pub struct Pace {
    /// Number of the slice since time zero, and requests taken in it.
    slices: [(u128, u32); SLICES],
    /// Since when requests have been waiting.
    since: Duration,
}

const fn number(now: Duration) -> u128 {
    now.as_millis() / SLICE.as_millis()
}

impl Pace {
    /// Notes that the first request has begun to wait.
    pub const fn start(&mut self, now: Duration) {
        self.since = now;
    }

    pub fn count(&mut self, now: Duration) {
        let number = number(now);
        let index = usize::try_from(number % SLICES as u128).unwrap_or(0);
        let slice = &mut self.slices[index];
        if slice.0 != number {
            *slice = (number, 0);
        }
        slice.1 += 1;
    }

    /// Returns the mean time between two requests taken, if requests have waited for long enough.
    pub fn interval(&self, now: Duration) -> Option<Duration> {
        let current = number(now);
        let whole = now
            .saturating_sub(self.since)
            .min(SLICE * u32::try_from(SLICES).unwrap_or(u32::MAX));
        if whole < MIN_SPAN {
            return None;
        }
        let first = number(now.saturating_sub(whole));
        let taken: u32 = self
            .slices
            .iter()
            .filter(|(number, _)| *number > first && *number <= current)
            .map(|(_, taken)| taken)
            .sum();
        // Slices are counted from the first whole one.
        let from = SLICE * u32::try_from(first + 1).unwrap_or(u32::MAX);
        Some(now.saturating_sub(from) / taken.max(1))
    }
}
