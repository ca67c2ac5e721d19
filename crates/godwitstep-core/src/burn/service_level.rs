//! Service-level figures of one workspace and kind, computed from the counters.

use super::ledger::bucket_of;
use super::{
    BUCKET, Counts, FAST_RATE, FAST_WINDOWS, Histogram, Ledger, ON_TIME_OBJECTIVE, RETENTION,
    SLOW_RATE, SLOW_WINDOWS,
};
use crate::id::{KindId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// Alert on the burn rate of the error budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// The burn rate is above [`FAST_RATE`] in both fast windows.
    Fast,
    /// The burn rate is above [`SLOW_RATE`] in both slow windows.
    Slow,
}

/// Statistics of the times that requests spent in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct StepTimes {
    /// Mean. Unit: microseconds.
    pub mean_us: u64,
    /// Upper bound of the median. Unit: microseconds.
    pub p50_us: u64,
    /// Upper bound of the 99th percentile. Unit: microseconds.
    pub p99_us: u64,
}

impl StepTimes {
    fn new(histogram: &Histogram) -> Self {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Self {
            mean_us: micros(histogram.mean()),
            p50_us: micros(histogram.quantile(0.5)),
            p99_us: micros(histogram.quantile(0.99)),
        }
    }
}

/// Service-level figures of one workspace and kind over the last hour.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ServiceLevel {
    /// Workspace of the callers.
    pub workspace: WorkspaceId,
    /// Kind of work.
    pub kind: KindId,
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
    /// Burn rate by window in seconds: a rate of 1 uses up exactly the error budget.
    pub burn: BTreeMap<u64, f64>,
    /// The more urgent of the raised alerts, if there is one.
    pub alert: Option<Alert>,
    /// Total cost of the late answers.
    pub refund_due: f64,
    /// Additional cost if the requests that failed or whose outcome is unknown are claimed as late.
    pub refund_at_risk: f64,
    /// Times in the queue of the entry.
    pub queue: StepTimes,
    /// Times on links and in agents.
    pub link: StepTimes,
    /// Times at the target.
    pub run: StepTimes,
}

impl Ledger {
    /// Returns the figures of each workspace and kind, in the order of their names.
    #[must_use]
    pub fn service_levels(&self, now: SystemTime) -> Vec<ServiceLevel> {
        let mut windows: BTreeMap<(WorkspaceId, KindId), Windows> = BTreeMap::new();
        for (cell, counts) in &self.cells {
            let age = bucket_of(now).saturating_sub(cell.bucket) * BUCKET.as_secs();
            let key = (cell.workspace.clone(), cell.kind.clone());
            if age < RETENTION.as_secs() {
                windows.entry(key).or_default().add(age, counts);
            }
        }
        windows
            .into_iter()
            .map(|((workspace, kind), windows)| windows.service_level(workspace, kind))
            .collect()
    }
}

/// Sums over the windows of the alerts and over the whole retention time.
#[derive(Default)]
struct Windows {
    /// Number of bad requests and of all requests, by window in seconds.
    bad_and_total: BTreeMap<u64, (u64, u64)>,
    overall: Counts,
}

impl Windows {
    fn add(&mut self, age: u64, counts: &Counts) {
        for window in FAST_WINDOWS.iter().chain(&SLOW_WINDOWS) {
            let (bad, total) = self.bad_and_total.entry(window.as_secs()).or_default();
            if age < window.as_secs() {
                *bad += counts.bad();
                *total += counts.total();
            }
        }
        self.overall.add(counts);
    }

    fn service_level(self, workspace: WorkspaceId, kind: KindId) -> ServiceLevel {
        let burn: BTreeMap<u64, f64> = self
            .bad_and_total
            .iter()
            .map(|(window, (bad, total))| (*window, burn_rate(*bad, *total)))
            .collect();
        let exceeds = |windows: [Duration; 2], rate: f64| {
            windows
                .iter()
                .all(|window| burn.get(&window.as_secs()).is_some_and(|burn| *burn > rate))
        };
        let alert = if exceeds(FAST_WINDOWS, FAST_RATE) {
            Some(Alert::Fast)
        } else if exceeds(SLOW_WINDOWS, SLOW_RATE) {
            Some(Alert::Slow)
        } else {
            None
        };
        let counts = &self.overall;
        #[allow(clippy::cast_precision_loss)]
        let cost = |number: u64| number as f64 * counts.refund;
        ServiceLevel {
            workspace,
            kind,
            on_time: counts.on_time,
            late: counts.late,
            refused: counts.refused,
            failed: counts.failed,
            unknown: counts.unknown,
            alert,
            refund_due: cost(counts.late),
            refund_at_risk: cost(counts.failed + counts.unknown),
            queue: StepTimes::new(&counts.queue),
            link: StepTimes::new(&counts.link),
            run: StepTimes::new(&counts.run),
            burn,
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn burn_rate(bad: u64, total: u64) -> f64 {
    bad as f64 / total.max(1) as f64 / (1.0 - ON_TIME_OBJECTIVE)
}
