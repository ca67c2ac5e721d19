//! A small deterministic world of entries, agents, links and callers.

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
const STEP: u64 = 5;
const FAULTS_UNTIL: u64 = 40_000;
const END: u64 = 50_000;
/// Fewest milliseconds between deaths of entries: the time in which a new one hears its peers.
const DEATH_GAP: u64 = 2_500;

pub const fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Message from an entry to an agent.
#[derive(Debug, Clone)]
pub enum Order {
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

#[derive(Debug)]
pub enum Mail {
    /// `link` is `None` if the message outlives its link, because it was already on its way.
    ToAgent {
        from: usize,
        to: usize,
        life: u64,
        link: Option<u64>,
        order: Order,
    },
    ToEntry {
        from: usize,
        to: usize,
        life: u64,
        link: u64,
        event: Event,
        body: Option<Key>,
    },
    Gossip {
        to: usize,
        event: Event,
    },
    LinkUp {
        entry: usize,
        agent: usize,
        link: u64,
    },
    LinkLost {
        entry: usize,
        agent: usize,
        link: u64,
        life: u64,
    },
}

#[derive(Debug, Default, Clone, Copy)]
pub struct Link {
    /// Counts the connections; messages of an earlier one are lost.
    pub number: u64,
    pub up: bool,
    last: [u64; 2],
}

pub struct World {
    pub now: u64,
    pub rng: Rng,
    pub faulty: bool,
    pub entries: Vec<Entry>,
    pub agents: Vec<Agent>,
    pub links: [[Link; AGENTS]; ENTRIES],
    pub callers: Vec<Caller>,
    /// What ran at targets, for whom.
    pub runs: BTreeMap<Key, Vec<Owner>>,
    /// Callers that are not done.
    pub active: Vec<usize>,
    /// Caller of each request.
    pub asked: BTreeMap<(u64, u64), usize>,
    /// Caller whose request is being handed in.
    pub current: usize,
    mail: BTreeMap<(u64, u64), Mail>,
    posted: u64,
    last_death: u64,
}

impl World {
    pub fn new(seed: u64, faulty: bool) -> Self {
        let mut world = Self {
            now: 0,
            rng: Rng::with_seed(seed),
            faulty,
            entries: (0..ENTRIES)
                .map(|index| Entry::new(index, 0, seed))
                .collect(),
            agents: (0..AGENTS).map(|index| Agent::new(index, 0)).collect(),
            links: Default::default(),
            callers: Vec::new(),
            runs: BTreeMap::new(),
            active: Vec::new(),
            asked: BTreeMap::new(),
            current: 0,
            mail: BTreeMap::new(),
            posted: 0,
            last_death: 0,
        };
        for entry in 0..ENTRIES {
            for agent in 0..AGENTS {
                world.dial(entry, agent, 1);
            }
        }
        world
    }

    pub fn run(&mut self) {
        while self.now < END {
            self.now += STEP;
            if self.faulty && self.now < FAULTS_UNTIL {
                self.inject();
            }
            while let Some(first) = self.mail.first_entry()
                && first.key().0 <= self.now
            {
                let mail = first.remove();
                self.deliver(mail);
            }
            self.tick_agents();
            self.tick_entries();
            self.tick_callers();
        }
    }

    pub const fn is_quiet(&self) -> bool {
        self.now >= FAULTS_UNTIL
    }

    pub fn post(&mut self, delay: u64, mail: Mail) {
        self.posted += 1;
        self.mail.insert((self.now + delay, self.posted), mail);
    }

    /// Returns the delay of a message on a link, which keeps messages in order.
    pub fn delay(&mut self, entry: usize, agent: usize, direction: usize) -> u64 {
        let most = if self.faulty && self.rng.u8(..20) == 0 {
            80
        } else {
            5
        };
        let at = self.now + self.rng.u64(1..=most);
        let last = &mut self.links[entry][agent].last[direction];
        *last = at.max(*last);
        *last - self.now
    }

