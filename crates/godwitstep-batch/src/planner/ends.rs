//! Applies ended runs to the state of their jobs.

use super::draft::Draft;
use super::reports::EndCause;
use super::{Decision, Plan, Planner, broken, crashes};
use crate::id::{Incarnation, JobId, Run, Task};
use crate::job::Job;
use crate::message::{EndReason, Refusal};
use crate::progress::{Progress, State, Step};
use std::sync::Arc;
use std::time::Duration;

/// Returns whether a task or gang of the job has failed as often as its queue allows.
pub(super) fn exhausted(job: &Job, progress: &Progress) -> bool {
    let attempts = job.queue.attempts.max(1);
    progress
        .steps
        .iter()
        .flat_map(|step| &step.tasks)
        .any(|task| task.failures >= attempts)
}

/// A run that has ended.
pub(super) struct EndedRun {
    pub task: Task,
    pub run: Run,
    pub incarnation: Incarnation,
    pub cause: EndCause,
}

impl Planner {
    /// Applies all ends that the reports show.
    pub(super) fn record_ends(&mut self, now: Duration, draft: &mut Draft, plan: &mut Plan) {
        for end in self.ends(now, draft) {
            plan.run_time_errors.extend(self.learn(now, draft, &end));
            let crashed = self.apply_end(now, draft, &end);
            plan.decisions.extend(crashed);
            plan.decisions.push(Decision::Ended {
                task: end.task,
                run: end.run,
                how: cause_label(&end.cause),
                report: self.reports.summary(now, &end.incarnation.host),
                incarnation: end.incarnation,
            });
        }
        self.apply_late_results(now, draft, plan);
    }

    fn ends(&self, now: Duration, draft: &Draft) -> Vec<EndedRun> {
        let mut ends = Vec::new();
        for (job, _, progress) in draft.open() {
            for (step, index, placed, incarnation) in progress.placed() {
                let task = Task { job, step, index };
                let state = &progress.steps[usize::from(step)];
                let cause = self
                    .reports
                    .end_cause(now, incarnation, task, placed.run)
                    .or_else(|| self.broken_end_cause(now, state, index, placed.run, incarnation));
                if let Some(cause) = cause {
                    ends.push(EndedRun {
                        task,
                        run: placed.run,
                        incarnation: incarnation.clone(),
                        cause,
                    });
                }
            }
        }
        ends
    }

    /// Applies an end. Returns a decision if it counts as a crash.
    fn apply_end(&mut self, now: Duration, draft: &mut Draft, end: &EndedRun) -> Option<Decision> {
        let job_state = draft.ledger().job(end.task.job)?;
        let gang = job_state
            .job
            .steps
            .get(usize::from(end.task.step))
            .is_some_and(|step| step.gang);
        self.stopping.remove(&(end.task, end.run));
        self.ended.insert((end.task, end.run));
        self.health
            .record_end(now, &end.incarnation, end.task.job, &end.cause);
        let failed = matches!(end.cause, EndCause::Reported(EndReason::Failed, _));
        if failed && self.health.failed_quickly(now, end.task, end.run) {
            self.health.mark_suspect(&end.incarnation);
            self.failures.record(end.task.job, &end.incarnation);
        }
        let saved = match &end.cause {
            EndCause::Reported(_, saved) => saved.clone(),
            // The ends of the other members have newer checkpoints of the gang.
            EndCause::BrokeGang => "".into(),
            // A lost run resumes from the checkpoint in its last report.
            _ => self.health.saved(end.task, end.run),
        };
        let begun = matches!(end.cause, EndCause::Reported(..))
            || self.health.was_listed(end.task, end.run);
        let progress = draft.edit(end.task.job);
        progress.begun |= begun;
        let step = progress.steps.get_mut(usize::from(end.task.step))?;
        if gang {
            broken::record_end(step, end, self.reports.lists_worker(&end.incarnation));
        }
        update_step(step, gang, end, &saved);
        count_crash(progress, end)
    }

    /// Records results of runs that were already considered lost. If a replacement run was started
    /// meanwhile and the newest report of its worker does not list it, it is stopped first: it may
    /// have begun or still begin, and a task that is recorded as done occupies no capacity.
    fn apply_late_results(&mut self, now: Duration, draft: &mut Draft, plan: &mut Plan) {
        let mut late: Vec<(JobId, Task, Run, Incarnation)> = Vec::new();
        for (_, worker) in self.reports.workers(now) {
            for end in worker.ended.iter().filter(|end| end.how == EndReason::Done) {
                let Some(job_state) = draft.ledger().job(end.task.job) else {
                    continue;
                };
                let progress = draft.progress(end.task.job, job_state);
                let open = progress
                    .task(end.task.step, end.task.index)
                    .is_some_and(|task| task.state != State::Done);
                if open && progress.outcome.is_none() {
                    late.push((
                        end.task.job,
                        end.task,
                        end.run,
                        worker.info.incarnation.clone(),
                    ));
                }
            }
        }
        for (job, task, run, incarnation) in late {
            let gang = draft
                .ledger()
                .job(job)
                .and_then(|job_state| job_state.job.steps.get(usize::from(task.step)))
                .is_some_and(|step| step.gang);
            let Some(step) = draft.edit(job).steps.get_mut(usize::from(task.step)) else {
                continue;
            };
            let mut unlisted = placed_runs(step, gang, task);
            unlisted
                .retain(|(task, run, incarnation)| !self.reports.lists(incarnation, *task, *run));
            if !unlisted.is_empty() {
                let runs = unlisted.into_iter().map(|(task, run, _)| (task, run));
                self.stopping.extend(runs);
                continue;
            }
            mark_done(step, gang, task.index);
            plan.decisions.push(Decision::Ended {
                task,
                run,
                report: self.reports.summary(now, &incarnation.host),
                incarnation,
                how: "done, after it was taken for lost",
            });
        }
    }
}

