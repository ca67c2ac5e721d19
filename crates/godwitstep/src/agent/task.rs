//! Names of tasks on a worker. A later incarnation of the agent parses them to adopt the tasks.

use godwitstep_core::id::{Accelerators, Attempt, JobId};
use std::fmt;

/// Separates the fields of a task name. Not allowed in a job's name, but allowed in a URL path.
const SEPARATOR: char = '~';

/// Identity of one task of a part, which is encoded in its name on the worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Task {
    pub(super) job: JobId,
    pub(super) attempt: Attempt,
    /// Number of the task within the part, from 0.
    pub(super) index: u32,
    /// Number of tasks in the part.
    pub(super) tasks: u32,
    /// Accelerators of the whole part.
    pub(super) accelerators: Accelerators,
}

impl Task {
    /// Returns the accelerators of this task. The remainder of an uneven division goes to the first
    /// tasks of the part, one each.
    pub(super) const fn accelerator_share(&self) -> Accelerators {
        let extra = if self.index < self.accelerators % self.tasks {
            1
        } else {
            0
        };
        self.accelerators / self.tasks + extra
    }

    /// Parses the name of a task; `None` if another program chose it.
    pub(super) fn parse(name: &str) -> Option<Self> {
        let mut fields = name.split(SEPARATOR);
        let task = Self {
            job: fields.next().filter(|job| !job.is_empty())?.into(),
            attempt: fields.next()?.parse().ok()?,
            index: fields.next()?.parse().ok()?,
            tasks: fields.next()?.parse().ok()?,
            accelerators: fields.next()?.parse().ok()?,
        };
        // A name that does not round-trip was not written by an agent.
        let round_trips = task.index < task.tasks && task.to_string() == name;
        round_trips.then_some(task)
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
        let separator = SEPARATOR;
        write!(
            f,
            "{job}{separator}{attempt}{separator}{index}{separator}{tasks}{separator}{accelerators}"
        )
    }
}
