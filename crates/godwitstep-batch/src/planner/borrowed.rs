//! Borrowed capacity: what workspaces use at priority 0 beyond their guarantees.
//!
//! A workspace that does not use its guarantee lends it, and may claim it at any time. This module determines which runs
//! may be stopped then. Stopping them never takes a workspace below its own guarantee: a gang is counted with all its
//! members. What counts is use and not need, because a job with parallel steps may use more than the largest of them needs.
//!
//! Only workers with recent reports count. Runs on a silent worker may have ended, so they are neither counted as used nor
//! stopped, and a decider that has just taken over underestimates what is borrowed until the agents have reported.

use super::Planner;
use super::cluster::{Cluster, Occupant};
use super::draft::Draft;
use crate::demand::Demand;
use crate::id::{JobId, Run, Task, Workspace};
use crate::ledger::JobState;
use crate::policy::Policy;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A run of a [`Loan`] and the worker that it occupies.
#[derive(Debug, Clone, Copy)]
pub(super) struct LoanRun {
    pub task: Task,
    pub run: Run,
    /// Index of the node.
    pub node: usize,
    pub demand: Demand,
}

/// Runs that use borrowed capacity and can only be stopped together: a gang, or a single run.
#[derive(Debug)]
pub(super) struct Loan {
    /// Workspace that has borrowed; `None` for jobs without a workspace, which have no guarantee.
    pub workspace: Option<Workspace>,
    /// Accelerators that the workspace loses with a stop, also those on workers without recent reports.
    pub accelerators: u64,
    /// Work that is lost. Unit: core-seconds.
    pub loss: f64,
    pub runs: Vec<LoanRun>,
}

/// Accelerators that each workspace uses beyond its guarantee; no entry if there are none. Jobs without a workspace are
/// one group.
pub(super) type Excess = HashMap<Option<Workspace>, u64>;

/// Everything that is borrowed in a round.
#[derive(Debug, Default)]
pub(super) struct Borrowed {
    pub loans: Vec<Loan>,
    /// How much may be taken back from each workspace in total.
    pub excess: Excess,
}

/// Identifies runs that end together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct LoanKey {
    job: JobId,
    step: u16,
    run: Run,
    /// Index of an independent task; `None` for a gang.
    index: Option<u16>,
}

/// The runs of a gang or a single run, before it is known whether they are borrowed.
#[derive(Debug, Default)]
struct Candidate {
    runs: Vec<LoanRun>,
    /// Whether one of them is being stopped, and so all of them end.
    stopping: bool,
}

impl Planner {
    /// Returns the accelerators that a workspace uses at priority 0 and keeps, on any workers.
    pub(super) fn accelerators_kept(&self, draft: &Draft, workspace: &Workspace) -> u64 {
        let jobs = draft.open().filter(|(_, job_state, _)| {
            let job = &job_state.job;
            let is_own = job.workspace.as_ref() == Some(workspace);
            is_own && job.queue.priority == 0 && job_state.active()
        });
        let mut kept: u64 = 0;
        for (job, job_state, progress) in jobs {
            for (step, index, placed, _) in progress.placed() {
                let task = Task { job, step, index };
                if !self.stopping.contains(&(task, placed.run)) {
                    let demand = &job_state.job.steps[usize::from(step)].demand;
                    kept = kept.saturating_add(demand.accelerators);
                }
            }
        }
        kept
    }

    /// Returns what is borrowed at priority 0 on workers with recent reports.
    pub(super) fn borrowed(
        &self,
        now: Duration,
        draft: &Draft,
        cluster: &Cluster,
        policy: &Policy,
    ) -> Borrowed {
        let candidates = self.loan_candidates(draft, cluster);
        let mut used: HashMap<Option<Workspace>, u64> = HashMap::new();
        let mut loans = Vec::new();
        for (key, candidate) in candidates {
            let Some(job_state) = draft.ledger().job(key.job).filter(|_| !candidate.stopping)
            else {
                continue;
            };
            let workspace = job_state.job.workspace.clone();
            let here = Demand::sum(candidate.runs.iter().map(|run| &run.demand));
            let total = used.entry(workspace.clone()).or_default();
            *total = total.saturating_add(here.accelerators);
            loans.push(self.loan(now, job_state, key.step, candidate.runs, workspace));
        }
        let excess: Excess = used
            .into_iter()
            .filter_map(|(workspace, used)| {
                let excess = excess(workspace.as_ref(), used, policy);
                (excess > 0).then_some((workspace, excess))
            })
            .collect();
        loans.retain(|loan| {
            let excess = excess.get(&loan.workspace);
            excess.is_some_and(|excess| loan.accelerators <= *excess)
        });
        Borrowed { loans, excess }
    }

    /// Returns the runs of priority 0 by gang or run, without those that end anyway because their job was cancelled.
    fn loan_candidates(&self, draft: &Draft, cluster: &Cluster) -> BTreeMap<LoanKey, Candidate> {
        let mut candidates: BTreeMap<LoanKey, Candidate> = BTreeMap::new();
        let nodes = (0..)
            .zip(&cluster.nodes)
            .filter(|(_, node)| node.reports_recent);
        for (node_index, node) in nodes {
            for occupant in &node.occupants {
                let task = occupant.task;
                let job_state = draft.ledger().job(task.job);
                let job_state =
                    job_state.filter(|state| state.job.queue.priority == 0 && state.active());
                let Some(job_state) = job_state else {
                    continue;
                };
                let gang = job_state.job.steps[usize::from(task.step)].gang;
                let key = LoanKey {
                    job: task.job,
                    step: task.step,
                    run: occupant.run,
                    index: (!gang).then_some(task.index),
                };
                let candidate = candidates.entry(key).or_default();
                candidate.stopping |= self.is_told_to_stop(occupant);
                candidate.runs.push(loan_run(occupant, node_index));
            }
        }
        candidates
    }

    fn loan(
        &self,
        now: Duration,
        job_state: &JobState,
        step: u16,
        runs: Vec<LoanRun>,
        workspace: Option<Workspace>,
    ) -> Loan {
        let step = &job_state.job.steps[usize::from(step)];
        let members = if step.gang { u64::from(step.tasks) } else { 1 };
        let losses = runs
            .iter()
            .map(|run| self.lost_work(now, job_state, run.task, run.run));
        Loan {
            workspace,
            accelerators: step.demand.saturating_mul(members).accelerators,
            loss: losses.fold(0.0, f64::max),
            runs,
        }
    }
}

const fn loan_run(occupant: &Occupant, node: usize) -> LoanRun {
    LoanRun {
        task: occupant.task,
        run: occupant.run,
        node,
        demand: occupant.demand,
    }
}

/// Returns how many of the accelerators that a workspace uses are beyond its guarantee.
fn excess(workspace: Option<&Workspace>, used: u64, policy: &Policy) -> u64 {
    let guaranteed = workspace.map_or(0, |workspace| policy.guaranteed(workspace));
    used.saturating_sub(guaranteed)
}
