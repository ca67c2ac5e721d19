//! Outcomes and latencies of one path.

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// Outcomes and latencies of the requests on one path so far.
#[derive(Debug, Clone)]
pub(super) struct Statistics {
    deadline: Duration,
    pub(super) in_flight: usize,
    /// Latencies of the requests that were answered.
    latencies: Vec<Duration>,
    outcomes: BTreeMap<String, u64>,
}

/// Summary of one path. Percentiles are those of answered requests, by nearest rank.
#[derive(Debug, Serialize)]
pub(super) struct Summary {
    path: &'static str,
    requests: u64,
    requests_per_s: f64,
    p50_ms: Option<f64>,
    p99_ms: Option<f64>,
    max_ms: Option<f64>,
    /// Number of requests that were answered after their deadline.
    late: usize,
    outcomes: BTreeMap<String, u64>,
}

/// Latency that the entries add: percentiles through entries minus the same percentiles of direct
/// requests.
#[derive(Debug, Serialize)]
pub(super) struct AddedLatency {
    added_p50_ms: Option<f64>,
    added_p99_ms: Option<f64>,
}

impl Statistics {
    pub(super) const fn new(deadline: Duration) -> Self {
        Self {
            deadline,
            in_flight: 0,
            latencies: Vec::new(),
            outcomes: BTreeMap::new(),
        }
    }

    /// Records the outcome of a request that was in flight.
    pub(super) fn record(&mut self, outcome: String, latency: Duration) {
        self.in_flight -= 1;
        if outcome == "answered" {
            self.latencies.push(latency);
        }
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Records an arrival for which no request was sent.
    pub(super) fn record_skipped(&mut self) {
        *self.outcomes.entry("skipped".to_owned()).or_default() += 1;
    }

    pub(super) fn summary(mut self, path: &'static str, duration: Duration) -> Summary {
        self.latencies.sort_unstable();
        let on_time = self
            .latencies
            .partition_point(|latency| *latency <= self.deadline);
        let requests = self.outcomes.values().sum();
        Summary {
            path,
            requests,
            requests_per_s: round_to_thousandths(to_f64(requests) / duration.as_secs_f64()),
            p50_ms: self.percentile(50),
            p99_ms: self.percentile(99),
            max_ms: self.percentile(100),
            late: self.latencies.len() - on_time,
            outcomes: self.outcomes,
        }
    }

    fn percentile(&self, percent: usize) -> Option<f64> {
        let rank = (self.latencies.len() * percent).div_ceil(100);
        let latency = self.latencies.get(rank.checked_sub(1)?)?;
        Some(round_to_thousandths(latency.as_secs_f64() * 1e3))
    }
}

impl Summary {
    /// Returns the latency that this path through entries adds to the direct path.
    pub(super) fn added_latency(&self, direct: &Self) -> AddedLatency {
        let difference = |a: Option<f64>, b: Option<f64>| Some(round_to_thousandths(a? - b?));
        AddedLatency {
            added_p50_ms: difference(self.p50_ms, direct.p50_ms),
            added_p99_ms: difference(self.p99_ms, direct.p99_ms),
        }
    }
}

/// Rounds to three decimals, which are microseconds if the unit is milliseconds.
pub(super) fn round_to_thousandths(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

fn to_f64(count: u64) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
