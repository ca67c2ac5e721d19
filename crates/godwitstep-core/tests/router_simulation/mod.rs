//! Deterministic simulation of entries with routers, agents with key tables, the links between
//! them, and callers. Times are in milliseconds.

mod agent;
mod caller;
mod entry;

use agent::Agent;
use caller::Caller;
use entry::Entry;
use fastrand::Rng;
use godwitstep_core::id::Key;
use godwitstep_core::key::Owner;
use godwitstep_core::router::{Event, Request};
use std::collections::BTreeMap;
use std::time::Duration;

pub const ENTRIES: usize = 3;
pub const AGENTS: usize = 4;
/// Simulated time per iteration.
const TIME_STEP: u64 = 5;
/// Time after which processes, links and failure domains no longer fail and no new callers arrive.
/// Slow messages, duplicate replies and runs without a result continue.
const FAULTS_END: u64 = 40_000;
/// End of the simulation, late enough that all requests have been answered.
const SIMULATION_END: u64 = 50_000;
/// Minimum time between restarts of entries: a restarted entry must first receive from its peers
/// the targets that they are linked to.
const MIN_ENTRY_RESTART_INTERVAL: u64 = 2_500;

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Message from an entry to an agent.
#[derive(Debug, Clone)]
pub enum Command {
    Run {
        owner: Owner,
        request: Request,
        age: Duration,
    },
    Fence {
        owner: Owner,
        key: Key,
    },
    Cancel {
        owner: Owner,
    },
}

