//! Baseline schedulers to compare the planner with: first fit in arrival order, and priority order
//! with backfill by declared run times. Both start each gang as a whole, with the same protocol as
//! the planner, and ignore guarantees.

mod gang;

use super::fleet::Fleet;
use crate::policy::Policy;
use godwitstep_core::Reason;
use godwitstep_core::id::{Attempt, DomainId, Epoch, JobId, WorkerId, WorkspaceId};
use godwitstep_core::planner::{Action, Event};
use godwitstep_core::record::{self, Part};
use godwitstep_core::resource::{Job, Phase, Priority, Workspace};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

/// Order in which queued jobs start, and which jobs may overtake others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Discipline {
    /// By arrival; no job overtakes the first one that does not fit.
    Fifo,
    /// By priority, then arrival. A job may overtake the first one that does not fit if, by declared
    /// run times, it ends before that one is expected to start, or if enough accelerators are
    /// expected to be free for both.
    Backfill,
}

/// Stage of a run in the gang start protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Waits for all workers to hold the reserved accelerators.
    Reserving,
    /// Waits for the `Start` record to be appended.
    Recording,
    /// Waits for all parts to start.
    Starting,
    Running,
    /// Waits for all parts to end.
    Stopping,
}

#[derive(Debug, Clone)]
struct Run {
    spec: Job,
    accepted: Duration,
    attempt: Attempt,
    /// Parts that have not ended.
    parts: Vec<Part>,
    /// Workers that have not yet confirmed the current stage.
    pending: BTreeSet<WorkerId>,
    stage: Stage,
    /// When the run is expected to end, by its declared run time.
    expected_end: Duration,
    completed_parts: usize,
}

#[derive(Debug, Clone)]
struct QueuedJob {
    job: JobId,
    spec: Job,
    accepted: Duration,
    attempt: Attempt,
}

/// Position in the queue: priority, time of acceptance and a sequence number that makes it unique.
type QueueKey = (Priority, Duration, u64);

/// A baseline scheduler. See the [module](self) page.
pub(super) struct Baseline {
    discipline: Discipline,
    epoch: Epoch,
    fleet: Fleet,
    workspaces: BTreeMap<WorkspaceId, Workspace>,
    queue: BTreeMap<QueueKey, QueuedJob>,
    runs: HashMap<JobId, Run>,
    sequence: u64,
}

impl Baseline {
    pub fn new(discipline: Discipline) -> Self {
        Self {
            discipline,
            epoch: 0,
            fleet: Fleet::default(),
            workspaces: BTreeMap::new(),
            queue: BTreeMap::new(),
            runs: HashMap::new(),
            sequence: 0,
        }
    }

    fn enqueue(&mut self, entry: QueuedJob) {
        let kind = self.workspaces.get(&entry.spec.workspace);
        let kind = kind.and_then(|workspace| workspace.kind(&entry.spec.kind));
        let priority = match self.discipline {
            Discipline::Fifo => Priority::Normal,
            Discipline::Backfill => kind.map_or(Priority::Normal, |kind| kind.priority),
        };
        self.sequence += 1;
        let key = (priority, entry.accepted, self.sequence);
        self.queue.insert(key, entry);
    }

    /// Starts queued jobs in order, as far as they fit and the queue discipline allows.
    fn schedule_queue(&mut self, now: Duration, out: &mut Vec<Action>) {
        // Expected start of the first job that does not fit, and the accelerators that it leaves
        // free.
        let mut reservation = None;
        for key in self.queue.keys().copied().collect::<Vec<_>>() {
            let spec = &self.queue[&key].spec;
            if !self.fleet.could_hold(spec.shape) {
                self.refuse(&key, out);
                continue;
            }
            let end = now + declared_run_time(spec);
            let may_start = reservation
                .is_none_or(|(start, spare)| end <= start || spec.shape.accelerators() <= spare);
            let parts = may_start
                .then(|| self.fleet.find_free(spec.shape))
                .flatten();
            if let Some(parts) = parts {
                let needed = spec.shape.accelerators();
                if let Some((start, spare)) = &mut reservation
                    && end > *start
                {
                    *spare -= needed;
                }
                self.start(now, key, parts, out);
            } else if reservation.is_none() {
                if self.discipline == Discipline::Fifo {
                    return;
                }
                reservation = Some(self.find_earliest(now, spec.shape.accelerators()));
            }
        }
    }

