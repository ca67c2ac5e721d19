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

pub use index::{Index, Location, PlacedPart, Slot};

/// Whether a worker can be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// Accepts new work.
    Up,
    /// Draining: finishes its work and accepts no new work.
    Leaving,
    /// Excluded after consecutive failures of different jobs; accepts no work until it is probed.
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

/// State of a worker, with the accounting of its accelerators.
#[derive(Debug, Clone)]
pub struct WorkerState {
    /// The worker as announced.
    pub announced: Worker,
    /// Its slot, rack and failure domain.
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
    pub reported_busy: Accelerators,
}

impl WorkerState {
    /// Returns the number of accelerators that no part uses.
    #[must_use]
    pub const fn idle(&self) -> Accelerators {
        self.announced.accelerators.saturating_sub(self.used)
    }

    const fn usable(&self) -> bool {
        matches!(self.state, State::Up)
    }
}

/// State of a failure domain and its limit on starts.
#[derive(Debug, Clone)]
pub struct DomainState {
    /// Name of the failure domain.
    pub id: DomainId,
    /// Whether tasks may start in it.
    pub in_service: bool,
    /// Number of jobs that may still start in the current interval while the domain ramps up after
    /// its return to service; `None` means no limit.
    pub start_credit: Option<u32>,
}

/// The workers of a region. See the [module](self) page.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    workers: Vec<WorkerState>,
    slots: BTreeMap<WorkerId, Slot>,
    racks: BTreeMap<(u32, RackId), u32>,
    domains: Vec<DomainState>,
    domain_slots: BTreeMap<DomainId, u32>,
    /// Accelerators neither used nor earmarked.
    free: Index,
    /// The part of `free` that is not assigned to a guarantee.
    free_unassigned: Index,
    /// Accelerators that can be assigned to guarantees.
    assignable: Index,
    /// All accelerators, whether or not they can be used.
    total: Index,
}

