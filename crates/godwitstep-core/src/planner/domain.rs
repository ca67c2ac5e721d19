//! Failure domains that go out of service and return.

use super::Planner;
use super::event::Action;
use super::job::{Resolution, Stage, Status};
use super::timer::Timer;
use crate::fleet::{Slot, State};
use crate::id::DomainId;
use crate::reason::Reason;
use std::time::Duration;

/// Time between two refills of the start credit of a failure domain that returned to service.
const START_CREDIT_INTERVAL: Duration = Duration::from_millis(250);

impl Planner {
    pub(super) fn set_domain(
        &mut self,
        now: Duration,
        id: &DomainId,
        in_service: bool,
        out: &mut Vec<Action>,
    ) {
        let domain_slot = self.fleet.domain_slot(id);
        if self.fleet.domain(domain_slot).in_service == in_service {
            return;
        }
        self.fleet.domain_mut(domain_slot).in_service = in_service;
        self.freed = true;
        self.reassign = true;
        self.next_repack = Duration::ZERO;
        if in_service {
            self.ramp_up_ends
                .insert(domain_slot, now + self.settings.ramp_up);
            return self.refill_start_credit(now, domain_slot);
        }
        let inside = self
            .fleet
            .workers()
            .filter(|worker| worker.location.domain == domain_slot);
        let inside: Vec<Slot> = inside.map(|worker| worker.location.slot).collect();
        for slot in inside {
            self.unassign_worker(slot);
            self.drop_earmarks_on_worker(slot);
            let jobs_on_worker: Vec<u32> = self
                .fleet
                .worker(slot)
                .allocations
                .keys()
                .copied()
                .collect();
            for job in jobs_on_worker {
                self.evacuate(now, job, domain_slot, id, out);
            }
        }
    }

    /// Withdraws a run that has not started in a failure domain that went out of service, and
    /// queues one that has for evacuation.
    fn evacuate(
        &mut self,
        now: Duration,
        job: u32,
        domain_slot: u32,
        id: &DomainId,
        out: &mut Vec<Action>,
    ) {
        let run = self.jobs.get(&job).and_then(|entry| entry.run.as_ref());
        let Some(run) = run else {
            return;
        };
        let domain = id.clone();
        let resolution = Resolution::Requeue(Reason::DomainOut { domain });
        match run.stage {
            Stage::Reserving | Stage::Recording => self.withdraw(now, job, resolution, out),
            Stage::Starting => {
                let mut parts = run.parts.iter();
                let unstarted = parts.any(|part| {
                    part.status == Status::Committed
                        && self.fleet.worker(part.slot).location.domain == domain_slot
                });
                if unstarted {
                    self.withdraw(now, job, resolution, out);
                } else {
                    self.queue_evacuation(now, job);
                }
            }
            Stage::Running => self.queue_evacuation(now, job),
            Stage::Earmarked { .. } | Stage::Stopping { .. } | Stage::Adopting => {}
        }
    }

    /// Queues an adopted run for evacuation if it is in a failure domain that is out of service.
    pub(super) fn evacuate_if_out_of_service(&mut self, now: Duration, job: u32) {
        if self.out_of_service_domain(job).is_some() {
            self.queue_evacuation(now, job);
        }
    }

    /// Queues a job for evacuation. A job that could not be restarted stays until it ends.
    fn queue_evacuation(&mut self, now: Duration, job: u32) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        if entry.repeatable() {
            if self.evacuations.is_empty() {
                self.timers.insert((now, Timer::Evacuate));
            }
            self.evacuations.insert((entry.key, job));
        }
    }

    pub(super) fn evacuate_next(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some((_, job)) = self.evacuations.pop_first() else {
            return;
        };
        if let Some(domain) = self.out_of_service_domain(job) {
            let resolution = Resolution::Requeue(Reason::DomainOut { domain });
            self.withdraw(now, job, resolution, out);
        }
        if !self.evacuations.is_empty() {
            let pause = Duration::from_secs(1) / self.settings.jobs_per_second.max(1);
            self.timers.insert((now + pause, Timer::Evacuate));
        }
    }

    /// Returns an out-of-service failure domain in which the job has a part that has not ended.
    fn out_of_service_domain(&self, job: u32) -> Option<DomainId> {
        let run = self.jobs.get(&job)?.run.as_ref()?;
        let mut domains = run
            .parts
            .iter()
            .filter(|part| !part.status.is_ended())
            .map(|part| {
                let worker = self.fleet.worker(part.slot);
                self.fleet.domain(worker.location.domain)
            });
        domains
            .find(|domain| !domain.in_service)
            .map(|domain| domain.id.clone())
    }

    /// Refills the start credit of a failure domain that returned to service, until its ramp-up
    /// ends.
    pub(super) fn refill_start_credit(&mut self, now: Duration, domain: u32) {
        let Some(end) = self.ramp_up_ends.get(&domain).copied() else {
            return;
        };
        if now >= end || !self.fleet.domain(domain).in_service {
            self.ramp_up_ends.remove(&domain);
            self.fleet.domain_mut(domain).start_credit = None;
        } else {
            self.fleet.domain_mut(domain).start_credit =
                Some((self.settings.jobs_per_second / 4).max(1));
            self.timers.insert((
                now + START_CREDIT_INTERVAL,
                Timer::RefillStartCredit(domain),
            ));
        }
        self.freed = true;
        let holders = self.reservations.iter().copied();
        self.ready_candidates.extend(holders);
    }

    /// Reports whether a worker can accept work now.
    pub(super) fn accepts_work(&self, slot: Slot) -> bool {
        let worker = self.fleet.worker(slot);
        worker.state == State::Up && self.fleet.domain(worker.location.domain).in_service
    }
}
