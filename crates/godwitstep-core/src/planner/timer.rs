//! What is due at a later time.

use super::Planner;
use super::event::Action;
use crate::fleet::Slot;
use crate::id::Attempt;
use std::time::Duration;

/// Something that is due at a later time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The next step of a job.
    Job(u32),
    /// An announcement lacked a part, and its end was not reported since.
    Missing {
        job: u32,
        attempt: Attempt,
        slot: Slot,
    },
    /// The lease of a lost worker has lapsed.
    Lease(Slot),
    /// A quarantined worker is tried again.
    Probe(Slot),
    /// The next job is moved out of a failure domain.
    Move,
    /// A failure domain that returned takes more starts.
    Credit(u32),
    /// Unused homes of guarantees are planned anew.
    Repack,
    /// All workers can be taken to be known.
    Discovered,
}

impl Planner {
    /// Does what has become due. Costs nothing if nothing has.
    pub(super) fn fire(&mut self, now: Duration, out: &mut Vec<Action>) {
        while let Some((at, timer)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            match timer {
                Timer::Job(id) => {
                    if let Some(entry) = self.jobs.get_mut(&id) {
                        entry.wake = None;
                        self.advance(now, id, out);
                    }
                }
                Timer::Missing { job, attempt, slot } => {
                    self.missing(now, job, attempt, slot, out);
                }
                Timer::Lease(slot) => self.lease_lapsed(now, slot, out),
                Timer::Probe(slot) => self.probe(slot),
                Timer::Move => self.move_next(now, out),
                Timer::Credit(zone) => self.refill(now, zone),
                Timer::Repack => self.rehome = true,
                Timer::Discovered => self.freed = true,
            }
        }
    }

    /// Sets when the next step of a job is due, in place of an earlier setting.
    pub(super) fn wake(&mut self, id: u32, at: Duration) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(before) = entry.wake.replace(at) {
            self.timers.remove(&(before, Timer::Job(id)));
        }
        self.timers.insert((at, Timer::Job(id)));
    }

    /// Cancels the next step of a job.
    pub(super) fn sleep(&mut self, id: u32) {
        if let Some(entry) = self.jobs.get_mut(&id)
            && let Some(before) = entry.wake.take()
        {
            self.timers.remove(&(before, Timer::Job(id)));
        }
    }
}
