//! Parts that end, and what follows for their gang.

use super::Planner;
use super::event::{Action, End};
use super::job::{Fate, Stage, Status};
use super::timer::Timer;
use crate::fleet::{Slot, State};
use crate::id::{Attempt, JobId, WorkerId};
use crate::quarantine::{JOB_LIMIT, RUN_LIMIT};
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
        if let Some((id, slot)) = self.locate(worker, job, attempt) {
            self.part_over(now, id, slot, Some(end), out);
        }
    }

    /// Takes over that a part is gone. `end` is `None` if its worker was lost.
    pub(super) fn part_over(
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
        if matches!(stage, Stage::Pledged { .. }) {
            return;
        }
        let Some(part) = run.part_mut(slot).filter(|part| !part.status.is_over()) else {
            return;
        };
        let believed = !part.doubted && part.status != Status::Started;
        let end = end.filter(|end| *end != End::NotStarted || believed);
        part.status = Status::Over(end);
        self.free_part(id, slot);
        let worker = self.worker(slot);
        let gone = match end {
            None => Reason::WorkerLost { worker },
            Some(_) => Reason::PartNotStarted { worker },
        };
        match stage {
            Stage::Pledged { .. } => {}
            Stage::Reserving => {
                self.drop_holds(id, out);
                self.retry_later(now, id, gone, out);
            }
            Stage::Recording => {
                let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
                if let Some(run) = run {
                    run.fate.get_or_insert(Fate::Requeue(gone));
                }
            }
            Stage::Stopping { .. } => {
                if end == Some(End::Failed) {
                    self.blame(now, id, slot);
                }
                self.check_over(now, id, out);
            }
            Stage::Starting | Stage::Running | Stage::Adopting => match end {
                Some(End::Done) => self.part_done(now, id, slot, &stage, out),
                Some(End::Failed) => {
                    let fate = self.failure(now, id, slot);
                    self.begin_stop(now, id, fate, out);
                }
                _ => self.begin_stop(now, id, Fate::Requeue(gone), out),
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
        if run.is_some_and(|run| run.all(|status| status == Status::Over(Some(End::Done)))) {
            self.observe(now, id);
            return self.finish(now, id, out);
        }
        match stage {
            Stage::Starting => self.check_started(now, id, out),
            Stage::Adopting => self.check_adopted(now, id, out),
            _ => {}
        }
    }

    /// Decides what a failed task means for its job.
    fn failure(&mut self, now: Duration, id: u32, slot: Slot) -> Fate {
        self.blame(now, id, slot);
        let worker = self.worker(slot);
        let Some(entry) = self.jobs.get_mut(&id) else {
            return Fate::Requeue(Reason::TaskFailed { worker });
        };
        entry.failures += 1;
        if !entry.failed_on.contains(&slot) {
            entry.failed_on.push(slot);
        }
        let repeatable = entry.repeatable();
        let failed_on = entry.failed_on.clone();
        if failed_on.len() >= JOB_LIMIT || entry.failures >= RUN_LIMIT {
            for cleared in self.quarantine.withdraw(id, &failed_on) {
                self.restore(cleared);
            }
            let workers = failed_on.iter().map(|slot| self.worker(*slot)).collect();
            return Fate::End(Phase::Failed, Reason::FailedEverywhere { workers });
        }
        if repeatable {
            Fate::Requeue(Reason::TaskFailed { worker })
        } else {
            Fate::End(Phase::Failed, Reason::TaskFailed { worker })
        }
    }

    /// Counts a failure against its worker.
    fn blame(&mut self, now: Duration, id: u32, slot: Slot) {
        if self.fleet.machine(slot).state == State::Up
            && let Some(delay) = self.quarantine.failed(slot, id)
        {
            self.fleet.set_state(slot, State::Quarantined);
            self.timers.insert((now + delay, Timer::Probe(slot)));
            self.drop_homes_at(slot);
            self.drop_pledges_at(slot);
        }
    }

    pub(super) fn probe(&mut self, slot: Slot) {
        self.quarantine.probe(slot);
        self.restore(slot);
    }

    fn restore(&mut self, slot: Slot) {
        if self.fleet.machine(slot).state == State::Quarantined {
            self.fleet.set_state(slot, State::Up);
            self.freed = true;
            self.rehome = true;
        }
    }
}
