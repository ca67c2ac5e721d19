//! Random trials of workspaces that claim, borrow and return capacity, beside gangs, stops for urgent jobs, cancelled jobs
//! and new deciders.

mod simulation;

use godwitstep_batch::bounds::Bounds;
use godwitstep_batch::id::{JobId, Run, Task};
use godwitstep_batch::job::Step;
use godwitstep_batch::ledger::JobState;
use godwitstep_batch::planner::{Decision, Planner, PreemptionReason};
use godwitstep_batch::policy::Workspace;
use godwitstep_batch::record::Record;
use simulation::{ROUND_INTERVAL, Simulation, gang, seconds, step};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const HOSTS: usize = 10;
/// Workspaces and their guaranteed accelerators, 56 of 80.
const GUARANTEES: [(&str, u64); 4] = [("north", 16), ("south", 16), ("east", 24), ("west", 0)];
/// Time that stops and starts take at real workers and not in the simulation, where both take one round each.
const STOP_AND_START: Duration = Duration::from_millis(900);
/// Time for which jobs arrive.
const BUSY: Duration = seconds(12);

/// Which urgent jobs arrive.
#[derive(Clone, Copy, PartialEq)]
enum Load {
    /// Tasks that take a whole worker; only jobs that fit a guarantee are gangs, a few have parallel steps. Every claim
    /// can start.
    WholeWorkers,
    /// Gangs and small tasks of any size. Some claims cannot start, because a gang is stopped as a whole.
    Mixed,
}

/// An urgent job that has not started all its tasks.
struct Waiting {
    since: Duration,
    /// Whether its workspace has needed no more than its guarantee ever since.
    claims: bool,
}

struct Trial {
    sim: Simulation,
    random: fastrand::Rng,
    load: Load,
    jobs: JobId,
    waiting: BTreeMap<JobId, Waiting>,
    stopped: BTreeSet<(Task, Run)>,
    /// Number of decisions that have been checked.
    checked: usize,
    claims_kept: usize,
}

impl Trial {
    fn new(seed: u64, load: Load) -> Self {
        let mut sim = Simulation::new(HOSTS, 5);
        sim.policy.workspaces = GUARANTEES
            .map(|(name, guaranteed)| Workspace {
                name: name.into(),
                guaranteed,
                ..Workspace::default()
            })
            .into();
        Self {
            sim,
            random: fastrand::Rng::with_seed(seed),
            load,
            jobs: 0,
            waiting: BTreeMap::new(),
            stopped: BTreeSet::new(),
            checked: 0,
            claims_kept: 0,
        }
    }

    fn estimate(&mut self) -> Duration {
        Duration::from_millis(self.random.u64(500..5_000))
    }

    fn urgent_steps(&mut self, guaranteed: u64) -> Vec<Step> {
        let estimate = self.estimate();
        match self.load {
            Load::WholeWorkers => {
                let tasks = self.random.u16(1..6);
                let fits = u64::from(tasks) * 8 <= guaranteed;
                if fits && self.random.bool() {
                    vec![gang(tasks, 8, estimate)]
                } else if self.random.u32(..3) == 0 {
                    vec![step(self.random.u16(1..3), 8, estimate); self.random.usize(2..5)]
                } else {
                    vec![step(tasks, 8, estimate)]
                }
            }
            Load::Mixed => {
                let accelerators = [1, 2, 4, 8][self.random.usize(..4)];
                let tasks = self.random.u16(1..6);
                let one_rack = self.random.bool();
                let base = [step, gang][self.random.usize(..2)](tasks, accelerators, estimate);
                vec![Step { one_rack, ..base }; self.random.usize(1..4)]
            }
        }
    }

    fn arrive(&mut self) {
        self.jobs += 1;
        let id = self.jobs;
        let (workspace, guaranteed) = GUARANTEES[self.random.usize(..GUARANTEES.len())];
        if self.random.u32(..3) == 0 {
            let estimate = self.estimate();
            let checkpointable = self.random.bool();
            let base = [step, gang][self.random.usize(..2)](self.random.u16(1..12), 1, estimate);
            let patient = Step {
                checkpointable,
                ..base
            };
            self.sim.submit(id, "patient", workspace, vec![patient]);
            return;
        }
        let steps = self.urgent_steps(guaranteed);
        self.sim.submit(id, "urgent", workspace, steps);
        let waiting = Waiting {
            since: self.sim.now,
            claims: true,
        };
        self.waiting.insert(id, waiting);
    }