    /// Returns when `needed` accelerators are expected to be free, and how many more will be free
    /// then. Ignores adjacency.
    fn find_earliest(&self, now: Duration, needed: u32) -> (Duration, u32) {
        let mut free = self.fleet.free_in_service();
        let ends = self.runs.values();
        let mut ends: Vec<_> = ends
            .map(|run| (run.expected_end.max(now), run.spec.shape.accelerators()))
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

    /// Removes a job from the queue and reserves the accelerators of its parts.
    fn start(&mut self, now: Duration, key: QueueKey, parts: Vec<Part>, out: &mut Vec<Action>) {
        let Some(entry) = self.queue.remove(&key) else {
            return;
        };
        let attempt = entry.attempt + 1;
        for part in &parts {
            self.fleet.allocate(part);
            out.push(Action::Reserve {
                worker: part.worker.clone(),
                job: entry.job.clone(),
                attempt,
                tasks: part.tasks,
                accelerators: part.accelerators,
            });
        }
        let run = Run {
            expected_end: now + declared_run_time(&entry.spec),
            spec: entry.spec,
            accepted: entry.accepted,
            attempt,
            pending: parts.iter().map(|part| part.worker.clone()).collect(),
            parts,
            stage: Stage::Reserving,
            completed_parts: 0,
        };
        self.runs.insert(entry.job, run);
    }

    /// Fails a queued job whose shape would not fit the region even if it were empty.
    fn refuse(&mut self, key: &QueueKey, out: &mut Vec<Action>) {
        if let Some(entry) = self.queue.remove(key) {
            let shape = entry.spec.shape;
            let reason = Reason::CanNeverRun { shape };
            self.record_end(entry.job, entry.attempt, Phase::Failed, reason, out);
        }
    }

    fn record_end(
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

    /// Stops the runs with a part in a failure domain that leaves service, if they can be started
    /// again.
    fn evacuate(&mut self, id: &DomainId, out: &mut Vec<Action>) {
        let in_domain = |run: &Run| {
            let mut parts = run.parts.iter();
            parts.any(|part| self.fleet.domain(&part.worker) == Some(id))
        };
        let repeatable = |run: &Run| run.spec.idempotent || run.spec.checkpointable;
        let runs = self.runs.iter();
        let mut jobs: Vec<JobId> = runs
            .filter(|(_, run)| in_domain(run) && repeatable(run))
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
                self.fleet.set_in_service(&id, in_service);
                if !in_service {
                    self.evacuate(&id, out);
                }
            }
            Event::WorkerUp { worker, .. } => self.fleet.add(&worker),
            Event::Submit {
                job,
                spec,
                attempt,
                age,
            } => self.enqueue(QueuedJob {
                job,
                spec,
                accepted: now.saturating_sub(age),
                attempt,
            }),
            Event::Held { worker, job, .. } => self.held(&worker, job, out),
            Event::Denied { job, .. } | Event::NotRecorded { job, .. } => {
                self.cancel_start(&job, out);
            }
            Event::Recorded { job, .. } => self.recorded(&job, out),
            Event::Started { worker, job, .. } => self.started(&worker, &job, out),
            Event::Ended {
                worker, job, end, ..
            } => self.ended(&worker, &job, end, out),
            _ => return,
        }
        self.schedule_queue(now, out);
    }
}

/// Returns the declared run time of a job, or one hour if it declares none.
fn declared_run_time(spec: &Job) -> Duration {
    Duration::from_secs(spec.run_s.unwrap_or(3600))
}
