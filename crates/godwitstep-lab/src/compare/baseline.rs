//! Small schedulers to compare with: first fit in arrival order, and priority with backfill by
//! declared run times. Both start gangs whole, through the same steps as the planner, and ignore
//! guarantees.

mod steps;

use super::place::Grid;
use crate::policy::Policy;
use godwitstep_core::Reason;
use godwitstep_core::id::{Attempt, DomainId, Epoch, JobId, WorkerId, WorkspaceId};
use godwitstep_core::planner::{Action, Event};
use godwitstep_core::record::{self, Part};
use godwitstep_core::resource::{Job, Phase, Priority, Workspace};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Which jobs are considered in which order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Order {
    /// In order of arrival; nobody passes the first that does not fit.
    Arrival,
    /// By priority, then arrival; others may pass the first that does not fit if they end before
    /// it is expected to start, by declared run times.
    Backfill,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reserving,
    Recording,
    Starting,
    Running,
    Stopping,
}

#[derive(Debug, Clone)]
struct Run {
    spec: Job,
    accepted: Duration,
    attempt: Attempt,
    parts: Vec<Part>,
    /// Workers that have not answered the present step.
    open: BTreeSet<WorkerId>,
    stage: Stage,
    /// When it is expected to end, by its declaration.
    due: Duration,
    done: usize,
}

#[derive(Debug, Clone)]
struct Waiting {
    job: JobId,
    spec: Job,
    accepted: Duration,
    attempt: Attempt,
}

/// The scheduler.
pub(super) struct Baseline {
    order: Order,
    epoch: Epoch,
    grid: Grid,
    workspaces: BTreeMap<WorkspaceId, Workspace>,
    waiting: BTreeMap<(Priority, Duration, u64), Waiting>,
    runs: HashMap<JobId, Run>,
    sequence: u64,
}

impl Baseline {
    pub fn new(order: Order) -> Self {
        Self {
            order,
            epoch: 0,
            grid: Grid::default(),
            workspaces: BTreeMap::new(),
            waiting: BTreeMap::new(),
            runs: HashMap::new(),
            sequence: 0,
        }
    }

    fn wait(&mut self, entry: Waiting) {
        let kind = self.workspaces.get(&entry.spec.workspace);
        let kind = kind.and_then(|workspace| workspace.kind(&entry.spec.kind));
        let priority = match self.order {
            Order::Arrival => Priority::Normal,
            Order::Backfill => kind.map_or(Priority::Normal, |kind| kind.priority),
        };
        self.sequence += 1;
        let key = (priority, entry.accepted, self.sequence);
        self.waiting.insert(key, entry);
    }

    fn plan(&mut self, now: Duration, out: &mut Vec<Action>) {
        let mut shadow = None;
        for key in self.waiting.keys().copied().collect::<Vec<_>>() {
            let spec = &self.waiting[&key].spec;
            if !self.grid.could_hold(spec.shape) {
                self.refuse(&key, out);
                continue;
            }
            let end = now + declared(spec);
            let passes = shadow
                .is_none_or(|(start, spare)| end <= start || spec.shape.accelerators() <= spare);
            let parts = passes.then(|| self.grid.place(spec.shape)).flatten();
            if let Some(parts) = parts {
                let needed = spec.shape.accelerators();
                if let Some((start, spare)) = &mut shadow
                    && end > *start
                {
                    *spare -= needed;
                }
                self.start(now, key, parts, out);
            } else if shadow.is_none() {
                if self.order == Order::Arrival {
                    return;
                }
                shadow = Some(self.shadow(now, spec.shape.accelerators()));
            }
        }
    }

