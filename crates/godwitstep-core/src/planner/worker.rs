//! Workers that announce themselves, drain, are lost or return with an inventory.

use super::Planner;
use super::event::{Action, Running, Worker};
use super::job::{Resolution, Stage, Status};
use super::timer::Timer;
use crate::fleet::{Slot, State};
use crate::id::{Attempt, WorkerId};
use crate::reason::Reason;
use std::time::Duration;

impl Planner {
    pub(super) fn worker_up(
        &mut self,
        now: Duration,
        worker: Worker,
        inventory: &[Running],
        out: &mut Vec<Action>,
    ) {
        let changed = |slot| {
            let known = &self.fleet.worker(slot).announced;
            known.domain != worker.domain
                || known.rack != worker.rack
                || known.accelerators != worker.accelerators
        };
        if let Some(slot) = self.fleet.slot(&worker.id).filter(|slot| changed(*slot)) {
            self.unassign_worker(slot);
        }
        let known = self.fleet.slot(&worker.id);
        if known.is_none_or(|slot| self.fleet.worker(slot).announced.accelerators == 0) {
            self.restart_discovery(now);
        }
        let slot = self.fleet.announce(worker);
        if self.quarantine.is_suspected(slot) {
            self.fleet.set_state(slot, State::Quarantined);
        }
        self.resume_assignments(slot);
        self.freed = true;
        self.request_reassignment(now);
        for running in inventory {
            self.reconcile(slot, running, out);
        }
        let jobs_on_worker: Vec<u32> = self
            .fleet
            .worker(slot)
            .allocations
            .keys()
            .copied()
            .collect();
        for id in jobs_on_worker {
            self.start_missing_timer(now, id, slot, inventory);
            self.check_adopted(now, id, out);
        }
    }

    /// Reconciles one inventory item with the planner's state and releases or stops what must not
    /// run.
    fn reconcile(&mut self, slot: Slot, running: &Running, out: &mut Vec<Action>) {
        let worker = self.worker_id(slot);
        let (job, attempt) = (running.job.clone(), running.attempt);
        let located = self.locate_part(&worker, &job, attempt);
        let Some((id, _)) = located else {
            let id = self.names.get(&job);
            let recorded = id
                .and_then(|id| self.jobs.get(id))
                .map(|entry| entry.attempt);
            // A run that is not recorded was never committed. Its number may be reused, so the part
            // is released: after a stop the agent would refuse every run with this number.
            let held = recorded.is_some_and(|recorded| attempt > recorded);
            return out.push(if held {
                Action::Release {
                    worker,
                    job,
                    attempt,
                }
            } else {
                Action::Stop {
                    worker,
                    job,
                    attempt,
                    checkpoint: false,
                }
            });
        };
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let Some(part) = run.and_then(|run| run.part_mut(slot)) else {
            return;
        };
        match part.status {
            Status::Ended(_) => out.push(Action::Stop {
                worker,
                job,
                attempt,
                checkpoint: false,
            }),
            Status::Unconfirmed if running.settled => {
                part.status = Status::Started;
                part.settled = true;
            }
            Status::Unconfirmed => part.status = Status::Committed,
            _ => part.settled |= running.settled,
        }
    }

    /// Starts a timer for a part that is missing from an inventory, because the report of its end
    /// may still be on the way.
    fn start_missing_timer(&mut self, now: Duration, id: u32, slot: Slot, inventory: &[Running]) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(run) = &mut entry.run else {
            return;
        };
        let listed = inventory.iter();
        let mut listed = listed.filter(|item| item.job == entry.name);
        if listed.any(|item| item.attempt == run.attempt) {
            return;
        }
        // A lost hold is detected when it is renewed or committed.
        if matches!(run.stage, Stage::Reserving | Stage::Recording) {
            return;
        }
        let attempt = run.attempt;
        if let Some(part) = run.part_mut(slot) {
            part.missing_from_inventory = true;
        }
        let timer = Timer::Missing {
            job: id,
            attempt,
            slot,
        };
        self.timers
            .insert((now + self.settings.inventory_grace, timer));
    }

    pub(super) fn part_missing(
        &mut self,
        now: Duration,
        id: u32,
        attempt: Attempt,
        slot: Slot,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let is_missing = entry.run.as_ref().is_some_and(|run| {
            let mut parts = run.parts.iter();
            run.attempt == attempt && parts.any(|part| part.slot == slot && !part.status.is_ended())
        });
        // The part counts as ended only once the worker has acknowledged a stop, after which the
        // run can't start there: a commit of an earlier decider may still be in flight.
        if is_missing {
            let worker = self.worker_id(slot);
            let resolution = Resolution::Requeue(Reason::WorkerLost { worker });
            self.withdraw(now, id, resolution, out);
        }
    }

    pub(super) fn worker_leaving(&mut self, id: &WorkerId) {
        let Some(slot) = self.fleet.slot(id) else {
            return;
        };
        if !matches!(self.fleet.worker(slot).state, State::Lost(_)) {
            self.fleet.set_state(slot, State::Leaving);
            self.unassign_worker(slot);
            self.drop_earmarks_on_worker(slot);
        }
    }

    pub(super) fn worker_lost(&mut self, now: Duration, id: &WorkerId, out: &mut Vec<Action>) {
        let Some(slot) = self.fleet.slot(id) else {
            return;
        };
        if matches!(self.fleet.worker(slot).state, State::Lost(_)) {
            return;
        }
        self.fleet.set_state(slot, State::Lost(now));
        self.timers
            .insert((now + self.settings.lease, Timer::Lease(slot)));
        self.drop_earmarks_on_worker(slot);
        self.suspend_assignments(slot);
        let jobs_on_worker: Vec<u32> = self
            .fleet
            .worker(slot)
            .allocations
            .keys()
            .copied()
            .collect();
        for id in jobs_on_worker {
            let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
            let stage = run.map(|run| run.stage.clone());
            if matches!(stage, Some(Stage::Reserving | Stage::Recording)) {
                let worker = self.worker_id(slot);
                let resolution = Resolution::Requeue(Reason::WorkerLost { worker });
                self.withdraw(now, id, resolution, out);
            }
        }
    }

    /// Stops the gangs that have parts on a worker that was lost for longer than its lease. Those
    /// parts count as ended once the agent must have stopped them for lack of contact. Until then
    /// the gang is not restarted, because the worker may still run behind a network partition.
    pub(super) fn lease_lapsed(&mut self, now: Duration, slot: Slot, out: &mut Vec<Action>) {
        let State::Lost(since) = self.fleet.worker(slot).state else {
            return;
        };
        if now < since + self.settings.lease {
            return;
        }
        self.unassign_worker(slot);
        let silent = now >= since + self.settings.silence_limit;
        if !silent {
            let timer = Timer::Lease(slot);
            self.timers
                .insert((since + self.settings.silence_limit, timer));
        }
        let jobs_on_worker: Vec<u32> = self
            .fleet
            .worker(slot)
            .allocations
            .keys()
            .copied()
            .collect();
        for id in jobs_on_worker {
            let Some(entry) = self.jobs.get(&id) else {
                continue;
            };
            let stage = entry.run.as_ref().map(|run| run.stage.clone());
            // A job that can't be restarted need not wait.
            if silent || !entry.repeatable() {
                self.part_ended(now, id, slot, None, out);
            } else if let Some(Stage::Starting | Stage::Running | Stage::Adopting) = stage {
                let worker = self.worker_id(slot);
                let resolution = Resolution::Requeue(Reason::WorkerLost { worker });
                self.begin_stop(now, id, resolution, out);
            }
        }
    }
}
