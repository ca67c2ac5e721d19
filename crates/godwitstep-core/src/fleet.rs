//! The workers of a region, indexed by failure domain, rack and free accelerators.
//!
//! Accelerators are accounted as used from the moment a reservation is sent until the part is known
//! to have ended, so a reservation that was sent but not yet reported is never allocated twice.
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
//! fleet.allocate(slot, 1, 5, Charge::NonPreemptible);
//! assert_eq!(fleet.free().get(slot), 3);
//! assert!(fleet.find_free_unassigned(Shape::new(4, 1), &[]).is_none());
//! ```

use crate::id::{Accelerators, DomainId, RackId, WorkerId};
use crate::planner::Worker;
use crate::resource::Shape;
use std::collections::BTreeMap;
use std::time::Duration;

mod index;

pub use index::{Index, Location, Slot, Spot};

/// Whether a worker can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Accepts new work.
    Up,
    /// Draining: finishes its work and accepts no new work.
    Leaving,
    /// Fails every task; accepts no work until it is probed.
    Quarantined,
    /// Unreachable since the given time.
    Lost(Duration),
}

/// The capacity that the accelerators of a part are charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Charge {
    /// The guarantee of the job's own workspace.
    Guaranteed,
    /// Capacity that is not guaranteed to anyone; the part can't be preempted.
    NonPreemptible,
    /// Any capacity; the part can be preempted.
    Preemptible,
}

/// Accelerators that a part of a gang uses on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allocation {
    /// Accelerators of the part.
    pub accelerators: Accelerators,
    /// The capacity that they are charged to.
    pub charge: Charge,
}

/// A worker with the accounting of its accelerators.
#[derive(Debug, Clone)]
pub struct Machine {
    /// The worker as announced.
    pub worker: Worker,
    /// Its rack and failure domain.
    pub location: Location,
    /// Whether it can be used.
    pub state: State,
    /// Parts on the worker, by the planner's number of their job.
    pub allocations: BTreeMap<u32, Allocation>,
    /// Accelerators earmarked for jobs that wait until running jobs free them, by job.
    pub earmarks: BTreeMap<u32, Accelerators>,
    /// Sum over `allocations`. At most the worker's accelerators while it is up.
    pub used: Accelerators,
    /// Sum over `earmarks`.
    pub earmarked: Accelerators,
    /// Accelerators assigned to guarantees. Together with the accelerators of parts that can't be
    /// preempted, at most the worker's accelerators.
    pub assigned: Accelerators,
    /// Accelerators of parts that are charged as [`Charge::NonPreemptible`].
    pub non_preemptible: Accelerators,
    /// Expected end of the part that runs longest on the worker.
    pub busy_until: Duration,
    /// Accelerators in use according to the newest usage report.
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

/// A failure domain and its limits on starts.
#[derive(Debug, Clone)]
pub struct Zone {
    /// Name of the failure domain.
    pub id: DomainId,
    /// Whether tasks may start in it.
    pub in_service: bool,
    /// Starts left in the present interval while the domain's return to service is rate-limited;
    /// `None` means no limit.
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
    /// Accelerators neither used nor earmarked.
    free: Index,
    /// The part of `free` that is not assigned to a guarantee.
    free_unassigned: Index,
    /// Accelerators that can be assigned to guarantees.
    assignable: Index,
    /// All accelerators, in service or not.
    total: Index,
}

impl Fleet {
    /// Adds a worker or updates it from its new announcement. It is up afterwards unless it is
    /// quarantined.
    pub fn announce(&mut self, worker: Worker) -> Slot {
        let slot = self.slot_or_placeholder(&worker.id);
        self.remove_from_indexes(slot);
        let domain = self.zone_slot(&worker.domain);
        let next = u32::try_from(self.racks.len()).unwrap_or(u32::MAX);
        let rack = *self
            .racks
            .entry((domain, worker.rack.clone()))
            .or_insert(next);
        let machine = &mut self.machines[slot as usize];
        machine.location = Location { slot, rack, domain };
        machine.worker = worker;
        if machine.state != State::Quarantined {
            machine.state = State::Up;
        }
        self.update_indexes(slot);
        slot
    }

