//! What the table hears and what it asks for.

use crate::id::{Accelerators, Attempt, Epoch, JobId};
use crate::planner::{End, Running};
use crate::reason::Reason;

/// Which run a command is about, and under which epoch it was given.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Order {
    /// Epoch of the decider that gave it.
    pub epoch: Epoch,
    /// The job.
    pub job: JobId,
    /// Number of the run.
    pub attempt: Attempt,
}

/// A decider's command to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Command {
    /// Hold accelerators, or renew the hold.
    Reserve {
        /// Tasks of the part.
        tasks: u32,
        /// Accelerators of the whole part.
        accelerators: Accelerators,
    },
    /// Start the held part.
    Commit {
        /// Tasks of the part, as recorded.
        tasks: u32,
        /// Accelerators of the whole part, as recorded.
        accelerators: Accelerators,
    },
    /// The whole gang runs.
    Settle,
    /// Give up the hold.
    Release,
    /// Stop the part; the run never starts here afterwards.
    Stop {
        /// Whether its state is to be saved first.
        checkpoint: bool,
    },
}

/// What the table hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A command came in on a link.
    Command(Order, Command),
    /// An entry reported the newest epoch that it knows.
    Epoch(Epoch),
    /// The worker's failure domain is in service, by the newest configuration heard.
    Service(bool),
    /// The worker has started the part's tasks.
    Launched {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// The part's tasks have ended, or could not be started.
    Ended {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// How.
        end: End,
    },
    /// The worker's lease has lapsed, so nothing that was started under it runs any more. An agent
    /// lets the lease lapse when it has heard no entry for nearly the lease's life, because the
    /// decider takes its parts for gone then.
    Lapsed,
    /// The worker's task list holds a part that this table does not know.
    Found {
        /// The part.
        running: Running,
    },
    /// The decider's record of the end took effect.
    Acknowledged {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// Time has passed.
    Tick,
}

/// What the table asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start the part's tasks on the worker.
    Start {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Tasks of the part.
        tasks: u32,
        /// Accelerators of the whole part.
        accelerators: Accelerators,
    },
    /// Stop the part's tasks on the worker.
    Stop {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Whether their state is to be saved first.
        checkpoint: bool,
    },
    /// Tell the decider that the accelerators are held.
    Held {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// Tell the decider that a command was refused.
    Denied {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// Why.
        reason: Reason,
    },
    /// Tell the decider that the part runs.
    Started {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
    },
    /// Tell the decider that the part has ended.
    Ended {
        /// The job.
        job: JobId,
        /// Number of the run.
        attempt: Attempt,
        /// How.
        end: End,
    },
}
