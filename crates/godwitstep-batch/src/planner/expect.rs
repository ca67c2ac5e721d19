//! Expected lengths of jobs and remaining times of runs.
//!
//! All decisions that depend on how long work takes ask here instead of reading the estimates.

use super::Planner;
use super::cluster::{Node, Occupant};
use super::draft::Draft;
use super::pace::PacePrior;
use super::speed_fit::RunBudget;
use crate::expectation::{Class, Expectation, Expectations};
use crate::id::{Run, Task};
use crate::job::{Job, Step};
use crate::ledger::JobState;
use crate::progress::{self, Progress};
use std::time::Duration;

/// Slowness up to which a worker counts as an average one in predicted ends.
const MIN_LOG_SLOWDOWN: f64 = 0.1;
/// Share of the runs that end within the time by which it is judged whether a job can wait.
const LOWER_QUANTILE: f64 = 0.1;
/// Share of the runs that end within the time by which a job is given up for its result being worthless.
const UPPER_QUANTILE: f64 = 0.95;

/// Length of a job, or of what is left of it, by which it is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Length {
    /// Each step takes as short as hardly any of its class.
    Lower,
    /// Each step takes its typical time.
    Typical,
    /// Each step takes as long as hardly any of its class.
    Upper,
}

/// Returns the expected run time of a task on a worker of average speed; zero if its job is unknown.
pub(super) fn of_task(expectations: &Expectations, draft: &Draft, task: Task) -> Expectation {
    let step = draft.ledger().job(task.job).and_then(|job_state| {
        let step = job_state.job.steps.get(usize::from(task.step))?;
        Some((&job_state.job, step))
    });
    step.map_or(Expectation::of_estimate(Duration::ZERO), |(job, step)| {
        expectations.expected(Class::of(job, step), step.estimate)
    })
}

/// Returns what is known of the pace of a task's runs before they show it.
pub(super) fn pace_of_task(expectations: &Expectations, draft: &Draft, task: Task) -> PacePrior {
    let job_state = draft.ledger().job(task.job);
    PacePrior {
        expected_run_time: of_task(expectations, draft, task).typical(),
        accepted: job_state.map_or(0, |job_state| job_state.job.accepted),
    }
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
                Length::Lower => expectation.quantile(LOWER_QUANTILE),
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

    /// Returns how long a job of this length may wait in all and still meet its objective. The objective grows with the
    /// length, so a short job can wait for the least time.
    pub(super) fn expected_slack(&self, job: &Job, length: Length) -> Duration {
        let length = self.remaining_length(job, length, |_| false);
        job.objective_for(length).saturating_sub(length)
    }

    /// Returns how long a step of a job may take.
    pub(super) fn run_budget(
        &self,
        now: Duration,
        job: &Job,
        progress: &Progress,
        step: &Step,
    ) -> RunBudget {
        let done = |step| progress.steps.get(step).is_some_and(progress::Step::done);
        let run = self.expected(job, step).typical();
        let remaining = self.remaining_length(job, Length::Typical, done);
        let objective = self.expected_objective(job, Length::Typical);
        RunBudget {
            run,
            rest: remaining.saturating_sub(run),
            left: objective.saturating_sub(self.age(now, job.id)),
        }
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
