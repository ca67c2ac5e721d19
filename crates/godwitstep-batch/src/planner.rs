//! Where tasks run: the decisions of the decider.
//!
//! The planner reads the ledger and the agents' reports, and returns records. Nothing that it decides
//! takes effect before its record is in the log: [`Planner::directive`] orders only what the ledger
//! shows.
//!
//! ```
//! use godwitstep_batch::{ledger::Ledger, planner::{Orders, Planner}, policy::Policy, Bounds};
//! use std::time::Duration;
//!
//! let mut planner = Planner::new(1 << 20, Duration::ZERO, Bounds::default());
//! let policy = Policy::default();
//! let orders = Orders { policy: &policy, out: &Default::default(), age: Duration::ZERO };
//! let plan = planner.decide(Duration::ZERO, 0, &Ledger::default(), &orders);
//! assert!(plan.records.is_empty());
//! ```

mod directive;
mod draft;
mod ends;
mod fleet;
mod floor;
mod headroom;
mod health;
mod order;
mod pace;
mod place;
mod pledge;
mod preempt;
mod reserve;
mod shun;
mod stuck;

use crate::bounds::{Bounds, VIEW_LIFE};
use crate::id::{Domain, Epoch, JobId, Life, Run, Task};
use crate::ledger::Ledger;
use crate::message::Report;
use crate::policy::Policy;
use crate::progress::{self, Outcome};
use crate::record::Record;
use directive::Assignment;
use draft::Draft;
use fleet::Fleet;
use floor::Floor;
use headroom::Headroom;
use health::Health;
use pledge::Pledge;
use shun::Failures;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::time::Duration;

/// What operators declared and ordered, as the decider knows it.
#[derive(Debug, Clone, Copy)]
pub struct Orders<'a> {
    /// Newest policy.
    pub policy: &'a Policy,
    /// Failure domains that are out of service.
    pub out: &'a BTreeSet<Domain>,
    /// Age of this knowledge.
    pub age: Duration,
}

/// One decision, for the process's log.
#[derive(Debug, Clone, PartialEq)]
pub enum Decision {
    /// A task was assigned to a worker.
    Placed {
        /// Task.
        task: Task,
        /// Number of the run.
        run: Run,
        /// Worker.
        life: Life,
        /// Time since the decider first saw the job.
        age: Duration,
    },
    /// A run ended.
    Ended {
        /// Task.
        task: Task,
        /// Number of the run.
        run: Run,
        /// Worker.
        life: Life,
        /// How, and by which evidence.
        how: &'static str,
    },
    /// A run is stopped for the sake of another job.
    Preempted {
        /// Task that is stopped.
        task: Task,
        /// Number of the run.
        run: Run,
        /// Job that needs the room.
        by: JobId,
    },
    /// A run that makes no progress is stopped, to run elsewhere.
    Stuck {
        /// Task that is stopped.
        task: Task,
        /// Number of the run.
        run: Run,
        /// Time without progress.
        still: Duration,
    },
    /// A run is stopped that its worker, which is about to leave, would not end.
    Moved {
        /// Task that is stopped.
        task: Task,
        /// Number of the run.
        run: Run,
        /// Time that it would still take.
        left: Duration,
    },
    /// A job ended.
    Finished {
        /// Job.
        job: JobId,
        /// How.
        outcome: Outcome,
        /// Time since the decider first saw the job.
        age: Duration,
    },
    /// A worker gets no new tasks for a while.
    Quarantined {
        /// Worker.
        life: Life,
        /// Jobs whose tasks failed there in a row; 0 if it refuses them.
        failures: usize,
        /// How long.
        time: Duration,
    },
}

/// Result of a round of decisions.
#[derive(Debug, Default)]
pub struct Plan {
    /// Records to append, all or nothing, under the decider's epoch.
    pub records: Vec<Record>,
    /// What was decided. Placements hold only once the records are in the log.
    pub decisions: Vec<Decision>,
}

