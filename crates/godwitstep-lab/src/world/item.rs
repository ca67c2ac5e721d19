//! What is due in a run of the fake region.

use godwitstep_core::hold::{Command, CommandHeader};
use godwitstep_core::id::{Attempt, Epoch, JobId};
use godwitstep_core::planner::Event;

/// Something that is due.
#[derive(Debug, Clone)]
pub enum Item {
    /// A decider's command arrives at an agent over a link of the given generation.
    Command {
        agent: usize,
        link: u64,
        order: CommandHeader,
        command: Command,
    },
    /// The news that an end is recorded arrives at an agent.
    Acknowledge {
        agent: usize,
        link: u64,
        job: JobId,
        attempt: Attempt,
    },
    /// An agent's message arrives at a decider.
    Report { epoch: Epoch, event: Event },
    /// A decider has read something from the log.
    Read { epoch: Epoch, event: Event },
    /// A decider sends what it has to append.
    Append { epoch: Epoch },
    /// A decider knows the outcome of its last append.
    Appended { epoch: Epoch },
    /// A worker has started the tasks of a part.
    Launched {
        agent: usize,
        job: JobId,
        attempt: Attempt,
        stamp: u64,
    },
    /// The tasks of a part end.
    TaskEnd {
        agent: usize,
        job: JobId,
        attempt: Attempt,
        stamp: u64,
    },
    /// A hold or a start may have timed out.
    AgentTick { agent: usize },
    /// A worker's lease lapses, unless it was renewed since.
    Lease { agent: usize, stamp: u64 },
    /// The deciders notice that a link is silent.
    Silent { agent: usize, silence: u64 },
    /// Entries report epochs and domains to agents, and agents report ends and usage.
    Heartbeat,
    /// Time passes for a decider.
    Tick { epoch: Epoch },
    /// Something that the driver of the region has planned.
    Driver(u32),
}
