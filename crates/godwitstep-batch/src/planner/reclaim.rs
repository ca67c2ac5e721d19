//! Reclaim: a claim within its workspace's guarantee takes back what others of equal priority have borrowed.
//!
//! Without this, a claim waits until a task of another workspace ends by itself if all workers run urgent tasks of
//! workspaces that are beyond their own guarantees. Runs of lower priority are stopped where they suffice. A claim never
//! takes its own workspace beyond its guarantee, nor another one below, so two claims cannot stop each other in turn.
//!
//! The search is in [`super::reclaim_search`]. One that has failed is not repeated before something has changed, see
//! [`super::failed_search`].

use super::borrowed::Borrowed;
use super::failed_search::SearchState;
use super::order::{self, Urgency};
use super::place::PendingStep;
use super::preempt::{Losses, SWITCH_TIME, commit_capacity};
use super::reclaim_search::{Search, Victim};
use super::{Decision, Planner, PreemptionReason, Round};
use crate::id::{JobId, Run, Task};
use crate::ledger::JobState;
use std::collections::BTreeSet;
use std::time::Duration;

impl Planner {
    /// Takes back borrowed capacity for a claim if that places more of its tasks than stopping runs of lower priority,
    /// which places `placeable` of them. Returns how many tasks it places if it does.
    pub(super) fn reclaim(
        &mut self,
        round: &mut Round,
        urgency: Urgency,
        job_state: &JobState,
        pending: &PendingStep,
        losses: &Losses,
        placeable: usize,
    ) -> Option<usize> {
        let progress = round.draft.progress(pending.job, job_state);
        let claims = !urgency.unguaranteed
            && !pending.is_isolated()
            && order::accelerators_needed(job_state, progress) > 0
            && self.stays_within_guarantee(round, job_state, pending)
            && !self.waits_for_earlier_stops(round.now, pending.job);
        if !claims {
            return None;
        }
        let state = SearchState::of(self, round, pending, placeable);
        let key = (pending.job, pending.step_number);
        if self.failed_searches.is_known(round.now, key, state) {
            return None;
        }
        let borrowed = self.borrowed(round.now, round.draft, round.cluster, round.policy);
        if borrowed.loans.is_empty() {
            return None;
        }
        let search = Search::new(self, round.cluster, pending, losses, &borrowed);
        let Some(proposal) = search.best_proposal(placeable) else {
            self.failed_searches.record(round.now, key, state);
            return None;
        };
        let stops_any = self.stop_victims(round, pending, &borrowed, &proposal.victims);
        if stops_any {
            // Until it starts, the claim comes before gangs for which other runs are being stopped.
            self.earmark(round, pending, &proposal.placements);
        }
        commit_capacity(round.cluster, pending, &proposal.placements);
        Some(proposal.placements.len())
    }

    /// Returns whether a workspace uses no more than its guarantee once the waiting tasks of a step run too. Whether its
    /// jobs are within the guarantee does not show that, as parallel steps of one job count by the largest.
    fn stays_within_guarantee(
        &self,
        round: &Round,
        job_state: &JobState,
        pending: &PendingStep,
    ) -> bool {
        let Some(workspace) = &job_state.job.workspace else {
            return false;
        };
        let pledged = round.pledged.get(workspace).copied().unwrap_or(0);
        let waiting = pending
            .step
            .demand
            .saturating_mul(pending.waiting.len() as u64);
        let used = self
            .accelerators_kept(round.draft, workspace)
            .saturating_add(pledged)
            .saturating_add(waiting.accelerators);
        used <= round.policy.guaranteed(workspace)
    }

    /// Returns whether a claim waits until stops that the former decider may have ordered are over. Another victim would
    /// take its workspace below the guarantee. The claim does not wait if that would make it miss its bound.
    fn waits_for_earlier_stops(&self, now: Duration, job: JobId) -> bool {
        let bound = self.bounds.guaranteed_start_time;
        let latest = bound.saturating_sub(self.bounds.max_stop_time + SWITCH_TIME);
        let age = self.age(now, job);
        let must_decide = (latest..bound).contains(&age);
        self.earlier_stops_may_last(now) && !must_decide
    }

    /// Stops the victims. Returns whether there are any.
    fn stop_victims(
        &mut self,
        round: &mut Round,
        pending: &PendingStep,
        borrowed: &Borrowed,
        victims: &BTreeSet<Victim>,
    ) -> bool {
        let mut stops_any = false;
        let mut stop = |task: Task, run: Run, reason: PreemptionReason| {
            stops_any |= self.stopping.insert((task, run));
            round.plan.decisions.push(Decision::Preempted {
                task,
                run,
                by: pending.job,
                reason,
            });
        };
        for victim in victims {
            match victim {
                Victim::Lower(task, run) => stop(*task, *run, PreemptionReason::Priority),
                Victim::Borrowed(loan) => {
                    for run in &borrowed.loans[*loan].runs {
                        stop(run.task, run.run, PreemptionReason::Guarantee);
                    }
                }
            }
        }
        stops_any
    }
}
