//! The agent's table of reservations and running parts on one worker.
//!
//! Only the table decides what starts on its worker. It rejects commands with an epoch older than
//! the newest it has received, never starts a run that has ended or was stopped, and stops a part
//! if the decider does not confirm in time that the whole gang runs.
//!
//! ```
//! use godwitstep_core::hold::{Action, Command, CommandHeader, Event, Table};
//! use std::time::Duration;
//!
//! let mut table = Table::new("karratha-shed", 8);
//! let mut actions = Vec::new();
//! let header = CommandHeader { epoch: 4, job: "j".into(), attempt: 1 };
//! let reserve = Command::Reserve { tasks: 2, accelerators: 2 };
//! table.handle(Duration::ZERO, Event::Command(header.clone(), reserve), &mut actions);
//! assert!(matches!(actions[0], Action::Held { .. }));
//! ```

use crate::id::{Accelerators, Attempt, DomainId, Epoch, JobId};
use crate::planner::{End, Running};
use crate::reason::Reason;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

mod message;

pub use message::{Action, Command, CommandHeader, Event};

/// Time after which a reservation expires if it is neither renewed nor committed.
pub const HOLD_TIMEOUT: Duration = Duration::from_secs(5);
/// Time after its commit within which a part must be settled, which confirms that its whole gang
/// runs; otherwise it is stopped.
pub const SETTLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for which the end of a run is stored, to refuse late messages about it. Links are
/// closed after 1.5 s without a message, so messages are never delayed for nearly as long.
pub const ENDED_RUN_RETENTION: Duration = Duration::from_secs(600);

type RunId = (JobId, Attempt);

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
    /// When the hold expires or, once committed and not settled, when the part is stopped.
    deadline: Duration,
}

