//! Where guarantees are kept.
//!
//! Each guaranteed shape is given definite workers, its home. Jobs that can't be asked to give way
//! never run on accelerators that are home to another workspace, so the shape can always be
//! reclaimed by stopping borrowers. A home that nobody uses moves freely.

use super::Planner;
use super::job::Stage;
use super::timer::Timer;
use crate::fleet::{Charge, Index, Seat, Slot, Spot};
use crate::guarantee::{self, Claim};
use crate::id::{Accelerators, WorkspaceId};
use crate::resource::{Shape, Workspace};
use std::collections::BTreeMap;
use std::time::Duration;

/// Least time between two plans of all unused homes for lesser causes than a declaration or a
/// failure domain. One takes tens of milliseconds with 32,000 workers, which all announce
/// themselves within seconds after a take-over.
const REPACK_PAUSE: Duration = Duration::from_secs(1);

/// A guaranteed shape and its home.
#[derive(Debug, Clone)]
pub(super) struct Home {
    pub shape: Shape,
    pub spots: Option<Vec<Spot>>,
}

/// A workspace and the homes of its guarantees.
#[derive(Debug, Clone)]
pub(super) struct Tenant {
    pub spec: Workspace,
    pub homes: Vec<Home>,
    /// Accelerators of its homes that its own jobs do not use, by worker.
    pub left: Index,
    /// The same for workers that are lost and may come back.
    away: BTreeMap<Slot, Accelerators>,
    /// Accelerators of its homes by worker, used or not.
    homed: BTreeMap<Slot, Accelerators>,
}

impl Tenant {
    fn new(id: &WorkspaceId, spec: Workspace) -> Self {
        let claims = guarantee::expand(id, &spec);
        let homes = claims.into_iter().map(|claim| Home {
            shape: claim.shape,
            spots: None,
        });
        Self {
            homes: homes.collect(),
            spec,
            left: Index::default(),
            away: BTreeMap::new(),
            homed: BTreeMap::new(),
        }
    }

    fn get(&self, slot: Slot) -> Accelerators {
        let away = self.away.get(&slot).copied();
        away.unwrap_or_else(|| self.left.get(slot))
    }

    fn set(&mut self, seat: Seat, amount: Accelerators) {
        match self.away.get_mut(&seat.slot) {
            Some(away) => *away = amount,
            None => self.left.set(seat, amount),
        }
    }

    /// Reports whether one of its own jobs uses one of the homes on a worker.
    fn uses(&self, slot: Slot) -> bool {
        self.get(slot) < self.homed.get(&slot).copied().unwrap_or(0)
    }
}

impl Planner {
    pub(super) fn set_workspace(&mut self, id: &WorkspaceId, spec: Option<Workspace>) {
        let before = self.tenants.get(id);
        let kept = match (before, &spec) {
            (Some(before), Some(spec)) => {
                before.spec.guarantees == spec.guarantees && before.spec.rank == spec.rank
            }
            _ => false,
        };
        match (kept, spec) {
            (true, Some(spec)) => {
                if let Some(tenant) = self.tenants.get_mut(id) {
                    tenant.spec = spec;
                }
            }
            (_, spec) => {
                self.drop_tenant(id);
                if let Some(spec) = spec {
                    let tenant = Tenant::new(id, spec);
                    let rank = tenant.spec.rank;
                    let numbers = 0..tenant.homes.len();
                    self.unplaced
                        .extend(numbers.map(|number| (rank, id.clone(), number)));
                    self.tenants.insert(id.clone(), tenant);
                }
            }
        }
        self.rehome = true;
        self.repacked = Duration::ZERO;
        self.freed = true;
        self.order_anew(id);
    }

    fn drop_tenant(&mut self, id: &WorkspaceId) {
        let Some(tenant) = self.tenants.get(id) else {
            return;
        };
        let (rank, count) = (tenant.spec.rank, tenant.homes.len());
        for number in 0..count {
            self.drop_home(id, number);
            self.unplaced.remove(&(rank, id.clone(), number));
        }
        self.tenants.remove(id);
    }

