//! The protocol by which a gang starts as a whole or not at all.

use super::Planner;
use super::event::{Action, End};
use super::job::{Fate, Stage, Status};
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
        if run.all(|status| status == Status::Held) {
            self.append_start(now, id, out);
        }
    }

    fn append_start(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        self.check_whole(id);
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
                worker: self.worker(part.slot),
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
        self.wake(id, now + self.settings.reserve_limit / 2);
    }

    pub(super) fn recorded(
        &mut self,
        now: Duration,
        job: &JobId,
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.recording(job, attempt) else {
            return;
        };
        let may_start = self.standing.may_start();
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        entry.attempt = attempt;
        let Some(run) = &mut entry.run else {
            return;
        };
        run.recorded = true;
        if !may_start && run.fate.is_none() {
            run.fate = Some(Fate::Requeue(Reason::Halted));
        }
        if run.fate.is_some() {
            self.send_release(id, out);
            return self.finish(now, id, out);
        }
        run.stage = Stage::Starting;
        run.since = now;
        run.committed = Some(now);
        for part in &mut run.parts {
            part.status = Status::Committed;
        }
        self.send_commit(id, out);
        self.wake(id, now + self.settings.repeat);
    }

    pub(super) fn not_recorded(
        &mut self,
        now: Duration,
        job: &JobId,
        attempt: Attempt,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.recording(job, attempt) else {
            return;
        };
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let fate = run.and_then(|run| run.fate.take());
        self.drop_holds(id, out);
        match fate {
            Some(fate) => self.resolve(now, id, fate, out),
            None => self.retry_later(now, id, Reason::LogUnavailable, out),
        }
    }

    fn recording(&self, job: &JobId, attempt: Attempt) -> Option<u32> {
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
            // The other decider has this job now; this one must not record anything about it.
            self.superseded |= *newest > self.epoch;
            return;
        }
        let Some((id, slot)) = self.locate(worker, job, attempt) else {
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
                    part.status = Status::Over(Some(End::NotStarted));
                }
                entry.avoid = Some(slot);
                self.drop_holds(id, out);
                self.explain(id, Reason::PartNotStarted { worker }, out);
                let pause = self.settings.repeat;
                let jitter = pause.mul_f64(self.rng.f64());
                self.wake(id, now + pause + jitter);
            }
            Stage::Recording => {
                let fate = Fate::Requeue(Reason::PartNotStarted { worker });
                run.fate.get_or_insert(fate);
            }
            Stage::Starting => self.part_over(now, id, slot, Some(End::NotStarted), out),
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
        let Some((id, slot)) = self.locate(&worker, &job, attempt) else {
            // A run that this planner does not know of, or has given up.
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
        let running = |status| matches!(status, Status::Started | Status::Over(Some(End::Done)));
        if !run.all(running) {
            return;
        }
        run.stage = Stage::Running;
        run.since = now;
        self.note_busy(now, id);
        self.send_settle(id, out);
        self.wake(id, now + self.settings.repeat);
    }

    /// Notes on the workers of a run when it is expected to end.
    fn note_busy(&mut self, now: Duration, id: u32) {
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
            self.fleet.expect_busy(slot, until);
        }
    }

    /// Takes the next step of a job whose time has come.
    pub(super) fn advance(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let Some(run) = self.jobs.get(&id).map(|entry| entry.run.as_ref()) else {
            return;
        };
        let Some(run) = run else {
            return self.enqueue(id, out);
        };
        let (since, settings) = (run.since, self.settings);
        match run.stage {
            Stage::Pledged { claim: false, .. } => self.review(now, id, out),
            Stage::Pledged { .. } => {
                self.drop_pledge(id);
                self.enqueue(id, out);
            }
            Stage::Reserving => {
                let late = run.parts.iter().find(|part| part.status != Status::Held);
                let worker = late.map(|part| self.worker(part.slot)).unwrap_or_default();
                self.drop_holds(id, out);
                self.retry_later(now, id, Reason::PartNotStarted { worker }, out);
            }
            Stage::Recording => {
                // A hold lives for 5 s and an append can take longer, so holds are renewed.
                if run.fate.is_none() {
                    self.send_reserve(id, out);
                    self.wake(id, now + settings.reserve_limit / 2);
                }
            }
            Stage::Starting if now >= since + settings.commit_limit => {
                let late = run
                    .parts
                    .iter()
                    .find(|part| part.status == Status::Committed);
                let worker = late.map(|part| self.worker(part.slot)).unwrap_or_default();
                let fate = Fate::Requeue(Reason::PartNotStarted { worker });
                self.begin_stop(now, id, fate, out);
            }
            Stage::Starting => {
                self.send_commit(id, out);
                self.wake(id, now + settings.repeat);
            }
            Stage::Running => {
                let committed = run.committed.unwrap_or(since);
                if now < committed + settings.settle_limit {
                    self.send_settle(id, out);
                    self.wake(id, now + settings.repeat);
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
        self.wake(id, now + self.settings.retry);
    }

    /// Finds the job and the worker of a message about a part of a job's present run.
    pub(super) fn locate(
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
