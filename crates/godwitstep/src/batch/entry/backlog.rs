//! Limits the memory of accepted jobs: refuses submissions that some entry could not hold.
//!
//! All entries hold all jobs, so the entry with the least memory limits what each of them accepts. Each entry announces
//! its memory in the log. The decider, through which callers' records are stored, checks them against its own view, which
//! includes all that it has stored. An entry that stores records itself, because the decider does not answer, knows the
//! jobs of the others only later, so it accepts no more than a share beyond its view.

use super::{Entry, State};
use crate::batch::log::{Item, Log};
use crate::http::budget::pressure::Pressure;
use godwitstep_batch::backlog::{self, Limit, Usage};
use godwitstep_batch::id::JobId;
use godwitstep_batch::job::Job;
use godwitstep_batch::record::{Record, submitted_key};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Time after which an accepted job that the log does not show is no longer expected. The log may store an append seconds
/// after it was sent.
const UNSEEN_EXPIRY: Duration = Duration::from_secs(10);

/// Jobs that this entry has accepted and the ledger does not contain yet.
#[derive(Default)]
pub(super) struct Unseen {
    usage: Usage,
    accepted_at: HashMap<JobId, Duration>,
    /// Recognizes the beginning and the end of a shortage.
    pressure: Pressure,
}

/// Jobs of records that the decider has queued or is appending.
#[derive(Default)]
pub(super) struct Queued(Rc<RefCell<Usage>>);

/// Charges of the jobs of one relay request, released on drop: the ledger has them by then, or they were not stored.
#[derive(Default)]
pub(super) struct Reservation {
    queued: Rc<RefCell<Usage>>,
    jobs: Vec<JobId>,
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let mut queued = self.queued.borrow_mut();
        for job in &self.jobs {
            queued.remove(*job);
        }
    }
}

impl Unseen {
    fn remove(&mut self, id: JobId) {
        self.usage.remove(id);
        self.accepted_at.remove(&id);
    }

    /// Removes the jobs that the ledger contains, or that were not stored in time.
    fn update(&mut self, now: Duration, state: &State) {
        let expected = |id: JobId, accepted_at: Duration| {
            state.ledger.job(id).is_none() && now < accepted_at + UNSEEN_EXPIRY
        };
        self.accepted_at.retain(|id, at| expected(*id, *at));
        let accepted_at = &self.accepted_at;
        self.usage.retain(|id| accepted_at.contains_key(&id));
    }
}

impl<L: Log> Entry<L> {
    /// Returns the limit of the entry with the least memory.
    fn job_limit(&self, state: &State) -> Limit {
        let announced = state.ledger.entries();
        let announced = announced.filter_map(|entry| usize::try_from(entry.job_memory?).ok());
        announced.fold(Limit::new(self.job_memory), Limit::at_most)
    }

    /// Charges a job that a caller submits. Returns false if it has to be refused.
    pub(super) fn reserve(&self, job: &Job) -> bool {
        let now = self.clock.now();
        let bytes = backlog::charge(job);
        let state = self.state.borrow();
        let limit = self.job_limit(&state);
        let entries = state.ledger.entries().count();
        let held = state.ledger.usage();
        let mut unseen = self.unseen.borrow_mut();
        unseen.update(now, &state);
        publish(held.total());
        if !limit.admits([held, &unseen.usage], job.workspace.as_ref(), bytes)
            || !limit.admits_unseen(&unseen.usage, entries, bytes)
        {
            metrics::counter!("godwitstep_jobs_refused_for_memory_total").increment(1);
            if unseen.pressure.record(now) {
                let (held, unseen) = (held.total(), unseen.usage.total());
                tracing::warn!(
                    held,
                    unseen,
                    ?limit,
                    "jobs are refused: the memory for jobs is short"
                );
            }
            return false;
        }
        if let Some(shortage) = unseen.pressure.take_ended(now) {
            tracing::info!(refused = shortage.clients, "jobs are accepted again");
        }
        unseen.usage.set(job.id, job.workspace.clone(), bytes);
        unseen.accepted_at.insert(job.id, now);
        true
    }

    /// Returns whether a record of a job that the ledger does not contain may be stored yet: this entry has accepted the job
    /// in an earlier attempt whose outcome is not known, or another caller's.
    #[must_use]
    pub fn may_be_stored(&self, id: JobId) -> bool {
        let now = self.clock.now();
        let accepted_at = self.unseen.borrow().accepted_at.get(&id).copied();
        accepted_at.is_some_and(|accepted_at| now < accepted_at + UNSEEN_EXPIRY)
            || self.writer.holds(&submitted_key(id))
    }

    /// Releases the charge of a job that is not stored.
    pub(super) fn release(&self, id: JobId) {
        self.unseen.borrow_mut().remove(id);
    }

    /// Returns whether the cancellation of a job that this entry does not know is accepted.
    pub(super) fn admits_cancellation(&self) -> bool {
        let state = self.state.borrow();
        let limit = self.job_limit(&state);
        let admits = limit.admits_cancellation(state.ledger.orphan_count());
        if !admits {
            metrics::counter!("godwitstep_cancellations_refused_for_memory_total").increment(1);
        }
        admits
    }

    /// Charges the jobs of records that the decider is to store. Returns `None` if one of them has to be refused.
    pub(super) fn reserve_records(&self, items: &[Item]) -> Option<Reservation> {
        let state = self.state.borrow();
        let limit = self.job_limit(&state);
        let mut reservation = Reservation {
            queued: Rc::clone(&self.queued_jobs.0),
            jobs: Vec::new(),
        };
        for item in items {
            // Records that can't be decoded are skipped by all readers.
            let Ok(Some(record)) = Record::decode(&item.key, &item.value) else {
                continue;
            };
            match record {
                Record::Submitted(job) if state.ledger.job(job.id).is_none() => {
                    let bytes = backlog::charge(&job);
                    let mut queued = self.queued_jobs.0.borrow_mut();
                    let usages = [state.ledger.usage(), &*queued];
                    if !limit.admits(usages, job.workspace.as_ref(), bytes) {
                        // Dropping the reservation releases the jobs before.
                        drop(queued);
                        return None;
                    }
                    queued.set(job.id, job.workspace, bytes);
                    reservation.jobs.push(job.id);
                }
                Record::Cancelled { job }
                    if state.ledger.job(job).is_none()
                        && !limit.admits_cancellation(state.ledger.orphan_count()) =>
                {
                    return None;
                }
                _ => {}
            }
        }
        Some(reservation)
    }
}

#[allow(clippy::cast_precision_loss)] // A metric needs no exact value.
fn publish(bytes: usize) {
    metrics::gauge!("godwitstep_jobs_held_bytes").set(bytes as f64);
}
