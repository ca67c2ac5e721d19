//! What the decider learns from runs that have ended.
//!
//! Only first runs are learned from: later ones may have resumed from a checkpoint. Their time must be known, so they
//! began while this decider received reports, and were not delayed by a stall, by distance to their data or between
//! their members. Runs that failed say nothing, whenever they end.

use super::Planner;
use super::draft::Draft;
use super::ends::EndedRun;
use super::reports::EndCause;
use crate::expectation::{Class, End, FinishedRun, Machine, Source};
use crate::id::{Incarnation, Task};
use crate::job::Step;
use crate::message::{EndReason, WorkerInfo};
use std::sync::Arc;
use std::time::Duration;

/// Time after a take-over within which the first reports may list runs that began long before.
const INHERITED_WINDOW: Duration = Duration::from_secs(2);

impl Planner {
    /// Learns from the end of a run, before it is applied to the state of its job.
    pub(super) fn learn(&mut self, now: Duration, draft: &Draft, ended: &EndedRun) {
        let end = match &ended.cause {
            EndCause::Reported(EndReason::Done, _) => End::Done,
            EndCause::Reported(EndReason::Stopped, _) => End::Stopped,
            _ => return,
        };
        let Some(job_state) = draft.ledger().job(ended.task.job) else {
            return;
        };
        let job = &job_state.job;
        let Some(step) = job.steps.get(usize::from(ended.task.step)) else {
            return;
        };
        let progress = draft.progress(ended.task.job, job_state);
        let is_placed = progress
            .task(ended.task.step, ended.task.index)
            .is_some_and(|task| task.placed_on().is_some());
        let run_time = self.clean_run_time(now, ended);
        // All members of a gang end with the first one, which counts.
        let Some(run_time) = run_time.filter(|_| is_placed) else {
            return;
        };
        let placed: Vec<&Incarnation> = if step.gang {
            let state = &progress.steps[usize::from(ended.task.step)];
            state
                .tasks
                .iter()
                .filter_map(|task| task.placed_on())
                .collect()
        } else {
            vec![&ended.incarnation]
        };
        let Some(machines) = self.machines(step, &placed) else {
            return;
        };
        let Task {
            job: id,
            step: number,
            ..
        } = ended.task;
        self.expectations.record(&FinishedRun {
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
        });
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