    /// Returns the slot of a worker. A worker that was never announced gets an entry without
    /// accelerators that counts as lost since the start.
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
            location: Location {
                slot,
                rack: u32::MAX,
                domain: domain_slot,
            },
            state: State::Lost(Duration::ZERO),
            allocations: BTreeMap::new(),
            earmarks: BTreeMap::new(),
            used: 0,
            earmarked: 0,
            assigned: 0,
            non_preemptible: 0,
            busy_until: Duration::ZERO,
            reported: 0,
        });
        slot
    }

    /// Returns the slot of a worker, if it is known.
    #[must_use]
    pub fn slot(&self, id: &str) -> Option<Slot> {
        self.slots.get(id).copied()
    }

    /// Returns the worker in a slot with its accounting.
    #[must_use]
    pub fn machine(&self, slot: Slot) -> &Machine {
        &self.machines[slot as usize]
    }

    /// Returns all workers in the order of their slots.
    pub fn machines(&self) -> impl Iterator<Item = &Machine> {
        self.machines.iter()
    }

    /// Sets whether a worker can be used.
    pub fn set_state(&mut self, slot: Slot, state: State) {
        self.machines[slot as usize].state = state;
        self.update_indexes(slot);
    }

    /// Stores the accelerators in use according to a usage report.
    pub fn report(&mut self, slot: Slot, busy: Accelerators) {
        self.machines[slot as usize].reported = busy;
    }

    /// Allocates accelerators to a part of a job.
    pub fn allocate(&mut self, slot: Slot, job: u32, accelerators: Accelerators, charge: Charge) {
        let machine = &mut self.machines[slot as usize];
        let entry = Allocation {
            accelerators,
            charge,
        };
        if machine.allocations.insert(job, entry).is_none() {
            machine.used += accelerators;
            if charge == Charge::NonPreemptible {
                machine.non_preemptible += accelerators;
            }
        }
        self.update_indexes(slot);
    }

    /// Releases the accelerators of a part and returns its allocation.
    pub fn release(&mut self, slot: Slot, job: u32) -> Option<Allocation> {
        let machine = &mut self.machines[slot as usize];
        let entry = machine.allocations.remove(&job)?;
        machine.used -= entry.accelerators;
        if entry.charge == Charge::NonPreemptible {
            machine.non_preemptible -= entry.accelerators;
        }
        if machine.allocations.is_empty() {
            machine.busy_until = Duration::ZERO;
        }
        self.update_indexes(slot);
        Some(entry)
    }

    /// Earmarks accelerators for a job that waits until running jobs free them.
    pub fn earmark(&mut self, slot: Slot, job: u32, accelerators: Accelerators) {
        let machine = &mut self.machines[slot as usize];
        if machine.earmarks.insert(job, accelerators).is_none() {
            machine.earmarked += accelerators;
        }
        self.update_indexes(slot);
    }

    /// Removes the earmark of a job.
    pub fn remove_earmark(&mut self, slot: Slot, job: u32) {
        let machine = &mut self.machines[slot as usize];
        if let Some(accelerators) = machine.earmarks.remove(&job) {
            machine.earmarked -= accelerators;
        }
        self.update_indexes(slot);
    }

    /// Changes the capacity that a part is charged to, for example when its guarantee was assigned
    /// to other workers.
    pub fn set_charge(&mut self, slot: Slot, job: u32, charge: Charge) {
        let machine = &mut self.machines[slot as usize];
        if let Some(entry) = machine.allocations.get_mut(&job) {
            if entry.charge == Charge::NonPreemptible {
                machine.non_preemptible -= entry.accelerators;
            }
            entry.charge = charge;
            if charge == Charge::NonPreemptible {
                machine.non_preemptible += entry.accelerators;
            }
        }
        self.update_indexes(slot);
    }

    /// Sets the accelerators assigned to guarantees on a worker.
    pub fn set_assigned(&mut self, slot: Slot, assigned: Accelerators) {
        self.machines[slot as usize].assigned = assigned;
        self.update_indexes(slot);
    }

    /// Extends the time until which a worker is expected to be busy.
    pub fn extend_busy_until(&mut self, slot: Slot, until: Duration) {
        let machine = &mut self.machines[slot as usize];
        machine.busy_until = machine.busy_until.max(until);
    }

    /// Returns the number of a failure domain. A new one is added as in service.
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

    /// Returns the state of a failure domain.
    #[must_use]
    pub fn zone(&self, zone: u32) -> &Zone {
        &self.zones[zone as usize]
    }

    /// Returns the mutable state of a failure domain.
    pub fn zone_mut(&mut self, zone: u32) -> &mut Zone {
        &mut self.zones[zone as usize]
    }

    /// Returns all failure domains with their numbers.
    pub fn zones(&self) -> impl Iterator<Item = (u32, &Zone)> {
        (0..).zip(self.zones.iter())
    }

    /// Reports whether a job may be started in a failure domain now.
    #[must_use]
    pub fn startable(&self, zone: u32) -> bool {
        let zone = self.zone(zone);
        zone.in_service && zone.credit != Some(0)
    }

    /// Returns the accelerators neither used nor earmarked.
    #[must_use]
    pub const fn free(&self) -> &Index {
        &self.free
    }

    /// Returns the free accelerators that are not assigned to a guarantee.
    #[must_use]
    pub const fn free_unassigned(&self) -> &Index {
        &self.free_unassigned
    }

    /// Returns the accelerators that can be assigned to guarantees.
    #[must_use]
    pub const fn assignable(&self) -> &Index {
        &self.assignable
    }

    /// Finds free accelerators for a shape, whether or not they are assigned to a guarantee.
    #[must_use]
    pub fn find_free(&self, shape: Shape, avoid: &[Slot]) -> Option<Vec<Spot>> {
        self.free.place(shape, &|zone| self.startable(zone), avoid)
    }

    /// Finds free accelerators for a shape that are not assigned to a guarantee.
    #[must_use]
    pub fn find_free_unassigned(&self, shape: Shape, avoid: &[Slot]) -> Option<Vec<Spot>> {
        self.free_unassigned
            .place(shape, &|zone| self.startable(zone), avoid)
    }

    /// Finds accelerators that can be assigned to a guaranteed shape.
    #[must_use]
    pub fn find_assignable(&self, shape: Shape) -> Option<Vec<Spot>> {
        let in_service = |zone: u32| self.zone(zone).in_service;
        self.assignable.place(shape, &in_service, &[])
    }

    /// Reports whether a shape fits into the region when nothing else runs.
    #[must_use]
    pub fn could_hold(&self, shape: Shape) -> bool {
        self.total.place(shape, &|_| true, &[]).is_some()
    }

    /// Returns the free accelerators in failure domains in service.
    #[must_use]
    pub fn free_in_service(&self) -> u64 {
        let zones = self.zones().filter(|(_, zone)| zone.in_service);
        zones.map(|(slot, _)| self.free.total(slot)).sum()
    }

    /// Returns the accelerators in failure domains in service that can be assigned to guarantees.
    #[must_use]
    pub fn assignable_in_service(&self) -> u64 {
        let zones = self.zones().filter(|(_, zone)| zone.in_service);
        zones.map(|(slot, _)| self.assignable.total(slot)).sum()
    }

    /// Returns all accelerators of a failure domain, whether or not its workers are usable.
    #[must_use]
    pub fn capacity(&self, zone: u32) -> u64 {
        self.total.total(zone)
    }

    fn remove_from_indexes(&mut self, slot: Slot) {
        let location = self.machines[slot as usize].location;
        for index in [
            &mut self.free,
            &mut self.free_unassigned,
            &mut self.assignable,
            &mut self.total,
        ] {
            index.set(location, 0);
        }
    }

    fn update_indexes(&mut self, slot: Slot) {
        let machine = &self.machines[slot as usize];
        let (location, capacity) = (machine.location, machine.worker.accelerators);
        let unassigned = capacity.saturating_sub(machine.assigned + machine.non_preemptible);
        let free = capacity.saturating_sub(machine.used + machine.earmarked);
        let usable = machine.usable();
        self.free.set(location, if usable { free } else { 0 });
        self.free_unassigned
            .set(location, if usable { free.min(unassigned) } else { 0 });
        self.assignable
            .set(location, if usable { unassigned } else { 0 });
        self.total.set(location, capacity);
    }
}
