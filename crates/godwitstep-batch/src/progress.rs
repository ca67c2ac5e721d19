//! Progress of a job: the part of its state that only the decider changes.
//!
//! A task is waiting, placed or done. It is placed from the record that assigns it to an incarnation of a worker
//! until the record of that run's end. So a placed task may be running, and any other task is not.
//!
//! ```
//! use godwitstep_batch::{job::Step, progress::Progress};
//!
//! let progress = Progress::new(&[Step { tasks: 3, ..Step::default() }]);
//! assert!(!progress.started() && !progress.done());
//! ```

use crate::id::{Host, Incarnation, Run};
use crate::job;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks completed.
    Completed,
    /// A task or gang failed as often as its queue allows, or can't run on any worker.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// State of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// The task is not running and not done.
    #[default]
    Waiting,
    /// The task's current run may be active on this incarnation of a worker.
    Placed(Incarnation),
    /// The task has completed.
    Done,
}

/// Progress of a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Task {
    /// Current state of the task.
    pub state: State,
    /// Number of the last run, or 0 before the first. All members of a gang have the same number.
    pub run: Run,
    /// Number of failed runs.
    pub failures: u32,
    /// Checkpoint from which the next run resumes; empty if there is none. All members of a gang have the same one.
    pub saved: Arc<str>,
}

/// Serialized form of a task, without field names, which would make up most of a record.
type Packed = (State, Run, u32, Arc<str>);

impl From<Packed> for Task {
    fn from((state, run, failures, saved): Packed) -> Self {
        Self {
            state,
            run,
            failures,
            saved,
        }
    }
}

impl From<Task> for Packed {
    fn from(task: Task) -> Self {
        (task.state, task.run, task.failures, task.saved)
    }
}

impl Task {
    /// Returns the incarnation of a worker on which the task is placed.
    #[must_use]
    pub const fn placed_on(&self) -> Option<&Incarnation> {
        match &self.state {
            State::Placed(incarnation) => Some(incarnation),
            State::Waiting | State::Done => None,
        }
    }
}

/// Crashes of the workers that ran a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Crashes {
    /// Number of runs that ended with a crash of their worker.
    pub count: u32,
    /// How many of them ran on a worker that ran no other job's task then.
    pub alone: u32,
    /// How many of these had begun shortly before the crash.
    pub prompt: u32,
    /// Hosts of the workers.
    pub hosts: BTreeSet<Host>,
}

/// End of a run of a gang's member whose cause is not known. It may be a failure, which counts once the worker lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct End {
    /// Index of the member.
    pub index: u16,
    /// Number of the run.
    pub run: Run,
    /// Incarnation of the worker that ran it.
    #[serde(rename = "life")]
    pub incarnation: Incarnation,
}

/// Progress of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks in the order of their indexes.
    pub tasks: Vec<Task>,
    /// Last run of the gang that was counted as failed; a run counts once, no matter how many members fail.
    pub failed_run: Run,
    /// Run of the gang that ended because of a member whose end is not recorded: the worker of each member that has ended
    /// says that another one had ended before. 0 if there is none.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub broken_run: Run,
    /// Ends of the gang that are not explained: at most one for each run, and no more than the queue allows attempts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub unexplained: Vec<End>,
    /// Crashes by the index of the task. No entry for a task that is done.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub crashes: BTreeMap<u16, Crashes>,
}

impl Step {
    /// Returns whether the gang's run ended because of this member: all others have ended, and only because another one
    /// had ended before.
    #[must_use]
    pub fn broke_gang(&self, index: u16, run: Run) -> bool {
        let others = (0..).zip(&self.tasks).filter(|(other, _)| *other != index);
        self.broken_run == run
            && others
                .map(|(_, task)| task)
                .all(|task| task.run == run && task.placed_on().is_none())
    }

    /// Returns whether it is not known how a run on an incarnation of a worker ended.
    #[must_use]
    pub fn is_unexplained(&self, index: u16, run: Run, incarnation: &Incarnation) -> bool {
        let mut ends = self.unexplained.iter();
        ends.any(|end| (end.index, end.run, &end.incarnation) == (index, run, incarnation))
    }

    /// Returns whether all tasks of the step are done.
    #[must_use]
    pub fn done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == State::Done)
    }

    /// Returns whether no task of the step is placed.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.tasks.iter().all(|task| task.placed_on().is_none())
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature that serde requires.
const fn is_zero(run: &Run) -> bool {
    *run == 0
}

/// Progress of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Outcome of the job; does not change once it is set.
    pub outcome: Option<Outcome>,
    /// Steps in the order of their indexes; empty for an ended job without placed tasks.
    pub steps: Vec<Step>,
    /// Whether a run of a task is known to have begun. A run that is only placed may still be refused by its worker, or
    /// never reach it. Set up to a second late; not set by deciders of earlier versions, see [`Progress::has_begun`].
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub begun: bool,
}

impl Progress {
    /// Returns the progress of a job that has not started.
    #[must_use]
    pub fn new(steps: &[job::Step]) -> Self {
        let steps = steps
            .iter()
            .map(|step| Step {
                tasks: vec![Task::default(); usize::from(step.tasks)],
                ..Step::default()
            })
            .collect();
        Self {
            steps,
            ..Self::default()
        }
    }

    /// Returns whether this can be the progress of a job with these steps.
    #[must_use]
    pub fn matches(&self, steps: &[job::Step]) -> bool {
        let task_counts = steps.iter().map(|step| usize::from(step.tasks));
        let ended = self.outcome.is_some() && self.steps.is_empty();
        ended
            || self
                .steps
                .iter()
                .map(|step| step.tasks.len())
                .eq(task_counts)
    }

    /// Returns whether any task has ever been placed. No run may have [begun](Self::begun) yet.
    #[must_use]
    pub fn started(&self) -> bool {
        self.steps
            .iter()
            .flat_map(|step| &step.tasks)
            .any(|task| task.run > 0)
    }

    /// Returns whether a run of a task is known to have begun: it is marked, or a run has completed or failed.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        let mut tasks = self.steps.iter().flat_map(|step| &step.tasks);
        self.begun || tasks.any(|task| task.failures > 0 || task.state == State::Done)
    }

    /// Returns whether all tasks of the job are done.
    #[must_use]
    pub fn done(&self) -> bool {
        self.steps.iter().all(Step::done)
    }

    /// Returns whether no task of the job is placed.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.steps.iter().all(Step::idle)
    }

    /// Returns the task with these step and task indexes.
    #[must_use]
    pub fn task(&self, step: u16, index: u16) -> Option<&Task> {
        self.steps
            .get(usize::from(step))?
            .tasks
            .get(usize::from(index))
    }

    /// Returns the placed tasks with their step index, task index and worker incarnation.
    pub fn placed(&self) -> impl Iterator<Item = (u16, u16, &Task, &Incarnation)> {
        (0..).zip(&self.steps).flat_map(|(step_index, step)| {
            (0..)
                .zip(&step.tasks)
                .filter_map(move |(index, task)| Some((step_index, index, task, task.placed_on()?)))
        })
    }
}
