//! Jobs as callers submit them.
//!
//! A job is a list of steps. A step has equal tasks, runs after the steps that it depends on, and
//! its tasks are independent of each other or a gang.
//!
//! ```
//! use godwitstep_batch::job::{Fault, Step};
//!
//! let steps = [Step { tasks: 2, after: vec![1], ..Step::default() }, Step::default()];
//! assert_eq!(godwitstep_batch::job::check(&steps), Err(Fault::Dependency { step: 0 }));
//! ```

use crate::demand::Demand;
use crate::id::{JobId, Workspace};
use crate::policy::Queue;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Most tasks in one job. Bounds the size of its records.
pub const MAX_TASKS: u64 = 4_000;
/// Most steps in one job.
pub const MAX_STEPS: usize = 64;

/// Longest time that a task may be estimated to run. Times that follow from it are several times as long.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Equal tasks that run after the same other steps.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub tasks: u16,
    /// What one task takes.
    pub demand: Demand,
    /// The caller's rough estimate of how long one task runs.
    pub estimate: Duration,
    /// Numbers of earlier steps whose tasks must all be done before. All are below this step's own.
    pub after: Vec<u16>,
    /// Whether the tasks work only together and end together.
    pub gang: bool,
    /// Whether the tasks are slow when they run on more than one rack.
    pub one_rack: bool,
    /// Whether the tasks save their progress.
    pub saves: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data; the tasks are slow on any other.
    pub data_rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 for any number.
    pub per_worker: u16,
}

impl Default for Step {
    fn default() -> Self {
        Self {
            tasks: 1,
            demand: Demand::default(),
            estimate: Duration::ZERO,
            after: Vec::new(),
            gang: false,
            one_rack: false,
            saves: false,
            label: None,
            data_rack: None,
            per_worker: 0,
        }
    }
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Name that the caller chose.
    pub id: JobId,
    /// Workspace on whose behalf it runs; `None` on a queue that needs no key.
    pub workspace: Option<Workspace>,
    /// Queue that it was handed to, as declared at that time. The terms hold on after the queue is
    /// withdrawn.
    pub queue: Queue,
    /// What the workers are told to run.
    pub spec: Arc<str>,
    /// Steps in the order of their numbers; [`check`] holds.
    pub steps: Vec<Step>,
    /// Wall clock of the entry that accepted it, in Unix milliseconds. Orders work, decides nothing
    /// that must hold.
    pub accepted: u64,
}

/// Why the steps of a job can't be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// There is no step, or there are too many.
    #[error("a job has 1 to {MAX_STEPS} steps")]
    Steps,
    /// There are no tasks, or too many.
    #[error("step {step} brings the tasks of the job outside 1 to {MAX_TASKS}")]
    Tasks {
        /// Number of the step.
        step: usize,
    },
    /// A task is estimated to run for longer than [`MAX_ESTIMATE`].
    #[error("step {step} is estimated to run for over a year")]
    Estimate {
        /// Number of the step.
        step: usize,
    },
    /// A step depends on itself or on a later one.
    #[error("step {step} depends on a step that is not an earlier one")]
    Dependency {
        /// Number of the step.
        step: usize,
    },
}

/// Checks the steps of a job.
///
/// # Errors
///
/// Returns the first fault.
pub fn check(steps: &[Step]) -> Result<(), Fault> {
    if steps.is_empty() || steps.len() > MAX_STEPS {
        return Err(Fault::Steps);
    }
    let mut total = 0;
    for (step, content) in steps.iter().enumerate() {
        total += u64::from(content.tasks);
        if content.tasks == 0 || total > MAX_TASKS {
            return Err(Fault::Tasks { step });
        }
        if content.estimate > MAX_ESTIMATE {
            return Err(Fault::Estimate { step });
        }
        if content
            .after
            .iter()
            .any(|&other| usize::from(other) >= step)
        {
            return Err(Fault::Dependency { step });
        }
    }
    Ok(())
}

impl Job {
    /// Returns the estimated length of the longest chain of steps.
    #[must_use]
    pub fn chain(&self) -> Duration {
        self.chain_left(|_| false)
    }

    /// Returns the time in which the job should end, by the estimates.
    #[must_use]
    pub fn objective(&self) -> Duration {
        self.chain().mul_f64(self.queue.stretch) + self.queue.objective
    }

    /// Returns the estimated length of the longest chain of the steps that are not done.
    #[must_use]
    pub fn chain_left(&self, done: impl Fn(usize) -> bool) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let ready = step
                .after
                .iter()
                .map(|&other| ends[usize::from(other)])
                .max()
                .unwrap_or_default();
            let own = if done(number) {
                Duration::ZERO
            } else {
                step.estimate
            };
            ends.push(ready + own);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimated work in core-seconds, accelerators included.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.steps
            .iter()
            .map(|step| f64::from(step.tasks) * step.demand.cores() * step.estimate.as_secs_f64())
            .sum()
    }
}
