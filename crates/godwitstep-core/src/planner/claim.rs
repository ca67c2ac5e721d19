//! Claims on guaranteed capacity: borrowers are preempted within a bounded time.

use super::Planner;
use super::event::Action;
use super::job::{Resolution, Stage};
use crate::fleet::{Charge, PlacedPart, Slot, State};
use crate::guarantee;
use crate::id::Accelerators;
use crate::reason::Reason;
use std::time::Duration;

/// Time after which a claim whose accelerators are still not free is planned again. Borrowers have
/// 20 s to save their state and some more to stop, 30 s in all.
pub(super) const CLAIM_TIMEOUT: Duration = Duration::from_secs(35);

impl Planner {
    /// Preempts the borrowers of the job's guarantee if the job fits afterwards. Urgent jobs also
    /// preempt others on unguaranteed capacity.
    pub(super) fn claim_by_preemption(
        &mut self,
        now: Duration,
        id: u32,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        let (shape, urgent) = (entry.spec.shape, entry.key.class == 0);
        let startable = |domain| self.fleet.startable(domain);
        let assigned = self
            .workspaces
            .get(&entry.spec.workspace)
            .and_then(|workspace| {
                let placed_parts = workspace.unused.place(shape, &startable, &entry.failed_on);
                placed_parts.or_else(|| workspace.unused.place(shape, &startable, &[]))
            });
        let place_urgent = || {
            let may_preempt = urgent && !entry.lane.preemptible;
            may_preempt
                .then(|| self.fleet.find_assignable(shape))
                .flatten()
        };
        let assigned = assigned.map(|placed_parts| (placed_parts, Charge::Guaranteed));
        let Some((placed_parts, charge)) = assigned
            .or_else(|| place_urgent().map(|placed_parts| (placed_parts, Charge::NonPreemptible)))
        else {
            return false;
        };
        let Some(victims) = self.select_victims(id, &placed_parts) else {
            return false;
        };
        self.dequeue(id);
        let start = now + self.settings.checkpoint_limit;
        let stage = Stage::Earmarked { claim: true, start };
        self.earmark(now, id, &placed_parts, charge, stage);
        self.set_job_timer(id, now + CLAIM_TIMEOUT);
        let names = victims.iter().filter_map(|job| self.jobs.get(job));
        let victim_names = names.map(|entry| entry.name.clone()).collect();
        let reason = Reason::WaitingForPreemption {
            victims: victim_names,
        };
        self.explain(id, reason, out);
        self.preempt(now, id, victims, out);
        true
    }

