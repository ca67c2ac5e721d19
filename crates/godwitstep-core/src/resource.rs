//! Specs of resources: workspaces with their kinds of work and guarantees, failure domains and jobs.
//!
//! ```
//! use godwitstep_core::resource::{Adjacency, Job};
//!
//! let job = Job::new("council", "pattern-nesting", 16, 1).adjacency(Adjacency::Rack);
//! assert!(job.faults().is_empty());
//! ```

use crate::id::{Accelerators, KindId, RegionId, Version, WorkspaceId};
use crate::reason::Reason;
use serde::{Deserialize, Serialize};
use std::time::Duration;

pub mod fault;

pub use fault::Fault;

/// Maximum number of tasks in one gang.
pub const MAX_TASKS: u32 = 512;
/// Maximum number of accelerators that one task may request.
pub const MAX_TASK_ACCELERATORS: Accelerators = 64;
/// Maximum deadline or run time that a job may declare.
pub const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);
/// Maximum latency objective of a kind of work.
pub const MAX_OBJECTIVE: Duration = Duration::from_secs(300);
/// Maximum length of a resource name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// Scheduling priority of a kind of work, from highest to lowest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Interactive work: a caller waits for the result.
    Urgent,
    /// Work without special urgency; also assumed for kinds that are not declared.
    Normal,
    /// Background work that can wait.
    Patient,
}

/// Placement constraint: how far the tasks of one gang may be spread.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Adjacency {
    /// All tasks on one worker.
    Worker,
    /// All tasks in one rack.
    Rack,
    /// All tasks in one failure domain.
    Domain,
    /// Anywhere in the region.
    Any,
}

/// Number, size and adjacency of the tasks of a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of tasks, from 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Accelerators for each task, all on one worker, from 1 to [`MAX_TASK_ACCELERATORS`].
    pub accelerators: Accelerators,
    /// How far the tasks may be spread.
    #[serde(default = "Shape::default_adjacency")]
    pub adjacency: Adjacency,
}

impl Shape {
    /// Returns a shape whose tasks may run anywhere in the region.
    #[must_use]
    pub const fn new(tasks: u32, accelerators: Accelerators) -> Self {
        Self {
            tasks,
            accelerators,
            adjacency: Adjacency::Any,
        }
    }

    /// Sets how far the tasks may be spread.
    #[must_use]
    pub const fn adjacency(mut self, adjacency: Adjacency) -> Self {
        self.adjacency = adjacency;
        self
    }

    /// Returns the total number of accelerators of all tasks.
    #[must_use]
    pub const fn accelerators(&self) -> Accelerators {
        self.tasks.saturating_mul(self.accelerators)
    }

    const fn default_adjacency() -> Adjacency {
        Adjacency::Any
    }
}

/// Accelerators that a workspace can always claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Guarantee {
    /// Shape of one claim.
    pub shape: Shape,
    /// Number of such shapes that can be claimed at the same time, from 1 to 4,096.
    pub count: u32,
}

/// A kind of work that a workspace submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, unique within the workspace.
    pub name: KindId,
    /// Priority of requests and jobs of this kind.
    pub priority: Priority,
    /// Latency objective in milliseconds, from 1 to [`MAX_OBJECTIVE`]. A request is on time if it is
    /// answered within this time from its receipt.
    pub objective_ms: u64,
    /// Cost of one late answer, in the operator's currency.
    #[serde(default)]
    pub refund: f64,
}

/// A customer of the system. Its fields are the `spec` of the resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Rank of the workspace when capacity is short; guarantees with a lower rank are kept first.
    #[serde(default)]
    pub rank: u32,
    /// Bearer token that callers of the workspace must present, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// Shapes that the workspace can always claim.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Kinds of work: at least one, with unique names.
    pub kinds: Vec<Kind>,
    /// Maximum number of requests of the workspace that wait in one entry, from 1 to 100,000.
    #[serde(default = "Workspace::default_max_queued")]
    pub max_queued: u32,
}

