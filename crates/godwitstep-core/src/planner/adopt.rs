//! Adoption of runs that a previous planner recorded.
//!
//! Such a run is neither restarted nor ended until each of its workers has announced what it runs
//! or has been lost for longer than its lease.

use super::Planner;
use super::event::Action;
use super::job::{Part, Resolution, Run, Stage, Status, preemptible};
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
        let charge = if preemptible(&spec) {
            Charge::Preemptible
        } else {
            Charge::NonPreemptible
        };
        let Some(id) = self.register(now, job, spec, attempt, age) else {
            return;
        };
        let workers = parts.iter().map(|part| part.worker.clone()).collect();
        let mut adopted = Vec::new();
        for part in parts {
            let slot = self.fleet.slot_or_placeholder(&part.worker);
            let state = self.fleet.worker(slot).state;
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
                status: Status::Unconfirmed,
                settled: false,
                missing_from_inventory: false,
            });
        }
        for part in &adopted {
            self.allocate_part(id, part, charge);
        }
        adopted.sort_by_key(|part| self.worker_id(part.slot));
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
                committed_at: Some(now),
                adopted: true,
                recorded: true,
                resolution: None,
                backfilled_for: None,
            });
        }
        self.outside_assignment.insert(id);
        self.request_reassignment(now);
    }

    /// Takes over a run once all its workers have announced their parts. If all parts are settled,
    /// the gang continues to run; otherwise its start resumes with the commits.
    pub(super) fn check_adopted(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        let Some(run) = run.filter(|run| run.stage == Stage::Adopting) else {
            return;
        };
        if !run.all_parts(|status| status != Status::Unconfirmed) {
            return;
        }
        run.since = now;
        if run.all_parts(|status| status != Status::Committed) {
            run.stage = Stage::Running;
            return self.evacuate_if_out_of_service(now, id);
        }
        run.stage = Stage::Starting;
        run.committed_at = Some(now);
        let committed = run
            .parts
            .iter()
            .filter(|part| part.status == Status::Committed);
        let slots: Vec<_> = committed.map(|part| part.slot).collect();
        for slot in slots {
            let domain = self.fleet.domain(self.fleet.worker(slot).location.domain);
            if !domain.in_service {
                let domain = domain.id.clone();
                let resolution = Resolution::Requeue(Reason::DomainOut { domain });
                return self.begin_stop(now, id, resolution, out);
            }
        }
        self.send_commit(id, out);
        self.set_job_timer(id, now + self.settings.resend_interval);
    }
}
