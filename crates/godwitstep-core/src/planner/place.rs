//! Placement of queued jobs.

use super::Planner;
use super::event::Action;
use super::job::{Part, Run, Stage, Status};
use crate::fleet::{Charge, Index, PlacedPart, Slot};
use crate::reason::Reason;
use crate::resource::{Phase, Shape};
use std::time::Duration;

/// Largest number of workers in a workspace's assignments for which a second, more expensive search
/// for free ones is made.
const MAX_SEARCHED_WORKERS: usize = 512;

/// Largest number of queued jobs whose waiting reason is updated on one event. A lane may hold
/// thousands.
const MAX_EXPLAINED_PER_EVENT: usize = 64;

/// Workers on which a job can start, and what its accelerators are charged to.
pub(super) struct Placement {
    pub placed_parts: Vec<PlacedPart>,
    pub charge: Charge,
    pub borrowed: bool,
    /// Holder of the reservation whose accelerators are backfilled.
    pub backfilled_for: Option<u32>,
}

impl Planner {
    /// Starts queued jobs in order, as far as they fit.
    pub(super) fn schedule_queue(&mut self, now: Duration, out: &mut Vec<Action>) {
        // A start must be recorded, so nothing starts while records can't be written.
        if self.epoch == 0 || self.superseded || !self.operating_mode.may_record() {
            return;
        }
        if self.freed && self.queue.is_exhausted() {
            self.freed = false;
            self.queue.unblock_all();
        }
        for _ in 0..self.settings.attempts_per_event {
            let Some(key) = self.queue.first() else {
                return;
            };
            self.try_start(now, key.job, out);
        }
    }

    /// Updates the waiting reason of jobs behind the first of their lane, a limited number per
    /// event.
    pub(super) fn explain_blocked(&mut self, out: &mut Vec<Action>) {
        for _ in 0..MAX_EXPLAINED_PER_EVENT {
            let Some(id) = self.unexplained_jobs.pop_front() else {
                return;
            };
            let waiting = self.jobs.get(&id).filter(|entry| entry.queued);
            if let Some(reason) = waiting.and_then(|entry| self.queue.reason(&entry.lane)) {
                self.explain(id, reason, out);
            }
        }
    }

    fn try_start(&mut self, now: Duration, id: u32, out: &mut Vec<Action>) {
        if let Some(placement) = self.find_placement(now, id) {
            self.dequeue(id);
            return self.begin_run(now, id, &placement, out);
        }
        if self.claim_by_preemption(now, id, out) {
            return;
        }
        let Some(entry) = self.jobs.get(&id) else {
            return;
        };
        let (shape, lane) = (entry.spec.shape, entry.lane.clone());
        if self.discovery_complete(now) && !self.fleet.could_hold(shape) {
            let reason = Reason::CanNeverRun { shape };
            return self.finish_job(id, Phase::Failed, reason, out);
        }
        let reason = self.waiting_reason(id);
        self.explain(id, reason.clone(), out);
        if self.reserve(now, id, out) {
            return;
        }
        let others = self.queue.block(&lane, &reason);
        self.unexplained_jobs
            .extend(others.iter().map(|key| key.job));
    }

    /// Reports whether the set of workers counts as complete: no new one was announced within the
    /// discovery window, and every failure domain has some. Only then is a job refused as too
    /// large, because workers whose links are down are not counted.
    fn discovery_complete(&self, now: Duration) -> bool {
        let mut domains = self
            .fleet
            .domains()
            .filter(|(_, domain)| !domain.id.is_empty());
        now >= self.discovery_start + self.settings.discovery_window
            && self.fleet.workers().next().is_some()
            && domains.all(|(slot, _)| self.fleet.capacity(slot) > 0)
    }

    /// Finds free accelerators for a job, in this order: in its workspace's assignments, in
    /// capacity that is not guaranteed to anyone, borrowed from other guarantees, or as backfill of
    /// a reservation.
    pub(super) fn find_placement(&self, now: Duration, id: u32) -> Option<Placement> {
        let entry = self.jobs.get(&id)?;
        let mut avoid = entry.failed_on.clone();
        avoid.extend(entry.avoid);
        let found = self.find_avoiding(now, id, &avoid);
        // A worker on which the job failed is used if no other one fits.
        found.or_else(|| {
            let has_avoided = !avoid.is_empty();
            has_avoided
                .then(|| self.find_avoiding(now, id, &[]))
                .flatten()
        })
    }

    fn find_avoiding(&self, now: Duration, id: u32, avoid: &[Slot]) -> Option<Placement> {
        let entry = self.jobs.get(&id)?;
        let (shape, preemptible) = (entry.spec.shape, entry.lane.preemptible);
        let placement = |placed_parts, charge, borrowed| Placement {
            placed_parts,
            charge,
            borrowed,
            backfilled_for: None,
        };
        if let Some(placed_parts) = self.find_assigned(&entry.spec.workspace, shape, avoid) {
            return Some(placement(placed_parts, Charge::Guaranteed, false));
        }
        let charge = if preemptible {
            Charge::Preemptible
        } else {
            Charge::NonPreemptible
        };
        if let Some(placed_parts) = self.fleet.find_free_unassigned(shape, avoid) {
            return Some(placement(placed_parts, charge, false));
        }
        if preemptible && let Some(placed_parts) = self.fleet.find_free(shape, avoid) {
            return Some(placement(placed_parts, charge, true));
        }
        self.find_backfill(now, id, avoid)
    }