    /// Computes the keys of a workspace's jobs again after its declaration has changed.
    fn order_anew(&mut self, id: &WorkspaceId) {
        let members = self.members.get(id).cloned().unwrap_or_default();
        for job in members {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let (old, lane) = (entry.key, entry.lane.clone());
            let queued = entry.queued;
            let key = self.key(job, &entry.spec, old.accepted);
            if queued {
                self.queue.remove(&lane, old);
                self.queue.push(&lane, key);
            }
            if self.moves.remove(&(old, job)) {
                self.moves.insert((key, job));
            }
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.key = key;
            }
        }
    }

    /// Gives homes to the guaranteed shapes that lack one, as far as they fit.
    pub(super) fn place_homes(&mut self, now: Duration) {
        if !std::mem::take(&mut self.rehome) {
            return;
        }
        self.bind_running();
        if self.unplaced.is_empty() {
            return;
        }
        let mut refused: Vec<Shape> = Vec::new();
        for (_, id, number) in self.unplaced.clone() {
            let shape = self.tenants[&id].homes[number].shape;
            if refused.contains(&shape) {
                continue;
            }
            match self.fleet.find_room(shape) {
                Some(spots) => self.place_home(&id, number, spots),
                None => refused.push(shape),
            }
        }
        if self.unplaced.is_empty() {
            return;
        }
        if now < self.repacked {
            self.timers.insert((self.repacked, Timer::Repack));
        } else {
            self.repacked = now + REPACK_PAUSE;
            self.repack();
        }
    }

    /// Has guarantees placed anew after news of workers or runs, at most once a pause. A new planner
    /// hears of thousands of workers and runs at once, and looks at all runs each time.
    pub(super) fn rehome_soon(&mut self, now: Duration) {
        if now < self.surveyed {
            self.timers.insert((self.surveyed, Timer::Repack));
        } else {
            self.surveyed = now + REPACK_PAUSE;
            self.rehome = true;
        }
    }

    /// Makes the workers of jobs that run outside of their guarantee its home.
    fn bind_running(&mut self) {
        for job in self.outside.clone() {
            let Some(entry) = self.jobs.get(&job) else {
                self.outside.remove(&job);
                continue;
            };
            let id = entry.spec.workspace.clone();
            let (Some(tenant), Some(run)) = (self.tenants.get(&id), &entry.run) else {
                continue;
            };
            let fits = |number: &usize| tenant.homes[*number].shape == entry.spec.shape;
            let first = (tenant.spec.rank, id.clone(), 0);
            let lacking = self.unplaced.range(first..).take_while(|at| at.1 == id);
            let mut lacking = lacking.map(|at| at.2);
            let Some(number) = lacking.find(fits) else {
                continue;
            };
            let in_books = |slot| self.fleet.machine(slot).uses.contains_key(&job);
            // A run that is still to leave a failure domain out of service gives no home there.
            let in_place = |slot| in_books(slot) && self.takes_work(slot);
            if !run.parts.iter().all(|part| in_place(part.slot)) {
                continue;
            }
            let spots = run.parts.iter().map(|part| Spot {
                slot: part.slot,
                tasks: part.tasks,
            });
            let spots: Vec<Spot> = spots.collect();
            let parts = run.parts.clone();
            for part in &parts {
                self.fleet.recharge(part.slot, job, Charge::Home);
            }
            self.place_home(&id, number, spots);
            for part in &parts {
                self.spend_home(&id, part.slot, part.accelerators);
            }
            self.outside.remove(&job);
        }
    }

    /// Plans all unused homes anew and takes the new plan if it keeps more important shapes.
    fn repack(&mut self) {
        let mut claims: Vec<Claim> = Vec::new();
        let mut room = self.fleet.room().clone();
        for (id, tenant) in &self.tenants {
            for (number, home) in tenant.homes.iter().enumerate() {
                let spots = home.spots.iter().flatten();
                if spots.clone().any(|spot| tenant.uses(spot.slot)) {
                    continue;
                }
                for spot in spots {
                    let seat = self.fleet.machine(spot.slot).seat;
                    let back = spot.tasks * home.shape.accelerators;
                    room.set(seat, room.get(spot.slot) + back);
                }
                claims.push(Claim {
                    rank: tenant.spec.rank,
                    workspace: id.clone(),
                    number,
                    shape: home.shape,
                });
            }
        }
        claims.sort_by_key(|claim| (claim.rank, claim.workspace.clone(), claim.number));
        let in_service = |zone: u32| self.fleet.zone(zone).in_service;
        let places = guarantee::pack(&mut room, &claims, &in_service);
        let has_home = |claim: &Claim| {
            self.tenants[&claim.workspace].homes[claim.number]
                .spots
                .is_some()
        };
        let present: Vec<bool> = claims.iter().map(has_home).collect();
        let planned: Vec<bool> = places.iter().map(Option::is_some).collect();
        if planned <= present {
            return;
        }
        for claim in &claims {
            self.drop_home(&claim.workspace, claim.number);
        }
        for (claim, spots) in claims.iter().zip(places) {
            if let Some(spots) = spots {
                self.place_home(&claim.workspace, claim.number, spots);
            }
        }
        self.rehome = false;
    }

    fn place_home(&mut self, id: &WorkspaceId, number: usize, spots: Vec<Spot>) {
        let Some(tenant) = self.tenants.get_mut(id) else {
            return;
        };
        let each = tenant.homes[number].shape.accelerators;
        for spot in &spots {
            let amount = spot.tasks * each;
            let machine = self.fleet.machine(spot.slot);
            tenant.set(machine.seat, tenant.get(spot.slot) + amount);
            *tenant.homed.entry(spot.slot).or_default() += amount;
            let homed = machine.homed + amount;
            self.fleet.set_homed(spot.slot, homed);
            let at = self.homes_at.entry(spot.slot).or_default();
            at.insert((id.clone(), number));
        }
        tenant.homes[number].spots = Some(spots);
        self.unplaced
            .remove(&(tenant.spec.rank, id.clone(), number));
        self.freed = true;
    }

    /// Takes its home from a guaranteed shape. Jobs in it are charged elsewhere.
    fn drop_home(&mut self, id: &WorkspaceId, number: usize) {
        let Some(tenant) = self.tenants.get_mut(id) else {
            return;
        };
        let Some(spots) = tenant.homes[number].spots.take() else {
            return;
        };
        let each = tenant.homes[number].shape.accelerators;
        self.unplaced.insert((tenant.spec.rank, id.clone(), number));
        self.rehome = true;
        for spot in spots {
            let amount = spot.tasks * each;
            self.drop_claims_at(spot.slot, id);
            self.charge_elsewhere(id, spot.slot, amount);
            let seat = self.fleet.machine(spot.slot).seat;
            if let Some(tenant) = self.tenants.get_mut(id) {
                tenant.set(seat, tenant.get(spot.slot).saturating_sub(amount));
                if let Some(homed) = tenant.homed.get_mut(&spot.slot) {
                    *homed = homed.saturating_sub(amount);
                    if *homed == 0 {
                        tenant.homed.remove(&spot.slot);
                    }
                }
            }
            let homed = self.fleet.machine(spot.slot).homed.saturating_sub(amount);
            self.fleet.set_homed(spot.slot, homed);
            if let Some(at) = self.homes_at.get_mut(&spot.slot) {
                at.remove(&(id.clone(), number));
            }
        }
    }

    /// Charges jobs of a workspace on a worker outside of its homes until an amount is unused.
    fn charge_elsewhere(&mut self, id: &WorkspaceId, slot: Slot, amount: Accelerators) {
        let uses: Vec<_> = self.fleet.machine(slot).uses.clone().into_iter().collect();
        for (job, entry) in uses {
            let unused = self.tenants.get(id).map_or(0, |tenant| tenant.get(slot));
            if unused >= amount {
                return;
            }
            let Some(owner) = self.jobs.get(&job) else {
                continue;
            };
            if entry.charge != Charge::Home || owner.spec.workspace != *id {
                continue;
            }
            let charge = if owner.lane.soft {
                Charge::Soft
            } else {
                Charge::Firm
            };
            self.fleet.recharge(slot, job, charge);
            self.outside.insert(job);
            self.restore_home(id, slot, entry.accelerators);
        }
    }

    /// Withdraws the pending claims of a workspace on a worker.
    fn drop_claims_at(&mut self, slot: Slot, id: &WorkspaceId) {
        let pledged: Vec<u32> = self.fleet.machine(slot).pledges.keys().copied().collect();
        for job in pledged {
            let Some(entry) = self.jobs.get(&job) else {
                continue;
            };
            let claims = entry.run.as_ref().is_some_and(|run| {
                run.charge == Charge::Home && matches!(run.stage, Stage::Pledged { .. })
            });
            if claims && entry.spec.workspace == *id {
                self.drop_pledge(job);
                self.ripe.insert(job);
            }
        }
    }

    pub(super) fn drop_homes_at(&mut self, slot: Slot) {
        let homes = self.homes_at.get(&slot).cloned().unwrap_or_default();
        for (id, number) in homes {
            self.drop_home(&id, number);
        }
        for tenant in self.tenants.values_mut() {
            tenant.away.remove(&slot);
        }
    }

    /// Withdraws all promises on a worker.
    pub(super) fn drop_pledges_at(&mut self, slot: Slot) {
        let pledged: Vec<u32> = self.fleet.machine(slot).pledges.keys().copied().collect();
        for job in pledged {
            self.drop_pledge(job);
            self.ripe.insert(job);
        }
    }

    /// Keeps the homes on a lost worker from being claimed while it may come back.
    pub(super) fn hide_homes(&mut self, slot: Slot) {
        let seat = self.fleet.machine(slot).seat;
        for (id, _) in self.homes_at.get(&slot).into_iter().flatten() {
            if let Some(tenant) = self.tenants.get_mut(id)
                && !tenant.away.contains_key(&slot)
            {
                let amount = tenant.left.get(slot);
                tenant.left.set(seat, 0);
                tenant.away.insert(slot, amount);
            }
        }
    }

    /// Lets the homes on a worker that is back be claimed again.
    pub(super) fn show_homes(&mut self, slot: Slot) {
        let seat = self.fleet.machine(slot).seat;
        // A home that was on the worker may have moved meanwhile.
        for tenant in self.tenants.values_mut() {
            if let Some(amount) = tenant.away.remove(&slot) {
                tenant.left.set(seat, amount);
            }
        }
    }

    /// Notes that a job of the workspace uses part of its homes on a worker.
    pub(super) fn spend_home(&mut self, id: &WorkspaceId, slot: Slot, amount: Accelerators) {
        let seat = self.fleet.machine(slot).seat;
        if let Some(tenant) = self.tenants.get_mut(id) {
            tenant.set(seat, tenant.get(slot).saturating_sub(amount));
        }
    }

    pub(super) fn restore_home(&mut self, id: &WorkspaceId, slot: Slot, amount: Accelerators) {
        let seat = self.fleet.machine(slot).seat;
        if let Some(tenant) = self.tenants.get_mut(id) {
            tenant.set(seat, tenant.get(slot) + amount);
        }
    }
}
