//! Typed reasons for what the system decided.
//!
//! Each variant is counted in metrics under [`Reason::code`] and shown as one sentence.
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

/// Why a job or request is where it is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "code", rename_all = "snake_case")]
pub enum Reason {
    /// Accepted and not looked at yet.
    Accepted,
    /// Waits for accelerators that others use.
    WaitingForCapacity {
        /// Accelerators that the job needs.
        needed: Accelerators,
        /// Accelerators that are free in failure domains in service.
        free: Accelerators,
    },
    /// Enough accelerators are free, but not in the form that the job needs.
    WaitingForAdjacency {
        /// The form that the job needs.
        shape: Shape,
    },
    /// Waits for jobs that were told to stop for it.
    WaitingForPreemption {
        /// Jobs that give way.
        victims: Vec<JobId>,
    },
    /// Waits behind the reservation of a job that goes first.
    WaitingBehind {
        /// The job that holds the reservation.
        job: JobId,
    },
    /// Runs on the given workers.
    Placed {
        /// Workers, each named once.
        workers: Vec<WorkerId>,
        /// Whether the accelerators are borrowed from the guarantee of others.
        borrowed: bool,
    },
    /// Stopped so that another job could have its guarantee or deadline.
    PreemptedFor {
        /// The job that needed the accelerators.
        job: JobId,
    },
    /// Stopped because a failure domain left service.
    DomainOut {
        /// The failure domain.
        domain: DomainId,
    },
    /// Stopped because a worker was lost.
    WorkerLost {
        /// The worker.
        worker: WorkerId,
    },
    /// A gang did not start as a whole and was withdrawn.
    PartNotStarted {
        /// The worker whose part did not start.
        worker: WorkerId,
    },
    /// The job failed on several workers and is ended.
    FailedEverywhere {
        /// Workers on which it failed.
        workers: Vec<WorkerId>,
    },
    /// The job can't run on the workers that the region has.
    CanNeverRun {
        /// The form that the job needs.
        shape: Shape,
    },
    /// The guarantee of the workspace does not fit the capacity in service.
    GuaranteeSuspended {
        /// The workspace.
        workspace: WorkspaceId,
        /// Accelerators that the guarantee needs.
        needed: Accelerators,
        /// Accelerators that are left for it.
        available: Accelerators,
    },
    /// Cancelled on request.
    Cancelled,
    /// Ended well.
    Completed,
    /// A run that must not be repeated was cut off.
    CutOff,
    /// The deadline can't be met.
    DeadlineUnreachable,
    /// The process may be cut off from the log and starts nothing.
    Halted,
    /// The process is stopping.
    Stopping,
    /// The request may be older than the agent, which may have missed a fence of its key. It will
    /// never start there.
    AgentTooYoung,
    /// A limit of the workspace or of the service is reached.
    LimitReached,
    /// No target of the service is in service and reachable.
    NoTarget,
    /// Targets are known but none has answered in time.
    TargetLost,
    /// The log service can't take the record that the promise needs.
    LogUnavailable,
    /// A command came from a decider that has been replaced.
    EpochSuperseded {
        /// Newest epoch that the agent has seen.
        newest: Epoch,
    },
    /// The accelerators were not held any more when the commit arrived.
    HoldExpired,
    /// The run has ended or was stopped on this worker and does not start again.
    RunEnded,
    /// A task of the job failed.
    TaskFailed {
        /// The worker on which it failed.
        worker: WorkerId,
    },
    /// Something else, told in words.
    Other {
        /// One sentence.
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
