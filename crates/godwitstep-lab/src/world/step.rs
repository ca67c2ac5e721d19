//! One step of the simulation: removes the next event from the queue and dispatches it.

use super::World;
use super::agent::IDLE_TIMEOUT;
use super::item::Item;
use godwitstep_core::hold;
use godwitstep_core::planner::Event;
use std::hash::Hash;
use std::time::Duration;

/// Time between heartbeats on each link.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Number of events at one instant above which a livelock is reported: a decider then repeats the same
/// steps without end. A region of this size has at most a few thousand messages in transit.
const MAX_EVENTS_PER_INSTANT: u64 = 20_000;

impl World {
    /// Processes the next event. Returns the code if it is an action of the driver.
    pub fn step(&mut self) -> Option<u32> {
        let (due, item) = self.queue.pop()?;
        self.events_at_instant = if due > self.now {
            0
        } else {
            self.events_at_instant + 1
        };
        if self.events_at_instant > MAX_EVENTS_PER_INSTANT {
            self.events_at_instant = 0;
            let what = String::from("too many events without progress of virtual time");
            self.record_violation("livelock", what);
        }
        self.now = due;
        self.events += 1;
        if self.recent_events.len() == super::MAX_RECENT_EVENTS {
            self.recent_events.pop_front();
        }
        self.recent_events.push_back((due, item.clone()));
        (due.as_nanos(), std::mem::discriminant(&item)).hash(&mut self.hasher);
        self.print_watched("event", &item);
        match item {
            Item::Driver(code) => return Some(code),
            Item::Command {
                agent,
                link_generation,
                header,
                command,
            } => self.receive_command(agent, link_generation, header, command),
            Item::Acknowledge {
                agent,
                link_generation,
                job,
                attempt,
            } => {
                let agent_index = agent;
                let agent = &self.agents[agent_index];
                if agent.responds() && agent.linked && agent.link_generation == link_generation {
                    let event = hold::Event::Acknowledged { job, attempt };
                    self.handle_agent_event(agent_index, event, None);
                }
            }
            Item::Report { epoch, event } => self.receive_report(epoch, event),
            Item::Read { epoch, event } => self.deliver_event(epoch, event),
            Item::Append { epoch } => self.append(epoch),
            Item::Appended { epoch } => self.handle_appended(epoch),
            Item::Launched {
                agent,
                job,
                attempt,
                generation,
            } => self.handle_launched(agent, job, attempt, generation),
            Item::PartEnd {
                agent,
                job,
                attempt,
                generation,
            } => self.handle_part_end(agent, job, attempt, generation),
            Item::AgentTick { agent } => {
                if self.agents[agent].responds() {
                    self.handle_agent_event(agent, hold::Event::Tick, None);
                }
            }
            Item::LeaseExpiry { agent, generation } => self.expire_lease(agent, generation),
            Item::IdleTimeout { agent, generation } => self.handle_idle_timeout(agent, generation),
            Item::Heartbeat => self.send_heartbeats(),
            Item::Tick { epoch } => self.handle_tick(epoch),
        }
        None
    }

    /// Prints an event or action that mentions the watched job or worker.
    pub(super) fn print_watched(&self, what: &str, detail: &dyn std::fmt::Debug) {
        let Some(id) = &self.watch else {
            return;
        };
        let text = format!("{detail:?}");
        if text.contains(&format!("\"{id}\"")) {
            eprintln!("{:.3} {what} {text}", self.now.as_secs_f64());
        }
    }

    /// Sends every linked agent the newest epoch and whether its failure domain is in service, and
    /// lets it repeat its reports every 2 s.
    fn send_heartbeats(&mut self) {
        let (now, epoch) = (self.now, self.epoch);
        let repeats_reports = now.as_millis() % 2_000 < HEARTBEAT_INTERVAL.as_millis();
        for agent_index in 0..self.agents.len() {
            let agent = &self.agents[agent_index];
            if !agent.linked || !agent.responds() || self.draw_message_loss() {
                continue;
            }
            let in_service = self
                .out_since(&self.agents[agent_index].worker.domain)
                .is_none();
            self.agents[agent_index].last_contact = Some(now);
            self.handle_agent_event(agent_index, hold::Event::Epoch(epoch), None);
            self.handle_agent_event(agent_index, hold::Event::InService(in_service), None);
            if self.agents[agent_index].announced_epoch != epoch {
                self.agents[agent_index].announced_epoch = epoch;
                self.announce(agent_index, epoch);
            }
            if repeats_reports {
                self.repeat_reports(agent_index);
            }
        }
        self.queue.push(now + HEARTBEAT_INTERVAL, Item::Heartbeat);
    }

    /// Reports all ends of parts that are not acknowledged, and the number of busy accelerators.
    fn repeat_reports(&mut self, agent_index: usize) {
        for action in self.agents[agent_index].table.unacknowledged() {
            if let hold::Action::Ended { job, attempt, end } = action {
                let worker = self.agents[agent_index].worker.id.clone();
                let event = Event::Ended {
                    worker,
                    job,
                    attempt,
                    end,
                };
                self.send_report(agent_index, &event, None);
            }
        }
        let usage = Event::Usage {
            worker: self.agents[agent_index].worker.id.clone(),
            busy: self.agents[agent_index].used,
            age: Duration::from_secs(1),
        };
        self.send_report(agent_index, &usage, None);
    }

    /// Reports a worker as lost to all deciders if its link is still down or its agent unresponsive.
    fn handle_idle_timeout(&mut self, agent_index: usize, generation: u64) {
        let agent = &self.agents[agent_index];
        if agent.idle_generation != generation || (agent.linked && agent.responds()) {
            return;
        }
        let id = agent.worker.id.clone();
        self.agents[agent_index].linked = false;
        let epochs: Vec<u64> = self.deciders.iter().map(|decider| decider.epoch).collect();
        for epoch in epochs {
            self.deliver_event(epoch, Event::WorkerLost { id: id.clone() });
        }
    }

    /// Schedules the idle timeout of a link that carries no messages any more.
    pub(super) fn schedule_idle_timeout(&mut self, agent_index: usize) {
        let detection_delay = Duration::from_millis(1 + self.rng.u64(0..500));
        self.agents[agent_index].idle_generation += 1;
        let generation = self.agents[agent_index].idle_generation;
        let item = Item::IdleTimeout {
            agent: agent_index,
            generation,
        };
        self.queue
            .push(self.now + IDLE_TIMEOUT + detection_delay, item);
    }
}
