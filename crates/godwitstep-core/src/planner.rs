//! The decider's policy: which job starts where, who gives way, what is refused.
//!
//! The planner takes [`Event`]s with a time and returns [`Action`]s. It plans for one region.
//! No event makes it look at all jobs or all workers, except a failure domain that leaves.
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

use crate::authority::Standing;
use crate::estimate::Estimates;
use crate::fleet::{Fleet, Slot};
use crate::id::{Epoch, JobId, WorkspaceId};
use crate::invariant::Violation;
use crate::quarantine::Quarantine;
use crate::reason::Reason;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod adopt;
mod claim;
mod emit;
mod event;
mod gang;
mod home;
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
mod zone;

pub use event::{Action, End, Event, Running, Worker};
pub use report::{DomainSummary, Fragmentation, Summary, WorkspaceSummary};
pub use settings::Settings;

use home::Tenant;
use job::Entry;
use queue::{Key, Queue};
use timer::Timer;

/// Plans one region. See the [module](self) page.
#[derive(Debug, Clone)]
pub struct Planner {
    settings: Settings,
    rng: fastrand::Rng,
    /// Epoch under which this planner decides; 0 until it is told.
    epoch: Epoch,
    /// When the epoch was told or the last new worker was announced.
    found: Duration,
    standing: Standing,
    /// An agent refused a command because it knows a newer epoch. Nothing starts any more.
    superseded: bool,
    fleet: Fleet,
    /// Jobs that are not final.
    jobs: BTreeMap<u32, Entry>,
    names: BTreeMap<JobId, u32>,
    next_job: u32,
    queue: Queue,
    tenants: BTreeMap<WorkspaceId, Tenant>,
    /// Guaranteed shapes that have no place, by rank, workspace and number.
    unplaced: BTreeSet<(u32, WorkspaceId, usize)>,
    /// Guaranteed shapes by the workers that hold them.
    homes_at: BTreeMap<Slot, BTreeSet<(WorkspaceId, usize)>>,
    /// Jobs that run outside of the place of a guarantee that could cover them.
    outside: BTreeSet<u32>,
    /// Active jobs by workspace.
    members: BTreeMap<WorkspaceId, BTreeSet<u32>>,
    /// Whether guarantees are to be placed anew.
    rehome: bool,
    /// When unused homes may next be planned anew.
    repacked: Duration,
    /// Jobs that hold a reservation.
    reservations: BTreeSet<u32>,
    /// Jobs whose promised accelerators may have become free.
    ripe: BTreeSet<u32>,
    /// Jobs to be moved out of failure domains, most valuable first.
    moves: BTreeSet<(Key, u32)>,
    /// End of the paced return of a failure domain.
    returning: BTreeMap<u32, Duration>,
    estimates: Estimates,
    quarantine: Quarantine,
    timers: BTreeSet<(Duration, Timer)>,
    /// Whether accelerators have become free since the queue was last looked through.
    freed: bool,
    violation: Option<Violation>,
}

impl Planner {
    /// Returns a planner that starts nothing before it is told its epoch.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self {
            settings,
            rng: fastrand::Rng::with_seed(seed),
            epoch: 0,
            found: Duration::ZERO,
            standing: Standing::Fresh,
            superseded: false,
            fleet: Fleet::default(),
            jobs: BTreeMap::new(),
            names: BTreeMap::new(),
            next_job: 0,
            queue: Queue::default(),
            tenants: BTreeMap::new(),
            unplaced: BTreeSet::new(),
            homes_at: BTreeMap::new(),
            outside: BTreeSet::new(),
            members: BTreeMap::new(),
            rehome: false,
            repacked: Duration::ZERO,
            reservations: BTreeSet::new(),
            ripe: BTreeSet::new(),
            moves: BTreeSet::new(),
            returning: BTreeMap::new(),
            estimates: Estimates::default(),
            quarantine: Quarantine::default(),
            timers: BTreeSet::new(),
            freed: false,
            violation: None,
        }
    }

    /// Takes one event and appends what is to be done, in the order in which it is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.fire(now, out);
        self.take(now, event, out);
        self.place_homes(now);
        self.ripen(now, out);
        self.plan(now, out);
    }

    /// Returns the first invariant that broke, if any.
    #[must_use]
    pub const fn violation(&self) -> Option<&Violation> {
        self.violation.as_ref()
    }

    /// Returns the reason for which an active job is where it is.
    #[must_use]
    pub fn reason(&self, job: &str) -> Option<&Reason> {
        let id = self.names.get(job)?;
        self.jobs.get(id).map(|entry| &entry.reason)
    }

    fn take(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Standing(standing) => {
                self.freed |= standing != self.standing;
                self.standing = standing;
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
                    self.fleet.report(slot, busy);
                }
            }
            Event::Tick => {}
        }
    }

    fn set_epoch(&mut self, now: Duration, epoch: Epoch) {
        self.epoch = epoch;
        self.superseded = false;
        self.note_new(now);
    }

    /// Puts off the moment at which all workers are taken to be known.
    fn note_new(&mut self, now: Duration) {
        let settings = self.settings;
        self.timers
            .remove(&(self.found + settings.discovery, Timer::Discovered));
        self.found = now;
        self.timers
            .insert((now + settings.discovery, Timer::Discovered));
    }
}
