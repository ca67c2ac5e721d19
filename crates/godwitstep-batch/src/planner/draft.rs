//! Changes of the current scheduling round on top of the ledger.

use crate::id::{Incarnation, JobId, Run, Task};
use crate::ledger::{JobState, Ledger};
use crate::progress::Progress;
use crate::record::Record;
use std::collections::BTreeMap;
use std::time::Duration;

/// A ledger with uncommitted changes of job states.
#[derive(Debug)]
pub(super) struct Draft<'a> {
    ledger: &'a Ledger,
    changed: BTreeMap<JobId, Progress>,
}

impl<'a> Draft<'a> {
    pub const fn new(ledger: &'a Ledger) -> Self {
        Self {
            ledger,
            changed: BTreeMap::new(),
        }
    }

    pub const fn ledger(&self) -> &'a Ledger {
        self.ledger
    }

    /// Returns the state of a job including the changes of this round.
    pub fn progress<'b>(&'b self, job: JobId, job_state: &'b JobState) -> &'b Progress {
        self.changed.get(&job).unwrap_or(&job_state.progress)
    }

    /// Returns the state of a job for modification. For an unknown job this is an empty state,
    /// which is never written as a record.
    pub fn edit(&mut self, job: JobId) -> &mut Progress {
        let ledger = self.ledger;
        self.changed.entry(job).or_insert_with(|| {
            ledger
                .job(job)
                .map(|job_state| job_state.progress.clone())
                .unwrap_or_default()
        })
    }

    /// Returns whether this round has changed the state of some job.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty()
    }

    /// Returns whether a run is placed on an incarnation of a worker, including the changes of this round.
    pub fn places(&self, incarnation: &Incarnation, task: Task, run: Run) -> bool {
        self.ledger.job(task.job).is_some_and(|job_state| {
            self.progress(task.job, job_state)
                .task(task.step, task.index)
                .is_some_and(|state| state.run == run && state.placed_on() == Some(incarnation))
        })
    }

    /// Returns the expected run time of a task; zero if its job is unknown.
    pub fn expected_run_time(&self, task: Task) -> Duration {
        let job_state = self.ledger.job(task.job);
        let step = job_state.and_then(|state| state.job.steps.get(usize::from(task.step)));
        step.map_or(Duration::ZERO, |step| step.estimate)
    }

    /// Returns the open jobs with their state, including the changes of this round.
    pub fn open(&self) -> impl Iterator<Item = (JobId, &JobState, &Progress)> {
        self.ledger
            .open()
            .map(|(id, job_state)| (id, job_state, self.progress(id, job_state)))
    }

    /// Returns a record for each job whose state differs from the ledger.
    pub fn into_records(self) -> impl Iterator<Item = Record> {
        let ledger = self.ledger;
        self.changed
            .into_iter()
            .filter(|(job, progress)| {
                ledger
                    .job(*job)
                    .is_some_and(|job_state| job_state.progress != *progress)
            })
            .map(|(job, progress)| Record::Progressed { job, progress })
    }
}
