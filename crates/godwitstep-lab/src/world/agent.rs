//! A simulated agent with its worker: the real hold table, tasks with virtual run times, a lease.

use super::World;
use super::item::Item;
use godwitstep_core::hold::{self, Command, CommandHeader, Table};
use godwitstep_core::id::{Attempt, JobId};
use godwitstep_core::planner::{End, Event, Running, Worker};
use std::collections::BTreeMap;
use std::time::Duration;

/// Duration of a worker's lease.
pub const WORKER_LEASE: Duration = Duration::from_secs(10);
/// Time between renewals of the lease.
const RENEWAL_INTERVAL_MS: u64 = 3_000;
/// Time without a message after which a link is closed.
pub const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A part that runs on a worker.
#[derive(Debug, Clone)]
pub struct RunningPart {
    pub tasks: u32,
    pub accelerators: u32,
    pub started: Duration,
    /// How it will end.
    pub end: End,
    pub ends_at: Duration,
    /// Generation of its scheduled end. Items of older generations are ignored.
    pub generation: u64,
}

/// An agent and its worker.
// The states are independent: a paused agent can have a link, and one whose tasks fail can be
// disconnected.
#[allow(clippy::struct_excessive_bools)]
#[derive(Debug)]
pub struct Agent {
    pub worker: Worker,
    pub table: Table,
    pub alive: bool,
    pub linked: bool,
    pub paused: bool,
    /// When it last received a message from an entry in this incarnation.
    pub last_contact: Option<Duration>,
    /// Incremented with each new link, so that messages of older links are dropped.
    pub link_generation: u64,
    /// Incremented when the lease is renewed or its expiry is rescheduled, so that the expiry
    /// scheduled before is ignored.
    pub lease_generation: u64,
    /// Incremented with each scheduled idle timeout, so that only the latest takes effect.
    pub idle_generation: u64,
    pub parts: BTreeMap<(JobId, Attempt), RunningPart>,
    /// Accelerators of all running parts.
    pub used: u32,
    /// Whether every task on it fails.
    pub fails_tasks: bool,
    /// Launches and ends of parts that a paused agent has not processed yet.
    pub pending_part_events: Vec<hold::Event>,
    /// Commands in the receive buffer of a paused agent.
    pub pending_commands: Vec<Item>,
    /// Epoch of the decider to which it last announced itself.
    pub announced_epoch: u64,
}

impl Agent {
    pub fn new(worker: Worker) -> Self {
        Self {
            table: Table::new(worker.domain.clone(), worker.accelerators),
            worker,
            alive: true,
            linked: true,
            paused: false,
            last_contact: None,
            link_generation: 1,
            lease_generation: 0,
            idle_generation: 0,
            parts: BTreeMap::new(),
            used: 0,
            fails_tasks: false,
            pending_part_events: Vec::new(),
            pending_commands: Vec::new(),
            announced_epoch: 0,
        }
    }

    /// Returns whether it is alive and not paused.
    pub const fn responds(&self) -> bool {
        self.alive && !self.paused
    }
}

impl World {
    /// Delivers a command to an agent, which ignores it if its last contact with an entry is older
    /// than the idle timeout.
    pub(super) fn receive_command(
        &mut self,
        agent_index: usize,
        link_generation: u64,
        header: CommandHeader,
        command: Command,
    ) {
        let now = self.now;
        let agent = &mut self.agents[agent_index];
        if !agent.alive || !agent.linked || agent.link_generation != link_generation {
            return;
        }
        if agent.paused {
            let item = Item::Command {
                agent: agent_index,
                link_generation,
                header,
                command,
            };
            return agent.pending_commands.push(item);
        }
        if agent
            .last_contact
            .is_none_or(|contact| now > contact + IDLE_TIMEOUT)
        {
            return;
        }
        let timeout = match command {
            Command::Reserve { .. } => Some(hold::HOLD_TIMEOUT),
            Command::Commit { .. } => Some(hold::SETTLE_TIMEOUT),
            _ => None,
        };
        if let Some(timeout) = timeout {
            self.queue
                .push(now + timeout, Item::AgentTick { agent: agent_index });
        }
        let reply_to = header.epoch;
        self.handle_agent_event(
            agent_index,
            hold::Event::Command(header, command),
            Some(reply_to),
        );
    }

