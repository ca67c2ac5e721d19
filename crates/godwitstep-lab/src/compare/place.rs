//! First fit over the workers of a region, in order of their names.

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

/// Workers and what is free on them.
#[derive(Debug, Clone, Default)]
pub(super) struct Grid {
    machines: BTreeMap<WorkerId, Machine>,
    out: BTreeSet<DomainId>,
}

impl Grid {
    pub fn add(&mut self, worker: &Worker) {
        let machine = Machine {
            domain: worker.domain.clone(),
            rack: worker.rack.clone(),
            capacity: worker.accelerators,
            free: worker.accelerators,
        };
        self.machines.entry(worker.id.clone()).or_insert(machine);
    }

    pub fn set_service(&mut self, domain: &DomainId, in_service: bool) {
        if in_service {
            self.out.remove(domain);
        } else {
            self.out.insert(domain.clone());
        }
    }

    pub fn domain(&self, worker: &WorkerId) -> Option<&DomainId> {
        self.machines.get(worker).map(|machine| &machine.domain)
    }

    pub fn take(&mut self, part: &Part) {
        if let Some(machine) = self.machines.get_mut(&part.worker) {
            machine.free = machine.free.saturating_sub(part.accelerators);
        }
    }

    pub fn give(&mut self, part: &Part) {
        if let Some(machine) = self.machines.get_mut(&part.worker) {
            machine.free = (machine.free + part.accelerators).min(machine.capacity);
        }
    }

    /// Returns the free accelerators in service.
    pub fn free(&self) -> u32 {
        let usable = self.machines.values();
        let usable = usable.filter(|machine| !self.out.contains(&machine.domain));
        usable.map(|machine| machine.free).sum()
    }

    /// Reports whether a shape would fit the region if it were empty and in service. Holds before
    /// the first worker is known.
    pub fn could_hold(&self, shape: Shape) -> bool {
        self.machines.is_empty()
            || self
                .fit(shape, |machine| machine.capacity, |_| true)
                .is_some()
    }

    /// Finds the first place for a shape.
    pub fn place(&self, shape: Shape) -> Option<Vec<Part>> {
        let usable = |machine: &Machine| !self.out.contains(&machine.domain);
        self.fit(shape, |machine| machine.free, usable)
    }

    fn fit(
        &self,
        shape: Shape,
        room: impl Fn(&Machine) -> u32,
        usable: impl Fn(&Machine) -> bool,
    ) -> Option<Vec<Part>> {
        // Workers in the same group may hold one gang together.
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
            let tasks = (room(machine) / shape.accelerators).min(shape.tasks - *placed);
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
