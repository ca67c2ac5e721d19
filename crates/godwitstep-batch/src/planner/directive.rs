//! Start and stop orders for each agent, derived from the ledger alone.

use super::{OperatorView, Planner};
use crate::demand::Demand;
use crate::id::{Incarnation, JobId, Run, Task};
use crate::ledger::Ledger;
use crate::message::{Directive, EndReason, Ended, Reachability, Report, Start, Worker};
use crate::progress::State;
use crate::token::first_token;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Maximum number of starts in a directive. The agent gets further ones once it has reported that these have begun.
const MAX_STARTS: usize = 256;
/// Maximum size of the specifications and checkpoints in a directive, if it holds more than one start: a fraction of what
/// agents accept, which a slow link transmits within the timeout of an exchange. Unit: bytes.
const MAX_START_BYTES: usize = 256 * 1024;

/// A run that the ledger places on a worker.
#[derive(Debug, Clone)]
pub(super) struct Assignment {
    pub task: Task,
    pub run: Run,
    pub incarnation: Incarnation,
    pub spec: Arc<str>,
    pub saved: Arc<str>,
    pub demand: Demand,
    /// Whether the run should start or continue; otherwise it is stopped.
    pub should_run: bool,
}

impl Planner {
    /// Rebuilds the runs per host from the ledger and drops state of jobs, runs and workers that
    /// are gone. Must be called after each ledger change that the directives should reflect.
    pub fn refresh_assignments(&mut self, ledger: &Ledger) {
        self.assignments.clear();
        for (id, job_state) in ledger.open() {
            for (step, index, placed, incarnation) in job_state.progress.placed() {
                let task = Task {
                    job: id,
                    step,
                    index,
                };
                let gang_broken = job_state.job.steps[usize::from(step)].gang
                    && job_state.progress.steps[usize::from(step)]
                        .tasks
                        .iter()
                        .any(|member| member.placed_on().is_none() || member.run != placed.run);
                let stopped = self.stopping.contains(&(task, placed.run));
                self.assignments
                    .entry(incarnation.host.clone())
                    .or_default()
                    .push(Assignment {
                        task,
                        run: placed.run,
                        incarnation: incarnation.clone(),
                        spec: job_state.job.spec.clone(),
                        saved: placed.saved.clone(),
                        demand: job_state.job.steps[usize::from(step)].demand,
                        should_run: job_state.active() && !gang_broken && !stopped,
                    });
            }
        }
        let is_placed = |task: Task, run: Run| {
            ledger.job(task.job).is_some_and(|job_state| {
                job_state
                    .progress
                    .task(task.step, task.index)
                    .is_some_and(|state| state.run == run && state.placed_on().is_some())
            })
        };
        self.stopping.retain(|(task, run)| is_placed(*task, *run));
        self.ended.retain(|(task, run)| is_placed(*task, *run));
        let open = |job: JobId| {
            ledger
                .job(job)
                .is_some_and(|job_state| !job_state.settled())
        };
        self.failures.retain(open);
        self.headroom.retain(open);
        self.waits.retain(open);
        self.rack_waits.retain(open);
        let reports = &self.reports;
        self.health
            .retain(is_placed, |incarnation| reports.lists_worker(incarnation));
    }

    /// Returns the reply to a report, which holds the orders for its host. For a process of the agent whose reports
    /// are not used, or not yet, it holds no orders and counts as the reply to no report; the process learns the
    /// decider's epoch and its own tokens from it.
    #[must_use]
    pub fn directive(
        &self,
        report: &Report,
        ledger: &Ledger,
        view: &OperatorView,
        entries: Vec<SocketAddr>,
    ) -> Directive {
        let process = report.process();
        let number = self.reports.process_number(&report.host, process);
        let mut directive = Directive {
            epoch: self.epoch,
            token: number.map_or(0, |number| first_token(self.epoch, number)),
            entries,
            ..Directive::default()
        };
        let latest = self.reports.get(&report.host);
        let Some(report) = latest.filter(|latest| latest.process() == process) else {
            return directive;
        };
        directive.sequence = report.sequence;
        if let Some(worker) = &report.worker {
            directive.incarnation = Some(worker.info.incarnation.clone());
            directive.recorded = recorded_up_to(worker, ledger);
            self.add_orders(worker, ledger, view, &mut directive);
        }
        directive
    }

