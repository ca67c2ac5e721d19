//! Events that are scheduled in the simulated region.

use godwitstep_core::hold::{Command, CommandHeader};
use godwitstep_core::id::{Attempt, Epoch, JobId};
use godwitstep_core::planner::Event;

/// A scheduled event of the simulation.
#[derive(Debug, Clone)]
pub enum Item {
    /// A command of a decider arrives at an agent over the link of the given generation.
    Command {
        agent: usize,
        link_generation: u64,
        header: CommandHeader,
        command: Command,
    },
    /// The acknowledgement that the end of a run is recorded arrives at an agent.
    Acknowledge {
        agent: usize,
        link_generation: u64,
        job: JobId,
        attempt: Attempt,
    },
    /// A report of an agent arrives at a decider.
    Report { epoch: Epoch, event: Event },
    /// A decider has read an event from the log.
    Read { epoch: Epoch, event: Event },
    /// A decider sends its pending records to the log.
    Append { epoch: Epoch },
    /// A decider has received or read back the outcome of its last append.
    Appended { epoch: Epoch },
    /// A worker has launched the tasks of a part.
    Launched {
        agent: usize,
        job: JobId,
        attempt: Attempt,
        generation: u64,
    },
    /// A part ends, unless its end was rescheduled since.
    PartEnd {
        agent: usize,
        job: JobId,
        attempt: Attempt,
        generation: u64,
    },
    /// A reservation or the wait of a committed part for `Settle` may have timed out.
    AgentTick { agent: usize },
    /// A worker's lease lapses, unless it was renewed since.
    LeaseExpiry { agent: usize, generation: u64 },
    /// The deciders close a worker's link after the idle timeout.
    IdleTimeout { agent: usize, generation: u64 },
    /// Entries report epochs and domains to agents, and agents report ends and usage.
    Heartbeat,
    /// The periodic tick of a decider is due.
    Tick { epoch: Epoch },
    /// The driver of the simulation scheduled an action; the code identifies it.
    Driver(u32),
}
