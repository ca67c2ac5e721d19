//! Stops runs that are better restarted elsewhere: stalled ones, and those that would outlast their
//! worker.
//!
//! The duration of a stall cannot be predicted. A run is therefore given as much time as it would
//! take to redo its lost work, and is then stopped so that its task restarts elsewhere.

use super::draft::Draft;
use super::{Decision, Plan, Planner};
use crate::id::{Run, Task};
use crate::ledger::Entry;
use std::time::Duration;

/// Time without progress, in addition to the time to redo the lost work, after which a run is
/// stopped. Exceeds the age of the progress that reports show.
const STALL_LIMIT: Duration = Duration::from_millis(1_600);
/// Time after which a gang that has not started completely is stopped. Below the time after which
/// its members give up by themselves.
const GANG_START_LIMIT: Duration = Duration::from_millis(2_200);
/// Time for which a worker that has announced that it leaves is expected to stay.
const LEAVE_TIME: Duration = Duration::from_millis(2_500);

impl Planner {
    /// Stops long runs on workers that are about to leave. Their work would be lost with the
    /// worker, whereas progress that is saved at the stop is kept.
    pub(super) fn stop_on_leaving_workers(
        &mut self,
        now: Duration,
        draft: &Draft,
        plan: &mut Plan,
    ) {
        let mut moved = Vec::new();
        for (job, entry, progress) in draft.open() {
            for (step, index, placed, incarnation) in progress.placed() {
                let task = Task { job, step, index };
                let estimate = entry.job.steps[usize::from(step)].estimate;
                let remaining = self.health.remaining(now, task, placed.run, estimate);
                let leaves = self.reports.is_leaving(incarnation) && remaining > LEAVE_TIME;
                if leaves && !self.stopping.contains(&(task, placed.run)) {
                    moved.push((task, placed.run, remaining));
                }
            }
        }
        for (task, run, remaining) in moved {
            self.stopping.insert((task, run));
            plan.decisions.push(Decision::Moved {
                task,
                run,
                remaining,
            });
        }
    }

    /// Stops stalled runs and gangs that do not start completely.
    pub(super) fn stop_stalled(&mut self, now: Duration, draft: &Draft, plan: &mut Plan) {
        let mut stop = Vec::new();
        let stall_times = self.health.worker_stalls(now);
        for (job, entry, progress) in draft.open() {
            for (step, index, placed, incarnation) in progress.placed() {
                let task = Task { job, step, index };
                let stalled_for = self.stalled_run(
                    now,
                    entry,
                    task,
                    placed.run,
                    stall_times.get(&incarnation.host),
                );
                if let Some(stalled_for) = stalled_for
                    && !self.stopping.contains(&(task, placed.run))
                {
                    stop.push((task, placed.run, stalled_for));
                }
            }
        }
        for (task, run, stalled_for) in stop {
            self.stopping.insert((task, run));
            plan.decisions.push(Decision::Stalled {
                task,
                run,
                stalled_for,
            });
        }
    }

    /// Returns how long a run has been stalled if it is better restarted elsewhere. `worker_stall`
    /// is the time since any run on its worker made progress.
    fn stalled_run(
        &self,
        now: Duration,
        entry: &Entry,
        task: Task,
        run: Run,
        worker_stall: Option<&Duration>,
    ) -> Option<Duration> {
        let step = &entry.job.steps[usize::from(task.step)];
        let elapsed = self.health.elapsed(now, task, run)?;
        if step.gang && !self.health.gang_was_complete(task, run) {
            return (elapsed > GANG_START_LIMIT).then_some(elapsed);
        }
        let redo_time = self.redo_time(now, entry, task, run);
        let stalled_for = if step.gang {
            // The members of a gang make progress together.
            self.gang_stalled_for(now, entry, task, run)?
        } else if let Some(stalled_for) = self.health.stalled_for(now, task, run) {
            stalled_for
        } else {
            // The run shows no progress, but other runs on the worker may.
            *worker_stall?.min(&elapsed)
        };
        let remaining = redo_time.saturating_sub(stalled_for);
        (stalled_for > STALL_LIMIT + remaining).then_some(stalled_for)
    }

    /// Returns the time since any member of a gang made progress, if the progress of any is known.
    fn gang_stalled_for(
        &self,
        now: Duration,
        entry: &Entry,
        task: Task,
        run: Run,
    ) -> Option<Duration> {
        (0..entry.job.steps[usize::from(task.step)].tasks)
            .filter_map(|index| self.health.stalled_for(now, Task { index, ..task }, run))
            .min()
    }
}
