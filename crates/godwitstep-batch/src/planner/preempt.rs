//! Making room for jobs that may not wait.
//!
//! A job of the first priority whose workspace claims no more than its guarantee takes room from
//! others: first from queues of lower priority, where the least work is lost. The freed room is kept
//! for it until it starts.

use super::draft::Draft;
use super::floor::{Floor, Occupant, Slot};
use super::order::Urgency;
use super::place::{self, Seat, Want};
use super::{Decision, Plan, Planner};
use crate::demand::Demand;
use crate::id::{Run, Task};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Time without progress after which a run may be stopped, to run elsewhere.
const STUCK: Duration = Duration::from_millis(3_500);
/// Time after which a gang whose members have not all begun is called back. Below the time after
/// which its members give up by themselves.
const GATHERING: Duration = Duration::from_millis(2_200);

impl Planner {
    /// Stops others for the sake of a job, and keeps the room that it will take.
    pub(super) fn make_room(
        &mut self,
        _now: Duration,
        draft: &Draft,
        floor: &mut Floor,
        urgency: Urgency,
        want: &Want,
        plan: &mut Plan,
    ) {
        if urgency.priority != 0 || urgency.unclaimed || urgency.hopeless {
            return;
        }
        let victims = self.victims(draft, floor, want);
        let Some(seats) = seats_with(want, floor, &victims) else {
            return;
        };
        let mut needed: BTreeMap<usize, u64> = BTreeMap::new();
        for (_, slot) in &seats {
            *needed.entry(*slot).or_default() += 1;
        }
        for (number, tasks) in needed {
            let demand = want.step.demand.times(tasks);
            self.stop_for(floor, number, demand, &victims, want, plan);
            let slot = &mut floor.slots[number];
            slot.free = slot.free.minus(&demand);
        }
    }

    /// Returns what may be stopped, with the work that would be lost, in core-seconds.
    fn victims(&self, draft: &Draft, floor: &Floor, want: &Want) -> BTreeMap<(Task, Run), f64> {
        let mut victims = BTreeMap::new();
        let occupants = floor.slots.iter().flat_map(|slot| &slot.occupants);
        for Occupant { task, run, demand } in occupants {
            let Some(entry) = draft.ledger().job(task.job) else {
                continue;
            };
            if entry.job.queue.priority == 0 || task.job == want.job {
                continue;
            }
            let step = &entry.job.steps[usize::from(task.step)];
            let members = if step.gang { f64::from(step.tasks) } else { 1.0 };
            let done = f64::from(self.health.percent(*task, *run)) / 100.0;
            let kept = if step.saves { 0.3 } else { 1.0 };
            let lost = done * kept * step.estimate.as_secs_f64() * demand.cores() * members;
            victims.insert((*task, *run), lost);
        }
        victims
    }

    fn stop_for(
        &mut self,
        floor: &Floor,
        number: usize,
        demand: Demand,
        victims: &BTreeMap<(Task, Run), f64>,
        want: &Want,
        plan: &mut Plan,
    ) {
        let slot = &floor.slots[number];
        let mut free = slot.free;
        for own in &slot.occupants {
            if self.stopping.contains(&(own.task, own.run)) {
                free = free.plus(&own.demand);
            }
        }
        let mut candidates: Vec<(&Occupant, f64)> = slot
            .occupants
            .iter()
            .filter(|own| !self.stopping.contains(&(own.task, own.run)))
            .filter_map(|own| Some((own, *victims.get(&(own.task, own.run))?)))
            .collect();
        candidates.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        for (own, _) in candidates {
            if demand.fits(&free) {
                return;
            }
            free = free.plus(&own.demand);
            self.stopping.insert((own.task, own.run));
            plan.decisions.push(Decision::Preempted {
                task: own.task,
                run: own.run,
                by: want.job,
            });
        }
    }

    /// Stops runs that stand still and gangs that don't come together.
    pub(super) fn unstick(&mut self, now: Duration, draft: &Draft, plan: &mut Plan) {
        let mut stop = Vec::new();
        for (job, entry, progress) in draft.open() {
            for (step, index, placed, _) in progress.placed() {
                let task = Task { job, step, index };
                let still = self.health.still(now, task, placed.run);
                let content = &entry.job.steps[usize::from(step)];
                let gathering = content.gang
                    && self.health.percent(task, placed.run) == 0
                    && still > GATHERING;
                let stuck = still > STUCK.max(content.estimate / 3);
                if (gathering || stuck) && !self.stopping.contains(&(task, placed.run)) {
                    stop.push((task, placed.run, still));
                }
            }
        }
        for (task, run, still) in stop {
            self.stopping.insert((task, run));
            plan.decisions.push(Decision::Stuck { task, run, still });
        }
    }
}

/// Returns seats for all waiting tasks if the victims were stopped.
fn seats_with(
    want: &Want,
    floor: &Floor,
    victims: &BTreeMap<(Task, Run), f64>,
) -> Option<Vec<Seat>> {
    let freed = |slot: &Slot| {
        slot.occupants
            .iter()
            .filter(|own| victims.contains_key(&(own.task, own.run)))
            .fold(slot.free, |free, own| free.plus(&own.demand))
    };
    let cost = |seats: &[Seat]| -> f64 {
        let used: BTreeSet<usize> = seats.iter().map(|(_, slot)| *slot).collect();
        used.iter()
            .flat_map(|number| &floor.slots[*number].occupants)
            .filter_map(|own| victims.get(&(own.task, own.run)))
            .sum()
    };
    let all: Vec<usize> = (0..floor.slots.len()).collect();
    let within = |slots: &[usize]| place::seat_within(want, floor, slots, freed);
    let seats = if want.step.gang && want.step.one_rack && place::rack_could_hold(want, floor) {
        place::racks(want, floor)
            .into_values()
            .map(|slots| within(&slots))
            .filter(|seats| !seats.is_empty())
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
            .unwrap_or_default()
    } else {
        within(&all)
    };
    (!seats.is_empty()).then_some(seats)
}
