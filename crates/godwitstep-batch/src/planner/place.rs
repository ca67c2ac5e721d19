//! Placing the tasks that wait.
//!
//! Jobs come in the order of their urgency. Independent tasks go one by one to the worker that they
//! fill best; a gang goes as a whole or not at all, and within one rack if it asks for that and a rack
//! could hold it.

use super::floor::{Floor, Occupant, Slot};
use super::order::{self, Urgency};
use super::{Decision, Orders, Planner, Round};
use crate::id::{JobId, Life, Run, Task};
use crate::job::Step;
use crate::ledger::Entry;
use crate::progress::{self, State};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Most jobs for which room is kept at a time. Each one costs room that shorter tasks only can use.
const MAX_RESERVATIONS: usize = 3;

/// A place for one task: the number of the task in its step and the number of the slot.
pub(super) type Seat = (u16, usize);

/// What remains to be placed of one step.
pub(super) struct Want<'a> {
    pub job: JobId,
    pub pool: &'a str,
    pub number: u16,
    pub step: &'a Step,
    /// Tasks that wait.
    pub waiting: Vec<u16>,
    /// Whether the job has little time to spare.
    pub urgent: bool,
    /// Whether slow workers are left out.
    pub swift: bool,
    /// Whether suspect workers are left out.
    pub steady: bool,
    /// Workers that are left out: the job failed there, or they are left empty.
    pub shunned: BTreeSet<Life>,
}

impl Planner {
    /// Places what there is room for, and makes or keeps room for what may not wait.
    pub(super) fn place(&mut self, round: &mut Round, orders: &Orders) {
        let claims = order::claims(round.draft, orders.policy);
        let mut queue: Vec<Urgency> = round
            .draft
            .open()
            .filter(|(_, entry, progress)| entry.active() && progress.outcome.is_none())
            .map(|(id, entry, progress)| self.urgency(round.now, id, entry, progress, &claims))
            .collect();
        queue.sort_unstable();
        let mut reservations = 0;
        for urgency in queue {
            let Some(entry) = round.draft.ledger().job(urgency.job) else {
                continue;
            };
            for number in ready_steps(entry, round.draft.progress(urgency.job, entry)) {
                let Some(blocked) = self.place_step(round, &urgency, entry, number) else {
                    continue;
                };
                if urgency.hopeless {
                    continue;
                }
                if urgency.priority == 0 {
                    self.make_room(round, urgency, entry, &blocked);
                } else if reservations < MAX_RESERVATIONS && self.reserve(round, &blocked) {
                    reservations += 1;
                }
            }
        }
    }

    /// Places the waiting tasks of a step as far as there is room. Returns what is left, unless it leaves room to
    /// others.
    fn place_step<'e>(
        &mut self,
        round: &mut Round,
        urgency: &Urgency,
        entry: &'e Entry,
        number: u16,
    ) -> Option<Want<'e>> {
        let job = entry.job.id;
        let state = &round.draft.progress(job, entry).steps[usize::from(number)];
        let mut want = Want {
            job,
            pool: &entry.job.queue.pool,
            number,
            step: &entry.job.steps[usize::from(number)],
            waiting: waiting(state),
            urgent: entry.job.queue.priority == 0,
            swift: false,
            steady: false,
            shunned: BTreeSet::new(),
        };
        let run = next_run(want.step.gang, state);
        want.shunned = self.failures.shunned(&want, round.floor);
        let held_back = self.leave_headroom(round, urgency, entry, &mut want);
        if want.step.gang {
            for (index, slot) in seat_gang_well(&mut want, round.floor) {
                self.place_task(round, &want, index, run(index), slot);
            }
        } else {
            for &index in &want.waiting {
                let Some(slot) = best_slot(&want, round.floor) else {
                    break;
                };
                self.place_task(round, &want, index, run(index), slot);
            }
        }
        want.waiting = waiting(&round.draft.progress(job, entry).steps[usize::from(number)]);
        (!want.waiting.is_empty() && !held_back).then_some(want)
    }

    fn place_task(&self, round: &mut Round, want: &Want, index: u16, run: Run, slot: usize) {
        let task = want.task(index);
        let slot = &mut round.floor.slots[slot];
        let occupant = Occupant {
            task,
            run,
            demand: want.step.demand,
        };
        slot.occupy(occupant, want.step.estimate);
        let life = slot.life.clone();
        let step = &mut round.draft.edit(want.job).steps[usize::from(want.number)];
        let state = &mut step.tasks[usize::from(index)];
        state.run = run;
        state.state = State::Placed(life.clone());
        round.plan.decisions.push(Decision::Placed {
            task,
            run,
            life,
            age: self.age(round.now, want.job),
        });
    }
}

