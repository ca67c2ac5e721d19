//! Placement of tasks on workers, as computed by the decider.
//!
//! The planner reads the ledger and the agents' reports and returns records to append. No decision
//! takes effect before its record is in the log: [`Planner::directive`] derives start and stop
//! orders from the ledger alone.
//!
//! ```
//! use godwitstep_batch::{ledger::Ledger, planner::{OperatorView, Planner}, policy::Policy, Bounds};
//! use std::time::Duration;
//!
//! let mut planner = Planner::new(1 << 20, Duration::ZERO, Bounds::default());
//! let policy = Policy::default();
//! let view = OperatorView {
//!     policy: &policy,
//!     domains_out: &Default::default(),
//!     age: Duration::ZERO,
//!     jobs_age: Duration::ZERO,
//! };
//! let plan = planner.decide(Duration::ZERO, 0, &Ledger::default(), &view);
//! assert!(plan.records.is_empty());
//! ```

mod avoid;
mod begun;
mod borrowed;
mod broken;
mod choice;
mod cluster;
mod crashes;
mod decision;
mod directive;
mod draft;
mod earmark;
mod ends;
mod expect;
mod failed_search;
mod headroom;
mod health;
mod late;
mod learn;
mod order;
mod overdue;
mod pace;
mod place;
mod preempt;
mod rack;
mod reclaim;
mod reclaim_cost;
mod reclaim_search;
mod reports;
mod reserve;
mod share;
mod speed_fit;
mod stall;
mod stop_cost;
mod waits;

use crate::bounds::{Bounds, MAX_START_JOBS_AGE, MAX_START_VIEW_AGE};
use crate::expectation::Expectations;
use crate::id::{Domain, Epoch, JobId, Run, Task, Workspace};
use crate::job::Step;
use crate::ledger::{JobState, Ledger};
use crate::message::Report;
use crate::policy::Policy;
use crate::progress::Outcome;
use crate::record::Record;
use avoid::FailedWorkers;
use cluster::Cluster;
pub use decision::{Decision, PreemptionReason, ReportSummary, RunTimeError};
use directive::Assignment;
use draft::Draft;
use earmark::Earmark;
use failed_search::FailedSearches;
use headroom::Headroom;
use health::Health;
use late::LateRuns;
use order::WithinGuarantee;
use overdue::StopTimes;
use rack::{Absences, RackWaits};
use reports::AgentReports;
use share::Shares;
pub use share::WorkspaceShare;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;
use waits::Waits;

/// Operator-provided state as the decider knows it, and the ages of its views of the log.
#[derive(Debug, Clone, Copy)]
pub struct OperatorView<'a> {
    /// Newest policy that was read.
    pub policy: &'a Policy,
    /// Failure domains that are out of service.
    pub domains_out: &'a BTreeSet<Domain>,
    /// Time since this state was last confirmed to be current.
    pub age: Duration,
    /// Time since the ledger was last confirmed to include all jobs and cancellations.
    pub jobs_age: Duration,
}

impl OperatorView<'_> {
    /// Returns whether the views are recent enough to place tasks and to send start orders.
    fn permits_starts(&self) -> bool {
        self.age < MAX_START_VIEW_AGE && self.jobs_age < MAX_START_JOBS_AGE
    }
}

/// Result of one scheduling round.
#[derive(Debug, Default)]
pub struct Plan {
    /// Records to append atomically under the decider's epoch.
    pub records: Vec<Record>,
    /// Decisions for the log. Placements take effect only once the records are in the log.
    pub decisions: Vec<Decision>,
    /// Shares of workspaces that have changed noticeably since the last round.
    pub shares: Vec<WorkspaceShare>,
    /// Errors of the expectations for the runs that were found to have completed and whose time is known.
    pub run_time_errors: Vec<RunTimeError>,
}

/// State of a scheduling round in progress.
struct Round<'r, 'l> {
    now: Duration,
    /// The ledger with the changes of this round.
    draft: &'r mut Draft<'l>,
    /// Remaining capacity of every worker.
    cluster: &'r mut Cluster,
    policy: &'r Policy,
    within_guarantee: WithinGuarantee,
    /// Accelerators of priority 0 that were committed to waiting tasks in this round.
    pledged: HashMap<Workspace, u64>,
    /// Workers that lower-priority jobs leave empty, by pool; filled on first use.
    headroom_workers: headroom::HeadroomWorkers,
    plan: &'r mut Plan,
}

impl Round<'_, '_> {
    /// Counts capacity that was committed to waiting tasks of a step.
    fn pledge(&mut self, job_state: &JobState, step: &Step, tasks: usize) {
        if let Some(workspace) = &job_state.job.workspace {
            let pledged = self.pledged.entry(workspace.clone()).or_default();
            let demand = step.demand.saturating_mul(tasks as u64);
            *pledged = pledged.saturating_add(demand.accelerators);
        }
    }
}

