//! Checks that are always on. A violation names what broke.
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
    /// More accelerators of a worker are given away than it has.
    #[error("{used} of {capacity} accelerators of {worker} are in use")]
    OverCommitted {
        /// The worker.
        worker: WorkerId,
        /// Accelerators in use by the planner's books.
        used: Accelerators,
        /// Accelerators that it has.
        capacity: Accelerators,
    },
    /// A gang was to start or be settled without all its parts.
    #[error("{job} has {present} of {tasks} tasks in place")]
    PartialGang {
        /// The job.
        job: JobId,
        /// Tasks in place.
        present: u32,
        /// Tasks of the whole gang.
        tasks: u32,
    },
    /// A start in a failure domain that is out of service.
    #[error("{job} was to start in {domain}, which is out of service")]
    OutOfService {
        /// The job.
        job: JobId,
        /// The failure domain.
        domain: DomainId,
    },
    /// The number of a run did not grow by one.
    #[error("the run of {job} after {last} was numbered {next}")]
    AttemptOrder {
        /// The job.
        job: JobId,
        /// Number of the last run.
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