impl Want<'_> {
    pub fn task(&self, index: u16) -> Task {
        Task {
            job: self.job,
            step: self.number,
            index,
        }
    }

    /// Tells whether tasks of the step may run on a worker, room aside.
    pub fn allows(&self, slot: &Slot) -> bool {
        let left_out = (self.swift && slot.is_slow())
            || (self.steady && slot.suspect)
            || self.shunned.contains(&slot.life);
        slot.serves(self.pool, self.step.label.as_ref()) && !left_out
    }

    /// Returns the room that a worker has for a task of the step.
    pub fn free(&self, slot: &Slot) -> crate::Demand {
        slot.free_for(self.step.estimate)
    }

    /// Returns how many more tasks of the step a worker takes.
    pub fn copies(&self, slot: &Slot, free: &crate::Demand) -> u64 {
        let copies = self.step.demand.copies_in(free);
        if self.step.per_worker == 0 {
            return copies;
        }
        let own = slot
            .occupants
            .iter()
            .filter(|own| own.task.job == self.job && own.task.step == self.number)
            .count() as u64;
        copies.min(u64::from(self.step.per_worker).saturating_sub(own))
    }
}

/// Returns the steps that have waiting tasks and whose earlier steps are done.
fn ready_steps(entry: &Entry, progress: &progress::Progress) -> Vec<u16> {
    let done = |other: &u16| {
        progress
            .steps
            .get(usize::from(*other))
            .is_some_and(progress::Step::done)
    };
    (0..)
        .zip(entry.job.steps.iter().zip(&progress.steps))
        .filter(|(_, (step, state))| {
            let ready = step.after.iter().all(done);
            let waits = if step.gang {
                state.tasks.iter().all(|task| task.state == State::Waiting)
            } else {
                state.tasks.iter().any(|task| task.state == State::Waiting)
            };
            ready && waits
        })
        .map(|(number, _)| number)
        .collect()
}

fn waiting(state: &progress::Step) -> Vec<u16> {
    (0..)
        .zip(&state.tasks)
        .filter(|(_, task)| task.state == State::Waiting)
        .map(|(index, _)| index)
        .collect()
}

/// Returns the number of each task's next run. Members of a gang get the same.
fn next_run(gang: bool, state: &progress::Step) -> impl Fn(u16) -> Run + use<> {
    let runs: Vec<Run> = state.tasks.iter().map(|task| task.run).collect();
    let highest = runs.iter().copied().max().unwrap_or(0);
    move |index| {
        if gang {
            highest + 1
        } else {
            runs[usize::from(index)] + 1
        }
    }
}

/// Returns the slot that one more independent task fills best, if there is room.
fn best_slot(want: &Want, floor: &Floor) -> Option<usize> {
    (0..)
        .zip(&floor.slots)
        .filter(|(_, slot)| want.allows(slot) && want.copies(slot, &want.free(slot)) > 0)
        .min_by(|(_, a), (_, b)| {
            let key = |slot: &Slot| {
                let misfit = slot.is_slow() == want.urgent;
                (away(want.step, slot), slot.suspect, misfit)
            };
            key(a)
                .cmp(&key(b))
                .then_with(|| spare(want, a).total_cmp(&spare(want, b)))
        })
        .map(|(number, _)| number)
}

/// Tells whether a worker is not beside the step's data.
fn away(step: &Step, slot: &Slot) -> bool {
    step.data_rack
        .as_ref()
        .is_some_and(|rack| slot.rack.as_ref() != Some(rack))
}

/// Returns the room that a task would leave on a worker, as a share of it.
fn spare(want: &Want, slot: &Slot) -> f64 {
    slot.free.minus(&want.step.demand).share_of(&slot.room)
}

/// Tells whether a step has to run within one rack.
pub(super) fn one_rack(want: &Want, floor: &Floor) -> bool {
    want.step.gang && want.step.one_rack && rack_could_hold(want, floor)
}

