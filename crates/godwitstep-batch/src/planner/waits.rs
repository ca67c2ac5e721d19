//! Waits for better workers than those with room.
//!
//! Suspects wait for a worker without other jobs' tasks, and tasks that have failed or crashed somewhere for other workers.
//! Either may never come, so each such wait has an end.

use super::Planner;
use super::cluster::Cluster;
use super::crashes;
use super::headroom::{BUSY_SHARE, used_share};
use super::place::PendingStep;
use crate::id::{JobId, Task};
use crate::progress::Step;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

/// Time for which a task waits for a better worker; for a suspect, for each crash under it. Half of the 3 s for which a
/// job that can run may have nothing running. The other half is for the detection of the crash and the start.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

/// Since when tasks have waited for better workers.
#[derive(Debug, Default)]
pub(super) struct Waits {
    since: HashMap<Task, Duration>,
}

impl Waits {
    /// Returns whether a waiting task has waited `max_wait`. Its wait begins with the first call.
    fn is_over(&mut self, now: Duration, task: Task, max_wait: Duration) -> bool {
        now >= *self.since.entry(task).or_insert(now) + max_wait
    }

    /// Ends the wait of a task that is placed.
    pub fn end(&mut self, task: Task) {
        self.since.remove(&task);
    }

    /// Removes the tasks of jobs for which `open` returns false.
    pub fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.since.retain(|task, _| open(task.job));
    }
}

impl Planner {
    /// Returns the waiting tasks of a step that have waited long enough for a better worker; of a gang all or none.
    ///
    /// Tasks that only avoid workers wait on unless half of the pool is idle and there is twice the room that they need: the
    /// other workers become free, and each failure costs an attempt.
    pub(super) fn overdue(
        &mut self,
        now: Duration,
        pending: &PendingStep,
        state: &Step,
        cluster: &Cluster,
    ) -> BTreeSet<u16> {
        let suspect = pending.is_suspect();
        if !suspect && pending.excluded.is_empty() {
            return BTreeSet::new();
        }
        let may_end = suspect || waits_beside_idle_workers(pending, cluster);
        let gang = pending.step.gang;
        let mut overdue = BTreeSet::new();
        for &index in &pending.waiting {
            let crashes = crashes::crash_count(state, gang, index).max(1);
            let is_over = self
                .waits
                .is_over(now, pending.task(index), MAX_WAIT * crashes);
            if is_over && may_end {
                overdue.insert(index);
            }
        }
        if gang && overdue.len() < pending.waiting.len() {
            overdue.clear();
        }
        overdue
    }
}

/// Returns whether a step waits although much of its pool is idle: less than [`BUSY_SHARE`] is in use, and there is room
/// for twice the waiting tasks of a gang, or two independent tasks, on all workers that may run them. Workers that the step
/// avoids count too, and its limit of tasks on one worker does not.
pub(super) fn waits_beside_idle_workers(pending: &PendingStep, cluster: &Cluster) -> bool {
    let needed = if pending.step.gang {
        pending.waiting.len() as u64
    } else {
        1
    };
    let nodes = cluster.nodes.iter();
    let nodes = nodes.filter(|node| pending.serves(node));
    let copies = nodes.map(|node| pending.step.demand.copies_in(&pending.free(node)));
    let room = copies.fold(0, u64::saturating_add);
    room >= 2 * needed && used_share(cluster, pending.pool) < BUSY_SHARE
}
