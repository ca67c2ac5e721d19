//! Emission of actions, with invariant checks on each.

use super::Planner;
use super::event::Action;
use super::job::Part;
use crate::fleet::{Charge, Slot, State};
use crate::id::{JobId, WorkerId};
use crate::invariant::Violation;
use crate::reason::Reason;
use crate::record;

impl Planner {
    pub(super) fn record_violation(&mut self, violation: Violation) {
        self.violation.get_or_insert(violation);
    }

    /// Sets the reason of a job and emits it if it has changed.
    pub(super) fn explain(&mut self, id: u32, reason: Reason, out: &mut Vec<Action>) {
        if let Some(entry) = self.jobs.get_mut(&id)
            && entry.reason != reason
        {
            entry.reason = reason.clone();
            let job = entry.name.clone();
            out.push(Action::Explain { job, reason });
        }
    }

    pub(super) fn record(&mut self, event: record::Event, out: &mut Vec<Action>) {
        if let record::Event::Start { job, attempt, .. } = &event {
            let last = self.names.get(job).and_then(|id| self.jobs.get(id));
            match last.map(|entry| entry.attempt) {
                Some(last) if last + 1 == *attempt => {}
                Some(last) => self.record_violation(Violation::AttemptOrder {
                    job: job.clone(),
                    last,
                    next: *attempt,
                }),
                None => self.record_violation(Violation::FinalJob { job: job.clone() }),
            }
        }
        out.push(Action::Record(event));
    }

    pub(super) fn send_reserve(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some((job, run)) = self.active_run(id) else {
            return;
        };
        let attempt = run.attempt;
        for part in run.parts.clone() {
            self.check_in_service(&job, part.slot);
            out.push(Action::Reserve {
                worker: self.worker_id(part.slot),
                job: job.clone(),
                attempt,
                tasks: part.tasks,
                accelerators: part.accelerators,
            });
        }
    }

    pub(super) fn send_commit(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some((job, run)) = self.active_run(id) else {
            return;
        };
        let attempt = run.attempt;
        let unacknowledged = |part: &&Part| part.status == super::job::Status::Committed;
        let parts: Vec<_> = run.parts.iter().filter(unacknowledged).cloned().collect();
        for part in parts {
            self.check_in_service(&job, part.slot);
            out.push(Action::Commit {
                worker: self.worker_id(part.slot),
                job: job.clone(),
                attempt,
                tasks: part.tasks,
                accelerators: part.accelerators,
            });
        }
    }

    pub(super) fn send_settle(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some((job, run)) = self.active_run(id) else {
            return;
        };
        let (attempt, parts) = (run.attempt, run.parts.clone());
        self.check_gang_complete(id);
        for part in parts
            .iter()
            .filter(|part| !part.settled && !part.status.is_ended())
        {
            out.push(Action::Settle {
                worker: self.worker_id(part.slot),
                job: job.clone(),
                attempt,
            });
        }
    }

    pub(super) fn send_release(&mut self, id: u32, out: &mut Vec<Action>) {
        let Some((job, run)) = self.active_run(id) else {
            return;
        };
        for part in run.parts.iter().filter(|part| !part.status.is_ended()) {
            out.push(Action::Release {
                worker: self.worker_id(part.slot),
                job: job.clone(),
                attempt: run.attempt,
            });
        }
    }

    pub(super) fn send_stop(&mut self, id: u32, checkpoint: bool, out: &mut Vec<Action>) {
        let Some((job, run)) = self.active_run(id) else {
            return;
        };
        for part in run.parts.iter().filter(|part| !part.status.is_ended()) {
            out.push(Action::Stop {
                worker: self.worker_id(part.slot),
                job: job.clone(),
                attempt: run.attempt,
                checkpoint,
            });
        }
    }

    pub(super) fn worker_id(&self, slot: Slot) -> WorkerId {
        self.fleet.worker(slot).announced.id.clone()
    }

    fn active_run(&self, id: u32) -> Option<(JobId, &super::job::Run)> {
        let entry = self.jobs.get(&id)?;
        Some((entry.name.clone(), entry.run.as_ref()?))
    }

    /// Charges a part to its worker and checks that the worker is not overcommitted.
    pub(super) fn allocate_part(&mut self, id: u32, part: &Part, charge: Charge) {
        self.fleet
            .allocate(part.slot, id, part.accelerators, charge);
        let worker = self.fleet.worker(part.slot);
        let (used, capacity) = (worker.used, worker.announced.accelerators);
        if worker.state == State::Up && used > capacity {
            let worker = worker.announced.id.clone();
            self.record_violation(Violation::OverCommitted {
                worker,
                used,
                capacity,
            });
        }
    }

    fn check_in_service(&mut self, job: &JobId, slot: Slot) {
        let domain = self.fleet.domain(self.fleet.worker(slot).location.domain);
        if !domain.in_service {
            let domain = domain.id.clone();
            let job = job.clone();
            self.record_violation(Violation::OutOfService { job, domain });
        }
    }

    /// Checks that all tasks of a gang are present and none is lost.
    pub(super) fn check_gang_complete(&mut self, id: u32) {
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let Some(run) = &entry.run else {
            return;
        };
        let present = run.parts.iter().filter(|part| {
            !matches!(
                part.status,
                super::job::Status::Requested | super::job::Status::Unconfirmed
            ) && !matches!(
                part.status,
                super::job::Status::Ended(end) if end != Some(super::End::Done)
            )
        });
        let present = present.map(|part| part.tasks).sum();
        let (job, tasks) = (entry.name.clone(), entry.spec.shape.tasks);
        if present != tasks {
            self.record_violation(Violation::PartialGang {
                job,
                present,
                tasks,
            });
        }
    }
}
