//! Parts of jobs on the worker, and reports about them to the entries.

use super::reconcile;
use super::rules::Save;
use super::state::Agent;
use super::worker::{Lease, Worker};
use godwitstep_core::hold::{Action, Command, CommandHeader, Event, Table};
use godwitstep_core::id::{Accelerators, Attempt, DomainId, Incarnation, JobId};
use godwitstep_core::planner::Running;
use godwitstep_wire::{Frame, Part};
use smol::channel::{Receiver, Sender};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Names a part on this worker.
pub(super) type Id = (JobId, Attempt);

/// What is to be done on the worker.
#[derive(Debug)]
pub(super) enum Job {
    /// Start the tasks of a part.
    Launch(Id),
    /// Stop the tasks of a part, as its entry says.
    Stop(Id),
}

/// A part whose tasks are on the worker or about to be.
#[derive(Debug)]
pub(super) struct Driven {
    pub(super) tasks: u32,
    pub(super) accelerators: Accelerators,
    /// Whether its tasks are still being started; until then it has no end.
    pub(super) launching: bool,
    /// Number of the first task list that was asked for after the launch. An earlier list may
    /// lack tasks that run.
    pub(super) since: u64,
    /// Whether it is to stop, and if so whether its state is to be saved first.
    pub(super) stop: Option<bool>,
    /// When the worker was last told to stop it.
    pub(super) told: Option<Duration>,
}

/// The latest order about a part, from which reports are made.
#[derive(Debug)]
struct Known {
    part: Part,
    asked_by: Incarnation,
}

/// What the agent knows of the worker.
pub(super) struct Parts {
    pub(super) table: Table,
    pub(super) driven: BTreeMap<Id, Driven>,
    known: BTreeMap<Id, Known>,
    /// The lease, and when it lapses at the earliest.
    pub(super) lease: Option<(Lease, Duration)>,
    /// Number of task lists that were asked for.
    pub(super) lists: u64,
    /// Whether the tasks of an earlier life of the agent have been taken over.
    pub(super) adopted: bool,
    /// Whether the worker is announced.
    pub(super) up: bool,
}

/// The worker beside the agent.
pub(super) struct Beside {
    pub(super) client: Worker,
    pub(super) parts: RefCell<Parts>,
    jobs: Sender<Job>,
}

impl Beside {
    /// Returns the worker's side of an agent, and what is to be done on the worker.
    pub(super) fn new(
        settings: &crate::settings::Worker,
        domain: &DomainId,
    ) -> (Self, Receiver<Job>) {
        let (jobs, todo) = smol::channel::unbounded();
        let parts = Parts {
            table: Table::new(domain.clone(), settings.accelerators),
            driven: BTreeMap::new(),
            known: BTreeMap::new(),
            lease: None,
            lists: 0,
            adopted: false,
            up: false,
        };
        let beside = Self {
            client: Worker::new(settings.address),
            parts: RefCell::new(parts),
            jobs,
        };
        (beside, todo)
    }
}

impl Parts {
    /// Returns the accelerators of parts that are on the worker.
    pub(super) fn busy(&self) -> Accelerators {
        self.driven.values().map(|part| part.accelerators).sum()
    }

    /// Notes that no more tasks of a part are started. A part that is not whole is to stop.
    pub(super) fn launched(&mut self, id: &Id, whole: bool) {
        if let Some(driven) = self.driven.get_mut(id) {
            driven.launching = false;
            driven.since = self.lists + 1;
            if !whole {
                driven.stop.get_or_insert(false);
            }
        }
    }

    /// Reports whether a part is held or runs here.
    pub(super) fn holds(&self, id: &Id) -> bool {
        let listed = self.table.inventory();
        listed
            .iter()
            .any(|running| running.job == id.0 && running.attempt == id.1)
    }

    /// Notes an order, unless a newer decider has given one.
    pub(super) fn note(&mut self, id: &Id, part: &Part, asked_by: Incarnation) {
        if part.epoch >= self.table.epoch() {
            let part = part.clone();
            self.known.insert(id.clone(), Known { part, asked_by });
        }
    }

    /// Returns the part as the decider knows it, for a report.
    fn part(&self, id: &Id) -> Part {
        match self.known.get(id) {
            Some(known) => known.part.clone(),
            None => Part {
                epoch: self.table.epoch(),
                job: id.0.clone(),
                attempt: id.1,
                tasks: 0,
                accelerators: 0,
                run: None,
            },
        }
    }

    /// Returns the run time that was ordered for a part.
    pub(super) fn run(&self, id: &Id) -> Option<Duration> {
        self.known.get(id)?.part.run
    }

    /// Takes over a part of an earlier life of the agent.
    pub(super) fn adopt(&mut self, id: &Id, tasks: u32, accelerators: Accelerators) -> Running {
        let part = Part {
            tasks,
            accelerators,
            ..self.part(id)
        };
        let asked_by = 0;
        self.known.insert(id.clone(), Known { part, asked_by });
        let driven = Driven {
            tasks,
            accelerators,
            launching: false,
            since: 0,
            stop: None,
            told: None,
        };
        self.driven.insert(id.clone(), driven);
        Running {
            job: id.0.clone(),
            attempt: id.1,
            tasks,
            accelerators,
            settled: true,
        }
    }

