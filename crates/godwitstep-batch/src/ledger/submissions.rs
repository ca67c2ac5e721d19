//! Which submission of an identifier counts, and which cancellations apply to it.
//!
//! A cancel of an unknown job is stored and answered 'no such job', because a submission may be on its way to the log. It
//! must bar that one, and not a submission that an entry receives later. Each submission therefore names the offset up to
//! which its entry had read the log; cancellations from there on apply to it, wherever its own record is stored.
//! See `docs/design/identifiers-after-cancellation.md`.

use super::{JobState, Ledger, Status};
use crate::id::{JobId, Offset};
use crate::job::Job;
use crate::progress::{Outcome, Progress};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

/// What the ledger says about a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// No job has the identifier, or a cancellation that the submission knows ended one before anything of it was placed.
    New,
    /// A job with the identifier was accepted, and no cancellation applies to it.
    Accepted,
    /// A job with the identifier was accepted and cancelled afterwards, or something of it was placed before.
    CancelledLater,
    /// A cancellation applies that was stored before the job, which never runs.
    Barred,
}

/// A submission of an identifier that has a job already.
#[derive(Debug)]
pub(super) struct Resubmission {
    offset: Offset,
    job: Job,
}

impl Ledger {
    pub(super) fn apply_submission(&mut self, offset: Offset, mut job: Job) {
        let id = job.id;
        // No entry has read beyond its own record.
        job.known = job.known.min(offset);
        let Some(job_state) = self.jobs.get_mut(&id) else {
            let (progress, _) = self.unsubmitted.remove(&id).unwrap_or_default();
            let decided = progress.is_some();
            let progress = progress.filter(|progress| progress.matches(&job.steps));
            let job_state = JobState {
                progress: progress.unwrap_or_else(|| Progress::new(&job.steps)),
                job: Arc::new(job),
                submitted: offset,
                decided,
                cancelled: false,
            };
            self.jobs.insert(id, job_state);
            self.apply_cancellation(id);
            return;
        };
        match job.known.cmp(&job_state.job.known) {
            Ordering::Greater => {
                let known = self.resubmitted.get(&id).map(|next| next.job.known);
                if known.is_none_or(|known| job.known >= known) {
                    self.resubmitted.insert(id, Resubmission { offset, job });
                }
                self.apply_cancellation(id);
            }
            Ordering::Equal => {
                job_state.submitted = job_state.submitted.max(offset);
                self.overwritten.remove(&id);
            }
            Ordering::Less => {
                let barred = self.cancelled_at(id) >= Some(job.known);
                let newer = self
                    .jobs
                    .get(&id)
                    .is_some_and(|job_state| offset > job_state.submitted);
                if barred && newer {
                    self.overwritten.insert(id);
                }
            }
        }
    }

    /// Applies the newest cancellation of a job to its submissions. The result depends only on the records that were
    /// applied, in any order: the job is cancelled unless one of its submissions knew the newest cancellation.
    pub(super) fn apply_cancellation(&mut self, id: JobId) {
        let cancelled_at = self.cancelled_at(id);
        let Some(job_state) = self.jobs.get_mut(&id) else {
            if cancelled_at.is_some() {
                self.unsubmitted.entry(id).or_default().1 = true;
            }
            return;
        };
        let applies = |known: Offset| cancelled_at.is_some_and(|offset| offset >= known);
        job_state.cancelled = applies(job_state.job.known);
        if job_state.cancelled
            && let Some(next) = take_if(&mut self.resubmitted, id, |next| !applies(next.job.known))
        {
            if !job_state.progress.matches(&next.job.steps) {
                job_state.progress = Progress::new(&next.job.steps);
            }
            job_state.job = Arc::new(next.job);
            job_state.submitted = next.offset;
            job_state.cancelled = false;
            self.overwritten.remove(&id);
        }
        self.update_open(id);
    }

    /// Returns the offset of the newest cancellation of a job.
    fn cancelled_at(&self, job: JobId) -> Option<Offset> {
        self.offsets.get(&job).and_then(|offsets| offsets.cancelled)
    }

    /// Returns what is known of a submission that an entry receives after it has read the log up to `known`.
    #[must_use]
    pub fn standing(&self, job: JobId, known: Offset) -> Standing {
        let Some(job_state) = self.jobs.get(&job) else {
            return Standing::New;
        };
        if job_state.status() != Status::Ended(Outcome::Cancelled) {
            return Standing::Accepted;
        }
        let cancelled_at = self.cancelled_at(job);
        if job_state.decided
            || cancelled_at >= Some(job_state.submitted) && cancelled_at >= Some(known)
        {
            Standing::CancelledLater
        } else if cancelled_at < Some(known) {
            Standing::New
        } else {
            Standing::Barred
        }
    }

    /// Returns whether a submission that is stored at an offset never runs: a cancellation before it applies to it, or the
    /// decider removed the identifier right after it. Requires that all records up to it were applied. A submission whose
    /// append is repeated after a part of it was placed and the job was cancelled has been accepted.
    #[must_use]
    pub fn is_barred(&self, job: JobId, stored_at: Offset) -> bool {
        let Some(job_state) = self.jobs.get(&job) else {
            return true;
        };
        let cancelled_before = self.cancelled_at(job) < Some(stored_at);
        job_state.cancelled && !job_state.decided && cancelled_before
    }

    /// Returns whether a cancellation of a job at an offset from `from` on was applied, or none is needed any more.
    #[must_use]
    pub fn is_cancelled_since(&self, job: JobId, from: Offset) -> bool {
        self.has_outcome(job) || self.cancelled_at(job) >= Some(from)
    }

    /// Returns whether the decider has recorded the end of a job.
    #[must_use]
    pub fn has_outcome(&self, job: JobId) -> bool {
        self.job(job)
            .is_some_and(|job_state| job_state.progress.outcome.is_some())
    }

    /// Returns the open jobs whose record the decider has to store again, because the newest one is that of an earlier
    /// submission: readers of the newest record of each key would take the job for cancelled.
    pub fn overwritten(&self) -> impl Iterator<Item = &Arc<Job>> {
        let jobs = self.overwritten.iter().filter_map(|id| self.jobs.get(id));
        jobs.filter(|job_state| !job_state.settled())
            .map(|job_state| &job_state.job)
    }
}

/// Removes and returns the later submission of a job if a condition holds for it.
fn take_if(
    resubmitted: &mut HashMap<JobId, Resubmission>,
    id: JobId,
    condition: impl Fn(&Resubmission) -> bool,
) -> Option<Resubmission> {
    let holds = resubmitted.get(&id).is_some_and(condition);
    holds.then(|| resubmitted.remove(&id)).flatten()
}
