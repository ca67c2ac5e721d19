//! Expected lengths of jobs and remaining times of runs.
//!
//! All decisions that depend on how long work takes ask here instead of reading the estimates.

use super::Planner;
use super::cluster::{Node, Occupant};
use super::draft::Draft;
use crate::expectation::{Class, Expectation};
use crate::id::{Run, Task};
use crate::job::{Job, Step};
use crate::ledger::JobState;
use std::time::Duration;

/// Slowness up to which a worker counts as an average one in predicted ends.
const MIN_LOG_SLOWDOWN: f64 = 0.1;
/// Share of the runs that end within the time by which a job is given up for its result being worthless.
const UPPER_QUANTILE: f64 = 0.95;

/// Length of a job, or of what is left of it, by which it is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Length {
    /// Each step takes its typical time.
    Typical,
    /// Each step takes as long as hardly any of its class.
    Upper,
}

impl Planner {
    /// Returns the expected run time of a step's tasks on a worker of average speed.
    pub(super) fn expected(&self, job: &Job, step: &Step) -> Expectation {
        self.expectations
            .expected(Class::of(job, step), step.estimate)
    }

    /// Returns the expected length of the critical path of the steps that are not done.
    pub(super) fn remaining_length(
        &self,
        job: &Job,
        length: Length,
        done: impl Fn(usize) -> bool,
    ) -> Duration {
        job.critical_path_by(done, |step| {
            let expectation = self.expected(job, step);
            match length {
                Length::Typical => expectation.typical(),
                Length::Upper => expectation.quantile(UPPER_QUANTILE),
            }
        })
    }

    /// Returns the objective for the job's completion time if the job has this length. Objectives follow the true length,
    /// so the expected one gives the better objective too.
    pub(super) fn expected_objective(&self, job: &Job, length: Length) -> Duration {
        job.objective_for(self.remaining_length(job, length, |_| false))
    }

    /// Returns how long a job may wait in all and still meet its objective.
    pub(super) fn expected_slack(&self, job: &Job) -> Duration {
        let length = self.remaining_length(job, Length::Typical, |_| false);
        job.objective_for(length).saturating_sub(length)
    }

    /// Returns the predicted remaining time of a placed run.
    pub(super) fn time_left(&self, now: Duration, draft: &Draft, occupant: &Occupant) -> Duration {
        if self.is_stopping(occupant) {
            return self.bounds.max_stop_time;
        }
        let job_state = draft.ledger().job(occupant.task.job);
        job_state.map_or(Duration::ZERO, |job_state| {
            self.remaining(now, draft, job_state, occupant.task, occupant.run)
        })
    }

    /// Returns the predicted remaining time of a run that is not being stopped.
    pub(super) fn remaining(
        &self,
        now: Duration,
        draft: &Draft,
        job_state: &JobState,
        task: Task,
        run: Run,
    ) -> Duration {
        let expectation = || {
            let job = &job_state.job;
            let step = &job.steps[usize::from(task.step)];
            let progress = draft.progress(task.job, job_state);
            let placed = progress.task(task.step, task.index);
            let incarnation = placed.and_then(|task| task.placed_on());
            // A gang is as slow as its slowest member, which need not be this one.
            let host = incarnation
                .filter(|_| !step.gang)
                .map(|worker| &worker.host);
            let slowdown = host.map_or(0.0, |host| self.expectations.log_slowdown_of_host(host));
            on_worker(self.expected(job, step), slowdown)
        };
        self.health.remaining(now, task, run, expectation)
    }
}

/// Returns the expectation on a worker with this slowness, which counts if it is clear.
fn on_worker(expectation: Expectation, log_slowdown: f64) -> Expectation {
    if log_slowdown.abs() > MIN_LOG_SLOWDOWN {
        expectation.on_worker(log_slowdown)
    } else {
        expectation
    }
}

/// Returns the run time on a node of tasks that take `run_time` on a worker of average speed.
pub(super) fn on_node(run_time: Duration, node: &Node) -> Duration {
    on_worker(Expectation::of_estimate(run_time), node.log_slowdown).typical()
}
