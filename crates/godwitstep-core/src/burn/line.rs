//! What the counters say about one workspace and kind.

use super::ledger::bucket;
use super::{
    BUCKET, Counts, FAST_RATE, FAST_WINDOWS, KEPT, Ledger, OBJECTIVE, SLOW_RATE, SLOW_WINDOWS,
    Times,
};
use crate::id::{KindId, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime};

/// How fast the allowance is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Alert {
    /// Above [`FAST_RATE`] in both fast windows.
    Fast,
    /// Above [`SLOW_RATE`] in both slow windows.
    Slow,
}

/// Times of one step of the requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Step {
    /// Mean. Unit: microseconds.
    pub mean_us: u64,
    /// Upper bound of the median. Unit: microseconds.
    pub p50_us: u64,
    /// Upper bound of the 99th percentile. Unit: microseconds.
    pub p99_us: u64,
}

impl Step {
    fn new(times: &Times) -> Self {
        let micros = |time: Duration| u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        Self {
            mean_us: micros(times.mean()),
            p50_us: micros(times.quantile(0.5)),
            p99_us: micros(times.quantile(0.99)),
        }
    }
}

/// Account of one workspace and kind over the last hour.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The kind.
    pub kind: KindId,
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
    /// Burn rate by window in seconds: 1 uses up the allowance exactly.
    pub burn: BTreeMap<u64, f64>,
    /// The more urgent alert, if one is raised.
    pub alert: Option<Alert>,
    /// Cost of the late answers.
    pub refund_due: f64,
    /// Further cost if the requests that failed or are unknown are claimed as late.
    pub refund_at_risk: f64,
    /// Time in the queue of the entry.
    pub queue: Step,
    /// Time on links and in agents.
    pub link: Step,
    /// Time at the target.
    pub run: Step,
}

impl Ledger {
    /// Returns the account of each workspace and kind, in order of their names.
    #[must_use]
    pub fn lines(&self, now: SystemTime) -> Vec<Line> {
        let mut windows: BTreeMap<(WorkspaceId, KindId), Windows> = BTreeMap::new();
        for (place, counts) in &self.cells {
            let age = bucket(now).saturating_sub(place.bucket) * BUCKET.as_secs();
            let key = (place.workspace.clone(), place.kind.clone());
            if age < KEPT.as_secs() {
                windows.entry(key).or_default().add(age, counts);
            }
        }
        windows
            .into_iter()
            .map(|((workspace, kind), windows)| windows.line(workspace, kind))
            .collect()
    }
}

/// Sums over the windows of the alerts and over the whole time.
#[derive(Default)]
struct Windows {
    /// Bad and all requests by window in seconds.
    shares: BTreeMap<u64, (u64, u64)>,
    whole: Counts,
}

impl Windows {
    fn add(&mut self, age: u64, counts: &Counts) {
        for window in FAST_WINDOWS.iter().chain(&SLOW_WINDOWS) {
            let (bad, total) = self.shares.entry(window.as_secs()).or_default();
            if age < window.as_secs() {
                *bad += counts.bad();
                *total += counts.total();
            }
        }
        self.whole.add(counts);
    }

    fn line(self, workspace: WorkspaceId, kind: KindId) -> Line {
        let burn: BTreeMap<u64, f64> = self
            .shares
            .iter()
            .map(|(window, (bad, total))| (*window, rate(*bad, *total)))
            .collect();
        let above = |windows: [Duration; 2], rate: f64| {
            windows
                .iter()
                .all(|window| burn.get(&window.as_secs()).is_some_and(|burn| *burn > rate))
        };
        let alert = if above(FAST_WINDOWS, FAST_RATE) {
            Some(Alert::Fast)
        } else if above(SLOW_WINDOWS, SLOW_RATE) {
            Some(Alert::Slow)
        } else {
            None
        };
        let counts = &self.whole;
        #[allow(clippy::cast_precision_loss)]
        let cost = |number: u64| number as f64 * counts.refund;
        Line {
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
            queue: Step::new(&counts.queue),
            link: Step::new(&counts.link),
            run: Step::new(&counts.run),
            burn,
        }
    }
}

#[allow(clippy::cast_precision_loss)]
fn rate(bad: u64, total: u64) -> f64 {
    bad as f64 / total.max(1) as f64 / (1.0 - OBJECTIVE)
}
