//! Typed reasons for scheduling decisions.
//!
//! Metrics count each variant under [`Reason::code`]; users are shown it as one sentence.
//!
//! ```
//! use godwitstep_core::Reason;
//!
//! let reason = Reason::DomainOut { domain: "karratha-shed".into() };
//! assert_eq!(reason.code(), "domain_out");
//! ```

use crate::id::{Accelerators, DomainId, Epoch, JobId, WorkerId, WorkspaceId};
use crate::resource::Shape;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Reason for the current state of a job or request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum Reason {
    /// Accepted but not yet considered for placement.
    Accepted,
    /// Waits for accelerators that are in use.
    WaitingForCapacity {
        /// Accelerators that the job needs.
        needed: Accelerators,
        /// Accelerators that are free in failure domains in service.
        free: Accelerators,
    },
    /// Enough accelerators are free, but not in the shape that the job needs.
    WaitingForAdjacency {
        /// Shape that the job needs.
        shape: Shape,
    },
    /// Waits for preempted jobs to stop.
    WaitingForPreemption {
        /// Jobs that are preempted.
        victims: Vec<JobId>,
    },
    /// Waits behind the reservation of a job that is scheduled earlier.
    WaitingBehind {
        /// Job that holds the reservation.
        job: JobId,
    },
    /// Runs on the given workers.
    Placed {
        /// Workers, each listed once.
        workers: Vec<WorkerId>,
        /// Whether the accelerators are borrowed from guarantees of other workspaces.
        borrowed: bool,
    },
    /// Preempted so that another job could use its guarantee or meet its deadline.
    PreemptedFor {
        /// Job that needed the accelerators.
        job: JobId,
    },
    /// Stopped because a failure domain left service.
    DomainOut {
        /// Failure domain that left service.
        domain: DomainId,
    },
    /// Stopped because a worker was lost.
    WorkerLost {
        /// Worker that was lost.
        worker: WorkerId,
    },
    /// A part of the gang did not start, so the start was withdrawn.
    PartNotStarted {
        /// Worker whose part did not start.
        worker: WorkerId,
    },
    /// The job failed on several workers and is not retried.
    FailedEverywhere {
        /// Workers on which it failed.
        workers: Vec<WorkerId>,
    },
    /// No set of workers in the region can run the job.
    CanNeverRun {
        /// Shape that the job needs.
        shape: Shape,
    },
    /// The guarantee of the workspace doesn't fit the capacity in service.
    GuaranteeSuspended {
        /// Workspace with the guarantee.
        workspace: WorkspaceId,
        /// Accelerators that the guarantee needs.
        needed: Accelerators,
        /// Accelerators that remain available for it.
        available: Accelerators,
    },
    /// Cancelled on request.
    Cancelled,
    /// Completed successfully.
    Completed,
    /// A run that must not be repeated was interrupted.
    CutOff,
    /// The deadline can't be met.
    DeadlineUnreachable,
    /// The process may be disconnected from the log, so it starts no work.
    Halted,
    /// The process is shutting down.
    Stopping,
    /// The request may be older than the agent, which may have missed a fence of the request's key.
    /// The agent never starts it.
    AgentTooYoung,
    /// A limit of the workspace or of the service is reached.
    LimitReached,
    /// No target of the service is in service and reachable.
    NoTarget,
    /// Targets are known, but none answered in time.
    TargetLost,
    /// The log service can't store the record that must precede the acknowledgement.
    LogUnavailable,
    /// The command came from a decider that has been replaced.
    EpochSuperseded {
        /// Newest epoch that the agent has received.
        newest: Epoch,
    },
    /// The hold on the accelerators expired before the commit arrived.
    HoldExpired,
    /// The run has ended or was stopped on this worker and can't be started again.
    RunEnded,
    /// A task of the job failed.
    TaskFailed {
        /// Worker on which the task failed.
        worker: WorkerId,
    },
    /// Any other reason, described in text.
    Other {
        /// Description in one sentence.
        detail: String,
    },
}

