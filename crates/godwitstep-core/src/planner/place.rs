//! The look through the queue: which waiting job starts where.

use super::Planner;
use super::event::Action;
use super::job::{Part, Run, Stage, Status};
use crate::fleet::{Charge, Index, Slot, Spot};
use crate::reason::Reason;
use crate::resource::{Phase, Shape};
use std::time::Duration;

/// Workers of a workspace's homes up to which a second, costlier search for free ones is made.
const SEARCHED: usize = 512;

/// Where a job can start.
pub(super) struct Place {
    pub spots: Vec<Spot>,
    pub charge: Charge,
    pub borrowed: bool,
    /// Holder of the reservation in whose shadow the place is.
    pub shadow: Option<u32>,
}

impl Planner {
    /// Starts waiting jobs in order, as far as they fit.
    pub(super) fn plan(&mut self, now: Duration, out: &mut Vec<Action>) {
        // A start needs a record, so nothing starts while records can't be written.
        if self.epoch == 0 || self.superseded || !self.standing.may_promise() {
            return;
        }
        if self.freed && self.queue.is_spent() {
            self.freed = false;
            self.queue.unblock();
        }
        for _ in 0..self.settings.attempts_per_event {
            let Some(key) = self.queue.first() else {
                return;
            };
            self.consider(now, key.job, out);
        }
    }

    fn consider(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        if let Some(place) = self.find(now, id) {
            self.dequeue(id);
            return self.begin(now, id, &place, out);
        }
        if self.claim(now, id, out) {
            return;
        }
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let (shape, lane) = (entry.spec.shape, entry.lane.clone());
        if self.discovered(now) && !self.fleet.could_hold(shape) {
            let reason = Reason::CanNeverRun { shape };
            return self.conclude(id, Phase::Failed, reason, out);
        }
        let reason = self.obstacle(id);
        self.explain(id, reason.clone(), out);
        if self.reserve(now, id, out) {
            return;
        }
        for key in self.queue.block(&lane, &reason) {
            self.explain(key.job, reason.clone(), out);
        }
    }

    /// Reports whether the workers can be taken to be known: none was new for some time, and every
    /// failure domain has some. A job must not be refused for good because links are down.
    fn discovered(&self, now: Duration) -> bool {
        let mut zones = self.fleet.zones().filter(|(_, zone)| !zone.id.is_empty());
        now >= self.found + self.settings.discovery
            && self.fleet.machines().next().is_some()
            && zones.all(|(slot, _)| self.fleet.whole(slot) > 0)
    }

    /// Finds free accelerators for a job: in its workspace's homes, in capacity that nobody is
    /// guaranteed, borrowed from others, or in the shadow of a reservation.
    pub(super) fn find(&self, now: Duration, id: u32) -> Option<Place> {
        let entry = self.jobs.get(&id)?;
        let mut avoid = entry.failed_on.clone();
        avoid.extend(entry.avoid);
        let found = self.find_avoiding(now, id, &avoid);
        // Workers on which the job failed are better than none.
        found.or_else(|| {
            let again = !avoid.is_empty();
            again.then(|| self.find_avoiding(now, id, &[])).flatten()
        })
    }

    fn find_avoiding(&self, now: Duration, id: u32, avoid: &[Slot]) -> Option<Place> {
        let entry = self.jobs.get(&id)?;
        let (shape, soft) = (entry.spec.shape, entry.lane.soft);
        let place = |spots, charge, borrowed| Place {
            spots,
            charge,
            borrowed,
            shadow: None,
        };
        if let Some(spots) = self.find_home(&entry.spec.workspace, shape, avoid) {
            return Some(place(spots, Charge::Home, false));
        }
        let charge = if soft { Charge::Soft } else { Charge::Firm };
        if let Some(spots) = self.fleet.find_open(shape, avoid) {
            return Some(place(spots, charge, false));
        }
        if soft && let Some(spots) = self.fleet.find_free(shape, avoid) {
            return Some(place(spots, charge, true));
        }
        self.find_shadow(now, id, avoid)
    }

