//! State of all jobs, which every entry derives from the log by applying its records.
//!
//! ```
//! use godwitstep_batch::{job::{Job, Step}, ledger::{Ledger, Status}, policy, record::Record};
//!
//! let job = Job {
//!     id: 7,
//!     workspace: None,
//!     queue: policy::Queue::default(),
//!     spec: "".into(),
//!     steps: vec![Step::default()],
//!     accepted: 0,
//! };
//! let mut ledger = Ledger::default();
//! ledger.apply(0, Record::Submitted(job));
//! assert_eq!(ledger.status(7), Some(Status::Queued));
//! ```

use crate::backlog::Usage;
use crate::expectation::Snapshot;
use crate::id::{Epoch, Host, JobId, Offset};
use crate::job::Job;
use crate::progress::{Outcome, Progress};
use crate::record::{
    Announcement, Claim, EXPECTATIONS_KEY, Record, announcement_key, cancelled_key, progress_key,
    submitted_key,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// Status of a job as reported to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No task has begun yet.
    Queued,
    /// At least one task has begun.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// A job, its progress and whether it is cancelled.
#[derive(Debug, Clone)]
pub struct JobState {
    /// The job as first submitted; later submissions with the same identifier are ignored.
    pub job: Arc<Job>,
    /// State of the job according to the decider's newest record; [matches](Progress::matches) the job's steps.
    pub progress: Progress,
    /// Whether the caller has cancelled the job.
    pub cancelled: bool,
}

impl JobState {
    /// Returns the status as reported to callers.
    #[must_use]
    pub fn status(&self) -> Status {
        match self.progress.outcome {
            Some(outcome) => Status::Ended(outcome),
            None if self.cancelled => Status::Ended(Outcome::Cancelled),
            None if self.progress.has_begun() => Status::Running,
            None => Status::Queued,
        }
    }

    /// Returns whether tasks of the job may be started.
    #[must_use]
    pub const fn active(&self) -> bool {
        !self.cancelled && self.progress.outcome.is_none()
    }

    /// Returns whether the job has ended and none of its tasks is placed any more.
    #[must_use]
    pub const fn settled(&self) -> bool {
        self.progress.outcome.is_some() && self.progress.steps.is_empty()
    }
}

/// Offsets of the newest applied records of a job, by kind; `None` if there is none.
#[derive(Debug, Default)]
struct Offsets {
    submitted: Option<Offset>,
    cancelled: Option<Offset>,
    /// Older records of the job's state are ignored.
    progress: Option<Offset>,
}

impl Offsets {
    const fn is_empty(&self) -> bool {
        self.submitted.is_none() && self.cancelled.is_none() && self.progress.is_none()
    }
}

/// Jobs, claims and entries, materialized from the log.
#[derive(Debug, Default)]
pub struct Ledger {
    jobs: HashMap<JobId, JobState>,
    /// Index of the jobs that are not settled.
    open: BTreeSet<JobId>,
    /// Memory that the jobs take; updated with `open`.
    usage: Usage,
    /// State and cancellations of jobs whose submission has not been read yet: pages of newest records are ordered by key
    /// instead of by offset, and a caller may cancel a job whose submission is not stored yet.
    unsubmitted: HashMap<JobId, (Option<Progress>, bool)>,
    /// Offsets of the newest applied records of each job.
    offsets: HashMap<JobId, Offsets>,
    /// Newest claim of the decider role and its offset.
    claim: Option<(Offset, Claim)>,
    /// Newest announcement of each entry process and its offset.
    entries: BTreeMap<Host, (Offset, Announcement)>,
    /// Newest record of what deciders have learned and its offset; at most 32 KiB when encoded.
    expectations: Option<(Offset, Snapshot)>,
}

impl Ledger {
    /// Applies a record. Records may be applied repeatedly, and out of order where pages of newest records and
    /// the tail overlap.
    pub fn apply(&mut self, offset: Offset, record: Record) {
        match record {
            Record::Submitted(job) => {
                advance(
                    &mut self.offsets.entry(job.id).or_default().submitted,
                    offset,
                );
                self.apply_submission(job);
            }
            Record::Cancelled { job } => {
                advance(&mut self.offsets.entry(job).or_default().cancelled, offset);
                self.apply_cancellation(job);
            }
            Record::Progressed { job, progress } => {
                if self.accepts_progress(job, &progress)
                    && advance(&mut self.offsets.entry(job).or_default().progress, offset)
                {
                    self.apply_progress(job, progress);
                }
            }
            Record::Dropped { job } => {
                if advance(&mut self.offsets.entry(job).or_default().progress, offset) {
                    self.remove(job);
                }
            }
            Record::Claimed(claim) => {
                // The log stores no claim below the highest epoch for the decider.
                if self
                    .claim
                    .as_ref()
                    .is_none_or(|(newest, known)| offset >= *newest && claim.epoch >= known.epoch)
                {
                    self.claim = Some((offset, claim));
                }
            }
            Record::Announced(announcement) => {
                let known = self.entries.get(&announcement.host);
                if known.is_none_or(|(newest, _)| offset >= *newest) {
                    let host = announcement.host.clone();
                    self.entries.insert(host, (offset, announcement));
                }
            }
            Record::Withdrawn { host } => {
                let known = self.entries.get(&host);
                if known.is_some_and(|(newest, _)| offset >= *newest) {
                    self.entries.remove(&host);
                }
            }
            Record::Expectations(snapshot) => {
                let known = self.expectations.as_ref();
                if known.is_none_or(|(newest, _)| offset >= *newest)
                    && !self.knows_later_expectations(offset, snapshot.epoch)
                {
                    self.expectations = Some((offset, snapshot));
                }
            }
            // Part of a record that is applied as a whole.
            Record::Fragment(_) => {}
        }
    }

    /// Completes a reload, in which the newest record of each key was applied: removes what the log has deleted
    /// since it was read.
    ///
    /// `listed` holds the keys of all reloaded records, and `end` is the offset after the last record when the reload
    /// began. A record from `end` on may be missing from the reload; the tail that follows contains it or its deletion.
    /// The claim is kept, because it is never deleted.
    pub fn finish_reload(&mut self, listed: &BTreeSet<String>, end: Offset) {
        let deleted = |key: String, offset: Option<Offset>| {
            offset.is_some_and(|offset| offset < end) && !listed.contains(&key)
        };
        let mut dropped = Vec::new();
        for (id, offsets) in &mut self.offsets {
            if deleted(submitted_key(*id), offsets.submitted) {
                dropped.push(*id);
                continue;
            }
            if deleted(cancelled_key(*id), offsets.cancelled) {
                offsets.cancelled = None;
                if let Some(job_state) = self.jobs.get_mut(id) {
                    job_state.cancelled = false;
                }
                if let Some((_, cancelled)) = self.unsubmitted.get_mut(id) {
                    *cancelled = false;
                }
            }
            if deleted(progress_key(*id), offsets.progress) {
                offsets.progress = None;
                if let Some(job_state) = self.jobs.get_mut(id) {
                    job_state.progress = Progress::new(&job_state.job.steps);
                }
                if let Some((progress, _)) = self.unsubmitted.get_mut(id) {
                    *progress = None;
                }
            }
        }
        self.unsubmitted
            .retain(|_, (progress, cancelled)| progress.is_some() || *cancelled);
        self.offsets.retain(|_, offsets| !offsets.is_empty());
        for job in dropped {
            self.remove(job);
        }
        let jobs: Vec<JobId> = self.jobs.keys().copied().collect();
        for job in jobs {
            self.update_open(job);
        }
        self.entries
            .retain(|host, (offset, _)| !deleted(announcement_key(host), Some(*offset)));
        let learned_at = self.expectations.as_ref().map(|(offset, _)| *offset);
        if deleted(EXPECTATIONS_KEY.to_owned(), learned_at) {
            self.expectations = None;
        }
    }

    fn apply_submission(&mut self, job: Job) {
        let id = job.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let (progress, cancelled) = self.unsubmitted.remove(&id).unwrap_or_default();
        let progress = progress.filter(|progress| progress.matches(&job.steps));
        let job_state = JobState {
            progress: progress.unwrap_or_else(|| Progress::new(&job.steps)),
            job: Arc::new(job),
            cancelled,
        };
        self.jobs.insert(id, job_state);
        self.update_open(id);
    }

    fn apply_cancellation(&mut self, job: JobId) {
        match self.jobs.get_mut(&job) {
            Some(job_state) => job_state.cancelled = true,
            None => self.unsubmitted.entry(job).or_default().1 = true,
        }
    }

    /// Returns whether a state can be that of a job. Unknown jobs are checked when their submission is read.
    fn accepts_progress(&self, job: JobId, progress: &Progress) -> bool {
        self.jobs
            .get(&job)
            .is_none_or(|job_state| progress.matches(&job_state.job.steps))
    }

    fn apply_progress(&mut self, job: JobId, progress: Progress) {
        match self.jobs.get_mut(&job) {
            Some(job_state) => job_state.progress = progress,
            None => self.unsubmitted.entry(job).or_default().0 = Some(progress),
        }
        self.update_open(job);
    }

    fn remove(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.unsubmitted.remove(&job);
        self.open.remove(&job);
        self.usage.remove(job);
        self.offsets.remove(&job);
    }

    /// Updates a job in the index of open jobs, and its memory.
    fn update_open(&mut self, job: JobId) {
        let job_state = self.jobs.get(&job);
        if let Some(job_state) = job_state {
            self.usage.update(job, job_state);
        }
        let open = job_state.is_some_and(|job_state| !job_state.settled());
        if open {
            self.open.insert(job);
        } else {
            self.open.remove(&job);
        }
    }

    /// Returns a job with its state.
    #[must_use]
    pub fn job(&self, job: JobId) -> Option<&JobState> {
        self.jobs.get(&job)
    }

    /// Returns the status of a job as reported to callers.
    #[must_use]
    pub fn status(&self, job: JobId) -> Option<Status> {
        self.job(job).map(JobState::status)
    }

    /// Returns whether a job has ended or is cancelled, or will be as soon as its submission is read.
    #[must_use]
    pub fn is_cancelled(&self, job: JobId) -> bool {
        match self.jobs.get(&job) {
            Some(job_state) => matches!(job_state.status(), Status::Ended(_)),
            None => self
                .unsubmitted
                .get(&job)
                .is_some_and(|(_, cancelled)| *cancelled),
        }
    }

    /// Returns the jobs of which records but no submission have been read, in no particular order.
    pub fn orphans(&self) -> impl Iterator<Item = JobId> {
        self.unsubmitted.keys().copied()
    }

    /// Returns whether records but no submission of a job have been read.
    #[must_use]
    pub fn has_orphan(&self, job: JobId) -> bool {
        self.unsubmitted.contains_key(&job)
    }

    /// Returns the number of jobs of which records but no submission have been read.
    #[must_use]
    pub fn orphan_count(&self) -> usize {
        self.unsubmitted.len()
    }

    /// Returns the memory that the jobs take.
    #[must_use]
    pub const fn usage(&self) -> &Usage {
        &self.usage
    }

    /// Returns all jobs in no particular order.
    #[must_use]
    pub fn jobs(&self) -> impl ExactSizeIterator<Item = (JobId, &JobState)> {
        self.jobs.iter().map(|(id, job_state)| (*id, job_state))
    }

    /// Returns the jobs that are not settled, ordered by identifier.
    pub fn open(&self) -> impl Iterator<Item = (JobId, &JobState)> {
        self.open
            .iter()
            .filter_map(|id| Some((*id, self.jobs.get(id)?)))
    }

    /// Returns the number of jobs of a queue of which no task has begun yet.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.open()
            .filter(|(_, job_state)| {
                &*job_state.job.queue.name == queue && job_state.status() == Status::Queued
            })
            .count()
    }

    /// Returns the newest claim of the decider role.
    #[must_use]
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref().map(|(_, claim)| claim)
    }

    /// Returns the epoch of the newest claim, or 0 before the first claim.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.claim().map_or(0, |claim| claim.epoch)
    }

    /// Returns what deciders up to an epoch have learned. A record of a later epoch is not used: it is that of a decider
    /// that has replaced the one that asks, or of no decider.
    #[must_use]
    pub fn expectations(&self, epoch: Epoch) -> Option<&Snapshot> {
        let newest = self.expectations.as_ref();
        newest
            .map(|(_, snapshot)| snapshot)
            .filter(|snapshot| snapshot.epoch <= epoch)
    }

    /// Returns whether the known record of what deciders have learned is of a later epoch than a newer one, which is then
    /// not used.
    ///
    /// A known one of an epoch that has not been claimed is that of no decider, and any newer one replaces it. It is not
    /// dropped at once, as pages of newest records may list it before its claim.
    #[must_use]
    pub fn knows_later_expectations(&self, offset: Offset, epoch: Epoch) -> bool {
        self.expectations.as_ref().is_some_and(|(newest, known)| {
            let of_no_decider = self.claim().is_some_and(|claim| known.epoch > claim.epoch);
            offset >= *newest && epoch < known.epoch && !of_no_decider
        })
    }

    /// Returns the announcements of all entries.
    pub fn entries(&self) -> impl Iterator<Item = &Announcement> {
        self.announcements().map(|(_, announcement)| announcement)
    }

    /// Returns the announcements of all entries with their offsets.
    pub fn announcements(&self) -> impl Iterator<Item = (Offset, &Announcement)> {
        let entries = self.entries.values();
        entries.map(|(offset, announcement)| (*offset, announcement))
    }

    /// Returns whether an entry is announced on a host.
    #[must_use]
    pub fn is_announced(&self, host: &str) -> bool {
        self.entries.contains_key(host)
    }
}

/// Updates the offset of the newest record of a key. Returns whether the record at `offset` is at least as new as all
/// that were applied before.
fn advance(newest: &mut Option<Offset>, offset: Offset) -> bool {
    let newer = newest.is_none_or(|newest| offset >= newest);
    *newest = (*newest).max(Some(offset));
    newer
}
