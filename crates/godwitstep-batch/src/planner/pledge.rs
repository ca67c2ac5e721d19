//! Room that was made for a job stays with it until it starts.
//!
//! The pattern: a gang waits until several runs have been stopped, and before the last of them has ended a
//! smaller urgent job that came later takes what is free already. Then the gang has others stopped, and so on.

use super::floor::Floor;
use super::place::{self, Seat, Want};
use super::{Planner, Round};
use crate::id::{JobId, Life};
use std::time::Duration;

/// Time after which room is no longer kept, beside that of a stop: the ends have to be reported.
const GRACE: Duration = Duration::from_millis(800);

/// Room that is being made for a job.
#[derive(Debug)]
pub(super) struct Pledge {
    until: Duration,
    /// Workers, and how many tasks each of them is to take.
    seats: Vec<(Life, u64)>,
}

impl Planner {
    /// Notes that runs are stopped to make room for a job.
    pub(super) fn pledge(&mut self, round: &Round, want: &Want, seats: &[Seat]) {
        let counts = place::count(seats.iter().map(|(_, number)| *number));
        let life = |number: usize| round.floor.slots[number].life.clone();
        let pledge = Pledge {
            until: round.now + self.bounds.stop + GRACE,
            seats: counts
                .into_iter()
                .map(|(number, count)| (life(number), count))
                .collect(),
        };
        self.pledges.retain(|_, pledge| round.now < pledge.until);
        self.pledges.insert(want.job, pledge);
    }

    /// Returns the room that is being made for a job, if any.
    pub(super) fn pledged(&self, now: Duration, job: JobId) -> Option<&Pledge> {
        let pledge = self.pledges.get(&job);
        pledge.filter(|pledge| now < pledge.until)
    }

    /// Keeps the room that is being made for a job. Returns whether it still comes free.
    pub(super) fn keep_pledge(&self, round: &mut Round, want: &Want) -> bool {
        let Some(pledge) = self.pledged(round.now, want.job) else {
            return false;
        };
        let tasks: u64 = pledge.seats.iter().map(|(_, count)| count).sum();
        if tasks != want.waiting.len() as u64 {
            return false;
        }
        let comes = |(life, count): &(Life, u64)| self.comes_free(round.floor, want, life, *count);
        if !pledge.seats.iter().all(comes) {
            return false;
        }
        for (life, count) in &pledge.seats {
            if let Some(slot) = round.floor.at(life) {
                slot.take(&want.step.demand.times(*count), want.step.estimate);
            }
        }
        true
    }

    fn comes_free(&self, floor: &mut Floor, want: &Want, life: &Life, count: u64) -> bool {
        let Some(slot) = floor.at(life).filter(|slot| want.allows(slot)) else {
            return false;
        };
        let free = slot.free_once(|own| self.is_stopping(own));
        want.step.demand.times(count).fits(&free)
    }
}
