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
const CREDIT_INTERVAL: Duration = Duration::from_millis(250);

impl Planner {
    pub(super) fn set_domain(
        &mut self,
        now: Duration,
        id: &DomainId,
        in_service: bool,
        out: &mut Vec<Action>,
    ) {
        let zone = self.fleet.zone_slot(id);
        if self.fleet.zone(zone).in_service == in_service {
            return;
        }
        self.fleet.zone_mut(zone).in_service = in_service;
        self.freed = true;
        self.reassign = true;
        self.next_repack = Duration::ZERO;
        if in_service {
            self.ramp_up_ends.insert(zone, now + self.settings.ramp_up);
            return self.refill_start_credit(now, zone);
        }
        let inside = self
            .fleet
            .machines()
            .filter(|machine| machine.location.domain == zone);
        let inside: Vec<Slot> = inside.map(|machine| machine.location.slot).collect();
        for slot in inside {
            self.unassign_worker(slot);
            self.drop_earmarks_at(slot);
            let jobs_on_worker: Vec<u32> = self
                .fleet
                .machine(slot)
                .allocations
                .keys()
                .copied()
                .collect();
            for job in jobs_on_worker {
                self.evacuate(now, job, zone, id, out);
            }
        }
    }

    /// Withdraws a run that has not started in a failure domain that went out of service, and
    /// queues one that has for evacuation.
    fn evacuate(
        &mut self,
        now: Duration,
        job: u32,
        zone: u32,
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
                        && self.fleet.machine(part.slot).location.domain == zone
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
        let mut zones = run
            .parts
            .iter()
            .filter(|part| !part.status.is_ended())
            .map(|part| {
                let machine = self.fleet.machine(part.slot);
                self.fleet.zone(machine.location.domain)
            });
        zones
            .find(|zone| !zone.in_service)
            .map(|zone| zone.id.clone())
    }

    /// Refills the start credit of a failure domain that returned to service, until its ramp-up
    /// ends.
    pub(super) fn refill_start_credit(&mut self, now: Duration, zone: u32) {
        let Some(end) = self.ramp_up_ends.get(&zone).copied() else {
            return;
        };
        if now >= end || !self.fleet.zone(zone).in_service {
            self.ramp_up_ends.remove(&zone);
            self.fleet.zone_mut(zone).credit = None;
        } else {
            self.fleet.zone_mut(zone).credit = Some((self.settings.jobs_per_second / 4).max(1));
            self.timers
                .insert((now + CREDIT_INTERVAL, Timer::RefillCredit(zone)));
        }
        self.freed = true;
        let holders = self.reservations.iter().copied();
        self.ready_candidates.extend(holders);
    }

    /// Reports whether a worker can accept work now.
    pub(super) fn accepts_work(&self, slot: Slot) -> bool {
        let machine = self.fleet.machine(slot);
        machine.state == State::Up && self.fleet.zone(machine.location.domain).in_service
    }
}
