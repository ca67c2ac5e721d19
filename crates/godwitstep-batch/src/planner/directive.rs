//! What the decider wants of an agent, by the ledger alone.

use super::{Orders, Planner};
use crate::bounds::VIEW_LIFE;
use crate::id::{JobId, Life, Run, Task};
use crate::ledger::Ledger;
use crate::message::{Directive, Ended, How, Start, Worker};
use crate::progress::State;
use std::net::SocketAddr;
use std::sync::Arc;

/// A run that the ledger places on a worker.
#[derive(Debug, Clone)]
pub(super) struct Assignment {
    pub task: Task,
    pub run: Run,
    pub life: Life,
    pub spec: Arc<str>,
    pub saved: Arc<str>,
    /// Whether it should go on.
    pub wanted: bool,
}

impl Planner {
    /// Takes note of what the ledger places where. Called after each change of the ledger that the
    /// directives should follow.
    pub fn assign(&mut self, ledger: &Ledger) {
        self.assigned.clear();
        for (id, entry) in ledger.open() {
            for (step, index, placed, life) in entry.progress.placed() {
                let task = Task {
                    job: id,
                    step,
                    index,
                };
                let torn = entry.job.steps[usize::from(step)].gang
                    && entry.progress.steps[usize::from(step)]
                        .tasks
                        .iter()
                        .any(|member| member.place().is_none() || member.run != placed.run);
                let stopped = self.stopping.contains(&(task, placed.run));
                self.assigned
                    .entry(life.host.clone())
                    .or_default()
                    .push(Assignment {
                        task,
                        run: placed.run,
                        life: life.clone(),
                        spec: entry.job.spec.clone(),
                        saved: placed.saved.clone(),
                        wanted: entry.active() && !torn && !stopped,
                    });
            }
        }
        let ledger_places = |task: Task, run: Run| {
            ledger.job(task.job).is_some_and(|entry| {
                entry
                    .progress
                    .task(task.step, task.index)
                    .is_some_and(|state| state.run == run && state.place().is_some())
            })
        };
        self.stopping
            .retain(|(task, run)| ledger_places(*task, *run));
        let open = |job: JobId| ledger.job(job).is_some_and(|entry| !entry.settled());
        self.failures.retain(open);
        self.headroom.retain(open);
        let fleet = &self.fleet;
        self.health.retain(ledger_places, |life| {
            fleet
                .get(&life.host)
                .and_then(|report| report.worker.as_ref())
                .is_some_and(|worker| worker.about.life == *life)
        });
    }

    /// Returns what the decider wants of a host, by its newest report.
    #[must_use]
    pub fn directive(
        &self,
        host: &str,
        ledger: &Ledger,
        orders: &Orders,
        entries: Vec<SocketAddr>,
    ) -> Directive {
        let mut directive = Directive {
            epoch: self.epoch,
            entries,
            ..Directive::default()
        };
        let Some(report) = self.fleet.get(host) else {
            return directive;
        };
        directive.sequence = report.sequence;
        if let Some(worker) = &report.worker {
            directive.life = Some(worker.about.life.clone());
            directive.recorded = recorded(worker, ledger);
            self.order(worker, ledger, orders, &mut directive);
        }
        directive
    }

    fn order(&self, worker: &Worker, ledger: &Ledger, orders: &Orders, directive: &mut Directive) {
        let assigned = self
            .assigned
            .get(&worker.about.life.host)
            .map_or(&[][..], Vec::as_slice);
        let here = || assigned.iter().filter(|own| own.life == worker.about.life);
        let closed = worker.about.draining || orders.out.contains(&worker.about.domain);
        for own in here().filter(|own| !settled(worker, own)) {
            let listed = worker
                .running
                .iter()
                .any(|row| row.task == own.task && row.run == own.run);
            let cancelled = ledger.job(own.task.job).is_none_or(|entry| !entry.active());
            if !own.wanted || cancelled || (closed && !listed) {
                directive.stop.push((own.task, own.run));
            } else if !listed && orders.age < VIEW_LIFE {
                directive.start.push(Start {
                    task: own.task,
                    run: own.run,
                    spec: own.spec.clone(),
                    saved: own.saved.clone(),
                });
            }
        }
        // What was meant for an earlier life under the same name may be carried out by this one.
        let earlier = assigned.iter().filter(|own| {
            own.life != worker.about.life && own.life.worker == worker.about.life.worker
        });
        for own in earlier.filter(|own| !settled(worker, own)) {
            directive.stop.push((own.task, own.run));
        }
        for row in &worker.running {
            let key = (row.task, row.run);
            let assigned = assigned.iter().any(|own| (own.task, own.run) == key);
            if !assigned && !done(ledger, row.task) {
                directive.stop.push(key);
            }
        }
    }
}

/// Tells whether a report shows how a run ended.
fn settled(worker: &Worker, own: &Assignment) -> bool {
    let ended = worker
        .ended
        .iter()
        .any(|row| row.task == own.task && row.run == own.run);
    let refused = worker
        .refused
        .iter()
        .any(|row| row.task == own.task && row.run == own.run);
    ended || refused
}

/// Tells whether a task is done. Members of a gang that is done end by themselves.
fn done(ledger: &Ledger, task: Task) -> bool {
    ledger.job(task.job).is_some_and(|entry| {
        !entry.cancelled
            && entry
                .progress
                .task(task.step, task.index)
                .is_some_and(|state| state.state == State::Done)
    })
}

/// Returns the number up to which all ends of a worker are in the ledger.
fn recorded(worker: &Worker, ledger: &Ledger) -> u64 {
    let mut rows: Vec<&Ended> = worker.ended.iter().collect();
    rows.sort_by_key(|row| row.number);
    rows.into_iter()
        .take_while(|row| is_recorded(worker, row, ledger))
        .map(|row| row.number)
        .last()
        .unwrap_or(0)
}

fn is_recorded(worker: &Worker, row: &Ended, ledger: &Ledger) -> bool {
    let Some(entry) = ledger.job(row.task.job) else {
        return true;
    };
    let Some(task) = entry.progress.task(row.task.step, row.task.index) else {
        return true;
    };
    let placed = task.run == row.run && task.place() == Some(&worker.about.life);
    let unnoticed =
        row.how == How::Done && task.state != State::Done && entry.progress.outcome.is_none();
    !placed && !unnoticed
}