    fn find_assigned(
        &self,
        workspace: &str,
        shape: Shape,
        avoid: &[Slot],
    ) -> Option<Vec<PlacedPart>> {
        let workspace = self.workspaces.get(workspace)?;
        let startable = |domain| self.fleet.startable(domain);
        let placed_parts = workspace.unused.place(shape, &startable, avoid)?;
        let free = self.fleet.free();
        let is_free = |part: &PlacedPart| free.get(part.slot) >= part.tasks * shape.accelerators;
        if placed_parts.iter().all(is_free) {
            return Some(placed_parts);
        }
        if workspace.unused.len() > MAX_SEARCHED_WORKERS {
            return None;
        }
        let mut unused = Index::default();
        for (location, amount) in workspace.unused.iter() {
            unused.set(location, amount.min(free.get(location.slot)));
        }
        unused.place(shape, &startable, avoid)
    }

    /// Creates a run at a placement and sends its reservations.
    pub(super) fn begin_run(
        &mut self,
        now: Duration,
        id: u32,
        placement: &Placement,
        out: &mut Vec<Action>,
    ) {
        let mut run = self.new_run(
            now,
            id,
            &placement.placed_parts,
            placement.charge,
            Stage::Reserving,
        );
        run.borrowed = placement.borrowed;
        run.backfilled_for = placement.backfilled_for;
        if placement.charge == Charge::Guaranteed
            && let Some(workspace) = self.jobs.get(&id).map(|job| job.spec.workspace.clone())
        {
            for part in &run.parts {
                self.use_assigned(&workspace, part.slot, part.accelerators);
            }
        }
        self.launch(now, id, run, out);
    }

    /// Charges the parts of a run to their workers and sends its reservations.
    pub(super) fn launch(&mut self, now: Duration, id: u32, mut run: Run, out: &mut Vec<Action>) {
        run.stage = Stage::Reserving;
        run.since = now;
        let mut domains = Vec::new();
        for part in &run.parts {
            self.allocate_part(id, part, run.charge);
            domains.push(self.fleet.worker(part.slot).location.domain);
        }
        domains.dedup();
        for domain in domains {
            let credit = &mut self.fleet.domain_mut(domain).start_credit;
            *credit = credit.map(|left| left.saturating_sub(1));
        }
        if let Some(entry) = self.jobs.get_mut(&id) {
            entry.run = Some(run);
        }
        self.send_reserve(id, out);
        self.set_job_timer(id, now + self.settings.reserve_limit);
    }

    pub(super) fn new_run(
        &self,
        now: Duration,
        id: u32,
        placed_parts: &[PlacedPart],
        charge: Charge,
        stage: Stage,
    ) -> Run {
        let entry = &self.jobs[&id];
        let per_task = entry.spec.shape.accelerators;
        let parts = placed_parts.iter().map(|part| Part {
            slot: part.slot,
            tasks: part.tasks,
            accelerators: part.tasks * per_task,
            status: Status::Requested,
            settled: false,
            missing_from_inventory: false,
        });
        let mut parts: Vec<Part> = parts.collect();
        parts.sort_by_key(|part| self.worker_id(part.slot));
        Run {
            attempt: entry.attempt + 1,
            parts,
            charge,
            borrowed: false,
            stage,
            since: now,
            committed_at: None,
            adopted: false,
            recorded: false,
            resolution: None,
            backfilled_for: None,
        }
    }

    /// Returns why a job can't be placed now.
    fn waiting_reason(&self, id: u32) -> Reason {
        let entry = &self.jobs[&id];
        let shape = entry.spec.shape;
        let needed = shape.accelerators();
        if let Some(reason) = self.suspension_reason(id) {
            return reason;
        }
        let free = self.fleet.free_in_service();
        if free >= u64::from(needed) {
            return Reason::WaitingForAdjacency { shape };
        }
        let mut reserved_idle = 0;
        for holder in &self.reservations {
            let run = self.jobs.get(holder).and_then(|job| job.run.as_ref());
            for part in run.iter().flat_map(|run| &run.parts) {
                let idle = self.fleet.worker(part.slot).idle();
                reserved_idle += u64::from(idle.min(part.accelerators));
            }
        }
        if let Some(holder) = self.reservations.first()
            && free + reserved_idle >= u64::from(needed)
        {
            let job = self.jobs[holder].name.clone();
            return Reason::WaitingBehind { job };
        }
        let free = u32::try_from(free).unwrap_or(u32::MAX);
        Reason::WaitingForCapacity { needed, free }
    }
}
