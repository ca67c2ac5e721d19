//! Keeping room for a job that waits until enough of it is free at the same time.
//!
//! Without that a gang that needs many workers starves behind small jobs, which take each worker as it
//! becomes free. Room is kept where the job can start first, by the predicted ends of what runs there;
//! until then others may use it, as long as they end before.

use super::draft::Draft;
use super::floor::{Floor, Occupant, Reservation, Slot};
use super::place::{self, Want};
use super::{Planner, Round};
use crate::demand::Demand;
use std::collections::BTreeMap;
use std::time::Duration;

impl Planner {
    /// Keeps room for the waiting tasks of a step. Returns whether there could be any.
    pub(super) fn reserve(&self, round: &mut Round, want: &Want) -> bool {
        let Round {
            now, draft, floor, ..
        } = round;
        let now = *now;
        let best = place::groups(want, floor)
            .into_iter()
            .filter_map(|slots| self.start(now, draft, floor, want, &slots))
            .min_by_key(|(start, _)| *start);
        let Some((start, seats)) = best else {
            return false;
        };
        for (number, tasks) in seats {
            let slot = &mut floor.slots[number];
            let free = slot.free_once(|own| self.left(now, draft, own) <= start);
            slot.reservation = Some(Reservation {
                start,
                beside: free.minus(&want.step.demand.times(tasks)),
            });
        }
        true
    }

    /// Returns when all waiting tasks could start on some of the slots, and how many on each.
    fn start(
        &self,
        now: Duration,
        draft: &Draft,
        floor: &Floor,
        want: &Want,
        slots: &[usize],
    ) -> Option<(Duration, BTreeMap<usize, u64>)> {
        let mut seats: Vec<(Duration, usize)> = Vec::new();
        for &number in slots {
            let slot = &floor.slots[number];
            if !want.allows(slot) || slot.reservation.is_some() {
                continue;
            }
            let waits = self.waits(now, draft, slot, want);
            seats.extend(waits.into_iter().map(|wait| (wait, number)));
        }
        seats.sort_unstable();
        let needed = want.waiting.len();
        let (start, _) = *seats.get(needed.checked_sub(1)?)?;
        let numbers = seats.into_iter().take(needed).map(|(_, number)| number);
        Some((start, place::count(numbers)))
    }

    /// Returns after which times a slot has room for one, two and more tasks of a step.
    fn waits(&self, now: Duration, draft: &Draft, slot: &Slot, want: &Want) -> Vec<Duration> {
        let mut ends: Vec<(Duration, Demand)> = slot
            .occupants
            .iter()
            .map(|own| (self.left(now, draft, own), own.demand))
            .collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        let mut waits = Vec::new();
        let mut free = slot.free;
        let mut note = |free: &Demand, wait: Duration| {
            let copies = want
                .copies(slot, &free.minus(&slot.promised))
                .min(want.waiting.len() as u64);
            while (waits.len() as u64) < copies {
                waits.push(wait);
            }
        };
        note(&free, Duration::ZERO);
        for (end, demand) in ends {
            free = free.plus(&demand);
            note(&free, end);
        }
        waits
    }

    /// Returns how long a run is expected to stay.
    pub(super) fn left(&self, now: Duration, draft: &Draft, own: &Occupant) -> Duration {
        if self.is_stopping(own) {
            return self.bounds.stop;
        }
        let estimate = draft
            .ledger()
            .job(own.task.job)
            .map(|entry| entry.job.steps[usize::from(own.task.step)].estimate)
            .unwrap_or_default();
        self.health.remaining(now, own.task, own.run, estimate)
    }
}
