//! The workers of a region for the baseline schedulers, with first-fit placement in the order of the
//! workers' names.

use godwitstep_core::id::{DomainId, RackId, WorkerId};
use godwitstep_core::planner::Worker;
use godwitstep_core::record::Part;
use godwitstep_core::resource::{Adjacency, Shape};
use std::collections::{BTreeMap, BTreeSet};

#[derive(Debug, Clone)]
struct Machine {
    domain: DomainId,
    rack: RackId,
    capacity: u32,
    free: u32,
}

/// Workers with their free accelerators, and the failure domains that are out of service.
#[derive(Debug, Clone, Default)]
pub(super) struct Fleet {
    machines: BTreeMap<WorkerId, Machine>,
    out_of_service: BTreeSet<DomainId>,
}

impl Fleet {
    pub fn add(&mut self, worker: &Worker) {
        let machine = Machine {
            domain: worker.domain.clone(),
            rack: worker.rack.clone(),
            capacity: worker.accelerators,
            free: worker.accelerators,
        };
        self.machines.entry(worker.id.clone()).or_insert(machine);
    }

    pub fn set_in_service(&mut self, domain: &DomainId, in_service: bool) {
        if in_service {
            self.out_of_service.remove(domain);
        } else {
            self.out_of_service.insert(domain.clone());
        }
    }

    pub fn domain(&self, worker: &WorkerId) -> Option<&DomainId> {
        self.machines.get(worker).map(|machine| &machine.domain)
    }

    pub fn allocate(&mut self, part: &Part) {
        if let Some(machine) = self.machines.get_mut(&part.worker) {
            machine.free = machine.free.saturating_sub(part.accelerators);
        }
    }

    pub fn release(&mut self, part: &Part) {
        if let Some(machine) = self.machines.get_mut(&part.worker) {
            machine.free = (machine.free + part.accelerators).min(machine.capacity);
        }
    }

    /// Returns the number of free accelerators in failure domains in service.
    pub fn free_in_service(&self) -> u32 {
        let usable = self.machines.values();
        let usable = usable.filter(|machine| !self.out_of_service.contains(&machine.domain));
        usable.map(|machine| machine.free).sum()
    }

    /// Reports whether a shape would fit the region if it were empty and in service. True as long as
    /// no worker has been announced.
    pub fn could_hold(&self, shape: Shape) -> bool {
        self.machines.is_empty()
            || self
                .first_fit(shape, |machine| machine.capacity, |_| true)
                .is_some()
    }

    /// Finds the first workers in service whose free accelerators fit a shape.
    pub fn find_free(&self, shape: Shape) -> Option<Vec<Part>> {
        let usable = |machine: &Machine| !self.out_of_service.contains(&machine.domain);
        self.first_fit(shape, |machine| machine.free, usable)
    }

    fn first_fit(
        &self,
        shape: Shape,
        available: impl Fn(&Machine) -> u32,
        usable: impl Fn(&Machine) -> bool,
    ) -> Option<Vec<Part>> {
        // All parts of a gang must be on workers of the same group.
        let group = |id: &WorkerId, machine: &Machine| match shape.adjacency {
            Adjacency::Worker => Some((machine.domain.clone(), id.clone())),
            Adjacency::Rack => Some((machine.domain.clone(), machine.rack.clone())),
            Adjacency::Domain => Some((machine.domain.clone(), machine.domain.clone())),
            Adjacency::Any => None,
        };
        let mut groups: BTreeMap<_, (u32, Vec<Part>)> = BTreeMap::new();
        for (id, machine) in &self.machines {
            if !usable(machine) {
                continue;
            }
            let (placed, parts) = groups.entry(group(id, machine)).or_default();
            let tasks = (available(machine) / shape.accelerators).min(shape.tasks - *placed);
            if tasks > 0 {
                *placed += tasks;
                parts.push(Part {
                    worker: id.clone(),
                    tasks,
                    accelerators: tasks * shape.accelerators,
                });
            }
            if *placed == shape.tasks {
                return Some(std::mem::take(parts));
            }
        }
        None
    }
}