/// Scheduling state of the decider that is not in the ledger.
#[derive(Debug)]
pub struct Planner {
    epoch: Epoch,
    /// When this decider took over.
    started_at: Duration,
    bounds: Bounds,
    reports: AgentReports,
    health: Health,
    expectations: Expectations,
    /// When the expectations were last given out to be stored.
    expectations_saved_at: Duration,
    failures: FailedWorkers,
    headroom: Headroom,
    shares: Shares,
    /// When each open job was accepted, on the decider's clock. For a job accepted before the
    /// decider took over this is an estimate.
    accepted_at: HashMap<JobId, Duration>,
    /// When a run of each job whose state does not say so yet was found to have begun.
    begun_at: HashMap<JobId, Duration>,
    /// When the decider first found each settled job in the ledger.
    ended_at: HashMap<JobId, Duration>,
    /// When the decider first found records of each job without a submission.
    orphaned_at: HashMap<JobId, Duration>,
    /// When this decider first found each run in the ledger whose end is not explained.
    unexplained_since: HashMap<(Task, Run), Duration>,
    /// Runs that are being stopped although their jobs continue.
    stopping: HashSet<(Task, Run)>,
    stop_times: StopTimes,
    /// Runs that were found to have ended, as long as the ledger places them: the record is under way to the log. They
    /// must not be ordered any more.
    ended: HashSet<(Task, Run)>,
    late: LateRuns,
    waits: Waits,
    absences: Absences,
    rack_waits: RackWaits,
    failed_searches: FailedSearches,
    /// Workers whose capacity is being freed for a gang, by job.
    earmarks: HashMap<JobId, Earmark>,
    /// Runs that the ledger places on each host.
    assignments: BTreeMap<crate::id::Host, Vec<Assignment>>,
}

/// Maximum time that a job is assumed to have waited before this decider first found it in the ledger.
const MAX_BACKDATE: Duration = Duration::from_secs(60);
/// Time for which an ended job is kept after callers can no longer query its status.
const ENDED_JOB_RETENTION_MARGIN: Duration = Duration::from_secs(15);
/// Maximum number of ended jobs that are dropped in one round.
const MAX_DROPS_PER_ROUND: usize = 32;

impl Planner {
    /// Creates the planner of a decider that took over at `now`, on the clock that all later
    /// calls use.
    #[must_use]
    pub fn new(epoch: Epoch, now: Duration, bounds: Bounds) -> Self {
        Self {
            epoch,
            started_at: now,
            reports: AgentReports::new(epoch, now, &bounds),
            bounds,
            health: Health::default(),
            expectations: Expectations::default(),
            expectations_saved_at: now,
            failures: FailedWorkers::default(),
            headroom: Headroom::default(),
            shares: Shares::default(),
            accepted_at: HashMap::new(),
            begun_at: HashMap::new(),
            ended_at: HashMap::new(),
            orphaned_at: HashMap::new(),
            unexplained_since: HashMap::new(),
            stopping: HashSet::new(),
            stop_times: StopTimes::default(),
            ended: HashSet::new(),
            late: LateRuns::default(),
            waits: Waits::default(),
            absences: Absences::default(),
            rack_waits: RackWaits::default(),
            failed_searches: FailedSearches::default(),
            earmarks: HashMap::new(),
            assignments: BTreeMap::new(),
        }
    }

    /// Returns the epoch under which this planner decides.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Stores an agent's report. Returns whether it is newer than the last one from that host and carries this
    /// decider's epoch; other reports change nothing.
    pub fn report(&mut self, now: Duration, report: Report) -> bool {
        let Some(newer) = self.reports.record(now, report) else {
            return false;
        };
        self.health.record_report(now, newer);
        true
    }

    /// Runs one scheduling round over all open jobs. `wall` is the wall clock in Unix milliseconds.
    pub fn decide(
        &mut self,
        now: Duration,
        wall: u64,
        ledger: &Ledger,
        view: &OperatorView,
    ) -> Plan {
        self.health.set_wall_clock(wall);
        self.record_arrivals(now, wall, ledger);
        let mut plan = Plan::default();
        let mut draft = Draft::new(ledger);
        self.mark_complete_gangs(now, &draft);
        self.explain_ends(now, &mut draft, &mut plan);
        self.record_ends(now, &mut draft, &mut plan);
        self.expectations.refresh();
        self.late.update(now, &self.reports, &draft);
        self.finish_jobs(now, &mut draft, &mut plan);
        self.mark_ending(&draft);
        self.track_stops(now);
        if view.permits_starts() {
            let mut cluster = Cluster::new(
                now,
                &self.reports,
                &self.health,
                &self.expectations,
                &self.late,
                &draft,
                view,
            );
            self.absences.update(now, &mut cluster);
            let within_guarantee = order::within_guarantee(&draft, view.policy);
            let mut round = Round {
                now,
                draft: &mut draft,
                cluster: &mut cluster,
                policy: view.policy,
                within_guarantee,
                pledged: HashMap::new(),
                headroom_workers: headroom::HeadroomWorkers::new(),
                plan: &mut plan,
            };
            self.place(&mut round);
        }
        self.stop_stalled(now, &draft, &mut plan);
        self.stop_on_draining_workers(now, &draft, &mut plan);
        self.record_begun(now, &mut draft);
        plan.decisions.extend(self.health.take_quarantines());
        plan.records.extend(draft.into_records());
        self.drop_ended(now, ledger, &mut plan);
        plan
    }

