//! Jobs as submitted by callers.
//!
//! A job is a list of steps. The tasks of a step are identical, run after the steps on which the step depends, and
//! are either independent of each other or a gang.
//!
//! ```
//! use godwitstep_batch::job::{Step, StepsError};
//!
//! let steps = [Step { tasks: 2, depends_on: vec![1], ..Step::default() }, Step::default()];
//! assert_eq!(godwitstep_batch::job::validate(&steps), Err(StepsError::Dependency { step: 0 }));
//! ```

use crate::demand::Demand;
use crate::id::{JobId, Workspace};
use crate::policy::Queue;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of tasks in a job; limits the size of its records.
pub const MAX_TASKS: u64 = 4_000;
/// Maximum number of steps in a job.
pub const MAX_STEPS: usize = 64;
/// Maximum length of the names of labels and racks, which no worker exceeds. Unit: bytes.
pub const MAX_NAME_LENGTH: usize = 256;

/// Maximum accepted estimate of a task's run time. Durations derived from it are several times as long.
pub const MAX_ESTIMATE: Duration = Duration::from_secs(365 * 24 * 60 * 60);

/// Maximum objective for a job's completion time, a thousand years. Multiples of it are valid durations, whatever
/// factors operators choose.
pub const MAX_OBJECTIVE: Duration = Duration::from_secs(1_000 * 365 * 24 * 60 * 60);

/// A group of identical tasks with the same dependencies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub tasks: u16,
    /// Resources that one task uses.
    pub demand: Demand,
    /// The caller's rough estimate of the run time of one task.
    pub estimate: Duration,
    /// Indexes of the steps that must be done before this step starts; all less than the step's own index.
    #[serde(rename = "after")]
    pub depends_on: Vec<u16>,
    /// Whether the tasks are a gang, which runs and ends as a unit.
    pub gang: bool,
    /// Whether the tasks run slower when they are spread over several racks.
    pub one_rack: bool,
    /// Whether the tasks write checkpoints.
    #[serde(rename = "saves")]
    pub checkpointable: bool,
    /// Label that a worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that stores the tasks' data; they run slower on any other rack.
    pub data_rack: Option<Arc<str>>,
    /// Maximum number of tasks of the step on one worker; 0 for no limit.
    pub per_worker: u16,
}

impl Default for Step {
    fn default() -> Self {
        Self {
            tasks: 1,
            demand: Demand::default(),
            estimate: Duration::ZERO,
            depends_on: Vec::new(),
            gang: false,
            one_rack: false,
            checkpointable: false,
            label: None,
            data_rack: None,
            per_worker: 0,
        }
    }
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Identifier that the caller chose.
    pub id: JobId,
    /// Workspace of the caller; `None` if the job was submitted without a key to an open queue.
    pub workspace: Option<Workspace>,
    /// Queue to which the job was submitted, with its settings at that time. They apply to the job even after the
    /// queue is removed from the policy.
    pub queue: Queue,
    /// Specification that is passed to the workers unchanged.
    pub spec: Arc<str>,
    /// Steps in the order of their indexes; valid according to [`validate`].
    pub steps: Vec<Step>,
    /// Wall-clock time of acceptance at the entry, in Unix milliseconds. Used to order work; correctness does not
    /// depend on it.
    pub accepted: u64,
}

/// Why the steps of a job are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StepsError {
    /// The job has no steps or more than [`MAX_STEPS`].
    #[error("a job has 1 to {MAX_STEPS} steps")]
    Steps,
    /// A step has no tasks, or the job has more than [`MAX_TASKS`].
    #[error("step {step} brings the tasks of the job outside 1 to {MAX_TASKS}")]
    Tasks {
        /// Index of the step.
        step: usize,
    },
    /// The estimate of a step exceeds [`MAX_ESTIMATE`].
    #[error("step {step} is estimated to run for over a year")]
    Estimate {
        /// Index of the step.
        step: usize,
    },
    /// The name of a label or rack is longer than [`MAX_NAME_LENGTH`].
    #[error("step {step} names a label or rack of over {MAX_NAME_LENGTH} bytes")]
    Name {
        /// Index of the step.
        step: usize,
    },
    /// A step depends on itself or on a later step.
    #[error("step {step} depends on a step that is not an earlier one")]
    Dependency {
        /// Index of the step.
        step: usize,
    },
}

/// Validates the steps of a job.
///
/// # Errors
///
/// Returns the first error in the order of the steps.
pub fn validate(steps: &[Step]) -> Result<(), StepsError> {
    if steps.is_empty() || steps.len() > MAX_STEPS {
        return Err(StepsError::Steps);
    }
    let mut total = 0;
    for (index, step) in steps.iter().enumerate() {
        total += u64::from(step.tasks);
        if step.tasks == 0 || total > MAX_TASKS {
            return Err(StepsError::Tasks { step: index });
        }
        if step.estimate > MAX_ESTIMATE {
            return Err(StepsError::Estimate { step: index });
        }
        let mut names = step.label.iter().chain(&step.data_rack);
        if names.any(|name| name.len() > MAX_NAME_LENGTH) {
            return Err(StepsError::Name { step: index });
        }
        if step
            .depends_on
            .iter()
            .any(|&dependency| usize::from(dependency) >= index)
        {
            return Err(StepsError::Dependency { step: index });
        }
    }
    Ok(())
}

impl Job {
    /// Returns the estimated length of the critical path, the longest chain of dependent steps.
    #[must_use]
    pub fn critical_path(&self) -> Duration {
        self.remaining_critical_path(|_| false)
    }

    /// Returns the objective for the job's completion time, derived from the estimates; at most [`MAX_OBJECTIVE`].
    #[must_use]
    pub fn objective(&self) -> Duration {
        self.objective_for(self.critical_path())
    }

    /// Returns the objective for the job's completion time if its critical path has this length; at most
    /// [`MAX_OBJECTIVE`].
    #[must_use]
    pub fn objective_for(&self, length: Duration) -> Duration {
        let stretched = length.as_secs_f64() * self.queue.stretch;
        let stretched = Duration::try_from_secs_f64(stretched).unwrap_or(MAX_OBJECTIVE);
        stretched
            .saturating_add(self.queue.objective)
            .min(MAX_OBJECTIVE)
    }

    /// Returns the estimated length of the critical path of the steps that are not done.
    #[must_use]
    pub fn remaining_critical_path(&self, done: impl Fn(usize) -> bool) -> Duration {
        self.critical_path_by(done, |step| step.estimate)
    }

    /// Returns the length of the critical path of the steps that are not done, if each takes the time that `run_time`
    /// returns.
    #[must_use]
    pub fn critical_path_by(
        &self,
        done: impl Fn(usize) -> bool,
        run_time: impl Fn(&Step) -> Duration,
    ) -> Duration {
        let mut ends: Vec<Duration> = Vec::with_capacity(self.steps.len());
        for (index, step) in self.steps.iter().enumerate() {
            let ready = step
                .depends_on
                .iter()
                .map(|&dependency| ends[usize::from(dependency)])
                .max()
                .unwrap_or_default();
            let run_time = if done(index) {
                Duration::ZERO
            } else {
                run_time(step)
            };
            ends.push(ready + run_time);
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the estimated work in core-seconds, with accelerators converted to cores.
    #[must_use]
    pub fn work(&self) -> f64 {
        self.steps
            .iter()
            .map(|step| f64::from(step.tasks) * step.demand.cores() * step.estimate.as_secs_f64())
            .sum()
    }
}
