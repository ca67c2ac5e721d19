//! The workers of a region, indexed by failure domain, rack and free accelerators.
//!
//! The books count accelerators from the moment a reservation is sent until the part is known to
//! be over, so what was sent and not yet reported is never given away twice.
//!
//! ```
//! use godwitstep_core::fleet::{Charge, Fleet};
//! use godwitstep_core::planner::Worker;
//! use godwitstep_core::resource::Shape;
//!
//! let mut fleet = Fleet::default();
//! let slot = fleet.announce(Worker {
//!     id: "w1".into(),
//!     incarnation: 1,
//!     domain: "dk-vest-a".into(),
//!     rack: "r1".into(),
//!     accelerators: 8,
//! });
//! fleet.take(slot, 1, 5, Charge::Firm);
//! assert_eq!(fleet.free().get(slot), 3);
//! assert!(fleet.find_open(Shape::new(4, 1), &[]).is_none());
//! ```

use crate::id::{Accelerators, DomainId, RackId, WorkerId};
use crate::planner::Worker;
use crate::resource::Shape;
use std::collections::BTreeMap;
use std::time::Duration;

mod index;

pub use index::{Index, Seat, Slot, Spot};

/// Whether a worker can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Takes work.
    Up,
    /// Finishes its work and takes no new work.
    Leaving,
    /// Fails everything; takes no work until it is probed.
    Quarantined,
    /// Not reachable since the given time.
    Lost(Duration),
}

/// What the accelerators of a part count against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Charge {
    /// The guarantee of the job's own workspace.
    Home,
    /// Capacity that nobody is guaranteed; the part can't be asked to give way.
    Firm,
    /// Any capacity; the part gives way on request.
    Soft,
}

/// A part on a worker, in the books.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Use {
    /// Accelerators of the part.
    pub accelerators: Accelerators,
    /// What they count against.
    pub charge: Charge,
}

/// A worker and its books.
#[derive(Debug, Clone)]
pub struct Machine {
    /// The worker as announced.
    pub worker: Worker,
    /// Where it is.
    pub seat: Seat,
    /// Whether it can be used.
    pub state: State,
    /// Parts by the planner's number of the job.
    pub uses: BTreeMap<u32, Use>,
    /// Accelerators promised to jobs that wait for them to become free, by job.
    pub pledges: BTreeMap<u32, Accelerators>,
    /// Sum over `uses`. At most the worker's accelerators while it is up.
    pub used: Accelerators,
    /// Sum over `pledges`.
    pub pledged: Accelerators,
    /// Accelerators set aside for guarantees. With `firm`, at most the worker's accelerators.
    pub homed: Accelerators,
    /// Accelerators of parts with [`Charge::Firm`].
    pub firm: Accelerators,
    /// When the last part that is now on the worker is expected to end.
    pub busy_until: Duration,
    /// Accelerators in use by the newest usage report.
    pub reported: Accelerators,
}

impl Machine {
    /// Returns the accelerators that no part uses.
    #[must_use]
    pub const fn idle(&self) -> Accelerators {
        self.worker.accelerators.saturating_sub(self.used)
    }

    const fn usable(&self) -> bool {
        matches!(self.state, State::Up)
    }
}

/// A failure domain.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Its name.
    pub id: DomainId,
    /// Whether tasks may start in it.
    pub in_service: bool,
    /// Starts that are left in the present interval while the domain's return is paced.
    pub credit: Option<u32>,
}

/// The workers of a region. See the [module](self) page.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    machines: Vec<Machine>,
    slots: BTreeMap<WorkerId, Slot>,
    racks: BTreeMap<(u32, RackId), u32>,
    zones: Vec<Zone>,
    zone_slots: BTreeMap<DomainId, u32>,
    /// Accelerators neither used nor pledged.
    free: Index,
    /// The part of `free` that no guarantee claims.
    open: Index,
    /// Accelerators in which guarantees can be placed.
    room: Index,
    /// All accelerators, in service or not.
    whole: Index,
}

impl Fleet {
    /// Adds a worker or takes over its new announcement. It is up afterwards.
    pub fn announce(&mut self, worker: Worker) -> Slot {
        let slot = self.slot_or_placeholder(&worker.id);
        self.clear(slot);
        let domain = self.zone_slot(&worker.domain);
        let next = u32::try_from(self.racks.len()).unwrap_or(u32::MAX);
        let rack = *self
            .racks
            .entry((domain, worker.rack.clone()))
            .or_insert(next);
        let machine = &mut self.machines[slot as usize];
        machine.seat = Seat { slot, rack, domain };
        machine.worker = worker;
        if machine.state != State::Quarantined {
            machine.state = State::Up;
        }
        self.refresh(slot);
        slot
    }