impl Workspace {
    /// Returns a workspace with the given kinds of work and no guarantees.
    #[must_use]
    pub fn new(kinds: Vec<Kind>) -> Self {
        Self {
            rank: 0,
            token: None,
            guarantees: Vec::new(),
            kinds,
            max_queued: Self::default_max_queued(),
        }
    }

    /// Returns the kind of work with the given name.
    #[must_use]
    pub fn kind(&self, name: &str) -> Option<&Kind> {
        self.kinds.iter().find(|kind| &*kind.name == name)
    }

    const fn default_max_queued() -> u32 {
        1_000
    }
}

/// A failure domain. Its fields are the `spec` of the resource.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Region that the failure domain belongs to.
    pub region: RegionId,
    /// Whether tasks may start in it.
    pub in_service: bool,
}

/// A job. Its fields are the `spec` of the resource, which never changes once accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// Workspace that the job belongs to.
    pub workspace: WorkspaceId,
    /// Kind of work, declared by the workspace.
    pub kind: KindId,
    /// Tasks, accelerators for each task, and adjacency.
    pub shape: Shape,
    /// Run time that the caller expects, in seconds. Often inaccurate.
    #[serde(default)]
    pub run_s: Option<u64>,
    /// Time from acceptance within which the job should end, in seconds.
    #[serde(default)]
    pub deadline_s: Option<u64>,
    /// Whether the job can save a checkpoint and resume from it on other workers.
    #[serde(default)]
    pub checkpointable: bool,
    /// Whether the job may be stopped to free accelerators for others. Only such jobs run on borrowed
    /// accelerators.
    #[serde(default)]
    pub preemptible: bool,
    /// Whether an interrupted run may be restarted from its beginning.
    #[serde(default)]
    pub idempotent: bool,
}

impl Job {
    /// Returns a job without a deadline that is neither checkpointable, preemptible nor idempotent.
    #[must_use]
    pub fn new(
        workspace: impl Into<WorkspaceId>,
        kind: impl Into<KindId>,
        tasks: u32,
        accelerators: Accelerators,
    ) -> Self {
        Self {
            workspace: workspace.into(),
            kind: kind.into(),
            shape: Shape::new(tasks, accelerators),
            run_s: None,
            deadline_s: None,
            checkpointable: false,
            preemptible: false,
            idempotent: false,
        }
    }

    /// Sets how far the tasks may be spread.
    #[must_use]
    pub const fn adjacency(mut self, adjacency: Adjacency) -> Self {
        self.shape.adjacency = adjacency;
        self
    }

    /// Sets the expected run time, in whole seconds.
    #[must_use]
    pub const fn run(mut self, run: Duration) -> Self {
        self.run_s = Some(run.as_secs());
        self
    }

    /// Sets the time within which the job should end, in whole seconds.
    #[must_use]
    pub const fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline_s = Some(deadline.as_secs());
        self
    }

    /// Sets whether the job can resume from a checkpoint on other workers.
    #[must_use]
    pub const fn checkpointable(mut self, yes: bool) -> Self {
        self.checkpointable = yes;
        self
    }

    /// Sets whether the job may be stopped to free accelerators for others.
    #[must_use]
    pub const fn preemptible(mut self, yes: bool) -> Self {
        self.preemptible = yes;
        self
    }

    /// Sets whether an interrupted run may be restarted from its beginning.
    #[must_use]
    pub const fn idempotent(mut self, yes: bool) -> Self {
        self.idempotent = yes;
        self
    }
}

/// Phase in the life cycle of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted and waiting for accelerators.
    Queued,
    /// A start is recorded; the parts are starting or running.
    Running,
    /// Completed successfully. Final.
    Done,
    /// Failed. Final.
    Failed,
    /// Cancelled on request. Final.
    Cancelled,
    /// Outcome unknown: a run that must not be repeated may or may not have completed. Final.
    Unknown,
}

impl Phase {
    /// Returns whether the phase is final, that is, can never change again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// Scheduling status of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Current phase.
    pub phase: Phase,
    /// Number of the latest recorded start; 0 before the first.
    pub attempt: u32,
    /// Reason for the current phase.
    pub reason: Reason,
    /// Offset of the record that accepted the job.
    pub accepted: Version,
}
