//! Assignment of workers to guaranteed shapes.
//!
//! Each guaranteed shape is assigned specific workers. Jobs that are not preemptible never run on
//! accelerators that are assigned to another workspace, so a shape can always be reclaimed by
//! preempting borrowers. An assignment that no job uses can move freely.

use super::Planner;
use super::job::Stage;
use super::timer::Timer;
use crate::fleet::{Charge, Index, Location, PlacedPart, Slot};
use crate::guarantee::{self, GuaranteedShape};
use crate::id::{Accelerators, WorkspaceId};
use crate::resource::{Shape, Workspace};
use std::collections::BTreeMap;
use std::time::Duration;

/// Least time between two repacks of all unused assignments, unless a declaration or a failure
/// domain changes. A repack takes tens of milliseconds with 32,000 workers, all of which announce
/// themselves within seconds of a takeover.
const REPACK_INTERVAL: Duration = Duration::from_secs(1);

/// A guaranteed shape and the workers assigned to it, `None` while it has none.
#[derive(Debug, Clone)]
pub(super) struct Assignment {
    pub shape: Shape,
    pub placed_parts: Option<Vec<PlacedPart>>,
}

/// State of a workspace: its declaration and the assignments of its guarantees.
#[derive(Debug, Clone)]
pub(super) struct WorkspaceState {
    pub spec: Workspace,
    pub assignments: Vec<Assignment>,
    /// Assigned accelerators that its own jobs do not use, by worker.
    pub unused: Index,
    /// The same on lost workers that may come back.
    unused_on_lost: BTreeMap<Slot, Accelerators>,
    /// Assigned accelerators by worker, used or not.
    assigned: BTreeMap<Slot, Accelerators>,
}

impl WorkspaceState {
    fn new(id: &WorkspaceId, spec: Workspace) -> Self {
        let shapes = guarantee::expand(id, &spec);
        let assignments = shapes.into_iter().map(|guaranteed| Assignment {
            shape: guaranteed.shape,
            placed_parts: None,
        });
        Self {
            assignments: assignments.collect(),
            spec,
            unused: Index::default(),
            unused_on_lost: BTreeMap::new(),
            assigned: BTreeMap::new(),
        }
    }

    /// Returns the unused assigned accelerators on a worker, lost or not.
    fn unused_on(&self, slot: Slot) -> Accelerators {
        let unused = self.unused_on_lost.get(&slot).copied();
        unused.unwrap_or_else(|| self.unused.get(slot))
    }

    fn set_unused(&mut self, location: Location, amount: Accelerators) {
        match self.unused_on_lost.get_mut(&location.slot) {
            Some(unused) => *unused = amount,
            None => self.unused.set(location, amount),
        }
    }

    /// Reports whether a job of the workspace uses assigned accelerators on a worker.
    fn uses(&self, slot: Slot) -> bool {
        self.unused_on(slot) < self.assigned.get(&slot).copied().unwrap_or(0)
    }
}

impl Planner {
    pub(super) fn set_workspace(&mut self, id: &WorkspaceId, spec: Option<Workspace>) {
        let before = self.workspaces.get(id);
        let unchanged = match (before, &spec) {
            (Some(before), Some(spec)) => {
                before.spec.guarantees == spec.guarantees && before.spec.rank == spec.rank
            }
            _ => false,
        };
        match (unchanged, spec) {
            (true, Some(spec)) => {
                if let Some(workspace) = self.workspaces.get_mut(id) {
                    workspace.spec = spec;
                }
            }
            (_, spec) => {
                self.remove_workspace(id);
                if let Some(spec) = spec {
                    let workspace = WorkspaceState::new(id, spec);
                    let rank = workspace.spec.rank;
                    let numbers = 0..workspace.assignments.len();
                    self.unassigned
                        .extend(numbers.map(|number| (rank, id.clone(), number)));
                    self.workspaces.insert(id.clone(), workspace);
                }
            }
        }
        self.reassign = true;
        self.next_repack = Duration::ZERO;
        self.freed = true;
        self.update_queue_keys(id);
    }

