//! Jobs of which a run has begun.
//!
//! A placement is an intention: the worker may refuse the run, or its agent may be out of reach. Callers who ask how many
//! jobs wait, or whether a job runs, are told what workers have listed. That is in the job's state, so that all entries
//! and each new decider give the same answer.

use super::Planner;
use super::draft::Draft;
use crate::id::{JobId, Task};
use crate::progress::Progress;
use std::collections::HashMap;
use std::time::Duration;

/// Maximum time for which the beginning of a job's first run waits for other decisions to be recorded with. Callers may
/// get a number of waiting jobs that is two seconds old, and entries read the records up to half a second late.
const MAX_DELAY: Duration = Duration::from_secs(1);

impl Planner {
    /// Marks the jobs of which a worker has listed a run: in a round that records other decisions too, or alone after
    /// [`MAX_DELAY`].
    pub(super) fn record_begun(&mut self, now: Duration, draft: &mut Draft) {
        let begun: HashMap<JobId, Duration> = draft
            .open()
            .filter(|(job, _, progress)| {
                !progress.has_begun()
                    && progress.outcome.is_none()
                    && self.is_listed(*job, progress)
            })
            .map(|(job, _, _)| (job, self.begun_at.get(&job).copied().unwrap_or(now)))
            .collect();
        let due = begun.values().any(|since| now >= *since + MAX_DELAY);
        if due || draft.has_changes() {
            for job in begun.keys() {
                draft.edit(*job).begun = true;
            }
        }
        self.begun_at = begun;
    }

    /// Returns whether a worker has listed one of a job's placed runs.
    fn is_listed(&self, job: JobId, progress: &Progress) -> bool {
        let mut placed = progress.placed();
        placed.any(|(step, index, task, _)| {
            self.health.was_listed(Task { job, step, index }, task.run)
        })
    }
}
