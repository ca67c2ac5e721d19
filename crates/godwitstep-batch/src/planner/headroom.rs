//! Room that patient work leaves free for urgent jobs that are still to come.
//!
//! The pattern: patient tasks fill a floor, and each urgent job that arrives has to stop some of them,
//! which takes longer than the job can wait. So the later queues leave as much room free as urgent jobs
//! have asked for lately in the time that a stop takes.

use super::floor::Slot;
use crate::bounds::Bounds;
use crate::demand::Demand;
use crate::id::Pool;
use crate::ledger::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Time over which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(20);
/// Most arrivals that are remembered for a pool.
const MAX_ARRIVALS: usize = 400;
/// Time that it takes to start a job in room that a stopped run has left, beside the stop itself.
const CHANGE: Duration = Duration::from_millis(300);
/// Times the mean demand that is kept free: arrivals are uneven.
const SPARE: f64 = 3.0;
/// Largest part of a pool's open workers that is kept free.
const MAX_SHARE: f64 = 0.25;

/// Room that is to be left free, by pool.
pub(super) type Wanted = HashMap<Pool, Demand>;

/// What urgent jobs have asked for lately.
#[derive(Debug, Default)]
pub(super) struct Headroom {
    arrivals: HashMap<Pool, VecDeque<(Duration, Demand)>>,
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
        let demands = entry.job.steps.iter();
        let demands = demands.map(|step| step.demand.times(u64::from(step.tasks)));
        let largest = demands.max_by(|a, b| a.cores().total_cmp(&b.cores()));
        arrivals.push_back((accepted, largest.unwrap_or_default()));
        if arrivals.len() > MAX_ARRIVALS {
            arrivals.pop_front();
        }
    }

    /// Returns the room that is to be left free in each pool that urgent jobs came to lately.
    pub fn wanted(&mut self, now: Duration, bounds: &Bounds, slots: &[Slot]) -> Wanted {
        let time = bounds.stop + CHANGE;
        let part = SPARE * time.as_secs_f64() / WINDOW.as_secs_f64();
        let mut wanted = Wanted::new();
        for (pool, arrivals) in &mut self.arrivals {
            while arrivals
                .front()
                .is_some_and(|(accepted, _)| *accepted + WINDOW < now)
            {
                arrivals.pop_front();
            }
            let asked = Demand::sum(arrivals.iter().map(|(_, demand)| demand));
            let open = slots.iter().filter(|slot| slot.open && slot.pool == *pool);
            let all = Demand::sum(open.map(|slot| &slot.room));
            let room = asked.scaled(part).least(&all.scaled(MAX_SHARE));
            wanted.insert(pool.clone(), room);
        }
        wanted
    }
}
