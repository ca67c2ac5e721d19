//! Gangs that end because of a member whose agent is silent.
//!
//! A member on a worker that is cut off from the others does not learn that they have ended, and runs on under its lease.
//! So the end of one member shows nothing about another, whatever ended it and however long ago.
//!
//! A worker that reports that its member ended because another one had ended is evidence, however. The first member to
//! end ended for another reason. If the worker of each member but one says this, that one was the first. The gang may then
//! be started again without waiting for the longest lease of the silent agent.
//!
//! How that member ended is not known. It may have failed, and its worker may list that later. Until it does, or can't
//! any more, the run counts as an attempt, but the job does not fail for it.

use super::draft::Draft;
use super::ends::EndedRun;
use super::reports::EndCause;
use super::{Decision, Plan, Planner, ends};
use crate::id::{Incarnation, Run, Task};
use crate::job::Job;
use crate::message::EndReason;
use crate::progress::{self, Progress, Step};
use std::time::Duration;

/// Returns whether a gang may be started again even if each run whose end is not explained has failed.
pub(super) fn has_attempts_left(job: &Job, step: &Step) -> bool {
    let failures = step.tasks.iter().map(|task| task.failures).max();
    let unexplained = u32::try_from(step.unexplained.len()).unwrap_or(u32::MAX);
    failures.unwrap_or(0).saturating_add(unexplained) < job.queue.attempts.max(1)
}

/// Records what the end of a gang's member shows about the others, before the member is marked as ended. `listed` tells
/// whether the report is about the worker on which the member was placed, and not about its next incarnation, in which a
/// late start of the member may have ended.
pub(super) fn record_end(step: &mut Step, end: &EndedRun, listed: bool) {
    let broken = matches!(end.cause, EndCause::Reported(EndReason::GangEnded, _)) && listed;
    let mut members = step.tasks.iter();
    let first = !members.any(|task| task.run == end.run && task.placed_on().is_none());
    if broken && first {
        step.broken_run = end.run;
    } else if !broken && step.broken_run == end.run {
        step.broken_run = 0;
    }
    if end.cause == EndCause::BrokeGang {
        step.unexplained.push(progress::End {
            index: end.task.index,
            run: end.run,
            incarnation: end.incarnation.clone(),
        });
    }
}

impl Planner {
    /// Returns the end of a placed member whose agent is silent, if the other members show that it has ended.
    pub(super) fn broken_end_cause(
        &self,
        now: Duration,
        step: &Step,
        index: u16,
        run: Run,
        incarnation: &Incarnation,
    ) -> Option<EndCause> {
        let broken = step.broke_gang(index, run) && self.reports.is_silent(now, &incarnation.host);
        broken.then_some(EndCause::BrokeGang)
    }

    /// Applies what reports show meanwhile about ends that were not explained. One that no report has shown for as long as
    /// a silent agent's lease can last never counts: its lease is over, or the worker does not list it.
    pub(super) fn explain_ends(&mut self, now: Duration, draft: &mut Draft, plan: &mut Plan) {
        let known = std::mem::take(&mut self.unexplained_since);
        let mut explained = Vec::new();
        for (task, unexplained) in unexplained_ends(draft) {
            let run = unexplained.run;
            let incarnation = &unexplained.incarnation;
            let since = known.get(&(task, run)).copied().unwrap_or(now);
            let cause = self.reports.end_cause(now, incarnation, task, run);
            let expired = now > since + self.bounds.agent_timeout();
            if cause.is_none() && !expired {
                self.unexplained_since.insert((task, run), since);
                continue;
            }
            let end = EndedRun {
                task,
                run,
                incarnation: incarnation.clone(),
                cause: cause.unwrap_or(EndCause::BrokeGang),
            };
            explained.push(end);
        }
        for end in explained {
            let crashed = apply_explained(draft.edit(end.task.job), &end);
            plan.decisions.extend(crashed);
            self.health
                .record_end(now, &end.incarnation, end.task.job, &end.cause);
            plan.decisions.push(Decision::Explained {
                task: end.task,
                run: end.run,
                how: ends::cause_label(&end.cause),
                incarnation: end.incarnation,
            });
        }
    }
}

/// Returns the ends that are not explained, with their tasks.
fn unexplained_ends<'a>(draft: &'a Draft) -> impl Iterator<Item = (Task, &'a progress::End)> {
    draft.open().flat_map(|(job, _, progress)| {
        (0..).zip(&progress.steps).flat_map(move |(step, state)| {
            state.unexplained.iter().map(move |end| {
                let index = end.index;
                (Task { job, step, index }, end)
            })
        })
    })
}

/// Applies an explanation to the state of the job. Returns a decision if the run ended with a crash of its worker.
fn apply_explained(progress: &mut Progress, end: &EndedRun) -> Option<Decision> {
    let step = progress.steps.get_mut(usize::from(end.task.step))?;
    step.unexplained
        .retain(|known| (known.index, known.run) != (end.task.index, end.run));
    // No other member of this run can have failed before.
    if matches!(end.cause, EndCause::Reported(EndReason::Failed, _)) {
        step.tasks.first_mut()?.failures += 1;
    }
    ends::count_crash(progress, end)
}
