//! Names of tasks on a worker, from which a later life of the agent recognises them.

use godwitstep_core::id::{Accelerators, Attempt, JobId};
use std::fmt;

/// Separates the fields; not legal in the name of a job, and legal in a path.
const SEPARATOR: char = '~';

/// One task of a part.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Task {
    pub(super) job: JobId,
    pub(super) attempt: Attempt,
    /// Number of the task within the part, from 0.
    pub(super) index: u32,
    /// Tasks of the part.
    pub(super) tasks: u32,
    /// Accelerators of the whole part.
    pub(super) accelerators: Accelerators,
}

impl Task {
    /// Returns the accelerators of this task. What can't be divided evenly goes to the first ones.
    pub(super) const fn share(&self) -> Accelerators {
        let extra = if self.index < self.accelerators % self.tasks {
            1
        } else {
            0
        };
        self.accelerators / self.tasks + extra
    }

    /// Reads the name of a task; `None` if another program gave it.
    pub(super) fn parse(name: &str) -> Option<Self> {
        let mut fields = name.split(SEPARATOR);
        let task = Self {
            job: fields.next().filter(|job| !job.is_empty())?.into(),
            attempt: fields.next()?.parse().ok()?,
            index: fields.next()?.parse().ok()?,
            tasks: fields.next()?.parse().ok()?,
            accelerators: fields.next()?.parse().ok()?,
        };
        // Only a name that would be written in the same way is one of ours.
        let known = task.index < task.tasks && task.to_string() == name;
        known.then_some(task)
    }
}

impl fmt::Display for Task {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            attempt,
            index,
            tasks,
            accelerators,
        } = self;
        let s = SEPARATOR;
        write!(f, "{job}{s}{attempt}{s}{index}{s}{tasks}{s}{accelerators}")
    }
}
