//! A fake region around a policy: agents with workers, a log, links, and deciders.
//!
//! It runs on virtual time from one seeded generator. What must hold from outside is checked as
//! tasks start and records are folded.

use crate::policy::Factory;
use crate::queue::Queue;
use godwitstep_core::hold;
use godwitstep_core::id::{DomainId, JobId, WorkerId, WorkspaceId};
use godwitstep_core::planner::{Action, Event, Worker};
use godwitstep_core::resource::{Job as Spec, Workspace};
use serde::Serialize;
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use std::time::Duration;

mod agent;
mod check;
mod config;
mod decider;
mod fault;
mod item;
mod job;
mod log;
mod step;

pub use agent::Agent;
pub use decider::Decider;
pub use item::Item;
pub use job::{Job, Seen};
pub use log::Log;

/// Events that are shown when a check fails.
const SHOWN: usize = 20;

/// Faults of links.
#[derive(Debug, Clone, Copy)]
pub struct Net {
    /// Chance that a message is lost.
    pub loss: f64,
    /// Longest delay of a message.
    pub delay_ms: u64,
    /// Whether messages on one link overtake each other.
    pub reorder: bool,
    /// Longest delay until a decider has read a record.
    pub read_ms: u64,
}

/// Deliberate breakage, for tests of the checks: what an agent hears and what a decider does.
#[derive(Debug, Clone, Copy)]
pub struct Breakage {
    /// Changes or drops what an agent's table hears.
    pub hear: fn(hold::Event) -> Option<hold::Event>,
    /// Changes what a policy asks for.
    pub act: fn(&mut Vec<Action>),
    /// Whether deciders are not told of failure domains.
    pub deaf: bool,
}

impl Default for Breakage {
    fn default() -> Self {
        Self {
            hear: Some,
            act: |_| {},
            deaf: false,
        }
    }
}

/// How often a check failed, and its first failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Number of failures.
    pub count: u64,
    /// Number of the event of the first one.
    pub event: u64,
    /// What the first one was.
    pub what: String,
}

/// The check that failed first.
#[derive(Debug, Clone)]
pub struct Fault {
    /// Number of the event.
    pub event: u64,
    pub what: String,
    /// The last events up to it.
    pub last_events: Vec<String>,
}

/// A failure domain.
#[derive(Debug, Clone)]
pub struct Domain {
    pub id: DomainId,
    /// When it was taken out of service, if it is.
    pub out: Option<Duration>,
}

/// The region. See the [module](self) page.
pub struct World {
    pub now: Duration,
    pub events: u64,
    pub rng: fastrand::Rng,
    pub queue: Queue<Item>,
    pub agents: Vec<Agent>,
    pub deciders: Vec<Decider>,
    pub jobs: Vec<Job>,
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    pub domains: Vec<Domain>,
    /// Version of the configuration; grows with each change.
    pub version: u64,
    /// Epoch of the claim.
    pub epoch: u64,
    pub net: Net,
    pub log: Log,
    pub breakage: Breakage,
    pub counts: BTreeMap<&'static str, u64>,
    /// Longest time that saving a job's state takes.
    pub checkpoint_ms: u64,
    /// When something last disturbed the region.
    pub disturbed: Duration,
    /// Job or worker of which all events and actions are printed to standard error.
    pub watch: Option<String>,
    /// What broke first.
    pub broken: Option<Fault>,
    /// Failed checks by name.
    pub violations: BTreeMap<&'static str, Violation>,
    factory: Factory,
    hasher: DefaultHasher,
    recent: VecDeque<(Duration, Item)>,
    agent_numbers: HashMap<WorkerId, usize>,
    active: BTreeSet<usize>,
    /// When the last message on each link and direction arrives.
    links: Vec<Duration>,
    actions: Vec<Action>,
    stamp: u64,
    /// Events since time last moved.
    still: u64,
}

impl World {
    /// Returns a region without workers.
    pub fn new(seed: u64, factory: Factory) -> Self {
        let net = Net {
            loss: 0.0,
            delay_ms: 2,
            reorder: false,
            read_ms: 20,
        };
        let log = Log {
            up: true,
            append_ms: 5,
            lose_reply: 0.0,
            appends: 0,
        };
        Self {
            now: Duration::from_secs(1),
            events: 0,
            rng: fastrand::Rng::with_seed(seed),
            queue: Queue::default(),
            agents: Vec::new(),
            deciders: Vec::new(),
            jobs: Vec::new(),
            workspaces: BTreeMap::new(),
            domains: Vec::new(),
            version: 0,
            epoch: 0,
            net,
            log,
            breakage: Breakage::default(),
            counts: BTreeMap::new(),
            checkpoint_ms: 5_000,
            disturbed: Duration::ZERO,
            watch: None,
            broken: None,
            violations: BTreeMap::new(),
            factory,
            hasher: DefaultHasher::new(),
            recent: VecDeque::new(),
            agent_numbers: HashMap::new(),
            active: BTreeSet::new(),
            links: Vec::new(),
            actions: Vec::new(),
            stamp: 0,
            still: 0,
        }
    }

