//! Jobs and the claim of one region, folded from the stream `jobs-<region>`.

use super::config::differing;
use super::{Change, Outcome};
use crate::id::{Attempt, EntryId, Epoch, Incarnation, JobId, Offset, Version};
use crate::reason::Reason;
use crate::record::{Event, Part};
use crate::resource::{Job, Phase, Status, fault};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Jobs that are kept after their end, newest first.
///
/// The bound is a count, not a time: readers' clocks differ, and all readers must forget a job at
/// the same record. At 6,000 jobs a day in a region a job is kept for about 16 hours. A job takes
/// about 1.2 KB, and an entry may use 32 MB. A name can be submitted again once it is forgotten.
pub const MAX_FINAL_JOBS: usize = 4_000;

/// A job as folded.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Offset of its last change.
    pub version: Version,
    /// What was submitted. Never changes.
    pub spec: Job,
    /// Where it stands. Never leaves a final phase, and the attempt never decreases.
    pub status: Status,
    /// Where the newest attempt was started. Empty unless the job is running.
    pub parts: Vec<Part>,
    /// Whether a caller wants the job to end.
    pub cancelled: bool,
}

/// Right of one process to decide for the region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Offset of the claim record. Grows with each claim that takes effect.
    pub epoch: Epoch,
    /// The process.
    pub holder: EntryId,
    /// Life of the process.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Jobs {
    pub(super) all: BTreeMap<JobId, Arc<JobState>>,
    pub(super) claim: Option<Claim>,
    /// Final jobs by the offset of their end. At most [`MAX_FINAL_JOBS`].
    ended: BTreeSet<(Version, JobId)>,
}

impl Jobs {
    pub(super) fn epoch(&self) -> Epoch {
        self.claim.as_ref().map_or(0, |claim| claim.epoch)
    }

    /// Applies one event of the record at an offset.
    pub(super) fn apply(
        &mut self,
        home: &str,
        offset: Offset,
        event: &Event,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        match event {
            Event::Submit { job, spec } => self.submit(job, spec, offset, changes),
            Event::Cancel { job } => self.cancel(job, offset, changes),
            Event::Start {
                job,
                attempt,
                epoch,
                parts,
                reason,
            } => self.decide(job, *epoch, offset, changes, |state| {
                let next = state.status.attempt.checked_add(1) == Some(*attempt);
                let legal =
                    next && state.status.phase == Phase::Queued && whole(&state.spec, parts);
                legal.then(|| start(state, *attempt, parts, reason))
            }),
            Event::Requeue {
                job,
                attempt,
                epoch,
                reason,
            } => self.decide(job, *epoch, offset, changes, |state| {
                let legal =
                    state.status.attempt == *attempt && state.status.phase == Phase::Running;
                legal.then(|| requeue(state, reason))
            }),
            Event::End {
                job,
                attempt,
                epoch,
                phase,
                reason,
            } => self.decide(job, *epoch, offset, changes, |state| {
                let legal = state.status.attempt == *attempt
                    && phase.is_final()
                    && !state.status.phase.is_final();
                legal.then(|| end(state, *phase, reason.clone()))
            }),
            Event::Claim {
                region,
                holder,
                incarnation,
                replaces,
            } if &**region == home => {
                let claim = Claim {
                    epoch: offset,
                    holder: holder.clone(),
                    incarnation: *incarnation,
                };
                self.replace_claim(claim, *replaces, changes)
            }
            Event::Renew { region, epoch } if &**region == home => {
                if self.claim.is_some() && *epoch == self.epoch() {
                    Outcome::Won(offset)
                } else {
                    Outcome::Conflict(Some(self.epoch()))
                }
            }
            Event::SnapshotPart { .. } => Outcome::Unchanged,
            _ => Outcome::Invalid,
        }
    }

    /// Adds the changes that lead from this state to another.
    pub(super) fn differences(&self, new: &Self, changes: &mut Vec<Change>) {
        if let Some(claim) = &new.claim
            && self.claim != new.claim
        {
            changes.push(Change::Claim(claim.clone()));
        }
        for (name, state) in differing(&self.all, &new.all) {
            let name = name.clone();
            changes.push(Change::Job { name, state });
        }
    }

