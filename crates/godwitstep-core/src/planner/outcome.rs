//! Handling of ended parts and of the consequences for their gang.

use super::Planner;
use super::event::{Action, End};
use super::job::{Resolution, Stage, Status};
use super::timer::Timer;
use crate::fleet::{Slot, State};
use crate::id::{Attempt, JobId, WorkerId};
use crate::quarantine::{FAILED_RUN_LIMIT, JOB_FAILURE_LIMIT};
use crate::reason::Reason;
use crate::resource::Phase;
use std::time::Duration;

impl Planner {
    pub(super) fn ended(
        &mut self,
        now: Duration,
        worker: &WorkerId,
        job: &JobId,
        attempt: Attempt,
        end: End,
        out: &mut Vec<Action>,
    ) {
        if let Some((id, slot)) = self.locate_part(worker, job, attempt) {
            self.part_ended(now, id, slot, Some(end), out);
        }
    }

    /// Handles the end of a part. `end` is `None` if its worker was lost.
    pub(super) fn part_ended(
        &mut self,
        now: Duration,
        id: u32,
        slot: Slot,
        end: Option<End>,
        out: &mut Vec<Action>,
    ) {
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let Some(run) = run else {
            return;
        };
        let stage = run.stage.clone();
        if matches!(stage, Stage::Earmarked { .. }) {
            return;
        }
        let Some(part) = run.part_mut(slot).filter(|part| !part.status.is_ended()) else {
            return;
        };
        let trusted = !part.missing_from_inventory && part.status != Status::Started;
        let end = end.filter(|end| *end != End::NotStarted || trusted);
        part.status = Status::Ended(end);
        self.free_part(id, slot);
        let worker = self.worker_id(slot);
        let requeue_reason = match end {
            None => Reason::WorkerLost { worker },
            Some(_) => Reason::PartNotStarted { worker },
        };
        match stage {
            Stage::Earmarked { .. } => {}
            Stage::Reserving => {
                self.drop_holds(id, out);
                self.retry_later(now, id, requeue_reason, out);
            }
            Stage::Recording => {
                let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
                if let Some(run) = run {
                    run.resolution
                        .get_or_insert(Resolution::Requeue(requeue_reason));
                }
            }
            Stage::Stopping { .. } => {
                if end == Some(End::Failed) {
                    self.count_failure(now, id, slot);
                }
                self.check_ended(now, id, out);
            }
            Stage::Starting | Stage::Running | Stage::Adopting => match end {
                Some(End::Done) => self.part_done(now, id, slot, &stage, out),
                Some(End::Failed) => {
                    let resolution = self.resolve_task_failure(now, id, slot);
                    self.begin_stop(now, id, resolution, out);
                }
                _ => self.begin_stop(now, id, Resolution::Requeue(requeue_reason), out),
            },
        }
    }

    fn part_done(
        &mut self,
        now: Duration,
        id: u32,
        slot: Slot,
        stage: &Stage,
        out: &mut Vec<Action>,
    ) {
        self.quarantine.completed(slot);
        let run = self.jobs.get(&id).and_then(|entry| entry.run.as_ref());
        if run.is_some_and(|run| run.all_parts(|status| status == Status::Ended(Some(End::Done)))) {
            self.record_run_time(now, id);
            return self.finish_run(now, id, out);
        }
        match stage {
            Stage::Starting => self.check_started(now, id, out),
            Stage::Adopting => self.check_adopted(now, id, out),
            _ => {}
        }
    }

    /// Decides whether a job with a failed task is requeued or ends.
    fn resolve_task_failure(&mut self, now: Duration, id: u32, slot: Slot) -> Resolution {
        self.count_failure(now, id, slot);
        let worker = self.worker_id(slot);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return Resolution::Requeue(Reason::TaskFailed { worker });
        };
        entry.failures += 1;
        if !entry.failed_on.contains(&slot) {
            entry.failed_on.push(slot);
        }
        let repeatable = entry.repeatable();
        let failed_on = entry.failed_on.clone();
        if failed_on.len() >= JOB_FAILURE_LIMIT || entry.failures >= FAILED_RUN_LIMIT {
            for cleared in self.quarantine.discard_failures(id, &failed_on) {
                self.lift_quarantine(cleared);
            }
            let workers = failed_on.iter().map(|slot| self.worker_id(*slot)).collect();
            return Resolution::End(Phase::Failed, Reason::FailedEverywhere { workers });
        }
        if repeatable {
            Resolution::Requeue(Reason::TaskFailed { worker })
        } else {
            Resolution::End(Phase::Failed, Reason::TaskFailed { worker })
        }
    }

    /// Counts a failure against its worker, and quarantines the worker after too many.
    fn count_failure(&mut self, now: Duration, id: u32, slot: Slot) {
        if self.fleet.worker(slot).state == State::Up
            && let Some(delay) = self.quarantine.failed(slot, id)
        {
            self.fleet.set_state(slot, State::Quarantined);
            self.timers.insert((now + delay, Timer::Probe(slot)));
            self.unassign_worker(slot);
            self.drop_earmarks_on_worker(slot);
        }
    }

    pub(super) fn start_probe(&mut self, slot: Slot) {
        self.quarantine.probe(slot);
        self.lift_quarantine(slot);
    }

    fn lift_quarantine(&mut self, slot: Slot) {
        if self.fleet.worker(slot).state == State::Quarantined {
            self.fleet.set_state(slot, State::Up);
            self.freed = true;
            self.reassign = true;
        }
    }
}