    fn remove_workspace(&mut self, id: &WorkspaceId) {
        let Some(workspace) = self.workspaces.get(id) else {
            return;
        };
        let (rank, count) = (workspace.spec.rank, workspace.assignments.len());
        for number in 0..count {
            self.unassign(id, number);
            self.unassigned.remove(&(rank, id.clone(), number));
        }
        self.workspaces.remove(id);
    }

    /// Recomputes the queue keys of a workspace's jobs after its declaration has changed.
    fn update_queue_keys(&mut self, id: &WorkspaceId) {
        let members = self.jobs_by_workspace.get(id).cloned().unwrap_or_default();
        for job in members {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let (old, lane) = (entry.key, entry.lane.clone());
            let queued = entry.queued;
            let key = self.queue_key(job, &entry.spec, old.accepted);
            if queued {
                self.queue.remove(&lane, old);
                self.queue.push(&lane, key);
            }
            if self.evacuations.remove(&(old, job)) {
                self.evacuations.insert((key, job));
            }
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.key = key;
            }
        }
    }

    /// Assigns workers to the guaranteed shapes that lack them, as far as they fit.
    pub(super) fn assign_guarantees(&mut self, now: Duration) {
        if !std::mem::take(&mut self.reassign) {
            return;
        }
        self.assign_running_jobs();
        if self.unassigned.is_empty() {
            return;
        }
        let mut unplaceable: Vec<Shape> = Vec::new();
        for (_, id, number) in self.unassigned.clone() {
            let shape = self.workspaces[&id].assignments[number].shape;
            if unplaceable.contains(&shape) {
                continue;
            }
            match self.fleet.find_assignable(shape) {
                Some(placed_parts) => self.assign(&id, number, placed_parts),
                None => unplaceable.push(shape),
            }
        }
        if self.unassigned.is_empty() {
            return;
        }
        if now < self.next_repack {
            self.timers.insert((self.next_repack, Timer::Repack));
        } else {
            self.next_repack = now + REPACK_INTERVAL;
            self.repack();
        }
    }

    /// Requests a reassignment after a worker or a run was announced, at most once per
    /// [`REPACK_INTERVAL`]. A new planner receives thousands of announcements at once, and each
    /// reassignment scans all runs outside their assignment.
    pub(super) fn request_reassignment(&mut self, now: Duration) {
        if now < self.next_reassignment {
            self.timers.insert((self.next_reassignment, Timer::Repack));
        } else {
            self.next_reassignment = now + REPACK_INTERVAL;
            self.reassign = true;
        }
    }

    /// Assigns the workers of jobs that run outside an assignment to unassigned guaranteed shapes
    /// of the same workspace and shape.
    fn assign_running_jobs(&mut self) {
        for job in self.outside_assignment.clone() {
            let Some(entry) = self.jobs.get(&job) else {
                self.outside_assignment.remove(&job);
                continue;
            };
            let id = entry.spec.workspace.clone();
            let (Some(workspace), Some(run)) = (self.workspaces.get(&id), &entry.run) else {
                continue;
            };
            let same_shape =
                |number: &usize| workspace.assignments[*number].shape == entry.spec.shape;
            let first = (workspace.spec.rank, id.clone(), 0);
            let unassigned = self.unassigned.range(first..).take_while(|at| at.1 == id);
            let mut unassigned = unassigned.map(|at| at.2);
            let Some(number) = unassigned.find(same_shape) else {
                continue;
            };
            let is_allocated = |slot| self.fleet.worker(slot).allocations.contains_key(&job);
            // Workers in a failure domain that is out of service get no assignments, even while the
            // run has not left them yet.
            let is_assignable_part = |slot| is_allocated(slot) && self.accepts_work(slot);
            if !run.parts.iter().all(|part| is_assignable_part(part.slot)) {
                continue;
            }
            let placed_parts = run.parts.iter().map(|part| PlacedPart {
                slot: part.slot,
                tasks: part.tasks,
            });
            let placed_parts: Vec<PlacedPart> = placed_parts.collect();
            let parts = run.parts.clone();
            for part in &parts {
                self.fleet.set_charge(part.slot, job, Charge::Guaranteed);
            }
            self.assign(&id, number, placed_parts);
            for part in &parts {
                self.use_assigned(&id, part.slot, part.accelerators);
            }
            self.outside_assignment.remove(&job);
        }
    }

    /// Repacks all unused assignments, and applies the result if it places a shape that is more
    /// important than any shape that loses its assignment.
    fn repack(&mut self) {
        let mut shapes: Vec<GuaranteedShape> = Vec::new();
        let mut assignable = self.fleet.assignable().clone();
        for (id, workspace) in &self.workspaces {
            for (number, assignment) in workspace.assignments.iter().enumerate() {
                let placed_parts = assignment.placed_parts.iter().flatten();
                if placed_parts.clone().any(|part| workspace.uses(part.slot)) {
                    continue;
                }
                for part in placed_parts {
                    let location = self.fleet.worker(part.slot).location;
                    let returned = part.tasks * assignment.shape.accelerators;
                    assignable.set(location, assignable.get(part.slot) + returned);
                }
                shapes.push(GuaranteedShape {
                    rank: workspace.spec.rank,
                    workspace: id.clone(),
                    number,
                    shape: assignment.shape,
                });
            }
        }
        shapes.sort_by_key(|shape| (shape.rank, shape.workspace.clone(), shape.number));
        let in_service = |domain: u32| self.fleet.domain(domain).in_service;
        let placements = guarantee::pack(&mut assignable, &shapes, &in_service);
        let has_assignment = |shape: &GuaranteedShape| {
            self.workspaces[&shape.workspace].assignments[shape.number]
                .placed_parts
                .is_some()
        };
        let current: Vec<bool> = shapes.iter().map(has_assignment).collect();
        let planned: Vec<bool> = placements.iter().map(Option::is_some).collect();
        if planned <= current {
            return;
        }
        for shape in &shapes {
            self.unassign(&shape.workspace, shape.number);
        }
        for (shape, placed_parts) in shapes.iter().zip(placements) {
            if let Some(placed_parts) = placed_parts {
                self.assign(&shape.workspace, shape.number, placed_parts);
            }
        }
        self.reassign = false;
    }

    fn assign(&mut self, id: &WorkspaceId, number: usize, placed_parts: Vec<PlacedPart>) {
        let Some(workspace) = self.workspaces.get_mut(id) else {
            return;
        };
        let per_task = workspace.assignments[number].shape.accelerators;
        for part in &placed_parts {
            let amount = part.tasks * per_task;
            let worker = self.fleet.worker(part.slot);
            workspace.set_unused(worker.location, workspace.unused_on(part.slot) + amount);
            *workspace.assigned.entry(part.slot).or_default() += amount;
            let assigned = worker.assigned + amount;
            self.fleet.set_assigned(part.slot, assigned);
            let assignments = self.assignments_by_worker.entry(part.slot).or_default();
            assignments.insert((id.clone(), number));
        }
        workspace.assignments[number].placed_parts = Some(placed_parts);
        self.unassigned
            .remove(&(workspace.spec.rank, id.clone(), number));
        self.freed = true;
    }

    /// Removes the assignment of a guaranteed shape. Jobs that use it are charged to other
    /// capacity.
    fn unassign(&mut self, id: &WorkspaceId, number: usize) {
        let Some(workspace) = self.workspaces.get_mut(id) else {
            return;
        };
        let Some(placed_parts) = workspace.assignments[number].placed_parts.take() else {
            return;
        };
        let per_task = workspace.assignments[number].shape.accelerators;
        self.unassigned
            .insert((workspace.spec.rank, id.clone(), number));
        self.reassign = true;
        for part in placed_parts {
            let amount = part.tasks * per_task;
            self.drop_claims_on_worker(part.slot, id);
            self.charge_outside_assignment(id, part.slot, amount);
            let location = self.fleet.worker(part.slot).location;
            if let Some(workspace) = self.workspaces.get_mut(id) {
                workspace.set_unused(
                    location,
                    workspace.unused_on(part.slot).saturating_sub(amount),
                );
                if let Some(assigned) = workspace.assigned.get_mut(&part.slot) {
                    *assigned = assigned.saturating_sub(amount);
                    if *assigned == 0 {
                        workspace.assigned.remove(&part.slot);
                    }
                }
            }
            let assigned = self.fleet.worker(part.slot).assigned.saturating_sub(amount);
            self.fleet.set_assigned(part.slot, assigned);
            if let Some(assignments) = self.assignments_by_worker.get_mut(&part.slot) {
                assignments.remove(&(id.clone(), number));
            }
        }
    }

    /// Charges jobs of a workspace on a worker to other capacity until the given amount of its
    /// assignment is unused.
    fn charge_outside_assignment(&mut self, id: &WorkspaceId, slot: Slot, amount: Accelerators) {
        let allocations: Vec<_> = self
            .fleet
            .worker(slot)
            .allocations
            .clone()
            .into_iter()
            .collect();
        for (job, entry) in allocations {
            let unused = self
                .workspaces
                .get(id)
                .map_or(0, |workspace| workspace.unused_on(slot));
            if unused >= amount {
                return;
            }
            let Some(owner) = self.jobs.get(&job) else {
                continue;
            };
            if entry.charge != Charge::Guaranteed || owner.spec.workspace != *id {
                continue;
            }
            let charge = if owner.lane.preemptible {
                Charge::Preemptible
            } else {
                Charge::NonPreemptible
            };
            self.fleet.set_charge(slot, job, charge);
            self.outside_assignment.insert(job);
            self.return_assigned(id, slot, entry.accelerators);
        }
    }

    /// Drops the pending claims of a workspace on a worker.
    fn drop_claims_on_worker(&mut self, slot: Slot, id: &WorkspaceId) {
        let earmarked: Vec<u32> = self.fleet.worker(slot).earmarks.keys().copied().collect();
        for job in earmarked {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let is_claim = entry.run.as_ref().is_some_and(|run| {
                run.charge == Charge::Guaranteed && matches!(run.stage, Stage::Earmarked { .. })
            });
            if is_claim && entry.spec.workspace == *id {
                self.drop_earmark(job);
                self.ready_candidates.insert(job);
            }
        }
    }

    pub(super) fn unassign_worker(&mut self, slot: Slot) {
        let assignments = self
            .assignments_by_worker
            .get(&slot)
            .cloned()
            .unwrap_or_default();
        for (id, number) in assignments {
            self.unassign(&id, number);
        }
        for workspace in self.workspaces.values_mut() {
            workspace.unused_on_lost.remove(&slot);
        }
    }

    /// Drops all earmarks on a worker.
    pub(super) fn drop_earmarks_on_worker(&mut self, slot: Slot) {
        let earmarked: Vec<u32> = self.fleet.worker(slot).earmarks.keys().copied().collect();
        for job in earmarked {
            self.drop_earmark(job);
            self.ready_candidates.insert(job);
        }
    }

    /// Excludes the assignments on a lost worker from new claims while it may come back.
    pub(super) fn suspend_assignments(&mut self, slot: Slot) {
        let location = self.fleet.worker(slot).location;
        for (id, _) in self.assignments_by_worker.get(&slot).into_iter().flatten() {
            if let Some(workspace) = self.workspaces.get_mut(id)
                && !workspace.unused_on_lost.contains_key(&slot)
            {
                let amount = workspace.unused.get(slot);
                workspace.unused.set(location, 0);
                workspace.unused_on_lost.insert(slot, amount);
            }
        }
    }

    /// Makes the assignments on a worker that came back available again.
    pub(super) fn resume_assignments(&mut self, slot: Slot) {
        let location = self.fleet.worker(slot).location;
        // An assignment may have moved off the worker in the meantime.
        for workspace in self.workspaces.values_mut() {
            if let Some(amount) = workspace.unused_on_lost.remove(&slot) {
                workspace.unused.set(location, amount);
            }
        }
    }

    /// Marks assigned accelerators on a worker as used by a job of the workspace.
    pub(super) fn use_assigned(&mut self, id: &WorkspaceId, slot: Slot, amount: Accelerators) {
        let location = self.fleet.worker(slot).location;
        if let Some(workspace) = self.workspaces.get_mut(id) {
            workspace.set_unused(location, workspace.unused_on(slot).saturating_sub(amount));
        }
    }

    pub(super) fn return_assigned(&mut self, id: &WorkspaceId, slot: Slot, amount: Accelerators) {
        let location = self.fleet.worker(slot).location;
        if let Some(workspace) = self.workspaces.get_mut(id) {
            workspace.set_unused(location, workspace.unused_on(slot) + amount);
        }
    }
}
