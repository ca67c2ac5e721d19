//! Making room for jobs that may not wait.
//!
//! A job of the first priority that finds no room waits as long as it can still be on time with the
//! room that is about to become free. Otherwise it takes room from queues of lower priority, where the
//! least work is lost; if its workspace claims more than its guarantee, no more work than its own. The
//! room is kept for it until it starts.

use super::draft::Draft;
use super::floor::{Floor, Occupant, Slot};
use super::order::Urgency;
use super::place::{self, Seat, Want};
use super::{Decision, Planner, Round};
use crate::demand::Demand;
use crate::id::{Run, Task};
use crate::ledger::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time in which preempted runs end and others start.
const CHANGE: Duration = Duration::from_millis(700);
/// Time that a stop and a new start cost beside the lost work.
const RESTART: Duration = Duration::from_millis(800);
/// Weight of lost work of the queues after the first.
const LOSS_WEIGHTS: [f64; 2] = [3.0, 1.0];

/// Work that is lost by stopping each run. Unit: core-seconds, weighed by priority.
type Losses = BTreeMap<(Task, Run), f64>;

/// A seat that others have to be stopped for.
struct Costly {
    /// Number of the task in its step.
    index: u16,
    /// Number of the slot.
    slot: usize,
    /// What is lost beyond the cost of the seats before it.
    cost: f64,
}

impl Planner {
    /// Finds room for a job that must not wait, and keeps it.
    pub(super) fn make_room(
        &mut self,
        round: &mut Round,
        urgency: Urgency,
        entry: &Entry,
        want: &Want,
    ) {
        if self.keep_pledge(round, want) {
            return;
        }
        let Round {
            now, draft, floor, ..
        } = round;
        let now = *now;
        let patience = self.patience(now, entry, urgency);
        if !patience.is_zero()
            && let Some(seats) = self.seats_soon(now, draft, floor, want, patience)
        {
            keep(floor, want, &seats);
            return;
        }
        let losses = self.losses(now, draft, floor, want);
        let own = want.step.estimate.as_secs_f64() * want.step.demand.cores();
        let limit = if urgency.unclaimed {
            own
        } else {
            f64::INFINITY
        };
        let seats = self.cheapest(floor, want, &losses);
        let needed = place::count(
            worth_it(want, &seats, limit)
                .into_iter()
                .map(|seat| seat.slot),
        );
        let mut stops_any = false;
        for (number, tasks) in needed {
            let demand = want.step.demand.times(tasks);
            let slot = &floor.slots[number];
            let stops = self.stops(slot, &demand, &losses).unwrap_or_default();
            for (task, run) in stops {
                stops_any |= self.stopping.insert((task, run));
                round.plan.decisions.push(Decision::Preempted {
                    task,
                    run,
                    by: want.job,
                });
            }
        }
        let seats: Vec<Seat> = seats.iter().map(|seat| (seat.index, seat.slot)).collect();
        if stops_any && want.step.gang {
            self.pledge(round, want, &seats);
        }
        keep(round.floor, want, &seats);
    }

    /// Returns how long a job may still wait before it must take room from others.
    fn patience(&self, now: Duration, entry: &Entry, urgency: Urgency) -> Duration {
        let job = &entry.job;
        let mut limit = job.objective().saturating_sub(job.chain());
        if !urgency.unclaimed {
            limit = limit.min(self.bounds.reclaim);
        }
        limit.saturating_sub(self.age(now, urgency.job) + CHANGE)
    }

    /// Returns seats for all waiting tasks in the room that is free within a time.
    fn seats_soon(
        &self,
        now: Duration,
        draft: &Draft,
        floor: &Floor,
        want: &Want,
        time: Duration,
    ) -> Option<Vec<Seat>> {
        let soon = |slot: &Slot| slot.free_once(|own| self.left(now, draft, own) <= time);
        place::groups(want, floor)
            .into_iter()
            .map(|slots| place::seat_within(want, floor, &slots, soon))
            .find(|seats| !seats.is_empty())
    }

    pub(super) fn is_stopping(&self, own: &Occupant) -> bool {
        self.stopping.contains(&(own.task, own.run))
    }

    /// Returns what may be stopped for a job.
    fn losses(&self, now: Duration, draft: &Draft, floor: &Floor, want: &Want) -> Losses {
        let mut losses = Losses::new();
        for own in floor.slots.iter().flat_map(|slot| &slot.occupants) {
            let Some(entry) = draft.ledger().job(own.task.job) else {
                continue;
            };
            let priority = usize::from(entry.job.queue.priority);
            if priority == 0 || own.task.job == want.job || self.is_stopping(own) {
                continue;
            }
            let weight = LOSS_WEIGHTS[(priority - 1).min(LOSS_WEIGHTS.len() - 1)];
            let lost = self.lost_work(now, entry, own.task, own.run);
            losses.insert((own.task, own.run), lost * weight);
        }
        losses
    }

