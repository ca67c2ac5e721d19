//! Parts of jobs on the worker, and the reports about them to the entries.

use super::reconcile;
use super::rules::StopMode;
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

/// Identifies a part on this worker.
pub(super) type PartId = (JobId, Attempt);

/// An action to execute on the worker.
#[derive(Debug)]
pub(super) enum WorkerAction {
    /// Start the tasks of a part.
    Launch(PartId),
    /// Stop the tasks of a part, with a checkpoint if its `stop` is `Some(true)`.
    Stop(PartId),
}

/// A part whose tasks are on the worker or are being started there.
#[derive(Debug)]
pub(super) struct ActivePart {
    pub(super) tasks: u32,
    pub(super) accelerators: Accelerators,
    /// Whether its tasks are still being started. The part can't end before that is over.
    pub(super) launching: bool,
    /// Number of the first task list requested after the launch. An earlier list may lack running
    /// tasks.
    pub(super) first_list: u64,
    /// `None` unless a stop was requested; otherwise whether the state is saved first.
    pub(super) stop: Option<bool>,
    /// When the stop was last sent to the worker.
    pub(super) stop_sent: Option<Duration>,
}

/// The latest command about a part, from which reports are built.
#[derive(Debug)]
struct LatestCommand {
    part: Part,
    /// Incarnation of the entry that sent it; 0 for an adopted part.
    sender: Incarnation,
}

/// State of the worker and of the parts on it.
pub(super) struct Parts {
    pub(super) table: Table,
    pub(super) active: BTreeMap<PartId, ActivePart>,
    commands: BTreeMap<PartId, LatestCommand>,
    /// The lease, and the earliest time at which it may expire.
    pub(super) lease: Option<(Lease, Duration)>,
    /// Number of task lists requested so far.
    pub(super) lists_requested: u64,
    /// Whether the tasks of an earlier incarnation of the agent have been adopted.
    pub(super) adopted: bool,
    /// Whether the worker is announced to the entries.
    pub(super) up: bool,
}

/// The agent's worker: its client, its state and the queue of actions on it.
pub(super) struct WorkerHandle {
    pub(super) client: Worker,
    pub(super) parts: RefCell<Parts>,
    actions: Sender<WorkerAction>,
}

impl WorkerHandle {
    /// Returns the handle and the receiving end of the queue of actions.
    pub(super) fn new(
        settings: &crate::settings::Worker,
        domain: &DomainId,
    ) -> (Self, Receiver<WorkerAction>) {
        let (actions, receiver) = smol::channel::unbounded();
        let parts = Parts {
            table: Table::new(domain.clone(), settings.accelerators),
            active: BTreeMap::new(),
            commands: BTreeMap::new(),
            lease: None,
            lists_requested: 0,
            adopted: false,
            up: false,
        };
        let worker = Self {
            client: Worker::new(settings.address),
            parts: RefCell::new(parts),
            actions,
        };
        (worker, receiver)
    }
}

impl Parts {
    /// Returns the number of accelerators that active parts use.
    pub(super) fn busy(&self) -> Accelerators {
        self.active.values().map(|part| part.accelerators).sum()
    }

    /// Marks the launch of a part as finished. A part of which not all tasks started is stopped.
    pub(super) fn finish_launch(&mut self, id: &PartId, all_started: bool) {
        if let Some(active) = self.active.get_mut(id) {
            active.launching = false;
            active.first_list = self.lists_requested + 1;
            if !all_started {
                active.stop.get_or_insert(false);
            }
        }
    }

    /// Returns whether a part is held or runs here.
    pub(super) fn contains(&self, id: &PartId) -> bool {
        let listed = self.table.inventory();
        listed
            .iter()
            .any(|running| running.job == id.0 && running.attempt == id.1)
    }

    /// Records a command, unless a newer decider has already sent one.
    pub(super) fn record_command(&mut self, id: &PartId, part: &Part, sender: Incarnation) {
        if part.epoch >= self.table.epoch() {
            let part = part.clone();
            self.commands
                .insert(id.clone(), LatestCommand { part, sender });
        }
    }