    /// Forgets orders about parts that are neither here nor to be reported.
    fn prune(&mut self) {
        let listed = self.table.inventory().into_iter();
        let mut kept: BTreeSet<Id> = listed
            .map(|running| (running.job, running.attempt))
            .collect();
        for action in self.table.unacknowledged() {
            if let Action::Ended { job, attempt, .. } = action {
                kept.insert((job, attempt));
            }
        }
        self.known.retain(|id, _| kept.contains(id));
    }
}

/// Notes that the end of a part is known.
pub(super) fn acknowledge(agent: &Agent, part: Part) {
    let (job, attempt) = (part.job, part.attempt);
    apply(agent, Event::Acknowledged { job, attempt });
}

/// Passes an event to the table and carries out what it asks for.
pub(super) fn apply(agent: &Agent, event: Event) {
    if let Some(beside) = &agent.worker {
        for action in decide(agent, event) {
            carry_out(agent, beside, action);
        }
    }
}

pub(super) fn decide(agent: &Agent, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    if let Some(beside) = &agent.worker {
        let mut parts = beside.parts.borrow_mut();
        parts.table.handle(agent.now(), event, &mut actions);
    }
    actions
}

pub(super) fn carry_out(agent: &Agent, beside: &Beside, action: Action) {
    let mut parts = beside.parts.borrow_mut();
    match action {
        Action::Start {
            job,
            attempt,
            tasks,
            accelerators,
        } => {
            let driven = Driven {
                tasks,
                accelerators,
                launching: true,
                since: 0,
                stop: None,
                told: None,
            };
            let id = (job, attempt);
            parts.driven.insert(id.clone(), driven);
            push(beside, Job::Launch(id));
        }
        Action::Stop {
            job,
            attempt,
            checkpoint,
        } => {
            let id = (job, attempt);
            if let Some(driven) = parts.driven.get_mut(&id) {
                driven.stop = Some(checkpoint);
                push(beside, Job::Stop(id));
            }
        }
        Action::Held { job, attempt } => answer(agent, &parts, &(job, attempt), Frame::Held),
        Action::Started { job, attempt } => answer(agent, &parts, &(job, attempt), Frame::Started),
        // Only commands are denied, and their senders are answered at once.
        Action::Denied { .. } => {}
        Action::Ended { job, attempt, end } => {
            let id = (job, attempt);
            parts.driven.remove(&id);
            let part = parts.part(&id);
            tracing::info!(job = %id.0, attempt, ?end, "part ended");
            agent.links.borrow().send_all(&Frame::Ended { part, end });
        }
    }
}

fn push(beside: &Beside, job: Job) {
    // Fails only when the agent has ended.
    let _ = beside.jobs.try_send(job);
}

/// Reports to the entry that gave the latest order about a part.
fn answer(agent: &Agent, parts: &Parts, id: &Id, frame: impl FnOnce(Part) -> Frame) {
    let Some(known) = parts.known.get(id) else {
        return;
    };
    let frame = frame(known.part.clone());
    // A decider repeats what is not answered, so nothing is kept for it.
    let _ = agent.links.borrow().send_to(known.asked_by, &frame);
}

/// Returns the frames that tell of ended parts whose end is not known yet.
pub(super) fn ends(agent: &Agent) -> Vec<Frame> {
    let Some(beside) = &agent.worker else {
        return Vec::new();
    };
    let parts = beside.parts.borrow();
    let ended = parts.table.unacknowledged().into_iter();
    let frame = |action| match action {
        Action::Ended { job, attempt, end } => {
            let part = parts.part(&(job, attempt));
            Some(Frame::Ended { part, end })
        }
        _ => None,
    };
    ended.filter_map(frame).collect()
}

/// Stops all parts after too long a time without contact to the decider, which may have started
/// their jobs again elsewhere by then.
fn fence(agent: &Agent) {
    let (lapsed, epoch) = {
        let rules = agent.rules.borrow();
        (rules.lapsed(agent.now()), rules.epoch())
    };
    let (Some(save), Some(beside)) = (lapsed, &agent.worker) else {
        return;
    };
    let checkpoint = save == Save::Yes;
    let inventory = beside.parts.borrow().table.inventory();
    for running in inventory {
        let id = (running.job.clone(), running.attempt);
        let stop = {
            let parts = beside.parts.borrow();
            parts.driven.get(&id).and_then(|driven| driven.stop)
        };
        if stop.is_some_and(|saved| saved == checkpoint || !saved) {
            continue;
        }
        tracing::warn!(job = %id.0, attempt = id.1, checkpoint, "no contact to the decider; stopping");
        let order = CommandHeader {
            epoch,
            job: running.job,
            attempt: running.attempt,
        };
        apply(agent, Event::Command(order, Command::Stop { checkpoint }));
    }
}

/// Lets time pass.
pub(super) fn tick(agent: &Agent) {
    apply(agent, Event::Tick);
    fence(agent);
    if let Some(beside) = &agent.worker {
        reconcile::review(agent, beside);
    }
}

/// Reports the ended parts whose end is not known yet to every entry.
pub(super) fn report(agent: &Agent) {
    if let Some(beside) = &agent.worker {
        beside.parts.borrow_mut().prune();
    }
    for frame in ends(agent) {
        agent.links.borrow().send_all(&frame);
    }
}

/// Passes on what the rules say about this worker.
pub(super) fn hear(agent: &Agent) {
    let (epoch, out) = {
        let rules = agent.rules.borrow();
        (rules.epoch(), rules.is_out(&agent.settings.domain))
    };
    apply(agent, Event::Epoch(epoch));
    apply(agent, Event::InService(!out));
}
