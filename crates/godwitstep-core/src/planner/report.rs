//! What operators can ask the planner.

use super::Planner;
use super::job::Stage;
use crate::fleet::Charge;
use crate::id::{Accelerators, DomainId, WorkspaceId};

/// A failure domain in numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSummary {
    /// Its name.
    pub id: DomainId,
    /// Whether tasks may start in it.
    pub in_service: bool,
    /// Accelerators of workers that take work; 0 if the domain is out of service.
    pub usable: u64,
    /// Accelerators that are free.
    pub free: u64,
    /// Most free accelerators on one worker.
    pub largest_worker: Accelerators,
    /// Most free accelerators in one rack.
    pub largest_rack: Accelerators,
    /// Accelerators that are in use beyond guarantees and by jobs that give way.
    pub borrowed: u64,
}

/// A workspace in numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSummary {
    /// Its name.
    pub id: WorkspaceId,
    /// Accelerators that it is guaranteed.
    pub guaranteed: u64,
    /// Accelerators that its jobs use.
    pub used: u64,
    /// Guaranteed accelerators that the capacity in service can't hold at present.
    pub suspended: u64,
    /// Its jobs that wait.
    pub waiting: usize,
}

/// The region in numbers.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Summary {
    /// By failure domain.
    pub domains: Vec<DomainSummary>,
    /// By workspace.
    pub workspaces: Vec<WorkspaceSummary>,
    /// Jobs that wait in the queue, without those that hold a reservation.
    pub waiting: usize,
}

/// How scattered the free accelerators are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Fragmentation {
    /// Free accelerators in service.
    pub free: u64,
    /// Those of them on workers that are free as a whole.
    pub on_whole_workers: u64,
}

impl Fragmentation {
    /// Returns the share of free accelerators that are on partly used workers, in thousandths.
    #[must_use]
    pub const fn per_mille(&self) -> u64 {
        match self.free {
            0 => 0,
            free => (free - self.on_whole_workers) * 1_000 / free,
        }
    }
}

impl Planner {
    /// Summarizes the region. Looks at all workers and active jobs.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let zones = self
            .fleet
            .zones()
            .filter(|(slot, _)| self.fleet.whole(*slot) > 0);
        let domains = zones.map(|(slot, _)| self.domain_summary(slot)).collect();
        let workspaces = self.tenants.keys().map(|id| self.workspace_summary(id));
        Summary {
            domains,
            workspaces: workspaces.collect(),
            waiting: self.queue.len(),
        }
    }

    /// Measures how scattered the free accelerators in service are. Looks at all workers.
    #[must_use]
    pub fn fragmentation(&self) -> Fragmentation {
        let mut sum = Fragmentation::default();
        for machine in self.fleet.machines() {
            if self.takes_work(machine.seat.slot) {
                sum.free += u64::from(machine.idle());
                if machine.used == 0 {
                    sum.on_whole_workers += u64::from(machine.idle());
                }
            }
        }
        sum
    }

    fn domain_summary(&self, slot: u32) -> DomainSummary {
        let zone = self.fleet.zone(slot);
        let (largest_worker, largest_rack) = self.fleet.free().largest(slot);
        let (mut usable, mut borrowed) = (0, 0);
        for machine in self
            .fleet
            .machines()
            .filter(|machine| machine.seat.domain == slot)
        {
            if self.takes_work(machine.seat.slot) {
                usable += u64::from(machine.worker.accelerators);
            }
            let soft = machine
                .uses
                .values()
                .filter(|entry| entry.charge == Charge::Soft);
            let soft: Accelerators = soft.map(|entry| entry.accelerators).sum();
            let unclaimed = machine
                .worker
                .accelerators
                .saturating_sub(machine.homed + machine.firm);
            borrowed += u64::from(soft.saturating_sub(unclaimed));
        }
        DomainSummary {
            id: zone.id.clone(),
            in_service: zone.in_service,
            usable,
            free: if zone.in_service {
                self.fleet.free().total(slot)
            } else {
                0
            },
            largest_worker,
            largest_rack,
            borrowed,
        }
    }

    fn workspace_summary(&self, id: &WorkspaceId) -> WorkspaceSummary {
        let tenant = &self.tenants[id];
        let (mut guaranteed, mut suspended) = (0, 0);
        for home in &tenant.homes {
            let amount = u64::from(home.shape.accelerators());
            guaranteed += amount;
            if home.spots.is_none() {
                suspended += amount;
            }
        }
        let members = self.members.get(id).into_iter().flatten();
        let members = members.filter_map(|job| self.jobs.get(job));
        let (mut used, mut waiting) = (0, 0);
        for entry in members {
            match &entry.run {
                Some(run) if !matches!(run.stage, Stage::Pledged { .. }) => {
                    used += run
                        .parts
                        .iter()
                        .map(|part| u64::from(part.accelerators))
                        .sum::<u64>();
                }
                _ => waiting += 1,
            }
        }
        WorkspaceSummary {
            id: id.clone(),
            guaranteed,
            used,
            suspended,
            waiting,
        }
    }
}