/// Seats all tasks of a gang, or none: not on suspect workers if there is room elsewhere, and
/// if it has little time to spare on fast ones, as a gang is as slow as its slowest member.
fn seat_gang_well(want: &mut Want, floor: &Floor) -> Vec<Seat> {
    let anywhere = seat_gang(want, floor);
    if anywhere.is_empty() {
        return anywhere;
    }
    let urgent = want.urgent;
    let suspects = floor.slots.iter().any(|slot| slot.suspect);
    let best = [(true, true), (true, false), (false, true)]
        .into_iter()
        .filter(|(steady, swift)| (suspects || !steady) && (urgent || !swift))
        .find_map(|(steady, swift)| {
            (want.steady, want.swift) = (steady, swift);
            let seats = seat_gang(want, floor);
            (!seats.is_empty()).then_some(seats)
        });
    (want.steady, want.swift) = (false, false);
    best.unwrap_or(anywhere)
}

/// Seats all tasks of a gang, or none.
fn seat_gang(want: &Want, floor: &Floor) -> Vec<Seat> {
    groups(want, floor)
        .into_iter()
        .map(|slots| seat_within(want, floor, &slots, |slot| want.free(slot)))
        .filter(|seats| !seats.is_empty())
        .min_by(|a, b| leftover(floor, a).total_cmp(&leftover(floor, b)))
        .unwrap_or_default()
}

/// Returns the slots among which all tasks of a step have to be seated: those of each rack for a gang that
/// has to run within one, else all.
pub(super) fn groups(want: &Want, floor: &Floor) -> Vec<Vec<usize>> {
    if !one_rack(want, floor) {
        return vec![(0..floor.slots.len()).collect()];
    }
    let mut racks: BTreeMap<&Option<Arc<str>>, Vec<usize>> = BTreeMap::new();
    for (number, slot) in (0..).zip(&floor.slots) {
        if want.allows(slot) {
            racks.entry(&slot.rack).or_default().push(number);
        }
    }
    racks.into_values().collect()
}

/// Counts how often each slot occurs.
pub(super) fn count(slots: impl Iterator<Item = usize>) -> BTreeMap<usize, u64> {
    let mut counts = BTreeMap::new();
    for slot in slots {
        *counts.entry(slot).or_default() += 1;
    }
    counts
}

/// Tells whether some rack could hold the whole gang if it were empty. Workers that are closed for
/// the moment count: waiting for them beats running slowly.
fn rack_could_hold(want: &Want, floor: &Floor) -> bool {
    let mut copies: BTreeMap<&Option<Arc<str>>, u64> = BTreeMap::new();
    for slot in &floor.slots {
        if &*slot.pool == want.pool {
            let own = want.step.demand.copies_in(&slot.room);
            let entry = copies.entry(&slot.rack).or_default();
            *entry = entry.saturating_add(own);
        }
    }
    copies
        .values()
        .any(|copies| *copies >= want.waiting.len() as u64)
}

/// Seats all tasks within some slots, on as few workers as possible, or none.
pub(super) fn seat_within(
    want: &Want,
    floor: &Floor,
    slots: &[usize],
    free: impl Fn(&Slot) -> crate::Demand,
) -> Vec<Seat> {
    let mut copies: Vec<(u64, usize)> = slots
        .iter()
        .map(|&number| (number, &floor.slots[number]))
        .filter(|(_, slot)| want.allows(slot))
        .map(|(number, slot)| (want.copies(slot, &free(slot)), number))
        .collect();
    let needed = want.waiting.len() as u64;
    copies.sort_unstable_by_key(|(copies, number)| (std::cmp::Reverse(*copies), *number));
    // The last worker is the one that the rest fills best.
    let mut seats = Vec::new();
    let mut rest = want.waiting.iter().copied();
    let mut left = needed;
    let mut used: BTreeSet<usize> = BTreeSet::new();
    while left > 0 {
        let whole = copies
            .iter()
            .filter(|(copies, number)| *copies >= left && !used.contains(number))
            .min_by_key(|(copies, _)| *copies);
        let next = whole.or_else(|| {
            copies
                .iter()
                .find(|(copies, number)| *copies > 0 && !used.contains(number))
        });
        let Some(&(copies, number)) = next else {
            return Vec::new();
        };
        used.insert(number);
        let taken = copies.min(left);
        left -= taken;
        seats.extend(
            rest.by_ref()
                .take(usize::try_from(taken).unwrap_or(usize::MAX))
                .map(|index| (index, number)),
        );
    }
    seats
}

/// Returns the free room of the workers that a gang would use, as a share of theirs.
fn leftover(floor: &Floor, seats: &[Seat]) -> f64 {
    let used: BTreeSet<usize> = seats.iter().map(|(_, slot)| *slot).collect();
    used.iter()
        .map(|number| &floor.slots[*number])
        .map(|slot| slot.free.share_of(&slot.room))
        .sum()
}
