//! Declared resources: workspaces with their kinds of work and guarantees, failure domains, jobs.
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

/// Greatest number of tasks in one gang.
pub const MAX_TASKS: u32 = 512;
/// Greatest number of accelerators that one task may ask for.
pub const MAX_TASK_ACCELERATORS: Accelerators = 64;
/// Longest deadline or run time that may be declared.
pub const MAX_DURATION: Duration = Duration::from_secs(30 * 24 * 3600);
/// Longest objective of a kind of request.
pub const MAX_OBJECTIVE: Duration = Duration::from_secs(300);
/// Longest name of a resource, in bytes.
pub const MAX_NAME: usize = 128;

/// How urgent a kind of work is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Somebody waits for the answer.
    Urgent,
    /// Ordinary work.
    Normal,
    /// Work that can wait.
    Patient,
}

/// Which machines the tasks of one gang may be spread over.
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

/// Form of a set of accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of tasks. From 1 to [`MAX_TASKS`].
    pub tasks: u32,
    /// Accelerators for each task, all on one worker. From 1 to [`MAX_TASK_ACCELERATORS`].
    pub accelerators: Accelerators,
    /// How far apart the tasks may be.
    #[serde(default = "Shape::default_adjacency")]
    pub adjacency: Adjacency,
}

impl Shape {
    /// Returns a shape without a bound on the distance of its tasks.
    #[must_use]
    pub const fn new(tasks: u32, accelerators: Accelerators) -> Self {
        Self {
            tasks,
            accelerators,
            adjacency: Adjacency::Any,
        }
    }

    /// Sets how far apart the tasks may be.
    #[must_use]
    pub const fn adjacency(mut self, adjacency: Adjacency) -> Self {
        self.adjacency = adjacency;
        self
    }

    /// Returns the number of accelerators of the whole shape.
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
    /// Form of one claim.
    pub shape: Shape,
    /// Number of such shapes that can be claimed at the same time. From 1 to 4,096.
    pub count: u32,
}

/// A kind of work that a workspace submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Name, unique in the workspace.
    pub name: KindId,
    /// Urgency.
    pub priority: Priority,
    /// Time from receipt to answer within which a request counts as on time. Unit: milliseconds.
    /// From 1 to [`MAX_OBJECTIVE`].
    pub objective_ms: u64,
    /// Cost of one late answer, in the operator's currency.
    #[serde(default)]
    pub refund: f64,
}

/// A customer of the system. Its fields are the `spec` of the resource.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// Order in which guarantees are kept when capacity is short; lower goes first.
    #[serde(default)]
    pub rank: u32,
    /// Bearer token that callers of the workspace must present, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub token: Option<String>,
    /// Guaranteed shares.
    #[serde(default)]
    pub guarantees: Vec<Guarantee>,
    /// Kinds of work. Names are unique. At least one.
    pub kinds: Vec<Kind>,
    /// Greatest number of requests of the workspace that wait in one entry. From 1 to 100,000.
    #[serde(default = "Workspace::default_max_queued")]
    pub max_queued: u32,
}

impl Workspace {
    /// Returns a workspace with the given kinds and no guarantee.
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

    /// Returns the kind with the given name.
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
    /// Accelerators and how far apart they may be.
    pub shape: Shape,
    /// Run time that the caller expects; often far from the truth. Unit: seconds.
    #[serde(default)]
    pub run_s: Option<u64>,
    /// Time from acceptance within which the job should end. Unit: seconds.
    #[serde(default)]
    pub deadline_s: Option<u64>,
    /// Whether the job can be saved and continued elsewhere.
    #[serde(default)]
    pub checkpointable: bool,
    /// Whether the job may be stopped to make room. Only such jobs run on borrowed accelerators.
    #[serde(default)]
    pub preemptible: bool,
    /// Whether a run that was cut off may be started again from its beginning.
    #[serde(default)]
    pub idempotent: bool,
}

impl Job {
    /// Returns a job without deadline that is neither checkpointable, preemptible nor idempotent.
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

    /// Sets how far apart the tasks may be.
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

    /// Sets whether the job can be saved and continued elsewhere.
    #[must_use]
    pub const fn checkpointable(mut self, yes: bool) -> Self {
        self.checkpointable = yes;
        self
    }

    /// Sets whether the job may be stopped to make room.
    #[must_use]
    pub const fn preemptible(mut self, yes: bool) -> Self {
        self.preemptible = yes;
        self
    }

    /// Sets whether a run that was cut off may be started again.
    #[must_use]
    pub const fn idempotent(mut self, yes: bool) -> Self {
        self.idempotent = yes;
        self
    }
}

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Accepted, waits for accelerators.
    Queued,
    /// A start is recorded; its parts start or run.
    Running,
    /// Ended well. Final.
    Done,
    /// Ended with a failure. Final.
    Failed,
    /// Ended on request. Final.
    Cancelled,
    /// It is not known whether a run that must not be repeated has completed. Final.
    Unknown,
}

impl Phase {
    /// Reports whether the phase never changes again.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Queued | Self::Running)
    }
}

/// Status of a job, apart from its spec.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Where the job stands.
    pub phase: Phase,
    /// Number of the newest recorded start; 0 before the first.
    pub attempt: u32,
    /// Why the job is in this phase.
    pub reason: Reason,
    /// Offset of the record that accepted the job.
    pub accepted: Version,
}
