//! A fake agent with its worker: the real hold table, tasks with virtual run times, a lease.

use super::World;
use super::item::Item;
use godwitstep_core::hold::{self, Command, CommandHeader, Table};
use godwitstep_core::id::{Attempt, JobId};
use godwitstep_core::planner::{End, Event, Running, Worker};
use std::collections::BTreeMap;
use std::time::Duration;

/// Life of a worker's lease and the time between its renewals.
pub const LEASE: Duration = Duration::from_secs(10);
const RENEWAL_MS: u64 = 3_000;
/// Silence after which a link is closed.
pub const SILENCE: Duration = Duration::from_millis(1_500);

/// Tasks of a part that run on a worker.
#[derive(Debug, Clone)]
pub struct Task {
    pub tasks: u32,
    pub accelerators: u32,
    pub started: Duration,
    pub end: End,
    pub at: Duration,
    /// Tells the pending end of the task from those that it replaced.
    pub stamp: u64,
}

/// An agent and its worker.
// Each state comes and goes by itself: a paused agent can have a link, a failing one can be cut off.
#[allow(clippy::struct_excessive_bools)]
#[derive(Debug)]
pub struct Agent {
    pub worker: Worker,
    pub table: Table,
    pub alive: bool,
    pub linked: bool,
    pub paused: bool,
    /// When it last heard from an entry in this life.
    pub heard: Option<Duration>,
    /// Grows with each link, so that messages of older links are dropped.
    pub link: u64,
    pub lease: u64,
    /// Grows with each silence, so that only the present one is noticed.
    pub silence: u64,
    pub tasks: BTreeMap<(JobId, Attempt), Task>,
    /// Accelerators of all tasks that run.
    pub used: u32,
    /// Whether every task on it fails.
    pub fails: bool,
    /// Ends that a paused agent has not seen yet.
    pub unseen: Vec<hold::Event>,
    /// Commands that wait in the socket of a paused agent.
    pub inbox: Vec<Item>,
    /// Epoch of which it last announced itself.
    pub announced: u64,
}

impl Agent {
    pub fn new(worker: Worker) -> Self {
        Self {
            table: Table::new(worker.domain.clone(), worker.accelerators),
            worker,
            alive: true,
            linked: true,
            paused: false,
            heard: None,
            link: 1,
            lease: 0,
            silence: 0,
            tasks: BTreeMap::new(),
            used: 0,
            fails: false,
            unseen: Vec::new(),
            inbox: Vec::new(),
            announced: 0,
        }
    }

    pub const fn responds(&self) -> bool {
        self.alive && !self.paused
    }
}

impl World {
    /// Delivers a command to an agent, which refuses to act for an entry that it does not hear.
    pub(super) fn command(&mut self, at: usize, link: u64, order: CommandHeader, command: Command) {
        let now = self.now;
        let agent = &mut self.agents[at];
        if !agent.alive || !agent.linked || agent.link != link {
            return;
        }
        if agent.paused {
            let item = Item::Command {
                agent: at,
                link,
                order,
                command,
            };
            return agent.inbox.push(item);
        }
        if agent.heard.is_none_or(|heard| now > heard + SILENCE) {
            return;
        }
        let wait = match command {
            Command::Reserve { .. } => Some(hold::HOLD_TIMEOUT),
            Command::Commit { .. } => Some(hold::SETTLE_TIMEOUT),
            _ => None,
        };
        if let Some(wait) = wait {
            self.queue.push(now + wait, Item::AgentTick { agent: at });
        }
        let from = order.epoch;
        self.agent_event(at, hold::Event::Command(order, command), Some(from));
    }

    /// Gives an agent's table an event. Replies go to the decider that asked, or else to all.
    pub(super) fn agent_event(&mut self, at: usize, event: hold::Event, from: Option<u64>) {
        let mut actions = Vec::new();
        let now = self.now;
        let Some(event) = (self.breakage.hear)(event) else {
            return;
        };
        self.agents[at].table.handle(now, event, &mut actions);
        for action in actions {
            self.agent_action(at, action, from);
        }
    }