    fn record_arrivals(&mut self, now: Duration, wall: u64, ledger: &Ledger) {
        for (id, job_state) in ledger.open() {
            if self.accepted_at.contains_key(&id) {
                continue;
            }
            let waited = Duration::from_millis(wall.saturating_sub(job_state.job.accepted));
            let accepted = now.saturating_sub(waited.min(MAX_BACKDATE));
            self.accepted_at.insert(id, accepted);
            self.headroom.record_arrival(accepted, job_state);
        }
        if self.accepted_at.len() > 2 * ledger.open().count() + MAX_DROPS_PER_ROUND {
            self.accepted_at.retain(|id, _| {
                ledger
                    .job(*id)
                    .is_some_and(|job_state| !job_state.settled())
            });
        }
    }

    /// Marks the runs of gangs each member of which has been reported as running.
    fn mark_complete_gangs(&mut self, now: Duration, draft: &Draft) {
        let mut complete = Vec::new();
        for (job, job_state, progress) in draft.open() {
            for (step, (spec, state)) in (0..).zip(job_state.job.steps.iter().zip(&progress.steps))
            {
                if !spec.gang {
                    continue;
                }
                let members: Vec<(Task, Run)> = (0..)
                    .zip(&state.tasks)
                    .map(|(index, task)| (Task { job, step, index }, task.run))
                    .collect();
                if members
                    .iter()
                    .all(|(task, run)| self.health.was_listed(*task, *run))
                {
                    complete.extend(members);
                }
            }
        }
        for (task, run) in complete {
            self.health.mark_gang_complete(now, task, run);
        }
    }

    /// Returns how long ago a job was accepted, as far as the decider knows.
    fn age(&self, now: Duration, job: JobId) -> Duration {
        self.accepted_at
            .get(&job)
            .map_or(Duration::ZERO, |accepted_at| {
                now.saturating_sub(*accepted_at)
            })
    }

    /// Sets the outcome of jobs that are completed, out of attempts or cancelled.
    fn finish_jobs(&self, now: Duration, draft: &mut Draft, plan: &mut Plan) {
        for (id, job_state) in draft.ledger().open() {
            let progress = draft.progress(id, job_state);
            let outcome = match progress.outcome {
                Some(outcome) => Some(outcome),
                None if job_state.cancelled => Some(Outcome::Cancelled),
                None if progress.done() => Some(Outcome::Completed),
                None if ends::exhausted(&job_state.job, progress)
                    || crashes::given_up(progress) =>
                {
                    Some(Outcome::Failed)
                }
                None => None,
            };
            let Some(outcome) = outcome else {
                continue;
            };
            let newly_ended = progress.outcome.is_none();
            let idle = progress.idle() && !progress.steps.is_empty();
            if newly_ended {
                let age = self.age(now, id);
                plan.decisions.push(Decision::Finished {
                    job: id,
                    outcome,
                    age,
                });
            }
            if newly_ended || idle {
                let progress = draft.edit(id);
                progress.outcome = Some(outcome);
                if idle {
                    progress.steps.clear();
                }
            }
        }
    }

    /// Drops ended jobs once their status retention is over, and records of jobs whose submission was not stored meanwhile:
    /// callers may cancel a job before that, or one that does not exist.
    fn drop_ended(&mut self, now: Duration, ledger: &Ledger, plan: &mut Plan) {
        let retention = self.bounds.status_retention + ENDED_JOB_RETENTION_MARGIN;
        if self.ended_at.len() + self.accepted_at.len() < ledger.jobs().len() {
            for (id, job_state) in ledger.jobs() {
                if job_state.settled() {
                    self.ended_at.entry(id).or_insert(now);
                }
            }
        }
        let expired: Vec<JobId> = self
            .ended_at
            .iter()
            .filter(|(_, ended_at)| **ended_at + retention < now)
            .map(|(id, _)| *id)
            .take(MAX_DROPS_PER_ROUND)
            .collect();
        for job in expired {
            self.ended_at.remove(&job);
            if ledger.job(job).is_some() {
                plan.records.push(Record::Dropped { job });
            }
        }
        self.orphaned_at.retain(|job, _| ledger.has_orphan(*job));
        for job in ledger.orphans() {
            self.orphaned_at.entry(job).or_insert(now);
        }
        let expired = self.orphaned_at.iter();
        let expired = expired.filter(|(_, orphaned_at)| **orphaned_at + retention < now);
        let dropped = expired.map(|(job, _)| Record::Dropped { job: *job });
        plan.records.extend(dropped.take(MAX_DROPS_PER_ROUND));
    }
}