impl Fleet {
    /// Adds a worker or updates it from its new announcement. It is up afterwards unless it is
    /// quarantined.
    pub fn announce(&mut self, worker: Worker) -> Slot {
        let slot = self.slot_or_placeholder(&worker.id);
        self.remove_from_indexes(slot);
        let domain = self.domain_slot(&worker.domain);
        let next = u32::try_from(self.racks.len()).unwrap_or(u32::MAX);
        let rack = *self
            .racks
            .entry((domain, worker.rack.clone()))
            .or_insert(next);
        let entry = &mut self.workers[slot as usize];
        entry.location = Location { slot, rack, domain };
        entry.announced = worker;
        if entry.state != State::Quarantined {
            entry.state = State::Up;
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
        let slot = Slot::try_from(self.workers.len()).unwrap_or(Slot::MAX);
        let domain: DomainId = "".into();
        let domain_slot = self.domain_slot(&domain);
        self.slots.insert(id.clone(), slot);
        self.workers.push(WorkerState {
            announced: Worker {
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
            reported_busy: 0,
        });
        slot
    }

    /// Returns the slot of a worker, if it is known.
    #[must_use]
    pub fn slot(&self, id: &str) -> Option<Slot> {
        self.slots.get(id).copied()
    }

    /// Returns the state of the worker in a slot.
    #[must_use]
    pub fn worker(&self, slot: Slot) -> &WorkerState {
        &self.workers[slot as usize]
    }

    /// Returns the states of all workers in the order of their slots.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerState> {
        self.workers.iter()
    }

    /// Sets whether a worker can be used.
    pub fn set_state(&mut self, slot: Slot, state: State) {
        self.workers[slot as usize].state = state;
        self.update_indexes(slot);
    }

    /// Stores the accelerators in use according to a usage report.
    pub fn record_usage(&mut self, slot: Slot, busy: Accelerators) {
        self.workers[slot as usize].reported_busy = busy;
    }

    /// Allocates accelerators to a part of a job.
    pub fn allocate(&mut self, slot: Slot, job: u32, accelerators: Accelerators, charge: Charge) {
        let worker = &mut self.workers[slot as usize];
        let entry = Allocation {
            accelerators,
            charge,
        };
        if worker.allocations.insert(job, entry).is_none() {
            worker.used += accelerators;
            if charge == Charge::NonPreemptible {
                worker.non_preemptible += accelerators;
            }
        }
        self.update_indexes(slot);
    }

    /// Releases the accelerators of a part and returns its allocation.
    pub fn release(&mut self, slot: Slot, job: u32) -> Option<Allocation> {
        let worker = &mut self.workers[slot as usize];
        let entry = worker.allocations.remove(&job)?;
        worker.used -= entry.accelerators;
        if entry.charge == Charge::NonPreemptible {
            worker.non_preemptible -= entry.accelerators;
        }
        if worker.allocations.is_empty() {
            worker.busy_until = Duration::ZERO;
        }
        self.update_indexes(slot);
        Some(entry)
    }

    /// Earmarks accelerators for a job that waits until running jobs free them.
    pub fn earmark(&mut self, slot: Slot, job: u32, accelerators: Accelerators) {
        let worker = &mut self.workers[slot as usize];
        if worker.earmarks.insert(job, accelerators).is_none() {
            worker.earmarked += accelerators;
        }
        self.update_indexes(slot);
    }

    /// Removes the earmark of a job.
    pub fn remove_earmark(&mut self, slot: Slot, job: u32) {
        let worker = &mut self.workers[slot as usize];
        if let Some(accelerators) = worker.earmarks.remove(&job) {
            worker.earmarked -= accelerators;
        }
        self.update_indexes(slot);
    }

    /// Changes the capacity that a part is charged to, for example when its guarantee was assigned
    /// to other workers.
    pub fn set_charge(&mut self, slot: Slot, job: u32, charge: Charge) {
        let worker = &mut self.workers[slot as usize];
        if let Some(entry) = worker.allocations.get_mut(&job) {
            if entry.charge == Charge::NonPreemptible {
                worker.non_preemptible -= entry.accelerators;
            }
            entry.charge = charge;
            if charge == Charge::NonPreemptible {
                worker.non_preemptible += entry.accelerators;
            }
        }
        self.update_indexes(slot);
    }

    /// Sets the accelerators assigned to guarantees on a worker.
    pub fn set_assigned(&mut self, slot: Slot, assigned: Accelerators) {
        self.workers[slot as usize].assigned = assigned;
        self.update_indexes(slot);
    }

    /// Extends the time until which a worker is expected to be busy.
    pub fn extend_busy_until(&mut self, slot: Slot, until: Duration) {
        let worker = &mut self.workers[slot as usize];
        worker.busy_until = worker.busy_until.max(until);
    }

    /// Returns the number of a failure domain. A new one is added as in service.
    pub fn domain_slot(&mut self, id: &DomainId) -> u32 {
        if let Some(slot) = self.domain_slots.get(id) {
            return *slot;
        }
        let slot = u32::try_from(self.domains.len()).unwrap_or(u32::MAX);
        self.domains.push(DomainState {
            id: id.clone(),
            in_service: true,
            start_credit: None,
        });
        self.domain_slots.insert(id.clone(), slot);
        slot
    }

    /// Returns the state of a failure domain.
    #[must_use]
    pub fn domain(&self, domain: u32) -> &DomainState {
        &self.domains[domain as usize]
    }

    /// Returns the mutable state of a failure domain.
    pub fn domain_mut(&mut self, domain: u32) -> &mut DomainState {
        &mut self.domains[domain as usize]
    }

    /// Returns all failure domains with their numbers.
    pub fn domains(&self) -> impl Iterator<Item = (u32, &DomainState)> {
        (0..).zip(self.domains.iter())
    }

    /// Reports whether a job may be started in a failure domain now.
    #[must_use]
    pub fn startable(&self, domain: u32) -> bool {
        let domain = self.domain(domain);
        domain.in_service && domain.start_credit != Some(0)
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
    pub fn find_free(&self, shape: Shape, avoid: &[Slot]) -> Option<Vec<PlacedPart>> {
        self.free
            .place(shape, &|domain| self.startable(domain), avoid)
    }

    /// Finds free accelerators for a shape that are not assigned to a guarantee.
    #[must_use]
    pub fn find_free_unassigned(&self, shape: Shape, avoid: &[Slot]) -> Option<Vec<PlacedPart>> {
        self.free_unassigned
            .place(shape, &|domain| self.startable(domain), avoid)
    }

    /// Finds accelerators that can be assigned to a guaranteed shape.
    #[must_use]
    pub fn find_assignable(&self, shape: Shape) -> Option<Vec<PlacedPart>> {
        let in_service = |domain: u32| self.domain(domain).in_service;
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
        let domains = self.domains().filter(|(_, domain)| domain.in_service);
        domains.map(|(slot, _)| self.free.total(slot)).sum()
    }

    /// Returns the accelerators in failure domains in service that can be assigned to guarantees.
    #[must_use]
    pub fn assignable_in_service(&self) -> u64 {
        let domains = self.domains().filter(|(_, domain)| domain.in_service);
        domains.map(|(slot, _)| self.assignable.total(slot)).sum()
    }

    /// Returns the number of accelerators of a failure domain, whether or not its workers are
    /// usable.
    #[must_use]
    pub fn capacity(&self, domain: u32) -> u64 {
        self.total.total(domain)
    }

    fn remove_from_indexes(&mut self, slot: Slot) {
        let location = self.workers[slot as usize].location;
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
        let worker = &self.workers[slot as usize];
        let (location, capacity) = (worker.location, worker.announced.accelerators);
        let unassigned = capacity.saturating_sub(worker.assigned + worker.non_preemptible);
        let free = capacity.saturating_sub(worker.used + worker.earmarked);
        let usable = worker.usable();
        self.free.set(location, if usable { free } else { 0 });
        self.free_unassigned
            .set(location, if usable { free.min(unassigned) } else { 0 });
        self.assignable
            .set(location, if usable { unassigned } else { 0 });
        self.total.set(location, capacity);
    }
}
