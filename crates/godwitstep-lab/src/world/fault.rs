//! Faults of workers, agents and deciders.

use super::World;
use super::agent::SILENCE;
use godwitstep_core::hold::{self, Table};
use godwitstep_core::id::{Attempt, JobId};
use godwitstep_core::planner::{End, Event, Running};
use std::time::Duration;

impl World {
    /// Stops a worker with its tasks and its agent.
    pub fn kill_worker(&mut self, at: usize) {
        let keys: Vec<_> = self.agents[at].tasks.keys().cloned().collect();
        for (job, attempt) in keys {
            self.remove_task(at, &job, attempt, End::Stopped);
        }
        let agent = &mut self.agents[at];
        agent.alive = false;
        agent.paused = false;
        agent.linked = false;
        agent.lease += 1;
        agent.unseen.clear();
        agent.inbox.clear();
        self.notice_silence(at);
    }

    /// Lets a worker take no new work until it announces itself again.
    pub fn leave_worker(&mut self, at: usize) {
        if self.agents[at].responds() {
            let id = self.agents[at].worker.id.clone();
            self.report(at, &Event::WorkerLeaving { id }, None);
        }
    }

    /// Starts a worker again, with an empty table under a new incarnation.
    pub fn revive_worker(&mut self, at: usize) {
        if !self.agents[at].alive {
            self.new_life(at);
            self.link(at);
        }
    }

    /// Starts an agent again on a worker whose tasks go on.
    pub fn restart_agent(&mut self, at: usize) {
        if !self.agents[at].responds() {
            return;
        }
        let ended = self.agents[at].table.unacknowledged();
        self.new_life(at);
        let running = |job: &JobId, attempt, tasks, accelerators| Running {
            job: job.clone(),
            attempt,
            tasks,
            accelerators,
            settled: true,
        };
        let tasks: Vec<((JobId, Attempt), Running)> = self.agents[at]
            .tasks
            .iter()
            .map(|((job, attempt), task)| {
                let item = running(job, *attempt, task.tasks, task.accelerators);
                ((job.clone(), *attempt), item)
            })
            .collect();
        for (_, running) in tasks {
            self.agent_event(at, hold::Event::Found { running }, None);
        }
        for action in ended {
            if let hold::Action::Ended { job, attempt, end } = action {
                let running = running(&job, attempt, 0, 0);
                self.agent_event(at, hold::Event::Found { running }, None);
                self.agent_event(at, hold::Event::Ended { job, attempt, end }, None);
            }
        }
        self.link(at);
    }

    fn new_life(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        agent.worker.incarnation += 1;
        agent.table = Table::new(agent.worker.domain.clone(), agent.worker.accelerators);
        agent.alive = true;
        agent.paused = false;
        agent.linked = false;
        agent.heard = None;
        agent.link += 1;
        agent.lease += 1;
    }

    /// Cuts an agent off from the entries. Its tasks go on until its lease lapses.
    pub fn cut_agent(&mut self, at: usize) {
        if !self.agents[at].linked || !self.agents[at].responds() {
            return;
        }
        self.agents[at].linked = false;
        let renewed = self.now + SILENCE;
        self.lease_until(at, renewed);
        self.notice_silence(at);
    }

    /// Restores the link of an agent, which announces itself.
    pub fn link(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        if agent.linked || !agent.responds() {
            return;
        }
        agent.linked = true;
        agent.link += 1;
        agent.lease += 1;
        let (now, epoch) = (self.now, self.epoch);
        let in_service = self.out_since(&self.agents[at].worker.domain).is_none();
        self.agents[at].heard = Some(now);
        self.agents[at].announced = epoch;
        self.agent_event(at, hold::Event::Epoch(epoch), None);
        self.agent_event(at, hold::Event::InService(in_service), None);
        self.announce_to_all(at);
    }

    /// Freezes an agent. The tasks on its worker go on until the lease lapses.
    pub fn pause_agent(&mut self, at: usize) {
        if !self.agents[at].responds() {
            return;
        }
        self.agents[at].paused = true;
        if self.agents[at].linked {
            let now = self.now;
            self.lease_until(at, now);
            self.notice_silence(at);
        }
    }

    /// Lets a frozen agent go on. It takes the lease anew before it does anything else.
    pub fn resume_agent(&mut self, at: usize) {
        let agent = &mut self.agents[at];
        if !agent.paused || !agent.alive {
            return;
        }
        agent.paused = false;
        agent.lease += 1;
        let linked = agent.linked;
        let waiting = std::mem::take(&mut agent.inbox);
        for event in std::mem::take(&mut self.agents[at].unseen) {
            self.agent_event(at, event, None);
        }
        self.agent_event(at, hold::Event::Tick, None);
        if !linked {
            return self.link(at);
        }
        for item in waiting {
            self.queue.push(self.now, item);
        }
    }

    /// Freezes the newest decider.
    pub fn pause_decider(&mut self) {
        if let Some(decider) = self.deciders.last_mut() {
            decider.paused = true;
        }
    }

    /// Lets a frozen decider go on. After a long pause its links are closed and dialled again.
    pub fn resume_decider(&mut self, epoch: u64, pause: Duration) {
        let Some(decider) = self.decider(epoch).filter(|decider| decider.paused) else {
            return;
        };
        decider.paused = false;
        let waiting = std::mem::take(&mut decider.inbox);
        for event in waiting {
            self.tell(epoch, event);
        }
        if pause < SILENCE {
            return;
        }
        for at in 0..self.agents.len() {
            let id = self.agents[at].worker.id.clone();
            self.tell(epoch, Event::WorkerLost { id });
            self.announce(at, epoch);
        }
    }

    /// Ends a decider.
    pub fn drop_decider(&mut self, epoch: u64) {
        self.deciders.retain(|decider| decider.epoch != epoch);
    }
}