    fn find_home(&self, workspace: &str, shape: Shape, avoid: &[Slot]) -> Option<Vec<Spot>> {
        let tenant = self.tenants.get(workspace)?;
        let startable = |zone| self.fleet.startable(zone);
        let spots = tenant.left.place(shape, &startable, avoid)?;
        let free = self.fleet.free();
        let is_free = |spot: &Spot| free.get(spot.slot) >= spot.tasks * shape.accelerators;
        if spots.iter().all(is_free) {
            return Some(spots);
        }
        if tenant.left.len() > SEARCHED {
            return None;
        }
        let mut unused = Index::default();
        for (seat, amount) in tenant.left.iter() {
            unused.set(seat, amount.min(free.get(seat.slot)));
        }
        unused.place(shape, &startable, avoid)
    }

    /// Sends the reservations of a new run.
    pub(super) fn begin(&mut self, now: Duration, id: u32, place: &Place, out: &mut Vec<Action>) {
        let mut run = self.new_run(now, id, &place.spots, place.charge, Stage::Reserving);
        run.borrowed = place.borrowed;
        run.shadow = place.shadow;
        if place.charge == Charge::Home
            && let Some(workspace) = self.jobs.get(&id).map(|job| job.spec.workspace.clone())
        {
            for part in &run.parts {
                self.spend_home(&workspace, part.slot, part.accelerators);
            }
        }
        self.launch(now, id, run, out);
    }

    /// Enters a run into the books and sends its reservations.
    pub(super) fn launch(&mut self, now: Duration, id: u32, mut run: Run, out: &mut Vec<Action>) {
        run.stage = Stage::Reserving;
        run.since = now;
        let mut zones = Vec::new();
        for part in &run.parts {
            self.book(id, part, run.charge);
            zones.push(self.fleet.machine(part.slot).seat.domain);
        }
        zones.dedup();
        for zone in zones {
            let credit = &mut self.fleet.zone_mut(zone).credit;
            *credit = credit.map(|left| left.saturating_sub(1));
        }
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.run = Some(run);
        }
        self.send_reserve(id, out);
        self.wake(id, now + self.settings.reserve_limit);
    }

    pub(super) fn new_run(
        &self,
        now: Duration,
        id: u32,
        spots: &[Spot],
        charge: Charge,
        stage: Stage,
    ) -> Run {
        let entry = &self.jobs[&id];
        let each = entry.spec.shape.accelerators;
        let parts = spots.iter().map(|spot| Part {
            slot: spot.slot,
            tasks: spot.tasks,
            accelerators: spot.tasks * each,
            status: Status::Asked,
            settled: false,
            doubted: false,
        });
        let mut parts: Vec<Part> = parts.collect();
        parts.sort_by_key(|part| self.worker(part.slot));
        Run {
            attempt: entry.attempt + 1,
            parts,
            charge,
            borrowed: false,
            stage,
            since: now,
            committed: None,
            adopted: false,
            recorded: false,
            fate: None,
            shadow: None,
        }
    }

    /// Tells why a job can't be placed now.
    fn obstacle(&self, id: u32) -> Reason {
        let entry = &self.jobs[&id];
        let shape = entry.spec.shape;
        let needed = shape.accelerators();
        if let Some(reason) = self.suspension(id) {
            return reason;
        }
        let free = self.fleet.free_in_service();
        if free >= u64::from(needed) {
            return Reason::WaitingForAdjacency { shape };
        }
        let mut kept = 0;
        for holder in &self.reservations {
            let run = self.jobs.get(holder).and_then(|job| job.run.as_ref());
            for part in run.iter().flat_map(|run| &run.parts) {
                let idle = self.fleet.machine(part.slot).idle();
                kept += u64::from(idle.min(part.accelerators));
            }
        }
        if let Some(holder) = self.reservations.first()
            && free + kept >= u64::from(needed)
        {
            let job = self.jobs[holder].name.clone();
            return Reason::WaitingBehind { job };
        }
        let free = u32::try_from(free).unwrap_or(u32::MAX);
        Reason::WaitingForCapacity { needed, free }
    }
}
