//! What the decider learns from runs that have ended.
//!
//! Only first runs are learned from: later ones may have resumed from a checkpoint. Their time must be known, so they
//! began while this decider received reports, and were not delayed by a stall, by distance to their data or between
//! their members. Runs that failed say nothing, whenever they end.

use super::draft::Draft;
use super::ends::EndedRun;
use super::reports::EndCause;
use super::{Planner, RunTimeError};
use crate::expectation::{
    Class, End, Expectation, Expectations, FinishedRun, Machine, Snapshot, Source,
};
use crate::id::{Incarnation, Task};
use crate::job::{Job, Step};
use crate::message::{EndReason, WorkerInfo};
use crate::record::Record;
use std::sync::Arc;
use std::time::Duration;

/// Least time between two records of what has been learned. With the wait for another record to go with, at most 2 s of
/// samples are lost with a decider.
const SAVE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Time after a take-over within which the first reports may list runs that began long before.
const INHERITED_WINDOW: Duration = Duration::from_secs(2);

impl Planner {
    /// Goes on from what an earlier decider has learned.
    #[must_use]
    pub fn with_expectations(self, snapshot: &Snapshot) -> Self {
        Self {
            expectations: Expectations::restore(snapshot),
            ..self
        }
    }

    /// Returns the expected run time of the tasks of a job's step on a worker of average speed.
    #[must_use]
    pub fn expected_run_time(&self, job: &Job, step: &Step) -> Expectation {
        self.expected(job, step)
    }

    /// Returns a record of at most `limit` bytes with what has been learned, if there is anything that is not stored and
    /// the last one is old enough. It is written together with other records, as an append of its own would cost a call.
    pub fn save_expectations(&mut self, now: Duration, limit: usize) -> Option<Record> {
        let age = now.saturating_sub(self.expectations_saved_at);
        if age < SAVE_INTERVAL || !self.expectations.is_unsaved() {
            return None;
        }
        self.expectations_saved_at = now;
        let snapshot = self.expectations.snapshot(self.epoch, limit);
        Some(Record::Expectations(snapshot))
    }

    /// Notes that the log has stored the last record of what has been learned.
    pub const fn expectations_stored(&mut self) {
        self.expectations.mark_stored();
    }

    /// Learns from the end of a run, before it is applied to the state of its job. Returns the error of the expectation if
    /// the run completed.
    pub(super) fn learn(
        &mut self,
        now: Duration,
        draft: &Draft,
        ended: &EndedRun,
    ) -> Option<RunTimeError> {
        let end = match &ended.cause {
            EndCause::Reported(EndReason::Done, _) => End::Done,
            EndCause::Reported(EndReason::Stopped, _) => End::Stopped,
            _ => return None,
        };
        let Task {
            job: id,
            step: number,
            index,
        } = ended.task;
        let job_state = draft.ledger().job(id)?;
        let job = &job_state.job;
        let step = job.steps.get(usize::from(number))?;
        let progress = draft.progress(id, job_state);
        progress.task(number, index)?.placed_on()?;
        let run_time = self.clean_run_time(now, ended)?;
        // A gang counts once: with its first member that ends, while all others are placed.
        let placed: Option<Vec<&Incarnation>> = if step.gang {
            let members = &progress.steps[usize::from(number)].tasks;
            members.iter().map(|task| task.placed_on()).collect()
        } else {
            Some(vec![&ended.incarnation])
        };
        let machines = self.machines(step, &placed?)?;
        let log_ratio = self.expectations.record(&FinishedRun {
            class: Class::of(job, step),
            source: Source {
                job: id,
                step: number,
            },
            estimate: step.estimate,
            run_time,
            machines,
            equals: if step.gang { 1 } else { step.tasks },
            end,
        })?;
        Some(RunTimeError {
            queue: job.queue.name.clone(),
            log_ratio,
        })
    }

    /// Returns how long a first run took, if it was not interrupted and its beginning is known.
    fn clean_run_time(&self, now: Duration, ended: &EndedRun) -> Option<Duration> {
        let inherited_until = self.started_at + INHERITED_WINDOW;
        let first = ended.run == 1;
        first
            .then(|| {
                self.health
                    .clean_run_time(now, ended.task, ended.run, inherited_until)
            })
            .flatten()
    }

    /// Returns the machines of a step's runs; `None` if one is unknown, or if the runs were slowed down by their places.
    fn machines(&self, step: &Step, placed: &[&Incarnation]) -> Option<Vec<Machine>> {
        let workers: Option<Vec<&WorkerInfo>> = placed
            .iter()
            .map(|incarnation| self.reports.worker_info(incarnation))
            .collect();
        let workers = workers?;
        let same_rack = |rack: &Option<Arc<str>>| {
            rack.is_some() && workers.iter().all(|worker| worker.rack == *rack)
        };
        let together = !step.one_rack
            || workers.len() < 2
            || workers
                .first()
                .is_some_and(|worker| same_rack(&worker.rack));
        let near_data = step.data_rack.is_none() || same_rack(&step.data_rack);
        let machines = workers.iter().map(|worker| Machine {
            host: worker.incarnation.host.clone(),
            hardware: self.reports.hardware(&worker.incarnation.host),
        });
        (together && near_data).then(|| machines.collect())
    }
}
