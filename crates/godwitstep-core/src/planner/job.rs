//! A job that is not final, and its run.

use super::event::End;
use super::queue::{Key, Lane};
use crate::fleet::{Charge, Slot};
use crate::id::{Accelerators, Attempt, JobId};
use crate::reason::Reason;
use crate::resource::{Job, Phase};
use std::time::Duration;

/// What the planner knows of a part.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Status {
    /// Promised, or its reservation was sent.
    Asked,
    /// The agent holds the accelerators.
    Held,
    /// The commit was sent.
    Committed,
    /// It runs.
    Started,
    /// It was recorded before this planner took over, and its worker has not told about it yet.
    Unheard,
    /// It is over; `None` if its worker was lost.
    Over(Option<End>),
}

impl Status {
    pub(super) const fn is_over(self) -> bool {
        matches!(self, Self::Over(_))
    }
}

/// The part of a gang on one worker.
#[derive(Debug, Clone)]
pub(super) struct Part {
    pub slot: Slot,
    pub tasks: u32,
    pub accelerators: Accelerators,
    pub status: Status,
    /// Whether the agent is known to have been told that the whole gang runs.
    pub settled: bool,
    /// Whether its worker announced itself without the part. A new agent does not know what an
    /// earlier one started, so its word that the part never started is not taken then.
    pub doubted: bool,
}

/// Where a run stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// Accelerators are promised and become free when others end. `start` is when that is
    /// expected; `claim` tells a guaranteed claim from a mere reservation.
    Pledged { claim: bool, start: Duration },
    /// Reservations were sent.
    Reserving,
    /// All parts are held and the `Start` is being appended.
    Recording,
    /// Commits were sent.
    Starting,
    /// All parts have started.
    Running,
    /// Parts are being stopped.
    Stopping { checkpoint: bool },
    /// Recorded before this planner took over; its workers have not all told about it.
    Adopting,
}

/// What becomes of a run that is being withdrawn or stopped.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Fate {
    /// The job waits again.
    Requeue(Reason),
    /// The job is over.
    End(Phase, Reason),
}

/// One run of a job, from the choice of its place to the end of its last part.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub attempt: Attempt,
    /// Ordered by the workers' names.
    pub parts: Vec<Part>,
    pub charge: Charge,
    pub borrowed: bool,
    pub stage: Stage,
    /// When the stage was entered.
    pub since: Duration,
    /// When the first commit was sent, if one was.
    pub committed: Option<Duration>,
    /// Whether a previous planner started it, so that its run time is not known.
    pub adopted: bool,
    /// Whether the `Start` is known to be recorded.
    pub recorded: bool,
    pub fate: Option<Fate>,
    /// The holder of the reservation in whose shadow this run was placed.
    pub shadow: Option<u32>,
}

impl Run {
    pub(super) fn part_mut(&mut self, slot: Slot) -> Option<&mut Part> {
        self.parts.iter_mut().find(|part| part.slot == slot)
    }

    pub(super) fn all(&self, test: impl Fn(Status) -> bool) -> bool {
        self.parts.iter().all(|part| test(part.status))
    }

    /// Reports whether the run may have completed: no part is known not to have, and the end of some
    /// is lost.
    pub(super) fn may_have_completed(&self) -> bool {
        self.committed.is_some()
            && self.all(|status| matches!(status, Status::Over(Some(End::Done) | None)))
    }

    /// Reports whether no part has started. Agents say so when they refuse a commit or are told
    /// to stop what never started.
    pub(super) fn never_started(&self) -> bool {
        self.committed.is_none() || self.all(|status| status == Status::Over(Some(End::NotStarted)))
    }
}

/// A job that is not final.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub name: JobId,
    pub spec: Job,
    /// Starts recorded so far. Grows by one with each recorded start.
    pub attempt: Attempt,
    pub reason: Reason,
    pub key: Key,
    pub lane: Lane,
    /// Whether it is in the queue.
    pub queued: bool,
    pub run: Option<Run>,
    /// Workers on which it failed, and all failed runs.
    pub failed_on: Vec<Slot>,
    pub failures: u32,
    /// Worker that refused its last reservation.
    pub avoid: Option<Slot>,
    pub wake: Option<Duration>,
    /// Before this time no place for a reservation is looked for, because there was none.
    pub search_after: Duration,
}

impl Entry {
    /// Reports whether the job can be started again after a run was cut off.
    pub(super) const fn repeatable(&self) -> bool {
        self.spec.idempotent || self.spec.checkpointable
    }
}

/// Reports whether a job gives way on request. One that could not be started again afterwards
/// does not, whatever it declares: stopping it would lose it.
pub(super) const fn soft(spec: &Job) -> bool {
    spec.preemptible && (spec.idempotent || spec.checkpointable)
}
