//! The agent's table of reservations and running parts on one worker.
//!
//! The table is the only authority on what starts on its worker. It refuses epochs older than the
//! newest it has seen, never starts a run that has ended or was stopped, and stops a part whose
//! gang was not reported whole in time.
//!
//! ```
//! use godwitstep_core::hold::{Action, Command, Event, Order, Table};
//! use std::time::Duration;
//!
//! let mut table = Table::new("karratha-shed", 8);
//! let mut actions = Vec::new();
//! let order = Order { epoch: 4, job: "j".into(), attempt: 1 };
//! let reserve = Command::Reserve { tasks: 2, accelerators: 2 };
//! table.handle(Duration::ZERO, Event::Command(order.clone(), reserve), &mut actions);
//! assert!(matches!(actions[0], Action::Held { .. }));
//! ```

use crate::id::{Accelerators, Attempt, DomainId, Epoch, JobId};
use crate::planner::{End, Running};
use crate::reason::Reason;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

mod message;

pub use message::{Action, Command, Event, Order};

/// Life of a reservation that is neither renewed nor committed.
pub const HOLD_LIFE: Duration = Duration::from_secs(5);
/// Time after its commit within which a part must learn that its whole gang runs.
pub const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// Time for which the end of a run is remembered, to refuse late messages about it. Links are
/// closed after 1.5 s of silence, so no message is nearly as old.
pub const MEMORY: Duration = Duration::from_secs(600);

