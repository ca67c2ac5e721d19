//! One step of a run: takes what is due next and gives it to whom it concerns.

use super::World;
use super::agent::SILENCE;
use super::item::Item;
use godwitstep_core::hold;
use godwitstep_core::planner::Event;
use std::hash::Hash;
use std::time::Duration;

/// Time between heartbeats on each link.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Events at one instant after which a decider is taken to repeat itself without end. A region of
/// this size has a few thousand messages on the way at most.
const STILL_LIMIT: u64 = 20_000;

impl World {
    /// Does what is due next. Returns the driver's own item if it is one.
    pub fn step(&mut self) -> Option<u32> {
        let (at, item) = self.queue.pop()?;
        self.still = if at > self.now { 0 } else { self.still + 1 };
        if self.still > STILL_LIMIT {
            self.still = 0;
            let what = String::from("events follow each other without end at one instant");
            self.fail("livelock", what);
        }
        self.now = at;
        self.events += 1;
        if self.recent.len() == super::SHOWN {
            self.recent.pop_front();
        }
        self.recent.push_back((at, item.clone()));
        (at.as_nanos(), std::mem::discriminant(&item)).hash(&mut self.hasher);
        self.show("event", &item);
        match item {
            Item::Driver(code) => return Some(code),
            Item::Command {
                agent,
                link,
                order,
                command,
            } => self.command(agent, link, order, command),
            Item::Acknowledge {
                agent,
                link,
                job,
                attempt,
            } => {
                let at = agent;
                let agent = &self.agents[at];
                if agent.responds() && agent.linked && agent.link == link {
                    let event = hold::Event::Acknowledged { job, attempt };
                    self.agent_event(at, event, None);
                }
            }
            Item::Report { epoch, event } => self.receive(epoch, event),
            Item::Read { epoch, event } => self.tell(epoch, event),
            Item::Append { epoch } => self.append(epoch),
            Item::Appended { epoch } => self.appended(epoch),
            Item::Launched {
                agent,
                job,
                attempt,
                stamp,
            } => self.launched(agent, job, attempt, stamp),
            Item::TaskEnd {
                agent,
                job,
                attempt,
                stamp,
            } => self.task_end(agent, job, attempt, stamp),
            Item::AgentTick { agent } => {
                if self.agents[agent].responds() {
                    self.agent_event(agent, hold::Event::Tick, None);
                }
            }
            Item::Lease { agent, stamp } => self.lapse(agent, stamp),
            Item::Silent { agent, silence } => self.silent(agent, silence),
            Item::Heartbeat => self.heartbeat(),
            Item::Tick { epoch } => self.tick(epoch),
        }
        None
    }

    /// Prints what concerns the watched job.
    pub(super) fn show(&self, what: &str, detail: &dyn std::fmt::Debug) {
        let Some(job) = &self.watch else {
            return;
        };
        let text = format!("{detail:?}");
        if text.contains(&format!("\"{job}\"")) {
            eprintln!("{:.3} {what} {text}", self.now.as_secs_f64());
        }
    }

    /// Tells every agent that has a link the newest epoch and whether its domain is in service.
    fn heartbeat(&mut self) {
        let (now, epoch) = (self.now, self.epoch);
        let often = now.as_millis() % 2_000 < HEARTBEAT.as_millis();
        for at in 0..self.agents.len() {
            let agent = &self.agents[at];
            if !agent.linked || !agent.responds() || self.lose() {
                continue;
            }
            let in_service = self.out_since(&self.agents[at].worker.domain).is_none();
            self.agents[at].heard = Some(now);
            self.agent_event(at, hold::Event::Epoch(epoch), None);
            self.agent_event(at, hold::Event::InService(in_service), None);
            if self.agents[at].announced != epoch {
                self.agents[at].announced = epoch;
                self.announce(at, epoch);
            }
            if often {
                self.repeat_ends(at);
            }
        }
        self.queue.push(now + HEARTBEAT, Item::Heartbeat);
    }

    /// Reports what has ended and is not acknowledged, and how many accelerators are busy.
    fn repeat_ends(&mut self, at: usize) {
        for action in self.agents[at].table.unacknowledged() {
            if let hold::Action::Ended { job, attempt, end } = action {
                let worker = self.agents[at].worker.id.clone();
                let event = Event::Ended {
                    worker,
                    job,
                    attempt,
                    end,
                };
                self.report(at, &event, None);
            }
        }
        let usage = Event::Usage {
            worker: self.agents[at].worker.id.clone(),
            busy: self.agents[at].used,
            age: Duration::from_secs(1),
        };
        self.report(at, &usage, None);
    }

    /// Tells the deciders that a worker is lost if its link is still silent.
    fn silent(&mut self, at: usize, silence: u64) {
        let agent = &self.agents[at];
        if agent.silence != silence || (agent.linked && agent.responds()) {
            return;
        }
        let id = agent.worker.id.clone();
        self.agents[at].linked = false;
        let epochs: Vec<u64> = self.deciders.iter().map(|decider| decider.epoch).collect();
        for epoch in epochs {
            self.tell(epoch, Event::WorkerLost { id: id.clone() });
        }
    }

    /// Plans the moment at which the silence of a link is noticed.
    pub(super) fn notice_silence(&mut self, at: usize) {
        let late = Duration::from_millis(1 + self.rng.u64(0..500));
        self.agents[at].silence += 1;
        let silence = self.agents[at].silence;
        let item = Item::Silent { agent: at, silence };
        self.queue.push(self.now + SILENCE + late, item);
    }
}
