//! Claims on guarantees: borrowers give way within a bounded time.

use super::Planner;
use super::event::Action;
use super::job::{Fate, Stage};
use crate::fleet::{Charge, Slot, Spot, State};
use crate::guarantee;
use crate::id::Accelerators;
use crate::reason::Reason;
use std::time::Duration;

/// Time after which a claim that is still not free is planned anew. Borrowers have 20 s to save
/// their state and some to stop, 30 s in all.
pub(super) const CLAIM_LIFE: Duration = Duration::from_secs(35);

impl Planner {
    /// Claims the job's guarantee from its borrowers, if that makes room for it. Urgent work also
    /// claims unguaranteed capacity from jobs that give way.
    pub(super) fn claim(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        let (shape, urgent) = (entry.spec.shape, entry.key.class == 0);
        let startable = |zone| self.fleet.startable(zone);
        let home = self.tenants.get(&entry.spec.workspace).and_then(|tenant| {
            let spots = tenant.left.place(shape, &startable, &entry.failed_on);
            spots.or_else(|| tenant.left.place(shape, &startable, &[]))
        });
        let room = || {
            let wanted = urgent && !entry.lane.soft;
            wanted.then(|| self.fleet.find_room(shape)).flatten()
        };
        let home = home.map(|spots| (spots, Charge::Home));
        let Some((spots, charge)) = home.or_else(|| room().map(|spots| (spots, Charge::Firm)))
        else {
            return false;
        };
        let Some(victims) = self.victims(id, &spots) else {
            return false;
        };
        self.dequeue(id);
        let start = now + self.settings.checkpoint_limit;
        let stage = Stage::Pledged { claim: true, start };
        self.pledge(now, id, &spots, charge, stage);
        self.wake(id, now + CLAIM_LIFE);
        let names = victims.iter().filter_map(|job| self.jobs.get(job));
        let victims_named = names.map(|entry| entry.name.clone()).collect();
        let reason = Reason::WaitingForPreemption {
            victims: victims_named,
        };
        self.explain(id, reason, out);
        self.preempt(now, id, victims, out);
        true
    }

    /// Promises workers to a job and notes the promise as its run.
    pub(super) fn pledge(
        &mut self,
        now: Duration,
        id: u32,
        spots: &[Spot],
        charge: Charge,
        stage: Stage,
    ) {
        let run = self.new_run(now, id, spots, charge, stage);
        let workspace = self.jobs[&id].spec.workspace.clone();
        for part in &run.parts {
            self.fleet.pledge(part.slot, id, part.accelerators);
            if charge == Charge::Home {
                self.spend_home(&workspace, part.slot, part.accelerators);
            }
        }
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.run = Some(run);
        }
        self.ripe.insert(id);
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
            self.withdraw(now, victim, Fate::Requeue(reason), out);
        }
    }

    /// Chooses the jobs that must give way to make spots free; `None` if that is not possible.
    fn victims(&self, id: u32, spots: &[Spot]) -> Option<Vec<u32>> {
        let each = self.jobs.get(&id)?.spec.shape.accelerators;
        let mut victims = Vec::new();
        for spot in spots {
            self.victims_at(spot.slot, spot.tasks * each, &mut victims)?;
        }
        Some(victims)
    }

    fn victims_at(&self, slot: Slot, need: Accelerators, victims: &mut Vec<u32>) -> Option<()> {
        let machine = self.fleet.machine(slot);
        if machine.state != State::Up {
            return None;
        }
        let claimed = machine
            .pledges
            .iter()
            .filter(|(job, _)| self.is_claim(**job));
        let claimed: Accelerators = claimed.map(|(_, amount)| *amount).sum();
        let need = need + claimed;
        let mut available = machine.idle();
        let mut candidates = Vec::new();
        for (job, entry) in &machine.uses {
            let Some(owner) = self.jobs.get(job).filter(|_| entry.charge == Charge::Soft) else {
                continue;
            };
            let stopping = owner.run.as_ref().is_some_and(|run| {
                matches!(run.stage, Stage::Stopping { .. }) || run.fate.is_some()
            });
            if stopping || victims.contains(job) {
                available += entry.accelerators;
            } else {
                let since = owner.run.as_ref().map(|run| run.since);
                candidates.push((since, owner.key, *job, entry.accelerators));
            }
        }
        // The job that has run for the shortest time loses least.
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
        run.is_some_and(|run| matches!(run.stage, Stage::Pledged { claim: true, .. }))
    }

    /// Starts the jobs whose promised accelerators have become free.
    pub(super) fn ripen(&mut self, now: Duration, out: &mut Vec<Action>) {
        if self.superseded || !self.standing.may_promise() {
            return;
        }
        // Giving way can free what another job waits for.
        while let Some(id) = self.ripe.pop_first() {
            let Some(entry) = self.jobs.get(&id) else {
                continue;
            };
            let Some(run) = &entry.run else {
                self.enqueue(id, out);
                continue;
            };
            let Stage::Pledged { claim, .. } = run.stage else {
                continue;
            };
            if self.is_ripe(id) {
                self.start_pledged(now, id, out);
            } else if !claim {
                self.clear_shadow(now, id, out);
            }
        }
    }

    fn is_ripe(&self, id: u32) -> bool {
        let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
        run.is_some_and(|run| {
            run.parts.iter().all(|part| {
                let machine = self.fleet.machine(part.slot);
                let taken = machine.homed + machine.firm + part.accelerators;
                // What a claim has made borrowers give up is not for a reservation on the same
                // worker.
                let others = machine
                    .pledges
                    .iter()
                    .filter(|(job, _)| self.is_claim(**job));
                let kept: Accelerators = others.map(|(_, amount)| *amount).sum();
                let kept = if self.is_claim(id) { 0 } else { kept };
                let allowed = run.charge != Charge::Firm || taken <= machine.worker.accelerators;
                allowed
                    && machine.state == State::Up
                    && machine.idle() >= part.accelerators + kept
                    && self.fleet.startable(machine.seat.domain)
            })
        })
    }

    fn start_pledged(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        self.reservations.remove(&id);
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.take());
        let Some(run) = run else {
            return;
        };
        for part in &run.parts {
            self.fleet.unpledge(part.slot, id);
        }
        self.launch(now, id, run, out);
    }

    /// Returns the numbers if the guarantee that would cover a job is suspended.
    pub(super) fn suspension(&self, id: u32) -> Option<Reason> {
        let entry = self.jobs.get(&id)?;
        let workspace = entry.spec.workspace.clone();
        let tenant = self.tenants.get(&workspace)?;
        let first = (tenant.spec.rank, workspace.clone(), 0);
        let lacking = self
            .unplaced
            .range(first..)
            .take_while(|at| at.1 == workspace);
        let mut lacking = lacking.map(|at| tenant.homes[at.2].shape);
        if !lacking.any(|shape| guarantee::covers(&shape, &entry.spec)) {
            return None;
        }
        let needed = tenant
            .homes
            .iter()
            .map(|home| home.shape.accelerators())
            .sum();
        let kept = tenant.homes.iter().filter(|home| home.spots.is_some());
        let available = kept.map(|home| home.shape.accelerators()).sum();
        Some(Reason::GuaranteeSuspended {
            workspace,
            needed,
            available,
        })
    }
}
