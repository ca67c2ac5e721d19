//! A fake log with its fold: jobs and the claim. Appends can be slow, fail, or lose their reply.

use super::World;
use super::item::Item;
use godwitstep_core::planner::Event;
use godwitstep_core::record;
use godwitstep_core::resource::Phase;
use std::time::Duration;

/// Time between the attempts of an append while the log is down.
const RETRY: Duration = Duration::from_millis(500);
/// Time after which a writer reads back what became of an append without a reply.
const READ_BACK: Duration = Duration::from_secs(1);

/// State of the log service.
#[derive(Debug)]
pub struct Log {
    pub up: bool,
    /// Longest time that an append takes.
    pub append_ms: u64,
    /// Chance that the reply of an append is lost, although it took effect.
    pub lose_reply: f64,
    pub appends: u64,
}

impl World {
    /// Queues a record of a decider.
    pub(super) fn write(&mut self, epoch: u64, event: record::Event) {
        let delay = Duration::from_millis(2 + self.rng.u64(0..=self.log.append_ms));
        let now = self.now;
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        decider.records.push_back(event);
        if !std::mem::replace(&mut decider.appending, true) {
            self.queue.push(now + delay, Item::Append { epoch });
        }
    }

    /// Appends all queued records of a decider as one envelope.
    pub(super) fn append(&mut self, epoch: u64) {
        let (up, now) = (self.log.up, self.now);
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        if !up || decider.cut || decider.paused {
            return self.queue.push(now + RETRY, Item::Append { epoch });
        }
        let records: Vec<record::Event> = decider.records.drain(..).collect();
        self.log.appends += 1;
        let lost = self.log.lose_reply > 0.0 && self.rng.f64() < self.log.lose_reply;
        if lost {
            self.count("append_reply_lost");
        }
        for event in records {
            self.fold(epoch, event);
        }
        let reply = if lost {
            READ_BACK
        } else {
            Duration::from_millis(2)
        };
        self.queue.push(now + reply, Item::Appended { epoch });
    }

    pub(super) fn appended(&mut self, epoch: u64) {
        let now = self.now;
        let delay = Duration::from_millis(self.rng.u64(0..=self.log.append_ms));
        let Some(decider) = self.decider(epoch) else {
            return;
        };
        if decider.records.is_empty() {
            decider.appending = false;
        } else {
            self.queue.push(now + delay, Item::Append { epoch });
        }
    }

    /// Folds a record. One of an epoch that is not the claim's has no effect.
    fn fold(&mut self, writer: u64, event: record::Event) {
        let current = writer == self.epoch;
        match event {
            record::Event::Start {
                job,
                attempt,
                parts,
                reason,
                ..
            } => {
                let number = self.number(&job);
                let state = &mut self.jobs[number];
                let folds = current && state.phase == Phase::Queued && attempt == state.attempt + 1;
                if folds {
                    state.phase = Phase::Running;
                    state.attempt = attempt;
                    state.parts = parts;
                    state.reason = reason;
                    self.read(writer, Event::Recorded { job, attempt });
                } else {
                    self.read(writer, Event::NotRecorded { job, attempt });
                }
            }
            record::Event::Requeue {
                job,
                attempt,
                reason,
                ..
            } if current => {
                let number = self.number(&job);
                let state = &mut self.jobs[number];
                if (state.phase, state.attempt) != (Phase::Running, attempt) {
                    let found = (state.phase, state.attempt);
                    let what = format!("{job} requeued after run {attempt}: {found:?}");
                    return self.fail("requeue_order", what);
                }
                state.phase = Phase::Queued;
                state.reason = reason;
                self.settle_work(number, attempt);
                self.acknowledge_all(number);
            }
            record::Event::End {
                job, phase, reason, ..
            } if current => self.fold_end(&job, phase, reason),
            _ => {}
        }
    }

    fn fold_end(&mut self, job: &str, phase: Phase, reason: godwitstep_core::Reason) {
        let number = self.number(job);
        let now = self.now;
        let state = &mut self.jobs[number];
        if state.phase.is_final() {
            let found = state.phase;
            let what = format!("{job} ended twice: {found:?} then {phase:?}");
            return self.fail("ended_twice", what);
        }
        let attempt = state.attempt;
        let parts = state.parts.len();
        if phase == Phase::Done && (attempt == 0 || state.seen(attempt).done != parts) {
            let what = format!("{job} is recorded as done but is not");
            return self.fail("not_done", what);
        }
        let state = &mut self.jobs[number];
        state.phase = phase;
        state.reason = reason;
        state.ended = Some(now);
        self.settle_work(number, attempt);
        self.acknowledge_all(number);
        self.finished(number);
    }

    /// Tells the agents of a run that its end is recorded.
    fn acknowledge_all(&mut self, number: usize) {
        let state = &self.jobs[number];
        let (job, attempt) = (state.id.clone(), state.attempt);
        let parts = state.parts.clone();
        for part in parts {
            let at = self.agent_number(&part.worker);
            self.acknowledge(at, &job, attempt);
        }
    }
}
