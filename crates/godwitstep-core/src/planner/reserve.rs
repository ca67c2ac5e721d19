//! Reservations for jobs that would otherwise be overtaken for ever, and what may run meanwhile.

use super::Planner;
use super::claim::CLAIM_LIFE;
use super::event::Action;
use super::job::Stage;
use super::place::Place;
use super::queue::Key;
use crate::fleet::{Charge, Index, Machine, Seat, Slot, Spot, State};
use crate::id::Accelerators;
use crate::resource::{Adjacency, Shape};

use std::time::Duration;

/// Time until a place for a reservation is looked for again after there was none. The search looks
/// at all workers, about 5 ms with 32,000.
const SEARCH_PAUSE: Duration = Duration::from_secs(30);

/// A worker as a candidate for a reservation, ordered by when it is expected to be free.
type Candidate = (Duration, Slot, Accelerators);

impl Planner {
    /// Reserves the workers that are expected to be free first. Jobs with one accelerator need no
    /// reservation: whatever becomes free fits them.
    pub(super) fn reserve(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        let shape = entry.spec.shape;
        if shape.accelerators() == 1 || now < entry.search_after {
            return false;
        }
        let (soft, key) = (entry.lane.soft, entry.key);
        let holders = self
            .reservations
            .iter()
            .filter_map(|holder| self.jobs.get(holder));
        // One reservation for each lane is enough: what fits the first fits the others.
        let alike = holders.clone().find(|holder| holder.lane == entry.lane);
        let weakest = holders.max_by_key(|holder| holder.key);
        let full = self.reservations.len() >= self.settings.reservations;
        let replaced = alike.or(weakest.filter(|_| full)).map(|holder| holder.key);
        if replaced.is_some_and(|replaced| replaced < key) {
            return false;
        }
        let charge = if soft { Charge::Soft } else { Charge::Firm };
        let Some((start, spots)) = self.earliest(shape, soft, key) else {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.search_after = now + SEARCH_PAUSE;
            }
            return false;
        };
        self.yield_to(&spots, replaced, out);
        self.dequeue(id);
        let start = start.max(now);
        let stage = Stage::Pledged {
            claim: false,
            start,
        };
        self.pledge(now, id, &spots, charge, stage);
        self.reservations.insert(id);
        self.wake(id, now + self.settings.review);
        true
    }

    /// Starts the holder of a reservation elsewhere if there is room by now. Otherwise the
    /// reservation stays where it is until it has become old: planning it anew looks at all
    /// workers.
    pub(super) fn review(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let Some(run) = self.jobs.get(&id).and_then(|entry| entry.run.clone()) else {
            return;
        };
        self.drop_pledge(id);
        if now >= run.since + self.settings.reservation_life {
            return self.enqueue(id, out);
        }
        if let Some(place) = self.find(now, id) {
            return self.begin(now, id, &place, out);
        }
        for part in &run.parts {
            self.fleet.pledge(part.slot, id, part.accelerators);
        }
        let busy = run
            .parts
            .iter()
            .map(|part| self.fleet.machine(part.slot).busy_until);
        let expected = busy.max().unwrap_or(now).max(now);
        if let Some(entry) = self.jobs.get_mut(&id) {
            let run = entry.run.insert(run);
            if let Stage::Pledged { start, .. } = &mut run.stage
                && *start > now
            {
                *start = expected;
            }
        }
        self.reservations.insert(id);
        self.ripe.insert(id);
        self.wake(id, now + self.settings.review);
    }

    /// Lets the holders of reservations wait again that a more important job replaces.
    fn yield_to(&mut self, spots: &[Spot], replaced: Option<Key>, out: &mut Vec<Action>) {
        let mut yielding: Vec<u32> = replaced.map(|key| key.job).into_iter().collect();
        for spot in spots {
            yielding.extend(self.fleet.machine(spot.slot).pledges.keys());
        }
        yielding.sort_unstable();
        yielding.dedup();
        for holder in yielding {
            self.drop_pledge(holder);
            self.enqueue(holder, out);
        }
    }

    /// Finds the place that is expected to be free first, and when.
    fn earliest(&self, shape: Shape, soft: bool, key: Key) -> Option<(Duration, Vec<Spot>)> {
        let mut candidates: Vec<((u32, u32), Candidate)> = Vec::new();
        for machine in self.fleet.machines() {
            let Some(amount) = self.drained(machine, soft, key) else {
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
            candidates.push((group, (free_at, seat.slot, amount)));
        }
        candidates.sort_unstable();
        let mut best: Option<(Duration, Vec<Spot>)> = None;
        for group in candidates.chunk_by(|one, next| one.0 == next.0) {
            if let Some(found) = gather(group, shape)
                && best.as_ref().is_none_or(|best| found.0 < best.0)
            {
                best = Some(found);
            }
        }
        best
    }

    /// Returns the accelerators that a job could have on a worker once everything else that may
    /// end there has ended; `None` if the worker is of no use or promised to a claim or to a more
    /// important job.
    fn drained(&self, machine: &Machine, soft: bool, key: Key) -> Option<Accelerators> {
        let usable = machine.state == State::Up && self.fleet.startable(machine.seat.domain);
        let weaker = |holder: &u32| {
            let entry = self.jobs.get(holder);
            self.reservations.contains(holder) && entry.is_some_and(|entry| entry.key > key)
        };
        if !usable || !machine.pledges.keys().all(weaker) {
            return None;
        }
        let whole = machine.worker.accelerators;
        Some(if soft {
            whole
        } else {
            whole.saturating_sub(machine.homed)
        })
    }

    /// Finds accelerators that are kept for a reservation, for a job that has ended before they are
    /// needed, that can be told to stop, or that is more important than the holder.
    pub(super) fn find_shadow(&self, now: Duration, id: u32, avoid: &[Slot]) -> Option<Place> {
        let entry = self.jobs.get(&id)?;
        let (spec, soft) = (&entry.spec, entry.lane.soft);
        let run_time = self
            .estimates
            .run_time(&spec.workspace, &spec.kind, spec.run_s);
        let end = run_time.map(|time| now + time);
        for holder in &self.reservations {
            let Some(owner) = self.jobs.get(holder) else {
                continue;
            };
            let Some(run) = &owner.run else {
                continue;
            };
            let Stage::Pledged { start, .. } = run.stage else {
                continue;
            };
            let in_time = end.is_some_and(|end| end <= start);
            // Once it is due, jobs that give way would only be stopped again.
            let can_give_way = soft && start > now;
            if !can_give_way && !in_time && entry.key > owner.key {
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
        let run = self.jobs.get_mut(&id).and_then(|entry| entry.run.as_mut());
        if let Some(Stage::Pledged { start, .. }) = run.map(|run| &mut run.stage)
            && *start > now
        {
            *start = now;
            self.wake(id, now + CLAIM_LIFE);
        }
        self.preempt(now, id, victims, out);
    }
}

/// Takes workers in the order in which they become free until the shape fits.
fn gather(group: &[((u32, u32), Candidate)], shape: Shape) -> Option<(Duration, Vec<Spot>)> {
    let mut left = shape.tasks;
    let mut spots = Vec::new();
    for (_, (free_at, slot, amount)) in group {
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