    /// Returns the part as in the decider's latest command, for a report.
    fn reported_part(&self, id: &PartId) -> Part {
        match self.commands.get(id) {
            Some(command) => command.part.clone(),
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

    /// Returns the run time declared in the latest command about a part.
    pub(super) fn run_time(&self, id: &PartId) -> Option<Duration> {
        self.commands.get(id)?.part.run
    }

    /// Adopts a part of an earlier incarnation of the agent.
    pub(super) fn adopt(&mut self, id: &PartId, tasks: u32, accelerators: Accelerators) -> Running {
        let part = Part {
            tasks,
            accelerators,
            ..self.reported_part(id)
        };
        let sender = 0;
        self.commands
            .insert(id.clone(), LatestCommand { part, sender });
        let active = ActivePart {
            tasks,
            accelerators,
            launching: false,
            first_list: 0,
            stop: None,
            stop_sent: None,
        };
        self.active.insert(id.clone(), active);
        Running {
            job: id.0.clone(),
            attempt: id.1,
            tasks,
            accelerators,
            settled: true,
        }
    }

    /// Drops the commands about parts that are neither held nor running, and whose end is not to be
    /// reported.
    fn prune(&mut self) {
        let listed = self.table.inventory().into_iter();
        let mut retained: BTreeSet<PartId> = listed
            .map(|running| (running.job, running.attempt))
            .collect();
        for action in self.table.unacknowledged() {
            if let Action::Ended { job, attempt, .. } = action {
                retained.insert((job, attempt));
            }
        }
        self.commands.retain(|id, _| retained.contains(id));
    }
}

/// Handles the decider's acknowledgement of a part's end.
pub(super) fn acknowledge_end(agent: &Agent, part: Part) {
    let (job, attempt) = (part.job, part.attempt);
    apply(agent, Event::Acknowledged { job, attempt });
}

/// Passes an event to the table and executes the resulting actions.
pub(super) fn apply(agent: &Agent, event: Event) {
    if let Some(worker) = &agent.worker {
        for action in handle_event(agent, event) {
            execute_action(agent, worker, action);
        }
    }
}

pub(super) fn handle_event(agent: &Agent, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    if let Some(worker) = &agent.worker {
        let mut parts = worker.parts.borrow_mut();
        parts.table.handle(agent.now(), event, &mut actions);
    }
    actions
}

pub(super) fn execute_action(agent: &Agent, worker: &WorkerHandle, action: Action) {
    let mut parts = worker.parts.borrow_mut();
    match action {
        Action::Start {
            job,
            attempt,
            tasks,
            accelerators,
        } => {
            let active = ActivePart {
                tasks,
                accelerators,
                launching: true,
                first_list: 0,
                stop: None,
                stop_sent: None,
            };
            let id = (job, attempt);
            parts.active.insert(id.clone(), active);
            enqueue(worker, WorkerAction::Launch(id));
        }
        Action::Stop {
            job,
            attempt,
            checkpoint,
        } => {
            let id = (job, attempt);
            if let Some(active) = parts.active.get_mut(&id) {
                active.stop = Some(checkpoint);
                enqueue(worker, WorkerAction::Stop(id));
            }
        }
        Action::Held { job, attempt } => reply(agent, &parts, &(job, attempt), Frame::Held),
        Action::Started { job, attempt } => reply(agent, &parts, &(job, attempt), Frame::Started),
        // Only commands are denied, and `commands` replies to their senders.
        Action::Denied { .. } => {}
        Action::Ended { job, attempt, end } => {
            let id = (job, attempt);
            parts.active.remove(&id);
            let part = parts.reported_part(&id);
            tracing::info!(job = %id.0, attempt, ?end, "part ended");
            agent.links.borrow().send_all(&Frame::Ended { part, end });
        }
    }
}

fn enqueue(worker: &WorkerHandle, action: WorkerAction) {
    // Fails only after the agent has ended.
    let _ = worker.actions.try_send(action);
}

/// Reports to the entry that sent the latest command about a part.
fn reply(agent: &Agent, parts: &Parts, id: &PartId, frame: impl FnOnce(Part) -> Frame) {
    let Some(command) = parts.commands.get(id) else {
        return;
    };
    let frame = frame(command.part.clone());
    // A decider repeats a command until it receives a reply, so the reply need not be kept.
    let _ = agent.links.borrow().send_to(command.sender, &frame);
}

/// Returns frames for the ends of parts that no decider has acknowledged.
pub(super) fn unacknowledged_ends(agent: &Agent) -> Vec<Frame> {
    let Some(worker) = &agent.worker else {
        return Vec::new();
    };
    let parts = worker.parts.borrow();
    let ended = parts.table.unacknowledged().into_iter();
    let frame = |action| match action {
        Action::Ended { job, attempt, end } => {
            let part = parts.reported_part(&(job, attempt));
            Some(Frame::Ended { part, end })
        }
        _ => None,
    };
    ended.filter_map(frame).collect()
}

/// Stops all parts if the contact with the decider has been lost for too long, because the decider
/// may restart their jobs elsewhere.
fn stop_without_contact(agent: &Agent) {
    let (stop_mode, epoch) = {
        let rules = agent.rules.borrow();
        (rules.due_stop(agent.now()), rules.epoch())
    };
    let (Some(mode), Some(worker)) = (stop_mode, &agent.worker) else {
        return;
    };
    let checkpoint = mode == StopMode::Checkpoint;
    let inventory = worker.parts.borrow().table.inventory();
    for running in inventory {
        let id = (running.job.clone(), running.attempt);
        let requested = {
            let parts = worker.parts.borrow();
            parts.active.get(&id).and_then(|active| active.stop)
        };
        if requested
            .is_some_and(|with_checkpoint| with_checkpoint == checkpoint || !with_checkpoint)
        {
            continue;
        }
        tracing::warn!(job = %id.0, attempt = id.1, checkpoint, "no contact with the decider; stopping part");
        let header = CommandHeader {
            epoch,
            job: running.job,
            attempt: running.attempt,
        };
        apply(agent, Event::Command(header, Command::Stop { checkpoint }));
    }
}

/// Advances the table's time, and checks the contact with the decider and the worker's
/// availability.
pub(super) fn tick(agent: &Agent) {
    apply(agent, Event::Tick);
    stop_without_contact(agent);
    if let Some(worker) = &agent.worker {
        reconcile::update_availability(agent, worker);
    }
}

/// Reports the unacknowledged ends of parts to every entry.
pub(super) fn report_ends(agent: &Agent) {
    if let Some(worker) = &agent.worker {
        worker.parts.borrow_mut().prune();
    }
    for frame in unacknowledged_ends(agent) {
        agent.links.borrow().send_all(&frame);
    }
}

/// Passes the epoch and the domain's service state from the rules to the table.
pub(super) fn apply_rules(agent: &Agent) {
    let (epoch, out_of_service) = {
        let rules = agent.rules.borrow();
        (
            rules.epoch(),
            rules.is_out_of_service(&agent.settings.domain),
        )
    };
    apply(agent, Event::Epoch(epoch));
    apply(agent, Event::InService(!out_of_service));
}
