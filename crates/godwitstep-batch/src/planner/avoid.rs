//! Workers that a job avoids after one of its runs failed there.
//!
//! A worker that fails every task immediately has free capacity again at once, so it is the first
//! one found for the job's next run. The job then uses up its attempts there and fails although
//! other workers could run it. A job therefore avoids the workers on which it failed quickly, as
//! long as others can run it. For all jobs such a worker ranks behind the others until a run
//! succeeds there.

use super::cluster::{Cluster, Node};
use super::place::PendingStep;
use crate::id::{Incarnation, JobId};
use std::collections::{BTreeSet, HashMap};

/// Workers by whose fault runs failed, by job.
#[derive(Debug, Default)]
pub(super) struct FailedWorkers {
    jobs: HashMap<JobId, BTreeSet<Incarnation>>,
}

impl FailedWorkers {
    /// Records that a run of a job failed by the fault of a worker.
    pub fn record(&mut self, job: JobId, incarnation: &Incarnation) {
        self.jobs
            .entry(job)
            .or_default()
            .insert(incarnation.clone());
    }

    /// Removes the jobs for which `open` returns false.
    pub fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.jobs.retain(|job, _| open(*job));
    }

    /// Returns the workers that a step must avoid, besides those on hosts where workers crashed under it; none if the
    /// others cannot run it.
    pub fn excluded(
        &self,
        pending: &PendingStep,
        cluster: &Cluster,
        crashed_on: BTreeSet<Incarnation>,
    ) -> BTreeSet<Incarnation> {
        let mut failed = crashed_on;
        failed.extend(self.jobs.get(&pending.job).into_iter().flatten().cloned());
        if failed.is_empty() || others_can_run(pending, cluster, &failed) {
            failed
        } else {
            BTreeSet::new()
        }
    }
}

/// Returns whether the other workers could run a step if they were empty and had all their capacity: all tasks of a
/// gang, or one independent task. A gang that should run within one rack rather runs on several than fails again.
fn others_can_run(
    pending: &PendingStep,
    cluster: &Cluster,
    failed: &BTreeSet<Incarnation>,
) -> bool {
    let needed = if pending.step.gang {
        pending.waiting.len() as u64
    } else {
        1
    };
    let other = |node: &&Node| pending.allows(node) && !failed.contains(&node.incarnation);
    let others = cluster.nodes.iter().filter(other);
    let copies = others.map(|node| pending.copies(node, &node.full_capacity));
    copies.fold(0, u64::saturating_add) >= needed
}
