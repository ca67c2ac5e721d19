//! Jobs and the claim of one region, folded from the stream `jobs-<region>`.

use super::config::changed_entries;
use super::{Change, Outcome};
use crate::id::{Attempt, EntryId, Epoch, Incarnation, JobId, Offset, Version};
use crate::reason::Reason;
use crate::record::{Event, Part};
use crate::resource::{Job, Phase, Status, fault};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of final jobs that are retained; the jobs that ended first are evicted first.
///
/// The bound is a count rather than a time because readers' clocks differ, and all readers must
/// evict a job at the same record. At 6,000 jobs a day in a region, a job is retained for about 16
/// hours. A job takes about 1.2 KB, and an entry may use 32 MB. After the eviction of a job its
/// name can be submitted again.
pub const MAX_FINAL_JOBS: usize = 4_000;

/// State of a job after all folded records.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobState {
    /// Offset of its last change.
    pub version: Version,
    /// The submitted spec. Never changes.
    pub spec: Job,
    /// Current status. A final phase never changes, and the attempt never decreases.
    pub status: Status,
    /// Parts of the latest attempt. Empty unless the job is running.
    pub parts: Vec<Part>,
    /// Whether a caller has requested cancellation.
    pub cancelled: bool,
}

/// Exclusive right of one process to make the scheduling decisions of the region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Offset of the claim record. Grows with each claim that takes effect.
    pub epoch: Epoch,
    /// Entry process that holds the claim.
    pub holder: EntryId,
    /// Incarnation of the holder.
    pub incarnation: Incarnation,
}

#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct Jobs {
    /// All jobs, including the final ones that are retained.
    #[serde(rename = "all")]
    pub(super) by_name: BTreeMap<JobId, Arc<JobState>>,
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
        own_region: &str,
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
            } => self.apply_decision(job, *epoch, offset, changes, |state| {
                let is_next = state.status.attempt.checked_add(1) == Some(*attempt);
                let allowed = is_next
                    && state.status.phase == Phase::Queued
                    && is_whole_gang(&state.spec, parts);
                allowed.then(|| start(state, *attempt, parts, reason))
            }),
            Event::Requeue {
                job,
                attempt,
                epoch,
                reason,
            } => self.apply_decision(job, *epoch, offset, changes, |state| {
                let allowed =
                    state.status.attempt == *attempt && state.status.phase == Phase::Running;
                allowed.then(|| requeue(state, reason))
            }),
            Event::End {
                job,
                attempt,
                epoch,
                phase,
                reason,
            } => self.apply_decision(job, *epoch, offset, changes, |state| {
                let allowed = state.status.attempt == *attempt
                    && phase.is_final()
                    && !state.status.phase.is_final();
                allowed.then(|| end(state, *phase, reason.clone()))
            }),
            Event::Claim {
                region,
                holder,
                incarnation,
                replaces,
            } if &**region == own_region => {
                let claim = Claim {
                    epoch: offset,
                    holder: holder.clone(),
                    incarnation: *incarnation,
                };
                self.replace_claim(claim, *replaces, changes)
            }
            Event::Renew { region, epoch } if &**region == own_region => {
                if self.claim.is_some() && *epoch == self.epoch() {
                    Outcome::Applied(offset)
                } else {
                    Outcome::Conflict(Some(self.epoch()))
                }
            }
            Event::SnapshotPart { .. } => Outcome::Unchanged,
            _ => Outcome::Invalid,
        }
    }

    /// Appends the changes that turn this state into `new`.
    pub(super) fn differences(&self, new: &Self, changes: &mut Vec<Change>) {
        if let Some(claim) = &new.claim
            && self.claim != new.claim
        {
            changes.push(Change::Claim(claim.clone()));
        }
        for (name, state) in changed_entries(&self.by_name, &new.by_name) {
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
        if !spec.faults().is_empty() || fault::check_name("name", name).is_some() {
            return Outcome::Invalid;
        }
        match self.by_name.get(name) {
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
                self.store_job(name, state, offset, changes)
            }
        }
    }

    /// Ends a queued job immediately. A running job is only marked; the decider stops and ends it.
    fn cancel(&mut self, name: &JobId, offset: Offset, changes: &mut Vec<Change>) -> Outcome {
        let Some(current) = self.by_name.get(name) else {
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
        self.store_job(name, state, offset, changes)
    }

    /// Applies a decider's change if its epoch is current and the change is allowed for the job.
    fn apply_decision(
        &mut self,
        name: &JobId,
        epoch: Epoch,
        offset: Offset,
        changes: &mut Vec<Change>,
        change: impl FnOnce(&mut JobState) -> Option<()>,
    ) -> Outcome {
        let Some(current) = self.by_name.get(name) else {
            return Outcome::Conflict(None);
        };
        let conflict = Outcome::Conflict(Some(current.version));
        if self.claim.is_none() || epoch != self.epoch() {
            return conflict;
        }
        let mut state = JobState::clone(current);
        match change(&mut state) {
            Some(()) => self.store_job(name, state, offset, changes),
            None => conflict,
        }
    }

    fn store_job(
        &mut self,
        name: &JobId,
        mut state: JobState,
        offset: Offset,
        changes: &mut Vec<Change>,
    ) -> Outcome {
        state.version = offset;
        let is_final = state.status.phase.is_final();
        let state = Arc::new(state);
        self.by_name.insert(name.clone(), state.clone());
        changes.push(Change::Job {
            name: name.clone(),
            state: Some(state),
        });
        if is_final {
            self.ended.insert((offset, name.clone()));
            self.evict_final_jobs(changes);
        }
        Outcome::Applied(offset)
    }

    /// Evicts the jobs that ended first until at most [`MAX_FINAL_JOBS`] remain.
    fn evict_final_jobs(&mut self, changes: &mut Vec<Change>) {
        while self.ended.len() > MAX_FINAL_JOBS {
            if let Some((_, name)) = self.ended.pop_first() {
                self.by_name.remove(&name);
                changes.push(Change::Job { name, state: None });
            }
        }
    }

    /// Replaces the claim. Rejects offset 0, because epoch 0 stands for the absence of a claim.
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
        Outcome::Applied(epoch)
    }
}

/// Returns whether the parts form exactly the gang of a job, with each worker at most once. The
/// start of a partial gang must not be recorded.
fn is_whole_gang(spec: &Job, parts: &[Part]) -> bool {
    let workers: BTreeSet<_> = parts.iter().map(|part| &part.worker).collect();
    let has_valid_size = |part: &Part| {
        part.tasks > 0 && part.tasks.checked_mul(spec.shape.accelerators) == Some(part.accelerators)
    };
    let tasks: u64 = parts.iter().map(|part| u64::from(part.tasks)).sum();
    workers.len() == parts.len()
        && parts.iter().all(has_valid_size)
        && tasks == u64::from(spec.shape.tasks)
}

fn start(state: &mut JobState, attempt: Attempt, parts: &[Part], reason: &Reason) {
    state.status.phase = Phase::Running;
    state.status.attempt = attempt;
    state.status.reason = reason.clone();
    state.parts = parts.to_vec();
}

/// Returns a job to the queue, or ends it if a caller has cancelled it in the meantime.
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
