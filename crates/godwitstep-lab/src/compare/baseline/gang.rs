//! Protocol of a gang's run, from its reservations to the end of its last part.

use super::{Baseline, QueuedJob, Run, Stage};
use godwitstep_core::Reason;
use godwitstep_core::id::{JobId, WorkerId};
use godwitstep_core::planner::{Action, End};
use godwitstep_core::record;
use godwitstep_core::resource::Phase;

impl Baseline {
    /// Records that a worker confirmed a stage of a run. Returns the run once all its workers have.
    fn confirm(&mut self, worker: &WorkerId, job: &JobId, stage: Stage) -> Option<&mut Run> {
        let run = self.runs.get_mut(job).filter(|run| run.stage == stage)?;
        run.pending.remove(worker);
        run.pending.is_empty().then_some(run)
    }

    pub(super) fn held(&mut self, worker: &WorkerId, job: JobId, out: &mut Vec<Action>) {
        let epoch = self.epoch;
        if let Some(run) = self.confirm(worker, &job, Stage::Reserving) {
            run.stage = Stage::Recording;
            let workers = run.parts.iter().map(|part| part.worker.clone());
            let reason = Reason::Placed {
                workers: workers.collect(),
                borrowed: false,
            };
            out.push(Action::Record(record::Event::Start {
                job,
                attempt: run.attempt,
                epoch,
                parts: run.parts.clone(),
                reason,
            }));
        }
    }

    /// Releases the reservations of a run that a worker refused or that was not recorded, and
    /// queues its job again.
    pub(super) fn cancel_start(&mut self, job: &JobId, out: &mut Vec<Action>) {
        if let Some(run) = self.runs.remove(job) {
            for part in &run.parts {
                out.push(Action::Release {
                    worker: part.worker.clone(),
                    job: job.clone(),
                    attempt: run.attempt,
                });
                self.fleet.release(part);
            }
            self.enqueue(QueuedJob {
                job: job.clone(),
                spec: run.spec,
                accepted: run.accepted,
                attempt: run.attempt - 1,
            });
        }
    }

    pub(super) fn recorded(&mut self, job: &JobId, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(job) else {
            return;
        };
        run.stage = Stage::Starting;
        run.pending = run.parts.iter().map(|part| part.worker.clone()).collect();
        out.extend(run.parts.iter().map(|part| Action::Commit {
            worker: part.worker.clone(),
            job: job.clone(),
            attempt: run.attempt,
            tasks: part.tasks,
            accelerators: part.accelerators,
        }));
    }

    pub(super) fn started(&mut self, worker: &WorkerId, job: &JobId, out: &mut Vec<Action>) {
        if let Some(run) = self.confirm(worker, job, Stage::Starting) {
            run.stage = Stage::Running;
            out.extend(run.parts.iter().map(|part| Action::Settle {
                worker: part.worker.clone(),
                job: job.clone(),
                attempt: run.attempt,
            }));
        }
    }

    /// Stops all parts of a run that is recorded and not being stopped yet.
    pub(super) fn stop(&mut self, job: &JobId, out: &mut Vec<Action>) {
        let Some(run) = self.runs.get_mut(job) else {
            return;
        };
        if !matches!(run.stage, Stage::Starting | Stage::Running) {
            return;
        }
        let checkpoint = run.spec.checkpointable && run.stage == Stage::Running;
        run.stage = Stage::Stopping;
        out.extend(run.parts.iter().map(|part| Action::Stop {
            worker: part.worker.clone(),
            job: job.clone(),
            attempt: run.attempt,
            checkpoint,
        }));
    }

    pub(super) fn ended(
        &mut self,
        worker: &WorkerId,
        job: &JobId,
        end: End,
        out: &mut Vec<Action>,
    ) {
        let Some(run) = self.runs.get_mut(job) else {
            return;
        };
        let Some(index) = run.parts.iter().position(|part| part.worker == *worker) else {
            return;
        };
        let part = run.parts.remove(index);
        run.completed_parts += usize::from(end == End::Done);
        let (all_ended, attempt) = (run.parts.is_empty(), run.attempt);
        self.fleet.release(&part);
        if end != End::Done {
            self.stop(job, out);
        }
        if !all_ended {
            return;
        }
        let Some(run) = self.runs.remove(job) else {
            return;
        };
        if end == End::Done {
            return self.record_end(job.clone(), attempt, Phase::Done, Reason::Completed, out);
        }
        if end == End::Failed || !(run.spec.idempotent || run.spec.checkpointable) {
            let phase = if end == End::Failed {
                Phase::Failed
            } else {
                Phase::Unknown
            };
            return self.record_end(job.clone(), attempt, phase, Reason::CutOff, out);
        }
        out.push(Action::Record(record::Event::Requeue {
            job: job.clone(),
            attempt,
            epoch: self.epoch,
            reason: Reason::CutOff,
        }));
        self.enqueue(QueuedJob {
            job: job.clone(),
            spec: run.spec,
            accepted: run.accepted,
            attempt,
        });
    }
}
