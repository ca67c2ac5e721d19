//! Discrete-event simulation of a region around a policy: agents with workers, a log, links, and
//! deciders.
//!
//! It runs on virtual time and draws all random values from one seeded generator. Invariants that
//! are observable from outside the policy are checked as tasks start and records are folded.

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

/// Number of events that are reported when a check fails.
const MAX_RECENT_EVENTS: usize = 20;

/// Delay, loss and reordering of messages on all links.
#[derive(Debug, Clone, Copy)]
pub struct LinkConditions {
    /// Probability that a message is lost.
    pub loss_probability: f64,
    /// Upper bound of the random delay of a message, in addition to 1 ms.
    pub delay_ms: u64,
    /// Whether messages in the same direction of a link can overtake each other.
    pub reorder: bool,
    /// Upper bound of the random delay until a decider has read a record, in addition to 5 ms.
    pub max_read_delay_ms: u64,
}

/// A bug injected into agents or deciders, to test that the checks detect it.
#[derive(Debug, Clone, Copy)]
pub struct InjectedBug {
    /// Changes or drops an event before an agent's hold table handles it.
    pub alter_agent_event: fn(hold::Event) -> Option<hold::Event>,
    /// Changes the actions of a policy before they are executed.
    pub alter_actions: fn(&mut Vec<Action>),
    /// Whether changes of failure domains are withheld from running deciders.
    pub hide_domain_events: bool,
}

impl Default for InjectedBug {
    fn default() -> Self {
        Self {
            alter_agent_event: Some,
            alter_actions: |_| {},
            hide_domain_events: false,
        }
    }
}

/// Number of failures of a check, and its first failure.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// Number of failures.
    pub count: u64,
    /// Number of the event at which it first failed.
    pub event: u64,
    /// Description of the first failure.
    pub what: String,
}

/// The first failure of any check.
#[derive(Debug, Clone)]
pub struct CheckFailure {
    /// Number of the event at which the check failed.
    pub event: u64,
    /// Description of the failure.
    pub what: String,
    /// The last events up to that of the failure, oldest first.
    pub last_events: Vec<String>,
}

/// A failure domain.
#[derive(Debug, Clone)]
pub struct Domain {
    pub id: DomainId,
    /// When it was taken out of service; `None` while it is in service.
    pub out: Option<Duration>,
}

/// A simulated region. See the [module](self) page.
pub struct World {
    /// Virtual time.
    pub now: Duration,
    /// Number of events processed.
    pub events: u64,
    pub rng: fastrand::Rng,
    pub queue: Queue<Item>,
    pub agents: Vec<Agent>,
    pub deciders: Vec<Decider>,
    pub jobs: Vec<Job>,
    pub workspaces: BTreeMap<WorkspaceId, Workspace>,
    pub domains: Vec<Domain>,
    /// Version of the configuration, incremented with each change.
    pub version: u64,
    /// Epoch of the newest claim to the decider role.
    pub epoch: u64,
    pub net: LinkConditions,
    pub log: Log,
    pub injected_bug: InjectedBug,
    /// Counters of faults and other occurrences, by name.
    pub counts: BTreeMap<&'static str, u64>,
    /// Upper bound of the random time that saving a job's state takes.
    pub checkpoint_ms: u64,
    /// When a fault, its repair or a change of a workspace last disturbed the region.
    pub last_disturbance: Duration,
    /// Job or worker whose events and actions are printed to standard error.
    pub watch: Option<String>,
    /// The first failure of a check.
    pub broken: Option<CheckFailure>,
    /// Failed checks by name.
    pub violations: BTreeMap<&'static str, Violation>,
    factory: Factory,
    /// Hash of all events and actions so far.
    hasher: DefaultHasher,
    recent_events: VecDeque<(Duration, Item)>,
    agent_indexes: HashMap<WorkerId, usize>,
    /// Numbers of the jobs that are not final.
    active_jobs: BTreeSet<usize>,
    /// Arrival time of the last message in each direction of each link: to the agent at `2 * index`,
    /// from the agent at `2 * index + 1`.
    last_arrivals: Vec<Duration>,
    /// Reused buffer for the actions of a policy.
    action_buffer: Vec<Action>,
    /// Generation of the newest scheduled end of a part.
    part_generation: u64,
    /// Number of events since virtual time last advanced.
    events_at_instant: u64,
}

