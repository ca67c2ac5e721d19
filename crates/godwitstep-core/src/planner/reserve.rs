//! Reservations for jobs that others would otherwise overtake indefinitely, and backfill of the
//! reserved accelerators.

use super::Planner;
use super::claim::CLAIM_TIMEOUT;
use super::event::Action;
use super::job::Stage;
use super::place::Placement;
use super::queue::Key;
use crate::fleet::{Charge, Index, Location, PlacedPart, Slot, State, WorkerState};
use crate::id::Accelerators;
use crate::resource::{Adjacency, Shape};

use std::time::Duration;

/// Time until the next search for a job after one that found no workers. A search scans all
/// workers, which takes about 5 ms with 32,000.
const SEARCH_INTERVAL: Duration = Duration::from_secs(30);

/// Least time between two such searches, for each worker of the region: 5 ms with 10 workers, 16 s
/// with 32,000. Keeps the searches out of the 99th percentile of decision times.
const SEARCH_INTERVAL_PER_WORKER: Duration = Duration::from_micros(500);

/// A candidate worker for a reservation, ordered by when it is expected to be free.
type Candidate = (Duration, Slot, Accelerators);

impl Planner {
    /// Reserves the workers that are expected to be free first. Jobs with one accelerator need no
    /// reservation, because any accelerator that becomes free fits them.
    pub(super) fn reserve(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) -> bool {
        let Some(entry) = self.jobs.get(&id) else {
            return false;
        };
        let shape = entry.spec.shape;
        if shape.accelerators() == 1 || now < entry.search_after || now < self.search_after {
            return false;
        }
        let (preemptible, key) = (entry.lane.preemptible, entry.key);
        let holders = self
            .reservations
            .iter()
            .filter_map(|holder| self.jobs.get(holder));
        // One reservation per lane is enough, because what fits the first job fits the others.
        let same_lane = holders.clone().find(|holder| holder.lane == entry.lane);
        let least_important = holders.max_by_key(|holder| holder.key);
        let full = self.reservations.len() >= self.settings.max_reservations;
        let replaced = same_lane
            .or(least_important.filter(|_| full))
            .map(|holder| holder.key);
        if replaced.is_some_and(|replaced| replaced < key) {
            return false;
        }
        let charge = if preemptible {
            Charge::Preemptible
        } else {
            Charge::NonPreemptible
        };
        let workers = u32::try_from(self.fleet.workers().count()).unwrap_or(u32::MAX);
        self.search_after = now + SEARCH_INTERVAL_PER_WORKER * workers;
        let Some((start, placed_parts)) = self.find_earliest(shape, preemptible, key) else {
            if let Some(entry) = self.jobs.get_mut(&id) {
                entry.search_after = now + SEARCH_INTERVAL;
            }
            return false;
        };
        self.displace_holders(&placed_parts, replaced, out);
        self.dequeue(id);
        let start = start.max(now);
        let stage = Stage::Earmarked {
            claim: false,
            start,
        };
        self.earmark(now, id, &placed_parts, charge, stage);
        self.reservations.insert(id);
        self.set_job_timer(id, now + self.settings.review_interval);
        true
    }

    /// Starts the holder of a reservation on other accelerators if some are free now. Otherwise the
    /// reservation stays in place until its lifetime ends, because planning it again scans all
    /// workers.
    pub(super) fn review_reservation(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let Some(run) = self.jobs.get(&id).and_then(|entry| entry.run.clone()) else {
            return;
        };
        self.drop_earmark(id);
        let expired = now >= run.since + self.settings.reservation_lifetime;
        if expired && now >= self.search_after {
            return self.enqueue(id, out);
        }
        if let Some(placement) = self.find_placement(now, id) {
            return self.begin_run(now, id, &placement, out);
        }
        for part in &run.parts {
            self.fleet.earmark(part.slot, id, part.accelerators);
        }
        let busy = run
            .parts
            .iter()
            .map(|part| self.fleet.worker(part.slot).busy_until);
        let expected = busy.max().unwrap_or(now).max(now);
        if let Some(entry) = self.jobs.get_mut(&id) {
            let run = entry.run.insert(run);
            if let Stage::Earmarked { start, .. } = &mut run.stage
                && *start > now
            {
                *start = expected;
            }
        }
        self.reservations.insert(id);
        self.ready_candidates.insert(id);
        self.set_job_timer(id, now + self.settings.review_interval);
    }

    /// Requeues the holders of reservations that a more important job displaces: the one with the
    /// key `replaced`, and those with earmarks on its workers.
    fn displace_holders(
        &mut self,
        placed_parts: &[PlacedPart],
        replaced: Option<Key>,
        out: &mut Vec<Action>,
    ) {
        let mut displaced: Vec<u32> = replaced.map(|key| key.job).into_iter().collect();
        for part in placed_parts {
            displaced.extend(self.fleet.worker(part.slot).earmarks.keys());
        }
        displaced.sort_unstable();
        displaced.dedup();
        for holder in displaced {
            self.drop_earmark(holder);
            self.enqueue(holder, out);
        }
    }