/// Message that is delivered at a scheduled time.
#[derive(Debug)]
pub enum Message {
    /// `link` is `None` if the message is delivered even if its link is cut in the meantime.
    ToAgent {
        from: usize,
        to: usize,
        incarnation: u64,
        link: Option<u64>,
        command: Command,
    },
    /// `body` identifies the response body by the key of the request that was answered.
    ToEntry {
        from: usize,
        to: usize,
        incarnation: u64,
        link: u64,
        event: Event,
        body: Option<Key>,
    },
    /// Event that comes from a peer, from the configuration or from the entry itself.
    EntryEvent { to: usize, event: Event },
    LinkUp {
        entry: usize,
        agent: usize,
        link: u64,
    },
    LinkLost {
        entry: usize,
        agent: usize,
        link: u64,
        incarnation: u64,
    },
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Link {
    /// Number of the current connection. Messages of earlier connections are lost.
    pub number: u64,
    pub up: bool,
    /// Delivery time of the newest message to the agent and to the entry.
    last_delivery: [u64; 2],
}

pub struct Simulation {
    pub now: u64,
    pub rng: Rng,
    /// Whether faults are injected.
    pub inject_faults: bool,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub links: [[Link; AGENTS]; ENTRIES],
    pub callers: Vec<Caller>,
    /// Ledger of the targets: the requests for which each key ran.
    pub runs: BTreeMap<Key, Vec<Owner>>,
    /// Indices of callers that are not done.
    pub active_callers: Vec<usize>,
    /// Caller of each request, by the entry's incarnation and the sequence number.
    pub caller_by_request: BTreeMap<(u64, u64), usize>,
    /// Caller whose request is being submitted.
    pub submitting_caller: usize,
    /// Scheduled messages by delivery time and number.
    messages: BTreeMap<(u64, u64), Message>,
    last_message_number: u64,
    last_entry_restart: u64,
}

impl Simulation {
    pub fn new(seed: u64, inject_faults: bool) -> Self {
        let mut simulation = Self {
            now: 0,
            rng: Rng::with_seed(seed),
            inject_faults,
            entries: (0..ENTRIES)
                .map(|index| Entry::new(index, 0, seed))
                .collect(),
            agents: (0..AGENTS).map(|index| Agent::new(index, 0)).collect(),
            links: Default::default(),
            callers: Vec::new(),
            runs: BTreeMap::new(),
            active_callers: Vec::new(),
            caller_by_request: BTreeMap::new(),
            submitting_caller: 0,
            messages: BTreeMap::new(),
            last_message_number: 0,
            last_entry_restart: 0,
        };
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                simulation.connect(entry, agent, 1);
            }
        }
        simulation
    }

    pub fn run(&mut self) {
        while self.now < SIMULATION_END {
            self.now += TIME_STEP;
            if self.inject_faults && self.now < FAULTS_END {
                self.inject_fault();
            }
            while let Some(first) = self.messages.first_entry()
                && first.key().0 <= self.now
            {
                let message = first.remove();
                self.deliver(message);
            }
            self.tick_agents();
            self.tick_entries();
            self.tick_callers();
        }
    }

    pub const fn faults_ended(&self) -> bool {
        self.now >= FAULTS_END
    }

    /// Schedules a message for delivery after a delay.
    pub fn schedule(&mut self, delay: u64, message: Message) {
        self.last_message_number += 1;
        self.messages
            .insert((self.now + delay, self.last_message_number), message);
    }

    /// Returns a random delay for a message on a link. `direction` is 0 to the agent and 1 to the
    /// entry. Messages in one direction stay in order.
    pub fn delay(&mut self, entry: usize, agent: usize, direction: usize) -> u64 {
        let max_delay = if self.inject_faults && self.rng.u8(..20) == 0 {
            80
        } else {
            5
        };
        let delivery = self.now + self.rng.u64(1..=max_delay);
        let last_delivery = &mut self.links[entry][agent].last_delivery[direction];
        *last_delivery = delivery.max(*last_delivery);
        *last_delivery - self.now
    }

    /// Replaces a link by a new connection that is up after a delay.
    fn connect(&mut self, entry: usize, agent: usize, delay: u64) {
        let link = &mut self.links[entry][agent];
        link.number += 1;
        link.up = false;
        let link = link.number;
        self.schedule(delay, Message::LinkUp { entry, agent, link });
    }

    /// Cuts a link. The entry detects it within 300 ms, and the agent reconnects after that.
    pub fn cut_link(&mut self, entry: usize, agent: usize) {
        let Link { number, up, .. } = self.links[entry][agent];
        if up {
            let (link, incarnation) = (number, self.agents[agent].incarnation);
            let detection_delay = self.rng.u64(1..300);
            self.schedule(
                detection_delay,
                Message::LinkLost {
                    entry,
                    agent,
                    link,
                    incarnation,
                },
            );
        }
        let reconnect_delay = self.rng.u64(301..1_500);
        self.connect(entry, agent, reconnect_delay);
    }

    /// Injects a random fault, or none in most steps.
    fn inject_fault(&mut self) {
        match self.rng.u32(..2_000) {
            0..=9 => {
                let (entry, agent) = (self.rng.usize(..ENTRIES), self.rng.usize(..AGENTS));
                self.cut_link(entry, agent);
            }
            10..=12 => {
                let agent = self.rng.usize(..AGENTS);
                for entry in 0..ENTRIES {
                    self.cut_link(entry, agent);
                }
                self.agents[agent] = Agent::new(agent, self.now);
            }
            13..=15 if self.last_entry_restart + MIN_ENTRY_RESTART_INTERVAL < self.now => {
                self.last_entry_restart = self.now;
                let entry = self.rng.usize(..ENTRIES);
                let seed = self.rng.u64(..);
                self.entries[entry] = Entry::new(entry, self.now, seed);
                for agent in 0..AGENTS {
                    let reconnect_delay = self.rng.u64(1..200);
                    self.connect(entry, agent, reconnect_delay);
                }
                self.disconnect_callers_of(entry);
            }
            16..=18 => {
                let entry = self.rng.usize(..ENTRIES);
                self.entries[entry].paused_until = self.now + self.rng.u64(200..3_000);
            }
            19..=21 => self.interrupt_domain(),
            22..=24 => self.halt_entry(),
            25..=26 => {
                let agent = self.rng.usize(..AGENTS);
                self.agents[agent].leaving = true;
                for entry in 0..ENTRIES {
                    let id = self.agents[agent].target.id.clone();
                    self.send_to_entry(agent, entry, Event::TargetLeaving { id }, None);
                }
            }
            _ => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::ToAgent {
                from,
                to,
                incarnation,
                link,
                command,
            } => {
                let link_open = link.is_none_or(|link| self.links[from][to].number == link);
                if link_open && self.agents[to].incarnation == incarnation {
                    self.handle_command(from, to, command);
                }
            }
            Message::ToEntry {
                from,
                to,
                incarnation,
                link,
                event,
                body,
            } => {
                let link_open = self.links[to][from].number == link;
                if link_open && self.entries[to].incarnation == incarnation {
                    self.deliver_to_entry(to, event, body);
                }
            }
            Message::EntryEvent { to, event } => self.deliver_to_entry(to, event, None),
            Message::LinkUp { entry, agent, link } => {
                if self.links[entry][agent].number == link {
                    self.links[entry][agent].up = true;
                    if self.agents[agent].leaving {
                        return;
                    }
                    let target = self.agents[agent].target.clone();
                    self.deliver_to_entry(entry, Event::TargetUp(target), None);
                }
            }
            Message::LinkLost {
                entry,
                agent,
                link,
                incarnation,
            } => {
                if self.links[entry][agent].number >= link {
                    let id = self.agents[agent].target.id.clone();
                    let event = Event::TargetLost { id, incarnation };
                    self.deliver_to_entry(entry, event, None);
                }
            }
        }
    }

    /// Sends an event from an agent to an entry, if they are linked.
    pub fn send_to_entry(&mut self, from: usize, to: usize, event: Event, body: Option<Key>) {
        let Link { number, up, .. } = self.links[to][from];
        if up {
            let delay = self.delay(to, from, 1);
            let incarnation = self.entries[to].incarnation;
            self.schedule(
                delay,
                Message::ToEntry {
                    from,
                    to,
                    incarnation,
                    link: number,
                    event,
                    body,
                },
            );
        }
    }
}
