//! What the ends of runs mean for their jobs.

use super::draft::Draft;
use super::fleet::Fate;
use super::{Decision, Plan, Planner};
use crate::id::{JobId, Life, Run, Task};
use crate::job::Job;
use crate::message::{How, Refusal};
use crate::progress::{Progress, State, Step};
use std::sync::Arc;
use std::time::Duration;

/// Tells whether a task or a gang of the job has failed as often as its queue allows.
pub(super) fn exhausted(job: &Job, progress: &Progress) -> bool {
    let attempts = job.queue.attempts.max(1);
    progress
        .steps
        .iter()
        .flat_map(|step| &step.tasks)
        .any(|task| task.failures >= attempts)
}

/// Time after the first end of a member of a gang in which all others end, and an agent that can
/// report that does.
const GANG_ENDS: Duration = Duration::from_millis(1_500);

/// A run that has ended.
struct End {
    task: Task,
    run: Run,
    life: Life,
    fate: Fate,
}

impl Planner {
    /// Enters all ends that the reports show.
    pub(super) fn settle(&mut self, now: Duration, draft: &mut Draft, plan: &mut Plan) {
        for end in self.ends(now, draft) {
            self.enter(now, draft, &end);
            plan.decisions.push(Decision::Ended {
                task: end.task,
                run: end.run,
                how: name(&end.fate),
                life: end.life,
            });
        }
        self.enter_late(now, draft, plan);
    }

    fn ends(&self, now: Duration, draft: &Draft) -> Vec<End> {
        let mut ends = Vec::new();
        for (job, entry, progress) in draft.open() {
            for (step, index, placed, life) in progress.placed() {
                let task = Task { job, step, index };
                let gang = entry.job.steps[usize::from(step)].gang;
                let fate = self
                    .fleet
                    .fate(now, life, task, placed.run)
                    .or_else(|| gang.then(|| self.gang_fate(now, life, task, placed.run))?);
                if let Some(fate) = fate {
                    ends.push(End {
                        task,
                        run: placed.run,
                        life: life.clone(),
                        fate,
                    });
                }
            }
        }
        ends
    }

    /// Returns the fate of a member of a gang whose agent is silent while other members have ended. A
    /// gang that has worked had all its members, and they end within a moment of each other.
    fn gang_fate(&self, now: Duration, life: &Life, task: Task, run: Run) -> Option<Fate> {
        let torn = *self.torn.get(&(task.job, task.step, run))?;
        let ended = now >= torn + GANG_ENDS;
        (ended && self.health.was_whole(task, run) && self.fleet.stale(now, &life.host))
            .then_some(Fate::GangEnded)
    }

    fn enter(&mut self, now: Duration, draft: &mut Draft, end: &End) {
        let Some(entry) = draft.ledger().job(end.task.job) else {
            return;
        };
        let gang = entry
            .job
            .steps
            .get(usize::from(end.task.step))
            .is_some_and(|step| step.gang);
        self.stopping.remove(&(end.task, end.run));
        if !gang && matches!(end.fate, Fate::Ended(How::Done, _)) {
            self.health.done(now, &end.life, end.task, end.run);
        }
        self.health.ended(now, &end.life, end.task.job, &end.fate);
        let failed = matches!(end.fate, Fate::Ended(How::Failed, _));
        if failed && self.health.failed_quickly(now, end.task, end.run) {
            self.health.suspect(&end.life);
            self.failures.note(end.task.job, &end.life);
        }
        let saved = match &end.fate {
            Fate::Ended(_, saved) => saved.clone(),
            // What the last report showed of a run that is lost.
            _ => self.health.saved(end.task, end.run),
        };
        let progress = draft.edit(end.task.job);
        let Some(step) = progress.steps.get_mut(usize::from(end.task.step)) else {
            return;
        };
        enter_end(step, gang, end, &saved);
    }

