//! Invariants of the planner, which are checked in every build. A violation describes the broken
//! invariant.
//!
//! ```
//! use godwitstep_core::invariant::Violation;
//!
//! let violation = Violation::FinalJob { job: "j".into() };
//! assert_eq!(violation.to_string(), "an action was issued for j, which is not active");
//! ```

use crate::id::{Accelerators, Attempt, DomainId, JobId, WorkerId};

/// A broken invariant of the planner.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// More accelerators of a worker are allocated than it has.
    #[error("{used} of {capacity} accelerators of {worker} are in use")]
    OverCommitted {
        /// Worker that is overcommitted.
        worker: WorkerId,
        /// Accelerators in use according to the planner's accounting.
        used: Accelerators,
        /// Accelerators that the worker has.
        capacity: Accelerators,
    },
    /// A gang was about to start or to be settled without all its parts.
    #[error("{job} has {present} of {tasks} tasks in place")]
    PartialGang {
        /// Job that the action was for.
        job: JobId,
        /// Tasks of the parts that are reserved or running.
        present: u32,
        /// Tasks of the whole gang.
        tasks: u32,
    },
    /// A job was about to start in a failure domain that is out of service.
    #[error("{job} was to start in {domain}, which is out of service")]
    OutOfService {
        /// Job that the action was for.
        job: JobId,
        /// Failure domain that is out of service.
        domain: DomainId,
    },
    /// The number of a run is not the previous number plus one.
    #[error("the run of {job} after {last} was numbered {next}")]
    AttemptOrder {
        /// Job that the action was for.
        job: JobId,
        /// Number of the previous run.
        last: Attempt,
        /// Number of the new run.
        next: Attempt,
    },
    /// An action that may start work was issued for a job that is final or unknown.
    #[error("an action was issued for {job}, which is not active")]
    FinalJob {
        /// Job that the action was for.
        job: JobId,
    },
}
