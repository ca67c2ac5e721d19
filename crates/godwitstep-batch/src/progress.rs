//! How far a job has come: the part of a job's state that only the decider changes.
//!
//! A task is waiting, placed or done. It is placed from the record that assigns it to a life of a
//! worker until a record that says how that run ended, so a placed task may run and a task that is
//! not placed does not.
//!
//! ```
//! use godwitstep_batch::{job::Step, progress::Progress};
//!
//! let progress = Progress::new(&[Step { tasks: 3, ..Step::default() }]);
//! assert!(!progress.started() && !progress.done());
//! ```

use crate::id::{Life, Run};
use crate::job;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task or a gang failed as often as its queue allows, or can't run anywhere.
    Failed,
    /// Its caller cancelled it.
    Cancelled,
}

/// Where a task stands.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum State {
    /// It does not run.
    #[default]
    Waiting,
    /// Its current run may be under way in this life of a worker.
    Placed(Life),
    /// It is done.
    Done,
}

/// One task of a step.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Packed", into = "Packed")]
pub struct Task {
    /// Where it stands.
    pub state: State,
    /// Number of its last run; 0 before the first. Members of a gang share it.
    pub run: Run,
    /// Runs that ended as failed.
    pub failures: u32,
    /// Progress that the next run starts from; empty for none. Members of a gang share it.
    pub saved: Arc<str>,
}

/// A task without the names of its fields, which would be most of a record.
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
    /// Returns where the task is placed.
    #[must_use]
    pub const fn place(&self) -> Option<&Life> {
        match &self.state {
            State::Placed(life) => Some(life),
            State::Waiting | State::Done => None,
        }
    }
}

/// One step of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks in the order of their numbers.
    pub tasks: Vec<Task>,
    /// Last run of the gang that was counted as failed. A run counts once, however many of its
    /// members fail.
    pub failed_run: Run,
}

impl Step {
    /// Tells whether all tasks are done.
    #[must_use]
    pub fn done(&self) -> bool {
        self.tasks.iter().all(|task| task.state == State::Done)
    }

    /// Tells whether no task is placed.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.tasks.iter().all(|task| task.place().is_none())
    }
}

/// State of a job.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// How it ended; never changes once it is set.
    pub outcome: Option<Outcome>,
    /// Steps in the order of their numbers. Empty for an ended job none of whose tasks is placed.
    pub steps: Vec<Step>,
}

impl Progress {
    /// Returns the state of a job that has not begun.
    #[must_use]
    pub fn new(steps: &[job::Step]) -> Self {
        let steps = steps
            .iter()
            .map(|step| Step {
                tasks: vec![Task::default(); usize::from(step.tasks)],
                failed_run: 0,
            })
            .collect();
        Self {
            outcome: None,
            steps,
        }
    }

    /// Tells whether a task has been placed at some time.
    #[must_use]
    pub fn started(&self) -> bool {
        self.steps
            .iter()
            .flat_map(|step| &step.tasks)
            .any(|task| task.run > 0)
    }

    /// Tells whether all tasks are done.
    #[must_use]
    pub fn done(&self) -> bool {
        self.steps.iter().all(Step::done)
    }

    /// Tells whether no task is placed.
    #[must_use]
    pub fn idle(&self) -> bool {
        self.steps.iter().all(Step::idle)
    }

    /// Returns the task of a step.
    #[must_use]
    pub fn task(&self, step: u16, index: u16) -> Option<&Task> {
        self.steps
            .get(usize::from(step))?
            .tasks
            .get(usize::from(index))
    }

    /// Returns the placed tasks with their step, number and place.
    pub fn placed(&self) -> impl Iterator<Item = (u16, u16, &Task, &Life)> {
        (0..).zip(&self.steps).flat_map(|(step, content)| {
            (0..)
                .zip(&content.tasks)
                .filter_map(move |(index, task)| Some((step, index, task, task.place()?)))
        })
    }
}
