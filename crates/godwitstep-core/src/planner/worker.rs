//! Workers that come, leave, are lost and come back with an inventory.

use super::Planner;
use super::event::{Action, Running, Worker};
use super::job::{Fate, Stage, Status};
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
        let moved = |slot| {
            let known = &self.fleet.machine(slot).worker;
            known.domain != worker.domain
                || known.rack != worker.rack
                || known.accelerators != worker.accelerators
        };
        if let Some(slot) = self.fleet.slot(&worker.id).filter(|slot| moved(*slot)) {
            self.drop_homes_at(slot);
        }
        let known = self.fleet.slot(&worker.id);
        if known.is_none_or(|slot| self.fleet.machine(slot).worker.accelerators == 0) {
            self.note_new(now);
        }
        let slot = self.fleet.announce(worker);
        if self.quarantine.suspects(slot) {
            self.fleet.set_state(slot, State::Quarantined);
        }
        self.show_homes(slot);
        self.freed = true;
        self.rehome_soon(now);
        for running in inventory {
            self.reconcile(slot, running, out);
        }
        let booked: Vec<u32> = self.fleet.machine(slot).uses.keys().copied().collect();
        for id in booked {
            self.expect_missing(now, id, slot, inventory);
            self.check_adopted(now, id, out);
        }
    }

    /// Compares one item of an inventory with the books and gives up what must not run.
    fn reconcile(&mut self, slot: Slot, running: &Running, out: &mut Vec<Action>) {
        let worker = self.worker(slot);
        let (job, attempt) = (running.job.clone(), running.attempt);
        let located = self.locate(&worker, &job, attempt);
        let Some((id, _)) = located else {
            let id = self.names.get(&job);
            let recorded = id
                .and_then(|id| self.jobs.get(id))
                .map(|entry| entry.attempt);
            // A run that is not recorded was never committed. Its number may be used again, so it
            // must not be stopped, which would bar it from this worker.
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
            Status::Over(_) => out.push(Action::Stop {
                worker,
                job,
                attempt,
                checkpoint: false,
            }),
            Status::Unheard if running.settled => {
                part.status = Status::Started;
                part.settled = true;
            }
            Status::Unheard => part.status = Status::Committed,
            _ => part.settled |= running.settled,
        }
    }

    /// Sets a limit for news of a part that an inventory lacks. Its end may be on the way.
    fn expect_missing(&mut self, now: Duration, id: u32, slot: Slot, inventory: &[Running]) {
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
        // A hold that is gone shows when it is renewed or committed.
        if matches!(run.stage, Stage::Reserving | Stage::Recording) {
            return;
        }
        let attempt = run.attempt;
        if let Some(part) = run.part_mut(slot) {
            part.doubted = true;
        }
        let timer = Timer::Missing {
            job: id,
            attempt,
            slot,
        };
        self.timers
            .insert((now + self.settings.inventory_grace, timer));
    }

    pub(super) fn missing(
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
        let lacks = entry.run.as_ref().is_some_and(|run| {
            let mut parts = run.parts.iter();
            run.attempt == attempt && parts.any(|part| part.slot == slot && !part.status.is_over())
        });
        // The part counts as gone only once the worker has acknowledged a stop, which bars the run
        // from it: a commit of an earlier decider may still be on its way.
        if lacks {
            let worker = self.worker(slot);
            let fate = Fate::Requeue(Reason::WorkerLost { worker });
            self.withdraw(now, id, fate, out);
        }
    }

    pub(super) fn worker_leaving(&mut self, id: &WorkerId) {
        let Some(slot) = self.fleet.slot(id) else {
            return;
        };
        if !matches!(self.fleet.machine(slot).state, State::Lost(_)) {
            self.fleet.set_state(slot, State::Leaving);
            self.drop_homes_at(slot);
            self.drop_pledges_at(slot);
        }
    }

    pub(super) fn worker_lost(&mut self, now: Duration, id: &WorkerId, out: &mut Vec<Action>) {
        let Some(slot) = self.fleet.slot(id) else {
            return;
        };
        if matches!(self.fleet.machine(slot).state, State::Lost(_)) {
            return;
        }
        self.fleet.set_state(slot, State::Lost(now));
        self.timers
            .insert((now + self.settings.lease, Timer::Lease(slot)));
        self.drop_pledges_at(slot);
        self.hide_homes(slot);
        let booked: Vec<u32> = self.fleet.machine(slot).uses.keys().copied().collect();
        for id in booked {
            let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
            let stage = run.map(|run| run.stage.clone());
            if matches!(stage, Some(Stage::Reserving | Stage::Recording)) {
                let worker = self.worker(slot);
                let fate = Fate::Requeue(Reason::WorkerLost { worker });
                self.withdraw(now, id, fate, out);
            }
        }
    }

    /// Stops the gangs that have parts on a worker that was lost for longer than its lease, and gives
    /// those parts up once the agent has stopped them for want of contact. Until then a gang does
    /// not start again, because the worker may be alive and only cut off.
    pub(super) fn lease_lapsed(&mut self, now: Duration, slot: Slot, out: &mut Vec<Action>) {
        let State::Lost(since) = self.fleet.machine(slot).state else {
            return;
        };
        if now < since + self.settings.lease {
            return;
        }
        self.drop_homes_at(slot);
        let silent = now >= since + self.settings.silence;
        if !silent {
            let timer = Timer::Lease(slot);
            self.timers.insert((since + self.settings.silence, timer));
        }
        let booked: Vec<u32> = self.fleet.machine(slot).uses.keys().copied().collect();
        for id in booked {
            let Some(entry) = self.jobs.get(&id) else {
                continue;
            };
            let stage = entry.run.as_ref().map(|run| run.stage.clone());
            // A job that is not started again need not wait.
            if silent || !entry.repeatable() {
                self.part_over(now, id, slot, None, out);
            } else if let Some(Stage::Starting | Stage::Running | Stage::Adopting) = stage {
                let worker = self.worker(slot);
                let fate = Fate::Requeue(Reason::WorkerLost { worker });
                self.begin_stop(now, id, fate, out);
            }
        }
    }
}