    /// Adds a worker and, if it is new, its failure domain.
    pub fn add(&mut self, worker: Worker) {
        if !self.domains.iter().any(|domain| domain.id == worker.domain) {
            let id = worker.domain.clone();
            self.domains.push(Domain { id, out: None });
        }
        self.agent_numbers
            .insert(worker.id.clone(), self.agents.len());
        self.agents.push(Agent::new(worker));
        self.links.extend([Duration::ZERO; 2]);
    }

    /// Starts the first decider and the heartbeats.
    pub fn start(&mut self) {
        self.take_over();
        self.queue.push(self.now, Item::Heartbeat);
    }

    /// Accepts a job. Returns its number.
    pub fn submit(&mut self, spec: Spec, run: Duration) -> usize {
        let number = self.jobs.len();
        let id: JobId = format!("j{number}").into();
        let job = Job::new(id.clone(), spec.clone(), run, self.now);
        self.jobs.push(job);
        self.active.insert(number);
        self.publish(&Event::Submit {
            job: id,
            spec,
            attempt: 0,
            age: Duration::ZERO,
        });
        number
    }

    /// Folds a cancellation.
    pub fn cancel(&mut self, number: usize) {
        let (now, state) = (self.now, &mut self.jobs[number]);
        if !state.phase.is_final() {
            state.cancelled.get_or_insert(now);
            let job = state.id.clone();
            self.publish(&Event::Cancel { job });
        }
    }

    /// Lists the jobs that are not final.
    pub fn active(&self) -> Vec<usize> {
        self.active.iter().copied().collect()
    }

    /// Returns the number of jobs that are not final.
    pub fn load(&self) -> usize {
        self.active.len()
    }

    fn finished(&mut self, number: usize) {
        self.active.remove(&number);
    }

    /// Counts something by its name.
    pub fn count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Notes that a check failed.
    pub fn fail(&mut self, check: &'static str, what: String) {
        let event = self.events;
        let seen = self.violations.entry(check).or_insert_with(|| Violation {
            count: 0,
            event,
            what: what.clone(),
        });
        seen.count += 1;
        if self.broken.is_none() {
            self.broken = Some(Fault {
                event: self.events,
                what,
                last_events: self.last_events(),
            });
        }
    }

    /// Returns the hash of all events and actions so far.
    pub fn trace(&self) -> u64 {
        self.hasher.finish()
    }

    /// Returns the last events, oldest first.
    fn last_events(&self) -> Vec<String> {
        let shown = self.recent.iter();
        shown
            .map(|(at, item)| format!("{:.3} {item:?}", at.as_secs_f64()))
            .collect()
    }

    /// Returns the number in a job's name.
    pub(crate) fn number(&self, job: &str) -> usize {
        let number = job.strip_prefix('j').and_then(|text| text.parse().ok());
        number
            .filter(|number| *number < self.jobs.len())
            .unwrap_or(0)
    }

    pub(crate) fn agent_number(&self, worker: &WorkerId) -> usize {
        self.agent_numbers.get(worker).copied().unwrap_or(0)
    }

    fn hash_action(&mut self, action: &Action) {
        std::mem::discriminant(action).hash(&mut self.hasher);
        match action {
            Action::Record(event) => std::mem::discriminant(event).hash(&mut self.hasher),
            Action::Explain { job, reason } => (job, reason.code()).hash(&mut self.hasher),
            Action::Reserve {
                worker,
                job,
                attempt,
                ..
            }
            | Action::Commit {
                worker,
                job,
                attempt,
                ..
            }
            | Action::Settle {
                worker,
                job,
                attempt,
            }
            | Action::Release {
                worker,
                job,
                attempt,
            }
            | Action::Stop {
                worker,
                job,
                attempt,
                ..
            } => (worker, job, attempt).hash(&mut self.hasher),
        }
    }

    fn lose(&mut self) -> bool {
        let lost = self.net.loss > 0.0 && self.rng.f64() < self.net.loss;
        if lost {
            self.count("message_lost");
        }
        lost
    }

    /// Returns when a message that is sent now on a link arrives.
    fn arrival(&mut self, link: usize) -> Duration {
        let delay = Duration::from_millis(1 + self.rng.u64(0..=self.net.delay_ms));
        let at = self.now + delay;
        if self.net.reorder {
            return at;
        }
        let at = at.max(self.links[link]);
        self.links[link] = at;
        at
    }
}
