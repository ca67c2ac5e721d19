//! Whole workers that patient work leaves empty for urgent jobs that are still to come.
//!
//! The pattern: patient tasks spread over a floor, and each urgent job that arrives has to stop some of them, which
//! takes longer than the job can wait. Urgent jobs ask for several whole workers at a time, so room in small pieces
//! does not help them. Patient jobs therefore leave as many empty workers as urgent jobs have asked for lately, as
//! long as waiting does not make them late.

use super::floor::{Floor, Slot};
use super::order::Urgency;
use super::place::Want;
use super::{Planner, Round};
use crate::demand::Demand;
use crate::id::{JobId, Life, Pool};
use crate::ledger::Entry;
use crate::progress::Progress;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::time::Duration;

/// Time over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(20);
/// Most arrivals that are remembered for a pool.
const MAX_ARRIVALS: usize = 400;
/// Part of the recent urgent jobs that the empty workers have room for, one at a time.
const COVERED: f64 = 0.9;
/// Largest part of a pool's open workers that is left empty.
const MAX_SHARE: f64 = 0.4;
/// Part of the time that a job has to spare in which it leaves workers empty.
const PATIENCE: f64 = 0.6;
/// Longest time for which a job of which nothing runs leaves workers empty while less than [`BUSY`] of the floor is
/// in use. Accepted work may not wait for longer beside idle workers.
const MAX_IDLE: Duration = Duration::from_secs(2);
/// Part of a floor in use from which it does not count as idle.
const BUSY: f64 = 0.5;

/// Workers that are left empty, by pool.
pub(super) type Spared = HashMap<Pool, BTreeSet<Life>>;

/// The widest step of an urgent job.
#[derive(Debug)]
struct Arrival {
    accepted: Duration,
    /// What one task takes.
    demand: Demand,
    tasks: u64,
}

impl Arrival {
    /// Returns how many empty workers the step takes.
    fn workers(&self, room: &Demand) -> u64 {
        self.tasks.div_ceil(self.demand.copies_in(room).max(1))
    }
}

/// What urgent jobs have asked for lately, and who has waited for them.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    arrivals: HashMap<Pool, VecDeque<Arrival>>,
    /// Since when jobs of which nothing runs have been leaving workers empty.
    held: HashMap<JobId, Duration>,
}

impl Headroom {
    /// Counts a job that was accepted at a time.
    pub fn note(&mut self, accepted: Duration, entry: &Entry) {
        if entry.job.queue.priority > 0 {
            return;
        }
        let arrivals = self
            .arrivals
            .entry(entry.job.queue.pool.clone())
            .or_default();
        let steps = entry.job.steps.iter().map(|step| Arrival {
            accepted,
            demand: step.demand,
            tasks: u64::from(step.tasks),
        });
        let cores = |step: &Arrival| step.demand.times(step.tasks).cores();
        arrivals.extend(steps.max_by(|a, b| cores(a).total_cmp(&cores(b))));
        if arrivals.len() > MAX_ARRIVALS {
            arrivals.pop_front();
        }
    }

    /// Forgets the jobs for which `open` does not hold.
    pub fn retain(&mut self, open: impl Fn(JobId) -> bool) {
        self.held.retain(|job, _| open(*job));
    }

    /// Returns how many workers of a pool are to be left empty.
    fn wanted(&mut self, now: Duration, pool: &str, floor: &Floor) -> usize {
        let Some(arrivals) = self.arrivals.get_mut(pool) else {
            return 0;
        };
        while arrivals
            .front()
            .is_some_and(|arrival| arrival.accepted + WINDOW < now)
        {
            arrivals.pop_front();
        }
        let open = || open(floor, pool);
        let largest = open().max_by(|a, b| a.room.cores().total_cmp(&b.room.cores()));
        let Some(room) = largest.map(|slot| slot.room) else {
            return 0;
        };
        let mut workers: Vec<u64> = arrivals
            .iter()
            .map(|arrival| arrival.workers(&room))
            .collect();
        workers.sort_unstable();
        let Some(last) = workers.len().checked_sub(1) else {
            return 0;
        };
        let most = part(open().count(), MAX_SHARE);
        let covering = workers[part(last, COVERED)];
        usize::try_from(covering).map_or(most, |workers| workers.min(most))
    }

    /// Returns the workers of a pool that are to be left empty: fast ones, together in a rack.
    fn spared(&mut self, now: Duration, pool: &str, floor: &Floor) -> BTreeSet<Life> {
        let wanted = self.wanted(now, pool, floor);
        let mut empty: Vec<&Slot> = open(floor, pool).filter(|slot| slot.is_empty()).collect();
        let mut by_rack: BTreeMap<_, usize> = BTreeMap::new();
        for slot in &empty {
            *by_rack.entry(&slot.rack).or_default() += 1;
        }
        empty.sort_by_key(|slot| (slot.suspect, slot.is_slow(), Reverse(by_rack[&slot.rack])));
        let lives = empty.into_iter().map(|slot| slot.life.clone());
        lives.take(wanted).collect()
    }

    /// Tells whether a job has to be placed although workers are to be left empty: nothing of it runs, and much of
    /// the floor is idle.
    fn idles(&mut self, now: Duration, want: &Want, progress: &Progress, floor: &Floor) -> bool {
        if progress.placed().next().is_some() || in_use(floor, want.pool) >= BUSY {
            self.held.remove(&want.job);
            return false;
        }
        let since = *self.held.entry(want.job).or_insert(now);
        now.saturating_sub(since) > MAX_IDLE
    }
}

impl Planner {
    /// Keeps a step of a patient job off the workers that are left empty. Returns whether there are any.
    pub(super) fn leave_headroom(
        &mut self,
        round: &mut Round,
        urgency: &Urgency,
        entry: &Entry,
        want: &mut Want,
    ) -> bool {
        if urgency.priority == 0 || !self.may_wait(round.now, urgency, entry, want) {
            return false;
        }
        let pool = &entry.job.queue.pool;
        if !round.spared.contains_key(pool) {
            let spared = self.headroom.spared(round.now, pool, round.floor);
            round.spared.insert(pool.clone(), spared);
        }
        let spared = &round.spared[pool];
        let progress = round.draft.progress(want.job, entry);
        if spared.is_empty() || self.headroom.idles(round.now, want, progress, round.floor) {
            return false;
        }
        want.shunned.extend(spared.iter().cloned());
        true
    }

    /// Tells whether a job may wait: it is early, or it is late anyway. A late gang, which needs its room at one time,
    /// would starve.
    fn may_wait(&self, now: Duration, urgency: &Urgency, entry: &Entry, want: &Want) -> bool {
        let spare = entry.job.objective().saturating_sub(entry.job.chain());
        let early = self.age(now, want.job) < spare.mul_f64(PATIENCE);
        early || (urgency.late && !want.step.gang)
    }
}

fn open<'f>(floor: &'f Floor, pool: &str) -> impl Iterator<Item = &'f Slot> {
    let open = move |slot: &&Slot| slot.open && &*slot.pool == pool;
    floor.slots.iter().filter(open)
}

/// Returns the part of a pool's open workers that is in use, in the dimension that is used least.
fn in_use(floor: &Floor, pool: &str) -> f64 {
    let room = Demand::sum(open(floor, pool).map(|slot| &slot.room));
    let free = Demand::sum(open(floor, pool).map(|slot| &slot.free));
    1.0 - free.share_of(&room)
}

/// Returns a part of a count, rounded down.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)] // Counts are far below the precision of a double, and the part is not negative.
fn part(count: usize, share: f64) -> usize {
    (count as f64 * share) as usize
}