    /// Earmarks accelerators for a job and stores them as its run.
    pub(super) fn earmark(
        &mut self,
        now: Duration,
        id: u32,
        placed_parts: &[PlacedPart],
        charge: Charge,
        stage: Stage,
    ) {
        let run = self.new_run(now, id, placed_parts, charge, stage);
        let workspace = self.jobs[&id].spec.workspace.clone();
        for part in &run.parts {
            self.fleet.earmark(part.slot, id, part.accelerators);
            if charge == Charge::Guaranteed {
                self.use_assigned(&workspace, part.slot, part.accelerators);
            }
        }
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.run = Some(run);
        }
        self.ready_candidates.insert(id);
    }

    pub(super) fn preempt(
        &mut self,
        now: Duration,
        by: u32,
        victims: Vec<u32>,
        out: &mut Vec<Action>,
    ) {
        let Some(job) = self.jobs.get(&by).map(|entry| entry.name.clone()) else {
            return;
        };
        for victim in victims {
            let reason = Reason::PreemptedFor { job: job.clone() };
            self.withdraw(now, victim, Resolution::Requeue(reason), out);
        }
    }

    /// Selects the jobs to preempt so that the accelerators of the placed parts become free; `None`
    /// if that is not possible.
    fn select_victims(&self, id: u32, placed_parts: &[PlacedPart]) -> Option<Vec<u32>> {
        let per_task = self.jobs.get(&id)?.spec.shape.accelerators;
        let mut victims = Vec::new();
        for part in placed_parts {
            self.select_victims_on_worker(part.slot, part.tasks * per_task, &mut victims)?;
        }
        Some(victims)
    }

    fn select_victims_on_worker(
        &self,
        slot: Slot,
        need: Accelerators,
        victims: &mut Vec<u32>,
    ) -> Option<()> {
        let worker = self.fleet.worker(slot);
        if worker.state != State::Up {
            return None;
        }
        let claimed = worker
            .earmarks
            .iter()
            .filter(|(job, _)| self.is_claim(**job));
        let claimed: Accelerators = claimed.map(|(_, amount)| *amount).sum();
        let need = need + claimed;
        let mut available = worker.idle();
        let mut candidates = Vec::new();
        for (job, entry) in &worker.allocations {
            let Some(owner) = self
                .jobs
                .get(job)
                .filter(|_| entry.charge == Charge::Preemptible)
            else {
                continue;
            };
            let stopping = owner.run.as_ref().is_some_and(|run| {
                matches!(run.stage, Stage::Stopping { .. }) || run.resolution.is_some()
            });
            if stopping || victims.contains(job) {
                available += entry.accelerators;
            } else {
                let since = owner.run.as_ref().map(|run| run.since);
                candidates.push((since, owner.key, *job, entry.accelerators));
            }
        }
        // The job that has run for the shortest time loses the least work.
        candidates.sort_unstable();
        while available < need {
            let (_, _, job, amount) = candidates.pop()?;
            victims.push(job);
            available += amount;
        }
        Some(())
    }

    fn is_claim(&self, id: u32) -> bool {
        let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
        run.is_some_and(|run| matches!(run.stage, Stage::Earmarked { claim: true, .. }))
    }

    /// Starts the jobs whose earmarked accelerators have become free.
    pub(super) fn start_ready(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.superseded || !self.operating_mode.may_record() {
            return;
        }
        // A preemption can free accelerators that another job waits for, so the loop runs until the
        // set is empty.
        while let Some(id) = self.ready_candidates.pop_first() {
            let Some(entry) = self.jobs.get(&id) else {
                continue;
            };
            let Some(run) = &entry.run else {
                self.enqueue(id, out);
                continue;
            };
            let Stage::Earmarked { claim, .. } = run.stage else {
                continue;
            };
            if self.is_ready(id) {
                self.start_earmarked(now, id, out);
            } else if !claim {
                self.preempt_backfill(now, id, out);
            }
        }
    }

    fn is_ready(&self, id: u32) -> bool {
        let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
        run.is_some_and(|run| {
            run.parts.iter().all(|part| {
                let worker = self.fleet.worker(part.slot);
                let required = worker.assigned + worker.non_preemptible + part.accelerators;
                // Accelerators freed by preemption for a claim are not available to a reservation
                // on the same worker.
                let claims = worker
                    .earmarks
                    .iter()
                    .filter(|(job, _)| self.is_claim(**job));
                let claimed_by_others: Accelerators = claims.map(|(_, amount)| *amount).sum();
                let claimed_by_others = if self.is_claim(id) {
                    0
                } else {
                    claimed_by_others
                };
                let allowed = run.charge != Charge::NonPreemptible
                    || required <= worker.announced.accelerators;
                allowed
                    && worker.state == State::Up
                    && worker.idle() >= part.accelerators + claimed_by_others
                    && self.fleet.startable(worker.location.domain)
            })
        })
    }

    fn start_earmarked(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        self.reservations.remove(&id);
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.take());
        let Some(run) = run else {
            return;
        };
        for part in &run.parts {
            self.fleet.remove_earmark(part.slot, id);
        }
        self.launch(now, id, run, out);
    }

    /// Returns [`Reason::GuaranteeSuspended`] with its numbers if the guarantee that would cover
    /// the job lacks workers.
    pub(super) fn suspension_reason(&self, id: u32) -> Option<Reason> {
        let entry = self.jobs.get(&id)?;
        let workspace = entry.spec.workspace.clone();
        let state = self.workspaces.get(&workspace)?;
        let first = (state.spec.rank, workspace.clone(), 0);
        let unassigned = self
            .unassigned
            .range(first..)
            .take_while(|at| at.1 == workspace);
        let mut unassigned = unassigned.map(|at| state.assignments[at.2].shape);
        if !unassigned.any(|shape| guarantee::covers(&shape, &entry.spec)) {
            return None;
        }
        let needed = state
            .assignments
            .iter()
            .map(|assignment| assignment.shape.accelerators())
            .sum();
        let assigned = state
            .assignments
            .iter()
            .filter(|assignment| assignment.placed_parts.is_some());
        let available = assigned
            .map(|assignment| assignment.shape.accelerators())
            .sum();
        Some(Reason::GuaranteeSuspended {
            workspace,
            needed,
            available,
        })
    }
}
