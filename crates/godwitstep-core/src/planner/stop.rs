//! End of runs: earmarks and holds are released, parts are stopped, and the job is requeued or
//! ended.

use super::Planner;
use super::event::{Action, End};
use super::job::{Resolution, Stage, Status};
use super::submit::millis;
use crate::fleet::{Charge, Slot};
use crate::reason::Reason;
use crate::record;
use crate::resource::Phase;
use std::time::Duration;

impl Planner {
    /// Stops all parts of a run, saving the job's state first where that is possible.
    pub(super) fn begin_stop(
        &mut self,
        now: Duration,
        id: u32,
        resolution: Resolution,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(run) = &mut entry.run else {
            return;
        };
        let checkpoint = entry.spec.checkpointable && run.stage == Stage::Running;
        run.stage = Stage::Stopping { checkpoint };
        run.since = now;
        let reason = match &resolution {
            Resolution::Requeue(reason) | Resolution::End(_, reason) => reason.clone(),
        };
        run.resolution = Some(resolution);
        self.explain(id, reason, out);
        self.send_stop(id, checkpoint, out);
        self.set_job_timer(id, now + self.settings.stop_resend_interval);
        self.check_ended(now, id, out);
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
        self.set_job_timer(id, now + self.settings.stop_resend_interval);
    }

    pub(super) fn check_ended(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
        if run.is_some_and(|run| run.all_parts(Status::is_ended)) {
            self.finish_run(now, id, out);
        }
    }

    /// Ends a run whose parts have all ended, or that never started any.
    pub(super) fn finish_run(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        self.free_parts(id);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let (repeatable, idempotent) = (entry.repeatable(), entry.spec.idempotent);
        let Some(run) = entry.run.take() else {
            return;
        };
        let (job, key) = (entry.name.clone(), entry.key);
        self.clear_job_timer(id);
        self.evacuations.remove(&(key, id));
        if run.committed_at.is_some()
            && run.all_parts(|status| status == Status::Ended(Some(End::Done)))
        {
            return self.finish_job(id, Phase::Done, Reason::Completed, out);
        }
        match run.resolution {
            Some(Resolution::End(phase, reason)) => self.finish_job(id, phase, reason, out),
            Some(Resolution::Requeue(_))
                if !run.never_started()
                    && (!repeatable || (!idempotent && run.may_have_completed())) =>
            {
                self.finish_job(id, Phase::Unknown, Reason::CutOff, out);
            }
            Some(Resolution::Requeue(reason)) => {
                let event = record::Event::Requeue {
                    job,
                    attempt: run.attempt,
                    epoch: self.epoch,
                    reason: reason.clone(),
                };
                self.record(event, out);
                self.resolve(now, id, Resolution::Requeue(reason), out);
            }
            None => self.enqueue(id, out),
        }
    }

    /// Drops the earmarks of a job. The job has no run afterwards.
    pub(super) fn drop_earmark(&mut self, id: u32) {
        self.reservations.remove(&id);
        self.ready_candidates.remove(&id);
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.take());
        let Some(run) = run else {
            return;
        };
        let workspace = self.jobs[&id].spec.workspace.clone();
        for part in &run.parts {
            self.fleet.remove_earmark(part.slot, id);
            if run.charge == Charge::Guaranteed {
                self.return_assigned(&workspace, part.slot, part.accelerators);
            }
        }
        self.freed = true;
    }

    /// Releases holds that were not committed. The job has no run afterwards.
    pub(super) fn drop_holds(&mut self, id: u32, out: &mut Vec<Action>) {
        self.send_release(id, out);
        self.free_parts(id);
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.run = None;
        }
        self.clear_job_timer(id);
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

    /// Frees the accelerators of a part, if they are still charged to its worker.
    pub(super) fn free_part(&mut self, id: u32, slot: Slot) {
        let Some(entry) = self.fleet.release(slot, id) else {
            return;
        };
        if entry.charge == Charge::Guaranteed
            && let Some(workspace) = self.jobs.get(&id).map(|job| job.spec.workspace.clone())
        {
            self.return_assigned(&workspace, slot, entry.accelerators);
        }
        self.freed = true;
        if !self.unassigned.is_empty() {
            self.reassign = true;
        }
        let waiting = self.fleet.worker(slot).earmarks.keys().copied();
        self.ready_candidates.extend(waiting.collect::<Vec<_>>());
    }

    /// Adds the run time of a completed job to the estimates.
    pub(super) fn record_run_time(&mut self, now: Duration, id: u32) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let not_adopted = entry.run.as_ref().filter(|run| !run.adopted);
        if let Some(committed) = not_adopted.and_then(|run| run.committed_at)
            && millis(now) > millis(committed)
        {
            let spec = &entry.spec;
            self.estimates
                .observe(&spec.workspace, &spec.kind, now.saturating_sub(committed));
        }
    }
}
