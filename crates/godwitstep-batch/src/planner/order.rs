//! Which job comes first.
//!
//! Jobs that no longer earn anything come last: they are run when there is room, as accepted work is
//! never dropped. The others come by the priority of their queue; within it claims on a guarantee go
//! first, then what can still be on time, by the time that is left. A job that others are being stopped for comes
//! before all of its priority, so that it gets the room.

use super::Planner;
use super::draft::Draft;
use crate::id::{JobId, Workspace};
use crate::ledger::Entry;
use crate::policy::Policy;
use crate::progress::{Progress, Step};
use std::collections::HashMap;
use std::time::Duration;

/// Times its objective after which an answer counts as worth nothing. Objectives follow from
/// estimates here, which may be half of the true length.
const WORTHLESS: u32 = 5;

/// Whether others are being stopped for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Room {
    Pledged,
    Unpledged,
}

/// Place of a job in the order; the least comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Urgency {
    /// Whether it can no longer end in time to be worth something.
    pub hopeless: bool,
    pub priority: u8,
    pub room: Room,
    /// Whether it has no claim on its workspace's guarantee.
    pub unclaimed: bool,
    /// Whether it can no longer be on time.
    pub late: bool,
    /// Time until it must run to be on time, or until it is worthless. Unit: milliseconds.
    pub slack: i64,
    pub job: JobId,
}

/// Workspaces whose jobs of the first priority fit into their guarantee together.
pub(super) type Claims = HashMap<Workspace, bool>;

/// Returns which workspaces claim no more than their guarantee.
pub(super) fn claims(draft: &Draft, policy: &Policy) -> Claims {
    let mut needs: HashMap<Workspace, u64> = HashMap::new();
    for (_, entry, progress) in draft.open() {
        let Some(workspace) = &entry.job.workspace else {
            continue;
        };
        if entry.job.queue.priority == 0 && entry.active() {
            let needed = needs.entry(workspace.clone()).or_default();
            *needed = needed.saturating_add(need(entry, progress));
        }
    }
    needs
        .into_iter()
        .map(|(workspace, need)| {
            let within = need <= policy.guaranteed(&workspace);
            (workspace, within)
        })
        .collect()
}

/// Accelerators that a job needs for its widest step that is not done.
fn need(entry: &Entry, progress: &Progress) -> u64 {
    let steps = entry.job.steps.iter().zip(&progress.steps);
    steps
        .filter(|(_, state)| !state.done())
        .map(|(step, _)| step.demand.times(u64::from(step.tasks)).accelerators)
        .max()
        .unwrap_or(0)
}

impl Planner {
    /// Returns the place of a job in the order.
    pub(super) fn urgency(
        &self,
        now: Duration,
        id: JobId,
        entry: &Entry,
        progress: &Progress,
        claims: &Claims,
    ) -> Urgency {
        let job = &entry.job;
        let objective = job.objective();
        let left = job.chain_left(|step| progress.steps.get(step).is_some_and(Step::done));
        let needed = self.age(now, id) + left;
        let late = needed > objective;
        let hopeless = needed > objective * WORTHLESS;
        let bound = if late {
            objective * WORTHLESS
        } else {
            objective
        };
        let claimed = job
            .workspace
            .as_ref()
            .is_some_and(|workspace| claims.get(workspace) == Some(&true));
        let room = if self.pledged(now, id).is_some() {
            Room::Pledged
        } else {
            Room::Unpledged
        };
        Urgency {
            hopeless,
            priority: job.queue.priority,
            room,
            unclaimed: !claimed,
            late,
            slack: millis(bound) - millis(needed),
            job: id,
        }
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