/// A round of decisions under way.
struct Round<'r, 'l> {
    now: Duration,
    /// The ledger with the changes of this round.
    draft: &'r mut Draft<'l>,
    /// The room that is left.
    floor: &'r mut Floor,
    /// Workers that patient work leaves empty, once they are known.
    spared: headroom::Spared,
    plan: &'r mut Plan,
}

/// The decider's state that is not in the log. A successor starts without it.
#[derive(Debug)]
pub struct Planner {
    epoch: Epoch,
    bounds: Bounds,
    fleet: Fleet,
    health: Health,
    failures: Failures,
    headroom: Headroom,
    /// When the decider first saw each open job, on its own clock.
    seen: HashMap<JobId, Duration>,
    /// When the decider first saw each job ended.
    ended: HashMap<JobId, Duration>,
    /// Since when runs of gangs are known to have lost a member while others are placed.
    torn: HashMap<(JobId, u16, Run), Duration>,
    /// Runs that are stopped although their jobs go on.
    stopping: HashSet<(Task, Run)>,
    /// Room that is being made for jobs.
    pledges: HashMap<JobId, Pledge>,
    /// What the ledger assigns to each host.
    assigned: BTreeMap<crate::id::Host, Vec<Assignment>>,
}

/// Longest time that a job is taken to have waited before its decider first saw it.
const MAX_BACKDATE: Duration = Duration::from_secs(60);
/// Time for which an ended job is kept beyond the time for which callers may ask.
const KEPT_ENDED: Duration = Duration::from_secs(15);
/// Most ended jobs that are dropped in one round.
const MAX_DROPS: usize = 32;

impl Planner {
    /// Returns a planner that took its place at `now`.
    #[must_use]
    pub fn new(epoch: Epoch, now: Duration, bounds: Bounds) -> Self {
        Self {
            epoch,
            fleet: Fleet::new(now, &bounds),
            bounds,
            health: Health::default(),
            failures: Failures::default(),
            headroom: Headroom::default(),
            seen: HashMap::new(),
            ended: HashMap::new(),
            torn: HashMap::new(),
            stopping: HashSet::new(),
            pledges: HashMap::new(),
            assigned: BTreeMap::new(),
        }
    }

    /// Returns the epoch.
    #[must_use]
    pub const fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Takes an agent's report. Returns whether it is newer than the last one.
    pub fn report(&mut self, now: Duration, report: Report) -> bool {
        self.health.report(now, &report);
        self.fleet.report(now, report)
    }

    /// Decides on everything that is open.
    pub fn decide(&mut self, now: Duration, wall: u64, ledger: &Ledger, orders: &Orders) -> Plan {
        self.note_jobs(now, wall, ledger);
        let mut plan = Plan::default();
        let mut draft = Draft::new(ledger);
        self.note_gangs(&draft);
        self.note_torn(now, &draft);
        self.settle(now, &mut draft, &mut plan);
        self.conclude(now, &mut draft, &mut plan);
        if orders.age < VIEW_LIFE {
            let mut floor = Floor::new(now, &self.fleet, &self.health, &draft, orders);
            let mut round = Round {
                now,
                draft: &mut draft,
                floor: &mut floor,
                spared: headroom::Spared::new(),
                plan: &mut plan,
            };
            self.place(&mut round, orders);
        }
        self.unstick(now, &draft, &mut plan);
        self.move_off(now, &draft, &mut plan);
        plan.decisions.extend(self.health.quarantines());
        plan.records.extend(draft.into_records());
        self.drop_ended(now, ledger, &mut plan);
        plan
    }

    fn note_jobs(&mut self, now: Duration, wall: u64, ledger: &Ledger) {
        for (id, entry) in ledger.open() {
            if self.seen.contains_key(&id) {
                continue;
            }
            let waited = Duration::from_millis(wall.saturating_sub(entry.job.accepted));
            let accepted = now.saturating_sub(waited.min(MAX_BACKDATE));
            self.seen.insert(id, accepted);
            self.headroom.note(accepted, entry);
        }
        if self.seen.len() > 2 * ledger.open().count() + MAX_DROPS {
            self.seen
                .retain(|id, _| ledger.job(*id).is_some_and(|entry| !entry.settled()));
        }
    }

