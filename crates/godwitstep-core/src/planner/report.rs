//! Summaries of the planner's state for operators.

use super::Planner;
use super::job::Stage;
use crate::fleet::Charge;
use crate::id::{Accelerators, DomainId, WorkspaceId};

/// Capacity of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSummary {
    /// Its name.
    pub id: DomainId,
    /// Whether tasks may start in it.
    pub in_service: bool,
    /// Accelerators of workers that accept work; 0 if the domain is out of service.
    pub usable: u64,
    /// Free accelerators; 0 if the domain is out of service.
    pub free: u64,
    /// Largest number of free accelerators on one worker.
    pub largest_worker: Accelerators,
    /// Largest number of free accelerators in one rack.
    pub largest_rack: Accelerators,
    /// Accelerators that preemptible jobs borrow from guarantees.
    pub borrowed: u64,
}

/// Guarantees and usage of a workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkspaceSummary {
    /// Its name.
    pub id: WorkspaceId,
    /// Accelerators guaranteed to the workspace.
    pub guaranteed: u64,
    /// Accelerators that the workspace's jobs use.
    pub used: u64,
    /// Guaranteed accelerators that currently do not fit in the capacity in service.
    pub suspended: u64,
    /// Number of its jobs that wait, including those with earmarked accelerators.
    pub waiting: usize,
}

/// Capacity and usage of the region.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Summary {
    /// One entry for each failure domain that has accelerators.
    pub domains: Vec<DomainSummary>,
    /// One entry for each workspace.
    pub workspaces: Vec<WorkspaceSummary>,
    /// Number of jobs in the queue, without those that hold a reservation.
    pub waiting: usize,
}

/// Fragmentation of the free accelerators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Fragmentation {
    /// Free accelerators in service.
    pub free: u64,
    /// Those of them on workers that no job uses.
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
    /// Summarizes the region. Scans all workers and active jobs.
    #[must_use]
    pub fn summary(&self) -> Summary {
        let domains = self
            .fleet
            .domains()
            .filter(|(slot, _)| self.fleet.capacity(*slot) > 0);
        let domains = domains.map(|(slot, _)| self.domain_summary(slot)).collect();
        let workspaces = self.workspaces.keys().map(|id| self.workspace_summary(id));
        Summary {
            domains,
            workspaces: workspaces.collect(),
            waiting: self.queue.len(),
        }
    }

    /// Measures the fragmentation of the free accelerators in service. Scans all workers.
    #[must_use]
    pub fn fragmentation(&self) -> Fragmentation {
        let mut sum = Fragmentation::default();
        for worker in self.fleet.workers() {
            if self.accepts_work(worker.location.slot) {
                sum.free += u64::from(worker.idle());
                if worker.used == 0 {
                    sum.on_whole_workers += u64::from(worker.idle());
                }
            }
        }
        sum
    }

    fn domain_summary(&self, slot: u32) -> DomainSummary {
        let domain = self.fleet.domain(slot);
        let (largest_worker, largest_rack) = self.fleet.free().largest(slot);
        let (mut usable, mut borrowed) = (0, 0);
        for worker in self
            .fleet
            .workers()
            .filter(|worker| worker.location.domain == slot)
        {
            if self.accepts_work(worker.location.slot) {
                usable += u64::from(worker.announced.accelerators);
            }
            let preemptible = worker
                .allocations
                .values()
                .filter(|entry| entry.charge == Charge::Preemptible);
            let preemptible: Accelerators = preemptible.map(|entry| entry.accelerators).sum();
            let unclaimed = worker
                .announced
                .accelerators
                .saturating_sub(worker.assigned + worker.non_preemptible);
            borrowed += u64::from(preemptible.saturating_sub(unclaimed));
        }
        DomainSummary {
            id: domain.id.clone(),
            in_service: domain.in_service,
            usable,
            free: if domain.in_service {
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
        let workspace = &self.workspaces[id];
        let (mut guaranteed, mut suspended) = (0, 0);
        for assignment in &workspace.assignments {
            let amount = u64::from(assignment.shape.accelerators());
            guaranteed += amount;
            if assignment.placed_parts.is_none() {
                suspended += amount;
            }
        }
        let members = self.jobs_by_workspace.get(id).into_iter().flatten();
        let members = members.filter_map(|job| self.jobs.get(job));
        let (mut used, mut waiting) = (0, 0);
        for entry in members {
            match &entry.run {
                Some(run) if !matches!(run.stage, Stage::Earmarked { .. }) => {
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