    /// Lets an agent's table handle an event and executes the resulting actions. Reports go to the
    /// decider of the epoch `reply_to`, or to all deciders if there is none.
    pub(super) fn handle_agent_event(
        &mut self,
        agent_index: usize,
        event: hold::Event,
        reply_to: Option<u64>,
    ) {
        let mut actions = Vec::new();
        let now = self.now;
        let Some(event) = (self.injected_bug.alter_agent_event)(event) else {
            return;
        };
        self.agents[agent_index]
            .table
            .handle(now, event, &mut actions);
        for action in actions {
            self.execute_agent_action(agent_index, action, reply_to);
        }
    }

    fn execute_agent_action(
        &mut self,
        agent_index: usize,
        action: hold::Action,
        reply_to: Option<u64>,
    ) {
        let worker = self.agents[agent_index].worker.id.clone();
        let event = match action {
            hold::Action::Start {
                job,
                attempt,
                tasks,
                accelerators,
            } => return self.start_part(agent_index, job, attempt, tasks, accelerators),
            hold::Action::Stop {
                job,
                attempt,
                checkpoint,
            } => return self.stop_part(agent_index, &job, attempt, checkpoint),
            hold::Action::Held { job, attempt } => Event::Held {
                worker,
                job,
                attempt,
            },
            hold::Action::Denied {
                job,
                attempt,
                reason,
            } => Event::Denied {
                worker,
                job,
                attempt,
                reason,
            },
            hold::Action::Started { job, attempt } => Event::Started {
                worker,
                job,
                attempt,
            },
            hold::Action::Ended { job, attempt, end } => Event::Ended {
                worker,
                job,
                attempt,
                end,
            },
        };
        self.send_report(agent_index, &event, reply_to);
    }

    fn start_part(
        &mut self,
        agent_index: usize,
        job: JobId,
        attempt: Attempt,
        tasks: u32,
        accelerators: u32,
    ) {
        let now = self.now;
        self.check_start(agent_index, &job, attempt, accelerators);
        let number = self.job_number(&job);
        let state = &mut self.jobs[number];
        let fails = state.always_fails || self.agents[agent_index].fails_tasks;
        let remaining = state.run_time.saturating_sub(state.checkpointed_work);
        let parts = state.parts.len();
        let run = state.run_mut(attempt);
        run.parts = run.parts.max(parts);
        run.started += 1;
        run.running += 1;
        run.last_start = now;
        let (duration, end) = if fails {
            (Duration::from_millis(300), End::Failed)
        } else {
            (remaining.max(Duration::from_millis(100)), End::Done)
        };
        self.part_generation += 1;
        let part = RunningPart {
            tasks,
            accelerators,
            started: now,
            end,
            ends_at: now + duration,
            generation: self.part_generation,
        };
        let agent = &mut self.agents[agent_index];
        agent.used += accelerators;
        agent.parts.insert((job.clone(), attempt), part);
        let generation = self.part_generation;
        let launched = Item::Launched {
            agent: agent_index,
            job: job.clone(),
            attempt,
            generation,
        };
        self.queue.push(now + Duration::from_millis(50), launched);
        let ended = Item::PartEnd {
            agent: agent_index,
            job,
            attempt,
            generation,
        };
        self.queue.push(now + duration, ended);
    }

