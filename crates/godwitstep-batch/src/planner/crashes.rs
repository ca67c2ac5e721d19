//! Tasks that crash the workers that run them.
//!
//! A worker that crashes ends all its runs, whichever of them is the cause. Each task that may have run there is a
//! suspect until it is done. A suspect starts only on a worker on which no other job's task runs, and until it has run
//! for a while no other job's task is placed beside it, so its next crash shows whether it is the cause. It also avoids
//! the hosts on which it was, as a host may be the cause.
//!
//! Most suspects are not the cause, so none waits for such a worker without end. After a [time](super::waits) that grows
//! with its crashes, a suspect starts beside other jobs' tasks on any host, where the fewest of them are suspects too, so
//! that the cause does not meet the same tasks again. It still does not join another job's suspect that has just started,
//! and no other job's task is placed beside it for a while.
//!
//! The counts are in the job's record, so a new decider goes on from them. A task that is beside the cause once is
//! isolated, completes and is cleared.

use super::cluster::Cluster;
use super::draft::Draft;
use super::health::Health;
use super::reports::CrashEvidence;
use crate::id::{Host, Incarnation, Task};
use crate::progress::{Crashes, Progress, Step};
use std::collections::BTreeSet;
use std::time::Duration;

/// Number of crashes after which a task is given up, whatever else ran on the workers.
const MAX_CRASHES: u32 = 4;
/// Number of crashes, each with the task alone and shortly after its start, after which it is given up if another crash
/// was counted or they were on several hosts.
const MAX_PROMPT_CRASHES: u32 = 2;
/// Maximum age of a run at a crash that counts as shortly after its start.
pub(super) const PROMPT_AGE: Duration = Duration::from_millis(500);
/// Time after which other jobs' tasks may join the run of a suspect.
const ISOLATION_TIME: Duration = Duration::from_secs(2);

/// Returns the number of crashes under a task, or of the gang's member with the most.
pub(super) fn crash_count(step: &Step, gang: bool, index: u16) -> u32 {
    let counted = step.crashes.iter();
    let counted = counted.filter(|(counted, _)| gang || **counted == index);
    let counts = counted.map(|(_, crashes)| crashes.count);
    counts.max().unwrap_or_default()
}

/// Which tasks may run on a worker beside those of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Neighbours {
    /// Tasks of all jobs.
    Any,
    /// Tasks of the same job, because the step's tasks are suspects.
    OwnJob,
    /// Tasks of all jobs, although the step's tasks are suspects: they have waited long enough.
    Unavoidable,
}

/// Returns whether some task or gang of a job has crashed so many workers that it isn't started again.
pub(super) fn given_up(progress: &Progress) -> bool {
    let crashes = progress.steps.iter().flat_map(|step| step.crashes.values());
    crashes.into_iter().any(is_given_up)
}

fn is_given_up(crashes: &Crashes) -> bool {
    let confirmed = crashes.count > MAX_PROMPT_CRASHES || crashes.hosts.len() > 1;
    let prompt = crashes.prompt >= MAX_PROMPT_CRASHES && confirmed;
    crashes.count >= MAX_CRASHES || prompt
}

/// Counts a run that ended with a crash of its worker. Returns the crashes of its task so far.
pub(super) fn count(step: &mut Step, index: u16, host: &Host, evidence: CrashEvidence) -> Crashes {
    let crashes = step.crashes.entry(index).or_default();
    crashes.count += 1;
    crashes.alone += u32::from(evidence.alone);
    crashes.prompt += u32::from(evidence.alone && evidence.prompt);
    crashes.hosts.insert(host.clone());
    crashes.clone()
}

/// Clears a task that is done, or its gang.
pub(super) fn clear(step: &mut Step, gang: bool, index: u16) {
    step.crashes.retain(|counted, _| !gang && *counted != index);
}

/// Returns which tasks may run beside a task that has not waited.
pub(super) fn neighbours(step: &Step, gang: bool, index: u16) -> Neighbours {
    let suspect = if gang {
        !step.crashes.is_empty()
    } else {
        step.crashes.contains_key(&index)
    };
    if suspect {
        Neighbours::OwnJob
    } else {
        Neighbours::Any
    }
}

/// Returns the workers on the hosts on which workers crashed under these tasks of a step.
pub(super) fn crashed_on(step: &Step, indexes: &[u16], cluster: &Cluster) -> BTreeSet<Incarnation> {
    let crashes = indexes.iter().filter_map(|index| step.crashes.get(index));
    let hosts: BTreeSet<&Host> = crashes.flat_map(|crashes| &crashes.hosts).collect();
    let incarnations = cluster.nodes.iter().map(|node| &node.incarnation);
    let there = incarnations.filter(|incarnation| hosts.contains(&incarnation.host));
    there.cloned().collect()
}

impl Cluster {
    /// Marks the workers that run suspects, and keeps other jobs off those on which suspects have started lately.
    pub(super) fn isolate_suspects(&mut self, now: Duration, health: &Health, draft: &Draft) {
        for (job, job_state, progress) in draft.open() {
            for (step, index, placed, incarnation) in progress.placed() {
                let gang = job_state.job.steps[usize::from(step)].gang;
                let state = &progress.steps[usize::from(step)];
                if neighbours(state, gang, index) == Neighbours::Any {
                    continue;
                }
                let Some(node) = self.node_mut(incarnation) else {
                    continue;
                };
                node.suspect_jobs.push(job);
                let elapsed = health.elapsed(now, Task { job, step, index }, placed.run);
                if elapsed.is_none_or(|elapsed| elapsed < ISOLATION_TIME) {
                    node.isolated_for = Some(job);
                }
            }
        }
    }
}
