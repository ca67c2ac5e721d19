//! Room that was made for a job stays with it until it starts.
//!
//! The pattern: a gang waits until several runs have been stopped, and before the last of them has ended a
//! smaller urgent job that came later takes what is free already. Then the gang has others stopped, and so on.

use super::floor::Floor;
use super::place::{Seat, Want};
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
        let mut counts: Vec<(Life, u64)> = Vec::new();
        for (_, number) in seats {
            let life = &round.floor.slots[*number].life;
            match counts.iter_mut().find(|(own, _)| own == life) {
                Some((_, count)) => *count += 1,
                None => counts.push((life.clone(), 1)),
            }
        }
        let until = round.now + self.bounds.stop + GRACE;
        self.pledges.retain(|_, pledge| round.now < pledge.until);
        self.pledges.insert(
            want.job,
            Pledge {
                until,
                seats: counts,
            },
        );
    }

    /// Tells whether room is being made for a job.
    pub(super) fn pledged(&self, now: Duration, job: JobId) -> bool {
        let pledge = self.pledges.get(&job);
        pledge.is_some_and(|pledge| now < pledge.until)
    }

    /// Keeps the room that is being made for a job. Returns whether it still comes free.
    pub(super) fn keep_pledge(&self, round: &mut Round, want: &Want) -> bool {
        let pledge = self.pledges.get(&want.job);
        let Some(pledge) = pledge.filter(|pledge| round.now < pledge.until) else {
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
        let free = self.free_after_stops(slot);
        want.step.demand.times(count).fits(&free)
    }
}