impl World {
    /// Returns a region without workers.
    pub fn new(seed: u64, factory: Factory) -> Self {
        let net = LinkConditions {
            loss_probability: 0.0,
            delay_ms: 2,
            reorder: false,
            max_read_delay_ms: 20,
        };
        let log = Log {
            available: true,
            append_ms: 5,
            reply_loss_probability: 0.0,
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
            injected_bug: InjectedBug::default(),
            counts: BTreeMap::new(),
            checkpoint_ms: 5_000,
            last_disturbance: Duration::ZERO,
            watch: None,
            broken: None,
            violations: BTreeMap::new(),
            factory,
            hasher: DefaultHasher::new(),
            recent_events: VecDeque::new(),
            agent_indexes: HashMap::new(),
            active_jobs: BTreeSet::new(),
            last_arrivals: Vec::new(),
            action_buffer: Vec::new(),
            part_generation: 0,
            events_at_instant: 0,
        }
    }

    /// Adds a worker with its agent and, if it is new, its failure domain.
    pub fn add(&mut self, worker: Worker) {
        if !self.domains.iter().any(|domain| domain.id == worker.domain) {
            let id = worker.domain.clone();
            self.domains.push(Domain { id, out: None });
        }
        self.agent_indexes
            .insert(worker.id.clone(), self.agents.len());
        self.agents.push(Agent::new(worker));
        self.last_arrivals.extend([Duration::ZERO; 2]);
    }

    /// Starts the first decider and schedules the first heartbeat.
    pub fn start(&mut self) {
        self.take_over();
        self.queue.push(self.now, Item::Heartbeat);
    }

    /// Accepts a job that runs for the given time. Returns its number.
    pub fn submit(&mut self, spec: Spec, run: Duration) -> usize {
        let number = self.jobs.len();
        let id: JobId = format!("j{number}").into();
        let job = Job::new(id.clone(), spec.clone(), run, self.now);
        self.jobs.push(job);
        self.active_jobs.insert(number);
        self.publish(&Event::Submit {
            job: id,
            spec,
            attempt: 0,
            age: Duration::ZERO,
        });
        number
    }

    /// Cancels a job unless it is final.
    pub fn cancel(&mut self, number: usize) {
        let (now, state) = (self.now, &mut self.jobs[number]);
        if !state.phase.is_final() {
            state.cancelled.get_or_insert(now);
            let job = state.id.clone();
            self.publish(&Event::Cancel { job });
        }
    }

    /// Returns the numbers of the jobs that are not final.
    pub fn active(&self) -> Vec<usize> {
        self.active_jobs.iter().copied().collect()
    }

    /// Returns the number of jobs that are not final.
    pub fn load(&self) -> usize {
        self.active_jobs.len()
    }

    fn deactivate(&mut self, number: usize) {
        self.active_jobs.remove(&number);
    }

    /// Increments a named counter.
    pub fn increment_count(&mut self, name: &'static str) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Records a failure of a check.
    pub fn record_violation(&mut self, check: &'static str, what: String) {
        let event = self.events;
        let violation = self.violations.entry(check).or_insert_with(|| Violation {
            count: 0,
            event,
            what: what.clone(),
        });
        violation.count += 1;
        if self.broken.is_none() {
            self.broken = Some(CheckFailure {
                event: self.events,
                what,
                last_events: self.last_events(),
            });
        }
    }

    /// Returns the hash of all events and actions so far.
    pub fn trace_hash(&self) -> u64 {
        self.hasher.finish()
    }

    /// Formats the most recent events, oldest first.
    fn last_events(&self) -> Vec<String> {
        let recent = self.recent_events.iter();
        recent
            .map(|(at, item)| format!("{:.3} {item:?}", at.as_secs_f64()))
            .collect()
    }

    /// Returns the number of a job, which is part of its name.
    pub(crate) fn job_number(&self, job: &str) -> usize {
        let number = job.strip_prefix('j').and_then(|text| text.parse().ok());
        number
            .filter(|number| *number < self.jobs.len())
            .unwrap_or(0)
    }

    pub(crate) fn agent_index(&self, worker: &WorkerId) -> usize {
        self.agent_indexes.get(worker).copied().unwrap_or(0)
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

    /// Draws whether a message is lost, and counts it if it is.
    fn draw_message_loss(&mut self) -> bool {
        let lost = self.net.loss_probability > 0.0 && self.rng.f64() < self.net.loss_probability;
        if lost {
            self.increment_count("message_lost");
        }
        lost
    }

    /// Draws the arrival time of a message sent now in one direction of a link. Without reordering it
    /// is never before that of an earlier message.
    fn arrival_time(&mut self, link_direction: usize) -> Duration {
        let delay = Duration::from_millis(1 + self.rng.u64(0..=self.net.delay_ms));
        let arrival = self.now + delay;
        if self.net.reorder {
            return arrival;
        }
        let arrival = arrival.max(self.last_arrivals[link_direction]);
        self.last_arrivals[link_direction] = arrival;
        arrival
    }
}
