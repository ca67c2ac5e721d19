//! A simulated log and the fold of its records into the jobs. Appends can be slow, fail, or lose
//! their reply.

use super::World;
use super::item::Item;
use godwitstep_core::planner::Event;
use godwitstep_core::record;
use godwitstep_core::resource::Phase;
use std::time::Duration;

/// Time between attempts to append while the log is unreachable.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time after which a writer reads back the outcome of an append whose reply was lost.
const READ_BACK_DELAY: Duration = Duration::from_secs(1);

/// State of the log service.
#[derive(Debug)]
pub struct Log {
    pub available: bool,
    /// Upper bound of the random time before pending records are appended.
    pub append_ms: u64,
    /// Probability that the reply of an append is lost although the append took effect.
    pub reply_loss_probability: f64,
    /// Number of appends.
    pub appends: u64,
}

impl World {
    /// Queues a record of a decider and schedules an append unless one is in flight.
    pub(super) fn queue_record(&mut self, epoch: u64, event: record::Event) {
        let delay = Duration::from_millis(2 + self.rng.u64(0..=self.log.append_ms));
        let now = self.now;
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        decider.pending_records.push_back(event);
        if !std::mem::replace(&mut decider.append_in_flight, true) {
            self.queue.push(now + delay, Item::Append { epoch });
        }
    }

    /// Appends all pending records of a decider as one envelope, or retries later if the log is
    /// unreachable.
    pub(super) fn append(&mut self, epoch: u64) {
        let (available, now) = (self.log.available, self.now);
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        if !available || decider.log_unreachable || decider.paused {
            return self
                .queue
                .push(now + APPEND_RETRY_DELAY, Item::Append { epoch });
        }
        let records: Vec<record::Event> = decider.pending_records.drain(..).collect();
        self.log.appends += 1;
        let lost = self.log.reply_loss_probability > 0.0
            && self.rng.f64() < self.log.reply_loss_probability;
        if lost {
            self.increment_count("append_reply_lost");
        }
        for event in records {
            self.fold(epoch, event);
        }
        let reply_delay = if lost {
            READ_BACK_DELAY
        } else {
            Duration::from_millis(2)
        };
        self.queue.push(now + reply_delay, Item::Appended { epoch });
    }

    /// Completes an append and schedules the next one if records are pending.
    pub(super) fn handle_appended(&mut self, epoch: u64) {
        let now = self.now;
        let delay = Duration::from_millis(self.rng.u64(0..=self.log.append_ms));
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        if decider.pending_records.is_empty() {
            decider.append_in_flight = false;
        } else {
            self.queue.push(now + delay, Item::Append { epoch });
        }
    }

    /// Folds a record. A record of an epoch other than that of the newest claim has no effect.
    fn fold(&mut self, writer_epoch: u64, event: record::Event) {
        let is_current = writer_epoch == self.epoch;
        match event {
            record::Event::Start {
                job,
                attempt,
                parts,
                reason,
                ..
            } => {
                let number = self.job_number(&job);
                let state = &mut self.jobs[number];
                let takes_effect =
                    is_current && state.phase == Phase::Queued && attempt == state.attempt + 1;
                if takes_effect {
                    state.phase = Phase::Running;
                    state.attempt = attempt;
                    state.parts = parts;
                    state.reason = reason;
                    self.schedule_read(writer_epoch, Event::Recorded { job, attempt });
                } else {
                    self.schedule_read(writer_epoch, Event::NotRecorded { job, attempt });
                }
            }
            record::Event::Requeue {
                job,
                attempt,
                reason,
                ..
            } if is_current => {
                let number = self.job_number(&job);
                let state = &mut self.jobs[number];
                if (state.phase, state.attempt) != (Phase::Running, attempt) {
                    let found = (state.phase, state.attempt);
                    let what = format!("{job} requeued after run {attempt}: {found:?}");
                    return self.record_violation("requeue_order", what);
                }
                state.phase = Phase::Queued;
                state.reason = reason;
                self.credit_work(number, attempt);
                self.acknowledge_all(number);
            }
            record::Event::End {
                job, phase, reason, ..
            } if is_current => self.fold_end(&job, phase, reason),
            _ => {}
        }
    }

    fn fold_end(&mut self, job: &str, phase: Phase, reason: godwitstep_core::Reason) {
        let number = self.job_number(job);
        let now = self.now;
        let state = &mut self.jobs[number];
        if state.phase.is_final() {
            let found = state.phase;
            let what = format!("{job} ended twice: {found:?} then {phase:?}");
            return self.record_violation("ended_twice", what);
        }
        let attempt = state.attempt;
        let parts = state.parts.len();
        if phase == Phase::Done && (attempt == 0 || state.run_mut(attempt).done != parts) {
            let what = format!("{job} is recorded as done but not all its parts completed");
            return self.record_violation("not_done", what);
        }
        let state = &mut self.jobs[number];
        state.phase = phase;
        state.reason = reason;
        state.ended = Some(now);
        self.credit_work(number, attempt);
        self.acknowledge_all(number);
        self.deactivate(number);
    }

    /// Acknowledges the end of a run to the agents of all its parts.
    fn acknowledge_all(&mut self, number: usize) {
        let state = &self.jobs[number];
        let (job, attempt) = (state.id.clone(), state.attempt);
        let parts = state.parts.clone();
        for part in parts {
            let agent_index = self.agent_index(&part.worker);
            self.acknowledge(agent_index, &job, attempt);
        }
    }
}
