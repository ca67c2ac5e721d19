//! Gang start protocol: a gang starts as a whole or not at all.

use super::Planner;
use super::event::{Action, End};
use super::job::{Resolution, Stage, Status};
use crate::id::{Attempt, JobId, WorkerId};
use crate::reason::Reason;
use crate::record;
use std::time::Duration;

impl Planner {
    pub(super) fn held(
        &mut self,
        now: Duration,
        worker: WorkerId,
        job: JobId,
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) {
        let slot = self.fleet.slot(&worker);
        let id = self.names.get(&job).copied();
        let entry = id.and_then(|id| self.jobs.get_mut(&id));
        let run = entry.and_then(|entry| entry.run.as_mut());
        let run = run.filter(|run| run.attempt == attempt);
        let (Some(run), Some(slot), Some(id)) = (run, slot, id) else {
            return out.push(Action::Release {
                worker,
                job,
                attempt,
            });
        };
        if run.stage != Stage::Reserving {
            return;
        }
        if let Some(part) = run.part_mut(slot) {
            part.status = Status::Held;
        }
        if run.all_parts(|status| status == Status::Held) {
            self.append_start(now, id, out);
        }
    }

    fn append_start(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        self.check_gang_complete(id);
        let epoch = self.epoch;
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(run) = &mut entry.run else {
            return;
        };
        run.stage = Stage::Recording;
        run.since = now;
        let (attempt, borrowed) = (run.attempt, run.borrowed);
        let parts: Vec<_> = run.parts.clone();
        let job = entry.name.clone();
        let parts: Vec<_> = parts
            .iter()
            .map(|part| record::Part {
                worker: self.worker_id(part.slot),
                tasks: part.tasks,
                accelerators: part.accelerators,
            })
            .collect();
        let workers = parts.iter().map(|part| part.worker.clone()).collect();
        let reason = Reason::Placed { workers, borrowed };
        let event = record::Event::Start {
            job,
            attempt,
            epoch,
            parts,
            reason: reason.clone(),
        };
        self.record(event, out);
        self.explain(id, reason, out);
        self.set_job_timer(id, now + self.settings.reserve_limit / 2);
    }

    pub(super) fn recorded(
        &mut self,
        now: Duration,
        job: &JobId,
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.recording_job(job, attempt) else {
            return;
        };
        let may_start = self.operating_mode.may_start();
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.attempt = attempt;
        let Some(run) = &mut entry.run else {
            return;
        };
        run.recorded = true;
        if !may_start && run.resolution.is_none() {
            run.resolution = Some(Resolution::Requeue(Reason::Halted));
        }
        if run.resolution.is_some() {
            self.send_release(id, out);
            return self.finish_run(now, id, out);
        }
        run.stage = Stage::Starting;
        run.since = now;
        run.committed_at = Some(now);
        for part in &mut run.parts {
            part.status = Status::Committed;
        }
        self.send_commit(id, out);
        self.set_job_timer(id, now + self.settings.resend_interval);
    }

    pub(super) fn not_recorded(
        &mut self,
        now: Duration,
        job: &JobId,
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.recording_job(job, attempt) else {
            return;
        };
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let resolution = run.and_then(|run| run.resolution.take());
        self.drop_holds(id, out);
        match resolution {
            Some(resolution) => self.resolve(now, id, resolution, out),
            None => self.retry_later(now, id, Reason::LogUnavailable, out),
        }
    }

    fn recording_job(&self, job: &JobId, attempt: Attempt) -> Option<u32> {
        let id = *self.names.get(job)?;
        let run = self.jobs.get(&id)?.run.as_ref()?;
        (run.stage == Stage::Recording && run.attempt == attempt).then_some(id)
    }

    pub(super) fn denied(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        job: &JobId,
        attempt: Attempt,
        reason: &Reason,
        out: &mut Vec<Action>,
    ) {
        if let Reason::EpochSuperseded { newest } = reason {
            // The decider of the newer epoch schedules this job, so this planner must not record
            // anything about it.
            self.superseded |= *newest > self.epoch;
            return;
        }
        let Some((id, slot)) = self.locate_part(worker, job, attempt) else {
            return;
        };
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        let Some(run) = &mut entry.run else {
            return;
        };
        let worker = worker.clone();
        match run.stage {
            Stage::Reserving => {
                if let Some(part) = run.part_mut(slot) {
                    part.status = Status::Ended(Some(End::NotStarted));
                }
                entry.avoid = Some(slot);
                self.drop_holds(id, out);
                self.explain(id, Reason::PartNotStarted { worker }, out);
                let pause = self.settings.resend_interval;
                let jitter = pause.mul_f64(self.rng.f64());
                self.set_job_timer(id, now + pause + jitter);
            }
            Stage::Recording => {
                let resolution = Resolution::Requeue(Reason::PartNotStarted { worker });
                run.resolution.get_or_insert(resolution);
            }
            Stage::Starting => self.part_ended(now, id, slot, Some(End::NotStarted), out),
            _ => {}
        }
    }

