//! Stops runs that are better restarted elsewhere: stalled ones, and those that would outlast their
//! worker.
//!
//! The duration of a stall cannot be predicted. A run may therefore stall for as long as it would
//! take to redo the work that a stop loses, and is then stopped so that its task restarts elsewhere.

use super::draft::Draft;
use super::expect;
use super::pace::PacePrior;
use super::{Decision, Plan, Planner};
use crate::id::{Run, Task};
use crate::ledger::JobState;
use std::time::Duration;

/// Time without progress, in addition to the time to redo the lost work, after which a run is
/// stopped. Exceeds the age of the progress in the reports.
const STALL_LIMIT: Duration = Duration::from_millis(1_600);
/// Time after which a gang that has not started completely is stopped. Below the time after which
/// its members time out by themselves.
const GANG_START_LIMIT: Duration = Duration::from_millis(2_200);
/// Time for which a draining worker is expected to keep running.
const DRAIN_TIME: Duration = Duration::from_millis(2_500);

impl Planner {
    /// Stops long runs on draining workers. Their work would be lost with the worker, whereas
    /// progress that is saved at the stop is kept.
    pub(super) fn stop_on_draining_workers(
        &mut self,
        now: Duration,
        draft: &Draft,
        plan: &mut Plan,
    ) {
        let mut outlasting = Vec::new();
        for (job, job_state, progress) in draft.open() {
            for (step, index, placed, incarnation) in progress.placed() {
                let task = Task { job, step, index };
                if !self.reports.is_draining(incarnation)
                    || self.stopping.contains(&(task, placed.run))
                {
                    continue;
                }
                let remaining = self.remaining(now, draft, job_state, task, placed.run);
                if remaining > DRAIN_TIME {
                    outlasting.push((task, placed.run, remaining));
                }
            }
        }
        for (task, run, remaining) in outlasting {
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
        let mut stalled = Vec::new();
        let stall_times = self.health.worker_stalls(now, |task| {
            expect::pace_of_task(&self.expectations, draft, task)
        });
        for (job, job_state, progress) in draft.open() {
            for (step, index, placed, incarnation) in progress.placed() {
                let task = Task { job, step, index };
                let stalled_for = self.stalled_run(
                    now,
                    job_state,
                    task,
                    placed.run,
                    stall_times.get(&incarnation.host),
                );
                if let Some(stalled_for) = stalled_for
                    && !self.stopping.contains(&(task, placed.run))
                {
                    stalled.push((task, placed.run, stalled_for));
                }
            }
        }
        for (task, run, stalled_for) in stalled {
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
        job_state: &JobState,
        task: Task,
        run: Run,
        worker_stall: Option<&Duration>,
    ) -> Option<Duration> {
        let step = &job_state.job.steps[usize::from(task.step)];
        let elapsed = self.health.elapsed(now, task, run)?;
        if step.gang && !self.health.gang_was_complete(task, run) {
            return (elapsed > GANG_START_LIMIT).then_some(elapsed);
        }
        let redo_time = self.redo_time(now, job_state, task, run);
        let stalled_for = if step.gang {
            // The members of a gang make progress together.
            self.gang_stalled_for(now, job_state, task, run)?
        } else if let Some(stalled_for) = self.run_stalled_for(now, job_state, task, run) {
            stalled_for
        } else {
            // The run reports no progress, but other runs on the worker may.
            *worker_stall?.min(&elapsed)
        };
        // The redo time includes the stall itself, during which no work was done.
        let lost_work_time = redo_time.saturating_sub(stalled_for);
        (stalled_for > STALL_LIMIT + lost_work_time).then_some(stalled_for)
    }

    /// Returns the time since any member of a gang made progress, if the progress of any is known.
    fn gang_stalled_for(
        &self,
        now: Duration,
        job_state: &JobState,
        task: Task,
        run: Run,
    ) -> Option<Duration> {
        let step = &job_state.job.steps[usize::from(task.step)];
        (0..step.tasks)
            .filter_map(|index| {
                let member = Task { index, ..task };
                self.run_stalled_for(now, job_state, member, run)
            })
            .min()
    }

    /// Returns the time since a run last made progress, if that is known; zero while the next one is not overdue.
    fn run_stalled_for(
        &self,
        now: Duration,
        job_state: &JobState,
        task: Task,
        run: Run,
    ) -> Option<Duration> {
        let job = &job_state.job;
        let prior = PacePrior {
            expected_run_time: self
                .expected(job, &job.steps[usize::from(task.step)])
                .typical(),
            accepted: job.accepted,
        };
        self.health.stalled_for(now, task, run, prior)
    }
}
