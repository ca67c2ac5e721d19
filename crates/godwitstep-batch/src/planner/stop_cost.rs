//! What a stop costs, and how much of it a job may cause.
//!
//! Runs are compared by the work that a stop loses, weighted by the priority of their jobs and by whether they write
//! checkpoints. Estimates of run times are off by up to a half, so the measures are rough; the weights decide which of
//! several possible stops is made, and the limit whether any is.

use super::Planner;
use super::draft::Draft;
use super::expect::Length;
use super::order::Urgency;
use super::preempt::SWITCH_TIME;
use crate::id::Task;
use crate::job::Step;
use crate::ledger::JobState;
use crate::progress;
use std::time::Duration;

/// Weights of lost work by priority, starting with priority 1. The last one applies to all further
/// priorities.
const LOSS_WEIGHTS: [f64; 2] = [3.0, 1.0];
/// Weight of work that is lost for good because the run writes no checkpoints. Without it, such runs are
/// stopped as soon as they have begun, again and again, in place of those that resume.
const UNSAVED_WEIGHT: f64 = 3.0;
/// How much weighted work a job beyond its guarantee may cost, as a multiple of its own. Compensates for
/// [`UNSAVED_WEIGHT`], which makes stops dearer: with 1.25, fewer urgent jobs were in time.
const COST_LIMIT: f64 = 1.5;
/// Multiple of its objective beyond which a job's expected end is late in spite of all errors of the estimate.
const LATE_LIMIT: f64 = 2.0;
/// Value of a late result relative to one in time.
const LATE_VALUE: f64 = 0.2;

/// Returns the weight of work that is lost in a step of a job of priority 1 or lower.
pub(super) fn loss_weight(priority: u8, step: &Step) -> f64 {
    let index = usize::from(priority.saturating_sub(1));
    let unsaved = if step.checkpointable {
        1.0
    } else {
        UNSAVED_WEIGHT
    };
    LOSS_WEIGHTS[index.min(LOSS_WEIGHTS.len() - 1)] * unsaved
}

impl Planner {
    /// Marks the runs of jobs that were cancelled or have failed as stopping, which they are ordered to. Otherwise they
    /// would count as running for the rest of their time, and other runs would be stopped in their place.
    pub(super) fn mark_ending(&mut self, draft: &Draft) {
        let ending = draft
            .open()
            .filter(|(_, job_state, progress)| !job_state.active() || progress.outcome.is_some());
        for (job, _, progress) in ending {
            let runs = progress.placed();
            let runs = runs.map(|(step, index, placed, _)| (Task { job, step, index }, placed.run));
            self.stopping.extend(runs);
        }
    }

    /// Returns the maximum cost of stops for one task of a job. `own_work` is the work of that task in core-seconds.
    ///
    /// A claim within its guarantee has no limit. A job that will be late anyway by more than the late limit may only cost
    /// what its late result is worth.
    pub(super) fn max_stop_cost(
        &self,
        now: Duration,
        urgency: Urgency,
        job_state: &JobState,
        own_work: f64,
    ) -> f64 {
        if !urgency.unguaranteed {
            return f64::INFINITY;
        }
        let job = &job_state.job;
        let steps = &job_state.progress.steps;
        let done = |step| steps.get(step).is_some_and(progress::Step::done);
        let remaining = self.remaining_length(job, Length::Typical, done);
        let end = self.age(now, urgency.job) + SWITCH_TIME + remaining;
        let objective = self.expected_objective(job, Length::Typical);
        let value = if end > objective.mul_f64(LATE_LIMIT) {
            LATE_VALUE
        } else {
            1.0
        };
        own_work * COST_LIMIT * value
    }
}
