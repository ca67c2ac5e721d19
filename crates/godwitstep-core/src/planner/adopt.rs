//! Runs that a previous planner recorded.
//!
//! Such a run is neither started again nor given up before its workers have told what they run or
//! have been away for longer than their leases.

use super::Planner;
use super::event::Action;
use super::job::{Fate, Part, Run, Stage, Status, soft};
use super::timer::Timer;
use crate::fleet::{Charge, State};
use crate::id::{Attempt, JobId};
use crate::reason::Reason;
use crate::record;
use crate::resource::Job;
use std::time::Duration;

impl Planner {
    pub(super) fn adopt(
        &mut self,
        now: Duration,
        job: JobId,
        spec: Job,
        attempt: Attempt,
        parts: &[record::Part],
        age: Duration,
    ) {
        let charge = if soft(&spec) {
            Charge::Soft
        } else {
            Charge::Firm
        };
        let Some(id) = self.enter(now, job, spec, attempt, age) else {
            return;
        };
        let workers = parts.iter().map(|part| part.worker.clone()).collect();
        let mut adopted = Vec::new();
        for part in parts {
            let slot = self.fleet.slot_or_placeholder(&part.worker);
            let state = self.fleet.machine(slot).state;
            if state == State::Lost(Duration::ZERO) {
                self.fleet.set_state(slot, State::Lost(now));
                self.timers
                    .insert((now + self.settings.lease, Timer::Lease(slot)));
            } else if !matches!(state, State::Lost(_)) {
                let timer = Timer::Missing {
                    job: id,
                    attempt,
                    slot,
                };
                self.timers
                    .insert((now + self.settings.inventory_grace, timer));
            }
            adopted.push(Part {
                slot,
                tasks: part.tasks,
                accelerators: part.accelerators,
                status: Status::Unheard,
                settled: false,
                doubted: false,
            });
        }
        for part in &adopted {
            self.book(id, part, charge);
        }
        adopted.sort_by_key(|part| self.worker(part.slot));
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.reason = Reason::Placed {
                workers,
                borrowed: false,
            };
            entry.run = Some(Run {
                attempt,
                parts: adopted,
                charge,
                borrowed: false,
                stage: Stage::Adopting,
                since: now,
                committed: Some(now),
                adopted: true,
                recorded: true,
                fate: None,
                shadow: None,
            });
        }
        self.outside.insert(id);
        self.rehome = true;
    }

    /// Takes over a run once all its workers have told about it: a whole settled gang goes on, and
    /// a whole gang that was being started is started to the end.
    pub(super) fn check_adopted(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let Some(run) = run.filter(|run| run.stage == Stage::Adopting) else {
            return;
        };
        if !run.all(|status| status != Status::Unheard) {
            return;
        }
        run.since = now;
        if run.all(|status| status != Status::Committed) {
            run.stage = Stage::Running;
            return self.move_if_out(now, id);
        }
        run.stage = Stage::Starting;
        run.committed = Some(now);
        let committed = run
            .parts
            .iter()
            .filter(|part| part.status == Status::Committed);
        let slots: Vec<_> = committed.map(|part| part.slot).collect();
        for slot in slots {
            let zone = self.fleet.zone(self.fleet.machine(slot).seat.domain);
            if !zone.in_service {
                let domain = zone.id.clone();
                let fate = Fate::Requeue(Reason::DomainOut { domain });
                return self.begin_stop(now, id, fate, out);
            }
        }
        self.send_commit(id, out);
        self.wake(id, now + self.settings.repeat);
    }
}