impl Reason {
    /// Returns the stable name of the variant, for metrics and programs.
    #[must_use]
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Accepted => "accepted",
            Self::WaitingForCapacity { .. } => "waiting_for_capacity",
            Self::WaitingForAdjacency { .. } => "waiting_for_adjacency",
            Self::WaitingForPreemption { .. } => "waiting_for_preemption",
            Self::WaitingBehind { .. } => "waiting_behind",
            Self::Placed { .. } => "placed",
            Self::PreemptedFor { .. } => "preempted_for",
            Self::DomainOut { .. } => "domain_out",
            Self::WorkerLost { .. } => "worker_lost",
            Self::PartNotStarted { .. } => "part_not_started",
            Self::FailedEverywhere { .. } => "failed_everywhere",
            Self::CanNeverRun { .. } => "can_never_run",
            Self::GuaranteeSuspended { .. } => "guarantee_suspended",
            Self::Cancelled => "cancelled",
            Self::Completed => "completed",
            Self::CutOff => "cut_off",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::Halted => "halted",
            Self::Stopping => "stopping",
            Self::AgentTooYoung => "agent_too_young",
            Self::LimitReached => "limit_reached",
            Self::NoTarget => "no_target",
            Self::TargetLost => "target_lost",
            Self::LogUnavailable => "log_unavailable",
            Self::EpochSuperseded { .. } => "epoch_superseded",
            Self::HoldExpired => "hold_expired",
            Self::RunEnded => "run_ended",
            Self::TaskFailed { .. } => "task_failed",
            Self::Other { .. } => "other",
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted => f.write_str("accepted, not yet considered"),
            Self::WaitingForCapacity { needed, free } => {
                write!(f, "needs {needed} accelerators, {free} are free in service")
            }
            Self::WaitingForAdjacency { shape } => write!(
                f,
                "no free place for {} tasks of {} accelerators with adjacency {:?}",
                shape.tasks, shape.accelerators, shape.adjacency
            ),
            Self::WaitingForPreemption { victims } => {
                write!(f, "waits for {} to stop", victims.join(", "))
            }
            Self::WaitingBehind { job } => write!(f, "waits behind the reservation of {job}"),
            Self::Placed { workers, borrowed } => write!(
                f,
                "placed on {}{}",
                workers.join(", "),
                if *borrowed {
                    " on borrowed accelerators"
                } else {
                    ""
                }
            ),
            Self::PreemptedFor { job } => write!(f, "stopped to make room for {job}"),
            Self::DomainOut { domain } => write!(f, "failure domain {domain} is out of service"),
            Self::WorkerLost { worker } => write!(f, "worker {worker} was lost"),
            Self::PartNotStarted { worker } => {
                write!(
                    f,
                    "the part on {worker} did not start; the gang was withdrawn"
                )
            }
            Self::FailedEverywhere { workers } => {
                write!(f, "failed on {}; not tried again", workers.join(", "))
            }
            Self::CanNeverRun { shape } => write!(
                f,
                "no set of workers can hold {} tasks of {} accelerators with adjacency {:?}",
                shape.tasks, shape.accelerators, shape.adjacency
            ),
            Self::GuaranteeSuspended {
                workspace,
                needed,
                available,
            } => write!(
                f,
                "the guarantee of {workspace} needs {needed} accelerators, {available} are left"
            ),
            Self::Cancelled => f.write_str("cancelled on request"),
            Self::Completed => f.write_str("completed"),
            Self::CutOff => f.write_str("a run that must not be repeated was cut off"),
            Self::DeadlineUnreachable => f.write_str("the deadline can't be met"),
            Self::Halted => {
                f.write_str("this entry may be cut off from the log and starts nothing")
            }
            Self::Stopping => f.write_str("this process is stopping"),
            Self::AgentTooYoung => f.write_str("the request may be older than the agent"),
            Self::LimitReached => f.write_str("a limit is reached"),
            Self::NoTarget => f.write_str("no target of the service is available"),
            Self::TargetLost => f.write_str("the target was lost"),
            Self::LogUnavailable => f.write_str("the log service is unavailable"),
            Self::EpochSuperseded { newest } => {
                write!(f, "the decider was replaced; the newest epoch is {newest}")
            }
            Self::HoldExpired => f.write_str("the reservation expired before the commit"),
            Self::RunEnded => f.write_str("this run has ended on the worker"),
            Self::TaskFailed { worker } => write!(f, "a task failed on {worker}"),
            Self::Other { detail } => f.write_str(detail),
        }
    }
}
