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
        /// The worker.
        worker: WorkerId,
        /// Accelerators in use according to the planner's accounting.
        used: Accelerators,
        /// Accelerators that the worker has.
        capacity: Accelerators,
    },
    /// A gang was about to start or to be settled without all its parts.
    #[error("{job} has {present} of {tasks} tasks in place")]
    PartialGang {
        /// The job.
        job: JobId,
        /// Tasks of the parts that are reserved or running.
        present: u32,
        /// Tasks of the whole gang.
        tasks: u32,
    },
    /// A job was about to start in a failure domain that is out of service.
    #[error("{job} was to start in {domain}, which is out of service")]
    OutOfService {
        /// The job.
        job: JobId,
        /// The failure domain.
        domain: DomainId,
    },
    /// The number of a run is not the previous number plus one.
    #[error("the run of {job} after {last} was numbered {next}")]
    AttemptOrder {
        /// The job.
        job: JobId,
        /// Number of the previous run.
        last: Attempt,
        /// Number of the new run.
        next: Attempt,
    },
    /// An action that may start work was issued for a job that is final or unknown.
    #[error("an action was issued for {job}, which is not active")]
    FinalJob {
        /// The job.
        job: JobId,
    },
}
