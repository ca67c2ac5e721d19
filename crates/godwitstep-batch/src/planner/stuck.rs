//! Runs that are better stopped and started elsewhere: those that stand still, and those that their
//! worker will not see the end of.
//!
//! Nobody knows how long a standstill will last, so a run waits for as long as it takes to do its lost
//! work again, and is then stopped to run elsewhere.

use super::draft::Draft;
use super::{Decision, Plan, Planner};
use crate::id::{Run, Task};
use crate::ledger::Entry;
use std::time::Duration;

/// Time without progress, beyond that of the work that would be lost, after which a run is stopped to
/// run elsewhere. Above the age of the progress that reports show.
const STUCK: Duration = Duration::from_millis(1_600);
/// Time after which a gang whose members have not all begun is called back. Below the time after
/// which its members give up by themselves.
const GATHERING: Duration = Duration::from_millis(2_200);
/// Time for which a worker that has said that it leaves is expected to stay.
const LEAVING: Duration = Duration::from_millis(2_500);

impl Planner {
    /// Stops long runs on workers that are about to leave: their work is lost there, what they save
    /// at the stop is not.
    pub(super) fn move_off(&mut self, now: Duration, draft: &Draft, plan: &mut Plan) {
        let mut moved = Vec::new();
        for (job, entry, progress) in draft.open() {
            for (step, index, placed, life) in progress.placed() {
                let task = Task { job, step, index };
                let estimate = entry.job.steps[usize::from(step)].estimate;
                let left = self.health.remaining(now, task, placed.run, estimate);
                let leaves = self.fleet.leaves(life) && left > LEAVING;
                if leaves && !self.stopping.contains(&(task, placed.run)) {
                    moved.push((task, placed.run, left));
                }
            }
        }
        for (task, run, left) in moved {
            self.stopping.insert((task, run));
            plan.decisions.push(Decision::Moved { task, run, left });
        }
    }

    /// Stops runs that stand still and gangs that don't come together.
    pub(super) fn unstick(&mut self, now: Duration, draft: &Draft, plan: &mut Plan) {
        let mut stop = Vec::new();
        let standstills = self.health.standstills(now);
        for (job, entry, progress) in draft.open() {
            for (step, index, placed, life) in progress.placed() {
                let task = Task { job, step, index };
                let still =
                    self.standing(now, entry, task, placed.run, standstills.get(&life.host));
                if let Some(still) = still
                    && !self.stopping.contains(&(task, placed.run))
                {
                    stop.push((task, placed.run, still));
                }
            }
        }
        for (task, run, still) in stop {
            self.stopping.insert((task, run));
            plan.decisions.push(Decision::Stuck { task, run, still });
        }
    }

    /// Returns for how long a run has stood still, if it is better stopped and started elsewhere;
    /// `standstill` is for how long nothing has moved on its worker.
    fn standing(
        &self,
        now: Duration,
        entry: &Entry,
        task: Task,
        run: Run,
        standstill: Option<&Duration>,
    ) -> Option<Duration> {
        let step = &entry.job.steps[usize::from(task.step)];
        let elapsed = self.health.elapsed(now, task, run)?;
        if step.gang && !self.health.was_whole(task, run) {
            return (elapsed > GATHERING).then_some(elapsed);
        }
        let lost = self.lost_time(now, entry, task, run);
        let still = if step.gang {
            // Its members move together.
            self.gang_still(now, entry, task, run)?
        } else if let Some(still) = self.health.still(now, task, run) {
            still
        } else {
            // Its progress is not shown; that of others on the worker may be.
            *standstill?.min(&elapsed)
        };
        let done = lost.saturating_sub(still);
        (still > STUCK + done).then_some(still)
    }

    /// Returns for how long no member of a gang has moved, if the progress of any is known.
    fn gang_still(&self, now: Duration, entry: &Entry, task: Task, run: Run) -> Option<Duration> {
        (0..entry.job.steps[usize::from(task.step)].tasks)
            .filter_map(|index| self.health.still(now, Task { index, ..task }, run))
            .min()
    }
}
