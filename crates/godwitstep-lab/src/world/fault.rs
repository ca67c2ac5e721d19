//! Faults of workers, agents and deciders, and the recovery from them.

use super::World;
use super::agent::IDLE_TIMEOUT;
use godwitstep_core::hold::{self, Table};
use godwitstep_core::id::{Attempt, JobId};
use godwitstep_core::planner::{End, Event, Running};
use std::time::Duration;

impl World {
    /// Kills a worker with its parts and its agent.
    pub fn kill_worker(&mut self, agent_index: usize) {
        let keys: Vec<_> = self.agents[agent_index].parts.keys().cloned().collect();
        for (job, attempt) in keys {
            self.remove_part(agent_index, &job, attempt, End::Stopped);
        }
        let agent = &mut self.agents[agent_index];
        agent.alive = false;
        agent.paused = false;
        agent.linked = false;
        agent.lease_generation += 1;
        agent.pending_part_events.clear();
        agent.pending_commands.clear();
        self.schedule_idle_timeout(agent_index);
    }

    /// Reports that a worker is leaving. It gets no new work until it announces itself again.
    pub fn announce_worker_leaving(&mut self, agent_index: usize) {
        if self.agents[agent_index].responds() {
            let id = self.agents[agent_index].worker.id.clone();
            self.send_report(agent_index, &Event::WorkerLeaving { id }, None);
        }
    }

    /// Restarts a killed worker and its agent with an empty table, under a new incarnation.
    pub fn restart_worker(&mut self, agent_index: usize) {
        if !self.agents[agent_index].alive {
            self.begin_incarnation(agent_index);
            self.reconnect_agent(agent_index);
        }
    }

    /// Restarts an agent while the parts on its worker continue to run.
    pub fn restart_agent(&mut self, agent_index: usize) {
        if !self.agents[agent_index].responds() {
            return;
        }
        let unacknowledged = self.agents[agent_index].table.unacknowledged();
        self.begin_incarnation(agent_index);
        let running = |job: &JobId, attempt, tasks, accelerators| Running {
            job: job.clone(),
            attempt,
            tasks,
            accelerators,
            settled: true,
        };
        let parts: Vec<((JobId, Attempt), Running)> = self.agents[agent_index]
            .parts
            .iter()
            .map(|((job, attempt), part)| {
                let item = running(job, *attempt, part.tasks, part.accelerators);
                ((job.clone(), *attempt), item)
            })
            .collect();
        for (_, running) in parts {
            self.handle_agent_event(agent_index, hold::Event::Found { running }, None);
        }
        for action in unacknowledged {
            if let hold::Action::Ended { job, attempt, end } = action {
                let running = running(&job, attempt, 0, 0);
                self.handle_agent_event(agent_index, hold::Event::Found { running }, None);
                self.handle_agent_event(
                    agent_index,
                    hold::Event::Ended { job, attempt, end },
                    None,
                );
            }
        }
        self.reconnect_agent(agent_index);
    }

    /// Resets an agent to an empty table under a new incarnation, without a link.
    fn begin_incarnation(&mut self, agent_index: usize) {
        let agent = &mut self.agents[agent_index];
        agent.worker.incarnation += 1;
        agent.table = Table::new(agent.worker.domain.clone(), agent.worker.accelerators);
        agent.alive = true;
        agent.paused = false;
        agent.linked = false;
        agent.last_contact = None;
        agent.link_generation += 1;
        agent.lease_generation += 1;
    }

    /// Disconnects an agent from all entries. The parts on its worker continue to run until the lease
    /// lapses. The agent renews the lease until its links time out.
    pub fn disconnect_agent(&mut self, agent_index: usize) {
        if !self.agents[agent_index].linked || !self.agents[agent_index].responds() {
            return;
        }
        self.agents[agent_index].linked = false;
        let last_renewal = self.now + IDLE_TIMEOUT;
        self.schedule_lease_expiry(agent_index, last_renewal);
        self.schedule_idle_timeout(agent_index);
    }

    /// Restores the link of an agent and announces it to all deciders.
    pub fn reconnect_agent(&mut self, agent_index: usize) {
        let agent = &mut self.agents[agent_index];
        if agent.linked || !agent.responds() {
            return;
        }
        agent.linked = true;
        agent.link_generation += 1;
        agent.lease_generation += 1;
        let (now, epoch) = (self.now, self.epoch);
        let in_service = self
            .out_since(&self.agents[agent_index].worker.domain)
            .is_none();
        self.agents[agent_index].last_contact = Some(now);
        self.agents[agent_index].announced_epoch = epoch;
        self.handle_agent_event(agent_index, hold::Event::Epoch(epoch), None);
        self.handle_agent_event(agent_index, hold::Event::InService(in_service), None);
        self.announce_to_all(agent_index);
    }

    /// Pauses an agent. The parts on its worker continue to run until the lease lapses.
    pub fn pause_agent(&mut self, agent_index: usize) {
        if !self.agents[agent_index].responds() {
            return;
        }
        self.agents[agent_index].paused = true;
        if self.agents[agent_index].linked {
            let now = self.now;
            self.schedule_lease_expiry(agent_index, now);
            self.schedule_idle_timeout(agent_index);
        }
    }

    /// Resumes a paused agent. It renews the lease before anything else.
    pub fn resume_agent(&mut self, agent_index: usize) {
        let agent = &mut self.agents[agent_index];
        if !agent.paused || !agent.alive {
            return;
        }
        agent.paused = false;
        agent.lease_generation += 1;
        let linked = agent.linked;
        let pending_commands = std::mem::take(&mut agent.pending_commands);
        for event in std::mem::take(&mut self.agents[agent_index].pending_part_events) {
            self.handle_agent_event(agent_index, event, None);
        }
        self.handle_agent_event(agent_index, hold::Event::Tick, None);
        if !linked {
            return self.reconnect_agent(agent_index);
        }
        for item in pending_commands {
            self.queue.push(self.now, item);
        }
    }

    /// Pauses the newest decider.
    pub fn pause_decider(&mut self) {
        if let Some(decider) = self.deciders.last_mut() {
            decider.paused = true;
        }
    }

    /// Resumes a decider after a pause of the given length. If the pause exceeds the idle timeout, its
    /// links were closed and are dialled again.
    pub fn resume_decider(&mut self, epoch: u64, pause: Duration) {
        let Some(decider) = self.decider(epoch).filter(|decider| decider.paused) else {
            return;
        };
        decider.paused = false;
        let pending_events = std::mem::take(&mut decider.pending_events);
        for event in pending_events {
            self.deliver_event(epoch, event);
        }
        if pause < IDLE_TIMEOUT {
            return;
        }
        for agent_index in 0..self.agents.len() {
            let id = self.agents[agent_index].worker.id.clone();
            self.deliver_event(epoch, Event::WorkerLost { id });
            self.announce(agent_index, epoch);
        }
    }

    /// Removes a decider.
    pub fn remove_decider(&mut self, epoch: u64) {
        self.deciders.retain(|decider| decider.epoch != epoch);
    }
}