    fn add_orders(
        &self,
        worker: &Worker,
        ledger: &Ledger,
        view: &OperatorView,
        directive: &mut Directive,
    ) {
        let assignments = self
            .assignments
            .get(&worker.info.incarnation.host)
            .map_or(&[][..], Vec::as_slice);
        let current = || {
            assignments
                .iter()
                .filter(|assignment| assignment.incarnation == worker.info.incarnation)
        };
        let accepts_starts =
            view.permits_starts() && worker.reachability != Reachability::LeaseExpired;
        let accepts_no_runs =
            worker.info.draining || view.domains_out.contains(&worker.info.domain);
        let reported = ReportedRuns::new(worker);
        let withdrawn = self.withdrawn(worker, &reported, ledger, current());
        let mut start_bytes = 0;
        for assignment in current().filter(|assignment| !reported.has_end(assignment)) {
            let listed = reported.lists(assignment);
            let no_room = withdrawn.contains(&(assignment.task, assignment.run));
            let cancelled = ledger
                .job(assignment.task.job)
                .is_none_or(|job_state| !job_state.active());
            let ended = self.ended.contains(&(assignment.task, assignment.run));
            if !assignment.should_run
                || ended
                || cancelled
                || no_room
                || (accepts_no_runs && !listed)
            {
                directive.stop.push((assignment.task, assignment.run));
            } else if !listed && accepts_starts && withdrawn.is_empty() {
                start_bytes += assignment.spec.len() + assignment.saved.len();
                let starts = directive.start.len();
                if starts >= MAX_STARTS || (starts > 0 && start_bytes > MAX_START_BYTES) {
                    continue;
                }
                directive.start.push(Start {
                    task: assignment.task,
                    run: assignment.run,
                    spec: assignment.spec.clone(),
                    saved: assignment.saved.clone(),
                });
            }
        }
        // The worker's current incarnation may have executed a start that was meant for an earlier
        // one under the same name.
        let earlier = assignments.iter().filter(|assignment| {
            assignment.incarnation != worker.info.incarnation
                && assignment.incarnation.worker == worker.info.incarnation.worker
        });
        for assignment in earlier.filter(|assignment| !reported.has_end(assignment)) {
            directive.stop.push((assignment.task, assignment.run));
        }
        let assigned: HashSet<(Task, Run)> = assignments
            .iter()
            .map(|assignment| (assignment.task, assignment.run))
            .collect();
        for listed_run in &worker.running {
            let key = (listed_run.task, listed_run.run);
            if !assigned.contains(&key) && !is_done(ledger, listed_run.task) {
                directive.stop.push(key);
            }
        }
    }

    /// Returns the runs that have not begun and no longer fit, because the worker's room has shrunk since they were
    /// placed. A run that is withdrawn may have begun all the same, so the others wait until its end or refusal is
    /// reported.
    fn withdrawn<'a>(
        &self,
        worker: &Worker,
        reported: &ReportedRuns,
        ledger: &Ledger,
        assignments: impl Iterator<Item = &'a Assignment>,
    ) -> HashSet<(Task, Run)> {
        let not_begun: Vec<&Assignment> = assignments
            .filter(|assignment| {
                let ended = self.ended.contains(&(assignment.task, assignment.run));
                !ended && !reported.lists(assignment) && !reported.has_end(assignment)
            })
            .collect();
        let running = worker.running.iter().filter_map(|listed_run| {
            let job = &ledger.job(listed_run.task.job)?.job;
            Some(&job.steps.get(usize::from(listed_run.task.step))?.demand)
        });
        let mut demand = Demand::sum(running);
        let fitting = not_begun.iter().take_while(|assignment| {
            demand = demand.saturating_add(&assignment.demand);
            demand.fits(&worker.info.capacity)
        });
        let kept = fitting.count();
        not_begun[kept..]
            .iter()
            .map(|assignment| (assignment.task, assignment.run))
            .collect()
    }
}

/// The runs in the report of a worker.
struct ReportedRuns {
    listed: HashSet<(Task, Run)>,
    /// Runs of which the end or the refusal is reported.
    over: HashSet<(Task, Run)>,
}

impl ReportedRuns {
    fn new(worker: &Worker) -> Self {
        let running = worker.running.iter();
        let ended = worker.ended.iter().map(|end| (end.task, end.run));
        let refused = worker.refused.iter();
        let refused = refused.map(|refused| (refused.task, refused.run));
        Self {
            listed: running.map(|run| (run.task, run.run)).collect(),
            over: ended.chain(refused).collect(),
        }
    }

    /// Returns whether a run is listed as active.
    fn lists(&self, assignment: &Assignment) -> bool {
        self.listed.contains(&(assignment.task, assignment.run))
    }

    /// Returns whether the end or the refusal of a run is reported.
    fn has_end(&self, assignment: &Assignment) -> bool {
        self.over.contains(&(assignment.task, assignment.run))
    }
}

/// Returns whether a task is done. The remaining members of a completed gang end by themselves and
/// need no stop order.
fn is_done(ledger: &Ledger, task: Task) -> bool {
    ledger.job(task.job).is_some_and(|job_state| {
        !job_state.cancelled
            && job_state
                .progress
                .task(task.step, task.index)
                .is_some_and(|state| state.state == State::Done)
    })
}

/// Returns the highest end number up to which all ends of a worker are recorded in the ledger.
fn recorded_up_to(worker: &Worker, ledger: &Ledger) -> u64 {
    let mut ends: Vec<&Ended> = worker.ended.iter().collect();
    ends.sort_by_key(|end| end.number);
    ends.into_iter()
        .take_while(|end| is_recorded(worker, end, ledger))
        .map(|end| end.number)
        .last()
        .unwrap_or(0)
}

fn is_recorded(worker: &Worker, end: &Ended, ledger: &Ledger) -> bool {
    let Some(job_state) = ledger.job(end.task.job) else {
        return true;
    };
    let Some(task) = job_state.progress.task(end.task.step, end.task.index) else {
        return true;
    };
    let placed = task.run == end.run && task.placed_on() == Some(&worker.info.incarnation);
    let unrecorded_result = end.how == EndReason::Done
        && task.state != State::Done
        && job_state.progress.outcome.is_none();
    let incarnation = &worker.info.incarnation;
    let steps = &job_state.progress.steps;
    let unexplained = steps
        .get(usize::from(end.task.step))
        .is_some_and(|step| step.is_unexplained(end.task.index, end.run, incarnation));
    !placed && !unrecorded_result && !unexplained
}