    /// Notes the gangs all of whose members are listed as under way.
    fn note_gangs(&mut self, draft: &Draft) {
        let mut whole = Vec::new();
        for (job, entry, progress) in draft.open() {
            for (step, (content, state)) in (0..).zip(entry.job.steps.iter().zip(&progress.steps)) {
                if !content.gang {
                    continue;
                }
                let members: Vec<(Task, Run)> = (0..)
                    .zip(&state.tasks)
                    .map(|(index, task)| (Task { job, step, index }, task.run))
                    .collect();
                if members
                    .iter()
                    .all(|(task, run)| self.health.listed(*task, *run))
                {
                    whole.extend(members);
                }
            }
        }
        for (task, run) in whole {
            self.health.whole(task, run);
        }
    }

    /// Notes the runs of gangs of which some members have ended and others are still placed.
    fn note_torn(&mut self, now: Duration, draft: &Draft) {
        let mut torn = HashMap::new();
        for (job, entry, progress) in draft.open() {
            for (step, (content, state)) in (0..).zip(entry.job.steps.iter().zip(&progress.steps)) {
                let placed = state.tasks.iter().find(|member| member.place().is_some());
                let Some(run) = placed.map(|member| member.run).filter(|_| content.gang) else {
                    continue;
                };
                let ended = |member: &progress::Task| member.run == run && member.place().is_none();
                if state.tasks.iter().any(ended) {
                    let key = (job, step, run);
                    let since = self.torn.get(&key).copied().unwrap_or(now);
                    torn.insert(key, since);
                }
            }
        }
        self.torn = torn;
    }

    /// Returns how long ago a job was accepted, as far as the decider knows.
    fn age(&self, now: Duration, job: JobId) -> Duration {
        self.seen
            .get(&job)
            .map_or(Duration::ZERO, |seen| now.saturating_sub(*seen))
    }

    /// Ends jobs that are done, given up or cancelled.
    fn conclude(&self, now: Duration, draft: &mut Draft, plan: &mut Plan) {
        for (id, entry) in draft.ledger().open() {
            let progress = draft.progress(id, entry);
            let outcome = match progress.outcome {
                Some(outcome) => Some(outcome),
                None if entry.cancelled => Some(Outcome::Cancelled),
                None if progress.done() => Some(Outcome::Completed),
                None if ends::exhausted(&entry.job, progress) => Some(Outcome::Failed),
                None => None,
            };
            let Some(outcome) = outcome else {
                continue;
            };
            let new = progress.outcome.is_none();
            let idle = progress.idle() && !progress.steps.is_empty();
            if new {
                let age = self.age(now, id);
                plan.decisions.push(Decision::Finished {
                    job: id,
                    outcome,
                    age,
                });
            }
            if new || idle {
                let progress = draft.edit(id);
                progress.outcome = Some(outcome);
                if idle {
                    progress.steps.clear();
                }
            }
        }
    }

    /// Drops jobs that nobody may ask for any more.
    fn drop_ended(&mut self, now: Duration, ledger: &Ledger, plan: &mut Plan) {
        let kept = self.bounds.status + KEPT_ENDED;
        if self.ended.len() + self.seen.len() < ledger.jobs().len() {
            for (id, entry) in ledger.jobs() {
                if entry.settled() {
                    self.ended.entry(id).or_insert(now);
                }
            }
        }
        let over: Vec<JobId> = self
            .ended
            .iter()
            .filter(|(_, since)| **since + kept < now)
            .map(|(id, _)| *id)
            .take(MAX_DROPS)
            .collect();
        for job in over {
            self.ended.remove(&job);
            if ledger.job(job).is_some() {
                plan.records.push(Record::Dropped { job });
            }
        }
    }
}
