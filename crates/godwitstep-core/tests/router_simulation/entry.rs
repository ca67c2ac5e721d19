//! A simulated entry that drives a router.

use super::{AGENTS, Command, ENTRIES, Message, Simulation, ms};
use godwitstep_core::authority::OperatingMode;
use godwitstep_core::id::Key;
use godwitstep_core::key::Owner;
use godwitstep_core::resource::{Kind, Priority, Workspace};
use godwitstep_core::router::{Action, Event, Outcome, Request, Router, Sequence, Settings};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

pub struct Entry {
    pub incarnation: u64,
    pub paused_until: u64,
    started_at: u64,
    router: Router,
    /// Requests without an answer, with their times of arrival.
    requests: BTreeMap<Sequence, (Request, Duration)>,
    last_sequence: Sequence,
    next_tick: u64,
    next_gossip: u64,
    /// Events received while the process is paused.
    buffered_events: VecDeque<(Event, Option<Key>)>,
}

impl Entry {
    pub fn new(index: usize, now: u64, seed: u64) -> Self {
        let settings = Settings::new(["a", "b", "a"][index])
            .max_queued(200)
            .warm_up(ms(700));
        let mut entry = Self {
            // The hosts' clocks differ by up to 60 ms.
            incarnation: 1_000_000 + now * 1_000 + index as u64 * 30_000,
            paused_until: 0,
            started_at: now,
            router: Router::new(settings, seed),
            requests: BTreeMap::new(),
            last_sequence: 0,
            next_tick: now,
            next_gossip: now,
            buffered_events: VecDeque::new(),
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

impl Simulation {
    pub fn tick_entries(&mut self) {
        for index in 0..ENTRIES {
            if self.entries[index].paused_until > self.now {
                continue;
            }
            while let Some((event, body)) = self.entries[index].buffered_events.pop_front() {
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

    /// Sends the linked and the unreachable targets of an entry to its peers.
    fn gossip(&mut self, index: usize) {
        let now = self.entry_time(index);
        let router = &self.entries[index].router;
        let linked = router
            .targets()
            .map(|(target, _)| Event::TargetSeenByPeer(target.clone()));
        let unreachable = router
            .unreachable_targets(now)
            .into_iter()
            .map(Event::TargetUnreachable);
        let events: Vec<_> = linked.chain(unreachable).collect();
        for to in (0..ENTRIES).filter(|to| *to != index) {
            for event in events.clone() {
                let delay = self.rng.u64(1..5);
                self.schedule(delay, Message::EntryEvent { to, event });
            }
        }
    }

    /// Returns the time since the start of an entry.
    fn entry_time(&self, index: usize) -> Duration {
        ms(self.now - self.entries[index].started_at)
    }

    /// Passes an event to an entry, or buffers it while the process is paused.
    pub fn deliver_to_entry(&mut self, index: usize, event: Event, body: Option<Key>) {
        if self.entries[index].paused_until > self.now {
            self.entries[index].buffered_events.push_back((event, body));
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
            self.execute(index, now, action, body);
        }
    }

    fn execute(&mut self, index: usize, now: Duration, action: Action, body: Option<&Key>) {
        let incarnation = self.entries[index].incarnation;
        let owner = |sequence| Owner {
            incarnation,
            sequence,
        };
        let request = |sequence| self.entries[index].requests.get(&sequence);
        let (target, command) = match action {
            Action::Send { sequence, target } => {
                let (request, arrived) = request(sequence).unwrap().clone();
                let (owner, age) = (owner(sequence), now.saturating_sub(arrived));
                (
                    target,
                    Command::Run {
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
                    Command::Fence {
                        owner: owner(sequence),
                        key,
                    },
                )
            }
            Action::Cancel { sequence, target } => (
                target,
                Command::Cancel {
                    owner: owner(sequence),
                },
            ),
            Action::Answer { sequence, outcome } => {
                let (request, _) = self.entries[index].requests.remove(&sequence).unwrap();
                if matches!(outcome, Outcome::Answered { .. }) {
                    assert_eq!(
                        body,
                        Some(&request.key),
                        "answer belongs to another request"
                    );
                }
                self.record_outcome(owner(sequence), &outcome);
                return;
            }
        };
        let agent = (0..AGENTS)
            .find(|agent| self.agents[*agent].target.id == target)
            .unwrap();
        let link = self.links[index][agent];
        if link.up {
            let delay = self.delay(index, agent, 0);
            let incarnation = self.agents[agent].incarnation;
            let survives_cut = self.rng.bool();
            let (from, to, link) = (index, agent, (!survives_cut).then_some(link.number));
            self.schedule(
                delay,
                Message::ToAgent {
                    from,
                    to,
                    incarnation,
                    link,
                    command,
                },
            );
        }
    }

    /// Submits a caller's request to an entry. Returns its identity, or `None` if the process is
    /// paused, in which case the caller tries another entry.
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
            self.record_attempt(index, incarnation, sequence);
            self.handle(index, Event::Arrive(request), None);
        })
    }

    /// Takes a failure domain out of service for about 1 s.
    pub fn interrupt_domain(&mut self) {
        let id: godwitstep_core::id::DomainId = ["a", "b"][self.rng.usize(..2)].into();
        for entry in 0..ENTRIES {
            let event = |in_service| Event::Domain {
                id: id.clone(),
                in_service,
            };
            self.schedule(
                1,
                Message::EntryEvent {
                    to: entry,
                    event: event(false),
                },
            );
            self.schedule(
                1_000,
                Message::EntryEvent {
                    to: entry,
                    event: event(true),
                },
            );
        }
    }

    /// Sets the operating mode of an entry to halted for about 800 ms.
    pub fn halt_entry(&mut self) {
        let entry = self.rng.usize(..ENTRIES);
        let halted = Event::OperatingMode(OperatingMode::Halted);
        let fresh = Event::OperatingMode(OperatingMode::Normal);
        self.schedule(
            1,
            Message::EntryEvent {
                to: entry,
                event: halted,
            },
        );
        self.schedule(
            800,
            Message::EntryEvent {
                to: entry,
                event: fresh,
            },
        );
    }
}
