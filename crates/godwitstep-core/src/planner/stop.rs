//! Runs that are given up: promises and holds dropped, parts stopped, the job's fate settled.

use super::Planner;
use super::event::{Action, End};
use super::job::{Fate, Stage, Status};
use super::submit::millis;
use crate::fleet::{Charge, Slot};
use crate::reason::Reason;
use crate::record;
use crate::resource::Phase;
use std::time::Duration;

impl Planner {
    /// Stops all parts of a run, saving the job's state first where that is possible.
    pub(super) fn begin_stop(&mut self, now: Duration, id: u32, fate: Fate, out: &mut Vec<Action>) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(run) = &mut entry.run else {
            return;
        };
        let checkpoint = entry.spec.checkpointable && run.stage == Stage::Running;
        run.stage = Stage::Stopping { checkpoint };
        run.since = now;
        let reason = match &fate {
            Fate::Requeue(reason) | Fate::End(_, reason) => reason.clone(),
        };
        run.fate = Some(fate);
        self.explain(id, reason, out);
        self.send_stop(id, checkpoint, out);
        self.wake(id, now + self.settings.stop_repeat);
        self.check_over(now, id, out);
    }

    pub(super) fn repeat_stop(
        &mut self,
        now: Duration,
        id: u32,
        checkpoint: bool,
        out: &mut Vec<Action>,
    ) {
        let limit = self.settings.checkpoint_limit;
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let Some(run) = run else {
            return;
        };
        let checkpoint = checkpoint && now < run.since + limit;
        run.stage = Stage::Stopping { checkpoint };
        self.send_stop(id, checkpoint, out);
        self.wake(id, now + self.settings.stop_repeat);
    }

    pub(super) fn check_over(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
        if run.is_some_and(|run| run.all(Status::is_over)) {
            self.finish(now, id, out);
        }
    }

    /// Ends a run whose parts are all over, or that never started any.
    pub(super) fn finish(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        self.free_parts(id);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let (repeatable, idempotent) = (entry.repeatable(), entry.spec.idempotent);
        let Some(run) = entry.run.take() else {
            return;
        };
        let (job, key) = (entry.name.clone(), entry.key);
        self.sleep(id);
        self.moves.remove(&(key, id));
        if run.committed.is_some() && run.all(|status| status == Status::Over(Some(End::Done))) {
            return self.conclude(id, Phase::Done, Reason::Completed, out);
        }
        match run.fate {
            Some(Fate::End(phase, reason)) => self.conclude(id, phase, reason, out),
            Some(Fate::Requeue(_))
                if !run.never_started()
                    && (!repeatable || (!idempotent && run.may_have_completed())) =>
            {
                self.conclude(id, Phase::Unknown, Reason::CutOff, out);
            }
            Some(Fate::Requeue(reason)) => {
                let event = record::Event::Requeue {
                    job,
                    attempt: run.attempt,
                    epoch: self.epoch,
                    reason: reason.clone(),
                };
                self.record(event, out);
                self.resolve(now, id, Fate::Requeue(reason), out);
            }
            None => self.enqueue(id, out),
        }
    }

    /// Gives up a promise. The job has no run afterwards.
    pub(super) fn drop_pledge(&mut self, id: u32) {
        self.reservations.remove(&id);
        self.ripe.remove(&id);
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.take());
        let Some(run) = run else {
            return;
        };
        let workspace = self.jobs[&id].spec.workspace.clone();
        for part in &run.parts {
            self.fleet.unpledge(part.slot, id);
            if run.charge == Charge::Home {
                self.restore_home(&workspace, part.slot, part.accelerators);
            }
        }
        self.freed = true;
    }

    /// Gives up holds that were not committed. The job has no run afterwards.
    pub(super) fn drop_holds(&mut self, id: u32, out: &mut Vec<Action>) {
        self.send_release(id, out);
        self.free_parts(id);
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.run = None;
        }
        self.sleep(id);
    }

    fn free_parts(&mut self, id: u32) {
        let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
        let slots: Vec<Slot> = run
            .map(|run| run.parts.iter().map(|part| part.slot).collect())
            .unwrap_or_default();
        for slot in slots {
            self.free_part(id, slot);
        }
    }

    /// Takes a part out of the books, if it is still in them.
    pub(super) fn free_part(&mut self, id: u32, slot: Slot) {
        let Some(entry) = self.fleet.give(slot, id) else {
            return;
        };
        if entry.charge == Charge::Home
            && let Some(workspace) = self.jobs.get(&id).map(|job| job.spec.workspace.clone())
        {
            self.restore_home(&workspace, slot, entry.accelerators);
        }
        self.freed = true;
        if !self.unplaced.is_empty() {
            self.rehome = true;
        }
        let waiting = self.fleet.machine(slot).pledges.keys().copied();
        self.ripe.extend(waiting.collect::<Vec<_>>());
    }

    /// Notes the run time of a job that completed.
    pub(super) fn observe(&mut self, now: Duration, id: u32) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let own = entry.run.as_ref().filter(|run| !run.adopted);
        if let Some(committed) = own.and_then(|run| run.committed)
            && millis(now) > millis(committed)
        {
            let spec = &entry.spec;
            self.estimates
                .observe(&spec.workspace, &spec.kind, now.saturating_sub(committed));
        }
    }
}
