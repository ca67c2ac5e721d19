//! All jobs, folded from the log by every entry alike.
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

use crate::id::{Epoch, Host, JobId, Offset};
use crate::job::Job;
use crate::progress::{Outcome, Progress};
use crate::record::{Announcement, Claim, Record};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Status {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// The job has ended.
    Ended(Outcome),
}

/// A job and how far it has come.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The job as it was first submitted; later submissions under its name change nothing.
    pub job: Arc<Job>,
    /// Its state by the decider's newest record.
    pub progress: Progress,
    /// Whether its caller cancelled it.
    pub cancelled: bool,
}

impl Entry {
    /// Returns the state as callers see it.
    #[must_use]
    pub fn status(&self) -> Status {
        match self.progress.outcome {
            Some(outcome) => Status::Ended(outcome),
            None if self.cancelled => Status::Ended(Outcome::Cancelled),
            None if self.progress.started() => Status::Running,
            None => Status::Queued,
        }
    }

    /// Tells whether tasks of the job may be started.
    #[must_use]
    pub const fn active(&self) -> bool {
        !self.cancelled && self.progress.outcome.is_none()
    }

    /// Tells whether the decider has nothing left to do for the job.
    #[must_use]
    pub const fn settled(&self) -> bool {
        self.progress.outcome.is_some() && self.progress.steps.is_empty()
    }
}

/// Fold of the log.
#[derive(Debug, Default)]
pub struct Ledger {
    jobs: HashMap<JobId, Entry>,
    /// Jobs for which the decider still has something to do.
    open: BTreeSet<JobId>,
    /// State and cancellations of jobs whose submission has not been read yet. Pages of newest
    /// records come in the order of keys, not of offsets.
    early: HashMap<JobId, (Option<Progress>, bool)>,
    /// Offset of the newest record of each job's state. An older record changes nothing.
    newest: HashMap<JobId, Offset>,
    claim: Option<(Offset, Claim)>,
    entries: BTreeMap<Host, Announcement>,
}

impl Ledger {
    /// Applies a record. Records may be applied again, and out of order where pages of newest
    /// records and the tail overlap.
    pub fn apply(&mut self, offset: Offset, record: Record) {
        match record {
            Record::Submitted(job) => self.submitted(job),
            Record::Cancelled { job } => self.cancelled(job),
            Record::Progressed { job, progress } => {
                if self.supersedes(job, offset) {
                    self.progressed(job, progress);
                }
            }
            Record::Dropped { job } => {
                if self.supersedes(job, offset) {
                    self.dropped(job);
                }
            }
            Record::Claimed(claim) => {
                if self
                    .claim
                    .as_ref()
                    .is_none_or(|(newest, _)| offset >= *newest)
                {
                    self.claim = Some((offset, claim));
                }
            }
            Record::Announced(entry) => {
                self.entries.insert(entry.host.clone(), entry);
            }
        }
    }

    fn supersedes(&mut self, job: JobId, offset: Offset) -> bool {
        let newest = self.newest.entry(job).or_insert(offset);
        let newer = offset >= *newest;
        *newest = offset.max(*newest);
        newer
    }

    fn submitted(&mut self, job: Job) {
        let id = job.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        let (progress, cancelled) = self.early.remove(&id).unwrap_or_default();
        let entry = Entry {
            progress: progress.unwrap_or_else(|| Progress::new(&job.steps)),
            job: Arc::new(job),
            cancelled,
        };
        self.jobs.insert(id, entry);
        self.refile(id);
    }

    fn cancelled(&mut self, job: JobId) {
        match self.jobs.get_mut(&job) {
            Some(entry) => entry.cancelled = true,
            None => self.early.entry(job).or_default().1 = true,
        }
    }

    fn progressed(&mut self, job: JobId, progress: Progress) {
        match self.jobs.get_mut(&job) {
            Some(entry) => entry.progress = progress,
            None => self.early.entry(job).or_default().0 = Some(progress),
        }
        self.refile(job);
    }

    fn dropped(&mut self, job: JobId) {
        self.jobs.remove(&job);
        self.early.remove(&job);
        self.open.remove(&job);
        self.newest.remove(&job);
    }

    fn refile(&mut self, job: JobId) {
        let open = self.jobs.get(&job).is_some_and(|entry| !entry.settled());
        if open {
            self.open.insert(job);
        } else {
            self.open.remove(&job);
        }
    }

    /// Returns a job.
    #[must_use]
    pub fn job(&self, job: JobId) -> Option<&Entry> {
        self.jobs.get(&job)
    }

    /// Returns the state of a job as callers see it.
    #[must_use]
    pub fn status(&self, job: JobId) -> Option<Status> {
        self.job(job).map(Entry::status)
    }

    /// Returns all jobs.
    #[must_use]
    pub fn jobs(&self) -> impl ExactSizeIterator<Item = (JobId, &Entry)> {
        self.jobs.iter().map(|(id, entry)| (*id, entry))
    }

    /// Returns the jobs for which the decider still has something to do, in a fixed order.
    pub fn open(&self) -> impl Iterator<Item = (JobId, &Entry)> {
        self.open
            .iter()
            .filter_map(|id| Some((*id, self.jobs.get(id)?)))
    }

    /// Returns how many accepted jobs of a queue wait for their first task.
    #[must_use]
    pub fn pending(&self, queue: &str) -> usize {
        self.open()
            .filter(|(_, entry)| {
                &*entry.job.queue.name == queue && entry.status() == Status::Queued
            })
            .count()
    }

    /// Returns the newest claim.
    #[must_use]
    pub fn claim(&self) -> Option<&Claim> {
        self.claim.as_ref().map(|(_, claim)| claim)
    }

    /// Returns the epoch of the newest claim, 0 before the first.
    #[must_use]
    pub fn epoch(&self) -> Epoch {
        self.claim().map_or(0, |claim| claim.epoch)
    }

    /// Returns the announced entries.
    pub fn entries(&self) -> impl Iterator<Item = &Announcement> {
        self.entries.values()
    }
}
