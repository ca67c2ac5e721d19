//! Reports of a worker, and reasons for which it refuses requests.

use super::task::{EndReason, TaskState};
use crate::serve::{HttpResponse, error_response};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// Ledger entry of a task that was started.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskRecord {
    /// Name of the task.
    pub task: String,
    /// Number of accelerators that the task occupied.
    pub accelerators: u32,
    /// Number of the lease that the task ran under.
    pub lease: u64,
    /// Wall-clock time of the start. Unit: microseconds since 1970.
    pub started: u64,
    /// Wall-clock time of the end; `None` while the task runs. Unit: microseconds since 1970.
    pub ended: Option<u64>,
    /// Why the task ended; `None` while it runs.
    pub how: Option<EndReason>,
    /// Progress at the end; while the task runs, the progress that it started from. Only the
    /// progress of a checkpointed task is saved. Unit: milliseconds of run time at full speed.
    pub progress_ms: u64,
}

/// A task as listed at `GET /tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedTask {
    /// Name of the task.
    pub task: String,
    /// State of the task.
    pub state: TaskState,
    /// Number of accelerators that the task occupies while it runs.
    pub accelerators: u32,
    /// Progress so far. Unit: milliseconds of run time at full speed.
    pub progress_ms: u64,
}

/// Usage as reported at `GET /usage`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Age of the reported figures. Unit: milliseconds.
    pub age_ms: u64,
    /// Number of accelerators in use.
    pub accelerators: u32,
    /// Number of running tasks.
    pub tasks: usize,
}

/// Reason for which a request is refused. Its text is sent to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Refusal {
    #[error("held: another holder has the lease")]
    LeaseHeld,
    #[error("lease: the lease has lapsed or is not the current one")]
    LeaseNotCurrent,
    #[error("exists: there is a task of this name")]
    TaskExists,
    #[error("accelerators: too few accelerators are free")]
    TooFewAccelerators,
    #[error("unknown: there is no task of this name")]
    UnknownTask,
    #[error("ended: the task has ended")]
    TaskEnded,
}

impl From<Refusal> for HttpResponse {
    fn from(refusal: Refusal) -> Self {
        let status = match refusal {
            Refusal::UnknownTask => StatusCode::NOT_FOUND,
            _ => StatusCode::CONFLICT,
        };
        error_response(status, &refusal.to_string())
    }
}