    fn dial(&mut self, entry: usize, agent: usize, delay: u64) {
        let link = &mut self.links[entry][agent];
        link.number += 1;
        link.up = false;
        let link = link.number;
        self.post(delay, Mail::LinkUp { entry, agent, link });
    }

    /// Cuts a link; the entry notices, and the agent dials again.
    pub fn cut(&mut self, entry: usize, agent: usize) {
        let Link { number, up, .. } = self.links[entry][agent];
        if up {
            let (link, life) = (number, self.agents[agent].incarnation);
            let noticed = self.rng.u64(1..300);
            self.post(
                noticed,
                Mail::LinkLost {
                    entry,
                    agent,
                    link,
                    life,
                },
            );
        }
        let redial = self.rng.u64(301..1_500);
        self.dial(entry, agent, redial);
    }

    fn inject(&mut self) {
        match self.rng.u32(..2_000) {
            0..=9 => {
                let (entry, agent) = (self.rng.usize(..ENTRIES), self.rng.usize(..AGENTS));
                self.cut(entry, agent);
            }
            10..=12 => {
                let agent = self.rng.usize(..AGENTS);
                for entry in 0..ENTRIES {
                    self.cut(entry, agent);
                }
                self.agents[agent] = Agent::new(agent, self.now);
            }
            13..=15 if self.last_death + DEATH_GAP < self.now => {
                self.last_death = self.now;
                let entry = self.rng.usize(..ENTRIES);
                let seed = self.rng.u64(..);
                self.entries[entry] = Entry::new(entry, self.now, seed);
                for agent in 0..AGENTS {
                    let redial = self.rng.u64(1..200);
                    self.dial(entry, agent, redial);
                }
                self.break_callers(entry);
            }
            16..=18 => {
                let entry = self.rng.usize(..ENTRIES);
                self.entries[entry].paused_until = self.now + self.rng.u64(200..3_000);
            }
            19..=21 => self.flip_domain(),
            22..=24 => self.flip_standing(),
            25..=26 => {
                let agent = self.rng.usize(..AGENTS);
                self.agents[agent].leaving = true;
                for entry in 0..ENTRIES {
                    let id = self.agents[agent].target.id.clone();
                    self.reply(agent, entry, Event::TargetLeaving { id }, None);
                }
            }
            _ => {}
        }
    }

    fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::ToAgent {
                from,
                to,
                life,
                link,
                order,
            } => {
                let open = link.is_none_or(|link| self.links[from][to].number == link);
                if open && self.agents[to].incarnation == life {
                    self.order(from, to, order);
                }
            }
            Mail::ToEntry {
                from,
                to,
                life,
                link,
                event,
                body,
            } => {
                let open = self.links[to][from].number == link;
                if open && self.entries[to].incarnation == life {
                    self.hear(to, event, body);
                }
            }
            Mail::Gossip { to, event } => self.hear(to, event, None),
            Mail::LinkUp { entry, agent, link } => {
                if self.links[entry][agent].number == link {
                    self.links[entry][agent].up = true;
                    if self.agents[agent].leaving {
                        return;
                    }
                    let target = self.agents[agent].target.clone();
                    self.hear(entry, Event::TargetUp(target), None);
                }
            }
            Mail::LinkLost {
                entry,
                agent,
                link,
                life,
            } => {
                if self.links[entry][agent].number >= link {
                    let id = self.agents[agent].target.id.clone();
                    let event = Event::TargetLost {
                        id,
                        incarnation: life,
                    };
                    self.hear(entry, event, None);
                }
            }
        }
    }

    /// Sends an event from an agent to an entry, if they are linked.
    pub fn reply(&mut self, from: usize, to: usize, event: Event, body: Option<Key>) {
        let Link { number, up, .. } = self.links[to][from];
        if up {
            let delay = self.delay(to, from, 1);
            let life = self.entries[to].incarnation;
            self.post(
                delay,
                Mail::ToEntry {
                    from,
                    to,
                    life,
                    link: number,
                    event,
                    body,
                },
            );
        }
    }
}