    /// Finds the workers that are expected to be free first, and when.
    fn find_earliest(
        &self,
        shape: Shape,
        preemptible: bool,
        key: Key,
    ) -> Option<(Duration, Vec<PlacedPart>)> {
        let mut candidates: Vec<((u32, u32), Candidate)> = Vec::new();
        for worker in self.fleet.workers() {
            let Some(amount) = self.capacity_once_drained(worker, preemptible, key) else {
                continue;
            };
            let location = worker.location;
            let group = match shape.adjacency {
                Adjacency::Worker => (location.domain, location.slot),
                Adjacency::Rack => (location.domain, location.rack),
                Adjacency::Domain => (location.domain, 0),
                Adjacency::Any => (0, 0),
            };
            let free_at = match worker.idle() {
                idle if idle >= amount => Duration::ZERO,
                _ => worker.busy_until,
            };
            candidates.push((group, (free_at, location.slot, amount)));
        }
        candidates.sort_unstable();
        let mut best: Option<(Duration, Vec<PlacedPart>)> = None;
        for group in candidates.chunk_by(|one, next| one.0 == next.0) {
            if let Some(found) = select_workers(group, shape)
                && best.as_ref().is_none_or(|best| found.0 < best.0)
            {
                best = Some(found);
            }
        }
        best
    }

    /// Returns the accelerators that a job could use on a worker once all parts there have ended;
    /// `None` if the worker is unusable, or earmarked for a claim or a more important job.
    fn capacity_once_drained(
        &self,
        worker: &WorkerState,
        preemptible: bool,
        key: Key,
    ) -> Option<Accelerators> {
        let usable = worker.state == State::Up && self.fleet.startable(worker.location.domain);
        let less_important = |holder: &u32| {
            let entry = self.jobs.get(holder);
            self.reservations.contains(holder) && entry.is_some_and(|entry| entry.key > key)
        };
        if !usable || !worker.earmarks.keys().all(less_important) {
            return None;
        }
        let total = worker.announced.accelerators;
        Some(if preemptible {
            total
        } else {
            total.saturating_sub(worker.assigned)
        })
    }

    /// Finds reserved accelerators to backfill. The job must end before they are needed, be
    /// preemptible, or be more important than the holder.
    pub(super) fn find_backfill(
        &self,
        now: Duration,
        id: u32,
        avoid: &[Slot],
    ) -> Option<Placement> {
        let entry = self.jobs.get(&id)?;
        let (spec, preemptible) = (&entry.spec, entry.lane.preemptible);
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
            let Stage::Earmarked { start, .. } = run.stage else {
                continue;
            };
            let ends_in_time = end.is_some_and(|end| end <= start);
            // Once the reservation is due, a preemptible job would be stopped again at once.
            let can_be_preempted = preemptible && start > now;
            if !can_be_preempted && !ends_in_time && entry.key > owner.key {
                continue;
            }
            let parts = run
                .parts
                .iter()
                .map(|part| self.backfill_capacity(part.slot, preemptible));
            let unneeded: Vec<_> = parts.filter(|(_, amount)| *amount > 0).collect();
            let sum: Accelerators = unneeded.iter().map(|(_, amount)| amount).sum();
            if sum < spec.shape.accelerators() {
                continue;
            }
            let mut idle = Index::default();
            for (location, amount) in unneeded {
                idle.set(location, amount);
            }
            let startable = |domain| self.fleet.startable(domain);
            if let Some(placed_parts) = idle.place(spec.shape, &startable, avoid) {
                return Some(Placement {
                    placed_parts,
                    charge: if preemptible {
                        Charge::Preemptible
                    } else {
                        Charge::NonPreemptible
                    },
                    borrowed: preemptible,
                    backfilled_for: Some(*holder),
                });
            }
        }
        None
    }

    fn backfill_capacity(&self, slot: Slot, preemptible: bool) -> (Location, Accelerators) {
        let worker = self.fleet.worker(slot);
        let claimed = worker
            .earmarks
            .keys()
            .any(|job| !self.reservations.contains(job));
        let total = worker.announced.accelerators;
        let unclaimed = total.saturating_sub(worker.assigned + worker.non_preemptible);
        let amount = match (worker.state, claimed) {
            (State::Up, false) if preemptible => worker.idle(),
            (State::Up, false) => worker.idle().min(unclaimed),
            _ => 0,
        };
        (worker.location, amount)
    }

    /// Preempts the jobs that backfill a reservation once only they keep its accelerators busy.
    pub(super) fn preempt_backfill(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        let Some(run) = self.jobs.get(&id).and_then(|entry| entry.run.as_ref()) else {
            return;
        };
        let mut victims = Vec::new();
        for part in &run.parts {
            let worker = self.fleet.worker(part.slot);
            let mut available = worker.idle();
            for (job, entry) in &worker.allocations {
                let owner = self.jobs.get(job);
                let backfilled_for = owner.and_then(|owner| owner.run.as_ref()?.backfilled_for);
                if backfilled_for == Some(id) && entry.charge == Charge::Preemptible {
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
        if let Some(Stage::Earmarked { start, .. }) = run.map(|run| &mut run.stage)
            && *start > now
        {
            *start = now;
            self.set_job_timer(id, now + CLAIM_TIMEOUT);
        }
        self.preempt(now, id, victims, out);
    }
}

/// Selects workers in the order in which they become free until the shape fits.
fn select_workers(
    group: &[((u32, u32), Candidate)],
    shape: Shape,
) -> Option<(Duration, Vec<PlacedPart>)> {
    let mut left = shape.tasks;
    let mut placed_parts = Vec::new();
    for (_, (free_at, slot, amount)) in group {
        let tasks = (amount / shape.accelerators).min(left);
        if tasks > 0 {
            left -= tasks;
            placed_parts.push(PlacedPart { slot: *slot, tasks });
        }
        if left == 0 {
            return Some((*free_at, placed_parts));
        }
    }
    None
}