    fn submit(
        &mut self,
        name: &JobId,
        spec: &Job,
        offset: Offset,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        if !spec.faults().is_empty() || fault::name("name", name).is_some() {
            return Outcome::Invalid;
        }
        match self.all.get(name) {
            Some(state) if state.spec == *spec => Outcome::Unchanged,
            Some(state) => Outcome::Conflict(Some(state.version)),
            None => {
                let status = Status {
                    phase: Phase::Queued,
                    attempt: 0,
                    reason: Reason::Accepted,
                    accepted: offset,
                };
                let state = JobState {
                    version: offset,
                    spec: spec.clone(),
                    status,
                    parts: Vec::new(),
                    cancelled: false,
                };
                self.put(name, state, offset, changes)
            }
        }
    }

    /// Ends a queued job at once. A running one is marked; its decider stops and ends it.
    fn cancel(&mut self, name: &JobId, offset: Offset, changes: &mut Vec<Change>) -> Outcome {
        let Some(current) = self.all.get(name) else {
            return Outcome::Conflict(None);
        };
        if current.status.phase.is_final() || current.cancelled {
            return Outcome::Unchanged;
        }
        let mut state = JobState::clone(current);
        state.cancelled = true;
        if state.status.phase == Phase::Queued {
            end(&mut state, Phase::Cancelled, Reason::Cancelled);
        }
        self.put(name, state, offset, changes)
    }

    /// Applies a decider's change, if it is the current decider's and legal for the job.
    fn decide(
        &mut self,
        name: &JobId,
        epoch: Epoch,
        offset: Offset,
        changes: &mut Vec<Change>,
        change: impl FnOnce(&mut JobState) -> Option<()>,
    ) -> Outcome {
        let Some(current) = self.all.get(name) else {
            return Outcome::Conflict(None);
        };
        let refused = Outcome::Conflict(Some(current.version));
        if self.claim.is_none() || epoch != self.epoch() {
            return refused;
        }
        let mut state = JobState::clone(current);
        match change(&mut state) {
            Some(()) => self.put(name, state, offset, changes),
            None => refused,
        }
    }

    fn put(
        &mut self,
        name: &JobId,
        mut state: JobState,
        offset: Offset,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        state.version = offset;
        let ended = state.status.phase.is_final();
        let state = Arc::new(state);
        self.all.insert(name.clone(), state.clone());
        changes.push(Change::Job {
            name: name.clone(),
            state: Some(state),
        });
        if ended {
            self.ended.insert((offset, name.clone()));
            self.forget(changes);
        }
        Outcome::Won(offset)
    }

    /// Drops the jobs that ended first.
    fn forget(&mut self, changes: &mut Vec<Change>) {
        while self.ended.len() > MAX_FINAL_JOBS {
            if let Some((_, name)) = self.ended.pop_first() {
                self.all.remove(&name);
                changes.push(Change::Job { name, state: None });
            }
        }
    }

    /// Offset 0 can't be an epoch, because 0 stands for the absence of a claim.
    fn replace_claim(
        &mut self,
        claim: Claim,
        replaces: Epoch,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        if replaces != self.epoch() || claim.epoch == 0 {
            return Outcome::Conflict(Some(self.epoch()));
        }
        let epoch = claim.epoch;
        changes.push(Change::Claim(claim.clone()));
        self.claim = Some(claim);
        Outcome::Won(epoch)
    }
}

/// Reports whether parts are exactly the gang of a job, with each worker at most once. A start of
/// less than the whole gang must not be recorded (R2).
fn whole(spec: &Job, parts: &[Part]) -> bool {
    let workers: BTreeSet<_> = parts.iter().map(|part| &part.worker).collect();
    let sized = |part: &Part| {
        part.tasks > 0 && part.tasks.checked_mul(spec.shape.accelerators) == Some(part.accelerators)
    };
    let tasks: u64 = parts.iter().map(|part| u64::from(part.tasks)).sum();
    workers.len() == parts.len() && parts.iter().all(sized) && tasks == u64::from(spec.shape.tasks)
}

fn start(state: &mut JobState, attempt: Attempt, parts: &[Part], reason: &Reason) {
    state.status.phase = Phase::Running;
    state.status.attempt = attempt;
    state.status.reason = reason.clone();
    state.parts = parts.to_vec();
}

/// Puts a job back into the queue, or ends it if a caller has cancelled it meanwhile.
fn requeue(state: &mut JobState, reason: &Reason) {
    if state.cancelled {
        end(state, Phase::Cancelled, Reason::Cancelled);
        return;
    }
    state.status.phase = Phase::Queued;
    state.status.reason = reason.clone();
    state.parts.clear();
}

fn end(state: &mut JobState, phase: Phase, reason: Reason) {
    state.status.phase = phase;
    state.status.reason = reason;
    state.parts.clear();
}