    fn agent_action(&mut self, at: usize, action: hold::Action, from: Option<u64>) {
        let worker = self.agents[at].worker.id.clone();
        let event = match action {
            hold::Action::Start {
                job,
                attempt,
                tasks,
                accelerators,
            } => return self.start_task(at, job, attempt, tasks, accelerators),
            hold::Action::Stop {
                job,
                attempt,
                checkpoint,
            } => return self.stop_task(at, &job, attempt, checkpoint),
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
        self.report(at, &event, from);
    }

    fn start_task(
        &mut self,
        at: usize,
        job: JobId,
        attempt: Attempt,
        tasks: u32,
        accelerators: u32,
    ) {
        let now = self.now;
        self.check_start(at, &job, attempt, accelerators);
        let number = self.number(&job);
        let state = &mut self.jobs[number];
        let fails = state.fails || self.agents[at].fails;
        let left = state.run.saturating_sub(state.saved);
        let parts = state.parts.len();
        let seen = state.seen(attempt);
        seen.parts = seen.parts.max(parts);
        seen.started += 1;
        seen.live += 1;
        seen.last_start = now;
        let (after, end) = if fails {
            (Duration::from_millis(300), End::Failed)
        } else {
            (left.max(Duration::from_millis(100)), End::Done)
        };
        self.stamp += 1;
        let task = Task {
            tasks,
            accelerators,
            started: now,
            end,
            at: now + after,
            stamp: self.stamp,
        };
        let agent = &mut self.agents[at];
        agent.used += accelerators;
        agent.tasks.insert((job.clone(), attempt), task);
        let stamp = self.stamp;
        let launched = Item::Launched {
            agent: at,
            job: job.clone(),
            attempt,
            stamp,
        };
        self.queue.push(now + Duration::from_millis(50), launched);
        let ended = Item::TaskEnd {
            agent: at,
            job,
            attempt,
            stamp,
        };
        self.queue.push(now + after, ended);
    }

    fn stop_task(&mut self, at: usize, job: &JobId, attempt: Attempt, checkpoint: bool) {
        let checkpoint_ms = self.rng.u64(500..self.checkpoint_ms.max(501));
        let after = Duration::from_millis(if checkpoint { checkpoint_ms } else { 200 });
        let until = self.now + after;
        self.stamp += 1;
        let stamp = self.stamp;
        let Some(task) = self.agents[at].tasks.get_mut(&(job.clone(), attempt)) else {
            return;
        };
        if task.at <= until || task.end == End::Stopped {
            return;
        }
        task.end = if checkpoint {
            End::Checkpointed
        } else {
            End::Stopped
        };
        (task.at, task.stamp) = (until, stamp);
        let item = Item::TaskEnd {
            agent: at,
            job: job.clone(),
            attempt,
            stamp,
        };
        self.queue.push(until, item);
    }

    pub(super) fn launched(&mut self, at: usize, job: JobId, attempt: Attempt, stamp: u64) {
        let agent = &mut self.agents[at];
        let task = agent.tasks.get(&(job.clone(), attempt));
        if task.is_none_or(|task| task.stamp < stamp) {
            return;
        }
        let event = hold::Event::Launched { job, attempt };
        self.see(at, event);
    }

    pub(super) fn task_end(&mut self, at: usize, job: JobId, attempt: Attempt, stamp: u64) {
        let tasks = &self.agents[at].tasks;
        let Some(task) = tasks.get(&(job.clone(), attempt)) else {
            return;
        };
        if task.stamp != stamp {
            return;
        }
        let end = task.end;
        self.remove_task(at, &job, attempt, end);
        self.see(at, hold::Event::Ended { job, attempt, end });
    }

    /// Passes on what a worker did to its agent, now or when the agent runs again.
    fn see(&mut self, at: usize, event: hold::Event) {
        if self.agents[at].paused {
            return self.agents[at].unseen.push(event);
        }
        self.agent_event(at, event, None);
    }

    /// Takes tasks off a worker and counts what they did.
    pub(super) fn remove_task(&mut self, at: usize, job: &JobId, attempt: Attempt, end: End) {
        let Some(task) = self.agents[at].tasks.remove(&(job.clone(), attempt)) else {
            return;
        };
        self.agents[at].used -= task.accelerators;
        let number = self.number(job);
        self.count_work(number, attempt, &task, end);
    }

    /// Ends all tasks of a worker whose lease has lapsed.
    pub(super) fn lapse(&mut self, at: usize, stamp: u64) {
        if self.agents[at].lease != stamp {
            return;
        }
        self.count("lease_lapse");
        let keys: Vec<_> = self.agents[at].tasks.keys().cloned().collect();
        for (job, attempt) in keys {
            self.remove_task(at, &job, attempt, End::Stopped);
            let end = End::Stopped;
            self.see(at, hold::Event::Ended { job, attempt, end });
        }
    }

    /// Sets when the lease lapses if the agent does not renew it after `last`.
    pub(super) fn lease_until(&mut self, at: usize, last: Duration) {
        let since = Duration::from_millis(self.rng.u64(0..RENEWAL_MS));
        let agent = &mut self.agents[at];
        agent.lease += 1;
        let stamp = agent.lease;
        let until = (last + LEASE).saturating_sub(since).max(self.now);
        self.queue.push(until, Item::Lease { agent: at, stamp });
    }

    /// Returns what the agent lists in an announcement.
    pub(super) fn inventory(&self, at: usize) -> Vec<Running> {
        self.agents[at].table.inventory()
    }
}
