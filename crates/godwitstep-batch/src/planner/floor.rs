//! The room of all workers in a round of decisions.
//!
//! Workers don't check their room, so what is counted here is the only guard: everything that is
//! placed counts until its end is known, and so does every run that a report shows.

use super::Orders;
use super::draft::Draft;
use super::fleet::Fleet;
use super::health::{Health, Standstills};
use super::pace::SLOW;
use crate::demand::Demand;
use crate::id::{Host, Life, Pool, Run, Task};
use crate::message::{Contact, Worker};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// A run that takes room.
#[derive(Debug)]
pub(super) struct Occupant {
    pub task: Task,
    pub run: Run,
    pub demand: Demand,
}

/// One worker.
#[derive(Debug)]
pub(super) struct Slot {
    pub life: Life,
    pub pool: Pool,
    pub rack: Option<Arc<str>>,
    pub labels: Vec<Arc<str>>,
    pub room: Demand,
    pub free: Demand,
    /// Room that is kept for jobs though it is not free yet.
    pub promised: Demand,
    /// Room that is kept for a job that waits.
    pub reservation: Option<Reservation>,
    /// Logarithm of the length of tasks here against their equals elsewhere; 0 if not known.
    pub pace: f64,
    /// Whether a run failed here by the worker's fault since one last ended well.
    pub suspect: bool,
    /// Whether it gets new tasks.
    pub open: bool,
    pub occupants: Vec<Occupant>,
}

/// Room that is kept from a time on.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    /// When the job that waits is expected to start, from now.
    pub start: Duration,
    /// What is free from then on beside that job.
    pub beside: Demand,
}

impl Slot {
    /// Takes room for a run.
    pub fn occupy(&mut self, occupant: Occupant, estimate: Duration) {
        self.take(&occupant.demand, estimate);
        self.occupants.push(occupant);
    }

    /// Takes room for a time.
    pub fn take(&mut self, demand: &Demand, estimate: Duration) {
        self.promised = self.promised.plus(&demand.minus(&self.free));
        self.free = self.free.minus(demand);
        if let Some(reservation) = &mut self.reservation
            && estimate > reservation.start
        {
            reservation.beside = reservation.beside.minus(demand);
        }
    }

    /// Returns what is free once the runs are over for which `over` holds, beside the room that is promised.
    pub fn free_once(&self, over: impl Fn(&Occupant) -> bool) -> Demand {
        let over = self.occupants.iter().filter(|own| over(own));
        let freed = Demand::sum(over.map(|own| &own.demand));
        self.free.plus(&freed).minus(&self.promised)
    }

    /// Returns the room for a task of this length: it may not outlast the start of a job for which
    /// room is kept, unless there is room beside that.
    pub fn free_for(&self, estimate: Duration) -> Demand {
        match &self.reservation {
            Some(reservation) if estimate > reservation.start => {
                self.free.least(&reservation.beside)
            }
            _ => self.free,
        }
    }

    /// Tells whether nothing takes room here.
    pub fn is_empty(&self) -> bool {
        self.occupants.is_empty() && self.free == self.room
    }

    /// Tells whether tasks take clearly longer here than elsewhere.
    pub fn is_slow(&self) -> bool {
        self.pace > SLOW
    }

    /// Tells whether the worker may run tasks of a pool that need a label.
    pub fn serves(&self, pool: &str, label: Option<&Arc<str>>) -> bool {
        self.open && &*self.pool == pool && label.is_none_or(|label| self.labels.contains(label))
    }
}

/// All workers, in the order of their hosts.
#[derive(Debug)]
pub(super) struct Floor {
    pub slots: Vec<Slot>,
    by_host: HashMap<Host, usize>,
}

impl Floor {
    pub fn new(
        now: Duration,
        fleet: &Fleet,
        health: &Health,
        draft: &Draft,
        orders: &Orders,
    ) -> Self {
        let standstills = health.standstills(now);
        let slots: Vec<Slot> = fleet
            .workers(now)
            .map(|(age, worker)| slot(now, age, worker, health, &standstills, orders))
            .collect();
        let by_host = (0..)
            .zip(&slots)
            .map(|(number, slot)| (slot.life.host.clone(), number))
            .collect();
        let mut floor = Self { slots, by_host };
        floor.count_placed(draft);
        floor.count_listed(now, fleet, draft);
        floor.close_slow(health, draft);
        floor
    }

    fn count_placed(&mut self, draft: &Draft) {
        for (job, entry, progress) in draft.open() {
            for (step, index, placed, life) in progress.placed() {
                let demand = entry.job.steps[usize::from(step)].demand;
                let task = Task { job, step, index };
                if let Some(slot) = self.at(life) {
                    let occupant = Occupant {
                        task,
                        run: placed.run,
                        demand,
                    };
                    slot.occupy(occupant, Duration::ZERO);
                }
            }
        }
    }

    /// Counts runs that are listed though the ledger does not place them there: members of a gang
    /// that is done, and runs that are being stopped.
    fn count_listed(&mut self, now: Duration, fleet: &Fleet, draft: &Draft) {
        for (_, worker) in fleet.workers(now) {
            for row in &worker.running {
                let Some(slot) = self.at(&worker.about.life) else {
                    continue;
                };
                let counted = slot
                    .occupants
                    .iter()
                    .any(|own| own.task == row.task && own.run == row.run);
                if counted {
                    continue;
                }
                let demand = draft
                    .ledger()
                    .job(row.task.job)
                    .and_then(|entry| entry.job.steps.get(usize::from(row.task.step)))
                    .map(|step| step.demand);
                match demand {
                    Some(demand) => slot.free = slot.free.minus(&demand),
                    // Its size is not known.
                    None => slot.open = false,
                }
            }
        }
    }

    /// Closes workers whose runs are all slow.
    fn close_slow(&mut self, health: &Health, draft: &Draft) {
        for slot in &mut self.slots {
            let slow: Vec<bool> = slot
                .occupants
                .iter()
                .filter_map(|own| {
                    let job = &draft.ledger().job(own.task.job)?.job;
                    let estimate = job.steps[usize::from(own.task.step)].estimate;
                    health.slow(own.task, own.run, estimate)
                })
                .collect();
            if !slow.is_empty() && slow.iter().all(|slow| *slow) {
                slot.open = false;
            }
        }
    }

    /// Returns the slot of a life of a worker.
    pub fn at(&mut self, life: &Life) -> Option<&mut Slot> {
        let number = *self.by_host.get(&life.host)?;
        let slot = self.slots.get_mut(number)?;
        (slot.life == *life).then_some(slot)
    }
}

fn slot(
    now: Duration,
    age: Duration,
    worker: &Worker,
    health: &Health,
    standstills: &Standstills,
    orders: &Orders,
) -> Slot {
    let open = Fleet::fresh(age)
        && worker.contact == Contact::Answers
        && !worker.about.draining
        && !orders.out.contains(&worker.about.domain)
        && health.trusted(now, &worker.about.life, standstills);
    Slot {
        life: worker.about.life.clone(),
        pool: worker.about.pool.clone(),
        rack: worker.about.rack.clone(),
        labels: worker.about.labels.clone(),
        room: worker.about.room,
        free: worker.about.room,
        promised: Demand::default(),
        reservation: None,
        pace: health.pace(&worker.about.life),
        suspect: health.is_suspect(&worker.about.life),
        open,
        occupants: Vec::new(),
    }
}
