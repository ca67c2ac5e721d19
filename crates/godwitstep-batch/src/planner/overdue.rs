//! Stops that take too long.
//!
//! A run that is being stopped counts as capacity that is about to become free. If its worker or agent hangs, the run does
//! not end, and a job that counts on it would wait while other runs could be stopped. After the time that a stop may take,
//! the run therefore counts as running again, and is not chosen for a stop a second time.

use super::Planner;
use super::cluster::Occupant;
use super::earmark::REPORT_GRACE;
use crate::id::{Run, Task};
use std::collections::HashMap;
use std::time::Duration;

/// When each stop was first seen; holds only runs that are being stopped.
#[derive(Debug, Default)]
pub(super) struct StopTimes {
    since: HashMap<(Task, Run), Duration>,
    now: Duration,
}

impl Planner {
    /// Returns whether a run may still be ending that the former decider ordered to stop. Such orders are not in the
    /// ledger, so the run looks as if it went on.
    pub(super) fn earlier_stops_may_last(&self, now: Duration) -> bool {
        now < self.started_at + self.bounds.max_stop_time + REPORT_GRACE
    }

    /// Updates the times of all stops. Called once at the start of a round.
    pub(super) fn track_stops(&mut self, now: Duration) {
        let stopping = &self.stopping;
        self.stop_times.now = now;
        self.stop_times
            .since
            .retain(|key, _| stopping.contains(key));
        for key in stopping {
            self.stop_times.since.entry(*key).or_insert(now);
        }
    }

    /// Returns whether a run is being stopped, however long that has taken.
    pub(super) fn is_told_to_stop(&self, occupant: &Occupant) -> bool {
        self.stopping.contains(&(occupant.task, occupant.run))
    }

    /// Returns whether a run is being stopped and expected to end soon.
    pub(super) fn is_stopping(&self, occupant: &Occupant) -> bool {
        let key = (occupant.task, occupant.run);
        let since = self.stop_times.since.get(&key).copied();
        let limit = self.bounds.max_stop_time + REPORT_GRACE;
        let overdue = since.is_some_and(|since| self.stop_times.now > since + limit);
        self.stopping.contains(&key) && !overdue
    }
}
