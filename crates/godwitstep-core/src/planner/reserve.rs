//! Reservations for jobs that would otherwise be overtaken for ever, and what may run meanwhile.

use super::Planner;
use super::event::Action;
use super::job::Stage;
use super::place::Place;
use crate::fleet::{Charge, Index, Machine, Seat, Slot, Spot, State};
use crate::id::Accelerators;
use crate::resource::{Adjacency, Shape};
use std::collections::BTreeMap;
use std::time::Duration;

/// A worker as a candidate for a reservation, ordered by when it is expected to be free.
type Candidate = (Duration, Slot, Accelerators);

impl Planner {
    /// Reserves the workers that are expected to be free first. Jobs with one accelerator need no
    /// reservation: whatever becomes free fits them.
    pub(super) fn reserve(&mut self, now: Duration, id: u32) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        let (shape, lane) = (entry.spec.shape, &entry.lane);
        let mut holders = self
            .reservations
            .iter()
            .filter_map(|other| self.jobs.get(other));
        if shape.accelerators() == 1
            || self.reservations.len() >= self.settings.reservations
            || holders.any(|holder| holder.lane == *lane)
        {
            return false;
        }
        let soft = lane.soft;
        let charge = if soft { Charge::Soft } else { Charge::Firm };
        let Some((start, spots)) = self.earliest(shape, soft) else {
            return false;
        };
        self.dequeue(id);
        let start = start.max(now);
        let stage = Stage::Pledged {
            claim: false,
            start,
        };
        self.pledge(now, id, &spots, charge, stage);
        self.reservations.insert(id);
        self.wake(id, now + self.settings.reservation_life);
        true
    }

    /// Finds the place that is expected to be free first, and when.
    fn earliest(&self, shape: Shape, soft: bool) -> Option<(Duration, Vec<Spot>)> {
        let mut groups: BTreeMap<(u32, u32), Vec<Candidate>> = BTreeMap::new();
        for machine in self.fleet.machines() {
            let Some(amount) = self.drained(machine, soft) else {
                continue;
            };
            let seat = machine.seat;
            let group = match shape.adjacency {
                Adjacency::Worker => (seat.domain, seat.slot),
                Adjacency::Rack => (seat.domain, seat.rack),
                Adjacency::Domain => (seat.domain, 0),
                Adjacency::Any => (0, 0),
            };
            let free_at = match machine.idle() {
                idle if idle >= amount => Duration::ZERO,
                _ => machine.busy_until,
            };
            groups
                .entry(group)
                .or_default()
                .push((free_at, seat.slot, amount));
        }
        let mut best: Option<(Duration, Vec<Spot>)> = None;
        for group in groups.values_mut() {
            group.sort_unstable();
            if let Some(found) = gather(group, shape)
                && best.as_ref().is_none_or(|best| found.0 < best.0)
            {
                best = Some(found);
            }
        }
        best
    }

    /// Returns the accelerators that a job could have on a worker once everything else that may
    /// end there has ended; `None` if the worker is of no use or promised already.
    fn drained(&self, machine: &Machine, soft: bool) -> Option<Accelerators> {
        let usable = machine.state == State::Up && self.fleet.startable(machine.seat.domain);
        if !usable || !machine.pledges.is_empty() {
            return None;
        }
        let whole = machine.worker.accelerators;
        Some(if soft {
            whole
        } else {
            whole.saturating_sub(machine.homed)
        })
    }

    /// Finds accelerators that are kept for a reservation but not needed until the job has ended
    /// or can be told to stop.
    pub(super) fn find_shadow(&self, now: Duration, id: u32, avoid: &[Slot]) -> Option<Place> {
        let entry = self.jobs.get(&id)?;
        let (spec, soft) = (&entry.spec, entry.lane.soft);
        let run_time = self
            .estimates
            .run_time(&spec.workspace, &spec.kind, spec.run_s);
        let end = run_time.map(|time| now + time);
        for holder in &self.reservations {
            let Some(run) = self.jobs.get(holder).and_then(|job| job.run.as_ref()) else {
                continue;
            };
            let Stage::Pledged { start, .. } = run.stage else {
                continue;
            };
            if !soft && end.is_none_or(|end| end > start) {
                continue;
            }
            let mut idle = Index::default();
            for part in &run.parts {
                let (seat, amount) = self.unneeded(part.slot, soft);
                idle.set(seat, amount);
            }
            let startable = |zone| self.fleet.startable(zone);
            if let Some(spots) = idle.place(spec.shape, &startable, avoid) {
                return Some(Place {
                    spots,
                    charge: if soft { Charge::Soft } else { Charge::Firm },
                    borrowed: soft,
                    shadow: Some(*holder),
                });
            }
        }
        None
    }

    fn unneeded(&self, slot: Slot, soft: bool) -> (Seat, Accelerators) {
        let machine = self.fleet.machine(slot);
        let claimed = machine
            .pledges
            .keys()
            .any(|job| !self.reservations.contains(job));
        let whole = machine.worker.accelerators;
        let unclaimed = whole.saturating_sub(machine.homed + machine.firm);
        let amount = match (machine.state, claimed) {
            (State::Up, false) if soft => machine.idle(),
            (State::Up, false) => machine.idle().min(unclaimed),
            _ => 0,
        };
        (machine.seat, amount)
    }

    /// Stops the jobs in the shadow of a reservation once nothing else is in its way.
    pub(super) fn clear_shadow(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let Some(run) = self.jobs.get(&id).and_then(|entry| entry.run.as_ref()) else {
            return;
        };
        let mut victims = Vec::new();
        for part in &run.parts {
            let machine = self.fleet.machine(part.slot);
            let mut available = machine.idle();
            for (job, entry) in &machine.uses {
                let owner = self.jobs.get(job);
                let shadow = owner.and_then(|owner| owner.run.as_ref()?.shadow);
                if shadow == Some(id) && entry.charge == Charge::Soft {
                    available += entry.accelerators;
                    victims.push(*job);
                }
            }
            if available < part.accelerators {
                return;
            }
        }
        victims.sort_unstable();
        victims.dedup();
        self.preempt(now, id, victims, out);
    }
}

/// Takes workers in the order in which they become free until the shape fits.
fn gather(group: &[Candidate], shape: Shape) -> Option<(Duration, Vec<Spot>)> {
    let mut left = shape.tasks;
    let mut spots = Vec::new();
    for (free_at, slot, amount) in group {
        let tasks = (amount / shape.accelerators).min(left);
        if tasks > 0 {
            left -= tasks;
            spots.push(Spot { slot: *slot, tasks });
        }
        if left == 0 {
            return Some((*free_at, spots));
        }
    }
    None
}
