//! Failure domains that leave service and return.

use super::Planner;
use super::event::Action;
use super::job::{Fate, Stage, Status};
use super::timer::Timer;
use crate::fleet::{Slot, State};
use crate::id::DomainId;
use crate::reason::Reason;
use std::time::Duration;

/// Time between two grants of starts to a domain that returned.
const GRANT: Duration = Duration::from_millis(250);

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
        self.rehome = true;
        self.repacked = Duration::ZERO;
        if in_service {
            self.returning.insert(zone, now + self.settings.return_time);
            return self.refill(now, zone);
        }
        let inside = self
            .fleet
            .machines()
            .filter(|machine| machine.seat.domain == zone);
        let inside: Vec<Slot> = inside.map(|machine| machine.seat.slot).collect();
        for slot in inside {
            self.drop_homes_at(slot);
            self.drop_pledges_at(slot);
            let booked: Vec<u32> = self.fleet.machine(slot).uses.keys().copied().collect();
            for job in booked {
                self.leave(now, job, zone, id, out);
            }
        }
    }

    /// Withdraws a run that has not started in a domain that left service, and lists one that has
    /// for being moved.
    fn leave(&mut self, now: Duration, job: u32, zone: u32, id: &DomainId, out: &mut Vec<Action>) {
        let run = self.jobs.get(&job).and_then(|entry| entry.run.as_ref());
        let Some(run) = run else {
            return;
        };
        let domain = id.clone();
        let fate = Fate::Requeue(Reason::DomainOut { domain });
        match run.stage {
            Stage::Reserving | Stage::Recording => self.withdraw(now, job, fate, out),
            Stage::Starting => {
                let mut parts = run.parts.iter();
                let unstarted = parts.any(|part| {
                    part.status == Status::Committed
                        && self.fleet.machine(part.slot).seat.domain == zone
                });
                if unstarted {
                    self.withdraw(now, job, fate, out);
                } else {
                    self.list_move(now, job);
                }
            }
            Stage::Running => self.list_move(now, job),
            Stage::Pledged { .. } | Stage::Stopping { .. } | Stage::Adopting => {}
        }
    }

    /// Lists a run that was taken over if it is in a domain that is out of service.
    pub(super) fn move_if_out(&mut self, now: Duration, job: u32) {
        if self.domain_out_of(job).is_some() {
            self.list_move(now, job);
        }
    }

    /// Lists a job for being moved. One that could not be started again stays until it ends.
    fn list_move(&mut self, now: Duration, job: u32) {
        let Some(entry) = self.jobs.get(&job) else {
            return;
        };
        if entry.repeatable() {
            if self.moves.is_empty() {
                self.timers.insert((now, Timer::Move));
            }
            self.moves.insert((entry.key, job));
        }
    }

    pub(super) fn move_next(&mut self, now: Duration, out: &mut Vec<Action>) {
        let Some((_, job)) = self.moves.pop_first() else {
            return;
        };
        if let Some(domain) = self.domain_out_of(job) {
            let fate = Fate::Requeue(Reason::DomainOut { domain });
            self.withdraw(now, job, fate, out);
        }
        if !self.moves.is_empty() {
            let pause = Duration::from_secs(1) / self.settings.pace.max(1);
            self.timers.insert((now + pause, Timer::Move));
        }
    }

    /// Returns a failure domain that is out of service and has a part of the job.
    fn domain_out_of(&self, job: u32) -> Option<DomainId> {
        let run = self.jobs.get(&job)?.run.as_ref()?;
        let mut zones = run
            .parts
            .iter()
            .filter(|part| !part.status.is_over())
            .map(|part| {
                let machine = self.fleet.machine(part.slot);
                self.fleet.zone(machine.seat.domain)
            });
        zones
            .find(|zone| !zone.in_service)
            .map(|zone| zone.id.clone())
    }

    /// Grants the next starts to a domain that returned, until its return is over.
    pub(super) fn refill(&mut self, now: Duration, zone: u32) {
        let Some(end) = self.returning.get(&zone).copied() else {
            return;
        };
        if now >= end || !self.fleet.zone(zone).in_service {
            self.returning.remove(&zone);
            self.fleet.zone_mut(zone).credit = None;
        } else {
            self.fleet.zone_mut(zone).credit = Some((self.settings.pace / 4).max(1));
            self.timers.insert((now + GRANT, Timer::Credit(zone)));
        }
        self.freed = true;
        let promised = self.reservations.iter().copied();
        self.ripe.extend(promised);
    }

    /// Reports whether a worker can take work now.
    pub(super) fn takes_work(&self, slot: Slot) -> bool {
        let machine = self.fleet.machine(slot);
        machine.state == State::Up && self.fleet.zone(machine.seat.domain).in_service
    }
}
