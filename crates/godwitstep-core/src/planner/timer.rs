//! Timers of the planner.

use super::Planner;
use super::event::Action;
use crate::fleet::Slot;
use crate::id::Attempt;
use std::time::Duration;

/// Largest number of timers handled on one event. Jobs that started together resend their settles
/// together; the next event handles the timers over the limit.
const MAX_TIMERS_PER_EVENT: usize = 128;

/// What happens when a timer expires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// Advances a job.
    Job(u32),
    /// Withdraws a job with a part that an inventory lacked and whose end was not reported since.
    Missing {
        job: u32,
        attempt: Attempt,
        slot: Slot,
    },
    /// The lease of a lost worker has expired.
    Lease(Slot),
    /// Returns a quarantined worker to service for a probe.
    Probe(Slot),
    /// Moves the next job out of a failure domain.
    Evacuate,
    /// Refills the start credit of a failure domain that returned to service.
    RefillStartCredit(u32),
    /// Reassigns guarantees, which may repack unused assignments.
    Repack,
    /// The discovery window is over, and the set of workers counts as complete.
    DiscoveryComplete,
}

impl Planner {
    /// Handles the timers that are due. Costs only one lookup if there is none.
    pub(super) fn run_due_timers(&mut self, now: Duration, out: &mut Vec<Action>) {
        for _ in 0..MAX_TIMERS_PER_EVENT {
            let due = self.timers.first().copied().filter(|(at, _)| *at <= now);
            let Some((at, timer)) = due else {
                return;
            };
            self.timers.remove(&(at, timer));
            match timer {
                Timer::Job(id) => {
                    if let Some(entry) = self.jobs.get_mut(&id) {
                        entry.timer_at = None;
                        self.advance_job(now, id, out);
                    }
                }
                Timer::Missing { job, attempt, slot } => {
                    self.part_missing(now, job, attempt, slot, out);
                }
                Timer::Lease(slot) => self.lease_lapsed(now, slot, out),
                Timer::Probe(slot) => self.start_probe(slot),
                Timer::Evacuate => self.evacuate_next(now, out),
                Timer::RefillStartCredit(domain) => self.refill_start_credit(now, domain),
                Timer::Repack => self.reassign = true,
                Timer::DiscoveryComplete => self.freed = true,
            }
        }
    }

    /// Sets the timer of a job, replacing an earlier one.
    pub(super) fn set_job_timer(&mut self, id: u32, at: Duration) {
        let Some(entry) = self.jobs.get_mut(&id) else {
            return;
        };
        if let Some(previous) = entry.timer_at.replace(at) {
            self.timers.remove(&(previous, Timer::Job(id)));
        }
        self.timers.insert((at, Timer::Job(id)));
    }

    /// Cancels the timer of a job.
    pub(super) fn clear_job_timer(&mut self, id: u32) {
        if let Some(entry) = self.jobs.get_mut(&id)
            && let Some(previous) = entry.timer_at.take()
        {
            self.timers.remove(&(previous, Timer::Job(id)));
        }
    }
}
