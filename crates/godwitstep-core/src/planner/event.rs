//! What the planner hears and what it asks for.

use crate::authority::Standing;
use crate::id::{
    Accelerators, Attempt, DomainId, Epoch, Incarnation, JobId, RackId, WorkerId, WorkspaceId,
};
use crate::reason::Reason;
use crate::record::{self, Part};
use crate::resource::{Job, Workspace};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A machine with accelerators, as its agent announces it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name of the worker.
    pub id: WorkerId,
    /// Life of its agent.
    pub incarnation: Incarnation,
    /// Failure domain that it is in.
    pub domain: DomainId,
    /// Rack that it is in, unique within the failure domain.
    pub rack: RackId,
    /// Accelerators that it has.
    pub accelerators: Accelerators,
}

/// A part that an agent holds or runs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The job.
    pub job: JobId,
    /// Number of the run.
    pub attempt: Attempt,
    /// Tasks of the part.
    pub tasks: u32,
    /// Accelerators of the whole part.
    pub accelerators: Accelerators,
    /// Whether the agent was told that the whole gang runs.
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
    /// Stopped; what it did since the last checkpoint is lost.
    Stopped,
    /// It never started.
    NotStarted,
}

/// What the planner hears.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// Whether new work may start, by what is known of the log.
    Standing(Standing),
    /// The epoch under which this planner decides. Comes first.
    Epoch(Epoch),
    /// A workspace is declared, changed, or removed (`None`).
    Workspace {
        /// Its name.
        id: WorkspaceId,
        /// Its spec.
        spec: Option<Workspace>,
    },
    /// A failure domain is put in or out of service.
    Domain {
        /// Its name.
        id: DomainId,
        /// Whether tasks may start in it.
        in_service: bool,
    },
    /// An agent announced a worker, or the same worker under a new incarnation.
    WorkerUp {
        /// The worker.
        worker: Worker,
        /// What it holds and runs.
        inventory: Vec<Running>,
    },
    /// A worker takes no new work.
    WorkerLeaving {
        /// The worker.
        id: WorkerId,
    },
    /// A worker is lost. Its parts may still run until its lease lapses.
    WorkerLost {
        /// The worker.
        id: WorkerId,
    },
    /// A job is accepted. Also sent for each queued job when a planner takes over.
    Submit {
        /// Its name.
        job: JobId,
        /// Its spec.
        spec: Job,
        /// Starts recorded so far.
        attempt: Attempt,
        /// How long ago the job was accepted.
        age: Duration,
    },
    /// A job whose start was recorded before this planner took over.
    Adopt {
        /// Its name.
        job: JobId,
        /// Its spec.
        spec: Job,
        /// Number of the run.
        attempt: Attempt,
        /// Where it was started.
        parts: Vec<Part>,
        /// How long ago the job was accepted.
        age: Duration,
    },
    /// A caller wants a job to end.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// The `Start` record of a run took effect.
    Recorded {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// The `Start` record of a run had no effect and never will.
    NotRecorded {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// A worker holds accelerators for a part.
    Held {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// A worker refused a reservation or a commit; the part does not run there.
    Denied {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Why.
        reason: Reason,
    },
    /// A part runs, not yet settled.
    Started {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// A part ended.
    Ended {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// How.
        end: End,
    },
    /// A worker reports, with a delay, how many of its accelerators are busy.
    Usage {
        /// The worker.
        worker: WorkerId,
        /// Accelerators in use when the report was made.
        busy: Accelerators,
        /// How long ago the report was made.
        age: Duration,
    },
    /// Time has passed. Comes at least every 100 ms.
    Tick,
}

/// What the planner asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Append a record to the region's stream.
    Record(record::Event),
    /// Ask a worker's agent to hold accelerators; the hold expires by itself.
    Reserve {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Tasks of the part.
        tasks: u32,
        /// Accelerators of the whole part.
        accelerators: Accelerators,
    },
    /// Start a held part. Repeated until answered.
    Commit {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Tasks of the part, as recorded.
        tasks: u32,
        /// Accelerators of the whole part, as recorded.
        accelerators: Accelerators,
    },
    /// Tell a part that its whole gang runs. Repeated, idempotent.
    Settle {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// Give up a hold.
    Release {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// Stop a running part.
    Stop {
        /// The worker.
        worker: WorkerId,
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Whether its state is to be saved first.
        checkpoint: bool,
    },
    /// The reason for which a job waits or runs has changed. Not recorded in the log.
    Explain {
        /// The job.
        job: JobId,
        /// Why it is where it is.
        reason: Reason,
    },
}
