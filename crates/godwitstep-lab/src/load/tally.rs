//! Outcomes and latencies of one path.

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// What the requests of one path came to so far.
#[derive(Debug, Clone)]
pub(super) struct Tally {
    deadline: Duration,
    pub(super) in_flight: usize,
    /// Latencies of the requests that were answered.
    answered: Vec<Duration>,
    outcomes: BTreeMap<String, u64>,
}

/// Figures of one path. Percentiles are those of answered requests, by nearest rank.
#[derive(Debug, Serialize)]
pub(super) struct Summary {
    path: &'static str,
    requests: u64,
    requests_per_s: f64,
    p50_ms: Option<f64>,
    p99_ms: Option<f64>,
    max_ms: Option<f64>,
    /// Requests that were answered after their deadline.
    late: usize,
    outcomes: BTreeMap<String, u64>,
}

/// Percentiles through the entry less the same percentiles asked directly.
#[derive(Debug, Serialize)]
pub(super) struct Added {
    added_p50_ms: Option<f64>,
    added_p99_ms: Option<f64>,
}

impl Tally {
    pub(super) const fn new(deadline: Duration) -> Self {
        Self {
            deadline,
            in_flight: 0,
            answered: Vec::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Counts the outcome of a request that was in flight.
    pub(super) fn add(&mut self, outcome: String, latency: Duration) {
        self.in_flight -= 1;
        if outcome == "answered" {
            self.answered.push(latency);
        }
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Counts an arrival that was not sent.
    pub(super) fn skip(&mut self) {
        *self.outcomes.entry("skipped".to_owned()).or_default() += 1;
    }

    pub(super) fn summary(mut self, path: &'static str, time: Duration) -> Summary {
        self.answered.sort_unstable();
        let in_time = self
            .answered
            .partition_point(|latency| *latency <= self.deadline);
        let requests = self.outcomes.values().sum();
        Summary {
            path,
            requests,
            requests_per_s: round(to_f64(requests) / time.as_secs_f64()),
            p50_ms: self.percentile(50),
            p99_ms: self.percentile(99),
            max_ms: self.percentile(100),
            late: self.answered.len() - in_time,
            outcomes: self.outcomes,
        }
    }

    fn percentile(&self, percent: usize) -> Option<f64> {
        let rank = (self.answered.len() * percent).div_ceil(100);
        let latency = self.answered.get(rank.checked_sub(1)?)?;
        Some(round(latency.as_secs_f64() * 1e3))
    }
}

impl Summary {
    pub(super) fn added(&self, direct: &Self) -> Added {
        let less = |a: Option<f64>, b: Option<f64>| Some(round(a? - b?));
        Added {
            added_p50_ms: less(self.p50_ms, direct.p50_ms),
            added_p99_ms: less(self.p99_ms, direct.p99_ms),
        }
    }
}

/// Rounds to three decimals: microseconds, where the unit is milliseconds.
pub(super) fn round(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
