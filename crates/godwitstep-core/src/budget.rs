//! Retry budget: limits retries to a share of the requests.
//!
//! Without it, retries during an outage in which every request fails would multiply the load on the
//! remaining targets.
//!
//! ```
//! use godwitstep_core::budget::{Budget, MIN_RETRIES};
//! use std::time::Duration;
//!
//! let mut budget = Budget::default();
//! let granted = (0..10).filter(|_| budget.retry(Duration::ZERO)).count();
//! assert_eq!(granted, MIN_RETRIES);
//! ```

use std::time::Duration;

/// Retries that are allowed in a window regardless of the number of requests.
pub const MIN_RETRIES: usize = 3;
/// Number of requests that allow one retry: retries are limited to 10 % of requests.
pub const REQUESTS_PER_RETRY: usize = 10;
/// Number of slices in the sliding window.
const SLICES: usize = 10;
/// Length of one slice of the window.
const SLICE: Duration = Duration::from_secs(1);

/// Retry budget over a sliding window of 10 s.
#[derive(Debug, Clone, Default)]
pub struct Budget {
    slices: [Slice; SLICES],
}

#[derive(Debug, Clone, Copy, Default)]
struct Slice {
    /// Number of the slice, counted from time zero.
    number: u128,
    requests: usize,
    retries: usize,
}

impl Budget {
    /// Counts a request.
    pub fn request(&mut self, now: Duration) {
        self.slice(now).requests += 1;
    }

    /// Reports whether the budget allows a retry, and counts the retry if it does.
    pub fn retry(&mut self, now: Duration) -> bool {
        let current = slice_number(now);
        let recent = |slice: &&Slice| slice.number + SLICES as u128 > current;
        let (requests, retries) = self
            .slices
            .iter()
            .filter(recent)
            .fold((0, 0), |(requests, retries), slice| {
                (requests + slice.requests, retries + slice.retries)
            });
        let granted = retries < MIN_RETRIES.max(requests / REQUESTS_PER_RETRY);
        if granted {
            self.slice(now).retries += 1;
        }
        granted
    }

    fn slice(&mut self, now: Duration) -> &mut Slice {
        let number = slice_number(now);
        let index = usize::try_from(number % SLICES as u128).unwrap_or(0);
        let slice = &mut self.slices[index];
        if slice.number != number {
            *slice = Slice {
                number,
                ..Slice::default()
            };
        }
        slice
    }
}

const fn slice_number(now: Duration) -> u128 {
    now.as_millis() / SLICE.as_millis()
}
