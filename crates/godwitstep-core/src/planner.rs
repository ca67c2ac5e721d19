//! Scheduling policy of the decider: which job starts where, which jobs are preempted and which are
//! refused.
//!
//! The planner is a state machine: it takes [`Event`]s with a time and returns [`Action`]s. It
//! schedules one region. No event scans all jobs or all workers, except a failure domain that goes
//! out of service and the rate-limited searches for reservations and assignments.
//!
//! ```
//! use godwitstep_core::planner::{Action, Event, Planner, Settings, Worker};
//! use godwitstep_core::resource::Job;
//! use std::time::Duration;
//!
//! let mut planner = Planner::new(Settings::default(), 7);
//! let mut actions = Vec::new();
//! let worker = Worker {
//!     id: "w1".into(),
//!     incarnation: 1,
//!     domain: "dk-vest-a".into(),
//!     rack: "r1".into(),
//!     accelerators: 8,
//! };
//! let submit = Event::Submit {
//!     job: "j".into(),
//!     spec: Job::new("council", "nesting", 4, 1),
//!     attempt: 0,
//!     age: Duration::ZERO,
//! };
//! let up = Event::WorkerUp { worker, inventory: Vec::new() };
//! for event in [Event::Epoch(3), up, submit] {
//!     planner.handle(Duration::from_secs(1), event, &mut actions);
//! }
//! assert!(actions.iter().any(|action| matches!(action, Action::Reserve { .. })));
//! ```

use crate::authority::OperatingMode;
use crate::estimate::Estimates;
use crate::fleet::{Fleet, Slot};
use crate::id::{Epoch, JobId, WorkspaceId};
use crate::invariant::Violation;
use crate::quarantine::Quarantine;
use crate::reason::Reason;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

mod adopt;
mod assignment;
mod claim;
mod domain;
mod emit;
mod event;
mod gang;
mod job;
mod outcome;
mod place;
mod queue;
mod report;
mod reserve;
mod settings;
mod stop;
mod submit;
mod timer;
mod worker;

pub use event::{Action, End, Event, Running, Worker};
pub use report::{DomainSummary, Fragmentation, Summary, WorkspaceSummary};
pub use settings::Settings;

use assignment::WorkspaceState;
use job::ActiveJob;
use queue::{Key, Queue};
use timer::Timer;

/// Schedules the jobs of one region. See the [module](self) page.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    rng: fastrand::Rng,
    /// Epoch under which this planner decides; 0 until [`Event::Epoch`] sets it.
    epoch: Epoch,
    /// When the epoch was set or the last new worker announced itself, whichever is later.
    discovery_start: Duration,
    operating_mode: OperatingMode,
    /// Whether an agent refused a command because it has received a newer epoch. No job starts
    /// afterwards.
    superseded: bool,
    fleet: Fleet,
    /// Jobs that have not ended, by the number that the planner gave them.
    jobs: BTreeMap<u32, ActiveJob>,
    names: BTreeMap<JobId, u32>,
    next_job: u32,
    queue: Queue,
    workspaces: BTreeMap<WorkspaceId, WorkspaceState>,
    /// Guaranteed shapes without assigned workers, by rank, workspace and number.
    unassigned: BTreeSet<(u32, WorkspaceId, usize)>,
    /// Guaranteed shapes by the workers assigned to them.
    assignments_by_worker: BTreeMap<Slot, BTreeSet<(WorkspaceId, usize)>>,
    /// Jobs that run outside the assignment of a guarantee that could cover them.
    outside_assignment: BTreeSet<u32>,
    /// Jobs that have not ended, by workspace.
    jobs_by_workspace: BTreeMap<WorkspaceId, BTreeSet<u32>>,
    /// Whether to assign workers to guarantees again; checked on each event.
    reassign: bool,
    /// Earliest time of the next repack of unused assignments.
    next_repack: Duration,
    /// Earliest time at which the announcement of a worker or run may trigger a reassignment again.
    next_reassignment: Duration,
    /// Queued jobs whose waiting reason has to be updated.
    unexplained_jobs: VecDeque<u32>,
    /// Earliest time of the next search for reservation candidates.
    search_after: Duration,
    /// Jobs that hold a reservation.
    reservations: BTreeSet<u32>,
    /// Jobs whose earmarked accelerators may have become free.
    ready_candidates: BTreeSet<u32>,
    /// Jobs to be moved out of failure domains, in queue order, most important first.
    evacuations: BTreeSet<(Key, u32)>,
    /// End of the ramp-up of each failure domain that returned to service.
    ramp_up_ends: BTreeMap<u32, Duration>,
    estimates: Estimates,
    quarantine: Quarantine,
    timers: BTreeSet<(Duration, Timer)>,
    /// Whether accelerators have become free since the last pass over the queue.
    freed: bool,
    violation: Option<Violation>,
}