type Id = (JobId, Attempt);

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum State {
    Held,
    Launching,
    Running,
    Stopping,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Part {
    tasks: u32,
    accelerators: Accelerators,
    state: State,
    settled: bool,
    /// When the hold expires or, once committed and not settled, when the part stops itself.
    until: Duration,
}

/// Reservations and running parts of one worker. See the [module](self) page.
#[derive(Debug, Clone)]
pub struct Table {
    domain: DomainId,
    capacity: Accelerators,
    /// Newest epoch seen. Never decreases.
    epoch: Epoch,
    in_service: bool,
    /// The accelerators of all parts together never exceed `capacity`.
    parts: BTreeMap<Id, Part>,
    /// Ended parts that the decider has not acknowledged.
    ended: BTreeMap<Id, End>,
    /// Newest ended run of each job; it and older runs never start.
    closed: BTreeMap<JobId, (Attempt, End)>,
    closed_order: VecDeque<(Duration, Id)>,
    deadlines: BTreeSet<(Duration, Id)>,
}

impl Table {
    /// Returns an empty table of a worker in the given failure domain.
    #[must_use]
    pub fn new(domain: impl Into<DomainId>, capacity: Accelerators) -> Self {
        Self {
            domain: domain.into(),
            capacity,
            epoch: 0,
            in_service: true,
            parts: BTreeMap::new(),
            ended: BTreeMap::new(),
            closed: BTreeMap::new(),
            closed_order: VecDeque::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.expire(now, out);
        match event {
            Event::Command(order, command) => self.command(now, order, &command, out),
            Event::Epoch(epoch) => self.epoch = self.epoch.max(epoch),
            Event::Service(in_service) => self.in_service = in_service,
            Event::Launched { job, attempt } => self.launched((job, attempt), out),
            Event::Ended { job, attempt, end } => self.end(now, (job, attempt), end, out),
            Event::Lapsed => self.lapse(now, out),
            Event::Found { running } => self.found(running),
            Event::Acknowledged { job, attempt } => {
                self.ended.remove(&(job, attempt));
            }
            Event::Tick => {}
        }
    }

    /// Lists what is held and runs, for an announcement. Send [`Table::unacknowledged`] first: the
    /// planner takes a part that is in neither for lost.
    #[must_use]
    pub fn inventory(&self) -> Vec<Running> {
        let listed = self.parts.iter().map(|((job, attempt), part)| Running {
            job: job.clone(),
            attempt: *attempt,
            tasks: part.tasks,
            accelerators: part.accelerators,
            settled: part.settled,
        });
        listed.collect()
    }

    /// Returns the ended parts that are to be reported until they are acknowledged.
    #[must_use]
    pub fn unacknowledged(&self) -> Vec<Action> {
        let report = |((job, attempt), end): (&Id, &End)| Action::Ended {
            job: job.clone(),
            attempt: *attempt,
            end: *end,
        };
        self.ended.iter().map(report).collect()
    }

    /// Returns the newest epoch seen.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the accelerators that are neither held nor in use.
    #[must_use]
    pub fn free(&self) -> Accelerators {
        let taken = self.parts.values().map(|part| part.accelerators).sum();
        self.capacity.saturating_sub(taken)
    }

    fn command(&mut self, now: Duration, order: Order, command: &Command, out: &mut Vec<Action>) {
        let id = (order.job, order.attempt);
        if order.epoch < self.epoch {
            let newest = self.epoch;
            return deny(id, Reason::EpochSuperseded { newest }, out);
        }
        self.epoch = order.epoch;
        match command {
            Command::Reserve {
                tasks,
                accelerators,
            } => self.reserve(now, id, *tasks, *accelerators, out),
            Command::Commit {
                tasks,
                accelerators,
            } => self.commit(now, id, *tasks, *accelerators, out),
            Command::Settle => self.settle(&id),
            Command::Release => self.release(&id),
            Command::Stop { checkpoint } => self.stop(now, id, *checkpoint, out),
        }
    }

    fn reserve(
        &mut self,
        now: Duration,
        id: Id,
        tasks: u32,
        accelerators: Accelerators,
        out: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.refusal(&id) {
            return deny(id, reason, out);
        }
        let held = self.parts.get(&id).cloned();
        if held.as_ref().is_some_and(|part| part.state != State::Held) {
            return;
        }
        // The number of a run that was not recorded is used again, and its release may have been
        // lost: the size of the newest reservation counts.
        let free = self.free() + held.as_ref().map_or(0, |part| part.accelerators);
        if accelerators > free {
            let needed = accelerators;
            self.remove(&id);
            return deny(id, Reason::WaitingForCapacity { needed, free }, out);
        }
        self.remove(&id);
        let until = now + HOLD_LIFE;
        let part = Part {
            tasks,
            accelerators,
            state: State::Held,
            settled: false,
            until,
        };
        self.parts.insert(id.clone(), part);
        self.deadlines.insert((until, id.clone()));
        out.push(Action::Held {
            job: id.0,
            attempt: id.1,
        });
    }

    /// Starts a held part in the size of the commit, which is the recorded one: under the same
    /// number, a reservation of an earlier placement can arrive after that of the recorded one.
    fn commit(
        &mut self,
        now: Duration,
        id: Id,
        tasks: u32,
        accelerators: Accelerators,
        out: &mut Vec<Action>,
    ) {
        if let Some(end) = self.ended.get(&id) {
            return out.push(ended(id.clone(), *end));
        }
        let Some(part) = self.parts.get(&id) else {
            let reason = self.closed_reason(&id).unwrap_or(Reason::HoldExpired);
            return deny(id, reason, out);
        };
        match part.state {
            State::Held if !self.in_service => {
                let domain = self.domain.clone();
                self.remove(&id);
                deny(id, Reason::DomainOut { domain }, out);
            }
            State::Held if accelerators > self.free() + part.accelerators => {
                self.remove(&id);
                deny(id, Reason::HoldExpired, out);
            }
            State::Held => {
                if let Some(part) = self.parts.get_mut(&id) {
                    (part.tasks, part.accelerators) = (tasks, accelerators);
                }
                self.set_state(&id, State::Launching);
                self.set_deadline(&id, now + SETTLE_LIMIT);
                out.push(Action::Start {
                    job: id.0,
                    attempt: id.1,
                    tasks,
                    accelerators,
                });
            }
            State::Running => out.push(Action::Started {
                job: id.0,
                attempt: id.1,
            }),
            State::Launching | State::Stopping => {}
        }
    }

    fn settle(&mut self, id: &Id) {
        if let Some(part) = self.parts.get_mut(id)
            && part.state == State::Running
        {
            part.settled = true;
            self.deadlines.remove(&(part.until, id.clone()));
        }
    }

    /// Gives up a hold. A part that was committed is not affected: a release that arrives after
    /// the commit belongs to an earlier round of the same attempt.
    fn release(&mut self, id: &Id) {
        if self
            .parts
            .get(id)
            .is_some_and(|part| part.state == State::Held)
        {
            self.remove(id);
        }
    }

    fn stop(&mut self, now: Duration, id: Id, checkpoint: bool, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else {
            let known = self
                .closed
                .get(&id.0)
                .filter(|(attempt, _)| *attempt == id.1);
            let end = known.map_or(End::NotStarted, |(_, end)| *end);
            self.bar(now, &id, end);
            return out.push(ended(id, end));
        };
        // What never started need not be kept until acknowledged: a stop is repeated.
        if part.state == State::Held {
            self.remove(&id);
            self.bar(now, &id, End::NotStarted);
            return out.push(ended(id, End::NotStarted));
        }
        self.deadlines.remove(&(part.until, id.clone()));
        self.set_state(&id, State::Stopping);
        out.push(Action::Stop {
            job: id.0,
            attempt: id.1,
            checkpoint,
        });
    }

    fn launched(&mut self, id: Id, out: &mut Vec<Action>) {
        if self
            .parts
            .get(&id)
            .is_some_and(|part| part.state == State::Launching)
        {
            self.set_state(&id, State::Running);
            out.push(Action::Started {
                job: id.0,
                attempt: id.1,
            });
        }
    }

    fn end(&mut self, now: Duration, id: Id, end: End, out: &mut Vec<Action>) {
        if self.parts.contains_key(&id) {
            self.close(now, id, end, out);
        }
    }

    fn lapse(&mut self, now: Duration, out: &mut Vec<Action>) {
        let ids: Vec<Id> = self.parts.keys().cloned().collect();
        for id in ids {
            if self.parts[&id].state == State::Held {
                self.remove(&id);
            } else {
                self.close(now, id, End::Stopped, out);
            }
        }
    }

    /// Takes over a part that a previous life of this agent started. It counts as settled: the
    /// decider sees it in the inventory and stops it if it must not run.
    fn found(&mut self, running: Running) {
        let part = Part {
            tasks: running.tasks,
            accelerators: running.accelerators,
            state: State::Running,
            settled: true,
            until: Duration::MAX,
        };
        self.parts.insert((running.job, running.attempt), part);
    }

    fn close(&mut self, now: Duration, id: Id, end: End, out: &mut Vec<Action>) {
        self.remove(&id);
        self.bar(now, &id, end);
        self.ended.insert(id.clone(), end);
        out.push(ended(id, end));
    }

    /// Bars a run and all earlier runs of its job from starting.
    fn bar(&mut self, now: Duration, id: &Id, end: End) {
        let newest = self.closed.entry(id.0.clone()).or_insert((id.1, end));
        if newest.0 <= id.1 {
            *newest = (id.1, end);
        }
        self.closed_order.push_back((now + MEMORY, id.clone()));
    }

    fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        while let Some((until, id)) = self.deadlines.first().cloned()
            && until <= now
        {
            self.deadlines.pop_first();
            match self.parts.get(&id).map(|part| part.state) {
                Some(State::Held) => self.remove(&id),
                Some(State::Launching | State::Running) => {
                    self.set_state(&id, State::Stopping);
                    out.push(Action::Stop {
                        job: id.0,
                        attempt: id.1,
                        checkpoint: false,
                    });
                }
                Some(State::Stopping) | None => {}
            }
        }
        while self
            .closed_order
            .front()
            .is_some_and(|(until, _)| *until <= now)
        {
            let Some((_, (job, attempt))) = self.closed_order.pop_front() else {
                break;
            };
            let known = self.ended.contains_key(&(job.clone(), attempt));
            if !known
                && self
                    .closed
                    .get(&job)
                    .is_some_and(|(last, _)| *last == attempt)
            {
                self.closed.remove(&job);
            }
        }
    }

    fn refusal(&self, id: &Id) -> Option<Reason> {
        if !self.in_service {
            let domain = self.domain.clone();
            return Some(Reason::DomainOut { domain });
        }
        self.closed_reason(id)
    }

    fn closed_reason(&self, id: &Id) -> Option<Reason> {
        let closed = self
            .closed
            .get(&id.0)
            .is_some_and(|(last, _)| id.1 <= *last);
        closed.then_some(Reason::RunEnded)
    }

    fn set_state(&mut self, id: &Id, state: State) {
        if let Some(part) = self.parts.get_mut(id) {
            part.state = state;
        }
    }

    fn set_deadline(&mut self, id: &Id, until: Duration) {
        if let Some(part) = self.parts.get_mut(id) {
            self.deadlines.remove(&(part.until, id.clone()));
            part.until = until;
            self.deadlines.insert((until, id.clone()));
        }
    }

    fn remove(&mut self, id: &Id) {
        if let Some(part) = self.parts.remove(id) {
            self.deadlines.remove(&(part.until, id.clone()));
        }
    }
}

fn deny(id: Id, reason: Reason, out: &mut Vec<Action>) {
    out.push(Action::Denied {
        job: id.0,
        attempt: id.1,
        reason,
    });
}

fn ended(id: Id, end: End) -> Action {
    Action::Ended {
        job: id.0,
        attempt: id.1,
        end,
    }
}