    /// Returns the work that is lost if a run, or the gang that it belongs to, is stopped.
    fn lost_work(&self, now: Duration, entry: &Entry, task: Task, run: Run) -> f64 {
        let step = &entry.job.steps[usize::from(task.step)];
        let members = if step.gang {
            f64::from(step.tasks)
        } else {
            1.0
        };
        let time = self.lost_time(now, entry, task, run) + RESTART;
        time.as_secs_f64() * step.demand.cores() * members
    }

    /// Returns how long it takes to do again what a run loses when it is stopped.
    pub(super) fn lost_time(&self, now: Duration, entry: &Entry, task: Task, run: Run) -> Duration {
        let step = &entry.job.steps[usize::from(task.step)];
        let elapsed = self.health.elapsed(now, task, run).unwrap_or_default();
        if step.saves {
            elapsed.min(self.bounds.checkpoint)
        } else {
            elapsed
        }
    }

    /// Returns seats where the least is lost: for all members of a gang, or none; for as many
    /// independent tasks as there could be room for.
    fn cheapest(&self, floor: &Floor, want: &Want, losses: &Losses) -> Vec<Costly> {
        place::groups(want, floor)
            .into_iter()
            .map(|slots| self.cheapest_within(floor, want, losses, &slots))
            .filter(|seats| !seats.is_empty())
            .min_by(|a, b| total(a).total_cmp(&total(b)))
            .unwrap_or_default()
    }

    fn cheapest_within(
        &self,
        floor: &Floor,
        want: &Want,
        losses: &Losses,
        slots: &[usize],
    ) -> Vec<Costly> {
        let mut taken: BTreeMap<usize, (u64, f64)> = BTreeMap::new();
        let mut seats = Vec::new();
        for index in &want.waiting {
            let best = slots
                .iter()
                .filter(|number| want.allows(&floor.slots[**number]))
                .filter_map(|number| {
                    let (tasks, cost) = taken.get(number).copied().unwrap_or_default();
                    let slot = &floor.slots[*number];
                    if want.step.per_worker > 0 && tasks >= u64::from(want.step.per_worker) {
                        return None;
                    }
                    let demand = want.step.demand.times(tasks + 1);
                    let stops = self.stops(slot, &demand, losses)?;
                    let new: f64 = stops.iter().map(|key| losses[key]).sum();
                    Some((*number, tasks + 1, new, new - cost))
                })
                .min_by(|(_, _, _, a), (_, _, _, b)| a.total_cmp(b));
            let Some((slot, tasks, whole, cost)) = best else {
                break;
            };
            taken.insert(slot, (tasks, whole));
            seats.push(Costly {
                index: *index,
                slot,
                cost,
            });
        }
        if want.step.gang && seats.len() < want.waiting.len() {
            seats.clear();
        }
        seats
    }

    /// Returns the runs to stop on a worker so that a demand fits, those with the least loss; `None`
    /// if it does not fit whatever is stopped.
    fn stops(&self, slot: &Slot, demand: &Demand, losses: &Losses) -> Option<Vec<(Task, Run)>> {
        let mut free = slot.free_once(|own| self.is_stopping(own));
        let mut candidates: Vec<(&Occupant, f64)> = slot
            .occupants
            .iter()
            .filter_map(|own| Some((own, *losses.get(&(own.task, own.run))?)))
            .collect();
        candidates.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        let mut chosen: Vec<&Occupant> = Vec::new();
        for (own, _) in candidates {
            if demand.fits(&free) {
                break;
            }
            free = free.plus(&own.demand);
            chosen.push(own);
        }
        if !demand.fits(&free) {
            return None;
        }
        // A later, larger run may make the stop of an earlier one needless.
        let mut needed = BTreeSet::new();
        for own in chosen.iter().rev() {
            let without = free.minus(&own.demand);
            if demand.fits(&without) {
                free = without;
            } else {
                needed.insert((own.task, own.run));
            }
        }
        Some(needed.into_iter().collect())
    }
}

/// Returns the seats that are worth their cost, given the limit for one task.
fn worth_it<'a>(want: &Want, seats: &'a [Costly], limit: f64) -> Vec<&'a Costly> {
    if !want.step.gang {
        return seats.iter().filter(|seat| seat.cost <= limit).collect();
    }
    #[allow(clippy::cast_precision_loss)] // A gang has few members.
    let whole = limit * seats.len() as f64;
    if total(seats) <= whole {
        seats.iter().collect()
    } else {
        Vec::new()
    }
}

fn total(seats: &[Costly]) -> f64 {
    seats.iter().map(|seat| seat.cost).sum()
}

/// Keeps the room of some seats from jobs that come later.
fn keep(floor: &mut Floor, want: &Want, seats: &[Seat]) {
    for (_, number) in seats {
        let slot = &mut floor.slots[*number];
        slot.take(&want.step.demand, want.step.estimate);
    }
}
