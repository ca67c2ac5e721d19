//! Input events and output actions of the planner.

use crate::authority::OperatingMode;
use crate::id::{
    Accelerators, Attempt, DomainId, Epoch, Incarnation, JobId, RackId, WorkerId, WorkspaceId,
};
use crate::reason::Reason;
use crate::record::{self, Part};
use crate::resource::{Job, Workspace};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A worker with accelerators, as its agent announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name of the worker, unique within the region.
    pub id: WorkerId,
    /// Incarnation of its agent; changes with each restart.
    pub incarnation: Incarnation,
    /// Failure domain that the worker is in.
    pub domain: DomainId,
    /// Rack that the worker is in; the name is unique within the failure domain.
    pub rack: RackId,
    /// Number of accelerators of the worker.
    pub accelerators: Accelerators,
}

/// A part that an agent holds accelerators for or runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Name of the job.
    pub job: JobId,
    /// Number of the run.
    pub attempt: Attempt,
    /// Number of tasks of the part.
    pub tasks: u32,
    /// Number of accelerators of all its tasks together.
    pub accelerators: Accelerators,
    /// Whether the agent has received the settle, which confirms that the whole gang runs.
    pub settled: bool,
}

/// How a part ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// All its tasks completed.
    Done,
    /// A task failed.
    Failed,
    /// Stopped after its state was saved.
    Checkpointed,
    /// Stopped; work since the last checkpoint is lost.
    Stopped,
    /// It never started.
    NotStarted,
}

/// An input of the planner.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Whether work may start, given the last known state of the log.
    OperatingMode(OperatingMode),
    /// The epoch under which this planner decides. Must be the first event.
    Epoch(Epoch),
    /// A workspace was declared, changed or removed (`None`).
    Workspace {
        /// Name of the workspace.
        id: WorkspaceId,
        /// Its declaration; `None` if it was removed.
        spec: Option<Workspace>,
    },
    /// A failure domain was put in or out of service.
    Domain {
        /// Name of the failure domain.
        id: DomainId,
        /// Whether tasks may start in it.
        in_service: bool,
    },
    /// An agent announced a new worker, or a known one under a new incarnation.
    WorkerUp {
        /// Its announcement.
        worker: Worker,
        /// Parts that the worker holds accelerators for or runs.
        inventory: Vec<Running>,
    },
    /// A worker drains: it finishes its parts and accepts no new ones.
    WorkerLeaving {
        /// Name of the worker.
        id: WorkerId,
    },
    /// Contact with a worker is lost. Its parts may still run until its lease expires.
    WorkerLost {
        /// Name of the worker.
        id: WorkerId,
    },
    /// A job was accepted. Also sent for each queued job when a planner takes over.
    Submit {
        /// Name of the job.
        job: JobId,
        /// Its declaration.
        spec: Job,
        /// Number of starts recorded so far.
        attempt: Attempt,
        /// How long ago the job was accepted.
        age: Duration,
    },
    /// The start of a job was recorded before this planner took over.
    Adopt {
        /// Name of the job.
        job: JobId,
        /// Its declaration.
        spec: Job,
        /// Number of the run.
        attempt: Attempt,
        /// Workers on which the run was started, with their tasks.
        parts: Vec<Part>,
        /// How long ago the job was accepted.
        age: Duration,
    },
    /// A caller cancelled a job.
    Cancel {
        /// Name of the job.
        job: JobId,
    },
    /// The `Start` record of a run took effect.
    Recorded {
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// The `Start` record of a run had no effect and never will.
    NotRecorded {
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// A worker holds the accelerators of a part.
    Held {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// A worker refused a reservation or a commit; the part does not run there.
    Denied {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Reason of the refusal.
        reason: Reason,
    },
    /// A part has started and is not settled yet.
    Started {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// A part ended.
    Ended {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// How the part ended.
        end: End,
    },
    /// A delayed report of how many accelerators of a worker are busy.
    Usage {
        /// Name of the worker.
        worker: WorkerId,
        /// Number of accelerators in use when the report was made.
        busy: Accelerators,
        /// How long ago the report was made.
        age: Duration,
    },
    /// Advances the time. Sent at least every 100 ms.
    Tick,
}

/// An output of the planner.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a record to the region's stream.
    Record(record::Event),
    /// Request that a worker's agent hold accelerators; the hold expires unless it is renewed.
    Reserve {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Number of tasks of the part.
        tasks: u32,
        /// Number of accelerators of all its tasks together.
        accelerators: Accelerators,
    },
    /// Start a held part. Resent until it is acknowledged.
    Commit {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Number of tasks of the part, as recorded.
        tasks: u32,
        /// Number of accelerators of all its tasks together, as recorded.
        accelerators: Accelerators,
    },
    /// Confirm to a part that its whole gang runs. Resent; idempotent.
    Settle {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// Release held accelerators.
    Release {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// Stop a running part.
    Stop {
        /// Name of the worker.
        worker: WorkerId,
        /// Name of the job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Whether to save the state of the part first.
        checkpoint: bool,
    },
    /// The reason why a job waits or runs has changed. Not recorded in the log.
    Explain {
        /// Name of the job.
        job: JobId,
        /// Why the job waits or runs where it does.
        reason: Reason,
    },
}
