//! Decides whether another job is accepted while memory for jobs is short. No I/O.
//!
//! Every entry holds all accepted jobs until some time after they have ended, so what callers submit takes memory in all
//! of them, and again after a restart. Answers two kinds of load: small bodies that describe jobs of thousands of tasks,
//! and cancellations of jobs that do not exist. Jobs are charged by an upper bound of what they can take while they run.
//!
//! * A workspace may hold as much as it leaves free: one alone half of the memory, two that fill it a third each. So a
//!   workspace that comes later finds memory, whoever has filled the rest.
//! * A quarter of the memory is closed to jobs above [`SMALL_JOB`].
//! * A cancellation of a job that exists is always accepted. Those of unknown jobs have a part of their own.
//!
//! ```
//! use godwitstep_batch::backlog::{Limit, Usage};
//!
//! let limit = Limit::new(1 << 20);
//! let mut usage = Usage::default();
//! let nobody = Usage::default();
//! assert!(limit.admits([&usage, &nobody], None, 300_000));
//! usage.set(1, None, 300_000);
//! assert!(!limit.admits([&usage, &nobody], None, 300_000));
//! ```

use crate::id::{JobId, Workspace};
use crate::job::{Job, Step};
use crate::ledger::JobState;
use crate::progress;
use std::collections::HashMap;

/// Memory of a job beside its texts, steps and tasks: its entries in the tables of the ledger and the decider, with their
/// spare room. Unit: bytes.
const JOB_OVERHEAD: usize = 512;
/// Memory of the texts of a task that is placed or has a checkpoint: three shared strings of up to 32 bytes with their
/// headers. Unit: bytes.
const TASK_TEXTS: usize = 128;
/// Memory of the cancellation of an unknown job: two entries of the ledger's tables and one of the decider's. Unit: bytes.
const CANCELLATION: usize = 384;
/// Charge up to which a job is small: one of 64 tasks, more than ordinary jobs have. Unit: bytes.
pub const SMALL_JOB: usize = 16 * 1024;
/// Part of the memory that is closed to jobs that are not small, as a divisor.
const SMALL_DIVISOR: usize = 4;
/// Part of the memory for cancellations of unknown jobs, as a divisor.
const CANCELLATIONS_DIVISOR: usize = 8;
/// Part of the memory that all entries together may accept beyond what their views of the log show, as a divisor.
const UNSEEN_DIVISOR: usize = 4;
/// Maximum number of entries among which that part is divided. Announcements of entries that are gone remain, and would
/// otherwise leave each entry that lives with a single job at a time.
const MAX_SHARING_ENTRIES: usize = 64;

/// Memory that jobs take, by job and workspace.
///
/// Invariant: `total` is the sum of the charges of `jobs`, and so is the sum of `workspaces`, which has no entry of 0.
#[derive(Debug, Default)]
pub struct Usage {
    total: usize,
    jobs: HashMap<JobId, (Option<Workspace>, usize)>,
    workspaces: HashMap<Option<Workspace>, usize>,
}

/// Limit of the memory for jobs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limit {
    /// Unit: bytes.
    memory: usize,
}

/// Returns an upper bound of the memory that a job takes while it runs. Unit: bytes.
#[must_use]
pub fn charge(job: &Job) -> usize {
    let task = size_of::<progress::Task>() + TASK_TEXTS;
    let tasks: usize = job.steps.iter().map(|step| usize::from(step.tasks)).sum();
    ended_charge(job) + tasks * task
}

/// Returns the memory that an ended job takes, whose tasks are no longer held. Unit: bytes.
fn ended_charge(job: &Job) -> usize {
    let step = |step: &Step| {
        let names = [&step.label, &step.data_rack];
        let names: usize = names.into_iter().flatten().map(|name| name.len()).sum();
        size_of::<Step>() + size_of::<progress::Step>() + size_of_val(&*step.depends_on) + names
    };
    JOB_OVERHEAD + job.spec.len() + job.steps.iter().map(step).sum::<usize>()
}

impl Usage {
    /// Returns the sum of all charges. Unit: bytes.
    #[must_use]
    pub const fn total(&self) -> usize {
        self.total
    }

    /// Returns whether no job is charged.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Sets the charge of a job.
    pub fn set(&mut self, id: JobId, workspace: Option<Workspace>, bytes: usize) {
        self.remove(id);
        self.total += bytes;
        *self.workspaces.entry(workspace.clone()).or_default() += bytes;
        self.jobs.insert(id, (workspace, bytes));
    }

    /// Sets the charge of a job in the ledger according to its progress.
    pub(crate) fn update(&mut self, id: JobId, job_state: &JobState) {
        let job = &job_state.job;
        let bytes = if job_state.settled() {
            ended_charge(job)
        } else {
            charge(job)
        };
        let charged = self.jobs.get(&id).map(|(_, bytes)| *bytes);
        if charged != Some(bytes) {
            self.set(id, job.workspace.clone(), bytes);
        }
    }

    /// Removes the charge of a job, if there is one.
    pub fn remove(&mut self, id: JobId) {
        let Some((workspace, bytes)) = self.jobs.remove(&id) else {
            return;
        };
        self.total -= bytes;
        if let Some(held) = self.workspaces.get_mut(&workspace) {
            *held -= bytes;
            if *held == 0 {
                self.workspaces.remove(&workspace);
            }
        }
    }

    /// Removes the charges of the jobs for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(JobId) -> bool) {
        let obsolete: Vec<JobId> = self.jobs.keys().copied().filter(|id| !keep(*id)).collect();
        for id in obsolete {
            self.remove(id);
        }
    }

    /// Returns the charges of a workspace's jobs.
    fn of(&self, workspace: Option<&Workspace>) -> usize {
        let held = self.workspaces.get(&workspace.cloned());
        held.copied().unwrap_or_default()
    }
}

impl Limit {
    /// Returns a limit. Unit: bytes.
    #[must_use]
    pub const fn new(memory: usize) -> Self {
        Self { memory }
    }

    /// Returns the smaller one of this limit and another one. Unit: bytes.
    #[must_use]
    pub fn at_most(self, memory: usize) -> Self {
        Self::new(self.memory.min(memory))
    }

    /// Returns whether a job with a charge is accepted. `usages` are the jobs in the ledger and those that will be.
    #[must_use]
    pub fn admits(&self, usages: [&Usage; 2], workspace: Option<&Workspace>, bytes: usize) -> bool {
        let limit = if bytes > SMALL_JOB {
            self.memory - self.memory / SMALL_DIVISOR
        } else {
            self.memory
        };
        let total = usages.iter().map(|usage| usage.total).sum::<usize>() + bytes;
        let held = usages.iter().map(|usage| usage.of(workspace));
        total + held.sum::<usize>() + bytes <= limit
    }

    /// Returns whether the cancellation of an unknown job is accepted beside a number of others.
    #[must_use]
    pub const fn admits_cancellation(&self, held: usize) -> bool {
        held < self.memory / CANCELLATIONS_DIVISOR / CANCELLATION
    }

    /// Returns whether one of several entries may accept a job with a charge before the log shows those that it has
    /// accepted. It may always accept a single one.
    #[must_use]
    pub fn admits_unseen(&self, unseen: &Usage, entries: usize, bytes: usize) -> bool {
        let share = self.memory / (UNSEEN_DIVISOR * entries.clamp(1, MAX_SHARING_ENTRIES));
        unseen.is_empty() || unseen.total + bytes <= share
    }
}
