//! Scheduling order of jobs.
//!
//! Jobs whose result has become worthless because it is too late come last: they run on spare
//! capacity, as accepted work is never dropped. The others are ordered by the priority of their
//! queue, then by whether their workspace is within its guarantee, then by whether they can still
//! be on time, then by the recent use of their workspace if several compete, then by slack. A job for
//! which others are being preempted comes before all others of its priority, so that it gets the freed
//! capacity.

use super::Planner;
use super::draft::Draft;
use super::expect::Length;
use super::share::UseRank;
use crate::id::{JobId, Workspace};
use crate::ledger::JobState;
use crate::policy::Policy;
use crate::progress::{Progress, Step};
use std::collections::HashMap;
use std::time::Duration;

/// Multiple of its objective after which a job's result counts as worthless. The objective follows
/// from the expected length, which may be as low as half of the true one.
const WORTHLESS_AFTER_OBJECTIVES: u32 = 5;

/// Whether runs of other jobs are being stopped for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Preemption {
    Pending,
    NotPending,
}

/// Position of a job in the scheduling order; the smallest comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// Whether the job can no longer end before its result becomes worthless.
    pub worthless: bool,
    pub priority: u8,
    pub preemption: Preemption,
    /// Whether the job is not covered by its workspace's guarantee.
    pub unguaranteed: bool,
    /// Whether the job can no longer meet its objective.
    pub late: bool,
    /// Recent use of the job's workspace, while jobs of several workspaces compete; otherwise the same for all.
    pub use_rank: UseRank,
    /// Time until the job must run to meet its objective or, if it is late, until it is worthless.
    /// Unit: milliseconds.
    pub slack: i64,
    pub job: JobId,
}

/// Whether the jobs of priority 0 of each workspace fit into its guarantee together.
pub(super) type WithinGuarantee = HashMap<Workspace, bool>;

/// Determines which workspaces demand no more than their guarantee.
pub(super) fn within_guarantee(draft: &Draft, policy: &Policy) -> WithinGuarantee {
    let mut needed_by_workspace: HashMap<Workspace, u64> = HashMap::new();
    for (_, job_state, progress) in draft.open() {
        let Some(workspace) = &job_state.job.workspace else {
            continue;
        };
        if job_state.job.queue.priority == 0 && job_state.active() {
            let needed = needed_by_workspace.entry(workspace.clone()).or_default();
            *needed = needed.saturating_add(accelerators_needed(job_state, progress));
        }
    }
    needed_by_workspace
        .into_iter()
        .map(|(workspace, needed)| {
            let within = needed <= policy.guaranteed(&workspace);
            (workspace, within)
        })
        .collect()
}

/// Returns the accelerators that a job needs for the largest of its steps that are not done.
pub(super) fn accelerators_needed(job_state: &JobState, progress: &Progress) -> u64 {
    let steps = job_state.job.steps.iter().zip(&progress.steps);
    steps
        .filter(|(_, state)| !state.done())
        .map(|(step, _)| {
            step.demand
                .saturating_mul(u64::from(step.tasks))
                .accelerators
        })
        .max()
        .unwrap_or(0)
}

impl Planner {
    /// Returns the position of a job in the scheduling order.
    pub(super) fn urgency(
        &self,
        now: Duration,
        id: JobId,
        job_state: &JobState,
        progress: &Progress,
        within_guarantee: &WithinGuarantee,
    ) -> Urgency {
        let job = &job_state.job;
        let by_length = |length| {
            let done = |step: usize| progress.steps.get(step).is_some_and(Step::done);
            let needed = self.age(now, id) + self.remaining_length(job, length, done);
            (needed, self.expected_objective(job, length))
        };
        let (mut needed, mut objective) = by_length(Length::Typical);
        let late = needed > objective;
        let is_worthless = |needed, objective| needed > objective * WORTHLESS_AFTER_OBJECTIVES;
        let mut worthless = is_worthless(needed, objective);
        if worthless {
            // A job that takes longer than is typical has a later objective.
            (needed, objective) = by_length(Length::Upper);
            worthless = is_worthless(needed, objective);
        }
        let deadline = if late {
            objective * WORTHLESS_AFTER_OBJECTIVES
        } else {
            objective
        };
        let guaranteed = job
            .workspace
            .as_ref()
            .is_some_and(|workspace| within_guarantee.get(workspace) == Some(&true));
        let preemption = if self.current_earmark(now, id).is_some() {
            Preemption::Pending
        } else {
            Preemption::NotPending
        };
        Urgency {
            worthless,
            priority: job.queue.priority,
            preemption,
            unguaranteed: !guaranteed,
            late,
            use_rank: UseRank::default(),
            slack: millis(deadline) - millis(needed),
            job: id,
        }
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