    /// Returns when so many accelerators are expected to be free, and how many more will be.
    fn shadow(&self, now: Duration, needed: u32) -> (Duration, u32) {
        let mut free = self.grid.free();
        let ends = self.runs.values();
        let mut ends: Vec<_> = ends
            .map(|run| (run.due.max(now), run.spec.shape.accelerators()))
            .collect();
        ends.sort_unstable();
        for (end, accelerators) in ends {
            if free >= needed {
                return (end, free - needed);
            }
            free += accelerators;
            if free >= needed {
                return (end, free - needed);
            }
        }
        (Duration::MAX, free.saturating_sub(needed))
    }

    fn start(
        &mut self,
        now: Duration,
        key: (Priority, Duration, u64),
        parts: Vec<Part>,
        out: &mut Vec<Action>,
    ) {
        let Some(entry) = self.waiting.remove(&key) else {
            return;
        };
        let attempt = entry.attempt + 1;
        for part in &parts {
            self.grid.take(part);
            out.push(Action::Reserve {
                worker: part.worker.clone(),
                job: entry.job.clone(),
                attempt,
                tasks: part.tasks,
                accelerators: part.accelerators,
            });
        }
        let run = Run {
            due: now + declared(&entry.spec),
            spec: entry.spec,
            accepted: entry.accepted,
            attempt,
            open: parts.iter().map(|part| part.worker.clone()).collect(),
            parts,
            stage: Stage::Reserving,
            done: 0,
        };
        self.runs.insert(entry.job, run);
    }

    fn refuse(&mut self, key: &(Priority, Duration, u64), out: &mut Vec<Action>) {
        if let Some(entry) = self.waiting.remove(key) {
            let shape = entry.spec.shape;
            let reason = Reason::CanNeverRun { shape };
            self.end(entry.job, entry.attempt, Phase::Failed, reason, out);
        }
    }

    fn end(
        &self,
        job: JobId,
        attempt: Attempt,
        phase: Phase,
        reason: Reason,
        out: &mut Vec<Action>,
    ) {
        out.push(Action::Record(record::Event::End {
            job,
            attempt,
            epoch: self.epoch,
            phase,
            reason,
        }));
    }

    /// Stops what runs in a domain that leaves, as far as it can be started again.
    fn leave(&mut self, id: &DomainId, out: &mut Vec<Action>) {
        let inside = |run: &Run| {
            let mut parts = run.parts.iter();
            parts.any(|part| self.grid.domain(&part.worker) == Some(id))
        };
        let repeatable = |run: &Run| run.spec.idempotent || run.spec.checkpointable;
        let runs = self.runs.iter();
        let mut jobs: Vec<JobId> = runs
            .filter(|(_, run)| inside(run) && repeatable(run))
            .map(|(job, _)| job.clone())
            .collect();
        jobs.sort_unstable();
        for job in jobs {
            self.stop(&job, out);
        }
    }
}

impl Policy for Baseline {
    fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Epoch(epoch) => self.epoch = epoch,
            Event::Workspace { id, spec } => {
                if let Some(spec) = spec {
                    self.workspaces.insert(id, spec);
                }
            }
            Event::Domain { id, in_service } => {
                self.grid.set_service(&id, in_service);
                if !in_service {
                    self.leave(&id, out);
                }
            }
            Event::WorkerUp { worker, .. } => self.grid.add(&worker),
            Event::Submit {
                job,
                spec,
                attempt,
                age,
            } => self.wait(Waiting {
                job,
                spec,
                accepted: now.saturating_sub(age),
                attempt,
            }),
            Event::Held { worker, job, .. } => self.held(&worker, job, out),
            Event::Denied { job, .. } | Event::NotRecorded { job, .. } => self.release(&job, out),
            Event::Recorded { job, .. } => self.recorded(&job, out),
            Event::Started { worker, job, .. } => self.started(&worker, &job, out),
            Event::Ended {
                worker, job, end, ..
            } => self.ended(&worker, &job, end, out),
            _ => return,
        }
        self.plan(now, out);
    }
}

fn declared(spec: &Job) -> Duration {
    Duration::from_secs(spec.run_s.unwrap_or(3600))
}
