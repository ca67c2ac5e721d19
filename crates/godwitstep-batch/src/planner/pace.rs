//! Pace of a run: how often its percentage changes, and whether the next change is overdue.
//!
//! Reports show whole percents. A run of 10 s changes every 0.1 s, one of 40 minutes every 24 s and one of a day every
//! 14 minutes, so the same time without a change shows a stall of the one and nothing about the other. A run is judged
//! by the pace that it has shown, and before that by its expected run time: after a take-over or a resumption, as the
//! pace of other runs is known with their first percent. For runs of up to 50 s, or 12 s expected, the next change is
//! overdue before the planner acts on it, so their stalls are found as early as by time alone.
//!
//! An estimate may be enormous, so the age of the job limits the expected pace: the run cannot have worked for longer
//! than that on the percent that it has. There is no limit of fixed length: a run of a day that was first listed with
//! progress has its next two changes after up to half an hour, and would be stopped again after each resumption.

use std::time::Duration;

/// Number of changes at the shown pace that have to be missing. One is missing whenever the work is uneven.
const MISSING_SHOWN: u32 = 3;
/// Number of changes at the expected pace that have to be missing while the run has not shown its own. Estimates may be
/// too low by a factor of four and more.
const MISSING_EXPECTED: u32 = 12;
/// Number of changes at the mean pace since the acceptance of the job that have to be missing while the run has not
/// shown its own. The pace may have been another one on an earlier worker.
const MISSING_SINCE_ACCEPTED: u32 = 6;
/// Difference between the clocks of the entry that accepted a job and of the decider that is tolerated.
const CLOCK_TOLERANCE: Duration = Duration::from_secs(10);

/// What is known of the pace of a run that has not shown its own.
#[derive(Debug, Clone, Copy)]
pub(super) struct PacePrior {
    pub expected_run_time: Duration,
    /// Wall-clock time at which the run's job was accepted. Unit: Unix milliseconds.
    pub accepted: u64,
}

/// A percentage and when it was reached.
#[derive(Debug, Clone, Copy)]
struct Mark {
    at: Duration,
    percent: u8,
}

/// Changes of the percentage of one run.
#[derive(Debug)]
pub(super) struct Pace {
    /// Start of the measurement: the start of the run, or its first change if the run was first listed with progress,
    /// as the time within that percent is unknown.
    start: Option<Mark>,
    latest: Mark,
}

impl Pace {
    pub fn new(now: Duration, percent: u8) -> Self {
        let latest = Mark { at: now, percent };
        Self {
            start: (percent == 0).then_some(latest),
            latest,
        }
    }

    /// Records the percentage of a report.
    pub fn record(&mut self, now: Duration, percent: u8) {
        if percent == self.latest.percent {
            return;
        }
        self.latest = Mark { at: now, percent };
        self.start.get_or_insert(self.latest);
    }

    /// Returns the newest percentage.
    pub const fn percent(&self) -> u8 {
        self.latest.percent
    }

    /// Returns the time since the last change.
    pub const fn unchanged_for(&self, now: Duration) -> Duration {
        now.saturating_sub(self.latest.at)
    }

    /// Returns whether the next change is overdue. `wall` is the wall clock in Unix milliseconds.
    pub fn is_overdue(&self, now: Duration, wall: u64, prior: PacePrior) -> bool {
        let unchanged_for = self.unchanged_for(now);
        if self.covers_changes(unchanged_for, prior.expected_run_time) {
            return true;
        }
        let interval = self.interval_since_accepted(unchanged_for, wall, prior.accepted);
        self.shown_interval().is_none()
            && interval.is_some_and(|interval| unchanged_for > interval * MISSING_SINCE_ACCEPTED)
    }

    /// Returns an upper bound of the mean time between two changes up to the latest one; `None` without progress, or if
    /// the clocks differ by too much.
    fn interval_since_accepted(
        &self,
        unchanged_for: Duration,
        wall: u64,
        accepted: u64,
    ) -> Option<Duration> {
        let age = Duration::from_millis(wall) + CLOCK_TOLERANCE;
        let age = age.checked_sub(Duration::from_millis(accepted))?;
        let worked_for = age.saturating_sub(unchanged_for).max(CLOCK_TOLERANCE);
        (self.latest.percent > 0).then(|| worked_for / u32::from(self.latest.percent))
    }

    /// Returns whether the percentage of a run of this expected time should change within a period.
    pub fn covers_changes(&self, period: Duration, expected_run_time: Duration) -> bool {
        let limit = match self.shown_interval() {
            Some(interval) => interval.saturating_mul(MISSING_SHOWN),
            None => (expected_run_time / 100).saturating_mul(MISSING_EXPECTED),
        };
        period > limit
    }

    /// Returns the mean time between two changes so far, if the run has shown it.
    fn shown_interval(&self) -> Option<Duration> {
        let start = self.start?;
        let changes = self.latest.percent.saturating_sub(start.percent);
        (changes > 0).then(|| self.latest.at.saturating_sub(start.at) / u32::from(changes))
    }
}