    fn urgent_jobs(&self, workspace: &str) -> impl Iterator<Item = &JobState> {
        let jobs = self.sim.ledger.open().map(|(_, job_state)| job_state);
        jobs.filter(move |job_state| {
            let job = &job_state.job;
            job.queue.priority == 0 && job.workspace.as_deref() == Some(workspace)
        })
    }

    /// Returns the accelerators that the open urgent jobs of a workspace need. `of_steps` combines those of a job's steps.
    fn needed(&self, workspace: &str, of_steps: fn(Vec<u64>) -> u64) -> u64 {
        let jobs = self.urgent_jobs(workspace);
        let jobs = jobs.filter(|job_state| job_state.active() && !job_state.progress.done());
        jobs.map(|job_state| {
            let steps = job_state.job.steps.iter().zip(&job_state.progress.steps);
            let open = steps.filter(|(_, state)| !state.done());
            of_steps(
                open.map(|(step, _)| step.demand.accelerators * u64::from(step.tasks))
                    .collect(),
            )
        })
        .sum()
    }

    /// Returns the accelerators that runs of a workspace's urgent jobs use and that are not being stopped.
    fn used(&self, workspace: &str) -> u64 {
        self.used_by(workspace, |_| true)
    }

    /// The same for the runs that are selected.
    fn used_by(&self, workspace: &str, selects: impl Fn(&(Task, Run)) -> bool) -> u64 {
        let jobs = self.urgent_jobs(workspace).filter(|state| state.active());
        jobs.map(|job_state| {
            let job = job_state.job.id;
            let runs = job_state.progress.placed();
            let kept = runs.filter(|(step, index, placed, _)| {
                let (step, index) = (*step, *index);
                let key = (Task { job, step, index }, placed.run);
                !self.stopped.contains(&key) && selects(&key)
            });
            kept.map(|(step, ..)| job_state.job.steps[usize::from(step)].demand.accelerators)
                .sum::<u64>()
        })
        .sum()
    }

    /// Returns whether the jobs of a workspace fit its guarantee even if all their steps run at once.
    fn is_within(&self, workspace: &str) -> bool {
        let needed = self.needed(workspace, |steps| steps.into_iter().sum());
        needed <= self.guaranteed(workspace)
    }

    /// Returns whether the jobs of a workspace fit its guarantee if their steps run one after the other.
    fn may_claim(&self, workspace: &str) -> bool {
        let needed = self.needed(workspace, |steps| steps.into_iter().max().unwrap_or(0));
        needed <= self.guaranteed(workspace)
    }

    /// Returns the runs that the ledger places.
    fn placed(&self) -> BTreeSet<(Task, Run)> {
        let jobs = self.sim.ledger.open();
        jobs.flat_map(|(job, job_state)| {
            let runs = job_state.progress.placed();
            runs.map(move |(step, index, placed, _)| (Task { job, step, index }, placed.run))
        })
        .collect()
    }

    fn guaranteed(&self, workspace: &str) -> u64 {
        self.sim.policy.guaranteed(workspace)
    }

    fn workspace(&self, job: JobId) -> String {
        let job_state = self.sim.ledger.job(job).expect("the job exists");
        let workspace = job_state.job.workspace.as_ref();
        workspace.expect("each job has a workspace").to_string()
    }

