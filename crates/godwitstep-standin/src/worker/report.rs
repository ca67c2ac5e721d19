//! What a worker reports, and why it refuses.

use super::task::{How, Phase};
use crate::serve::{Answer, error_response};
use hyper::StatusCode;
use serde::{Deserialize, Serialize};

/// A task that started, as kept in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the task.
    pub task: String,
    /// Accelerators that it occupied.
    pub accelerators: u32,
    /// Lease that it ran under.
    pub lease: u64,
    /// When it started, in microseconds since 1970.
    pub started: u64,
    /// When it ended; absent while it runs.
    pub ended: Option<u64>,
    /// How it ended.
    pub how: Option<How>,
    /// Progress at its end. Only that of a checkpointed task is saved.
    pub progress_ms: u64,
}

/// A task as listed at `GET /tasks`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Name of the task.
    pub task: String,
    /// Its state.
    pub state: Phase,
    /// Accelerators that it occupies while it runs.
    pub accelerators: u32,
    /// Progress so far.
    pub progress_ms: u64,
}

/// Usage as reported at `GET /usage`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Age of the report.
    pub age_ms: u64,
    /// Accelerators in use.
    pub accelerators: u32,
    /// Running tasks.
    pub tasks: usize,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum Refusal {
    #[error("held: another holder has the lease")]
    Held,
    #[error("lease: the lease has lapsed or is not the current one")]
    Lease,
    #[error("exists: there is a task of this name")]
    Exists,
    #[error("accelerators: too few accelerators are free")]
    Accelerators,
    #[error("unknown: there is no task of this name")]
    Unknown,
    #[error("ended: the task has ended")]
    Ended,
}

impl From<Refusal> for Answer {
    fn from(reason: Refusal) -> Self {
        let status = match reason {
            Refusal::Unknown => StatusCode::NOT_FOUND,
            _ => StatusCode::CONFLICT,
        };
        error_response(status, &reason.to_string())
    }
}