    /// Enters results of runs that were taken for lost. A run that was started for the task meanwhile and that no
    /// report lists yet is stopped first: it may have begun, and a task that is recorded as done takes no room.
    fn enter_late(&mut self, now: Duration, draft: &mut Draft, plan: &mut Plan) {
        let mut late: Vec<(JobId, Task, Run, Life)> = Vec::new();
        for (_, worker) in self.fleet.workers(now) {
            for end in worker.ended.iter().filter(|end| end.how == How::Done) {
                let Some(entry) = draft.ledger().job(end.task.job) else {
                    continue;
                };
                let progress = draft.progress(end.task.job, entry);
                let open = progress
                    .task(end.task.step, end.task.index)
                    .is_some_and(|task| task.state != State::Done);
                if open && progress.outcome.is_none() {
                    late.push((end.task.job, end.task, end.run, worker.about.life.clone()));
                }
            }
        }
        for (job, task, run, life) in late {
            let gang = draft
                .ledger()
                .job(job)
                .and_then(|entry| entry.job.steps.get(usize::from(task.step)))
                .is_some_and(|step| step.gang);
            let Some(step) = draft.edit(job).steps.get_mut(usize::from(task.step)) else {
                continue;
            };
            let mut unlisted = placed(step, gang, task);
            unlisted.retain(|(task, run)| !self.health.listed(*task, *run));
            if !unlisted.is_empty() {
                self.stopping.extend(unlisted);
                continue;
            }
            finish(step, gang, usize::from(task.index));
            plan.decisions.push(Decision::Ended {
                task,
                run,
                life,
                how: "done, after it was taken for lost",
            });
        }
    }
}

fn enter_end(step: &mut Step, gang: bool, end: &End, saved: &Arc<str>) {
    let index = usize::from(end.task.index);
    let fate = &end.fate;
    if matches!(fate, Fate::Ended(How::Done, _)) {
        finish(step, gang, index);
        return;
    }
    if matches!(fate, Fate::Ended(How::Failed, _)) {
        count_failure(step, gang, index, end.run);
    }
    if let Some(task) = step.tasks.get_mut(index)
        && task.place().is_some()
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

/// Returns the runs that are placed for a task, or for the members of its gang.
fn placed(step: &Step, gang: bool, task: Task) -> Vec<(Task, Run)> {
    (0..)
        .zip(&step.tasks)
        .filter(|(index, state)| (gang || *index == task.index) && state.place().is_some())
        .map(|(index, state)| (Task { index, ..task }, state.run))
        .collect()
}

/// Marks a task as done, or all members of its gang: they end together.
fn finish(step: &mut Step, gang: bool, index: usize) {
    for (number, task) in step.tasks.iter_mut().enumerate() {
        if gang || number == index {
            task.state = State::Done;
            task.saved = "".into();
        }
    }
}

/// Counts a failed run: for a gang once a run, at its first member.
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

/// Names a fate for the log.
const fn name(fate: &Fate) -> &'static str {
    match fate {
        Fate::Ended(How::Done, _) => "done",
        Fate::Ended(How::Failed, _) => "failed",
        Fate::Ended(How::Stopped, _) => "stopped",
        Fate::Ended(How::Lapsed, _) => "lapsed",
        Fate::Ended(How::Broken, _) => "broken with its gang",
        Fate::Ended(How::Alone, _) => "waited alone for its gang",
        Fate::Refused(Refusal::Unhealthy) => "refused by an unhealthy worker",
        Fate::Refused(Refusal::Room) => "refused for want of room",
        Fate::Refused(Refusal::Malformed) => "refused as malformed",
        Fate::Refused(Refusal::Superseded) => "superseded before it began",
        Fate::Refused(Refusal::Withdrawn) => "withdrawn before it began",
        Fate::Lapsed => "lease ended out of the agent's reach",
        Fate::GangEnded => "ended with its gang, agent silent",
        Fate::Gone => "worker is gone",
        Fate::Silent => "agent silent for longer than any lease",
    }
}