    /// Panics unless the round took back only what was borrowed, and gangs as a whole. `placed_before` are the runs that
    /// were placed before the round.
    fn check_stops(&mut self, seed: u64, placed_before: &BTreeSet<(Task, Run)>) {
        let mut claimants = BTreeSet::new();
        let mut reclaimed: BTreeSet<(Task, Run)> = BTreeSet::new();
        for decision in &self.sim.decisions[self.checked..] {
            let Decision::Preempted {
                task,
                run,
                by,
                reason,
            } = decision
            else {
                continue;
            };
            self.stopped.insert((*task, *run));
            if *reason == PreemptionReason::Guarantee {
                reclaimed.insert((*task, *run));
                let (from, claimant) = (self.workspace(task.job), self.workspace(*by));
                assert!(!self.is_within(&from), "seed {seed}: {from} is within");
                assert!(
                    self.may_claim(&claimant),
                    "seed {seed}: {claimant} needs more"
                );
                let step = &self.sim.ledger.job(*by).expect("the job exists").job.steps[0];
                claimants.insert((claimant, step.demand.accelerators));
            }
        }
        self.checked = self.sim.decisions.len();
        for (claimant, accelerators) in claimants {
            let used = self.used_by(&claimant, |key| placed_before.contains(key));
            assert!(
                used + accelerators <= self.guaranteed(&claimant),
                "seed {seed}: {claimant} takes back more than its guarantee"
            );
        }
        for (task, run) in &reclaimed {
            let job_state = self.sim.ledger.job(task.job).expect("the job exists");
            let name = self.workspace(task.job);
            let (used, guaranteed) = (self.used(&name), self.guaranteed(&name));
            assert!(
                used >= guaranteed,
                "seed {seed}: {name} has {used} of {guaranteed}"
            );
            let step = &job_state.job.steps[usize::from(task.step)];
            if step.gang {
                let members = 0..step.tasks;
                let all = members
                    .map(|index| (Task { index, ..*task }, *run))
                    .all(|member| reclaimed.contains(&member));
                assert!(all, "seed {seed}: a part of a gang is stopped");
            }
        }
    }

    /// Panics if a claim has not started all its tasks within its bound.
    fn check_claims(&mut self, seed: u64) {
        let bound = Bounds::default()
            .guaranteed_start_time
            .saturating_sub(STOP_AND_START);
        for (job, mut waiting) in std::mem::take(&mut self.waiting) {
            let Some(job_state) = self.sim.ledger.job(job).filter(|state| state.active()) else {
                continue;
            };
            let mut tasks = job_state.progress.steps.iter().flat_map(|step| &step.tasks);
            if tasks.all(|task| task.run > 0) {
                self.claims_kept += usize::from(waiting.claims);
                continue;
            }
            waiting.claims &= self.is_within(&self.workspace(job));
            let overdue = self.sim.now > waiting.since + bound;
            assert!(
                self.load == Load::Mixed || !waiting.claims || !overdue,
                "seed {seed}: claim {job:x} has not started"
            );
            self.waiting.insert(job, waiting);
        }
    }

    fn run(&mut self, seed: u64) {
        let busy_until = self.sim.now + BUSY;
        let end = busy_until + seconds(120);
        let all_ended =
            |sim: &Simulation| sim.ledger.jobs().all(|(_, job_state)| job_state.settled());
        while self.sim.now < end && (self.sim.now < busy_until || !all_ended(&self.sim)) {
            if self.sim.now < busy_until {
                if self.random.u32(..5) == 0 {
                    self.arrive();
                }
                if self.random.u32(..60) == 0 && self.jobs > 0 {
                    let job = self.random.u64(1..=self.jobs);
                    self.sim.append(Record::Cancelled { job });
                }
                if self.random.u32(..100) == 0 {
                    let epoch = self.sim.planner.epoch() + (1 << 20);
                    self.sim.planner = Planner::new(epoch, self.sim.now, Bounds::default());
                }
            }
            self.sim.deliver_reports();
            let placed_before = self.placed();
            self.sim.decide();
            self.check_stops(seed, &placed_before);
            self.check_claims(seed);
            self.sim.execute_orders();
            self.sim.assert_capacity();
            self.sim.advance(ROUND_INTERVAL);
        }
        assert!(all_ended(&self.sim), "seed {seed}: jobs have not ended");
    }
}

/// Guards against claims that wait beyond their bound, and against workspaces that are stopped below their guarantee.
#[test]
fn every_claim_on_whole_workers_starts_within_its_bound() {
    let mut claims_kept = 0;
    for seed in 0..200 {
        let mut trial = Trial::new(seed, Load::WholeWorkers);
        trial.run(seed);
        claims_kept += trial.claims_kept;
    }
    assert!(claims_kept > 500, "only {claims_kept} claims were made");
}

/// Guards against workspaces that are stopped below their guarantee, gangs that are stopped in part, and jobs that never
/// end, whatever claims, gangs and small tasks meet.
#[test]
fn mixed_claims_never_break_another_guarantee() {
    for seed in 1_000..1_200 {
        Trial::new(seed, Load::Mixed).run(seed);
    }
}