/// Reservations and running parts of one worker. See the [module](self) page.
#[derive(Debug, Clone)]
pub struct Table {
    domain: DomainId,
    capacity: Accelerators,
    /// Newest epoch received. Never decreases.
    epoch: Epoch,
    in_service: bool,
    /// The accelerators of all parts together never exceed `capacity`.
    parts: BTreeMap<RunId, Part>,
    /// Ended parts whose end the decider has not acknowledged.
    ended: BTreeMap<RunId, End>,
    /// Newest ended run of each job; neither it nor an older run is ever started.
    last_ended: BTreeMap<JobId, (Attempt, End)>,
    /// Times at which ended runs are removed from `last_ended`, oldest first.
    ended_run_expiry: VecDeque<(Duration, RunId)>,
    /// Deadlines of reserved parts and of committed parts that are not settled.
    deadlines: BTreeSet<(Duration, RunId)>,
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
            last_ended: BTreeMap::new(),
            ended_run_expiry: VecDeque::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Handles one event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.expire(now, out);
        match event {
            Event::Command(header, command) => self.command(now, header, &command, out),
            Event::Epoch(epoch) => self.epoch = self.epoch.max(epoch),
            Event::InService(in_service) => self.in_service = in_service,
            Event::Launched { job, attempt } => self.launched((job, attempt), out),
            Event::Ended { job, attempt, end } => self.end(now, (job, attempt), end, out),
            Event::Lapsed => self.lease_lapsed(now, out),
            Event::Found { running } => self.adopt(running),
            Event::Acknowledged { job, attempt } => {
                self.ended.remove(&(job, attempt));
            }
            Event::Tick => {}
        }
    }

    /// Returns the reserved and running parts, for an announcement. Send [`Table::unacknowledged`]
    /// first: the planner treats a part that is in neither list as lost.
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

    /// Returns the ends of parts, which are reported again until the decider acknowledges them.
    #[must_use]
    pub fn unacknowledged(&self) -> Vec<Action> {
        let report = |((job, attempt), end): (&RunId, &End)| Action::Ended {
            job: job.clone(),
            attempt: *attempt,
            end: *end,
        };
        self.ended.iter().map(report).collect()
    }

    /// Returns the newest epoch received.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the accelerators that are neither reserved nor in use.
    #[must_use]
    pub fn free(&self) -> Accelerators {
        let used = self.parts.values().map(|part| part.accelerators).sum();
        self.capacity.saturating_sub(used)
    }

    fn command(
        &mut self,
        now: Duration,
        header: CommandHeader,
        command: &Command,
        out: &mut Vec<Action>,
    ) {
        let id = (header.job, header.attempt);
        if header.epoch < self.epoch {
            let newest = self.epoch;
            return reject(id, Reason::EpochSuperseded { newest }, out);
        }
        self.epoch = header.epoch;
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
        id: RunId,
        tasks: u32,
        accelerators: Accelerators,
        out: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.refusal_reason(&id) {
            return reject(id, reason, out);
        }
        let held = self.parts.get(&id).cloned();
        if held.as_ref().is_some_and(|part| part.state != State::Held) {
            return;
        }
        // A run that was not recorded leaves its number to the next run, and its release may have
        // been lost, so a newer reservation replaces the size of an older one.
        let free = self.free() + held.as_ref().map_or(0, |part| part.accelerators);
        if accelerators > free {
            let needed = accelerators;
            self.remove(&id);
            return reject(id, Reason::WaitingForCapacity { needed, free }, out);
        }
        self.remove(&id);
        let deadline = now + HOLD_TIMEOUT;
        let part = Part {
            tasks,
            accelerators,
            state: State::Held,
            settled: false,
            deadline,
        };
        self.parts.insert(id.clone(), part);
        self.deadlines.insert((deadline, id.clone()));
        out.push(Action::Held {
            job: id.0,
            attempt: id.1,
        });
    }

    /// Starts a held part with the size in the commit, which is the recorded one: a reservation of
    /// an earlier placement can have the same run number and arrive after the recorded one.
    fn commit(
        &mut self,
        now: Duration,
        id: RunId,
        tasks: u32,
        accelerators: Accelerators,
        out: &mut Vec<Action>,
    ) {
        if let Some(end) = self.ended.get(&id) {
            return out.push(ended(id.clone(), *end));
        }
        let Some(part) = self.parts.get(&id) else {
            let reason = self.run_ended_reason(&id).unwrap_or(Reason::HoldExpired);
            return reject(id, reason, out);
        };
        match part.state {
            State::Held if !self.in_service => {
                let domain = self.domain.clone();
                self.remove(&id);
                reject(id, Reason::DomainOut { domain }, out);
            }
            State::Held if accelerators > self.free() + part.accelerators => {
                self.remove(&id);
                reject(id, Reason::HoldExpired, out);
            }
            State::Held => {
                if let Some(part) = self.parts.get_mut(&id) {
                    (part.tasks, part.accelerators) = (tasks, accelerators);
                }
                self.set_state(&id, State::Launching);
                self.set_deadline(&id, now + SETTLE_TIMEOUT);
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

    fn settle(&mut self, id: &RunId) {
        if let Some(part) = self.parts.get_mut(id)
            && part.state == State::Running
        {
            part.settled = true;
            self.deadlines.remove(&(part.deadline, id.clone()));
        }
    }

    /// Releases a hold. A committed part is not affected: a release that arrives after the commit
    /// belongs to an earlier reservation of the same attempt.
    fn release(&mut self, id: &RunId) {
        if self
            .parts
            .get(id)
            .is_some_and(|part| part.state == State::Held)
        {
            self.remove(id);
        }
    }

    fn stop(&mut self, now: Duration, id: RunId, checkpoint: bool, out: &mut Vec<Action>) {
        let Some(part) = self.parts.get(&id) else {
            let known = self
                .last_ended
                .get(&id.0)
                .filter(|(attempt, _)| *attempt == id.1);
            let end = known.map_or(End::NotStarted, |(_, end)| *end);
            self.record_end(now, &id, end);
            return out.push(ended(id, end));
        };
        // The end of a part that never started is not kept until it is acknowledged, because the
        // decider repeats the stop.
        if part.state == State::Held {
            self.remove(&id);
            self.record_end(now, &id, End::NotStarted);
            return out.push(ended(id, End::NotStarted));
        }
        self.deadlines.remove(&(part.deadline, id.clone()));
        self.set_state(&id, State::Stopping);
        out.push(Action::Stop {
            job: id.0,
            attempt: id.1,
            checkpoint,
        });
    }

    fn launched(&mut self, id: RunId, out: &mut Vec<Action>) {
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

    fn end(&mut self, now: Duration, id: RunId, end: End, out: &mut Vec<Action>) {
        if self.parts.contains_key(&id) {
            self.end_part(now, id, end, out);
        }
    }

    fn lease_lapsed(&mut self, now: Duration, out: &mut Vec<Action>) {
        let ids: Vec<RunId> = self.parts.keys().cloned().collect();
        for id in ids {
            if self.parts[&id].state == State::Held {
                self.remove(&id);
            } else {
                self.end_part(now, id, End::Stopped, out);
            }
        }
    }

    /// Adopts a part that a previous incarnation of this agent started. It counts as settled: the
    /// inventory reports it to the decider, which stops it if it must not run.
    fn adopt(&mut self, running: Running) {
        let part = Part {
            tasks: running.tasks,
            accelerators: running.accelerators,
            state: State::Running,
            settled: true,
            deadline: Duration::MAX,
        };
        self.parts.insert((running.job, running.attempt), part);
    }

    fn end_part(&mut self, now: Duration, id: RunId, end: End, out: &mut Vec<Action>) {
        self.remove(&id);
        self.record_end(now, &id, end);
        self.ended.insert(id.clone(), end);
        out.push(ended(id, end));
    }

    /// Records the end of a run, so that neither it nor an earlier run of its job starts.
    fn record_end(&mut self, now: Duration, id: &RunId, end: End) {
        let newest = self.last_ended.entry(id.0.clone()).or_insert((id.1, end));
        if newest.0 <= id.1 {
            *newest = (id.1, end);
        }
        self.ended_run_expiry
            .push_back((now + ENDED_RUN_RETENTION, id.clone()));
    }

    fn expire(&mut self, now: Duration, out: &mut Vec<Action>) {
        while let Some((deadline, id)) = self.deadlines.first().cloned()
            && deadline <= now
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
            .ended_run_expiry
            .front()
            .is_some_and(|(deadline, _)| *deadline <= now)
        {
            let Some((_, (job, attempt))) = self.ended_run_expiry.pop_front() else {
                break;
            };
            let known = self.ended.contains_key(&(job.clone(), attempt));
            if !known
                && self
                    .last_ended
                    .get(&job)
                    .is_some_and(|(last, _)| *last == attempt)
            {
                self.last_ended.remove(&job);
            }
        }
    }

    fn refusal_reason(&self, id: &RunId) -> Option<Reason> {
        if !self.in_service {
            let domain = self.domain.clone();
            return Some(Reason::DomainOut { domain });
        }
        self.run_ended_reason(id)
    }

    fn run_ended_reason(&self, id: &RunId) -> Option<Reason> {
        let has_ended = self
            .last_ended
            .get(&id.0)
            .is_some_and(|(last, _)| id.1 <= *last);
        has_ended.then_some(Reason::RunEnded)
    }

    fn set_state(&mut self, id: &RunId, state: State) {
        if let Some(part) = self.parts.get_mut(id) {
            part.state = state;
        }
    }

    fn set_deadline(&mut self, id: &RunId, deadline: Duration) {
        if let Some(part) = self.parts.get_mut(id) {
            self.deadlines.remove(&(part.deadline, id.clone()));
            part.deadline = deadline;
            self.deadlines.insert((deadline, id.clone()));
        }
    }

    fn remove(&mut self, id: &RunId) {
        if let Some(part) = self.parts.remove(id) {
            self.deadlines.remove(&(part.deadline, id.clone()));
        }
    }
}

fn reject(id: RunId, reason: Reason, out: &mut Vec<Action>) {
    out.push(Action::Denied {
        job: id.0,
        attempt: id.1,
        reason,
    });
}

fn ended(id: RunId, end: End) -> Action {
    Action::Ended {
        job: id.0,
        attempt: id.1,
        end,
    }
}
