//! Earmarks: capacity freed by preemption is held for the gang that it was freed for.
//!
//! Without this, a gang waits until several runs have been stopped, and before the last of them has
//! ended a smaller urgent job that came later takes the capacity that is already free. The gang
//! then preempts further runs, and so on.

use super::cluster::{Cluster, Occupant};
use super::place::{self, PendingStep, Placement};
use super::{Planner, Round};
use crate::id::{Incarnation, JobId};
use std::time::Duration;

/// Time for which capacity stays earmarked beyond the time that a stop may take: the ends of the
/// stopped runs have to be reported first.
pub(super) const REPORT_GRACE: Duration = Duration::from_millis(800);

/// Workers on which capacity is being freed for a job.
#[derive(Debug)]
pub(super) struct Earmark {
    expires_at: Duration,
    /// Workers and the number of tasks that each of them is to run.
    workers: Vec<(Incarnation, u64)>,
}

impl Planner {
    /// Earmarks the capacity that is freed for a job by stopping runs.
    pub(super) fn earmark(
        &mut self,
        round: &Round,
        pending: &PendingStep,
        placements: &[Placement],
    ) {
        let counts = place::count_by_node(placements.iter().map(|(_, node_index)| *node_index));
        let incarnation = |node_index: usize| round.cluster.nodes[node_index].incarnation.clone();
        let earmark = Earmark {
            expires_at: round.now + self.bounds.max_stop_time + REPORT_GRACE,
            workers: counts
                .into_iter()
                .map(|(node_index, count)| (incarnation(node_index), count))
                .collect(),
        };
        self.earmarks
            .retain(|_, earmark| round.now < earmark.expires_at);
        self.earmarks.insert(pending.job, earmark);
    }

    /// Returns the current earmark of a job, if any.
    pub(super) fn current_earmark(&self, now: Duration, job: JobId) -> Option<&Earmark> {
        let earmark = self.earmarks.get(&job);
        earmark.filter(|earmark| now < earmark.expires_at)
    }

    /// Commits the earmarked capacity to the job. Returns false if the earmark no longer fits the
    /// job's waiting tasks.
    pub(super) fn commit_earmark(&self, round: &mut Round, pending: &PendingStep) -> bool {
        let Some(earmark) = self.current_earmark(round.now, pending.job) else {
            return false;
        };
        let tasks: u64 = earmark.workers.iter().map(|(_, count)| count).sum();
        if tasks != pending.waiting.len() as u64 {
            return false;
        }
        let is_available = |(incarnation, count): &(Incarnation, u64)| {
            self.becomes_free(round.cluster, pending, incarnation, *count)
        };
        if !earmark.workers.iter().all(is_available) {
            return false;
        }
        for (incarnation, count) in &earmark.workers {
            if let Some(node) = round.cluster.node_mut(incarnation) {
                node.commit(
                    &pending.step.demand.saturating_mul(*count),
                    pending.run_time,
                );
                pending.isolate(node);
            }
        }
        true
    }

    /// Returns whether a worker has capacity for a number of tasks once its stopping runs have ended.
    fn becomes_free(
        &self,
        cluster: &mut Cluster,
        pending: &PendingStep,
        incarnation: &Incarnation,
        count: u64,
    ) -> bool {
        let Some(node) = cluster
            .node_mut(incarnation)
            .filter(|node| pending.allows(node))
        else {
            return false;
        };
        let ends = |occupant: &Occupant| self.is_stopping(occupant);
        let free = node.free_after(ends);
        pending.step.demand.saturating_mul(count).fits(&free) && pending.joins_after(node, ends)
    }
}
