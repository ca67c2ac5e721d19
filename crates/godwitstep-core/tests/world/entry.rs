//! An entry around a router.

use super::{AGENTS, ENTRIES, Mail, Order, World, ms};
use godwitstep_core::authority::Standing;
use godwitstep_core::id::Key;
use godwitstep_core::key::Owner;
use godwitstep_core::resource::{Kind, Priority, Workspace};
use godwitstep_core::router::{Action, Event, Outcome, Request, Router, Sequence, Settings};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub struct Entry {
    pub incarnation: u64,
    pub paused_until: u64,
    started: u64,
    router: Router,
    requests: BTreeMap<Sequence, (Request, Duration)>,
    last_sequence: Sequence,
    next_tick: u64,
    next_gossip: u64,
    /// Events that wait while the process is paused.
    backlog: VecDeque<(Event, Option<Key>)>,
}

impl Entry {
    pub fn new(index: usize, now: u64, seed: u64) -> Self {
        let settings = Settings::new(["a", "b", "a"][index])
            .max_queued(200)
            .warm_up(ms(700));
        let mut entry = Self {
            // Clocks of the hosts differ by up to 60 ms.
            incarnation: 1_000_000 + now * 1_000 + index as u64 * 30_000,
            paused_until: 0,
            started: now,
            router: Router::new(settings, seed),
            requests: BTreeMap::new(),
            last_sequence: 0,
            next_tick: now,
            next_gossip: now,
            backlog: VecDeque::new(),
        };
        let kind = Kind {
            name: "k".into(),
            priority: Priority::Normal,
            objective_ms: 1_000,
            refund: 0.0,
        };
        let (id, spec) = ("w".into(), Some(Workspace::new(vec![kind])));
        let event = Event::Workspace { id, spec };
        entry.router.handle(Duration::ZERO, event, &mut Vec::new());
        entry
    }
}

impl World {
    pub fn tick_entries(&mut self) {
        for index in 0..ENTRIES {
            if self.entries[index].paused_until > self.now {
                continue;
            }
            while let Some((event, body)) = self.entries[index].backlog.pop_front() {
                self.handle(index, event, body.as_ref());
            }
            if self.now >= self.entries[index].next_tick {
                self.entries[index].next_tick = self.now + 20;
                self.handle(index, Event::Tick, None);
            }
            if self.now >= self.entries[index].next_gossip {
                self.entries[index].next_gossip = self.now + 500;
                self.gossip(index);
            }
        }
    }

    fn gossip(&mut self, index: usize) {
        let now = self.entry_time(index);
        let router = &self.entries[index].router;
        let linked = router
            .targets()
            .map(|(target, _)| Event::TargetElsewhere(target.clone()));
        let gone = router.gone(now).into_iter().map(Event::TargetGone);
        let events: Vec<_> = linked.chain(gone).collect();
        for to in (0..ENTRIES).filter(|to| *to != index) {
            for event in events.clone() {
                let delay = self.rng.u64(1..5);
                self.post(delay, Mail::Gossip { to, event });
            }
        }
    }

    fn entry_time(&self, index: usize) -> Duration {
        ms(self.now - self.entries[index].started)
    }

    pub fn hear(&mut self, index: usize, event: Event, body: Option<Key>) {
        if self.entries[index].paused_until > self.now {
            self.entries[index].backlog.push_back((event, body));
        } else {
            self.handle(index, event, body.as_ref());
        }
    }

    fn handle(&mut self, index: usize, event: Event, body: Option<&Key>) {
        let now = self.entry_time(index);
        let mut actions = Vec::new();
        self.entries[index].router.handle(now, event, &mut actions);
        let violation = self.entries[index].router.violation();
        assert_eq!(violation, None, "entry {index} at {}", self.now);
        for action in actions {
            self.act(index, now, action, body);
        }
    }

    fn act(&mut self, index: usize, now: Duration, action: Action, body: Option<&Key>) {
        let incarnation = self.entries[index].incarnation;
        let owner = |sequence| Owner {
            incarnation,
            sequence,
        };
        let request = |sequence| self.entries[index].requests.get(&sequence);
        let (target, order) = match action {
            Action::Send { sequence, target } => {
                let (request, arrived) = request(sequence).unwrap().clone();
                let (owner, age) = (owner(sequence), now.saturating_sub(arrived));
                (
                    target,
                    Order::Run {
                        owner,
                        request,
                        age,
                    },
                )
            }
            Action::Fence { sequence, target } => {
                let key = request(sequence).unwrap().0.key.clone();
                (
                    target,
                    Order::Fence {
                        owner: owner(sequence),
                        key,
                    },
                )
            }
            Action::Cancel { sequence, target } => (
                target,
                Order::Cancel {
                    owner: owner(sequence),
                },
            ),
            Action::Answer { sequence, outcome } => {
                let (request, _) = self.entries[index].requests.remove(&sequence).unwrap();
                if matches!(outcome, Outcome::Answered { .. }) {
                    assert_eq!(body, Some(&request.key), "answer of another request");
                }
                self.told(owner(sequence), &outcome);
                return;
            }
        };
        let agent = (0..AGENTS)
            .find(|agent| self.agents[*agent].target.id == target)
            .unwrap();
        let link = self.links[index][agent];
        if link.up {
            let delay = self.delay(index, agent, 0);
            let life = self.agents[agent].incarnation;
            let outlives = self.rng.bool();
            let (from, to, link) = (index, agent, (!outlives).then_some(link.number));
            self.post(
                delay,
                Mail::ToAgent {
                    from,
                    to,
                    life,
                    link,
                    order,
                },
            );
        }
    }

    /// Hands a caller's request to an entry. Returns its identity, or `None` if the process is
    /// paused and the caller goes elsewhere.
    pub fn submit(&mut self, index: usize, mut request: Request) -> Option<Owner> {
        if self.entries[index].paused_until > self.now {
            return None;
        }
        let now = self.entry_time(index);
        let entry = &mut self.entries[index];
        let micros = u64::try_from(now.as_micros()).unwrap();
        entry.last_sequence = micros.max(entry.last_sequence + 1);
        request.sequence = entry.last_sequence;
        request.deadline += now;
        let (sequence, incarnation) = (entry.last_sequence, entry.incarnation);
        entry.requests.insert(sequence, (request.clone(), now));
        Some(Owner {
            incarnation,
            sequence,
        })
        .inspect(|_| {
            self.callers_note(index, incarnation, sequence);
            self.handle(index, Event::Arrive(request), None);
        })
    }

    pub fn flip_domain(&mut self) {
        let id: godwitstep_core::id::DomainId = ["a", "b"][self.rng.usize(..2)].into();
        for entry in 0..ENTRIES {
            let event = |in_service| Event::Domain {
                id: id.clone(),
                in_service,
            };
            self.post(
                1,
                Mail::Gossip {
                    to: entry,
                    event: event(false),
                },
            );
            self.post(
                1_000,
                Mail::Gossip {
                    to: entry,
                    event: event(true),
                },
            );
        }
    }

    pub fn flip_standing(&mut self) {
        let entry = self.rng.usize(..ENTRIES);
        let halted = Event::Standing(Standing::Halted);
        let fresh = Event::Standing(Standing::Fresh);
        self.post(
            1,
            Mail::Gossip {
                to: entry,
                event: halted,
            },
        );
        self.post(
            800,
            Mail::Gossip {
                to: entry,
                event: fresh,
            },
        );
    }
}