    /// Returns the number of a worker. One that was never announced gets an entry without
    /// accelerators, as lost since the start.
    pub fn slot_or_placeholder(&mut self, id: &WorkerId) -> Slot {
        if let Some(slot) = self.slots.get(id) {
            return *slot;
        }
        let slot = Slot::try_from(self.machines.len()).unwrap_or(Slot::MAX);
        let domain: DomainId = "".into();
        let domain_slot = self.zone_slot(&domain);
        self.slots.insert(id.clone(), slot);
        self.machines.push(Machine {
            worker: Worker {
                id: id.clone(),
                incarnation: 0,
                domain,
                rack: "".into(),
                accelerators: 0,
            },
            seat: Seat {
                slot,
                rack: u32::MAX,
                domain: domain_slot,
            },
            state: State::Lost(Duration::ZERO),
            uses: BTreeMap::new(),
            pledges: BTreeMap::new(),
            used: 0,
            pledged: 0,
            homed: 0,
            firm: 0,
            busy_until: Duration::ZERO,
            reported: 0,
        });
        slot
    }

    /// Returns the number of a known worker.
    #[must_use]
    pub fn slot(&self, id: &str) -> Option<Slot> {
        self.slots.get(id).copied()
    }

    /// Returns a worker.
    #[must_use]
    pub fn machine(&self, slot: Slot) -> &Machine {
        &self.machines[slot as usize]
    }