    fn stop_part(&mut self, agent_index: usize, job: &JobId, attempt: Attempt, checkpoint: bool) {
        let checkpoint_ms = self.rng.u64(500..self.checkpoint_ms.max(501));
        let duration = Duration::from_millis(if checkpoint { checkpoint_ms } else { 200 });
        let ends_at = self.now + duration;
        self.part_generation += 1;
        let generation = self.part_generation;
        let Some(part) = self.agents[agent_index]
            .parts
            .get_mut(&(job.clone(), attempt))
        else {
            return;
        };
        if part.ends_at <= ends_at || part.end == End::Stopped {
            return;
        }
        part.end = if checkpoint {
            End::Checkpointed
        } else {
            End::Stopped
        };
        (part.ends_at, part.generation) = (ends_at, generation);
        let item = Item::PartEnd {
            agent: agent_index,
            job: job.clone(),
            attempt,
            generation,
        };
        self.queue.push(ends_at, item);
    }

    pub(super) fn handle_launched(
        &mut self,
        agent_index: usize,
        job: JobId,
        attempt: Attempt,
        generation: u64,
    ) {
        let agent = &mut self.agents[agent_index];
        let part = agent.parts.get(&(job.clone(), attempt));
        if part.is_none_or(|part| part.generation < generation) {
            return;
        }
        let event = hold::Event::Launched { job, attempt };
        self.forward_part_event(agent_index, event);
    }

    pub(super) fn handle_part_end(
        &mut self,
        agent_index: usize,
        job: JobId,
        attempt: Attempt,
        generation: u64,
    ) {
        let parts = &self.agents[agent_index].parts;
        let Some(part) = parts.get(&(job.clone(), attempt)) else {
            return;
        };
        if part.generation != generation {
            return;
        }
        let end = part.end;
        self.remove_part(agent_index, &job, attempt, end);
        self.forward_part_event(agent_index, hold::Event::Ended { job, attempt, end });
    }

    /// Delivers an event of a part to the agent of its worker, once the agent is not paused.
    fn forward_part_event(&mut self, agent_index: usize, event: hold::Event) {
        if self.agents[agent_index].paused {
            return self.agents[agent_index].pending_part_events.push(event);
        }
        self.handle_agent_event(agent_index, event, None);
    }

    /// Removes a part from its worker and records its work.
    pub(super) fn remove_part(
        &mut self,
        agent_index: usize,
        job: &JobId,
        attempt: Attempt,
        end: End,
    ) {
        let Some(part) = self.agents[agent_index]
            .parts
            .remove(&(job.clone(), attempt))
        else {
            return;
        };
        self.agents[agent_index].used -= part.accelerators;
        let number = self.job_number(job);
        self.record_part_end(number, attempt, &part, end);
    }

    /// Stops all parts of a worker whose lease has lapsed.
    pub(super) fn expire_lease(&mut self, agent_index: usize, generation: u64) {
        if self.agents[agent_index].lease_generation != generation {
            return;
        }
        self.increment_count("lease_lapse");
        let keys: Vec<_> = self.agents[agent_index].parts.keys().cloned().collect();
        for (job, attempt) in keys {
            self.remove_part(agent_index, &job, attempt, End::Stopped);
            let end = End::Stopped;
            self.forward_part_event(agent_index, hold::Event::Ended { job, attempt, end });
        }
    }

    /// Schedules the expiry of a lease that the agent could renew until `last_renewal`. The last
    /// renewal was up to one renewal interval before.
    pub(super) fn schedule_lease_expiry(&mut self, agent_index: usize, last_renewal: Duration) {
        let since_renewal = Duration::from_millis(self.rng.u64(0..RENEWAL_INTERVAL_MS));
        let agent = &mut self.agents[agent_index];
        agent.lease_generation += 1;
        let generation = agent.lease_generation;
        let expiry = (last_renewal + WORKER_LEASE)
            .saturating_sub(since_renewal)
            .max(self.now);
        self.queue.push(
            expiry,
            Item::LeaseExpiry {
                agent: agent_index,
                generation,
            },
        );
    }

    /// Returns the parts that the agent lists when it announces itself.
    pub(super) fn inventory(&self, agent_index: usize) -> Vec<Running> {
        self.agents[agent_index].table.inventory()
    }
}