impl Planner {
    /// Returns a planner that starts no job before [`Event::Epoch`] sets its epoch.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            epoch: 0,
            discovery_start: Duration::ZERO,
            operating_mode: OperatingMode::Normal,
            superseded: false,
            fleet: Fleet::default(),
            jobs: BTreeMap::new(),
            names: BTreeMap::new(),
            next_job: 0,
            queue: Queue::default(),
            workspaces: BTreeMap::new(),
            unassigned: BTreeSet::new(),
            assignments_by_worker: BTreeMap::new(),
            outside_assignment: BTreeSet::new(),
            jobs_by_workspace: BTreeMap::new(),
            reassign: false,
            next_repack: Duration::ZERO,
            next_reassignment: Duration::ZERO,
            unexplained_jobs: VecDeque::new(),
            search_after: Duration::ZERO,
            reservations: BTreeSet::new(),
            ready_candidates: BTreeSet::new(),
            evacuations: BTreeSet::new(),
            ramp_up_ends: BTreeMap::new(),
            estimates: Estimates::default(),
            quarantine: Quarantine::default(),
            timers: BTreeSet::new(),
            freed: false,
            violation: None,
        }
    }

    /// Applies one event and appends the resulting actions to `out`, in the order in which they
    /// must be executed.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.run_due_timers(now, out);
        self.apply(now, event, out);
        self.assign_guarantees(now);
        self.start_ready(now, out);
        self.schedule_queue(now, out);
        self.explain_blocked(out);
    }

    /// Returns the first invariant that was violated, if any.
    #[must_use]
    pub const fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Returns why a job that has not ended waits or runs where it does.
    #[must_use]
    pub fn reason(&self, job: &str) -> Option<&Reason> {
        let id = self.names.get(job)?;
        self.jobs.get(id).map(|entry| &entry.reason)
    }

    fn apply(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::OperatingMode(operating_mode) => {
                self.freed |= operating_mode != self.operating_mode;
                self.operating_mode = operating_mode;
            }
            Event::Epoch(epoch) => self.set_epoch(now, epoch),
            Event::Workspace { id, spec } => self.set_workspace(&id, spec),
            Event::Domain { id, in_service } => self.set_domain(now, &id, in_service, out),
            Event::WorkerUp { worker, inventory } => self.worker_up(now, worker, &inventory, out),
            Event::WorkerLeaving { id } => self.worker_leaving(&id),
            Event::WorkerLost { id } => self.worker_lost(now, &id, out),
            Event::Submit {
                job,
                spec,
                attempt,
                age,
            } => self.submit(now, job, spec, attempt, age, out),
            Event::Adopt {
                job,
                spec,
                attempt,
                parts,
                age,
            } => self.adopt(now, job, spec, attempt, &parts, age),
            Event::Cancel { job } => self.cancel(now, &job, out),
            Event::Recorded { job, attempt } => self.recorded(now, &job, attempt, out),
            Event::NotRecorded { job, attempt } => self.not_recorded(now, &job, attempt, out),
            Event::Held {
                worker,
                job,
                attempt,
            } => self.held(now, worker, job, attempt, out),
            Event::Denied {
                worker,
                job,
                attempt,
                reason,
            } => self.denied(now, &worker, &job, attempt, &reason, out),
            Event::Started {
                worker,
                job,
                attempt,
            } => self.started(now, worker, job, attempt, out),
            Event::Ended {
                worker,
                job,
                attempt,
                end,
            } => self.ended(now, &worker, &job, attempt, end, out),
            Event::Usage { worker, busy, .. } => {
                if let Some(slot) = self.fleet.slot(&worker) {
                    self.fleet.record_usage(slot, busy);
                }
            }
            Event::Tick => {}
        }
    }

    fn set_epoch(&mut self, now: Duration, epoch: Epoch) {
        self.epoch = epoch;
        self.superseded = false;
        self.restart_discovery(now);
    }

    /// Restarts the discovery window, after which the set of workers counts as complete.
    fn restart_discovery(&mut self, now: Duration) {
        let settings = self.settings;
        self.timers.remove(&(
            self.discovery_start + settings.discovery_window,
            Timer::DiscoveryComplete,
        ));
        self.discovery_start = now;
        self.timers
            .insert((now + settings.discovery_window, Timer::DiscoveryComplete));
    }
}