/// Counts the crash that ended a run, if it was one. Returns the decision for the log.
pub(super) fn count_crash(progress: &mut Progress, end: &EndedRun) -> Option<Decision> {
    let EndCause::WorkerCrashed(evidence) = end.cause else {
        return None;
    };
    let step = progress.steps.get_mut(usize::from(end.task.step))?;
    let counted = crashes::count(step, end.task.index, &end.incarnation.host, evidence);
    Some(Decision::Crashed {
        task: end.task,
        run: end.run,
        incarnation: end.incarnation.clone(),
        alone: evidence.alone,
        prompt: evidence.prompt,
        given_up: crashes::given_up(progress),
        crashes: counted,
    })
}

fn update_step(step: &mut Step, gang: bool, end: &EndedRun, saved: &Arc<str>) {
    let index = usize::from(end.task.index);
    let cause = &end.cause;
    if matches!(cause, EndCause::Reported(EndReason::Done, _)) {
        mark_done(step, gang, end.task.index);
        return;
    }
    if matches!(cause, EndCause::Reported(EndReason::Failed, _)) {
        count_failure(step, gang, index, end.run);
    }
    if let Some(task) = step.tasks.get_mut(index)
        && task.placed_on().is_some()
    {
        task.state = State::Waiting;
    }
    if !saved.is_empty() {
        let members = if gang {
            &mut step.tasks[..]
        } else {
            step.tasks.get_mut(index..=index).unwrap_or_default()
        };
        for task in members {
            task.saved = saved.clone();
        }
    }
}

/// Returns the placed runs of a task, or of all members of its gang, with their workers.
fn placed_runs(step: &Step, gang: bool, task: Task) -> Vec<(Task, Run, Incarnation)> {
    (0..)
        .zip(&step.tasks)
        .filter(|(index, _)| gang || *index == task.index)
        .filter_map(|(index, state)| {
            let incarnation = state.placed_on()?.clone();
            Some((Task { index, ..task }, state.run, incarnation))
        })
        .collect()
}

/// Marks a task as done, or all members of its gang, because they end together.
fn mark_done(step: &mut Step, gang: bool, index: u16) {
    for (number, task) in (0..).zip(&mut step.tasks) {
        if gang || number == index {
            task.state = State::Done;
            task.saved = "".into();
        }
    }
    crashes::clear(step, gang, index);
    step.unexplained.clear();
}

/// Counts a failed run. A failed run of a gang counts once, on the first member.
fn count_failure(step: &mut Step, gang: bool, index: usize, run: Run) {
    if gang {
        if run <= step.failed_run {
            return;
        }
        step.failed_run = run;
    }
    let counted = if gang { 0 } else { index };
    if let Some(task) = step.tasks.get_mut(counted) {
        task.failures += 1;
    }
}

/// Returns the text for logs and for the `how` metric label.
pub(super) const fn cause_label(cause: &EndCause) -> &'static str {
    match cause {
        EndCause::Reported(EndReason::Done, _) => "done",
        EndCause::Reported(EndReason::Failed, _) => "failed",
        EndCause::Reported(EndReason::Stopped, _) => "stopped",
        EndCause::Reported(EndReason::LeaseExpired, _) => "lapsed",
        EndCause::Reported(EndReason::GangEnded, _) => "broken with its gang",
        EndCause::Reported(EndReason::GangTimeout, _) => "waited alone for its gang",
        EndCause::Refused(Refusal::Unhealthy) => "refused by an unhealthy worker",
        EndCause::Refused(Refusal::InsufficientCapacity) => "refused for want of room",
        EndCause::Refused(Refusal::Malformed) => "refused as malformed",
        EndCause::Refused(Refusal::Superseded) => "superseded before it began",
        EndCause::Refused(Refusal::Withdrawn) => "withdrawn before it began",
        EndCause::LeaseExpired => "lease ended out of the agent's reach",
        EndCause::BrokeGang => "ended before its gang, agent silent",
        EndCause::WorkerGone => "worker is gone",
        EndCause::AgentSilent => "agent silent for longer than any lease",
        EndCause::WorkerCrashed(_) => "worker crashed",
    }
}