    /// Returns all workers.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter()
    }

    /// Sets whether a worker can be used.
    pub fn set_state(&mut self, slot: Slot, state: State) {
        self.machines[slot as usize].state = state;
        self.refresh(slot);
    }

    /// Takes over a usage report.
    pub fn report(&mut self, slot: Slot, busy: Accelerators) {
        self.machines[slot as usize].reported = busy;
    }

    /// Enters a part into the books.
    pub fn take(&mut self, slot: Slot, job: u32, accelerators: Accelerators, charge: Charge) {
        let machine = &mut self.machines[slot as usize];
        let entry = Use {
            accelerators,
            charge,
        };
        if machine.uses.insert(job, entry).is_none() {
            machine.used += accelerators;
            if charge == Charge::Firm {
                machine.firm += accelerators;
            }
        }
        self.refresh(slot);
    }

    /// Removes a part from the books.
    pub fn give(&mut self, slot: Slot, job: u32) -> Option<Use> {
        let machine = &mut self.machines[slot as usize];
        let entry = machine.uses.remove(&job)?;
        machine.used -= entry.accelerators;
        if entry.charge == Charge::Firm {
            machine.firm -= entry.accelerators;
        }
        if machine.uses.is_empty() {
            machine.busy_until = Duration::ZERO;
        }
        self.refresh(slot);
        Some(entry)
    }

    /// Promises accelerators to a job that waits for them.
    pub fn pledge(&mut self, slot: Slot, job: u32, accelerators: Accelerators) {
        let machine = &mut self.machines[slot as usize];
        if machine.pledges.insert(job, accelerators).is_none() {
            machine.pledged += accelerators;
        }
        self.refresh(slot);
    }

    /// Withdraws a promise.
    pub fn unpledge(&mut self, slot: Slot, job: u32) {
        let machine = &mut self.machines[slot as usize];
        if let Some(accelerators) = machine.pledges.remove(&job) {
            machine.pledged -= accelerators;
        }
        self.refresh(slot);
    }

    /// Changes the charge of a part to firm or soft when its guarantee has moved elsewhere.
    pub fn recharge(&mut self, slot: Slot, job: u32, charge: Charge) {
        let machine = &mut self.machines[slot as usize];
        if let Some(entry) = machine.uses.get_mut(&job) {
            if entry.charge == Charge::Firm {
                machine.firm -= entry.accelerators;
            }
            entry.charge = charge;
            if charge == Charge::Firm {
                machine.firm += entry.accelerators;
            }
        }
        self.refresh(slot);
    }

    /// Changes the accelerators set aside for guarantees on a worker.
    pub fn set_homed(&mut self, slot: Slot, homed: Accelerators) {
        self.machines[slot as usize].homed = homed;
        self.refresh(slot);
    }

    /// Notes when the parts on a worker are expected to have ended.
    pub fn expect_busy(&mut self, slot: Slot, until: Duration) {
        let machine = &mut self.machines[slot as usize];
        machine.busy_until = machine.busy_until.max(until);
    }

    /// Returns the number of a failure domain, which is in service unless said otherwise.
    pub fn zone_slot(&mut self, id: &DomainId) -> u32 {
        if let Some(slot) = self.zone_slots.get(id) {
            return *slot;
        }
        let slot = u32::try_from(self.zones.len()).unwrap_or(u32::MAX);
        self.zones.push(Zone {
            id: id.clone(),
            in_service: true,
            credit: None,
        });
        self.zone_slots.insert(id.clone(), slot);
        slot
    }

    /// Returns a failure domain.
    #[must_use]
    pub fn zone(&self, zone: u32) -> &Zone {
        &self.zones[zone as usize]
    }

    /// Returns a failure domain for change.
    pub fn zone_mut(&mut self, zone: u32) -> &mut Zone {
        &mut self.zones[zone as usize]
    }

    /// Returns all failure domains.
    pub fn zones(&self) -> impl Iterator<Item = (u32, &Zone)> {
        (0..).zip(self.zones.iter())
    }

    /// Reports whether a job may be started in a failure domain now.
    #[must_use]
    pub fn startable(&self, zone: u32) -> bool {
        let zone = self.zone(zone);
        zone.in_service && zone.credit != Some(0)
    }

    /// Returns the accelerators neither used nor pledged.
    #[must_use]
    pub const fn free(&self) -> &Index {
        &self.free
    }

    /// Returns the free accelerators that no guarantee claims.
    #[must_use]
    pub const fn open(&self) -> &Index {
        &self.open
    }

    /// Returns the accelerators in which guarantees can be placed.
    #[must_use]
    pub const fn room(&self) -> &Index {
        &self.room
    }

    /// Finds free accelerators, whoever they are guaranteed to.
    #[must_use]
    pub fn find_free(&self, shape: Shape, avoid: &[Slot]) -> Option<Vec<Spot>> {
        self.free.place(shape, &|zone| self.startable(zone), avoid)
    }

    /// Finds free accelerators that no guarantee claims.
    #[must_use]
    pub fn find_open(&self, shape: Shape, avoid: &[Slot]) -> Option<Vec<Spot>> {
        self.open.place(shape, &|zone| self.startable(zone), avoid)
    }

    /// Finds a place in which a guarantee can be kept.
    #[must_use]
    pub fn find_room(&self, shape: Shape) -> Option<Vec<Spot>> {
        let in_service = |zone: u32| self.zone(zone).in_service;
        self.room.place(shape, &in_service, &[])
    }

    /// Reports whether the region could hold a shape if nothing else ran.
    #[must_use]
    pub fn could_hold(&self, shape: Shape) -> bool {
        self.whole.place(shape, &|_| true, &[]).is_some()
    }

    /// Returns the free accelerators in failure domains in service.
    #[must_use]
    pub fn free_in_service(&self) -> u64 {
        let zones = self.zones().filter(|(_, zone)| zone.in_service);
        zones.map(|(slot, _)| self.free.total(slot)).sum()
    }

    /// Returns the accelerators that guarantees can still be placed in.
    #[must_use]
    pub fn room_in_service(&self) -> u64 {
        let zones = self.zones().filter(|(_, zone)| zone.in_service);
        zones.map(|(slot, _)| self.room.total(slot)).sum()
    }

    /// Returns all accelerators of a failure domain, usable or not.
    #[must_use]
    pub fn whole(&self, zone: u32) -> u64 {
        self.whole.total(zone)
    }

    fn clear(&mut self, slot: Slot) {
        let seat = self.machines[slot as usize].seat;
        for index in [
            &mut self.free,
            &mut self.open,
            &mut self.room,
            &mut self.whole,
        ] {
            index.set(seat, 0);
        }
    }

    fn refresh(&mut self, slot: Slot) {
        let machine = &self.machines[slot as usize];
        let (seat, capacity) = (machine.seat, machine.worker.accelerators);
        let unclaimed = capacity.saturating_sub(machine.homed + machine.firm);
        let free = capacity.saturating_sub(machine.used + machine.pledged);
        let usable = machine.usable();
        self.free.set(seat, if usable { free } else { 0 });
        self.open
            .set(seat, if usable { free.min(unclaimed) } else { 0 });
        self.room.set(seat, if usable { unclaimed } else { 0 });
        self.whole.set(seat, capacity);
    }
}
