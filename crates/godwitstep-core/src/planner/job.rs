//! State of a job that has not ended, and of its run.

use super::event::End;
use super::queue::{Key, Lane};
use crate::fleet::{Charge, Slot};
use crate::id::{Accelerators, Attempt, JobId};
use crate::reason::Reason;
use crate::resource::{Job, Phase};
use std::time::Duration;

/// State of a part, as last reported to the planner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Status {
    /// Earmarked, or its reservation was sent.
    Requested,
    /// The agent holds the accelerators.
    Held,
    /// The commit was sent.
    Committed,
    /// The agent reported that it runs.
    Started,
    /// Recorded before this planner took over, and not yet confirmed by its worker.
    Unconfirmed,
    /// No longer runs; `None` if its worker was lost or its report was ignored.
    Ended(Option<End>),
}

impl Status {
    pub(super) const fn is_ended(self) -> bool {
        matches!(self, Self::Ended(_))
    }
}

/// The tasks of a gang that run on one worker.
#[derive(Debug, Clone)]
pub(super) struct Part {
    pub slot: Slot,
    pub tasks: u32,
    pub accelerators: Accelerators,
    pub status: Status,
    /// Whether the agent is known to have received the settle, which confirms that the whole gang
    /// runs.
    pub settled: bool,
    /// Whether its worker announced itself without the part. A restarted agent has no record of
    /// what its predecessor started, so its report that the part never started is ignored then.
    pub missing_from_inventory: bool,
}

/// Stage of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Stage {
    /// Accelerators are earmarked and become free when other jobs end, which is expected at
    /// `start`. `claim` distinguishes a claim on a guarantee, which preempts borrowers, from a
    /// reservation.
    Earmarked { claim: bool, start: Duration },
    /// Reservations were sent.
    Reserving,
    /// All parts are held and the `Start` record is being appended.
    Recording,
    /// Commits were sent.
    Starting,
    /// All parts have started.
    Running,
    /// Parts are being stopped.
    Stopping { checkpoint: bool },
    /// Recorded before this planner took over; not all its workers have announced their parts.
    Adopting,
}

/// What happens to the job once its run has been withdrawn or stopped.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Resolution {
    /// The job returns to the queue.
    Requeue(Reason),
    /// The job ends.
    End(Phase, Reason),
}

/// One run of a job, from its placement to the end of its last part.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub attempt: Attempt,
    /// Sorted by worker name.
    pub parts: Vec<Part>,
    pub charge: Charge,
    pub borrowed: bool,
    pub stage: Stage,
    /// When the stage was entered.
    pub since: Duration,
    /// When the first commit was sent, if one was.
    pub committed_at: Option<Duration>,
    /// Whether a previous planner started it, so that its run time is unknown.
    pub adopted: bool,
    /// Whether the `Start` is known to be recorded.
    pub recorded: bool,
    pub resolution: Option<Resolution>,
    /// Holder of the reservation whose accelerators this run backfills.
    pub backfilled_for: Option<u32>,
}

impl Run {
    pub(super) fn part_mut(&mut self, slot: Slot) -> Option<&mut Part> {
        self.parts.iter_mut().find(|part| part.slot == slot)
    }

    /// Reports whether the status of every part passes a test.
    pub(super) fn all_parts(&self, test: impl Fn(Status) -> bool) -> bool {
        self.parts.iter().all(|part| test(part.status))
    }

    /// Reports whether the run may have completed: each part either completed or ended with an
    /// unknown outcome.
    pub(super) fn may_have_completed(&self) -> bool {
        self.committed_at.is_some()
            && self.all_parts(|status| matches!(status, Status::Ended(Some(End::Done) | None)))
    }

    /// Reports whether no part has started. Agents report this when they refuse a commit or receive
    /// a stop for a part that never started.
    pub(super) fn never_started(&self) -> bool {
        self.committed_at.is_none()
            || self.all_parts(|status| status == Status::Ended(Some(End::NotStarted)))
    }
}

/// A job that has not ended.
#[derive(Debug, Clone)]
pub(super) struct ActiveJob {
    pub name: JobId,
    pub spec: Job,
    /// Number of recorded starts. Grows by one with each of them.
    pub attempt: Attempt,
    pub reason: Reason,
    pub key: Key,
    pub lane: Lane,
    /// Whether the job is in the queue.
    pub queued: bool,
    pub run: Option<Run>,
    /// Workers on which the job failed; `failures` counts all failed runs.
    pub failed_on: Vec<Slot>,
    pub failures: u32,
    /// Worker that refused the job's last reservation.
    pub avoid: Option<Slot>,
    pub timer_at: Option<Duration>,
    /// Earliest time of the next search for a reservation, after one that found no workers.
    pub search_after: Duration,
}

impl ActiveJob {
    /// Reports whether the job can be restarted after a run was interrupted.
    pub(super) const fn repeatable(&self) -> bool {
        self.spec.idempotent || self.spec.checkpointable
    }
}

/// Reports whether a job can be preempted: it must be declared preemptible, and it must be
/// restartable, because otherwise its work would be lost.
pub(super) const fn preemptible(spec: &Job) -> bool {
    spec.preemptible && (spec.idempotent || spec.checkpointable)
}