    pub(super) fn started(
        &mut self,
        now: Duration,
        worker: WorkerId,
        job: JobId,
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) {
        let Some((id, slot)) = self.locate_part(&worker, &job, attempt) else {
            // The run is unknown to this planner, or has ended or been replaced.
            return out.push(Action::Stop {
                worker,
                job,
                attempt,
                checkpoint: false,
            });
        };
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let Some(run) = run.filter(|run| run.stage == Stage::Starting) else {
            return;
        };
        if let Some(part) = run.part_mut(slot)
            && part.status == Status::Committed
        {
            part.status = Status::Started;
            self.check_started(now, id, out);
        }
    }

    /// Settles a gang once all its parts have started.
    pub(super) fn check_started(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let Some(run) = run else {
            return;
        };
        let running = |status| matches!(status, Status::Started | Status::Ended(Some(End::Done)));
        if !run.all_parts(running) {
            return;
        }
        run.stage = Stage::Running;
        run.since = now;
        self.update_busy_until(now, id);
        self.send_settle(id, out);
        self.set_job_timer(id, now + self.settings.resend_interval);
    }

    /// Updates on the run's workers when the run is expected to end.
    fn update_busy_until(&mut self, now: Duration, id: u32) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let spec = &entry.spec;
        let run_time = self
            .estimates
            .run_time(&spec.workspace, &spec.kind, spec.run_s);
        let until = run_time.map_or(Duration::MAX, |time| now + time);
        let slots = entry
            .run
            .iter()
            .flat_map(|run| run.parts.iter().map(|part| part.slot));
        for slot in slots.collect::<Vec<_>>() {
            self.fleet.extend_busy_until(slot, until);
        }
    }

    /// Takes the next step of a job whose timer is due.
    pub(super) fn advance_job(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let Some(run) = self.jobs.get(&id).map(|entry| entry.run.as_ref()) else {
            return;
        };
        let Some(run) = run else {
            return self.enqueue(id, out);
        };
        let (since, settings) = (run.since, self.settings);
        match run.stage {
            Stage::Earmarked { claim: false, .. } => self.review_reservation(now, id, out),
            Stage::Earmarked { .. } => {
                self.drop_earmark(id);
                self.enqueue(id, out);
            }
            Stage::Reserving => {
                let pending = run.parts.iter().find(|part| part.status != Status::Held);
                let worker = pending
                    .map(|part| self.worker_id(part.slot))
                    .unwrap_or_default();
                self.drop_holds(id, out);
                self.retry_later(now, id, Reason::PartNotStarted { worker }, out);
            }
            Stage::Recording => {
                // A hold expires after 5 s and an append can take longer, so holds are renewed.
                if run.resolution.is_none() {
                    self.send_reserve(id, out);
                    self.set_job_timer(id, now + settings.reserve_limit / 2);
                }
            }
            Stage::Starting if now >= since + settings.commit_limit => {
                let pending = run
                    .parts
                    .iter()
                    .find(|part| part.status == Status::Committed);
                let worker = pending
                    .map(|part| self.worker_id(part.slot))
                    .unwrap_or_default();
                let resolution = Resolution::Requeue(Reason::PartNotStarted { worker });
                self.begin_stop(now, id, resolution, out);
            }
            Stage::Starting => {
                self.send_commit(id, out);
                self.set_job_timer(id, now + settings.resend_interval);
            }
            Stage::Running => {
                let committed = run.committed_at.unwrap_or(since);
                if now < committed + settings.settle_limit {
                    self.send_settle(id, out);
                    self.set_job_timer(id, now + settings.resend_interval);
                }
            }
            Stage::Stopping { checkpoint } => self.repeat_stop(now, id, checkpoint, out),
            Stage::Adopting => {}
        }
    }

    pub(super) fn retry_later(
        &mut self,
        now: Duration,
        id: u32,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        self.explain(id, reason, out);
        self.set_job_timer(id, now + self.settings.retry_delay);
    }

    /// Finds the job and the worker that a message about a part refers to, if the part belongs to
    /// the job's current run.
    pub(super) fn locate_part(
        &self,
        worker: &WorkerId,
        job: &JobId,
        attempt: Attempt,
    ) -> Option<(u32, crate::fleet::Slot)> {
        let id = *self.names.get(job)?;
        let slot = self.fleet.slot(worker)?;
        let run = self.jobs.get(&id)?.run.as_ref()?;
        let known = run.attempt == attempt && run.parts.iter().any(|part| part.slot == slot);
        known.then_some((id, slot))
    }
}
