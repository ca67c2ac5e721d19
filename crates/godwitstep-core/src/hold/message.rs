//! Events that the table handles and actions that it returns.

use crate::id::{Accelerators, Attempt, Epoch, JobId};
use crate::planner::{End, Running};
use crate::reason::Reason;

/// The run that a command applies to, and the epoch of the decider that sent it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct CommandHeader {
    /// Epoch of the decider that sent the command. Commands of older epochs are refused.
    pub epoch: Epoch,
    /// Job that the run belongs to.
    pub job: JobId,
    /// Number of the run of that job.
    pub attempt: Attempt,
}

/// Command from the decider to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Reserve accelerators, or renew the reservation.
    Reserve {
        /// Number of tasks of the part.
        tasks: u32,
        /// Accelerators of the whole part.
        accelerators: Accelerators,
    },
    /// Start the reserved part.
    Commit {
        /// Number of tasks of the part, as recorded.
        tasks: u32,
        /// Accelerators of the whole part, as recorded.
        accelerators: Accelerators,
    },
    /// Confirm that the whole gang runs, so that the part is not stopped at its deadline.
    Settle,
    /// Release the reservation.
    Release,
    /// Stop the part; the run never starts here afterwards.
    Stop {
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
}

/// Event that the table handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A command arrived on a link.
    Command(CommandHeader, Command),
    /// An entry reported the newest epoch that it has observed.
    Epoch(Epoch),
    /// Whether the worker's failure domain is in service, by the newest configuration received.
    InService(bool),
    /// The worker has started the part's tasks.
    Launched {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
    },
    /// The part's tasks have ended or could not be started.
    Ended {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
        /// How the part ended.
        end: End,
    },
    /// The worker's lease has expired, so nothing that was started under it still runs. An agent
    /// lets the lease expire when it has received nothing from any entry for almost the duration of
    /// the lease, because the decider then treats its parts as lost.
    Lapsed,
    /// The worker's task list contains a part that is not in this table.
    Found {
        /// The part as listed by the worker.
        running: Running,
    },
    /// The decider has recorded the end of the part.
    Acknowledged {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
    },
    /// Timer tick, on which deadlines are checked.
    Tick,
}

/// Action that the table requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start the part's tasks on the worker.
    Start {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
        /// Number of tasks of the part.
        tasks: u32,
        /// Accelerators of the whole part.
        accelerators: Accelerators,
    },
    /// Stop the part's tasks on the worker.
    Stop {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
        /// Whether to save a checkpoint first.
        checkpoint: bool,
    },
    /// Report to the decider that the accelerators are reserved.
    Held {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
    },
    /// Report to the decider that a command was refused.
    Denied {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
        /// Why the command was refused.
        reason: Reason,
    },
    /// Report to the decider that the part runs.
    Started {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
    },
    /// Report to the decider that the part has ended.
    Ended {
        /// Job that the run belongs to.
        job: JobId,
        /// Number of the run of that job.
        attempt: Attempt,
        /// How the part ended.
        end: End,
    },
}
